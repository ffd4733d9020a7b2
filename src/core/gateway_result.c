#include <stdlib.h>

#include "core/gateway_impl.h"
#include "kernel/mem.h"
#include "kernel/mutant.h"

/* Answers JOB from its saved payload.  */
void
gw_answer_deferred (struct gw_job *job)
{
  if (job->absent)
    gw_answer (job, OUTCOME_NOT_RUN, REASON_NONE);
  else if (job->tombstone)
    gw_answer (job, OUTCOME_NOT_RUN, REASON_CONNECTION_LOST);
  else
    gw_answer (job, OUTCOME_DONE, REASON_NONE);
}

static void
on_confirmed (struct ack_wait *wait, enum ack_result result)
{
  struct gw_job *job = gw_container (wait, struct gw_job, wait);
  if (result == ACK_REACHED)
    gw_answer_deferred (job);
  else if (result == ACK_TERM_CHANGED)
    gw_answer (job, OUTCOME_UNKNOWN, REASON_STALE_TERM);
  else
    gw_answer (job, OUTCOME_UNKNOWN, REASON_DEADLINE);
}

/* Returns whether a recent view of the term record shows that INSTANCE, which
   sent REPORT, is still the primary.  */
static bool
is_current_primary (const struct gw_instance *instance,
                    const struct db_report *report)
{
  const struct gateway *gateway = instance->gateway;
  const struct term_record *record
      = terms_get (gateway->terms, instance->database);
  return gw_view_is_recent (gateway) && report->primary && record != NULL
         && record->state == TERM_ACTIVE && record->term == report->term;
}

/* Returns whether JOB, which is committed, may be acknowledged at once.  */
static bool
is_confirmed (const struct gw_job *job, const struct db_report *report)
{
  const struct gw_instance *instance = job->instance;
  if (instance->instance_count < 2 || acks_reached (&job->wait, report)
      || MUTANT (acknowledge_at_once))
    return true;
  /* A request reported as not run must never take effect later, so a
     tombstone needs the confirmation of a replica for every kind.  */
  return job->ack == ACK_PRIMARY && !job->tombstone
         && is_current_primary (instance, report);
}

void
gw_copy_payload (struct gw_job *job, const struct db_result *result)
{
  if (result->payload_bytes > 0)
    job->payload = mem_copy (result->payload, result->payload_bytes);
  job->payload_bytes = result->payload_bytes;
}

/* Answers JOB, which has taken effect, once its acknowledgement rule is met.
   This applies to an answer found in the ledger too, because its row may not
   be replicated yet.  */
static void
acknowledge (struct gw_job *job, const struct db_result *result)
{
  struct gw_instance *instance = job->instance;
  job->wait.kind = ACK_CONFIRMED;
  job->wait.position.term = result->report.term;
  job->wait.position.lsn = result->report.received_lsn;
  job->wait.deadline_ms = job->item.deadline_ms;
  job->wait.done = on_confirmed;
  if (!job->barrier)
    gw_copy_payload (job, result);
  if (is_confirmed (job, &result->report))
    {
      gw_answer_deferred (job);
      return;
    }
  if (!acks_add (&instance->acks, &job->wait))
    {
      metrics_increment (kernel_metrics (instance->gateway->base.kernel),
                         "gateway_acks_limit_total");
      gw_answer (job, OUTCOME_UNKNOWN, REASON_OVERLOAD);
      return;
    }
  job->state = GW_ACKING;
  gw_status_poll_soon (instance);
}

/* Returns the latest term that was active, also while RECORD describes a
   promotion in progress.  */
static uint64_t
last_active_term (const struct term_record *record)
{
  uint64_t term = 0;
  if (record->state == TERM_ACTIVE)
    return record->term;
  for (size_t i = 0; i < record->start_count; i++)
    if (record->starts[i].term < record->term)
      term = record->starts[i].term;
  return term;
}

/* Checks whether the replica that sent REPORT may serve a read that limits
   the age of its data.  The reported lag is relative to the primary that the
   replica follows, so this primary must not have been replaced.  A term
   record that is recent enough shows this.  Otherwise the replica shows it
   while it receives the log of its primary and is not sealed for a higher
   term: then two of three instances belong to this primary and no majority is
   left for another one.  */
static enum reason
check_age (const struct gw_job *job, const struct term_record *record,
           const struct db_report *report)
{
  const struct gateway *gateway = job->instance->gateway;
  clk_ms lag_ms = report->lag_ms;
  if (report->term != last_active_term (record))
    return REASON_STALE_TERM;
  if (gw_view_age (gateway) > job->max_age_ms
      && (!report->receiving || report->sealed_term > report->term))
    return REASON_NO_REPLICA;
  if (MUTANT (ignore_age))
    return REASON_NONE;
  return lag_ms <= job->max_age_ms ? REASON_NONE : REASON_NO_REPLICA;
}

/* Returns whether a barrier write must still confirm that the primary that
   served JOB had not been replaced.  */
static bool
needs_barrier (const struct gw_job *job, const struct db_report *report)
{
  const struct gateway *gateway = job->instance->gateway;
  if (job->max_age_ms == GATEWAY_STRONG_READ)
    return !MUTANT (trust_primary)
           && (job->ack == ACK_MAJORITY || !gw_view_is_recent (gateway));
  return job->max_age_ms > 0 && report->primary
         && gw_view_age (gateway) > job->max_age_ms;
}

/* Returns why the result of a read must not be used, or REASON_NONE.  */
static enum reason
check_read (const struct gw_job *job, const struct db_report *report)
{
  const struct gw_instance *instance = job->instance;
  const struct term_record *record
      = terms_get (instance->gateway->terms, instance->database);
  struct position seen = { .term = report->term, .lsn = report->replayed_lsn };
  if (job->max_age_ms == GATEWAY_STRONG_READ)
    {
      bool current = report->primary && report->term == job->required.term;
      return current ? REASON_NONE : REASON_STALE_TERM;
    }
  if (record == NULL || !term_record_contains (record, seen))
    return REASON_STALE_TERM;
  if (job->max_age_ms > 0 && report->primary && report->term < record->term)
    return REASON_STALE_TERM;
  if (job->required.term != 0 && !term_record_contains (record, job->required))
    return REASON_TOKEN_AHEAD;
  bool behind = report->term < job->required.term
                || report->replayed_lsn < job->required.lsn;
  if (behind && !MUTANT (skip_position_check))
    return REASON_NO_REPLICA;
  if (job->max_age_ms > 0 && !report->primary)
    return check_age (job, record, report);
  return REASON_NONE;
}

/* Answers a read.  A primary that may have been replaced must not expose
   writes that no replica has received, because these may be reported to their
   callers as not run.  */
static void
answer_read (struct gw_job *job, const struct db_result *result)
{
  const struct db_report *report = &result->report;
  if (needs_barrier (job, report))
    gw_barrier_wait (job, result);
  else if (!report->primary || is_current_primary (job->instance, report))
    gw_answer_result (job, OUTCOME_DONE, REASON_NONE, result);
  else
    {
      job->ack = ACK_MAJORITY;
      acknowledge (job, result);
    }
}

static void
read_done (struct gw_job *job, const struct db_result *result)
{
  enum reason reason;
  switch (result->status)
    {
    case DB_OK:
      reason = check_read (job, &result->report);
      if (reason == REASON_NONE)
        answer_read (job, result);
      else
        gw_refuse (job, reason, 0);
      return;
    case DB_REFUSED:
      if (job->waited || job->required.lsn == 0)
        gw_refuse (job, REASON_NO_REPLICA, 0);
      else
        gw_wait_replay (job);
      return;
    case DB_SQL_ERROR:
      gw_answer_result (job, OUTCOME_NOT_RUN, REASON_SQL_ERROR, result);
      return;
    case DB_TOO_LARGE:
      gw_refuse (job, REASON_RESULT_TOO_LARGE, 0);
      return;
    default:
      gw_answer (job, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST);
      return;
    }
}

static void
write_done (struct gw_job *job, const struct db_result *result)
{
  bool empty = job->action == PEER_STATEMENT && job->statement[0] == '\0';
  switch (result->status)
    {
    case DB_OK:
      job->tombstone = empty && !job->barrier;
      acknowledge (job, result);
      return;
    case DB_DUPLICATE:
      job->tombstone = result->payload_bytes == 0;
      acknowledge (job, result);
      return;
    case DB_REFUSED:
      gw_refuse (job,
                 result->report.term != 0 ? REASON_STALE_TERM
                                          : REASON_UNREACHABLE,
                 0);
      return;
    case DB_SQL_ERROR:
      gw_answer_result (job, OUTCOME_NOT_RUN, REASON_SQL_ERROR, result);
      return;
    case DB_TOO_LARGE:
      gw_answer_result (job, OUTCOME_NOT_RUN, REASON_RESULT_TOO_LARGE, result);
      return;
    default:
      gw_answer (job, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST);
      return;
    }
}

static void
lookup_done (struct gw_job *job, const struct db_result *result)
{
  const struct db_report *report = &result->report;
  bool lost = result->status != DB_OK && result->status != DB_NOT_FOUND;
  if (lost)
    gw_refuse (job, REASON_CONNECTION_LOST, 0);
  else if (!report->primary || report->term != job->required.term)
    gw_refuse (job, REASON_STALE_TERM, 0);
  else if (result->status == DB_NOT_FOUND && MUTANT (trust_absence))
    gw_answer_result (job, OUTCOME_NOT_RUN, REASON_NONE, result);
  else if (result->status == DB_NOT_FOUND)
    {
      job->absent = true;
      gw_barrier_wait (job, result);
    }
  else
    {
      job->tombstone = result->payload_bytes == 0;
      acknowledge (job, result);
    }
}

static void
statement_done (struct gw_job *job, const struct db_result *result)
{
  if (result->status == DB_OK)
    gw_answer_result (job, OUTCOME_DONE, REASON_NONE, result);
  else if (result->status == DB_SQL_ERROR)
    gw_answer_result (job, OUTCOME_NOT_RUN, REASON_SQL_ERROR, result);
  else if (result->status == DB_TOO_LARGE)
    gw_answer_result (job, OUTCOME_NOT_RUN, REASON_RESULT_TOO_LARGE, result);
  else if (result->status == DB_REFUSED)
    gw_refuse (job, REASON_STALE_TERM, 0);
  else
    gw_answer (job, OUTCOME_UNKNOWN, REASON_CONNECTION_LOST);
}

static void
begin_done (struct gw_job *job, struct pool_conn *conn,
            const struct db_result *result)
{
  bool current = result->status == DB_OK && result->report.primary
                 && result->report.term == job->required.term;
  if (current)
    {
      gw_tx_opened (job, conn);
      gw_answer_result (job, OUTCOME_DONE, REASON_NONE, result);
      return;
    }
  if (conn != NULL)
    conn_pool_discard (conn);
  gw_refuse (job, conn != NULL ? REASON_STALE_TERM : REASON_UNREACHABLE, 0);
}

static void
finish (struct gw_job *job, struct pool_conn *conn,
        const struct db_result *result)
{
  struct gw_tx *tx = job->tx;
  bool lost = conn == NULL;
  bool ends = job->action == PEER_COMMIT || job->action == PEER_ROLLBACK;
  if (tx != NULL)
    {
      tx->job = NULL;
      tx->last_used_ms = gw_now (job->instance->gateway);
      if (!lost)
        conn_pool_set_user (conn, &tx->user);
      if (lost || ends)
        {
          job->tx = NULL;
          gw_tx_end (tx, lost);
        }
    }
  else if (!lost && job->action != PEER_BEGIN)
    conn_pool_release (conn);
  if (job->action == PEER_BEGIN)
    begin_done (job, conn, result);
  else if (job->action == PEER_LOOKUP && !job->barrier)
    lookup_done (job, result);
  else if (job->action == PEER_STATEMENT && job->read_only)
    read_done (job, result);
  else if (job->barrier || job->action == PEER_STATEMENT
           || job->action == PEER_COMMIT)
    write_done (job, result);
  else
    statement_done (job, result);
}

static void
on_done (struct pool_user *user, struct pool_conn *conn,
         const struct db_result *result)
{
  struct gw_job *job = gw_container (user, struct gw_job, user);
  struct gw_instance *instance = job->instance;
  clk_ms elapsed_ms = gw_now (instance->gateway) - job->started_ms;
  job->conn = NULL;
  instance->running--;
  instance->running_long -= job->item.is_long;
  bool ran = result->status == DB_OK || result->status == DB_SQL_ERROR;
  if (ran && job->action == PEER_STATEMENT && job->statement[0] != '\0')
    cost_observe (&instance->costs, job->cost, elapsed_ms);
  gw_record_report (instance, &result->report);
  finish (job, conn, result);
  gw_dispatch (instance);
}

static void
on_closed (struct pool_user *user)
{
  (void)user;
}

const struct pool_user_ops gw_job_user_ops
    = { .done = on_done, .closed = on_closed };
