/* http_client - one HTTP request from a command, answered or failed.

   Runs an event loop of its own until the answer is there, so it serves
   commands, not the host process.  */

#ifndef SAVORYWAY_CLI_HTTP_CLIENT_H
#define SAVORYWAY_CLI_HTTP_CLIENT_H

#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"

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
  const char *path; /* with the query; encoded by the caller */
  const char *user; /* for Authorization: Basic; NULL for none */
  const char *password;
  const struct http_client_header *headers;
  size_t header_count;
  const char *body; /* NULL for none */
  size_t body_bytes;
  clk_ms timeout_ms; /* 0 is 30 s */
};

struct http_client_response
{
  int status; /* HTTP status; 0 when there was no answer */
  char *body; /* NUL-terminated besides body_bytes; never NULL */
  size_t body_bytes;
  char *session;     /* header Savoryway-Session; NULL if absent */
  char *retry_after; /* header Retry-After; NULL if absent */
  char *error;       /* why there was no answer; NULL if there was one */
};

/* Sends REQUEST and waits for its answer.  Returns 0 if an answer came, of
   any HTTP status, and -1 if not.  ANSWER is to be cleared either way.  */
int http_client_call (const struct http_client_request *request,
                      struct http_client_response *answer);

void http_client_clear (struct http_client_response *answer);

/* Returns the value of an Authorization: Basic header; the caller frees
   it.  */
char *http_client_basic_auth (const char *user, const char *password);

#endif
