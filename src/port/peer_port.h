/* peer_port - interface for calls between hosts.

   Each call ends with exactly one reply or error, which is never reported
   from within the call.  A host must not call itself; the core handles such
   messages locally.  Messages have the types of peer.x; a received message is
   valid only during the callback.  */

#ifndef SAVORYWAY_PORT_PEER_PORT_H
#define SAVORYWAY_PORT_PEER_PORT_H

#include "core/types.h"
#include "kernel/clock.h"
#include "port/peer.h"

enum peer_status
{
  PEER_OK,
  PEER_UNREACHABLE, /* not processed by the peer */
  PEER_LOST,        /* connection failed; may have been processed */
  PEER_TIMEOUT      /* no reply in time; may have been processed */
};

/* A reply that is being received when the time of its call is over is awaited
   while parts of it arrive within this time of each other, and no longer than
   the limit.  */
#define PEER_STALL_MS 1000
#define PEER_TRANSFER_LIMIT_MS 30000

struct peer_address
{
  char name[NAME_BYTES];
  char address[ADDRESS_BYTES];
  uint16_t port;
  uint64_t incarnation;
};

/* Called with the outcome of a call; REPLY is NULL unless STATUS is
   PEER_OK.  */
typedef void (*peer_done) (void *arg, enum peer_status status,
                           const peer_message *reply);

/* Called for a message from another host.  The handler must answer CALL
   through reply exactly once, at once or later.  */
typedef void (*peer_handler) (void *arg, uint64_t call,
                              const peer_message *message);

struct peer_port;

struct peer_port_ops
{
  /* Sends a copy of MESSAGE to TO.  The reply has to begin to arrive within
     TIMEOUT_MS.  Returns an id for cancel.  */
  uint64_t (*call) (struct peer_port *port, const struct peer_address *to,
                    const peer_message *message, clk_ms timeout_ms,
                    peer_done done, void *arg);
  /* Drops a call without a callback; the peer may still process it.  */
  void (*cancel) (struct peer_port *port, uint64_t id);
  /* Returns the number of bytes of the reply to a call received so far; its
     callback may ask too.  NULL if the port does not know it.  */
  size_t (*received) (struct peer_port *port, uint64_t id);
  void (*reply) (struct peer_port *port, uint64_t call,
                 const peer_message *message);
  void (*set_handler) (struct peer_port *port, peer_handler handler,
                       void *arg);
};

struct peer_port
{
  const struct peer_port_ops *ops;
};

#endif
