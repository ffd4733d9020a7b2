/* sync_census - counts the hosts by configuration revision.

   A host that is asked counts itself and asks those that pull from it; the
   one that starts asks all relays.  */

#ifndef SAVORYWAY_CORE_SYNC_CENSUS_H
#define SAVORYWAY_CORE_SYNC_CENSUS_H

#include "core/sync.h"
#include "core/sync_serve.h"
#include "core/sync_tree.h"

struct sync_census;

struct sync_census *sync_census_new (struct sync_state *state,
                                     struct sync_tree *tree,
                                     struct sync_serve *serve,
                                     struct peers *peers);
void sync_census_free (struct sync_census *census);

/* See sync_count_revisions.  */
void sync_census_start (struct sync_census *census, sync_count_done done,
                        void *arg);

#endif
