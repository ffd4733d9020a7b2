/* Answers on a connection of a backend: which statement each belongs to, and
   errors that are held back until that is certain.  */

#include "proxy/backend_impl.h"

#include <stdlib.h>

#include "kernel/mem.h"

bool
backend_stutters (const struct backend *backend)
{
  return backend_now (backend) - backend->unmatched_ms < BACKEND_STUTTER_MS;
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
  conn_count_bytes (conn, pending->step, answer->body_bytes);
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
      conn_forget_statements (conn);
    }
  if (conn->user != NULL)
    conn->user->ops->answered (conn->user, conn, pending->step, answer);
  else if (conn->phase == CONN_CLEANING)
    conn_clean (conn);
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

/* Returns how many statements behind the one with ERROR have to succeed.  */
static uint32_t
needed_fences (const struct backend_conn *conn, const struct answer *error)
{
  uint32_t count
      = answer_check_fences (&conn->check, fenced_state (conn, error));
  return backend_stutters (conn->backend) && count > BACKEND_FENCES
             ? count
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
  conn->fences_answered = 0;
  conn->fence_state = error->state;
  metrics_increment (kernel_metrics (conn->backend->options.kernel),
                     "answers_held_total");
  if (error->state == TX_FAILED && conn->pending_count == 1)
    conn_send (conn, STEP_FENCE, &(struct statement){ .kind = STMT_ROLLBACK },
               NULL);
  conn_send_fences (conn, count);
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
  uint32_t place
      = (conn->pending_head + 1 + conn->fences_answered) % PENDING_LIMIT;
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
      conn->fences_answered++;
      conn->fence_state = answer->state;
      if (conn->fences_answered + 1 == conn->pending_count)
        pass_held_error (conn);
      return true;
    }
  note_unmatched (conn, pending, answer);
  if (!answer->is_greeting)
    conn_close_distrusted (conn);
  return true;
}

/* Handles an answer that came while no statement was in flight.  */
static void
handle_unawaited (struct backend_conn *conn, const struct answer *answer)
{
  bool ignored = answer_check_can_ignore (&conn->check, conn->state, answer);
  note_unmatched (conn, NULL, answer);
  if (conn->user == NULL || !ignored)
    conn_close_distrusted (conn);
}

/* Tells an answer that was not awaited when it began, also if a statement is
   sent before it ends.  */
void
conn_on_began (void *arg)
{
  struct backend_conn *conn = arg;
  conn->unawaited = conn->pending_count == 0;
  if (!conn->unawaited)
    return;
  conn->check.distrusted = true;
  if (conn->user == NULL)
    {
      note_unmatched (conn, NULL, NULL);
      conn_close_distrusted (conn);
    }
}

void
conn_on_answer (void *arg, const struct answer *answer)
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
  conn_close_distrusted (conn);
}
