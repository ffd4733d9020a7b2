/* http_client - blocking HTTP client for the subcommands.

   Each call opens a connection, sends one request and runs an event loop of
   its own until the response arrives or the call fails.  The host process
   must not use it, since it would block there.  */

#ifndef SAVORYWAY_CLI_HTTP_CLIENT_H
#define SAVORYWAY_CLI_HTTP_CLIENT_H

#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"

/* Limit of the body of a response.  */
#define HTTP_CLIENT_BODY_LIMIT_BYTES (32L * 1024 * 1024)

struct http_client_header
{
  const char *name;
  const char *value;
};

struct http_client_request
{
  const char *method;  /* GET, POST, PUT or DELETE; NULL is GET */
  const char *address; /* IP number */
  uint16_t port;
  const char *path; /* with the query, percent-encoded; NULL is "/" */
  const char *user; /* for Basic authentication; NULL for none */
  const char *password;
  const struct http_client_header *headers;
  size_t header_count;
  const char *body; /* NULL for none */
  size_t body_bytes;
  clk_ms timeout_ms; /* 0 is the default of 30 s */
};

struct http_client_response
{
  int status; /* HTTP status; 0 if there was no response */
  char *body; /* NUL-terminated, which body_bytes excludes; never NULL */
  size_t body_bytes;
  char *session;     /* header Savoryway-Session; NULL if absent */
  char *retry_after; /* header Retry-After; NULL if absent */
  char *error;       /* reason if there was no response, else NULL */
};

/* Sends REQUEST and waits for the response.  Returns 0 if one was received,
   whatever its HTTP status, else -1.  Call http_client_response_clear on
   RESPONSE in either case.  */
int http_client_call (const struct http_client_request *request,
                      struct http_client_response *response);

/* Frees the strings of RESPONSE.  */
void http_client_response_clear (struct http_client_response *response);

/* Returns the value of an Authorization header with Basic credentials; the
   caller frees it.  PASSWORD may be NULL.  */
char *http_client_basic_auth (const char *user, const char *password);

#endif
