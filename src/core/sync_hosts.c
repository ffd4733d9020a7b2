#include "core/sync_hosts.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "kernel/mem.h"

/* Maximum number of removed hosts kept.  */
#define REMOVED_MAX 2048

static void
host_free (struct sync_hosts *hosts, struct sync_host *entry)
{
  HASH_DEL (hosts->by_name, entry);
  DL_DELETE (hosts->by_change, entry);
  free (entry);
}

void
sync_hosts_clear (struct sync_hosts *hosts)
{
  while (hosts->by_change != NULL)
    host_free (hosts, hosts->by_change);
}

static bool
same_host (const struct platform_host *a, const struct platform_host *b)
{
  return a->incarnation == b->incarnation && a->port == b->port
         && a->leaving == b->leaving && strcmp (a->address, b->address) == 0
         && strcmp (a->domain, b->domain) == 0;
}

static struct sync_host *
oldest_removed (const struct sync_hosts *hosts)
{
  struct sync_host *entry = hosts->by_change;
  while (entry != NULL && !entry->removed)
    entry = entry->next;
  return entry;
}

/* Discards the oldest removals beyond the limit.  A host that has not received
   them needs the whole list.  */
static void
limit_removed (struct sync_hosts *hosts)
{
  while (hosts->removed_count > REMOVED_MAX && hosts->by_name != NULL)
    {
      struct sync_host *entry = oldest_removed (hosts);
      if (entry == NULL)
        return;
      if (entry->changed_index > hosts->full_before)
        hosts->full_before = entry->changed_index;
      hosts->removed_count--;
      host_free (hosts, entry);
    }
}

void
sync_hosts_change (struct sync_hosts *hosts, uint64_t index,
                   const struct platform_host *host, bool removed)
{
  struct sync_host *entry = NULL;
  HASH_FIND_STR (hosts->by_name, host->name, entry);
  if (entry == NULL && removed)
    return;
  if (entry != NULL && entry->removed == removed
      && (removed || same_host (&entry->host, host)))
    {
      entry->listed = true;
      return;
    }
  if (entry == NULL)
    {
      entry = mem_zalloc (sizeof *entry);
      memcpy (entry->host.name, host->name, NAME_BYTES);
      HASH_ADD_STR (hosts->by_name, host.name, entry);
    }
  else
    DL_DELETE (hosts->by_change, entry);
  hosts->removed_count += (size_t)removed;
  hosts->removed_count -= (size_t)entry->removed;
  entry->host = *host;
  entry->removed = removed;
  entry->listed = true;
  entry->changed_index = index;
  DL_APPEND (hosts->by_change, entry);
  hosts->change_index = index;
}

void
sync_hosts_commit (struct sync_hosts *hosts, uint64_t index)
{
  if (hosts->known && index < hosts->index)
    return;
  bool changed = !hosts->known || hosts->change_index > hosts->index;
  hosts->known = true;
  hosts->index = index;
  limit_removed (hosts);
  if (!changed)
    return;
  size_t count = 0;
  struct platform_host *list
      = mem_zalloc (HASH_COUNT (hosts->by_name) * sizeof *list);
  for (struct sync_host *h = hosts->by_name; h != NULL; h = h->hh.next)
    if (!h->removed)
      list[count++] = h->host;
  members_set_list (hosts->members, index, list, count);
  free (list);
}

void
sync_hosts_set (struct sync_hosts *hosts, uint64_t index,
                const struct platform_host *list, size_t count)
{
  if (hosts->known && index < hosts->index)
    return;
  for (struct sync_host *h = hosts->by_name; h != NULL; h = h->hh.next)
    h->listed = false;
  for (size_t i = 0; i < count; i++)
    sync_hosts_change (hosts, index, &list[i], false);
  struct sync_host *entry, *next;
  HASH_ITER (hh, hosts->by_name, entry, next)
  {
    if (!entry->listed && !entry->removed)
      sync_hosts_change (hosts, index, &entry->host, true);
  }
  if (!hosts->known)
    hosts->full_before = index;
  sync_hosts_commit (hosts, index);
}
