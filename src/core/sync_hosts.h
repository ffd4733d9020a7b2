/* sync_hosts - the platform's list of hosts, with what changed when.

   Removed hosts are remembered up to a limit, so that others can be sent
   changes only; who is further behind gets the whole list.  */

#ifndef SAVORYWAY_CORE_SYNC_HOSTS_H
#define SAVORYWAY_CORE_SYNC_HOSTS_H

#include <uthash.h>

#include "core/members.h"

struct sync_host
{
  struct platform_host host;
  uint64_t changed_index;
  bool removed;
  bool marked;
  struct sync_host *prev; /* in the list by rising changed_index */
  struct sync_host *next;
  UT_hash_handle hh;
};

struct sync_hosts
{
  struct members *members;
  bool known;
  uint64_t index;        /* of the platform's list */
  uint64_t change_index; /* of the last change of any host */
  uint64_t floor;        /* changes up to this one are not known singly */
  size_t removed_count;
  struct sync_host *by_name;
  struct sync_host *by_change;
};

void sync_hosts_clear (struct sync_hosts *hosts);

/* Takes in the whole list at INDEX; ignored if INDEX is below the known
   one.  */
void sync_hosts_set (struct sync_hosts *hosts, uint64_t index,
                     const struct platform_host *list, size_t count);

/* Takes in a change of one host at INDEX; sync_hosts_commit must follow.  */
void sync_hosts_change (struct sync_hosts *hosts, uint64_t index,
                        const struct platform_host *host, bool removed);
void sync_hosts_commit (struct sync_hosts *hosts, uint64_t index);

#endif
