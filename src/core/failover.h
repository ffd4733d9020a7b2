/* failover - detects failed primaries and promotes replicas in their place.

   The coordinators of a database are the first three hosts in rendezvous
   order of "failover/DATABASE", in different failure domains.  Each of them
   probes the instances (see monitor.h).  A primary that hosts of two failure
   domains can't reach is replaced (see promotion.h).  While the platform is
   unavailable no new primary is chosen, as the platform decides between
   coordinators; the attempt waits.

   Module name: "failover".  */

#ifndef SAVORYWAY_CORE_FAILOVER_H
#define SAVORYWAY_CORE_FAILOVER_H

#include "kernel/kernel.h"
#include "port/db_port.h"
#include "port/platform_port.h"

struct failover;

struct failover *failover_new (struct db_port *db,
                               struct platform_port *platform);
struct module *failover_module (struct failover *failover);

/* Called when a request has ended.  MESSAGE is the reason if OK is false.  */
typedef void (*failover_done) (void *arg, bool ok, const char *message);

/* Starts a planned switch-over of DATABASE to the instance TARGET (both are
   global names), or to any other instance that has all writes if TARGET is
   NULL.  Works on every host.  Writes in progress finish first.  DONE is
   called once, never from within this call.  */
void failover_switch_over (struct failover *failover, const char *database,
                           const char *target, failover_done done, void *arg);

/* Forbids (HOLD is true) or allows automatic promotions of DATABASE: failovers
   and the switch-over from a leaving primary.  failover_switch_over stays
   possible.  The ban is part of the term record, so it applies to all hosts.
   DONE is called once, never from within this call.  */
void failover_set_hold (struct failover *failover, const char *database,
                        bool hold, failover_done done, void *arg);

/* Returns the state of all databases that this host monitors, as a JSON
   array; the caller frees it.  */
char *failover_status (struct failover *failover);

/* Returns the number of databases that this host is a coordinator of.  */
size_t failover_coordinated_count (const struct failover *failover);

#endif
