#include "core/guard.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

/* Pause between steps while all is well, and while something is wrong.  */
#define STEP_MS 100
#define STEP_BUSY_MS 20

/* Silence beyond the interval of probes after which an instance is
   suspected, and attempts to connect that fail.  */
#define SILENCE_MS 500
#define UNREACHABLE_FAILURES 2
#define UNFIT_REPORTS 2
#define PROBE_BUSY_MS 100
#define REPLICA_PROBE_FACTOR 4

/* How long coordinators of lower rank hold back.  */
#define RANK_DELAY_MS 400
#define RANK_BOOTSTRAP_MS 1000

/* A record that is not active and has not changed for so long belongs to a
   coordinator that is gone.  */
#define STALL_MS 2000
#define STALL_RANK_MS 1000

/* Changes of primary within the span are counted; each doubles the time
   until the next.  */
#define FLAP_SPAN_MS 60000
#define FLAP_DELAY_MS 2000
#define FLAP_DELAY_MAX_MS 60000

/* When a whole failure domain is lost, its failovers are spread so that
   their writes stay within what the platform takes.  */
#define STORM_WRITES_PER_S 400
#define WRITES_PER_PROMOTION 3

#define LEAVING_RETRY_MS 30000

static clk_ms
now (const struct guard *guard)
{
  return kernel_now (guard->env->kernel);
}

const struct term_record *
guard_record (const struct guard *guard)
{
  return terms_get (guard->env->terms, guard->database);
}

size_t
guard_find (const struct guard *guard, const char *name)
{
  size_t i = 0;
  while (i < guard->instance_count
         && strcmp (guard->instances[i].name, name) != 0)
    i++;
  return i;
}

/* Whether REPORT is one of the primary of RECORD.  */
static bool
is_fit (const struct term_record *record, const struct db_report *report)
{
  return report->primary && report->term == record->term
         && report->sealed_term <= record->term;
}

static void
probe_done (void *arg, const struct db_result *result)
{
  struct guard_instance *instance = arg;
  struct guard *guard = instance->guard;
  const struct term_record *record = guard_record (guard);
  guard_wake (guard);
  if (result == NULL || result->status != DB_OK || record == NULL)
    return;
  if (is_fit (record, &result->report))
    instance->unfit_reports = 0;
  else
    instance->unfit_reports++;
}

static bool
is_primary (const struct guard *guard, size_t i)
{
  const struct term_record *record = guard_record (guard);
  return record != NULL
         && strcmp (record->primary, guard->instances[i].name) == 0;
}

static void
probe (struct guard *guard)
{
  for (size_t i = 0; i < guard->instance_count; i++)
    {
      struct guard_instance *instance = &guard->instances[i];
      const struct control_state *state = control_state (instance->control);
      if (now (guard) < instance->probe_due_ms || state->busy)
        continue;
      clk_ms interval_ms = guard->env->probe_ms;
      if (guard->suspected || state->failures > 0
          || instance->unfit_reports > 0 || !state->reported)
        interval_ms = PROBE_BUSY_MS;
      if (!is_primary (guard, i))
        interval_ms *= REPLICA_PROBE_FACTOR;
      instance->probe_due_ms = now (guard) + interval_ms;
      control_probe (instance->control, probe_done, instance);
    }
}

/* Returns why the primary is suspected, NULL if it is not.  */
static const char *
suspicion (const struct guard *guard, const struct term_record *record)
{
  size_t i = guard_find (guard, record->primary);
  if (i == guard->instance_count)
    return "not configured";
  const struct guard_instance *instance = &guard->instances[i];
  const struct control_state *state = control_state (instance->control);
  if (state->failures >= UNREACHABLE_FAILURES)
    return "unreachable";
  /* A replica that became primary has been probed less often.  */
  clk_ms heard_ms = state->answered_ms > guard->record_ms ? state->answered_ms
                                                          : guard->record_ms;
  if (now (guard) - heard_ms >= guard->env->probe_ms + SILENCE_MS)
    return "silent";
  if (instance->unfit_reports >= UNFIT_REPORTS
      && state->report_ms > guard->record_ms + guard->env->probe_ms)
    return "not primary";
  return NULL;
}

static void
make_probes_due (struct guard *guard)
{
  for (size_t i = 0; i < guard->instance_count; i++)
    guard->instances[i].probe_due_ms = now (guard);
}

static void
update_suspicion (struct guard *guard, const struct term_record *record)
{
  const char *why = NULL;
  if (record != NULL && record->state == TERM_ACTIVE)
    why = suspicion (guard, record);
  if ((why != NULL) == guard->suspected)
    return;
  guard->suspected = why != NULL;
  guard->ask_due_ms = now (guard);
  guard_wake (guard);
  if (why != NULL)
    {
      guard->suspected_ms = now (guard);
      make_probes_due (guard);
    }
  log_event (kernel_log (guard->env->kernel), LOG_NOTICE, "primary_suspected",
             LOG_S ("database", guard->database),
             LOG_S ("suspected", why != NULL ? "yes" : "no"),
             LOG_S ("why", why), LOG_U ("term", record ? record->term : 0),
             LOG_S ("primary", record ? record->primary : NULL),
             LOG_I ("rank", (int64_t)guard->rank));
}

/* Counts the databases whose primary is in DOMAIN.  */
struct storm
{
  struct view *view;
  const char *domain;
  size_t count;
};

static void
count_primary (void *arg, const char *name, uint64_t index,
               const struct term_record *record)
{
  struct storm *storm = arg;
  (void)index;
  struct view_database *database = view_database (storm->view, name);
  struct view_instance *instance
      = database ? view_instance (database, record->primary) : NULL;
  if (instance != NULL && strcmp (instance->domain, storm->domain) == 0)
    storm->count++;
}

/* Chooses when to act in the loss of the primary's failure domain.  */
static clk_ms
storm_delay (struct guard *guard, const struct term_record *record)
{
  size_t i = guard_find (guard, record->primary);
  if (i == guard->instance_count)
    return 0;
  struct storm storm
      = { .view = guard->env->view, .domain = guard->instances[i].domain };
  terms_each (guard->env->terms, count_primary, &storm);
  uint64_t window_ms
      = storm.count * WRITES_PER_PROMOTION * 1000 / STORM_WRITES_PER_S;
  return (clk_ms)rng_below (kernel_rng (guard->env->kernel), window_ms + 1);
}

static void
update_confirmation (struct guard *guard, const struct term_record *record)
{
  bool known = false;
  bool down = guard_domain_is_down (guard, &known);
  bool confirmed = guard->suspected && known && guard_is_confirmed (guard);
  if (confirmed == guard->confirmed)
    return;
  guard->confirmed = confirmed;
  if (!confirmed)
    return;
  guard->confirmed_ms = now (guard);
  guard->storm_delay_ms = down ? storm_delay (guard, record) : 0;
  log_event (kernel_log (guard->env->kernel), LOG_WARNING,
             "primary_confirmed_lost", LOG_S ("database", guard->database),
             LOG_U ("term", record->term), LOG_S ("primary", record->primary),
             LOG_I ("rank", (int64_t)guard->rank),
             LOG_I ("suspected_ms", now (guard) - guard->suspected_ms),
             LOG_S ("domain_down", down ? "yes" : "no"),
             LOG_I ("storm_delay_ms", guard->storm_delay_ms),
             LOG_S ("hold", record->hold ? "yes" : "no"));
}

static clk_ms
flap_delay (const struct guard *guard)
{
  if (guard->flaps == 0 || now (guard) - guard->changed_ms > FLAP_SPAN_MS)
    return 0;
  uint32_t shift = guard->flaps < 6 ? guard->flaps - 1 : 5;
  clk_ms delay_ms = FLAP_DELAY_MS << shift;
  if (delay_ms > FLAP_DELAY_MAX_MS)
    delay_ms = FLAP_DELAY_MAX_MS;
  return delay_ms;
}

/* Whether enough instances have answered since the primary is suspected, so
   that they can be sealed.  A claim that can't be
   followed by the seal would only stop writes.  */
static bool
can_seal (const struct guard *guard)
{
  size_t answering = 0;
  for (size_t i = 0; i < guard->instance_count; i++)
    {
      const struct control_state *state
          = control_state (guard->instances[i].control);
      answering += state->reported && state->failures == 0
                   && state->answered_ms >= guard->suspected_ms;
    }
  return answering + 1 >= guard->instance_count;
}

static void
consider_failover (struct guard *guard, const struct term_record *record)
{
  clk_ms hold_back_ms
      = (clk_ms)guard->rank * RANK_DELAY_MS + guard->storm_delay_ms;
  if (!guard->confirmed || record->hold || guard->instance_count < 2)
    return;
  if (now (guard) < guard->confirmed_ms + hold_back_ms
      || now (guard) < guard->changed_ms + flap_delay (guard)
      || !can_seal (guard))
    return;
  metrics_increment (kernel_metrics (guard->env->kernel), "failovers_total");
  promotion_start (guard, record->term + 1);
}

/* Finishes the attempt of a coordinator that is gone.  */
static void
consider_takeover (struct guard *guard, const struct term_record *record)
{
  clk_ms stall_ms = STALL_MS + (clk_ms)guard->rank * STALL_RANK_MS;
  if (now (guard) < guard->record_ms + stall_ms)
    return;
  log_event (kernel_log (guard->env->kernel), LOG_WARNING,
             "promotion_taken_over", LOG_S ("database", guard->database),
             LOG_U ("term", record->term),
             LOG_S ("state", term_state_name (record->state)),
             LOG_S ("coordinator", record->coordinator),
             LOG_I ("stalled_ms", now (guard) - guard->record_ms));
  if (record->state == TERM_CHOSEN)
    promotion_resume (guard);
  else
    promotion_start (guard, record->term);
}

/* Creates the first record once a majority of the instances answers and just
   one of them is primary.  */
static void
consider_bootstrap (struct guard *guard)
{
  size_t reached = 0, primaries = 0, primary = 0;
  clk_ms wait_ms = (clk_ms)guard->rank * RANK_BOOTSTRAP_MS;
  if (!sync_ready (guard->env->sync)
      || now (guard) < guard->created_ms + wait_ms)
    return;
  for (size_t i = 0; i < guard->instance_count; i++)
    {
      const struct control_state *state
          = control_state (guard->instances[i].control);
      if (!state->reported || state->failures > 0)
        continue;
      reached++;
      if (!state->report.primary)
        continue;
      primaries++;
      primary = i;
    }
  if (reached * 2 <= guard->instance_count || primaries != 1)
    return;
  const struct control_state *state
      = control_state (guard->instances[primary].control);
  promotion_bootstrap (guard, state->report.term,
                       guard->instances[primary].name);
}

/* Orders a switch-over off a primary that is leaving.  */
static void
consider_leaving (struct guard *guard, const struct term_record *record)
{
  size_t i = guard_find (guard, record->primary);
  bool other = false;
  for (size_t j = 0; j < guard->instance_count; j++)
    other = other
            || (!guard->instances[j].leaving
                && control_state (guard->instances[j].control)
                       ->report.receiving);
  if (i == guard->instance_count || !guard->instances[i].leaving || !other
      || guard->rank != 0 || record->hold || now (guard) < guard->order_due_ms)
    return;
  guard->order_due_ms = now (guard) + LEAVING_RETRY_MS;
  promotion_order (guard, NULL, NULL, NULL);
}

static void
decide (struct guard *guard, const struct term_record *record)
{
  if (guard->promotion.phase != PROMOTION_NONE)
    {
      promotion_step (guard);
      return;
    }
  if (guard->rank >= GUARD_COORDINATORS)
    return;
  if (record == NULL)
    consider_bootstrap (guard);
  else if (record->state != TERM_ACTIVE)
    consider_takeover (guard, record);
  else if (guard->suspected)
    consider_failover (guard, record);
  else
    consider_leaving (guard, record);
}

static void
step (struct guard *guard)
{
  bool busy = guard->suspected || guard->promotion.phase != PROMOTION_NONE;
  /* What follows may wake the guard earlier.  */
  kernel_timer_set (guard->env->kernel, &guard->timer,
                    now (guard) + (busy ? STEP_BUSY_MS : STEP_MS));
  probe (guard);
  const struct term_record *record = guard_record (guard);
  update_suspicion (guard, record);
  guard_ask (guard);
  if (record != NULL)
    update_confirmation (guard, record);
  decide (guard, record);
  record = guard_record (guard);
  if (guard->promotion.phase == PROMOTION_NONE && record != NULL
      && record->state == TERM_ACTIVE)
    guard_repair (guard);
}

static void
guard_fire (void *arg)
{
  step (arg);
}

void
guard_wake (struct guard *guard)
{
  kernel_timer_set (guard->env->kernel, &guard->timer, now (guard));
}

void
guard_record_changed (struct guard *guard)
{
  const struct term_record *record = guard_record (guard);
  guard->record_ms = now (guard);
  if (record->term > guard->record_term && guard->record_term != 0)
    {
      bool close = now (guard) - guard->changed_ms < FLAP_SPAN_MS;
      guard->flaps = close ? guard->flaps + 1 : 1;
      guard->changed_ms = now (guard);
    }
  if (record->term > guard->record_term)
    guard_drop_voices (guard);
  guard->record_term = record->term;
  guard->confirmed = false;
  for (size_t i = 0; i < guard->instance_count; i++)
    guard->instances[i].unfit_reports = 0;
  make_probes_due (guard);
  guard_wake (guard);
}

static void
set_instances (struct guard *guard, const struct view_database *database)
{
  size_t count = database->instance_count;
  if (count > GUARD_INSTANCES)
    count = GUARD_INSTANCES;
  guard->instance_count = count;
  for (size_t i = 0; i < count; i++)
    {
      const struct view_instance *from = &database->instances[i];
      struct guard_instance *to = &guard->instances[i];
      const struct db_target target
          = { .address = from->address, .port = from->port };
      memset (to, 0, sizeof *to);
      to->guard = guard;
      memcpy (to->name, from->name, sizeof to->name);
      memcpy (to->domain, from->domain, NAME_BYTES);
      memcpy (to->address, from->address, ADDRESS_BYTES);
      to->port = from->port;
      to->leaving = from->leaving;
      to->control = control_new (guard->env->kernel, guard->env->db, &target);
    }
}

static void
drop_instances (struct guard *guard)
{
  for (size_t i = 0; i < guard->instance_count; i++)
    control_free (guard->instances[i].control);
  guard->instance_count = 0;
}

struct guard *
guard_new (struct guard_env *env, const struct view_database *database)
{
  struct guard *guard = mem_zalloc (sizeof *guard);
  guard->env = env;
  memcpy (guard->database, database->name, sizeof guard->database);
  guard->expires_ms = CLK_NEVER;
  guard->created_ms = now (guard);
  guard->changed_ms = INT64_MIN / 2;
  guard->timer.fire = guard_fire;
  guard->timer.arg = guard;
  const struct term_record *record = guard_record (guard);
  guard->record_term = record == NULL ? 0 : record->term;
  guard->record_ms = now (guard);
  set_instances (guard, database);
  guard_wake (guard);
  return guard;
}

void
guard_free (struct guard *guard)
{
  promotion_stop (guard, "no longer coordinator");
  guard_drop_voices (guard);
  drop_instances (guard);
  kernel_timer_cancel (guard->env->kernel, &guard->timer);
  free (guard);
}

static bool
same_instances (const struct guard *guard,
                const struct view_database *database)
{
  if (guard->instance_count != database->instance_count)
    return false;
  for (size_t i = 0; i < guard->instance_count; i++)
    {
      const struct guard_instance *a = &guard->instances[i];
      const struct view_instance *b = &database->instances[i];
      if (strcmp (a->name, b->name) != 0 || a->port != b->port
          || strcmp (a->address, b->address) != 0
          || strcmp (a->domain, b->domain) != 0)
        return false;
    }
  return true;
}

void
guard_update (struct guard *guard, const struct view_database *database)
{
  if (guard->promotion.phase != PROMOTION_NONE)
    return;
  if (same_instances (guard, database))
    {
      for (size_t i = 0; i < guard->instance_count; i++)
        guard->instances[i].leaving = database->instances[i].leaving;
      return;
    }
  drop_instances (guard);
  set_instances (guard, database);
  guard_wake (guard);
}
