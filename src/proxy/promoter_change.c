/* The course of a change of primary, up to the order.  */

#include "proxy/promoter_impl.h"

#include <string.h>

#include "kernel/mutant.h"
#include "kernel/text.h"

static void query_positions (struct change *change);

clk_ms
change_now (const struct change *change)
{
  return kernel_now (change->promoter->base.kernel);
}

struct group *
change_group (const struct change *change)
{
  return groups_find (change->promoter->groups, change->group);
}

void
change_set_stage (struct change *change, enum change_stage stage)
{
  change->stage = stage;
  change->stage_ms = change_now (change);
}

void
change_log (const struct change *change, const char *event, const char *what)
{
  log_event (kernel_log (change->promoter->base.kernel), LOG_NOTICE, event,
             LOG_S ("group", change->group), LOG_S ("what", what),
             LOG_S ("why", change->why), LOG_S ("old", change->old),
             LOG_S ("chosen", change->chosen), LOG_U ("token", change->token),
             LOG_I ("spent_ms", change_now (change) - change->started_ms));
}

void
change_abort (struct change *change, const char *what, clk_ms wait_ms)
{
  change_log (change, "promotion_stopped", what);
  status_query_free (change->query);
  change->query = NULL;
  change->next_ms = change_now (change) + wait_ms;
  change_set_stage (change, CHANGE_NONE);
}

struct backend *
change_find_instance (struct group *group, const char *id)
{
  struct backend *all[GROUP_INSTANCES];
  size_t count = group_instances (group, all);
  for (size_t i = 0; i < count; i++)
    if (strcmp (backend_entry (all[i])->id, id) == 0)
      return all[i];
  return NULL;
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
  uint64_t newest = samples_term (group_samples (group));
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
            || late_orders_has (&change->late, rows[i].id,
                                change_now (change)))
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
  uint64_t newest = samples_term (group_samples (group));
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

size_t
change_count_answers (const struct status_row *rows, size_t count)
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
  uint64_t newest = samples_term (group_samples (group));
  uint64_t term = status->term > status->received.term ? status->term
                                                       : status->received.term;
  return !change->hand_over && (term < newest || term < change->led_term)
         && change_now (change) - change->first_attempt_ms
                < PROMOTER_OLD_TERM_MS;
}

/* Handles a PAUSE without an effect on some replica, whose term was too low.
   The rows may have told a higher one.  */
static void
pause_again (struct change *change)
{
  change_log (change, "pause_ineffective", "a replica goes on to receive");
  if (change->newest_term < change->pause_term)
    change->newest_term = change->pause_term;
  if (change->pauses < PROMOTER_PAUSE_LIMIT)
    query_positions (change);
  else
    change_abort (change, "a replica could not be paused", PROMOTER_RETRY_MS);
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
  struct group *group = change_group (change);
  const struct status_row *best = most_advanced (change, rows, count, false);
  change->query = NULL;
  if (best == NULL || group == NULL)
    {
      change_abort (change, "no instance answers", PROMOTER_RETRY_MS);
      return;
    }
  note_terms (change, rows, count);
  /* With synchronous replicas, an instance that did not answer may be the only
     one with an acknowledged commit.  */
  if (needs_pause (change, group)
      && change_count_answers (rows, count) < count)
    {
      change_abort (change,
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
      if (change_now (change) - change->started_ms
          < PROMOTER_CATCH_UP_TIMEOUT_MS)
        query_positions (change);
      else
        change_order (change, change->old); /* only it has all commits */
      return;
    }
  if (has_old_term (change, group, &best->status))
    {
      change_abort (change, "no instance has the log of the newest term",
                    PROMOTER_RETRY_MS);
      return;
    }
  best = prefer_ordered (change, group, rows, count, best);
  set_floor (change, group, best, rows, count);
  change_order (change, best->id);
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
  struct group *group = change_group (change);
  struct backend *candidates[GROUP_INSTANCES];
  size_t count
      = group != NULL ? list_candidates (change, group, candidates) : 0;
  change_set_stage (change, CHANGE_QUERYING);
  if (count == 0)
    {
      change_abort (change, "no candidate for promotion", PROMOTER_RETRY_MS);
      return;
    }
  bool pause = needs_pause (change, group);
  change->pause_term = next_term (change, group);
  change->pauses += pause;
  change->paused |= pause;
  if (pause)
    change->resume_ms = change_now (change);
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
      change_abort (change, "the primary did not step down",
                    PROMOTER_RETRY_MS);
      return;
    }
  change->final = rows[0].status.received;
  change->floor = rows[0].status.term + 1;
  change_log (change, "stepped_down", change->old);
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
      change_abort (change, "the primary has changed", 0);
      return;
    }
  if (MUTANT (skip_stepdown))
    {
      query_positions (change);
      return;
    }
  change_set_stage (change, CHANGE_STEPPING_DOWN);
  change->query = status_query_new (
      promoter->base.kernel, promoter->options.parse_status, 1, &old,
      STMT_STEPDOWN, term, PROMOTER_QUERY_TIMEOUT_MS, on_stepped_down, change);
}

static void
on_replicas_checked (void *arg, const struct status_row *rows, size_t count)
{
  struct change *change = arg;
  struct group *group = change_group (change);
  const struct status_row *best = most_advanced (change, rows, count, false);
  change->query = NULL;
  note_terms (change, rows, count);
  if (group == NULL || best == NULL
      || position_compare (best->status.received, change->reached) < 0)
    {
      change_abort (change, "all replicas are lagging",
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
  change_set_stage (change, CHANGE_COMPARING);
  change->query = status_query_new (
      promoter->base.kernel, promoter->options.parse_status, count, candidates,
      STMT_STATUS, 0, PROMOTER_QUERY_TIMEOUT_MS, on_replicas_checked, change);
}

void
change_continue_recall (struct change *change, struct group *group)
{
  struct permits *permits = change->promoter->permits;
  if (!permits_recalled (permits, change->group))
    return;
  if (!permits_fenced (permits))
    change_log (change, "primary_recalled", change->old);
  if (change->hand_over)
    check_replicas (change, group);
  else
    query_positions (change);
}

void
change_start (struct change *change, struct backend *old, bool hand_over,
              const char *why)
{
  struct group *group = change_group (change);
  struct permits *permits = change->promoter->permits;
  status_query_free (change->query);
  change->query = NULL;
  change->why = why;
  change->hand_over = hand_over;
  change->started_ms = change_now (change);
  change->chosen[0] = '\0';
  change->final = (struct position){ 0 };
  change->pauses = 0;
  if (change->first_attempt_ms == CLK_NEVER)
    change->first_attempt_ms = change_now (change);
  text_copy (change->old, sizeof change->old,
             old != NULL ? backend_entry (old)->id : "");
  change_log (change, "promotion_begun", hand_over ? "hand_over" : "failover");
  /* A primary that steps down needs no recall, unless another order may still
     replace its successor.  */
  if (hand_over && change_late_other (change, "") == NULL)
    {
      check_replicas (change, group);
      return;
    }
  permits_close (permits, change->group);
  change_set_stage (change, CHANGE_RECALLING);
  change_continue_recall (change, group);
}
