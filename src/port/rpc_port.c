#include "port/rpc_port.h"

#include <stdlib.h>
#include <string.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include "kernel/mem.h"
#include "port/rpc_internal.h"

/* Defaults of the options.  */
#define MESSAGE_LIMIT_BYTES (17UL * 1024 * 1024)
#define BUFFER_LIMIT_BYTES (34UL * 1024 * 1024)
#define CONNECTION_LIMIT 16384
#define CALL_LIMIT 4096
#define CONNECT_TIMEOUT_MS 1000
#define IDLE_TIMEOUT_MS 600000
#define DEAD_PEER_MS 5000
#define BACKOFF_BASE_MS 50
#define BACKOFF_LIMIT_MS 5000

struct timeval
rpc_timeval (clk_ms span_ms)
{
  if (span_ms < 0)
    span_ms = 0;
  return (struct timeval){ .tv_sec = span_ms / 1000,
                           .tv_usec = span_ms % 1000 * 1000 };
}

void
rpc_count (struct rpc_port *port, const char *name)
{
  if (port->options.metrics != NULL)
    metrics_increment (port->options.metrics, name);
}

/* Keep-alive stays off: its probes on the idle connections between all pairs
   of hosts would cost more than all other traffic between them.  */
void
rpc_tune_socket (const struct rpc_port *port, struct bufferevent *bev)
{
  evutil_socket_t fd = bufferevent_getfd (bev);
  const unsigned int dead_ms = (unsigned int)port->options.dead_peer_ms;
  const int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &dead_ms, sizeof dead_ms);
}

static uint64_t
op_call (struct peer_port *base, const struct peer_address *to,
         const peer_message *message, clk_ms timeout_ms, peer_done done,
         void *arg)
{
  struct rpc_port *port = (struct rpc_port *)base;
  return rpc_client_call (port, to, message, timeout_ms, done, arg);
}

static void
op_cancel (struct peer_port *base, uint64_t id)
{
  rpc_client_cancel ((struct rpc_port *)base, id);
}

static size_t
op_received (struct peer_port *base, uint64_t id)
{
  return rpc_client_received ((struct rpc_port *)base, id);
}

static void
op_reply (struct peer_port *base, uint64_t call, const peer_message *message)
{
  rpc_server_reply ((struct rpc_port *)base, call, message);
}

static void
op_set_handler (struct peer_port *base, peer_handler handler, void *arg)
{
  struct rpc_port *port = (struct rpc_port *)base;
  port->handler = handler;
  port->handler_arg = arg;
}

static const struct peer_port_ops rpc_ops = { .call = op_call,
                                              .cancel = op_cancel,
                                              .received = op_received,
                                              .reply = op_reply,
                                              .set_handler = op_set_handler };

static void
set_defaults (struct rpc_options *options)
{
  if (options->message_limit_bytes == 0)
    options->message_limit_bytes = MESSAGE_LIMIT_BYTES;
  if (options->call_limit_bytes == 0)
    options->call_limit_bytes = options->message_limit_bytes;
  if (options->buffer_limit_bytes == 0)
    options->buffer_limit_bytes = BUFFER_LIMIT_BYTES;
  if (options->connection_limit == 0)
    options->connection_limit = CONNECTION_LIMIT;
  if (options->call_limit == 0)
    options->call_limit = CALL_LIMIT;
  if (options->connect_timeout_ms == 0)
    options->connect_timeout_ms = CONNECT_TIMEOUT_MS;
  if (options->idle_timeout_ms == 0)
    options->idle_timeout_ms = IDLE_TIMEOUT_MS;
  if (options->dead_peer_ms == 0)
    options->dead_peer_ms = DEAD_PEER_MS;
  if (options->backoff_base_ms == 0)
    options->backoff_base_ms = BACKOFF_BASE_MS;
  if (options->backoff_limit_ms == 0)
    options->backoff_limit_ms = BACKOFF_LIMIT_MS;
}

struct peer_port *
rpc_port_new (struct event_base *base, const struct rpc_options *options)
{
  struct rpc_port *port = mem_zalloc (sizeof *port);
  port->base.ops = &rpc_ops;
  port->events = base;
  port->options = *options;
  memcpy (port->secret, options->secret, sizeof port->secret);
  set_defaults (&port->options);
  if (rpc_server_open (port))
    return &port->base;
  free (port);
  return NULL;
}

void
rpc_port_free (struct peer_port *base)
{
  struct rpc_port *port = (struct rpc_port *)base;
  if (port == NULL)
    return;
  rpc_client_close (port);
  rpc_server_close (port);
  free (port);
}

uint16_t
rpc_port_bound (const struct peer_port *base)
{
  return ((const struct rpc_port *)base)->bound;
}

void
rpc_port_set_metrics (struct peer_port *base, struct metrics *metrics)
{
  ((struct rpc_port *)base)->options.metrics = metrics;
}
