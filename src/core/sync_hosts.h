/* sync_hosts - the platform's list of hosts, with the index of each host's
   last change.

   Removed hosts are kept up to a limit, so that another host can be sent
   only the changes since its last pull.  A host that is further behind is
   sent the whole list.  */

#ifndef SAVORYWAY_CORE_SYNC_HOSTS_H
#define SAVORYWAY_CORE_SYNC_HOSTS_H

#include <uthash.h>

#include "core/members.h"

struct sync_host
{
  struct platform_host host;
  uint64_t changed_index;
  bool removed;
  bool listed;            /* in the full list that is being applied */
  struct sync_host *prev; /* in by_change */
  struct sync_host *next;
  UT_hash_handle hh;
};

struct sync_hosts
{
  struct members *members;
  bool known;
  uint64_t index;        /* of the platform's list */
  uint64_t change_index; /* of the last change of any host */
  /* Hosts that know an index below this one need the whole list, as some
     removals up to it are unknown here or have been discarded.  */
  uint64_t full_before;
  size_t removed_count;
  struct sync_host *by_name;
  struct sync_host *by_change; /* by ascending changed_index */
};

void sync_hosts_clear (struct sync_hosts *hosts);

/* Replaces the list by LIST, read at INDEX.  Ignored if INDEX is below the
   current one.  */
void sync_hosts_set (struct sync_hosts *hosts, uint64_t index,
                     const struct platform_host *list, size_t count);

/* Applies a change or removal of one host at INDEX.  sync_hosts_commit must
   follow the last change of that index; it passes the new list to members.  */
void sync_hosts_change (struct sync_hosts *hosts, uint64_t index,
                        const struct platform_host *host, bool removed);
void sync_hosts_commit (struct sync_hosts *hosts, uint64_t index);

#endif
