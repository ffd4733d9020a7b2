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
gw_note_report (struct gw_instance *instance, const struct db_report *report)
{
  clk_ms now_ms = gw_now (instance->gateway);
  if (report->term == 0)
    return;
  instance->report = *report;
  instance->report_ms = now_ms;
  acks_observe (&instance->acks, report, now_ms);
}

static void
drop_control (struct gw_instance *instance)
{
  if (instance->control != NULL)
    conn_pool_discard (instance->control);
  instance->control = NULL;
  instance->polling = false;
}

static void
control_done (struct pool_user *user, struct pool_conn *conn,
              const struct db_result *result)
{
  struct gw_instance *instance
      = gw_container (user, struct gw_instance, control_user);
  instance->polling = false;
  instance->control = conn;
  if (conn == NULL)
    return;
  gw_note_report (instance, &result->report);
  if (instance->acks.count > 0)
    gw_status_kick (instance);
}

static void
control_closed (struct pool_user *user)
{
  struct gw_instance *instance
      = gw_container (user, struct gw_instance, control_user);
  instance->control = NULL;
  instance->polling = false;
}

static const struct pool_user_ops control_ops
    = { .done = control_done, .closed = control_closed };

/* Whether it is time to delete old rows of the ledger.  */
static bool
purge_due (struct gw_instance *instance, clk_ms now_ms)
{
  bool kept = instance->gateway->ledger_retention_ms == 0;
  if (kept || !instance->report.primary || instance->role != GW_FIRST)
    return false;
  return now_ms - instance->purged_ms >= GW_PURGE_MS;
}

static void
poll_now (struct gw_instance *instance)
{
  clk_ms now_ms = gw_now (instance->gateway);
  struct db_job job = { .kind = DB_STATUS };
  if (instance->control == NULL)
    instance->control
        = conn_pool_take (instance->pool, &instance->control_user);
  if (instance->control == NULL)
    return;
  if (purge_due (instance, now_ms))
    {
      job.kind = DB_PURGE;
      job.age_ms = instance->gateway->ledger_retention_ms;
      instance->purged_ms = now_ms;
    }
  instance->polling = true;
  instance->polled_ms = now_ms;
  conn_pool_submit (instance->control, &job);
}

static bool
poll_wanted (const struct gw_instance *instance, clk_ms now_ms)
{
  if (instance->acks.count > 0)
    return true;
  bool used = now_ms - instance->used_ms < GW_UNUSED_MS;
  return instance->role == GW_FIRST || (instance->role == GW_SECOND && used);
}

static void
on_status_timer (void *arg)
{
  struct gw_instance *instance = arg;
  struct kernel *kernel = instance->gateway->base.kernel;
  clk_ms now_ms = kernel_now (kernel);
  kernel_timer_set (kernel, &instance->status_timer, now_ms + GW_STATUS_MS);
  acks_expire (&instance->acks, now_ms);
  if (instance->polling
      && now_ms - instance->polled_ms >= GW_STATUS_TIMEOUT_MS)
    drop_control (instance);
  if (!instance->polling && poll_wanted (instance, now_ms))
    poll_now (instance);
}

void
gw_status_start (struct gw_instance *instance)
{
  struct kernel *kernel = instance->gateway->base.kernel;
  clk_ms now_ms = kernel_now (kernel);
  instance->control_user.ops = &control_ops;
  instance->status_timer.fire = on_status_timer;
  instance->status_timer.arg = instance;
  instance->purged_ms = now_ms;
  kernel_timer_set (kernel, &instance->status_timer, now_ms);
}

void
gw_status_kick (struct gw_instance *instance)
{
  struct kernel *kernel = instance->gateway->base.kernel;
  clk_ms due_ms = instance->polled_ms + GW_ACK_POLL_MS;
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
  drop_control (instance);
}
