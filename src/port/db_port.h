/* db_port - interface for connections to backend servers.

   The core opens connections and submits one job at a time on each.  The
   port reports results through the event callbacks passed to open; it never
   invokes a callback from within one of its own operations.

   Term and position are read from the backend server: the result of a job
   contains the status that the server returned on the same connection in the
   same round trip.

   The ledger is a table of the database with one row per request id and the
   answer of that request.  It makes writes idempotent.  */

#ifndef SAVORYWAY_PORT_DB_PORT_H
#define SAVORYWAY_PORT_DB_PORT_H

#include <stddef.h>

#include "core/types.h"
#include "kernel/clock.h"

enum db_job_kind
{
  DB_STATUS,   /* queries term, role and positions of the instance */
  DB_READ,     /* position check, a statement in a read-only transaction,
                  status */
  DB_WRITE,    /* BEGIN, ledger row, statement, COMMIT, status; an empty
                  statement writes only the row, with an empty answer */
  DB_BEGIN,    /* opens an interactive transaction */
  DB_EXECUTE,  /* runs a statement inside the open transaction */
  DB_COMMIT,   /* ledger row if request_id is set, COMMIT, status */
  DB_ROLLBACK, /* also resets the connection for reuse */
  DB_LOOKUP,   /* reads the ledger row of request_id, and status */
  DB_SEAL,     /* fencing: the instance accepts no log of terms below
                  job.term any more; then status */
  DB_PROMOTE,  /* promotes a sealed replica to primary of job.term */
  DB_FOLLOW,   /* replicates from job.follow_*, terms >= job.term */
  DB_FENCE,    /* makes a former primary refuse writes */
  DB_PURGE     /* deletes ledger rows older than job.age_ms */
};

enum db_status
{
  DB_OK,
  DB_SQL_ERROR, /* the statement failed and left no effect */
  DB_REFUSED,   /* the job certainly had no effect: it was not executed, or
                   was rolled back */
  DB_LOST,      /* the connection failed while the job ran; the job may have
                   taken effect */
  DB_NOT_FOUND, /* DB_LOOKUP: no such ledger row */
  DB_DUPLICATE, /* DB_WRITE, DB_COMMIT: the ledger already contains the
                   request id; payload is the stored answer */
  DB_TOO_LARGE  /* the result exceeds job.result_limit_bytes; a DB_WRITE then
                   had no effect */
};

struct db_target
{
  const char *address; /* an IP address */
  uint16_t port;
};

struct db_job
{
  enum db_job_kind kind;
  const char *statement;
  size_t param_count;
  const char *const *params;  /* text form; NULL is SQL NULL */
  const char *request_id;     /* key in the ledger; NULL for none */
  uint64_t term;              /* required term; 0 for any.  DB_WRITE and
                                 DB_COMMIT return DB_REFUSED if the instance
                                 has another one */
  uint64_t min_lsn;           /* DB_READ returns DB_REFUSED if the instance
                                 has not replayed up to this position */
  const char *follow_address; /* of the primary */
  uint16_t follow_port;
  clk_ms age_ms;
  size_t result_limit_bytes;
  clk_ms run_limit_ms; /* statement timeout at the server, reported as
                          DB_SQL_ERROR with SQLSTATE 57014; 0 for none */
};

/* Status of an instance, as it reports it.  Positions are byte positions in
   the write-ahead log.  */
struct db_report
{
  uint64_t term;         /* term of the log that it has or writes */
  bool primary;          /* accepts writes */
  uint64_t sealed_term;  /* accepts no log of lower terms; 0 if never sealed */
  bool receiving;        /* replica: streaming replication is connected */
  uint64_t received_lsn; /* replica: log received; primary: log written */
  uint64_t replayed_lsn; /* position visible to reads */
  uint64_t confirmed_lsn; /* primary: highest position that a replica of this
                             term has confirmed as received */
  clk_ms lag_ms;          /* replica: age of its data; 0 on a primary */
};

struct db_result
{
  enum db_status status;
  struct db_report report; /* valid for DB_OK, DB_DUPLICATE, DB_NOT_FOUND,
                              and DB_REFUSED with report.term != 0 */
  const char *payload;     /* JSON object of the result; valid during the
                              callback */
  size_t payload_bytes;
  const char *sqlstate;
  const char *message;
  bool broken; /* the connection has failed; the closed event follows.  Set
                  with DB_LOST, with DB_REFUSED if the connection failed before
                  COMMIT was sent, and with DB_TOO_LARGE if it is closed for
                  the size of the result */
};

struct db_conn;

/* Event callbacks of one connection.  The connection no longer exists after
   closed.  A running job gets its result before closed; a job submitted from
   within that callback gets DB_LOST.  */
struct db_conn_events
{
  void (*opened) (void *arg, struct db_conn *conn);
  void (*result) (void *arg, struct db_conn *conn,
                  const struct db_result *result);
  void (*closed) (void *arg, struct db_conn *conn, const char *why);
};

struct db_port;

struct db_port_ops
{
  /* Starts to open a connection; opened or closed follows.  */
  struct db_conn *(*open) (struct db_port *port,
                           const struct db_target *target,
                           const struct db_conn_events *events, void *arg);
  /* Starts JOB; its strings are copied.  No other job may be running on
     CONN.  */
  void (*submit) (struct db_port *port, struct db_conn *conn,
                  const struct db_job *job);
  /* Closes CONN at once, without further events.  A running job may still
     take effect.  */
  void (*close) (struct db_port *port, struct db_conn *conn);
};

struct db_port
{
  const struct db_port_ops *ops;
};

#endif
