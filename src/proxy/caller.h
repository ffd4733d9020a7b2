/* caller - sessions of callers.

   A session holds a caller's transaction, session values and prepared
   statements, and runs one statement at a time.  BEGIN, SET, PREPARE,
   DEALLOCATE and ROLLBACK are answered by the session itself.  Other
   statements run on an instance of the database's group: writes on the
   primary, reads also on replicas that have applied the required position.
   Where this host has no connection to a suitable instance, another host runs
   them.  A transaction opens on an instance with its first statement that
   runs there, and stays on that connection until it ends.

   Where the configuration has workspaces, the key of a session is checked at
   each statement, and statements run on connections of the workspace that
   holds it.  Each operation, a statement or a transaction, takes one operation
   of the workspace's rate limit when its first statement runs.  A transaction
   stays with the workspace that it began with, until
   the key is withdrawn.

   Each statement gets exactly one answer.  An error code that promises that
   nothing was committed (such as CODE_BUSY and CODE_ABORTED) is returned only
   if neither a write outside of a transaction nor the COMMIT of a transaction
   with writes was sent, or if the instance reported that the statement did not
   run.

   Module name: "callers".  */

#ifndef SAVORYWAY_PROXY_CALLER_H
#define SAVORYWAY_PROXY_CALLER_H

#include "kernel/kernel.h"
#include "proxy/group.h"

/* Maximum number of instances that a read leaves out because it was tried on
   them.  The limits on attempts are multiples of it.  */
#define CALLER_TRIED_LIMIT 6

/* Backoff after a refusal because the instance had no free slot.  Retries on
   the same instance multiply it by the number of attempts.  */
#define CALLER_BUSY_BACKOFF_MS 12

/* Maximum time that a statement waits for a primary, or for a sample that is
   recent enough for it.  A promotion in progress completes within it.  */
#define CALLER_GROUP_WAIT_MS 900

/* Retry interval while the primary has not applied its log yet.  */
#define CALLER_CATCH_UP_RETRY_MS 20

/* A read is tried on another instance if it has no answer after
   CALLER_SLOW_MS and after CALLER_SLOW_FACTOR times the mean latency of the
   instance.  */
#define CALLER_SLOW_MS 400
#define CALLER_SLOW_FACTOR 8

/* Time allowed for the answer to travel from the instance to the caller;
   deducted from the staleness limit of a read.  */
#define CALLER_STALENESS_MARGIN_MS 20

/* Maximum number of prepared statements of a session.  */
#define CALLER_PREPARED_LIMIT 64

/* Values and prepared statements of a session up to this size don't count
   towards the limit of large ones.  64 values of 300 bytes and 64 prepared
   statements fit.  */
#define CALLER_STATE_SMALL_BYTES ((size_t)48 * 1024)

/* Within a transaction that has a connection, a SET is refused while so many
   bytes of values, or so many statements, are in flight there.  */
#define CALLER_VALUES_FLIGHT_BYTES ((size_t)256 * 1024)
#define CALLER_VALUES_FLIGHT 80

struct callers;
struct caller;

/* Receives the answers of a session.  The callback must not call functions of
   this module.  */
struct caller_sink
{
  void (*answer) (void *arg, const struct answer *answer);
  void *arg;
};

struct callers *callers_new (void);
struct module *callers_module (struct callers *callers);

/* Opens a session with DATABASE for a caller that presents KEY, which may be
   NULL, and sets CALLER to it.  Otherwise returns CODE_NODB if the catalog has
   no such database, CODE_NOAUTH if no workspace holds the key, or CODE_BUSY if
   this host can't tell now.  */
enum code caller_open (struct callers *callers, const char *database,
                       const char *key, const struct caller_sink *sink,
                       struct caller **caller);

/* Limits the values and prepared statements of all sessions: to TOTAL_BYTES,
   and to LARGE_BYTES for what sessions have above CALLER_STATE_SMALL_BYTES.  A
   SET or PREPARE beyond them is refused with CODE_TOOLARGE.  */
void callers_limit_state (struct callers *callers, size_t total_bytes,
                          size_t large_bytes);

/* Returns the size of the session's values and prepared statements.  */
size_t caller_state_bytes (const struct caller *caller);

/* Runs STATEMENT.  No other statement of the session may be running.  SINK may
   be called before this function returns.  */
void caller_submit (struct caller *caller, const struct statement *statement);

/* The process ends at END_MS.  Refuses from now on each statement whose
   timeout ends later, so that those that are taken get their answers in time,
   and each new transaction.  */
void callers_refuse_late (struct callers *callers, clk_ms end_ms);

/* Answers the statements that still run, since the process ends: with a
   refusal if they were not sent to an instance or another host, otherwise with
   a code that promises nothing.  Returns their number.  */
size_t callers_end_statements (struct callers *callers);

/* Closes the session and rolls back its transaction.  A statement that is
   running gets no answer.  */
void caller_close (struct caller *caller);

#endif
