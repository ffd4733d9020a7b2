#include "proxy/forwarded_sessions.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"
#include "kernel/text.h"
#include "proxy/caller_impl.h"
#include "proxy/hosts.h"

struct guest
{
  struct forwarded_sessions *forwarded_sessions;
  uint64_t number; /* chosen by the sender */
  bool in_transaction;
  uint64_t call; /* to be answered; 0 between statements */
  struct caller *caller;
  struct ktimer end;
  struct guest *prev;
  struct guest *next;
};

struct forwarded_sessions
{
  struct module base;
  struct hosts *hosts;
  struct callers *callers;
  struct catalog *catalog;
  struct guest *list;
  size_t count;
  bool refuses;
};

static void
reply (struct guest *guest, const peer_forwarded *forwarded)
{
  peer_body body
      = { .kind = PEER_KIND_FORWARDED, .peer_body_u.forwarded = *forwarded };
  uint64_t call = guest->call;
  guest->call = 0;
  hosts_reply (guest->forwarded_sessions->hosts, call, &body);
}

static void
reply_answer (struct guest *guest, const struct answer *answer)
{
  const struct caller *caller = guest->caller;
  peer_forwarded forwarded = {
    .code = (u_int)answer->code,
    .overloaded = caller->overloaded,
    .reason = (char *)(answer->text != NULL ? answer->text : ""),
    /* With its NUL.  */
    .answer
    = { .answer_len = answer->body != NULL ? (u_int)answer->body_bytes + 1 : 0,
        .answer_val = (char *)answer->body },
    .instance = (char *)caller->served_by,
    .own_term = caller->own.term,
    .own_lsn = caller->own.lsn,
  };
  reply (guest, &forwarded);
}

static void
guest_free (struct guest *guest)
{
  struct forwarded_sessions *forwarded_sessions = guest->forwarded_sessions;
  peer_forwarded unknown = { .code = CODE_INDOUBT,
                             .reason = "ended while it ran",
                             .instance = "" };
  if (guest->call != 0)
    reply (guest, &unknown);
  kernel_timer_cancel (forwarded_sessions->base.kernel, &guest->end);
  caller_close (guest->caller);
  DL_DELETE (forwarded_sessions->list, guest);
  forwarded_sessions->count--;
  free (guest);
}

static void
on_end (void *arg)
{
  guest_free (arg);
}

/* Ends GUEST from the loop, or once it has been idle for too long.  */
static void
arm_end (struct guest *guest, bool at_once)
{
  struct forwarded_sessions *forwarded_sessions = guest->forwarded_sessions;
  struct kernel *kernel = forwarded_sessions->base.kernel;
  clk_ms idle_ms = catalog_config (forwarded_sessions->catalog)->tx_idle_ms;
  clk_ms span_ms = idle_ms > 0 ? idle_ms + FORWARDED_IDLE_MARGIN_MS
                               : GUESTS_IDLE_DEFAULT_MS;
  kernel_timer_set (kernel, &guest->end,
                    kernel_now (kernel) + (at_once ? 0 : span_ms));
}

static void
on_answer (void *arg, const struct answer *answer)
{
  struct guest *guest = arg;
  reply_answer (guest, answer);
  arm_end (guest, !guest->in_transaction || answer->state != TX_OPEN);
}

static void
refuse (struct forwarded_sessions *forwarded_sessions, uint64_t call)
{
  hosts_reply (forwarded_sessions->hosts, call,
               &(peer_body){ .kind = PEER_KIND_REFUSED });
}

/* Answers a statement of a transaction that is not open here, or the end of
   what has ended.  */
static void
reply_unknown (struct forwarded_sessions *forwarded_sessions, uint64_t call,
               bool rollback)
{
  peer_body body = { .kind = PEER_KIND_FORWARDED };
  body.peer_body_u.forwarded
      = (peer_forwarded){ .code = rollback ? CODE_OK : CODE_ABORTED,
                          .reason = "the transaction was ended",
                          .instance = "" };
  hosts_reply (forwarded_sessions->hosts, call, &body);
}

static struct guest *
find_guest (const struct forwarded_sessions *forwarded_sessions,
            uint64_t number)
{
  struct guest *guest;
  DL_FOREACH (forwarded_sessions->list, guest)
  {
    if (guest->number == number)
      return guest;
  }
  return NULL;
}

/* Returns NULL if a name of the request does not fit.  */
static struct guest *
open_guest (struct forwarded_sessions *forwarded_sessions,
            const peer_forward *request)
{
  clk_ms now_ms = kernel_now (forwarded_sessions->base.kernel);
  struct guest *guest = mem_zalloc (sizeof *guest);
  struct caller_sink sink = { .answer = on_answer, .arg = guest };
  struct route route = { .kind = (enum route_kind)request->route_kind,
                         .timeout_ms = request->timeout_ms,
                         .target_ms = request->target_ms,
                         .max_staleness_ms = request->max_staleness_ms,
                         .priority = request->priority };
  if (request->route_kind > ROUTE_SESSION
      || !text_copy (route.database, NAME_BYTES, request->database)
      || !text_copy (route.group, NAME_BYTES, request->group))
    {
      free (guest);
      return NULL;
    }
  struct caller *caller
      = caller_open_guest (forwarded_sessions->callers, &route, &sink);
  caller->opened_ms = now_ms - request->session_age_ms;
  caller->may_wait = request->may_wait;
  if (request->begins)
    {
      caller->tx = TX_OPEN;
      caller->tx_read_only = request->read_only;
      caller->tx_begun_ms = now_ms - request->transaction_age_ms;
    }
  guest->forwarded_sessions = forwarded_sessions;
  guest->caller = caller;
  guest->number = request->number;
  guest->in_transaction = request->in_transaction;
  guest->end = (struct ktimer){ .fire = on_end, .arg = guest };
  DL_APPEND (forwarded_sessions->list, guest);
  forwarded_sessions->count++;
  return guest;
}

/* Brings the session to the sender's state.  Returns false if it can't be
   had.  */
static bool
set_session (struct caller *caller, const peer_forward *request)
{
  struct position own = { request->own_term, request->own_lsn };
  if (position_compare (own, caller->own) > 0)
    caller->own = own;
  caller->tx_route.timeout_ms = request->timeout_ms;
  for (u_int i = 0; i < request->values.values_len; i++)
    {
      const peer_value *value = &request->values.values_val[i];
      if (!caller_set_value (caller, value->name, value->text))
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
may_run (const peer_forward *request)
{
  return request->kind == STMT_READ || request->kind == STMT_WRITE
         || request->kind == STMT_EXECUTE || request->kind == STMT_COMMIT;
}

static const char *
text_or_null (const char *text)
{
  return text[0] != '\0' ? text : NULL;
}

static void
run (struct guest *guest, uint64_t call, const peer_forward *request)
{
  struct statement statement = { .kind = (enum stmt_kind)request->kind,
                                 .id = request->id,
                                 .text = text_or_null (request->text),
                                 .name = text_or_null (request->name),
                                 .rest = request->rest };
  kernel_timer_cancel (guest->forwarded_sessions->base.kernel, &guest->end);
  guest->call = call;
  caller_submit (guest->caller, &statement);
}

/* A statement of a transaction that is open here.  */
static void
go_on (struct guest *guest, uint64_t call, const peer_forward *request)
{
  struct forwarded_sessions *forwarded_sessions = guest->forwarded_sessions;
  if (request->kind == STMT_ROLLBACK)
    {
      guest_free (guest);
      reply_unknown (forwarded_sessions, call, true);
    }
  else if (guest->call != 0 || !may_run (request)
           || !set_session (guest->caller, request))
    refuse (forwarded_sessions, call);
  else
    run (guest, call, request);
}

static void
on_forward (void *arg, uint64_t call, const peer_message *message)
{
  struct forwarded_sessions *forwarded_sessions = arg;
  const peer_forward *request = &message->body.peer_body_u.forward;
  struct guest *guest = find_guest (forwarded_sessions, request->number);
  if (guest != NULL)
    {
      go_on (guest, call, request);
      return;
    }
  if (request->in_transaction && !request->begins
      && !MUTANT (run_unknown_transaction))
    {
      reply_unknown (forwarded_sessions, call, request->kind == STMT_ROLLBACK);
      return;
    }
  if (!forwarded_sessions->refuses && may_run (request))
    guest = open_guest (forwarded_sessions, request);
  if (guest == NULL)
    refuse (forwarded_sessions, call);
  else if (!set_session (guest->caller, request))
    {
      guest_free (guest);
      refuse (forwarded_sessions, call);
    }
  else
    run (guest, call, request);
}

size_t
forwarded_sessions_count (const struct forwarded_sessions *forwarded_sessions)
{
  return forwarded_sessions->count;
}

void
forwarded_sessions_stop_accepting (
    struct forwarded_sessions *forwarded_sessions)
{
  forwarded_sessions->refuses = true;
}

static void
guests_start (struct module *module)
{
  struct forwarded_sessions *forwarded_sessions
      = (struct forwarded_sessions *)module;
  struct kernel *kernel = module->kernel;
  forwarded_sessions->hosts = (struct hosts *)kernel_find (kernel, "hosts");
  forwarded_sessions->callers
      = (struct callers *)kernel_find (kernel, "callers");
  forwarded_sessions->catalog
      = (struct catalog *)kernel_find (kernel, "catalog");
  hosts_handle (forwarded_sessions->hosts, PEER_KIND_FORWARD, on_forward,
                forwarded_sessions);
}

static void
guests_free (struct module *module)
{
  struct forwarded_sessions *forwarded_sessions
      = (struct forwarded_sessions *)module;
  while (forwarded_sessions->list != NULL)
    guest_free (forwarded_sessions->list);
  free (forwarded_sessions);
}

static const struct module_ops guests_ops
    = { .start = guests_start, .free = guests_free };

struct forwarded_sessions *
forwarded_sessions_new (void)
{
  struct forwarded_sessions *forwarded_sessions
      = mem_zalloc (sizeof *forwarded_sessions);
  forwarded_sessions->base.ops = &guests_ops;
  forwarded_sessions->base.name = "guests";
  return forwarded_sessions;
}

struct module *
forwarded_sessions_module (struct forwarded_sessions *forwarded_sessions)
{
  return &forwarded_sessions->base;
}
