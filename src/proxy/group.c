#include "proxy/group.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "kernel/mem.h"

struct member_instance
{
  struct group *group;
  struct backend *backend;
  clk_ms behind_ms; /* when it last refused a position */
  clk_ms gone_ms;   /* when its entry was found gone; CLK_NEVER */
};

struct group
{
  struct groups *groups;
  struct group_settings settings;
  struct samples samples;
  size_t count;
  struct member_instance *instances[GROUP_INSTANCES];
  struct backend *leader;
  clk_ms leaderless_ms;
  clk_ms used_ms;
  struct group_waiter *waiters;
  UT_hash_handle hh;
};

struct groups
{
  struct module base;
  struct groups_options options;
  char zone[NAME_BYTES];
  struct catalog *catalog;
  struct group *table;
  size_t hosts;
  bool watch;
  bool cut_off;
  struct ktimer tick;
};

static clk_ms
now_ms (const struct group *group)
{
  return kernel_now (group->groups->base.kernel);
}

void
group_await (struct group *group, struct group_waiter *waiter)
{
  if (waiter->group != NULL)
    return;
  waiter->group = group;
  DL_APPEND (group->waiters, waiter);
}

void
group_cancel (struct group_waiter *waiter)
{
  if (waiter->group == NULL)
    return;
  DL_DELETE (waiter->group->waiters, waiter);
  waiter->group = NULL;
}

static void
wake_waiters (struct group *group)
{
  while (group->waiters != NULL)
    {
      struct group_waiter *waiter = group->waiters;
      group_cancel (waiter);
      waiter->wake (waiter);
    }
}

static void
tick_soon (struct groups *groups)
{
  kernel_timer_set (groups->base.kernel, &groups->tick,
                    kernel_now (groups->base.kernel));
}

static void
set_leader (struct group *group, struct backend *leader, const char *why)
{
  struct backend *before = group->leader;
  if (before == leader)
    return;
  group->leader = leader;
  if (leader == NULL)
    group->leaderless_ms = now_ms (group);
  log_event (
      kernel_log (group->groups->base.kernel), LOG_NOTICE, "primary",
      LOG_S ("group", group->settings.name),
      LOG_S ("instance", leader ? backend_entry (leader)->id : NULL),
      LOG_S ("before", before ? backend_entry (before)->id : NULL),
      LOG_S ("why", why),
      LOG_I ("leaderless_ms", leader != NULL && before == NULL
                                  ? now_ms (group) - group->leaderless_ms
                                  : 0));
  if (leader == NULL)
    tick_soon (group->groups);
}

void
group_proven (struct group *group, struct backend *backend,
              struct position position, clk_ms asked_ms)
{
  /* A late proof of an earlier term does not replace a newer one.  */
  if (position.term < samples_newest (&group->samples).term)
    return;
  set_leader (group, backend, "proven");
  samples_note (&group->samples, position, asked_ms);
  wake_waiters (group);
}

void
group_refuted (struct group *group, struct backend *backend)
{
  if (group->leader == backend)
    set_leader (group, NULL, "refused");
}

void
group_behind (struct group *group, struct backend *backend)
{
  for (size_t i = 0; i < group->count; i++)
    if (group->instances[i]->backend == backend)
      group->instances[i]->behind_ms = now_ms (group);
}

static void
on_proven (void *arg, struct backend *backend, struct position position,
           clk_ms asked_ms)
{
  struct member_instance *instance = arg;
  group_proven (instance->group, backend, position, asked_ms);
}

static void
on_refuted (void *arg, struct backend *backend)
{
  struct member_instance *instance = arg;
  group_refuted (instance->group, backend);
}

static void
on_changed (void *arg, struct backend *backend)
{
  struct member_instance *instance = arg;
  (void)backend;
  wake_waiters (instance->group);
}

/* Connections of an instance that this host may open.  */
static uint32_t
fair_share (const struct group *group)
{
  size_t hosts = group->groups->hosts;
  size_t limit = group->settings.connections;
  if (hosts == 0)
    return GROUP_SHARE_FIRST;
  size_t share = limit > BACKEND_RESERVED_CONNECTIONS
                     ? (limit - BACKEND_RESERVED_CONNECTIONS) / hosts
                     : 0;
  if (share > GROUP_SHARE_LIMIT)
    share = GROUP_SHARE_LIMIT;
  return share > 0 ? (uint32_t)share : 1;
}

static struct member_instance *
find_instance (struct group *group, const char *id)
{
  for (size_t i = 0; i < group->count; i++)
    if (strcmp (backend_entry (group->instances[i]->backend)->id, id) == 0)
      return group->instances[i];
  return NULL;
}

static void
add_instance (struct group *group, const struct instance_entry *entry)
{
  struct backend_options options = { .kernel = group->groups->base.kernel,
                                     .port = group->groups->options.port,
                                     .entry = entry,
                                     .changed = on_changed,
                                     .proven = on_proven,
                                     .refuted = on_refuted };
  if (group->count == GROUP_INSTANCES)
    {
      log_event (kernel_log (options.kernel), LOG_WARNING, "instance_ignored",
                 LOG_S ("instance", entry->id),
                 LOG_S ("why", "too many in its group"));
      return;
    }
  struct member_instance *instance = mem_zalloc (sizeof *instance);
  instance->group = group;
  instance->behind_ms = CLK_LONG_AGO;
  instance->gone_ms = CLK_NEVER;
  options.arg = instance;
  instance->backend = backend_new (&options);
  backend_set_share (instance->backend, fair_share (group));
  group->instances[group->count++] = instance;
  backend_warm (instance->backend);
}

static void
remove_instance (struct group *group, struct member_instance *instance)
{
  size_t i = 0;
  while (group->instances[i] != instance)
    i++;
  group->instances[i] = group->instances[--group->count];
  if (group->leader == instance->backend)
    set_leader (group, NULL, "gone");
  backend_free (instance->backend);
  free (instance);
}

static struct group *
ensure_group (struct groups *groups, const char *name)
{
  struct group *group = groups_find (groups, name);
  if (group != NULL)
    return group;
  group = mem_zalloc (sizeof *group);
  group->groups = groups;
  memcpy (group->settings.name, name, strlen (name) + 1);
  group->settings.connections = 1;
  group->leaderless_ms = kernel_now (groups->base.kernel);
  HASH_ADD_STR (groups->table, settings.name, group);
  return group;
}

static void
update_shares (struct groups *groups)
{
  struct group *group, *next;
  HASH_ITER (hh, groups->table, group, next)
  for (size_t i = 0; i < group->count; i++)
    backend_set_share (group->instances[i]->backend, fair_share (group));
}

static void
on_config (void *arg)
{
  struct groups *groups = arg;
  const struct catalog_config *config = catalog_config (groups->catalog);
  for (size_t i = 0; i < config->group_count; i++)
    ensure_group (groups, config->groups[i].name)->settings
        = config->groups[i];
  update_shares (groups);
}

/* Removes instance ID from every group but EXCEPT.  */
static void
forget_instance (struct groups *groups, const char *id,
                 const struct group *except)
{
  struct group *group, *next;
  HASH_ITER (hh, groups->table, group, next)
  {
    struct member_instance *instance = find_instance (group, id);
    if (instance != NULL && group != except)
      remove_instance (group, instance);
  }
}

static void
on_instance (void *arg, const struct instance_entry *entry)
{
  struct groups *groups = arg;
  struct group *group = ensure_group (groups, entry->group);
  forget_instance (groups, entry->id, group);
  struct member_instance *instance = find_instance (group, entry->id);
  if (instance == NULL)
    add_instance (group, entry);
  else
    {
      instance->gone_ms = CLK_NEVER;
      backend_set_entry (instance->backend, entry);
    }
  instance = find_instance (group, entry->id);
  if (instance == NULL || !entry->is_primary)
    return;
  if (group->leader == NULL)
    set_leader (group, instance->backend, "entry");
  else if (group->leader != instance->backend)
    backend_probe (instance->backend);
  wake_waiters (group);
}

/* Treats an instance whose entry is gone as one that leaves; a primary is
   handed over if it can still be reached.  */
static void
on_gone (void *arg, const char *id)
{
  struct groups *groups = arg;
  struct group *group, *next;
  HASH_ITER (hh, groups->table, group, next)
  {
    struct member_instance *instance = find_instance (group, id);
    if (instance == NULL)
      continue;
    struct instance_entry entry = *backend_entry (instance->backend);
    entry.draining = true;
    backend_set_entry (instance->backend, &entry);
    instance->gone_ms = now_ms (group);
  }
}

static void
drop_gone (struct group *group)
{
  for (size_t i = group->count; i-- > 0;)
    {
      struct member_instance *instance = group->instances[i];
      if (instance->gone_ms != CLK_NEVER
          && (instance->backend != group->leader
              || now_ms (group) - instance->gone_ms >= GROUP_GONE_MS))
        remove_instance (group, instance);
    }
}

void
group_doubt_leader (struct group *group)
{
  if (group->leader != NULL
      && now_ms (group) - backend_heard_ms (group->leader) >= GROUP_WATCH_MS)
    backend_probe (group->leader);
}

/* Looks for the instance that leads, or after the one that does.  */
static void
tend_leader (struct group *group)
{
  struct groups *groups = group->groups;
  clk_ms age_ms = now_ms (group) - samples_newest_ms (&group->samples);
  clk_ms limit_ms = groups->watch ? GROUP_WATCH_MS : GROUP_SAMPLE_MS;
  bool in_use = now_ms (group) - group->used_ms < GROUP_IN_USE_MS;
  if (group->leader == NULL || !backend_usable (group->leader))
    {
      for (size_t i = 0; i < group->count; i++)
        backend_probe (group->instances[i]->backend);
      return;
    }
  if ((in_use || groups->watch) && age_ms >= limit_ms)
    backend_probe (group->leader);
}

/* Asks the instances that were silent for too long.  */
static void
check_instances (struct group *group)
{
  for (size_t i = 0; i < group->count; i++)
    {
      struct backend *backend = group->instances[i]->backend;
      backend_check (backend);
      if (now_ms (group) - backend_heard_ms (backend) >= GROUP_IDLE_MS)
        backend_probe (backend);
    }
}

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
static void
check_domains (struct groups *groups)
{
  struct other_domain domains[GROUP_DOMAINS];
  struct backend *doubted[GROUP_INSTANCES];
  struct group *group, *next;
  size_t count = 0, lost = 0, unusable = 0, doubtful = 0;
  HASH_ITER (hh, groups->table, group, next)
  for (size_t i = 0; i < group->count; i++)
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
          && now_ms (group) - backend_heard_ms (backend) >= GROUP_DOUBT_MS)
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

static void
on_tick (void *arg)
{
  struct groups *groups = arg;
  struct kernel *kernel = groups->base.kernel;
  struct group *group, *next;
  clk_ms span_ms = GROUP_TICK_MS;
  HASH_ITER (hh, groups->table, group, next)
  {
    drop_gone (group);
    check_instances (group);
    tend_leader (group);
    if (group->leader == NULL && group->count > 0)
      span_ms = GROUP_SEARCH_MS;
  }
  check_domains (groups);
  kernel_timer_set (kernel, &groups->tick, kernel_now (kernel) + span_ms);
}

struct group *
groups_find (struct groups *groups, const char *name)
{
  struct group *group;
  HASH_FIND_STR (groups->table, name, group);
  return group;
}

void
groups_each (struct groups *groups,
             void (*fn) (void *arg, struct group *group), void *arg)
{
  struct group *group, *next;
  HASH_ITER (hh, groups->table, group, next)
  fn (arg, group);
}

void
groups_set_hosts (struct groups *groups, size_t hosts)
{
  if (hosts == groups->hosts)
    return;
  groups->hosts = hosts;
  update_shares (groups);
}

void
groups_set_watch (struct groups *groups, bool watch)
{
  groups->watch = watch;
}

bool
groups_cut_off (const struct groups *groups)
{
  return groups->cut_off;
}

bool
groups_ready (struct groups *groups)
{
  const struct catalog_config *config = catalog_config (groups->catalog);
  if (config->version == 0)
    return false;
  for (size_t i = 0; i < config->route_count; i++)
    {
      struct group *group = groups_find (groups, config->routes[i].group);
      bool reached = false;
      for (size_t k = 0; group != NULL && k < group->count; k++)
        reached |= backend_open_connections (group->instances[k]->backend) > 0;
      if (!reached)
        return false;
    }
  return true;
}

const char *
group_name (const struct group *group)
{
  return group->settings.name;
}

const struct group_settings *
group_settings (const struct group *group)
{
  return &group->settings;
}

const struct samples *
group_samples (const struct group *group)
{
  return &group->samples;
}

struct backend *
group_leader (struct group *group)
{
  return group->leader;
}

clk_ms
group_leaderless_since_ms (const struct group *group)
{
  return group->leader == NULL ? group->leaderless_ms : CLK_NEVER;
}

size_t
group_instances (struct group *group, struct backend *out[GROUP_INSTANCES])
{
  for (size_t i = 0; i < group->count; i++)
    out[i] = group->instances[i]->backend;
  return group->count;
}

void
group_sample (struct group *group)
{
  group->used_ms = now_ms (group);
  if (group->leader != NULL)
    backend_probe (group->leader);
}

static bool
was_tried (const struct backend *backend, const char tried[][NAME_BYTES],
           size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (tried[i], backend_entry (backend)->id) == 0)
      return true;
  return false;
}

/* Expected time of a read on INSTANCE, with what it costs others.  */
static double
read_cost (const struct group *group, const struct member_instance *instance,
           struct position floor)
{
  const struct backend *backend = instance->backend;
  const struct instance_entry *entry = backend_entry (backend);
  uint32_t slots = entry->slots > 0 ? entry->slots : 1;
  double typical_ms = backend_typical_ms (backend) + 1.0;
  double cost = typical_ms * (1.0 + (double)backend_busy (backend) / slots);
  cost += GROUP_REFUSAL_COST_MS * backend_refusal_share (backend);
  if (strcmp (entry->zone, group->groups->zone) != 0)
    cost += GROUP_DOMAIN_COST_MS;
  if (backend == group->leader)
    cost += GROUP_PRIMARY_COST_MS;
  else if (position_compare (backend_position (backend), floor) < 0)
    cost += GROUP_BEHIND_COST_MS;
  if (backend_idle (backend) == 0)
    cost += GROUP_CONNECT_COST_MS * (1 + backend_waiting (backend));
  return cost;
}

/* Whether INSTANCE is known to lack FLOOR.  */
static bool
lacks (const struct group *group, const struct member_instance *instance,
       struct position floor)
{
  return now_ms (group) - instance->behind_ms < GROUP_BEHIND_MS
         && position_compare (backend_position (instance->backend), floor) < 0;
}

struct backend *
group_pick (struct group *group, struct position floor,
            const char tried[][NAME_BYTES], size_t tried_count)
{
  struct rng *rng = kernel_rng (group->groups->base.kernel);
  struct backend *best = NULL;
  double best_cost = 0;
  group->used_ms = now_ms (group);
  for (size_t i = 0; i < group->count; i++)
    {
      struct member_instance *instance = group->instances[i];
      struct backend *backend = instance->backend;
      if (!backend_usable (backend) || was_tried (backend, tried, tried_count)
          || lacks (group, instance, floor))
        continue;
      if (backend_entry (backend)->draining && backend != group->leader)
        continue;
      /* Hosts that know the same must not all choose the same.  */
      double cost
          = read_cost (group, instance, floor) * (0.9 + 0.2 * rng_unit (rng));
      if (best == NULL || cost < best_cost)
        {
          best = backend;
          best_cost = cost;
        }
    }
  return best;
}

static void
groups_start (struct module *module)
{
  struct groups *groups = (struct groups *)module;
  groups->catalog = (struct catalog *)kernel_find (module->kernel, "catalog");
  catalog_watch (groups->catalog,
                 &(struct catalog_watch){ .config = on_config,
                                          .instance = on_instance,
                                          .gone = on_gone,
                                          .arg = groups });
  groups->tick.fire = on_tick;
  groups->tick.arg = groups;
  tick_soon (groups);
}

static void
group_free (struct group *group)
{
  while (group->count > 0)
    remove_instance (group, group->instances[0]);
  free (group);
}

static void
groups_free (struct module *module)
{
  struct groups *groups = (struct groups *)module;
  struct group *group, *next;
  HASH_ITER (hh, groups->table, group, next)
  {
    HASH_DEL (groups->table, group);
    group_free (group);
  }
  kernel_timer_cancel (module->kernel, &groups->tick);
  free (groups);
}

static const struct module_ops groups_ops
    = { .start = groups_start, .free = groups_free };

struct groups *
groups_new (const struct groups_options *options)
{
  struct groups *groups = mem_zalloc (sizeof *groups);
  groups->base.ops = &groups_ops;
  groups->base.name = "groups";
  groups->options = *options;
  strncpy (groups->zone, options->zone, sizeof groups->zone - 1);
  return groups;
}

struct module *
groups_module (struct groups *groups)
{
  return &groups->base;
}
