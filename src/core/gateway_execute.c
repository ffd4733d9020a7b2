#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/gateway_impl.h"
#include "kernel/mem.h"

#define US_PER_MS 1000

static void
refuse_call (struct gateway *gateway, uint64_t call, enum reason reason)
{
  peer_body body = { .kind = PEER_KIND_EXECUTED };
  body.peer_body_u.executed.outcome = OUTCOME_NOT_RUN;
  body.peer_body_u.executed.reason = reason;
  metrics_count (kernel_metrics (gateway->base.kernel),
                 "gateway_refused_total");
  peers_reply (gateway->peers, call, &body);
}

static char **
copy_params (const peer_execute *execute)
{
  size_t count = execute->params.params_len;
  char **params = mem_zalloc (count * sizeof *params);
  for (size_t i = 0; i < count; i++)
    {
      const peer_param *param = &execute->params.params_val[i];
      params[i] = param->is_null ? NULL : mem_strdup (param->text);
    }
  return params;
}

static struct gw_job *
job_new (struct gw_instance *instance, uint64_t call,
         const peer_execute *execute, const struct view_kind *kind)
{
  struct gateway *gateway = instance->gateway;
  struct gw_job *job = mem_zalloc (sizeof *job);
  job->instance = instance;
  job->call = call;
  job->user.ops = &gw_job_user_ops;
  job->action = execute->action;
  job->read_only = execute->read_only;
  job->ack = kind->ack;
  job->statement = mem_strdup (execute->statement);
  if (execute->request_id[0] != '\0')
    job->request_id = mem_strdup (execute->request_id);
  job->param_count = execute->params.params_len;
  job->params = copy_params (execute);
  job->required.term = execute->min_term;
  job->required.lsn = execute->min_lsn;
  job->max_age_ms = execute->max_age_ms;
  job->cost = cost_find (&instance->costs, execute->kind, kind->cost_ms);
  job->item.weight = instance->weight;
  job->item.priority = kind->priority;
  job->item.enqueued_ms = gw_now (gateway);
  job->item.deadline_ms = gw_now (gateway) + execute->deadline_ms;
  DL_APPEND (instance->jobs, job);
  instance->job_count++;
  gateway->job_count++;
  gw_sweep_start (instance);
  return job;
}

/* Returns why the locally known term record forbids JOB, or REASON_NONE if it
   may run.  */
static enum reason
check_term (const struct gw_job *job)
{
  const struct gw_instance *instance = job->instance;
  const struct term_record *record
      = terms_get (instance->gateway->terms, instance->database);
  if (record == NULL)
    return REASON_STALE_TERM;
  if (!job->read_only || job->max_age_ms == GATEWAY_STRONG_READ)
    return record->term > job->required.term ? REASON_STALE_TERM : REASON_NONE;
  if (job->required.term > record->term)
    return REASON_STALE_TERM;
  if (job->required.term != 0 && !term_record_holds (record, job->required))
    return REASON_TOKEN_AHEAD;
  return REASON_NONE;
}

/* Returns true if JOB is a write that needs the confirmation of a replica and
   none has confirmed writes recently.  */
static bool
lacks_majority (const struct gw_job *job)
{
  const struct gw_instance *instance = job->instance;
  bool writes = !job->read_only && job->action != PEER_LOOKUP;
  if (!writes || job->ack != ACK_MAJORITY || instance->instance_count < 2)
    return false;
  return acks_stalled_ms (&instance->acks, gw_now (instance->gateway))
         >= GW_ACK_STALL_LIMIT_MS;
}

static bool
is_down (const struct gw_instance *instance)
{
  return conn_pool_open_count (instance->pool) == 0
         && conn_pool_failures (instance->pool) >= GW_DOWN_FAILURE_COUNT;
}

/* Applies admission control to JOB and queues it.  */
void
gw_enqueue (struct gw_job *job)
{
  struct gw_instance *instance = job->instance;
  bool plain = instance->gateway->policy == POLICY_PLAIN;
  job->item.enqueued_ms = gw_now (instance->gateway);
  job->item.cost_us = job->cost->mean_us;
  job->item.is_long = job->cost->is_long && job->tx == NULL && !plain;
  if (plain)
    job->item.priority = 0;
  if (instance->running < instance->slots
      && queue_count (instance->queue) == 0)
    gw_record_wait (instance, 0);
  if (job->tx == NULL && !plain && !job->barrier && !gw_admit (job))
    return;
  if (!queue_push (instance->queue, instance->service, &job->item))
    {
      gw_refuse (job, REASON_OVERLOAD, job->cost->mean_us / US_PER_MS + 1);
      return;
    }
  job->state = GW_QUEUED;
  gw_dispatch (instance);
}

static void
on_replayed (struct ack_wait *wait, enum ack_result result)
{
  struct gw_job *job = gw_container (wait, struct gw_job, wait);
  job->wait.position = (struct position){ 0 };
  if (result != ACK_REACHED)
    {
      gw_refuse (job, REASON_NO_REPLICA, 0);
      return;
    }
  job->state = GW_NEW;
  gw_enqueue (job);
}

/* Delays JOB until the replica has replayed the required position, for at
   most GATEWAY_REPLAY_WAIT_MS.  */
void
gw_wait_replay (struct gw_job *job)
{
  struct gw_instance *instance = job->instance;
  clk_ms until_ms = gw_now (instance->gateway) + GATEWAY_REPLAY_WAIT_MS;
  if (until_ms > job->item.deadline_ms)
    until_ms = job->item.deadline_ms;
  job->wait.kind = ACK_REPLAYED;
  job->wait.position = job->required;
  job->wait.deadline_ms = until_ms;
  job->wait.done = on_replayed;
  if (!acks_add (&instance->acks, &job->wait))
    {
      gw_refuse (job, REASON_OVERLOAD, 0);
      return;
    }
  job->state = GW_WAITING;
  job->waited = true;
  gw_status_poll_soon (instance);
}

/* Returns true if JOB is a read and its session is ahead of the last reported
   position of this replica.  */
static bool
must_wait_replay (const struct gw_job *job)
{
  const struct gw_instance *instance = job->instance;
  if (instance->gateway->policy == POLICY_PLAIN || !job->read_only
      || instance->report_ms == 0 || instance->report.primary)
    return false;
  return instance->report.replayed_lsn < job->required.lsn;
}

static void
start_read_or_write (struct gw_job *job)
{
  if (must_wait_replay (job)
      && job->instance->report.lag_ms > GATEWAY_REPLAY_WAIT_MS)
    gw_refuse (job, REASON_NO_REPLICA, 0);
  else if (must_wait_replay (job))
    gw_wait_replay (job);
  else
    gw_enqueue (job);
}

/* Returns why JOB must not start, or REASON_NONE if it may.  */
static enum reason
check_start (const struct gw_job *job)
{
  const struct gw_instance *instance = job->instance;
  if (instance->role == GW_NONE)
    return REASON_UNREACHABLE;
  if (instance->leaving && job->action != PEER_LOOKUP)
    return REASON_DRAINING;
  enum reason reason = check_term (job);
  if (reason != REASON_NONE)
    return reason;
  if (is_down (instance))
    return REASON_UNREACHABLE;
  return lacks_majority (job) ? REASON_NO_MAJORITY : REASON_NONE;
}

static void
start_job (struct gw_job *job, const peer_execute *execute)
{
  bool in_transaction = job->action == PEER_IN_TRANSACTION
                        || job->action == PEER_COMMIT
                        || job->action == PEER_ROLLBACK;
  if (in_transaction)
    {
      gw_tx_submit (job, execute->transaction);
      return;
    }
  enum reason reason = check_start (job);
  if (reason != REASON_NONE)
    gw_refuse (job, reason, 0);
  else if (job->action == PEER_BEGIN)
    gw_tx_begin (job);
  else
    start_read_or_write (job);
}

static void
ignore_reply (void *arg, enum peer_status status, const peer_message *reply)
{
  (void)arg;
  (void)status;
  (void)reply;
}

/* Checks the first gateway host if this host is the second one and receives
   requests.  A failed call counts as evidence of its failure, which moves it
   back in the order of placement.  */
static void
probe_first_host (struct gw_instance *instance, const struct view_instance *at)
{
  struct gateway *gateway = instance->gateway;
  const struct member *hosts[GATEWAY_HOSTS];
  clk_ms now_ms = gw_now (gateway);
  if (instance->role != GW_SECOND
      || now_ms - gateway->first_host_probed_ms < GW_STATUS_INTERVAL_MS)
    return;
  if (gateway_hosts (gateway->members, at, hosts) == 0)
    return;
  gateway->first_host_probed_ms = now_ms;
  peer_body body = { .kind = PEER_KIND_HEARTBEAT };
  peers_call (gateway->peers, &hosts[0]->address, &body, GW_STATUS_INTERVAL_MS,
              ignore_reply, NULL);
}

void
gw_on_execute (void *arg, uint64_t call, const peer_message *message)
{
  struct gateway *gateway = arg;
  const peer_execute *execute = &message->body.peer_body_u.execute;
  struct view_database *database
      = view_database (gateway->view, execute->database);
  struct view_instance *at
      = database ? view_instance (database, execute->instance) : NULL;
  if (at == NULL)
    {
      refuse_call (gateway, call, REASON_UNKNOWN_TARGET);
      return;
    }
  struct gw_instance *instance = gw_instance_get (gateway, database, at);
  if (instance == NULL)
    {
      refuse_call (gateway, call, REASON_UNREACHABLE);
      return;
    }
  instance->last_used_ms = gw_now (gateway);
  probe_first_host (instance, at);
  const struct view_kind *kind = view_kind (database->service, execute->kind);
  struct gw_job *job = job_new (instance, call, execute, kind);
  strncpy (job->from, message->from.host, sizeof job->from - 1);
  start_job (job, execute);
}

bool
gw_is_down (const struct gw_instance *instance)
{
  return is_down (instance);
}
