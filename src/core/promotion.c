#include "core/promotion.h"

#include <stdio.h>
#include <string.h>

#include "core/gateway.h"
#include "core/monitor.h"
#include "kernel/mutant.h"

/* Time limit for the claim of a planned switch-over while the platform is
   unavailable.  */
#define SWITCH_OVER_CLAIM_LIMIT_MS 10000

/* The rates of two hosts' clocks may differ by 1 / 20.  */
#define CLOCK_DRIFT_DIVISOR 20

static const char *const phase_names[] = {
  [PROMOTION_NONE] = "none",       [PROMOTION_BOOTSTRAP] = "bootstrap",
  [PROMOTION_HOLD] = "hold",       [PROMOTION_CLAIM] = "claim",
  [PROMOTION_FENCE] = "fence",     [PROMOTION_CATCH_UP] = "catch_up",
  [PROMOTION_SEAL] = "seal",       [PROMOTION_CHOOSE] = "choose",
  [PROMOTION_PROMOTE] = "promote", [PROMOTION_ACTIVATE] = "activate",
};

const char *
promotion_phase_name (enum promotion_phase phase)
{
  return phase_names[phase];
}

static clk_ms
now (const struct monitor *monitor)
{
  return kernel_now (monitor->env->kernel);
}

static struct log *
log_of (const struct monitor *monitor)
{
  return kernel_log (monitor->env->kernel);
}

void
promotion_enter (struct monitor *monitor, enum promotion_phase phase)
{
  struct promotion *p = &monitor->promotion;
  log_event (log_of (monitor), LOG_INFO, "promotion",
             LOG_S ("database", monitor->database),
             LOG_S ("phase", phase_names[phase]),
             LOG_S ("was", phase_names[p->phase]),
             LOG_U ("term", p->next.term), LOG_S ("primary", p->next.primary),
             LOG_S ("attempt", p->next.attempt), LOG_U ("index", p->index),
             LOG_I ("elapsed_ms", now (monitor) - p->started_ms));
  p->phase = phase;
  p->phase_ms = now (monitor);
  memset (p->job_due_ms, 0, sizeof p->job_due_ms);
  monitor_wake (monitor);
}

static void
new_attempt_id (struct monitor *monitor, char *out)
{
  struct rng *rng = kernel_rng (monitor->env->kernel);
  unsigned long long high = rng_u64 (rng);
  unsigned long long low = rng_u64 (rng);
  snprintf (out, ATTEMPT_BYTES, "%016llx%016llx", high, low);
}

/* Initialises an attempt with a copy of the known record and a new attempt
   id, and enters PHASE.  Keeps the request of a planned switch-over, as its
   attempt may restart in a higher term.  */
static void
begin (struct monitor *monitor, enum promotion_phase phase)
{
  struct promotion *p = &monitor->promotion;
  const struct term_record *record = monitor_record (monitor);
  promotion_done done = p->done;
  void *arg = p->arg;
  bool planned = p->planned;
  char target[PATH_BYTES];
  memcpy (target, p->target, sizeof target);
  memset (p, 0, sizeof *p);
  p->done = done;
  p->arg = arg;
  p->planned = planned;
  memcpy (p->target, target, sizeof target);
  if (record != NULL)
    p->next = *record;
  p->index = terms_index (monitor->env->terms, monitor->database);
  p->started_ms = now (monitor);
  new_attempt_id (monitor, p->next.attempt);
  memcpy (p->next.coordinator,
          members_self (monitor->env->members)->address.name, NAME_BYTES);
  promotion_enter (monitor, phase);
}

/* Returns whether the primary alone acknowledges some kind of request, or
   serves strong reads of it without a replica's confirmation.  Hosts with an
   old view of the term could then still do so at the old primary.  True if the
   database is not in the view.  */
static bool
needs_view_expiry (const struct monitor *monitor)
{
  struct view_database *database
      = view_database (monitor->env->view, monitor->database);
  if (database == NULL)
    return true;
  const struct view_service *service = database->service;
  for (size_t i = 0; i < service->kind_count; i++)
    if (service->kinds[i].ack == ACK_PRIMARY)
      return true;
  return false;
}

/* Delays the activation until all hosts have either received the claim or
   stopped relying on the old primary alone, because their view of the term is
   too old.  */
static void
set_activation_delay (struct monitor *monitor)
{
  clk_ms delay_ms
      = TERM_VIEW_MAX_AGE_MS + TERM_VIEW_MAX_AGE_MS / CLOCK_DRIFT_DIVISOR;
  monitor->promotion.activate_after_ms
      = needs_view_expiry (monitor) && !MUTANT (skip_ack_window)
            ? now (monitor) + delay_ms
            : 0;
}

static void
finish (struct monitor *monitor, bool ok, const char *message)
{
  struct promotion *p = &monitor->promotion;
  promotion_done done = p->done;
  void *arg = p->arg;
  metrics_increment (kernel_metrics (monitor->env->kernel),
                     ok ? "promotions_total{result=\"done\"}"
                        : "promotions_total{result=\"stopped\"}");
  memset (p, 0, sizeof *p);
  if (done != NULL)
    done (arg, ok, message);
}

void
promotion_stop (struct monitor *monitor, const char *why)
{
  struct promotion *p = &monitor->promotion;
  if (p->phase == PROMOTION_NONE)
    return;
  log_event (log_of (monitor), LOG_WARNING, "promotion_stopped",
             LOG_S ("database", monitor->database),
             LOG_S ("phase", phase_names[p->phase]),
             LOG_U ("term", p->next.term), LOG_S ("why", why));
  if (p->call != 0)
    monitor->env->platform->ops->cancel (monitor->env->platform, p->call);
  finish (monitor, false, why);
}

void
promotion_start (struct monitor *monitor, uint64_t term)
{
  begin (monitor, PROMOTION_CLAIM);
  monitor->promotion.next.term = term;
  monitor->promotion.next.state = TERM_SEALING;
  promotion_step (monitor);
}

static const char *
check_switch_over (struct monitor *monitor, const char *target)
{
  const struct term_record *record = monitor_record (monitor);
  if (record == NULL || record->state != TERM_ACTIVE)
    return "the database has no active primary";
  if (monitor->promotion.phase != PROMOTION_NONE)
    return "a promotion is under way";
  if (monitor->instance_count < 2)
    return "the database has one instance only";
  if (target == NULL)
    return NULL;
  if (strcmp (target, record->primary) == 0)
    return "the target is the primary";
  if (monitor_find_instance (monitor, target) == monitor->instance_count)
    return "no such instance";
  return NULL;
}

const char *
promotion_switch_over (struct monitor *monitor, const char *target,
                       promotion_done done, void *arg)
{
  struct promotion *p = &monitor->promotion;
  const char *error = check_switch_over (monitor, target);
  if (error != NULL)
    return error;
  p->done = done;
  p->arg = arg;
  p->planned = true;
  snprintf (p->target, sizeof p->target, "%s", target == NULL ? "" : target);
  promotion_start (monitor, monitor_record (monitor)->term + 1);
  return NULL;
}

void
promotion_resume (struct monitor *monitor)
{
  struct promotion *p = &monitor->promotion;
  begin (monitor, PROMOTION_PROMOTE);
  p->next = *monitor_record (monitor);
  set_activation_delay (monitor);
  promotion_step (monitor);
}

void
promotion_bootstrap (struct monitor *monitor, uint64_t term,
                     const char *primary)
{
  struct promotion *p = &monitor->promotion;
  begin (monitor, PROMOTION_BOOTSTRAP);
  p->next.term = term;
  p->next.state = TERM_ACTIVE;
  snprintf (p->next.primary, sizeof p->next.primary, "%s", primary);
  p->next.start_count = 1;
  p->next.starts[0] = (struct term_start){ .term = term, .lsn = 0 };
  promotion_step (monitor);
}

const char *
promotion_set_hold (struct monitor *monitor, bool hold, promotion_done done,
                    void *arg)
{
  struct promotion *p = &monitor->promotion;
  const struct term_record *record = monitor_record (monitor);
  if (record == NULL || record->state != TERM_ACTIVE)
    return "the database has no active primary";
  if (p->phase != PROMOTION_NONE)
    return "a promotion is under way";
  begin (monitor, PROMOTION_HOLD);
  p->done = done;
  p->arg = arg;
  p->next.hold = hold;
  promotion_step (monitor);
  return NULL;
}

void
promotion_record_written (struct monitor *monitor)
{
  struct promotion *p = &monitor->promotion;
  switch (p->phase)
    {
    case PROMOTION_CLAIM:
      set_activation_delay (monitor);
      promotion_enter (monitor, p->planned ? PROMOTION_FENCE : PROMOTION_SEAL);
      break;
    case PROMOTION_CHOOSE:
      promotion_enter (monitor, PROMOTION_PROMOTE);
      break;
    case PROMOTION_ACTIVATE:
      {
        bool ok
            = p->target[0] == '\0' || strcmp (p->target, p->next.primary) == 0;
        promotion_enter (monitor, PROMOTION_NONE);
        finish (monitor, ok, ok ? "done" : "the target was behind another");
        monitor_repair_now (monitor);
        break;
      }
    default:
      promotion_enter (monitor, PROMOTION_NONE);
      finish (monitor, true, "done");
      break;
    }
}

/* Returns whether another attempt has written a newer record.  */
static bool
is_record_taken_over (const struct monitor *monitor)
{
  const struct promotion *p = &monitor->promotion;
  const struct term_record *record = monitor_record (monitor);
  return record != NULL
         && terms_index (monitor->env->terms, monitor->database) > p->index
         && strcmp (record->attempt, p->next.attempt) != 0;
}

static void
step_claim (struct monitor *monitor)
{
  struct promotion *p = &monitor->promotion;
  bool no_write_pending = !p->read_back && p->call == 0;
  if (no_write_pending && p->planned
      && now (monitor) - p->started_ms > SWITCH_OVER_CLAIM_LIMIT_MS)
    promotion_stop (monitor, "the platform is unavailable");
  else if (no_write_pending && !p->planned && !monitor->suspected
           && p->platform_down && p->next.term > monitor->record_term
           && monitor_record (monitor)->state == TERM_ACTIVE)
    promotion_stop (monitor, "the primary answers again");
  else
    promotion_write_record (monitor);
}

void
promotion_step (struct monitor *monitor)
{
  struct promotion *p = &monitor->promotion;
  if (p->phase != PROMOTION_NONE && is_record_taken_over (monitor))
    {
      promotion_stop (monitor, "superseded");
      return;
    }
  switch (p->phase)
    {
    case PROMOTION_NONE:
      break;
    case PROMOTION_CLAIM:
      step_claim (monitor);
      break;
    case PROMOTION_BOOTSTRAP:
    case PROMOTION_HOLD:
    case PROMOTION_CHOOSE:
      promotion_write_record (monitor);
      break;
    case PROMOTION_ACTIVATE:
      if (now (monitor) >= p->activate_after_ms)
        promotion_write_record (monitor);
      break;
    case PROMOTION_FENCE:
      promotion_fence (monitor);
      break;
    case PROMOTION_CATCH_UP:
      promotion_catch_up (monitor);
      break;
    case PROMOTION_SEAL:
      promotion_seal (monitor);
      break;
    case PROMOTION_PROMOTE:
      promotion_promote (monitor);
      break;
    }
}
