/* pg_conn - a connection to a PostgreSQL instance, and the batches of queries
   on it.  Private to pg*.c.

   A batch is a list of queries that are sent together in pipeline mode, in
   groups that each end with a Sync message.  An error skips the rest of its
   own group only.  The next step of the job is called when the results of the
   whole batch have been received.  */

#ifndef SAVORYWAY_PORT_PG_CONN_H
#define SAVORYWAY_PORT_PG_CONN_H

#include <event2/event.h>
#include <libpq-fe.h>

#include "port/db_port.h"
#include "port/pg.h"
#include "port/pg_result.h"

/* Limit on the messages of a batch, without Syncs.  */
#define PG_BATCH_LIMIT 16
#define PG_SQLSTATE_BYTES 6

/* The queries of batches; a batch contains each at most once.  For their SQL
   see pg_sql.h.  */
enum pg_query
{
  PG_STATUS,
  PG_BEGIN,
  PG_BEGIN_READ,
  PG_REQUIRE_TERM,
  PG_RUN_LIMIT,
  PG_CLAIM,
  PG_STATEMENT, /* the statement of the job */
  PG_ANSWER,
  PG_COMMIT,
  PG_ROLLBACK,
  PG_RESET,
  PG_PROBE,
  PG_FIND,
  PG_PURGE,
  PG_LOCK,
  PG_UNLOCK,
  PG_SET,
  PG_RELOAD,
  PG_PROMOTE,
  PG_END_SESSIONS,
  PG_ROLE_STATUS,
  PG_REJOIN,
  PG_QUERY_COUNT
};

/* Result of a query of a batch.  */
enum pg_state
{
  PG_SKIPPED, /* not sent, or skipped after an earlier error */
  PG_DONE,
  PG_FAILED
};

struct pg_conn;

/* A step of a job, called when a batch is complete or a delay is over.  */
typedef void (*pg_step) (struct pg_conn *conn);

struct pg_message
{
  enum pg_query query;
  bool prepare; /* prepares the query; the next message executes it */
  bool sync;    /* a Sync that is not answered yet follows */
};

struct pg_batch
{
  uint64_t number; /* of the connection; its answers repeat it */
  struct pg_message messages[PG_BATCH_LIMIT];
  size_t count, current;
  size_t syncs; /* not answered yet */
  enum pg_state states[PG_QUERY_COUNT];
  pg_step next;
  /* First error of the batch.  */
  bool failed;
  enum pg_query failed_query;
  char sqlstate[PG_SQLSTATE_BYTES];
  char *message;
};

/* State of a change of the instance's role; see pg_role.c.  */
struct pg_role
{
  bool recovery;     /* the instance is a replica */
  uint64_t sessions; /* number that may not have applied the last reload */
  bool stream;       /* a replication stream from a primary exists */
  char stream_address[ADDRESS_BYTES];
  uint16_t stream_port;
  size_t setting_count;
  char *settings[4]; /* ALTER SYSTEM statements to run */
  bool requested;    /* promotion, or the final settings of DB_FOLLOW, sent */
  bool rejoined;     /* rejoin has been called */
  clk_ms deadline_ms;
  clk_ms rejoin_at_ms;
  enum db_status status; /* result, reported after the lock is released */
};

/* Users of the port see it as struct db_conn.  */
struct pg_conn
{
  struct pg_port *port;
  struct pg_conn *prev, *next;
  const struct db_conn_events *events;
  void *arg;
  PGconn *pg;
  struct event *readable, *writable;
  struct event *timer; /* connect timeout, polling, deferred failure */
  bool open;
  bool dead;         /* closed; freed when the last handler returns */
  bool broken;       /* failed; jobs submitted now get DB_LOST */
  bool unmatched;    /* it has had a message that answers no query */
  uint32_t entered;  /* event handlers running on this connection */
  uint32_t prepared; /* bit set of the queries that the server has prepared */
  struct pg_batch batch;
  struct pg_result result;
  /* The running job, copied.  */
  bool running;
  struct db_job job;
  bool commit_sent;
  enum db_status abort_status; /* result, reported after the rollback */
  bool found; /* PG_FIND returned a row; its answer is in result */
  struct db_report report;
  struct pg_role role;
};

struct pg_port
{
  struct db_port base;
  struct event_base *events;
  struct pg_options options;
  struct pg_conn *conns;
};

struct pg_conn *pg_conn_open (struct pg_port *port,
                              const struct db_target *target,
                              const struct db_conn_events *events, void *arg);
void pg_conn_close (struct pg_conn *conn);

/* Starts a batch that calls NEXT when it is complete.  */
void pg_batch_start (struct pg_conn *conn, pg_step next);

/* Like pg_batch_start, but keeps the error of the previous batch for the
   result of the job.  */
void pg_batch_restart (struct pg_conn *conn, pg_step next);

/* Adds a query whose SQL is the same at each use of QUERY.  It is prepared at
   its first use on a connection.  PARAMS are copied.  */
void pg_batch_add (struct pg_conn *conn, enum pg_query query, const char *sql,
                   size_t param_count, const char *const *params);

/* Adds a query whose text varies, without preparing it.  */
void pg_batch_add_once (struct pg_conn *conn, enum pg_query query,
                        const char *sql, size_t param_count,
                        const char *const *params);

/* Ends a group of queries.  */
void pg_batch_sync (struct pg_conn *conn);

/* Sends the queries added to the batch.  */
void pg_batch_send (struct pg_conn *conn);

/* Reads the results that have been received.  Returns true if the batch is
   complete, false if more input is needed.  */
bool pg_batch_read (struct pg_conn *conn);

/* Sends libpq's output buffer, and the rest when the socket becomes
   writable.  */
void pg_conn_flush (struct pg_conn *conn);

/* Calls STEP after DELAY_MS.  No batch may be in flight.  */
void pg_conn_wait (struct pg_conn *conn, clk_ms delay_ms, pg_step step);

/* Ends the job and reports its result.  PAYLOAD may be NULL.  */
void pg_conn_finish (struct pg_conn *conn, enum db_status status,
                     const char *payload, size_t payload_bytes);

/* Handles a failed connection: reports the result of the running job, then
   the closed event, and closes the connection.  */
void pg_conn_break (struct pg_conn *conn, const char *why);

/* Returns the time since boot.  */
clk_ms pg_now (void);

/* Start the job in conn->job; pg_role_start does so for changes of role.  */
void pg_job_start (struct pg_conn *conn);
void pg_role_start (struct pg_conn *conn);

/* Stores the result of a query of pg_role.c.  */
void pg_role_store_rows (struct pg_conn *conn, enum pg_query query,
                         const PGresult *res);

void pg_role_clear (struct pg_conn *conn);

/* Adds the status query and ends the group.  */
void pg_batch_status (struct pg_conn *conn);

#endif
