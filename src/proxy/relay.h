/* relay - in a large failure domain a few hosts follow the store, and the
   others follow them.

   Each call of the store has its price, a watch too, and the store's rates
   grow more slowly than the fleet.  The RELAY_HOSTS hosts of the greatest
   capacity of a failure domain keep what the store holds, and answer other
   hosts' questions for what is newer than a revision.  A host whose relay
   does not answer, or can't reach the store, asks the next one, then the
   store itself.

   Module name: "relay".  */

#ifndef SAVORYWAY_PROXY_RELAY_H
#define SAVORYWAY_PROXY_RELAY_H

#include "kernel/kernel.h"
#include "proxy/hosts.h"

/* Hosts of a failure domain that others may follow, and how many it must
   have for that: below, the calls saved are not worth the step between.  */
#define RELAY_HOSTS 2
#define RELAY_MAX_DOMAINS 32
#define RELAY_MIN_DOMAIN_HOSTS 12

/* How long a relay holds a question while nothing is newer; a host must learn
   of a configuration in time though its relay froze.  */
#define RELAY_WAIT_MS 600

/* A relay that failed is not asked for this long.  */
#define RELAY_FAILED_MS 4000

/* Removed keys that are remembered; a host that missed more gets all.  */
#define RELAY_MAX_REMOVED 512

struct relay;

struct relay *relay_new (void);
struct module *relay_module (struct relay *relay);

/* Sets this host's capacity, in the unit of the other hosts' (other_host).  */
void relay_set_capacity (struct relay *relay, uint32_t capacity);

/* The hosts have changed: finds out whether this one is a relay.  */
void relay_hosts_changed (struct relay *relay);

/* Whether other hosts may follow this one.  */
bool relay_serves (const struct relay *relay);

/* The host that this one follows, or NULL: it follows the store.  */
const struct other_host *relay_source (const struct relay *relay);

/* The other hosts that follow the store themselves.  Valid until the hosts
   change.  */
const struct other_host *const *relay_watchers (const struct relay *relay,
                                                size_t *count);

/* The store refuses this host's calls, or takes them again: a watch that waits
   tells nothing of that.  */
void relay_store_refuses (struct relay *relay, bool refuses);

/* The host NAME did not answer, or does not reach the store.  */
void relay_failed (struct relay *relay, const char *name);

#endif
