#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "driver.h"
#include "port/address.h"

#define MAX_COMMITS 65536
#define MAX_QUEUE 256
#define BEAT_MS 1200

struct instance
{
  char id[NAME];
  char zone[NAME];
  uint16_t port;
  struct evconnlistener *listener;
  size_t received; /* number of commits in its log */
  size_t applied;  /* of those, what its reads see */
  bool up;
  long received_ms; /* when the last one that is on its way arrives */
  long delay_ms;    /* until it receives a commit, at present */
  long delay_until_ms;
  bool paused;
  uint64_t held_term;
  unsigned sequence;
  uint64_t born;
  char cut[MAX_HOSTS][NAME]; /* hosts that it is cut off from */
};

struct connection
{
  struct instance *instance;
  struct bufferevent *bev;
  char host[NAME];
  char state; /* I, T or E */
  bool plain;
  bool demoted; /* the instance lost the lead in this transaction */
  bool dead;    /* answers nothing more */
  char write[LINE];
  char *queue[MAX_QUEUE];
  size_t queued;
  struct event *work;
  size_t awaits; /* number of the commit that a replica has to receive */
  struct connection *prev;
  struct connection *next;
};

/* A commit on its way to a replica.  */
struct delivery
{
  struct instance *replica;
  size_t number;
  uint64_t term;
};

static struct service_options options;
static struct instance instances[MAX_INSTANCES];
static size_t instance_count;
static struct instance *primary;
static uint64_t term = 3;
static struct commit *commits;
static size_t commit_count;
static struct commit *lost;
static size_t lost_count;
static size_t unasked;
static struct connection *connections;

void
service_new (const struct service_options *given)
{
  options = *given;
  commits = calloc (MAX_COMMITS, sizeof *commits);
  lost = calloc (MAX_COMMITS, sizeof *lost);
  if (commits == NULL || lost == NULL)
    unable ("memory");
}

void
service_set_apply_ms (long span_ms)
{
  record ("replicas apply what they receive after %ld ms", span_ms);
  options.apply_ms = span_ms;
}

const char *
instance_id (const struct instance *instance)
{
  return instance->id;
}

uint16_t
instance_port (const struct instance *instance)
{
  return instance->port;
}

struct instance *
service_primary (void)
{
  return primary;
}

static bool
is_cut (const struct instance *instance, const char *host)
{
  for (size_t i = 0; i < MAX_HOSTS; i++)
    if (instance->cut[i][0] != '\0' && strcmp (instance->cut[i], host) == 0)
      return true;
  return false;
}

static void
beat (struct instance *instance)
{
  char key[2 * NAME], text[LINE];
  snprintf (key, sizeof key, "servers/%s", instance->id);
  snprintf (text, sizeof text,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"capacity\":64,\"state\":\"ready\","
            "\"cold_remaining_ms\":0,\"db_role\":\"%s\",\"sequence\":%u,"
            "\"born\":%" PRIu64 "}",
            options.name, instance->port, instance->zone,
            instance == primary ? "primary" : "replica", ++instance->sequence,
            instance->born);
  store_put (key, text);
}

static void
on_beat (void *arg)
{
  struct instance *instance = arg;
  if (instance->up)
    beat (instance);
  after (BEAT_MS, on_beat, arg);
}

/* Log.  */

static uint64_t
term_at (size_t number)
{
  return number > 0 ? commits[number - 1].term : 1;
}

static void
put_ready (struct connection *connection)
{
  const struct instance *instance = connection->instance;
  uint64_t shown
      = instance == primary && instance->applied == instance->received
            ? term
            : term_at (instance->applied);
  evbuffer_add_printf (bufferevent_get_output (connection->bev),
                       "READY %c %" PRIu64 ".%zu\r\n", connection->state,
                       shown, instance->applied);
}

static void run_queue (struct connection *connection);

/* Answers the statement at the head of the queue of CONNECTION.  */
static void
answer (struct connection *connection, const char *format, const char *a,
        const char *b)
{
  char text[2 * LINE];
  snprintf (text, sizeof text, format, a, b);
  free (connection->queue[0]);
  connection->queued--;
  memmove (connection->queue, connection->queue + 1,
           connection->queued * sizeof connection->queue[0]);
  if (connection->dead || is_cut (connection->instance, connection->host))
    {
      connection->dead = true;
      return;
    }
  evbuffer_add_printf (bufferevent_get_output (connection->bev), "%s\r\n",
                       text);
  put_ready (connection);
  run_queue (connection);
}

static void
fail (struct connection *connection, const char *code)
{
  if (connection->state == 'T')
    connection->state = 'E';
  answer (connection, "ERROR %s %s", code, connection->instance->id);
}

/* Answers a write or COMMIT that has committed.  */
static void
acknowledge (struct connection *connection, size_t number)
{
  struct commit *commit = &commits[number - 1];
  connection->awaits = 0;
  if (!connection->dead && !is_cut (connection->instance, connection->host))
    {
      commit->acked_ms = now_ms ();
      record ("instance %s: acknowledges %s as %" PRIu64 ".%zu",
              connection->instance->id, commit->id, commit->term, number);
    }
  answer (connection, "COMPLETE %s.%s", connection->instance->id, commit->id);
}

/* Applies what INSTANCE has received up to NUMBER.  */
static void
apply (struct instance *instance, size_t number)
{
  if (number > instance->received)
    number = instance->received;
  if (number > instance->applied)
    instance->applied = number;
}

static void
on_apply (void *arg)
{
  struct delivery delivery = *(struct delivery *)arg;
  free (arg);
  if (delivery.number <= commit_count
      && commits[delivery.number - 1].term == delivery.term)
    apply (delivery.replica, delivery.number);
}

static void
schedule_apply (struct instance *instance, size_t number)
{
  struct delivery *later = calloc (1, sizeof *later);
  if (later == NULL)
    unable ("memory");
  *later = (struct delivery){ instance, number, commits[number - 1].term };
  if (options.apply_ms > 0)
    after (options.apply_ms, on_apply, later);
  else
    on_apply (later);
}

static void
on_delivery (void *arg)
{
  struct delivery delivery = *(struct delivery *)arg;
  struct instance *replica = delivery.replica;
  free (arg);
  if (replica->paused || replica == primary || delivery.number > commit_count
      || commits[delivery.number - 1].term != delivery.term
      || delivery.number <= replica->received)
    return;
  replica->received = delivery.number;
  schedule_apply (replica, delivery.number);
  for (bool again = true; again;)
    {
      again = false;
      for (struct connection *at = connections; at != NULL && !again;
           at = at->next)
        if (at->awaits != 0 && at->awaits <= replica->received)
          {
            acknowledge (at, at->awaits);
            again = true;
          }
    }
}

/* Commits the write WRITE of the statement ID, and answers it once enough
   replicas have it.  */
static void
commit (struct connection *connection, const char *id, const char *write)
{
  if (commit_count == MAX_COMMITS)
    unable ("too many commits");
  struct commit *made = &commits[commit_count++];
  made->term = term;
  made->acked_ms = -1;
  snprintf (made->id, sizeof made->id, "%s", id);
  snprintf (made->write, sizeof made->write, "%s", write);
  /* A new primary has applied all that it had received by its first commit.
   */
  primary->received = primary->applied = commit_count;
  for (size_t i = 0; i < instance_count; i++)
    {
      struct instance *replica = &instances[i];
      if (replica == primary)
        continue;
      struct delivery *delivery = calloc (1, sizeof *delivery);
      if (delivery == NULL)
        unable ("memory");
      *delivery = (struct delivery){ replica, commit_count, term };
      if (now_ms () >= replica->delay_until_ms)
        {
          bool slow = chance (2) == 0;
          replica->delay_ms
              = slow ? options.receive_max_ms : options.receive_min_ms;
          replica->delay_until_ms = now_ms () + 100 + chance (200);
        }
      long due_ms = now_ms () + replica->delay_ms;
      if (due_ms < replica->received_ms)
        due_ms = replica->received_ms;
      replica->received_ms = due_ms;
      after (due_ms - now_ms (), on_delivery, delivery);
    }
  if (options.sync_replicas == 0)
    acknowledge (connection, commit_count);
  else
    connection->awaits = commit_count;
}

/* Statements.  */

static void
read_item (struct connection *connection, const char *id, const char *item)
{
  char prefix[LINE], text[2 * LINE] = "-";
  int length = snprintf (prefix, sizeof prefix, "WRITE %s ", item);
  for (size_t i = connection->instance->applied; i-- > 0;)
    if (strncmp (commits[i].write, prefix, (size_t)length) == 0)
      {
        snprintf (text, sizeof text, "%s", commits[i].write + length);
        break;
      }
  char signature[2 * NAME];
  snprintf (signature, sizeof signature, "%s.%s", connection->instance->id,
            id);
  answer (connection, "ROW %s\r\nCOMPLETE %s", text, signature);
}

/* Returns whether the log of INSTANCE contains the position TEXT.  */
static bool
contains (const struct instance *instance, const char *text)
{
  char *end;
  uint64_t of_term = strtoull (text, &end, 10);
  size_t number = *end == '.' ? strtoull (end + 1, NULL, 10) : 0;
  return number <= instance->applied && of_term >= term_at (number);
}

static void
do_status (struct connection *connection, const char *verb,
           const char *argument)
{
  struct instance *instance = connection->instance;
  uint64_t given = strtoull (argument, NULL, 10);
  bool leads = primary != NULL && primary == instance;
  char row[LINE];
  if (strcmp (verb, "PAUSE") == 0)
    {
      bool works = given > term && !leads;
      if (works)
        {
          instance->paused = true;
          instance->held_term = given;
        }
      record ("instance %s: PAUSE %" PRIu64
              " from %s: %s (newest term %" PRIu64 ")",
              instance->id, given, connection->host,
              works ? "receives nothing more" : "no effect", term);
    }
  else if (strcmp (verb, "RESUME") == 0)
    instance->paused = false;
  else if (strcmp (verb, "STEPDOWN") == 0 && leads && given > term)
    {
      leads = false;
      record ("instance %s: steps down", instance->id);
      primary = NULL;
    }
  snprintf (row, sizeof row,
            "%s %" PRIu64 " %" PRIu64 ".%zu %" PRIu64 " 0 0 1",
            leads ? "primary" : "replica", term, term_at (instance->received),
            instance->received, instance->held_term);
  answer (connection, "ROW %s\r\nCOMPLETE %s", row, "-");
}

static void
run_data (struct connection *connection, const char *id, const char *verb,
          const char *rest)
{
  struct instance *instance = connection->instance;
  char text[2 * LINE];
  snprintf (text, sizeof text, "%s%s%s", verb, rest[0] != '\0' ? " " : "",
            rest);
  bool is_write = strcmp (verb, "WRITE") == 0;
  bool is_commit = strcmp (verb, "COMMIT") == 0;
  if (connection->state == 'E' && !is_commit)
    {
      answer (connection, "ERROR %s %s", "MALFORMED", instance->id);
      return;
    }
  bool led = instance == primary && !connection->demoted;
  bool has_written = connection->write[0] != '\0';
  if (!led && (is_write || (connection->plain && (!is_commit || has_written))))
    {
      if (is_commit)
        connection->state = 'I';
      fail (connection, "READONLY");
      return;
    }
  record ("instance %s: runs %s %s, sent by %s", instance->id, id, text,
          connection->host);
  if (!client_sent (id, text))
    {
      record ("instance %s: no consumer has sent that", instance->id);
      unasked++;
    }
  if (is_write && connection->state == 'T')
    {
      snprintf (connection->write, sizeof connection->write, "%.500s", text);
      answer (connection, "COMPLETE %s.%s", instance->id, id);
    }
  else if (is_write)
    commit (connection, id, text);
  else if (!is_commit)
    read_item (connection, id, rest);
  else
    {
      connection->state = 'I';
      connection->plain = false;
      if (has_written)
        {
          char write[LINE];
          memcpy (write, connection->write, sizeof write);
          connection->write[0] = '\0';
          commit (connection, id, write);
        }
      else
        answer (connection, "COMPLETE %s.%s", instance->id, id);
    }
}

static void
do_begin (struct connection *connection, const char *rest)
{
  bool read_only = strcmp (rest, "READ") == 0;
  if (!read_only && connection->instance != primary)
    {
      fail (connection, "READONLY");
      return;
    }
  connection->state = 'T';
  connection->plain = !read_only;
  connection->demoted = false;
  connection->write[0] = '\0';
  answer (connection, "COMPLETE %s%s", "-", "");
}

static bool
is_data (const char *verb)
{
  return strcmp (verb, "READ") == 0 || strcmp (verb, "WRITE") == 0
         || strcmp (verb, "COMMIT") == 0;
}

/* Splits "QUERY ID [AFTER POSITION] VERB REST".  Returns false for another
   message.  */
static bool
split (const char *line, char id[NAME], char position[NAME], char verb[NAME],
       const char **rest)
{
  int used = 0;
  position[0] = '\0';
  if (sscanf (line, "QUERY %63s %63s%n", id, verb, &used) != 2)
    return false;
  line += used;
  if (strcmp (verb, "AFTER") == 0)
    {
      if (sscanf (line, "%63s %63s%n", position, verb, &used) != 2)
        return false;
      line += used;
    }
  *rest = *line == ' ' ? line + 1 : line;
  return true;
}

static void
run_statement (struct connection *connection)
{
  char id[NAME], position[NAME], verb[NAME];
  const char *rest;
  char line[2 * LINE];
  snprintf (line, sizeof line, "%s", connection->queue[0]);
  if (!split (line, id, position, verb, &rest))
    {
      fail (connection, "MALFORMED");
      return;
    }
  if (position[0] != '\0' && !contains (connection->instance, position))
    fail (connection, "LAGGING");
  else if (is_data (verb))
    run_data (connection, id, verb, rest);
  else if (strcmp (verb, "BEGIN") == 0)
    do_begin (connection, rest);
  else if (strcmp (verb, "ROLLBACK") == 0)
    {
      connection->state = 'I';
      connection->plain = false;
      connection->write[0] = '\0';
      answer (connection, "COMPLETE %s%s", "-", "");
    }
  else if (strcmp (verb, "STATUS") == 0 || strcmp (verb, "PAUSE") == 0
           || strcmp (verb, "RESUME") == 0 || strcmp (verb, "STEPDOWN") == 0)
    do_status (connection, verb, rest);
  else
    answer (connection, "COMPLETE %s%s", "-", "");
}

static void
on_work (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  run_statement (arg);
}

static void
run_queue (struct connection *connection)
{
  char id[NAME], position[NAME], verb[NAME];
  const char *rest;
  if (connection->queued == 0 || connection->awaits != 0
      || event_pending (connection->work, EV_TIMEOUT, NULL))
    return;
  long span_ms = 0;
  if (split (connection->queue[0], id, position, verb, &rest)
      && is_data (verb))
    span_ms = options.work_min_ms
              + chance (options.work_max_ms - options.work_min_ms + 1);
  struct timeval span
      = { .tv_sec = span_ms / 1000, .tv_usec = span_ms % 1000 * 1000 };
  evtimer_add (connection->work, &span);
}

static void
connection_free (struct connection *connection)
{
  if (connection->prev != NULL)
    connection->prev->next = connection->next;
  else
    connections = connection->next;
  if (connection->next != NULL)
    connection->next->prev = connection->prev;
  for (size_t i = 0; i < connection->queued; i++)
    free (connection->queue[i]);
  event_free (connection->work);
  bufferevent_free (connection->bev);
  free (connection);
}

static void
on_flushed (struct bufferevent *bev, void *arg)
{
  (void)bev;
  connection_free (arg);
}

static void
handle_startup (struct connection *connection, const char *line)
{
  char service[NAME], id[NAME] = "";
  const struct instance *instance = connection->instance;
  int fields
      = sscanf (line, "STARTUP %63s %63s %63s", service, connection->host, id);
  bool good = fields >= 2 && strcmp (service, options.name) == 0
              && (fields == 2 || strcmp (id, instance->id) == 0);
  if (is_cut (instance, connection->host))
    {
      connection->dead = true;
      return;
    }
  if (good)
    {
      put_ready (connection);
      return;
    }
  record ("instance %s: refuses \"%s\"", instance->id, line);
  evbuffer_add_printf (bufferevent_get_output (connection->bev),
                       "ERROR MISROUTED %s\r\n", instance->id);
  bufferevent_disable (connection->bev, EV_READ);
  bufferevent_setcb (connection->bev, NULL, on_flushed, NULL, connection);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct connection *connection = arg;
  char *line;
  while ((line = evbuffer_readln (bufferevent_get_input (bev), NULL,
                                  EVBUFFER_EOL_CRLF_STRICT))
         != NULL)
    {
      if (connection->host[0] != '\0'
          && is_cut (connection->instance, connection->host))
        connection->dead = true;
      if (connection->dead || connection->queued == MAX_QUEUE)
        free (line);
      else if (strncmp (line, "STARTUP ", 8) == 0)
        {
          handle_startup (connection, line);
          free (line);
        }
      else
        {
          connection->queue[connection->queued++] = line;
          run_queue (connection);
        }
    }
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)bev;
  (void)what;
  connection_free (arg);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int length, void *arg)
{
  struct connection *connection = calloc (1, sizeof *connection);
  (void)listener;
  (void)address;
  (void)length;
  if (connection == NULL)
    unable ("memory");
  if (!((struct instance *)arg)->up)
    {
      /* A crashed instance: the connection is reset.  */
      struct linger linger = { .l_onoff = 1 };
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      evutil_closesocket (fd);
      free (connection);
      return;
    }
  connection->instance = arg;
  connection->state = 'I';
  connection->work = evtimer_new (events, on_work, connection);
  connection->bev = bufferevent_socket_new (events, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->next = connections;
  if (connections != NULL)
    connections->prev = connection;
  connections = connection;
  bufferevent_setcb (connection->bev, on_read, NULL, on_event, connection);
  bufferevent_enable (connection->bev, EV_READ | EV_WRITE);
}

/* Listens on a free port.  */
static void
listen_on (struct instance *instance)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  instance->listener = evconnlistener_new_bind (
      events, on_accept, instance, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      -1, (struct sockaddr *)&address, sizeof address);
  if (instance->listener == NULL)
    unable ("no port for an instance");
  instance->port
      = address_bound_port (evconnlistener_get_fd (instance->listener));
  instance->up = true;
}

void
instance_crash (struct instance *instance)
{
  struct connection *next;
  record ("instance %s: crashes", instance->id);
  instance->up = false;
  for (struct connection *at = connections; at != NULL; at = next)
    {
      next = at->next;
      if (at->instance == instance)
        connection_free (at);
    }
}

void
instance_return (struct instance *instance)
{
  record ("instance %s: is back as %s, with %zu commits", instance->id,
          instance == primary ? "primary" : "replica", instance->received);
  instance->up = true;
  beat (instance);
  if (instance != primary && commit_count > instance->received)
    {
      struct delivery *delivery = calloc (1, sizeof *delivery);
      if (delivery == NULL)
        unable ("memory");
      *delivery = (struct delivery){ instance, commit_count,
                                     commits[commit_count - 1].term };
      after (options.receive_max_ms, on_delivery, delivery);
    }
}

size_t
instance_unapplied (const struct instance *instance)
{
  return instance->received - instance->applied;
}

struct instance *
instance_new (const char *id, const char *zone, bool leads)
{
  struct instance *instance = &instances[instance_count];
  if (instance_count == MAX_INSTANCES)
    unable ("too many instances");
  instance_count++;
  snprintf (instance->id, sizeof instance->id, "%s", id);
  snprintf (instance->zone, sizeof instance->zone, "%s", zone);
  listen_on (instance);
  instance->born = 1764900000000U + instance_count;
  if (leads)
    primary = instance;
  on_beat (instance);
  return instance;
}

void
instance_cut (struct instance *instance, const char *host, bool cut)
{
  const char *old = cut ? "" : host;
  size_t place = 0;
  record ("instance %s: %s host %s", instance->id,
          cut ? "is cut off from" : "is no longer cut off from", host);
  while (place < MAX_HOSTS && strcmp (instance->cut[place], old) != 0)
    place++;
  if (place == MAX_HOSTS)
    return;
  snprintf (instance->cut[place], NAME, "%s", cut ? host : "");
  struct connection *next;
  for (struct connection *at = connections; at != NULL; at = next)
    {
      next = at->next;
      if (at->instance != instance || strcmp (at->host, host) != 0)
        continue;
      if (cut)
        at->dead = true;
      else if (at->awaits == 0)
        connection_free (at);
    }
}

/* Promotion.  */

static void
lead (void *arg)
{
  struct instance *chosen = arg;
  if (chosen == primary || !chosen->up)
    return;
  term++;
  record ("instance %s: leads term %" PRIu64 " with %zu commits; the log of "
          "the old primary had %zu",
          chosen->id, term, chosen->received, commit_count);
  primary = chosen;
  for (size_t i = chosen->received; i < commit_count; i++)
    {
      lost[lost_count++] = commits[i];
      record ("instance %s: lacks %" PRIu64 ".%zu %s %s", chosen->id,
              commits[i].term, i + 1, commits[i].id,
              commits[i].acked_ms >= 0 ? "(acknowledged)"
                                       : "(not acknowledged)");
    }
  commit_count = chosen->received;
  for (size_t i = 0; i < instance_count; i++)
    {
      struct instance *instance = &instances[i];
      if (instance->received > commit_count)
        instance->received = commit_count;
      if (instance->applied > commit_count)
        instance->applied = commit_count;
      instance->paused = false;
      if (instance->up)
        beat (instance);
    }
  for (struct connection *at = connections; at != NULL; at = at->next)
    {
      at->demoted |= at->state == 'T';
      /* The outcome of a commit that still waits is not told.  */
      if (at->awaits > commit_count)
        at->dead = true;
    }
}

int
service_promote (const char *service, const char *id)
{
  if (strcmp (service, options.name) != 0)
    return 409;
  for (size_t i = 0; i < instance_count; i++)
    if (strcmp (instances[i].id, id) == 0 && instances[i].up)
      {
        if (&instances[i] != primary)
          after (options.promote_ms, lead, &instances[i]);
        return 200;
      }
  return 409;
}

void
service_each_lost (void (*fn) (void *arg, const struct commit *commit),
                   void *arg)
{
  for (size_t i = 0; i < lost_count; i++)
    fn (arg, &lost[i]);
}

size_t
service_unasked (void)
{
  return unasked;
}
