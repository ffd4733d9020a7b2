#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/entry_call.h"
#include "kernel/mutant.h"

static char empty[] = "";

static peer_action
wire_action (const struct entry_call *call, enum send_purpose purpose)
{
  if (purpose == SEND_LOOKUP)
    return PEER_LOOKUP;
  if (purpose == SEND_TOMBSTONE)
    return PEER_STATEMENT;
  switch (call->action)
    {
    case ENTRY_BEGIN:
      return PEER_BEGIN;
    case ENTRY_EXECUTE:
      return PEER_IN_TRANSACTION;
    case ENTRY_COMMIT:
      return PEER_COMMIT;
    case ENTRY_ROLLBACK:
      return PEER_ROLLBACK;
    default:
      return PEER_STATEMENT;
    }
}

static void
fill_freshness (const struct entry_call *call, peer_execute *execute)
{
  execute->min_term = call->sent_term;
  if (!execute->read_only)
    return;
  if (call->kind.freshness == FRESHNESS_STRONG)
    {
      execute->max_age_ms = GATEWAY_STRONG_READ;
      return;
    }
  execute->min_term = call->position.term;
  execute->min_lsn = call->position.lsn;
  if (call->kind.freshness == FRESHNESS_MAX_AGE)
    execute->max_age_ms = call->kind.max_age_ms;
}

/* Returns the time that the gateway is given: what is left until the deadline
   of the request, or the timeout of one look-up or tombstone write.  */
static clk_ms
time_left (const struct entry_call *call)
{
  clk_ms left_ms = call->deadline_ms - call_now (call);
  return call->purpose == SEND_REQUEST ? left_ms : ENTRY_RESOLVE_TIMEOUT_MS;
}

static void on_reply (void *arg, enum peer_status status,
                      const peer_message *reply);

static void
transmit (struct entry_attempt *attempt, const struct peer_address *to)
{
  struct entry_call *call = attempt->call;
  struct entry *entry = call->entry;
  char key[LEDGER_KEY_BYTES];
  bool is_request = call->purpose == SEND_REQUEST;
  peer_body body = { .kind = PEER_KIND_EXECUTE };
  peer_execute *execute = &body.peer_body_u.execute;
  snprintf (key, sizeof key, "%s:%s", call->caller, call->request_id);
  execute->database = call->database;
  execute->instance = attempt->instance;
  execute->kind = call->kind.name;
  execute->request_id
      = call_uses_ledger (call) && !MUTANT (skip_ledger) ? key : empty;
  execute->action = wire_action (call, call->purpose);
  execute->transaction = call->tx_id;
  execute->deadline_ms = time_left (call);
  execute->read_only
      = is_request && !call->kind.write && call->action == ENTRY_STATEMENT;
  execute->statement = is_request ? call->statement : empty;
  if (is_request)
    {
      execute->params.params_len = (u_int)call->param_count;
      execute->params.params_val = call->params;
    }
  fill_freshness (call, execute);
  memcpy (call->host, to->name, sizeof call->host);
  call->phase = CALL_SENT;
  attempt->sent_ms = call_now (call);
  call->attempts++;
  router_request_sent (entry->router, attempt->instance);
  log_event (kernel_log (entry->base.kernel), LOG_INFO, "send",
             LOG_S ("request", call->request_id),
             LOG_S ("instance", attempt->instance), LOG_S ("host", to->name),
             LOG_I ("purpose", call->purpose), LOG_U ("term", call->sent_term),
             LOG_U ("attempt", call->attempts),
             LOG_I ("left_ms", execute->deadline_ms));
  attempt->id = peers_call (entry->peers, to, &body,
                            execute->deadline_ms + ENTRY_REPLY_MARGIN_MS,
                            on_reply, attempt);
}

/* Sets the timer after which a read is sent to a second instance.  */
static void
schedule_hedge (struct entry_call *call)
{
  struct entry *entry = call->entry;
  bool plain = gateway_policy (entry->gateway) == POLICY_PLAIN;
  bool eligible = call_is_read (call) && call->kind.repeatable
                  && call->kind.freshness != FRESHNESS_STRONG;
  if (plain || !eligible)
    return;
  clk_ms typical_ms
      = router_typical_ms (entry->router, call->database, call->kind.name);
  clk_ms delay_ms = ENTRY_HEDGE_DELAY_RATIO * typical_ms;
  if (typical_ms > ENTRY_HEDGE_MAX_TYPICAL_MS)
    return;
  if (delay_ms < ENTRY_HEDGE_MIN_DELAY_MS)
    delay_ms = ENTRY_HEDGE_MIN_DELAY_MS;
  call_set_timer (call, call_now (call) + delay_ms);
}

void
call_send_hedge (struct entry_call *call)
{
  struct entry *entry = call->entry;
  struct metrics *metrics = kernel_metrics (entry->base.kernel);
  const struct member *hosts[GATEWAY_HOSTS];
  struct router_rating choice;
  call_mark_tried (call, call->first.instance);
  if (time_left (call) <= 0 || !call_pick_instance (call, &choice)
      || gateway_hosts (entry->members, choice.instance, hosts) == 0)
    return;
  if (!retry_budget_withdraw (&call->load->budget))
    {
      metrics_increment (metrics, "entry_hedge_limit_total");
      return;
    }
  metrics_increment (metrics, "entry_hedges_total");
  memcpy (call->hedge.instance, choice.instance->name,
          sizeof call->hedge.instance);
  transmit (&call->hedge, &hosts[0]->address);
}

void
call_send (struct entry_call *call, const struct view_instance *instance,
           uint64_t term, enum send_purpose purpose)
{
  struct entry *entry = call->entry;
  const struct member *hosts[GATEWAY_HOSTS];
  memcpy (call->instance, instance->name, sizeof call->instance);
  memcpy (call->first.instance, instance->name, sizeof call->instance);
  call->sent_term = term;
  call->purpose = purpose;
  if (gateway_policy (entry->gateway) == POLICY_PLAIN)
    {
      transmit (&call->first, &members_self (entry->members)->address);
      return;
    }
  size_t count = gateway_hosts (entry->members, instance, hosts);
  if (count == 0)
    {
      call_hold (call, REASON_UNREACHABLE);
      return;
    }
  size_t index = call->host_index < count ? call->host_index : count - 1;
  transmit (&call->first, &hosts[index]->address);
  schedule_hedge (call);
}

void
call_send_tx (struct entry_call *call, const struct peer_address *to)
{
  call->sent_term = call->tx_term;
  call->purpose = SEND_REQUEST;
  memcpy (call->first.instance, call->instance, sizeof call->instance);
  transmit (&call->first, to);
}

void
call_observe_states (struct entry_call *call, const peer_executed *executed)
{
  for (u_int i = 0; i < executed->states.states_len; i++)
    router_observe (call->entry->router, &executed->states.states_val[i]);
}

void
call_finish_executed (struct entry_call *call, const peer_executed *executed)
{
  struct position seen = { .term = executed->term, .lsn = executed->lsn };
  struct call_answer answer = {
    .outcome = executed->outcome,
    .reason = executed->reason,
    .payload = executed->payload.payload_val,
    .payload_bytes = executed->payload.payload_len,
    .sqlstate = executed->sqlstate,
    .message = executed->message,
  };
  if (executed->outcome == OUTCOME_DONE)
    session_advance (&call->session, call->database, seen);
  if (executed->outcome == OUTCOME_NOT_RUN && call->maybe_ran)
    answer.outcome = OUTCOME_UNKNOWN;
  call->retry_after_ms = executed->retry_after_ms;
  call_finish (call, &answer);
}

/* Sends the call to the other gateway of the same instance.  Returns false if
   there is none, it was already used or no time is left, and always in a
   transaction and under POLICY_PLAIN.  */
static bool
try_second_host (struct entry_call *call)
{
  struct entry *entry = call->entry;
  struct view_database *database = view_database (entry->view, call->database);
  const struct view_instance *instance
      = database ? view_instance (database, call->instance) : NULL;
  bool plain = gateway_policy (entry->gateway) == POLICY_PLAIN;
  if (plain || call->tx_id != 0 || instance == NULL || call->host_index > 0
      || time_left (call) <= 0)
    return false;
  const struct member *hosts[GATEWAY_HOSTS];
  if (gateway_hosts (entry->members, instance, hosts) < 2)
    return false;
  call->host_index = 1;
  metrics_increment (kernel_metrics (entry->base.kernel),
                     "entry_second_host_total");
  call_send (call, instance, call->sent_term, call->purpose);
  return true;
}

static enum router_result
router_result_of (enum peer_status status, const peer_executed *executed)
{
  if (status != PEER_OK)
    return ROUTER_FAILED;
  if (executed->outcome == OUTCOME_DONE)
    return ROUTER_SERVED;
  bool failed = executed->reason == REASON_UNREACHABLE
                || executed->outcome == OUTCOME_UNKNOWN;
  return failed ? ROUTER_FAILED : ROUTER_REFUSED;
}

static void
on_executed (struct entry_call *call, const peer_executed *executed)
{
  bool unreachable = executed->outcome == OUTCOME_NOT_RUN
                     && executed->reason == REASON_UNREACHABLE;
  if (unreachable && try_second_host (call))
    return;
  if (call->purpose != SEND_REQUEST)
    call_resolved (call, executed);
  else if (executed->outcome == OUTCOME_UNKNOWN)
    call_outcome_unknown (call, executed->reason);
  else if (executed->outcome == OUTCOME_NOT_RUN)
    call_refused (call, executed);
  else if (call->action == ENTRY_BEGIN)
    call_tx_begun (call, executed);
  else
    {
      if (call->tx_id != 0)
        call_tx_ended (call);
      call_finish_executed (call, executed);
    }
}

/* Cancels an attempt that is in flight when the other one was answered.  If a
   hedge was faster than the first attempt, the time waited so far is recorded
   as the latency of the first, as a lower bound.  */
static void
cancel_attempt (struct entry_attempt *attempt)
{
  struct entry_call *call = attempt->call;
  struct entry *entry = call->entry;
  bool hedge_won = attempt == &call->first;
  if (attempt->id == 0)
    return;
  peers_cancel (entry->peers, attempt->id);
  attempt->id = 0;
  router_request_done (entry->router, call->database, attempt->instance,
                       hedge_won ? call->kind.name : NULL,
                       call_now (call) - attempt->sent_ms,
                       hedge_won ? ROUTER_SERVED : ROUTER_REFUSED);
}

/* Returns whether to wait for the other attempt of the same read, after
   ATTEMPT was refused or failed.  */
static bool
is_other_pending (const struct entry_attempt *attempt,
                  const peer_executed *executed)
{
  const struct entry_call *call = attempt->call;
  const struct entry_attempt *other
      = attempt == &call->first ? &call->hedge : &call->first;
  if (executed->outcome == OUTCOME_DONE || other->id == 0)
    return false;
  return executed->reason != REASON_SQL_ERROR
         && executed->reason != REASON_TOKEN_AHEAD;
}

/* Returns whether an acknowledgement under ACK_PRIMARY came more than
   ACK_TRANSIT_MS after the request was sent.  It may rely on the gateway's
   view of the term, which may be outdated by now: the primary may have been
   replaced.  */
static bool
is_overdue (const struct entry_attempt *attempt, const peer_executed *executed)
{
  const struct entry_call *call = attempt->call;
  bool commits = call->action == ENTRY_COMMIT
                 || (call->action == ENTRY_STATEMENT && call->kind.write);
  return commits && call->kind.ack == ACK_PRIMARY && executed != NULL
         && executed->outcome == OUTCOME_DONE
         && call_now (call) - attempt->sent_ms > ACK_TRANSIT_MS;
}

static void
on_reply (void *arg, enum peer_status status, const peer_message *reply)
{
  static const peer_executed not_delivered
      = { .outcome = OUTCOME_NOT_RUN, .reason = REASON_UNREACHABLE };
  static const peer_executed answer_lost
      = { .outcome = OUTCOME_UNKNOWN, .reason = REASON_CONNECTION_LOST };
  struct entry_attempt *attempt = arg;
  struct entry_call *call = attempt->call;
  struct entry *entry = call->entry;
  const peer_executed *executed = NULL;
  attempt->id = 0;
  if (status == PEER_OK && reply->body.kind == PEER_KIND_EXECUTED)
    executed = &reply->body.peer_body_u.executed;
  else if (status == PEER_OK)
    status = PEER_UNREACHABLE;
  if (executed != NULL)
    call_observe_states (call, executed);
  router_request_done (entry->router, call->database, attempt->instance,
                       call_is_read (call) ? call->kind.name : NULL,
                       call_now (call) - attempt->sent_ms,
                       router_result_of (status, executed));
  if (status == PEER_UNREACHABLE)
    executed = &not_delivered;
  else if (status != PEER_OK || is_overdue (attempt, executed))
    executed = &answer_lost;
  if (is_other_pending (attempt, executed))
    {
      call_mark_tried (call, attempt->instance);
      return;
    }
  cancel_attempt (&call->first);
  cancel_attempt (&call->hedge);
  kernel_timer_cancel (entry->base.kernel, &call->timer);
  call->phase = CALL_NEW;
  memcpy (call->instance, attempt->instance, sizeof call->instance);
  on_executed (call, executed);
}
