/* lease - acquires a lease at the platform's store and renews it.

   The store counts the term of a lease from the arrival of a call, this host
   from the sending of the call.  So a lease that is valid here is valid at the
   store too.  After a restoration of the store from an older copy a lease
   counts as lost, since its id may be that of another lease.  */

#ifndef SAVORYWAY_PROXY_LEASE_H
#define SAVORYWAY_PROXY_LEASE_H

#include "kernel/kernel.h"
#include "port/platform_port.h"

#define LEASE_CALL_TIMEOUT_MS 700
#define LEASE_RETRY_MS 1000
/* Once the store answers again, a call that has been in flight for this long
   counts as lost: a slow store answers after 240 ms.  */
#define LEASE_LOST_MS 300

struct lease;

/* Creates a lease of TTL_MS, renewed every RENEW_MS.  PURPOSE labels the calls
   to the store.  GAINED is called when a new lease has been acquired, ANSWERED
   after each call.  */
struct lease *lease_new (struct kernel *kernel, struct platform_port *store,
                         const char *purpose, clk_ms ttl_ms, clk_ms renew_ms,
                         void (*gained) (void *arg),
                         void (*answered) (void *arg,
                                           const struct platform_reply *reply),
                         void *arg);
void lease_free (struct lease *lease);

/* Acquires the lease and renews it until lease_release.  */
void lease_acquire (struct lease *lease);
/* Releases the lease, which removes the keys under it from the store.  */
void lease_release (struct lease *lease);

/* Sets the interval of renewals.  */
void lease_set_renew (struct lease *lease, clk_ms renew_ms);

/* To be called when the store answers again.  Retries immediately if the last
   call failed or must have been lost, or else as soon as it fails.  */
void lease_retry_now (struct lease *lease);

/* Returns whether the lease is to be acquired or renewed.  */
bool lease_wanted (const struct lease *lease);
bool lease_valid (const struct lease *lease);
/* Returns the time at which the lease expires or expired.  */
clk_ms lease_expires_ms (const struct lease *lease);
/* Returns the store's id of the lease; empty if there is none.  */
const char *lease_id (const struct lease *lease);

/* To be called when the store reports that the lease has ended.  */
void lease_lost (struct lease *lease);

#endif
