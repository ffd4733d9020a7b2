#include <string.h>

#include "core/entry_call.h"
#include "core/terms.h"
#include "kernel/mutant.h"

/* Returns whether a refusal for REASON ends the call without a retry.  */
static bool
is_final (enum reason reason)
{
  switch (reason)
    {
    case REASON_SQL_ERROR:
    case REASON_RESULT_TOO_LARGE:
    case REASON_TOKEN_AHEAD:
    case REASON_BAD_TRANSACTION:
    case REASON_CONNECTION_LOST: /* a ledger row prevents the run */
      return true;
    default:
      return false;
    }
}

static void
handle_refused_read (struct entry_call *call, const peer_executed *executed)
{
  enum reason reason = executed->reason;
  bool busy = reason == REASON_OVERLOAD || reason == REASON_DEADLINE;
  call->reason = reason;
  call->retry_after_ms = executed->retry_after_ms;
  call_mark_tried (call, call->instance);
  bool plain = gateway_policy (call->entry->gateway) == POLICY_PLAIN;
  if (plain || call->attempts >= ENTRY_READ_ATTEMPTS)
    {
      call_retry (call, reason);
      return;
    }
  call->busy = busy;
  call_route (call);
}

static void
handle_refused_write (struct entry_call *call, const peer_executed *executed)
{
  bool plain = gateway_policy (call->entry->gateway) == POLICY_PLAIN;
  switch (executed->reason)
    {
    case REASON_DRAINING: /* the primary is moving elsewhere */
    case REASON_STALE_TERM:
    case REASON_NO_MAJORITY:
    case REASON_UNREACHABLE:
    case REASON_NO_PRIMARY:
      call_hold (call, executed->reason);
      return;
    default:
      call->retry_after_ms = executed->retry_after_ms;
      if (plain)
        call_retry (call, executed->reason);
      else
        call_finish_executed (call, executed);
      return;
    }
}

void
call_refused (struct entry_call *call, const peer_executed *executed)
{
  bool strong = call->kind.freshness == FRESHNESS_STRONG;
  if (call->tx_id != 0 || is_final (executed->reason))
    {
      if (executed->reason == REASON_BAD_TRANSACTION)
        call_tx_ended (call);
      call_finish_executed (call, executed);
    }
  else if (call_is_read (call) && !strong)
    handle_refused_read (call, executed);
  else
    handle_refused_write (call, executed);
}

void
call_outcome_unknown (struct entry_call *call, enum reason reason)
{
  if (call->action == ENTRY_BEGIN)
    {
      /* Without heartbeats the gateway rolls the transaction back.  */
      call_fail (call, OUTCOME_NOT_RUN, reason);
      return;
    }
  if (call->tx_id != 0 && call->action != ENTRY_COMMIT)
    {
      call_fail (call, OUTCOME_UNKNOWN, reason);
      return;
    }
  if (call_uses_ledger (call) && MUTANT (tell_not_run))
    {
      call_fail (call, OUTCOME_NOT_RUN, reason);
      return;
    }
  if (call_uses_ledger (call))
    {
      if (call->sent_term > call->uncertain_term)
        call->uncertain_term = call->sent_term;
      call->reason = reason;
      call_resolve (call);
      return;
    }
  call->maybe_ran = true;
  call_mark_tried (call, call->instance);
  call_retry (call, reason);
}

/* In the term in which the request may still run, an empty ledger row with
   its id, a tombstone, is written: the insert fails if the request has run,
   and otherwise the row prevents it from running.  Once a higher term is
   active, transactions of lower terms can no longer commit, and reading the
   ledger is enough.  */
void
call_resolve (struct entry_call *call)
{
  struct entry *entry = call->entry;
  struct view_database *database = view_database (entry->view, call->database);
  const struct term_record *record = terms_get (entry->terms, call->database);
  struct view_instance *primary = NULL;
  if (call_now (call) >= call->deadline_ms + ENTRY_RESOLVE_GRACE_MS)
    {
      call_fail (call, OUTCOME_UNKNOWN,
                 call->reason ? call->reason : REASON_DEADLINE);
      return;
    }
  if (database != NULL && record != NULL && record->state == TERM_ACTIVE)
    primary = view_instance (database, record->primary);
  /* An earlier request with this id may still run in the current term.  */
  if (call->retry && record != NULL)
    call->uncertain_term = record->term;
  if (primary == NULL || record->term < call->uncertain_term)
    {
      call_hold (call, call->reason ? call->reason : REASON_NO_PRIMARY);
      return;
    }
  bool fenced = record->term > call->uncertain_term;
  call->host_index = 0;
  metrics_count (kernel_metrics (entry->base.kernel),
                 fenced ? "entry_lookups_total" : "entry_tombstones_total");
  log_event (
      kernel_log (entry->base.kernel), LOG_NOTICE, "resolve",
      LOG_S ("request", call->request_id), LOG_S ("database", call->database),
      LOG_S ("how", fenced ? "look-up" : "tombstone"),
      LOG_U ("sent_term", call->uncertain_term), LOG_U ("term", record->term));
  call_send (call, primary, record->term,
             fenced ? SEND_LOOKUP : SEND_TOMBSTONE);
}

void
call_resolved (struct entry_call *call, const peer_executed *executed)
{
  enum reason reason = executed->reason;
  bool found = executed->outcome == OUTCOME_DONE;
  bool blocked = executed->outcome == OUTCOME_NOT_RUN
                 && reason == REASON_CONNECTION_LOST && executed->term != 0;
  bool absent = executed->outcome == OUTCOME_NOT_RUN && reason == REASON_NONE
                && call->purpose == SEND_LOOKUP;
  if (found || blocked)
    {
      call->maybe_ran = false;
      if (call->tx_id != 0)
        call_tx_ended (call);
      call_finish_executed (call, executed);
      return;
    }
  if (!absent)
    {
      call_hold (call, call->reason ? call->reason : reason);
      return;
    }
  call->uncertain_term = 0;
  if (call->action == ENTRY_STATEMENT)
    call_route (call);
  else
    call_fail (call, OUTCOME_NOT_RUN,
               call->action == ENTRY_COMMIT ? REASON_BAD_TRANSACTION
                                            : REASON_NONE);
}
