/* platform_standin - stand-in for the platform's key-value service.

   It implements the part of Consul's HTTP API that savoryway uses: /v1/kv,
   /v1/txn, /v1/session, /v1/health/service and /v1/agent/service, with
   blocking queries.  PUT /control?NAME=VALUE sets faults; 0 turns one off:

     outage=1         refuses every call with 503; with 2, never answers
     slow_ms=N        delays every answer by N ms
     lose=N           closes the connection instead of answering, for the next
                      N writes, after they took effect
     host_lag_ms=N    delays changes of the host list by N ms
     reads_per_s=N, writes_per_s=N    refuses calls above this rate with 429

   GET /control returns these settings and the number of calls by kind.  The
   process prints "port=P" when it is ready; the port may be given as an
   argument.  It ends on SIGTERM, SIGINT or when standard input closes.  */

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "kernel/mem.h"
#include "platform_store.h"
#include "standin_control.h"

/* Interval of the check for expired sessions and blocking queries.  */
#define TICK_INTERVAL_US 20000
#define BODY_LIMIT_BYTES 8388608
#define DEFAULT_WAIT_MS 300000 /* of a blocking query, as in Consul */
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_CONFLICT 409

enum setting
{
  SET_OUTAGE,
  SET_SLOW_MS,
  SET_LOSE,
  SET_HOST_LAG_MS,
  SET_READS_PER_S,
  SET_WRITES_PER_S,
  SET_COUNT
};

static const char *const setting_names[SET_COUNT] = {
  "outage", "slow_ms", "lose", "host_lag_ms", "reads_per_s", "writes_per_s",
};

enum call_kind
{
  CALL_GET,
  CALL_LIST,
  CALL_HOSTS,
  CALL_WATCH, /* a blocking get, list or hosts; counted once */
  CALL_WRITE,
  CALL_SESSION,
  CALL_REGISTER,
  CALL_REFUSED,
  CALL_LOST,
  CALL_COUNT
};

static const char *const call_names[CALL_COUNT] = {
  "get",     "list",     "hosts",   "watch", "write",
  "session", "register", "refused", "lost",
};

/* A read that is answered once its result changes.  A read without an index is
   answered at once.  */
struct blocking_query
{
  struct evhttp_request *request;
  char *key; /* NULL for the host list */
  bool recurse;
  uint64_t index; /* answered when the result has a higher one */
  int64_t until_ms;
  struct blocking_query *next;
};

/* A reply that slow_ms delays.  */
struct delayed_reply
{
  struct evhttp_request *request;
  int code;
};

static struct event_base *base;
static struct store *store;
static struct blocking_query *blocking_queries;
static int64_t settings[SET_COUNT];
static int64_t calls[CALL_COUNT];
static int64_t current_second;
static int64_t reads_this_second, writes_this_second;

static int64_t
now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
send_reply (struct evhttp_request *request, int code)
{
  evhttp_send_reply (request, code, NULL, NULL);
}

static void
on_reply_delay (evutil_socket_t fd, short events, void *arg)
{
  (void)fd;
  (void)events;
  struct delayed_reply *delayed = arg;
  send_reply (delayed->request, delayed->code);
  free (delayed);
}

/* Sends BODY, which may be NULL, after the delay that slow_ms sets.  Releases
   BODY.  INDEX 0 sends no index.  */
static void
reply (struct evhttp_request *request, int code, json_t *body, uint64_t index)
{
  char text[32];
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  snprintf (text, sizeof text, "%llu", (unsigned long long)index);
  if (index > 0)
    evhttp_add_header (headers, "X-Consul-Index", text);
  char *json = body ? json_dumps (body, JSON_ENCODE_ANY) : NULL;
  if (json != NULL)
    evbuffer_add (evhttp_request_get_output_buffer (request), json,
                  strlen (json));
  free (json);
  json_decref (body);
  if (settings[SET_SLOW_MS] == 0)
    {
      send_reply (request, code);
      return;
    }
  struct delayed_reply *delayed = mem_zalloc (sizeof *delayed);
  *delayed = (struct delayed_reply){ .request = request, .code = code };
  struct timeval delay = { .tv_sec = settings[SET_SLOW_MS] / 1000,
                           .tv_usec = settings[SET_SLOW_MS] % 1000 * 1000 };
  event_base_once (base, -1, EV_TIMEOUT, on_reply_delay, delayed, &delay);
}

/* Answers a write, or closes its connection if the fault "lose" is set.  */
static void
reply_write (struct evhttp_request *request, int code, json_t *body)
{
  if (settings[SET_LOSE] > 0)
    {
      struct evhttp_connection *conn = evhttp_request_get_connection (request);
      struct bufferevent *bev = evhttp_connection_get_bufferevent (conn);
      settings[SET_LOSE]--;
      calls[CALL_LOST]++;
      shutdown (bufferevent_getfd (bev), SHUT_RDWR);
    }
  reply (request, code, body, 0);
}

/* Counts the call and returns whether it may run.  A call that may not has
   been answered, or never is (outage=2).  */
static bool
admit (struct evhttp_request *request, enum call_kind kind)
{
  bool write = kind >= CALL_WRITE;
  int64_t *calls_this_second
      = write ? &writes_this_second : &reads_this_second;
  int64_t limit = settings[write ? SET_WRITES_PER_S : SET_READS_PER_S];
  if (now_ms () / 1000 != current_second)
    {
      current_second = now_ms () / 1000;
      reads_this_second = writes_this_second = 0;
    }
  calls[kind]++;
  if (settings[SET_OUTAGE] == 2)
    return false;
  (*calls_this_second)++;
  if (settings[SET_OUTAGE] == 0 && (limit == 0 || *calls_this_second <= limit))
    return true;
  calls[CALL_REFUSED]++;
  reply (request,
         settings[SET_OUTAGE] ? HTTP_SERVUNAVAIL : HTTP_TOO_MANY_REQUESTS,
         NULL, 0);
  return false;
}

/* Returns the index of the result of QUERY, and appends the result to ARRAY
   unless that is NULL.  */
static uint64_t
run_query (const struct blocking_query *query, json_t *array)
{
  if (query->key == NULL)
    return store_hosts (store, array);
  return store_read (store, query->key, query->recurse, array);
}

static void
reply_query (struct blocking_query *query)
{
  json_t *array = json_array ();
  uint64_t index = run_query (query, array);
  bool missing = query->key != NULL && json_array_size (array) == 0;
  reply (query->request, missing ? HTTP_NOTFOUND : HTTP_OK, array, index);
  free (query->key);
  free (query);
}

/* Answers the blocking queries whose result changed or whose wait is over.  */
static void
answer_blocking_queries (void)
{
  for (struct blocking_query **at = &blocking_queries; *at != NULL;)
    {
      struct blocking_query *query = *at;
      if (query->until_ms > now_ms ()
          && run_query (query, NULL) <= query->index)
        {
          at = &query->next;
          continue;
        }
      *at = query->next;
      reply_query (query);
    }
}

static const char *
param_value (const struct evkeyvalq *params, const char *name)
{
  const char *value = evhttp_find_header (params, name);
  return value != NULL ? value : "";
}

/* Parses a duration as Consul writes it: a number with "s", "m" or "ms".  */
static int64_t
parse_wait_ms (const char *text)
{
  char *unit = NULL;
  int64_t number = strtoll (text, &unit, 10);
  if (unit == text)
    return DEFAULT_WAIT_MS;
  if (strcmp (unit, "s") == 0)
    return number * 1000;
  return strcmp (unit, "m") == 0 ? number * 60000 : number;
}

/* Handles a read of KEY, or of the host list if KEY is NULL.  */
static void
on_read (struct evhttp_request *request, const char *key,
         const struct evkeyvalq *params)
{
  struct blocking_query *query = mem_zalloc (sizeof *query);
  query->request = request;
  query->key = mem_strdup (key);
  query->recurse = evhttp_find_header (params, "recurse") != NULL;
  query->index = strtoull (param_value (params, "index"), NULL, 10);
  query->until_ms = now_ms () + parse_wait_ms (param_value (params, "wait"));
  enum call_kind kind = key == NULL      ? CALL_HOSTS
                        : query->recurse ? CALL_LIST
                                         : CALL_GET;
  if (!admit (request, query->index > 0 ? CALL_WATCH : kind))
    {
      free (query->key);
      free (query);
      return;
    }
  query->next = blocking_queries;
  blocking_queries = query;
  if (query->index == 0)
    query->until_ms = 0;
  answer_blocking_queries ();
}

static json_t *
parse_body (struct evhttp_request *request)
{
  struct evbuffer *in = evhttp_request_get_input_buffer (request);
  size_t length = evbuffer_get_length (in);
  return json_loadb ((const char *)evbuffer_pullup (in, -1), length, 0, NULL);
}

static void
on_txn (struct evhttp_request *request)
{
  static const int codes[] = { [STORE_OK] = HTTP_OK,
                               [STORE_CONFLICT] = HTTP_CONFLICT,
                               [STORE_MALFORMED] = HTTP_BADREQUEST,
                               [STORE_TOO_LARGE] = HTTP_ENTITYTOOLARGE };
  if (!admit (request, CALL_WRITE))
    return;
  json_t *body = parse_body (request);
  json_t *answer = NULL;
  enum store_status status = store_txn (store, body, &answer);
  json_decref (body);
  reply_write (request, codes[status], answer);
  answer_blocking_queries ();
}

static void
on_session (struct evhttp_request *request, const char *rest)
{
  if (!admit (request, CALL_SESSION))
    return;
  const char *id = strchr (rest, '/');
  if (strcmp (rest, "create") == 0)
    {
      const char *ttl = "";
      json_t *body = parse_body (request);
      json_unpack (body, "{s:s}", "TTL", &ttl);
      int64_t ttl_ms = parse_wait_ms (ttl);
      json_decref (body);
      reply_write (
          request, HTTP_OK,
          json_pack ("{s:s}", "ID",
                     store_session_create (store, ttl_ms, now_ms ())));
    }
  else if (strncmp (rest, "renew/", strlen ("renew/")) == 0)
    {
      bool exists = store_session_renew (store, id + 1, now_ms ());
      reply_write (request, exists ? HTTP_OK : HTTP_NOTFOUND, NULL);
    }
  else
    {
      if (id != NULL)
        store_session_destroy (store, id + 1);
      reply_write (request, HTTP_OK, json_true ());
      answer_blocking_queries ();
    }
}

static void
on_agent (struct evhttp_request *request, const char *rest)
{
  if (!admit (request, CALL_REGISTER))
    return;
  int64_t visible_ms = now_ms () + settings[SET_HOST_LAG_MS];
  json_t *body = parse_body (request);
  const char *id = NULL;
  if (strncmp (rest, "deregister/", strlen ("deregister/")) == 0)
    store_set_host (store, rest + strlen ("deregister/"), NULL, visible_ms);
  else if (json_unpack (body, "{s:s}", "ID", &id) == 0)
    store_set_host (store, id, body, visible_ms);
  store_tick (store, now_ms ());
  json_decref (body);
  reply_write (request, HTTP_OK, NULL);
  answer_blocking_queries ();
}

static void
on_control (struct evhttp_request *request, const struct evkeyvalq *params)
{
  json_t *body = json_object ();
  for (int i = 0; i < SET_COUNT; i++)
    {
      const char *value = evhttp_find_header (params, setting_names[i]);
      if (value != NULL)
        settings[i] = strtoll (value, NULL, 10);
      json_object_set_new (body, setting_names[i], json_integer (settings[i]));
    }
  for (int i = 0; i < CALL_COUNT; i++)
    json_object_set_new (body, call_names[i], json_integer (calls[i]));
  json_object_set_new (body, "index",
                       json_integer ((json_int_t)store_index (store)));
  char *json = json_dumps (body, 0);
  evbuffer_add (evhttp_request_get_output_buffer (request), json,
                strlen (json));
  free (json);
  json_decref (body);
  send_reply (request, HTTP_OK);
}

/* Returns the rest of PATH after PREFIX; NULL if it starts otherwise.  */
static const char *
path_below (const char *path, const char *prefix)
{
  size_t length = strlen (prefix);
  return strncmp (path, prefix, length) == 0 ? path + length : NULL;
}

static void
on_request (struct evhttp_request *request, void *arg)
{
  (void)arg;
  struct evkeyvalq params;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *path = evhttp_uri_get_path (uri);
  const char *text = evhttp_uri_get_query (uri);
  bool put = evhttp_request_get_command (request) == EVHTTP_REQ_PUT;
  const char *rest;
  evhttp_parse_query_str (text ? text : "", &params);
  char *decoded = evhttp_uridecode (path, 0, NULL);
  if (strcmp (decoded, "/control") == 0)
    on_control (request, &params);
  else if (!put && (rest = path_below (decoded, "/v1/kv/")) != NULL)
    on_read (request, rest, &params);
  else if (!put && strcmp (decoded, "/v1/health/service/savoryway") == 0)
    on_read (request, NULL, &params);
  else if (put && strcmp (decoded, "/v1/txn") == 0)
    on_txn (request);
  else if (put && (rest = path_below (decoded, "/v1/session/")) != NULL)
    on_session (request, rest);
  else if (put && (rest = path_below (decoded, "/v1/agent/service/")) != NULL)
    on_agent (request, rest);
  else
    send_reply (request, HTTP_NOTFOUND);
  free (decoded);
  evhttp_clear_headers (&params);
}

static void
on_tick (evutil_socket_t fd, short events, void *arg)
{
  (void)fd;
  (void)events;
  (void)arg;
  uint64_t before = store_index (store);
  bool due = false;
  store_tick (store, now_ms ());
  for (struct blocking_query *query = blocking_queries; query != NULL;
       query = query->next)
    due = due || query->until_ms <= now_ms ();
  if (due || store_index (store) != before)
    answer_blocking_queries ();
}

static uint16_t
bound_port (struct evhttp_bound_socket *socket)
{
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;
  getsockname (evhttp_bound_socket_get_fd (socket),
               (struct sockaddr *)&address, &length);
  return ntohs (address.sin_port);
}

int
main (int argc, char **argv)
{
  uint16_t port = argc > 1 ? (uint16_t)strtoul (argv[1], NULL, 10) : 0;
  struct timeval tick = { .tv_usec = TICK_INTERVAL_US };
  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  store = store_new ();
  struct evhttp *http = evhttp_new (base);
  evhttp_set_max_body_size (http, BODY_LIMIT_BYTES);
  evhttp_set_timeout (http, DEFAULT_WAIT_MS / 1000);
  evhttp_set_gencb (http, on_request, NULL);
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (http, "127.0.0.1", port);
  if (bound == NULL)
    {
      perror ("platform_standin: bind");
      return EXIT_FAILURE;
    }
  struct event *ticker = event_new (base, -1, EV_PERSIST, on_tick, NULL);
  event_add (ticker, &tick);
  printf ("port=%u\n", bound_port (bound));
  fflush (stdout);
  standin_run (base);
  event_free (ticker);
  evhttp_free (http);
  store_free (store);
  event_base_free (base);
  return EXIT_SUCCESS;
}
