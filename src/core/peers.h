/* peers - delivers messages between the modules of hosts.

   Modules register a handler for a kind of message and call other hosts by
   member name.  Calls to this host are delivered without the peer port.
   Answers and failures are reported to members as evidence.  Messages from
   hosts that are not members are refused, but for PEER_KIND_PULL, which a
   starting host needs.

   Module name: "peers".  */

#ifndef SAVORYWAY_CORE_PEERS_H
#define SAVORYWAY_CORE_PEERS_H

#include "core/members.h"
#include "kernel/kernel.h"
#include "port/peer_port.h"

struct peers;

/* Handles a message; must answer CALL with peers_reply, once.  */
typedef void (*peers_handler) (void *arg, uint64_t call,
                               const peer_message *message);

struct peers *peers_new (struct peer_port *port);
struct module *peers_module (struct peers *peers);

void peers_register_handler (struct peers *peers, peer_kind kind,
                             peers_handler handler, void *arg);

/* Sends BODY to the member TO; an incarnation of 0 takes any host at the
   address.  DONE is called once, never from within this call; a refusal gives
   PEER_UNREACHABLE.  NULL strings of BODY are sent as empty ones, but those
   within its arrays must not be NULL.  Returns an id for peers_cancel.  */
uint64_t peers_call (struct peers *peers, const struct peer_address *to,
                     const peer_body *body, clk_ms timeout_ms, peer_done done,
                     void *arg);
void peers_cancel (struct peers *peers, uint64_t id);

void peers_reply (struct peers *peers, uint64_t call, const peer_body *body);

#endif
