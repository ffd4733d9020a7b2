#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <signal.h>

#include "../standin/standin_spawn.h"
#include "cli/event_loop.h"
#include "kernel/mem.h"
#include "kernel/rng.h"
#include "port/address.h"
#include "port/consul.h"
#include "port/consul_codec.h"
#include "unit.h"

#define TIMEOUT_MS 2000
#define WRITE_CALL(at, count, within_ms)                                      \
  {                                                                           \
    .kind = PLATFORM_WRITE, .writes = at, .write_count = count,               \
    .timeout_ms = within_ms                                                   \
  }

static struct standin standin;
static uint16_t platform;
static struct event_base *base;
static struct platform_port *port;
static struct metrics *metrics;

/* Copy of the last reply, and the number of replies so far.  */
static struct
{
  int replies;
  enum platform_status status;
  uint64_t index;
  size_t items;
  char key[64];
  char value[64];
  size_t value_bytes;
  uint64_t item_index;
  size_t hosts;
  struct platform_host host;
  char lease[64];
  size_t received_bytes;
  clk_ms transfer_ms;
} got;

static void
on_reply (void *arg, const struct platform_reply *reply)
{
  (void)arg;
  int replies = got.replies;
  memset (&got, 0, sizeof got);
  got.replies = replies + 1;
  got.status = reply->status;
  got.index = reply->index;
  got.items = reply->item_count;
  got.hosts = reply->host_count;
  got.received_bytes = reply->received_bytes;
  got.transfer_ms = reply->transfer_ms;
  if (reply->item_count > 0)
    {
      snprintf (got.key, sizeof got.key, "%s", reply->items[0].key);
      snprintf (got.value, sizeof got.value, "%s", reply->items[0].value);
      got.value_bytes = reply->items[0].value_bytes;
      got.item_index = reply->items[0].index;
    }
  if (reply->host_count > 0)
    got.host = reply->hosts[0];
  if (reply->lease != NULL)
    snprintf (got.lease, sizeof got.lease, "%s", reply->lease);
}

static struct platform_port *
new_port (uint16_t to, uint32_t calls_per_s)
{
  const struct consul_options options = { .address = "127.0.0.1",
                                          .port = to,
                                          .calls_per_s = calls_per_s,
                                          .metrics = metrics };
  return consul_port_new (base, &options);
}

static uint64_t
start_call (const struct platform_call *call)
{
  int before = got.replies;
  uint64_t id = port->ops->call (port, call, on_reply, NULL);
  ck_assert_int_eq (got.replies, before);
  return id;
}

static enum platform_status
wait_replies (int replies)
{
  while (got.replies < replies)
    ck_assert_int_eq (event_base_loop (base, EVLOOP_ONCE), 0);
  ck_assert_int_eq (got.replies, replies);
  return got.status;
}

static enum platform_status
run (const struct platform_call *call)
{
  int replies = got.replies + 1;
  start_call (call);
  return wait_replies (replies);
}

static enum platform_status
write_one (const struct platform_write *write)
{
  struct platform_call call = WRITE_CALL (write, 1, TIMEOUT_MS);
  call.purpose = "test";
  return run (&call);
}

static enum platform_status
put (const char *key, const char *value, uint64_t index)
{
  return write_one (&(struct platform_write){ .key = key,
                                              .value = value,
                                              .value_bytes = strlen (value),
                                              .expect_index = index });
}

static enum platform_status
read_key (enum platform_call_kind kind, const char *key)
{
  return run (&(struct platform_call){
      .kind = kind, .purpose = "test", .key = key, .timeout_ms = TIMEOUT_MS });
}

static void
on_put_done (struct evhttp_request *request, void *arg)
{
  ck_assert_ptr_nonnull (request);
  *(bool *)arg = true;
}

/* Sends a PUT request to the stand-in directly, without the port.  */
static void
send_put (const char *path, const char *body)
{
  bool done = false;
  struct evhttp_connection *conn
      = evhttp_connection_base_new (base, NULL, "127.0.0.1", platform);
  struct evhttp_request *request = evhttp_request_new (on_put_done, &done);
  evbuffer_add (evhttp_request_get_output_buffer (request), body,
                strlen (body));
  evhttp_make_request (conn, request, EVHTTP_REQ_PUT, path);
  while (!done)
    event_base_loop (base, EVLOOP_ONCE);
  evhttp_connection_free (conn);
}

static void
control (const char *path)
{
  send_put (path, "");
}

static void
put_host (const char *json)
{
  send_put ("/v1/agent/service/register", json);
}

static void
setup (void)
{
  char *argv[] = { NULL, NULL };
  signal (SIGPIPE, SIG_IGN);
  standin_spawn (&standin, "platform_standin", argv);
  platform = standin_port (&standin, "port=");
  base = event_loop_base_new ();
  metrics = metrics_new ();
  port = new_port (platform, 1000);
  memset (&got, 0, sizeof got);
}

static void
teardown (void)
{
  consul_port_free (port);
  metrics_free (metrics);
  event_base_free (base);
  standin_stop (&standin);
}

UNIT_TEST (test_write_is_compare_and_swap)
{
  ck_assert_int_eq (read_key (PLATFORM_GET, "a/x"), PLATFORM_NOT_FOUND);
  ck_assert_int_eq (put ("a/x", "one", 0), PLATFORM_OK);
  uint64_t index = got.index;
  ck_assert_uint_eq (got.item_index, index);
  ck_assert_int_eq (put ("a/x", "two", 0), PLATFORM_CONFLICT);
  ck_assert_int_eq (put ("a/x", "two", index + 1), PLATFORM_CONFLICT);
  ck_assert_int_eq (read_key (PLATFORM_GET, "a/x"), PLATFORM_OK);
  ck_assert_str_eq (got.value, "one");
  ck_assert_uint_eq (got.item_index, index);
  ck_assert_int_eq (put ("a/x", "two", index), PLATFORM_OK);
  index = got.index;
  ck_assert_int_eq (read_key (PLATFORM_LIST, "a/"), PLATFORM_OK);
  ck_assert_uint_eq (got.items, 1);
  ck_assert_str_eq (got.key, "a/x");
  ck_assert_str_eq (got.value, "two");
  struct platform_write erase
      = { .key = "a/x", .expect_index = index, .erase = true };
  ck_assert_int_eq (write_one (&erase), PLATFORM_OK);
  ck_assert_int_eq (write_one (&erase), PLATFORM_CONFLICT);
  ck_assert_int_eq (read_key (PLATFORM_LIST, "a/"), PLATFORM_OK);
  ck_assert_uint_eq (got.items, 0);
}

UNIT_TEST (test_two_writes_are_atomic)
{
  ck_assert_int_eq (put ("b/head", "1", 0), PLATFORM_OK);
  uint64_t index = got.index;
  struct platform_write writes[] = {
    { .key = "b/team", .value = "t", .value_bytes = 1 },
    { .key = "b/head", .value = "2", .value_bytes = 1, .expect_index = 1 },
  };
  struct platform_call call = WRITE_CALL (writes, 2, TIMEOUT_MS);
  ck_assert_int_eq (run (&call), PLATFORM_CONFLICT);
  ck_assert_int_eq (read_key (PLATFORM_GET, "b/team"), PLATFORM_NOT_FOUND);
  writes[1].expect_index = index;
  ck_assert_int_eq (run (&call), PLATFORM_OK);
  ck_assert_int_eq (read_key (PLATFORM_LIST, "b/"), PLATFORM_OK);
  ck_assert_uint_eq (got.items, 2);
}

UNIT_TEST (test_watch_returns_on_change_and_counts_once)
{
  ck_assert_int_eq (put ("c/x", "one", 0), PLATFORM_OK);
  uint64_t index = got.index;
  struct platform_call watch = { .kind = PLATFORM_LIST,
                                 .purpose = "watch",
                                 .key = "c/",
                                 .wait_index = index,
                                 .wait_ms = 60000,
                                 .timeout_ms = TIMEOUT_MS };
  int replies = got.replies;
  start_call (&watch);
  ck_assert_int_eq (put ("elsewhere", "x", 0), PLATFORM_OK);
  ck_assert_int_eq (got.replies, replies + 1);
  struct platform_write write = {
    .key = "c/x", .value = "two", .value_bytes = 3, .expect_index = index
  };
  start_call (&(struct platform_call)WRITE_CALL (&write, 1, TIMEOUT_MS));
  ck_assert_int_eq (wait_replies (replies + 3), PLATFORM_OK);
  ck_assert_int_eq (read_key (PLATFORM_GET, "c/x"), PLATFORM_OK);
  ck_assert_str_eq (got.value, "two");
  char *text = metrics_print (metrics);
  ck_assert_ptr_nonnull (
      strstr (text, "calls_total{purpose=\"watch\",kind=\"list\"} 1\n"));
  free (text);
  watch.wait_index = got.index;
  watch.wait_ms = 30;
  ck_assert_int_eq (run (&watch), PLATFORM_OK);
  ck_assert_uint_eq (got.index, watch.wait_index);
}

UNIT_TEST (test_hosts_appear_with_lag_and_invalid_ones_are_skipped)
{
  put_host ("{\"ID\":\"bad\",\"Name\":\"savoryway\",\"Port\":\"x\"}");
  put_host ("{\"ID\":\"h1\",\"Name\":\"savoryway\",\"Address\":\"127.0.0.1\","
            "\"Port\":700,\"Meta\":{\"domain\":\"rizal\",\"incarnation\":"
            "\"9\",\"leaving\":\"true\"}}");
  struct platform_call call
      = { .kind = PLATFORM_HOSTS, .timeout_ms = TIMEOUT_MS };
  ck_assert_int_eq (run (&call), PLATFORM_OK);
  ck_assert_uint_eq (got.hosts, 1);
  ck_assert_str_eq (got.host.name, "h1");
  ck_assert_str_eq (got.host.domain, "rizal");
  ck_assert_uint_eq (got.host.port, 700);
  ck_assert_uint_eq (got.host.incarnation, 9);
  ck_assert (got.host.leaving);
  call.wait_index = got.index;
  control ("/control?host_lag_ms=100");
  put_host ("{\"ID\":\"h2\",\"Address\":\"127.0.0.1\",\"Port\":700,"
            "\"Meta\":{\"domain\":\"rizal\"}}");
  ck_assert_int_eq (run (&call), PLATFORM_OK);
  ck_assert_uint_eq (got.hosts, 1);
  call.wait_ms = 60000;
  ck_assert_int_eq (run (&call), PLATFORM_OK);
  ck_assert_uint_eq (got.hosts, 2);
}

UNIT_TEST (test_key_is_deleted_when_its_lease_ends)
{
  struct platform_call lease
      = { .kind = PLATFORM_LEASE, .ttl_ms = 60000, .timeout_ms = TIMEOUT_MS };
  ck_assert_int_eq (run (&lease), PLATFORM_OK);
  char id[64];
  memcpy (id, got.lease, sizeof id);
  struct platform_write write
      = { .key = "d/x", .value = "me", .value_bytes = 2, .lease = id };
  ck_assert_int_eq (write_one (&write), PLATFORM_OK);
  ck_assert_int_eq (write_one (&write), PLATFORM_CONFLICT);
  struct platform_call other
      = { .kind = PLATFORM_RENEW, .lease = id, .timeout_ms = TIMEOUT_MS };
  ck_assert_int_eq (run (&other), PLATFORM_OK);
  other.kind = PLATFORM_RELEASE;
  ck_assert_int_eq (run (&other), PLATFORM_OK);
  ck_assert_int_eq (read_key (PLATFORM_GET, "d/x"), PLATFORM_NOT_FOUND);
  other.kind = PLATFORM_RENEW;
  ck_assert_int_eq (run (&other), PLATFORM_NOT_FOUND);
}

UNIT_TEST (test_lost_response_differs_from_a_refusal)
{
  control ("/control?lose=1");
  ck_assert_int_eq (put ("e/x", "1", 0), PLATFORM_LOST);
  ck_assert_int_eq (read_key (PLATFORM_GET, "e/x"), PLATFORM_OK);
  control ("/control?outage=1");
  ck_assert_int_eq (put ("e/y", "1", 0), PLATFORM_UNAVAILABLE);
  ck_assert_int_eq (read_key (PLATFORM_GET, "e/x"), PLATFORM_UNAVAILABLE);
  control ("/control?outage=2");
  struct platform_write write = { .key = "e/z" };
  struct platform_call call = WRITE_CALL (&write, 1, 50);
  ck_assert_int_eq (run (&call), PLATFORM_LOST);
  call.kind = PLATFORM_GET;
  call.key = "e/x";
  ck_assert_int_eq (run (&call), PLATFORM_UNAVAILABLE);
  control ("/control?outage=0");
  ck_assert_int_eq (read_key (PLATFORM_GET, "e/y"), PLATFORM_NOT_FOUND);
}

UNIT_TEST (test_refused_connection_has_no_effect)
{
  consul_port_free (port);
  /* A port that was bound and closed again, so nothing listens on it.  */
  struct evhttp *http = evhttp_new (base);
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&address,
               &length);
  evhttp_free (http);
  port = new_port (ntohs (address.sin_port), 1000);
  ck_assert_int_eq (put ("f/x", "1", 0), PLATFORM_UNAVAILABLE);
  ck_assert_int_eq (put ("f/x", "1", 0), PLATFORM_UNAVAILABLE);
}

UNIT_TEST (test_values_up_to_the_limit)
{
  size_t size = (size_t)(PLATFORM_VALUE_LIMIT_BYTES);
  char *value = mem_zalloc (size + 1);
  struct platform_write write
      = { .key = "g/x", .value = value, .value_bytes = size };
  ck_assert_int_eq (write_one (&write), PLATFORM_OK);
  ck_assert_int_eq (read_key (PLATFORM_GET, "g/x"), PLATFORM_OK);
  ck_assert_uint_eq (got.value_bytes, size);
  write.value_bytes = size + 1;
  write.expect_index = got.item_index;
  ck_assert_int_eq (write_one (&write), PLATFORM_REJECTED);
  free (value);
}

UNIT_TEST (test_cancelled_call_gets_no_reply)
{
  struct platform_call watch = { .kind = PLATFORM_LIST,
                                 .key = "h/",
                                 .wait_index = 1000000,
                                 .wait_ms = 60000,
                                 .timeout_ms = TIMEOUT_MS };
  uint64_t waiting = start_call (&watch);
  ck_assert_int_eq (read_key (PLATFORM_LIST, "h/"), PLATFORM_OK);
  uint64_t queued = start_call (&watch);
  port->ops->cancel (port, waiting);
  port->ops->cancel (port, queued);
  ck_assert_int_eq (put ("h/x", "1", 0), PLATFORM_OK);
  ck_assert_int_eq (read_key (PLATFORM_GET, "h/x"), PLATFORM_OK);
  ck_assert_int_eq (got.replies, 3);
}

UNIT_TEST (test_calls_over_the_rate_limit_wait_and_then_fail_unsent)
{
  consul_port_free (port);
  port = new_port (platform, 1);
  struct platform_call call
      = { .kind = PLATFORM_GET, .key = "i/x", .timeout_ms = TIMEOUT_MS };
  ck_assert_int_eq (run (&call), PLATFORM_NOT_FOUND);
  ck_assert_int_eq (run (&call), PLATFORM_NOT_FOUND);
  struct platform_write write = { .key = "i/x" };
  struct platform_call late = WRITE_CALL (&write, 1, 50);
  ck_assert_int_eq (run (&late), PLATFORM_UNAVAILABLE);
}

#define SILENT_CONNECTIONS 3

/* Answers the first request of each connection only.  ARG are the clients'
   ports of the first connections.  */
static void
on_silent_request (struct evhttp_request *request, void *arg)
{
  uint16_t *known = arg, client;
  char *address;
  evhttp_connection_get_peer (evhttp_request_get_connection (request),
                              &address, &client);
  for (size_t i = 0; i < SILENT_CONNECTIONS; i++)
    {
      if (known[i] == client)
        return;
      if (known[i] != 0)
        continue;
      known[i] = client;
      break;
    }
  evhttp_send_reply (request, HTTP_NOTFOUND, NULL, NULL);
}

/* Replies of calls in flight, and those among them that the server sent.  */
static int replies_due, replies_sent;

static void
on_counted_reply (void *arg, const struct platform_reply *reply)
{
  (void)arg;
  replies_due--;
  replies_sent += reply->status == PLATFORM_NOT_FOUND;
}

/* Makes COUNT calls at the same time.  Returns how many were answered.  */
static int
run_concurrently (struct platform_port *at, int count)
{
  struct platform_call call
      = { .kind = PLATFORM_GET, .key = "k", .timeout_ms = 200 };
  replies_due = count;
  replies_sent = 0;
  for (int i = 0; i < count; i++)
    at->ops->call (at, &call, on_counted_reply, NULL);
  while (replies_due > 0)
    ck_assert_int_eq (event_base_loop (base, EVLOOP_ONCE), 0);
  return replies_sent;
}

/* Guards against CONFIG: calls went to one connection after the other that had
   gone silent together, and each cost its timeout.  */
UNIT_TEST (test_connections_are_replaced_once_one_of_them_is_silent)
{
  uint16_t known[SILENT_CONNECTIONS] = { 0 };
  struct evhttp *server = evhttp_new (base);
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (server, "127.0.0.1", 0);
  evhttp_set_gencb (server, on_silent_request, known);
  struct platform_port *silent = new_port (
      address_bound_port (evhttp_bound_socket_get_fd (bound)), 1000);
  ck_assert_int_eq (run_concurrently (silent, SILENT_CONNECTIONS),
                    SILENT_CONNECTIONS);
  ck_assert_int_eq (run_concurrently (silent, 1), 0);
  ck_assert_int_eq (run_concurrently (silent, SILENT_CONNECTIONS),
                    SILENT_CONNECTIONS);
  consul_port_free (silent);
  evhttp_free (server);
}

/* A response that is sent in parts, and how many of them.  */
struct slow_response
{
  struct evhttp_request *request;
  struct event *timer;
  int parts;
};

#define PART_INTERVAL_MS 50L
#define PARTS 8

static void
on_next_part (evutil_socket_t fd, short what, void *arg)
{
  struct slow_response *slow = arg;
  const struct timeval interval = { .tv_usec = PART_INTERVAL_MS * 1000L };
  struct evbuffer *part = evbuffer_new ();
  (void)fd;
  (void)what;
  evbuffer_add_printf (part, slow->parts == PARTS ? "[" : " ");
  if (slow->parts == 1)
    evbuffer_add_printf (part, "]");
  evhttp_send_reply_chunk (slow->request, part);
  evbuffer_free (part);
  if (--slow->parts > 0)
    evtimer_add (slow->timer, &interval);
  else
    evhttp_send_reply_end (slow->request);
}

static void
on_slow_request (struct evhttp_request *request, void *arg)
{
  struct slow_response *slow = arg;
  slow->request = request;
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "X-Consul-Index", "9");
  evhttp_send_reply_start (request, HTTP_OK, NULL);
  on_next_part (-1, 0, slow);
}

/* Lists the keys with a timeout of 150 ms at a service that sends PARTS parts
   of its response, or stops after COUNT of them if that is fewer.  */
static enum platform_status
list_slowly (int count)
{
  struct slow_response slow = { .parts = PARTS };
  struct evhttp *server = evhttp_new (base);
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (server, "127.0.0.1", 0);
  slow.timer = evtimer_new (base, on_next_part, &slow);
  evhttp_set_gencb (server, on_slow_request, &slow);
  struct platform_port *at = new_port (
      address_bound_port (evhttp_bound_socket_get_fd (bound)), 1000);
  struct platform_call call = { .kind = PLATFORM_LIST,
                                .key = "i/",
                                .timeout_ms = 3 * PART_INTERVAL_MS };
  int before = got.replies;
  uint64_t id = at->ops->call (at, &call, on_reply, NULL);
  while (got.replies == before)
    {
      ck_assert_int_eq (event_base_loop (base, EVLOOP_ONCE), 0);
      if (slow.parts <= PARTS - count)
        evtimer_del (slow.timer);
    }
  ck_assert_uint_eq (at->ops->received (at, id), 0);
  event_free (slow.timer);
  consul_port_free (at);
  evhttp_free (server);
  return got.status;
}

/* Guards against CONFIG: a response that took longer than the timeout was
   thrown away and requested again, without end.  */
UNIT_TEST (test_a_response_that_is_being_received_is_awaited)
{
  ck_assert_int_eq (list_slowly (PARTS + 1), PLATFORM_OK);
  ck_assert_uint_gt (got.received_bytes, PARTS);
  ck_assert_int_ge (got.transfer_ms, (PARTS - 2) * PART_INTERVAL_MS);
}

UNIT_TEST (test_a_response_that_stops_is_not_awaited)
{
  ck_assert_int_eq (list_slowly (PARTS / 2), PLATFORM_UNAVAILABLE);
  ck_assert_uint_gt (got.received_bytes, 0);
}

UNIT_TEST (test_malformed_responses_count_as_no_response)
{
  static const char *const bodies[] = {
    "",
    "[",
    "7",
    "[]",
    "[7]",
    "{\"Results\":7}",
    "{\"Results\":[7]}",
    "[{\"Key\":\"k\",\"ModifyIndex\":0,\"Value\":null}]",
    "[{\"Key\":\"k\",\"ModifyIndex\":1,\"Value\":\"%%\"}]",
    "[{\"Key\":7,\"ModifyIndex\":1,\"Value\":null}]",
    "{\"ID\":\"\"}",
  };
  struct kv_response response;
  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    for (int kind = PLATFORM_GET; kind <= PLATFORM_LEASE; kind++)
      {
        const char *body = bodies[i];
        bool is_list = kind == PLATFORM_LIST && strcmp (body, "[]") == 0;
        if (is_list
            || (kind == PLATFORM_HOSTS && body[0] == '[' && body[1] != '\0'))
          continue;
        consul_response_parse (&response, kind, 200, "x", body, strlen (body));
        ck_assert_int_eq (response.reply.status, kv_unanswered_status (kind));
        ck_assert_uint_eq (response.reply.item_count, 0);
        kv_response_clear (&response);
      }
  consul_response_parse (&response, PLATFORM_WRITE, 500, NULL, NULL, 0);
  ck_assert_int_eq (response.reply.status, PLATFORM_LOST);
  consul_response_parse (&response, PLATFORM_WRITE, 429, NULL, NULL, 0);
  ck_assert_int_eq (response.reply.status, PLATFORM_UNAVAILABLE);
  consul_response_parse (&response, PLATFORM_WRITE, 403, NULL, NULL, 0);
  ck_assert_int_eq (response.reply.status, PLATFORM_REJECTED);
}

#define CORRUPTED_RESPONSES 20000

/* A response with a few corrupted bytes must either parse or count as no
   response; a write must never be reported as without effect.  */
UNIT_TEST (test_corrupted_responses_are_handled_safely)
{
  static const char *const bodies[] = {
    [PLATFORM_GET] = "[{\"Key\":\"k\",\"ModifyIndex\":7,\"Value\":\"aGk=\"}]",
    [PLATFORM_LIST] = "[{\"Key\":\"k\",\"ModifyIndex\":7,\"Value\":null}]",
    [PLATFORM_WRITE]
    = "{\"Results\":[{\"KV\":{\"Key\":\"k\",\"ModifyIndex\":7,"
      "\"Value\":null}}],\"Errors\":null}",
    [PLATFORM_HOSTS] = "[{\"Service\":{\"ID\":\"h\",\"Address\":\"127.0.0.1\","
                       "\"Port\":7,\"Meta\":{\"domain\":\"d\","
                       "\"incarnation\":\"9\"}}}]",
    [PLATFORM_LEASE] = "{\"ID\":\"l\"}",
  };
  struct rng rng;
  rng_init (&rng, 5);
  for (int i = 0; i < CORRUPTED_RESPONSES; i++)
    {
      enum platform_call_kind kind = rng_below (&rng, PLATFORM_LEASE + 1);
      char *body = mem_strdup (bodies[kind]);
      size_t length = strlen (body);
      for (uint64_t k = rng_below (&rng, 4) + 1; k > 0; k--)
        body[rng_below (&rng, length)] = (char)rng_below (&rng, 256);
      struct kv_response response;
      consul_response_parse (&response, kind, 200, "7", body,
                             rng_below (&rng, length + 1));
      enum platform_status status = response.reply.status;
      ck_assert (status == PLATFORM_OK
                 || status == kv_unanswered_status (kind));
      kv_response_clear (&response);
      free (body);
    }
}

/* A service that sends its first response twice: at once, or if it is LATE in
   front of the next one.  */
struct repeating_service
{
  struct evconnlistener *listener;
  struct bufferevent *conns[3];
  bool late;
  int requests, connections;
  char *first;
};

/* Answers each request with an item of the key that it has, of 3 characters.
   The indices of the items increase.  */
static void
on_repeating_input (struct bufferevent *bev, void *arg)
{
  struct repeating_service *service = arg;
  struct evbuffer *input = bufferevent_get_input (bev);
  struct evbuffer *output = bufferevent_get_output (bev);
  char *request
      = mem_copy (evbuffer_pullup (input, -1), evbuffer_get_length (input));
  const char *key = strstr (request, "/v1/kv/");
  const char *written = strstr (request, "\"Key\":\"");
  key = key != NULL ? key + 7 : written != NULL ? written + 7 : NULL;
  if (key != NULL)
    {
      char *item
          = mem_printf ("{\"Key\":\"%.3s\",\"ModifyIndex\":%d,\"Value\":null}",
                        key, ++service->requests);
      char *body = mem_printf (
          written != NULL ? "{\"Results\":[{\"KV\":%s}]}" : "[%s]", item);
      char *text = mem_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
                               "\r\n%s",
                               strlen (body), body);
      if (service->requests == 1)
        service->first = mem_strdup (text);
      if (service->requests == (service->late ? 2 : 1))
        evbuffer_add_printf (output, "%s", service->first);
      evbuffer_add_printf (output, "%s", text);
      evbuffer_drain (input, evbuffer_get_length (input));
      free (item);
      free (body);
      free (text);
    }
  free (request);
}

static void
on_repeating_accept (struct evconnlistener *listener, evutil_socket_t fd,
                     struct sockaddr *address, int length, void *arg)
{
  struct repeating_service *service = arg;
  struct bufferevent *bev
      = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  (void)listener;
  (void)address;
  (void)length;
  ck_assert_int_lt (service->connections, 3);
  service->conns[service->connections++] = bev;
  bufferevent_setcb (bev, on_repeating_input, NULL, NULL, service);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
}

static void
open_repeating_service (struct repeating_service *service, bool late)
{
  struct sockaddr_in sin
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  *service = (struct repeating_service){ .late = late };
  service->listener = evconnlistener_new_bind (
      base, on_repeating_accept, service, LEV_OPT_CLOSE_ON_FREE, -1,
      (struct sockaddr *)&sin, sizeof sin);
  consul_port_free (port);
  port = new_port (
      address_bound_port (evconnlistener_get_fd (service->listener)), 1000);
}

static void
close_repeating_service (struct repeating_service *service)
{
  for (int i = 0; i < service->connections; i++)
    bufferevent_free (service->conns[i]);
  free (service->first);
  evconnlistener_free (service->listener);
}

/* Guards against MIXED: a response that came twice was taken for the answer to
   the next request on its connection.  */
UNIT_TEST (test_a_response_that_comes_twice_answers_one_call)
{
  struct repeating_service service;
  open_repeating_service (&service, false);
  ck_assert_int_eq (read_key (PLATFORM_GET, "a/x"), PLATFORM_OK);
  ck_assert_str_eq (got.key, "a/x");
  ck_assert_int_eq (read_key (PLATFORM_GET, "b/x"), PLATFORM_OK);
  ck_assert_str_eq (got.key, "b/x");
  ck_assert_int_eq (service.connections, 2);
  ck_assert_int_eq (
      *metrics_value (metrics, "platform_responses_unmatched_total"), 1);
  close_repeating_service (&service);
}

/* Guards against MIXED: as above, where it comes while the connection is
   idle.  */
UNIT_TEST (test_a_response_on_an_idle_connection_answers_no_call)
{
  struct repeating_service service;
  open_repeating_service (&service, true);
  ck_assert_int_eq (read_key (PLATFORM_GET, "a/x"), PLATFORM_OK);
  bufferevent_write (service.conns[0], service.first, strlen (service.first));
  for (int i = 0; i < 10; i++)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      usleep (1000);
    }
  service.late = false;
  ck_assert_int_eq (read_key (PLATFORM_GET, "b/x"), PLATFORM_OK);
  ck_assert_str_eq (got.key, "b/x");
  ck_assert_int_eq (service.connections, 2);
  close_repeating_service (&service);
}

/* Guards against MIXED: as above, where it comes when the next request has
   been sent.  */
UNIT_TEST (test_a_late_second_response_is_no_answer_to_another_key)
{
  struct repeating_service service;
  open_repeating_service (&service, true);
  ck_assert_int_eq (read_key (PLATFORM_GET, "a/x"), PLATFORM_OK);
  ck_assert_int_eq (read_key (PLATFORM_GET, "b/x"), PLATFORM_UNAVAILABLE);
  ck_assert_int_eq (read_key (PLATFORM_GET, "b/x"), PLATFORM_OK);
  ck_assert_str_eq (got.key, "b/x");
  close_repeating_service (&service);
}

/* Guards against MIXED: a write that was refused could count as done, such as
   that of a host which takes over a duty.  */
UNIT_TEST (test_a_late_second_response_is_no_answer_to_another_write)
{
  struct repeating_service service;
  open_repeating_service (&service, true);
  ck_assert_int_eq (put ("a/x", "1", 0), PLATFORM_OK);
  ck_assert_int_eq (put ("a/x", "2", 1), PLATFORM_LOST);
  ck_assert_int_eq (put ("a/x", "2", 1), PLATFORM_OK);
  close_repeating_service (&service);
}

UNIT_MAIN ("consul", .setup = setup, .teardown = teardown)
