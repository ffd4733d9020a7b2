#include "core/entry.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/entry_call.h"
#include "core/view_module.h"
#include "kernel/mem.h"
#include "kernel/mutant.h"

static void
call_free (struct entry_call *call)
{
  struct entry *entry = call->entry;
  kernel_timer_cancel (entry->base.kernel, &call->timer);
  DL_DELETE (entry->calls, call);
  entry->call_count--;
  if (call->phase == CALL_HELD)
    entry->held_count--;
  if (call->load != NULL)
    call->load->count--;
  for (size_t i = 0; i < call->param_count; i++)
    free (call->params[i].text);
  free (call->params);
  free (call->statement);
  free (call);
}

static void
count_outcome (struct entry *entry, const struct call_answer *answer)
{
  struct metrics *metrics = kernel_metrics (entry->base.kernel);
  if (answer->outcome == OUTCOME_DONE)
    metrics_increment (metrics, "requests_total{outcome=\"done\"}");
  else if (answer->outcome == OUTCOME_NOT_RUN)
    metrics_increment (metrics, "requests_total{outcome=\"not_run\"}");
  else
    metrics_increment (metrics, "requests_total{outcome=\"unknown\"}");
}

void
call_finish (struct entry_call *call, const struct call_answer *answer)
{
  struct entry *entry = call->entry;
  char token[TOKEN_LIMIT_BYTES] = "";
  if (call->session_loaded)
    session_encode (&call->session, entry->token_key, call->service,
                    call->caller, token, sizeof token);
  struct entry_answer out = {
    .outcome = answer->outcome,
    .reason = answer->reason,
    .request_id = call->request_id,
    .token = call->session_loaded || MUTANT (empty_token) ? token : NULL,
    .transaction = answer->transaction,
    .payload = answer->payload,
    .payload_bytes = answer->payload_bytes,
    .sqlstate = answer->sqlstate,
    .message = answer->message,
    .retry_after_ms = call->retry_after_ms,
    .served_by = call->instance[0] != '\0' ? call->instance : NULL,
  };
  count_outcome (entry, answer);
  log_event (kernel_log (entry->base.kernel), LOG_INFO, "answer",
             LOG_S ("service", call->service), LOG_S ("kind", call->kind.name),
             LOG_S ("request", call->request_id),
             LOG_S ("outcome", outcome_name (answer->outcome)),
             LOG_S ("reason", reason_name (answer->reason)),
             LOG_S ("instance", out.served_by),
             LOG_I ("spent_ms", call_now (call) - call->started_ms),
             LOG_U ("attempts", call->attempts));
  call->done (call->arg, &out);
  call_free (call);
}

void
call_fail (struct entry_call *call, enum outcome outcome, enum reason reason)
{
  struct call_answer answer = { .outcome = outcome, .reason = reason };
  if (outcome == OUTCOME_NOT_RUN && call->maybe_ran)
    answer.outcome = OUTCOME_UNKNOWN;
  call_finish (call, &answer);
}

void
call_set_timer (struct entry_call *call, clk_ms due_ms)
{
  kernel_timer_set (call->entry->base.kernel, &call->timer, due_ms);
}

/* Routes a held or delayed call, or hedges a read that is in flight.  */
static void
on_call_timer (void *arg)
{
  struct entry_call *call = arg;
  if (call->phase == CALL_HELD)
    {
      call->phase = CALL_NEW;
      call->entry->held_count--;
    }
  if (call->phase == CALL_NEW)
    call_route (call);
  else if (call->phase == CALL_SENT)
    call_send_hedge (call);
}

static void
fail_deferred (void *arg)
{
  struct entry_call *call = arg;
  call_fail (call, OUTCOME_NOT_RUN, call->reason);
}

static void
route_deferred (void *arg)
{
  call_route (arg);
}

void
entry_submit (struct entry *entry, const struct entry_request *request,
              entry_done done, void *arg)
{
  struct kernel *kernel = entry->base.kernel;
  struct entry_call *call = mem_zalloc (sizeof *call);
  call->entry = entry;
  call->done = done;
  call->arg = arg;
  call->started_ms = kernel_now (kernel);
  call->first.call = call;
  call->hedge.call = call;
  call->timer.fire = on_call_timer;
  call->timer.arg = call;
  DL_APPEND (entry->calls, call);
  entry->call_count++;
  call->retry = request->retry || request->action == ENTRY_LOOKUP;
  call->maybe_ran = call->retry && !MUTANT (forget_retry);
  call->reason = call_check (call, request);
  if (call->reason == REASON_NONE)
    kernel_defer (kernel, route_deferred, call);
  else
    kernel_defer (kernel, fail_deferred, call);
}

void
entry_drain (struct entry *entry)
{
  entry->draining = true;
}

size_t
entry_in_flight (const struct entry *entry)
{
  return entry->call_count + entry->tx_count;
}

/* When a term becomes active, routes the held calls of its database.  */
static void
on_term (void *arg, const char *database, const struct term_record *record)
{
  struct entry *entry = arg;
  struct entry_call *call;
  if (record->state != TERM_ACTIVE)
    return;
  DL_FOREACH (entry->calls, call)
  {
    if (call->phase == CALL_HELD && strcmp (call->database, database) == 0)
      call_set_timer (call, kernel_now (entry->base.kernel));
  }
}

static void
entry_start (struct module *module)
{
  struct entry *entry = (struct entry *)module;
  struct kernel *kernel = module->kernel;
  entry->peers = (struct peers *)kernel_find (kernel, "peers");
  entry->members = (struct members *)kernel_find (kernel, "members");
  entry->terms = (struct terms *)kernel_find (kernel, "terms");
  entry->router = (struct router *)kernel_find (kernel, "router");
  entry->gateway = (struct gateway *)kernel_find (kernel, "gateway");
  entry->view = view_module_get (kernel);
  terms_subscribe (entry->terms, on_term, entry);
  entry_tx_start (entry);
}

static void
entry_free (struct module *module)
{
  struct entry *entry = (struct entry *)module;
  while (entry->calls != NULL)
    call_free (entry->calls);
  entry_tx_stop (entry);
  struct entry_load *load, *next;
  HASH_ITER (hh, entry->loads, load, next)
  {
    HASH_DEL (entry->loads, load);
    free (load);
  }
  free (entry);
}

static const struct module_ops entry_ops
    = { .start = entry_start, .free = entry_free };

struct entry *
entry_new (const struct entry_options *options)
{
  struct entry *entry = mem_zalloc (sizeof *entry);
  entry->base.ops = &entry_ops;
  entry->base.name = "entry";
  memcpy (entry->token_key, options->token_key, sizeof entry->token_key);
  entry->max_requests = options->max_requests;
  return entry;
}

struct module *
entry_module (struct entry *entry)
{
  return &entry->base;
}
