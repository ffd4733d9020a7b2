/* Waiting, retries and failure of the statement of a session.  */

#include "proxy/caller_impl.h"

#include <stdio.h>

#include "kernel/mutant.h"

void
caller_drop_conn (struct caller *caller)
{
  struct backend_conn *conn = caller->conn;
  caller->conn = NULL;
  if (conn != NULL)
    conn_release (conn);
}

void
caller_set_timer (struct caller *caller, struct ktimer *timer, clk_ms span_ms)
{
  struct kernel *kernel = caller_kernel (caller);
  kernel_timer_set (kernel, timer, kernel_now (kernel) + span_ms);
}

/* Ends the transaction of a statement that fails for the reason WHY, and
   answers it with CODE and TEXT.  */
static void
fail (struct caller *caller, enum code code, const char *why, const char *text)
{
  struct run_request *run = &caller->run;
  bool commit = run->kind == STMT_COMMIT;
  caller_metrics_refused (caller_metrics_of (caller), why);
  if (run->granted_ms != CLK_NEVER && run->sent_ms == 0)
    {
      allowance_return (caller->callers->allowances, caller->workspace,
                        run->granted_ms);
      caller->tx_counted = false;
    }
  backend_cancel (&caller->user);
  /* The end of the transaction on its instance is started before the caller
     gets the answer.  */
  caller_remote_stop (caller);
  caller_drop_conn (caller);
  if (caller_in_transaction (caller))
    caller->tx = commit ? TX_IDLE : TX_FAILED;
  caller_finish_code (caller, code, text);
}

void
caller_fail (struct caller *caller, enum code code, const char *why)
{
  fail (caller, code, why, why);
}

void
caller_fail_limited (struct caller *caller, clk_ms retry_after_ms)
{
  char text[80];
  snprintf (text, sizeof text,
            "rate limit of the workspace; retry after %lld ms",
            (long long)retry_after_ms);
  fail (caller, caller_refusal (caller), "rate limit", text);
}

enum code
caller_refusal (const struct caller *caller)
{
  enum code code = caller->run.refusal;
  if (caller_in_transaction (caller) && caller->tx_ran)
    return CODE_ABORTED;
  return code_not_run (code) && code != CODE_NOSTMT ? code : CODE_BUSY;
}

void
caller_fail_unknown (struct caller *caller, enum code code, const char *why)
{
  const struct run_request *run = &caller->run;
  /* Without a COMMIT, or without a write, nothing can have been
     committed.  */
  if (caller_in_transaction (caller)
      && (run->kind != STMT_COMMIT || !caller->tx_wrote))
    code = CODE_ABORTED;
  else if (!run->writes && run->kind != STMT_COMMIT)
    code = CODE_TIMEOUT;
  if (MUTANT (refuse_unknown))
    code = CODE_BUSY;
  caller_fail (caller, code, why);
}

bool
caller_enter_queue (struct caller *caller)
{
  struct run_request *run = &caller->run;
  struct group *group = caller_group (caller);
  if (run->queue != NULL || group == NULL
      || (caller_in_transaction (caller) && caller->tx_ran))
    return true;
  struct admission *queue
      = group_admission (group, caller_needs_leader (caller));
  clk_ms now_ms = caller_now (caller);
  clk_ms span_ms = run->route.target_ms != 0 ? run->route.target_ms
                                             : run->route.timeout_ms;
  clk_ms left_ms = run->arrived_ms + span_ms - now_ms;
  if (admission_enter (queue, now_ms, left_ms))
    {
      run->queue = queue;
      return true;
    }
  caller->overloaded = true;
  caller_fail (caller, CODE_BUSY, "too many wait");
  return false;
}

void
caller_wait (struct caller *caller, clk_ms span_ms)
{
  caller->run.stage = RUN_WAITING;
  caller_set_timer (caller, &caller->retry_timer, span_ms);
}

static void
log_group_wait (struct caller *caller, const char *why)
{
  struct group *group = caller_group (caller);
  struct backend *leader = group != NULL ? group_leader (group) : NULL;
  clk_ms sampled_ms = group != NULL ? samples_newest_ms (group_samples (group))
                                    : CLK_LONG_AGO;
  log_event (
      kernel_log (caller_kernel (caller)), LOG_INFO, "wait",
      LOG_S ("id", caller->run.id), LOG_S ("why", why),
      LOG_S ("group", caller->run.route.group),
      LOG_S ("primary", leader != NULL ? backend_entry (leader)->id : NULL),
      LOG_S ("lack", leader != NULL
                         ? permits_lack_name (group_lack (group, leader))
                         : NULL),
      LOG_I ("sample_age_ms", sampled_ms != CLK_LONG_AGO
                                  ? caller_now (caller) - sampled_ms
                                  : -1));
}

void
caller_wait_for_group (struct caller *caller, const char *why, clk_ms wait_ms)
{
  struct run_request *run = &caller->run;
  struct group *group = caller_group (caller);
  clk_ms now_ms = caller_now (caller);
  if (caller->forwarded && !caller->may_wait)
    {
      caller_fail (caller, caller_refusal (caller), why);
      return;
    }
  if (run->group_wait_since_ms == CLK_NEVER)
    {
      run->group_wait_since_ms = now_ms;
      log_group_wait (caller, why);
    }
  clk_ms left_ms = run->group_wait_since_ms + CALLER_GROUP_WAIT_MS - now_ms;
  if (groups_cut_off (caller->callers->groups))
    {
      caller_fail (caller, caller_refusal (caller), "this host is cut off");
      return;
    }
  if (groups_lapsed (caller->callers->groups))
    {
      caller_fail (caller, caller_refusal (caller),
                   permits_lack_name (PERMITS_ENDED));
      return;
    }
  if (left_ms <= 0 || group == NULL)
    {
      caller_fail (caller, caller_refusal (caller), why);
      return;
    }
  group_subscribe (group, &caller->waiter);
  caller_wait (caller, left_ms < wait_ms ? left_ms : wait_ms);
}

void
caller_retry (struct caller *caller, enum code code)
{
  struct run_request *run = &caller->run;
  struct kernel *kernel = caller_kernel (caller);
  run->refusal = code;
  log_event (kernel_log (kernel), LOG_INFO, "retry", LOG_S ("id", run->id),
             LOG_S ("code", code_name (code)),
             LOG_S ("instance", run->instance),
             LOG_U ("attempts", run->attempts),
             LOG_I ("spent_ms", kernel_now (kernel) - run->arrived_ms));
  if (run->attempts > 3 * CALLER_TRIED_LIMIT)
    {
      caller_fail (caller, caller_refusal (caller), "refused too often");
      return;
    }
  clk_ms wait_ms = 0;
  if (code == CODE_BUSY && caller_needs_leader (caller))
    wait_ms = CALLER_BUSY_BACKOFF_MS * (clk_ms)run->attempts;
  caller_wait (caller, wait_ms);
}
