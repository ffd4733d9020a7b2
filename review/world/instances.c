/* The instances of one database and the platform's call to promote, as their
   published protocol tells.  A commit reaches each replica after a delay of
   that replica.  While sync_replicas is 1, a commit is acknowledged once one
   replica has received it, and holds its slot until then.  */

#include "world.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <jansson.h>

#define SLOTS 5
#define CONNECTIONS 72
#define HANDSHAKE_MS 12.0
#define READ_MS 6.0
#define WRITE_MS 9.0
#define COMMIT_MS 2.0
#define APPLY_MS 8.0
#define PROMOTE_MS 300.0
#define TICK_MS 2
#define SILENCE_MS 3600.0 /* three heartbeats */
#define LOG_LIMIT 200000
#define RUNS_LIMIT 400000

/* A commit; its number is its place in the log, counted from 1.  */
struct commit
{
  uint64_t term;
  char id[40];
  double at_ms; /* when the primary made it */
};

struct run
{
  char id[40];
  char *text;
  size_t length;
};

struct instance
{
  char id[16];
  char zone[16];
  uint16_t port;
  struct evconnlistener *listener;
  bool up;
  bool listed;
  bool draining;
  double down_ms;
  bool leads;
  uint64_t term;
  uint64_t held; /* term of the last PAUSE; 0: receives */
  double led_ms;
  size_t received; /* commits in its log */
  struct commit *log;
  double *received_ms;
  unsigned busy;
  unsigned connections;
};

enum what
{
  DOES_NOTHING,
  DOES_READ,
  DOES_WRITE,
  DOES_COMMIT,
  DOES_STATUS
};

struct connection
{
  struct instance *instance;
  struct bufferevent *bev;
  struct event *work; /* ends the statement that runs */
  struct event *closing;
  bool started;
  bool occupied; /* has a slot */
  bool running;
  bool awaits; /* a replica, for the commit NUMBER */
  size_t number;
  char state;
  bool plain;
  uint64_t begun_term;
  unsigned writes; /* of the open transaction */
  enum what does;
  char id[40];
  struct connection *prev;
  struct connection *next;
};

static struct instance instances[INSTANCES];
static struct connection *connections;
static struct world_settings settings;
static int deaf = -1; /* receives nothing */
static int source;    /* the instance that led last */
static uint64_t newest_term = 1;
static uint64_t newest_token;
static uint16_t promote_port;
static bool call_down;
static double delay_next_ms = -1;
static int late_target = -1;        /* of the order without an answer */
static struct commit *acknowledged; /* with their numbers in the log */
static size_t *acknowledged_number;
static size_t acknowledged_count;
static unsigned lost;
static struct run *runs;
static size_t run_count;

static size_t
applied (const struct instance *instance)
{
  size_t count = instance->received;
  double since_ms = now_ms () - APPLY_MS;
  if (instance->leads && now_ms () - instance->led_ms > APPLY_MS)
    return count;
  while (count > 0 && instance->received_ms[count - 1] > since_ms)
    count--;
  return count;
}

static uint64_t
term_at (const struct instance *instance, size_t number)
{
  return number > 0 ? instance->log[number - 1].term : 1;
}

static void
publish (struct instance *instance)
{
  char key[64], text[400];
  snprintf (key, sizeof key, "servers/%.15s", instance->id);
  snprintf (text, sizeof text,
            "{\"service\":\"" SERVICE "\",\"address\":\"127.0.0.1:%u\","
            "\"zone\":\"%s\",\"version\":\"v1\",\"capacity\":%d,"
            "\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":1,"
            "\"born\":1700000000000,\"db_role\":\"%s\"}",
            instance->port, instance->zone, SLOTS,
            instance->draining ? "draining" : "ready",
            instance->leads ? "primary" : "replica");
  store_put (key, text);
  instance->listed = true;
}

static void
put_ready (struct connection *connection)
{
  const struct instance *instance = connection->instance;
  size_t number = applied (instance);
  evbuffer_add_printf (bufferevent_get_output (connection->bev),
                       "READY %c %llu.%zu\r\n", connection->state,
                       (unsigned long long)term_at (instance, number), number);
}

static void
answer (struct connection *connection, const char *line)
{
  evbuffer_add_printf (bufferevent_get_output (connection->bev), "%s\r\n",
                       line);
  put_ready (connection);
}

static void
refuse (struct connection *connection, const char *code)
{
  char line[80];
  snprintf (line, sizeof line, "ERROR %s %s", code, connection->instance->id);
  answer (connection, line);
}

static bool
take_slot (struct connection *connection)
{
  if (connection->instance->busy >= SLOTS)
    return false;
  connection->instance->busy++;
  connection->occupied = true;
  return true;
}

static void
give_slot (struct connection *connection)
{
  if (connection->occupied)
    connection->instance->busy--;
  connection->occupied = false;
}

static void handle_lines (struct connection *connection);

static void
drop (struct connection *connection)
{
  give_slot (connection);
  connection->instance->connections--;
  if (connection->prev != NULL)
    connection->prev->next = connection->next;
  else
    connections = connection->next;
  if (connection->next != NULL)
    connection->next->prev = connection->prev;
  event_free (connection->work);
  bufferevent_free (connection->bev);
  free (connection);
}

static void
signed_line (const struct connection *connection, char *out, size_t size)
{
  snprintf (out, size, "%sCOMPLETE %s.%s",
            connection->does == DOES_READ ? "ROW v\r\n" : "",
            connection->instance->id, connection->id);
}

static void
finish (struct connection *connection)
{
  char line[160];
  signed_line (connection, line, sizeof line);
  give_slot (connection);
  connection->running = connection->awaits = false;
  answer (connection, line);
  handle_lines (connection);
}

static void
note_acknowledged (const struct connection *connection)
{
  const struct instance *instance = connection->instance;
  if (acknowledged_count == LOG_LIMIT)
    abort ();
  acknowledged[acknowledged_count] = instance->log[connection->number - 1];
  acknowledged_number[acknowledged_count++] = connection->number;
  record ("commit %s acknowledged by %s at %llu.%zu", connection->id,
          instance->id,
          (unsigned long long)instance->log[connection->number - 1].term,
          connection->number);
}

static bool
has_commit (const struct instance *instance, const struct commit *commit,
            size_t number)
{
  return instance->received >= number
         && instance->log[number - 1].term == commit->term
         && strcmp (instance->log[number - 1].id, commit->id) == 0;
}

static bool
is_received (const struct connection *connection)
{
  const struct commit *commit
      = &connection->instance->log[connection->number - 1];
  unsigned count = 0;
  for (int i = 0; i < INSTANCES; i++)
    if (&instances[i] != connection->instance && instances[i].up)
      count += has_commit (&instances[i], commit, connection->number);
  return count >= settings.sync_replicas;
}

/* Adds a commit to the log of the primary.  */
static void
make_commit (struct connection *connection)
{
  struct instance *instance = connection->instance;
  struct commit *commit = &instance->log[instance->received];
  if (instance->received == LOG_LIMIT)
    abort ();
  commit->term = instance->term;
  commit->at_ms = now_ms ();
  snprintf (commit->id, sizeof commit->id, "%s", connection->id);
  instance->received_ms[instance->received++] = 0;
  connection->number = instance->received;
  connection->awaits = true;
}

static bool
lost_lead (const struct connection *connection)
{
  const struct instance *instance = connection->instance;
  return !instance->leads
         || (connection->state != 'I'
             && connection->begun_term != instance->term);
}

static void
on_work (evutil_socket_t fd, short what, void *arg)
{
  struct connection *connection = arg;
  (void)fd;
  (void)what;
  bool commits
      = (connection->does == DOES_WRITE && connection->state == 'I')
        || (connection->does == DOES_COMMIT && connection->writes > 0);
  bool needs_lead = connection->does == DOES_WRITE || commits
                    || (connection->state != 'I' && connection->plain
                        && connection->does == DOES_READ);
  if (needs_lead && lost_lead (connection))
    {
      give_slot (connection);
      connection->running = false;
      if (connection->state != 'I')
        connection->state = connection->does == DOES_COMMIT ? 'I' : 'E';
      refuse (connection, "READONLY");
      handle_lines (connection);
      return;
    }
  if (connection->does == DOES_WRITE && connection->state == 'T')
    connection->writes++;
  if (connection->does == DOES_COMMIT)
    connection->state = 'I';
  if (commits)
    make_commit (connection);
  else
    finish (connection);
}

static void
note_run (const struct connection *connection, const char *text, size_t length)
{
  if (run_count == RUNS_LIMIT)
    abort ();
  struct run *run = &runs[run_count++];
  snprintf (run->id, sizeof run->id, "%s", connection->id);
  run->text = malloc (length + 1);
  memcpy (run->text, text, length + 1);
  run->length = length;
  record ("%s run by %s: %zu bytes, %s", run->id, connection->instance->id,
          length, text);
}

const char *
instances_ran (const char *id, size_t *length)
{
  for (size_t i = 0; i < run_count; i++)
    if (strcmp (runs[i].id, id) == 0)
      {
        *length = runs[i].length;
        return runs[i].text;
      }
  return NULL;
}

static void
start_work (struct connection *connection, enum what does, double span_ms)
{
  struct timeval span = { .tv_usec = (suseconds_t)(span_ms * 1000) };
  if (!take_slot (connection))
    {
      refuse (connection, "BUSY");
      return;
    }
  connection->does = does;
  connection->running = true;
  evtimer_add (connection->work, &span);
}

static void
answer_status (struct connection *connection)
{
  const struct instance *instance = connection->instance;
  char line[160];
  snprintf (line, sizeof line,
            "ROW %s %llu %llu.%zu %llu 0 %u %u\r\nCOMPLETE -",
            instance->leads ? "primary" : "replica",
            (unsigned long long)instance->term,
            (unsigned long long)term_at (instance, instance->received),
            instance->received, (unsigned long long)instance->held,
            instance->busy, instance->connections);
  answer (connection, line);
}

/* Handles the statements of the system itself.  */
static bool
handle_control (struct connection *connection, const char *text)
{
  struct instance *instance = connection->instance;
  unsigned long long term = 0;
  if (strcmp (text, "STATUS") == 0)
    {
      if (instance->busy >= SLOTS)
        refuse (connection, "BUSY");
      else
        answer_status (connection);
      return true;
    }
  if (sscanf (text, "PAUSE %llu", &term) == 1)
    {
      if (term > newest_term && !instance->leads)
        instance->held = term;
      record ("%s is told PAUSE %llu: held %llu", instance->id, term,
              (unsigned long long)instance->held);
    }
  else if (strcmp (text, "RESUME") == 0)
    {
      instance->held = 0;
      record ("%s is told RESUME", instance->id);
    }
  else if (sscanf (text, "STEPDOWN %llu", &term) == 1)
    {
      if (instance->leads && term > instance->term)
        {
          instance->leads = false;
          publish (instance);
        }
      record ("%s is told STEPDOWN %llu: leads %d", instance->id, term,
              instance->leads);
    }
  else
    return false;
  answer_status (connection);
  return true;
}

/* Splits AFTER off TEXT.  Returns false if the log lacks the position.  */
static bool
take_after (const struct connection *connection, const char **text)
{
  const struct instance *instance = connection->instance;
  unsigned long long term, number;
  int used = 0;
  if (sscanf (*text, "AFTER %llu.%llu %n", &term, &number, &used) != 2)
    return true;
  *text += used;
  size_t count = applied (instance);
  return number == 0 || (number <= count && term_at (instance, number) >= term)
         || (count > 0 && term_at (instance, count) > term);
}

static void
begin (struct connection *connection, bool plain)
{
  if (plain && !connection->instance->leads)
    {
      refuse (connection, "READONLY");
      return;
    }
  connection->state = 'T';
  connection->plain = plain;
  connection->writes = 0;
  connection->begun_term = connection->instance->term;
  answer (connection, "COMPLETE -");
}

static void
handle_query (struct connection *connection, const char *text, size_t length)
{
  const char *start = text;
  bool has_position = take_after (connection, &text);
  length -= (size_t)(text - start);
  bool reads = strncmp (text, "READ ", 5) == 0;
  bool writes = strncmp (text, "WRITE ", 6) == 0;
  if (handle_control (connection, text))
    return;
  if (!has_position)
    refuse (connection, "LAGGING");
  else if (connection->state == 'E' && strcmp (text, "ROLLBACK") != 0)
    refuse (connection, "MALFORMED");
  else if (strcmp (text, "BEGIN") == 0 || strcmp (text, "BEGIN READ") == 0)
    begin (connection, text[5] == '\0');
  else if (strcmp (text, "ROLLBACK") == 0)
    {
      connection->state = 'I';
      answer (connection, "COMPLETE -");
    }
  else if (writes && !connection->instance->leads)
    refuse (connection, "READONLY");
  else if (reads || writes || strcmp (text, "COMMIT") == 0)
    {
      start_work (connection,
                  reads    ? DOES_READ
                  : writes ? DOES_WRITE
                           : DOES_COMMIT,
                  reads    ? READ_MS
                  : writes ? WRITE_MS
                           : COMMIT_MS);
      if (connection->running)
        note_run (connection, text, length);
    }
  else
    answer (connection, "COMPLETE -");
}

/* Returns false if the connection was closed.  */
static bool
handle_startup (struct connection *connection, const char *line)
{
  char service[40], user[80], id[40] = "";
  const struct instance *instance = connection->instance;
  int count = sscanf (line, "STARTUP %39s %79s %39s", service, user, id);
  const char *error = NULL;
  if (count < 2 || strcmp (service, SERVICE) != 0
      || (count == 3 && strcmp (id, instance->id) != 0))
    error = "MISROUTED";
  else if (instance->connections > CONNECTIONS)
    error = "TOOMANY";
  if (error != NULL)
    {
      evbuffer_add_printf (bufferevent_get_output (connection->bev),
                           "ERROR %s %s\r\n", error, instance->id);
      bufferevent_flush (connection->bev, EV_WRITE, BEV_FLUSH);
      drop (connection);
      return false;
    }
  connection->started = true;
  put_ready (connection);
  return true;
}

static void
handle_lines (struct connection *connection)
{
  struct evbuffer *input = bufferevent_get_input (connection->bev);
  size_t length;
  char *line;
  while (!connection->running
         && (line = evbuffer_readln (input, &length, EVBUFFER_EOL_CRLF_STRICT))
                != NULL)
    {
      int used = 0;
      bool open = true;
      if (!connection->started)
        open = handle_startup (connection, line);
      else if (sscanf (line, "QUERY %39s %n", connection->id, &used) == 1
               && used > 0)
        handle_query (connection, line + used, length - (size_t)used);
      free (line);
      if (!open)
        return;
    }
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  (void)bev;
  handle_lines (arg);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)bev;
  (void)what;
  drop (arg);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int length, void *arg)
{
  struct connection *connection = calloc (1, sizeof *connection);
  (void)listener;
  (void)address;
  (void)length;
  connection->instance = arg;
  connection->instance->connections++;
  connection->state = 'I';
  connection->bev = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->work = evtimer_new (base, on_work, connection);
  connection->next = connections;
  if (connections != NULL)
    connections->prev = connection;
  connections = connection;
  bufferevent_setcb (connection->bev, on_read, NULL, on_event, connection);
  bufferevent_enable (connection->bev, EV_READ | EV_WRITE);
}

static int
leader (void)
{
  for (int i = 0; i < INSTANCES; i++)
    if (instances[i].leads)
      return i;
  return -1;
}

int
instances_leader (void)
{
  return leader ();
}

const char *
instances_id (int i)
{
  return instances[i].id;
}

/* Lets REPLICA receive what has reached it of the log of PRIMARY.  */
static void
receive (struct instance *replica, const struct instance *primary,
         double delay_ms)
{
  size_t common = 0;
  bool changed = replica->term != primary->term;
  size_t shorter = replica->received < primary->received ? replica->received
                                                         : primary->received;
  common = shorter;
  while (
      common > 0
      && (replica->log[common - 1].term != primary->log[common - 1].term
          || strcmp (replica->log[common - 1].id, primary->log[common - 1].id)
                 != 0))
    common--;
  if (common < replica->received)
    record ("%s rolls back from %zu to %zu", replica->id, replica->received,
            common);
  replica->received = common;
  if (changed)
    replica->term = primary->term;
  while (replica->received < primary->received
         && primary->log[replica->received].at_ms + delay_ms <= now_ms ())
    {
      replica->log[replica->received] = primary->log[replica->received];
      replica->received_ms[replica->received++] = now_ms ();
    }
}

static void
check_entry (struct instance *instance)
{
  char key[64];
  if (instance->up || !instance->listed
      || now_ms () - instance->down_ms < SILENCE_MS)
    return;
  snprintf (key, sizeof key, "servers/%.15s", instance->id);
  store_remove (key);
  instance->listed = false;
}

static void
on_tick (void *arg)
{
  struct connection *connection, *next;
  (void)arg;
  for (int i = 0; i < INSTANCES; i++)
    {
      struct instance *instance = &instances[i];
      check_entry (instance);
      if (i != source && instance->up && instances[source].up
          && instance->held == 0 && i != deaf)
        receive (instance, &instances[source], settings.receive_ms[i]);
    }
  for (connection = connections; connection != NULL; connection = next)
    {
      next = connection->next;
      if (!connection->awaits || !is_received (connection))
        continue;
      note_acknowledged (connection);
      finish (connection);
      next = connections; /* it may have been closed */
    }
  run_after (TICK_MS, on_tick, NULL);
}

static void
check_lost (const struct instance *promoted)
{
  unsigned count = 0;
  for (size_t i = 0; i < acknowledged_count; i++)
    if (!has_commit (promoted, &acknowledged[i], acknowledged_number[i]))
      {
        record ("LOST: %s lacks the acknowledged commit %s, %llu.%zu",
                promoted->id, acknowledged[i].id,
                (unsigned long long)acknowledged[i].term,
                acknowledged_number[i]);
        count++;
      }
  lost += count;
}

unsigned
instances_lost_commits (void)
{
  return lost;
}

static void
on_promoted (void *arg)
{
  struct instance *instance = arg;
  if (!instance->up || instance->leads)
    return;
  for (int i = 0; i < INSTANCES; i++)
    {
      bool led = instances[i].leads;
      instances[i].leads = false;
      instances[i].held = 0;
      if (led && instances[i].up)
        publish (&instances[i]);
    }
  instance->term = ++newest_term;
  instance->leads = true;
  source = (int)(instance - instances);
  instance->led_ms = now_ms ();
  record ("%s leads term %llu with %zu commits", instance->id,
          (unsigned long long)instance->term, instance->received);
  check_lost (instance);
  publish (instance);
}

static struct instance *
find_instance (const char *id)
{
  for (int i = 0; i < INSTANCES; i++)
    if (id != NULL && strcmp (instances[i].id, id) == 0)
      return &instances[i];
  return NULL;
}

/* Carries out the order to promote INSTANCE.  Returns the HTTP status.  */
static int
carry_out (struct instance *instance, uint64_t token)
{
  if (token < newest_token || instance == NULL || !instance->up)
    return 409;
  newest_token = token;
  if (!instance->leads)
    run_after (PROMOTE_MS, on_promoted, instance);
  return 200;
}

struct late_order
{
  struct instance *instance;
  uint64_t token;
};

static void
on_late_order (void *arg)
{
  struct late_order *order = arg;
  record ("the late order for %s is carried out: %d", order->instance->id,
          carry_out (order->instance, order->token));
  free (order);
}

static void
on_promote (struct evhttp_request *request, void *arg)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  json_t *body = json_loadb ((const char *)evbuffer_pullup (input, -1),
                             evbuffer_get_length (input), 0, NULL);
  const char *id = json_string_value (json_object_get (body, "id"));
  const char *token = evhttp_find_header (
      evhttp_request_get_input_headers (request), "X-Fencing-Token");
  const char *holder = evhttp_find_header (
      evhttp_request_get_input_headers (request), "X-Lease-Holder");
  struct instance *instance = find_instance (id);
  uint64_t number = token != NULL ? strtoull (token, NULL, 10) : 0;
  int status = 503;
  (void)arg;
  if (!call_down && delay_next_ms >= 0 && instance != NULL)
    {
      struct late_order *order = calloc (1, sizeof *order);
      record ("order for %s by %s, token %s: not answered", id, holder, token);
      *order = (struct late_order){ instance, number };
      late_target = (int)(instance - instances);
      run_after (delay_next_ms, on_late_order, order);
      delay_next_ms = -1;
      json_decref (body);
      return; /* never answered */
    }
  if (!call_down)
    status = carry_out (instance, number);
  record ("order for %s by %s, token %s: %d", id != NULL ? id : "-",
          holder != NULL ? holder : "-", token != NULL ? token : "-", status);
  evhttp_send_reply (request, status, NULL, NULL);
  json_decref (body);
}

void
instances_set_call_down (bool down)
{
  call_down = down;
  record ("the call to promote is %s", down ? "down" : "back");
}

void
instances_delay_next_order (double late_ms)
{
  delay_next_ms = late_ms;
}

static bool
listen_on (struct instance *instance)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  if (instance->port == 0)
    instance->port = free_port ();
  address.sin_port = htons (instance->port);
  instance->listener = evconnlistener_new_bind (
      base, on_accept, instance, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      128, (struct sockaddr *)&address, sizeof address);
  return instance->listener != NULL;
}

void
instances_crash (int i)
{
  struct connection *connection, *next;
  record ("%s crashes", instances[i].id);
  instances[i].up = false;
  instances[i].down_ms = now_ms ();
  evconnlistener_free (instances[i].listener);
  for (connection = connections; connection != NULL; connection = next)
    {
      next = connection->next;
      if (connection->instance == &instances[i])
        drop (connection);
    }
}

void
instances_back (int i)
{
  record ("%s is back as %s", instances[i].id,
          instances[i].leads ? "primary" : "replica");
  instances[i].up = true;
  if (!listen_on (&instances[i]))
    abort ();
  publish (&instances[i]);
}

void
instances_set_deaf (int i)
{
  if (i >= 0)
    record ("%s receives nothing", instances[i].id);
  else
    record ("all replicas receive");
  deaf = i;
}

int
instances_late_order (void)
{
  return late_target;
}

void
instances_announce_leaving (int i)
{
  record ("%s announces that it leaves", instances[i].id);
  instances[i].draining = true;
  publish (&instances[i]);
}

void
instances_describe (void)
{
  for (int i = 0; i < INSTANCES; i++)
    record ("%s: %s %s, %zu commits, held %llu, busy %u", instances[i].id,
            instances[i].up ? "up" : "down",
            instances[i].leads ? "primary" : "replica", instances[i].received,
            (unsigned long long)instances[i].held, instances[i].busy);
}

uint16_t
instances_promote_port (void)
{
  return promote_port;
}

void
instances_open (const struct world_settings *given)
{
  static const char *const ids[INSTANCES]
      = { "i-3c81f0", "i-1fa27d", "i-2b9e45" };
  settings = *given;
  runs = calloc (RUNS_LIMIT, sizeof *runs);
  acknowledged = calloc (LOG_LIMIT, sizeof *acknowledged);
  acknowledged_number = calloc (LOG_LIMIT, sizeof *acknowledged_number);
  for (int i = 0; i < INSTANCES; i++)
    {
      struct instance *instance = &instances[i];
      snprintf (instance->id, sizeof instance->id, "%s", ids[i]);
      snprintf (instance->zone, sizeof instance->zone, "zone-%d", i + 1);
      instance->log = calloc (LOG_LIMIT, sizeof *instance->log);
      instance->received_ms = calloc (LOG_LIMIT, sizeof (double));
      instance->up = true;
      instance->term = 1;
      instance->leads = i == 0;
      if (!listen_on (instance))
        abort ();
      publish (instance);
    }
  struct evhttp *http = evhttp_new (base);
  promote_port = free_port ();
  evhttp_set_gencb (http, on_promote, NULL);
  if (evhttp_bind_socket (http, "127.0.0.1", promote_port) != 0)
    abort ();
  on_tick (NULL);
}
