#include "cli/http_server.h"

#include <errno.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/listener.h>
#include <uthash.h>
#include <utlist.h>

#include "kernel/mem.h"
#include "port/address.h"

#define LISTEN_BACKLOG 4096 /* connections */

/* Checks for slow clients per send_ms, which bounds how late they are
   noticed.  */
#define SWEEPS_PER_LIMIT 16

/* Interval at which connections are reported to the budget.  */
#define CHECK_MS 250

/* Pause after accept has failed.  */
#define ACCEPT_PAUSE_US 100000

#define DEFAULT_UNSENT_LIMIT_BYTES (64UL * 1024 * 1024)

/* Input of a connection beyond its headers that is buffered.  evhttp takes
   bodies away as they arrive.  */
#define READ_AHEAD_BYTES ((size_t)8 * 1024)

/* A connection that is counted in the budget.  It keeps a reference to BEV,
   since evhttp does not report that it has freed a connection; the callbacks
   of BEV are then NULL.  */
struct http_conn
{
  struct http_server *server;
  struct client client;
  struct bufferevent *bev;
  struct evbuffer_cb_entry *observer; /* of the input */
  size_t taken_bytes;                 /* of the request, by evhttp */
  bool received;                      /* the whole request */
  UT_hash_handle hh;
};

/* A response that is being sent.  */
struct response
{
  struct http_server *server;
  struct evhttp_connection *connection;
  size_t bytes;
  clk_ms since_ms;
  struct response *prev;
  struct response *next;
};

struct http_server
{
  struct http_server_options options;
  struct event_base *base;
  struct evhttp *http;
  struct evhttp_bound_socket *bound;
  struct event *sweep_timer;
  struct event *resume_timer;   /* of accepting connections */
  struct event *check;          /* of connections to be closed */
  struct bufferevent **refused; /* new connections */
  size_t refused_count;
  struct http_conn *conns;    /* by bev */
  struct response *responses; /* oldest first */
  size_t response_count;
  size_t unsent_bytes;
  uint16_t port;
  bool keep_alive_disabled;
};

static void
conn_free (struct http_conn *conn)
{
  evbuffer_remove_cb_entry (bufferevent_get_input (conn->bev), conn->observer);
  client_remove (&conn->client);
  bufferevent_decref (conn->bev);
  HASH_DEL (conn->server->conns, conn);
  free (conn);
}

static bool
is_freed (const struct http_conn *conn)
{
  bufferevent_event_cb event;
  bufferevent_getcb (conn->bev, NULL, NULL, &event, NULL);
  return event == NULL;
}

/* Makes evhttp close the connection, as it does after its timeout.  */
static void
on_budget_close (struct client *client)
{
  struct http_conn *conn
      = (struct http_conn *)(void *)((char *)client
                                     - offsetof (struct http_conn, client));
  bufferevent_trigger_event (conn->bev, BEV_EVENT_READING | BEV_EVENT_TIMEOUT,
                             BEV_TRIG_IGNORE_WATERMARKS);
  conn_free (conn);
}

static const struct client_ops client_ops = { .close = on_budget_close };

/* Tells the budget what CONN waits for and what is held for it.  */
static void
report_to_budget (struct http_conn *conn)
{
  size_t input_bytes = evbuffer_get_length (bufferevent_get_input (conn->bev));
  enum client_state state
      = conn->client.state == CLIENT_NEW ? CLIENT_NEW : CLIENT_IDLE;
  if (evbuffer_get_length (bufferevent_get_output (conn->bev)) > 0)
    state = CLIENT_READING;
  else if (conn->received)
    state = CLIENT_SERVED;
  else if (conn->taken_bytes + input_bytes > 0)
    state = CLIENT_SENDING;
  client_set_state (&conn->client, state);
  client_hold (&conn->client, conn->taken_bytes);
}

/* Returns how much input is buffered; more than the headers that evhttp
   accepts, so that it can refuse them.  */
static size_t
ahead_bytes (const struct http_server *server)
{
  return server->options.header_limit_bytes + READ_AHEAD_BYTES;
}

/* Returns whether evhttp reads a request of CONN and does not take what is
   buffered.  It sets no limit to the line with the size of a chunk.  */
static bool
is_stuck (const struct http_conn *conn)
{
  return !conn->received && conn->client.state != CLIENT_READING
         && evbuffer_get_length (bufferevent_get_input (conn->bev))
                >= ahead_bytes (conn->server);
}

/* Counts what evhttp takes from the input.  */
static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *arg)
{
  struct http_conn *conn = arg;
  conn->taken_bytes += info->n_deleted;
  if (evbuffer_get_length (buffer) >= ahead_bytes (conn->server))
    event_active (conn->server->check, EV_TIMEOUT, 0);
}

/* Releases connections that evhttp has freed, and reports the others.  */
static void
check_conns (struct http_server *server)
{
  struct http_conn *conn, *next;
  HASH_ITER (hh, server->conns, conn, next)
  {
    if (is_freed (conn))
      conn_free (conn);
    else if (is_stuck (conn))
      on_budget_close (&conn->client);
    else
      report_to_budget (conn);
  }
}

/* Closes the connections that were refused.  evhttp offers no way to refuse
   them before they are set up.  */
static void
close_refused (struct http_server *server)
{
  while (server->refused_count > 0)
    {
      struct bufferevent *bev = server->refused[--server->refused_count];
      bufferevent_trigger_event (bev, BEV_EVENT_READING | BEV_EVENT_TIMEOUT,
                                 BEV_TRIG_IGNORE_WATERMARKS);
      bufferevent_decref (bev);
    }
}

static void
on_check (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  close_refused (arg);
  check_conns (arg);
}

static void
refuse_later (struct http_server *server, struct bufferevent *bev)
{
  server->refused = mem_resize (
      server->refused, (server->refused_count + 1) * sizeof *server->refused);
  bufferevent_incref (bev);
  server->refused[server->refused_count++] = bev;
  event_active (server->check, EV_TIMEOUT, 0);
}

/* Returns the bufferevent of a new connection.  */
static struct bufferevent *
on_connection (struct event_base *base, void *arg)
{
  struct http_server *server = arg;
  struct http_conn *conn = mem_zalloc (sizeof *conn);
  check_conns (server);
  conn->server = server;
  conn->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  if (!client_add (server->options.budget, &conn->client,
                   server->options.interface, &client_ops))
    {
      struct bufferevent *bev = conn->bev;
      free (conn);
      refuse_later (server, bev);
      return bev;
    }
  client_observe (&conn->client, conn->bev);
  conn->observer
      = evbuffer_add_cb (bufferevent_get_input (conn->bev), on_input, conn);
  bufferevent_incref (conn->bev);
  bufferevent_setwatermark (conn->bev, EV_READ, 0, ahead_bytes (server));
  HASH_ADD_PTR (server->conns, bev, conn);
  return conn->bev;
}

static struct http_conn *
find_conn (struct http_server *server, struct evhttp_request *request)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request);
  struct http_conn *conn = NULL;
  if (connection == NULL)
    return NULL;
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  HASH_FIND_PTR (server->conns, &bev, conn);
  return conn;
}

bool
http_server_uri_has_zero (const struct evhttp_request *request)
{
  return strstr (evhttp_request_get_uri (request), "%00") != NULL;
}

void
http_server_received (struct http_server *server,
                      struct evhttp_request *request)
{
  struct http_conn *conn = find_conn (server, request);
  if (conn == NULL)
    return;
  conn->received = true;
  report_to_budget (conn);
}

/* The response to the request of CONN begins.  */
static void
end_request (struct http_server *server, struct evhttp_request *request)
{
  struct http_conn *conn = find_conn (server, request);
  if (conn == NULL)
    return;
  conn->received = false;
  conn->taken_bytes = 0;
  client_set_state (&conn->client, CLIENT_READING);
  client_hold (&conn->client, 0);
}

static void
response_free (struct response *response)
{
  struct http_server *server = response->server;
  DL_DELETE (server->responses, response);
  server->response_count--;
  server->unsent_bytes -= response->bytes;
  free (response);
}

static void
on_sent (struct evhttp_request *request, void *arg)
{
  struct response *response = arg;
  (void)request;
  evhttp_connection_set_closecb (response->connection, NULL, NULL);
  response_free (response);
}

static void
on_closed (struct evhttp_connection *connection, void *arg)
{
  (void)connection;
  response_free (arg);
}

/* Closes the connections whose response was not sent within send_ms.  */
static void
close_slow_clients (evutil_socket_t fd, short what, void *arg)
{
  struct http_server *server = arg;
  struct response *response, *next;
  clk_ms now_ms = clk_now (server->options.clk);
  (void)fd;
  (void)what;
  check_conns (server);
  DL_FOREACH_SAFE (server->responses, response, next)
  {
    if (now_ms - response->since_ms < server->options.send_ms)
      break;
    evhttp_connection_free (response->connection);
  }
}

static void
track_response (struct http_server *server, struct evhttp_request *request,
                size_t bytes)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request);
  if (connection == NULL)
    return;
  struct response *response = mem_zalloc (sizeof *response);
  response->server = server;
  response->connection = connection;
  response->bytes = bytes;
  response->since_ms = clk_now (server->options.clk);
  DL_APPEND (server->responses, response);
  server->response_count++;
  server->unsent_bytes += bytes;
  evhttp_connection_set_closecb (connection, on_closed, response);
  evhttp_request_set_on_complete_cb (request, on_sent, response);
}

static void
free_text (const void *data, size_t length, void *extra)
{
  (void)data;
  (void)length;
  free (extra);
}

void
http_server_reply (struct http_server *server, struct evhttp_request *request,
                   int status, const char *type, char *text)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  struct evbuffer *output = evhttp_request_get_output_buffer (request);
  size_t length = strlen (text);
  evhttp_add_header (headers, "Content-Type", type);
  if (server->keep_alive_disabled)
    evhttp_add_header (headers, "Connection", "close");
  evbuffer_add_reference (output, text, length, free_text, text);
  track_response (server, request, length);
  end_request (server, request);
  evhttp_send_reply (request, status, NULL, NULL);
}

void
http_server_reply_json (struct http_server *server,
                        struct evhttp_request *request, int status,
                        json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);
  json_decref (value);
  if (text == NULL)
    text = mem_strdup ("{}");
  http_server_reply (server, request, status, "application/json", text);
}

/* Pauses accepting: accept fails repeatedly while the process is out of file
   descriptors.  */
static void
on_accept_error (struct evconnlistener *listener, void *arg)
{
  struct http_server *server = arg;
  struct timeval pause = { .tv_usec = ACCEPT_PAUSE_US };
  evconnlistener_disable (listener);
  evtimer_add (server->resume_timer, &pause);
}

static void
resume_accept (evutil_socket_t fd, short what, void *arg)
{
  struct http_server *server = arg;
  (void)fd;
  (void)what;
  if (server->bound != NULL)
    evconnlistener_enable (evhttp_bound_socket_get_listener (server->bound));
}

static bool
server_listen (struct http_server *server)
{
  struct sockaddr_storage address;
  const struct http_server_options *options = &server->options;
  int length;
  if (!address_parse (options->address, options->port, &address, &length))
    return false;
  struct evconnlistener *listener = evconnlistener_new_bind (
      server->base, NULL, NULL, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      LISTEN_BACKLOG, (struct sockaddr *)&address, length);
  if (listener == NULL)
    return false;
  server->bound = evhttp_bind_listener (server->http, listener);
  if (server->bound == NULL)
    {
      evconnlistener_free (listener);
      return false;
    }
  evconnlistener_set_error_cb (listener, on_accept_error);
  server->port = address_bound_port (evconnlistener_get_fd (listener));
  return true;
}

struct http_server *
http_server_new (struct event_base *base,
                 const struct http_server_options *options)
{
  struct http_server *server = mem_zalloc (sizeof *server);
  clk_ms interval_ms = 1 + options->send_ms / SWEEPS_PER_LIMIT;
  if (options->budget != NULL && interval_ms > CHECK_MS)
    interval_ms = CHECK_MS;
  struct timeval interval
      = { .tv_sec = interval_ms / 1000, .tv_usec = interval_ms % 1000 * 1000 };
  struct timeval idle = { .tv_sec = options->idle_ms / 1000,
                          .tv_usec = options->idle_ms % 1000 * 1000 };
  server->options = *options;
  if (server->options.unsent_limit_bytes == 0)
    server->options.unsent_limit_bytes = DEFAULT_UNSENT_LIMIT_BYTES;
  server->base = base;
  server->http = evhttp_new (base);
  server->sweep_timer
      = event_new (base, -1, EV_PERSIST, close_slow_clients, server);
  server->resume_timer = evtimer_new (base, resume_accept, server);
  server->check = event_new (base, -1, 0, on_check, server);
  if (options->budget != NULL)
    evhttp_set_bevcb (server->http, on_connection, server);
  evhttp_set_timeout_tv (server->http, &idle);
  evhttp_set_max_body_size (server->http,
                            (ev_ssize_t)options->body_limit_bytes);
  evhttp_set_max_headers_size (server->http,
                               (ev_ssize_t)options->header_limit_bytes);
  event_add (server->sweep_timer, &interval);
  if (server_listen (server))
    return server;
  int error = errno;
  http_server_free (server);
  errno = error;
  return NULL;
}

void
http_server_free (struct http_server *server)
{
  if (server == NULL)
    return;
  close_refused (server);
  evhttp_free (server->http);
  while (server->conns != NULL)
    conn_free (server->conns);
  event_free (server->sweep_timer);
  event_free (server->resume_timer);
  event_free (server->check);
  free (server->refused);
  free (server);
}

struct evhttp *
http_server_evhttp (struct http_server *server)
{
  return server->http;
}

uint16_t
http_server_port (const struct http_server *server)
{
  return server->port;
}

void
http_server_disable_keep_alive (struct http_server *server)
{
  server->keep_alive_disabled = true;
}

bool
http_server_overloaded (const struct http_server *server)
{
  return server->unsent_bytes > server->options.unsent_limit_bytes;
}

size_t
http_server_unsent_count (const struct http_server *server)
{
  return server->response_count;
}
