/* Workspaces in use, and the hosts that own the parts of their limits.  */

#include "proxy/allowance_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>
#include <xxhash.h>

#include "kernel/mem.h"
#include "kernel/text.h"

/* A pool is released after this time without use.  A bucket that is created
   again then counts as full, so the time is longer than one takes to fill.  */
#define IDLE_MS 60000
#define PRUNE_MS 30000
/* Removals of hosts are known to new pools for this time.  */
#define REMOVED_MS 60000
#define REMOVED_LIMIT 1024

/* Longest name of a workspace in a label, and of the metric around it.  */
#define METRIC_BYTES (NAME_BYTES + 64)

uint64_t
part_score (struct part *part, const char *host)
{
  part->pool->allowances->work++;
  return XXH64 (host, strlen (host), part->seed);
}

static bool
outranks (uint64_t a_score, const char *a, uint64_t b_score, const char *b)
{
  return a_score != b_score ? a_score > b_score : strcmp (a, b) > 0;
}

bool
part_outranks (const struct part *part, const char *host, uint64_t score)
{
  return outranks (score, host, part->own_score,
                   hosts_own_name (part->pool->allowances->hosts));
}

static void
consider (struct part *part, const struct other_host *host, uint64_t score)
{
  if (part->top != NULL
      && !outranks (score, host->address.name, part->top_score,
                    part->top->address.name))
    return;
  part->top = host;
  part->top_score = score;
  part->not_before_ms = CLK_LONG_AGO; /* was that of the owner before */
}

const struct other_host *
part_top (struct part *part)
{
  size_t count;
  if (!part->outdated)
    return part->top;
  const struct other_host *const *others
      = hosts_list (part->pool->allowances->hosts, &count);
  part->top = NULL;
  for (size_t i = 0; i < count; i++)
    consider (part, others[i], part_score (part, others[i]->address.name));
  part->outdated = false;
  return part->top;
}

bool
part_is_own (struct part *part, const struct allowance_view *view)
{
  const struct other_host *top = part_top (part);
  return view->registered_ms != CLK_NEVER
         && (top == NULL
             || !part_outranks (part, top->address.name, part->top_score));
}

static void
on_host_added (void *arg, const struct other_host *host)
{
  struct allowances *allowances = arg;
  struct pool *pool;
  for (pool = allowances->pools; pool != NULL; pool = pool->hh.next)
    for (size_t i = 0; i < ALLOWANCE_PARTS; i++)
      {
        struct part *part = &pool->parts[i];
        uint64_t score = part_score (part, host->address.name);
        if (!part->outdated)
          consider (part, host, score);
        bucket_host_added (part, host->address.name, score);
      }
}

static void
note_removed (struct allowances *allowances, const char *host)
{
  clk_ms now_ms = allowances_now (allowances);
  struct removed_host *removed = mem_zalloc (sizeof *removed), *old, *next;
  text_copy (removed->name, sizeof removed->name, host);
  removed->removed_ms = now_ms;
  DL_APPEND (allowances->removed, removed);
  allowances->removed_count++;
  DL_FOREACH_SAFE (allowances->removed, old, next)
  {
    if (allowances->removed_count <= REMOVED_LIMIT
        && old->removed_ms >= now_ms - REMOVED_MS)
      return;
    allowances->removed_since_ms = old->removed_ms;
    allowances->removed_count--;
    DL_DELETE (allowances->removed, old);
    free (old);
  }
}

static void
on_host_removed (void *arg, const struct other_host *host)
{
  struct allowances *allowances = arg;
  struct pool *pool;
  note_removed (allowances, host->address.name);
  for (pool = allowances->pools; pool != NULL; pool = pool->hh.next)
    for (size_t i = 0; i < ALLOWANCE_PARTS; i++)
      {
        struct part *part = &pool->parts[i];
        uint64_t score = part_score (part, host->address.name);
        bucket_host_removed (part, host->address.name, score,
                             allowances_now (allowances));
        if (part->top != host)
          continue;
        part->top = NULL;
        part->outdated = true;
      }
}

void
allowances_follow_hosts (struct allowances *allowances)
{
  allowances->removed_since_ms = CLK_LONG_AGO;
  hosts_subscribe (allowances->hosts,
                   &(struct hosts_events){ .added = on_host_added,
                                           .removed = on_host_removed,
                                           .arg = allowances });
}

static void
init_part (struct pool *pool, unsigned index)
{
  struct allowances *allowances = pool->allowances;
  struct part *part = &pool->parts[index];
  struct removed_host *removed;
  part->pool = pool;
  part->index = index;
  part->seed = XXH64 (pool->name, strlen (pool->name), index);
  part->own_score = part_score (part, hosts_own_name (allowances->hosts));
  part->outdated = true;
  part->not_before_ms = CLK_LONG_AGO;
  part->denied = true; /* until an owner answers */
  bucket_init (part);
  part->bucket.blocked_ms
      = allowances->removed_since_ms + ALLOWANCE_TAKEOVER_MS;
  DL_FOREACH (allowances->removed, removed)
  {
    bucket_host_removed (part, removed->name, part_score (part, removed->name),
                         removed->removed_ms);
  }
}

/* Returns whether fewer than ALLOWANCE_MEASURED workspaces have a higher
   limit.  */
static bool
is_large (const struct catalog_config *config, uint32_t rate_per_s)
{
  size_t larger = 0;
  for (size_t i = 0; i < config->workspace_count; i++)
    larger += config->workspaces[i].rate_per_s > rate_per_s;
  return larger < ALLOWANCE_MEASURED;
}

/* Returns whether NAME needs no escapes in a label.  */
static bool
is_plain (const char *name)
{
  for (; *name != '\0'; name++)
    if (*name < ' ' || *name > '~' || *name == '"' || *name == '\\')
      return false;
  return true;
}

/* Gives POOL metrics of its own if it is one of the largest.  */
static void
init_metrics (struct pool *pool, const struct workspace *workspace)
{
  struct allowances *allowances = pool->allowances;
  struct metrics *metrics = kernel_metrics (allowances->base.kernel);
  const char *label = "";
  char name[METRIC_BYTES];
  if (allowances->measured < ALLOWANCE_MEASURED && is_plain (pool->name)
      && is_large (catalog_config (allowances->catalog),
                   workspace->rate_per_s))
    {
      allowances->measured++;
      label = pool->name;
    }
  snprintf (name, sizeof name, "workspace_granted_total{workspace=\"%s\"}",
            label);
  pool->granted_count = metrics_value (metrics, name);
  snprintf (name, sizeof name, "workspace_refused_total{workspace=\"%s\"}",
            label);
  pool->refused_count = metrics_value (metrics, name);
}

static void
free_pool (struct pool *pool)
{
  struct kernel *kernel = pool->allowances->base.kernel;
  kernel_timer_cancel (kernel, &pool->deadline);
  kernel_timer_cancel (kernel, &pool->series);
  for (size_t i = 0; i < ALLOWANCE_PARTS; i++)
    bucket_clear (&pool->parts[i]);
  while (pool->waiters != NULL)
    allowance_cancel (pool->waiters);
  HASH_DEL (pool->allowances->pools, pool);
  free (pool);
}

static bool
is_idle (struct pool *pool)
{
  if (pool->waiters != NULL || pool->call != 0 || pool->series.slot != 0
      || allowances_now (pool->allowances) - pool->used_ms < IDLE_MS)
    return false;
  for (size_t i = 0; i < ALLOWANCE_PARTS; i++)
    if (!bucket_is_idle (&pool->parts[i]))
      return false;
  return true;
}

static void
on_prune (void *arg)
{
  struct allowances *allowances = arg;
  struct pool *pool, *next;
  HASH_ITER (hh, allowances->pools, pool, next)
  {
    if (is_idle (pool))
      free_pool (pool);
  }
  if (allowances->pools != NULL)
    kernel_timer_set (allowances->base.kernel, &allowances->prune,
                      allowances_now (allowances) + PRUNE_MS);
}

static struct pool *
pool_new (struct allowances *allowances, const struct workspace *workspace)
{
  struct pool *pool = mem_zalloc (sizeof *pool);
  pool->allowances = allowances;
  text_copy (pool->name, sizeof pool->name, workspace->name);
  pool->demand_ms = allowances_now (allowances);
  for (unsigned i = 0; i < ALLOWANCE_PARTS; i++)
    init_part (pool, i);
  /* Hosts ask different parts first.  */
  pool->turn = (size_t)rng_below (kernel_rng (allowances->base.kernel),
                                  ALLOWANCE_PARTS);
  init_metrics (pool, workspace);
  HASH_ADD_STR (allowances->pools, name, pool);
  if (allowances->prune.slot == 0)
    {
      allowances->prune
          = (struct ktimer){ .fire = on_prune, .arg = allowances };
      kernel_timer_set (allowances->base.kernel, &allowances->prune,
                        allowances_now (allowances) + PRUNE_MS);
    }
  return pool;
}

struct pool *
allowances_pool (struct allowances *allowances, const char *name)
{
  const struct workspace *workspace
      = catalog_workspace (allowances->catalog, name);
  struct pool *pool;
  if (workspace == NULL || workspace->rate_per_s == 0)
    return NULL;
  HASH_FIND_STR (allowances->pools, name, pool);
  if (pool == NULL)
    pool = pool_new (allowances, workspace);
  pool->used_ms = allowances_now (allowances);
  if (pool->rate_per_s == workspace->rate_per_s
      && pool->burst == workspace->burst)
    return pool;
  pool->rate_per_s = workspace->rate_per_s;
  pool->burst = workspace->burst;
  allowance_limit_set (&pool->limit, &allowances->options.bounds,
                       pool->rate_per_s, pool->burst);
  return pool;
}

void
allowances_free_pools (struct allowances *allowances)
{
  struct pool *pool, *next;
  struct removed_host *removed, *next_removed;
  HASH_ITER (hh, allowances->pools, pool, next)
  free_pool (pool);
  DL_FOREACH_SAFE (allowances->removed, removed, next_removed)
  {
    DL_DELETE (allowances->removed, removed);
    free (removed);
  }
  kernel_timer_cancel (allowances->base.kernel, &allowances->prune);
}
