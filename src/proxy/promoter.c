#include "proxy/promoter.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "kernel/text.h"
#include "proxy/promoter_impl.h"

/* Returns whether an instance other than OLD may be promoted now.  */
static bool
has_candidate (struct group *group, const struct backend *old)
{
  struct backend *all[GROUP_INSTANCES];
  size_t count = group_instances (group, all);
  for (size_t i = 0; i < count; i++)
    if (all[i] != old && backend_usable (all[i])
        && !backend_entry (all[i])->draining)
      return true;
  return false;
}

/* Called while the holder of the duty reaches the primary.  Starts a hand-over
   if one is needed.  Returns whether a change has begun.  */
static bool
consider_hand_over (struct change *change, struct group *group,
                    struct backend *leader)
{
  struct roster_report_count reports = roster_count_reports (
      change->promoter->roster, change->group, backend_entry (leader)->id);
  change->unreachable_since_ms = CLK_NEVER;
  if (3 * reports.hosts_reporting < 2 * reports.hosts
      || reports.hosts_reporting == 0)
    change->partly_cut_since_ms = CLK_NEVER;
  else if (change->partly_cut_since_ms == CLK_NEVER)
    change->partly_cut_since_ms = change_now (change);
  bool partly_cut = change->partly_cut_since_ms != CLK_NEVER
                    && change_now (change) - change->partly_cut_since_ms
                           >= PROMOTER_PARTIAL_CUT_MS;
  if (!has_candidate (group, leader)
      || (!backend_entry (leader)->draining && !partly_cut))
    return false;
  /* While it steps down, an earlier order could make it lead again.  */
  if (permits_fenced (change->promoter->permits)
      && group_settings (group)->sync_replicas > 0
      && change_late_other (change, "") != NULL)
    change_fence_late (change, leader);
  else if (backend_entry (leader)->draining)
    change_start (change, leader, true, "the primary is leaving");
  else
    change_start (change, leader, true, "many hosts can't reach the primary");
  return true;
}

/* Called while the holder of the duty can't reach the primary.  Starts a
   failover if most failure domains can't reach it either; otherwise resigns
   the duty after PROMOTER_RESIGN_MS.  */
static void
consider_failover (struct change *change, struct group *group,
                   struct backend *leader)
{
  struct roster *roster = change->promoter->roster;
  struct roster_report_count reports = roster_count_reports (
      roster, change->group, backend_entry (leader)->id);
  if (change->unreachable_since_ms == CLK_NEVER)
    change->unreachable_since_ms = change_now (change);
  if (2 * reports.domains_reporting > reports.domains)
    {
      change->unreachable_since_ms = CLK_NEVER;
      if (has_candidate (group, leader))
        change_start (change, leader, false, "the primary is unreachable");
      return;
    }
  clk_ms limit_ms = permits_fenced (change->promoter->permits)
                        ? PROMOTER_RESIGN_MS
                        : PROMOTER_UNFENCED_RESIGN_MS;
  if (change_now (change) - change->unreachable_since_ms >= limit_ms)
    {
      change->unreachable_since_ms = CLK_NEVER;
      roster_resign_duty (
          roster, "other hosts reach a primary that this host can't reach");
    }
}

/* Called while the holder of the duty knows no primary.  Starts a failover
   only if most failure domains know none either: an instance that refused a
   statement may have been replaced by a primary that other hosts reach.  */
static void
consider_leaderless (struct change *change, struct group *group)
{
  clk_ms since_ms = group_leaderless_since_ms (group);
  struct roster_report_count reports = roster_count_reports (
      change->promoter->roster, change->group, ROSTER_NO_PRIMARY);
  if (change_now (change) - since_ms >= PROMOTER_LEADERLESS_MS
      && 2 * reports.domains_reporting > reports.domains
      && has_candidate (group, NULL))
    change_start (change, NULL, false, "no known primary");
}

/* Called while the hosts may not use a primary of GROUP.  Returns whether to
   look no further.  */
static bool
monitor_closed (struct change *change, struct group *group)
{
  if (change->closed_ms == CLK_NEVER)
    change->closed_ms = change_now (change);
  if (change_try_to_open (change, group))
    return true;
  if (!change->ordered)
    return false;
  /* An order for another instance may still take effect.  */
  if (change_has_new_primary (change, group))
    return true;
  if (change_now (change) - change->closed_ms >= PROMOTER_PENDING_MS
      && change_now (change) >= change->next_ms)
    change_start (change, NULL, false,
                  "an ordered promotion has had no effect");
  return true;
}

static void
monitor_recall (struct change *change, struct group *group,
                const struct backend *leader)
{
  if (change->ordered && change_try_to_open (change, group))
    change_abort (change, "an earlier order has taken effect", 0);
  else if (!change->ordered && !change->hand_over && leader != NULL
           && backend_usable (leader) && group_leader_proven (group))
    change_abort (change, "the primary is reachable again", 0);
  else
    change_continue_recall (change, group);
}

/* Called while a primary can be used.  Where the platform fences, returns
   whether an order for another instance may still take effect, and does away
   with it once LEADER is proven.  With synchronous replicas that instance is
   promoted: LEADER acknowledges no commit before, as the replicas are
   paused.  */
static bool
settle (struct change *change, struct group *group, struct backend *leader)
{
  const struct late_order *other;
  if (!permits_fenced (change->promoter->permits))
    return false;
  if (!group_leader_proven (group))
    return change_late_other (change, backend_entry (leader)->id) != NULL;
  late_orders_note_primary (&change->late, backend_entry (leader)->id,
                            change_now (change));
  other = change_late_other (change, backend_entry (leader)->id);
  if (other == NULL)
    {
      change_settle_record (change, leader);
      return false;
    }
  bool synchronous = group_settings (group)->sync_replicas > 0;
  /* While the store is away the token can't rise.  */
  if (!synchronous && !roster_duty_leased (change->promoter->roster))
    return false;
  if (synchronous && change_find_instance (group, other->id) != NULL)
    change_start (change, leader, false,
                  "an order without an answer may take effect");
  else
    change_fence_late (change, leader);
  return true;
}

/* Returns how long the new primary is waited for.  */
static clk_ms
effect_timeout_ms (const struct change *change)
{
  return change->unanswered && permits_fenced (change->promoter->permits)
             ? PROMOTER_RETRY_MS
             : PROMOTER_EFFECT_TIMEOUT_MS;
}

/* Returns when the primary may be changed again.  If it led before the last
   order, that one still takes effect.  */
static clk_ms
next_change_ms (const struct change *change)
{
  return change->repeated && change->accepted_ms != CLK_NEVER
             ? change->accepted_ms + PROMOTER_EFFECT_MS
             : change_now (change);
}

/* Monitors GROUP on the host that holds the duty.  */
static void
monitor_group (struct change *change, struct group *group, uint64_t token)
{
  struct permits *permits = change->promoter->permits;
  struct backend *leader = group_leader (group);
  change_read_record (change, token);
  if (change->stage == CHANGE_RECALLING)
    {
      monitor_recall (change, group, leader);
      return;
    }
  if (change->stage == CHANGE_AWAITED)
    {
      if (change_has_new_primary (change, group))
        {
          change_log (change, "promotion_done", change->chosen);
          change->first_attempt_ms = CLK_NEVER;
          change->next_ms = next_change_ms (change);
          if (change->floor > change->led_term)
            change->led_term = change->floor;
          change_set_stage (change, CHANGE_NONE);
          change_try_to_open (change, group);
        }
      else if (change_now (change) - change->stage_ms
               >= effect_timeout_ms (change))
        change_abort (change, "the promotion had no effect", 0);
      return;
    }
  if (change->stage != CHANGE_NONE)
    return;
  if (!permits_closed (permits, change->group))
    change->closed_ms = CLK_NEVER;
  else if (monitor_closed (change, group))
    return;
  if (change_now (change) < change->next_ms)
    return;
  if (leader == NULL)
    consider_leaderless (change, group);
  else if (backend_usable (leader))
    {
      change->first_attempt_ms = CLK_NEVER;
      if (!settle (change, group, leader)
          && !consider_hand_over (change, group, leader))
        change_consider_resume (change, group, leader);
    }
  else
    consider_failover (change, group, leader);
}

static struct change *
ensure_change (struct promoter *promoter, const char *group)
{
  struct change *change;
  HASH_FIND_STR (promoter->changes, group, change);
  if (change != NULL)
    return change;
  change = mem_zalloc (sizeof *change);
  change->promoter = promoter;
  change->first_attempt_ms = CLK_NEVER;
  change->unreachable_since_ms = CLK_NEVER;
  change->partly_cut_since_ms = CLK_NEVER;
  change->closed_ms = CLK_NEVER;
  text_copy (change->group, sizeof change->group, group);
  HASH_ADD_STR (promoter->changes, group, change);
  return change;
}

/* Returns the instance that this host reports as the unreachable primary of
   GROUP, ROSTER_NO_PRIMARY, or NULL if there is nothing to report.  */
static const char *
report_for (const struct promoter *promoter, struct group *group)
{
  struct backend *leader = group_leader (group);
  clk_ms now_ms = kernel_now (promoter->base.kernel);
  struct backend *instances[GROUP_INSTANCES];
  if (!group_connected (group) || group_instances (group, instances) == 0)
    return NULL;
  if (leader != NULL)
    return backend_usable (leader) ? NULL : backend_entry (leader)->id;
  return now_ms - group_leaderless_since_ms (group) >= PROMOTER_REPORT_MS
             ? ROSTER_NO_PRIMARY
             : NULL;
}

static void
check_group (void *arg, struct group *group)
{
  struct promoter *promoter = arg;
  struct change *change = ensure_change (promoter, group_name (group));
  struct backend *leader = group_leader (group);
  uint64_t token;
  roster_report (promoter->roster, group_name (group),
                 report_for (promoter, group));
  if (leader != NULL
      && roster_count_reports (promoter->roster, group_name (group),
                               backend_entry (leader)->id)
                 .hosts_reporting
             > 0)
    group_check_leader (group);
  if (roster_holds_duty (promoter->roster, &token))
    monitor_group (change, group, token);
  else if (change->stage != CHANGE_NONE && change->stage != CHANGE_ORDERED)
    change_abort (change, "duty lost", 0);
}

static void
on_tick (void *arg)
{
  struct promoter *promoter = arg;
  struct kernel *kernel = promoter->base.kernel;
  uint64_t token;
  groups_each (promoter->groups, check_group, promoter);
  bool holds = roster_holds_duty (promoter->roster, &token);
  kernel_timer_set (kernel, &promoter->tick,
                    kernel_now (kernel)
                        + (holds ? PROMOTER_TICK_MS : GROUP_TICK_MS));
}

static void
promoter_start (struct module *module)
{
  struct promoter *promoter = (struct promoter *)module;
  promoter->groups = (struct groups *)kernel_find (module->kernel, "groups");
  promoter->roster = (struct roster *)kernel_find (module->kernel, "roster");
  promoter->permits
      = (struct permits *)kernel_find (module->kernel, "permits");
  promoter->tick = (struct ktimer){ .fire = on_tick, .arg = promoter };
  kernel_timer_set (module->kernel, &promoter->tick,
                    kernel_now (module->kernel));
}

static void
promoter_free (struct module *module)
{
  struct promoter *promoter = (struct promoter *)module;
  struct change *change, *next;
  kernel_timer_cancel (module->kernel, &promoter->tick);
  HASH_ITER (hh, promoter->changes, change, next)
  {
    status_query_free (change->query);
    HASH_DEL (promoter->changes, change);
    free (change);
  }
  free (promoter);
}

static const struct module_ops promoter_ops
    = { .start = promoter_start, .free = promoter_free };

struct promoter *
promoter_new (const struct promoter_options *options)
{
  struct promoter *promoter = mem_zalloc (sizeof *promoter);
  promoter->base.ops = &promoter_ops;
  promoter->base.name = "promoter";
  promoter->options = *options;
  return promoter;
}

struct module *
promoter_module (struct promoter *promoter)
{
  return &promoter->base;
}
