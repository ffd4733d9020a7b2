#include "cli/http_failover.h"

#include <stdlib.h>

#include <event2/buffer.h>
#include <utlist.h>

#include "kernel/mem.h"

/* A request that waits for the result of failover.  */
struct pending
{
  struct http_failover *http;
  struct evhttp_request *request;
  struct pending *prev;
  struct pending *next;
};

struct http_failover
{
  struct http_server *server;
  struct failover *failover;
  struct pending *requests;
};

static void
reply_error (struct http_failover *http, struct evhttp_request *request,
             int status, const char *text)
{
  http_server_reply_json (http->server, request, status,
                          json_pack ("{s:{s:s}}", "error", "text", text));
}

static void
get_status (struct evhttp_request *request, void *arg)
{
  struct http_failover *http = arg;
  if (evhttp_request_get_command (request) != EVHTTP_REQ_GET)
    reply_error (http, request, 405, "method not allowed");
  else
    http_server_reply (http->server, request, 200, "application/json",
                       failover_status (http->failover));
}

static void
on_done (void *arg, bool ok, const char *message)
{
  struct pending *pending = arg;
  struct http_failover *http = pending->http;
  struct evhttp_request *request = pending->request;
  DL_DELETE (http->requests, pending);
  free (pending);
  if (ok)
    http_server_reply_json (http->server, request, 200,
                            json_pack ("{s:b}", "done", 1));
  else
    reply_error (http, request, 409, message);
}

static struct pending *
pending_new (struct http_failover *http, struct evhttp_request *request)
{
  struct pending *pending = mem_zalloc (sizeof *pending);
  pending->http = http;
  pending->request = request;
  DL_APPEND (http->requests, pending);
  http_server_received (http->server, request);
  return pending;
}

/* Returns the JSON body of a POST and sets DATABASE to its member "database".
   Returns NULL after an error reply.  */
static json_t *
read_body (struct http_failover *http, struct evhttp_request *request,
           const char **database)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t length = evbuffer_get_length (input);
  if (evhttp_request_get_command (request) != EVHTTP_REQ_POST)
    {
      reply_error (http, request, 405, "method not allowed");
      return NULL;
    }
  const char *text = (const char *)evbuffer_pullup (input, -1);
  json_t *body = json_loadb (text != NULL ? text : "", length,
                             JSON_REJECT_DUPLICATES, NULL);
  *database = json_string_value (json_object_get (body, "database"));
  if (*database != NULL)
    return body;
  reply_error (http, request, 400, "database is required");
  json_decref (body);
  return NULL;
}

static void
post_switch_over (struct evhttp_request *request, void *arg)
{
  struct http_failover *http = arg;
  const char *database;
  json_t *body = read_body (http, request, &database);
  if (body == NULL)
    return;
  json_t *target = json_object_get (body, "target");
  if (target != NULL && !json_is_string (target))
    reply_error (http, request, 400, "target must be a string");
  else
    failover_switch_over (http->failover, database, json_string_value (target),
                          on_done, pending_new (http, request));
  json_decref (body);
}

static void
post_hold (struct evhttp_request *request, void *arg)
{
  struct http_failover *http = arg;
  const char *database;
  json_t *body = read_body (http, request, &database);
  if (body == NULL)
    return;
  json_t *hold = json_object_get (body, "hold");
  if (!json_is_boolean (hold))
    reply_error (http, request, 400, "hold must be true or false");
  else
    failover_set_hold (http->failover, database, json_is_true (hold), on_done,
                       pending_new (http, request));
  json_decref (body);
}

struct http_failover *
http_failover_new (struct http_server *server, struct failover *failover)
{
  struct http_failover *http = mem_zalloc (sizeof *http);
  struct evhttp *evhttp = http_server_evhttp (server);
  http->server = server;
  http->failover = failover;
  evhttp_set_cb (evhttp, "/v1/failover", get_status, http);
  evhttp_set_cb (evhttp, "/v1/failover/order", post_switch_over, http);
  evhttp_set_cb (evhttp, "/v1/failover/hold", post_hold, http);
  return http;
}

void
http_failover_free (struct http_failover *http)
{
  struct pending *pending, *next;
  if (http == NULL)
    return;
  DL_FOREACH_SAFE (http->requests, pending, next)
  {
    DL_DELETE (http->requests, pending);
    free (pending);
  }
  free (http);
}
