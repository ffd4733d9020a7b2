#include "proxy/group_impl.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"
#include "kernel/text.h"

void
group_subscribe (struct group *group, struct group_subscriber *subscriber)
{
  if (subscriber->group != NULL)
    return;
  subscriber->group = group;
  DL_APPEND (group->subscribers, subscriber);
}

void
group_unsubscribe (struct group_subscriber *subscriber)
{
  if (subscriber->group == NULL)
    return;
  DL_DELETE (subscriber->group->subscribers, subscriber);
  subscriber->group = NULL;
}

void
group_notify (struct group *group)
{
  while (group->subscribers != NULL)
    {
      struct group_subscriber *subscriber = group->subscribers;
      group_unsubscribe (subscriber);
      subscriber->wake (subscriber);
    }
}

void
groups_notify_all (struct groups *groups)
{
  struct group *group, *next;
  HASH_ITER (hh, groups->table, group, next) { group_notify (group); }
}

enum permits_lack
group_lack (const struct group *group, const struct backend *backend)
{
  return permits_lack (group->groups->permits, group->settings.name,
                       backend_entry (backend)->id);
}

bool
group_commit_covered (const struct group *group, const struct backend *backend)
{
  return permits_covered (group->groups->permits, group->settings.name,
                          backend_entry (backend)->id, group_now (group));
}

bool
groups_lapsed (const struct groups *groups)
{
  const struct permits *permits = groups->permits;
  clk_ms end_ms = permits_end_ms (permits);
  return !permits_fenced (permits) && end_ms != CLK_LONG_AGO
         && kernel_now (groups->base.kernel) - end_ms >= GROUP_LAPSE_MS;
}

static void
check_now (struct groups *groups)
{
  kernel_timer_set (groups->base.kernel, &groups->tick,
                    kernel_now (groups->base.kernel));
}

void
group_set_leader (struct group *group, struct backend *leader, const char *why)
{
  struct backend *before = group->leader;
  if (before == leader)
    return;
  group->leader = leader;
  group->proven = false;
  if (leader == NULL)
    group->leaderless_ms = group_now (group);
  log_event (
      kernel_log (group->groups->base.kernel), LOG_NOTICE, "primary",
      LOG_S ("group", group->settings.name),
      LOG_S ("instance", leader ? backend_entry (leader)->id : NULL),
      LOG_S ("before", before ? backend_entry (before)->id : NULL),
      LOG_S ("why", why),
      LOG_I ("leaderless_ms", leader != NULL && before == NULL
                                  ? group_now (group) - group->leaderless_ms
                                  : 0));
  if (leader == NULL)
    check_now (group->groups);
}

void
group_mark_behind (struct group *group, struct backend *backend)
{
  for (size_t i = 0; i < group->count; i++)
    if (group->instances[i]->backend == backend)
      group->instances[i]->behind_ms = group_now (group);
}

static void
on_leader_confirmed (void *arg, struct backend *backend,
                     struct position position, clk_ms sent_ms)
{
  struct member_instance *instance = arg;
  if (!group_confirm_leader (instance->group, backend, position, sent_ms))
    group_query_log (instance->group, backend, sent_ms);
}

static void
on_leader_rejected (void *arg, struct backend *backend)
{
  struct member_instance *instance = arg;
  group_reject_leader (instance->group, backend);
}

static void
on_changed (void *arg, struct backend *backend)
{
  struct member_instance *instance = arg;
  (void)backend;
  group_notify (instance->group);
}

static const struct placed_group *
placement_of (const struct group *group)
{
  return placement_find (group->groups->placement, group->settings.name);
}

/* Returns the number of connections that this host may open to an instance
   of GROUP.  The host that monitors the primaries needs one to each
   instance.  */
static uint32_t
connection_share (const struct group *group, const struct placed_group *placed)
{
  const struct groups *groups = group->groups;
  size_t hosts = placed->count + 1;
  size_t limit = group->settings.connections;
  if (!groups->hosts_known)
    return 0;
  if (!placed->served_here)
    return groups->monitor ? 1 : 0;
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
  struct distance *distance = group->groups->distance;
  struct backend_options options
      = { .kernel = group->groups->base.kernel,
          .meter
          = distance_meter (distance, distance_to (distance, entry->zone)),
          .port = group->groups->options.port,
          .entry = entry,
          .changed = on_changed,
          .leader_confirmed = on_leader_confirmed,
          .leader_rejected = on_leader_rejected };
  if (group->count == GROUP_INSTANCES)
    {
      log_event (kernel_log (options.kernel), LOG_WARNING, "instance_ignored",
                 LOG_S ("instance", entry->id),
                 LOG_S ("why", "its group has too many instances"));
      if (!group->crowded)
        group->next_try_ms = group_now (group) + GROUP_TRIAL_MS;
      group->crowded = true;
      return;
    }
  struct member_instance *instance = mem_zalloc (sizeof *instance);
  instance->group = group;
  instance->behind_ms = CLK_LONG_AGO;
  instance->removed_ms = CLK_NEVER;
  options.arg = instance;
  instance->backend = backend_new (&options);
  backend_set_share (instance->backend,
                     connection_share (group, placement_of (group)));
  group->instances[group->count++] = instance;
  backend_fill_pool (instance->backend);
}

static void
remove_instance (struct group *group, struct member_instance *instance)
{
  size_t i = 0;
  while (group->instances[i] != instance)
    i++;
  group->instances[i] = group->instances[--group->count];
  if (group->leader == instance->backend)
    group_set_leader (group, NULL, "gone");
  group_forget_log (group, instance->backend);
  backend_free (instance->backend);
  free (instance);
}

bool
group_may_lead (const struct group *group, const struct backend *backend)
{
  const char *primary
      = permits_primary (group->groups->permits, group->settings.name);
  return primary == NULL || strcmp (primary, backend_entry (backend)->id) == 0;
}

/* Takes over the primary that the holder of the promotion duty has made
   known.  */
static void
follow_permits (struct group *group)
{
  const char *primary
      = permits_primary (group->groups->permits, group->settings.name);
  if (primary == NULL)
    return;
  struct member_instance *instance = find_instance (group, primary);
  struct backend *leader = instance != NULL ? instance->backend : NULL;
  if (group->leader == leader)
    return;
  group_set_leader (group, leader, "announced");
  if (leader != NULL)
    backend_probe (leader);
}

void
groups_permits_changed (struct groups *groups)
{
  struct group *group, *next;
  HASH_ITER (hh, groups->table, group, next)
  {
    follow_permits (group);
    group_notify (group);
  }
}

bool
group_leader_proven (const struct group *group)
{
  return group->proven;
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
  group->served = group->connected = true;
  group->leaderless_ms = kernel_now (groups->base.kernel);
  HASH_ADD_STR (groups->table, settings.name, group);
  return group;
}

static void
update_share (struct group *group)
{
  const struct placed_group *placed = placement_of (group);
  uint32_t share = connection_share (group, placed);
  bool opens = share > 0 && !group->connected;
  group->served = placed->served_here;
  group->connected = share > 0;
  for (size_t i = 0; i < group->count; i++)
    {
      backend_set_share (group->instances[i]->backend, share);
      if (opens)
        backend_fill_pool (group->instances[i]->backend);
    }
}

static void
update_shares (struct groups *groups)
{
  struct group *group, *next;
  HASH_ITER (hh, groups->table, group, next) { update_share (group); }
}

/* Removes the instance ID from all groups except EXCEPT, which may be NULL.
 */
static void
remove_elsewhere (struct groups *groups, const char *id,
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

/* Uses the instance only if a configuration has named its group: any other
   entry is not of an instance.  */
static void
on_instance (void *arg, const struct instance_entry *entry)
{
  struct groups *groups = arg;
  struct group *group = groups_find (groups, entry->group);
  remove_elsewhere (groups, entry->id, group);
  if (group == NULL)
    {
      log_event (kernel_log (groups->base.kernel), LOG_NOTICE,
                 "instance_ignored", LOG_S ("instance", entry->id),
                 LOG_S ("group", entry->group),
                 LOG_S ("why", "no configuration names its group"));
      return;
    }
  struct member_instance *instance = find_instance (group, entry->id);
  if (instance == NULL)
    {
      /* A group without instances can't have a primary, so the time without
         one starts with the first instance.  */
      if (group->count == 0 && group->leader == NULL)
        group->leaderless_ms = group_now (group);
      add_instance (group, entry);
    }
  else
    {
      instance->removed_ms = CLK_NEVER;
      backend_set_entry (instance->backend, entry);
    }
  instance = find_instance (group, entry->id);
  follow_permits (group);
  if (instance == NULL || !entry->is_primary
      || !group_may_lead (group, instance->backend))
    return;
  if (group->leader == NULL || !group->connected)
    group_set_leader (group, instance->backend, "entry");
  else if (group->leader != instance->backend)
    backend_probe (instance->backend);
  group_notify (group);
}

/* A group that is new in the configuration.  */
struct group_adoption
{
  struct groups *groups;
  const char *name;
};

static void
adopt_instance (void *arg, const struct instance_entry *entry)
{
  const struct group_adoption *adoption = arg;
  if (strcmp (entry->group, adoption->name) == 0)
    on_instance (adoption->groups, entry);
}

/* Sets the target of reads: the shortest of the group's routes.  */
static void
set_target (struct group *group, const struct catalog_config *config)
{
  group->target_ms = 0;
  for (size_t i = 0; i < config->route_count; i++)
    {
      const struct route *route = &config->routes[i];
      if (route->kind != ROUTE_PRIMARY && route->target_ms > 0
          && strcmp (route->group, group->settings.name) == 0
          && (group->target_ms == 0 || route->target_ms < group->target_ms))
        group->target_ms = route->target_ms;
    }
}

static void
on_config (void *arg)
{
  struct groups *groups = arg;
  const struct catalog_config *config = catalog_config (groups->catalog);
  for (size_t i = 0; i < config->group_count; i++)
    {
      const struct group_settings *settings = &config->groups[i];
      struct group_adoption adoption = { groups, settings->name };
      bool is_new = groups_find (groups, settings->name) == NULL;
      ensure_group (groups, settings->name)->settings = *settings;
      set_target (groups_find (groups, settings->name), config);
      if (is_new)
        catalog_each_instance (groups->catalog, adopt_instance, &adoption);
    }
  update_shares (groups);
}

/* An instance whose entry was removed is draining, so a primary is handed over
   if it can still be reached.  */
static void
on_gone (void *arg, const struct instance_entry *entry)
{
  struct groups *groups = arg;
  struct group *group, *next;
  HASH_ITER (hh, groups->table, group, next)
  {
    struct member_instance *instance = find_instance (group, entry->id);
    if (instance == NULL)
      continue;
    backend_set_entry (instance->backend, entry);
    instance->removed_ms = group_now (group);
  }
}

/* The entry of a group that gets the next place.  */
struct place_search
{
  struct group *group;
  const struct instance_entry *next;  /* first one after the last tried */
  const struct instance_entry *first; /* in the order of their ids */
};

static void
consider_entry (void *arg, const struct instance_entry *entry)
{
  struct place_search *search = arg;
  struct group *group = search->group;
  if (strcmp (entry->group, group->settings.name) != 0
      || find_instance (group, entry->id) != NULL)
    return;
  if (search->first == NULL || strcmp (entry->id, search->first->id) < 0)
    search->first = entry;
  if (strcmp (entry->id, group->last_tried) > 0
      && (search->next == NULL || strcmp (entry->id, search->next->id) < 0))
    search->next = entry;
}

/* Returns whether INSTANCE keeps its place though other entries wait for
   one.  */
static bool
keeps_place (const struct member_instance *instance)
{
  return backend_has_answered (instance->backend)
         || instance->backend == instance->group->leader;
}

/* Gives the places of instances that have not answered in GROUP_TRIAL_MS to
   entries that wait for one.  */
static void
try_waiting_entries (struct group *group)
{
  struct groups *groups = group->groups;
  if (!group->crowded || group_now (group) < group->next_try_ms)
    return;
  group->next_try_ms = group_now (group) + GROUP_TRIAL_MS;
  for (size_t i = group->count; i-- > 0;)
    if (!keeps_place (group->instances[i]))
      remove_instance (group, group->instances[i]);
  while (group->count < GROUP_INSTANCES)
    {
      struct place_search search = { .group = group };
      catalog_each_instance (groups->catalog, consider_entry, &search);
      const struct instance_entry *entry
          = search.next != NULL ? search.next : search.first;
      if (entry == NULL)
        {
          group->crowded = false;
          return;
        }
      text_copy (group->last_tried, sizeof group->last_tried, entry->id);
      on_instance (groups, entry);
    }
}

static void
drop_removed (struct group *group)
{
  for (size_t i = group->count; i-- > 0;)
    {
      struct member_instance *instance = group->instances[i];
      if (instance->removed_ms != CLK_NEVER
          && (instance->backend != group->leader
              || group_now (group) - instance->removed_ms
                     >= GROUP_REMOVED_PRIMARY_MS))
        remove_instance (group, instance);
    }
}

void
group_check_leader (struct group *group)
{
  if (group->leader != NULL
      && group_now (group) - backend_last_answer_ms (group->leader)
             >= GROUP_MONITOR_MS)
    backend_probe (group->leader);
}

/* Probes the primary if it is monitored or in use.  Without a reachable
   primary, probes all instances to find one.  */
static void
probe_leader (struct group *group)
{
  struct groups *groups = group->groups;
  bool in_use = group_now (group) - group->used_ms < GROUP_IN_USE_MS;
  if (group->leader == NULL || !backend_usable (group->leader))
    {
      for (size_t i = 0; i < group->count; i++)
        backend_probe (group->instances[i]->backend);
      return;
    }
  if (in_use || groups->monitor)
    group_keep_lead (group);
}

/* Probes the instances that have not answered for too long.  */
static void
check_instances (struct group *group)
{
  for (size_t i = 0; i < group->count; i++)
    {
      struct backend *backend = group->instances[i]->backend;
      backend_check (backend);
      if (group_now (group) - backend_last_answer_ms (backend)
          >= GROUP_IDLE_PROBE_MS)
        backend_probe (backend);
    }
}

static void
on_tick (void *arg)
{
  struct groups *groups = arg;
  struct kernel *kernel = groups->base.kernel;
  struct group *group, *next;
  clk_ms interval_ms = GROUP_TICK_MS;
  HASH_ITER (hh, groups->table, group, next)
  {
    update_share (group);
    drop_removed (group);
    if (!group->connected)
      continue;
    try_waiting_entries (group);
    check_instances (group);
    probe_leader (group);
    if (group->leader == NULL && group->count > 0)
      interval_ms = GROUP_SEARCH_TICK_MS;
  }
  groups_check_domains (groups);
  kernel_timer_set (kernel, &groups->tick, kernel_now (kernel) + interval_ms);
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
groups_hosts_changed (struct groups *groups)
{
  groups->hosts_known = true;
  update_shares (groups);
}

bool
groups_serves (struct groups *groups, const char *name)
{
  struct group *group = groups_find (groups, name);
  return group == NULL || group->served;
}

void
groups_set_monitoring (struct groups *groups, bool monitor)
{
  groups->monitor = monitor;
  update_shares (groups);
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
      bool reached = group != NULL && !group->served;
      for (size_t k = 0; group != NULL && k < group->count; k++)
        reached |= backend_open_connections (group->instances[k]->backend) > 0;
      if (!reached)
        return false;
    }
  return true;
}

bool
group_connected (const struct group *group)
{
  return group->connected;
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

struct admission *
group_admission (struct group *group, bool primary)
{
  return primary ? &group->for_primary : &group->for_any;
}

bool
group_parse_status (const struct group *group, struct instance_status *status,
                    const struct answer *answer)
{
  return group->groups->options.parse_status (status, answer);
}

bool
group_takes_work (const struct group *group, const struct backend *backend)
{
  const struct instance_entry *entry = backend_entry (backend);
  clk_ms span_ms = group->groups->options.drain_ms - GROUP_DRAIN_MARGIN_MS;
  return !entry->draining || MUTANT (serve_while_leaving)
         || group_now (group) - entry->leaving_since_ms < span_ms;
}

size_t
group_instances (struct group *group, struct backend *out[GROUP_INSTANCES])
{
  for (size_t i = 0; i < group->count; i++)
    out[i] = group->instances[i]->backend;
  return group->count;
}

void
group_note_use (struct group *group)
{
  group->used_ms = group_now (group);
}

void
group_request_sample (struct group *group)
{
  group_note_use (group);
  if (group->leader != NULL)
    backend_probe (group->leader);
}

static void
groups_start (struct module *module)
{
  struct groups *groups = (struct groups *)module;
  groups->catalog = (struct catalog *)kernel_find (module->kernel, "catalog");
  groups->placement
      = (struct placement *)kernel_find (module->kernel, "placement");
  groups->permits = (struct permits *)kernel_find (module->kernel, "permits");
  groups->distance
      = (struct distance *)kernel_find (module->kernel, "distance");
  catalog_watch (groups->catalog,
                 &(struct catalog_watch){ .config = on_config,
                                          .instance = on_instance,
                                          .gone = on_gone,
                                          .arg = groups });
  groups->tick.fire = on_tick;
  groups->tick.arg = groups;
  check_now (groups);
}

static void
group_free (struct group *group)
{
  group_forget_log (group, group->queried);
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
