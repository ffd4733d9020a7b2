/* caller_request - reads a caller's HTTP request into an entry_request.

   Knows nothing of sockets: it gets the parts of the request and returns
   either a request for the entry or a fault with an HTTP status.  */

#ifndef SAVORYWAY_CLI_CALLER_REQUEST_H
#define SAVORYWAY_CLI_CALLER_REQUEST_H

#include <jansson.h>

#include "core/entry.h"
#include "core/view.h"

#define CALLER_PARAM_LIMIT 256UL

/* What came over HTTP; strings may be NULL.  */
struct caller_input
{
  const char *method; /* "GET", "POST" or another */
  const char *path;   /* decoded, without the query */
  const char *query;  /* encoded, without '?' */
  const char *authorization;
  const char *session;
  const char *request_id;
  const char *body; /* not NUL-terminated */
  size_t body_bytes;
};

/* A request read; owns what ENTRY points to.  */
struct caller_request
{
  struct entry_request entry;
  json_t *body;
  char *credentials; /* "NAME\0SECRET" */
  char *transaction;
  char *request_id;
  char *service;
  char *database;
  char *params[CALLER_PARAM_LIMIT];
};

/* Why a request could not be read.  */
struct caller_request_error
{
  int status; /* HTTP status, 4xx */
  const char *code;
  struct findings findings;
};

/* Reads INPUT.  Returns false with FAULT set if it is malformed.  REQUEST
   is to be cleared either way.  */
bool caller_request_read (struct caller_request *request,
                          const struct caller_input *input,
                          struct caller_request_error *fault);
void caller_request_clear (struct caller_request *request);

/* Returns the JSON text of FAULT, to be freed, and clears its findings.  */
char *caller_request_error_print (struct caller_request_error *fault);

#endif
