/* coordinators - cache of the coordinators of every database.

   The coordinators are found by rendezvous hashing over all hosts.  They are
   looked up again only for databases that a change of hosts can affect, and
   in small steps: a look-up of 6,600 databases over 4,100 hosts takes a
   quarter of a second.  */

#ifndef SAVORYWAY_CORE_COORDINATORS_H
#define SAVORYWAY_CORE_COORDINATORS_H

#include "core/members.h"
#include "core/view.h"

/* Coordinators of one database.  */
#define COORDINATOR_COUNT 3

/* Rank of a host that is not a coordinator.  */
#define COORDINATORS_NO_RANK SIZE_MAX

struct coordinators;

struct coordinators *coordinators_new (struct members *members,
                                       struct view *view);
void coordinators_free (struct coordinators *coordinators);

/* Does a limited number of the pending look-ups.  Calls FN for each database
   that was looked up, and, when the view has changed, for each that this host
   is a coordinator of.  RANK is the rank of this host among the coordinators,
   from 0, or COORDINATORS_NO_RANK.  */
void coordinators_step (struct coordinators *coordinators,
                        void (*fn) (void *arg, struct view_database *database,
                                    size_t rank),
                        void *arg);

/* Returns the number of pending look-ups.  */
size_t coordinators_due (const struct coordinators *coordinators);

#endif
