#include "proxy/backend_impl.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "kernel/mem.h"

/* Weight of the newest value in moving averages.  */
#define AVERAGE_WEIGHT 0.1

clk_ms
backend_now (const struct backend *backend)
{
  return kernel_now (backend->options.kernel);
}

struct log *
backend_log (const struct backend *backend)
{
  return kernel_log (backend->options.kernel);
}

uint32_t
backend_idle_target (const struct backend *backend)
{
  return (backend->share + 1) / 2;
}

void
backend_arm_tick (struct backend *backend, clk_ms due_ms)
{
  if (backend->tick.slot == 0 || backend->tick.due_ms > due_ms)
    kernel_timer_set (backend->options.kernel, &backend->tick, due_ms);
}

/* Calls lost for all waiting users, so that they try another instance.  */
static void
fail_waiters (struct backend *backend)
{
  while (backend->waiters != NULL)
    {
      struct conn_user *user = backend->waiters;
      backend_cancel (user);
      user->ops->lost (user);
    }
}

void
backend_note_answer (struct backend *backend)
{
  bool was_usable = backend_usable (backend);
  backend->last_answer_ms = backend_now (backend);
  backend->has_answered = true;
  backend->connect_failed_since_ms = CLK_NEVER;
  backend->probe_unanswered_ms = CLK_NEVER;
  backend->failures = 0;
  if (was_usable)
    return;
  log_event (backend_log (backend), LOG_NOTICE, "instance_back",
             LOG_S ("instance", backend->entry.id));
  backend->options.changed (backend->options.arg, backend);
}

void
backend_note_connect_failure (struct backend *backend)
{
  bool was_usable = backend_usable (backend);
  clk_ms wait_ms = BACKEND_RETRY_FIRST_MS
                   << (backend->failures < 5 ? backend->failures : 5);
  if (wait_ms > BACKEND_RETRY_LAST_MS)
    wait_ms = BACKEND_RETRY_LAST_MS;
  backend->failures++;
  backend->retry_ms = backend_now (backend) + wait_ms;
  if (backend->connect_failed_since_ms == CLK_NEVER)
    backend->connect_failed_since_ms = backend_now (backend);
  backend_arm_tick (backend, backend->retry_ms);
  if (!was_usable)
    return;
  log_event (
      backend_log (backend), LOG_WARNING, "instance_unreachable",
      LOG_S ("instance", backend->entry.id),
      LOG_I ("heard_ms_ago", backend_now (backend) - backend->last_answer_ms));
  fail_waiters (backend);
  backend->options.changed (backend->options.arg, backend);
}

static void
on_tick (void *arg)
{
  struct backend *backend = arg;
  pool_close_spare (backend);
  backend_serve_waiters (backend);
  pool_open_needed (backend);
  if (backend->conn_count > backend_idle_target (backend))
    backend_arm_tick (backend, backend_now (backend) + BACKEND_SPARE_IDLE_MS);
}

/* A probe is a BEGIN, then a ROLLBACK.  Neither takes a slot.  */

static void
probe_send (struct backend *backend, struct backend_conn *conn)
{
  backend->probe_conn = conn;
  backend->probe_ms = backend_now (backend);
  conn_send (conn, STEP_BEGIN, &(struct statement){ .kind = STMT_BEGIN },
             NULL);
}

static void
probe_granted (struct conn_user *user, struct backend_conn *conn)
{
  (void)user;
  probe_send (conn_backend (conn), conn);
}

static void
probe_answered (struct conn_user *user, struct backend_conn *conn,
                enum conn_step step, const struct answer *answer)
{
  struct backend *backend = conn_backend (conn);
  (void)user;
  if (step != STEP_BEGIN)
    return;
  backend->probe_conn = NULL;
  clk_ms sent_ms = backend->probe_ms;
  distance_meter_probe (backend->options.meter,
                        backend_now (backend) - sent_ms);
  bool confirmed = answer->code == CODE_OK && answer->has_position;
  struct position position = answer->position;
  conn_release (conn);
  if (confirmed)
    backend->options.leader_confirmed (backend->options.arg, backend, position,
                                       sent_ms);
}

static void
probe_lost (struct conn_user *user)
{
  struct backend *backend
      = (struct backend *)(void *)((char *)user
                                   - offsetof (struct backend, probe_user));
  backend->probe_conn = NULL;
}

static const struct conn_user_ops probe_ops = { .granted = probe_granted,
                                                .answered = probe_answered,
                                                .lost = probe_lost };

/* Closes the connection of a probe that was not answered in time, so that the
   next probe uses another one.  */
static void
check_probe (struct backend *backend)
{
  bool was_usable = backend_usable (backend);
  if (backend->probe_conn == NULL
      || backend_now (backend) - backend->probe_ms < BACKEND_PROBE_TIMEOUT_MS)
    return;
  struct backend_conn *conn = backend->probe_conn;
  clk_ms sent_ms = backend->probe_ms;
  conn_close (conn);
  if (pool_has_workspaces (backend))
    backend_arm_tick (backend, backend_now (backend));
  if (backend->last_answer_ms > sent_ms)
    return; /* the instance answers on other connections */
  if (backend->probe_unanswered_ms == CLK_NEVER)
    backend->probe_unanswered_ms = sent_ms;
  if (!was_usable)
    return;
  log_event (
      backend_log (backend), LOG_WARNING, "instance_silent",
      LOG_S ("instance", backend->entry.id),
      LOG_I ("heard_ms_ago", backend_now (backend) - backend->last_answer_ms));
  fail_waiters (backend);
  backend->options.changed (backend->options.arg, backend);
}

void
backend_probe (struct backend *backend)
{
  check_probe (backend);
  if (backend->share == 0 || backend->probe_conn != NULL
      || backend->probe_user.waits_for != NULL)
    return;
  struct backend_conn *conn = backend_acquire (backend, &backend->probe_user);
  if (conn != NULL)
    probe_send (backend, conn);
}

bool
backend_usable (const struct backend *backend)
{
  return backend->connect_failed_since_ms == CLK_NEVER
         && backend->probe_unanswered_ms == CLK_NEVER;
}

/* Returns when the oldest statement in flight was sent, or CLK_NEVER.  */
static clk_ms
oldest_unanswered_ms (const struct backend *backend)
{
  const struct backend_conn *conn;
  clk_ms oldest_ms = CLK_NEVER;
  DL_FOREACH (backend->conns, conn)
  {
    if (conn->pending_count > 0
        && conn->pending[conn->pending_head].sent_ms < oldest_ms)
      oldest_ms = conn->pending[conn->pending_head].sent_ms;
  }
  return oldest_ms;
}

void
backend_check (struct backend *backend)
{
  clk_ms oldest_ms = oldest_unanswered_ms (backend);
  check_probe (backend);
  if (!backend_usable (backend)
      || (oldest_ms != CLK_NEVER && backend->last_answer_ms <= oldest_ms
          && backend_now (backend) - oldest_ms >= BACKEND_ANSWER_TIMEOUT_MS))
    backend_probe (backend);
}

struct backend *
backend_new (const struct backend_options *options)
{
  struct backend *backend = mem_zalloc (sizeof *backend);
  backend->options = *options;
  backend->options.entry = NULL;
  backend->entry = *options->entry;
  backend->share = 1;
  pool_init (backend);
  backend->connect_failed_since_ms = CLK_NEVER;
  backend->probe_unanswered_ms = CLK_NEVER;
  backend->unmatched_ms = CLK_LONG_AGO;
  backend->probe_user.ops = &probe_ops;
  backend->tick.fire = on_tick;
  backend->tick.arg = backend;
  backend->last_answer_ms = backend_now (backend);
  return backend;
}

void
backend_free (struct backend *backend)
{
  backend->closing = true;
  backend_cancel (&backend->probe_user);
  while (backend->waiters != NULL)
    {
      struct conn_user *user = backend->waiters;
      backend_cancel (user);
      user->ops->lost (user);
    }
  while (backend->conns != NULL)
    {
      struct conn_user *user = backend->conns->user;
      conn_close (backend->conns);
      if (user != NULL)
        user->ops->lost (user);
    }
  kernel_timer_cancel (backend->options.kernel, &backend->tick);
  pool_clear (backend);
  free (backend);
}

const struct instance_entry *
backend_entry (const struct backend *backend)
{
  return &backend->entry;
}

/* Closes the connections that are idle or being opened.  */
static void
close_idle (struct backend *backend)
{
  struct backend_conn *conn, *next;
  DL_FOREACH_SAFE (backend->conns, conn, next)
  {
    if (conn->phase == CONN_IDLE || conn->phase == CONN_OPENING)
      conn_close (conn);
  }
}

void
backend_set_entry (struct backend *backend, const struct instance_entry *entry)
{
  bool moved = strcmp (backend->entry.address, entry->address) != 0
               || backend->entry.port != entry->port
               || backend->entry.born_ms != entry->born_ms;
  backend->entry = *entry;
  if (moved)
    {
      close_idle (backend);
      backend->retry_ms = 0;
      backend_arm_tick (backend, backend_now (backend));
    }
}

/* Closes all connections; those in use are closed when they are released.  */
static void
release_instance (struct backend *backend)
{
  backend->connect_failed_since_ms = CLK_NEVER;
  backend->probe_unanswered_ms = CLK_NEVER;
  backend_cancel (&backend->probe_user);
  fail_waiters (backend);
  close_idle (backend);
}

void
backend_set_share (struct backend *backend, uint32_t share)
{
  bool ends = share == 0 && backend->share > 0;
  backend->share = share;
  if (ends)
    release_instance (backend);
}

void
backend_fill_pool (struct backend *backend)
{
  pool_open_needed (backend);
}

clk_ms
backend_last_answer_ms (const struct backend *backend)
{
  return backend->last_answer_ms;
}

bool
backend_has_answered (const struct backend *backend)
{
  return backend->has_answered;
}

struct position
backend_position (const struct backend *backend)
{
  return backend->position;
}

uint32_t
backend_busy (const struct backend *backend)
{
  const struct backend_conn *conn;
  uint32_t busy = 0;
  DL_FOREACH (backend->conns, conn)
  busy += conn->pending_count > 0;
  return busy;
}

uint32_t
backend_open_connections (const struct backend *backend)
{
  return backend->conn_count - backend->opening;
}

double
backend_mean_latency_ms (const struct backend *backend)
{
  return backend->mean_latency_ms;
}

double
backend_refusal_share (const struct backend *backend)
{
  return backend->refusal_share;
}

void
backend_note_latency (struct backend *backend, clk_ms latency_ms, bool refused)
{
  backend->refusal_share
      += AVERAGE_WEIGHT * ((refused ? 1.0 : 0.0) - backend->refusal_share);
  if (!refused)
    backend->mean_latency_ms
        += AVERAGE_WEIGHT * ((double)latency_ms - backend->mean_latency_ms);
}
