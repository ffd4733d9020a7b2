#include "port/consul.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <uthash.h>

#include "kernel/mem.h"
#include "port/address.h"
#include "port/consul_codec.h"

/* Limit on calls that wait for a connection or for the rate limit.  Calls
   beyond it fail as unavailable.  */
#define QUEUE_LIMIT 4096

#define BODY_LIMIT_BYTES 67108864

/* Timeout of libevent's connections.  Each call has its own timer, so this
   one must not expire before any of them.  */
#define SOCKET_TIMEOUT_S 86400

/* The rate limiter saves up the permits of this many seconds.  */
#define BURST_SECONDS 2

/* Timeout of calls that have none.  */
#define DEFAULT_TIMEOUT_MS 5000

struct consul;

struct consul_conn
{
  struct consul *consul;
  struct evhttp_connection *http;
  struct consul_call *call; /* NULL while idle */
  bool sent;                /* part of the call has been sent */
  bool unmatched;           /* it has had a response to another call */
  uint64_t written_index;   /* of the last write */
  size_t received_bytes;    /* of the response */
  double received_s;        /* time of its first part */
};

struct consul_call
{
  struct consul *consul;
  uint64_t id;
  enum platform_call_kind kind;
  struct kv_request request;
  char **keys; /* that items of the response may have; prefixes in lists */
  size_t key_count;
  char *after;     /* as in platform_call */
  bool sets;       /* it writes a value */
  bool unsendable; /* the codec rejected the call */
  platform_done done;
  void *arg;
  struct event *timer;
  size_t seen_bytes;           /* of the response, when the timer fired */
  clk_ms overtime_ms;          /* for which a partial response was awaited */
  struct consul_conn *conn;    /* NULL while queued */
  struct evhttp_request *http; /* NULL while queued */
  struct consul_call *next;    /* in the queue */
  char *purpose;
  UT_hash_handle hh;
};

struct consul
{
  struct platform_port base;
  struct event_base *events;
  const struct kv_codec *codec;
  char *address;
  uint16_t port;
  char *token;
  char *host_header;
  uint32_t calls_per_s;
  uint32_t max_connections;
  struct metrics *metrics;
  struct consul_conn **conns;
  size_t conn_count;
  struct consul_call *calls; /* by id */
  struct consul_call *queue_head;
  struct consul_call **queue_tail;
  size_t queue_length;
  struct event *dispatch; /* sends queued calls */
  double permits;         /* of the rate limiter: calls that may be sent now */
  double refilled_s;      /* time of the last refill of permits */
  uint64_t next_id;
};

static const enum evhttp_cmd_type methods[] = {
  [KV_GET] = EVHTTP_REQ_GET,
  [KV_PUT] = EVHTTP_REQ_PUT,
  [KV_POST] = EVHTTP_REQ_POST,
  [KV_DELETE] = EVHTTP_REQ_DELETE,
};

static const char *const kind_names[] = {
  [PLATFORM_GET] = "get",         [PLATFORM_LIST] = "list",
  [PLATFORM_WRITE] = "write",     [PLATFORM_HOSTS] = "hosts",
  [PLATFORM_LEASE] = "lease",     [PLATFORM_RENEW] = "renew",
  [PLATFORM_RELEASE] = "release", [PLATFORM_WATCH] = "watch",
};

static const char *const status_names[] = {
  [PLATFORM_OK] = "ok",
  [PLATFORM_CONFLICT] = "conflict",
  [PLATFORM_NOT_FOUND] = "not_found",
  [PLATFORM_UNAVAILABLE] = "unavailable",
  [PLATFORM_LOST] = "lost",
  [PLATFORM_REJECTED] = "rejected",
  [PLATFORM_COMPACTED] = "compacted",
};

static double
monotonic_s (void)
{
  struct timespec now;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/* Increments platform_FAMILY_total{purpose, LABEL=VALUE}.  */
static void
count (struct consul *self, const struct consul_call *call, const char *family,
       const char *label, const char *value)
{
  if (self->metrics == NULL)
    return;
  char *name = mem_printf ("platform_%s_total{purpose=\"%s\",%s=\"%s\"}",
                           family, call->purpose, label, value);
  metrics_increment (self->metrics, name);
  free (name);
}

/* Runs on_dispatch after DELAY_S seconds.  */
static void
schedule_dispatch (struct consul *self, double delay_s)
{
  struct timeval delay = { .tv_sec = (time_t)delay_s };
  delay.tv_usec = (suseconds_t)((delay_s - (double)delay.tv_sec) * 1e6);
  event_add (self->dispatch, &delay);
}

static void
dequeue (struct consul *self, struct consul_call *call)
{
  struct consul_call **at = &self->queue_head;
  while (*at != NULL && *at != call)
    at = &(*at)->next;
  if (*at == NULL)
    return;
  *at = call->next;
  if (self->queue_tail == &call->next)
    self->queue_tail = at;
  self->queue_length--;
}

static void
free_call (struct consul_call *call)
{
  struct consul *self = call->consul;
  HASH_DEL (self->calls, call);
  dequeue (self, call);
  if (call->conn != NULL)
    call->conn->call = NULL;
  event_free (call->timer);
  kv_request_clear (&call->request);
  for (size_t i = 0; i < call->key_count; i++)
    free (call->keys[i]);
  free (call->keys);
  free (call->after);
  free (call->purpose);
  free (call);
  if (self->queue_head != NULL)
    schedule_dispatch (self, 0);
}

static void
finish (struct consul_call *call, const struct platform_reply *reply)
{
  platform_done done = call->done;
  void *arg = call->arg;
  count (call->consul, call, "results", "status", status_names[reply->status]);
  free_call (call);
  done (arg, reply);
}

static size_t
received_bytes (const struct consul_call *call)
{
  return call->conn != NULL ? call->conn->received_bytes : 0;
}

static void
finish_status (struct consul_call *call, enum platform_status status)
{
  const struct platform_reply reply
      = { .status = status, .received_bytes = received_bytes (call) };
  finish (call, &reply);
}

/* Cancels the HTTP exchange of CALL, if there is one, without a callback.  */
static void
cancel_exchange (struct consul_call *call)
{
  struct evhttp_request *http = call->http;
  call->http = NULL;
  if (http != NULL)
    evhttp_cancel_request (http);
}

/* Returns whether CONN has received more than the responses to its calls.
   evhttp would take it for the response to the next one.  */
static bool
is_unmatched (const struct consul_conn *conn)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (conn->http);
  return conn->unmatched
         || evbuffer_get_length (bufferevent_get_input (bev)) > 0;
}

/* Closes the connections that have no call, or only the unmatched ones among
   them.  */
static void
close_conns (struct consul *self, bool unmatched_only)
{
  size_t kept = 0;
  for (size_t i = 0; i < self->conn_count; i++)
    {
      struct consul_conn *conn = self->conns[i];
      if (conn->call != NULL || (unmatched_only && !is_unmatched (conn)))
        {
          self->conns[kept++] = conn;
          continue;
        }
      if (unmatched_only && self->metrics != NULL)
        metrics_increment (self->metrics,
                           "platform_responses_unmatched_total");
      evhttp_connection_free (conn->http);
      free (conn);
    }
  self->conn_count = kept;
}

/* Closes the connections that have no call.  What made another one silent may
   have happened to them too, and would cost the next calls their timeouts.  */
static void
close_idle (struct consul *self)
{
  close_conns (self, false);
}

static void
close_unmatched (struct consul *self)
{
  close_conns (self, true);
}

/* Starts the timer of CALL again if a part of its response has arrived since
   it fired last.  A large response would otherwise be requested again and
   again over a link that takes longer for it than the timeout.  */
static bool
await_rest (struct consul_call *call)
{
  const struct timeval stall
      = { .tv_sec = PLATFORM_STALL_MS / 1000,
          .tv_usec = (suseconds_t)(PLATFORM_STALL_MS % 1000) * 1000 };
  size_t bytes = received_bytes (call);
  if (bytes == call->seen_bytes
      || call->overtime_ms >= PLATFORM_TRANSFER_LIMIT_MS)
    return false;
  call->seen_bytes = bytes;
  call->overtime_ms += PLATFORM_STALL_MS;
  evtimer_add (call->timer, &stall);
  return true;
}

static void
on_timeout (evutil_socket_t fd, short events, void *arg)
{
  (void)fd;
  (void)events;
  struct consul_call *call = arg;
  enum platform_status status = PLATFORM_UNAVAILABLE;
  if (await_rest (call))
    return;
  if (call->unsendable)
    status = PLATFORM_REJECTED;
  else if (call->conn != NULL && call->conn->sent)
    {
      status = kv_unanswered_status (call->kind);
      close_idle (call->consul);
    }
  cancel_exchange (call);
  finish_status (call, status);
}

static bool
has_key (const struct consul_call *call, const char *key)
{
  for (size_t i = 0; i < call->key_count; i++)
    if (strcmp (call->keys[i], key) == 0)
      return true;
  return false;
}

static bool
is_listed (const struct consul_call *call, const char *key)
{
  return strncmp (key, call->keys[0], strlen (call->keys[0])) == 0
         && (call->after == NULL || strcmp (key, call->after) != 0);
}

/* Returns whether REPLY may be the one to CALL, by the keys of its items.  */
static bool
is_reply_to (const struct consul_call *call,
             const struct platform_reply *reply)
{
  bool lists = call->kind == PLATFORM_LIST || call->kind == PLATFORM_WATCH;
  for (size_t i = 0; i < reply->item_count; i++)
    {
      const char *key = reply->items[i].key;
      if (!(lists ? is_listed (call, key) : has_key (call, key)))
        return false;
    }
  return true;
}

/* Returns whether REPLY is that to an earlier write, as each one that sets
   a value gives a higher index.  */
static bool
is_earlier_write (const struct consul_call *call,
                  const struct platform_reply *reply)
{
  struct consul_conn *conn = call->conn;
  if (!call->sets || reply->status != PLATFORM_OK)
    return false;
  if (reply->index <= conn->written_index)
    return true;
  conn->written_index = reply->index;
  return false;
}

/* evhttp passes a NULL request if the connection failed during the exchange,
   and one without a response code if no connection could be opened.  */
static void
on_response (struct evhttp_request *http, void *arg)
{
  struct consul_conn *conn = arg;
  struct consul_call *call = conn->call;
  if (call == NULL)
    return;
  call->http = NULL;
  int code = http != NULL ? evhttp_request_get_response_code (http) : 0;
  if (http == NULL)
    {
      finish_status (call, kv_unanswered_status (call->kind));
      return;
    }
  if (code == 0)
    {
      finish_status (call, PLATFORM_UNAVAILABLE);
      return;
    }
  struct kv_response response;
  struct evbuffer *body = evhttp_request_get_input_buffer (http);
  struct evkeyvalq *headers = evhttp_request_get_input_headers (http);
  conn->consul->codec->parse (
      &response, call->kind, code,
      evhttp_find_header (headers, conn->consul->codec->header),
      (const char *)evbuffer_pullup (body, -1), evbuffer_get_length (body));
  response.reply.received_bytes = conn->received_bytes;
  response.reply.transfer_ms
      = (clk_ms)((monotonic_s () - conn->received_s) * 1000);
  conn->unmatched = !is_reply_to (call, &response.reply)
                    || is_earlier_write (call, &response.reply);
  if (conn->unmatched)
    finish_status (call, kv_unanswered_status (call->kind));
  else
    finish (call, &response.reply);
  kv_response_clear (&response);
}

static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *arg)
{
  (void)buffer;
  struct consul_conn *conn = arg;
  if (info->n_deleted > 0)
    conn->sent = true;
}

static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *arg)
{
  (void)buffer;
  struct consul_conn *conn = arg;
  if (info->n_added == 0)
    return;
  if (conn->received_bytes == 0)
    conn->received_s = monotonic_s ();
  conn->received_bytes += info->n_added;
}

static struct consul_conn *
open_conn (struct consul *self)
{
  struct consul_conn *conn = mem_zalloc (sizeof *conn);
  conn->consul = self;
  conn->http = evhttp_connection_base_new (self->events, NULL, self->address,
                                           self->port);
  evhttp_connection_set_timeout (conn->http, SOCKET_TIMEOUT_S);
  evhttp_connection_set_max_body_size (conn->http, BODY_LIMIT_BYTES);
  struct bufferevent *bev = evhttp_connection_get_bufferevent (conn->http);
  evbuffer_add_cb (bufferevent_get_output (bev), on_output, conn);
  evbuffer_add_cb (bufferevent_get_input (bev), on_input, conn);
  self->conns
      = mem_resize (self->conns, (self->conn_count + 1) * sizeof (void *));
  self->conns[self->conn_count++] = conn;
  return conn;
}

static struct consul_conn *
idle_conn (struct consul *self)
{
  close_unmatched (self);
  for (size_t i = 0; i < self->conn_count; i++)
    if (self->conns[i]->call == NULL)
      return self->conns[i];
  if (self->conn_count < self->max_connections)
    return open_conn (self);
  return NULL;
}

static void
send_call (struct consul_call *call, struct consul_conn *conn)
{
  struct consul *self = call->consul;
  struct evhttp_request *http = evhttp_request_new (on_response, conn);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (http);
  struct evbuffer *body = evhttp_request_get_output_buffer (http);
  evhttp_add_header (headers, "Host", self->host_header);
  if (self->token != NULL)
    evhttp_add_header (headers, "X-Consul-Token", self->token);
  if (call->request.body != NULL)
    {
      evhttp_add_header (headers, "Content-Type", "application/json");
      evbuffer_add (body, call->request.body, strlen (call->request.body));
    }
  count (self, call, "calls", "kind", kind_names[call->kind]);
  call->conn = conn;
  call->http = http;
  conn->call = call;
  conn->sent = false;
  conn->received_bytes = 0;
  uint64_t id = call->id;
  enum evhttp_cmd_type type = methods[call->request.method];
  if (evhttp_make_request (conn->http, http, type, call->request.uri) == 0)
    {
      address_set_keepalive (
          bufferevent_getfd (evhttp_connection_get_bufferevent (conn->http)));
      return;
    }
  HASH_FIND (hh, self->calls, &id, sizeof id, call);
  if (call == NULL)
    return;
  call->http = NULL;
  finish_status (call, PLATFORM_UNAVAILABLE);
}

/* Takes one permit of the rate limiter (a token bucket).  Returns 0, or the
   time in seconds until a permit is available.  */
static double
acquire_permit (struct consul *self)
{
  double now_s = monotonic_s ();
  self->permits += (now_s - self->refilled_s) * self->calls_per_s;
  self->refilled_s = now_s;
  if (self->permits > (double)BURST_SECONDS * self->calls_per_s)
    self->permits = (double)BURST_SECONDS * self->calls_per_s;
  if (self->permits < 1)
    return (1 - self->permits) / self->calls_per_s;
  self->permits -= 1;
  return 0;
}

static void
on_dispatch (evutil_socket_t fd, short events, void *arg)
{
  (void)fd;
  (void)events;
  struct consul *self = arg;
  while (self->queue_head != NULL)
    {
      struct consul_conn *conn = idle_conn (self);
      if (conn == NULL)
        return;
      double wait_s = acquire_permit (self);
      if (wait_s > 0)
        {
          schedule_dispatch (self, wait_s);
          return;
        }
      struct consul_call *call = self->queue_head;
      dequeue (self, call);
      send_call (call, conn);
    }
}

static void
copy_keys (struct consul_call *queued, const struct platform_call *call)
{
  bool writes = call->kind == PLATFORM_WRITE;
  queued->key_count = writes ? call->write_count : call->key != NULL;
  queued->keys = mem_zalloc ((queued->key_count + 1) * sizeof (char *));
  for (size_t i = 0; i < queued->key_count; i++)
    {
      queued->keys[i] = mem_strdup (writes ? call->writes[i].key : call->key);
      queued->sets
          |= writes && !call->writes[i].erase && !call->writes[i].check;
    }
  queued->after = mem_strdup (call->after);
}

static uint64_t
consul_call (struct platform_port *port, const struct platform_call *call,
             platform_done done, void *arg)
{
  struct consul *self = (struct consul *)port;
  struct consul_call *queued = mem_zalloc (sizeof *queued);
  queued->consul = self;
  queued->id = ++self->next_id;
  queued->kind = call->kind;
  queued->done = done;
  queued->arg = arg;
  queued->purpose = mem_strdup (call->purpose ? call->purpose : "other");
  queued->unsendable = !self->codec->build (&queued->request, call);
  copy_keys (queued, call);
  queued->timer = evtimer_new (self->events, on_timeout, queued);
  HASH_ADD (hh, self->calls, id, sizeof queued->id, queued);
  clk_ms limit_ms
      = call->timeout_ms > 0 ? call->timeout_ms : DEFAULT_TIMEOUT_MS;
  limit_ms += call->wait_ms;
  if (queued->unsendable || self->queue_length >= QUEUE_LIMIT)
    limit_ms = 0;
  struct timeval limit
      = { .tv_sec = limit_ms / 1000, .tv_usec = limit_ms % 1000 * 1000 };
  evtimer_add (queued->timer, &limit);
  if (limit_ms == 0)
    return queued->id;
  *self->queue_tail = queued;
  self->queue_tail = &queued->next;
  self->queue_length++;
  schedule_dispatch (self, 0);
  return queued->id;
}

static void
consul_cancel (struct platform_port *port, uint64_t id)
{
  struct consul *self = (struct consul *)port;
  struct consul_call *call = NULL;
  HASH_FIND (hh, self->calls, &id, sizeof id, call);
  if (call == NULL)
    return;
  cancel_exchange (call);
  free_call (call);
}

static size_t
consul_received (struct platform_port *port, uint64_t id)
{
  const struct consul *self = (const struct consul *)port;
  struct consul_call *call = NULL;
  HASH_FIND (hh, self->calls, &id, sizeof id, call);
  return call != NULL ? received_bytes (call) : 0;
}

static const struct platform_port_ops consul_ops = {
  .call = consul_call,
  .cancel = consul_cancel,
  .received = consul_received,
};

struct platform_port *
consul_port_new (struct event_base *base, const struct consul_options *options)
{
  struct consul *self = mem_zalloc (sizeof *self);
  self->base.ops = &consul_ops;
  self->events = base;
  self->codec = options->codec != NULL ? options->codec : &consul_codec;
  self->address = mem_strdup (options->address);
  self->port = options->port;
  self->token = mem_strdup (options->token);
  self->host_header
      = mem_printf (strchr (options->address, ':') ? "[%s]:%u" : "%s:%u",
                    options->address, options->port);
  self->calls_per_s
      = options->calls_per_s ? options->calls_per_s : CONSUL_CALLS_PER_S;
  self->max_connections = options->max_connections ? options->max_connections
                                                   : CONSUL_MAX_CONNECTIONS;
  self->metrics = options->metrics;
  self->queue_tail = &self->queue_head;
  self->dispatch = evtimer_new (base, on_dispatch, self);
  self->refilled_s = monotonic_s ();
  self->permits = (double)BURST_SECONDS * self->calls_per_s;
  return &self->base;
}

void
consul_port_set_metrics (struct platform_port *port, struct metrics *metrics)
{
  ((struct consul *)port)->metrics = metrics;
}

void
consul_port_free (struct platform_port *port)
{
  if (port == NULL)
    return;
  struct consul *self = (struct consul *)port;
  struct consul_call *call, *next;
  HASH_ITER (hh, self->calls, call, next)
  {
    cancel_exchange (call);
    free_call (call);
  }
  for (size_t i = 0; i < self->conn_count; i++)
    {
      evhttp_connection_free (self->conns[i]->http);
      free (self->conns[i]);
    }
  free (self->conns);
  event_free (self->dispatch);
  free (self->address);
  free (self->token);
  free (self->host_header);
  free (self);
}
