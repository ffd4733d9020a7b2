#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/util.h>
#include <rpc/rpc.h>

#include "kernel/mem.h"
#include "port/address.h"
#include "port/rpc_internal.h"

/* Size of "ADDRESS:PORT/INCARNATION".  */
#define KEY_BYTES (ADDRESS_BYTES + 48)

/* Keeps the shift of the base delay within its type.  */
#define BACKOFF_DOUBLINGS 16

enum link_state
{
  LINK_DOWN,
  LINK_CONNECTING,
  LINK_UP,
  LINK_BACKOFF
};

/* The connection to one incarnation of a peer.  */
struct rpc_link
{
  struct rpc_port *port;
  struct peer_address peer;
  char key[KEY_BYTES];
  enum link_state state;
  struct bufferevent *bev;
  struct rpc_record record;
  struct event *timer; /* connect timeout, backoff or idle timeout */
  uint32_t failures;   /* consecutive */
  uint32_t version;
  uint32_t next_xid;
  uint64_t appended_bytes; /* to the output since the connection was opened */
  uint64_t received_bytes; /* likewise */
  struct rpc_call *calls;  /* by xid */
  UT_hash_handle hh;
};

struct rpc_call
{
  struct rpc_port *port;
  uint64_t id;
  uint32_t xid;
  peer_kind kind;
  struct rpc_link *link; /* NULL once the outcome is known */
  struct rpc_body body;  /* freed when appended to the output */
  uint64_t end_bytes;    /* appended_bytes at the end of its record; 0: not
                            appended yet */
  enum peer_status status;
  size_t reply_bytes;  /* received before LINK was left */
  uint64_t seen_bytes; /* received_bytes of the link, when the timer fired */
  clk_ms overtime_ms;  /* for which a partial reply was awaited */
  struct event *timer; /* timeout, or deferred report of a failure */
  peer_done done;
  void *arg;
  UT_hash_handle hh;      /* in the port, by id */
  UT_hash_handle hh_link; /* in the link, by xid */
};

/* Returns whether the record that LINK is receiving is the reply to CALL, as
   far as can be told before it is verified.  */
static bool
is_receiving (const struct rpc_link *link, const struct rpc_call *call)
{
  uint32_t xid;
  return link->state == LINK_UP
         && rpc_record_peek (&link->record, &xid, sizeof xid)
         && ntohl (xid) == call->xid;
}

static size_t
reply_bytes (const struct rpc_call *call)
{
  const struct rpc_link *link = call->link;
  if (link == NULL)
    return call->reply_bytes;
  return is_receiving (link, call) ? evbuffer_get_length (link->record.bytes)
                                   : 0;
}

static void
call_unlink (struct rpc_call *call)
{
  if (call->link == NULL)
    return;
  call->reply_bytes = reply_bytes (call);
  HASH_DELETE (hh_link, call->link->calls, call);
  call->link = NULL;
}

static void
call_free (struct rpc_call *call)
{
  call_unlink (call);
  HASH_DELETE (hh, call->port->calls, call);
  event_free (call->timer);
  free (call->body.data);
  free (call);
}

/* Reports the outcome of CALL and frees it.  */
static void
call_finish (struct rpc_call *call, enum peer_status status,
             const peer_message *reply)
{
  peer_done done = call->done;
  void *arg = call->arg;
  call->port->finished_call = call->id;
  call->port->finished_bytes = reply_bytes (call);
  call_free (call);
  done (arg, status, reply);
}

/* Reports STATUS from the event loop, since the callback must not run from
   within the operation in progress.  */
static void
call_fail_later (struct rpc_call *call, enum peer_status status)
{
  call_unlink (call);
  call->status = status;
  event_active (call->timer, EV_TIMEOUT, 0);
}

/* Starts the timer of CALL again if a part of its reply has arrived since it
   fired last.  */
static bool
await_rest (struct rpc_call *call)
{
  const struct rpc_link *link = call->link;
  struct timeval stall = rpc_timeval (PEER_STALL_MS);
  if (link == NULL || call->overtime_ms >= PEER_TRANSFER_LIMIT_MS
      || link->received_bytes == call->seen_bytes
      || !is_receiving (link, call))
    return false;
  call->seen_bytes = link->received_bytes;
  call->overtime_ms += PEER_STALL_MS;
  evtimer_add (call->timer, &stall);
  return true;
}

static void
on_call_timer (evutil_socket_t fd, short what, void *arg)
{
  struct rpc_call *call = arg;
  (void)fd;
  (void)what;
  if (await_rest (call))
    return;
  if (call->link != NULL)
    {
      rpc_count (call->port, "rpc_call_timeouts_total");
      call->status = call->end_bytes > 0 ? PEER_TIMEOUT : PEER_UNREACHABLE;
    }
  call_finish (call, call->status, NULL);
}

/* Fails all calls of LINK.  The peer can't have processed a call whose record
   was not written completely.  */
static void
link_fail_calls (struct rpc_link *link)
{
  uint64_t written = 0;
  if (link->bev != NULL)
    written = link->appended_bytes
              - evbuffer_get_length (bufferevent_get_output (link->bev));
  struct rpc_call *call, *next;
  HASH_ITER (hh_link, link->calls, call, next)
  {
    bool whole = call->end_bytes > 0 && call->end_bytes <= written;
    call_fail_later (call, whole ? PEER_LOST : PEER_UNREACHABLE);
  }
}

static void
link_disconnect (struct rpc_link *link)
{
  link_fail_calls (link);
  if (link->bev != NULL)
    bufferevent_free (link->bev);
  link->bev = NULL;
  link->appended_bytes = 0;
  rpc_record_clear (&link->record);
}

static void
link_free (struct rpc_link *link)
{
  link_disconnect (link);
  HASH_DEL (link->port->links, link);
  event_free (link->timer);
  free (link);
}

/* Sets the state of LINK and starts its timer.  */
static void
link_enter_state (struct rpc_link *link, enum link_state state, clk_ms span_ms)
{
  struct timeval span = rpc_timeval (span_ms);
  link->state = state;
  evtimer_add (link->timer, &span);
}

/* Closes the connection after a failure and starts the backoff: exponential
   with full jitter.  */
static void
link_fail (struct rpc_link *link, const char *why)
{
  const struct rpc_options *options = &link->port->options;
  uint32_t doublings = link->failures;
  if (doublings > BACKOFF_DOUBLINGS)
    doublings = BACKOFF_DOUBLINGS;
  link->failures++;
  clk_ms span_ms = options->backoff_base_ms << doublings;
  if (span_ms > options->backoff_limit_ms)
    span_ms = options->backoff_limit_ms;
  clk_ms delay_ms = 1 + (clk_ms)rng_below (options->rng, (uint64_t)span_ms);
  if (options->log != NULL)
    log_event (options->log, LOG_NOTICE, "peer_connection_failed",
               LOG_S ("peer", link->peer.name), LOG_S ("why", why),
               LOG_U ("calls", HASH_CNT (hh_link, link->calls)),
               LOG_I ("retry_ms", delay_ms));
  rpc_count (link->port, "rpc_connection_failures_total");
  link_disconnect (link);
  link_enter_state (link, LINK_BACKOFF, delay_ms);
}

static void
on_link_timer (evutil_socket_t fd, short what, void *arg)
{
  struct rpc_link *link = arg;
  (void)fd;
  (void)what;
  switch (link->state)
    {
    case LINK_CONNECTING:
      link_fail (link, "connect timeout");
      break;
    case LINK_BACKOFF:
      link_enter_state (link, LINK_DOWN, link->port->options.idle_timeout_ms);
      break;
    case LINK_DOWN:
      link_free (link);
      break;
    case LINK_UP:
      break;
    }
}

static void
count_bytes (const struct rpc_call *call, size_t bytes)
{
  const struct rpc_options *options = &call->port->options;
  if (options->meter != NULL)
    options->meter (options->meter_arg, &call->link->peer, call->kind, bytes);
}

/* Appends CALL's record to the output of its connection.  */
static void
call_send (struct rpc_call *call)
{
  struct rpc_link *link = call->link;
  struct evbuffer *output = bufferevent_get_output (link->bev);
  size_t before = evbuffer_get_length (output);
  if (before + call->body.size_bytes > link->port->options.buffer_limit_bytes)
    {
      rpc_count (link->port, "rpc_buffer_full_total");
      call_fail_later (call, PEER_UNREACHABLE);
      return;
    }
  rpc_call_write (output, link->port->secret, call->xid, link->version,
                  PEER_CALL, &call->body);
  link->appended_bytes += evbuffer_get_length (output) - before;
  call->end_bytes = link->appended_bytes;
  count_bytes (call, evbuffer_get_length (output) - before);
  free (call->body.data);
  call->body.data = NULL;
}

static void
link_opened (struct rpc_link *link)
{
  struct rpc_call *call, *next;
  evtimer_del (link->timer);
  link->state = LINK_UP;
  rpc_tune_socket (link->port, link->bev);
  rpc_count (link->port, "rpc_connections_opened_total");
  if (link->port->options.log != NULL)
    log_event (link->port->options.log, LOG_INFO, "peer_connected",
               LOG_S ("peer", link->peer.name));
  HASH_ITER (hh_link, link->calls, call, next) { call_send (call); }
}

/* Handles a reply.  Returns false if it is malformed or not authentic.  */
static bool
link_handle_reply (struct rpc_link *link, uint8_t *data, size_t size_bytes)
{
  struct rpc_reply_header header;
  struct rpc_call *call;
  peer_message message;
  rpc_reply_read (link->port->secret, data, size_bytes, &header);
  if (header.status == RPC_STATUS_INVALID)
    return false;
  link->failures = 0;
  HASH_FIND (hh_link, link->calls, &header.xid, sizeof header.xid, call);
  if (header.status == RPC_STATUS_VERSION
      && header.version_high >= RPC_VERSION_LOW
      && header.version_high < link->version)
    link->version = header.version_high;
  if (call == NULL)
    {
      rpc_count (link->port, "rpc_late_replies_total");
      return true;
    }
  count_bytes (call, size_bytes);
  if (header.status != RPC_STATUS_OK)
    {
      rpc_count (link->port, "rpc_calls_refused_total");
      call_finish (call, PEER_UNREACHABLE, NULL);
      return true;
    }
  if (!rpc_body_decode (header.body, header.body_bytes, &message))
    return false;
  call_finish (call, PEER_OK, &message);
  xdr_free ((xdrproc_t)xdr_peer_message, &message);
  return true;
}

static void
on_link_input (struct bufferevent *bev, void *arg)
{
  struct rpc_link *link = arg;
  struct evbuffer *input = bufferevent_get_input (bev);
  enum rpc_record_state state;
  link->received_bytes += evbuffer_get_length (input);
  while ((state = rpc_record_read (&link->record, input)) == RPC_RECORD_WHOLE)
    {
      size_t size_bytes;
      uint8_t *data = rpc_record_data (&link->record, &size_bytes);
      bool ok = link_handle_reply (link, data, size_bytes);
      rpc_record_next (&link->record);
      if (!ok)
        {
          state = RPC_RECORD_MALFORMED;
          break;
        }
    }
  if (state != RPC_RECORD_MALFORMED)
    return;
  rpc_count (link->port, "rpc_bad_records_total");
  link_fail (link, "invalid reply");
}

static void
on_link_event (struct bufferevent *bev, short what, void *arg)
{
  struct rpc_link *link = arg;
  bool has_calls = link->calls != NULL;
  if (what & BEV_EVENT_CONNECTED)
    link_opened (link);
  else if ((what & BEV_EVENT_TIMEOUT) && has_calls)
    bufferevent_enable (bev, EV_READ);
  else if (link->state == LINK_CONNECTING || has_calls)
    link_fail (link,
               (what & BEV_EVENT_EOF) ? "closed by peer" : "connection error");
  else
    {
      link_disconnect (link);
      link_enter_state (link, LINK_DOWN, link->port->options.idle_timeout_ms);
    }
}

static void
link_connect (struct rpc_link *link)
{
  struct sockaddr_storage address;
  int length = sizeof address;
  struct rpc_port *port = link->port;
  link->state = LINK_CONNECTING;
  rpc_record_init (&link->record, port->options.message_limit_bytes);
  if (!address_parse (link->peer.address, link->peer.port, &address, &length))
    {
      link_fail (link, "invalid address");
      return;
    }
  link->bev = bufferevent_socket_new (port->events, -1, BEV_OPT_CLOSE_ON_FREE);
  struct timeval idle = rpc_timeval (port->options.idle_timeout_ms);
  bufferevent_setcb (link->bev, on_link_input, NULL, on_link_event, link);
  bufferevent_set_timeouts (link->bev, &idle, NULL);
  bufferevent_setwatermark (link->bev, EV_READ, 0, RPC_READ_AHEAD_BYTES);
  bufferevent_enable (link->bev, EV_READ | EV_WRITE);
  link_enter_state (link, LINK_CONNECTING, port->options.connect_timeout_ms);
  if (bufferevent_socket_connect (link->bev, (struct sockaddr *)&address,
                                  length)
      != 0)
    link_fail (link, "connect failed");
}

static struct rpc_link *
link_find (struct rpc_port *port, const struct peer_address *to)
{
  char key[KEY_BYTES];
  struct rpc_link *link;
  snprintf (key, sizeof key, "%s:%u/%llu", to->address, (unsigned)to->port,
            (unsigned long long)to->incarnation);
  HASH_FIND_STR (port->links, key, link);
  if (link != NULL)
    return link;
  link = mem_zalloc (sizeof *link);
  link->port = port;
  link->peer = *to;
  memcpy (link->key, key, sizeof key);
  link->version = RPC_VERSION_HIGH;
  link->timer = evtimer_new (port->events, on_link_timer, link);
  HASH_ADD_STR (port->links, key, link);
  return link;
}

uint64_t
rpc_client_call (struct rpc_port *port, const struct peer_address *to,
                 const peer_message *message, clk_ms timeout_ms,
                 peer_done done, void *arg)
{
  struct rpc_link *link = link_find (port, to);
  struct rpc_call *call = mem_zalloc (sizeof *call);
  struct timeval limit = rpc_timeval (timeout_ms);
  call->port = port;
  call->id = ++port->next_call;
  call->xid = ++link->next_xid;
  call->kind = message->body.kind;
  call->link = link;
  call->done = done;
  call->arg = arg;
  call->timer = evtimer_new (port->events, on_call_timer, call);
  HASH_ADD (hh, port->calls, id, sizeof call->id, call);
  HASH_ADD (hh_link, link->calls, xid, sizeof call->xid, call);
  evtimer_add (call->timer, &limit);
  rpc_count (port, "rpc_calls_total");
  if (!rpc_body_encode (&call->body, message,
                        port->options.message_limit_bytes
                            - RPC_HEADER_LIMIT_BYTES))
    {
      rpc_count (port, "rpc_calls_too_large_total");
      call_fail_later (call, PEER_UNREACHABLE);
    }
  else if (link->state == LINK_BACKOFF)
    call_fail_later (call, PEER_UNREACHABLE);
  else if (link->state == LINK_DOWN)
    link_connect (link);
  else if (link->state == LINK_UP)
    call_send (call);
  return call->id;
}

void
rpc_client_cancel (struct rpc_port *port, uint64_t id)
{
  struct rpc_call *call;
  HASH_FIND (hh, port->calls, &id, sizeof id, call);
  if (call != NULL)
    call_free (call);
}

size_t
rpc_client_received (const struct rpc_port *port, uint64_t id)
{
  const struct rpc_call *call;
  if (id == port->finished_call)
    return port->finished_bytes;
  HASH_FIND (hh, port->calls, &id, sizeof id, call);
  return call != NULL ? reply_bytes (call) : 0;
}

void
rpc_client_close (struct rpc_port *port)
{
  struct rpc_call *call, *next_call;
  struct rpc_link *link, *next_link;
  HASH_ITER (hh, port->calls, call, next_call) { call_free (call); }
  HASH_ITER (hh, port->links, link, next_link) { link_free (link); }
}
