/* Runs one statement of a session on an instance, and tries again elsewhere
   what certainly did not run or may be repeated.  */

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

/* Whether the statement must run on the primary.  A transaction that may
   write can't be moved there later.  */
bool
caller_needs_leader (const struct caller *caller)
{
  const struct run_request *run = &caller->run;
  if (run->writes || run->route.kind == ROUTE_PRIMARY)
    return true;
  return caller_in_transaction (caller) && !caller->tx_read_only;
}

/* Whether the statement alone can be run again after it may have run.  */
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
  kernel_timer_cancel (kernel, &caller->again);
  kernel_timer_cancel (kernel, &caller->deadline);
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

/* Waits for a primary or a sample.  */
static void
hold (struct caller *caller, const char *why)
{
  caller_hold (caller, why, CALLER_HOLD_MS);
}

static void
mark_tried (struct caller *caller, const struct backend *backend)
{
  struct run_request *run = &caller->run;
  if (run->tried_count == CALLER_TRIES)
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
  caller->user.values_hash = caller->values.hash;
  struct backend_conn *conn = backend_acquire (backend, &caller->user);
  if (conn != NULL)
    run_on (caller, conn);
  else
    caller_queue_up (caller);
}

static void
dispatch_to_leader (struct caller *caller)
{
  struct run_request *run = &caller->run;
  struct group *group = caller_group (caller);
  struct backend *leader = group != NULL ? group_leader (group) : NULL;
  run->has_floor = false;
  run->proves = !caller_in_transaction (caller) && !run->writes;
  if (leader == NULL || !backend_usable (leader))
    {
      hold (caller, "no primary");
      return;
    }
  connect_to (caller, leader);
}

/* Sets what position a read must see; returns false if no sample covers
   it.  */
static bool
find_floor (struct caller *caller, const struct group *group)
{
  struct run_request *run = &caller->run;
  clk_ms since_ms
      = caller_in_transaction (caller) ? caller->tx_begun_ms : run->arrived_ms;
  clk_ms not_before_ms
      = since_ms - run->route.max_staleness_ms + CALLER_STALENESS_MARGIN_MS;
  /* Commits of the same caller's earlier connections, on any host, precede
     this session.  */
  if (run->route.kind == ROUTE_SESSION && caller->opened_ms > not_before_ms)
    not_before_ms = caller->opened_ms;
  if (!samples_floor (group_samples (group), not_before_ms, &run->floor))
    return false;
  if (position_compare (caller->own, run->floor) > 0
      && !MUTANT (forget_own_commit))
    run->floor = caller->own;
  run->has_floor = true;
  return true;
}

/* After all instances lacked the position: it may be one that a promotion
   rolled back, which the newest sample covers.  */
static void
raise_floor (struct caller *caller, struct group *group)
{
  struct run_request *run = &caller->run;
  struct position newest = samples_newest (group_samples (group));
  if (newest.term > run->floor.term)
    run->floor = newest;
  run->tried_count = 0;
}

static void
dispatch_read (struct caller *caller)
{
  struct run_request *run = &caller->run;
  struct group *group = caller_group (caller);
  run->proves = false;
  if (group == NULL)
    {
      hold (caller, "no instance");
      return;
    }
  if (!run->has_floor && !find_floor (caller, group))
    {
      group_request_sample (group);
      hold (caller, "no recent position");
      return;
    }
  struct backend *backend
      = group_pick (group, run->floor, (const char (*)[NAME_BYTES])run->tried,
                    run->tried_count);
  if (backend != NULL)
    {
      connect_to (caller, backend);
      return;
    }
  if (run->attempts >= 2 * CALLER_TRIES)
    {
      caller_fail (caller, caller_refusal (caller),
                   "no instance can serve it");
      return;
    }
  if (!caller_queue_up (caller))
    return;
  run->attempts++;
  raise_floor (caller, group);
  group_subscribe (group, &caller->waiter);
  caller_wait (caller, CALLER_BUSY_WAIT_MS);
}

static void
dispatch (struct caller *caller)
{
  group_unsubscribe (&caller->waiter);
  kernel_timer_cancel (caller_kernel (caller), &caller->again);
  if (caller->conn != NULL)
    run_on (caller, caller->conn);
  else if (caller_remote_wanted (caller))
    caller_remote_dispatch (caller);
  else if (caller_needs_leader (caller))
    dispatch_to_leader (caller);
  else
    dispatch_read (caller);
}

static void
note_sent (struct caller *caller)
{
  const struct run_request *run = &caller->run;
  struct caller_metrics *metrics = caller_metrics_of (caller);
  const struct group *group = caller_group (caller);
  histogram_observe (metrics->wait_ms[run->route.kind],
                     run->sent_ms - run->arrived_ms);
  if (run->has_floor && group != NULL)
    histogram_observe (metrics->sample_age_ms,
                       run->sent_ms
                           - samples_newest_ms (group_samples (group)));
}

static void
send_main (struct caller *caller)
{
  struct run_request *run = &caller->run;
  struct backend_conn *conn = caller->conn;
  char name[VALUE_NAME_BYTES + 2];
  struct statement statement
      = { .kind = run->kind, .id = run->id, .text = run->text };
  if (run->kind == STMT_EXECUTE)
    {
      conn_statement_name (run->prepared_kind, run->shape, name, sizeof name);
      statement.name = name;
      statement.rest = run->rest;
      statement.text = NULL;
    }
  bool use_floor = run->has_floor && !caller_in_transaction (caller)
                   && !MUTANT (ignore_position);
  run->stage = RUN_SENT;
  run->sent_ms = caller_now (caller);
  note_sent (caller);
  if (run->writes && caller_in_transaction (caller))
    caller->tx_wrote = true;
  conn_send (conn, STEP_MAIN, &statement, use_floor ? &run->floor : NULL);
  if (run->proves)
    conn_send (conn, STEP_END, &(struct statement){ .kind = STMT_ROLLBACK },
               NULL);
  if (caller_is_repeatable (caller))
    {
      double usual_ms = backend_mean_latency_ms (conn_backend (conn));
      clk_ms slow_ms = (clk_ms)(CALLER_SLOW_RATIO * usual_ms);
      caller_set_timer (caller, &caller->slow,
                        slow_ms > CALLER_SLOW_MS ? slow_ms : CALLER_SLOW_MS);
    }
}

static void
send_begin (struct caller *caller)
{
  struct run_request *run = &caller->run;
  bool plain = caller_needs_leader (caller);
  run->begin_sent_ms = caller_now (caller);
  conn_send (
      caller->conn, STEP_BEGIN,
      &(struct statement){ .kind = plain ? STMT_BEGIN : STMT_BEGIN_READ },
      plain ? NULL : &run->floor);
}

/* Brings CONN to where the statement can be sent, and sends it.  */
static void
run_on (struct caller *caller, struct backend_conn *conn)
{
  struct run_request *run = &caller->run;
  bool opens = caller_in_transaction (caller) && caller->conn == NULL;
  caller->conn = conn;
  run->stage = RUN_SETTING_UP;
  conn_set_up (conn, &caller->values, run->prepared_kind, run->shape);
  run->begins = opens || run->proves;
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

/* Goes on after the instance refused BEGIN or a set-up step.  */
static void
set_up_refused (struct caller *caller, const struct answer *answer)
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

/* Learns from a statement that succeeded.  */
static void
learn (struct caller *caller, struct backend *backend,
       const struct answer *answer)
{
  const struct run_request *run = &caller->run;
  struct group *group = caller_group (caller);
  bool commits = run->kind == STMT_COMMIT
                     ? caller->tx_wrote
                     : run->writes && !caller_in_transaction (caller);
  /* An instance that lost the lead refuses statements of a plain
     transaction, and writes.  */
  bool proves = commits || run->proves
                || (caller_in_transaction (caller) && !caller->tx_read_only
                    && run->kind != STMT_COMMIT);
  if (!answer->has_position || group == NULL)
    return;
  if (commits && position_compare (answer->position, caller->own) > 0)
    caller->own = answer->position;
  if (proves)
    group_confirm_leader (group, backend, answer->position, run->sent_ms);
}

static void
main_succeeded (struct caller *caller, struct backend *backend,
                const struct answer *answer)
{
  struct group *group = caller_group (caller);
  learn (caller, backend, answer);
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

/* A statement of a transaction that an instance answered with an error.  */
static void
tx_failed (struct caller *caller, const struct answer *answer)
{
  struct run_request *run = &caller->run;
  if (answer->state == TX_OPEN && answer->code == CODE_BUSY)
    {
      /* The transaction stands and the statement did not run.  */
      run->refusal = CODE_BUSY;
      if (!caller_queue_up (caller))
        return;
      run->attempts++;
      caller_wait (caller, CALLER_BUSY_WAIT_MS * (clk_ms)run->attempts);
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
main_failed (struct caller *caller, struct backend *backend,
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
      tx_failed (caller, answer);
      return;
    }
  caller_drop_conn (caller);
  run->refusal = code;
  if (code == CODE_BUSY && caller_needs_leader (caller)
      && !caller_queue_up (caller))
    return;
  if (code_not_run (code)
      || (caller_is_repeatable (caller)
          && (code == CODE_FAILED || code == CODE_TIMEOUT)
          && run->tried_count < CALLER_TRIES))
    caller_retry (caller, code);
  else
    caller_finish (caller, answer);
}

/* Takes the answer to a plain BEGIN.  Returns false if the primary has not
   applied its log yet; the statement then waits.  */
static bool
leader_covers (struct caller *caller, struct backend *backend,
               const struct answer *answer)
{
  struct group *group = caller_group (caller);
  if (group == NULL || !answer->has_position)
    return true;
  group_confirm_leader (group, backend, answer->position,
                        caller->run.begin_sent_ms);
  if (group_leader_caught_up (group, backend, answer->position))
    return true;
  caller_drop_conn (caller);
  caller_hold (caller, "the primary is catching up", CALLER_CATCH_UP_MS);
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
        main_succeeded (caller, backend, answer);
      else
        main_failed (caller, backend, answer);
      return;
    }
  if (run->stage != RUN_SETTING_UP)
    {
      /* A value set between the statements of a transaction.  */
      if (answer->code != CODE_OK)
        {
          caller_drop_conn (caller);
          caller->tx = TX_FAILED;
          caller->tx_untold = true;
        }
      return;
    }
  if (answer->code != CODE_OK)
    {
      set_up_refused (caller, answer);
      return;
    }
  if (step == STEP_BEGIN && caller_needs_leader (caller)
      && !leader_covers (caller, backend, answer))
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
  if (run->stage == RUN_NONE || run->stage == RUN_WAITING)
    {
      /* Between the statements of a transaction.  */
      if (!caller_in_transaction (caller))
        return;
      if (run->stage == RUN_NONE)
        {
          caller->tx = TX_FAILED;
          caller->tx_untold = true;
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
on_again (void *arg)
{
  dispatch (arg);
}

static void
on_wake (struct group_subscriber *waiter)
{
  struct caller *caller
      = (struct caller *)(void *)((char *)waiter
                                  - offsetof (struct caller, waiter));
  caller_set_timer (caller, &caller->again, 0);
}

/* Gives up waiting for a read and tries another instance.  */
static void
on_slow (void *arg)
{
  struct caller *caller = arg;
  if (caller->run.stage != RUN_SENT || caller_remote_slow (caller))
    return;
  caller_drop_conn (caller);
  caller_retry (caller, CODE_TIMEOUT);
}

void
caller_run_init (struct caller *caller)
{
  caller->user.ops = &user_ops;
  caller->waiter.wake = on_wake;
  caller->again = (struct ktimer){ .fire = on_again, .arg = caller };
  caller->deadline = (struct ktimer){ .fire = on_deadline, .arg = caller };
  caller->slow = (struct ktimer){ .fire = on_slow, .arg = caller };
}

void
caller_run_start (struct caller *caller)
{
  struct run_request *run = &caller->run;
  const struct route *route
      = caller_in_transaction (caller) || caller->guest
            ? &caller->tx_route
            : catalog_route (caller->callers->catalog, caller->database);
  if (route == NULL)
    {
      caller_finish_code (caller, CODE_NODB, caller->database);
      return;
    }
  run->route = *route;
  caller_set_timer (caller, &caller->deadline, route->timeout_ms);
  dispatch (caller);
}
