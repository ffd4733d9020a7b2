/* rpc_internal - state shared by the client and the server part of rpc_port.
   Private to rpc_*.c.  */

#ifndef SAVORYWAY_PORT_RPC_INTERNAL_H
#define SAVORYWAY_PORT_RPC_INTERNAL_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <uthash.h>

#include "port/rpc_port.h"
#include "port/rpc_record.h"

/* Limit on the input that is buffered before it is handled.  */
#define RPC_READ_AHEAD_BYTES (256UL * 1024)

/* Limit on the RPC header of a record.  */
#define RPC_HEADER_LIMIT_BYTES 1024

struct rpc_link;
struct rpc_call;
struct rpc_conn;
struct rpc_incoming;

struct rpc_port
{
  struct peer_port base;
  struct event_base *events;
  struct rpc_options options;
  uint8_t secret[RPC_SECRET_BYTES];
  struct rpc_link *links; /* by peer */
  struct rpc_call *calls; /* outgoing, by id */
  uint64_t next_call;
  uint64_t finished_call; /* the last one to end */
  size_t finished_bytes;  /* received of its reply */
  struct evconnlistener *listener;
  uint16_t bound;
  struct event *resume_accept;
  struct rpc_conn *conns; /* accepted */
  uint32_t conn_count;
  struct rpc_incoming *incoming; /* unanswered calls, by id */
  uint64_t next_incoming;
  peer_handler handler;
  void *handler_arg;
};

/* Increments the counter NAME.  */
void rpc_count (struct rpc_port *port, const char *name);

/* Converts a time span; a negative one becomes 0.  */
struct timeval rpc_timeval (clk_ms span_ms);

/* Disables Nagle's algorithm, and makes the connection fail when sent data has
   not been acknowledged for options.dead_peer_ms.  */
void rpc_tune_socket (const struct rpc_port *port, struct bufferevent *bev);

/* Outgoing calls; see peer_port.h.  */
uint64_t rpc_client_call (struct rpc_port *port, const struct peer_address *to,
                          const peer_message *message, clk_ms timeout_ms,
                          peer_done done, void *arg);
void rpc_client_cancel (struct rpc_port *port, uint64_t id);
size_t rpc_client_received (const struct rpc_port *port, uint64_t id);
void rpc_client_close (struct rpc_port *port);

/* Incoming calls.  rpc_server_open starts to listen; it returns false with
   errno set if it can't.  */
bool rpc_server_open (struct rpc_port *port);
void rpc_server_reply (struct rpc_port *port, uint64_t call,
                       const peer_message *message);
void rpc_server_close (struct rpc_port *port);

#endif
