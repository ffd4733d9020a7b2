#include "pg_standin.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <string.h>
#include <utlist.h>

#include "kernel/mem.h"

#define SSL_REQUEST 80877103
#define GSSENC_REQUEST 80877104
#define PROTOCOL_3 196608
#define MESSAGE_LIMIT_BYTES (16 << 20)
#define LOCK_RETRY_MS 1
#define LOCK_TIMEOUT_MS 1000 /* then the statement fails */

static void session_process (struct session *session);

/* Output.  Each message is built in an evbuffer and sent whole.  */

static void
send_message (struct session *session, char type, struct evbuffer *body)
{
  struct evbuffer *output = bufferevent_get_output (session->bev);
  uint32_t length = htonl ((uint32_t)evbuffer_get_length (body) + 4);
  evbuffer_add (output, &type, 1);
  evbuffer_add (output, &length, 4);
  evbuffer_add_buffer (output, body);
  evbuffer_free (body);
}

static void
send_bytes (struct session *session, char type, const void *data, size_t size)
{
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add (body, data, size);
  send_message (session, type, body);
}

static void
add_int (struct evbuffer *body, size_t value, size_t size)
{
  uint32_t net = htonl ((uint32_t)value << (32 - 8 * size));
  evbuffer_add (body, &net, size);
}

void
session_columns (struct session *session, size_t count, const char *name,
                 uint32_t type)
{
  if (!session->describe)
    return;
  struct evbuffer *body = evbuffer_new ();
  add_int (body, count, 2);
  for (size_t i = 0; i < count; i++)
    {
      evbuffer_add (body, name, strlen (name) + 1);
      add_int (body, 0, 4);
      add_int (body, 0, 2);
      add_int (body, type, 4);
      evbuffer_add (body, "\377\377\377\377\377\377\0", 8);
    }
  send_message (session, 'T', body);
  session->describe = false;
}

void
session_row (struct session *session, size_t count, const char *const *values)
{
  struct evbuffer *body = evbuffer_new ();
  add_int (body, count, 2);
  for (size_t i = 0; i < count; i++)
    {
      size_t length = values[i] == NULL ? 0 : strlen (values[i]);
      add_int (body, values[i] == NULL ? UINT32_MAX : length, 4);
      evbuffer_add (body, values[i], length);
    }
  send_message (session, 'D', body);
}

void
session_complete (struct session *session, const char *tag)
{
  if (session->describe)
    send_bytes (session, 'n', "", 0);
  session->describe = false;
  send_bytes (session, 'C', tag, strlen (tag) + 1);
}

void
session_error (struct session *session, const char *sqlstate,
               const char *message)
{
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add_printf (body, "SERROR%cVERROR%cC%s%cM%s%c%c", 0, 0, sqlstate, 0,
                       message, 0, 0);
  send_message (session, 'E', body);
  session->failed = true;
  session->skip_to_sync = true;
}

static void
send_ready (struct session *session)
{
  char state = 'I';
  if (session->in_transaction)
    state = session->failed ? 'E' : 'T';
  send_bytes (session, 'Z', &state, 1);
}

/* Sessions and slots.  */

static void
clear_statement (struct session *session)
{
  free (session->statement);
  session->statement = NULL;
  for (size_t i = 0; i < session->param_count; i++)
    free (session->params[i]);
  session->param_count = 0;
}

void
session_rollback (struct session *session)
{
  rows_clear (&session->changes);
  rows_clear (&session->locks);
  session->in_transaction = false;
  session->read_only = false;
  session->statement_timeout_ms = 0;
  session->failed = false;
}

/* Returns how long the statement of SESSION occupies its slot, until it ends
   or is cancelled by its timeout.  */
static clk_ms
slot_time_ms (struct session *session)
{
  clk_ms cost_ms = exec_cost_ms (session);
  clk_ms left_ms = session->cancel_at_ms - group_now_ms ();
  if (session->cancel_at_ms == 0 || cost_ms <= left_ms)
    return cost_ms;
  session->cancelled = true;
  return left_ms > 0 ? left_ms : 0;
}

/* Gives free slots to waiting sessions in the order of their arrival.  */
static void
grant_slots (struct instance *instance)
{
  while (instance->slots_in_use < instance->group->slots)
    {
      struct session *first = NULL;
      for (struct session *s = instance->sessions; s != NULL; s = s->next)
        if (s->wait_seq != 0
            && (first == NULL || s->wait_seq < first->wait_seq))
          first = s;
      if (first == NULL)
        return;
      first->wait_seq = 0;
      first->has_slot = true;
      instance->slots_in_use++;
      timer_start (first->timer, slot_time_ms (first));
    }
}

static void
release_slot (struct session *session)
{
  if (!session->has_slot)
    return;
  session->has_slot = false;
  session->instance->slots_in_use--;
  grant_slots (session->instance);
}

static void
session_free (struct session *session)
{
  struct instance *instance = session->instance;
  session->wait_seq = 0;
  release_slot (session);
  session_rollback (session);
  rows_clear (&session->prepared);
  clear_statement (session);
  DL_DELETE (instance->sessions, session);
  if (instance->role_lock == session)
    instance->role_lock = NULL;
  if (session->counted)
    instance->open_connections--;
  event_free (session->timer);
  bufferevent_free (session->bev);
  free (session);
}

void
sessions_close (struct instance *instance)
{
  while (instance->sessions != NULL)
    session_free (instance->sessions);
}

size_t
sessions_before_reload (const struct session *keep, bool close)
{
  size_t count = 0;
  struct session *s, *next;
  DL_FOREACH_SAFE (keep->instance->sessions, s, next)
  {
    if (s == keep || !s->started
        || s->reload_count == s->instance->reload_count)
      continue;
    count++;
    if (close)
      session_free (s);
  }
  return count;
}

void
sessions_resume (struct instance *instance)
{
  struct session *next;
  for (struct session *s = instance->sessions; s != NULL; s = next)
    {
      next = s->next;
      if (!s->busy)
        session_process (s);
      else if (s->wait_seq == 0 && !evtimer_pending (s->timer, NULL))
        event_active (s->timer, EV_TIMEOUT, 0);
    }
  grant_slots (instance);
}

/* Statements.  */

static void
statement_end (struct session *session)
{
  session->busy = false;
  session->lock_deadline_ms = 0;
  release_slot (session);
  clear_statement (session);
}

/* Runs the statement, and retries it later if its row is locked.  */
static void
statement_run (struct session *session)
{
  enum exec_result result = exec_run (session);
  clk_ms now = group_now_ms ();
  if (result == EXEC_LOCKED && session->lock_deadline_ms == 0)
    session->lock_deadline_ms = now + LOCK_TIMEOUT_MS;
  if (result == EXEC_LOCKED && now < session->lock_deadline_ms)
    {
      session->busy = true;
      timer_start (session->timer, LOCK_RETRY_MS);
      return;
    }
  if (result == EXEC_LOCKED)
    session_error (session, "55P03", "lock timeout");
  if (result == EXEC_DROP)
    session->eof = session->closing = true;
  statement_end (session);
}

static void
statement_start (struct session *session)
{
  struct instance *instance = session->instance;
  if (exec_cost_ms (session) < 0)
    {
      statement_run (session);
      return;
    }
  session->busy = true;
  session->wait_seq = ++instance->group->last_wait_seq;
  instance->statements++;
  session->cancelled = false;
  session->cancel_at_ms = 0;
  if (session->statement_timeout_ms > 0)
    {
      session->cancel_at_ms = group_now_ms () + session->statement_timeout_ms;
      timer_start (session->timer, session->statement_timeout_ms);
    }
  grant_slots (instance);
}

static void
on_timer (evutil_socket_t fd, short events, void *arg)
{
  (void)fd;
  (void)events;
  struct session *session = arg;
  if (session->instance->frozen)
    return;
  if (!session->started)
    {
      static const char encoding[] = "client_encoding\0UTF8";
      uint32_t zero = 0;
      session->started = true;
      session->reload_count = session->instance->reload_count;
      session->busy = false;
      send_bytes (session, 'R', &zero, 4);
      send_bytes (session, 'S', encoding, sizeof encoding);
      send_ready (session);
    }
  else if (session->wait_seq != 0 || session->cancelled)
    {
      session->wait_seq = 0;
      session->cancelled = false;
      session_error (session, "57014", "statement timeout");
      statement_end (session);
    }
  else
    statement_run (session);
  session_process (session);
}

/* Input.  */

/* A read position in a message.  Reads beyond the end return zeros.  */
struct cursor
{
  const char *at, *end;
};

static uint32_t
read_int (struct cursor *cursor, size_t size)
{
  uint32_t value = 0;
  for (; size > 0 && cursor->at < cursor->end; size--)
    value = value << 8 | (uint8_t)*cursor->at++;
  return value;
}

static const char *
read_string (struct cursor *cursor)
{
  const char *text = cursor->at;
  const char *nul = memchr (text, 0, (size_t)(cursor->end - text));
  if (nul == NULL)
    return "";
  cursor->at = nul + 1;
  return text;
}

/* Stores a statement by its name, which may be empty.  Only an unnamed one is
   replaced.  */
static void
on_parse (struct session *session, struct cursor *cursor)
{
  const char *name = read_string (cursor);
  if (*name != 0 && rows_find (session->prepared, name) != NULL)
    {
      session_error (session, "42P05", "prepared statement exists");
      return;
    }
  rows_set (&session->prepared, name, read_string (cursor));
  send_bytes (session, '1', "", 0);
}

static void
on_bind (struct session *session, struct cursor *cursor)
{
  read_string (cursor);
  const struct row *prepared
      = rows_find (session->prepared, read_string (cursor));
  if (prepared == NULL)
    {
      session_error (session, "26000", "no such prepared statement");
      return;
    }
  clear_statement (session);
  session->statement = mem_strdup (prepared->value);
  for (uint32_t formats = read_int (cursor, 2); formats > 0; formats--)
    read_int (cursor, 2);
  uint32_t count = read_int (cursor, 2);
  for (uint32_t i = 0; i < count && i < PARAM_LIMIT; i++)
    {
      uint32_t length = read_int (cursor, 4);
      bool null = length == UINT32_MAX;
      if (!null && length > (size_t)(cursor->end - cursor->at))
        break;
      session->params[i] = null ? NULL : mem_copy (cursor->at, length);
      session->param_count = i + 1;
      cursor->at += null ? 0 : length;
    }
  send_bytes (session, '2', "", 0);
}

static void
on_sync (struct session *session)
{
  session->skip_to_sync = false;
  if (exec_sync (session) == EXEC_DROP)
    session->eof = session->closing = true;
  send_ready (session);
}

static void
on_message (struct session *session, char type, struct cursor cursor)
{
  if (type == 'X')
    session->closing = true;
  else if (type == 'S')
    on_sync (session);
  else if (session->skip_to_sync)
    return;
  else if (type == 'P')
    on_parse (session, &cursor);
  else if (type == 'B')
    on_bind (session, &cursor);
  else if (type == 'D')
    session->describe = true;
  else if (type == 'E')
    statement_start (session);
}

static void
on_startup (struct session *session, struct cursor cursor)
{
  struct instance *instance = session->instance;
  uint32_t code = read_int (&cursor, 4);
  if (code == SSL_REQUEST || code == GSSENC_REQUEST)
    {
      bufferevent_write (session->bev, "N", 1);
      return;
    }
  bool full = instance->open_connections >= instance->group->connections;
  session->closing = code != PROTOCOL_3 || full;
  if (code == PROTOCOL_3 && full)
    session_error (session, "53300", "too many connections");
  if (session->closing)
    return;
  session->busy = true;
  session->counted = true;
  instance->open_connections++;
  timer_start (session->timer, 0);
}

/* Handles the next message.  Returns false if it is incomplete or invalid.  */
static bool
handle_next_message (struct session *session)
{
  struct evbuffer *input = bufferevent_get_input (session->bev);
  size_t type_bytes = session->started ? 1 : 0;
  uint8_t head[5];
  if (evbuffer_copyout (input, head, type_bytes + 4)
      < (ev_ssize_t)(type_bytes + 4))
    return false;
  struct cursor size = { (char *)head + type_bytes, (char *)head + 5 };
  size_t length = read_int (&size, 4);
  if (length < 4 || length > MESSAGE_LIMIT_BYTES)
    {
      session->closing = true;
      return false;
    }
  if (evbuffer_get_length (input) < type_bytes + length)
    return false;
  evbuffer_drain (input, type_bytes + 4);
  char *body = mem_zalloc (length);
  evbuffer_remove (input, body, length - 4);
  struct cursor cursor = { body, body + length - 4 };
  if (session->started)
    on_message (session, (char)head[0], cursor);
  else
    on_startup (session, cursor);
  free (body);
  return true;
}

/* Handles buffered messages up to a statement that has to wait, and frees the
   session if it is closing.  */
static void
session_process (struct session *session)
{
  if (session->instance->frozen)
    return;
  while (!session->busy && !session->closing && handle_next_message (session))
    continue;
  if (session->busy)
    return;
  struct evbuffer *output = bufferevent_get_output (session->bev);
  if (session->eof || (session->closing && evbuffer_get_length (output) == 0))
    session_free (session);
}

/* Called when input arrived, and when all output was sent.  */
static void
on_input_or_drain (struct bufferevent *bev, void *arg)
{
  (void)bev;
  session_process (arg);
}

static void
on_event (struct bufferevent *bev, short events, void *arg)
{
  (void)bev;
  struct session *session = arg;
  if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    session->eof = true;
  session_process (session);
}

void
session_accept (struct instance *instance, evutil_socket_t fd)
{
  struct event_base *base = instance->group->base;
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  struct session *session = mem_zalloc (sizeof *session);
  session->instance = instance;
  session->bev = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  session->timer = evtimer_new (base, on_timer, session);
  DL_PREPEND (instance->sessions, session);
  bufferevent_setcb (session->bev, on_input_or_drain, on_input_or_drain,
                     on_event, session);
  bufferevent_enable (session->bev, EV_READ | EV_WRITE);
}
