/* peers - requests and replies between the modules of different hosts.

   A module registers a handler for a kind of message, and calls other hosts
   by their address.  Calls to this host itself are delivered without the
   network.  Replies and failures of calls to other hosts are reported to
   members as evidence of their health.  Messages from hosts that are not
   members are refused, except PEER_KIND_PULL, with which a starting host
   requests its initial state before others know it as a member.

   Module name: "peers".  */

#ifndef SAVORYWAY_CORE_PEERS_H
#define SAVORYWAY_CORE_PEERS_H

#include "core/members.h"
#include "kernel/kernel.h"
#include "port/peer_port.h"

struct peers;

/* Handles a request.  Must reply to CALL with peers_reply exactly once, now or
   later.  */
typedef void (*peers_handler) (void *arg, uint64_t call,
                               const peer_message *message);

struct peers *peers_new (struct peer_port *port);
struct module *peers_module (struct peers *peers);

/* Registers HANDLER for requests of KIND; replaces an earlier handler.  */
void peers_register_handler (struct peers *peers, peer_kind kind,
                             peers_handler handler, void *arg);

/* Sends BODY to the host TO.  If the incarnation of TO is 0, a reply from any
   host at its address is accepted.  DONE is called once, never from within
   this call; its status is PEER_UNREACHABLE if the host refuses the message.
   NULL strings of BODY are sent as empty strings; strings within its arrays
   must not be NULL.  Returns an id for peers_cancel.  */
uint64_t peers_call (struct peers *peers, const struct peer_address *to,
                     const peer_body *body, clk_ms timeout_ms, peer_done done,
                     void *arg);

/* Cancels the call ID; DONE is not called.  The request may still be handled.
   Has no effect if the call is completed.  */
void peers_cancel (struct peers *peers, uint64_t id);

/* Sends BODY as the reply to CALL, an id that a handler received.  */
void peers_reply (struct peers *peers, uint64_t call, const peer_body *body);

#endif
