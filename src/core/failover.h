/* failover - keeps a primary for each database.

   The first three hosts in rendezvous order of "failover/DATABASE", in
   different failure domains, are its coordinators.  Each probes the
   instances; a primary that coordinators of two failure domains can't reach
   is replaced (see promotion.h).  While the platform is down nothing is
   promoted.

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

/* OK is false if the order was not carried out; MESSAGE says why.  */
typedef void (*failover_done) (void *arg, bool ok, const char *message);

/* Moves the primary of DATABASE to the instance TARGET, both global names,
   or to any other instance that has all writes if TARGET is NULL.  Any host
   may be asked.  Running writes finish first; DONE is called once, never
   from within this call.  */
void failover_switch_over (struct failover *failover, const char *database,
                           const char *target, failover_done done, void *arg);

/* Forbids (HOLD) or allows promotions of DATABASE that nobody ordered.  The
   ban is part of the term record, so that it holds for all hosts.  */
void failover_set_hold (struct failover *failover, const char *database,
                        bool hold, failover_done done, void *arg);

/* Returns what this host coordinates, as a JSON array; the caller frees
   it.  */
char *failover_status (struct failover *failover);

/* How many databases this host is a coordinator of.  */
size_t failover_guards (const struct failover *failover);

#endif
