#include "cli/http_client.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sodium.h>

#include "cli/event_loop.h"
#include "kernel/mem.h"

#define DEFAULT_TIMEOUT_MS 30000

/* State of one call.  */
struct exchange
{
  struct event_base *base;
  struct http_client_response *response;
  const char *failure; /* reported if no response arrives */
};

char *
http_client_basic_auth (const char *user, const char *password)
{
  char *plain = mem_printf ("%s:%s", user, password != NULL ? password : "");
  size_t length = strlen (plain);
  size_t encoded_bytes
      = sodium_base64_encoded_len (length, sodium_base64_VARIANT_ORIGINAL);
  char *encoded = mem_zalloc (encoded_bytes);
  sodium_bin2base64 (encoded, encoded_bytes, (const unsigned char *)plain,
                     length, sodium_base64_VARIANT_ORIGINAL);
  char *value = mem_printf ("Basic %s", encoded);
  sodium_memzero (plain, length);
  free (plain);
  free (encoded);
  return value;
}

static enum evhttp_cmd_type
method_type (const char *method)
{
  if (method == NULL || strcmp (method, "GET") == 0)
    return EVHTTP_REQ_GET;
  if (strcmp (method, "PUT") == 0)
    return EVHTTP_REQ_PUT;
  if (strcmp (method, "DELETE") == 0)
    return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_POST;
}

static void
on_error (enum evhttp_request_error error, void *arg)
{
  static const char *const names[] = {
    [EVREQ_HTTP_TIMEOUT] = "no answer in time",
    [EVREQ_HTTP_EOF] = "connection closed without an answer",
    [EVREQ_HTTP_INVALID_HEADER] = "malformed answer",
    [EVREQ_HTTP_BUFFER_ERROR] = "connection failed",
    [EVREQ_HTTP_REQUEST_CANCEL] = "cancelled",
    [EVREQ_HTTP_DATA_TOO_LONG] = "answer too large",
  };
  struct exchange *exchange = arg;
  if ((size_t)error < sizeof names / sizeof names[0])
    exchange->failure = names[error];
}

static void
on_response (struct evhttp_request *request, void *arg)
{
  struct exchange *exchange = arg;
  struct http_client_response *response = exchange->response;
  event_base_loopbreak (exchange->base);
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    return;
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  response->status = evhttp_request_get_response_code (request);
  response->session
      = mem_strdup (evhttp_find_header (headers, "Savoryway-Session"));
  response->retry_after
      = mem_strdup (evhttp_find_header (headers, "Retry-After"));
  response->body_bytes = evbuffer_get_length (input);
  free (response->body);
  response->body = mem_zalloc (response->body_bytes + 1);
  evbuffer_remove (input, response->body, response->body_bytes);
}

static void
add_headers (struct evhttp_request *request,
             const struct http_client_request *spec)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char *host = mem_printf ("%s:%u", spec->address, (unsigned)spec->port);
  evhttp_add_header (headers, "Host", host);
  evhttp_add_header (headers, "Connection", "close");
  free (host);
  if (spec->body != NULL)
    evhttp_add_header (headers, "Content-Type", "application/json");
  if (spec->user != NULL)
    {
      char *value = http_client_basic_auth (spec->user, spec->password);
      evhttp_add_header (headers, "Authorization", value);
      free (value);
    }
  for (size_t i = 0; i < spec->header_count; i++)
    evhttp_add_header (headers, spec->headers[i].name, spec->headers[i].value);
}

/* Sends the request and runs the loop until it completes or fails.  */
static void
exchange_run (struct exchange *exchange, struct evhttp_connection *connection,
              const struct http_client_request *spec)
{
  clk_ms timeout_ms
      = spec->timeout_ms > 0 ? spec->timeout_ms : DEFAULT_TIMEOUT_MS;
  struct timeval timeout
      = { .tv_sec = timeout_ms / 1000, .tv_usec = timeout_ms % 1000 * 1000 };
  evhttp_connection_set_timeout_tv (connection, &timeout);
  evhttp_connection_set_max_body_size (connection,
                                       HTTP_CLIENT_BODY_LIMIT_BYTES);
  struct evhttp_request *request = evhttp_request_new (on_response, exchange);
  if (request == NULL)
    return;
  evhttp_request_set_error_cb (request, on_error);
  add_headers (request, spec);
  if (spec->body != NULL)
    evbuffer_add (evhttp_request_get_output_buffer (request), spec->body,
                  spec->body_bytes);
  const char *path = spec->path != NULL ? spec->path : "/";
  if (evhttp_make_request (connection, request, method_type (spec->method),
                           path)
      == 0)
    event_base_dispatch (exchange->base);
}

int
http_client_call (const struct http_client_request *request,
                  struct http_client_response *response)
{
  struct exchange exchange
      = { .response = response, .failure = "connection failed" };
  struct evhttp_connection *connection = NULL;
  memset (response, 0, sizeof *response);
  response->body = mem_strdup ("");
  exchange.base = event_loop_base_new ();
  if (exchange.base == NULL)
    goto out;
  connection = evhttp_connection_base_new (exchange.base, NULL,
                                           request->address, request->port);
  if (connection == NULL)
    goto out;
  exchange_run (&exchange, connection, request);
out:
  if (connection != NULL)
    evhttp_connection_free (connection);
  if (exchange.base != NULL)
    event_base_free (exchange.base);
  if (response->status != 0)
    return 0;
  response->error = mem_printf ("%s:%u: %s", request->address,
                                (unsigned)request->port, exchange.failure);
  return -1;
}

void
http_client_response_clear (struct http_client_response *response)
{
  free (response->body);
  free (response->session);
  free (response->retry_after);
  free (response->error);
  memset (response, 0, sizeof *response);
}
