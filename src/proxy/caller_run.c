/* Execution of one statement on an instance of its group.  A statement that
   did not run, or that is repeatable, is tried again, on another instance if
   it does not need the primary.  */

#include "proxy/caller_impl.h"

#include <string.h>

#include "kernel/mutant.h"
#include "kernel/text.h"

static void dispatch (struct caller *caller);
static void run_on (struct caller *caller, struct backend_conn *conn);

static struct caller *
caller_of (struct conn_user *user)
{
  return (struct caller *)(void *)((char *)user
                                   - offsetof (struct caller, user));
}

/* A transaction that may write can't be moved to the primary later.  */
bool
caller_needs_leader (const struct caller *caller)
{
  const struct run_request *run = &caller->run;
  if (run->writes || run->route.kind == ROUTE_PRIMARY)
    return true;
  return caller_in_transaction (caller) && !caller->tx_read_only;
}

bool
caller_is_repeatable (const struct caller *caller)
{
  return !caller_in_transaction (caller) && !caller->run.writes;
}

void
caller_run_stop (struct caller *caller)
{
  struct kernel *kernel = caller_kernel (caller);
  backend_cancel (&caller->user);
  group_unsubscribe (&caller->waiter);
  allowance_cancel (&caller->allowance);
  kernel_timer_cancel (kernel, &caller->retry_timer);
  kernel_timer_cancel (kernel, &caller->deadline_timer);
  kernel_timer_cancel (kernel, &caller->slow);
  caller_remote_stop (caller);
  caller_drop_conn (caller);
}

static void
on_deadline (void *arg)
{
  struct caller *caller = arg;
  if (caller->run.stage == RUN_SENT)
    caller_fail_unknown (caller, CODE_TIMEOUT, "no answer in time");
  else
    caller_fail (caller, caller_refusal (caller), "not run in time");
}

static void
wait_for_group (struct caller *caller, const char *why)
{
  caller_wait_for_group (caller, why, CALLER_GROUP_WAIT_MS);
}

static void
mark_tried (struct caller *caller, const struct backend *backend)
{
  struct run_request *run = &caller->run;
  if (run->tried_count == CALLER_TRIED_LIMIT)
    return;
  text_copy (run->tried[run->tried_count++], NAME_BYTES,
             backend_entry (backend)->id);
}

static void
connect_to (struct caller *caller, struct backend *backend)
{
  struct run_request *run = &caller->run;
  run->attempts++;
  text_copy (run->instance, sizeof run->instance, backend_entry (backend)->id);
  if (!caller_needs_leader (caller))
    mark_tried (caller, backend);
  run->stage = RUN_CONNECTING;
  caller->user.priority = run->route.priority;
  caller->user.values = caller->values.id;
  caller->user.workspace = caller->workspace;
  struct backend_conn *conn = backend_acquire (backend, &caller->user);
  if (conn != NULL)
    run_on (caller, conn);
  else
    caller_enter_queue (caller);
}

static void
dispatch_to_leader (struct caller *caller)
{
  struct run_request *run = &caller->run;
  struct group *group = caller_group (caller);
  struct backend *leader = group != NULL ? group_leader (group) : NULL;
  run->has_min_position = false;
  run->confirms_leader = !caller_in_transaction (caller) && !run->writes;
  if (group != NULL)
    group_note_use (group);
  if (leader == NULL || !backend_usable (leader))
    {
      wait_for_group (caller, "no primary");
      return;
    }
  if (!group_takes_work (group, leader))
    {
      wait_for_group (caller, "the primary is leaving");
      return;
    }
  enum permits_lack lack = group_lack (group, leader);
  if (lack != PERMITS_NOTHING)
    {
      wait_for_group (caller, permits_lack_name (lack));
      return;
    }
  connect_to (caller, leader);
}

/* Sets the position that an instance must have applied to serve the read.
   Returns false if no sample is recent enough.  */
static bool
set_min_position (struct caller *caller, const struct group *group)
{
  struct run_request *run = &caller->run;
  clk_ms since_ms
      = caller_in_transaction (caller) ? caller->tx_begun_ms : run->arrived_ms;
  clk_ms not_before_ms
      = since_ms - run->route.max_staleness_ms + CALLER_STALENESS_MARGIN_MS;
  /* Commits of earlier sessions of the same caller, on any host, were
     acknowledged before this session was opened.  */
  if (run->route.kind == ROUTE_SESSION && caller->opened_ms > not_before_ms)
    not_before_ms = caller->opened_ms;
  if (!samples_floor (group_samples (group), not_before_ms,
                      &run->min_position))
    return false;
  if (position_compare (caller->own, run->min_position) > 0
      && !MUTANT (forget_own_commit))
    run->min_position = caller->own;
  run->has_min_position = true;
  return true;
}

/* Prepares another round of attempts after no instance could serve the read.
   A promotion may have rolled back the required position; then the newest
   sample, of a primary of a newer term, replaces it.  */
static void
raise_min_position (struct caller *caller, struct group *group)
{
  struct run_request *run = &caller->run;
  const struct samples *samples = group_samples (group);
  if (samples_term (samples) > run->min_position.term)
    run->min_position = samples_newest (samples);
  run->tried_count = 0;
}

static void
dispatch_read (struct caller *caller)
{
  struct run_request *run = &caller->run;
  struct group *group = caller_group (caller);
  run->confirms_leader = false;
  if (group == NULL)
    {
      wait_for_group (caller, "no instance");
      return;
    }
  if (!run->has_min_position && !set_min_position (caller, group))
    {
      group_request_sample (group);
      wait_for_group (caller, "no recent position");
      return;
    }
  struct backend *backend
      = group_pick (group, run->min_position, caller->workspace,
                    (const char (*)[NAME_BYTES])run->tried, run->tried_count);
  if (backend != NULL)
    {
      connect_to (caller, backend);
      return;
    }
  if (run->attempts >= 2 * CALLER_TRIED_LIMIT)
    {
      caller_fail (caller, caller_refusal (caller),
                   "no instance can serve it");
      return;
    }
  if (!caller_enter_queue (caller))
    return;
  run->attempts++;
  raise_min_position (caller, group);
  group_subscribe (group, &caller->waiter);
  caller_wait (caller, CALLER_BUSY_BACKOFF_MS);
}

static void
dispatch (struct caller *caller)
{
  group_unsubscribe (&caller->waiter);
  kernel_timer_cancel (caller_kernel (caller), &caller->retry_timer);
  if (caller->conn != NULL)
    run_on (caller, caller->conn);
  else if (caller_remote_wanted (caller))
    caller_remote_dispatch (caller);
  else if (caller_needs_leader (caller))
    dispatch_to_leader (caller);
  else
    dispatch_read (caller);
}

/* Returns whether the statement does not continue a transaction that has run
   one already.  */
static bool
starts_work (const struct caller *caller)
{
  return !caller_in_transaction (caller) || !caller->tx_ran;
}

/* Records that new work is sent to an instance that has announced that it
   leaves.  */
static void
note_leaving (struct caller *caller, const struct instance_entry *entry)
{
  const struct run_request *run = &caller->run;
  bool is_dated = entry->leaving_since_ms != CLK_LONG_AGO;
  clk_ms since_ms = is_dated ? run->sent_ms - entry->leaving_since_ms : -1;
  if (is_dated)
    histogram_observe (caller_metrics_of (caller)->leaving_ms, since_ms);
  log_event (kernel_log (caller_kernel (caller)), LOG_INFO, "sent_to_leaving",
             LOG_S ("id", run->id), LOG_S ("instance", entry->id),
             LOG_I ("since_ms", since_ms), LOG_U ("attempts", run->attempts));
}

static void
note_sent (struct caller *caller)
{
  const struct instance_entry *entry
      = backend_entry (conn_backend (caller->conn));
  const struct run_request *run = &caller->run;
  struct caller_metrics *metrics = caller_metrics_of (caller);
  const struct group *group = caller_group (caller);
  histogram_observe (metrics->wait_ms[run->route.kind],
                     run->sent_ms - run->arrived_ms);
  if (run->has_min_position && group != NULL)
    histogram_observe (metrics->sample_age_ms,
                       run->sent_ms
                           - samples_newest_ms (group_samples (group)));
  if (entry->draining && starts_work (caller))
    note_leaving (caller, entry);
}

static void
send_main (struct caller *caller)
{
  struct run_request *run = &caller->run;
  struct backend_conn *conn = caller->conn;
  char name[BACKEND_STATEMENT_NAME_BYTES];
  struct statement statement
      = { .kind = run->kind, .id = run->id, .text = run->text };
  if (run->kind == STMT_EXECUTE)
    {
      conn_statement_name (conn, run->prepared_kind, run->shape, name);
      statement.name = name;
      statement.rest = run->rest;
      statement.text = NULL;
    }
  bool send_min_position = run->has_min_position
                           && !caller_in_transaction (caller)
                           && !MUTANT (ignore_position);
  run->stage = RUN_SENT;
  run->sent_ms = caller_now (caller);
  note_sent (caller);
  if (run->writes && caller_in_transaction (caller))
    caller->tx_wrote = true;
  conn_send (conn, STEP_MAIN, &statement,
             send_min_position ? &run->min_position : NULL);
  if (run->confirms_leader)
    conn_send (conn, STEP_END, &(struct statement){ .kind = STMT_ROLLBACK },
               NULL);
  if (caller_is_repeatable (caller))
    {
      double mean_ms = backend_mean_latency_ms (conn_backend (conn));
      clk_ms slow_ms = (clk_ms)(CALLER_SLOW_FACTOR * mean_ms);
      caller_set_timer (caller, &caller->slow,
                        slow_ms > CALLER_SLOW_MS ? slow_ms : CALLER_SLOW_MS);
    }
}

/* Queries, within the transaction, whether the primary has applied its
   log.  */
static void
send_status (struct caller *caller)
{
  struct run_request *run = &caller->run;
  run->queries_log = true;
  run->status_sent_ms = caller_now (caller);
  conn_send (caller->conn, STEP_STATUS,
             &(struct statement){ .kind = STMT_STATUS }, NULL);
}

static void
send_begin (struct caller *caller)
{
  struct run_request *run = &caller->run;
  const struct group *group = caller_group (caller);
  bool plain = caller_needs_leader (caller);
  run->begin_sent_ms = caller_now (caller);
  run->queries_log = run->is_fresh = false;
  conn_send (
      caller->conn, STEP_BEGIN,
      &(struct statement){ .kind = plain ? STMT_BEGIN : STMT_BEGIN_READ },
      plain ? NULL : &run->min_position);
  if (plain && group != NULL
      && !group_lead_is_recent (group, conn_backend (caller->conn)))
    send_status (caller);
}

/* Returns whether CONN, which the statement has waited for, belongs to an
   instance that takes no new work any more.  */
static bool
has_left (struct caller *caller, const struct backend_conn *conn)
{
  const struct group *group = caller_group (caller);
  return group != NULL && starts_work (caller)
         && !group_takes_work (group, conn_backend (conn));
}

/* Returns whether CONN belongs to a primary that may not be used now, though
   the statement starts work there or commits it.  */
static bool
lacks_permission (struct caller *caller, const struct backend_conn *conn)
{
  const struct group *group = caller_group (caller);
  bool commits = caller->run.kind == STMT_COMMIT && caller->tx_wrote;
  return group != NULL && caller_needs_leader (caller)
         && (starts_work (caller) || commits)
         && group_lack (group, conn_backend (conn)) != PERMITS_NOTHING;
}

/* Ends the transaction, or lets the statement wait for a primary.  */
static void
handle_lack (struct caller *caller, struct backend_conn *conn)
{
  if (!starts_work (caller))
    {
      caller_fail (caller, CODE_ABORTED, "the primary may not be used");
      return;
    }
  caller->conn = NULL;
  conn_release (conn);
  caller_wait (caller, 0);
}

/* Sets CONN up for the statement and sends it.  If the set-up needs answers
   first, on_answered sends it.  */
static void
run_on (struct caller *caller, struct backend_conn *conn)
{
  struct run_request *run = &caller->run;
  if (has_left (caller, conn))
    {
      caller->conn = NULL;
      conn_release (conn);
      caller_wait (caller, 0);
      return;
    }
  if (lacks_permission (caller, conn))
    {
      handle_lack (caller, conn);
      return;
    }
  bool opens = caller_in_transaction (caller) && caller->conn == NULL;
  caller->conn = conn;
  run->stage = RUN_SETTING_UP;
  conn_set_up (conn, &caller->values, run->prepared_kind, run->shape);
  run->begins = opens || run->confirms_leader;
  if (run->begins)
    send_begin (caller);
  if (conn_outstanding (conn) == 0)
    send_main (caller);
}

static void
on_granted (struct conn_user *user, struct backend_conn *conn)
{
  run_on (caller_of (user), conn);
}

/* Handles the refusal of BEGIN or of a set-up statement.  */
static void
handle_set_up_error (struct caller *caller, const struct answer *answer)
{
  struct backend *backend = conn_backend (caller->conn);
  struct group *group = caller_group (caller);
  enum code code = answer->code;
  bool pinned = caller_in_transaction (caller) && !caller->run.begins;
  if (code == CODE_LAGGING && group != NULL)
    group_mark_behind (group, backend);
  caller_drop_conn (caller);
  if (pinned)
    caller_fail (caller, CODE_ABORTED, "the instance refused a value");
  else
    caller_retry (caller, code_not_run (code) ? code : CODE_BUSY);
}

/* Returns whether the statement has committed writes, once it has
   succeeded.  */
static bool
commits (const struct caller *caller)
{
  const struct run_request *run = &caller->run;
  return run->kind == STMT_COMMIT
             ? caller->tx_wrote
             : run->writes && !caller_in_transaction (caller);
}

/* Records the position of a statement that succeeded: as that of the
   session's last commit, and as confirmation of the primary.  */
static void
record_position (struct caller *caller, struct backend *backend,
                 const struct answer *answer)
{
  const struct run_request *run = &caller->run;
  struct group *group = caller_group (caller);
  /* An instance that is no longer the primary refuses writes, and statements
     of a transaction that is not read-only.  */
  bool confirms_leader
      = commits (caller) || run->confirms_leader
        || (caller_in_transaction (caller) && !caller->tx_read_only
            && run->kind != STMT_COMMIT);
  if (!answer->has_position || group == NULL)
    return;
  if (commits (caller) && position_compare (answer->position, caller->own) > 0)
    caller->own = answer->position;
  if (confirms_leader
      && !group_confirm_leader (group, backend, answer->position,
                                run->sent_ms))
    group_query_log (group, backend, run->sent_ms);
}

/* Returns whether a commit that succeeded may have run on a primary that had
   been replaced; it is then lost.  */
static bool
is_unproven (struct caller *caller, const struct backend *backend)
{
  const struct group *group = caller_group (caller);
  if (!commits (caller) || group == NULL || MUTANT (trust_commit)
      || group_commit_covered (group, backend))
    return false;
  metrics_increment (kernel_metrics (caller_kernel (caller)),
                     "commits_unproven_total");
  log_event (kernel_log (caller_kernel (caller)), LOG_WARNING,
             "commit_unproven", LOG_S ("id", caller->run.id),
             LOG_S ("instance", backend_entry (backend)->id),
             LOG_S ("lack", permits_lack_name (group_lack (group, backend))),
             LOG_I ("spent_ms", caller_now (caller) - caller->run.sent_ms));
  return true;
}

static void
handle_success (struct caller *caller, struct backend *backend,
                const struct answer *answer)
{
  struct group *group = caller_group (caller);
  if (is_unproven (caller, backend))
    {
      caller_fail_unknown (caller, CODE_INDOUBT,
                           "the primary may have been replaced");
      return;
    }
  record_position (caller, backend, answer);
  if (group != NULL)
    admission_note_ran (group_admission (group, caller_needs_leader (caller)),
                        caller_now (caller));
  if (!caller_in_transaction (caller))
    caller_drop_conn (caller);
  else if (caller->run.kind == STMT_COMMIT)
    {
      caller_drop_conn (caller);
      caller->tx = TX_IDLE;
    }
  else
    caller->tx_ran = true;
  caller_finish (caller, answer);
}

/* Handles an error that an instance returned to a statement of a
   transaction.  */
static void
handle_tx_error (struct caller *caller, const struct answer *answer)
{
  struct run_request *run = &caller->run;
  if (answer->state == TX_OPEN && answer->code == CODE_BUSY)
    {
      /* The transaction is still open, and the statement did not run.  */
      run->refusal = CODE_BUSY;
      if (!caller_enter_queue (caller))
        return;
      run->attempts++;
      caller_wait (caller, CALLER_BUSY_BACKOFF_MS * (clk_ms)run->attempts);
      return;
    }
  bool first = !caller->tx_ran && run->kind != STMT_COMMIT;
  if (first && code_not_run (answer->code))
    {
      caller->tx_wrote = false;
      caller_drop_conn (caller);
      caller_retry (caller, answer->code);
      return;
    }
  enum code code = answer->code;
  if (run->kind == STMT_COMMIT && !code_not_run (code))
    {
      caller_fail_unknown (caller, code == CODE_TIMEOUT ? code : CODE_INDOUBT,
                           "the instance can't tell");
      return;
    }
  if (code == CODE_NOSTMT)
    code = CODE_ABORTED;
  caller_fail (caller, code, "refused by the instance");
}

static void
handle_error (struct caller *caller, struct backend *backend,
              const struct answer *answer)
{
  struct run_request *run = &caller->run;
  struct group *group = caller_group (caller);
  enum code code = answer->code;
  if (code == CODE_LAGGING && group != NULL)
    group_mark_behind (group, backend);
  if (code == CODE_READONLY && group != NULL)
    group_reject_leader (group, backend);
  if (caller_in_transaction (caller))
    {
      handle_tx_error (caller, answer);
      return;
    }
  caller_drop_conn (caller);
  run->refusal = code;
  if (code == CODE_BUSY && caller_needs_leader (caller)
      && !caller_enter_queue (caller))
    return;
  if (code_not_run (code)
      || (caller_is_repeatable (caller)
          && (code == CODE_FAILED || code == CODE_TIMEOUT)
          && run->tried_count < CALLER_TRIED_LIMIT))
    caller_retry (caller, code);
  else
    caller_finish (caller, answer);
}

/* Lets the statement wait for a primary that may be used and has applied its
   log.  */
static void
leave_primary (struct caller *caller, const char *why)
{
  caller_drop_conn (caller);
  caller_wait_for_group (caller, why, CALLER_CATCH_UP_RETRY_MS);
}

/* Handles the answer to a BEGIN that was sent to the primary.  Returns false
   if the statement can't be sent now.  */
static bool
handle_begin (struct caller *caller, struct backend *backend,
              const struct answer *answer)
{
  struct run_request *run = &caller->run;
  struct group *group = caller_group (caller);
  if (group == NULL || !answer->has_position)
    return true;
  run->is_fresh = group_confirm_leader (group, backend, answer->position,
                                        run->begin_sent_ms);
  enum permits_lack lack = group_lack (group, backend);
  if (lack != PERMITS_NOTHING)
    {
      leave_primary (caller, permits_lack_name (lack));
      return false;
    }
  if (!run->is_fresh && !run->queries_log)
    send_status (caller);
  return true;
}

/* Handles the answer to STATUS.  Returns false if the statement can't be sent
   now.  */
static bool
handle_status (struct caller *caller, struct backend *backend,
               const struct answer *answer)
{
  struct run_request *run = &caller->run;
  struct group *group = caller_group (caller);
  struct instance_status status;
  if (answer->state == TX_OPEN && (run->is_fresh || group == NULL))
    return true;
  if (group != NULL && answer->state == TX_OPEN
      && group_parse_status (group, &status, answer))
    {
      if (group_confirm_log (group, backend, &status, answer->position,
                             run->status_sent_ms, run->begin_sent_ms))
        return true;
      leave_primary (caller, "the primary is catching up");
      return false;
    }
  run->refusal = code_not_run (answer->code) ? answer->code : CODE_BUSY;
  caller_drop_conn (caller);
  if (run->refusal != CODE_BUSY || caller_enter_queue (caller))
    caller_retry (caller, run->refusal);
  return false;
}

static void
on_answered (struct conn_user *user, struct backend_conn *conn,
             enum conn_step step, const struct answer *answer)
{
  struct caller *caller = caller_of (user);
  struct run_request *run = &caller->run;
  struct backend *backend = conn_backend (conn);
  if (step == STEP_END)
    return;
  if (step == STEP_MAIN)
    {
      kernel_timer_cancel (caller_kernel (caller), &caller->slow);
      backend_note_latency (backend, caller_now (caller) - run->sent_ms,
                            answer->code == CODE_BUSY);
      if (answer->code == CODE_OK)
        handle_success (caller, backend, answer);
      else
        handle_error (caller, backend, answer);
      return;
    }
  if (run->stage != RUN_SETTING_UP)
    {
      /* A SET that was sent between the statements of a transaction.  */
      if (answer->code != CODE_OK)
        {
          caller_drop_conn (caller);
          caller->tx = TX_FAILED;
          caller->tx_failure_unreported = true;
        }
      return;
    }
  if (step == STEP_STATUS)
    {
      if (!handle_status (caller, backend, answer))
        return;
    }
  else if (answer->code != CODE_OK)
    {
      handle_set_up_error (caller, answer);
      return;
    }
  else if (step == STEP_BEGIN && caller_needs_leader (caller)
           && !handle_begin (caller, backend, answer))
    return;
  if (conn_outstanding (conn) == 0)
    send_main (caller);
}

static void
on_lost (struct conn_user *user)
{
  struct caller *caller = caller_of (user);
  struct run_request *run = &caller->run;
  caller->conn = NULL;
  kernel_timer_cancel (caller_kernel (caller), &caller->slow);
  if (run->stage == RUN_NONE || run->stage == RUN_LIMITED
      || run->stage == RUN_WAITING)
    {
      /* No statement of the transaction is in flight.  */
      if (!caller_in_transaction (caller))
        return;
      if (run->stage == RUN_NONE)
        {
          caller->tx = TX_FAILED;
          caller->tx_failure_unreported = true;
        }
      else
        caller_fail (caller, CODE_ABORTED, "connection lost");
      return;
    }
  if (run->stage == RUN_SENT
      && (caller_is_repeatable (caller) || MUTANT (repeat_lost_write)))
    caller_retry (caller, CODE_LOST);
  else if (run->stage == RUN_SENT)
    caller_fail_unknown (caller, CODE_INDOUBT, "connection lost");
  else if (caller_in_transaction (caller) && caller->tx_ran)
    caller_fail (caller, CODE_ABORTED, "connection lost");
  else
    caller_retry (caller, CODE_BUSY);
}

static const struct conn_user_ops user_ops
    = { .granted = on_granted, .answered = on_answered, .lost = on_lost };

static void
on_retry_timer (void *arg)
{
  dispatch (arg);
}

static void
on_group_change (struct group_subscriber *waiter)
{
  struct caller *caller
      = (struct caller *)(void *)((char *)waiter
                                  - offsetof (struct caller, waiter));
  caller_set_timer (caller, &caller->retry_timer, 0);
}

/* Tries a read without an answer on another instance.  */
static void
on_slow (void *arg)
{
  struct caller *caller = arg;
  if (caller->run.stage != RUN_SENT || caller_remote_slow (caller))
    return;
  caller_drop_conn (caller);
  caller_retry (caller, CODE_TIMEOUT);
}

/* Continues a statement whose operation was decided by the rate limit.  */
static void
on_allowance (struct allowance_user *user, bool granted, clk_ms retry_after_ms)
{
  struct caller *caller
      = (struct caller *)(void *)((char *)user
                                  - offsetof (struct caller, allowance));
  if (!granted)
    {
      caller_fail_limited (caller, retry_after_ms);
      return;
    }
  caller->run.granted_ms = caller_now (caller);
  caller->tx_counted = caller_in_transaction (caller);
  dispatch (caller);
}

void
caller_run_init (struct caller *caller)
{
  caller->user.ops = &user_ops;
  caller->waiter.wake = on_group_change;
  caller->retry_timer
      = (struct ktimer){ .fire = on_retry_timer, .arg = caller };
  caller->deadline_timer
      = (struct ktimer){ .fire = on_deadline, .arg = caller };
  caller->slow = (struct ktimer){ .fire = on_slow, .arg = caller };
  caller->allowance.decided = on_allowance;
}

/* Runs the statement if its operation counts already, or one more is within
   the rate limit of the workspace.  */
static void
start_within_limit (struct caller *caller)
{
  struct run_request *run = &caller->run;
  clk_ms retry_after_ms = 0;
  enum allowance_result result = ALLOWANCE_GRANTED;
  bool counted = caller->forwarded || caller->workspace[0] == '\0'
                 || (caller_in_transaction (caller) && caller->tx_counted);
  if (counted)
    {
      dispatch (caller);
      return;
    }
  run->stage = RUN_LIMITED;
  result = allowance_take (caller->callers->allowances, caller->workspace,
                           &caller->allowance, &retry_after_ms);
  if (result != ALLOWANCE_WAITS)
    on_allowance (&caller->allowance, result == ALLOWANCE_GRANTED,
                  retry_after_ms);
}

void
caller_run_start (struct caller *caller)
{
  struct run_request *run = &caller->run;
  const struct route *route
      = caller_in_transaction (caller) || caller->forwarded
            ? &caller->tx_route
            : catalog_route (caller->callers->catalog, caller->database);
  if (route == NULL)
    {
      caller_fail_no_route (caller);
      return;
    }
  run->route = *route;
  if (!caller->forwarded && !MUTANT (check_key_once))
    {
      const char *why;
      enum code code = caller_authorize (caller, route, &why);
      if (code != CODE_OK)
        {
          caller_fail (caller, code, why);
          return;
        }
    }
  if (caller_is_late (caller, route->timeout_ms))
    {
      caller_fail (caller, caller_refusal (caller), "this host is leaving");
      return;
    }
  caller_set_timer (caller, &caller->deadline_timer, route->timeout_ms);
  start_within_limit (caller);
}
