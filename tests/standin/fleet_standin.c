/* fleet_standin - stand-in for the platform that "savoryway serve" runs on.

   One process serves a database group of three instances, the platform's
   key-value store and the HTTP call that promotes an instance, all on
   ephemeral loopback ports.  It prints one line when it is ready:

     store=PORT promote=PORT control=PORT

   Control port (HTTP):
     POST /fault {"instance": N, "kind": KIND}   N counts from 0
       crash  closes the listener and all connections of the instance
       back   restarts a crashed instance on its old port
       drain  publishes the instance as draining
       slow   takes 300 ms for each WRITE from now on
     POST /fault {"kind": KIND}
       copy     takes a copy of the store
       restore  restores the store from the copy: writes and leases since then
                are lost, revisions and ids of leases are given out again,
                pending watches are cut, and Store-Era rises; the instances
                and the operator write again what they wrote
       config   adds the route "added-VERSION" to the configuration, which
                keeps the ROUTES_KEPT newest of them
       silence  for the next "ms" ms the store loses calls that arrive, each
                with a chance of "percent" (100): it never answers them, though
                their connections stay open; pending watches get no answer
                until then
       lose_watches  loses the watches that are pending in the same way
     GET /state  the leader, its term, the number of writes so far and the
                 version of the configuration, as JSON

   Instances share one set of rows, so replicas have no lag.  "READ ITEM BYTES"
   answers with a row of BYTES bytes.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <jansson.h>
#include <utlist.h>

#include "kernel/mem.h"
#include "port/address.h"
#include "port/kv_codec.h"
#include "standin_control.h"

#define INSTANCES 3
#define KEY_LIMIT 1024
#define LEASE_LIMIT 1024
#define LEASE_CHECK_US 100000
/* Added routes that a configuration contains.  */
#define ROUTES_KEPT 8
#define FIRST_VERSION 3
#define PROMOTION_DELAY_US 100000 /* from the call to the change of roles */
#define SLOW_WRITE_US 300000
#define LOST_CALL_S 60
#define SILENCE_POLL_US 50000
#define CONNECTIONS 200 /* of an instance, from all hosts */
#define ROW_LIMIT_BYTES ((size_t)1000 * 1000)
#define GROUP "books"
#define DATABASE "ledger"

struct store_entry
{
  char key[200];
  char *value; /* base64 */
  uint64_t revision;
  uint64_t created;
  json_int_t lease;
  bool removed; /* kept, since watches report removed keys */
};

struct lease
{
  json_int_t id;
  json_int_t ttl_ms;
  double until_ms;
};

/* The contents of the store.  */
struct store
{
  struct store_entry keys[KEY_LIMIT];
  size_t key_count;
  struct lease leases[LEASE_LIMIT];
  size_t lease_count;
  json_int_t next_lease;
  uint64_t revision;
};

/* A watch call that waits for a change below its prefix.  */
struct watch
{
  struct evhttp_request *request;
  struct event *timeout;
  char prefix[200];
  uint64_t after_revision;
  struct watch *prev;
  struct watch *next;
};

struct instance
{
  char id[8];
  uint16_t port;
  struct evconnlistener *listener;
  bool crashed;
  bool draining;
  bool slow;
};

struct connection
{
  struct instance *instance;
  struct bufferevent *bev;
  char state; /* I: idle, T: in a transaction, E: transaction failed */
  bool plain;
  char *delayed; /* line that is handled when DELAY has passed, or NULL */
  struct event *delay;
  struct connection *prev;
  struct connection *next;
};

static struct event_base *base;
static struct instance instances[INSTANCES];
static struct connection *connections;
static size_t leader;
static uint64_t term = 1;
static uint64_t number; /* of writes so far; log position within the term */
static char values[64][64]; /* of items "0" to "63" */
static struct store store = { .revision = 1, .next_lease = 100 };
static struct store copy;
static uint64_t era = 1; /* of the store */
static struct watch *watches;
static unsigned version = FIRST_VERSION; /* of the configuration */
static double silent_until_ms;           /* of the store */
static unsigned silent_percent;
static size_t promotion_target;

/* Store.  */

static struct store_entry *
find_key (const char *key)
{
  for (size_t i = 0; i < store.key_count; i++)
    if (strcmp (store.keys[i].key, key) == 0)
      return &store.keys[i];
  return NULL;
}

static double
now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static bool
is_silent (void)
{
  return now_ms () < silent_until_ms;
}

static json_t *
entry_json (const struct store_entry *entry)
{
  if (entry->removed)
    return json_pack ("{s:s, s:I, s:b}", "key", entry->key, "revision",
                      (json_int_t)entry->revision, "removed", 1);
  return json_pack ("{s:s, s:s, s:I, s:I, s:I}", "key", entry->key, "value",
                    entry->value, "revision", (json_int_t)entry->revision,
                    "created", (json_int_t)entry->created, "lease",
                    entry->lease);
}

static void
reply_json (struct evhttp_request *request, int status, json_t *body)
{
  struct evbuffer *buffer = evbuffer_new ();
  char *text = json_dumps (body, JSON_COMPACT);
  evbuffer_add (buffer, text, strlen (text));
  evhttp_send_reply (request, status, NULL, buffer);
  evbuffer_free (buffer);
  free (text);
  json_decref (body);
}

/* Replies with the header that all answers of the store have.  */
static void
reply_store (struct evhttp_request *request, int status, json_t *body)
{
  char *text = mem_printf ("%" PRIu64, era);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Store-Era",
                     text);
  free (text);
  reply_json (request, status, body);
}

/* Returns the entries below PREFIX changed after AFTER_REVISION; removed ones
   only for a watch.  */
static json_t *
collect_entries (const char *prefix, uint64_t after_revision, bool watch)
{
  json_t *array = json_array ();
  for (size_t i = 0; i < store.key_count; i++)
    if (strncmp (store.keys[i].key, prefix, strlen (prefix)) == 0
        && store.keys[i].revision > after_revision
        && (watch || !store.keys[i].removed))
      json_array_append_new (array, entry_json (&store.keys[i]));
  return array;
}

static void
watch_free (struct watch *watch)
{
  DL_DELETE (watches, watch);
  event_free (watch->timeout);
  free (watch);
}

/* Answers and frees WATCH.  Returns false, without an answer, if there are no
   events and EVEN_IF_EMPTY is not set.  */
static bool
watch_reply (struct watch *watch, bool even_if_empty)
{
  json_t *events
      = collect_entries (watch->prefix, watch->after_revision, true);
  if (json_array_size (events) == 0 && !even_if_empty)
    {
      json_decref (events);
      return false;
    }
  reply_store (watch->request, 200,
               json_pack ("{s:o, s:I}", "events", events, "as_of",
                          (json_int_t)store.revision));
  watch_free (watch);
  return true;
}

static void
answer_changed_watches (void)
{
  struct watch *watch, *next;
  if (is_silent ())
    return;
  DL_FOREACH_SAFE (watches, watch, next)
  watch_reply (watch, false);
}

static void
put_key (const char *key, const char *value, json_int_t lease)
{
  struct store_entry *entry = find_key (key);
  if (entry == NULL && store.key_count == KEY_LIMIT)
    abort ();
  if (entry == NULL)
    {
      entry = &store.keys[store.key_count++];
      snprintf (entry->key, sizeof entry->key, "%s", key);
      entry->removed = true;
    }
  store.revision++;
  if (entry->removed)
    entry->created = store.revision;
  free (entry->value);
  entry->value = mem_strdup (value);
  entry->revision = store.revision;
  entry->lease = lease;
  entry->removed = false;
}

static void
remove_entry (struct store_entry *entry)
{
  if (entry == NULL || entry->removed)
    return;
  entry->removed = true;
  entry->revision = ++store.revision;
}

static void
put_text (const char *key, const char *text)
{
  char *value = kv_base64_encode (text, strlen (text));
  put_key (key, value, 0);
  free (value);
}

static json_t *
route_json (const char *name, const char *database)
{
  return json_pack ("{s:s, s:s, s:s, s:i, s:i, s:s, s:i}", "name", name,
                    "host", database, "kind", "read_your_writes", "timeout_ms",
                    1000, "priority", 1, "service", GROUP, "max_staleness_ms",
                    2000);
}

/* Writes the configuration, as the operator does.  */
static void
write_config (void)
{
  json_t *routes = json_array ();
  unsigned first = version > ROUTES_KEPT ? version - ROUTES_KEPT : 0;
  json_array_append_new (routes, route_json ("r", DATABASE));
  for (unsigned i = first + 1; i <= version; i++)
    {
      char *name = mem_printf ("added-%u", i);
      if (i > FIRST_VERSION)
        json_array_append_new (routes, route_json (name, name));
      free (name);
    }
  json_t *config = json_pack (
      "{s:i, s:o, s:[{s:s, s:i, s:i}], s:{s:i}}", "version", (int)version,
      "routes", routes, "services", "name", GROUP, "max_conns", CONNECTIONS,
      "sync_replicas", 0, "limits", "tx_idle_ms", 3000);
  char *text = json_dumps (config, JSON_COMPACT);
  put_text ("op/config", text);
  json_decref (config);
  free (text);
}

/* Writes the records of the instances, as the platform lists them.  */
static void
publish_instances (void)
{
  for (size_t i = 0; i < INSTANCES; i++)
    {
      struct instance *instance = &instances[i];
      char *key = mem_printf ("servers/%s", instance->id);
      char *text = mem_printf (
          "{\"service\":\"" GROUP "\",\"address\":\"127.0.0.1:%u\",\"zone\":"
          "\"zone-%zu\",\"version\":\"v1\",\"capacity\":4,\"cold_remaining_"
          "ms\":0,\"state\":\"%s\","
          "\"db_role\":\"%s\",\"sequence\":1,\"born\":1}",
          instance->port, i, instance->draining ? "draining" : "ready",
          i == leader ? "primary" : "replica");
      put_text (key, text);
      free (key);
      free (text);
    }
  answer_changed_watches ();
}

static json_t *
read_body (struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  return json_loadb ((const char *)evbuffer_pullup (input, -1),
                     evbuffer_get_length (input), 0, NULL);
}

static struct lease *
find_lease (json_int_t id)
{
  for (size_t i = 0; i < store.lease_count; i++)
    if (store.leases[i].id == id)
      return &store.leases[i];
  return NULL;
}

/* Removes LEASE and its keys.  */
static void
remove_lease (struct lease *lease)
{
  for (size_t i = 0; i < store.key_count; i++)
    if (store.keys[i].lease == lease->id)
      remove_entry (&store.keys[i]);
  *lease = store.leases[--store.lease_count];
}

static void
on_lease_check (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  for (size_t i = store.lease_count; i > 0; i--)
    if (store.leases[i - 1].until_ms < now_ms ())
      remove_lease (&store.leases[i - 1]);
  answer_changed_watches ();
}

static void
create_lease (struct evhttp_request *request)
{
  json_t *body = read_body (request);
  json_int_t ttl_ms = json_integer_value (json_object_get (body, "ttl_ms"));
  json_decref (body);
  if (store.lease_count == LEASE_LIMIT)
    abort ();
  store.leases[store.lease_count++]
      = (struct lease){ .id = store.next_lease,
                        .ttl_ms = ttl_ms,
                        .until_ms = now_ms () + (double)ttl_ms };
  reply_store (request, 200, json_pack ("{s:I}", "lease", store.next_lease++));
}

static void
renew_lease (struct evhttp_request *request, json_int_t id)
{
  struct lease *lease = find_lease (id);
  if (lease != NULL)
    lease->until_ms = now_ms () + (double)lease->ttl_ms;
  reply_store (request, lease != NULL ? 200 : 404, json_object ());
}

static void
end_lease (struct evhttp_request *request, json_int_t id)
{
  struct lease *lease = find_lease (id);
  if (lease != NULL)
    remove_lease (lease);
  reply_store (request, 200, json_object ());
  answer_changed_watches ();
}

static void
on_txn (struct evhttp_request *request)
{
  json_t *body = read_body (request), *row;
  size_t i;
  bool matches = true, leased = true;
  json_array_foreach (json_object_get (body, "expected"), i, row)
  {
    const struct store_entry *entry
        = find_key (json_string_value (json_object_get (row, "key")));
    json_int_t revision_found
        = entry != NULL && !entry->removed ? (json_int_t)entry->revision : 0;
    matches = matches
              && revision_found
                     == json_integer_value (json_object_get (row, "revision"));
  }
  json_array_foreach (json_object_get (body, "set_keys"), i, row)
  {
    json_int_t lease = json_integer_value (json_object_get (row, "lease"));
    leased = leased && (lease == 0 || find_lease (lease) != NULL);
  }
  matches = matches && leased;
  json_array_foreach (json_object_get (body, "set_keys"), i, row) if (matches)
      put_key (json_string_value (json_object_get (row, "key")),
               json_string_value (json_object_get (row, "value")),
               json_integer_value (json_object_get (row, "lease")));
  json_array_foreach (json_object_get (body, "remove"), i, row) if (matches)
      remove_entry (find_key (json_string_value (row)));
  json_decref (body);
  reply_store (request,
               !leased   ? 404
               : matches ? 200
                         : 412,
               json_pack ("{s:I}", "revision", (json_int_t)store.revision));
  answer_changed_watches ();
}

static void
on_watch_timeout (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  static const struct timeval later = { .tv_usec = SILENCE_POLL_US };
  struct watch *watch = arg;
  if (is_silent ())
    evtimer_add (watch->timeout, &later);
  else
    watch_reply (watch, true);
}

static void
on_watch (struct evhttp_request *request, struct evkeyvalq *query)
{
  struct watch *watch = mem_zalloc (sizeof *watch);
  long wait_ms = atol (evhttp_find_header (query, "wait_ms"));
  struct timeval timeout
      = { .tv_sec = wait_ms / 1000, .tv_usec = wait_ms % 1000 * 1000 };
  watch->request = request;
  watch->after_revision
      = strtoull (evhttp_find_header (query, "after"), NULL, 10);
  snprintf (watch->prefix, sizeof watch->prefix, "%s",
            evhttp_find_header (query, "prefix"));
  watch->timeout = evtimer_new (base, on_watch_timeout, watch);
  DL_APPEND (watches, watch);
  if (watch->after_revision > store.revision)
    {
      reply_store (request, 410, json_object ());
      watch_free (watch);
    }
  else if (!watch_reply (watch, false))
    evtimer_add (watch->timeout, &timeout);
}

static void
on_lost_call (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  reply_store (arg, 503, json_object ());
}

/* Does not answer REQUEST.  Its connection is ended long after the caller has
   given up.  */
static void
lose_call (struct evhttp_request *request)
{
  static const struct timeval span = { .tv_sec = LOST_CALL_S };
  event_base_once (base, -1, EV_TIMEOUT, on_lost_call, request, &span);
}

static void
lose_watches (void)
{
  while (watches != NULL)
    {
      lose_call (watches->request);
      watch_free (watches);
    }
}

static void
on_silence_end (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  answer_changed_watches ();
}

static void
silence_store (json_int_t span_ms, json_int_t percent)
{
  struct timeval span
      = { .tv_sec = span_ms / 1000, .tv_usec = span_ms % 1000 * 1000 };
  silent_until_ms = now_ms () + (double)span_ms;
  silent_percent = (unsigned)percent;
  event_base_once (base, -1, EV_TIMEOUT, on_silence_end, NULL, &span);
}

static void
on_store (struct evhttp_request *request, void *arg)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *path = evhttp_uri_get_path (uri);
  const char *text = evhttp_uri_get_query (uri);
  struct evkeyvalq query;
  (void)arg;
  if (is_silent () && (unsigned)rand () % 100 < silent_percent)
    {
      lose_call (request);
      return;
    }
  evhttp_parse_query_str (text != NULL ? text : "", &query);
  if (strcmp (path, "/kv-range") == 0)
    reply_store (
        request, 200,
        json_pack (
            "{s:o, s:b, s:I}", "items",
            collect_entries (evhttp_find_header (&query, "prefix"), 0, false),
            "has_more", 0, "as_of", (json_int_t)store.revision));
  else if (strcmp (path, "/kv-watch") == 0)
    on_watch (request, &query);
  else if (strcmp (path, "/kv-txn") == 0)
    on_txn (request);
  else if (strcmp (path, "/kv-key") == 0)
    {
      const struct store_entry *entry
          = find_key (evhttp_find_header (&query, "key"));
      bool found = entry != NULL && !entry->removed;
      reply_store (request, found ? 200 : 404,
                   found ? entry_json (entry) : json_object ());
    }
  else if (strcmp (path, "/kv-lease") == 0)
    create_lease (request);
  else if (strncmp (path, "/kv-lease-end/", 14) == 0)
    end_lease (request, atoll (path + 14));
  else if (strncmp (path, "/kv-keep/", 9) == 0)
    renew_lease (request, atoll (path + 9));
  else
    reply_store (request, 404, json_object ());
  evhttp_clear_headers (&query);
}

/* Instances.  */

static void
send_ready (struct connection *connection)
{
  evbuffer_add_printf (bufferevent_get_output (connection->bev),
                       "READY %c %" PRIu64 ".%" PRIu64 "\r\n",
                       connection->state, term, number);
}

static bool
is_leader (const struct connection *connection)
{
  return connection->instance == &instances[leader];
}

static void
send_error (struct connection *connection, const char *code)
{
  if (connection->state == 'T')
    connection->state = 'E';
  evbuffer_add_printf (bufferevent_get_output (connection->bev),
                       "ERROR %s %s\r\n", code, connection->instance->id);
}

/* Sends the row of ITEM, or one of ROW_BYTES bytes if that is not 0.  */
static void
send_row (struct evbuffer *out, unsigned item, size_t row_bytes)
{
  if (row_bytes == 0 || row_bytes > ROW_LIMIT_BYTES)
    {
      evbuffer_add_printf (out, "ROW %s\r\n", values[item % 64]);
      return;
    }
  char *row = mem_zalloc (row_bytes + 1);
  memset (row, 'x', row_bytes);
  evbuffer_add_printf (out, "ROW %s\r\n", row);
  free (row);
}

static void
run_statement (struct connection *connection, const char *id, const char *text)
{
  struct evbuffer *out = bufferevent_get_output (connection->bev);
  unsigned item;
  char data[64];
  bool writes = sscanf (text, "WRITE %u %63s", &item, data) == 2;
  size_t row_bytes = 0;
  bool reads = sscanf (text, "READ %u %zu", &item, &row_bytes) >= 1;
  bool needs_leader = writes || strcmp (text, "BEGIN") == 0;
  if (needs_leader && !is_leader (connection))
    send_error (connection, "READONLY");
  else
    {
      if (strncmp (text, "BEGIN", 5) == 0)
        connection->state = 'T';
      else if (strcmp (text, "COMMIT") == 0 || strcmp (text, "ROLLBACK") == 0)
        connection->state = 'I';
      else if (writes)
        snprintf (values[item % 64], sizeof values[0], "%s", data);
      else if (reads)
        send_row (out, item, row_bytes);
      else if (strcmp (text, "STATUS") == 0
               || strncmp (text, "STEPDOWN", 8) == 0)
        evbuffer_add_printf (
            out, "ROW %s %" PRIu64 " %" PRIu64 ".%" PRIu64 " 0 0 0 1\r\n",
            is_leader (connection) && text[2] == 'A' ? "primary" : "replica",
            term, term, number);
      if (writes)
        number++;
      evbuffer_add_printf (out, "COMPLETE %s.%s\r\n", connection->instance->id,
                           id);
    }
  send_ready (connection);
}

static void
connection_close (struct connection *connection)
{
  DL_DELETE (connections, connection);
  event_free (connection->delay);
  bufferevent_free (connection->bev);
  free (connection->delayed);
  free (connection);
}

static void
handle_line (struct connection *connection, const char *line)
{
  char id[128];
  int offset = 0;
  if (strncmp (line, "STARTUP " GROUP " ", sizeof GROUP + 8) == 0)
    send_ready (connection);
  else if (sscanf (line, "QUERY %127s %n", id, &offset) == 1 && offset > 0)
    {
      const char *text = line + offset;
      if (strncmp (text, "AFTER ", 6) == 0)
        text = strchr (text + 6, ' ') + 1;
      run_statement (connection, id, text);
    }
}

/* Keeps LINE for later if it is a write to a slow instance.  */
static bool
delay_line (struct connection *connection, const char *line)
{
  static const struct timeval span = { .tv_usec = SLOW_WRITE_US };
  if (!connection->instance->slow || strstr (line, " WRITE ") == NULL)
    return false;
  connection->delayed = mem_strdup (line);
  evtimer_add (connection->delay, &span);
  return true;
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct connection *connection = arg;
  char *line;
  while (connection->delayed == NULL
         && (line = evbuffer_readln (bufferevent_get_input (bev), NULL,
                                     EVBUFFER_EOL_CRLF_STRICT))
                != NULL)
    {
      if (!delay_line (connection, line))
        handle_line (connection, line);
      free (line);
    }
}

static void
on_delay (evutil_socket_t fd, short what, void *arg)
{
  struct connection *connection = arg;
  char *line = connection->delayed;
  (void)fd;
  (void)what;
  connection->delayed = NULL;
  handle_line (connection, line);
  free (line);
  on_read (connection->bev, connection);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)bev;
  (void)what;
  connection_close (arg);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int length, void *arg)
{
  struct connection *connection = mem_zalloc (sizeof *connection);
  (void)listener;
  (void)address;
  (void)length;
  connection->instance = arg;
  connection->state = 'I';
  connection->bev = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->delay = evtimer_new (base, on_delay, connection);
  DL_APPEND (connections, connection);
  bufferevent_setcb (connection->bev, on_read, NULL, on_event, connection);
  bufferevent_enable (connection->bev, EV_READ | EV_WRITE);
}

static void
start_instance (struct instance *instance, uint16_t port)
{
  struct sockaddr_storage address;
  int length;
  address_parse ("127.0.0.1", port, &address, &length);
  instance->listener = evconnlistener_new_bind (
      base, on_accept, instance, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      (struct sockaddr *)&address, length);
  if (instance->listener == NULL)
    abort ();
  instance->port
      = address_bound_port (evconnlistener_get_fd (instance->listener));
}

static void
crash_instance (struct instance *instance)
{
  struct connection *connection, *next;
  evconnlistener_free (instance->listener);
  instance->listener = NULL;
  instance->crashed = true;
  DL_FOREACH_SAFE (connections, connection, next)
  {
    if (connection->instance == instance)
      connection_close (connection);
  }
}

/* Promotion and control.  */

static void
on_promotion_due (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  leader = promotion_target;
  term++;
  publish_instances ();
}

static void
on_promote (struct evhttp_request *request, void *arg)
{
  struct timeval delay = { .tv_usec = PROMOTION_DELAY_US };
  json_t *body = read_body (request);
  const char *id = json_string_value (json_object_get (body, "id"));
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  bool accepted = id != NULL && strlen (id) == 3
                  && evhttp_find_header (headers, "X-Fencing-Token") != NULL
                  && evhttp_find_header (headers, "X-Lease-Holder") != NULL;
  (void)arg;
  size_t candidate = accepted ? (size_t)(id[2] - '0') % INSTANCES : 0;
  accepted = accepted && !instances[candidate].crashed;
  json_decref (body);
  if (accepted && candidate != leader)
    {
      promotion_target = candidate;
      event_base_once (base, -1, EV_TIMEOUT, on_promotion_due, NULL, &delay);
    }
  reply_json (request, accepted ? 200 : 409, json_object ());
}

/* Replaces the contents TO by those of FROM.  */
static void
copy_store (struct store *to, const struct store *from)
{
  for (size_t i = 0; i < to->key_count; i++)
    free (to->keys[i].value);
  *to = *from;
  for (size_t i = 0; i < to->key_count; i++)
    to->keys[i].value = mem_strdup (from->keys[i].value);
}

static void
restore_store (void)
{
  copy_store (&store, &copy);
  era++;
  while (watches != NULL)
    {
      reply_store (watches->request, 503, json_object ());
      watch_free (watches);
    }
  write_config ();
  publish_instances ();
}

/* Returns whether KIND is a fault of the store.  */
static bool
inject_store_fault (const char *kind)
{
  if (strcmp (kind, "copy") == 0)
    copy_store (&copy, &store);
  else if (strcmp (kind, "restore") == 0)
    restore_store ();
  else if (strcmp (kind, "lose_watches") == 0)
    lose_watches ();
  else if (strcmp (kind, "config") == 0)
    {
      version++;
      write_config ();
      answer_changed_watches ();
    }
  else
    return false;
  return true;
}

static int
on_control (void *arg, const char *path, json_t *body, char **answer)
{
  json_int_t index = 0, span_ms = 0, percent = 100;
  const char *kind = "";
  (void)arg;
  if (strcmp (path, "/state") == 0)
    {
      *answer = mem_printf ("{\"leader\":%zu,\"term\":%" PRIu64
                            ",\"number\":%" PRIu64 ",\"version\":%u}",
                            leader, term, number, version);
      return HTTP_OK;
    }
  if (json_unpack (body, "{s?I, s:s, s?I, s?I}", "instance", &index, "kind",
                   &kind, "ms", &span_ms, "percent", &percent)
          != 0
      || index < 0 || index >= INSTANCES)
    return HTTP_BADREQUEST;
  struct instance *instance = &instances[index];
  if (inject_store_fault (kind))
    return HTTP_OK;
  if (strcmp (kind, "silence") == 0)
    {
      silence_store (span_ms, percent);
      return HTTP_OK;
    }
  if (strcmp (kind, "crash") == 0 && !instance->crashed)
    crash_instance (instance);
  else if (strcmp (kind, "back") == 0 && instance->crashed)
    {
      instance->crashed = false;
      start_instance (instance, instance->port);
    }
  else if (strcmp (kind, "slow") == 0)
    instance->slow = true;
  else if (strcmp (kind, "drain") == 0)
    {
      instance->draining = true;
      publish_instances ();
    }
  else
    return HTTP_BADREQUEST;
  return HTTP_OK;
}

static uint16_t
start_http (struct evhttp *http,
            void (*answer) (struct evhttp_request *, void *))
{
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
  if (bound == NULL)
    abort ();
  evhttp_set_gencb (http, answer, NULL);
  return address_bound_port (evhttp_bound_socket_get_fd (bound));
}

int
main (void)
{
  uint16_t control;
  base = event_base_new ();
  struct evhttp *kv = evhttp_new (base), *promote = evhttp_new (base);
  struct evhttp *controls
      = standin_control_new (base, on_control, NULL, &control);
  for (size_t i = 0; i < INSTANCES; i++)
    {
      snprintf (instances[i].id, sizeof instances[i].id, "i-%zu", i);
      start_instance (&instances[i], 0);
    }
  struct event *lease_check
      = event_new (base, -1, EV_PERSIST, on_lease_check, NULL);
  event_add (lease_check, &(struct timeval){ .tv_usec = LEASE_CHECK_US });
  write_config ();
  publish_instances ();
  printf ("store=%u promote=%u control=%u\n", start_http (kv, on_store),
          start_http (promote, on_promote), control);
  fflush (stdout);
  standin_run (base);
  evhttp_free (controls);
  event_free (lease_check);
  return EXIT_SUCCESS;
}
