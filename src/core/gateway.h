/* gateway - runs requests on the instances whose gateway this host is.

   Holds the connections, the queue and the open transactions of an instance,
   keeps within its slots and connections, refuses at once what cannot finish
   in time, and holds answers of writes until their acknowledgement rule is
   met.

   Two hosts may act for an instance: the first two of its placement.  Each
   may open half of its connections; the first uses all slots, the second
   one.

   Module name: "gateway".  */

#ifndef SAVORYWAY_CORE_GATEWAY_H
#define SAVORYWAY_CORE_GATEWAY_H

#include "core/members.h"
#include "core/policy.h"
#include "core/view.h"
#include "kernel/kernel.h"
#include "port/db_port.h"

#define GATEWAY_HOSTS 2
#define GATEWAY_KEY "gateway/%s"

/* Connections of an instance that are left to coordinators' probes.  */
#define GATEWAY_RESERVED_CONNECTIONS 6

/* How long after a read of the platform a host may take its view of a term
   as current, for ACK_PRIMARY and strong reads.  */
#define TERM_VIEW_MAX_AGE_MS 3000

/* Of the window, what an answer may take from the gateway to the caller.  */
#define ACK_TRANSIT_MS 1000

/* peer_execute.max_age_ms of a read that only the primary of min_term may
   serve.  Other values: 0 no limit, above 0 the limit of a replica's lag.
   For writes, look-ups and strong reads, min_term is the term required; for
   other reads, min_term and min_lsn are the position of the session.  */
#define GATEWAY_STRONG_READ (-1)

/* How long a gateway holds a read for the replica to catch up.  */
#define GATEWAY_REPLAY_WAIT_MS 100

#define LEDGER_RETENTION_MS ((clk_ms)24 * 60 * 60 * 1000)

struct gateway;

struct gateway *gateway_new (struct db_port *db, enum policy policy);
struct module *gateway_module (struct gateway *gateway);

enum policy gateway_policy (const struct gateway *gateway);

/* Sets after what time rows of the ledger are deleted; 0 keeps them.  */
void gateway_set_ledger_retention (struct gateway *gateway, clk_ms age_ms);

/* Gives the gateway a function that returns the age of this host's view of
   the term records.  Without one, no view counts as recent.  */
void gateway_set_view_age (struct gateway *gateway, clk_ms (*age) (void *arg),
                           void *arg);

/* Writes to OUT the hosts that act for INSTANCE, in order; returns how
   many.  */
size_t gateway_hosts (struct members *members,
                      const struct view_instance *instance,
                      const struct member *out[GATEWAY_HOSTS]);

/* Requests queued or running here, and open transactions.  */
size_t gateway_in_flight (const struct gateway *gateway);

/* Connections open or opening to INSTANCE from here.  */
uint32_t gateway_connections (const struct gateway *gateway,
                              const char *instance);

#endif
