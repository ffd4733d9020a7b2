/* The platform's metadata store, as its published protocol tells.  */

#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#define ITEMS 4096
#define LEASES 512
#define PAGE 500
#define LEASE_CHECK_MS 50

struct item
{
  char key[208];
  char *value; /* base64 */
  json_int_t revision;
  json_int_t created;
  json_int_t lease;
  bool removed;
};

struct lease
{
  json_int_t id;
  json_int_t ttl_ms;
  double until_ms;
};

struct watch
{
  struct evhttp_request *request;
  struct event *timeout;
  char prefix[208];
  json_int_t after;
  struct watch *next;
};

static struct item *items[ITEMS]; /* sorted by key */
static size_t item_count;
static struct lease leases[LEASES];
static size_t lease_count;
static json_int_t next_lease = 100;
static json_int_t revision = 1;
static struct watch *watches;

static const char digits[]
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *
encode (const char *text)
{
  size_t length = strlen (text), used = 0;
  char *out = malloc (length / 3 * 4 + 8);
  for (size_t i = 0; i < length; i += 3)
    {
      uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;
      if (i + 1 < length)
        bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
      if (i + 2 < length)
        bits |= (unsigned char)text[i + 2];
      out[used++] = digits[bits >> 18 & 63];
      out[used++] = digits[bits >> 12 & 63];
      out[used++] = i + 1 < length ? digits[bits >> 6 & 63] : '=';
      out[used++] = i + 2 < length ? digits[bits & 63] : '=';
    }
  out[used] = '\0';
  return out;
}

static size_t
place_of (const char *key)
{
  size_t low = 0, high = item_count;
  while (low < high)
    {
      size_t middle = (low + high) / 2;
      if (strcmp (items[middle]->key, key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct item *
find (const char *key)
{
  size_t place = place_of (key);
  bool found = place < item_count && strcmp (items[place]->key, key) == 0;
  return found && !items[place]->removed ? items[place] : NULL;
}

static json_t *
item_json (const struct item *item)
{
  if (item->removed)
    return json_pack ("{s:s, s:I, s:b}", "key", item->key, "revision",
                      item->revision, "removed", 1);
  return json_pack ("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value",
                    item->value, "revision", item->revision, "created",
                    item->created, "lease", item->lease);
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

/* Answers WATCH if there are events or EVEN_EMPTY is set.  */
static bool
answer_watch (struct watch *watch, bool even_empty)
{
  json_t *events = json_array ();
  for (size_t i = 0; i < item_count; i++)
    if (items[i]->revision > watch->after
        && strncmp (items[i]->key, watch->prefix, strlen (watch->prefix)) == 0)
      json_array_append_new (events, item_json (items[i]));
  if (json_array_size (events) == 0 && !even_empty)
    {
      json_decref (events);
      return false;
    }
  evhttp_connection_set_closecb (
      evhttp_request_get_connection (watch->request), NULL, NULL);
  reply (watch->request, 200,
         json_pack ("{s:o, s:I}", "events", events, "as_of", revision));
  return true;
}

static void
drop_watch (struct watch **at)
{
  struct watch *watch = *at;
  *at = watch->next;
  event_free (watch->timeout);
  free (watch);
}

static void
notify (void)
{
  struct watch **at = &watches;
  while (*at != NULL)
    if (answer_watch (*at, false))
      drop_watch (at);
    else
      at = &(*at)->next;
}

static void
on_watch_timeout (evutil_socket_t fd, short what, void *arg)
{
  struct watch **at = &watches;
  (void)fd;
  (void)what;
  while (*at != arg)
    at = &(*at)->next;
  answer_watch (*at, true);
  drop_watch (at);
}

static void
on_watch_closed (struct evhttp_connection *connection, void *arg)
{
  (void)connection;
  for (struct watch **at = &watches; *at != NULL; at = &(*at)->next)
    if (*at == arg)
      {
        drop_watch (at);
        return;
      }
}

static void
set (const char *key, const char *value, json_int_t lease)
{
  size_t place = place_of (key);
  if (place == item_count || strcmp (items[place]->key, key) != 0)
    {
      if (item_count == ITEMS)
        abort ();
      memmove (&items[place + 1], &items[place],
               (item_count - place) * sizeof (void *));
      items[place] = calloc (1, sizeof **items);
      snprintf (items[place]->key, sizeof items[place]->key, "%s", key);
      items[place]->removed = true;
      item_count++;
    }
  struct item *item = items[place];
  item->revision = ++revision;
  if (item->removed)
    item->created = revision;
  free (item->value);
  item->value = strdup (value);
  item->lease = lease;
  item->removed = false;
}

static void
erase (struct item *item)
{
  if (item == NULL)
    return;
  item->removed = true;
  item->revision = ++revision;
}

void
store_put (const char *key, const char *text)
{
  char *value = encode (text);
  set (key, value, 0);
  free (value);
  notify ();
}

void
store_remove (const char *key)
{
  erase (find (key));
  notify ();
}

static struct lease *
find_lease (json_int_t id)
{
  for (size_t i = 0; i < lease_count; i++)
    if (leases[i].id == id)
      return &leases[i];
  return NULL;
}

static void
end_lease (struct lease *lease)
{
  for (size_t i = 0; i < item_count; i++)
    if (!items[i]->removed && items[i]->lease == lease->id)
      erase (items[i]);
  *lease = leases[--lease_count];
}

static void
check_leases (void *arg)
{
  (void)arg;
  for (size_t i = lease_count; i-- > 0;)
    if (leases[i].until_ms < now_ms ())
      end_lease (&leases[i]);
  notify ();
  run_after (LEASE_CHECK_MS, check_leases, NULL);
}

static json_t *
read_body (struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  return json_loadb ((const char *)evbuffer_pullup (input, -1),
                     evbuffer_get_length (input), 0, NULL);
}

static const char *
text_of (json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  return text != NULL ? text : "";
}

static json_int_t
number_of (json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}

static bool
is_reserved (const char *key)
{
  return strncmp (key, "op/", 3) == 0 || strncmp (key, "servers/", 8) == 0;
}

/* Returns the status with which the transaction BODY is refused; 200 if it is
   not.  */
static int
check_txn (json_t *body, json_t *conflicts)
{
  json_t *row;
  size_t i;
  bool conflict = false;
  json_array_foreach (json_object_get (body, "expected"), i, row)
  {
    struct item *item = find (text_of (row, "key"));
    conflict
        |= (item != NULL ? item->revision : 0) != number_of (row, "revision");
    if (item != NULL)
      json_array_append_new (conflicts, item_json (item));
  }
  if (conflict)
    return 412;
  json_array_foreach (json_object_get (body, "set_keys"), i, row)
  {
    json_int_t lease = number_of (row, "lease");
    if (is_reserved (text_of (row, "key")))
      return 403;
    if (lease != 0 && find_lease (lease) == NULL)
      return 404;
  }
  return 200;
}

static void
handle_txn (struct evhttp_request *request)
{
  json_t *body = read_body (request), *conflicts = json_array (), *row;
  size_t i;
  int status = check_txn (body, conflicts);
  if (status == 200)
    {
      json_array_foreach (json_object_get (body, "set_keys"), i, row)
          set (text_of (row, "key"), text_of (row, "value"),
               number_of (row, "lease"));
      json_array_foreach (json_object_get (body, "remove"), i, row)
          erase (find (json_string_value (row)));
      reply (request, 200, json_pack ("{s:I}", "revision", revision));
    }
  else
    reply (request, status, json_pack ("{s:O}", "items", conflicts));
  json_decref (conflicts);
  json_decref (body);
  notify ();
}

static void
handle_range (struct evhttp_request *request, const char *prefix,
              const char *after)
{
  json_t *found = json_array ();
  bool more = false;
  for (size_t i = 0; i < item_count && !more; i++)
    {
      if (items[i]->removed
          || strncmp (items[i]->key, prefix, strlen (prefix)) != 0
          || (after != NULL && strcmp (items[i]->key, after) <= 0))
        continue;
      more = json_array_size (found) == PAGE;
      if (!more)
        json_array_append_new (found, item_json (items[i]));
    }
  reply (request, 200,
         json_pack ("{s:o, s:b, s:I}", "items", found, "has_more", more,
                    "as_of", revision));
}

static void
handle_watch (struct evhttp_request *request, const char *prefix,
              const char *after, const char *wait_ms)
{
  struct watch *watch = calloc (1, sizeof *watch);
  long span_ms = wait_ms != NULL ? atol (wait_ms) : 0;
  struct timeval span
      = { .tv_sec = span_ms / 1000, .tv_usec = span_ms % 1000 * 1000 };
  watch->request = request;
  watch->after = after != NULL ? atoll (after) : 0;
  snprintf (watch->prefix, sizeof watch->prefix, "%s", prefix);
  if (answer_watch (watch, false))
    {
      free (watch);
      return;
    }
  watch->timeout = evtimer_new (base, on_watch_timeout, watch);
  watch->next = watches;
  watches = watch;
  evtimer_add (watch->timeout, &span);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 on_watch_closed, watch);
}

static void
handle_lease (struct evhttp_request *request)
{
  json_t *body = read_body (request);
  json_int_t ttl_ms = number_of (body, "ttl_ms");
  json_decref (body);
  if (lease_count == LEASES)
    abort ();
  leases[lease_count++]
      = (struct lease){ next_lease, ttl_ms, now_ms () + (double)ttl_ms };
  reply (request, 200,
         json_pack ("{s:I, s:I}", "lease", next_lease++, "ttl_ms", ttl_ms));
}

static void
handle_lease_id (struct evhttp_request *request, json_int_t id, bool ends)
{
  struct lease *lease = find_lease (id);
  int status = lease != NULL ? 200 : 404;
  if (lease != NULL && ends)
    end_lease (lease);
  else if (lease != NULL)
    lease->until_ms = now_ms () + (double)lease->ttl_ms;
  reply (request, status, json_object ());
  notify ();
}

static void
on_request (struct evhttp_request *request, void *arg)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *path = evhttp_uri_get_path (uri);
  struct evkeyvalq query;
  (void)arg;
  evhttp_parse_query_str (
      evhttp_uri_get_query (uri) != NULL ? evhttp_uri_get_query (uri) : "",
      &query);
  const char *prefix = evhttp_find_header (&query, "prefix");
  const char *key = evhttp_find_header (&query, "key");
  const char *after = evhttp_find_header (&query, "after");
  if (prefix == NULL)
    prefix = "";
  if (strcmp (path, "/kv-key") == 0 && key != NULL)
    {
      struct item *item = find (key);
      json_t *body = item != NULL ? item_json (item) : json_object ();
      json_object_set_new (body, "as_of", json_integer (revision));
      reply (request, item != NULL ? 200 : 404, body);
    }
  else if (strcmp (path, "/kv-range") == 0)
    handle_range (request, prefix, after);
  else if (strcmp (path, "/kv-watch") == 0)
    handle_watch (request, prefix, after,
                  evhttp_find_header (&query, "wait_ms"));
  else if (strcmp (path, "/kv-txn") == 0)
    handle_txn (request);
  else if (strcmp (path, "/kv-lease") == 0)
    handle_lease (request);
  else if (strncmp (path, "/kv-keep/", 9) == 0)
    handle_lease_id (request, atoll (path + 9), false);
  else if (strncmp (path, "/kv-lease-end/", 14) == 0)
    handle_lease_id (request, atoll (path + 14), true);
  else
    reply (request, 404, json_object ());
  evhttp_clear_headers (&query);
}

uint16_t
store_open (void)
{
  struct evhttp *http = evhttp_new (base);
  uint16_t port = free_port ();
  evhttp_set_gencb (http, on_request, NULL);
  if (evhttp_bind_socket (http, "127.0.0.1", port) != 0)
    abort ();
  check_leases (NULL);
  return port;
}
