#include "cli/http_server.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/listener.h>
#include <utlist.h>

#include "kernel/mem.h"
#include "port/address.h"

#define LISTEN_BACKLOG 4096 /* connections */

/* Checks for slow clients per send_ms, which bounds how late they are
   noticed.  */
#define SWEEPS_PER_LIMIT 16

/* Pause after accept has failed.  */
#define ACCEPT_PAUSE_US 100000

#define DEFAULT_UNSENT_LIMIT_BYTES (64UL * 1024 * 1024)

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
  struct event *resume_timer; /* of accepting connections */
  struct response *responses; /* oldest first */
  size_t response_count;
  size_t unsent_bytes;
  uint16_t port;
  bool keep_alive_disabled;
};

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
  evhttp_free (server->http);
  event_free (server->sweep_timer);
  event_free (server->resume_timer);
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
