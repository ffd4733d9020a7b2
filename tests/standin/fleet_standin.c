/* Stand-in of the users' platform: one replica group of three instances, the
   key-value store and the call that promotes, on ephemeral loopback ports.

   Prints "store=PORT promote=PORT control=PORT" once it serves.  The control
   port takes POST /fault {"instance": N, "kind": "crash"|"drain"|"back"} and
   GET /state.  Replicas apply at once.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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
#define KEYS 256
#define PROMOTE_US 100000
#define GROUP "books"
#define DATABASE "ledger"

struct stored
{
  char key[200];
  char *value; /* base64 */
  uint64_t revision;
  uint64_t created;
  json_int_t lease;
  bool removed;
};

struct watch
{
  struct evhttp_request *request;
  struct event *limit;
  char prefix[200];
  uint64_t after;
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
};

struct connection
{
  struct instance *instance;
  struct bufferevent *bev;
  char state; /* I, T or E */
  bool plain;
  struct connection *prev;
  struct connection *next;
};

static struct event_base *base;
static struct instance instances[INSTANCES];
static struct connection *connections;
static size_t leader;
static uint64_t term = 1, number;
static char values[64][64]; /* of items "0" to "63" */
static struct stored keys[KEYS];
static size_t key_count;
static uint64_t revision = 1;
static json_int_t next_lease = 100;
static struct watch *watches;
static size_t promoted;

/* Store.  */

static struct stored *
find_key (const char *key)
{
  for (size_t i = 0; i < key_count; i++)
    if (strcmp (keys[i].key, key) == 0)
      return &keys[i];
  return NULL;
}

static json_t *
item_json (const struct stored *item)
{
  if (item->removed)
    return json_pack ("{s:s, s:I, s:b}", "key", item->key, "revision",
                      (json_int_t)item->revision, "removed", 1);
  return json_pack ("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value",
                    item->value, "revision", (json_int_t)item->revision,
                    "created", (json_int_t)item->created, "lease",
                    item->lease);
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

/* Items below PREFIX changed after AFTER; removed ones only for a watch.  */
static json_t *
collect (const char *prefix, uint64_t after, bool watch)
{
  json_t *array = json_array ();
  for (size_t i = 0; i < key_count; i++)
    if (strncmp (keys[i].key, prefix, strlen (prefix)) == 0
        && keys[i].revision > after && (watch || !keys[i].removed))
      json_array_append_new (array, item_json (&keys[i]));
  return array;
}

static bool
answer_watch (struct watch *watch, bool always)
{
  json_t *events = collect (watch->prefix, watch->after, true);
  if (json_array_size (events) == 0 && !always)
    {
      json_decref (events);
      return false;
    }
  reply_json (watch->request, 200,
              json_pack ("{s:o, s:I}", "events", events, "as_of",
                         (json_int_t)revision));
  DL_DELETE (watches, watch);
  event_free (watch->limit);
  free (watch);
  return true;
}

static void
changed (void)
{
  struct watch *watch, *next;
  DL_FOREACH_SAFE (watches, watch, next)
  answer_watch (watch, false);
}

static void
put_key (const char *key, const char *value, json_int_t lease)
{
  struct stored *item = find_key (key);
  if (item == NULL && key_count == KEYS)
    abort ();
  if (item == NULL)
    {
      item = &keys[key_count++];
      snprintf (item->key, sizeof item->key, "%s", key);
      item->removed = true;
    }
  revision++;
  if (item->removed)
    item->created = revision;
  free (item->value);
  item->value = mem_strdup (value);
  item->revision = revision;
  item->lease = lease;
  item->removed = false;
}

static void
remove_stored (struct stored *item)
{
  if (item == NULL || item->removed)
    return;
  item->removed = true;
  item->revision = ++revision;
}

static void
put_text (const char *key, const char *text)
{
  char *value = kv_base64_encode (text, strlen (text));
  put_key (key, value, 0);
  free (value);
}

static void
publish (void)
{
  for (size_t i = 0; i < INSTANCES; i++)
    {
      struct instance *instance = &instances[i];
      char *key = mem_printf ("servers/%s", instance->id);
      char *text = mem_printf (
          "{\"service\":\"" GROUP "\",\"address\":\"127.0.0.1:%u\",\"zone\":"
          "\"zone-%zu\",\"version\":\"v1\",\"capacity\":4,\"state\":\"%s\","
          "\"db_role\":\"%s\",\"sequence\":1,\"born\":1}",
          instance->port, i, instance->draining ? "draining" : "ready",
          i == leader ? "primary" : "replica");
      put_text (key, text);
      free (key);
      free (text);
    }
  changed ();
}

static json_t *
read_body (struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  return json_loadb ((const char *)evbuffer_pullup (input, -1),
                     evbuffer_get_length (input), 0, NULL);
}

static void
on_txn (struct evhttp_request *request)
{
  json_t *body = read_body (request), *row;
  size_t i;
  bool good = true;
  json_array_foreach (json_object_get (body, "expected"), i, row)
  {
    const struct stored *item
        = find_key (json_string_value (json_object_get (row, "key")));
    json_int_t stands
        = item != NULL && !item->removed ? (json_int_t)item->revision : 0;
    good = good
           && stands == json_integer_value (json_object_get (row, "revision"));
  }
  json_array_foreach (json_object_get (body, "set_keys"), i, row) if (good)
      put_key (json_string_value (json_object_get (row, "key")),
               json_string_value (json_object_get (row, "value")),
               json_integer_value (json_object_get (row, "lease")));
  json_array_foreach (json_object_get (body, "remove"), i, row) if (good)
      remove_stored (find_key (json_string_value (row)));
  json_decref (body);
  reply_json (request, good ? 200 : 412,
              json_pack ("{s:I}", "revision", (json_int_t)revision));
  changed ();
}

static void
watch_limit (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  answer_watch (arg, true);
}

static void
on_watch (struct evhttp_request *request, struct evkeyvalq *query)
{
  struct watch *watch = mem_zalloc (sizeof *watch);
  long wait_ms = atol (evhttp_find_header (query, "wait_ms"));
  struct timeval limit
      = { .tv_sec = wait_ms / 1000, .tv_usec = wait_ms % 1000 * 1000 };
  watch->request = request;
  watch->after = strtoull (evhttp_find_header (query, "after"), NULL, 10);
  snprintf (watch->prefix, sizeof watch->prefix, "%s",
            evhttp_find_header (query, "prefix"));
  watch->limit = evtimer_new (base, watch_limit, watch);
  DL_APPEND (watches, watch);
  if (!answer_watch (watch, false))
    evtimer_add (watch->limit, &limit);
}

static void
on_store (struct evhttp_request *request, void *arg)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *path = evhttp_uri_get_path (uri);
  const char *text = evhttp_uri_get_query (uri);
  struct evkeyvalq query;
  (void)arg;
  evhttp_parse_query_str (text != NULL ? text : "", &query);
  if (strcmp (path, "/kv-range") == 0)
    reply_json (
        request, 200,
        json_pack ("{s:o, s:b, s:I}", "items",
                   collect (evhttp_find_header (&query, "prefix"), 0, false),
                   "has_more", 0, "as_of", (json_int_t)revision));
  else if (strcmp (path, "/kv-watch") == 0)
    on_watch (request, &query);
  else if (strcmp (path, "/kv-txn") == 0)
    on_txn (request);
  else if (strcmp (path, "/kv-key") == 0)
    {
      const struct stored *item
          = find_key (evhttp_find_header (&query, "key"));
      bool stands = item != NULL && !item->removed;
      reply_json (request, stands ? 200 : 404,
                  stands ? item_json (item) : json_object ());
    }
  else if (strcmp (path, "/kv-lease") == 0)
    reply_json (request, 200,
                json_pack ("{s:I}", "lease", (json_int_t)next_lease++));
  else if (strncmp (path, "/kv-lease-end/", 14) == 0)
    {
      for (size_t i = 0; i < key_count; i++)
        if (keys[i].lease == atoll (path + 14))
          remove_stored (&keys[i]);
      reply_json (request, 200, json_object ());
      changed ();
    }
  else
    reply_json (request, 200, json_object ());
  evhttp_clear_headers (&query);
}

/* Instances.  */

static void
put_ready (struct connection *connection)
{
  evbuffer_add_printf (bufferevent_get_output (connection->bev),
                       "READY %c %" PRIu64 ".%" PRIu64 "\r\n",
                       connection->state, term, number);
}

static bool
leads (const struct connection *connection)
{
  return connection->instance == &instances[leader];
}

static void
put_error (struct connection *connection, const char *code)
{
  if (connection->state == 'T')
    connection->state = 'E';
  evbuffer_add_printf (bufferevent_get_output (connection->bev),
                       "ERROR %s %s\r\n", code, connection->instance->id);
}

static void
run_statement (struct connection *connection, const char *id, const char *text)
{
  struct evbuffer *out = bufferevent_get_output (connection->bev);
  unsigned item;
  char data[64];
  bool writes = sscanf (text, "WRITE %u %63s", &item, data) == 2;
  bool reads = sscanf (text, "READ %u", &item) == 1;
  bool needs_lead = writes || strcmp (text, "BEGIN") == 0;
  if (needs_lead && !leads (connection))
    put_error (connection, "READONLY");
  else
    {
      if (strncmp (text, "BEGIN", 5) == 0)
        connection->state = 'T';
      else if (strcmp (text, "COMMIT") == 0 || strcmp (text, "ROLLBACK") == 0)
        connection->state = 'I';
      else if (writes)
        snprintf (values[item % 64], sizeof values[0], "%s", data);
      else if (reads)
        evbuffer_add_printf (out, "ROW %s\r\n", values[item % 64]);
      else if (strcmp (text, "STATUS") == 0
               || strncmp (text, "STEPDOWN", 8) == 0)
        evbuffer_add_printf (
            out, "ROW %s %" PRIu64 " %" PRIu64 ".%" PRIu64 " 0 0 0 1\r\n",
            leads (connection) && text[2] == 'A' ? "primary" : "replica", term,
            term, number);
      if (writes)
        number++;
      evbuffer_add_printf (out, "COMPLETE %s.%s\r\n", connection->instance->id,
                           id);
    }
  put_ready (connection);
}

static void
connection_free (struct connection *connection)
{
  DL_DELETE (connections, connection);
  bufferevent_free (connection->bev);
  free (connection);
}

static void
take_line (struct connection *connection, const char *line)
{
  char id[128];
  int at = 0;
  if (strncmp (line, "STARTUP " GROUP " ", sizeof GROUP + 8) == 0)
    put_ready (connection);
  else if (sscanf (line, "QUERY %127s %n", id, &at) == 1 && at > 0)
    {
      const char *text = line + at;
      if (strncmp (text, "AFTER ", 6) == 0)
        text = strchr (text + 6, ' ') + 1;
      run_statement (connection, id, text);
    }
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  char *line;
  while ((line = evbuffer_readln (bufferevent_get_input (bev), NULL,
                                  EVBUFFER_EOL_CRLF_STRICT))
         != NULL)
    {
      take_line (arg, line);
      free (line);
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
  struct connection *connection = mem_zalloc (sizeof *connection);
  (void)listener;
  (void)address;
  (void)length;
  connection->instance = arg;
  connection->state = 'I';
  connection->bev = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
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
crash (struct instance *instance)
{
  struct connection *connection, *next;
  evconnlistener_free (instance->listener);
  instance->listener = NULL;
  instance->crashed = true;
  DL_FOREACH_SAFE (connections, connection, next)
  {
    if (connection->instance == instance)
      connection_free (connection);
  }
}

/* Promotion and control.  */

static void
take_lead (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  leader = promoted;
  term++;
  publish ();
}

static void
on_promote (struct evhttp_request *request, void *arg)
{
  struct timeval span = { .tv_usec = PROMOTE_US };
  json_t *body = read_body (request);
  const char *id = json_string_value (json_object_get (body, "id"));
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  bool good = id != NULL && strlen (id) == 3
              && evhttp_find_header (headers, "X-Fencing-Token") != NULL
              && evhttp_find_header (headers, "X-Lease-Holder") != NULL;
  (void)arg;
  size_t chosen = good ? (size_t)(id[2] - '0') % INSTANCES : 0;
  good = good && !instances[chosen].crashed;
  json_decref (body);
  if (good && chosen != leader)
    {
      promoted = chosen;
      event_base_once (base, -1, EV_TIMEOUT, take_lead, NULL, &span);
    }
  reply_json (request, good ? 200 : 409, json_object ());
}

static int
on_control (void *arg, const char *path, json_t *body, char **answer)
{
  json_int_t index = 0;
  const char *kind = "";
  (void)arg;
  if (strcmp (path, "/state") == 0)
    {
      *answer = mem_printf ("{\"leader\":%zu,\"term\":%" PRIu64
                            ",\"number\":%" PRIu64 "}",
                            leader, term, number);
      return HTTP_OK;
    }
  if (json_unpack (body, "{s:I, s:s}", "instance", &index, "kind", &kind) != 0
      || index < 0 || index >= INSTANCES)
    return HTTP_BADREQUEST;
  struct instance *instance = &instances[index];
  if (strcmp (kind, "crash") == 0 && !instance->crashed)
    crash (instance);
  else if (strcmp (kind, "back") == 0 && instance->crashed)
    {
      instance->crashed = false;
      start_instance (instance, instance->port);
    }
  else if (strcmp (kind, "drain") == 0)
    {
      instance->draining = true;
      publish ();
    }
  else
    return HTTP_BADREQUEST;
  return HTTP_OK;
}

static uint16_t
serve_http (struct evhttp *http,
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
  struct evhttp *store = evhttp_new (base), *promote = evhttp_new (base);
  struct evhttp *controls
      = standin_control_new (base, on_control, NULL, &control);
  for (size_t i = 0; i < INSTANCES; i++)
    {
      snprintf (instances[i].id, sizeof instances[i].id, "i-%zu", i);
      start_instance (&instances[i], 0);
    }
  put_text ("op/config",
            "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"" DATABASE
            "\",\"kind\":\"read_your_writes\",\"timeout_ms\":1000,"
            "\"priority\":1,\"service\":\"" GROUP
            "\",\"max_staleness_ms\":2000}],\"services\":[{\"name\":\"" GROUP
            "\",\"max_conns\":40,\"sync_replicas\":0}],\"limits\":{"
            "\"tx_idle_ms\":3000}}");
  publish ();
  printf ("store=%u promote=%u control=%u\n", serve_http (store, on_store),
          serve_http (promote, on_promote), control);
  fflush (stdout);
  standin_run (base);
  evhttp_free (controls);
  return EXIT_SUCCESS;
}
