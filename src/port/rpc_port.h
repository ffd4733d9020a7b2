/* rpc_port - implementation of peer_port as ONC RPC over TCP, on libevent.

   Keeps one connection to each peer.  It is opened by the first call, and
   reopened after a failure with exponential backoff and full jitter; calls
   fail at once during the backoff.  A call reports PEER_UNREACHABLE only if
   the peer can't have processed it: its record was not written completely, or
   the peer refused it in an authentic reply.

   A malformed or unauthentic record closes the connection that it arrived on.
   The xids of a connection increase; a call whose xid is not above the
   previous one is a duplicate, which is dropped and counted.  */

#ifndef SAVORYWAY_PORT_RPC_PORT_H
#define SAVORYWAY_PORT_RPC_PORT_H

#include <event2/event.h>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/rng.h"
#include "port/client_budget.h"
#include "port/peer_port.h"
#include "port/rpc_message.h"

/* Zero selects the default given in a comment.  */
struct rpc_options
{
  const char *address;        /* IP address to listen on */
  uint16_t port;              /* 0: any free port */
  const uint8_t *secret;      /* RPC_SECRET_BYTES, copied */
  size_t message_limit_bytes; /* 17 MiB */
  size_t call_limit_bytes;    /* of an incoming call; message_limit_bytes */
  size_t buffer_limit_bytes;  /* unsent output of one connection; 34 MiB */
  uint32_t connection_limit;  /* accepted connections; 16384 */
  uint32_t call_limit;        /* unanswered calls of one connection; 4096 */
  clk_ms connect_timeout_ms;  /* 1 s */
  clk_ms idle_timeout_ms;     /* of a connection without traffic; 10 min */
  clk_ms dead_peer_ms;        /* limit on unacknowledged sent data; 5 s */
  clk_ms backoff_base_ms;     /* 50 ms */
  clk_ms backoff_limit_ms;    /* 5 s */
  struct rng *rng;
  struct client_budget *budget; /* of accepted connections; may be NULL */
  struct log *log;              /* may be NULL */
  struct metrics *metrics;      /* may be NULL; see rpc_port_set_metrics */
  /* Called with the bytes of each call, and of its reply; may be NULL.  KIND
     is that of the call.  */
  void (*meter) (void *arg, const struct peer_address *to, peer_kind kind,
                 size_t bytes);
  void *meter_arg;
};

/* Creates a port on the event loop BASE and starts to listen.  Returns NULL
   with errno set if that fails.  */
struct peer_port *rpc_port_new (struct event_base *base,
                                const struct rpc_options *options);

/* Closes all connections without callbacks and frees PORT, which may be
   NULL.  */
void rpc_port_free (struct peer_port *port);

/* Returns the TCP port that PORT listens on.  */
uint16_t rpc_port_bound (const struct peer_port *port);

/* Replaces the metrics given in the options; NULL for none.  */
void rpc_port_set_metrics (struct peer_port *port, struct metrics *metrics);

#endif
