/* gateway - executes requests on the database instances placed on this host.

   For each instance the gateway owns a connection pool, a request queue and
   the open transactions.  It respects the limits on concurrent requests
   (slots) and on connections, refuses a request at once if it cannot finish
   before its deadline, and delays the answer to a write until the
   acknowledgement rule of its kind is met.

   The first two hosts in the placement of an instance may act as its
   gateway.  Each may open half of the instance's connections.  The first
   host uses all slots; the second uses one.

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

/* Connections of an instance that gateways leave free for the probes of
   coordinators.  */
#define GATEWAY_RESERVED_CONNECTIONS 6

/* Age, counted from a read of the platform, up to which a host may rely on
   its view of a term record for ACK_PRIMARY and strong reads.  A promotion
   relies on this limit: once it has passed, no host acknowledges writes of
   the previous term on the strength of an old view.  */
#define TERM_VIEW_MAX_AGE_MS 3000

/* Part of that age reserved for sending the answer from the gateway to the
   caller.  */
#define ACK_TRANSIT_MS 1000

/* Value of peer_execute.max_age_ms for a strong read, which only the primary
   of min_term may serve.  Other values: 0 means no limit, a positive value
   limits the lag of a replica.  For writes, look-ups and strong reads,
   min_term is the required term; for other reads, min_term and min_lsn are
   the position of the session.  */
#define GATEWAY_STRONG_READ (-1)

/* Time that a read may wait for the replica to replay up to the position of
   the session.  */
#define GATEWAY_REPLAY_WAIT_MS 100

/* Default age at which rows of the ledger, the table of request ids and their
   stored answers, are deleted.  */
#define GATEWAY_LEDGER_RETENTION_MS ((clk_ms)24 * 60 * 60 * 1000)

struct gateway;

/* Creates a gateway that connects to instances through DB.  Start and free it
   as a module of the kernel.  */
struct gateway *gateway_new (struct db_port *db, enum policy policy);
struct module *gateway_module (struct gateway *gateway);

enum policy gateway_policy (const struct gateway *gateway);

/* Sets the age in milliseconds at which ledger rows are deleted; 0 disables
   deletion.  */
void gateway_set_ledger_retention (struct gateway *gateway, clk_ms age_ms);

/* Sets AGE, which returns the age in milliseconds of this host's view of the
   term records.  Without it the view is never treated as recent.  */
void gateway_set_view_age (struct gateway *gateway, clk_ms (*age) (void *arg),
                           void *arg);

/* Writes the gateway hosts of INSTANCE to OUT in order of placement and
   returns their number.  Hosts of the instance's failure domain are used if
   there are any, otherwise all hosts.  */
size_t gateway_hosts (struct members *members,
                      const struct view_instance *instance,
                      const struct member *out[GATEWAY_HOSTS]);

/* Returns the number of requests on this host that are not answered yet plus
   the number of open transactions.  */
size_t gateway_in_flight (const struct gateway *gateway);

/* Returns the number of connections from this host to INSTANCE that are open
   or being opened.  */
uint32_t gateway_connections (const struct gateway *gateway,
                              const char *instance);

#endif
