/* relay - lets hosts of a large failure domain read the store's contents from
   a few hosts of the domain instead of the store.

   Each call to the store has a cost, and so has each watch, and the call rates
   that the store allows grow more slowly than the number of hosts.  In a large
   failure domain the RELAY_HOSTS hosts of the highest capacity are relays:
   they keep a copy of the store's contents, and answer requests of other hosts
   for changes after a revision.  The first of them follows the store, each
   other one the relays before it.  A host whose relay does not answer, or
   can't reach the store, falls back to the next relay, then to the store
   itself.

   Module name: "relay".  */

#ifndef SAVORYWAY_PROXY_RELAY_H
#define SAVORYWAY_PROXY_RELAY_H

#include "kernel/kernel.h"
#include "proxy/hosts.h"

/* Number of relays of a failure domain.  */
#define RELAY_HOSTS 2
#define RELAY_MAX_DOMAINS 32
/* A failure domain with fewer hosts has no relays: the calls saved would not
   be worth the additional hop.  */
#define RELAY_MIN_DOMAIN_HOSTS 12

/* How long a relay delays its reply while there are no changes.  Limited,
   since a host must receive a new configuration in time even if its relay
   hangs.  */
#define RELAY_WAIT_MS 600

/* How long a host that has started keeps the contents though it is no relay:
   until it has read the registrations of the others, which may start too.  */
#define RELAY_UNDECIDED_MS 5000

/* How long a relay that failed is not used, and one that answered but does not
   reach the store.  */
#define RELAY_FAILED_MS 4000
#define RELAY_DETACHED_MS 1000

/* A relay that hears nothing from the store for this time, while the store
   refuses its calls, does not reach it.  */
#define RELAY_SILENT_MS 700

/* Maximum number of removed keys that a relay keeps.  With more it drops them
   all.  A host that may have missed one, or has read the store before the
   relay's first listing, receives the whole contents.  */
#define RELAY_MAX_REMOVED 512

struct relay;

struct relay *relay_new (void);
struct module *relay_module (struct relay *relay);

/* Sets the capacity of this host, in Mbit/s as in struct other_host.  */
void relay_set_capacity (struct relay *relay, uint32_t capacity);

/* To be called when the list of hosts changes.  Determines whether this host
   is a relay.  */
void relay_hosts_changed (struct relay *relay);

/* Returns whether this host is a relay.  */
bool relay_serves (const struct relay *relay);

/* Returns whether this host is the relay that follows the store for its
   failure domain.  */
bool relay_watches (const struct relay *relay);

/* Returns the relay that this host should follow, or NULL for the store.  */
const struct other_host *relay_source (const struct relay *relay);

/* Returns the time at which a relay of this host that failed may be used
   again; CLK_NEVER if none has.  */
clk_ms relay_retry_ms (const struct relay *relay);

/* Returns the other hosts that follow the store itself.  The array is valid
   until the list of hosts changes.  */
const struct other_host *const *relay_watchers (const struct relay *relay,
                                                size_t *count);

/* Sets whether the store refuses calls of this host, or does not answer them,
   which a pending watch does not reveal.  A call may also have waited behind
   the response to a watch: that does not count.  */
void relay_store_refuses (struct relay *relay, bool refuses);

/* A relay that did not answer or does not reach the store.  */
struct relay_failure
{
  const char *host;
  const char *reason;
  bool answered;           /* it does not reach the store */
  clk_ms spent_ms;         /* on the call */
  size_t received_bytes;   /* of the reply */
  uint64_t revision;       /* of this host's contents */
  uint64_t relay_revision; /* 0: not known */
};

void relay_failed (struct relay *relay, const struct relay_failure *failure);

#endif
