#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <rpc/rpc.h>
#include <utlist.h>

#include "kernel/mem.h"
#include "port/address.h"
#include "port/rpc_internal.h"

/* A new connection is closed if no authentic call arrives within this
   time.  */
#define FIRST_CALL_TIMEOUT_MS 10000

/* Ratio of the idle timeouts of the accepting and the calling side.  The
   caller closes first, so that no call is sent on a connection that is being
   closed.  */
#define IDLE_TIMEOUT_FACTOR 2

#define LISTEN_BACKLOG 1024

/* Pause after accept has failed.  */
#define ACCEPT_PAUSE_MS 100

/* Part of a record that is read without a room of the budget: most calls are
   shorter.  Before the first authentic call it may be a stranger's.  */
#define AHEAD_BYTES ((size_t)64 * 1024)
#define STRANGER_AHEAD_BYTES ((size_t)16 * 1024)

/* Copies of a record: while it is read the record and its decoded call, while
   it runs its strings and the output to an instance.  */
#define READ_COPIES 2
#define RUN_COPIES 3

/* An accepted connection.  */
struct rpc_conn
{
  struct rpc_port *port;
  struct client client;
  struct client_room room; /* for a long record */
  struct bufferevent *bev;
  struct rpc_record record;
  struct event *timer; /* closes the connection */
  bool authentic;      /* an authentic call has been received */
  bool closing;        /* to be closed once the output is written */
  uint32_t last_xid;
  uint32_t call_count;
  struct rpc_incoming *calls;
  struct rpc_conn *prev;
  struct rpc_conn *next;
};

/* A call that has not been answered yet.  */
struct rpc_incoming
{
  uint64_t id;
  uint32_t xid;
  struct rpc_conn *conn;   /* NULL once the connection is closed */
  struct client_room room; /* of a long one, until it is answered */
  struct rpc_incoming *prev;
  struct rpc_incoming *next;
  UT_hash_handle hh;
};

static void
conn_free (struct rpc_conn *conn)
{
  struct rpc_port *port = conn->port;
  struct rpc_incoming *call, *next;
  DL_FOREACH_SAFE (conn->calls, call, next) { call->conn = NULL; }
  DL_DELETE (port->conns, conn);
  port->conn_count--;
  client_room_release (&conn->room);
  client_remove (&conn->client);
  bufferevent_free (conn->bev);
  event_free (conn->timer);
  rpc_record_clear (&conn->record);
  free (conn);
}

static void
on_budget_close (struct client *client)
{
  struct rpc_conn *conn
      = (struct rpc_conn *)(void *)((char *)client
                                    - offsetof (struct rpc_conn, client));
  rpc_count (conn->port, "rpc_connections_dropped_total");
  conn_free (conn);
}

static const struct client_ops client_ops = { .close = on_budget_close };

/* Tells the budget what CONN waits for and what is held for it.  */
static void
report_to_budget (struct rpc_conn *conn)
{
  size_t record_bytes = evbuffer_get_length (conn->record.bytes);
  enum client_state state = CLIENT_IDLE;
  if (evbuffer_get_length (bufferevent_get_output (conn->bev)) > 0)
    state = CLIENT_READING;
  else if (conn->room.waits)
    state = CLIENT_WAITING;
  else if (!conn->authentic)
    state = CLIENT_NEW;
  else if (rpc_record_is_partial (&conn->record)
           || evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0)
    state = CLIENT_SENDING;
  else if (conn->call_count > 0)
    state = CLIENT_SERVED;
  client_set_state (&conn->client, state);
  client_hold (&conn->client, record_bytes);
}

static void
on_room (struct client_room *room)
{
  struct rpc_conn *conn
      = (struct rpc_conn *)(void *)((char *)room
                                    - offsetof (struct rpc_conn, room));
  bufferevent_enable (conn->bev, EV_READ);
  report_to_budget (conn);
}

/* Stops reading a long record until there is room for it.  */
static void
limit_record (struct rpc_conn *conn)
{
  size_t bytes = evbuffer_get_length (conn->record.bytes);
  size_t ahead = conn->authentic ? AHEAD_BYTES : STRANGER_AHEAD_BYTES;
  if (bytes >= ahead && !conn->room.held
      && !client_room_take (&conn->room, &conn->client,
                            conn->authentic ? ROOMS_CALLS : ROOMS_STRANGERS,
                            READ_COPIES * conn->port->options.call_limit_bytes,
                            on_room))
    bufferevent_disable (conn->bev, EV_READ);
}

static void
on_conn_timer (evutil_socket_t fd, short what, void *arg)
{
  struct rpc_conn *conn = arg;
  (void)fd;
  (void)what;
  rpc_count (conn->port, "rpc_connections_dropped_total");
  conn_free (conn);
}

/* Closes CONN once its output is written, at the latest after
   FIRST_CALL_TIMEOUT_MS.  */
static void
conn_close_after_output (struct rpc_conn *conn)
{
  struct timeval limit = rpc_timeval (FIRST_CALL_TIMEOUT_MS);
  conn->closing = true;
  bufferevent_disable (conn->bev, EV_READ);
  evtimer_add (conn->timer, &limit);
}

static void
conn_refuse (struct rpc_conn *conn, uint32_t xid, enum accept_stat stat)
{
  struct evbuffer *output = bufferevent_get_output (conn->bev);
  rpc_count (conn->port, "rpc_incoming_refused_total");
  rpc_reply_write (output, conn->port->secret, xid, stat, NULL);
}

/* Returns SUCCESS if the call can be processed, else the error to reply.  */
static enum accept_stat
check_call (const struct rpc_conn *conn, const struct rpc_call_header *header)
{
  if (header->program != SAVORYWAY_PEER)
    return PROG_UNAVAIL;
  if (header->version < RPC_VERSION_LOW || header->version > RPC_VERSION_HIGH)
    return PROG_MISMATCH;
  if (header->procedure != PEER_CALL)
    return PROC_UNAVAIL;
  if (conn->port->handler == NULL
      || conn->call_count >= conn->port->options.call_limit)
    return SYSTEM_ERR;
  return SUCCESS;
}

/* Takes a room for a long call, until it is answered.  Returns false if there
   is none.  */
static bool
reserve_call (struct rpc_conn *conn, const struct rpc_call_header *header,
              struct client_room *room)
{
  return header->body_bytes < AHEAD_BYTES
         || client_room_try (room, conn->port->options.budget, ROOMS_RUNNING,
                             RUN_COPIES * header->body_bytes);
}

static void
conn_handle_call (struct rpc_conn *conn, const struct rpc_call_header *header)
{
  struct rpc_port *port = conn->port;
  peer_message message;
  enum accept_stat stat = check_call (conn, header);
  if (stat != SUCCESS)
    {
      conn_refuse (conn, header->xid, stat);
      return;
    }
  if (!rpc_body_decode (header->body, header->body_bytes, &message))
    {
      conn_refuse (conn, header->xid, GARBAGE_ARGS);
      return;
    }
  struct rpc_incoming *call = mem_zalloc (sizeof *call);
  if (!reserve_call (conn, header, &call->room))
    {
      free (call);
      xdr_free ((xdrproc_t)xdr_peer_message, &message);
      conn_refuse (conn, header->xid, SYSTEM_ERR);
      return;
    }
  call->id = ++port->next_incoming;
  call->xid = header->xid;
  call->conn = conn;
  conn->call_count++;
  DL_APPEND (conn->calls, call);
  HASH_ADD (hh, port->incoming, id, sizeof call->id, call);
  rpc_count (port, "rpc_incoming_total");
  port->handler (port->handler_arg, call->id, &message);
  xdr_free ((xdrproc_t)xdr_peer_message, &message);
}

/* Handles a record.  Returns false if the connection must be closed.  */
static bool
conn_handle_record (struct rpc_conn *conn, uint8_t *data, size_t size_bytes)
{
  struct rpc_call_header header;
  bool answerable;
  if (rpc_call_read (conn->port->secret, data, size_bytes, &header,
                     &answerable)
      != RPC_STATUS_OK)
    {
      if (answerable)
        rpc_denial_write (bufferevent_get_output (conn->bev), header.xid);
      return false;
    }
  if (!conn->authentic)
    evtimer_del (conn->timer);
  else if ((int32_t)(header.xid - conn->last_xid) <= 0)
    {
      rpc_count (conn->port, "rpc_duplicate_xids_total");
      return true;
    }
  conn->authentic = true;
  conn->last_xid = header.xid;
  conn_handle_call (conn, &header);
  return true;
}

static void
on_conn_input (struct bufferevent *bev, void *arg)
{
  struct rpc_conn *conn = arg;
  struct evbuffer *input = bufferevent_get_input (bev);
  enum rpc_record_state state = RPC_RECORD_PARTIAL;
  while (!conn->closing
         && (state = rpc_record_read (&conn->record, input))
                == RPC_RECORD_WHOLE)
    {
      size_t size_bytes;
      uint8_t *data = rpc_record_data (&conn->record, &size_bytes);
      bool ok = conn_handle_record (conn, data, size_bytes);
      rpc_record_next (&conn->record);
      client_note_progress (&conn->client);
      if (conn->room.held)
        client_room_release (&conn->room);
      if (!ok)
        {
          state = RPC_RECORD_MALFORMED;
          break;
        }
    }
  if (state != RPC_RECORD_MALFORMED)
    {
      limit_record (conn);
      report_to_budget (conn);
      return;
    }
  rpc_count (conn->port, "rpc_bad_records_total");
  if (evbuffer_get_length (bufferevent_get_output (bev)) == 0)
    conn_free (conn);
  else
    conn_close_after_output (conn);
}

static void
on_conn_output (struct bufferevent *bev, void *arg)
{
  struct rpc_conn *conn = arg;
  if (conn->closing && evbuffer_get_length (bufferevent_get_output (bev)) == 0)
    conn_free (conn);
  else
    report_to_budget (conn);
}

static void
on_conn_event (struct bufferevent *bev, short what, void *arg)
{
  struct rpc_conn *conn = arg;
  if ((what & BEV_EVENT_TIMEOUT) && conn->call_count > 0)
    bufferevent_enable (bev, EV_READ);
  else
    conn_free (conn);
}

/* Stops accepting for a while: accept would fail again and again while the
   process has no descriptor left.  */
static void
on_accept_error (struct evconnlistener *listener, void *arg)
{
  struct rpc_port *port = arg;
  struct timeval pause = rpc_timeval (ACCEPT_PAUSE_MS);
  evconnlistener_disable (listener);
  evtimer_add (port->resume_accept, &pause);
}

static void
on_resume_accept (evutil_socket_t fd, short what, void *arg)
{
  struct rpc_port *port = arg;
  (void)fd;
  (void)what;
  evconnlistener_enable (port->listener);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int length, void *arg)
{
  struct rpc_port *port = arg;
  (void)listener;
  (void)address;
  (void)length;
  struct rpc_conn *conn = mem_zalloc (sizeof *conn);
  if (port->conn_count >= port->options.connection_limit
      || !client_add (port->options.budget, &conn->client, CLIENT_HOSTS,
                      &client_ops))
    {
      rpc_count (port, "rpc_connections_refused_total");
      evutil_closesocket (fd);
      free (conn);
      return;
    }
  struct timeval first = rpc_timeval (FIRST_CALL_TIMEOUT_MS);
  struct timeval idle
      = rpc_timeval (port->options.idle_timeout_ms * IDLE_TIMEOUT_FACTOR);
  conn->port = port;
  conn->bev = bufferevent_socket_new (port->events, fd, BEV_OPT_CLOSE_ON_FREE);
  conn->timer = evtimer_new (port->events, on_conn_timer, conn);
  rpc_record_init (&conn->record, port->options.call_limit_bytes);
  client_observe (&conn->client, conn->bev);
  DL_APPEND (port->conns, conn);
  port->conn_count++;
  evtimer_add (conn->timer, &first);
  rpc_tune_socket (port, conn->bev);
  bufferevent_setcb (conn->bev, on_conn_input, on_conn_output, on_conn_event,
                     conn);
  bufferevent_set_timeouts (conn->bev, &idle, NULL);
  bufferevent_setwatermark (conn->bev, EV_READ, 0, RPC_READ_AHEAD_BYTES);
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
}

bool
rpc_server_open (struct rpc_port *port)
{
  struct sockaddr_storage address;
  int length = sizeof address;
  unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE;
  if (!address_parse (port->options.address, port->options.port, &address,
                      &length))
    return false;
  port->listener = evconnlistener_new_bind (
      port->events, on_accept, port, flags, LISTEN_BACKLOG,
      (struct sockaddr *)&address, length);
  if (port->listener == NULL)
    return false;
  port->resume_accept = evtimer_new (port->events, on_resume_accept, port);
  evconnlistener_set_error_cb (port->listener, on_accept_error);
  port->bound = address_bound_port (evconnlistener_get_fd (port->listener));
  return true;
}

/* Writes a reply to the connection that CALL arrived on.  */
static void
write_reply (struct rpc_port *port, struct rpc_incoming *call,
             const peer_message *message)
{
  struct rpc_conn *conn = call->conn;
  struct evbuffer *output = bufferevent_get_output (conn->bev);
  struct rpc_body body;
  if (!rpc_body_encode (&body, message,
                        port->options.message_limit_bytes
                            - RPC_HEADER_LIMIT_BYTES))
    {
      /* No error reply: it would mean that the call was not processed.  */
      rpc_count (port, "rpc_replies_too_large_total");
      return;
    }
  rpc_reply_write (output, port->secret, call->xid, SUCCESS, &body);
  free (body.data);
  report_to_budget (conn);
  if (evbuffer_get_length (output) > port->options.buffer_limit_bytes)
    event_active (conn->timer, EV_TIMEOUT, 0);
}

void
rpc_server_reply (struct rpc_port *port, uint64_t id,
                  const peer_message *message)
{
  struct rpc_incoming *call;
  HASH_FIND (hh, port->incoming, &id, sizeof id, call);
  if (call == NULL)
    return;
  if (call->conn != NULL)
    {
      DL_DELETE (call->conn->calls, call);
      call->conn->call_count--;
      write_reply (port, call, message);
    }
  else
    rpc_count (port, "rpc_replies_without_connection_total");
  HASH_DEL (port->incoming, call);
  client_room_release (&call->room);
  free (call);
}

void
rpc_server_close (struct rpc_port *port)
{
  struct rpc_conn *conn, *next_conn;
  struct rpc_incoming *call, *next_call;
  if (port->listener != NULL)
    {
      evconnlistener_free (port->listener);
      event_free (port->resume_accept);
    }
  DL_FOREACH_SAFE (port->conns, conn, next_conn) { conn_free (conn); }
  HASH_ITER (hh, port->incoming, call, next_call)
  {
    HASH_DEL (port->incoming, call);
    client_room_release (&call->room);
    free (call);
  }
}
