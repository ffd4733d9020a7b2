#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "driver.h"
#include "port/address.h"
#include "port/kv_codec.h"

#define MAX_KEYS 512
#define MAX_LEASES 1024
#define KEY 200

struct entry
{
  char key[KEY];
  char *value; /* base64 */
  uint64_t revision;
  uint64_t created;
  long lease;
  bool removed; /* kept, since watches report removed keys */
};

struct lease
{
  long id;
  long ttl_ms;
  long end_ms;
};

struct watch
{
  struct evhttp_request *request;
  char prefix[KEY];
  uint64_t after;
  long end_ms;
  struct watch *next;
};

static struct entry entries[MAX_KEYS];
static size_t entry_count;
static uint64_t revision = 1;
static struct lease leases[MAX_LEASES];
static size_t lease_count;
static long next_lease = 100;
static struct watch *watches;

static struct entry *
find_entry (const char *key)
{
  for (size_t i = 0; key != NULL && i < entry_count; i++)
    if (strcmp (entries[i].key, key) == 0)
      return &entries[i];
  return NULL;
}

static json_t *
entry_json (const struct entry *entry)
{
  if (entry->removed)
    return json_pack ("{s:s, s:I, s:b}", "key", entry->key, "revision",
                      (json_int_t)entry->revision, "removed", 1);
  return json_pack ("{s:s, s:s, s:I, s:I, s:I}", "key", entry->key, "value",
                    entry->value, "revision", (json_int_t)entry->revision,
                    "created", (json_int_t)entry->created, "lease",
                    (json_int_t)entry->lease);
}

static void
reply (struct evhttp_request *request, int status, json_t *body)
{
  struct evbuffer *buffer = evbuffer_new ();
  char *text = json_dumps (body, JSON_COMPACT);
  evbuffer_add (buffer, text, strlen (text));
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  evhttp_send_reply (request, status, NULL, buffer);
  evbuffer_free (buffer);
  free (text);
  json_decref (body);
}

static int
by_key (const void *a, const void *b)
{
  const struct entry *const *x = a, *const *y = b;
  return strcmp ((*x)->key, (*y)->key);
}

static int
by_revision (const void *a, const void *b)
{
  const struct entry *const *x = a, *const *y = b;
  return ((*x)->revision > (*y)->revision) - ((*x)->revision < (*y)->revision);
}

/* Returns the entries below PREFIX: those that are there by key, or for a
   watch those changed after AFTER_REVISION in that order.  */
static json_t *
collect (const char *prefix, uint64_t after_revision, bool watch)
{
  static const struct entry *found[MAX_KEYS];
  size_t count = 0;
  json_t *array = json_array ();
  for (size_t i = 0; i < entry_count; i++)
    if (strncmp (entries[i].key, prefix, strlen (prefix)) == 0
        && entries[i].revision > after_revision
        && (watch || !entries[i].removed))
      found[count++] = &entries[i];
  qsort (found, count, sizeof (struct entry *), watch ? by_revision : by_key);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (array, entry_json (found[i]));
  return array;
}

static void
answer_watches (void)
{
  struct watch **at = &watches;
  while (*at != NULL)
    {
      struct watch *watch = *at;
      json_t *list = collect (watch->prefix, watch->after, true);
      if (json_array_size (list) == 0 && now_ms () < watch->end_ms)
        {
          json_decref (list);
          at = &watch->next;
          continue;
        }
      *at = watch->next;
      reply (watch->request, 200,
             json_pack ("{s:o, s:I}", "events", list, "as_of",
                        (json_int_t)revision));
      free (watch);
    }
}

static void
put (const char *key, const char *value, long lease)
{
  struct entry *entry = find_entry (key);
  if (entry == NULL && entry_count == MAX_KEYS)
    unable ("too many keys");
  if (entry == NULL)
    {
      entry = &entries[entry_count++];
      snprintf (entry->key, sizeof entry->key, "%s", key);
      entry->removed = true;
    }
  revision++;
  if (entry->removed)
    entry->created = revision;
  free (entry->value);
  entry->value = strdup (value);
  entry->revision = revision;
  entry->lease = lease;
  entry->removed = false;
}

static void
remove_entry (struct entry *entry)
{
  if (entry == NULL || entry->removed)
    return;
  entry->removed = true;
  entry->revision = ++revision;
}

void
store_put (const char *key, const char *text)
{
  char *value = kv_base64_encode (text, strlen (text));
  put (key, value, 0);
  free (value);
  answer_watches ();
}

bool
store_get (const char *key, char *text, size_t size)
{
  struct platform_item item = { 0 };
  const struct entry *entry = find_entry (key);
  if (entry == NULL || entry->removed
      || !kv_base64_decode_item (&item, entry->value))
    return false;
  snprintf (text, size, "%.*s", (int)item.value_bytes, item.value);
  free (item.value);
  return true;
}

void
store_put_config (const char *database, const char *kind, const char *service,
                  int sync_replicas)
{
  char text[2048];
  snprintf (
      text, sizeof text,
      "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"%s\","
      "\"prefix\":\"/\",\"kind\":\"%s\",\"timeout_ms\":1000,"
      "\"target_latency_ms\":200,\"priority\":1,\"service\":\"%s\","
      "\"max_attempts\":2,\"max_staleness_ms\":2500}],\"services\":[{"
      "\"name\":\"%s\",\"health_path\":\"/healthz\",\"max_conns\":72,"
      "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":%d}],\"limits\":{"
      "\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
      "\"tx_idle_ms\":3000}}",
      database, kind, service, service, sync_replicas);
  store_put ("op/config", text);
}

static struct lease *
find_lease (long id)
{
  for (size_t i = 0; i < lease_count; i++)
    if (leases[i].id == id)
      return &leases[i];
  return NULL;
}

static void
end_lease (struct lease *lease)
{
  for (size_t i = 0; i < entry_count; i++)
    if (entries[i].lease == lease->id)
      remove_entry (&entries[i]);
  *lease = leases[--lease_count];
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  for (size_t i = lease_count; i-- > 0;)
    if (now_ms () >= leases[i].end_ms)
      end_lease (&leases[i]);
  answer_watches ();
}

static json_t *
read_body (struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  return json_loadb ((const char *)evbuffer_pullup (input, -1),
                     evbuffer_get_length (input), 0, NULL);
}

static const char *
string_of (json_t *row, const char *name)
{
  return json_string_value (json_object_get (row, name));
}

static void
on_txn (struct evhttp_request *request)
{
  json_t *body = read_body (request), *row, *found = json_array ();
  size_t i;
  bool matches = true, leased = true;
  json_array_foreach (json_object_get (body, "expected"), i, row)
  {
    const struct entry *entry = find_entry (string_of (row, "key"));
    bool present = entry != NULL && !entry->removed;
    json_int_t known = json_integer_value (json_object_get (row, "revision"));
    matches &= (present ? (json_int_t)entry->revision : 0) == known;
    if (present)
      json_array_append_new (found, entry_json (entry));
  }
  json_array_foreach (json_object_get (body, "set_keys"), i, row)
  {
    long id = (long)json_integer_value (json_object_get (row, "lease"));
    leased &= id == 0 || find_lease (id) != NULL;
  }
  if (matches && leased)
    {
      json_array_foreach (json_object_get (body, "set_keys"), i, row)
      {
        record ("store: %s is set", string_of (row, "key"));
        put (string_of (row, "key"), string_of (row, "value"),
             (long)json_integer_value (json_object_get (row, "lease")));
      }
      json_array_foreach (json_object_get (body, "remove"), i, row)
      {
        record ("store: %s is removed", json_string_value (row));
        remove_entry (find_entry (json_string_value (row)));
      }
    }
  json_decref (body);
  if (!leased)
    reply (request, 404, json_object ());
  else if (!matches)
    reply (request, 412, json_pack ("{s:O}", "items", found));
  else
    reply (request, 200,
           json_pack ("{s:I}", "revision", (json_int_t)revision));
  json_decref (found);
  answer_watches ();
}

static void
on_watch (struct evhttp_request *request, struct evkeyvalq *query)
{
  struct watch *watch = calloc (1, sizeof *watch);
  const char *wait = evhttp_find_header (query, "wait_ms");
  const char *from = evhttp_find_header (query, "after");
  const char *prefix = evhttp_find_header (query, "prefix");
  if (watch == NULL)
    unable ("memory");
  watch->request = request;
  watch->end_ms = now_ms () + (wait != NULL ? strtol (wait, NULL, 10) : 0);
  watch->after = from != NULL ? strtoull (from, NULL, 10) : 0;
  snprintf (watch->prefix, sizeof watch->prefix, "%s",
            prefix != NULL ? prefix : "");
  watch->next = watches;
  watches = watch;
  answer_watches ();
}

/* A watch whose caller has gone is not answered.  */
static void
on_request_closed (struct evhttp_connection *connection, void *arg)
{
  struct watch **at = &watches;
  (void)arg;
  while (*at != NULL)
    {
      struct watch *watch = *at;
      if (evhttp_request_get_connection (watch->request) != connection)
        {
          at = &watch->next;
          continue;
        }
      *at = watch->next;
      free (watch);
    }
}

static void
on_lease (struct evhttp_request *request)
{
  json_t *body = read_body (request);
  long ttl_ms = (long)json_integer_value (json_object_get (body, "ttl_ms"));
  json_decref (body);
  if (lease_count == MAX_LEASES)
    unable ("too many leases");
  struct lease *lease = &leases[lease_count++];
  *lease = (struct lease){ next_lease++, ttl_ms, now_ms () + ttl_ms };
  reply (request, 200,
         json_pack ("{s:I, s:I}", "lease", (json_int_t)lease->id, "ttl_ms",
                    (json_int_t)ttl_ms));
}

static void
on_keep (struct evhttp_request *request, long id, bool keep)
{
  struct lease *lease = find_lease (id);
  if (lease == NULL)
    {
      reply (request, 404, json_object ());
      return;
    }
  if (keep)
    lease->end_ms = now_ms () + lease->ttl_ms;
  else
    end_lease (lease);
  reply (request, 200, json_pack ("{s:I}", "lease", (json_int_t)id));
  answer_watches ();
}

static void
on_key (struct evhttp_request *request, struct evkeyvalq *query)
{
  const struct entry *entry = find_entry (evhttp_find_header (query, "key"));
  if (entry == NULL || entry->removed)
    {
      reply (request, 404, json_object ());
      return;
    }
  json_t *body = entry_json (entry);
  json_object_set_new (body, "as_of", json_integer ((json_int_t)revision));
  reply (request, 200, body);
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
  const char *prefix = evhttp_find_header (&query, "prefix");
  if (strcmp (path, "/kv-range") == 0)
    reply (request, 200,
           json_pack ("{s:o, s:b, s:I}", "items",
                      collect (prefix != NULL ? prefix : "", 0, false),
                      "has_more", 0, "as_of", (json_int_t)revision));
  else if (strcmp (path, "/kv-watch") == 0)
    {
      evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                     on_request_closed, NULL);
      on_watch (request, &query);
    }
  else if (strcmp (path, "/kv-txn") == 0)
    on_txn (request);
  else if (strcmp (path, "/kv-key") == 0)
    on_key (request, &query);
  else if (strcmp (path, "/kv-lease") == 0)
    on_lease (request);
  else if (strncmp (path, "/kv-keep/", 9) == 0)
    on_keep (request, strtol (path + 9, NULL, 10), true);
  else if (strncmp (path, "/kv-lease-end/", 14) == 0)
    on_keep (request, strtol (path + 14, NULL, 10), false);
  else
    reply (request, 404, json_object ());
  evhttp_clear_headers (&query);
}

static uint64_t highest_token;

static void
on_promote (struct evhttp_request *request, void *arg)
{
  json_t *body = read_body (request);
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  const char *holder = evhttp_find_header (headers, "X-Lease-Holder");
  const char *fence = evhttp_find_header (headers, "X-Fencing-Token");
  const char *service = string_of (body, "service");
  const char *id = string_of (body, "id");
  uint64_t token = fence != NULL ? strtoull (fence, NULL, 10) : 0;
  int status = 409;
  (void)arg;
  if (service != NULL && id != NULL && holder != NULL
      && token >= highest_token)
    {
      highest_token = token;
      status = service_promote (service, id);
    }
  record ("platform: promote %s by %s with token %" PRIu64 " -> %d",
          id != NULL ? id : "-", holder != NULL ? holder : "-", token, status);
  json_decref (body);
  reply (request, status, json_object ());
}

static uint16_t
serve (void (*answer) (struct evhttp_request *, void *))
{
  struct evhttp *http = evhttp_new (events);
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
  if (bound == NULL)
    unable ("no port for the platform");
  evhttp_set_allowed_methods (http, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                        | EVHTTP_REQ_DELETE);
  evhttp_set_gencb (http, answer, NULL);
  return address_bound_port (evhttp_bound_socket_get_fd (bound));
}

uint16_t
store_start (void)
{
  struct timeval step = { .tv_usec = 50000 };
  struct event *tick = event_new (events, -1, EV_PERSIST, on_tick, NULL);
  event_add (tick, &step);
  return serve (on_store);
}

uint16_t
promote_start (void)
{
  return serve (on_promote);
}
