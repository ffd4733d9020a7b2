#include "proxy/promoter.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"
#include "kernel/text.h"
#include "proxy/group.h"
#include "proxy/late_orders.h"
#include "proxy/permits.h"
#include "proxy/roster.h"
#include "proxy/status_query.h"

enum change_stage
{
  CHANGE_NONE,
  CHANGE_RECALLING,     /* until no host uses the old primary any more */
  CHANGE_COMPARING,     /* hand-over: checks whether a replica keeps up */
  CHANGE_STEPPING_DOWN, /* hand-over: the old primary steps down */
  CHANGE_QUERYING,      /* queries the positions of the other instances */
  CHANGE_VERIFYING,     /* verifies that this host still holds the duty, and
                           records the order */
  CHANGE_ORDERED,       /* waits for the platform's answer to the order */
  CHANGE_AWAITED        /* order not refused; waits for the new primary */
};

/* State of the change of one group's primary; one for each group.  */
struct change
{
  struct promoter *promoter;
  char group[NAME_BYTES];
  enum change_stage stage;
  const char *why;
  char old[NAME_BYTES];    /* empty if the old primary is not known */
  char chosen[NAME_BYTES]; /* the instance to be promoted */
  bool hand_over;
  struct position reached; /* newest sample before a hand-over */
  struct position final;   /* position at which the old primary stopped */
  clk_ms started_ms;       /* start of the change */
  clk_ms stage_ms;         /* start of the stage */
  clk_ms next_ms;          /* earliest start of the next change */
  /* First attempt since a primary was last reachable, or CLK_NEVER.  */
  clk_ms first_attempt_ms;
  clk_ms unreachable_since_ms; /* for the holder of the duty, or CLK_NEVER */
  clk_ms partly_cut_since_ms;  /* for two thirds of the hosts, or CLK_NEVER */
  uint64_t token;
  bool ordered;         /* recorded, and the new primary not seen yet */
  uint64_t led_term;    /* of the last new primary; a lower bound */
  uint64_t newest_term; /* that an instance has reported; a lower bound */
  uint64_t pause_term;  /* of the last PAUSE */
  unsigned pauses;      /* sent since the start of the change */
  bool confirmed;       /* CHOSEN leads, and not by an earlier order */
  uint64_t floor;       /* lowest possible term of the new primary */
  clk_ms accepted_ms;   /* when the order was accepted, or CLK_NEVER */
  uint64_t number;      /* of the last order */
  uint64_t read_token;  /* of this holder, when it read the record */
  struct late_orders late;
  bool unanswered;  /* the last order */
  bool repeated;    /* it named an instance that may lead already */
  clk_ms settle_ms; /* earliest time of the next write of the record */
  clk_ms closed_ms; /* when the group was found closed, or CLK_NEVER */
  struct status_query *query;
  UT_hash_handle hh;
};

struct promoter
{
  struct module base;
  struct promoter_options options;
  struct groups *groups;
  struct roster *roster;
  struct permits *permits;
  struct change *changes;
  struct ktimer tick;
};

static void query_positions (struct change *change);

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
abort_change (struct change *change, const char *what, clk_ms wait_ms)
{
  log_change (change, "promotion_stopped", what);
  status_query_free (change->query);
  change->query = NULL;
  change->next_ms = now_ms (change) + wait_ms;
  set_stage (change, CHANGE_NONE);
}

/* Returns the order for another instance than ID that may still take effect,
   or NULL.  */
static const struct late_order *
late_other (const struct change *change, const char *id)
{
  return late_orders_other (&change->late, id, now_ms (change));
}

/* Notes that the order for ID with TOKEN may take effect late.  */
static void
add_late (struct change *change, const char *id, uint64_t token)
{
  clk_ms until_ms = permits_fenced (change->promoter->permits)
                        ? CLK_NEVER
                        : now_ms (change) + PROMOTER_LATE_MS;
  late_orders_add (&change->late, id, token, now_ms (change), until_ms);
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
  change->unanswered = result == PROMOTE_UNKNOWN;
  if (result == PROMOTE_UNKNOWN)
    {
      add_late (change, change->chosen, change->token);
      metrics_increment (kernel_metrics (promoter->base.kernel),
                         "promotions_unanswered_total");
    }
  else if (result == PROMOTE_ACCEPTED && permits_fenced (promoter->permits))
    late_orders_fence (&change->late, change->token);
  if (change->stage != CHANGE_ORDERED)
    return;
  switch (result)
    {
    case PROMOTE_ACCEPTED:
      change->accepted_ms = now_ms (change);
      set_stage (change, CHANGE_AWAITED);
      break;
    case PROMOTE_UNKNOWN:
      set_stage (change, CHANGE_AWAITED);
      break;
    case PROMOTE_REFUSED:
      /* The token is outdated, or the instance is gone.  */
      abort_change (change, "refused", PROMOTER_RETRY_MS);
      roster_resign_duty (promoter->roster, "refused by the platform");
      break;
    default:
      abort_change (change, "not done", PROMOTER_RETRY_MS);
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
      abort_change (change, "duty lost", 0);
      return;
    }
  change->token = token;
  permits_expect (promoter->permits, change->group, change->chosen,
                  change->number);
  set_stage (change, CHANGE_ORDERED);
  log_change (change, "promotion_ordered", change->chosen);
  metrics_increment (kernel_metrics (promoter->base.kernel),
                     "promotions_ordered_total");
  promoter->options.port->ops->promote (promoter->options.port, change->group,
                                        change->chosen, promoter->options.host,
                                        token, on_promoted, change);
}

static void
add_to_record (struct roster_record *record, const char *id)
{
  if (record->floating_count < ROSTER_FLOATING)
    text_copy (record->floating[record->floating_count++], NAME_BYTES, id);
}

static void
record_order (struct change *change)
{
  struct roster_record record
      = { .number = change->number, .floor = change->floor };
  text_copy (record.group, sizeof record.group, change->group);
  text_copy (record.candidate, sizeof record.candidate, change->chosen);
  if (permits_fenced (change->promoter->permits))
    add_to_record (&record, change->chosen);
  for (size_t i = 0; i < ROSTER_FLOATING; i++)
    if (change->late.items[i].until_ms > now_ms (change)
        && strcmp (change->late.items[i].id, change->chosen) != 0)
      add_to_record (&record, change->late.items[i].id);
  roster_record_order (change->promoter->roster, &record, on_verified, change);
}

static void
on_token_raised (void *arg, bool held)
{
  struct change *change = arg;
  uint64_t token;
  if (change->stage != CHANGE_VERIFYING)
    return;
  if (!held || !roster_holds_duty (change->promoter->roster, &token))
    {
      abort_change (change, "the fencing token was not raised",
                    PROMOTER_RETRY_MS);
      return;
    }
  change->read_token = token;
  record_order (change);
}

/* Orders the promotion of ID.  Orders that may still be carried out, except
   those for the instance SPARED, must have a lower token, so that this one
   fences them.  */
static void
order_with_fence (struct change *change, const char *id, const char *spared)
{
  struct promoter *promoter = change->promoter;
  uint64_t token;
  text_copy (change->chosen, sizeof change->chosen, id);
  set_stage (change, CHANGE_VERIFYING);
  change->repeated = late_orders_has (&change->late, id, now_ms (change))
                     || strcmp (spared, id) != 0;
  change->number++;
  change->accepted_ms = CLK_NEVER;
  if (permits_fenced (promoter->permits))
    {
      if (roster_holds_duty (promoter->roster, &token)
          && late_orders_share_token (&change->late, spared, token,
                                      now_ms (change)))
        roster_raise_token (promoter->roster, on_token_raised, change);
      else
        record_order (change);
      return;
    }
  change->ordered = true;
  change->confirmed = false;
  record_order (change);
}

static void
order_promotion (struct change *change, const char *id)
{
  order_with_fence (change, id, id);
}

/* Returns the newest term that an instance has reported.  */
static uint64_t
newest_reported (const struct status_row *rows, size_t count)
{
  uint64_t newest = 0;
  for (size_t i = 0; i < count; i++)
    {
      const struct instance_status *status = &rows[i].status;
      if (rows[i].answered && status->term > newest)
        newest = status->term;
      if (rows[i].answered && status->received.term > newest)
        newest = status->received.term;
    }
  return newest;
}

/* Sets the lowest term in which CHOSEN can lead by the next order: the one
   after its own.  If its state is not known, the one after all known terms. */
static void
set_floor (struct change *change, const struct group *group,
           const struct status_row *chosen, const struct status_row *rows,
           size_t count)
{
  uint64_t newest = samples_newest (group_samples (group)).term;
  uint64_t reported = newest_reported (rows, count);
  if (reported > newest)
    newest = reported;
  change->floor = (chosen->status.term > 0 ? chosen->status.term : newest) + 1;
}

/* Returns the row with the most advanced log, the newest term first, or NULL
   if no instance answered.  With LATE, only of those whose promotion was
   ordered already and may still take effect.  */
static const struct status_row *
most_advanced (const struct change *change, const struct status_row *rows,
               size_t count, bool late)
{
  const struct status_row *best = NULL;
  for (size_t i = 0; i < count; i++)
    if (rows[i].answered
        && (!late
            || late_orders_has (&change->late, rows[i].id, now_ms (change)))
        && (best == NULL
            || position_compare (rows[i].status.received,
                                 best->status.received)
                   > 0))
      best = &rows[i];
  return best;
}

/* Notes the terms that the instances have reported.  */
static void
note_terms (struct change *change, const struct status_row *rows, size_t count)
{
  uint64_t newest = newest_reported (rows, count);
  if (newest > change->newest_term)
    change->newest_term = newest;
}

/* Returns a term above all that are known.  A host that has just started, or
   could not reach the primary, has no recent sample.  */
static uint64_t
next_term (const struct change *change, const struct group *group)
{
  uint64_t newest = samples_newest (group_samples (group)).term;
  return (newest > change->newest_term ? newest : change->newest_term) + 1;
}

/* Returns whether a failover of GROUP pauses the replicas: otherwise commits
   could be acknowledged that the chosen one does not receive.  */
static bool
needs_pause (const struct change *change, const struct group *group)
{
  return !change->hand_over && group_settings (group)->sync_replicas > 0;
}

/* Returns whether no replica receives the log any more.  PAUSE has no effect
   if its term is not above the newest one, and the row then tells so.  */
static bool
all_paused (const struct change *change, const struct status_row *rows,
            size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      const struct instance_status *status = &rows[i].status;
      if (!status->is_primary
          && (status->held_term < change->pause_term
              || status->term >= change->pause_term))
        return false;
    }
  return true;
}

static size_t
count_answers (const struct status_row *rows, size_t count)
{
  size_t answered = 0;
  for (size_t i = 0; i < count; i++)
    answered += rows[i].answered;
  return answered;
}

/* Returns whether promoting an instance of STATUS would restore commits that a
   later term has discarded.  After PROMOTER_OLD_TERM_MS without
   a better instance it may be promoted.  */
static bool
has_old_term (const struct change *change, const struct group *group,
              const struct instance_status *status)
{
  uint64_t newest = samples_newest (group_samples (group)).term;
  uint64_t term = status->term > status->received.term ? status->term
                                                       : status->received.term;
  return !change->hand_over && (term < newest || term < change->led_term)
         && now_ms (change) - change->first_attempt_ms < PROMOTER_OLD_TERM_MS;
}

/* Handles a PAUSE without an effect on some replica, whose term was too low.
   The rows may have told a higher one.  */
static void
pause_again (struct change *change)
{
  log_change (change, "pause_ineffective", "a replica goes on to receive");
  if (change->newest_term < change->pause_term)
    change->newest_term = change->pause_term;
  if (change->pauses < PROMOTER_PAUSE_LIMIT)
    query_positions (change);
  else
    abort_change (change, "a replica could not be paused", PROMOTER_RETRY_MS);
}

/* Returns the instance to be promoted: BEST, or one whose promotion was
   ordered already and may still take effect, as any other could lose the lead
   to it. With synchronous replicas it must have all commits of BEST.  */
static const struct status_row *
prefer_ordered (const struct change *change, const struct group *group,
                const struct status_row *rows, size_t count,
                const struct status_row *best)
{
  const struct status_row *late = most_advanced (change, rows, count, true);
  if (late == NULL || has_old_term (change, group, &late->status))
    return best;
  if (group_settings (group)->sync_replicas > 0
      && position_compare (late->status.received, best->status.received) < 0)
    return best;
  return late;
}

static void
on_positions (void *arg, const struct status_row *rows, size_t count)
{
  struct change *change = arg;
  struct group *group = group_of (change);
  const struct status_row *best = most_advanced (change, rows, count, false);
  change->query = NULL;
  if (best == NULL || group == NULL)
    {
      abort_change (change, "no instance answers", PROMOTER_RETRY_MS);
      return;
    }
  note_terms (change, rows, count);
  /* With synchronous replicas, an instance that did not answer may be the only
     one with an acknowledged commit.  */
  if (needs_pause (change, group) && count_answers (rows, count) < count)
    {
      abort_change (change,
                    "an instance that may have more commits does not answer",
                    PROMOTER_RETRY_MS);
      return;
    }
  if (needs_pause (change, group) && !all_paused (change, rows, count)
      && !MUTANT (trust_pause))
    {
      pause_again (change);
      return;
    }
  if (change->hand_over
      && position_compare (best->status.received, change->final) < 0)
    {
      if (now_ms (change) - change->started_ms < PROMOTER_CATCH_UP_TIMEOUT_MS)
        query_positions (change);
      else
        order_promotion (change, change->old); /* only it has all commits */
      return;
    }
  if (has_old_term (change, group, &best->status))
    {
      abort_change (change, "no instance has the log of the newest term",
                    PROMOTER_RETRY_MS);
      return;
    }
  best = prefer_ordered (change, group, rows, count, best);
  set_floor (change, group, best, rows, count);
  order_promotion (change, best->id);
}

/* Lists the instances to be queried before a promotion; returns their number.
   A failover with synchronous replicas queries all others, also unreachable or
   draining ones, as any may be the only one with an acknowledged commit.  */
static size_t
list_candidates (struct change *change, struct group *group,
                 struct backend *out[GROUP_INSTANCES])
{
  struct backend *all[GROUP_INSTANCES];
  size_t count = group_instances (group, all), used = 0;
  bool query_all = needs_pause (change, group);
  for (size_t i = 0; i < count; i++)
    {
      const struct instance_entry *entry = backend_entry (all[i]);
      if (strcmp (entry->id, change->old) == 0)
        continue;
      if ((backend_usable (all[i]) && !entry->draining) || query_all)
        out[used++] = all[i];
    }
  return used;
}

static void
query_positions (struct change *change)
{
  struct promoter *promoter = change->promoter;
  struct group *group = group_of (change);
  struct backend *candidates[GROUP_INSTANCES];
  size_t count
      = group != NULL ? list_candidates (change, group, candidates) : 0;
  set_stage (change, CHANGE_QUERYING);
  if (count == 0)
    {
      abort_change (change, "no candidate for promotion", PROMOTER_RETRY_MS);
      return;
    }
  bool pause = needs_pause (change, group);
  change->pause_term = next_term (change, group);
  change->pauses += pause;
  change->query = status_query_new (
      promoter->base.kernel, promoter->options.parse_status, count, candidates,
      pause ? STMT_PAUSE : STMT_STATUS, change->pause_term,
      PROMOTER_QUERY_TIMEOUT_MS, on_positions, change);
}

static void
on_stepped_down (void *arg, const struct status_row *rows, size_t count)
{
  struct change *change = arg;
  change->query = NULL;
  if (count != 1 || !rows[0].answered || rows[0].status.is_primary)
    {
      abort_change (change, "the primary did not step down",
                    PROMOTER_RETRY_MS);
      return;
    }
  change->final = rows[0].status.received;
  change->floor = rows[0].status.term + 1;
  log_change (change, "stepped_down", change->old);
  query_positions (change);
}

/* Orders the old primary to step down.  */
static void
step_down (struct change *change, struct group *group)
{
  struct promoter *promoter = change->promoter;
  struct backend *old = group_leader (group);
  uint64_t term = next_term (change, group);
  if (old == NULL || strcmp (backend_entry (old)->id, change->old) != 0)
    {
      abort_change (change, "the primary has changed", 0);
      return;
    }
  if (MUTANT (skip_stepdown))
    {
      query_positions (change);
      return;
    }
  set_stage (change, CHANGE_STEPPING_DOWN);
  change->query = status_query_new (
      promoter->base.kernel, promoter->options.parse_status, 1, &old,
      STMT_STEPDOWN, term, PROMOTER_QUERY_TIMEOUT_MS, on_stepped_down, change);
}

static void
on_replicas_checked (void *arg, const struct status_row *rows, size_t count)
{
  struct change *change = arg;
  struct group *group = group_of (change);
  const struct status_row *best = most_advanced (change, rows, count, false);
  change->query = NULL;
  note_terms (change, rows, count);
  if (group == NULL || best == NULL
      || position_compare (best->status.received, change->reached) < 0)
    {
      abort_change (change, "all replicas are lagging",
                    PROMOTER_LAGGING_RETRY_MS);
      return;
    }
  step_down (change, group);
}

/* Checks before the primary steps down that a replica has received its log up
   to the newest sample; otherwise no replica could soon have all commits.  */
static void
check_replicas (struct change *change, struct group *group)
{
  struct promoter *promoter = change->promoter;
  struct backend *candidates[GROUP_INSTANCES];
  size_t count = list_candidates (change, group, candidates);
  change->reached = samples_newest (group_samples (group));
  set_stage (change, CHANGE_COMPARING);
  change->query = status_query_new (
      promoter->base.kernel, promoter->options.parse_status, count, candidates,
      STMT_STATUS, 0, PROMOTER_QUERY_TIMEOUT_MS, on_replicas_checked, change);
}

/* Continues once no host uses the old primary any more.  */
static void
continue_recall (struct change *change, struct group *group)
{
  struct permits *permits = change->promoter->permits;
  if (!permits_recalled (permits, change->group))
    return;
  if (!permits_fenced (permits))
    log_change (change, "primary_recalled", change->old);
  if (change->hand_over)
    check_replicas (change, group);
  else
    query_positions (change);
}

static void
start_change (struct change *change, struct backend *old, bool hand_over,
              const char *why)
{
  struct group *group = group_of (change);
  struct permits *permits = change->promoter->permits;
  status_query_free (change->query);
  change->query = NULL;
  change->why = why;
  change->hand_over = hand_over;
  change->started_ms = now_ms (change);
  change->chosen[0] = '\0';
  change->final = (struct position){ 0 };
  change->pauses = 0;
  if (change->first_attempt_ms == CLK_NEVER)
    change->first_attempt_ms = now_ms (change);
  text_copy (change->old, sizeof change->old,
             old != NULL ? backend_entry (old)->id : "");
  log_change (change, "promotion_begun", hand_over ? "hand_over" : "failover");
  /* A primary that steps down needs no recall, unless another order may still
     replace its successor.  */
  if (hand_over && late_other (change, "") == NULL)
    {
      check_replicas (change, group);
      return;
    }
  permits_close (permits, change->group);
  set_stage (change, CHANGE_RECALLING);
  continue_recall (change, group);
}

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

/* Orders the primary itself: that changes nothing, but the platform then
   refuses the orders that may still be carried out.  */
static void
fence_late_orders (struct change *change, struct backend *leader)
{
  change->why = "an order without an answer may take effect";
  change->hand_over = false;
  change->started_ms = now_ms (change);
  change->old[0] = '\0';
  change->floor = backend_position (leader).term;
  order_with_fence (change, backend_entry (leader)->id, "");
}

/* Called while the holder of the duty reaches the primary.  Starts a hand-over
   if one is needed.  */
static void
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
    change->partly_cut_since_ms = now_ms (change);
  bool partly_cut = change->partly_cut_since_ms != CLK_NEVER
                    && now_ms (change) - change->partly_cut_since_ms
                           >= PROMOTER_PARTIAL_CUT_MS;
  if (!has_candidate (group, leader)
      || (!backend_entry (leader)->draining && !partly_cut))
    return;
  /* While it steps down, an earlier order could make it lead again.  */
  if (permits_fenced (change->promoter->permits)
      && group_settings (group)->sync_replicas > 0
      && late_other (change, "") != NULL)
    fence_late_orders (change, leader);
  else if (backend_entry (leader)->draining)
    start_change (change, leader, true, "the primary is leaving");
  else
    start_change (change, leader, true, "many hosts can't reach the primary");
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
    change->unreachable_since_ms = now_ms (change);
  if (2 * reports.domains_reporting > reports.domains)
    {
      if (has_candidate (group, leader))
        start_change (change, leader, false, "the primary is unreachable");
      return;
    }
  clk_ms limit_ms = permits_fenced (change->promoter->permits)
                        ? PROMOTER_RESIGN_MS
                        : PROMOTER_UNFENCED_RESIGN_MS;
  if (now_ms (change) - change->unreachable_since_ms >= limit_ms)
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
  if (now_ms (change) - since_ms >= PROMOTER_LEADERLESS_MS
      && 2 * reports.domains_reporting > reports.domains
      && has_candidate (group, NULL))
    start_change (change, NULL, false, "no known primary");
}

static void
on_confirmed (void *arg, const struct status_row *rows, size_t count)
{
  struct change *change = arg;
  change->query = NULL;
  if (count != 1 || !rows[0].answered || !rows[0].status.is_primary
      || strcmp (rows[0].id, change->chosen) != 0)
    return;
  /* An order for the present primary changes nothing.  */
  bool changes_nothing
      = change->accepted_ms != CLK_NEVER
        && now_ms (change) - change->accepted_ms >= PROMOTER_EFFECT_MS;
  change->confirmed |= rows[0].status.term >= change->floor || changes_nothing;
}

/* Queries whether the primary that was ordered leads by that order: it may
   have led before, and go on though it was replaced.  */
static void
confirm (struct change *change, struct backend *leader)
{
  struct promoter *promoter = change->promoter;
  if (change->query != NULL)
    return;
  change->query = status_query_new (
      promoter->base.kernel, promoter->options.parse_status, 1, &leader,
      STMT_STATUS, 0, PROMOTER_QUERY_TIMEOUT_MS, on_confirmed, change);
}

/* Returns whether the primary is known that the last change has led to.  */
static bool
has_new_primary (struct change *change, struct group *group)
{
  struct backend *leader = group_leader (group);
  if (leader == NULL
      || strcmp (backend_entry (leader)->id, change->chosen) != 0)
    return false;
  if (permits_fenced (change->promoter->permits))
    return true;
  if (!backend_usable (leader) || !group_leader_proven (group))
    return false;
  change->confirmed |= backend_position (leader).term >= change->floor;
  if (!change->confirmed)
    confirm (change, leader);
  return change->confirmed;
}

static void
ignore_result (void *arg, bool held)
{
  (void)arg; /* a later holder of the duty checks again */
  (void)held;
}

/* Records that the order has taken effect and no other can any more.  */
static void
settle_record (struct change *change)
{
  struct roster_record record = { .number = change->number };
  text_copy (record.group, sizeof record.group, change->group);
  text_copy (record.candidate, sizeof record.candidate, change->chosen);
  roster_record_order (change->promoter->roster, &record, ignore_result,
                       change);
}

/* Lets the hosts use the primary again, if only one instance can be it now.
   Returns whether they may.  */
static bool
try_to_open (struct change *change, struct group *group)
{
  struct permits *permits = change->promoter->permits;
  struct backend *leader = group_leader (group);
  if (leader == NULL || !backend_usable (leader)
      || !group_leader_proven (group)
      || (change->ordered && !has_new_primary (change, group))
      || late_other (change, backend_entry (leader)->id) != NULL)
    return false;
  permits_open (permits, change->group, backend_entry (leader)->id);
  if (change->ordered)
    settle_record (change);
  change->ordered = false;
  return true;
}

/* Takes over what earlier holders of the duty have ordered, where the platform
   fences.  What this host ordered before one of them is fenced.  */
static void
inherit_orders (struct change *change)
{
  struct roster_record record;
  if (!roster_find_record (change->promoter->roster, change->group, &record))
    return;
  if (record.number != change->number)
    change->late = (struct late_orders){ 0 };
  change->number = record.number;
  for (size_t i = 0; i < record.floating_count; i++)
    add_late (change, record.floating[i], 0);
}

/* Takes over what earlier holders of the duty have ordered, when this host has
   acquired it.  */
static void
read_record (struct change *change, uint64_t token)
{
  struct roster_record record;
  struct promoter *promoter = change->promoter;
  if (change->read_token == token)
    return;
  change->read_token = token;
  if (permits_fenced (promoter->permits))
    {
      inherit_orders (change);
      return;
    }
  change->ordered = change->confirmed = false;
  change->accepted_ms = CLK_NEVER;
  change->number = permits_number (promoter->permits, change->group);
  if (!roster_find_record (promoter->roster, change->group, &record))
    return;
  change->ordered = permits_closed (promoter->permits, change->group)
                    && change->number == record.number;
  if (change->number < record.number)
    change->number = record.number;
  if (!change->ordered)
    return;
  change->floor = record.floor;
  text_copy (change->chosen, sizeof change->chosen, record.candidate);
  add_late (change, record.candidate, 0);
  for (size_t i = 0; i < record.floating_count; i++)
    add_late (change, record.floating[i], 0);
}

/* Called while the hosts may not use a primary of GROUP.  Returns whether to
   look no further.  */
static bool
monitor_closed (struct change *change, struct group *group)
{
  if (change->closed_ms == CLK_NEVER)
    change->closed_ms = now_ms (change);
  if (try_to_open (change, group))
    return true;
  if (!change->ordered)
    return false;
  /* An order for another instance may still take effect.  */
  if (has_new_primary (change, group))
    return true;
  if (now_ms (change) - change->closed_ms >= PROMOTER_PENDING_MS
      && now_ms (change) >= change->next_ms)
    start_change (change, NULL, false,
                  "an ordered promotion has had no effect");
  return true;
}

static void
monitor_recall (struct change *change, struct group *group,
                const struct backend *leader)
{
  if (change->ordered && try_to_open (change, group))
    abort_change (change, "an earlier order has taken effect", 0);
  else if (!change->ordered && !change->hand_over && leader != NULL
           && backend_usable (leader) && group_leader_proven (group))
    abort_change (change, "the primary is reachable again", 0);
  else
    continue_recall (change, group);
}

/* Writes that LEADER leads and that no order is outstanding, if the record
   says otherwise.  */
static void
settle_fenced (struct change *change, struct backend *leader)
{
  struct roster_record record;
  struct roster *roster = change->promoter->roster;
  const char *id = backend_entry (leader)->id;
  uint64_t term = backend_position (leader).term;
  if (now_ms (change) < change->settle_ms
      || !roster_find_record (roster, change->group, &record)
      || (record.floating_count == 0 && record.floor >= term
          && strcmp (record.candidate, id) == 0))
    return;
  if (strcmp (record.candidate, id) != 0 || record.floor < term)
    record.floor = term;
  text_copy (record.candidate, sizeof record.candidate, id);
  record.floating_count = 0;
  change->settle_ms = now_ms (change) + PROMOTER_SETTLE_MS;
  roster_record_order (roster, &record, ignore_result, change);
}

/* Returns whether INSTANCE is registered in GROUP.  */
static bool
is_registered (struct group *group, const char *instance)
{
  struct backend *all[GROUP_INSTANCES];
  size_t count = group_instances (group, all);
  for (size_t i = 0; i < count; i++)
    if (strcmp (backend_entry (all[i])->id, instance) == 0)
      return true;
  return false;
}

/* Called where the platform fences, while a primary can be used.  Returns
   whether a change has begun since an order for another instance may still
   take effect.  With synchronous replicas that instance is promoted: LEADER
   acknowledges no commit before, as the replicas are paused.  */
static bool
settle (struct change *change, struct group *group, struct backend *leader)
{
  const struct late_order *other;
  if (!permits_fenced (change->promoter->permits)
      || !group_leader_proven (group))
    return false;
  late_orders_note_primary (&change->late, backend_entry (leader)->id,
                            now_ms (change));
  other = late_other (change, backend_entry (leader)->id);
  if (other == NULL)
    {
      settle_fenced (change, leader);
      return false;
    }
  if (group_settings (group)->sync_replicas > 0
      && is_registered (group, other->id))
    start_change (change, leader, false,
                  "an order without an answer may take effect");
  else
    fence_late_orders (change, leader);
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
             : now_ms (change);
}

/* Monitors GROUP on the host that holds the duty.  */
static void
monitor_group (struct change *change, struct group *group, uint64_t token)
{
  struct permits *permits = change->promoter->permits;
  struct backend *leader = group_leader (group);
  read_record (change, token);
  if (change->stage == CHANGE_RECALLING)
    {
      monitor_recall (change, group, leader);
      return;
    }
  if (change->stage == CHANGE_AWAITED)
    {
      if (has_new_primary (change, group))
        {
          log_change (change, "promotion_done", change->chosen);
          change->first_attempt_ms = CLK_NEVER;
          change->next_ms = next_change_ms (change);
          if (change->floor > change->led_term)
            change->led_term = change->floor;
          set_stage (change, CHANGE_NONE);
          try_to_open (change, group);
        }
      else if (now_ms (change) - change->stage_ms
               >= effect_timeout_ms (change))
        abort_change (change, "the promotion had no effect", 0);
      return;
    }
  if (change->stage != CHANGE_NONE)
    return;
  if (!permits_closed (permits, change->group))
    change->closed_ms = CLK_NEVER;
  else if (monitor_closed (change, group))
    return;
  if (now_ms (change) < change->next_ms)
    return;
  if (leader == NULL)
    consider_leaderless (change, group);
  else if (backend_usable (leader))
    {
      change->first_attempt_ms = CLK_NEVER;
      if (!settle (change, group, leader))
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
    abort_change (change, "duty lost", 0);
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
