/* Detection of failure domains that this host can't reach.  */

#include "proxy/group_impl.h"

#include <string.h>

/* A failure domain other than this host's.  */
struct remote_domain
{
  const char *zone;
  bool reached; /* at least one of its instances is reachable */
};

static struct remote_domain *
find_domain (struct remote_domain *domains, size_t *count, const char *zone)
{
  for (size_t i = 0; i < *count; i++)
    if (strcmp (domains[i].zone, zone) == 0)
      return &domains[i];
  if (*count == GROUP_DOMAINS)
    return NULL;
  domains[*count] = (struct remote_domain){ .zone = zone };
  return &domains[(*count)++];
}

/* Updates whether this host is cut off.  While an instance in another domain
   is unreachable, probes those that have not answered recently, to detect a
   network partition soon.  */
void
groups_check_domains (struct groups *groups)
{
  struct remote_domain domains[GROUP_DOMAINS];
  struct backend *stale[GROUP_INSTANCES];
  struct group *group, *next;
  size_t count = 0, lost = 0, unusable = 0, stale_count = 0;
  HASH_ITER (hh, groups->table, group, next)
  for (size_t i = 0; group->connected && i < group->count; i++)
    {
      struct backend *backend = group->instances[i]->backend;
      const char *zone = backend_entry (backend)->zone;
      if (strcmp (zone, groups->zone) == 0)
        continue;
      struct remote_domain *domain = find_domain (domains, &count, zone);
      if (domain != NULL)
        domain->reached |= backend_usable (backend);
      unusable += !backend_usable (backend);
      if (backend_usable (backend) && stale_count < GROUP_INSTANCES
          && group_now (group) - backend_last_answer_ms (backend)
                 >= GROUP_DOMAIN_PROBE_MS)
        stale[stale_count++] = backend;
    }
  for (size_t i = 0; unusable > 0 && i < stale_count; i++)
    backend_probe (stale[i]);
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
