#include "core/peers.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/peers_copy.h"
#include "kernel/mem.h"
#include "kernel/mutant.h"

#define KIND_COUNT (PEER_KIND_CENSUS + 1)

/* Set in the ids of this module's own calls and never in ids of the port, so
   that peers_reply can distinguish a local call from a received one.  */
#define LOCAL_BIT (1ULL << 63)

struct handler
{
  peers_handler fn;
  void *arg;
};

enum call_state
{
  CALL_QUEUED,  /* local: not yet passed to the handler */
  CALL_RUNNING, /* passed to the handler or the port */
  CALL_ANSWERED /* local: the reply waits for its deferred delivery */
};

struct peer_pending
{
  struct peers *peers;
  uint64_t id;
  uint64_t port_id;
  enum call_state state;
  bool cancelled;
  struct peer_address to;
  peer_message *message; /* local: the request, later the reply */
  struct ktimer timeout;
  peer_done done;
  void *arg;
  UT_hash_handle hh;
};

struct peers
{
  struct module base;
  struct peer_port *port;
  struct members *members;
  struct handler handlers[KIND_COUNT];
  struct peer_pending *pending;
  uint64_t next_id;
  char host[NAME_BYTES];
  char domain[NAME_BYTES];
  int64_t *refused;
};

static struct peer_pending *
pending_find (struct peers *peers, uint64_t id)
{
  struct peer_pending *call = NULL;
  HASH_FIND (hh, peers->pending, &id, sizeof id, call);
  return call;
}

static struct peer_pending *
pending_add (struct peers *peers, const struct peer_address *to,
             peer_done done, void *arg)
{
  struct peer_pending *call = mem_zalloc (sizeof *call);
  call->peers = peers;
  call->id = LOCAL_BIT | ++peers->next_id;
  call->to = *to;
  call->done = done;
  call->arg = arg;
  HASH_ADD (hh, peers->pending, id, sizeof call->id, call);
  return call;
}

static void
pending_free (struct peer_pending *call)
{
  struct peers *peers = call->peers;
  HASH_DEL (peers->pending, call);
  kernel_timer_cancel (peers->base.kernel, &call->timeout);
  peers_message_free (call->message);
  free (call);
}

static peer_message
make_message (struct peers *peers, const peer_body *body)
{
  const struct member *self = members_self (peers->members);
  memcpy (peers->host, self->address.name, NAME_BYTES);
  memcpy (peers->domain, self->domain, NAME_BYTES);
  peer_message message = {
    .from = { .host = peers->host,
              .domain = peers->domain,
              .incarnation = self->address.incarnation },
    .body = *body,
  };
  peers_body_replace_nulls (&message.body);
  return message;
}

static void
reply_kind (struct peers *peers, uint64_t call, peer_kind kind)
{
  peer_body body = { .kind = kind };
  peers_reply (peers, call, &body);
}

/* Returns whether FROM is a member, of the same incarnation and failure
   domain.  */
static bool
is_member (struct peers *peers, const peer_identity *from)
{
  const struct member *member = members_find (peers->members, from->host);
  return member != NULL
         && (MUTANT (drop_incarnation)
             || member->address.incarnation == from->incarnation)
         && strcmp (member->domain, from->domain) == 0;
}

static void
handle_message (void *arg, uint64_t call, const peer_message *message)
{
  struct peers *peers = arg;
  bool from_member = is_member (peers, &message->from);
  peer_kind kind = message->body.kind;
  if (!from_member && kind != PEER_KIND_PULL)
    {
      ++*peers->refused;
      log_event (kernel_log (peers->base.kernel), LOG_WARNING, "peer_refused",
                 LOG_S ("host", message->from.host),
                 LOG_S ("domain", message->from.domain),
                 LOG_U ("incarnation", message->from.incarnation),
                 LOG_I ("kind", kind));
      reply_kind (peers, call, PEER_KIND_REFUSED);
      return;
    }
  if (from_member)
    members_record_answer (peers->members, message->from.host);
  if ((unsigned)kind >= KIND_COUNT || peers->handlers[kind].fn == NULL)
    {
      reply_kind (peers, call, PEER_KIND_REFUSED);
      return;
    }
  peers->handlers[kind].fn (peers->handlers[kind].arg, call, message);
}

/* Passes a request to this host itself to its handler.  */
static void
handle_local (void *arg)
{
  struct peer_pending *call = arg;
  if (call->cancelled)
    {
      pending_free (call);
      return;
    }
  call->state = CALL_RUNNING;
  peer_message *request = call->message;
  call->message = NULL;
  if (request == NULL)
    reply_kind (call->peers, call->id, PEER_KIND_REFUSED);
  else
    handle_message (call->peers, call->id, request);
  peers_message_free (request);
}

static void
deliver_local_reply (void *arg)
{
  struct peer_pending *call = arg;
  peer_message *reply = call->message;
  peer_done done = call->cancelled ? NULL : call->done;
  void *done_arg = call->arg;
  call->message = NULL;
  pending_free (call);
  if (done != NULL && reply == NULL)
    done (done_arg, PEER_LOST, NULL);
  else if (done != NULL && reply->body.kind == PEER_KIND_REFUSED)
    done (done_arg, PEER_UNREACHABLE, NULL);
  else if (done != NULL)
    done (done_arg, PEER_OK, reply);
  peers_message_free (reply);
}

static void
local_timeout (void *arg)
{
  struct peer_pending *call = arg;
  if (call->state == CALL_ANSWERED)
    return;
  peer_done done = call->done;
  void *done_arg = call->arg;
  pending_free (call);
  done (done_arg, PEER_TIMEOUT, NULL);
}

static uint64_t
call_local (struct peers *peers, const struct peer_address *to,
            const peer_body *body, clk_ms timeout_ms, peer_done done,
            void *arg)
{
  struct kernel *kernel = peers->base.kernel;
  struct peer_pending *call = pending_add (peers, to, done, arg);
  peer_message message = make_message (peers, body);
  call->message = peers_message_copy (&message);
  call->state = CALL_QUEUED;
  call->timeout.fire = local_timeout;
  call->timeout.arg = call;
  kernel_timer_set (kernel, &call->timeout, kernel_now (kernel) + timeout_ms);
  kernel_defer (kernel, handle_local, call);
  return call->id;
}

/* Returns the status that a reply gives to CALL.  A reply of another
   incarnation or name comes from a different host at the same address, so
   the outcome of the call is unknown.  */
static enum peer_status
check_reply (const struct peer_pending *call, const peer_message *reply)
{
  if (reply->body.kind == PEER_KIND_REFUSED)
    return PEER_UNREACHABLE;
  if (call->to.incarnation == 0)
    return PEER_OK;
  if (reply->from.incarnation != call->to.incarnation
      || strcmp (reply->from.host, call->to.name) != 0)
    return PEER_LOST;
  return PEER_OK;
}

static void
remote_done (void *arg, enum peer_status status, const peer_message *reply)
{
  struct peer_pending *call = arg;
  struct peers *peers = call->peers;
  peer_done done = call->done;
  void *done_arg = call->arg;
  bool refused = false;
  if (status == PEER_OK)
    {
      refused = reply->body.kind == PEER_KIND_REFUSED;
      status = check_reply (call, reply);
    }
  if (status == PEER_OK)
    members_record_answer (peers->members, call->to.name);
  else if (!refused)
    members_record_failure (peers->members, call->to.name);
  pending_free (call);
  done (done_arg, status, status == PEER_OK ? reply : NULL);
}

static uint64_t
call_remote (struct peers *peers, const struct peer_address *to,
             const peer_body *body, clk_ms timeout_ms, peer_done done,
             void *arg)
{
  struct peer_pending *call = pending_add (peers, to, done, arg);
  peer_message message = make_message (peers, body);
  call->state = CALL_RUNNING;
  call->port_id = peers->port->ops->call (peers->port, to, &message,
                                          timeout_ms, remote_done, call);
  return call->id;
}

uint64_t
peers_call (struct peers *peers, const struct peer_address *to,
            const peer_body *body, clk_ms timeout_ms, peer_done done,
            void *arg)
{
  const struct member *self = members_self (peers->members);
  if (strcmp (to->name, self->address.name) == 0)
    return call_local (peers, to, body, timeout_ms, done, arg);
  return call_remote (peers, to, body, timeout_ms, done, arg);
}

void
peers_cancel (struct peers *peers, uint64_t id)
{
  struct peer_pending *call = pending_find (peers, id);
  if (call == NULL)
    return;
  if (call->port_id != 0)
    peers->port->ops->cancel (peers->port, call->port_id);
  /* A deferred function still refers to a queued or answered call, and frees
     it.  */
  if (call->port_id != 0 || call->state == CALL_RUNNING)
    pending_free (call);
  else
    call->cancelled = true;
}

void
peers_reply (struct peers *peers, uint64_t call_id, const peer_body *body)
{
  peer_message message = make_message (peers, body);
  if ((call_id & LOCAL_BIT) == 0)
    {
      peers->port->ops->reply (peers->port, call_id, &message);
      return;
    }
  struct peer_pending *call = pending_find (peers, call_id);
  if (call == NULL || call->state != CALL_RUNNING)
    return;
  call->message = peers_message_copy (&message);
  call->state = CALL_ANSWERED;
  kernel_defer (peers->base.kernel, deliver_local_reply, call);
}

void
peers_register_handler (struct peers *peers, peer_kind kind,
                        peers_handler handler, void *arg)
{
  peers->handlers[kind].fn = handler;
  peers->handlers[kind].arg = arg;
}

static void
peers_start (struct module *module)
{
  struct peers *peers = (struct peers *)module;
  peers->members = (struct members *)kernel_find (module->kernel, "members");
  peers->refused = metrics_value (kernel_metrics (module->kernel),
                                  "peer_messages_refused_total");
  peers->port->ops->set_handler (peers->port, handle_message, peers);
}

static void
peers_free (struct module *module)
{
  struct peers *peers = (struct peers *)module;
  struct peer_pending *call, *next;
  HASH_ITER (hh, peers->pending, call, next)
  {
    if (call->port_id != 0)
      peers->port->ops->cancel (peers->port, call->port_id);
    pending_free (call);
  }
  peers->port->ops->set_handler (peers->port, NULL, NULL);
  free (peers);
}

static const struct module_ops peers_ops
    = { .start = peers_start, .free = peers_free };

struct peers *
peers_new (struct peer_port *port)
{
  struct peers *peers = mem_zalloc (sizeof *peers);
  peers->base.ops = &peers_ops;
  peers->base.name = "peers";
  peers->port = port;
  return peers;
}

struct module *
peers_module (struct peers *peers)
{
  return &peers->base;
}
