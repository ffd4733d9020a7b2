#include "core/promotion.h"

#include <stdio.h>
#include <string.h>

#include "core/gateway.h"
#include "core/guard.h"
#include "kernel/mutant.h"

#define ORDER_LIMIT_MS 10000

/* Clocks may run at rates that differ by this share.  */
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
now (const struct guard *guard)
{
  return kernel_now (guard->env->kernel);
}

static struct log *
log_of (const struct guard *guard)
{
  return kernel_log (guard->env->kernel);
}

void
promotion_enter (struct guard *guard, enum promotion_phase phase)
{
  struct promotion *p = &guard->promotion;
  log_event (log_of (guard), LOG_INFO, "promotion",
             LOG_S ("database", guard->database),
             LOG_S ("phase", phase_names[phase]),
             LOG_S ("was", phase_names[p->phase]),
             LOG_U ("term", p->next.term), LOG_S ("primary", p->next.primary),
             LOG_S ("attempt", p->next.attempt), LOG_U ("index", p->index),
             LOG_I ("elapsed_ms", now (guard) - p->started_ms));
  p->phase = phase;
  p->phase_ms = now (guard);
  memset (p->again_ms, 0, sizeof p->again_ms);
  guard_wake (guard);
}

static void
new_attempt_id (struct guard *guard, char *out)
{
  struct rng *rng = kernel_rng (guard->env->kernel);
  unsigned long long high = rng_u64 (rng);
  unsigned long long low = rng_u64 (rng);
  snprintf (out, ATTEMPT_BYTES, "%016llx%016llx", high, low);
}

/* Starts an attempt on a copy of the record that is known.  */
static void
begin (struct guard *guard, enum promotion_phase phase)
{
  struct promotion *p = &guard->promotion;
  const struct term_record *record = guard_record (guard);
  promotion_done done = p->done;
  void *arg = p->arg;
  bool ordered = p->ordered;
  char target[PATH_BYTES];
  memcpy (target, p->target, sizeof target);
  memset (p, 0, sizeof *p);
  p->done = done;
  p->arg = arg;
  p->ordered = ordered;
  memcpy (p->target, target, sizeof target);
  if (record != NULL)
    p->next = *record;
  p->index = terms_index (guard->env->terms, guard->database);
  p->started_ms = now (guard);
  new_attempt_id (guard, p->next.attempt);
  memcpy (p->next.coordinator,
          members_self (guard->env->members)->address.name, NAME_BYTES);
  promotion_enter (guard, phase);
}

/* Whether some kind is acknowledged, or read strongly, without a replica.  */
static bool
needs_window (const struct guard *guard)
{
  struct view_database *database
      = view_database (guard->env->view, guard->database);
  if (database == NULL)
    return true;
  const struct view_service *service = database->service;
  for (size_t i = 0; i < service->kind_count; i++)
    if (service->kinds[i].ack == ACK_PRIMARY)
      return true;
  return false;
}

/* Hosts whose view is older than the claim stop acknowledging by themselves
   within the window.  */
static void
set_window (struct guard *guard)
{
  clk_ms window_ms
      = TERM_VIEW_MAX_AGE_MS + TERM_VIEW_MAX_AGE_MS / CLOCK_DRIFT_DIVISOR;
  guard->promotion.active_after_ms
      = needs_window (guard) && !MUTANT (skip_ack_window)
            ? now (guard) + window_ms
            : 0;
}

static void
finish (struct guard *guard, bool ok, const char *message)
{
  struct promotion *p = &guard->promotion;
  promotion_done done = p->done;
  void *arg = p->arg;
  metrics_count (kernel_metrics (guard->env->kernel),
                 ok ? "promotions_total{result=\"done\"}"
                    : "promotions_total{result=\"stopped\"}");
  memset (p, 0, sizeof *p);
  if (done != NULL)
    done (arg, ok, message);
}

void
promotion_stop (struct guard *guard, const char *why)
{
  struct promotion *p = &guard->promotion;
  if (p->phase == PROMOTION_NONE)
    return;
  log_event (log_of (guard), LOG_WARNING, "promotion_stopped",
             LOG_S ("database", guard->database),
             LOG_S ("phase", phase_names[p->phase]),
             LOG_U ("term", p->next.term), LOG_S ("why", why));
  if (p->call != 0)
    guard->env->platform->ops->cancel (guard->env->platform, p->call);
  finish (guard, false, why);
}

void
promotion_start (struct guard *guard, uint64_t term)
{
  begin (guard, PROMOTION_CLAIM);
  guard->promotion.next.term = term;
  guard->promotion.next.state = TERM_SEALING;
  promotion_step (guard);
}

static const char *
check_order (struct guard *guard, const char *target)
{
  const struct term_record *record = guard_record (guard);
  if (record == NULL || record->state != TERM_ACTIVE)
    return "the database has no active primary";
  if (guard->promotion.phase != PROMOTION_NONE)
    return "a promotion is under way";
  if (guard->instance_count < 2)
    return "the database has one instance only";
  if (target == NULL)
    return NULL;
  if (strcmp (target, record->primary) == 0)
    return "the target is the primary";
  if (guard_find (guard, target) == guard->instance_count)
    return "no such instance";
  return NULL;
}

const char *
promotion_order (struct guard *guard, const char *target, promotion_done done,
                 void *arg)
{
  struct promotion *p = &guard->promotion;
  const char *error = check_order (guard, target);
  if (error != NULL)
    return error;
  p->done = done;
  p->arg = arg;
  p->ordered = true;
  snprintf (p->target, sizeof p->target, "%s", target == NULL ? "" : target);
  promotion_start (guard, guard_record (guard)->term + 1);
  return NULL;
}

void
promotion_resume (struct guard *guard)
{
  struct promotion *p = &guard->promotion;
  begin (guard, PROMOTION_PROMOTE);
  p->next = *guard_record (guard);
  set_window (guard);
  promotion_step (guard);
}

void
promotion_bootstrap (struct guard *guard, uint64_t term, const char *primary)
{
  struct promotion *p = &guard->promotion;
  begin (guard, PROMOTION_BOOTSTRAP);
  p->next.term = term;
  p->next.state = TERM_ACTIVE;
  snprintf (p->next.primary, sizeof p->next.primary, "%s", primary);
  p->next.start_count = 1;
  p->next.starts[0] = (struct term_start){ .term = term, .lsn = 0 };
  promotion_step (guard);
}

const char *
promotion_set_hold (struct guard *guard, bool hold, promotion_done done,
                    void *arg)
{
  struct promotion *p = &guard->promotion;
  const struct term_record *record = guard_record (guard);
  if (record == NULL || record->state != TERM_ACTIVE)
    return "the database has no active primary";
  if (p->phase != PROMOTION_NONE)
    return "a promotion is under way";
  begin (guard, PROMOTION_HOLD);
  p->done = done;
  p->arg = arg;
  p->next.hold = hold;
  promotion_step (guard);
  return NULL;
}

/* The platform has the record: goes on to the next phase.  */
void
promotion_written (struct guard *guard)
{
  struct promotion *p = &guard->promotion;
  switch (p->phase)
    {
    case PROMOTION_CLAIM:
      set_window (guard);
      promotion_enter (guard, p->ordered ? PROMOTION_FENCE : PROMOTION_SEAL);
      break;
    case PROMOTION_CHOOSE:
      promotion_enter (guard, PROMOTION_PROMOTE);
      break;
    case PROMOTION_ACTIVATE:
      {
        bool ok
            = p->target[0] == '\0' || strcmp (p->target, p->next.primary) == 0;
        promotion_enter (guard, PROMOTION_NONE);
        finish (guard, ok, ok ? "done" : "the target was behind another");
        guard_repair_now (guard);
        break;
      }
    default:
      promotion_enter (guard, PROMOTION_NONE);
      finish (guard, true, "done");
      break;
    }
}

/* Whether the record has moved on without this attempt.  */
static bool
has_lost_record (const struct guard *guard)
{
  const struct promotion *p = &guard->promotion;
  const struct term_record *record = guard_record (guard);
  return record != NULL
         && terms_index (guard->env->terms, guard->database) > p->index
         && strcmp (record->attempt, p->next.attempt) != 0;
}

static void
step_claim (struct guard *guard)
{
  struct promotion *p = &guard->promotion;
  bool no_effect = !p->read_back && p->call == 0;
  if (no_effect && p->ordered && now (guard) - p->started_ms > ORDER_LIMIT_MS)
    promotion_stop (guard, "the platform is unavailable");
  else if (no_effect && !p->ordered && !guard->suspected && p->platform_down
           && p->next.term > guard->record_term
           && guard_record (guard)->state == TERM_ACTIVE)
    promotion_stop (guard, "the primary answers again");
  else
    promotion_write (guard);
}

void
promotion_step (struct guard *guard)
{
  struct promotion *p = &guard->promotion;
  if (p->phase != PROMOTION_NONE && has_lost_record (guard))
    {
      promotion_stop (guard, "superseded");
      return;
    }
  switch (p->phase)
    {
    case PROMOTION_NONE:
      break;
    case PROMOTION_CLAIM:
      step_claim (guard);
      break;
    case PROMOTION_BOOTSTRAP:
    case PROMOTION_HOLD:
    case PROMOTION_CHOOSE:
      promotion_write (guard);
      break;
    case PROMOTION_ACTIVATE:
      if (now (guard) >= p->active_after_ms)
        promotion_write (guard);
      break;
    case PROMOTION_FENCE:
      promotion_fence (guard);
      break;
    case PROMOTION_CATCH_UP:
      promotion_catch_up (guard);
      break;
    case PROMOTION_SEAL:
      promotion_seal (guard);
      break;
    case PROMOTION_PROMOTE:
      promotion_promote (guard);
      break;
    }
}
