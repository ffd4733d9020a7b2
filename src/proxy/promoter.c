#include "proxy/promoter.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "kernel/mem.h"
#include "kernel/text.h"
#include "proxy/group.h"
#include "proxy/roster.h"
#include "proxy/status_query.h"

enum change_stage
{
  CHANGE_NONE,
  CHANGE_COMPARING,     /* hand-over: whether a replica keeps up */
  CHANGE_STEPPING_DOWN, /* hand-over: the old primary is told to stop */
  CHANGE_ASKING,        /* for the positions of the others */
  CHANGE_VERIFYING,     /* that this host holds the duty still */
  CHANGE_ORDERED,       /* the platform's answer is awaited */
  CHANGE_AWAITED        /* accepted, until an instance leads */
};

/* The change of one group's primary.  */
struct change
{
  struct promoter *promoter;
  char group[NAME_BYTES];
  enum change_stage stage;
  const char *why;
  char old[NAME_BYTES];    /* empty if it is not known */
  char chosen[NAME_BYTES]; /* to be promoted */
  bool hand_over;
  struct position reached; /* by the old primary before a hand-over */
  struct position final;   /* of the old primary, in a hand-over */
  clk_ms started_ms;
  clk_ms stage_ms;
  clk_ms next_ms;     /* earliest start of the next change */
  clk_ms lost_ms;     /* when the first attempt without a primary began */
  clk_ms silent_ms;   /* since when the holder can't reach it */
  clk_ms reported_ms; /* since when a part of the hosts can't */
  uint64_t token;
  struct inquiry *inquiry;
  UT_hash_handle hh;
};

struct promoter
{
  struct module base;
  struct promoter_options options;
  struct groups *groups;
  struct roster *roster;
  struct change *changes;
  struct ktimer tick;
};

static void ask_positions (struct change *change);

static clk_ms
now_ms (const struct change *change)
{
  return kernel_now (change->promoter->base.kernel);
}

static struct group *
group_of (const struct change *change)
{
  return groups_find (change->promoter->groups, change->group);
}

static void
set_stage (struct change *change, enum change_stage stage)
{
  change->stage = stage;
  change->stage_ms = now_ms (change);
}

static void
log_change (const struct change *change, const char *event, const char *what)
{
  log_event (kernel_log (change->promoter->base.kernel), LOG_NOTICE, event,
             LOG_S ("group", change->group), LOG_S ("what", what),
             LOG_S ("why", change->why), LOG_S ("old", change->old),
             LOG_S ("chosen", change->chosen), LOG_U ("token", change->token),
             LOG_I ("spent_ms", now_ms (change) - change->started_ms));
}

static void
stop_change (struct change *change, const char *what, clk_ms wait_ms)
{
  log_change (change, "promotion_stopped", what);
  inquiry_free (change->inquiry);
  change->inquiry = NULL;
  change->next_ms = now_ms (change) + wait_ms;
  set_stage (change, CHANGE_NONE);
}

static void
on_promoted (void *arg, enum promote_result result)
{
  struct change *change = arg;
  struct promoter *promoter = change->promoter;
  static const char *const names[] = { [PROMOTE_ACCEPTED] = "accepted",
                                       [PROMOTE_REFUSED] = "refused",
                                       [PROMOTE_NOT_DONE] = "not_done",
                                       [PROMOTE_UNKNOWN] = "unknown" };
  log_change (change, "promotion_answer", names[result]);
  if (change->stage != CHANGE_ORDERED)
    return;
  switch (result)
    {
    case PROMOTE_ACCEPTED:
    case PROMOTE_UNKNOWN:
      set_stage (change, CHANGE_AWAITED);
      break;
    case PROMOTE_REFUSED:
      /* The token is outdated, or the instance is gone.  */
      stop_change (change, "refused", PROMOTER_RETRY_MS);
      roster_resign_duty (promoter->roster, "refused by the platform");
      break;
    default:
      stop_change (change, "not done", PROMOTER_RETRY_MS);
    }
}

static void
on_verified (void *arg, bool held)
{
  struct change *change = arg;
  struct promoter *promoter = change->promoter;
  uint64_t token;
  if (change->stage != CHANGE_VERIFYING)
    return;
  if (!held || !roster_holds_duty (promoter->roster, &token))
    {
      stop_change (change, "duty lost", 0);
      return;
    }
  change->token = token;
  set_stage (change, CHANGE_ORDERED);
  log_change (change, "promotion_ordered", change->chosen);
  metrics_increment (kernel_metrics (promoter->base.kernel),
                     "promotions_ordered_total");
  promoter->options.port->ops->promote (promoter->options.port, change->group,
                                        change->chosen, promoter->options.host,
                                        token, on_promoted, change);
}

static void
order (struct change *change, const char *id)
{
  text_copy (change->chosen, sizeof change->chosen, id);
  set_stage (change, CHANGE_VERIFYING);
  roster_verify_duty (change->promoter->roster, on_verified, change);
}

/* The row with the furthest log of the newest term, or NULL.  */
static const struct inquiry_row *
furthest (const struct inquiry_row *rows, size_t count)
{
  const struct inquiry_row *best = NULL;
  for (size_t i = 0; i < count; i++)
    if (rows[i].answered
        && (best == NULL
            || position_compare (rows[i].status.received,
                                 best->status.received)
                   > 0))
      best = &rows[i];
  return best;
}

static size_t
count_answers (const struct inquiry_row *rows, size_t count)
{
  size_t answered = 0;
  for (size_t i = 0; i < count; i++)
    answered += rows[i].answered;
  return answered;
}

/* Whether an instance with the log of TERM would bring back commits that a
   later term has given up.  It is promoted if no other comes up.  */
static bool
lacks_term (const struct change *change, const struct group *group,
            uint64_t term)
{
  return !change->hand_over
         && term < samples_newest (group_samples (group)).term
         && now_ms (change) - change->lost_ms < PROMOTER_OLD_TERM_MS;
}

static void
on_positions (void *arg, const struct inquiry_row *rows, size_t count)
{
  struct change *change = arg;
  struct group *group = group_of (change);
  const struct inquiry_row *best = furthest (rows, count);
  change->inquiry = NULL;
  if (best == NULL || group == NULL)
    {
      stop_change (change, "no instance answers", PROMOTER_RETRY_MS);
      return;
    }
  /* Any of the others may alone hold an acknowledged commit.  */
  if (!change->hand_over && group_settings (group)->sync_replicas > 0
      && count_answers (rows, count) < count)
    {
      stop_change (change, "an instance that may hold more is silent",
                   PROMOTER_RETRY_MS);
      return;
    }
  if (change->hand_over
      && position_compare (best->status.received, change->final) < 0)
    {
      if (now_ms (change) - change->started_ms < PROMOTER_CATCH_UP_MS)
        ask_positions (change);
      else
        order (change, change->old); /* no other has all commits */
      return;
    }
  if (lacks_term (change, group, best->status.received.term))
    {
      stop_change (change, "no instance has the newest term",
                   PROMOTER_RETRY_MS);
      return;
    }
  order (change, best->id);
}

/* Instances that may be promoted.  */
static size_t
list_candidates (struct change *change, struct group *group,
                 struct backend *out[GROUP_INSTANCES])
{
  struct backend *all[GROUP_INSTANCES];
  size_t count = group_instances (group, all), used = 0;
  bool must_ask_all
      = !change->hand_over && group_settings (group)->sync_replicas > 0;
  for (size_t i = 0; i < count; i++)
    {
      const struct instance_entry *entry = backend_entry (all[i]);
      if (strcmp (entry->id, change->old) == 0)
        continue;
      if ((backend_usable (all[i]) && !entry->draining) || must_ask_all)
        out[used++] = all[i];
    }
  return used;
}

static void
ask_positions (struct change *change)
{
  struct promoter *promoter = change->promoter;
  struct group *group = group_of (change);
  struct backend *candidates[GROUP_INSTANCES];
  size_t count
      = group != NULL ? list_candidates (change, group, candidates) : 0;
  set_stage (change, CHANGE_ASKING);
  if (count == 0)
    {
      stop_change (change, "no candidate", PROMOTER_RETRY_MS);
      return;
    }
  bool pause = !change->hand_over && group_settings (group)->sync_replicas > 0;
  uint64_t term = samples_newest (group_samples (group)).term + 1;
  change->inquiry
      = inquiry_new (promoter->base.kernel, promoter->options.parse_status,
                     count, candidates, pause ? STMT_PAUSE : STMT_STATUS, term,
                     PROMOTER_ASK_MS, on_positions, change);
}

static void
on_stepped_down (void *arg, const struct inquiry_row *rows, size_t count)
{
  struct change *change = arg;
  change->inquiry = NULL;
  if (count != 1 || !rows[0].answered || rows[0].status.is_primary)
    {
      stop_change (change, "the primary did not step down", PROMOTER_RETRY_MS);
      return;
    }
  change->final = rows[0].status.received;
  log_change (change, "stepped_down", change->old);
  ask_positions (change);
}

/* Tells the old primary to stop.  */
static void
step_down (struct change *change, struct group *group)
{
  struct promoter *promoter = change->promoter;
  struct backend *old = group_leader (group);
  uint64_t term = samples_newest (group_samples (group)).term + 1;
  if (old == NULL || strcmp (backend_entry (old)->id, change->old) != 0)
    {
      stop_change (change, "the primary has changed", 0);
      return;
    }
  set_stage (change, CHANGE_STEPPING_DOWN);
  change->inquiry = inquiry_new (
      promoter->base.kernel, promoter->options.parse_status, 1, &old,
      STMT_STEPDOWN, term, PROMOTER_ASK_MS, on_stepped_down, change);
}

static void
on_compared (void *arg, const struct inquiry_row *rows, size_t count)
{
  struct change *change = arg;
  struct group *group = group_of (change);
  const struct inquiry_row *best = furthest (rows, count);
  change->inquiry = NULL;
  if (group == NULL || best == NULL
      || position_compare (best->status.received, change->reached) < 0)
    {
      stop_change (change, "no replica keeps up", PROMOTER_KEEP_UP_MS);
      return;
    }
  step_down (change, group);
}

/* Before the primary steps down a replica must have received what it had of
   late: else none could take over with all commits.  */
static void
compare (struct change *change, struct group *group)
{
  struct promoter *promoter = change->promoter;
  struct backend *candidates[GROUP_INSTANCES];
  size_t count = list_candidates (change, group, candidates);
  change->reached = samples_newest (group_samples (group));
  set_stage (change, CHANGE_COMPARING);
  change->inquiry = inquiry_new (
      promoter->base.kernel, promoter->options.parse_status, count, candidates,
      STMT_STATUS, 0, PROMOTER_ASK_MS, on_compared, change);
}

static void
start_change (struct change *change, struct backend *old, bool hand_over,
              const char *why)
{
  struct group *group = group_of (change);
  change->why = why;
  change->hand_over = hand_over;
  change->started_ms = now_ms (change);
  change->chosen[0] = '\0';
  change->final = (struct position){ 0 };
  if (change->lost_ms == CLK_NEVER)
    change->lost_ms = now_ms (change);
  text_copy (change->old, sizeof change->old,
             old != NULL ? backend_entry (old)->id : "");
  log_change (change, "promotion_begun", hand_over ? "hand_over" : "failover");
  if (!hand_over)
    {
      ask_positions (change);
      return;
    }
  compare (change, group);
}

/* Whether another instance than OLD may be promoted now.  */
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

/* The holder reaches the primary.  */
static void
consider_hand_over (struct change *change, struct group *group,
                    struct backend *leader)
{
  struct roster_report_count view = roster_count_reports (
      change->promoter->roster, change->group, backend_entry (leader)->id);
  change->silent_ms = CLK_NEVER;
  if (3 * view.hosts_reporting < 2 * view.hosts || view.hosts_reporting == 0)
    change->reported_ms = CLK_NEVER;
  else if (change->reported_ms == CLK_NEVER)
    change->reported_ms = now_ms (change);
  bool partly_cut
      = change->reported_ms != CLK_NEVER
        && now_ms (change) - change->reported_ms >= PROMOTER_PARTLY_CUT_MS;
  if (!has_candidate (group, leader))
    return;
  if (backend_entry (leader)->draining)
    start_change (change, leader, true, "the primary is leaving");
  else if (partly_cut)
    start_change (change, leader, true, "many hosts can't reach the primary");
}

/* The holder can't reach the primary.  */
static void
consider_failover (struct change *change, struct group *group,
                   struct backend *leader)
{
  struct roster *roster = change->promoter->roster;
  struct roster_report_count view = roster_count_reports (
      roster, change->group, backend_entry (leader)->id);
  if (change->silent_ms == CLK_NEVER)
    change->silent_ms = now_ms (change);
  if (2 * view.domains_reporting > view.domains)
    {
      if (has_candidate (group, leader))
        start_change (change, leader, false, "the primary is unreachable");
      return;
    }
  if (now_ms (change) - change->silent_ms >= PROMOTER_ALONE_MS)
    {
      change->silent_ms = CLK_NEVER;
      roster_resign_duty (roster,
                          "others reach a primary that this host can't");
    }
}

/* The holder knows of no primary.  One that refused has lost the lead to
   another, which other hosts may reach.  */
static void
consider_leaderless (struct change *change, struct group *group)
{
  clk_ms since_ms = group_leaderless_since_ms (group);
  struct roster_report_count view = roster_count_reports (
      change->promoter->roster, change->group, ROSTER_NO_PRIMARY);
  if (now_ms (change) - since_ms >= PROMOTER_LEADERLESS_MS
      && 2 * view.domains_reporting > view.domains
      && has_candidate (group, NULL))
    start_change (change, NULL, false, "no instance leads");
}

/* Looks after GROUP on the host with the duty.  */
static void
watch_group (struct change *change, struct group *group)
{
  struct backend *leader = group_leader (group);
  if (change->stage == CHANGE_AWAITED)
    {
      if (leader != NULL
          && strcmp (backend_entry (leader)->id, change->chosen) == 0)
        {
          log_change (change, "promotion_done", change->chosen);
          change->lost_ms = CLK_NEVER;
          change->next_ms = now_ms (change);
          set_stage (change, CHANGE_NONE);
        }
      else if (now_ms (change) - change->stage_ms >= PROMOTER_EFFECT_MS)
        stop_change (change, "without effect", 0);
      return;
    }
  if (change->stage != CHANGE_NONE || now_ms (change) < change->next_ms)
    return;
  if (leader == NULL)
    consider_leaderless (change, group);
  else if (backend_usable (leader))
    {
      change->lost_ms = CLK_NEVER;
      consider_hand_over (change, group, leader);
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
  change->lost_ms = CLK_NEVER;
  change->silent_ms = CLK_NEVER;
  change->reported_ms = CLK_NEVER;
  text_copy (change->group, sizeof change->group, group);
  HASH_ADD_STR (promoter->changes, group, change);
  return change;
}

/* What this host reports of GROUP; NULL: nothing.  */
static const char *
report_of (const struct promoter *promoter, struct group *group)
{
  struct backend *leader = group_leader (group);
  clk_ms now_ms = kernel_now (promoter->base.kernel);
  struct backend *instances[GROUP_INSTANCES];
  if (!group_connected (group) || group_instances (group, instances) == 0)
    return NULL;
  if (leader != NULL)
    return backend_usable (leader) ? NULL : backend_entry (leader)->id;
  return now_ms - group_leaderless_since_ms (group) >= PROMOTER_UNKNOWN_MS
             ? ROSTER_NO_PRIMARY
             : NULL;
}

static void
tend_group (void *arg, struct group *group)
{
  struct promoter *promoter = arg;
  struct change *change = ensure_change (promoter, group_name (group));
  struct backend *leader = group_leader (group);
  uint64_t token;
  roster_report (promoter->roster, group_name (group),
                 report_of (promoter, group));
  if (leader != NULL
      && roster_count_reports (promoter->roster, group_name (group),
                               backend_entry (leader)->id)
                 .hosts_reporting
             > 0)
    group_doubt_leader (group);
  if (roster_holds_duty (promoter->roster, &token))
    watch_group (change, group);
  else if (change->stage != CHANGE_NONE && change->stage != CHANGE_ORDERED)
    stop_change (change, "duty lost", 0);
}

static void
on_tick (void *arg)
{
  struct promoter *promoter = arg;
  struct kernel *kernel = promoter->base.kernel;
  uint64_t token;
  groups_each (promoter->groups, tend_group, promoter);
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
    inquiry_free (change->inquiry);
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
