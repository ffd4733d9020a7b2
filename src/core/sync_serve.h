/* sync_serve - answers the pulls of other hosts, the children of this one, and
   records their revisions.

   A pull is a long poll: if nothing has changed it is held until there is a
   change or its wait expires.  Answers with changes to the same host have a
   minimum interval, so that simultaneous changes are sent in one answer.  */

#ifndef SAVORYWAY_CORE_SYNC_SERVE_H
#define SAVORYWAY_CORE_SYNC_SERVE_H

#include "core/peers.h"
#include "core/sync_state.h"

struct sync_serve;

struct sync_serve *sync_serve_new (struct sync_state *state,
                                   struct peers *peers);
void sync_serve_free (struct sync_serve *serve);

/* Answers the held pulls for which STATE now has changes.  */
void sync_serve_changed (struct sync_serve *serve);

/* Returns the number of hosts that pull directly from this one.  */
size_t sync_serve_children (const struct sync_serve *serve);

/* Calls FN for each host that pulls from this one, with the revision it
   had at its last pull.  */
void sync_serve_each (struct sync_serve *serve,
                      void (*fn) (void *arg, const char *host,
                                  uint64_t revision),
                      void *arg);

#endif
