#include "cli/http_server.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/listener.h>
#include <utlist.h>

#include "kernel/mem.h"
#include "port/address.h"

#define LISTEN_BACKLOG 4096
#define SWEEPS_PER_LIMIT 16
#define ACCEPT_PAUSE_US 100000
#define BYTES_LIMIT_DEFAULT (64UL * 1024 * 1024)

/* An answer that is being sent.  */
struct sending
{
  struct http_server *server;
  struct evhttp_connection *connection;
  size_t bytes;
  clk_ms since_ms;
  struct sending *prev;
  struct sending *next;
};

struct http_server
{
  struct http_server_options options;
  struct event_base *base;
  struct evhttp *http;
  struct evhttp_bound_socket *bound;
  struct event *sweep;
  struct event *accept_again;
  struct sending *sendings; /* oldest first */
  size_t sending_count;
  size_t unsent_bytes;
  uint16_t port;
  bool close_kept;
};

static void
sending_free (struct sending *sending)
{
  struct http_server *server = sending->server;
  DL_DELETE (server->sendings, sending);
  server->sending_count--;
  server->unsent_bytes -= sending->bytes;
  free (sending);
}

static void
sent (struct evhttp_request *request, void *arg)
{
  struct sending *sending = arg;
  (void)request;
  evhttp_connection_set_closecb (sending->connection, NULL, NULL);
  sending_free (sending);
}

static void
closed (struct evhttp_connection *connection, void *arg)
{
  (void)connection;
  sending_free (arg);
}

/* Closes connections whose clients take their answer too slowly.  */
static void
sweep (evutil_socket_t fd, short what, void *arg)
{
  struct http_server *server = arg;
  struct sending *sending, *next;
  clk_ms now_ms = clk_now (server->options.clk);
  (void)fd;
  (void)what;
  DL_FOREACH_SAFE (server->sendings, sending, next)
  {
    if (now_ms - sending->since_ms < server->options.send_ms)
      break;
    evhttp_connection_free (sending->connection);
  }
}

static void
watch_sending (struct http_server *server, struct evhttp_request *request,
               size_t bytes)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request);
  if (connection == NULL)
    return;
  struct sending *sending = mem_zalloc (sizeof *sending);
  sending->server = server;
  sending->connection = connection;
  sending->bytes = bytes;
  sending->since_ms = clk_now (server->options.clk);
  DL_APPEND (server->sendings, sending);
  server->sending_count++;
  server->unsent_bytes += bytes;
  evhttp_connection_set_closecb (connection, closed, sending);
  evhttp_request_set_on_complete_cb (request, sent, sending);
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
  if (server->close_kept)
    evhttp_add_header (headers, "Connection", "close");
  evbuffer_add_reference (output, text, length, free_text, text);
  watch_sending (server, request, length);
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

/* Pauses when accept fails, as it does while descriptors are short.  */
static void
accept_failed (struct evconnlistener *listener, void *arg)
{
  struct http_server *server = arg;
  struct timeval pause = { .tv_usec = ACCEPT_PAUSE_US };
  evconnlistener_disable (listener);
  evtimer_add (server->accept_again, &pause);
}

static void
accept_again (evutil_socket_t fd, short what, void *arg)
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
  evconnlistener_set_error_cb (listener, accept_failed);
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
    server->options.unsent_limit_bytes = BYTES_LIMIT_DEFAULT;
  server->base = base;
  server->http = evhttp_new (base);
  server->sweep = event_new (base, -1, EV_PERSIST, sweep, server);
  server->accept_again = evtimer_new (base, accept_again, server);
  evhttp_set_timeout_tv (server->http, &idle);
  evhttp_set_max_body_size (server->http,
                            (ev_ssize_t)options->body_limit_bytes);
  evhttp_set_max_headers_size (server->http,
                               (ev_ssize_t)options->header_limit_bytes);
  event_add (server->sweep, &interval);
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
  event_free (server->sweep);
  event_free (server->accept_again);
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
http_server_close_kept (struct http_server *server)
{
  server->close_kept = true;
}

bool
http_server_overloaded (const struct http_server *server)
{
  return server->unsent_bytes > server->options.unsent_limit_bytes;
}

size_t
http_server_unsent_count (const struct http_server *server)
{
  return server->sending_count;
}
