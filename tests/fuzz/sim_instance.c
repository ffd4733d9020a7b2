#include "sim_instance.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "kernel/mem.h"
#include "sim_internal.h"

struct sim_world *
sim_world_new (struct kernel *kernel)
{
  struct sim_world *world = mem_zalloc (sizeof *world);
  world->kernel = kernel;
  world->remote_ms = 1;
  return world;
}

void
sim_world_set_delay (struct sim_world *world, clk_ms local_ms,
                     clk_ms remote_ms)
{
  world->local_ms = local_ms;
  world->remote_ms = remote_ms;
}

static struct sim_cut *
find_cut (const struct sim_world *world, const char *a, const char *b)
{
  struct sim_cut *cut;
  LL_FOREACH (world->cuts, cut)
  {
    if ((strcmp (cut->a, a) == 0 && strcmp (cut->b, b) == 0)
        || (strcmp (cut->a, b) == 0 && strcmp (cut->b, a) == 0))
      return cut;
  }
  return NULL;
}

void
sim_world_cut (struct sim_world *world, const char *a, const char *b, bool cut)
{
  struct sim_cut *found = find_cut (world, a, b);
  if (cut == (found != NULL))
    return;
  if (found != NULL)
    {
      LL_DELETE (world->cuts, found);
      free (found);
      struct sim_group *group;
      LL_FOREACH (world->groups, group) { sim_group_wake (group); }
      return;
    }
  found = mem_zalloc (sizeof *found);
  strncpy (found->a, a, sizeof found->a - 1);
  strncpy (found->b, b, sizeof found->b - 1);
  LL_PREPEND (world->cuts, found);
}

bool
sim_world_reachable (const struct sim_world *world, const char *a,
                     const char *b)
{
  return find_cut (world, a, b) == NULL;
}

struct sim_instance *
sim_world_find (struct sim_world *world, const char *address, uint16_t port)
{
  struct sim_group *group;
  struct sim_instance *instance;
  LL_FOREACH (world->groups, group)
  {
    LL_FOREACH (group->instances, instance)
    {
      if (instance->options.port == port
          && strcmp (instance->address, address) == 0)
        return instance;
    }
  }
  return NULL;
}

static bool
stream_up (const struct sim_instance *r)
{
  const struct sim_instance *u = r->upstream;
  if (u == NULL || !u->primary || u->dead || r->dead || u->frozen || r->frozen)
    return false;
  if (u->isolated || r->isolated || u->term < r->sealed_term)
    return false;
  return sim_world_reachable (r->group->world, u->domain, r->domain);
}

static void
join_stream (struct sim_instance *r)
{
  size_t common = sim_log_common (&r->log, &r->upstream->log);
  r->log.count = common;
  if (r->replayed > common)
    r->replayed = common;
  r->acked = 0;
  r->term = r->upstream->term;
  r->linked = true;
}

static void
receive (struct sim_instance *r, clk_ms now_ms)
{
  struct sim_instance *u = r->upstream;
  clk_ms delay_ms = world_delay (r->group->world, u->domain, r->domain);
  if (!r->linked || r->term != u->term)
    join_stream (r);
  r->linked_at_ms = now_ms;
  if (r->acked > u->confirmed)
    u->confirmed = r->acked;
  r->acked = r->log.count;
  while (r->log.count < u->log.count
         && u->log.entries[r->log.count]->at_ms + delay_ms <= now_ms)
    sim_log_append (&r->log, u->log.entries[r->log.count]);
}

static void
replay (struct sim_instance *r, clk_ms now_ms)
{
  clk_ms lag_ms = r->options.lag_ms;
  while (r->replayed < r->log.count
         && r->log.entries[r->replayed]->at_ms + lag_ms <= now_ms)
    r->replayed++;
}

static bool
caught_up (const struct sim_instance *r)
{
  if (r->primary || r->upstream == NULL)
    return true;
  return r->linked && r->replayed == r->upstream->log.count
         && r->upstream->confirmed >= r->log.count;
}

static void
group_tick (void *arg)
{
  struct sim_group *group = arg;
  struct sim_instance *r;
  clk_ms now_ms = kernel_now (group->world->kernel);
  bool more = false;
  LL_FOREACH (group->instances, r)
  {
    if (r->primary || r->dead || r->frozen)
      continue;
    if (stream_up (r))
      receive (r, now_ms);
    else
      r->linked = false;
    replay (r, now_ms);
    more = more || !caught_up (r);
  }
  if (more)
    kernel_timer_set (group->world->kernel, &group->tick,
                      now_ms + SIM_TICK_MS);
}

void
sim_group_wake (struct sim_group *group)
{
  if (group->tick.slot == 0)
    kernel_timer_set (group->world->kernel, &group->tick,
                      kernel_now (group->world->kernel));
}

struct sim_group *
sim_group_new (struct sim_world *world)
{
  struct sim_group *group = mem_zalloc (sizeof *group);
  group->world = world;
  group->tick.fire = group_tick;
  group->tick.arg = group;
  LL_APPEND (world->groups, group);
  return group;
}

struct sim_instance *
sim_instance_new (struct sim_group *group,
                  const struct sim_instance_options *options)
{
  struct sim_instance *instance = mem_zalloc (sizeof *instance);
  instance->group = group;
  instance->options = *options;
  strncpy (instance->address, options->address, sizeof instance->address - 1);
  strncpy (instance->domain, options->domain, sizeof instance->domain - 1);
  instance->term = 1;
  instance->slow = 1;
  instance->primary = group->instances == NULL;
  instance->upstream = group->instances;
  instance->linked = true;
  LL_APPEND (group->instances, instance);
  return instance;
}

struct db_report
sim_instance_report (struct sim_instance *instance)
{
  bool behind = instance->replayed < instance->log.count;
  clk_ms now_ms = kernel_now (instance->group->world->kernel);
  struct db_report report = {
    .term = instance->term,
    .primary = instance->primary && !instance->fenced,
    .sealed_term = instance->sealed_term,
    .receiving = !instance->primary && stream_up (instance),
    .received_lsn = instance->log.count,
    .replayed_lsn = instance->replayed,
    .confirmed_lsn = instance->confirmed,
  };
  if (instance->primary)
    return report;
  if (behind)
    report.lag_ms = now_ms - instance->log.entries[instance->replayed]->at_ms;
  if (!report.receiving && now_ms - instance->linked_at_ms > report.lag_ms)
    report.lag_ms = now_ms - instance->linked_at_ms;
  return report;
}

static void instance_pump (struct sim_instance *instance);

static void
job_finish (void *arg)
{
  struct sim_job *job = arg;
  struct sim_instance *instance = job->instance;
  if (job->epoch != instance->epoch)
    {
      sim_job_break (job, 0);
      return;
    }
  if (instance->frozen)
    {
      world_after (instance->group->world, SIM_THAW_CHECK_MS, job_finish, job);
      return;
    }
  if (job->has_slot)
    instance->running--;
  job->status = DB_OK;
  job->executed = true;
  sim_job_execute (job);
  job->report = sim_instance_report (instance);
  instance->served += sim_job_needs_slot (job);
  sim_job_answer (job);
  instance_pump (instance);
}

static void
job_begin (struct sim_job *job)
{
  struct sim_instance *instance = job->instance;
  clk_ms cost_ms = 0;
  if (!sim_job_begin (job, &cost_ms))
    {
      job->report = sim_instance_report (instance);
      sim_job_answer (job);
      return;
    }
  job->has_slot = sim_job_needs_slot (job);
  if (job->has_slot && ++instance->running > instance->running_peak)
    instance->running_peak = instance->running;
  world_after (instance->group->world, cost_ms, job_finish, job);
}

static void
instance_pump (struct sim_instance *instance)
{
  while (!instance->frozen && instance->running < instance->options.slots
         && instance->fifo_head != NULL)
    {
      struct sim_job *job = instance->fifo_head;
      instance->fifo_head = job->fifo_next;
      if (instance->fifo_head == NULL)
        instance->fifo_tail = NULL;
      job_begin (job);
    }
}

void
sim_instance_take (struct sim_instance *instance, struct sim_job *job)
{
  job->epoch = instance->epoch;
  if (!sim_job_needs_slot (job))
    {
      job_begin (job);
      return;
    }
  if (instance->fifo_tail != NULL)
    instance->fifo_tail->fifo_next = job;
  else
    instance->fifo_head = job;
  instance->fifo_tail = job;
  instance_pump (instance);
}

void
sim_instance_isolate (struct sim_instance *instance, bool isolated)
{
  instance->isolated = isolated;
  sim_group_wake (instance->group);
}

void
sim_instance_freeze (struct sim_instance *instance, bool frozen)
{
  instance->frozen = frozen;
  sim_group_wake (instance->group);
  instance_pump (instance);
}

void
sim_instance_kill (struct sim_instance *instance)
{
  sim_conns_break (instance);
  instance->dead = true;
  instance->epoch++;
  instance->open = 0;
  instance->running = 0;
  while (instance->fifo_head != NULL)
    {
      struct sim_job *job = instance->fifo_head;
      instance->fifo_head = job->fifo_next;
      sim_job_break (job, 0);
    }
  instance->fifo_tail = NULL;
}

void
sim_instance_restart (struct sim_instance *instance)
{
  instance->dead = false;
  instance->linked = false;
  sim_group_wake (instance->group);
}

void
sim_instance_set_slowdown (struct sim_instance *instance, uint32_t factor)
{
  instance->slow = factor;
}

void
sim_instance_set_lag (struct sim_instance *instance, clk_ms lag_ms)
{
  instance->options.lag_ms = lag_ms;
  sim_group_wake (instance->group);
}

void
sim_instance_lose_answers (struct sim_instance *instance, uint32_t count)
{
  instance->lose = count;
}

uint64_t
sim_group_promote (struct sim_group *group, struct sim_instance *to,
                   uint64_t term)
{
  struct sim_instance *r;
  LL_FOREACH (group->instances, r)
  {
    if (r->isolated || r->dead || r->frozen)
      continue;
    r->sealed_term = term;
    r->primary = false;
    r->upstream = to;
    r->linked = false;
  }
  to->term = term;
  to->primary = true;
  to->fenced = false;
  to->upstream = NULL;
  to->replayed = to->log.count;
  to->confirmed = 0;
  sim_group_wake (group);
  return to->log.count;
}

void
sim_instance_follow (struct sim_instance *instance, struct sim_instance *to,
                     uint64_t term)
{
  if (instance->isolated || instance->dead || instance->frozen)
    return;
  instance->primary = false;
  instance->sealed_term = term;
  if (instance->upstream != to)
    instance->linked = false;
  instance->upstream = to;
  sim_group_wake (instance->group);
}

const char *
sim_instance_get (struct sim_instance *instance, const char *key)
{
  return sim_log_get (&instance->group->store, &instance->log,
                      instance->log.count, key);
}

uint32_t
sim_instance_count_puts (struct sim_instance *instance, const char *key)
{
  return sim_log_puts (&instance->group->store, &instance->log, key);
}

uint32_t
sim_instance_count_requests (struct sim_instance *instance,
                             const char *request_id)
{
  return sim_log_ledger (&instance->group->store, &instance->log, request_id);
}

uint32_t
sim_instance_open_count (const struct sim_instance *instance)
{
  return instance->open;
}

uint32_t
sim_instance_open_peak (const struct sim_instance *instance)
{
  return instance->open_peak;
}

uint32_t
sim_instance_opening_peak (const struct sim_instance *instance)
{
  return instance->opening_peak;
}

uint32_t
sim_instance_running_peak (const struct sim_instance *instance)
{
  return instance->running_peak;
}

uint64_t
sim_instance_served (const struct sim_instance *instance)
{
  return instance->served;
}

uint64_t
sim_instance_refused (const struct sim_instance *instance)
{
  return instance->refused;
}
