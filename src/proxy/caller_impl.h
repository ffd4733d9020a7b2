/* caller_impl - what the files of the callers module share.  */

#ifndef SAVORYWAY_PROXY_CALLER_IMPL_H
#define SAVORYWAY_PROXY_CALLER_IMPL_H

#include "proxy/caller.h"
#include "proxy/caller_metrics.h"
#include "proxy/forwarder.h"

enum run_stage
{
  RUN_NONE,       /* no statement runs */
  RUN_WAITING,    /* for a primary, a sample, or the time to try again */
  RUN_CONNECTING, /* for a connection */
  RUN_SETTING_UP, /* values, prepared statement, BEGIN */
  RUN_SENT
};

/* The statement that runs.  */
struct run_request
{
  enum run_stage stage;
  enum stmt_kind kind;
  char *id;
  char *text;
  char *name;
  char *rest;
  bool writes;
  enum stmt_kind prepared_kind; /* STMT_EXECUTE */
  const char *shape;            /* likewise; belongs to the session */
  struct route route;
  clk_ms arrived_ms;
  clk_ms sent_ms;
  clk_ms begin_sent_ms;
  clk_ms held_since_ms; /* CLK_NEVER while not held */
  uint32_t attempts;
  char instance[NAME_BYTES]; /* tried last; for the log */
  enum code refusal;         /* of the last attempt */
  bool proves;               /* read on the primary inside a plain BEGIN */
  bool begins;               /* opens the transaction on the instance */
  struct admission *queue;   /* that it waits in; NULL: none */
  bool has_floor;
  struct position floor;
  size_t tried_count;
  char tried[CALLER_TRIES][NAME_BYTES];
};

/* What runs through another host.  */
struct remote_run
{
  uint64_t number; /* there, of the statement or the open transaction; 0: none
                    */
  uint64_t call;   /* under way; 0: none */
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
  clk_ms opened_ms;
  struct values values;
  size_t prepared_count;
  struct prepared *prepared;
  /* Transaction, as the caller sees it.  */
  enum tx_state tx;
  bool tx_read_only;
  bool tx_ran;    /* a statement of it has run */
  bool tx_wrote;  /* one that writes */
  bool tx_untold; /* ended between statements: the next one tells */
  clk_ms tx_begun_ms;
  struct route tx_route;
  struct position own;       /* of the session's last commit */
  struct backend_conn *conn; /* owned: running, or pinned by tx */
  struct conn_user user;
  struct group_subscriber waiter;
  struct ktimer again;    /* tries the statement again */
  struct ktimer deadline; /* of the statement */
  struct ktimer idle;     /* of the transaction */
  struct ktimer slow;     /* a read without an answer */
  struct run_request run;
  struct remote_run remote;
  bool overloaded; /* the last statement was refused as too many wait */
  char served_by[NAME_BYTES]; /* instance of the last statement */
  bool guest;                 /* of another host's session */
  bool may_wait;              /* guest: for a primary */
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
  struct caller_metrics metrics;
  struct caller_metrics guest_metrics;
  struct caller *list;
};

/* caller_run.c */
void caller_run_init (struct caller *caller);
/* Starts the statement in caller->run.  */
void caller_run_start (struct caller *caller);
/* Gives up what runs and the connection, without an answer.  */
void caller_run_stop (struct caller *caller);

bool caller_needs_leader (const struct caller *caller);
bool caller_is_repeatable (const struct caller *caller);

/* caller_wait.c */
void caller_drop_conn (struct caller *caller);
void caller_set_timer (struct caller *caller, struct ktimer *timer,
                       clk_ms span_ms);
/* The code for a statement that did not run and will not.  */
enum code caller_refusal (const struct caller *caller);
/* Waits for SPAN_MS, then tries again.  */
void caller_wait (struct caller *caller, clk_ms span_ms);
/* Joins those that wait for a slot or a connection.  Returns false if the
   statement would not be served in time: then it has been refused.
   Transactions that have run already wait in any case.  */
bool caller_queue_up (struct caller *caller);
/* Goes on after an attempt that did not run, or may be repeated.  */
void caller_retry (struct caller *caller, enum code code);
/* Waits for a change of the group, or WAIT_MS, for a bounded time.  */
void caller_hold (struct caller *caller, const char *why, clk_ms wait_ms);
/* Ends the statement with CODE, and the transaction that it belongs to.  */
void caller_fail (struct caller *caller, enum code code, const char *why);
/* The same for one whose outcome is not known.  */
void caller_fail_unknown (struct caller *caller, enum code code,
                          const char *why);

/* caller_remote.c */
/* Whether the statement has to go through another host.  */
bool caller_remote_wanted (struct caller *caller);
void caller_remote_dispatch (struct caller *caller);
/* Gives up a host that has not answered; false if none was asked.  */
bool caller_remote_slow (struct caller *caller);
/* Ends what runs or is open at another host.  */
void caller_remote_stop (struct caller *caller);

/* caller.c */
/* Begins a session for statements of another host, on ROUTE.  */
struct caller *caller_open_guest (struct callers *callers,
                                  const struct route *route,
                                  const struct caller_sink *sink);
bool caller_set_value (struct caller *caller, const char *name,
                       const char *text);
enum code caller_prepare (struct caller *caller, const char *name,
                          enum stmt_kind kind, const char *shape);

/* caller.c: the one answer of the statement.  */
void caller_finish (struct caller *caller, const struct answer *answer);
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
  return caller->guest ? &caller->callers->guest_metrics
                       : &caller->callers->metrics;
}

static inline clk_ms
caller_now (const struct caller *caller)
{
  return kernel_now (caller->callers->base.kernel);
}

#endif
