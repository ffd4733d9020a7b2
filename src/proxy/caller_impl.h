/* caller_impl - internal types and functions of the callers module.  */

#ifndef SAVORYWAY_PROXY_CALLER_IMPL_H
#define SAVORYWAY_PROXY_CALLER_IMPL_H

#include "proxy/allowance.h"
#include "proxy/caller.h"
#include "proxy/caller_metrics.h"
#include "proxy/forwarder.h"
#include "proxy/mirror.h"
#include "proxy/placement.h"
#include "proxy/workspaces.h"

enum run_stage
{
  RUN_NONE,       /* no statement is running */
  RUN_LIMITED,    /* waiting for an operation of the rate limit */
  RUN_WAITING,    /* for a primary, a sample, or the next attempt */
  RUN_CONNECTING, /* for a connection */
  RUN_SETTING_UP, /* sending values, prepared statement, BEGIN */
  RUN_SENT        /* waiting for the answer */
};

/* The statement that is running.  */
struct run_request
{
  enum run_stage stage;
  enum stmt_kind kind;
  char *id;
  char *text;
  char *name;
  char *rest;
  bool writes;
  enum stmt_kind prepared_kind; /* of STMT_EXECUTE */
  const char *shape;            /* likewise; owned by the session */
  struct route route;
  clk_ms arrived_ms;
  clk_ms sent_ms;
  clk_ms begin_sent_ms;
  clk_ms group_wait_since_ms; /* CLK_NEVER: no wait yet */
  clk_ms granted_ms; /* an operation was taken then; CLK_NEVER: none */
  uint32_t attempts;
  char instance[NAME_BYTES]; /* of the last attempt; logged */
  enum code refusal;         /* code of the last attempt */
  bool confirms_leader;      /* read on the primary within BEGIN */
  bool begins;               /* BEGIN was sent for this statement */
  bool queries_log;          /* STATUS was sent after it */
  bool is_fresh;             /* the primary is known to have applied its log */
  clk_ms status_sent_ms;
  struct admission *queue; /* that counts it; NULL: none */
  bool has_min_position;
  struct position min_position;
  size_t tried_count;
  char tried[CALLER_TRIED_LIMIT][NAME_BYTES];
};

/* A statement or transaction that is forwarded to another host.  */
struct remote_run
{
  uint64_t number; /* identifies it there; 0: nothing is forwarded */
  uint64_t call;   /* in flight; 0: none */
  struct peer_address host;
};

struct prepared
{
  char *name;
  char *shape;
  enum stmt_kind kind;
};

struct caller
{
  struct callers *callers;
  struct caller_sink sink;
  char database[NAME_BYTES];
  bool has_key;
  struct key_hash key;
  /* On whose behalf the statement or transaction runs; "" for none.  */
  char workspace[NAME_BYTES];
  clk_ms opened_ms;
  struct values values;
  size_t prepared_count;
  struct prepared *prepared;
  size_t prepared_bytes;
  size_t flight_bytes; /* of values sent to CONN since it had none in flight */
  /* State of the transaction as reported to the caller.  */
  enum tx_state tx;
  bool tx_read_only;
  bool tx_ran;                /* a statement of the transaction has run */
  bool tx_counted;            /* it has taken an operation of the limit */
  bool tx_wrote;              /* a write was sent */
  bool tx_failure_unreported; /* failed between statements */
  clk_ms tx_begun_ms;
  struct route tx_route;
  struct position own;       /* of the last commit of the session */
  struct backend_conn *conn; /* in use by run or transaction */
  struct conn_user user;
  struct group_subscriber waiter;
  struct allowance_user allowance;
  struct ktimer retry_timer;    /* next attempt */
  struct ktimer deadline_timer; /* timeout of the statement */
  struct ktimer idle;           /* idle timeout of the transaction */
  struct ktimer slow;           /* a read has no answer yet */
  struct run_request run;
  struct remote_run remote;
  bool overloaded;            /* refused, as too many statements wait */
  char served_by[NAME_BYTES]; /* instance that ran the last statement */
  bool forwarded;             /* runs statements of another host */
  bool may_wait;              /* forwarded: for a primary */
  struct caller *prev;
  struct caller *next;
};

struct callers
{
  struct module base;
  struct catalog *catalog;
  struct groups *groups;
  struct hosts *hosts;
  struct forwarder *forwarder;
  struct placement *placement;
  struct mirror *mirror;
  struct workspaces *workspaces;
  struct allowances *allowances;
  struct caller_metrics metrics;
  struct caller_metrics forwarded_metrics;
  clk_ms end_ms; /* of the process, which leaves; CLK_NEVER: it does not */
  size_t state_bytes; /* values and prepared statements of all sessions */
  size_t large_bytes; /* what sessions have above CALLER_STATE_SMALL_BYTES */
  size_t state_limit_bytes; /* SIZE_MAX: none */
  size_t large_limit_bytes;
  struct caller *list;
};

/* caller_run.c */
void caller_run_init (struct caller *caller);
/* Starts the statement in caller->run.  */
void caller_run_start (struct caller *caller);
/* Cancels the running statement without an answer, and releases the
   connection.  */
void caller_run_stop (struct caller *caller);

/* Returns whether the statement must run on the primary.  */
bool caller_needs_leader (const struct caller *caller);
/* Returns whether the statement can be run again after it may have run.  */
bool caller_is_repeatable (const struct caller *caller);

/* caller_wait.c */
void caller_drop_conn (struct caller *caller);
void caller_set_timer (struct caller *caller, struct ktimer *timer,
                       clk_ms span_ms);
/* Returns the code for a statement that is abandoned before it ran.  */
enum code caller_refusal (const struct caller *caller);
/* Retries the statement after SPAN_MS.  */
void caller_wait (struct caller *caller, clk_ms span_ms);
/* Adds the statement to the admission queue, which counts those that wait
   for a slot or a connection.  Returns false if it would not run in time; it
   has then been refused.  Transactions that have run a statement already are
   always admitted.  */
bool caller_enter_queue (struct caller *caller);
/* Retries the statement, possibly after a backoff.  It must not have run, or
   must be repeatable.  CODE is the result of the last attempt.  */
void caller_retry (struct caller *caller, enum code code);
/* Retries the statement on a change of the group, or after WAIT_MS.  Fails it
   after CALLER_GROUP_WAIT_MS in total.  */
void caller_wait_for_group (struct caller *caller, const char *why,
                            clk_ms wait_ms);
/* Answers the statement with CODE and ends its transaction.  WHY is the error
   text, and a label of the metrics.  */
void caller_fail (struct caller *caller, enum code code, const char *why);
/* The same for a statement beyond the rate limit of its workspace, which may
   come back after RETRY_AFTER_MS.  */
void caller_fail_limited (struct caller *caller, clk_ms retry_after_ms);
/* The same for a statement whose outcome is unknown.  CODE is replaced by a
   more precise one where nothing can have been committed.  */
void caller_fail_unknown (struct caller *caller, enum code code,
                          const char *why);

/* caller_remote.c */
/* Returns whether the statement has to be forwarded to another host.  */
bool caller_remote_wanted (struct caller *caller);
void caller_remote_dispatch (struct caller *caller);
/* Tries another host if the current one has stopped answering.  Returns false
   if the statement is not forwarded.  */
bool caller_remote_slow (struct caller *caller);
/* Cancels the forwarded statement and rolls back the transaction at the other
   host.  */
void caller_remote_stop (struct caller *caller);

/* caller.c */
/* Returns whether a statement that may take SPAN_MS from now can't be taken,
   as the process ends before.  */
bool caller_is_late (const struct caller *caller, clk_ms span_ms);
/* Checks the key of the session for a statement on ROUTE, and sets its
   workspace unless a transaction is open.  Returns CODE_OK, or the code of the
   refusal, and sets WHY to its reason.  */
enum code caller_authorize (struct caller *caller, const struct route *route,
                            const char **why);
/* Opens a session for forwarded statements of another host, on ROUTE and for
   WORKSPACE, "" for none.  */
struct caller *caller_open_forwarded (struct callers *callers,
                                      const struct route *route,
                                      const char *workspace,
                                      const struct caller_sink *sink);
/* Sets a value of the session, also on the connection of an open transaction.
   Returns CODE_OK, CODE_TOOLARGE or CODE_BUSY.  */
enum code caller_set_value (struct caller *caller, const char *name,
                            const char *text);
enum code caller_prepare (struct caller *caller, const char *name,
                          enum stmt_kind kind, const char *shape);

/* Passes the answer of the statement to the sink.  */
void caller_finish (struct caller *caller, const struct answer *answer);
/* Answers that there is no route for the caller's database.  */
void caller_fail_no_route (struct caller *caller);
void caller_finish_code (struct caller *caller, enum code code,
                         const char *text);

static inline struct kernel *
caller_kernel (const struct caller *caller)
{
  return caller->callers->base.kernel;
}

static inline struct group *
caller_group (struct caller *caller)
{
  return groups_find (caller->callers->groups, caller->run.route.group);
}

static inline bool
caller_in_transaction (const struct caller *caller)
{
  return caller->tx == TX_OPEN;
}

static inline struct caller_metrics *
caller_metrics_of (const struct caller *caller)
{
  return caller->forwarded ? &caller->callers->forwarded_metrics
                           : &caller->callers->metrics;
}

static inline clk_ms
caller_now (const struct caller *caller)
{
  return kernel_now (caller->callers->base.kernel);
}

#endif
