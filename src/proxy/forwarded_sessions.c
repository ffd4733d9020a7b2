#include "proxy/forwarded_sessions.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"
#include "kernel/text.h"
#include "proxy/caller_impl.h"
#include "proxy/hosts.h"

struct forwarded_session
{
  struct forwarded_sessions *owner;
  uint64_t number; /* chosen by the sending host */
  bool in_transaction;
  uint64_t call; /* not yet answered; 0 between statements */
  struct caller *caller;
  struct ktimer end;
  struct forwarded_session *prev;
  struct forwarded_session *next;
};

struct forwarded_sessions
{
  struct module base;
  struct hosts *hosts;
  struct callers *callers;
  struct catalog *catalog;
  statement_check check;
  struct forwarded_session *list;
  size_t count;
  bool stopped; /* accepts no new session */
};

static void
reply (struct forwarded_session *session, const peer_forwarded *forwarded)
{
  peer_body body
      = { .kind = PEER_KIND_FORWARDED, .peer_body_u.forwarded = *forwarded };
  uint64_t call = session->call;
  session->call = 0;
  hosts_reply (session->owner->hosts, call, &body);
}

static void
reply_answer (struct forwarded_session *session, const struct answer *answer)
{
  const struct caller *caller = session->caller;
  peer_forwarded forwarded = {
    .code = (u_int)answer->code,
    .overloaded = caller->overloaded,
    .reason = (char *)(answer->text != NULL ? answer->text : ""),
    /* The length includes the final NUL.  */
    .answer
    = { .answer_len = answer->body != NULL ? (u_int)answer->body_bytes + 1 : 0,
        .answer_val = (char *)answer->body },
    .instance = (char *)caller->served_by,
    .own_term = caller->own.term,
    .own_lsn = caller->own.lsn,
  };
  reply (session, &forwarded);
}

static void
forwarded_session_free (struct forwarded_session *session)
{
  struct forwarded_sessions *sessions = session->owner;
  peer_forwarded unknown = { .code = CODE_INDOUBT,
                             .reason = "ended while it ran",
                             .instance = "" };
  if (session->call != 0)
    reply (session, &unknown);
  kernel_timer_cancel (sessions->base.kernel, &session->end);
  caller_close (session->caller);
  DL_DELETE (sessions->list, session);
  sessions->count--;
  free (session);
}

static void
on_end (void *arg)
{
  forwarded_session_free (arg);
}

/* Schedules the end of SESSION: in the next turn of the event loop if AT_ONCE,
   otherwise at the idle timeout.  */
static void
schedule_end (struct forwarded_session *session, bool at_once)
{
  struct forwarded_sessions *sessions = session->owner;
  struct kernel *kernel = sessions->base.kernel;
  clk_ms idle_ms = catalog_config (sessions->catalog)->tx_idle_ms;
  clk_ms span_ms = idle_ms > 0 ? idle_ms + FORWARDED_IDLE_MARGIN_MS
                               : FORWARDED_IDLE_DEFAULT_MS;
  kernel_timer_set (kernel, &session->end,
                    kernel_now (kernel) + (at_once ? 0 : span_ms));
}

static void
on_answer (void *arg, const struct answer *answer)
{
  struct forwarded_session *session = arg;
  reply_answer (session, answer);
  schedule_end (session, !session->in_transaction || answer->state != TX_OPEN);
}

static void
refuse (struct forwarded_sessions *sessions, uint64_t call)
{
  hosts_reply (sessions->hosts, call,
               &(peer_body){ .kind = PEER_KIND_REFUSED });
}

/* Answers a statement of a transaction that is unknown here, or has just been
   rolled back.  */
static void
reply_ended (struct forwarded_sessions *sessions, uint64_t call, bool rollback)
{
  peer_body body = { .kind = PEER_KIND_FORWARDED };
  body.peer_body_u.forwarded
      = (peer_forwarded){ .code = rollback ? CODE_OK : CODE_ABORTED,
                          .reason = "the transaction was ended",
                          .instance = "" };
  hosts_reply (sessions->hosts, call, &body);
}

static struct forwarded_session *
find_session (const struct forwarded_sessions *sessions, uint64_t number)
{
  struct forwarded_session *session;
  DL_FOREACH (sessions->list, session)
  {
    if (session->number == number)
      return session;
  }
  return NULL;
}

/* Returns NULL if a name of the request is none.  */
static struct forwarded_session *
open_session (struct forwarded_sessions *sessions, const char *workspace,
              const peer_forward *request)
{
  clk_ms now_ms = kernel_now (sessions->base.kernel);
  struct forwarded_session *session = mem_zalloc (sizeof *session);
  struct caller_sink sink = { .answer = on_answer, .arg = session };
  struct route route = { .kind = (enum route_kind)request->route_kind,
                         .timeout_ms = request->timeout_ms,
                         .target_ms = request->target_ms,
                         .max_staleness_ms = request->max_staleness_ms,
                         .priority = request->priority };
  bool is_for_none = workspace[0] == '\0';
  if (request->route_kind > ROUTE_SESSION || strlen (workspace) >= NAME_BYTES
      || (!is_for_none && !text_is_word (workspace))
      || !text_copy (route.database, NAME_BYTES, request->database)
      || !text_copy (route.group, NAME_BYTES, request->group))
    {
      free (session);
      return NULL;
    }
  struct caller *caller
      = caller_open_forwarded (sessions->callers, &route, workspace, &sink);
  caller->opened_ms = now_ms - request->session_age_ms;
  caller->may_wait = request->may_wait;
  if (request->begins)
    {
      caller->tx = TX_OPEN;
      caller->tx_read_only = request->read_only;
      caller->tx_begun_ms = now_ms - request->transaction_age_ms;
    }
  session->owner = sessions;
  session->caller = caller;
  session->number = request->number;
  session->in_transaction = request->in_transaction;
  session->end = (struct ktimer){ .fire = on_end, .arg = session };
  DL_APPEND (sessions->list, session);
  sessions->count++;
  return session;
}

/* Applies the values, the prepared statement and the position of the sender's
   session.  Returns false if a limit is exceeded.  */
static bool
apply_session_state (struct caller *caller, const peer_forward *request)
{
  struct position own = { request->own_term, request->own_lsn };
  if (position_compare (own, caller->own) > 0)
    caller->own = own;
  caller->tx_route.timeout_ms = request->timeout_ms;
  for (u_int i = 0; i < request->values.values_len; i++)
    {
      const peer_value *value = &request->values.values_val[i];
      if (caller_set_value (caller, value->name, value->text) != CODE_OK)
        return false;
    }
  if (request->kind != STMT_EXECUTE)
    return true;
  return caller_prepare (caller, request->name,
                         (enum stmt_kind)request->prepared_kind,
                         request->shape)
         == CODE_OK;
}

static bool
is_prepared_kind (u_int kind)
{
  return kind == STMT_PREPARE_READ || kind == STMT_PREPARE_WRITE;
}

static struct statement
statement_of (const peer_forward *request)
{
  struct statement statement = { .kind = (enum stmt_kind)request->kind,
                                 .id = request->id,
                                 .text = request->text };
  if (request->kind == STMT_EXECUTE)
    {
      statement.name = request->name;
      statement.rest = request->rest;
    }
  return statement;
}

/* Returns whether the statement of the request and all that it depends on are
   such as a caller could have sent.  Another host, of another version, must
   not put more on the wire than a caller.  */
static bool
may_run (const struct forwarded_sessions *sessions,
         const peer_forward *request)
{
  struct statement statement = statement_of (request);
  if (request->kind != STMT_READ && request->kind != STMT_WRITE
      && request->kind != STMT_EXECUTE && request->kind != STMT_COMMIT)
    return false;
  if (!sessions->check (&statement))
    return false;
  for (u_int i = 0; i < request->values.values_len; i++)
    {
      const peer_value *value = &request->values.values_val[i];
      if (!sessions->check (&(struct statement){
              .kind = STMT_SET, .name = value->name, .rest = value->text }))
        return false;
    }
  if (request->kind != STMT_EXECUTE)
    return true;
  return is_prepared_kind (request->prepared_kind)
         && sessions->check (&(struct statement){
             .kind = (enum stmt_kind)request->prepared_kind,
             .name = request->name,
             .rest = request->shape });
}

static void
run (struct forwarded_session *session, uint64_t call,
     const peer_forward *request)
{
  struct statement statement = statement_of (request);
  kernel_timer_cancel (session->owner->base.kernel, &session->end);
  session->call = call;
  caller_submit (session->caller, &statement);
}

/* Runs a statement of a transaction that is open here.  */
static void
continue_transaction (struct forwarded_session *session, uint64_t call,
                      const peer_forward *request)
{
  struct forwarded_sessions *sessions = session->owner;
  if (request->kind == STMT_ROLLBACK)
    {
      forwarded_session_free (session);
      reply_ended (sessions, call, true);
    }
  else if (session->call != 0 || !may_run (sessions, request)
           || !apply_session_state (session->caller, request))
    refuse (sessions, call);
  else
    run (session, call, request);
}

static void
forward (struct forwarded_sessions *sessions, uint64_t call,
         const char *workspace, const peer_forward *request)
{
  struct forwarded_session *session = find_session (sessions, request->number);
  if (session != NULL)
    {
      continue_transaction (session, call, request);
      return;
    }
  if (request->in_transaction && !request->begins
      && !MUTANT (run_unknown_transaction))
    {
      reply_ended (sessions, call, request->kind == STMT_ROLLBACK);
      return;
    }
  if (!sessions->stopped && may_run (sessions, request))
    session = open_session (sessions, workspace, request);
  if (session == NULL)
    refuse (sessions, call);
  else if (!apply_session_state (session->caller, request))
    {
      forwarded_session_free (session);
      refuse (sessions, call);
    }
  else
    run (session, call, request);
}

static void
on_forward (void *arg, uint64_t call, const peer_message *message)
{
  forward (arg, call, "", &message->body.peer_body_u.forward);
}

static void
on_forward_as (void *arg, uint64_t call, const peer_message *message)
{
  const peer_forward_as *request = &message->body.peer_body_u.forward_as;
  forward (arg, call, request->workspace, &request->forward);
}

size_t
forwarded_sessions_count (const struct forwarded_sessions *sessions)
{
  return sessions->count;
}

void
forwarded_sessions_stop_accepting (struct forwarded_sessions *sessions)
{
  sessions->stopped = true;
}

static void
forwarded_sessions_start (struct module *module)
{
  struct forwarded_sessions *sessions = (struct forwarded_sessions *)module;
  struct kernel *kernel = module->kernel;
  sessions->hosts = (struct hosts *)kernel_find (kernel, "hosts");
  sessions->callers = (struct callers *)kernel_find (kernel, "callers");
  sessions->catalog = (struct catalog *)kernel_find (kernel, "catalog");
  hosts_handle (sessions->hosts, PEER_KIND_FORWARD, on_forward, sessions);
  hosts_handle (sessions->hosts, PEER_KIND_FORWARD_AS, on_forward_as,
                sessions);
}

static void
forwarded_sessions_free (struct module *module)
{
  struct forwarded_sessions *sessions = (struct forwarded_sessions *)module;
  while (sessions->list != NULL)
    forwarded_session_free (sessions->list);
  free (sessions);
}

static const struct module_ops forwarded_sessions_ops
    = { .start = forwarded_sessions_start, .free = forwarded_sessions_free };

struct forwarded_sessions *
forwarded_sessions_new (statement_check check)
{
  struct forwarded_sessions *sessions = mem_zalloc (sizeof *sessions);
  sessions->base.ops = &forwarded_sessions_ops;
  sessions->base.name = "forwarded_sessions";
  sessions->check = check;
  return sessions;
}

struct module *
forwarded_sessions_module (struct forwarded_sessions *sessions)
{
  return &sessions->base;
}
