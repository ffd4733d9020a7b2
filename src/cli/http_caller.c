#include "cli/http_caller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <utlist.h>

#include "cli/caller_answer.h"
#include "cli/caller_request.h"
#include "kernel/mem.h"

#define JSON_TYPE "application/json"

/* A request submitted to the entry.  evhttp keeps REQUEST valid until its
   reply, even if the connection closes earlier.  */
struct pending
{
  struct http_caller *caller;
  struct evhttp_request *request;
  struct pending *prev;
  struct pending *next;
};

struct http_caller
{
  struct http_caller_options options;
  struct pending *pending;
  size_t pending_count;
};

static void
count_response (struct http_caller *caller, int status)
{
  char name[64];
  if (caller->options.metrics == NULL)
    return;
  snprintf (name, sizeof name, "caller_answers_total{status=\"%d\"}", status);
  metrics_increment (caller->options.metrics, name);
}

static void
pending_free (struct pending *pending)
{
  struct http_caller *caller = pending->caller;
  DL_DELETE (caller->pending, pending);
  caller->pending_count--;
  free (pending);
}

static void
add_answer_headers (struct evhttp_request *request,
                    const struct entry_answer *answer)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  int64_t retry_s = caller_answer_retry_after_s (answer);
  if (answer->token != NULL)
    evhttp_add_header (headers, "Savoryway-Session", answer->token);
  if (answer->request_id != NULL)
    evhttp_add_header (headers, "Savoryway-Request-Id", answer->request_id);
  if (retry_s > 0)
    {
      char text[32];
      snprintf (text, sizeof text, "%lld", (long long)retry_s);
      evhttp_add_header (headers, "Retry-After", text);
    }
}

static void
on_answer (void *arg, const struct entry_answer *answer)
{
  struct pending *pending = arg;
  struct http_caller *caller = pending->caller;
  struct evhttp_request *request = pending->request;
  int status = caller_answer_status (answer);
  pending_free (pending);
  count_response (caller, status);
  add_answer_headers (request, answer);
  http_server_reply (caller->options.server, request, status, JSON_TYPE,
                     caller_answer_print (answer));
}

static const char *
method_name (struct evhttp_request *request)
{
  switch (evhttp_request_get_command (request))
    {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    default:
      return "other";
    }
}

static void
refuse (struct http_caller *caller, struct evhttp_request *request,
        struct caller_request_error *error)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  if (error->status == 401)
    evhttp_add_header (headers, "WWW-Authenticate",
                       "Basic realm=\"savoryway\"");
  if (error->status == 405)
    evhttp_add_header (headers, "Allow", error->findings.items[0].text);
  count_response (caller, error->status);
  http_server_reply (caller->options.server, request, error->status, JSON_TYPE,
                     caller_request_error_print (error));
}

static void
refuse_overload (struct http_caller *caller, struct evhttp_request *request)
{
  struct entry_answer answer
      = { .outcome = OUTCOME_NOT_RUN, .reason = REASON_OVERLOAD };
  add_answer_headers (request, &answer);
  count_response (caller, 503);
  http_server_reply (caller->options.server, request, 503, JSON_TYPE,
                     caller_answer_print (&answer));
}

static void
submit (struct http_caller *caller, struct evhttp_request *request,
        const struct entry_request *entry)
{
  struct pending *pending = mem_zalloc (sizeof *pending);
  pending->caller = caller;
  pending->request = request;
  DL_APPEND (caller->pending, pending);
  caller->pending_count++;
  http_server_received (caller->options.server, request);
  caller->options.submit (caller->options.entry, entry, on_answer, pending);
}

static void
fill_input (struct caller_input *input, struct evhttp_request *request,
            const char *path)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  input->method = method_name (request);
  input->path = path;
  input->query = evhttp_uri_get_query (uri);
  input->authorization = evhttp_find_header (headers, "Authorization");
  input->session = evhttp_find_header (headers, "Savoryway-Session");
  input->request_id = evhttp_find_header (headers, "Savoryway-Request-Id");
  input->body_bytes = evbuffer_get_length (body);
  input->body = (const char *)evbuffer_pullup (body, -1);
}

static void
handle (struct evhttp_request *request, void *arg)
{
  struct http_caller *caller = arg;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  struct caller_input input = { 0 };
  struct caller_request parsed;
  struct caller_request_error error;
  if (uri == NULL || http_server_uri_has_zero (request))
    {
      evhttp_send_error (request, 400, NULL);
      return;
    }
  if (http_server_overloaded (caller->options.server))
    {
      refuse_overload (caller, request);
      return;
    }
  const char *encoded = evhttp_uri_get_path (uri);
  char *path = evhttp_uridecode (encoded != NULL ? encoded : "", 0, NULL);
  fill_input (&input, request, path != NULL ? path : "");
  if (caller_request_read (&parsed, &input, &error))
    submit (caller, request, &parsed.entry);
  else
    refuse (caller, request, &error);
  caller_request_clear (&parsed);
  free (path);
}

struct http_caller *
http_caller_new (const struct http_caller_options *options)
{
  struct http_caller *caller = mem_zalloc (sizeof *caller);
  struct evhttp *http = http_server_evhttp (options->server);
  caller->options = *options;
  evhttp_set_allowed_methods (http, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                        | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
                                        | EVHTTP_REQ_HEAD);
  evhttp_set_gencb (http, handle, caller);
  return caller;
}

void
http_caller_free (struct http_caller *caller)
{
  struct pending *pending, *next;
  if (caller == NULL)
    return;
  DL_FOREACH_SAFE (caller->pending, pending, next) { pending_free (pending); }
  free (caller);
}

size_t
http_caller_pending (const struct http_caller *caller)
{
  return caller->pending_count;
}
