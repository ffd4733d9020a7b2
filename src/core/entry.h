/* entry - accepts callers' requests and answers each exactly once.

   The host that receives a request from a caller is its entry host.  It
   checks the caller, determines the kind, session and deadline, selects an
   instance with the router and forwards the request to a gateway of that
   instance.  Within the deadline, a refused read is sent to another instance,
   a write or strong read is held while no primary can serve it, and a read or
   a repeatable write of unknown outcome is retried.  Retries after a backoff
   are limited by a budget.  If the answer to any other write is lost, its
   outcome is looked up in the ledger of the database.

   Module name: "entry".  */

#ifndef SAVORYWAY_CORE_ENTRY_H
#define SAVORYWAY_CORE_ENTRY_H

#include <stddef.h>

#include "core/types.h"
#include "kernel/kernel.h"

/* Buffer size for a session token, with its NUL.  */
#define TOKEN_LIMIT_BYTES 2048

enum entry_action
{
  ENTRY_STATEMENT, /* one statement in its own transaction */
  ENTRY_BEGIN,
  ENTRY_EXECUTE, /* a statement inside an open transaction */
  ENTRY_COMMIT,
  ENTRY_ROLLBACK,
  ENTRY_LOOKUP /* outcome of an earlier request id; runs no statement */
};

/* Strings may be NULL where a default exists.  They are copied by
   entry_submit.  */
struct entry_request
{
  enum entry_action action;
  const char *service; /* "TEAM/SERVICE" */
  const char *caller;  /* name and secret, must be listed in the service */
  const char *secret;
  const char *database; /* last part of its name; NULL if there is one only */
  const char *kind;     /* NULL: defaults of an undeclared kind */
  const char *statement;
  size_t param_count;
  const char *const *params;
  const char *request_id;  /* NULL: generated; returned in the answer */
  const char *token;       /* session token; NULL starts a session */
  const char *transaction; /* handle returned for ENTRY_BEGIN */
  clk_ms deadline_ms;      /* from now; 0 uses that of the kind */
  bool retry; /* an earlier request with this id may have run, so a refusal
                 alone does not prove OUTCOME_NOT_RUN */
};

/* Answer to a request; its strings are valid only during the callback.  */
struct entry_answer
{
  enum outcome outcome;
  enum reason reason;
  const char *request_id;
  const char *token; /* for the next request of the session.  NULL if the
                        request was refused before its token was read; the
                        earlier token stays valid */
  const char *transaction;
  const char *payload; /* JSON result; NULL if none */
  size_t payload_bytes;
  const char *sqlstate;
  const char *message;
  clk_ms retry_after_ms;
  const char *served_by; /* instance, for diagnosis; may be NULL */
};

typedef void (*entry_done) (void *arg, const struct entry_answer *answer);

struct entry;

struct entry_options
{
  const uint8_t *token_key; /* TOKEN_KEY_BYTES, see session.h */
  uint32_t max_requests;    /* limit of requests in flight on this host */
};

struct entry *entry_new (const struct entry_options *options);
struct module *entry_module (struct entry *entry);

/* Submits REQUEST.  Calls DONE exactly once, after this function has
   returned.  */
void entry_submit (struct entry *entry, const struct entry_request *request,
                   entry_done done, void *arg);

/* Refuses new requests from now on, with OUTCOME_NOT_RUN and REASON_DRAINING.
   Requests of open transactions are still accepted.  */
void entry_drain (struct entry *entry);

/* Returns the number of requests in flight plus that of open transactions
   this host sends heartbeats for.  */
size_t entry_in_flight (const struct entry *entry);

/* Returns a JSON description of how REQUEST would be routed, with the rating
   of each instance.  Runs nothing and checks no caller's secret.  The string
   is freed with free.  */
char *entry_explain (struct entry *entry, const struct entry_request *request);

#endif
