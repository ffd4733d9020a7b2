#include <stdio.h>
#include <string.h>

#include "core/entry_call.h"
#include "core/terms.h"

void
call_hold (struct entry_call *call, enum reason reason)
{
  struct entry *entry = call->entry;
  clk_ms now_ms = call_now (call);
  clk_ms jitter_ms = (clk_ms)rng_below (kernel_rng (entry->base.kernel),
                                        ENTRY_HOLD_RETRY_MS);
  clk_ms due_ms = now_ms + ENTRY_HOLD_RETRY_MS / 2 + jitter_ms;
  call->reason = reason;
  if (entry->held_count >= ENTRY_HELD_LIMIT)
    {
      metrics_count (kernel_metrics (entry->base.kernel),
                     "entry_held_limit_total");
      call_fail (call,
                 call->uncertain_term != 0 ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
                 REASON_OVERLOAD);
      return;
    }
  if (call->uncertain_term == 0 && due_ms > call->deadline_ms)
    due_ms = call->deadline_ms;
  if (due_ms < now_ms)
    due_ms = now_ms;
  call->phase = CALL_HELD;
  entry->held_count++;
  call_set_timer (call, due_ms);
}

void
call_retry (struct entry_call *call, enum reason reason)
{
  struct entry *entry = call->entry;
  struct metrics *metrics = kernel_metrics (entry->base.kernel);
  bool plain = gateway_policy (entry->gateway) == POLICY_PLAIN;
  call->reason = reason;
  bool allowed = plain ? call->retries < ENTRY_PLAIN_RETRIES
                       : retry_budget_withdraw (&call->load->budget);
  if (!allowed)
    {
      metrics_count (metrics, "entry_retry_limit_total");
      call_fail (call, OUTCOME_NOT_RUN, reason);
      return;
    }
  metrics_count (metrics, "entry_retries_total");
  clk_ms delay_ms = 0;
  if (!plain)
    delay_ms = retry_delay (kernel_rng (entry->base.kernel), call->retries);
  call->retries++;
  call->phase = CALL_NEW;
  clk_ms due_ms = call_now (call) + delay_ms;
  call_set_timer (call,
                  due_ms < call->deadline_ms ? due_ms : call->deadline_ms);
}

/* Checks that the session's position is part of the database's history.
   Otherwise holds or answers the call and returns false.  */
static bool
check_position (struct entry_call *call, const struct term_record *record)
{
  struct position position = call->position;
  if (position.term == 0)
    return true;
  if (record == NULL)
    {
      call_hold (call, REASON_NO_PRIMARY);
      return false;
    }
  if (position.term > record->term)
    {
      call_hold (call, REASON_STALE_TERM);
      return false;
    }
  if (term_record_holds (record, position))
    return true;
  log_event (kernel_log (call->entry->base.kernel), LOG_WARNING, "token_ahead",
             LOG_S ("database", call->database),
             LOG_U ("session_term", position.term),
             LOG_U ("session_lsn", position.lsn),
             LOG_U ("term", record->term));
  call_fail (call, OUTCOME_NOT_RUN, REASON_TOKEN_AHEAD);
  return false;
}

static void
route_write (struct entry_call *call, struct view_database *database,
             const struct term_record *record)
{
  struct view_instance *primary = NULL;
  if (record != NULL && record->state == TERM_ACTIVE)
    primary = view_instance (database, record->primary);
  log_event (kernel_log (call->entry->base.kernel), LOG_INFO, "route",
             LOG_S ("database", call->database),
             LOG_S ("instance", primary ? primary->name : NULL),
             LOG_S ("why", primary ? "primary" : "no active primary"),
             LOG_U ("term", record ? record->term : 0));
  if (primary == NULL)
    {
      call_hold (call, REASON_NO_PRIMARY);
      return;
    }
  call->host_index = 0;
  call_send (call, primary, record->term, SEND_REQUEST);
}

void
call_mark_tried (struct entry_call *call, const char *instance)
{
  if (call->tried_count == ROUTER_AVOID_LIMIT)
    return;
  char *to = call->tried[call->tried_count];
  snprintf (to, sizeof call->tried[0], "%s", instance);
  call->tried_count++;
}

bool
call_pick_instance (struct entry_call *call, struct router_rating *choice)
{
  struct entry *entry = call->entry;
  struct router_query query
      = { .database = view_database (entry->view, call->database),
          .record = terms_get (entry->terms, call->database),
          .freshness = call->kind.freshness,
          .max_age_ms = call->kind.max_age_ms,
          .position = call->position,
          .avoid_count = call->tried_count };
  for (size_t i = 0; i < call->tried_count; i++)
    query.avoid[i] = call->tried[i];
  return query.database != NULL && router_pick (entry->router, &query, choice);
}

static void
route_read (struct entry_call *call, const struct term_record *record)
{
  struct router_rating choice;
  bool busy = call->busy;
  bool found = call_pick_instance (call, &choice);
  call->busy = false;
  if (busy && !found)
    {
      call_fail (call, OUTCOME_NOT_RUN, call->reason);
      return;
    }
  if (busy && !choice.has_slot)
    {
      call_retry (call, call->reason);
      return;
    }
  if (found)
    {
      call->host_index = 0;
      call_send (call, choice.instance, record ? record->term : 0,
                 SEND_REQUEST);
      return;
    }
  enum reason reason
      = call->reason != REASON_NONE ? call->reason : REASON_NO_REPLICA;
  if (call->kind.freshness == FRESHNESS_STRONG)
    reason = REASON_NO_PRIMARY;
  call->tried_count = 0;
  call_hold (call, reason);
}

void
call_route (struct entry_call *call)
{
  struct entry *entry = call->entry;
  if (call->uncertain_term != 0)
    {
      call_resolve (call);
      return;
    }
  if (call_now (call) >= call->deadline_ms)
    {
      call_fail (call, OUTCOME_NOT_RUN,
                 call->reason ? call->reason : REASON_DEADLINE);
      return;
    }
  if (call->tx_id != 0)
    {
      call_route_tx (call);
      return;
    }
  struct view_database *database = view_database (entry->view, call->database);
  const struct term_record *record = terms_get (entry->terms, call->database);
  if (database == NULL)
    call_fail (call, OUTCOME_NOT_RUN, REASON_UNKNOWN_TARGET);
  else if (!check_position (call, record))
    return;
  else if (call->action == ENTRY_LOOKUP)
    call_resolve (call);
  else if (call->action == ENTRY_BEGIN || call->kind.write)
    route_write (call, database, record);
  else
    route_read (call, record);
}
