/* backend_impl - internal types and functions of the backend.  */

#ifndef SAVORYWAY_PROXY_BACKEND_IMPL_H
#define SAVORYWAY_PROXY_BACKEND_IMPL_H

#include "proxy/answer_check.h"
#include "proxy/backend.h"

/* Maximum number of statements in flight on a connection.  Most of them are
   set-up statements, which VALUES_LIMIT bounds; apart from these only BEGIN
   and the ROLLBACK after a read on the primary are pipelined.  */
#define PENDING_LIMIT 160

enum conn_phase
{
  CONN_OPENING,
  CONN_IDLE,
  CONN_OWNED,
  CONN_CLEANING /* released, but not yet reusable */
};

/* A statement in flight.  */
struct pending_answer
{
  enum conn_step step;
  enum stmt_kind kind;
  struct position position; /* that the instance had reported before */
  clk_ms sent_ms;
};

/* The connections to an instance that belong to one workspace, and the users
   that wait for one.  The own one of the backend, of the name "", has the
   connections that are opened as the host.  */
struct pool_workspace
{
  char name[NAME_BYTES];
  uint32_t conns; /* in all phases */
  uint32_t idle;
  uint32_t opening;
  uint32_t waiting;
  clk_ms unserved_ms; /* since then users wait, and none got a connection */
  struct pool_workspace *prev;
  struct pool_workspace *next;
};

/* A statement that is prepared on a connection under its number.  */
struct conn_statement
{
  uint64_t number;
  enum stmt_kind kind;
  char *shape;
};

struct backend_conn
{
  struct backend *backend;
  struct pool_workspace *workspace;
  struct instance_link *link;
  enum conn_phase phase;
  struct conn_user *user;
  enum tx_state state;
  struct values_id values; /* set on it */
  uint64_t last_number;    /* of a statement prepared on it */
  size_t prepared;         /* since the last RESET */
  struct conn_statement statements[BACKEND_PREPARED_LIMIT]; /* the last ones */
  struct pending_answer pending[PENDING_LIMIT]; /* ring, oldest first */
  uint32_t pending_head;
  uint32_t pending_count;
  struct answer_check check;
  bool unawaited;   /* the answer that began last, when none was awaited */
  bool holds_error; /* to the oldest statement in flight */
  struct answer held;
  char *held_text;
  uint32_t fences_answered;  /* statements behind it that are answered */
  enum tx_state fence_state; /* after these */
  clk_ms since_ms;           /* start of the phase */
  clk_ms used_ms;            /* last use for a caller; when opened, if none */
  struct ktimer timeout;     /* of opening or cleaning */
  struct backend_conn *prev;
  struct backend_conn *next;
};

struct backend
{
  struct backend_options options;
  struct instance_entry entry;
  struct backend_conn *conns;
  uint32_t conn_count;
  uint32_t idle;
  uint32_t opening;
  uint32_t share;
  struct conn_user *waiters; /* by priority, then in order of arrival */
  uint32_t waiting;
  uint32_t waiting_any;   /* of them, those that any connection will do for */
  int64_t *waiting_total; /* metric of all backends */
  struct pool_workspace *workspaces; /* with connections or waiting users */
  struct pool_workspace own;         /* the first of them; always there */
  clk_ms evict_ms;  /* time to which closings are accounted for */
  uint32_t evicted; /* connections closed, and not logged yet */
  clk_ms evict_logged_ms;
  clk_ms refused_ms;      /* time of the last CODE_TOOMANY */
  uint32_t refused_count; /* connections open then */
  struct position position;
  clk_ms unmatched_ms; /* time of the last answer to no statement */
  clk_ms last_answer_ms;
  bool has_answered;
  clk_ms connect_failed_since_ms; /* CLK_NEVER: not failed */
  clk_ms probe_unanswered_ms;     /* likewise */
  uint32_t failures;              /* consecutive failures to connect */
  clk_ms retry_ms;                /* no attempt to connect before */
  struct ktimer tick;
  struct conn_user probe_user;
  struct backend_conn *probe_conn;
  clk_ms probe_ms;
  double mean_latency_ms;
  double refusal_share;
  bool closing;
};

/* backend.c */
clk_ms backend_now (const struct backend *backend);
struct log *backend_log (const struct backend *backend);
/* Returns how many connections are kept open while idle.  */
uint32_t backend_idle_target (const struct backend *backend);
/* Schedules the maintenance of the connections for DUE_MS or earlier.  */
void backend_arm_tick (struct backend *backend, clk_ms due_ms);
/* Record that the instance answered, or that a connection could not be opened
   or was closed by the instance with an error.  */
void backend_note_answer (struct backend *backend);
void backend_note_connect_failure (struct backend *backend);

/* backend_pool.c */
void pool_init (struct backend *backend);
void pool_clear (struct backend *backend);
/* Returns whether there are connections or waiting users of workspaces.  */
bool pool_has_workspaces (const struct backend *backend);
/* Add and remove a connection, which is opened for WORKSPACE.  */
void pool_add_conn (struct backend_conn *conn,
                    struct pool_workspace *workspace);
void pool_remove_conn (struct backend_conn *conn);
/* Counts CONN in PHASE; called before its phase is set.  */
void pool_count_phase (struct backend_conn *conn, enum conn_phase phase);
/* Assigns idle connections to waiting users.  */
void backend_serve_waiters (struct backend *backend);
/* Opens connections for waiting users, or one if there are fewer than
   BACKEND_MIN_CONNECTIONS, within the share of this host.  */
void pool_open_needed (struct backend *backend);
/* Closes connections that have been idle for too long.  */
void pool_close_spare (struct backend *backend);

/* backend_conn.c */
void conn_open (struct backend *backend, struct pool_workspace *workspace);
void conn_close (struct backend_conn *conn);
/* Closes CONN, on which answers have come that belong to no statement, and
   tells its user.  */
void conn_close_distrusted (struct backend_conn *conn);
void conn_set_phase (struct backend_conn *conn, enum conn_phase phase);
/* Makes CONN idle if it is clean.  Otherwise rolls back its transaction, once
   nothing is in flight.  */
void conn_clean (struct backend_conn *conn);
/* Counts a message of STEP with BYTES of text.  */
void conn_count_bytes (const struct backend_conn *conn, enum conn_step step,
                       size_t bytes);

/* backend_answers.c: events of the link.  */
/* Tells an answer that was not awaited when it began, also if a statement is
   sent before it ends.  */
void conn_on_began (void *conn);
void conn_on_answer (void *conn, const struct answer *answer);
/* Returns whether the instance has sent an answer twice lately.  */
bool backend_stutters (const struct backend *backend);

/* backend_set_up.c */
void conn_forget_statements (struct backend_conn *conn);
/* Sends COUNT statements that succeed and change nothing.  */
void conn_send_fences (struct backend_conn *conn, uint32_t count);

#endif
