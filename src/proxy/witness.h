/* witness - what hosts tell each other of primaries and of the store that
   they can't reach.

   While a host can't reach a primary, or the store, it tells the other hosts
   directly, again and again; so a primary can also be replaced while the
   store is away or refuses some of the hosts.  What was heard counts for
   WITNESS_FRESH_MS.

   Module name: "witness".  */

#ifndef SAVORYWAY_PROXY_WITNESS_H
#define SAVORYWAY_PROXY_WITNESS_H

#include "kernel/kernel.h"
#include "port/peer_port.h"

#define WITNESS_TELL_MS 500
#define WITNESS_FRESH_MS 1400
#define WITNESS_CALL_MS 700

/* Hosts that one host tells; more know from those that have the duty.  */
#define WITNESS_FANOUT 32

/* In place of a group and an instance, for the store.  */
#define WITNESS_STORE "store"

struct witness;

struct witness_options
{
  const char *host;
  const char *zone;
};

struct witness *witness_new (const struct witness_options *options);
struct module *witness_module (struct witness *witness);

/* Messages go through PORT from now on.  */
void witness_set_port (struct witness *witness, struct peer_port *port);

/* Sets the hosts that are told, without this one.  ADDRESSES are copied.  */
void witness_set_hosts (struct witness *witness,
                        const struct peer_address *addresses, size_t count);

/* This host can't reach INSTANCE of GROUP; NULL: it can.  */
void witness_report (struct witness *witness, const char *group,
                     const char *instance);

/* Calls FN for each host whose report about INSTANCE is fresh, but not for
   this one.  */
void witness_each (struct witness *witness, const char *group,
                   const char *instance,
                   void (*fn) (void *arg, const char *host, const char *zone),
                   void *arg);

#endif
