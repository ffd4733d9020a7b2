/* http_caller - the callers' HTTP API; see docs/API.md.

   Parses each request, submits it to the entry and sends the entry's answer
   as the response.  If a caller disconnects, its request still runs to
   completion and only the response is dropped.  */

#ifndef SAVORYWAY_CLI_HTTP_CALLER_H
#define SAVORYWAY_CLI_HTTP_CALLER_H

#include "cli/http_server.h"
#include "core/entry.h"
#include "kernel/metrics.h"

struct http_caller;

struct http_caller_options
{
  struct http_server *server; /* listener whose requests are handled */
  struct entry *entry;
  /* Submits a request to the entry: entry_submit, or a test's stub.  */
  void (*submit) (struct entry *entry, const struct entry_request *request,
                  entry_done done, void *arg);
  struct metrics *metrics; /* may be NULL */
};

struct http_caller *
http_caller_new (const struct http_caller_options *options);

/* Drops the pending requests.  Must be called after the entry is freed, which
   may call back until then, and before the server is freed.  */
void http_caller_free (struct http_caller *caller);

/* Returns the number of requests without an answer.  */
size_t http_caller_pending (const struct http_caller *caller);

#endif
