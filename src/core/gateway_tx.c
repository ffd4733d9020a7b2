#include <stdlib.h>
#include <string.h>

#include "core/gateway_impl.h"
#include "kernel/mem.h"
#include "kernel/mutant.h"

static void
tx_free (struct gw_tx *tx)
{
  HASH_DEL (tx->instance->gateway->transactions, tx);
  if (tx->job != NULL)
    tx->job->tx = NULL;
  free (tx);
}

uint32_t
gw_tx_count (const struct gw_instance *instance)
{
  return instance->tx_count;
}

/* Called after the rollback that resets a connection for reuse.  */
static void
on_reset_done (struct pool_user *user, struct pool_conn *conn,
               const struct db_result *result)
{
  struct gw_tx *tx = gw_container (user, struct gw_tx, user);
  struct gw_instance *instance = tx->instance;
  if (conn != NULL && result->status == DB_OK)
    conn_pool_release (conn);
  else if (conn != NULL)
    conn_pool_discard (conn);
  instance->tx_count--;
  tx_free (tx);
  gw_dispatch (instance);
}

static void
on_conn_closed (struct pool_user *user)
{
  struct gw_tx *tx = gw_container (user, struct gw_tx, user);
  tx->conn = NULL;
  if (tx->job != NULL && tx->job->state == GW_QUEUED)
    {
      struct gw_job *job = tx->job;
      queue_remove (tx->instance->queue, &job->item);
      gw_refuse (job, REASON_BAD_TRANSACTION, 0);
    }
  gw_tx_end (tx, true);
}

static const struct pool_user_ops tx_user_ops
    = { .done = on_reset_done, .closed = on_conn_closed };

/* Queues JOB, which opens a transaction, or refuses it if there are too
   many.  */
void
gw_tx_begin (struct gw_job *job)
{
  struct gw_instance *instance = job->instance;
  uint32_t pool_size = conn_pool_total_count (instance->pool);
  if (instance->tx_count >= GW_TX_LIMIT
      || instance->tx_count + instance->slots + 1
             >= conn_pool_limit (instance->pool))
    {
      metrics_count (kernel_metrics (instance->gateway->base.kernel),
                     "gateway_transactions_limit_total");
      gw_refuse (job, REASON_OVERLOAD, GW_STATUS_INTERVAL_MS);
      return;
    }
  conn_pool_set_wanted (instance->pool, pool_size + 1);
  gw_enqueue (job);
}

static struct gw_tx *
find_tx (struct gateway *gateway, uint64_t id)
{
  struct gw_tx *tx = NULL;
  HASH_FIND (hh, gateway->transactions, &id, sizeof id, tx);
  return tx;
}

/* Registers the transaction that JOB has opened on CONN.  */
void
gw_tx_opened (struct gw_job *job, struct pool_conn *conn)
{
  struct gw_instance *instance = job->instance;
  struct gateway *gateway = instance->gateway;
  struct gw_tx *tx = mem_zalloc (sizeof *tx);
  tx->user.ops = &tx_user_ops;
  do
    tx->id = rng_u64 (kernel_rng (gateway->base.kernel));
  while (tx->id == 0 || find_tx (gateway, tx->id) != NULL);
  tx->instance = instance;
  tx->conn = conn;
  tx->term = job->required.term;
  tx->last_contact_ms = gw_now (gateway);
  tx->last_used_ms = tx->last_contact_ms;
  memcpy (tx->entry_host, job->from, sizeof tx->entry_host);
  HASH_ADD (hh, gateway->transactions, id, sizeof tx->id, tx);
  conn_pool_set_user (conn, &tx->user);
  instance->tx_count++;
  job->tx = tx;
}

/* Ends TX.  Its connection is reset for reuse unless it is LOST.  */
void
gw_tx_end (struct gw_tx *tx, bool lost)
{
  struct db_job job = { .kind = DB_ROLLBACK };
  if (lost)
    {
      tx->instance->tx_count--;
      tx_free (tx);
      return;
    }
  if (MUTANT (reuse_dirty_connection))
    {
      tx->instance->tx_count--;
      conn_pool_release (tx->conn);
      tx_free (tx);
      return;
    }
  tx->resetting = true;
  conn_pool_submit (tx->conn, &job);
}

/* Queues JOB as a statement of the open transaction ID.  */
void
gw_tx_submit (struct gw_job *job, uint64_t id)
{
  struct gw_tx *tx = find_tx (job->instance->gateway, id);
  bool usable = tx != NULL && tx->instance == job->instance && tx->conn != NULL
                && tx->job == NULL && !tx->resetting;
  if (!usable)
    {
      gw_refuse (job, REASON_BAD_TRANSACTION, 0);
      return;
    }
  job->tx = tx;
  tx->job = job;
  tx->last_contact_ms = gw_now (job->instance->gateway);
  tx->last_used_ms = tx->last_contact_ms;
  memcpy (tx->entry_host, job->from, sizeof tx->entry_host);
  job->required.term = tx->term;
  job->item.priority = GW_URGENT_PRIORITY;
  gw_enqueue (job);
}

static void
roll_back (struct gw_tx *tx, const char *why)
{
  struct gw_instance *instance = tx->instance;
  log_event (kernel_log (instance->gateway->base.kernel), LOG_NOTICE,
             "transaction_rolled_back", LOG_S ("instance", instance->name),
             LOG_U ("transaction", tx->id),
             LOG_S ("entry_host", tx->entry_host), LOG_S ("why", why));
  metrics_count (kernel_metrics (instance->gateway->base.kernel),
                 "gateway_transactions_orphaned_total");
  gw_tx_end (tx, false);
}

void
gw_tx_sweep (struct gateway *gateway)
{
  clk_ms now_ms = gw_now (gateway);
  struct gw_tx *tx, *next;
  HASH_ITER (hh, gateway->transactions, tx, next)
  {
    if (tx->job != NULL || tx->resetting)
      continue;
    if (now_ms - tx->last_contact_ms >= GW_TX_HEARTBEAT_TIMEOUT_MS)
      roll_back (tx, "no heartbeat from entry host");
    else if (now_ms - tx->last_used_ms >= GW_TX_IDLE_TIMEOUT_MS)
      roll_back (tx, "idle");
  }
}

/* Answers with those transactions of HEARTBEAT that are still open and the
   state of the instances of this host that have sent a report.  */
static void
answer_heartbeat (struct gateway *gateway, uint64_t call,
                  const peer_heartbeat *heartbeat)
{
  u_int count = heartbeat->transactions.transactions_len;
  u_quad_t *open = mem_zalloc (count * sizeof *open);
  peer_instance_state *states
      = mem_zalloc (HASH_COUNT (gateway->instances) * sizeof *states);
  peer_body body = { .kind = PEER_KIND_HEARTBEAT };
  peer_heartbeat *answer = &body.peer_body_u.heartbeat;
  answer->transactions.transactions_val = open;
  answer->instances.instances_val = states;
  for (u_int i = 0; i < count; i++)
    if (find_tx (gateway, heartbeat->transactions.transactions_val[i]) != NULL)
      open[answer->transactions.transactions_len++]
          = heartbeat->transactions.transactions_val[i];
  for (struct gw_instance *instance = gateway->instances; instance != NULL;
       instance = instance->hh.next)
    if (instance->report_ms > 0)
      gw_fill_state (instance, &states[answer->instances.instances_len++]);
  peers_reply (gateway->peers, call, &body);
  free (open);
  free (states);
}

void
gw_on_heartbeat (void *arg, uint64_t call, const peer_message *message)
{
  struct gateway *gateway = arg;
  const peer_heartbeat *heartbeat = &message->body.peer_body_u.heartbeat;
  clk_ms now_ms = gw_now (gateway);
  for (u_int i = 0; i < heartbeat->transactions.transactions_len; i++)
    {
      struct gw_tx *tx
          = find_tx (gateway, heartbeat->transactions.transactions_val[i]);
      if (tx != NULL && strcmp (tx->entry_host, message->from.host) == 0)
        tx->last_contact_ms = now_ms;
    }
  if (heartbeat->leaving)
    members_leaving (gateway->members, message->from.host,
                     message->from.incarnation);
  answer_heartbeat (gateway, call, heartbeat);
}
