/* Users of rate limits: takes operations from own buckets and from grants, and
   asks the owners of parts.  */

#include "proxy/allowance_impl.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"

/* Time constant of the mean demand.  */
#define DEMAND_MS 500.0
/* A series of refusals ends after this time without one.  */
#define SERIES_MS 5000

struct allowance_view
allowances_view (const struct allowances *allowances)
{
  if (allowances->options.view != NULL)
    return allowances->options.view (allowances->options.arg);
  return (struct allowance_view){
    .confirmed_ms = roster_hosts_confirmed_ms (allowances->roster),
    .registered_ms = roster_registered_ms (allowances->roster),
  };
}

uint64_t
allowances_work (const struct allowances *allowances)
{
  return allowances->work;
}

static clk_ms
now_of (const struct pool *pool)
{
  return allowances_now (pool->allowances);
}

static const char *
own_name (const struct pool *pool)
{
  return hosts_own_name (pool->allowances->hosts);
}

static void
note_demand (struct pool *pool)
{
  clk_ms now_ms = now_of (pool);
  double spent_ms = (double)(now_ms - pool->demand_ms);
  pool->demand = pool->demand * exp (-spent_ms / DEMAND_MS) + 1;
  pool->demand_ms = now_ms;
}

/* Returns the number of operations to ask for: what is waiting, or what will
   be asked for before the grant ends.  That is reduced by its standard
   deviation, as operations that are left are mostly lost.  */
static uint32_t
wanted_of (const struct pool *pool, size_t waiting)
{
  double expected = pool->demand * (double)pool->limit.valid_ms / DEMAND_MS;
  double wanted = floor (expected - sqrt (expected));
  return (uint32_t)fmax (wanted, (double)waiting);
}

static void
count_granted (struct pool *pool)
{
  (*pool->granted_count)++;
  (*pool->allowances->granted_count)++;
}

static void
end_series (void *arg)
{
  struct pool *pool = arg;
  struct kernel *kernel = pool->allowances->base.kernel;
  if (now_of (pool) - pool->refused_ms < SERIES_MS)
    {
      kernel_timer_set (kernel, &pool->series, pool->refused_ms + SERIES_MS);
      return;
    }
  log_event (kernel_log (kernel), LOG_INFO, "limit_kept",
             LOG_S ("workspace", pool->name),
             LOG_U ("refused", pool->refusals));
  pool->refusals = 0;
}

/* Counts a refusal, and logs the first of a series.  */
static void
count_refused (struct pool *pool, bool by_limit, clk_ms retry_after_ms)
{
  struct allowances *allowances = pool->allowances;
  struct kernel *kernel = allowances->base.kernel;
  (*pool->refused_count)++;
  (*(by_limit ? allowances->limit_count : allowances->owner_count))++;
  pool->refused_ms = now_of (pool);
  if (pool->refusals++ > 0)
    return;
  log_event (kernel_log (kernel), LOG_INFO, "limit_reached",
             LOG_S ("workspace", pool->name),
             LOG_U ("rate_per_s", pool->rate_per_s),
             LOG_S ("why", by_limit ? "limit" : "no owner"),
             LOG_I ("retry_after_ms", retry_after_ms));
  pool->series = (struct ktimer){ .fire = end_series, .arg = pool };
  kernel_timer_set (kernel, &pool->series, pool->refused_ms + SERIES_MS);
}

/* Returns the earliest time at which there may be operations, from now; sets
   BY_LIMIT if an owner has refused.  */
static clk_ms
retry_after (const struct pool *pool, bool *by_limit)
{
  clk_ms now_ms = now_of (pool), first_ms = CLK_NEVER;
  *by_limit = false;
  for (size_t i = 0; i < ALLOWANCE_PARTS; i++)
    {
      const struct part *part = &pool->parts[i];
      /* A part without an answer yet.  */
      clk_ms at_ms = part->not_before_ms > now_ms
                         ? part->not_before_ms
                         : now_ms + ALLOWANCE_CALL_TIMEOUT_MS;
      if (at_ms < first_ms)
        first_ms = at_ms;
      *by_limit |= !part->denied;
    }
  return first_ms - now_ms;
}

static bool
is_valid (const struct grant *grant, clk_ms now_ms)
{
  return grant->left > 0
         && (now_ms < grant->until_ms || MUTANT (endless_grant));
}

/* Takes an operation from the grant that ends first.  */
static bool
take_granted (struct pool *pool)
{
  clk_ms now_ms = now_of (pool);
  struct grant *first = NULL;
  for (size_t i = 0; i < ALLOWANCE_PARTS; i++)
    {
      struct grant *grant = &pool->parts[i].grant;
      if (is_valid (grant, now_ms)
          && (first == NULL || grant->until_ms < first->until_ms))
        first = grant;
    }
  if (first == NULL)
    return false;
  first->left--;
  first->last_ms = now_ms;
  if (!first->used)
    first->first_ms = now_ms;
  first->used = true;
  return true;
}

static void
note_answer (struct part *part, bool denied, clk_ms retry_ms)
{
  part->denied = denied;
  part->not_before_ms
      = retry_ms > 0 ? now_of (part->pool) + retry_ms : CLK_LONG_AGO;
}

/* Takes an operation from a bucket of this host.  */
static bool
take_own (struct pool *pool)
{
  struct allowance_view view = allowances_view (pool->allowances);
  if (view.registered_ms == CLK_NEVER)
    return false;
  for (size_t i = 0; i < ALLOWANCE_PARTS; i++)
    {
      struct part *part = &pool->parts[i];
      clk_ms retry_ms;
      bool denied;
      if (part->not_before_ms > now_of (pool) || !part_is_own (part, &view))
        continue;
      if (bucket_grant (part, own_name (pool), 1, &retry_ms, &denied) > 0)
        return true;
      note_answer (part, denied, retry_ms);
    }
  return false;
}

static bool
take_one (struct pool *pool)
{
  if (!take_granted (pool) && !take_own (pool))
    return false;
  count_granted (pool);
  return true;
}

/* Returns the unused operations of the last grant of PART that its owner takes
   back.  */
static uint32_t
returnable (const struct part *part)
{
  const struct grant *grant = &part->grant;
  clk_ms age_ms = now_of (part->pool) - grant->sent_ms;
  return age_ms < part->pool->limit.return_ms ? grant->left : 0;
}

/* Order in which the parts of other hosts are asked; lower is first.  */
static int
distance (struct part *part, const struct other_host *owner)
{
  const struct hosts *hosts = part->pool->allowances->hosts;
  if (returnable (part) > 0)
    return 0;
  return strcmp (owner->zone, hosts_own_zone (hosts)) == 0 ? 1 : 2;
}

/* Returns the part to ask another host for, and sets OWNER to that; NULL if
   there is none.  */
static struct part *
choose_part (struct pool *pool, const struct other_host **owner)
{
  struct allowance_view view = allowances_view (pool->allowances);
  struct part *best = NULL;
  int best_distance = 0;
  for (size_t i = 0; i < ALLOWANCE_PARTS; i++)
    {
      struct part *part = &pool->parts[(pool->turn + i) % ALLOWANCE_PARTS];
      const struct other_host *top = part_top (part);
      if (part->tried || part->not_before_ms > now_of (pool) || top == NULL
          || part_is_own (part, &view))
        continue;
      int its = distance (part, top);
      if (best != NULL && its >= best_distance)
        continue;
      best = part;
      best_distance = its;
      *owner = top;
    }
  return best;
}

static void on_allowed (void *arg, enum peer_status status,
                        const peer_message *reply);

/* Asks the owner of a part for operations, WAITING of which are needed now.
   Returns false if there is nobody to ask.  */
static bool
ask (struct pool *pool, size_t waiting)
{
  struct allowances *allowances = pool->allowances;
  const struct other_host *owner;
  struct part *part;
  while ((part = choose_part (pool, &owner)) != NULL)
    {
      peer_body body = { .kind = PEER_KIND_ALLOWANCE };
      pool->wanted = wanted_of (pool, waiting);
      body.peer_body_u.allowance
          = (peer_allowance){ .workspace = pool->name,
                              .part = part->index,
                              .wanted = pool->wanted,
                              .returned = returnable (part) };
      part->tried = true;
      part->grant.left = 0;
      pool->asked = part;
      pool->sent_ms = now_of (pool);
      pool->turn++;
      pool->call = hosts_call (allowances->hosts, &owner->address, &body,
                               ALLOWANCE_CALL_TIMEOUT_MS, on_allowed, pool);
      (*allowances->exchange_count)++;
      if (pool->call != 0)
        return true;
      note_answer (part, true, ALLOWANCE_LOST_MS);
    }
  return false;
}

/* Removes the first operation from the queue and decides it.  */
static void
decide_first (struct pool *pool, bool granted, clk_ms retry_after_ms)
{
  struct allowance_user *user = pool->waiters;
  allowance_cancel (user);
  user->decided (user, granted, retry_after_ms);
}

/* Refuses operations that wait since SINCE_MS or longer.  Those that a
   callback adds wait for the next decision.  */
static void
refuse_waiters (struct pool *pool, clk_ms since_ms)
{
  size_t count = pool->waiter_count;
  bool by_limit;
  while (count-- > 0 && pool->waiters != NULL
         && pool->waiters->since_ms <= since_ms)
    {
      clk_ms retry_after_ms = retry_after (pool, &by_limit);
      count_refused (pool, by_limit, retry_after_ms);
      decide_first (pool, false, retry_after_ms);
    }
}

static void
begin_round (struct pool *pool)
{
  for (size_t i = 0; i < ALLOWANCE_PARTS; i++)
    pool->parts[i].tried = false;
}

static void
on_deadline (void *arg)
{
  struct pool *pool = arg;
  refuse_waiters (pool, now_of (pool) - ALLOWANCE_WAIT_MS);
  if (pool->waiters != NULL)
    kernel_timer_set (pool->allowances->base.kernel, &pool->deadline,
                      pool->waiters->since_ms + ALLOWANCE_WAIT_MS);
}

/* Decides the operations that wait, in order, as far as possible.  */
static void
decide (struct pool *pool)
{
  while (pool->waiters != NULL && take_one (pool))
    decide_first (pool, true, 0);
  if (pool->waiters == NULL || pool->call != 0
      || ask (pool, pool->waiter_count))
    return;
  refuse_waiters (pool, now_of (pool));
  if (pool->waiters != NULL && pool->call == 0)
    {
      begin_round (pool);
      ask (pool, pool->waiter_count);
    }
}

static void
on_allowed (void *arg, enum peer_status status, const peer_message *reply)
{
  struct pool *pool = arg;
  struct part *part = pool->asked;
  pool->call = 0;
  if (status != PEER_OK || reply->body.kind != PEER_KIND_ALLOWED)
    note_answer (part, true, ALLOWANCE_LOST_MS);
  else
    {
      const peer_allowed *allowed = &reply->body.peer_body_u.allowed;
      part->grant
          = (struct grant){ .sent_ms = pool->sent_ms,
                            .until_ms = pool->sent_ms + allowed->valid_ms,
                            .left = allowed->granted };
      note_answer (part, !allowed->owner, allowed->retry_after_ms);
      /* It may have more.  */
      part->tried = allowed->granted < pool->wanted;
    }
  decide (pool);
}

static void
enqueue (struct pool *pool, struct allowance_user *user)
{
  user->pool = pool;
  user->since_ms = now_of (pool);
  DL_APPEND (pool->waiters, user);
  if (pool->waiter_count++ > 0)
    return;
  pool->deadline = (struct ktimer){ .fire = on_deadline, .arg = pool };
  kernel_timer_set (pool->allowances->base.kernel, &pool->deadline,
                    user->since_ms + ALLOWANCE_WAIT_MS);
}

enum allowance_result
allowance_take (struct allowances *allowances, const char *workspace,
                struct allowance_user *user, clk_ms *retry_after_ms)
{
  struct pool *pool = allowances_pool (allowances, workspace);
  bool by_limit;
  user->pool = NULL;
  if (pool == NULL)
    return ALLOWANCE_GRANTED;
  note_demand (pool);
  if (pool->waiters == NULL && take_one (pool))
    return ALLOWANCE_GRANTED;
  if (pool->waiters == NULL && pool->call == 0)
    {
      begin_round (pool);
      if (!ask (pool, 1))
        {
          *retry_after_ms = retry_after (pool, &by_limit);
          count_refused (pool, by_limit, *retry_after_ms);
          return ALLOWANCE_REFUSED;
        }
    }
  enqueue (pool, user);
  return ALLOWANCE_WAITS;
}

void
allowance_cancel (struct allowance_user *user)
{
  struct pool *pool = user->pool;
  if (pool == NULL)
    return;
  user->pool = NULL;
  DL_DELETE (pool->waiters, user);
  if (--pool->waiter_count == 0)
    kernel_timer_cancel (pool->allowances->base.kernel, &pool->deadline);
}

void
allowance_return (struct allowances *allowances, const char *workspace,
                  clk_ms granted_ms)
{
  struct pool *pool = allowances_pool (allowances, workspace);
  struct allowance_view view = allowances_view (allowances);
  if (pool == NULL)
    return;
  for (size_t i = 0; i < ALLOWANCE_PARTS; i++)
    {
      struct grant *grant = &pool->parts[i].grant;
      if (!grant->used || granted_ms < grant->first_ms
          || granted_ms > grant->last_ms)
        continue;
      grant->left++;
      return;
    }
  for (size_t i = 0; i < ALLOWANCE_PARTS; i++)
    if (part_is_own (&pool->parts[i], &view))
      {
        bucket_put_back (&pool->parts[i], granted_ms);
        return;
      }
}

const char *
allowance_owner (struct allowances *allowances, const char *workspace,
                 unsigned part)
{
  struct pool *pool = part < ALLOWANCE_PARTS
                          ? allowances_pool (allowances, workspace)
                          : NULL;
  struct allowance_view view = allowances_view (allowances);
  if (pool == NULL)
    return NULL;
  if (part_is_own (&pool->parts[part], &view))
    return own_name (pool);
  const struct other_host *top = part_top (&pool->parts[part]);
  return top != NULL ? top->address.name : NULL;
}

static void
allowances_start (struct module *module)
{
  struct allowances *allowances = (struct allowances *)module;
  struct metrics *metrics = kernel_metrics (module->kernel);
  allowances->catalog
      = (struct catalog *)kernel_find (module->kernel, "catalog");
  allowances->hosts = (struct hosts *)kernel_find (module->kernel, "hosts");
  allowances->roster = (struct roster *)kernel_find (module->kernel, "roster");
  allowances->granted_count
      = metrics_value (metrics, "operations_granted_total");
  allowances->limit_count
      = metrics_value (metrics, "operations_refused_total{why=\"limit\"}");
  allowances->owner_count
      = metrics_value (metrics, "operations_refused_total{why=\"no owner\"}");
  allowances->exchange_count
      = metrics_value (metrics, "allowance_exchanges_total");
  allowances_follow_hosts (allowances);
  allowances_handle_requests (allowances);
}

static void
allowances_free (struct module *module)
{
  struct allowances *allowances = (struct allowances *)module;
  allowances_free_pools (allowances);
  free (allowances);
}

static const struct module_ops allowances_ops
    = { .start = allowances_start, .free = allowances_free };

struct allowances *
allowances_new (const struct allowances_options *options)
{
  struct allowances *allowances = mem_zalloc (sizeof *allowances);
  allowances->base.ops = &allowances_ops;
  allowances->base.name = "allowances";
  allowances->options = *options;
  return allowances;
}

struct module *
allowances_module (struct allowances *allowances)
{
  return &allowances->base;
}
