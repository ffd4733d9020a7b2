#include <string.h>

#include "core/monitor.h"
#include "kernel/mutant.h"

/* Time limits of the phases.  After the first two the attempt continues with
   SEAL, which also fences the old primary.  After the last it restarts in a
   higher term.  */
#define FENCE_LIMIT_MS 1500
#define CATCH_UP_LIMIT_MS 1500
#define PROMOTE_LIMIT_MS 4000

/* How long SEAL waits for the requested target once enough other instances
   are sealed.  */
#define TARGET_SEAL_LIMIT_MS 500

/* Pauses between jobs on one instance, and between status polls in
   CATCH_UP.  */
#define JOB_RETRY_MS 100
#define CATCH_UP_POLL_MS 10

static clk_ms
now (const struct monitor *monitor)
{
  return kernel_now (monitor->env->kernel);
}

/* Returns the report of RESULT, which a refused job carries too, or NULL.  */
static const struct db_report *
usable_report (const struct db_result *result)
{
  if (result == NULL)
    return NULL;
  if (result->status == DB_OK)
    return &result->report;
  return result->status == DB_REFUSED && result->report.term != 0
             ? &result->report
             : NULL;
}

/* Returns whether the instance is in, or sealed for, a later term than that of
   this attempt.  The record of the other attempt will be received soon.  */
static bool
is_superseded (const struct promotion *p, const struct db_report *report)
{
  return report->sealed_term > p->next.term || report->term > p->next.term;
}

static void
job_ended (struct monitor_instance *instance, size_t *index)
{
  struct monitor *monitor = instance->monitor;
  *index = (size_t)(instance - monitor->instances);
  monitor->promotion.job_running[*index] = false;
  monitor->promotion.job_due_ms[*index] = now (monitor) + JOB_RETRY_MS;
  monitor_wake (monitor);
}

static void
submit (struct monitor *monitor, size_t i, enum db_job_kind kind,
        control_done done)
{
  struct promotion *p = &monitor->promotion;
  if (p->job_running[i] || now (monitor) < p->job_due_ms[i])
    return;
  p->job_running[i] = true;
  control_submit (monitor->instances[i].control, kind, p->next.term, NULL,
                  done, &monitor->instances[i]);
}

static void
fence_done (void *arg, const struct db_result *result)
{
  struct monitor_instance *instance = arg;
  struct monitor *monitor = instance->monitor;
  struct promotion *p = &monitor->promotion;
  size_t i;
  if (p->phase != PROMOTION_FENCE)
    return;
  job_ended (instance, &i);
  if (result == NULL || result->status != DB_OK)
    return;
  p->fenced = true;
  p->fence_lsn = result->report.received_lsn;
}

void
promotion_fence (struct monitor *monitor)
{
  struct promotion *p = &monitor->promotion;
  size_t old = monitor_find_instance (monitor, p->next.primary);
  if (p->fenced)
    promotion_enter (monitor, PROMOTION_CATCH_UP);
  else if (old == monitor->instance_count
           || now (monitor) - p->phase_ms > FENCE_LIMIT_MS)
    promotion_enter (monitor, PROMOTION_SEAL);
  else
    submit (monitor, old, DB_FENCE, fence_done);
}

static void
catch_up_done (void *arg, const struct db_result *result)
{
  struct monitor_instance *instance = arg;
  struct monitor *monitor = instance->monitor;
  struct promotion *p = &monitor->promotion;
  size_t i;
  if (p->phase != PROMOTION_CATCH_UP)
    return;
  job_ended (instance, &i);
  p->job_due_ms[i] = now (monitor) + CATCH_UP_POLL_MS;
  if (result != NULL && result->status == DB_OK
      && result->report.received_lsn >= p->fence_lsn)
    promotion_enter (monitor, PROMOTION_SEAL);
}

/* Polls the requested target, or else all replicas that may become
   primary.  */
void
promotion_catch_up (struct monitor *monitor)
{
  struct promotion *p = &monitor->promotion;
  if (now (monitor) - p->phase_ms > CATCH_UP_LIMIT_MS)
    {
      promotion_enter (monitor, PROMOTION_SEAL);
      return;
    }
  for (size_t i = 0; i < monitor->instance_count; i++)
    {
      const struct monitor_instance *instance = &monitor->instances[i];
      bool wanted = p->target[0] == '\0'
                        ? strcmp (instance->name, p->next.primary) != 0
                              && !instance->leaving
                        : strcmp (instance->name, p->target) == 0;
      if (wanted)
        submit (monitor, i, DB_STATUS, catch_up_done);
    }
}

static void
seal_done (void *arg, const struct db_result *result)
{
  struct monitor_instance *instance = arg;
  struct monitor *monitor = instance->monitor;
  struct promotion *p = &monitor->promotion;
  const struct db_report *report = usable_report (result);
  size_t i;
  if (p->phase != PROMOTION_SEAL)
    return;
  job_ended (instance, &i);
  if (report == NULL)
    return;
  if (is_superseded (p, report))
    {
      promotion_stop (monitor, "an instance is sealed for a later term");
      return;
    }
  if (result->status != DB_OK || report->sealed_term != p->next.term)
    return;
  p->sealed[i] = true;
  p->reports[i] = *report;
}

static size_t
sealed_count (const struct monitor *monitor)
{
  size_t count = 0;
  for (size_t i = 0; i < monitor->instance_count; i++)
    count += monitor->promotion.sealed[i];
  return count;
}

/* Compares the log of two instances: positive if A has more of it, negative
   if B has, 0 if equal.  */
static int
compare_history (const struct db_report *a, const struct db_report *b)
{
  if (a->term != b->term)
    return a->term > b->term ? 1 : -1;
  if (a->received_lsn != b->received_lsn)
    return a->received_lsn > b->received_lsn ? 1 : -1;
  return 0;
}

/* Ranks instances with equal log, the highest first: the requested target,
   instances that are not leaving, replicas before the replaced primary.  */
static int
preference (const struct monitor *monitor, size_t i)
{
  const struct promotion *p = &monitor->promotion;
  const struct monitor_instance *instance = &monitor->instances[i];
  return 4 * (strcmp (instance->name, p->target) == 0) + 2 * !instance->leaving
         + (strcmp (instance->name, p->next.primary) != 0);
}

static size_t
choose (const struct monitor *monitor)
{
  const struct promotion *p = &monitor->promotion;
  size_t best = monitor->instance_count;
  for (size_t i = 0; i < monitor->instance_count; i++)
    {
      if (!p->sealed[i])
        continue;
      int comparison
          = best == monitor->instance_count
                ? 1
                : compare_history (&p->reports[i], &p->reports[best]);
      if (MUTANT (choose_any) && best != monitor->instance_count)
        continue;
      if (comparison > 0
          || (comparison == 0
              && preference (monitor, i) > preference (monitor, best)))
        best = i;
    }
  return best;
}

/* Adds the start of the record's term to its history.  Removes the starts of
   terms above that of the chosen instance's REPORT, as none of their log is
   kept.  */
static void
extend_history (struct term_record *record, const struct db_report *report)
{
  size_t count = record->start_count;
  while (count > 0 && record->starts[count - 1].term > report->term)
    count--;
  if (count == TERM_HISTORY)
    {
      count--;
      memmove (record->starts, record->starts + 1,
               count * sizeof record->starts[0]);
    }
  record->starts[count] = (struct term_start){ .term = record->term,
                                               .lsn = report->received_lsn };
  record->start_count = count + 1;
}

static void
choose_primary (struct monitor *monitor)
{
  struct promotion *p = &monitor->promotion;
  size_t chosen = choose (monitor);
  const struct db_report *report = &p->reports[chosen];
  const struct monitor_instance *instance = &monitor->instances[chosen];
  log_event (kernel_log (monitor->env->kernel), LOG_INFO, "primary_chosen",
             LOG_S ("database", monitor->database),
             LOG_S ("chosen", instance->name),
             LOG_U ("sealed", sealed_count (monitor)),
             LOG_U ("instances", monitor->instance_count),
             LOG_U ("log_term", report->term),
             LOG_U ("received_lsn", report->received_lsn),
             LOG_S ("replaced", p->next.primary));
  /* A sealed old primary acknowledges no more writes, so the activation need
     not wait.  */
  size_t old = monitor_find_instance (monitor, p->next.primary);
  if (old < monitor->instance_count && p->sealed[old])
    p->activate_after_ms = 0;
  memcpy (p->next.primary, instance->name, sizeof p->next.primary);
  p->next.state = TERM_CHOSEN;
  extend_history (&p->next, report);
  promotion_enter (monitor, PROMOTION_CHOOSE);
}

void
promotion_seal (struct monitor *monitor)
{
  struct promotion *p = &monitor->promotion;
  size_t count = monitor->instance_count;
  size_t need = count > 1 && !MUTANT (seal_one_only) ? count - 1 : 1;
  for (size_t i = 0; i < count; i++)
    if (!p->sealed[i])
      submit (monitor, i, DB_SEAL, seal_done);
  size_t target = monitor_find_instance (monitor, p->target);
  bool wait_for_target = target < count && !p->sealed[target]
                         && now (monitor) - p->phase_ms < TARGET_SEAL_LIMIT_MS;
  if (count > 0 && sealed_count (monitor) >= need && !wait_for_target)
    choose_primary (monitor);
}

static void
promote_done (void *arg, const struct db_result *result)
{
  struct monitor_instance *instance = arg;
  struct monitor *monitor = instance->monitor;
  struct promotion *p = &monitor->promotion;
  const struct db_report *report = usable_report (result);
  size_t i;
  if (p->phase != PROMOTION_PROMOTE)
    return;
  job_ended (instance, &i);
  if (report == NULL)
    return;
  if (is_superseded (p, report))
    promotion_stop (monitor, "the chosen instance is in a later term");
  else if (report->primary && report->term == p->next.term)
    {
      p->next.state = TERM_ACTIVE;
      promotion_enter (monitor, PROMOTION_ACTIVATE);
    }
}

void
promotion_promote (struct monitor *monitor)
{
  struct promotion *p = &monitor->promotion;
  size_t chosen = monitor_find_instance (monitor, p->next.primary);
  if (chosen == monitor->instance_count
      || now (monitor) - p->phase_ms > PROMOTE_LIMIT_MS)
    {
      promotion_start (monitor, p->next.term + 1);
      return;
    }
  submit (monitor, chosen, DB_PROMOTE, promote_done);
}
