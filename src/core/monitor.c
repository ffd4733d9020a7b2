#include "core/monitor.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

/* Intervals between steps while the primary is healthy, and while it is
   suspected or replaced.  */
#define STEP_MS 100
#define STEP_BUSY_MS 20

/* Limits beyond which the primary is suspected: the time without an answer in
   addition to the probe interval, the consecutive failures of its connection,
   and the consecutive reports that it is not primary.  */
#define ANSWER_TIMEOUT_MS 500
#define UNREACHABLE_FAILURES 2
#define NOT_PRIMARY_REPORTS 2

/* Probe interval while the primary is suspected, the instance is unreachable
   or not yet known, or its latest report is not that of the primary.  */
#define PROBE_BUSY_MS 100

/* Replicas are probed at this multiple of the interval.  */
#define REPLICA_PROBE_FACTOR 4

/* Delay per rank before a coordinator starts a failover, and before it creates
   the first record, so that normally only the first healthy one acts.  */
#define RANK_DELAY_MS 400
#define RANK_BOOTSTRAP_MS 1000

/* A promotion whose record has not changed for this long is taken over, as
   its coordinator has probably failed.  The second value is added per
   rank.  */
#define STALL_MS 2000
#define STALL_RANK_MS 1000

/* Flap damping: each further change of primary within the span doubles the
   minimum time until the next failover.  */
#define FLAP_SPAN_MS 60000
#define FLAP_DELAY_MS 2000
#define FLAP_DELAY_MAX_MS 60000

/* When a whole failure domain fails, its failovers get a random delay
   (jitter), so that together they stay below the write rate that the platform
   sustains.  */
#define STORM_WRITES_PER_S 400
#define WRITES_PER_PROMOTION 3

/* Interval between attempts to switch over from a leaving primary.  */
#define LEAVING_RETRY_MS 30000

static clk_ms
now (const struct monitor *monitor)
{
  return kernel_now (monitor->env->kernel);
}

const struct term_record *
monitor_record (const struct monitor *monitor)
{
  return terms_get (monitor->env->terms, monitor->database);
}

size_t
monitor_find_instance (const struct monitor *monitor, const char *name)
{
  size_t i = 0;
  while (i < monitor->instance_count
         && strcmp (monitor->instances[i].name, name) != 0)
    i++;
  return i;
}

/* Returns whether REPORT is that of a primary in RECORD's term that is not
   sealed for a later term.  */
static bool
is_primary_report (const struct term_record *record,
                   const struct db_report *report)
{
  return report->primary && report->term == record->term
         && report->sealed_term <= record->term;
}

static void
probe_done (void *arg, const struct db_result *result)
{
  struct monitor_instance *instance = arg;
  struct monitor *monitor = instance->monitor;
  const struct term_record *record = monitor_record (monitor);
  monitor_wake (monitor);
  if (result == NULL || result->status != DB_OK || record == NULL)
    return;
  if (is_primary_report (record, &result->report))
    instance->not_primary_reports = 0;
  else
    instance->not_primary_reports++;
}

static bool
is_primary (const struct monitor *monitor, size_t i)
{
  const struct term_record *record = monitor_record (monitor);
  return record != NULL
         && strcmp (record->primary, monitor->instances[i].name) == 0;
}

static void
probe (struct monitor *monitor)
{
  for (size_t i = 0; i < monitor->instance_count; i++)
    {
      struct monitor_instance *instance = &monitor->instances[i];
      const struct control_state *state = control_state (instance->control);
      if (now (monitor) < instance->probe_due_ms || state->busy)
        continue;
      clk_ms interval_ms = monitor->env->probe_ms;
      if (monitor->suspected || state->failures > 0
          || instance->not_primary_reports > 0 || !state->reported)
        interval_ms = PROBE_BUSY_MS;
      if (!is_primary (monitor, i))
        interval_ms *= REPLICA_PROBE_FACTOR;
      instance->probe_due_ms = now (monitor) + interval_ms;
      control_probe (instance->control, probe_done, instance);
    }
}

/* Returns the reason to suspect the primary, or NULL if there is none.  */
static const char *
suspicion_reason (const struct monitor *monitor,
                  const struct term_record *record)
{
  size_t i = monitor_find_instance (monitor, record->primary);
  if (i == monitor->instance_count)
    return "not configured";
  const struct monitor_instance *instance = &monitor->instances[i];
  const struct control_state *state = control_state (instance->control);
  if (state->failures >= UNREACHABLE_FAILURES)
    return "unreachable";
  /* A new primary was probed less often as a replica, so its last answer may
     be older than the timeout.  */
  clk_ms last_answer_ms = state->answered_ms > monitor->record_ms
                              ? state->answered_ms
                              : monitor->record_ms;
  if (now (monitor) - last_answer_ms
      >= monitor->env->probe_ms + ANSWER_TIMEOUT_MS)
    return "no answer in time";
  if (instance->not_primary_reports >= NOT_PRIMARY_REPORTS
      && state->report_ms > monitor->record_ms + monitor->env->probe_ms)
    return "not primary";
  return NULL;
}

static void
make_probes_due (struct monitor *monitor)
{
  for (size_t i = 0; i < monitor->instance_count; i++)
    monitor->instances[i].probe_due_ms = now (monitor);
}

static void
update_suspicion (struct monitor *monitor, const struct term_record *record)
{
  const char *why = NULL;
  if (record != NULL && record->state == TERM_ACTIVE)
    why = suspicion_reason (monitor, record);
  if ((why != NULL) == monitor->suspected)
    return;
  monitor->suspected = why != NULL;
  monitor->query_due_ms = now (monitor);
  monitor_wake (monitor);
  if (why != NULL)
    {
      monitor->suspected_ms = now (monitor);
      make_probes_due (monitor);
    }
  log_event (kernel_log (monitor->env->kernel), LOG_NOTICE,
             "primary_suspected", LOG_S ("database", monitor->database),
             LOG_S ("suspected", why != NULL ? "yes" : "no"),
             LOG_S ("why", why), LOG_U ("term", record ? record->term : 0),
             LOG_S ("primary", record ? record->primary : NULL),
             LOG_I ("rank", (int64_t)monitor->rank));
}

/* Count of the databases whose primary is in DOMAIN.  */
struct primary_count
{
  struct view *view;
  const char *domain;
  size_t primaries;
};

static void
count_primary (void *arg, const char *name, uint64_t index,
               const struct term_record *record)
{
  struct primary_count *count = arg;
  (void)index;
  struct view_database *database = view_database (count->view, name);
  struct view_instance *instance
      = database ? view_instance (database, record->primary) : NULL;
  if (instance != NULL && strcmp (instance->domain, count->domain) == 0)
    count->primaries++;
}

/* Returns a random delay for a failover that is one of many, as the primary's
   whole failure domain is unreachable.  */
static clk_ms
storm_delay (struct monitor *monitor, const struct term_record *record)
{
  size_t i = monitor_find_instance (monitor, record->primary);
  if (i == monitor->instance_count)
    return 0;
  struct primary_count count
      = { .view = monitor->env->view, .domain = monitor->instances[i].domain };
  terms_each (monitor->env->terms, count_primary, &count);
  uint64_t window_ms
      = count.primaries * WRITES_PER_PROMOTION * 1000 / STORM_WRITES_PER_S;
  return (clk_ms)rng_below (kernel_rng (monitor->env->kernel), window_ms + 1);
}

static void
update_confirmation (struct monitor *monitor, const struct term_record *record)
{
  bool known = false;
  bool down = monitor_domain_is_down (monitor, &known);
  bool confirmed
      = monitor->suspected && known && monitor_is_confirmed (monitor);
  if (confirmed == monitor->confirmed)
    return;
  monitor->confirmed = confirmed;
  if (!confirmed)
    return;
  monitor->confirmed_ms = now (monitor);
  monitor->storm_delay_ms = down ? storm_delay (monitor, record) : 0;
  log_event (kernel_log (monitor->env->kernel), LOG_WARNING,
             "primary_confirmed_lost", LOG_S ("database", monitor->database),
             LOG_U ("term", record->term), LOG_S ("primary", record->primary),
             LOG_I ("rank", (int64_t)monitor->rank),
             LOG_I ("suspected_ms", now (monitor) - monitor->suspected_ms),
             LOG_S ("domain_down", down ? "yes" : "no"),
             LOG_I ("storm_delay_ms", monitor->storm_delay_ms),
             LOG_S ("hold", record->hold ? "yes" : "no"));
}

static clk_ms
flap_delay (const struct monitor *monitor)
{
  if (monitor->flaps == 0
      || now (monitor) - monitor->changed_ms > FLAP_SPAN_MS)
    return 0;
  uint32_t shift = monitor->flaps < 6 ? monitor->flaps - 1 : 5;
  clk_ms delay_ms = FLAP_DELAY_MS << shift;
  if (delay_ms > FLAP_DELAY_MAX_MS)
    delay_ms = FLAP_DELAY_MAX_MS;
  return delay_ms;
}

/* Returns whether all instances but one have answered since the primary is
   suspected.  If fewer can be sealed, a claimed term can't be completed and
   would only stop writes.  */
static bool
can_seal (const struct monitor *monitor)
{
  size_t answering = 0;
  for (size_t i = 0; i < monitor->instance_count; i++)
    {
      const struct control_state *state
          = control_state (monitor->instances[i].control);
      answering += state->reported && state->failures == 0
                   && state->answered_ms >= monitor->suspected_ms;
    }
  return answering + 1 >= monitor->instance_count;
}

static void
consider_failover (struct monitor *monitor, const struct term_record *record)
{
  clk_ms rank_delay_ms
      = (clk_ms)monitor->rank * RANK_DELAY_MS + monitor->storm_delay_ms;
  if (!monitor->confirmed || record->hold || monitor->instance_count < 2)
    return;
  if (now (monitor) < monitor->confirmed_ms + rank_delay_ms
      || now (monitor) < monitor->changed_ms + flap_delay (monitor)
      || !can_seal (monitor))
    return;
  metrics_increment (kernel_metrics (monitor->env->kernel), "failovers_total");
  promotion_start (monitor, record->term + 1);
}

/* Takes over a promotion that its coordinator has not completed in time.  */
static void
consider_takeover (struct monitor *monitor, const struct term_record *record)
{
  clk_ms stall_ms = STALL_MS + (clk_ms)monitor->rank * STALL_RANK_MS;
  if (now (monitor) < monitor->record_ms + stall_ms)
    return;
  log_event (kernel_log (monitor->env->kernel), LOG_WARNING,
             "promotion_taken_over", LOG_S ("database", monitor->database),
             LOG_U ("term", record->term),
             LOG_S ("state", term_state_name (record->state)),
             LOG_S ("coordinator", record->coordinator),
             LOG_I ("stalled_ms", now (monitor) - monitor->record_ms));
  if (record->state == TERM_CHOSEN)
    promotion_resume (monitor);
  else
    promotion_start (monitor, record->term);
}

/* Creates the first record once a majority of the instances answers and
   exactly one of them is primary.  */
static void
consider_bootstrap (struct monitor *monitor)
{
  size_t answering = 0, primaries = 0, primary = 0;
  clk_ms wait_ms = (clk_ms)monitor->rank * RANK_BOOTSTRAP_MS;
  if (!sync_ready (monitor->env->sync)
      || now (monitor) < monitor->created_ms + wait_ms)
    return;
  for (size_t i = 0; i < monitor->instance_count; i++)
    {
      const struct control_state *state
          = control_state (monitor->instances[i].control);
      if (!state->reported || state->failures > 0)
        continue;
      answering++;
      if (!state->report.primary)
        continue;
      primaries++;
      primary = i;
    }
  if (answering * 2 <= monitor->instance_count || primaries != 1)
    return;
  const struct control_state *state
      = control_state (monitor->instances[primary].control);
  promotion_bootstrap (monitor, state->report.term,
                       monitor->instances[primary].name);
}

/* Starts a switch-over if the primary is marked as leaving and a replica can
   take its place.  */
static void
consider_leaving (struct monitor *monitor, const struct term_record *record)
{
  size_t i = monitor_find_instance (monitor, record->primary);
  bool has_target = false;
  for (size_t j = 0; j < monitor->instance_count; j++)
    has_target = has_target
                 || (!monitor->instances[j].leaving
                     && control_state (monitor->instances[j].control)
                            ->report.receiving);
  if (i == monitor->instance_count || !monitor->instances[i].leaving
      || !has_target || monitor->rank != 0 || record->hold
      || now (monitor) < monitor->switch_over_due_ms)
    return;
  monitor->switch_over_due_ms = now (monitor) + LEAVING_RETRY_MS;
  promotion_switch_over (monitor, NULL, NULL, NULL);
}

static void
decide (struct monitor *monitor, const struct term_record *record)
{
  if (monitor->promotion.phase != PROMOTION_NONE)
    {
      promotion_step (monitor);
      return;
    }
  if (monitor->rank >= MONITOR_COORDINATORS)
    return;
  if (record == NULL)
    consider_bootstrap (monitor);
  else if (record->state != TERM_ACTIVE)
    consider_takeover (monitor, record);
  else if (monitor->suspected)
    consider_failover (monitor, record);
  else
    consider_leaving (monitor, record);
}

static void
step (struct monitor *monitor)
{
  bool busy = monitor->suspected || monitor->promotion.phase != PROMOTION_NONE;
  /* Set before the work below, which may schedule an earlier step.  */
  kernel_timer_set (monitor->env->kernel, &monitor->timer,
                    now (monitor) + (busy ? STEP_BUSY_MS : STEP_MS));
  probe (monitor);
  const struct term_record *record = monitor_record (monitor);
  update_suspicion (monitor, record);
  monitor_query_hosts (monitor);
  if (record != NULL)
    update_confirmation (monitor, record);
  decide (monitor, record);
  record = monitor_record (monitor);
  if (monitor->promotion.phase == PROMOTION_NONE && record != NULL
      && record->state == TERM_ACTIVE)
    monitor_repair (monitor);
}

static void
monitor_fire (void *arg)
{
  step (arg);
}

void
monitor_wake (struct monitor *monitor)
{
  kernel_timer_set (monitor->env->kernel, &monitor->timer, now (monitor));
}

void
monitor_record_changed (struct monitor *monitor)
{
  const struct term_record *record = monitor_record (monitor);
  monitor->record_ms = now (monitor);
  if (record->term > monitor->record_term && monitor->record_term != 0)
    {
      bool close = now (monitor) - monitor->changed_ms < FLAP_SPAN_MS;
      monitor->flaps = close ? monitor->flaps + 1 : 1;
      monitor->changed_ms = now (monitor);
    }
  if (record->term > monitor->record_term)
    monitor_clear_consulted (monitor);
  monitor->record_term = record->term;
  monitor->confirmed = false;
  for (size_t i = 0; i < monitor->instance_count; i++)
    monitor->instances[i].not_primary_reports = 0;
  make_probes_due (monitor);
  monitor_wake (monitor);
}

static void
set_instances (struct monitor *monitor, const struct view_database *database)
{
  size_t count = database->instance_count;
  if (count > MONITOR_MAX_INSTANCES)
    count = MONITOR_MAX_INSTANCES;
  monitor->instance_count = count;
  for (size_t i = 0; i < count; i++)
    {
      const struct view_instance *from = &database->instances[i];
      struct monitor_instance *to = &monitor->instances[i];
      const struct db_target target
          = { .address = from->address, .port = from->port };
      memset (to, 0, sizeof *to);
      to->monitor = monitor;
      memcpy (to->name, from->name, sizeof to->name);
      memcpy (to->domain, from->domain, NAME_BYTES);
      memcpy (to->address, from->address, ADDRESS_BYTES);
      to->port = from->port;
      to->leaving = from->leaving;
      to->control
          = control_new (monitor->env->kernel, monitor->env->db, &target);
    }
}

static void
remove_instances (struct monitor *monitor)
{
  for (size_t i = 0; i < monitor->instance_count; i++)
    control_free (monitor->instances[i].control);
  monitor->instance_count = 0;
}

struct monitor *
monitor_new (struct monitor_env *env, const struct view_database *database)
{
  struct monitor *monitor = mem_zalloc (sizeof *monitor);
  monitor->env = env;
  memcpy (monitor->database, database->name, sizeof monitor->database);
  monitor->expires_ms = CLK_NEVER;
  monitor->created_ms = now (monitor);
  monitor->changed_ms = INT64_MIN / 2;
  monitor->timer.fire = monitor_fire;
  monitor->timer.arg = monitor;
  const struct term_record *record = monitor_record (monitor);
  monitor->record_term = record == NULL ? 0 : record->term;
  monitor->record_ms = now (monitor);
  set_instances (monitor, database);
  monitor_wake (monitor);
  return monitor;
}

void
monitor_free (struct monitor *monitor)
{
  promotion_stop (monitor, "no longer coordinator");
  monitor_clear_consulted (monitor);
  remove_instances (monitor);
  kernel_timer_cancel (monitor->env->kernel, &monitor->timer);
  free (monitor);
}

static bool
same_instances (const struct monitor *monitor,
                const struct view_database *database)
{
  if (monitor->instance_count != database->instance_count)
    return false;
  for (size_t i = 0; i < monitor->instance_count; i++)
    {
      const struct monitor_instance *a = &monitor->instances[i];
      const struct view_instance *b = &database->instances[i];
      if (strcmp (a->name, b->name) != 0 || a->port != b->port
          || strcmp (a->address, b->address) != 0
          || strcmp (a->domain, b->domain) != 0)
        return false;
    }
  return true;
}

void
monitor_update (struct monitor *monitor, const struct view_database *database)
{
  if (monitor->promotion.phase != PROMOTION_NONE)
    return;
  if (same_instances (monitor, database))
    {
      for (size_t i = 0; i < monitor->instance_count; i++)
        monitor->instances[i].leaving = database->instances[i].leaving;
      return;
    }
  remove_instances (monitor);
  set_instances (monitor, database);
  monitor_wake (monitor);
}
