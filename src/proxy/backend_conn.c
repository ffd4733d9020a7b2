/* Connections of a backend: opening, set-up, cleaning.  */

#include "proxy/backend_impl.h"

#include <inttypes.h>
#include <stdio.h>
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

static void
forget_statements (struct backend_conn *conn)
{
  for (size_t i = 0; i < BACKEND_PREPARED_LIMIT; i++)
    free (conn->statements[i].shape);
  memset (conn->statements, 0, sizeof conn->statements);
  conn->prepared = 0;
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
  forget_statements (conn);
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
static void
close_distrusted (struct backend_conn *conn)
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
      close_distrusted (conn);
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

static void
count_bytes (const struct backend_conn *conn, enum conn_step step,
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
  count_bytes (conn, step,
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
static void
clean (struct backend_conn *conn)
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

/* Notes that ANSWER doesn't belong to the oldest statement in flight.  PENDING
   is NULL if there is none, ANSWER if it has only begun.  */
static void
note_unmatched (const struct backend_conn *conn,
                const struct pending_answer *pending,
                const struct answer *answer)
{
  struct backend *backend = conn->backend;
  backend->unmatched_ms = backend_now (backend);
  metrics_increment (kernel_metrics (backend->options.kernel),
                     "answers_unmatched_total");
  log_event (
      backend_log (backend), LOG_WARNING, "answer_unmatched",
      LOG_S ("instance", backend->entry.id),
      LOG_S ("code", answer != NULL ? code_name (answer->code) : NULL),
      LOG_S ("signature", answer != NULL ? answer->signature : NULL),
      LOG_S ("awaited",
             pending != NULL ? stmt_kind_name (pending->kind) : NULL),
      LOG_I ("sent_ms_ago",
             pending != NULL ? backend_now (backend) - pending->sent_ms : -1));
}

/* Removes the oldest statement in flight and returns it.  */
static struct pending_answer
take_pending (struct backend_conn *conn)
{
  struct pending_answer pending = conn->pending[conn->pending_head];
  conn->pending_head = (conn->pending_head + 1) % PENDING_LIMIT;
  conn->pending_count--;
  return pending;
}

/* Passes ANSWER, which belongs to PENDING, on to the user.  The answers up to
   now leave the transaction in STATE.  */
static void
pass_answer (struct backend_conn *conn, const struct pending_answer *pending,
             const struct answer *answer, enum tx_state state)
{
  struct backend *backend = conn->backend;
  conn->state = state;
  count_bytes (conn, pending->step, answer->body_bytes);
  if (answer->has_position)
    backend->position = answer->position;
  backend_note_answer (backend);
  if (pending->step == STEP_BEGIN && answer->code == CODE_READONLY)
    backend->options.leader_rejected (backend->options.arg, backend);
  if (pending->step == STEP_SETUP && answer->code != CODE_OK)
    {
      /* Its values are unknown: the set-up for the next user starts with
         RESET.  */
      conn->values = values_id_unknown;
      forget_statements (conn);
    }
  if (conn->user != NULL)
    conn->user->ops->answered (conn->user, conn, pending->step, answer);
  else if (conn->phase == CONN_CLEANING)
    clean (conn);
}

static void
print_statement_name (uint64_t number, char out[BACKEND_STATEMENT_NAME_BYTES])
{
  snprintf (out, BACKEND_STATEMENT_NAME_BYTES, "s%" PRIu64, number);
}

/* Returns whether the instance has sent an answer twice lately.  */
static bool
stutters (const struct backend *backend)
{
  return backend_now (backend) - backend->unmatched_ms < BACKEND_STUTTER_MS;
}

/* Returns in which state the transaction is once it is rolled back, if it has
   failed or that is already sent.  */
static enum tx_state
fenced_state (const struct backend_conn *conn, const struct answer *error)
{
  bool is_main = conn->pending[conn->pending_head].step == STEP_MAIN;
  return error->state == TX_FAILED || (is_main && conn->pending_count > 1)
             ? TX_IDLE
             : error->state;
}

/* Sends COUNT statements that succeed and change nothing.  */
static void
send_fences (struct backend_conn *conn, uint32_t count)
{
  char name[BACKEND_STATEMENT_NAME_BYTES];
  for (uint32_t i = 0; i < count; i++)
    {
      print_statement_name (++conn->last_number, name);
      conn->prepared++;
      conn_send (conn, STEP_FENCE,
                 &(struct statement){ .kind = STMT_PREPARE_READ,
                                      .name = name,
                                      .rest = "fence" },
                 NULL);
    }
  if (conn->prepared >= BACKEND_PREPARED_LIMIT)
    conn->values = values_id_unknown; /* lets the next set-up send RESET */
}

/* Returns how many statements behind the one with ERROR have to succeed.  */
static uint32_t
needed_fences (const struct backend_conn *conn, const struct answer *error)
{
  uint32_t count
      = answer_check_fences (&conn->check, fenced_state (conn, error));
  return stutters (conn->backend) && count > BACKEND_FENCES ? count
                                                            : BACKEND_FENCES;
}

/* Holds ERROR back until the statements behind it are answered.  Returns false
   if too many were needed.  */
static bool
hold_error (struct backend_conn *conn, const struct answer *error)
{
  uint32_t count = needed_fences (conn, error);
  if (conn->holds_error || count > BACKEND_FENCES_LIMIT
      || conn->pending_count + count >= PENDING_LIMIT)
    return false;
  free (conn->held_text);
  conn->held_text = mem_strdup (error->text);
  conn->held = *error;
  conn->held.text = conn->held_text;
  conn->holds_error = true;
  conn->fenced = 0;
  conn->fence_state = error->state;
  metrics_increment (kernel_metrics (conn->backend->options.kernel),
                     "answers_held_total");
  if (error->state == TX_FAILED && conn->pending_count == 1)
    conn_send (conn, STEP_FENCE, &(struct statement){ .kind = STMT_ROLLBACK },
               NULL);
  send_fences (conn, count);
  return true;
}

/* Passes on the error that was held back: all statements behind it are
   answered.  */
static void
pass_held_error (struct backend_conn *conn)
{
  struct answer error = conn->held;
  struct pending_answer pending = take_pending (conn);
  while (conn->pending_count > 0)
    take_pending (conn);
  conn->holds_error = false;
  pass_answer (conn, &pending, &error, conn->fence_state);
}

/* Handles an answer while an error is held back.  Returns false if it may be
   that of the statement with the error.  */
static bool
handle_fenced (struct backend_conn *conn, const struct answer *answer)
{
  uint32_t place = (conn->pending_head + 1 + conn->fenced) % PENDING_LIMIT;
  const struct pending_answer *pending = &conn->pending[place];
  struct answer_awaited awaited = { .kind = pending->kind,
                                    .state = conn->fence_state,
                                    .position = pending->position };
  if (answer->signature != NULL)
    return false;
  bool older = answer_check_is_older (&conn->check, answer);
  enum answer_verdict verdict = answer_check_match (
      &conn->check, &awaited, answer, backend_now (conn->backend));
  if (verdict == ANSWER_OWN && answer->code == CODE_OK && !older)
    {
      conn->fenced++;
      conn->fence_state = answer->state;
      if (conn->fenced + 1 == conn->pending_count)
        pass_held_error (conn);
      return true;
    }
  note_unmatched (conn, pending, answer);
  if (!answer->is_greeting)
    close_distrusted (conn);
  return true;
}

/* Handles an answer that came while no statement was in flight.  */
static void
handle_unawaited (struct backend_conn *conn, const struct answer *answer)
{
  bool harmless = answer_check_is_harmless (&conn->check, conn->state, answer);
  note_unmatched (conn, NULL, answer);
  if (conn->user == NULL || !harmless)
    close_distrusted (conn);
}

/* Tells an answer that was not awaited when it began, also if a statement is
   sent before it ends.  */
static void
on_began (void *arg)
{
  struct backend_conn *conn = arg;
  conn->unawaited = conn->pending_count == 0;
  if (!conn->unawaited)
    return;
  conn->check.distrusted = true;
  if (conn->user == NULL)
    {
      note_unmatched (conn, NULL, NULL);
      close_distrusted (conn);
    }
}

static void
on_answer (void *arg, const struct answer *answer)
{
  struct backend_conn *conn = arg;
  struct backend *backend = conn->backend;
  if (conn->unawaited)
    {
      handle_unawaited (conn, answer);
      return;
    }
  if (conn->holds_error && handle_fenced (conn, answer))
    return;
  struct pending_answer pending = conn->pending[conn->pending_head];
  struct answer_awaited awaited = { .kind = pending.kind,
                                    .state = conn->state,
                                    .position = pending.position };
  switch (answer_check_match (&conn->check, &awaited, answer,
                              backend_now (backend)))
    {
    case ANSWER_OWN:
      if (conn->holds_error && conn->held.state == TX_FAILED)
        break; /* it ran, but its transaction is being rolled back */
      conn->holds_error = false;
      take_pending (conn);
      pass_answer (conn, &pending, answer, answer->state);
      return;
    case ANSWER_DOUBTFUL:
      if (hold_error (conn, answer))
        return;
      break;
    case ANSWER_FOREIGN:
      note_unmatched (conn, &pending, answer);
      return;
    case ANSWER_UNFIT:
      break;
    }
  note_unmatched (conn, &pending, answer);
  /* If the log went back, the next connections know it as it is now.  */
  if (answer->has_position)
    backend->position = answer->position;
  close_distrusted (conn);
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
                                               .began = on_began,
                                               .answer = on_answer,
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

/* Returns the number of the statement of KIND and SHAPE, or 0 if it is not
   prepared.  */
static uint64_t
statement_number (const struct backend_conn *conn, enum stmt_kind kind,
                  const char *shape)
{
  for (size_t i = 0; i < BACKEND_PREPARED_LIMIT; i++)
    {
      const struct conn_statement *statement = &conn->statements[i];
      if (statement->number != 0 && statement->kind == kind
          && strcmp (statement->shape, shape) == 0)
        return statement->number;
    }
  return 0;
}

/* Records a new statement, in place of the oldest one if there are too
   many.  */
static void
add_statement (struct backend_conn *conn, enum stmt_kind kind,
               const char *shape)
{
  struct conn_statement *statement
      = &conn->statements[conn->prepared++ % BACKEND_PREPARED_LIMIT];
  free (statement->shape);
  *statement = (struct conn_statement){ .number = ++conn->last_number,
                                        .kind = kind,
                                        .shape = mem_strdup (shape) };
}

void
conn_statement_name (const struct backend_conn *conn, enum stmt_kind kind,
                     const char *shape, char out[BACKEND_STATEMENT_NAME_BYTES])
{
  /* The instance knows no s0.  */
  print_statement_name (statement_number (conn, kind, shape), out);
}

static void
send_reset (struct backend_conn *conn)
{
  conn_send (conn, STEP_SETUP, &(struct statement){ .kind = STMT_RESET },
             NULL);
  conn->values = values_id_none;
  forget_statements (conn);
}

static void
send_values (struct backend_conn *conn, const struct values *values)
{
  for (size_t i = 0; i < values->count; i++)
    conn_send (conn, STEP_SETUP,
               &(struct statement){ .kind = STMT_SET,
                                    .name = values->items[i].name,
                                    .rest = values->items[i].text },
               NULL);
  conn->values = values->id;
}

/* Prepares the statement of KIND and SHAPE, which is new on CONN.  */
static void
prepare_statement (struct backend_conn *conn, const struct values *values,
                   enum stmt_kind kind, const char *shape)
{
  char name[BACKEND_STATEMENT_NAME_BYTES];
  if (conn->prepared >= BACKEND_PREPARED_LIMIT && conn->state == TX_IDLE)
    {
      send_reset (conn);
      send_values (conn, values);
    }
  add_statement (conn, kind, shape);
  conn_statement_name (conn, kind, shape, name);
  conn_send (conn, STEP_SETUP,
             &(struct statement){ .kind = kind, .name = name, .rest = shape },
             NULL);
}

/* Sends more statements behind COUNT ones of a set-up, so that all of these
   are answered before the user's is sent, though answers come twice.  */
static void
fence_set_up (struct backend_conn *conn, uint32_t count)
{
  count += answer_check_fences (&conn->check, conn->state) - 1;
  send_fences (conn,
               count < BACKEND_FENCES_LIMIT ? count : BACKEND_FENCES_LIMIT);
}

bool
conn_set_up (struct backend_conn *conn, const struct values *values,
             enum stmt_kind kind, const char *shape)
{
  uint32_t before = conn->pending_count;
  if (!values_id_equal (&conn->values, &values->id) && !MUTANT (skip_values))
    {
      if (!values_id_equal (&conn->values, &values_id_none)
          && conn->state == TX_IDLE)
        send_reset (conn);
      send_values (conn, values);
    }
  if (shape != NULL && statement_number (conn, kind, shape) == 0)
    prepare_statement (conn, values, kind, shape);
  if (conn->pending_count > before && stutters (conn->backend))
    fence_set_up (conn, conn->pending_count - before);
  return conn->pending_count > before;
}

void
conn_set_value (struct backend_conn *conn, const struct values *values,
                const char *name, const char *value)
{
  conn_send (
      conn, STEP_SETUP,
      &(struct statement){ .kind = STMT_SET, .name = name, .rest = value },
      NULL);
  conn->values = values->id;
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
      close_distrusted (conn);
      return;
    }
  conn_set_phase (conn, CONN_CLEANING);
  kernel_timer_set (backend->options.kernel, &conn->timeout,
                    backend_now (backend) + BACKEND_LATE_ANSWER_TIMEOUT_MS);
  clean (conn);
}
