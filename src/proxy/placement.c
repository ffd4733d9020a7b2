#include "proxy/placement.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

#include "kernel/mem.h"
#include "kernel/text.h"
#include "proxy/backend.h"
#include "proxy/catalog.h"

/* A host of a failure domain.  HOST is NULL for this one.  */
struct ranked_host
{
  uint32_t capacity;
  uint64_t score;
  const struct other_host *host;
};

/* The hosts of a failure domain, those of the widest links first.  */
struct ranked_domain
{
  char zone[NAME_BYTES];
  size_t count;
  size_t allocated;
  struct ranked_host *hosts;
  size_t picked; /* by the present group */
  uint64_t turn; /* order of the domain for it */
};

/* Order of a group's hosts for a workspace.  */
struct workspace_entry
{
  char name[NAME_BYTES];
  uint64_t generation; /* of the group's PLACED that it was made from */
  struct placed_workspace placed;
  UT_hash_handle hh;
};

/* Assignment of a group.  */
struct entry
{
  char name[NAME_BYTES];
  uint64_t config_version; /* PLACED is valid for it */
  uint64_t hosts_version;  /* likewise */
  struct placed_group placed;
  uint64_t generation; /* increases each time PLACED is determined */
  struct workspace_entry *workspaces;
  UT_hash_handle hh;
};

struct placement
{
  struct module base;
  struct catalog *catalog;
  struct hosts *hosts;
  uint32_t capacity; /* of this host */
  size_t domain_count;
  struct ranked_domain *domains;
  struct entry *entries;
  uint64_t work;
};

size_t
placement_width (size_t connections, size_t hosts, bool workspaces)
{
  size_t usable = connections > BACKEND_RESERVED_CONNECTIONS
                      ? connections - BACKEND_RESERVED_CONNECTIONS
                      : 1;
  if (!workspaces && usable >= hosts * PLACEMENT_DIRECT_CONNECTIONS)
    return hosts;
  size_t width = usable
                 / (workspaces ? PLACEMENT_WORKSPACE_CONNECTIONS
                               : PLACEMENT_CONNECTIONS);
  if (width > hosts)
    return hosts;
  return width > 0 ? width : 1;
}

uint64_t
placement_work (const struct placement *placement)
{
  return placement->work;
}

static uint64_t
score_of (struct placement *placement, const char *name, const char *group)
{
  placement->work++;
  return XXH64 (group, strlen (group), XXH64 (name, strlen (name), 0));
}

/* Returns the domain ZONE, which is added if it is new.  */
static struct ranked_domain *
ensure_domain (struct placement *placement, const char *zone)
{
  for (size_t i = 0; i < placement->domain_count; i++)
    if (strcmp (placement->domains[i].zone, zone) == 0)
      return &placement->domains[i];
  placement->domains
      = mem_resize (placement->domains, (placement->domain_count + 1)
                                            * sizeof *placement->domains);
  struct ranked_domain *domain
      = &placement->domains[placement->domain_count++];
  *domain = (struct ranked_domain){ 0 };
  text_copy (domain->zone, sizeof domain->zone, zone);
  return domain;
}

static bool
ranks_before (const struct ranked_host *a, const struct ranked_host *b)
{
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity;
  return a->score > b->score;
}

/* Returns the index of the first host of DOMAIN that does not rank before
   RANKED.  */
static size_t
find_rank (struct placement *placement, const struct ranked_domain *domain,
           const struct ranked_host *ranked)
{
  size_t low = 0, high = domain->count;
  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      placement->work++;
      if (ranks_before (&domain->hosts[middle], ranked))
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct ranked_host
rank_of (struct placement *placement, const struct other_host *host)
{
  const char *name
      = host != NULL ? host->address.name : hosts_own_name (placement->hosts);
  return (struct ranked_host){
    .capacity = host != NULL ? host->capacity : placement->capacity,
    .score = score_of (placement, name, ""),
    .host = host,
  };
}

/* Adds HOST of failure domain ZONE, or this host if it is NULL.  */
static void
add_host (struct placement *placement, const char *zone,
          const struct other_host *host)
{
  struct ranked_domain *domain = ensure_domain (placement, zone);
  struct ranked_host ranked = rank_of (placement, host);
  size_t at = find_rank (placement, domain, &ranked);
  if (domain->count == domain->allocated)
    {
      domain->allocated = 2 * domain->allocated + 8;
      domain->hosts = mem_resize (domain->hosts,
                                  domain->allocated * sizeof *domain->hosts);
    }
  memmove (&domain->hosts[at + 1], &domain->hosts[at],
           (domain->count - at) * sizeof *domain->hosts);
  domain->hosts[at] = ranked;
  domain->count++;
}

static void
remove_host (struct placement *placement, const char *zone,
             const struct other_host *host)
{
  struct ranked_domain *domain = ensure_domain (placement, zone);
  struct ranked_host ranked = rank_of (placement, host);
  size_t at = find_rank (placement, domain, &ranked);
  while (at < domain->count && domain->hosts[at].host != host)
    at++; /* equal ranks */
  if (at == domain->count)
    return;
  domain->count--;
  memmove (&domain->hosts[at], &domain->hosts[at + 1],
           (domain->count - at) * sizeof *domain->hosts);
}

static void
on_host_added (void *arg, const struct other_host *host)
{
  add_host (arg, host->zone, host);
}

static void
on_host_removed (void *arg, const struct other_host *host)
{
  remove_host (arg, host->zone, host);
}

static struct entry *
entry_new (struct placement *placement, const char *group)
{
  struct entry *entry = mem_zalloc (sizeof *entry);
  text_copy (entry->name, sizeof entry->name, group);
  HASH_ADD_STR (placement->entries, name, entry);
  return entry;
}

static const struct group_settings *
find_settings (const struct catalog_config *config, const char *group)
{
  for (size_t i = 0; i < config->group_count; i++)
    if (strcmp (config->groups[i].name, group) == 0)
      return &config->groups[i];
  return NULL;
}

/* Orders the failure domains for GROUP, so that not all groups begin with the
   same one, and divides WIDTH hosts among them by turns.  */
static void
divide_by_turns (struct placement *placement, const char *group, size_t width)
{
  struct ranked_domain *domains = placement->domains;
  for (size_t i = 0; i < placement->domain_count; i++)
    {
      struct ranked_domain domain = domains[i];
      size_t at = i;
      domain.turn = score_of (placement, domain.zone, group);
      domain.picked = 0;
      for (; at > 0 && domains[at - 1].turn < domain.turn; at--)
        domains[at] = domains[at - 1];
      domains[at] = domain;
    }
  for (size_t before = width + 1; width > 0 && width != before;)
    {
      before = width;
      for (size_t i = 0; i < placement->domain_count && width > 0; i++)
        if (domains[i].picked < domains[i].count)
          {
            domains[i].picked++;
            width--;
          }
    }
}

/* Adds to the hosts of ENTRY those that it takes of DOMAIN: of the first hosts
   of the domain, half as many again as it takes, those of the highest
   scores.  */
static void
pick_of_domain (struct placement *placement, struct entry *entry,
                const struct ranked_domain *domain)
{
  struct placed_group *placed = &entry->placed;
  size_t pool = domain->picked + (domain->picked + 1) / 2;
  if (pool > domain->count)
    pool = domain->count;
  struct ranked_host *best = mem_zalloc ((pool + 1) * sizeof *best);
  for (size_t i = 0; i < pool; i++)
    {
      struct ranked_host ranked = domain->hosts[i];
      size_t at = i;
      ranked.score
          = score_of (placement,
                      ranked.host != NULL ? ranked.host->address.name
                                          : hosts_own_name (placement->hosts),
                      entry->name);
      for (; at > 0 && best[at - 1].score < ranked.score; at--)
        best[at] = best[at - 1];
      best[at] = ranked;
    }
  for (size_t i = 0; i < domain->picked; i++)
    if (best[i].host == NULL)
      placed->served_here = true;
    else
      placed->hosts[placed->count++] = best[i].host;
  free (best);
}

/* Determines the hosts that serve the group of ENTRY.  */
static void
pick_hosts (struct placement *placement, struct entry *entry)
{
  const struct catalog_config *config = catalog_config (placement->catalog);
  const struct group_settings *settings = find_settings (config, entry->name);
  struct placed_group *placed = &entry->placed;
  size_t hosts;
  hosts_list (placement->hosts, &hosts);
  hosts++;
  size_t width
      = hosts < PLACEMENT_DEFAULT_HOSTS ? hosts : PLACEMENT_DEFAULT_HOSTS;
  if (settings != NULL)
    width = placement_width (settings->connections, hosts,
                             config->has_workspaces);
  placed->hosts = mem_resize (placed->hosts, width * sizeof *placed->hosts);
  placed->count = 0;
  placed->served_here = false;
  entry->generation++;
  divide_by_turns (placement, entry->name, width);
  for (size_t i = 0; i < placement->domain_count; i++)
    pick_of_domain (placement, entry, &placement->domains[i]);
}

static struct entry *
find_entry (struct placement *placement, const char *group)
{
  uint64_t config = catalog_config (placement->catalog)->version;
  struct entry *entry;
  HASH_FIND_STR (placement->entries, group, entry);
  if (entry == NULL)
    entry = entry_new (placement, group);
  uint64_t hosts = hosts_version (placement->hosts);
  if (entry->generation == 0 || entry->hosts_version != hosts
      || entry->config_version != config)
    pick_hosts (placement, entry);
  entry->hosts_version = hosts;
  entry->config_version = config;
  return entry;
}

const struct placed_group *
placement_find (struct placement *placement, const char *group)
{
  return &find_entry (placement, group)->placed;
}

/* Returns how many of HOSTS hosts WORKSPACE uses: the part that its limit has
   in those of all workspaces.  */
static size_t
workspace_width (const struct placement *placement, const char *name,
                 size_t hosts)
{
  const struct catalog_config *config = catalog_config (placement->catalog);
  const struct workspace *workspace
      = catalog_workspace (placement->catalog, name);
  uint64_t total = 0;
  for (size_t i = 0; i < config->workspace_count; i++)
    total += config->workspaces[i].rate_per_s;
  uint64_t rate = workspace != NULL ? workspace->rate_per_s : 0;
  size_t width = rate > 0 && total > 0
                     ? (size_t)((rate * hosts + total - 1) / total)
                     : hosts / PLACEMENT_UNLIMITED_DIVISOR;
  return width > 0 ? width : 1;
}

/* Inserts HOST into the hosts of PLACED, of which the first COUNT are in
   order.  */
static void
insert_by_score (const struct other_host **hosts, uint64_t *scores,
                 size_t count, const struct other_host *host, uint64_t score)
{
  size_t at = count;
  for (; at > 0 && scores[at - 1] < score; at--)
    {
      hosts[at] = hosts[at - 1];
      scores[at] = scores[at - 1];
    }
  hosts[at] = host;
  scores[at] = score;
}

static void
order_hosts (struct placement *placement, const struct entry *entry,
             struct workspace_entry *workspace)
{
  const struct placed_group *group = &entry->placed;
  struct placed_workspace *placed = &workspace->placed;
  uint64_t *scores = mem_zalloc ((group->count + 1) * sizeof *scores);
  uint64_t own = score_of (placement, hosts_own_name (placement->hosts),
                           workspace->name);
  placed->hosts
      = mem_resize (placed->hosts, (group->count + 1) * sizeof *placed->hosts);
  placed->count = group->count;
  placed->rank_here = group->served_here ? 0 : SIZE_MAX;
  for (size_t i = 0; i < group->count; i++)
    {
      uint64_t score = score_of (placement, group->hosts[i]->address.name,
                                 workspace->name);
      insert_by_score (placed->hosts, scores, i, group->hosts[i], score);
      if (group->served_here && score > own)
        placed->rank_here++;
    }
  placed->width = workspace_width (placement, workspace->name,
                                   group->count + group->served_here);
  workspace->generation = entry->generation;
  free (scores);
}

const struct placed_workspace *
placement_find_workspace (struct placement *placement, const char *group,
                          const char *workspace)
{
  struct entry *entry = find_entry (placement, group);
  struct workspace_entry *row;
  HASH_FIND_STR (entry->workspaces, workspace, row);
  if (row == NULL)
    {
      row = mem_zalloc (sizeof *row);
      text_copy (row->name, sizeof row->name, workspace);
      HASH_ADD_STR (entry->workspaces, name, row);
    }
  if (row->generation != entry->generation)
    order_hosts (placement, entry, row);
  return &row->placed;
}

bool
placed_workspace_prefers (const struct placed_workspace *placed, size_t index)
{
  return index + (placed->rank_here <= index) < placed->width;
}

static void
placement_start (struct module *module)
{
  struct placement *placement = (struct placement *)module;
  placement->catalog
      = (struct catalog *)kernel_find (module->kernel, "catalog");
  placement->hosts = (struct hosts *)kernel_find (module->kernel, "hosts");
  hosts_subscribe (placement->hosts,
                   &(struct hosts_events){ .added = on_host_added,
                                           .removed = on_host_removed,
                                           .arg = placement });
  add_host (placement, hosts_own_zone (placement->hosts), NULL);
}

void
placement_set_capacity (struct placement *placement, uint32_t capacity)
{
  const char *zone = hosts_own_zone (placement->hosts);
  struct entry *entry;
  if (placement->capacity == capacity)
    return;
  remove_host (placement, zone, NULL);
  placement->capacity = capacity;
  add_host (placement, zone, NULL);
  for (entry = placement->entries; entry != NULL; entry = entry->hh.next)
    entry->config_version = UINT64_MAX;
}

static void
free_workspaces (struct entry *entry)
{
  struct workspace_entry *row, *next;
  HASH_ITER (hh, entry->workspaces, row, next)
  {
    HASH_DEL (entry->workspaces, row);
    free (row->placed.hosts);
    free (row);
  }
}

static void
placement_free (struct module *module)
{
  struct placement *placement = (struct placement *)module;
  struct entry *entry, *next;
  HASH_ITER (hh, placement->entries, entry, next)
  {
    HASH_DEL (placement->entries, entry);
    free (entry->placed.hosts);
    free_workspaces (entry);
    free (entry);
  }
  for (size_t i = 0; i < placement->domain_count; i++)
    free (placement->domains[i].hosts);
  free (placement->domains);
  free (placement);
}

static const struct module_ops placement_ops
    = { .start = placement_start, .free = placement_free };

struct placement *
placement_new (void)
{
  struct placement *placement = mem_zalloc (sizeof *placement);
  placement->base.ops = &placement_ops;
  placement->base.name = "placement";
  return placement;
}

struct module *
placement_module (struct placement *placement)
{
  return &placement->base;
}
