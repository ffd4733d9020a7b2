#include <string.h>

#include "core/gateway_impl.h"

clk_ms
gw_view_age (const struct gateway *gateway)
{
  if (gateway->view_age == NULL)
    return CLK_NEVER;
  return gateway->view_age (gateway->view_age_arg);
}

bool
gw_view_is_recent (const struct gateway *gateway)
{
  return gw_view_age (gateway) < TERM_VIEW_MAX_AGE_MS - ACK_TRANSIT_MS;
}

void
gw_record_report (struct gw_instance *instance, const struct db_report *report)
{
  clk_ms now_ms = gw_now (instance->gateway);
  if (report->term == 0)
    return;
  instance->report = *report;
  instance->report_ms = now_ms;
  acks_observe (&instance->acks, report, now_ms);
}

static void
drop_status_conn (struct gw_instance *instance)
{
  if (instance->status_conn != NULL)
    conn_pool_discard (instance->status_conn);
  instance->status_conn = NULL;
  instance->polling = false;
}

static void
on_status_done (struct pool_user *user, struct pool_conn *conn,
                const struct db_result *result)
{
  struct gw_instance *instance
      = gw_container (user, struct gw_instance, status_user);
  instance->polling = false;
  instance->status_conn = conn;
  if (conn == NULL)
    return;
  gw_record_report (instance, &result->report);
  if (instance->acks.count > 0)
    gw_status_poll_soon (instance);
}

static void
on_status_closed (struct pool_user *user)
{
  struct gw_instance *instance
      = gw_container (user, struct gw_instance, status_user);
  instance->status_conn = NULL;
  instance->polling = false;
}

static const struct pool_user_ops status_ops
    = { .done = on_status_done, .closed = on_status_closed };

/* Returns whether old rows of the ledger are to be deleted now.  */
static bool
purge_due (struct gw_instance *instance, clk_ms now_ms)
{
  bool keep_forever = instance->gateway->ledger_retention_ms == 0;
  if (keep_forever || !instance->report.primary || instance->role != GW_FIRST)
    return false;
  return now_ms - instance->purged_ms >= GW_PURGE_INTERVAL_MS;
}

static void
poll_now (struct gw_instance *instance)
{
  clk_ms now_ms = gw_now (instance->gateway);
  struct db_job job = { .kind = DB_STATUS };
  if (instance->status_conn == NULL)
    instance->status_conn
        = conn_pool_acquire (instance->pool, &instance->status_user);
  if (instance->status_conn == NULL)
    return;
  if (purge_due (instance, now_ms))
    {
      job.kind = DB_PURGE;
      job.age_ms = instance->gateway->ledger_retention_ms;
      instance->purged_ms = now_ms;
    }
  instance->polling = true;
  instance->polled_ms = now_ms;
  conn_pool_submit (instance->status_conn, &job);
}

static bool
poll_wanted (const struct gw_instance *instance, clk_ms now_ms)
{
  if (instance->acks.count > 0)
    return true;
  bool used = now_ms - instance->last_used_ms < GW_UNUSED_TIMEOUT_MS;
  return instance->role == GW_FIRST || (instance->role == GW_SECOND && used);
}

static void
on_status_timer (void *arg)
{
  struct gw_instance *instance = arg;
  struct kernel *kernel = instance->gateway->base.kernel;
  clk_ms now_ms = kernel_now (kernel);
  kernel_timer_set (kernel, &instance->status_timer,
                    now_ms + GW_STATUS_INTERVAL_MS);
  acks_expire (&instance->acks, now_ms);
  if (instance->polling
      && now_ms - instance->polled_ms >= GW_STATUS_TIMEOUT_MS)
    drop_status_conn (instance);
  if (!instance->polling && poll_wanted (instance, now_ms))
    poll_now (instance);
}

void
gw_status_start (struct gw_instance *instance)
{
  struct kernel *kernel = instance->gateway->base.kernel;
  clk_ms now_ms = kernel_now (kernel);
  instance->status_user.ops = &status_ops;
  instance->status_timer.fire = on_status_timer;
  instance->status_timer.arg = instance;
  instance->purged_ms = now_ms;
  kernel_timer_set (kernel, &instance->status_timer, now_ms);
}

/* Moves the next status query forward, because an answer waits for it.  */
void
gw_status_poll_soon (struct gw_instance *instance)
{
  struct kernel *kernel = instance->gateway->base.kernel;
  clk_ms due_ms = instance->polled_ms + GW_ACK_POLL_INTERVAL_MS;
  if (instance->polling || instance->status_timer.due_ms <= due_ms)
    return;
  if (due_ms < kernel_now (kernel))
    due_ms = kernel_now (kernel);
  kernel_timer_set (kernel, &instance->status_timer, due_ms);
}

void
gw_status_stop (struct gw_instance *instance)
{
  kernel_timer_cancel (instance->gateway->base.kernel,
                       &instance->status_timer);
  drop_status_conn (instance);
}
