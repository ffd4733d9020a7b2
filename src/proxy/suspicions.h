/* suspicions - what hosts tell each other of primaries and of the store that
   they can't reach.

   While a host can't reach a primary, or the store, it tells the other hosts
   directly, again and again; so a primary can also be replaced while the
   store is away or refuses some of the hosts.  What was heard counts for
   WITNESS_FRESH_MS.

   Module name: "suspicions".  */

#ifndef SAVORYWAY_PROXY_WITNESS_H
#define SAVORYWAY_PROXY_WITNESS_H

#include <stdbool.h>

#include "kernel/kernel.h"

#define WITNESS_TELL_MS 500
#define WITNESS_FRESH_MS 1400
#define WITNESS_CALL_MS 700

/* Hosts that one host tells, besides the one that has the duty.  */
#define WITNESS_FANOUT 32

/* In place of a group and an instance, for the store.  */
#define WITNESS_STORE "store"

struct suspicions;

struct suspicions *suspicions_new (void);
struct module *suspicions_module (struct suspicions *suspicions);

/* HOST has the duty to promote: it is told in any case.  NULL: none has.  */
void witness_set_holder (struct suspicions *suspicions, const char *host);

/* This host can't reach INSTANCE of GROUP; NULL: it can.  */
void witness_report (struct suspicions *suspicions, const char *group,
                     const char *instance);

/* Calls FN for each host whose report about INSTANCE is fresh, but not for
   this one.  */
void witness_each (struct suspicions *suspicions, const char *group,
                   const char *instance,
                   void (*fn) (void *arg, const char *host, const char *zone),
                   void *arg);

/* Whether HOST's report about INSTANCE is fresh.  */
bool witness_hears (const struct suspicions *suspicions, const char *group,
                    const char *instance, const char *host);

/* Whether any report that was heard is fresh.  */
bool witness_hears_any (const struct suspicions *suspicions);

#endif
