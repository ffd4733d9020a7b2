/* sync_store - the configuration of all teams as JSON text, with revisions.

   Every host keeps it, so that any host can serve others.  A team's value has
   two version numbers.  The platform index of its last modification orders
   two copies.  The configuration revision as of which this host certainly
   had the value selects the changes to send to others.  */

#ifndef SAVORYWAY_CORE_SYNC_STORE_H
#define SAVORYWAY_CORE_SYNC_STORE_H

#include <uthash.h>

#include "core/view.h"
#include "kernel/kernel.h"

struct sync_team
{
  char name[NAME_BYTES];
  uint64_t index;    /* of the last modification in the platform */
  uint64_t revision; /* as of which this host had the value */
  bool erased;       /* the team has no value any more */
  char *json;
  size_t json_bytes;
  bool listed; /* in the full list that is being applied */
  UT_hash_handle hh;
};

struct sync_store
{
  struct kernel *kernel;
  struct view *view;
  bool known;        /* a configuration, maybe empty, has been applied */
  uint64_t revision; /* all changes up to this one are in force */
  /* Hosts with a revision below this one need the full configuration, as
     individual changes before it are not known.  */
  uint64_t full_before;
  struct sync_team *teams;
};

void sync_store_clear (struct sync_store *store);

/* Stores the value of TEAM as part of REVISION and applies it to the view.
   Ignored if INDEX is not above that of the stored value.  */
void sync_store_put (struct sync_store *store, const char *team,
                     uint64_t index, uint64_t revision, const char *json,
                     size_t json_bytes);

/* Erases the value of TEAM, as part of REVISION.  */
void sync_store_erase (struct sync_store *store, const char *team,
                       uint64_t revision);

/* Replace the configuration of all teams: between these two, sync_store_put is
   called for every team with a value.  All other teams are erased.  */
void sync_store_begin_full (struct sync_store *store);
void sync_store_end_full (struct sync_store *store, uint64_t revision);

/* Records that all changes up to REVISION are in force.  Ignored if REVISION
   is not above the current one.  SOURCE, a host or "platform", is logged.  */
void sync_store_commit (struct sync_store *store, uint64_t revision,
                        const char *source);

#endif
