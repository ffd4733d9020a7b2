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

/* The connection was rolled back for reuse.  */
static void
reset_done (struct pool_user *user, struct pool_conn *conn,
            const struct db_result *result)
{
  struct gw_tx *tx = gw_container (user, struct gw_tx, user);
  struct gw_instance *instance = tx->instance;
  if (conn != NULL && result->status == DB_OK)
    conn_pool_give (conn);
  else if (conn != NULL)
    conn_pool_discard (conn);
  instance->tx_count--;
  tx_free (tx);
  gw_pump (instance);
}

static void
conn_closed (struct pool_user *user)
{
  struct gw_tx *tx = gw_container (user, struct gw_tx, user);
  tx->conn = NULL;
  if (tx->job != NULL && tx->job->state == GW_QUEUED)
    {
      struct gw_job *job = tx->job;
      queue_remove (tx->instance->queue, &job->item);
      gw_refuse (job, REASON_BAD_TRANSACTION, 0);
    }
  gw_tx_ended (tx, true);
}

static const struct pool_user_ops tx_ops
    = { .done = reset_done, .closed = conn_closed };

void
gw_tx_begin (struct gw_job *job)
{
  struct gw_instance *instance = job->instance;
  uint32_t room = conn_pool_used (instance->pool);
  if (instance->tx_count >= GW_TX_LIMIT
      || instance->tx_count + instance->slots + 1
             >= conn_pool_limit (instance->pool))
    {
      metrics_increment (kernel_metrics (instance->gateway->base.kernel),
                         "gateway_transactions_limit_total");
      gw_refuse (job, REASON_OVERLOAD, GW_STATUS_MS);
      return;
    }
  conn_pool_want (instance->pool, room + 1);
  gw_enqueue (job);
}

static struct gw_tx *
find (struct gateway *gateway, uint64_t id)
{
  struct gw_tx *tx = NULL;
  HASH_FIND (hh, gateway->transactions, &id, sizeof id, tx);
  return tx;
}

void
gw_tx_opened (struct gw_job *job, struct pool_conn *conn)
{
  struct gw_instance *instance = job->instance;
  struct gateway *gateway = instance->gateway;
  struct gw_tx *tx = mem_zalloc (sizeof *tx);
  tx->user.ops = &tx_ops;
  do
    tx->id = rng_u64 (kernel_rng (gateway->base.kernel));
  while (tx->id == 0 || find (gateway, tx->id) != NULL);
  tx->instance = instance;
  tx->conn = conn;
  tx->term = job->min.term;
  tx->heard_ms = gw_now (gateway);
  tx->used_ms = tx->heard_ms;
  memcpy (tx->entry_host, job->from, sizeof tx->entry_host);
  HASH_ADD (hh, gateway->transactions, id, sizeof tx->id, tx);
  conn_pool_set_user (conn, &tx->user);
  instance->tx_count++;
  job->tx = tx;
}

/* Ends TX; its connection is reset for reuse unless it is LOST.  */
void
gw_tx_ended (struct gw_tx *tx, bool lost)
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
      conn_pool_give (tx->conn);
      tx_free (tx);
      return;
    }
  tx->ending = true;
  conn_pool_submit (tx->conn, &job);
}

void
gw_tx_submit (struct gw_job *job, uint64_t id)
{
  struct gw_tx *tx = find (job->instance->gateway, id);
  bool usable = tx != NULL && tx->instance == job->instance && tx->conn != NULL
                && tx->job == NULL && !tx->ending;
  if (!usable)
    {
      gw_refuse (job, REASON_BAD_TRANSACTION, 0);
      return;
    }
  job->tx = tx;
  tx->job = job;
  tx->heard_ms = gw_now (job->instance->gateway);
  tx->used_ms = tx->heard_ms;
  memcpy (tx->entry_host, job->from, sizeof tx->entry_host);
  job->min.term = tx->term;
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
  metrics_increment (kernel_metrics (instance->gateway->base.kernel),
                     "gateway_transactions_orphaned_total");
  gw_tx_ended (tx, false);
}

void
gw_tx_sweep (struct gateway *gateway)
{
  clk_ms now_ms = gw_now (gateway);
  struct gw_tx *tx, *next;
  HASH_ITER (hh, gateway->transactions, tx, next)
  {
    if (tx->job != NULL || tx->ending)
      continue;
    if (now_ms - tx->heard_ms >= GW_TX_HEARTBEAT_MS)
      roll_back (tx, "entry host silent");
    else if (now_ms - tx->used_ms >= GW_TX_IDLE_MS)
      roll_back (tx, "idle");
  }
}

/* Answers with the transactions of that host that are still open, and the
   state of the instances that are placed here.  */
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
    if (find (gateway, heartbeat->transactions.transactions_val[i]) != NULL)
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
          = find (gateway, heartbeat->transactions.transactions_val[i]);
      if (tx != NULL && strcmp (tx->entry_host, message->from.host) == 0)
        tx->heard_ms = now_ms;
    }
  if (heartbeat->leaving)
    members_mark_leaving (gateway->members, message->from.host,
                          message->from.incarnation);
  answer_heartbeat (gateway, call, heartbeat);
}
