/* Connections of a backend: opening, sending, cleaning.  */

#include "proxy/backend_impl.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"

void
conn_set_phase (struct backend_conn *conn, enum conn_phase phase)
{
  pool_count_phase (conn, phase);
  conn->phase = phase;
  conn->since_ms = backend_now (conn->backend);
}

/* Frees CONN, whose link is closed.  */
static void
conn_free (struct backend_conn *conn)
{
  struct backend *backend = conn->backend;
  kernel_timer_cancel (backend->options.kernel, &conn->timeout);
  if (backend->probe_conn == conn)
    backend->probe_conn = NULL;
  DL_DELETE (backend->conns, conn);
  pool_remove_conn (conn);
  conn_forget_statements (conn);
  answer_check_clear (&conn->check);
  free (conn->held_text);
  free (conn);
}

void
conn_close (struct backend_conn *conn)
{
  struct backend *backend = conn->backend;
  backend->options.port->ops->close (backend->options.port, conn->link);
  conn_free (conn);
}

/* Closes CONN, on which answers have come that belong to no statement.  */
void
conn_close_distrusted (struct backend_conn *conn)
{
  struct backend *backend = conn->backend;
  struct conn_user *user = conn->user;
  metrics_increment (kernel_metrics (backend->options.kernel),
                     "connections_distrusted_total");
  conn_close (conn);
  backend_arm_tick (backend, backend_now (backend));
  if (user != NULL)
    user->ops->lost (user);
}

/* Makes CONN idle, and assigns it to a waiting user if there is one.  */
static void
conn_idle (struct backend_conn *conn)
{
  struct backend *backend = conn->backend;
  conn->user = NULL;
  kernel_timer_cancel (backend->options.kernel, &conn->timeout);
  conn_set_phase (conn, CONN_IDLE);
  if (backend->share == 0)
    {
      conn_close (conn);
      return;
    }
  if (conn->check.distrusted)
    {
      conn_close_distrusted (conn);
      return;
    }
  if (backend->conn_count > backend->share && pool_has_workspaces (backend))
    {
      conn_close (conn);
      backend_arm_tick (backend, backend_now (backend));
      return;
    }
  if (backend->conn_count > backend_idle_target (backend))
    backend_arm_tick (backend, backend_now (backend) + BACKEND_SPARE_IDLE_MS);
  backend_serve_waiters (backend);
}

static void
on_opened (void *arg, const struct answer *hello)
{
  struct backend_conn *conn = arg;
  struct backend *backend = conn->backend;
  conn->used_ms = backend_now (backend);
  backend->refused_ms = CLK_LONG_AGO;
  if (hello->has_position
      && position_compare (hello->position, backend->position) > 0)
    backend->position = hello->position;
  backend_note_answer (backend);
  conn_idle (conn);
}

/* Bytes of a message to or from an instance besides its texts.  */
#define MESSAGE_BYTES 24

static size_t
text_bytes (const char *text)
{
  return text != NULL ? strlen (text) + 1 : 0;
}

/* Returns whether a message of STEP is a statement of a caller, and not one
   that the proxy adds.  */
static bool
is_of_caller (const struct backend_conn *conn, enum conn_step step)
{
  return step == STEP_MAIN && conn->user != NULL
         && conn->user->workspace != NULL;
}

void
conn_count_bytes (const struct backend_conn *conn, enum conn_step step,
                  size_t bytes)
{
  const struct distance_meter *meter = conn->backend->options.meter;
  if (meter != NULL)
    *(is_of_caller (conn, step) ? meter->statement_bytes
                                : meter->control_bytes)
        += (int64_t)(bytes + MESSAGE_BYTES);
}

static void
count_sent (const struct backend_conn *conn, enum conn_step step,
            const struct statement *statement)
{
  const struct distance_meter *meter = conn->backend->options.meter;
  if (meter == NULL)
    return;
  *meter->statements += is_of_caller (conn, step);
  conn_count_bytes (conn, step,
                    text_bytes (statement->id) + text_bytes (statement->text)
                        + text_bytes (statement->name)
                        + text_bytes (statement->rest));
}

/* Returns whether CONN may be assigned to another user.  */
static bool
conn_is_clean (const struct backend_conn *conn)
{
  return conn->pending_count == 0
         && (conn->state == TX_IDLE || MUTANT (reuse_open_transaction));
}

/* Makes CONN idle if it is clean.  Otherwise rolls back its transaction, once
   nothing is in flight.  */
void
conn_clean (struct backend_conn *conn)
{
  if (conn_is_clean (conn))
    conn_idle (conn);
  else if (conn->pending_count == 0)
    {
      conn_send (conn, STEP_END, &(struct statement){ .kind = STMT_ROLLBACK },
                 NULL);
      kernel_timer_set (conn->backend->options.kernel, &conn->timeout,
                        backend_now (conn->backend)
                            + BACKEND_ROLLBACK_TIMEOUT_MS);
    }
}

static void
on_closed (void *arg, enum code code)
{
  struct backend_conn *conn = arg;
  struct backend *backend = conn->backend;
  struct conn_user *user = conn->user;
  bool was_opening = conn->phase == CONN_OPENING;
  if (conn->phase != CONN_IDLE || code != CODE_LOST)
    log_event (backend_log (backend), LOG_INFO, "connection_lost",
               LOG_S ("instance", backend->entry.id),
               LOG_S ("code", code_name (code)),
               LOG_U ("outstanding", conn->pending_count),
               LOG_S ("phase", was_opening ? "opening" : "open"));
  conn_free (conn);
  if (was_opening && code == CODE_TOOMANY)
    {
      /* The instance is alive; other hosts use its connections.  */
      backend_note_answer (backend);
      backend->failures++;
      backend->refused_ms = backend_now (backend);
      backend->refused_count = backend->conn_count;
      backend->retry_ms = backend_now (backend) + BACKEND_TOOMANY_RETRY_MS;
      backend_arm_tick (backend, backend->retry_ms);
    }
  else if (was_opening || code != CODE_LOST)
    backend_note_connect_failure (backend);
  else if (!backend->closing)
    backend_arm_tick (backend, backend_now (backend));
  if (user != NULL)
    user->ops->lost (user);
}

static const struct instance_events events = { .opened = on_opened,
                                               .began = conn_on_began,
                                               .answer = conn_on_answer,
                                               .closed = on_closed };

/* Closes a connection that was not opened or cleaned in time.  */
static void
on_timeout (void *arg)
{
  struct backend_conn *conn = arg;
  struct backend *backend = conn->backend;
  bool was_opening = conn->phase == CONN_OPENING;
  conn_close (conn);
  if (was_opening)
    backend_note_connect_failure (backend);
  backend_arm_tick (backend, backend_now (backend));
}

void
conn_open (struct backend *backend, struct pool_workspace *workspace)
{
  struct backend_conn *conn = mem_zalloc (sizeof *conn);
  struct instance_target target = { .address = backend->entry.address,
                                    .port = backend->entry.port,
                                    .group = backend->entry.group,
                                    .id = backend->entry.id,
                                    .user = workspace->name };
  conn->backend = backend;
  conn->timeout.fire = on_timeout;
  conn->timeout.arg = conn;
  pool_add_conn (conn, workspace);
  DL_APPEND (backend->conns, conn);
  metrics_increment (kernel_metrics (backend->options.kernel),
                     "connections_opened_total");
  kernel_timer_set (backend->options.kernel, &conn->timeout,
                    backend_now (backend) + BACKEND_CONNECT_TIMEOUT_MS);
  conn->link = backend->options.port->ops->open (backend->options.port,
                                                 &target, &events, conn);
}

struct backend *
conn_backend (const struct backend_conn *conn)
{
  return conn->backend;
}

void
conn_send (struct backend_conn *conn, enum conn_step step,
           const struct statement *statement, const struct position *after)
{
  struct backend *backend = conn->backend;
  uint32_t place = (conn->pending_head + conn->pending_count) % PENDING_LIMIT;
  if (conn->pending_count == PENDING_LIMIT)
    abort (); /* VALUES_LIMIT and CALLER_VALUES_FLIGHT bound them */
  conn->pending[place]
      = (struct pending_answer){ .step = step,
                                 .kind = statement->kind,
                                 .position = backend->position,
                                 .sent_ms = backend_now (backend) };
  conn->pending_count++;
  count_sent (conn, step, statement);
  backend->options.port->ops->send (backend->options.port, conn->link,
                                    statement, after);
}

uint32_t
conn_outstanding (const struct backend_conn *conn)
{
  return conn->pending_count;
}

enum tx_state
conn_state (const struct backend_conn *conn)
{
  return conn->state;
}

void
conn_release (struct backend_conn *conn)
{
  struct backend *backend = conn->backend;
  if (conn->user != NULL && conn->user->workspace != NULL)
    conn->used_ms = backend_now (backend);
  conn->user = NULL;
  if (backend->closing)
    {
      conn_close (conn);
      return;
    }
  if (conn->check.distrusted)
    {
      conn_close_distrusted (conn);
      return;
    }
  conn_set_phase (conn, CONN_CLEANING);
  kernel_timer_set (backend->options.kernel, &conn->timeout,
                    backend_now (backend) + BACKEND_LATE_ANSWER_TIMEOUT_MS);
  conn_clean (conn);
}
