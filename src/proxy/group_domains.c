/* Which failure domains this host reaches.  */

#include "proxy/group_impl.h"

#include <string.h>

/* Another failure domain, and its instances.  */
struct other_domain
{
  const char *zone;
  bool reached;
};

static struct other_domain *
find_domain (struct other_domain *domains, size_t *count, const char *zone)
{
  for (size_t i = 0; i < *count; i++)
    if (strcmp (domains[i].zone, zone) == 0)
      return &domains[i];
  if (*count == GROUP_DOMAINS)
    return NULL;
  domains[*count] = (struct other_domain){ .zone = zone };
  return &domains[(*count)++];
}

/* Finds out whether this host is cut off.  While an instance elsewhere can't
   be reached, the others are asked that were silent of late.  */
void
groups_check_domains (struct groups *groups)
{
  struct other_domain domains[GROUP_DOMAINS];
  struct backend *doubted[GROUP_INSTANCES];
  struct group *group, *next;
  size_t count = 0, lost = 0, unusable = 0, doubtful = 0;
  HASH_ITER (hh, groups->table, group, next)
  for (size_t i = 0; group->connected && i < group->count; i++)
    {
      struct backend *backend = group->instances[i]->backend;
      const char *zone = backend_entry (backend)->zone;
      if (strcmp (zone, groups->zone) == 0)
        continue;
      struct other_domain *domain = find_domain (domains, &count, zone);
      if (domain != NULL)
        domain->reached |= backend_usable (backend);
      unusable += !backend_usable (backend);
      if (backend_usable (backend) && doubtful < GROUP_INSTANCES
          && group_now (group) - backend_last_answer_ms (backend)
                 >= GROUP_DOUBT_MS)
        doubted[doubtful++] = backend;
    }
  for (size_t i = 0; unusable > 0 && i < doubtful; i++)
    backend_probe (doubted[i]);
  for (size_t i = 0; i < count; i++)
    lost += !domains[i].reached;
  bool cut_off = count >= 2 && 2 * lost > count;
  if (cut_off == groups->cut_off)
    return;
  groups->cut_off = cut_off;
  log_event (kernel_log (groups->base.kernel),
             cut_off ? LOG_WARNING : LOG_NOTICE,
             cut_off ? "cut_off" : "cut_off_ended", LOG_U ("lost", lost),
             LOG_U ("domains", count));
}
