#include "proxy/caller.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/text.h"
#include "proxy/caller_impl.h"

static void
run_clear (struct run_request *run)
{
  free (run->id);
  free (run->text);
  free (run->name);
  free (run->rest);
  *run = (struct run_request){ .stage = RUN_NONE };
}

static void
set_idle_timer (struct caller *caller)
{
  const struct catalog_config *config
      = catalog_config (caller->callers->catalog);
  struct kernel *kernel = caller->callers->base.kernel;
  if (caller->tx == TX_OPEN && config->tx_idle_ms > 0)
    kernel_timer_set (kernel, &caller->idle,
                      kernel_now (kernel) + config->tx_idle_ms);
  else
    kernel_timer_cancel (kernel, &caller->idle);
}

static void
log_answer (struct caller *caller, const struct answer *answer)
{
  const struct run_request *run = &caller->run;
  struct kernel *kernel = caller->callers->base.kernel;
  bool ok = answer->code == CODE_OK;
  if (ok && run->attempts <= 1)
    return; /* counted by the metrics only */
  log_event (
      kernel_log (kernel), LOG_INFO, "answer", LOG_S ("id", run->id),
      LOG_S ("database", caller->database),
      LOG_S ("code", code_name (answer->code)), LOG_S ("why", answer->text),
      LOG_S ("instance", run->instance), LOG_U ("attempts", run->attempts),
      LOG_I ("spent_ms", kernel_now (kernel) - run->arrived_ms),
      LOG_U ("writes", run->writes), LOG_U ("tx", caller->tx),
      LOG_U ("version", catalog_config (caller->callers->catalog)->version));
}

void
caller_finish (struct caller *caller, const struct answer *answer)
{
  struct kernel *kernel = caller->callers->base.kernel;
  struct answer out = *answer;
  out.state = caller->tx;
  log_answer (caller, answer);
  caller_metrics_answer (caller_metrics_of (caller), caller->run.route.kind,
                         answer->code,
                         kernel_now (kernel) - caller->run.arrived_ms);
  kernel_timer_cancel (kernel, &caller->deadline_timer);
  kernel_timer_cancel (kernel, &caller->retry_timer);
  kernel_timer_cancel (kernel, &caller->slow);
  group_unsubscribe (&caller->waiter);
  allowance_cancel (&caller->allowance);
  if (caller->run.queue != NULL)
    admission_leave (caller->run.queue);
  text_copy (caller->served_by, sizeof caller->served_by,
             caller->run.instance);
  run_clear (&caller->run);
  set_idle_timer (caller);
  caller->sink.answer (caller->sink.arg, &out);
}

void
caller_finish_code (struct caller *caller, enum code code, const char *text)
{
  caller_finish (caller, &(struct answer){ .code = code, .text = text });
}

size_t
caller_state_bytes (const struct caller *caller)
{
  return caller->values.bytes + caller->prepared_bytes;
}

static size_t
large_part (size_t bytes)
{
  return bytes > CALLER_STATE_SMALL_BYTES ? bytes - CALLER_STATE_SMALL_BYTES
                                          : 0;
}

/* Returns whether the session may hold AFTER bytes of state.  Less than before
   is always allowed.  */
static bool
may_hold (const struct caller *caller, size_t after)
{
  const struct callers *callers = caller->callers;
  size_t before = caller_state_bytes (caller);
  size_t large = callers->large_bytes - large_part (before);
  if (after <= before)
    return true;
  return callers->state_bytes - before + after <= callers->state_limit_bytes
         && (large_part (after) == 0
             || large + large_part (after) <= callers->large_limit_bytes);
}

/* Updates the sums after the session's state had BEFORE bytes.  */
static void
note_state (struct caller *caller, size_t before)
{
  struct callers *callers = caller->callers;
  size_t after = caller_state_bytes (caller);
  callers->state_bytes = callers->state_bytes - before + after;
  callers->large_bytes
      = callers->large_bytes - large_part (before) + large_part (after);
}

static size_t
prepared_bytes (const struct prepared *prepared)
{
  return VALUES_ITEM_BYTES + strlen (prepared->name)
         + (prepared->shape != NULL ? strlen (prepared->shape) : 0);
}

static struct prepared *
find_prepared (struct caller *caller, const char *name)
{
  for (size_t i = 0; i < caller->prepared_count; i++)
    if (strcmp (caller->prepared[i].name, name) == 0)
      return &caller->prepared[i];
  return NULL;
}

enum code
caller_prepare (struct caller *caller, const char *name, enum stmt_kind kind,
                const char *shape)
{
  struct prepared *prepared = find_prepared (caller, name);
  size_t before = caller_state_bytes (caller);
  if (strlen (shape) >= VALUE_NAME_BYTES
      || !may_hold (caller, before + VALUES_ITEM_BYTES + strlen (name)
                                + strlen (shape)))
    return CODE_TOOLARGE;
  if (prepared == NULL)
    {
      if (caller->prepared_count == CALLER_PREPARED_LIMIT)
        return CODE_TOOLARGE;
      caller->prepared
          = mem_resize (caller->prepared, (caller->prepared_count + 1)
                                              * sizeof *caller->prepared);
      prepared = &caller->prepared[caller->prepared_count++];
      *prepared = (struct prepared){ .name = mem_strdup (name) };
    }
  else
    caller->prepared_bytes -= prepared_bytes (prepared);
  free (prepared->shape);
  prepared->shape = mem_strdup (shape);
  prepared->kind = kind;
  caller->prepared_bytes += prepared_bytes (prepared);
  note_state (caller, before);
  return CODE_OK;
}

static void
do_deallocate (struct caller *caller, const char *name)
{
  struct prepared *prepared = find_prepared (caller, name);
  size_t before = caller_state_bytes (caller);
  if (prepared == NULL)
    return;
  caller->prepared_bytes -= prepared_bytes (prepared);
  note_state (caller, before);
  free (prepared->name);
  free (prepared->shape);
  *prepared = caller->prepared[--caller->prepared_count];
}

/* Returns whether another value of BYTES may be sent to the connection of the
   transaction.  Nothing else bounds how many are pipelined there.  */
static bool
may_send_value (struct caller *caller, size_t bytes)
{
  uint32_t outstanding = conn_outstanding (caller->conn);
  if (outstanding == 0)
    caller->flight_bytes = 0;
  else if (outstanding >= CALLER_VALUES_FLIGHT
           || caller->flight_bytes + bytes > CALLER_VALUES_FLIGHT_BYTES)
    return false;
  caller->flight_bytes += bytes;
  return true;
}

enum code
caller_set_value (struct caller *caller, const char *name, const char *text)
{
  size_t before = caller_state_bytes (caller);
  size_t after = values_bytes_with (&caller->values, name, text)
                 + caller->prepared_bytes;
  if (values_has (&caller->values, name, text))
    return CODE_OK;
  if (!may_hold (caller, after))
    return CODE_TOOLARGE;
  if (caller->conn != NULL
      && !may_send_value (caller, strlen (name) + strlen (text)))
    return CODE_BUSY;
  if (!values_set (&caller->values, name, text))
    return CODE_TOOLARGE;
  note_state (caller, before);
  if (caller->conn != NULL)
    conn_set_value (caller->conn, &caller->values, name, text);
  return CODE_OK;
}

/* Logs that there is no route for DATABASE, and how recent this host's
   configuration is.  ID is that of the statement.  */
static void
log_no_route (const struct callers *callers, const char *id,
              const char *database)
{
  struct mirror_state state = mirror_state (callers->mirror);
  log_event (kernel_log (callers->base.kernel), LOG_INFO, "no_route",
             LOG_S ("id", id), LOG_S ("database", database),
             LOG_U ("version", catalog_config (callers->catalog)->version),
             LOG_U ("revision", state.revision),
             LOG_I ("heard_ms_ago", state.heard_ms_ago),
             LOG_S ("heard_from", state.heard_from));
}

void
caller_fail_no_route (struct caller *caller)
{
  log_no_route (caller->callers, caller->run.id, caller->database);
  caller_finish_code (caller, CODE_NODB, caller->database);
}

static void
log_key_refused (const struct caller *caller, const char *why)
{
  const struct callers *callers = caller->callers;
  metrics_increment (kernel_metrics (callers->base.kernel),
                     "keys_refused_total");
  log_event (kernel_log (callers->base.kernel), LOG_INFO, "key_refused",
             LOG_S ("id", caller->run.id),
             LOG_S ("database", caller->database), LOG_S ("why", why),
             LOG_U ("tx", caller->tx),
             LOG_U ("version", catalog_config (callers->catalog)->version),
             LOG_I ("age_ms", workspaces_age_ms (callers->workspaces)));
}

enum code
caller_authorize (struct caller *caller, const struct route *route,
                  const char **why)
{
  const struct workspace *workspace;
  enum workspaces_verdict verdict = workspaces_identify (
      caller->callers->workspaces, route,
      caller->has_key ? &caller->key : NULL, &workspace);
  *why = NULL;
  if (verdict == WORKSPACES_UNKNOWN)
    *why = "no workspace has this key";
  else if (verdict == WORKSPACES_OUTDATED)
    *why = "the configuration may be outdated";
  if (*why != NULL)
    {
      log_key_refused (caller, *why);
      if (verdict == WORKSPACES_UNKNOWN)
        return CODE_NOAUTH;
      return caller_refusal (caller);
    }
  if (!caller_in_transaction (caller))
    text_copy (caller->workspace, sizeof caller->workspace,
               workspace != NULL ? workspace->name : "");
  return CODE_OK;
}

static void
end_transaction (struct caller *caller)
{
  caller_run_stop (caller);
  caller->tx = TX_IDLE;
}

bool
caller_is_late (const struct caller *caller, clk_ms span_ms)
{
  clk_ms end_ms = caller->callers->end_ms;
  return end_ms != CLK_NEVER && caller_now (caller) + span_ms > end_ms;
}

static void
do_begin (struct caller *caller, bool read_only)
{
  const struct route *route
      = catalog_route (caller->callers->catalog, caller->database);
  const char *why;
  if (caller->tx == TX_OPEN)
    {
      caller->tx = TX_FAILED;
      caller_run_stop (caller);
      caller_finish_code (caller, CODE_MALFORMED, "in a transaction already");
      return;
    }
  if (route == NULL)
    {
      caller_fail_no_route (caller);
      return;
    }
  if (caller->callers->end_ms != CLK_NEVER)
    {
      caller_finish_code (caller, CODE_BUSY, "this host is leaving");
      return;
    }
  enum code code = caller_authorize (caller, route, &why);
  if (code != CODE_OK)
    {
      caller_finish_code (caller, code, why);
      return;
    }
  caller->tx = TX_OPEN;
  caller->tx_route = *route;
  caller->tx_read_only = read_only;
  caller->tx_ran = false;
  caller->tx_counted = false;
  caller->tx_wrote = false;
  caller->tx_failure_unreported = false;
  caller->tx_begun_ms = caller->run.arrived_ms;
  caller_finish_code (caller, CODE_OK, NULL);
}

/* Answers a statement of a transaction that has failed.  */
static void
submit_failed (struct caller *caller, enum stmt_kind kind)
{
  if (kind == STMT_ROLLBACK)
    {
      end_transaction (caller);
      caller_finish_code (caller, CODE_OK, NULL);
    }
  else if (kind == STMT_COMMIT)
    {
      end_transaction (caller);
      caller_finish_code (caller, CODE_ABORTED, "the transaction failed");
    }
  else if (caller->tx_failure_unreported)
    {
      caller->tx_failure_unreported = false;
      caller_finish_code (caller, CODE_ABORTED, "the transaction was ended");
    }
  else
    caller_finish_code (caller, CODE_MALFORMED, "the transaction failed");
}

static void
init_run (struct caller *caller, const struct statement *statement)
{
  struct run_request *run = &caller->run;
  run_clear (run);
  run->kind = statement->kind;
  run->id = mem_strdup (statement->id);
  run->arrived_ms = caller_now (caller);
  run->group_wait_since_ms = CLK_NEVER;
  run->granted_ms = CLK_NEVER;
  caller->overloaded = false;
}

static void
submit_run (struct caller *caller, const struct statement *statement)
{
  struct run_request *run = &caller->run;
  const struct prepared *prepared = NULL;
  if (statement->kind == STMT_EXECUTE)
    {
      prepared = find_prepared (caller, statement->name);
      if (prepared == NULL)
        {
          if (caller->tx == TX_OPEN)
            caller->tx = TX_FAILED;
          caller_finish_code (caller, CODE_NOSTMT, statement->name);
          return;
        }
      run->prepared_kind = prepared->kind;
      run->shape = prepared->shape;
    }
  run->writes = statement->kind == STMT_WRITE
                || (prepared != NULL && prepared->kind == STMT_PREPARE_WRITE);
  run->text = mem_strdup (statement->text);
  run->name = mem_strdup (statement->name);
  run->rest = mem_strdup (statement->rest);
  caller_run_start (caller);
}

void
caller_submit (struct caller *caller, const struct statement *statement)
{
  kernel_timer_cancel (caller->callers->base.kernel, &caller->idle);
  init_run (caller, statement);
  if (caller->tx == TX_FAILED)
    {
      submit_failed (caller, statement->kind);
      return;
    }
  switch (statement->kind)
    {
    case STMT_BEGIN:
    case STMT_BEGIN_READ:
      do_begin (caller, statement->kind == STMT_BEGIN_READ);
      return;
    case STMT_ROLLBACK:
      end_transaction (caller);
      caller_finish_code (caller, CODE_OK, NULL);
      return;
    case STMT_SET:
      caller_finish_code (
          caller, caller_set_value (caller, statement->name, statement->rest),
          NULL);
      return;
    case STMT_PREPARE_READ:
    case STMT_PREPARE_WRITE:
      caller_finish_code (caller,
                          caller_prepare (caller, statement->name,
                                          statement->kind, statement->rest),
                          NULL);
      return;
    case STMT_DEALLOCATE:
      do_deallocate (caller, statement->name);
      caller_finish_code (caller, CODE_OK, NULL);
      return;
    case STMT_COMMIT:
      if (caller->tx != TX_OPEN)
        {
          caller_finish_code (caller, CODE_MALFORMED, "no transaction");
          return;
        }
      submit_run (caller, statement);
      return;
    case STMT_READ:
    case STMT_WRITE:
    case STMT_EXECUTE:
      submit_run (caller, statement);
      return;
    default:
      if (caller->tx == TX_OPEN)
        caller->tx = TX_FAILED;
      caller_finish_code (caller, CODE_MALFORMED, "unknown statement");
    }
}

/* Ends a transaction at its idle timeout.  The next statement of the caller
   reports the failure.  */
static void
on_idle_timeout (void *arg)
{
  struct caller *caller = arg;
  if (caller->tx != TX_OPEN || caller->run.stage != RUN_NONE)
    return;
  log_event (kernel_log (caller->callers->base.kernel), LOG_INFO, "tx_idle",
             LOG_S ("database", caller->database));
  caller_run_stop (caller);
  caller->tx = TX_FAILED;
  caller->tx_failure_unreported = true;
}

static struct caller *
caller_new (struct callers *callers, const char *database,
            const struct caller_sink *sink)
{
  struct caller *caller = mem_zalloc (sizeof *caller);
  caller->callers = callers;
  caller->sink = *sink;
  text_copy (caller->database, sizeof caller->database, database);
  caller->opened_ms = kernel_now (callers->base.kernel);
  caller->idle.fire = on_idle_timeout;
  caller->idle.arg = caller;
  caller_run_init (caller);
  DL_APPEND (callers->list, caller);
  return caller;
}

enum code
caller_open (struct callers *callers, const char *database, const char *key,
             const struct caller_sink *sink, struct caller **caller)
{
  const struct route *route = catalog_route (callers->catalog, database);
  const char *why;
  if (route == NULL)
    {
      log_no_route (callers, NULL, database);
      return CODE_NODB;
    }
  *caller = caller_new (callers, database, sink);
  (*caller)->has_key = key != NULL;
  if (key != NULL)
    key_hash_set (&(*caller)->key, key);
  enum code code = caller_authorize (*caller, route, &why);
  if (code != CODE_OK)
    caller_close (*caller);
  return code;
}

struct caller *
caller_open_forwarded (struct callers *callers, const struct route *route,
                       const char *workspace, const struct caller_sink *sink)
{
  struct caller *caller = caller_new (callers, route->database, sink);
  caller->forwarded = true;
  text_copy (caller->workspace, sizeof caller->workspace, workspace);
  caller->tx_route = *route;
  return caller;
}

/* Logs a statement that is cancelled by the close of its session: the caller
   has disconnected, or the host that forwarded it has abandoned it.  */
static void
log_abandoned (const struct caller *caller)
{
  static const char *const stages[]
      = { [RUN_LIMITED] = "waiting for the rate limit",
          [RUN_WAITING] = "waiting",
          [RUN_CONNECTING] = "waiting for a connection",
          [RUN_SETTING_UP] = "setting up",
          [RUN_SENT] = "sent" };
  const struct run_request *run = &caller->run;
  struct kernel *kernel = caller->callers->base.kernel;
  if (run->stage == RUN_NONE)
    return;
  log_event (kernel_log (kernel), LOG_INFO, "left", LOG_S ("id", run->id),
             LOG_S ("database", caller->database),
             LOG_S ("stage", stages[run->stage]),
             LOG_S ("instance", run->instance),
             LOG_U ("attempts", run->attempts),
             LOG_I ("spent_ms", kernel_now (kernel) - run->arrived_ms));
}

void
caller_close (struct caller *caller)
{
  struct callers *callers = caller->callers;
  struct kernel *kernel = callers->base.kernel;
  log_abandoned (caller);
  caller_run_stop (caller);
  kernel_timer_cancel (kernel, &caller->idle);
  if (caller->run.queue != NULL)
    admission_leave (caller->run.queue);
  run_clear (&caller->run);
  while (caller->prepared_count > 0)
    do_deallocate (caller, caller->prepared[0].name);
  size_t before = caller_state_bytes (caller);
  values_clear (&caller->values);
  note_state (caller, before);
  free (caller->prepared);
  DL_DELETE (callers->list, caller);
  free (caller);
}

static void
callers_start (struct module *module)
{
  struct callers *callers = (struct callers *)module;
  caller_metrics_init (&callers->metrics, kernel_metrics (module->kernel),
                       false);
  caller_metrics_init (&callers->forwarded_metrics,
                       kernel_metrics (module->kernel), true);
  callers->catalog = (struct catalog *)kernel_find (module->kernel, "catalog");
  callers->groups = (struct groups *)kernel_find (module->kernel, "groups");
  callers->hosts = (struct hosts *)kernel_find (module->kernel, "hosts");
  callers->forwarder
      = (struct forwarder *)kernel_find (module->kernel, "forwarder");
  callers->placement
      = (struct placement *)kernel_find (module->kernel, "placement");
  callers->mirror = (struct mirror *)kernel_find (module->kernel, "mirror");
  callers->workspaces
      = (struct workspaces *)kernel_find (module->kernel, "workspaces");
  callers->allowances
      = (struct allowances *)kernel_find (module->kernel, "allowances");
}

static void
callers_free (struct module *module)
{
  struct callers *callers = (struct callers *)module;
  while (callers->list != NULL)
    caller_close (callers->list);
  free (callers);
}

static const struct module_ops callers_ops
    = { .start = callers_start, .free = callers_free };

void
callers_refuse_late (struct callers *callers, clk_ms end_ms)
{
  callers->end_ms = end_ms;
}

size_t
callers_end_statements (struct callers *callers)
{
  struct caller *caller;
  size_t ended = 0;
  DL_FOREACH (callers->list, caller)
  {
    enum run_stage stage = caller->run.stage;
    if (stage == RUN_SENT)
      caller_fail_unknown (caller, CODE_INDOUBT, "this host ends");
    else if (stage != RUN_NONE)
      caller_fail (caller, caller_refusal (caller), "this host ends");
    ended += stage != RUN_NONE;
  }
  return ended;
}

void
callers_limit_state (struct callers *callers, size_t total_bytes,
                     size_t large_bytes)
{
  callers->state_limit_bytes = total_bytes;
  callers->large_limit_bytes = large_bytes;
}

struct callers *
callers_new (void)
{
  struct callers *callers = mem_zalloc (sizeof *callers);
  callers_limit_state (callers, SIZE_MAX, SIZE_MAX);
  callers->end_ms = CLK_NEVER;
  callers->base.ops = &callers_ops;
  callers->base.name = "callers";
  return callers;
}

struct module *
callers_module (struct callers *callers)
{
  return &callers->base;
}
