#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/entry_call.h"
#include "kernel/mem.h"
#include "kernel/mutant.h"
#include "kernel/text.h"

/* Services with a struct entry_load on this host.  */
#define LOAD_LIMIT 4096

static enum reason
check_caller (struct entry_call *call, const struct entry_request *request,
              const struct view_service *service)
{
  const struct view_caller *caller = NULL;
  if (call->explain_only)
    return REASON_NONE;
  if (request->caller != NULL)
    caller = view_caller (service, request->caller);
  if (caller == NULL || !view_caller_verify (caller, request->secret))
    return REASON_FORBIDDEN;
  memcpy (call->caller, caller->name, sizeof call->caller);
  return REASON_NONE;
}

/* Finds the database that REQUEST names, or the only one of the service if
   it names none.  */
static enum reason
find_database (struct entry_call *call, const struct entry_request *request,
               const struct view_service *service)
{
  for (size_t i = 0; i < service->database_count; i++)
    {
      const struct view_database *database = service->databases[i];
      const char *last = strrchr (database->name, '/');
      bool only = request->database == NULL && service->database_count == 1;
      if (!only
          && (request->database == NULL
              || strcmp (last + 1, request->database) != 0))
        continue;
      memcpy (call->database, database->name, sizeof call->database);
      return database->leaving && call->action == ENTRY_STATEMENT
                 ? REASON_DRAINING
                 : REASON_NONE;
    }
  return REASON_UNKNOWN_TARGET;
}

static struct entry_load *
find_or_add_load (struct entry *entry, const struct view_service *service)
{
  struct entry_load *load = NULL;
  HASH_FIND_STR (entry->loads, service->name, load);
  if (load == NULL)
    {
      if (HASH_COUNT (entry->loads) >= LOAD_LIMIT)
        return NULL;
      load = mem_zalloc (sizeof *load);
      memcpy (load->service, service->name, sizeof load->service);
      retry_budget_init (&load->budget);
      HASH_ADD_STR (entry->loads, service, load);
    }
  load->weight = service->weight > 0 ? service->weight : 1;
  return load;
}

/* Returns whether one more request of LOAD is within max_requests.  Once half
   of it is in use, each service is limited to its weighted share.  */
static bool
has_capacity (const struct entry *entry, const struct entry_load *load)
{
  if (entry->call_count > entry->max_requests)
    return false;
  if (entry->call_count <= entry->max_requests / ENTRY_FAIR_SHARE_DIVISOR)
    return true;
  uint64_t weights = load->count == 0 ? load->weight : 0;
  for (const struct entry_load *l = entry->loads; l != NULL; l = l->hh.next)
    if (l->count > 0)
      weights += l->weight;
  return (uint64_t)load->count * weights
         < (uint64_t)entry->max_requests * load->weight;
}

static enum reason
check_load (struct entry_call *call, const struct view_service *service)
{
  struct entry *entry = call->entry;
  struct entry_load *load = find_or_add_load (entry, service);
  if (load == NULL || !has_capacity (entry, load))
    {
      metrics_count (kernel_metrics (entry->base.kernel),
                     "entry_requests_limit_total");
      call->retry_after_ms = ENTRY_HOLD_RETRY_MS;
      return REASON_OVERLOAD;
    }
  call->load = load;
  load->count++;
  retry_budget_deposit (&load->budget);
  return REASON_NONE;
}

static enum reason
check_session (struct entry_call *call, const struct entry_request *request)
{
  struct entry *entry = call->entry;
  if (!session_decode (&call->session, entry->token_key, call->service,
                       call->caller, request->token))
    {
      metrics_count (kernel_metrics (entry->base.kernel),
                     "entry_bad_tokens_total");
      return REASON_BAD_TOKEN;
    }
  if (!session_has_capacity (&call->session, call->database))
    {
      metrics_count (kernel_metrics (entry->base.kernel),
                     "entry_sessions_limit_total");
      return REASON_OVERLOAD;
    }
  call->session_loaded = true;
  if (!MUTANT (forget_session))
    call->position = session_position (&call->session, call->database);
  return REASON_NONE;
}

static void
generate_request_id (struct entry_call *call)
{
  struct rng *rng = kernel_rng (call->entry->base.kernel);
  snprintf (call->request_id, sizeof call->request_id,
            "%016" PRIx64 "%016" PRIx64, rng_u64 (rng), rng_u64 (rng));
}

static void
copy_statement (struct entry_call *call, const struct entry_request *request)
{
  call->statement = mem_strdup (request->statement ? request->statement : "");
  call->param_count = request->param_count;
  call->params = mem_zalloc (request->param_count * sizeof *call->params);
  for (size_t i = 0; i < request->param_count; i++)
    {
      const char *text = request->params[i];
      call->params[i].is_null = text == NULL;
      call->params[i].text = mem_strdup (text != NULL ? text : "");
    }
}

/* Between hosts, a write with an empty statement is a tombstone.  */
static bool
is_statement_missing (const struct entry_request *request)
{
  bool needs
      = request->action == ENTRY_STATEMENT || request->action == ENTRY_EXECUTE;
  return needs && (request->statement == NULL || *request->statement == '\0');
}

static enum reason
check_request (struct entry_call *call, const struct entry_request *request)
{
  call->action = request->action;
  if (is_statement_missing (request)
      || request->param_count > PEER_PARAM_LIMIT)
    return REASON_UNKNOWN_TARGET;
  if (request->statement != NULL
      && strnlen (request->statement, PEER_TEXT_LIMIT) == PEER_TEXT_LIMIT)
    return REASON_UNKNOWN_TARGET;
  bool has_id = request->request_id != NULL && *request->request_id != '\0';
  if (request->action == ENTRY_LOOKUP && !has_id)
    return REASON_UNKNOWN_TARGET;
  if (!has_id)
    generate_request_id (call);
  else if (!text_copy (call->request_id, sizeof call->request_id,
                       request->request_id))
    return REASON_UNKNOWN_TARGET;
  copy_statement (call, request);
  return REASON_NONE;
}

/* Returns whether the request does not belong to an open transaction.  */
static bool
is_new_request (enum entry_action action)
{
  return action == ENTRY_STATEMENT || action == ENTRY_BEGIN
         || action == ENTRY_LOOKUP;
}

enum reason
call_check (struct entry_call *call, const struct entry_request *request)
{
  struct entry *entry = call->entry;
  enum reason reason = check_request (call, request);
  if (reason != REASON_NONE)
    return reason;
  if (!text_copy (call->service, sizeof call->service, request->service))
    return REASON_UNKNOWN_TARGET;
  const struct view_service *service
      = view_service (entry->view, call->service);
  if (service == NULL)
    return REASON_UNKNOWN_TARGET;
  reason = check_caller (call, request, service);
  if (reason != REASON_NONE)
    return reason;
  if (entry->draining && is_new_request (request->action))
    return REASON_DRAINING;
  call->kind = *view_kind (service, request->kind ? request->kind : "");
  clk_ms deadline_ms = request->deadline_ms > 0 ? request->deadline_ms
                                                : call->kind.deadline_ms;
  call->deadline_ms = call->started_ms + deadline_ms;
  if (is_new_request (request->action))
    reason = find_database (call, request, service);
  else if (!call_decode_handle (call, request->transaction))
    reason = REASON_BAD_TRANSACTION;
  if (reason == REASON_NONE)
    reason = check_load (call, service);
  if (reason == REASON_NONE)
    reason = check_session (call, request);
  return reason;
}
