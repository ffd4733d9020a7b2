/* Forwarding of the statements of a session to another host, which has
   connections to the instances of the group, or can reach the primary.  */

#include "proxy/caller_impl.h"

#include <string.h>

#include "kernel/mutant.h"
#include "kernel/text.h"

/* The forwarded statement has a timeout that is shorter by this margin, so
   that the answer of the other host, which may report that the statement did
   not run, arrives before the timeout here.  */
#define REMOTE_MARGIN_MS 15

/* Retry interval while no host is available to forward to.  */
#define REMOTE_RETRY_MS 30

/* A read without an answer is forwarded to another host after this time,
   unless the current host answers other statements: then its instances are
   busy.  */
#define REMOTE_SLOW_MS 600

/* Timeout of the request that ends a transaction at another host.  */
#define REMOTE_ROLLBACK_TIMEOUT_MS 1000

/* Number of hosts that one statement is forwarded to before it fails, or waits
   for REMOTE_RETRY_MS and starts again.  */
#define REMOTE_TRIED_LIMIT 3

/* Returns the id of the group's primary if the statement needs it and this
   host can't reach it, otherwise NULL.  */
static const char *
unreachable_leader (struct caller *caller)
{
  struct group *group = caller_group (caller);
  struct backend *leader = group != NULL ? group_leader (group) : NULL;
  if (!caller_needs_leader (caller) || leader == NULL
      || backend_usable (leader))
    return NULL;
  return backend_entry (leader)->id;
}

/* Returns what is left of the statement's target; 0 if it has none.  */
static clk_ms
target_left_ms (const struct caller *caller)
{
  const struct run_request *run = &caller->run;
  clk_ms left_ms
      = run->arrived_ms + run->route.target_ms - caller_now (caller);
  return run->route.target_ms == 0 ? 0 : left_ms > 1 ? left_ms : 1;
}

static const struct other_host *
pick (struct caller *caller, bool preferred_only)
{
  struct run_request *run = &caller->run;
  struct forwarder_query query = {
    .workspace = caller->workspace,
    .preferred_only = preferred_only,
    .group = run->route.group,
    .instance = unreachable_leader (caller),
    .tried = (const char (*)[NAME_BYTES])run->tried,
    .tried_count = run->tried_count,
    .to_primary = caller_needs_leader (caller),
    .target_ms = target_left_ms (caller),
    .trips
    = caller_needs_leader (caller) && caller_is_repeatable (caller) ? 2 : 1
  };
  return forwarder_pick (caller->callers->forwarder, &query);
}

/* Returns whether the caller's workspace uses other hosts of the group than
   this one, and one of them is available.  */
static bool
workspace_is_elsewhere (struct caller *caller)
{
  struct callers *callers = caller->callers;
  if (caller->workspace[0] == '\0')
    return false;
  const struct placed_workspace *placed = placement_find_workspace (
      callers->placement, caller->run.route.group, caller->workspace);
  return placed->rank_here >= placed->width
         && caller->run.tried_count < REMOTE_TRIED_LIMIT
         && pick (caller, true) != NULL;
}

bool
caller_remote_wanted (struct caller *caller)
{
  const struct run_request *run = &caller->run;
  struct callers *callers = caller->callers;
  if (caller->forwarded)
    return false;
  if (caller->remote.number != 0)
    return true;
  if (!groups_serves (callers->groups, run->route.group)
      || workspace_is_elsewhere (caller))
    return true;
  return unreachable_leader (caller) != NULL
         && run->tried_count < REMOTE_TRIED_LIMIT
         && pick (caller, false) != NULL;
}

static void
clear_number (struct caller *caller)
{
  caller->remote.number = 0;
}

/* Returns whether the statement was sent at least REMOTE_SLOW_MS ago and the
   other host has answered no statement since.  */
static bool
host_unresponsive (const struct caller *caller)
{
  const struct run_request *run = &caller->run;
  return caller_now (caller) - run->sent_ms >= REMOTE_SLOW_MS
         && forwarder_last_answer_ms (caller->callers->forwarder,
                                      caller->remote.host.name)
                < run->sent_ms;
}

/* Cancels the call that is in flight.  Its answer will be ignored.  */
static void
cancel_call (struct caller *caller)
{
  struct callers *callers = caller->callers;
  bool failed = host_unresponsive (caller);
  if (caller->remote.call == 0)
    return;
  hosts_cancel (callers->hosts, caller->remote.call);
  forwarder_end (callers->forwarder, caller->remote.host.name, failed);
  caller->remote.call = 0;
}

void
caller_remote_stop (struct caller *caller)
{
  struct callers *callers = caller->callers;
  cancel_call (caller);
  if (caller->remote.number == 0)
    return;
  peer_body body = { .kind = PEER_KIND_FORWARD };
  body.peer_body_u.forward = (peer_forward){ .number = caller->remote.number,
                                             .in_transaction = true,
                                             .database = caller->database,
                                             .group = "",
                                             .kind = STMT_ROLLBACK,
                                             .id = "-",
                                             .text = "",
                                             .name = "",
                                             .shape = "",
                                             .rest = "" };
  hosts_call (callers->hosts, &caller->remote.host, &body,
              REMOTE_ROLLBACK_TIMEOUT_MS, NULL, NULL);
  clear_number (caller);
}

static void
handle_remote_success (struct caller *caller, const struct answer *answer)
{
  if (!caller_in_transaction (caller))
    clear_number (caller);
  else if (caller->run.kind == STMT_COMMIT)
    {
      clear_number (caller);
      caller->tx = TX_IDLE;
    }
  else
    caller->tx_ran = true;
  caller_finish (caller, answer);
}

/* The code of the other host is as reliable as one of this host: a statement
   that did not run according to it may be forwarded to another host.  */
static void
handle_remote_error (struct caller *caller, const struct answer *answer)
{
  struct run_request *run = &caller->run;
  bool first = !caller_in_transaction (caller)
               || (!caller->tx_ran && run->kind != STMT_COMMIT);
  clear_number (caller);
  if (first && code_not_run (answer->code) && !caller->overloaded
      && run->tried_count < REMOTE_TRIED_LIMIT)
    {
      caller->tx_wrote = false;
      caller_retry (caller, answer->code);
      return;
    }
  if (caller_in_transaction (caller))
    caller->tx = run->kind == STMT_COMMIT ? TX_IDLE : TX_FAILED;
  caller_finish (caller, answer);
}

static void
handle_remote_answer (struct caller *caller, const peer_forwarded *reply)
{
  struct position own = { reply->own_term, reply->own_lsn };
  enum code code
      = reply->code < CODE_LOST ? (enum code)reply->code : CODE_INDOUBT;
  struct answer answer = { .code = code };
  caller->overloaded = reply->overloaded;
  if (position_compare (own, caller->own) > 0)
    caller->own = own;
  if (code != CODE_OK)
    {
      answer.text = reply->reason;
      handle_remote_error (caller, &answer);
      return;
    }
  if (reply->answer.answer_len > 0)
    {
      /* The length includes the final NUL.  */
      answer.body = reply->answer.answer_val;
      answer.body_bytes = reply->answer.answer_len - 1;
    }
  handle_remote_success (caller, &answer);
}

/* Handles a statement that did not reach the other host, or that it
   refused.  */
static void
not_delivered (struct caller *caller)
{
  if (caller_in_transaction (caller) && caller->tx_ran)
    {
      caller_fail (caller, CODE_ABORTED, "the transaction's host is gone");
      return;
    }
  clear_number (caller);
  caller_retry (caller, CODE_BUSY);
}

/* Handles a call that failed after the statement may have run.  */
static void
outcome_unknown (struct caller *caller, enum code code)
{
  if (caller_is_repeatable (caller) || MUTANT (forward_lost_write_again))
    {
      caller_remote_stop (caller);
      caller_retry (caller, CODE_LOST);
    }
  else
    caller_fail_unknown (caller, code, "the forwarding host did not answer");
}

/* Lets the forwarder learn from the answer how loaded the other host is.  */
static void
note_outcome (const struct caller *caller, const peer_forwarded *reply)
{
  const struct run_request *run = &caller->run;
  forwarder_note_outcome (caller->callers->forwarder,
                          &(struct forwarder_outcome){
                              .host = caller->remote.host.name,
                              .group = run->route.group,
                              .to_primary = caller_needs_leader (caller),
                              .overloaded = reply->overloaded,
                              .spent_ms = caller_now (caller) - run->sent_ms,
                              .target_ms = run->route.target_ms });
}

static void
on_reply (void *arg, enum peer_status status, const peer_message *reply)
{
  struct caller *caller = arg;
  struct callers *callers = caller->callers;
  bool answered = status == PEER_OK && reply->body.kind == PEER_KIND_FORWARDED;
  caller->remote.call = 0;
  kernel_timer_cancel (callers->base.kernel, &caller->slow);
  if (status == PEER_OK)
    forwarder_note_answer (callers->forwarder, caller->remote.host.name);
  forwarder_end (callers->forwarder, caller->remote.host.name, !answered);
  if (answered)
    note_outcome (caller, &reply->body.peer_body_u.forwarded);
  if (answered)
    handle_remote_answer (caller, &reply->body.peer_body_u.forwarded);
  else if (status == PEER_OK || status == PEER_UNREACHABLE)
    not_delivered (caller);
  else
    outcome_unknown (caller,
                     status == PEER_TIMEOUT ? CODE_TIMEOUT : CODE_INDOUBT);
}

bool
caller_remote_slow (struct caller *caller)
{
  struct kernel *kernel = caller->callers->base.kernel;
  if (caller->remote.call == 0)
    return false;
  if (!host_unresponsive (caller))
    {
      kernel_timer_set (kernel, &caller->slow,
                        kernel_now (kernel) + REMOTE_SLOW_MS);
      return true;
    }
  caller_remote_stop (caller);
  caller_retry (caller, CODE_TIMEOUT);
  return true;
}

static char *
text_or_empty (const char *text)
{
  return (char *)(text != NULL ? text : "");
}

static void
set_route (const struct caller *caller, peer_forward *request)
{
  const struct route *route = &caller->run.route;
  request->database = (char *)caller->database;
  request->group = (char *)route->group;
  request->route_kind = route->kind;
  request->priority = route->priority;
  request->max_staleness_ms = route->max_staleness_ms;
}

static void
set_statement (const struct caller *caller, peer_forward *request)
{
  const struct run_request *run = &caller->run;
  request->kind = run->kind;
  request->prepared_kind = run->prepared_kind;
  request->id = text_or_empty (run->id);
  request->text = text_or_empty (run->text);
  request->name = text_or_empty (run->name);
  request->shape = text_or_empty (run->shape);
  request->rest = text_or_empty (run->rest);
}

static void
send_to_host (struct caller *caller)
{
  struct callers *callers = caller->callers;
  struct run_request *run = &caller->run;
  clk_ms now_ms = caller_now (caller);
  clk_ms left_ms = run->arrived_ms + run->route.timeout_ms - now_ms;
  peer_value values[VALUES_LIMIT];
  peer_body body = { .kind = PEER_KIND_FORWARD };
  peer_forward *request = &body.peer_body_u.forward;
  if (caller->workspace[0] != '\0')
    {
      body.kind = PEER_KIND_FORWARD_AS;
      body.peer_body_u.forward_as.workspace = caller->workspace;
      request = &body.peer_body_u.forward_as.forward;
    }
  for (size_t i = 0; i < caller->values.count; i++)
    values[i] = (peer_value){ .name = caller->values.items[i].name,
                              .text = caller->values.items[i].text };
  request->number = caller->remote.number;
  request->in_transaction = caller_in_transaction (caller);
  request->begins = caller_in_transaction (caller) && !caller->tx_ran;
  request->read_only = caller->tx_read_only;
  request->may_wait = !groups_serves (callers->groups, run->route.group)
                      || unreachable_leader (caller) == NULL;
  request->target_ms = run->arrived_ms + run->route.target_ms - now_ms;
  request->timeout_ms
      = left_ms > REMOTE_MARGIN_MS ? left_ms - REMOTE_MARGIN_MS : 1;
  request->session_age_ms = now_ms - caller->opened_ms;
  request->transaction_age_ms
      = caller_in_transaction (caller) ? now_ms - caller->tx_begun_ms : 0;
  request->own_term = caller->own.term;
  request->own_lsn = caller->own.lsn;
  request->values.values_len = (u_int)caller->values.count;
  request->values.values_val = values;
  set_route (caller, request);
  set_statement (caller, request);
  run->stage = RUN_SENT;
  run->sent_ms = now_ms;
  if (run->writes && caller_in_transaction (caller))
    caller->tx_wrote = true;
  forwarder_begin (callers->forwarder, caller->remote.host.name);
  caller->remote.call
      = hosts_call (callers->hosts, &caller->remote.host, &body,
                    left_ms > 0 ? left_ms : 1, on_reply, caller);
  if (caller_is_repeatable (caller))
    kernel_timer_set (callers->base.kernel, &caller->slow,
                      now_ms + REMOTE_SLOW_MS);
}

void
caller_remote_dispatch (struct caller *caller)
{
  struct callers *callers = caller->callers;
  struct run_request *run = &caller->run;
  if (caller->remote.number != 0 && caller->tx_ran)
    {
      send_to_host (caller);
      return;
    }
  const struct other_host *host
      = run->tried_count < REMOTE_TRIED_LIMIT ? pick (caller, false) : NULL;
  if (host == NULL || !hosts_ready (callers->hosts))
    {
      /* Hosts that failed before may be available again.  */
      run->tried_count = 0;
      caller_wait_for_group (caller, "no host to forward to", REMOTE_RETRY_MS);
      return;
    }
  run->attempts++;
  text_copy (run->tried[run->tried_count++], NAME_BYTES, host->address.name);
  text_copy (run->instance, sizeof run->instance, host->address.name);
  caller->remote.host = host->address;
  caller->remote.number = rng_u64 (kernel_rng (callers->base.kernel)) | 1;
  send_to_host (caller);
}
