/* router_impl - struct router, private to the router*.c files.  */

#ifndef SAVORYWAY_CORE_ROUTER_IMPL_H
#define SAVORYWAY_CORE_ROUTER_IMPL_H

#include "core/gateway.h"
#include "core/members.h"
#include "core/peers.h"
#include "core/router_state.h"

struct router
{
  struct module base;
  struct members *members;
  struct view *view;
  struct peers *peers;
  struct gateway *gateway;
  struct router_states states;
  uint32_t next_index; /* round-robin index of POLICY_PLAIN */
  struct ktimer probe_timer;
};

/* Returns the state of INSTANCE, created if necessary.  */
struct router_state *router_state_of (struct router *router,
                                      const char *instance);

/* router_probe.c: queries the state of lagging replicas, which get little
   traffic and so few answers that report it.  */
void router_probe_start (struct router *router);
void router_probe_stop (struct router *router);

#endif
