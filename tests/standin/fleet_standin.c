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
     POST /fault {"kind": KIND, "percent": P, "ms": N}   for all instances,
   until P is 0 stutter  sends answers, the greeting and errors among them, a
   second time, up to N ms later, each with a chance of P percent cut sends a
   part of an answer, and the whole of it up to N ms later busy     refuses
   statements with BUSY POST /fault {"kind": KIND} copy     takes a copy of the
   store restore  restores the store from the copy: writes and leases since
   then are lost, revisions and ids of leases are given out again, pending
   watches are cut, and Store-Era rises; the instances and the operator write
   again what they wrote config   adds the route "added-VERSION" to the
   configuration, which keeps the ROUTES_KEPT newest of them silence  for the
   next "ms" ms the store loses calls that arrive, each with a chance of
   "percent" (100): it never answers them, though their connections stay open;
   pending watches get no answer until then lose_watches  loses the watches
   that are pending in the same way GET /state  the leader, its term, the
   number of commits so far that wrote, the version of the configuration, and
   the numbers of answers that were sent twice and cut short, as JSON GET
   /runs?after=N  the record of what the instances ran

   Instances share one set of rows, so replicas have no lag.  "READ ITEM BYTES
   ROWS" answers with a row of BYTES bytes, or with the row of the item if that
   is 0, and further rows up to ROWS in all.  */

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
#include <xxhash.h>

#include "fleet_record.h"
#include "kernel/mem.h"
#include "port/address.h"
#include "port/kv_codec.h"
#include "proxy/values.h"
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
#define ROWS_LIMIT 100
#define ITEMS 64
#define DATA_BYTES 64 /* of a row, with the final NUL */
#define NO_LEADER INSTANCES
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

/* A prepared statement.  */
struct prepared
{
  char *name;
  char *shape; /* with the kind before it */
  bool writes;
  struct prepared *prev;
  struct prepared *next;
};

/* A write of an open transaction.  */
struct pending_write
{
  size_t item;
  char data[DATA_BYTES];
  struct pending_write *prev;
  struct pending_write *next;
};

struct connection
{
  struct instance *instance;
  struct bufferevent *bev;
  uint64_t serial;
  char host[32];
  char state;   /* I: idle, T: in a transaction, E: transaction failed */
  uint64_t tx;  /* serial of the transaction */
  bool plain;   /* the transaction needs the leader */
  bool demoted; /* in a plain transaction */
  struct pending_write *writes;
  struct values values;
  struct prepared *prepared;
  char *delayed; /* line that is handled when DELAY has passed, or NULL */
  struct event *delay;
  struct late_answer *late;
  struct connection *prev;
  struct connection *next;
};

/* An answer that a connection sends again, or whole after a part of it.  */
struct late_answer
{
  struct connection *connection;
  struct event *timer;
  struct evbuffer *text;
  struct late_answer *prev;
  struct late_answer *next;
};

/* A fault of answers.  */
struct answer_fault
{
  unsigned percent;
  unsigned span_ms;
  uint64_t count;
};

static struct event_base *base;
static struct instance instances[INSTANCES];
static struct connection *connections;
static size_t leader;
static uint64_t term = 1;
static uint64_t number; /* of commits so far; log position within the term */
static uint64_t next_link;
static uint64_t next_tx;
static uint64_t next_run;
static char rows[ITEMS][DATA_BYTES];
static struct answer_fault stutter;
static struct answer_fault cut;
static struct answer_fault busy;
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

static bool
happens (struct answer_fault *fault)
{
  bool happened = (unsigned)rand () % 100 < fault->percent;
  fault->count += happened;
  return happened;
}

static void
late_answer_free (struct late_answer *late)
{
  DL_DELETE (late->connection->late, late);
  event_free (late->timer);
  evbuffer_free (late->text);
  free (late);
}

static void
on_late_answer (evutil_socket_t fd, short what, void *arg)
{
  struct late_answer *late = arg;
  (void)fd;
  (void)what;
  evbuffer_add_buffer (bufferevent_get_output (late->connection->bev),
                       late->text);
  late_answer_free (late);
}

/* Sends ANSWER SPAN_MS later.  */
static void
send_late (struct connection *connection, struct evbuffer *answer,
           unsigned span_ms)
{
  struct late_answer *late = mem_zalloc (sizeof *late);
  struct timeval span
      = { .tv_sec = span_ms / 1000, .tv_usec = (long)span_ms % 1000 * 1000 };
  late->connection = connection;
  late->timer = evtimer_new (base, on_late_answer, late);
  late->text = evbuffer_new ();
  evbuffer_add (late->text, evbuffer_pullup (answer, -1),
                evbuffer_get_length (answer));
  DL_APPEND (connection->late, late);
  evtimer_add (late->timer, &span);
}

static unsigned
random_span_ms (const struct answer_fault *fault)
{
  return (unsigned)rand () % (fault->span_ms + 1);
}

/* Returns the length of a part of ANSWER, which ends with a whole line or
   within one.  */
static size_t
part_bytes (struct evbuffer *answer)
{
  size_t length = evbuffer_get_length (answer);
  const char *text = (const char *)evbuffer_pullup (answer, -1);
  size_t part = 1 + (size_t)rand () % (length - 1);
  const char *end = memchr (text + part, '\n', length - 1 - part);
  return end != NULL && rand () % 2 == 0 ? (size_t)(end - text) + 1 : part;
}

/* Returns whether only a pause tells that the rest of an answer doesn't follow
   PART, its first LENGTH bytes: another row, or its text, could.  */
static bool
needs_pause (const char *part, size_t length)
{
  return part[length - 1] == '\n'
         || (length >= 4 && memcmp (part + length - 4, "ROW ", 4) == 0);
}

/* Sends ANSWER, and empties it.  */
static void
send_answer (struct connection *connection, struct evbuffer *answer)
{
  struct evbuffer *out = bufferevent_get_output (connection->bev);
  if (happens (&cut))
    {
      size_t part = part_bytes (answer);
      const char *text = (const char *)evbuffer_pullup (answer, -1);
      send_late (connection, answer,
                 needs_pause (text, part) ? cut.span_ms
                                          : random_span_ms (&cut));
      evbuffer_remove_buffer (answer, out, part);
      return;
    }
  if (happens (&stutter))
    send_late (connection, answer, random_span_ms (&stutter));
  evbuffer_add_buffer (out, answer);
}

static void
add_ready (const struct connection *connection, struct evbuffer *out)
{
  evbuffer_add_printf (out, "READY %c %" PRIu64 ".%" PRIu64 "\r\n",
                       connection->state, term, number);
}

static bool
is_leader (const struct connection *connection)
{
  return connection->instance == &instances[leader];
}

static void
drop_writes (struct connection *connection)
{
  struct pending_write *write, *next;
  DL_FOREACH_SAFE (connection->writes, write, next)
  {
    DL_DELETE (connection->writes, write);
    free (write);
  }
}

static void
end_transaction (struct connection *connection)
{
  drop_writes (connection);
  connection->state = 'I';
  connection->tx = 0;
  connection->plain = connection->demoted = false;
}

static void
prepared_free (struct connection *connection, struct prepared *prepared)
{
  DL_DELETE (connection->prepared, prepared);
  free (prepared->name);
  free (prepared->shape);
  free (prepared);
}

static void
reset (struct connection *connection)
{
  values_clear (&connection->values);
  while (connection->prepared != NULL)
    prepared_free (connection, connection->prepared);
}

static struct prepared *
find_prepared (const struct connection *connection, const char *name)
{
  struct prepared *prepared;
  DL_FOREACH (connection->prepared, prepared)
  if (strcmp (prepared->name, name) == 0)
    return prepared;
  return NULL;
}

/* A statement while it is handled.  */
struct request
{
  const char *id;
  const char *text;
  char *word;            /* the first one */
  char *rest;            /* what follows it; "" if there is nothing */
  const char *shape;     /* of an EXECUTE */
  const char *arguments; /* of a read or write */
  char signature[200];
  bool commits;
};

static void
record_run (const struct connection *connection, const struct request *request,
            const char *code, const char *text)
{
  fleet_record_add (&(struct fleet_run){
      .instance = connection->instance->id,
      .host = connection->host,
      .link = connection->serial,
      .tx = connection->tx,
      .id = request->id,
      .text = request->shape != NULL ? request->arguments : request->text,
      .shape = request->shape != NULL ? request->shape : "",
      .values = &connection->values,
      .code = code,
      .signature = request->signature,
      .rows = text,
      .commits = request->commits });
}

/* Answers with an error.  */
static void
fail (struct connection *connection, struct evbuffer *out, const char *code)
{
  if (connection->state == 'T')
    connection->state = 'E';
  evbuffer_add_printf (out, "ERROR %s %s\r\n", code, connection->instance->id);
}

static void
complete (struct evbuffer *out)
{
  evbuffer_add_printf (out, "COMPLETE -\r\n");
}

/* Answers a statement that ran, and records it.  OUT contains its rows.  */
static void
sign (struct connection *connection, struct request *request,
      struct evbuffer *out)
{
  size_t length = evbuffer_get_length (out);
  char *text = mem_zalloc (length + 1);
  evbuffer_copyout (out, text, length);
  snprintf (request->signature, sizeof request->signature, "%s.%s.%" PRIu64,
            connection->instance->id, request->id, ++next_run);
  record_run (connection, request, "", text);
  evbuffer_add_printf (out, "COMPLETE %s\r\n", request->signature);
  free (text);
}

/* Returns the index of the item that TEXT begins with.  */
static size_t
item_index (const char *text)
{
  size_t length = strcspn (text, " ");
  if (strspn (text, "0123456789") == length)
    return strtoul (text, NULL, 10) % ITEMS;
  return (size_t)(XXH64 (text, length, 0) % ITEMS);
}

static const char *
item_data (const struct connection *connection, size_t item)
{
  const struct pending_write *write;
  const char *data = rows[item];
  DL_FOREACH (connection->writes, write)
  if (write->item == item)
    data = write->data;
  return data;
}

static void
add_rows (const struct connection *connection, const char *arguments,
          struct evbuffer *out)
{
  size_t row_bytes = 0, count = 1;
  sscanf (arguments, "%*s %zu %zu", &row_bytes, &count);
  if (row_bytes == 0 || row_bytes > ROW_LIMIT_BYTES)
    evbuffer_add_printf (out, "ROW %s\r\n",
                         item_data (connection, item_index (arguments)));
  else
    {
      char *row = mem_zalloc (row_bytes + 1);
      memset (row, 'x', row_bytes);
      evbuffer_add_printf (out, "ROW %s\r\n", row);
      free (row);
    }
  for (size_t i = 1; i < count && i < ROWS_LIMIT; i++)
    evbuffer_add_printf (out, "ROW %" PRIu64 "-%zu\r\n", next_run + 1, i);
}

static void
add_write (struct connection *connection, struct request *request)
{
  struct pending_write *write = mem_zalloc (sizeof *write);
  const char *data = strchr (request->arguments, ' ');
  write->item = item_index (request->arguments);
  snprintf (write->data, sizeof write->data, "%.*s",
            data != NULL ? (int)strcspn (data + 1, " ") : 0,
            data != NULL ? data + 1 : "");
  DL_APPEND (connection->writes, write);
}

/* Commits the writes of the connection.  */
static void
commit_writes (struct connection *connection, struct request *request)
{
  const struct pending_write *write;
  request->commits = connection->writes != NULL;
  number += request->commits;
  DL_FOREACH (connection->writes, write)
  memcpy (rows[write->item], write->data, DATA_BYTES);
  drop_writes (connection);
}

/* Returns the code with which an instance refuses a statement, or NULL.  */
static const char *
refusal (const struct connection *connection, bool writes)
{
  if (connection->demoted || (writes && !is_leader (connection)))
    return "READONLY";
  return happens (&busy) ? "BUSY" : NULL;
}

/* Runs a read or write.  */
static void
run_work (struct connection *connection, struct request *request, bool writes,
          struct evbuffer *out)
{
  const char *code = refusal (connection, writes);
  if (code != NULL)
    {
      fail (connection, out, code);
      return;
    }
  if (writes)
    add_write (connection, request);
  else
    add_rows (connection, request->arguments, out);
  if (connection->state == 'I')
    commit_writes (connection, request);
  sign (connection, request, out);
}

static void
run_execute (struct connection *connection, struct request *request,
             struct evbuffer *out)
{
  char *arguments = strchr (request->rest, ' ');
  if (arguments != NULL)
    *arguments++ = '\0';
  const struct prepared *prepared = find_prepared (connection, request->rest);
  if (arguments == NULL)
    fail (connection, out, "MALFORMED");
  else if (prepared == NULL)
    {
      record_run (connection, request, "NOSTMT", "");
      fail (connection, out, "NOSTMT");
    }
  else
    {
      request->shape = prepared->shape;
      request->arguments = arguments;
      run_work (connection, request, prepared->writes, out);
    }
}

static void
run_prepare (struct connection *connection, const struct request *request,
             struct evbuffer *out)
{
  char *shape = strchr (request->rest, ' ');
  if (shape != NULL)
    *shape++ = '\0';
  bool writes = shape != NULL && strncmp (shape, "WRITE ", 6) == 0;
  if (shape == NULL || (!writes && strncmp (shape, "READ ", 5) != 0))
    {
      fail (connection, out, "MALFORMED");
      return;
    }
  struct prepared *prepared = find_prepared (connection, request->rest);
  if (prepared != NULL)
    prepared_free (connection, prepared);
  prepared = mem_zalloc (sizeof *prepared);
  *prepared = (struct prepared){ .name = mem_strdup (request->rest),
                                 .shape = mem_strdup (shape),
                                 .writes = writes };
  DL_APPEND (connection->prepared, prepared);
  complete (out);
}

static void
run_set (struct connection *connection, const struct request *request,
         struct evbuffer *out)
{
  char *text = strchr (request->rest, ' ');
  if (text != NULL)
    *text++ = '\0';
  if (text == NULL || !values_set (&connection->values, request->rest, text))
    fail (connection, out, "MALFORMED");
  else
    complete (out);
}

static void
run_deallocate (struct connection *connection, const struct request *request,
                struct evbuffer *out)
{
  struct prepared *prepared = find_prepared (connection, request->rest);
  if (prepared == NULL)
    {
      fail (connection, out, "NOSTMT");
      return;
    }
  prepared_free (connection, prepared);
  complete (out);
}

static void
run_begin (struct connection *connection, const struct request *request,
           struct evbuffer *out)
{
  bool plain = *request->rest == '\0';
  if (connection->state != 'I'
      || (!plain && strcmp (request->rest, "READ") != 0))
    fail (connection, out, "MALFORMED");
  else if (plain && !is_leader (connection))
    fail (connection, out, "READONLY");
  else
    {
      connection->state = 'T';
      connection->tx = ++next_tx;
      connection->plain = plain;
      complete (out);
    }
}

static void
run_commit (struct connection *connection, struct request *request,
            struct evbuffer *out)
{
  const char *code = NULL;
  if (connection->state == 'E')
    code = "ABORTED";
  else if (connection->demoted && connection->writes != NULL)
    code = "READONLY";
  else if (happens (&busy))
    {
      /* The transaction stays open.  */
      evbuffer_add_printf (out, "ERROR BUSY %s\r\n", connection->instance->id);
      return;
    }
  if (code == NULL)
    {
      commit_writes (connection, request);
      sign (connection, request, out);
    }
  end_transaction (connection);
  if (code != NULL)
    fail (connection, out, code);
}

static void
add_status (const struct connection *connection, struct evbuffer *out)
{
  evbuffer_add_printf (
      out, "ROW %s %" PRIu64 " %" PRIu64 ".%" PRIu64 " 0 0 0 1\r\n",
      is_leader (connection) ? "primary" : "replica", term, term, number);
  complete (out);
}

static void
step_down (const struct connection *connection, const struct request *request)
{
  if (!is_leader (connection) || strtoull (request->rest, NULL, 10) <= term)
    return;
  leader = NO_LEADER;
  publish_instances ();
}

static bool
is_lagging (uint64_t after_term, uint64_t after_number)
{
  return after_term > term || (after_term == term && after_number > number);
}

/* Runs a statement outside of a failed transaction.  */
static void
run_statement (struct connection *connection, struct request *request,
               struct evbuffer *out)
{
  const char *word = request->word;
  request->arguments = request->rest;
  if (strcmp (word, "READ") == 0 || strcmp (word, "WRITE") == 0)
    run_work (connection, request, word[0] == 'W', out);
  else if (strcmp (word, "EXECUTE") == 0)
    run_execute (connection, request, out);
  else if (strcmp (word, "PREPARE") == 0)
    run_prepare (connection, request, out);
  else if (strcmp (word, "DEALLOCATE") == 0)
    run_deallocate (connection, request, out);
  else if (strcmp (word, "SET") == 0)
    run_set (connection, request, out);
  else if (strcmp (word, "BEGIN") == 0)
    run_begin (connection, request, out);
  else if (strcmp (word, "RESET") == 0)
    {
      reset (connection);
      complete (out);
    }
  else if (strcmp (word, "STEPDOWN") == 0)
    {
      step_down (connection, request);
      add_status (connection, out);
    }
  else if (strcmp (word, "STATUS") == 0 || strcmp (word, "PAUSE") == 0
           || strcmp (word, "RESUME") == 0)
    add_status (connection, out);
  else
    fail (connection, out, "MALFORMED");
}

static void
answer_statement (struct connection *connection, const char *id,
                  const char *text)
{
  struct evbuffer *out = evbuffer_new ();
  uint64_t after_term = 0, after_number = 0;
  int offset = 0;
  sscanf (text, "AFTER %" SCNu64 ".%" SCNu64 " %n", &after_term, &after_number,
          &offset);
  text += offset;
  char *word = mem_strdup (text);
  char *rest = strchr (word, ' ');
  if (rest != NULL)
    *rest++ = '\0';
  struct request request
      = { .id = id,
          .text = text,
          .word = word,
          .rest = rest != NULL ? rest : word + strlen (word) };
  if (connection->plain && !is_leader (connection))
    connection->demoted = true;
  if (strcmp (word, "COMMIT") == 0)
    run_commit (connection, &request, out);
  else if (strcmp (word, "ROLLBACK") == 0)
    {
      end_transaction (connection);
      complete (out);
    }
  else if (connection->state == 'E')
    fail (connection, out, "MALFORMED");
  else if (is_lagging (after_term, after_number))
    fail (connection, out, "LAGGING");
  else
    run_statement (connection, &request, out);
  add_ready (connection, out);
  send_answer (connection, out);
  evbuffer_free (out);
  free (word);
}

static void
connection_close (struct connection *connection)
{
  DL_DELETE (connections, connection);
  while (connection->late != NULL)
    late_answer_free (connection->late);
  end_transaction (connection);
  reset (connection);
  event_free (connection->delay);
  bufferevent_free (connection->bev);
  free (connection->delayed);
  free (connection);
}

static void
greet (struct connection *connection, const char *line)
{
  struct evbuffer *out = evbuffer_new ();
  sscanf (line, "STARTUP " GROUP " %31s", connection->host);
  add_ready (connection, out);
  send_answer (connection, out);
  evbuffer_free (out);
}

static void
handle_line (struct connection *connection, const char *line)
{
  char id[128];
  int offset = 0;
  if (strncmp (line, "STARTUP " GROUP " ", sizeof GROUP + 8) == 0)
    greet (connection, line);
  else if (sscanf (line, "QUERY %127s %n", id, &offset) == 1 && offset > 0)
    answer_statement (connection, id, line + offset);
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
  connection->serial = ++next_link;
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

/* Returns the fault of answers that is named KIND, or NULL.  */
static struct answer_fault *
find_answer_fault (const char *kind)
{
  return strcmp (kind, "stutter") == 0 ? &stutter
         : strcmp (kind, "cut") == 0   ? &cut
         : strcmp (kind, "busy") == 0  ? &busy
                                       : NULL;
}

static char *
state_json (void)
{
  return mem_printf ("{\"leader\":%zu,\"term\":%" PRIu64 ",\"number\":%" PRIu64
                     ",\"version\":%u,\"stuttered\":"
                     "%" PRIu64 ",\"cut\":%" PRIu64 "}",
                     leader, term, number, version, stutter.count, cut.count);
}

static int
on_control (void *arg, const char *path, json_t *body, char **answer)
{
  json_int_t index = 0, span_ms = 0, percent = 100;
  const char *kind = "";
  (void)arg;
  if (strcmp (path, "/state") == 0)
    {
      *answer = state_json ();
      return HTTP_OK;
    }
  if (strncmp (path, "/runs?after=", 12) == 0)
    {
      *answer = fleet_record_json (strtoull (path + 12, NULL, 10));
      return HTTP_OK;
    }
  if (json_unpack (body, "{s?I, s:s, s?I, s?I}", "instance", &index, "kind",
                   &kind, "ms", &span_ms, "percent", &percent)
          != 0
      || index < 0 || index >= INSTANCES)
    return HTTP_BADREQUEST;
  struct instance *instance = &instances[index];
  struct answer_fault *fault = find_answer_fault (kind);
  if (inject_store_fault (kind))
    return HTTP_OK;
  if (fault != NULL)
    {
      fault->percent = (unsigned)percent;
      fault->span_ms = (unsigned)span_ms;
      return HTTP_OK;
    }
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
