#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/gateway_impl.h"

#define STATES_LIMIT 16
#define REPORT_MAX_AGE_MS 5000 /* older reports are not passed on */

void
gw_fill_state (const struct gw_instance *instance, peer_instance_state *state)
{
  struct conn_pool *pool = instance->pool;
  *state = (peer_instance_state){
    .instance = (char *)instance->name,
    .term = instance->report.term,
    .primary = instance->report.primary,
    .reachable
    = conn_pool_open_count (pool) > 0 && conn_pool_failures (pool) == 0,
    .replayed_lsn = instance->report.replayed_lsn,
    .lag_ms = instance->report.lag_ms,
    .queued
    = (u_int)(queue_count (instance->queue) + (size_t)instance->running),
  };
}

/* Fills STATES with OWN and the other instances of its database that this
   host has a recent report of.  Returns their number.  */
static u_int
fill_states (const struct gw_instance *own,
             peer_instance_state states[STATES_LIMIT])
{
  const struct gateway *gateway = own->gateway;
  const struct gw_instance *instance;
  u_int count = 0;
  gw_fill_state (own, &states[count++]);
  for (instance = gateway->instances; instance != NULL && count < STATES_LIMIT;
       instance = instance->hh.next)
    {
      bool recent
          = instance->report_ms > 0
            && gw_now (gateway) - instance->report_ms < REPORT_MAX_AGE_MS;
      if (instance == own || !recent
          || strcmp (instance->database, own->database) != 0)
        continue;
      gw_fill_state (instance, &states[count++]);
    }
  return count;
}

void
gw_job_free (struct gw_job *job)
{
  struct gw_instance *instance = job->instance;
  gw_barrier_remove (job);
  DL_DELETE (instance->jobs, job);
  instance->job_count--;
  instance->gateway->job_count--;
  if (job->tx != NULL && job->tx->job == job)
    job->tx->job = NULL;
  for (size_t i = 0; i < job->param_count; i++)
    free (job->params[i]);
  free (job->params);
  free (job->request_id);
  free (job->statement);
  free (job->payload);
  free (job);
}

/* Returns whether EXECUTED, the answer to a barrier write, shows that the
   write was confirmed.  A confirmed look-up that found no ledger row is
   answered as OUTCOME_NOT_RUN without a reason.  */
static bool
confirms_primary (const struct gw_job *job, const peer_executed *executed)
{
  if (executed->outcome == OUTCOME_DONE)
    return true;
  return job->absent && executed->outcome == OUTCOME_NOT_RUN
         && executed->reason == REASON_NONE && executed->term != 0;
}

static void
send_answer (struct gw_job *job, const peer_executed *executed)
{
  struct gw_instance *instance = job->instance;
  peer_instance_state states[STATES_LIMIT];
  peer_body body = { .kind = PEER_KIND_EXECUTED };
  peer_executed *sent = &body.peer_body_u.executed;
  *sent = *executed;
  sent->states.states_val = states;
  sent->states.states_len = fill_states (instance, states);
  sent->on_primary = instance->report.primary;
  log_event (kernel_log (instance->gateway->base.kernel), LOG_INFO, "executed",
             LOG_S ("instance", instance->name),
             LOG_S ("outcome", outcome_name (executed->outcome)),
             LOG_S ("reason", reason_name (executed->reason)),
             LOG_U ("term", executed->term), LOG_U ("lsn", executed->lsn),
             LOG_U ("running", instance->running),
             LOG_U ("queued", queue_count (instance->queue)));
  peers_reply (instance->gateway->peers, job->call, &body);
  if (job->barrier_pending)
    gw_barrier_done (job, confirms_primary (job, executed), executed->reason);
  gw_job_free (job);
}

void
gw_answer (struct gw_job *job, enum outcome outcome, enum reason reason)
{
  peer_executed executed = {
    .outcome = outcome,
    .reason = reason,
    .term = job->wait.position.term,
    .lsn = job->wait.position.lsn,
    .transaction = job->tx != NULL ? job->tx->id : 0,
  };
  if (outcome == OUTCOME_DONE)
    {
      executed.payload.payload_val = job->payload;
      executed.payload.payload_len = (u_int)job->payload_bytes;
    }
  send_answer (job, &executed);
}

void
gw_refuse (struct gw_job *job, enum reason reason, clk_ms retry_after_ms)
{
  struct metrics *metrics
      = kernel_metrics (job->instance->gateway->base.kernel);
  peer_executed executed = { .outcome = OUTCOME_NOT_RUN,
                             .reason = reason,
                             .retry_after_ms = retry_after_ms };
  metrics_count (metrics, "gateway_refused_total");
  if (reason == REASON_OVERLOAD)
    metrics_count (metrics, "gateway_overload_total");
  if (reason == REASON_DEADLINE)
    metrics_count (metrics, "gateway_deadline_total");
  send_answer (job, &executed);
}

void
gw_answer_result (struct gw_job *job, enum outcome outcome, enum reason reason,
                  const struct db_result *result)
{
  peer_executed executed = {
    .outcome = outcome,
    .reason = reason,
    .term = result->report.term,
    .lsn = result->report.replayed_lsn,
    .transaction = job->tx != NULL ? job->tx->id : 0,
    .sqlstate = (char *)result->sqlstate,
    .message = (char *)result->message,
  };
  if (outcome == OUTCOME_DONE)
    {
      executed.payload.payload_val = (char *)result->payload;
      executed.payload.payload_len = (u_int)result->payload_bytes;
    }
  send_answer (job, &executed);
}
