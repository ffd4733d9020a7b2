#include <string.h>

#include "core/entry_call.h"
#include "core/terms.h"
#include "kernel/mutant.h"

static bool
is_final (enum reason reason)
{
  switch (reason)
    {
    case REASON_SQL_ERROR:
    case REASON_RESULT_TOO_LARGE:
    case REASON_TOKEN_AHEAD:
    case REASON_BAD_TRANSACTION:
    case REASON_CONNECTION_LOST: /* a ledger row keeps it from running */
      return true;
    default:
      return false;
    }
}

static void
read_refused (struct entry_call *call, const peer_executed *executed)
{
  enum reason reason = executed->reason;
  bool busy = reason == REASON_OVERLOAD || reason == REASON_DEADLINE;
  call->reason = reason;
  call->retry_after_ms = executed->retry_after_ms;
  call_mark_tried (call, call->instance);
  bool plain = gateway_policy (call->entry->gateway) == POLICY_PLAIN;
  if (plain || call->attempts >= ENTRY_READ_TRIES)
    {
      call_retry (call, reason);
      return;
    }
  call->busy = busy;
  call_route (call);
}

static void
write_refused (struct entry_call *call, const peer_executed *executed)
{
  bool plain = gateway_policy (call->entry->gateway) == POLICY_PLAIN;
  switch (executed->reason)
    {
    case REASON_DRAINING: /* until its primary has moved */
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
        call_tx_over (call);
      call_finish_executed (call, executed);
    }
  else if (call_is_read (call) && !strong)
    read_refused (call, executed);
  else
    write_refused (call, executed);
}

void
call_uncertain (struct entry_call *call, enum reason reason)
{
  if (call->action == ENTRY_BEGIN)
    {
      /* A transaction that nobody knows of is rolled back.  */
      call_fail (call, OUTCOME_NOT_RUN, reason);
      return;
    }
  if (call->tx_id != 0 && call->action != ENTRY_COMMIT)
    {
      call_fail (call, OUTCOME_UNKNOWN, reason);
      return;
    }
  if (call_is_once (call) && MUTANT (tell_not_run))
    {
      call_fail (call, OUTCOME_NOT_RUN, reason);
      return;
    }
  if (call_is_once (call))
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

/* Finds out whether a request ran.  Within the term in which it may run, a
   ledger row of its id without an answer is written: the row is refused if
   the request has run, and keeps it from running otherwise.  Once a higher
   term is active, no transaction of a lower one can commit any more, and a
   look-up suffices.  */
void
call_resolve (struct entry_call *call)
{
  struct entry *entry = call->entry;
  struct view_database *database = view_database (entry->view, call->database);
  const struct term_record *record = terms_get (entry->terms, call->database);
  struct view_instance *primary = NULL;
  if (call_now (call) >= call->deadline_ms + ENTRY_RESOLVE_MS)
    {
      call_fail (call, OUTCOME_UNKNOWN,
                 call->reason ? call->reason : REASON_DEADLINE);
      return;
    }
  if (database != NULL && record != NULL && record->state == TERM_ACTIVE)
    primary = view_instance (database, record->primary);
  /* An earlier request of this id may yet run under the present term.  */
  if (call->retry && record != NULL)
    call->uncertain_term = record->term;
  if (primary == NULL || record->term < call->uncertain_term)
    {
      call_hold (call, call->reason ? call->reason : REASON_NO_PRIMARY);
      return;
    }
  bool later = record->term > call->uncertain_term;
  call->host_index = 0;
  metrics_increment (kernel_metrics (entry->base.kernel),
                     later ? "entry_lookups_total" : "entry_tombstones_total");
  log_event (
      kernel_log (entry->base.kernel), LOG_NOTICE, "resolve",
      LOG_S ("request", call->request_id), LOG_S ("database", call->database),
      LOG_S ("how", later ? "look-up" : "tombstone"),
      LOG_U ("sent_term", call->uncertain_term), LOG_U ("term", record->term));
  call_send (call, primary, record->term,
             later ? SEND_LOOKUP : SEND_TOMBSTONE);
}

void
call_resolved (struct entry_call *call, const peer_executed *executed)
{
  enum reason reason = executed->reason;
  bool found = executed->outcome == OUTCOME_DONE;
  bool barred = executed->outcome == OUTCOME_NOT_RUN
                && reason == REASON_CONNECTION_LOST && executed->term != 0;
  bool absent = executed->outcome == OUTCOME_NOT_RUN && reason == REASON_NONE
                && call->purpose == SEND_LOOKUP;
  if (found || barred)
    {
      call->maybe_ran = false;
      if (call->tx_id != 0)
        call_tx_over (call);
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
