/* caller_impl - what the files of the callers module share.  */

#ifndef SAVORYWAY_PROXY_CALLER_IMPL_H
#define SAVORYWAY_PROXY_CALLER_IMPL_H

#include "proxy/caller.h"

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
  bool has_floor;
  struct position floor;
  size_t tried_count;
  char tried[CALLER_TRIES][NAME_BYTES];
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
  struct group_waiter waiter;
  struct ktimer again;    /* tries the statement again */
  struct ktimer deadline; /* of the statement */
  struct ktimer idle;     /* of the transaction */
  struct ktimer slow;     /* a read without an answer */
  struct run_request run;
  struct caller *prev;
  struct caller *next;
};

struct callers
{
  struct module base;
  struct catalog *catalog;
  struct groups *groups;
  struct caller *list;
};

/* caller_run.c */
void caller_run_init (struct caller *caller);
/* Starts the statement in caller->run.  */
void caller_run_start (struct caller *caller);
/* Gives up what runs and the connection, without an answer.  */
void caller_run_stop (struct caller *caller);

/* caller.c: the one answer of the statement.  */
void caller_finish (struct caller *caller, const struct answer *answer);
void caller_finish_code (struct caller *caller, enum code code,
                         const char *text);

static inline clk_ms
caller_now (const struct caller *caller)
{
  return kernel_now (caller->callers->base.kernel);
}

#endif
