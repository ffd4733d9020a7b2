/* lease - one lease at the platform's store, kept while it is wanted.

   The store counts a lease from the arrival of a call, this host from its
   sending: what holds here holds there.  */

#ifndef SAVORYWAY_PROXY_LEASE_H
#define SAVORYWAY_PROXY_LEASE_H

#include "kernel/kernel.h"
#include "port/platform_port.h"

#define LEASE_CALL_TIMEOUT_MS 700
#define LEASE_RETRY_MS 1000

struct lease;

/* GAINED is called when a new lease holds, ANSWERED after each call.  */
struct lease *lease_new (
    struct kernel *kernel, struct platform_port *store, const char *purpose,
    clk_ms ttl_ms, clk_ms renew_ms, void (*gained) (void *arg),
    void (*answered) (void *arg, enum platform_status status), void *arg);
void lease_free (struct lease *lease);

/* Asks for the lease and renews it until lease_release.  */
void lease_acquire (struct lease *lease);
/* Ends it at the store, with the keys under it.  */
void lease_release (struct lease *lease);

/* Sets the time between renewals.  */
void lease_set_renew (struct lease *lease, clk_ms renew_ms);

/* Tries again at once, if the store did not answer.  */
void lease_retry_now (struct lease *lease);

bool lease_wanted (const struct lease *lease);
bool lease_valid (const struct lease *lease);
/* When it ran or runs out.  */
clk_ms lease_expires_ms (const struct lease *lease);
/* Its number as text; empty if there is none.  */
const char *lease_id (const struct lease *lease);

/* The store said that it has ended.  */
void lease_lost (struct lease *lease);

#endif
