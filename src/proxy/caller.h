/* caller - callers' sessions: transactions, values, prepared statements.

   A session answers BEGIN, SET, PREPARE, DEALLOCATE and ROLLBACK itself.  Its
   transaction opens on an instance with the first statement that runs there,
   and stays on that connection until it ends.  Each statement of a caller
   gets exactly one answer.

   Errors that promise that nothing was kept (CODE_BUSY, CODE_ABORTED and
   their like) are given only where no write and no COMMIT was sent, or the
   instance said that it did not run.

   Module name: "callers".  */

#ifndef SAVORYWAY_PROXY_CALLER_H
#define SAVORYWAY_PROXY_CALLER_H

#include "kernel/kernel.h"
#include "proxy/group.h"

/* Instances that one statement may be tried on.  */
#define CALLER_TRIES 6

/* Until a statement refused for want of a slot is tried again; longer each
   time.  */
#define CALLER_BUSY_WAIT_MS 12

/* How long a statement waits for a primary, or for a sample of its
   position: a promotion under way ends within it.  */
#define CALLER_HOLD_MS 900

/* Until a primary that has not applied its log yet is asked again.  */
#define CALLER_CATCH_UP_MS 20

/* A read without an answer for this long, and for CALLER_SLOW_RATIO times
   what is usual, is tried on another instance.  */
#define CALLER_SLOW_MS 400
#define CALLER_SLOW_RATIO 8

/* What an answer takes from the instance to the caller.  */
#define CALLER_STALENESS_MARGIN_MS 20

#define CALLER_PREPARED_LIMIT 64

struct callers;
struct caller;

/* Where answers go.  Calls nothing of this module.  */
struct caller_sink
{
  void (*answer) (void *arg, const struct answer *answer);
  void *arg;
};

struct callers *callers_new (void);
struct module *callers_module (struct callers *callers);

/* Begins a session with DATABASE.  Returns NULL if there is no such
   database.  */
struct caller *caller_open (struct callers *callers, const char *database,
                            const struct caller_sink *sink);

/* Runs STATEMENT; no other one of the session must be running.  The answer
   may come from within this call.  */
void caller_submit (struct caller *caller, const struct statement *statement);

/* Ends the session; no answer follows.  */
void caller_close (struct caller *caller);

#endif
