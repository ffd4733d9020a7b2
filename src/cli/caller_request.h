/* caller_request - parses a caller's HTTP request into an entry_request.

   Independent of the HTTP library's connections: takes the parts of a request
   as strings, and returns either a request for the entry or an error with an
   HTTP status.  */

#ifndef SAVORYWAY_CLI_CALLER_REQUEST_H
#define SAVORYWAY_CLI_CALLER_REQUEST_H

#include <jansson.h>

#include "core/entry.h"
#include "core/view.h"

/* Maximum number of parameters of a statement.  */
#define CALLER_PARAM_LIMIT 256UL

/* Parts of the HTTP request.  Strings may be NULL, except method and path.  */
struct caller_input
{
  const char *method;        /* "GET", "POST" or another */
  const char *path;          /* decoded, without the query */
  const char *query;         /* encoded, without '?' */
  const char *authorization; /* header Authorization */
  const char *session;       /* header Savoryway-Session */
  const char *request_id;    /* header Savoryway-Request-Id */
  const char *body;          /* not NUL-terminated */
  size_t body_bytes;
};

/* A parsed request.  Owns most strings of entry; its token and the request id
   of a header are borrowed from the input.  */
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

/* Reason for rejecting a request.  */
struct caller_request_error
{
  int status;       /* HTTP status, 4xx */
  const char *code; /* such as "bad_request"; static */
  struct findings findings;
};

/* Parses INPUT.  Returns false with ERROR set if it is malformed.  Call
   caller_request_clear on REQUEST in either case.  */
bool caller_request_read (struct caller_request *request,
                          const struct caller_input *input,
                          struct caller_request_error *error);

/* Frees what REQUEST owns.  */
void caller_request_clear (struct caller_request *request);

/* Returns the JSON text of ERROR, which the caller frees, and clears its
   findings.  */
char *caller_request_error_print (struct caller_request_error *error);

#endif
