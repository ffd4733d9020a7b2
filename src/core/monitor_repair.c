#include <string.h>

#include "core/monitor.h"
#include "kernel/mutant.h"

/* Interval between repairs of one instance, and the delay per rank.  */
#define REPAIR_MS 2000
#define REPAIR_RANK_MS 1500

static clk_ms
now (const struct monitor *monitor)
{
  return kernel_now (monitor->env->kernel);
}

static void
repair_done (void *arg, const struct db_result *result)
{
  struct monitor_instance *instance = arg;
  (void)result;
  monitor_wake (instance->monitor);
}

/* Makes INSTANCE replicate from the primary of RECORD.  If it reports to be
   primary itself, it is fenced first.  */
static void
repair (struct monitor *monitor, struct monitor_instance *instance,
        const struct term_record *record)
{
  size_t primary = monitor_find_instance (monitor, record->primary);
  const struct control_state *state = control_state (instance->control);
  bool is_primary = state->reported && state->report.primary;
  if (primary == monitor->instance_count || MUTANT (skip_repair))
    return;
  const struct db_target target
      = { .address = monitor->instances[primary].address,
          .port = monitor->instances[primary].port };
  log_event (kernel_log (monitor->env->kernel), LOG_INFO, "instance_repair",
             LOG_S ("database", monitor->database),
             LOG_S ("instance", instance->name),
             LOG_S ("primary", record->primary), LOG_U ("term", record->term),
             LOG_S ("leads", is_primary ? "yes" : "no"),
             LOG_U ("log_term", state->report.term),
             LOG_U ("sealed_term", state->report.sealed_term));
  if (is_primary)
    control_submit (instance->control, DB_FENCE, record->term, NULL,
                    repair_done, instance);
  if (!state->reported || state->report.sealed_term < record->term)
    control_submit (instance->control, DB_SEAL, record->term, NULL,
                    repair_done, instance);
  control_submit (instance->control, DB_FOLLOW, record->term, &target,
                  repair_done, instance);
}

static bool
needs_repair (const struct monitor *monitor,
              const struct monitor_instance *instance,
              const struct term_record *record)
{
  const struct control_state *state = control_state (instance->control);
  if (!state->reported || state->failures > 0 || state->busy
      || state->report_ms <= monitor->record_ms)
    return false;
  return state->report.primary || !state->report.receiving
         || state->report.term != record->term;
}

/* Returns whether the primary has answered after REPORT_MS.  If it is
   unreachable, a job DB_FOLLOW would block the replica's connection and delay
   the seal of a following promotion.  */
static bool
primary_answers (const struct monitor *monitor,
                 const struct term_record *record, clk_ms report_ms)
{
  size_t i = monitor_find_instance (monitor, record->primary);
  if (i == monitor->instance_count || monitor->suspected)
    return false;
  const struct control_state *state
      = control_state (monitor->instances[i].control);
  return state->reported && state->failures == 0
         && state->report_ms > report_ms && state->report.primary
         && state->report.term == record->term;
}

void
monitor_repair (struct monitor *monitor)
{
  const struct term_record *record = monitor_record (monitor);
  clk_ms rank_ms = (clk_ms)monitor->rank * REPAIR_RANK_MS;
  if (monitor->rank >= MONITOR_COORDINATORS
      || now (monitor) < monitor->record_ms + rank_ms)
    return;
  for (size_t i = 0; i < monitor->instance_count; i++)
    {
      struct monitor_instance *instance = &monitor->instances[i];
      if (strcmp (instance->name, record->primary) == 0
          || now (monitor) < instance->repair_due_ms
          || !needs_repair (monitor, instance, record)
          || !primary_answers (monitor, record,
                               control_state (instance->control)->report_ms))
        continue;
      instance->repair_due_ms = now (monitor) + REPAIR_MS + rank_ms;
      repair (monitor, instance, record);
    }
}

void
monitor_repair_now (struct monitor *monitor)
{
  const struct term_record *record = monitor_record (monitor);
  for (size_t i = 0; i < monitor->instance_count; i++)
    {
      struct monitor_instance *instance = &monitor->instances[i];
      if (strcmp (instance->name, record->primary) == 0)
        continue;
      instance->repair_due_ms = now (monitor) + REPAIR_MS;
      repair (monitor, instance, record);
    }
}
