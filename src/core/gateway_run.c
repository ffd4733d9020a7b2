#include <utlist.h>

#include "core/gateway_impl.h"
#include "kernel/mutant.h"

static enum db_job_kind
job_kind (const struct gw_job *job)
{
  if (job->barrier)
    return DB_WRITE;
  switch (job->action)
    {
    case PEER_STATEMENT:
      return job->read_only ? DB_READ : DB_WRITE;
    case PEER_BEGIN:
      return DB_BEGIN;
    case PEER_IN_TRANSACTION:
      return DB_EXECUTE;
    case PEER_COMMIT:
      return DB_COMMIT;
    case PEER_ROLLBACK:
      return DB_ROLLBACK;
    case PEER_LOOKUP:
      return DB_LOOKUP;
    }
  return DB_STATUS;
}

void
gw_run (struct gw_job *job, struct pool_conn *conn)
{
  struct gw_instance *instance = job->instance;
  struct db_job db_job = {
    .kind = job_kind (job),
    .statement = job->statement,
    .param_count = job->barrier ? 0 : job->param_count,
    .params = (const char *const *)job->params,
    .request_id = job->request_id,
    .result_limit_bytes = GW_RESULT_LIMIT_BYTES,
    .run_limit_ms = job->item.deadline_ms - gw_now (instance->gateway),
  };
  if (!job->read_only)
    db_job.term = MUTANT (skip_term_check) ? 0 : job->required.term;
  else if (job->max_age_ms != GATEWAY_STRONG_READ)
    db_job.min_lsn = MUTANT (skip_position_check) ? 0 : job->required.lsn;
  job->conn = conn;
  job->state = GW_RUNNING;
  job->started_ms = gw_now (instance->gateway);
  instance->running++;
  instance->running_long += job->item.is_long;
  conn_pool_set_user (conn, &job->user);
  conn_pool_submit (conn, &db_job);
}

/* Refuses JOB if its deadline has passed; returns whether it did.  */
static bool
refuse_if_expired (struct gw_job *job)
{
  clk_ms now_ms = gw_now (job->instance->gateway);
  if (now_ms < job->item.deadline_ms)
    return false;
  gw_refuse (job, REASON_DEADLINE, 0);
  return true;
}

static void
dispatch_job (struct gw_instance *instance, struct gw_job *job)
{
  gw_record_wait (instance,
                  gw_now (instance->gateway) - job->item.enqueued_ms);
  if (refuse_if_expired (job))
    return;
  if (job->tx != NULL)
    {
      gw_run (job, job->tx->conn);
      return;
    }
  struct pool_conn *conn = conn_pool_acquire (instance->pool, &job->user);
  if (conn != NULL)
    {
      gw_run (job, conn);
      return;
    }
  queue_push (instance->queue, instance->service, &job->item);
  instance->conn_exhausted = true;
}

void
gw_dispatch (struct gw_instance *instance)
{
  if (instance->dispatching)
    return;
  instance->dispatching = true;
  instance->conn_exhausted = false;
  while (instance->running < instance->slots && !instance->conn_exhausted)
    {
      struct queue_item *item
          = queue_pop (instance->queue, gw_may_run_long (instance));
      if (item == NULL)
        break;
      dispatch_job (instance, (struct gw_job *)item);
    }
  instance->dispatching = false;
}

/* Aborts a job that is still running after its deadline.  Its connection is
   closed so that a late answer cannot be delivered to another job.  */
static void
abort_job (struct gw_job *job)
{
  struct gw_instance *instance = job->instance;
  struct gw_tx *tx = job->tx;
  metrics_count (kernel_metrics (instance->gateway->base.kernel),
                 "gateway_cut_off_total");
  instance->running--;
  instance->running_long -= job->item.is_long;
  conn_pool_discard (job->conn);
  job->conn = NULL;
  if (tx != NULL)
    {
      job->tx = NULL;
      tx->job = NULL;
      gw_tx_end (tx, true);
    }
  gw_answer (job, OUTCOME_UNKNOWN, REASON_DEADLINE);
}

static void
sweep_job (struct gw_job *job, clk_ms now_ms)
{
  struct gw_instance *instance = job->instance;
  bool late = now_ms >= job->item.deadline_ms;
  if (job->state == GW_QUEUED && (late || gw_is_down (instance)))
    {
      queue_remove (instance->queue, &job->item);
      gw_refuse (job, late ? REASON_DEADLINE : REASON_UNREACHABLE, 0);
    }
  else if (job->state == GW_BARRIER && late)
    gw_answer (job, OUTCOME_UNKNOWN, REASON_DEADLINE);
  else if (job->state == GW_RUNNING
           && now_ms >= job->item.deadline_ms + GW_RUN_GRACE_MS)
    abort_job (job);
}

static void
on_sweep (void *arg)
{
  struct gw_instance *instance = arg;
  clk_ms now_ms = gw_now (instance->gateway);
  struct gw_job *job, *next;
  acks_expire (&instance->acks, now_ms);
  DL_FOREACH_SAFE (instance->jobs, job, next) { sweep_job (job, now_ms); }
  gw_dispatch (instance);
  gw_sweep_start (instance);
}

void
gw_sweep_start (struct gw_instance *instance)
{
  struct kernel *kernel = instance->gateway->base.kernel;
  if (instance->jobs == NULL || instance->sweep_timer.slot != 0)
    return;
  instance->sweep_timer.fire = on_sweep;
  instance->sweep_timer.arg = instance;
  kernel_timer_set (kernel, &instance->sweep_timer,
                    kernel_now (kernel) + GW_SWEEP_INTERVAL_MS);
}
