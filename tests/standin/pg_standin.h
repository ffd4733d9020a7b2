/* pg_standin - stand-in for a database group that speaks PostgreSQL's
   protocol.

   One process runs all instances of one group, each on its own loopback port.
   It is not an SQL engine: pg_exec.c lists the statements it accepts.  When
   it is ready it prints one line:

     control=PORT instance=a port=PORT instance=b port=PORT ...

   The first instance is the primary of term 1, the others replicate from it.
   The process ends on SIGTERM, SIGINT or when standard input closes.

   Control port (HTTP):
     POST /fault {"instance":"a","kind":KIND,"value":N}  ("*" is all)
       isolate  stops replication to and from the instance; connections stay
       freeze   stops answering; connections stay open
       die      closes the listener and all connections, keeps the log
       restart  listens again after die
       cost     each statement of a caller takes N ms
       drop_answer  commits the next write and closes without an answer
       heal     undoes isolate, freeze and drop_answer
     GET /state  counters of the instances, as JSON  */

#ifndef PG_STANDIN_H
#define PG_STANDIN_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stdlib.h>
#include <uthash.h>

#include "kernel/clock.h"

#define INSTANCES 3
#define PARAM_LIMIT 16
#define FIRST_TERM 1
#define KEY_BYTES 256

/* An entry of a hash table.  Rows have keys that begin with their table, "kv/"
   or "ledger/".  The same type serves for the changes of a transaction (value
   NULL deletes), for locks and for prepared statements.  */
struct row
{
  char *key;
  char *value;
  clk_ms committed_at_ms;
  UT_hash_handle hh;
};

/* A committed transaction.  The logs of all instances share it.  */
struct record
{
  struct record *next; /* in the list of all records of the group */
  uint64_t lsn;
  clk_ms committed_at_ms;
  struct row *changes;
};

/* Server settings of an instance that the proxy changes.  */
struct settings
{
  uint64_t log_term;
  uint64_t sealed_term;
  bool read_only;
  uint16_t primary_port;    /* port to replicate from, 0 for none */
  uint64_t confirming_term; /* term that its acknowledgements count for */
};

struct session;

struct instance
{
  struct group *group;
  char name[2];
  uint16_t port;
  struct evconnlistener *listener;
  bool down, frozen, isolated, drop_answer;
  bool primary;
  struct settings staged; /* written; a reload applies them */
  struct settings active;
  uint64_t reload_count;
  struct record **log;
  size_t received, replayed; /* in records from the start of the log */
  uint64_t confirmed_lsn;    /* highest LSN that a replica acknowledged */
  struct row *rows;
  struct event *timer;       /* receives and replays log */
  clk_ms cost_ms;            /* run time of each statement of a caller */
  clk_ms last_connected_ms;  /* last time that its replication was up */
  struct session *role_lock; /* session that holds the lock on role changes */
  uint32_t slots_in_use;
  struct session *sessions;
  uint32_t open_connections;
  uint64_t statements, commits;
};

struct group
{
  struct event_base *base;
  uint32_t slots, connections, lag_ms; /* limits and lag of each instance */
  struct instance instances[INSTANCES];
  struct record *records;
  uint64_t rng; /* state of the generator for gaps between LSNs */
  uint64_t last_wait_seq;
};

/* pg_group.c: logs, replication and faults.  */

/* Returns NULL if there is no row KEY.  */
const struct row *rows_find (struct row *rows, const char *key);
/* Adds or replaces the row KEY.  */
struct row *rows_set (struct row **rows, const char *key, const char *value);
void rows_clear (struct row **rows);
/* Returns the monotonic time.  */
clk_ms group_now_ms (void);
void timer_start (struct event *event, clk_ms delay_ms);
bool group_start (struct group *group);
void group_stop (struct group *group);
/* Appends a transaction to the log of INSTANCE and applies it; the log then
   owns CHANGES.  */
void instance_commit (struct instance *instance, struct row *changes);
/* Returns the LSN of the last of the first COUNT records; 0 if COUNT is 0.  */
uint64_t instance_lsn (const struct instance *instance, size_t count);
/* Returns whether INSTANCE replicates from another instance at present.  */
bool instance_receiving (const struct instance *instance);
/* Returns the staleness of reads on INSTANCE; 0 on a primary.  */
clk_ms instance_lag_ms (const struct instance *instance);
/* Applies the staged settings.  */
void instance_reload (struct instance *instance);
/* Makes a replica the primary, after it replayed its log.  */
void instance_promote (struct instance *instance);
/* Truncates the log where it diverges from that of the instance at PORT, and
   replicates from there.  Returns false if that instance is unreachable or of
   a term below TERM.  */
bool instance_rejoin (struct instance *instance, uint64_t term, uint16_t port);
/* Injects a fault.  Returns false if KIND is unknown or does not apply in the
   state of INSTANCE.  */
bool instance_fault (struct instance *instance, const char *kind,
                     int64_t value);
/* Returns the state as JSON; the caller frees it.  */
char *group_state (struct group *group);

/* pg_wire.c: connections and protocol.  */

/* A client connection.  */
struct session
{
  struct instance *instance;
  struct session *prev, *next;
  struct bufferevent *bev;
  struct event *timer;
  bool started;      /* the startup exchange is complete */
  bool counted;      /* in OPEN_CONNECTIONS of the instance */
  bool closing;      /* closes once its output is sent */
  bool busy;         /* a statement runs or waits; input is not read */
  bool has_slot;     /* occupies a slot of the instance */
  bool eof;          /* closes at once */
  bool skip_to_sync; /* an error occurred; messages up to Sync are ignored */
  uint64_t reload_count; /* of the instance at the start of this session */
  uint64_t wait_seq; /* position in the queue for a slot, 0 if not queued */
  bool in_transaction, failed, read_only; /* state of its transaction */
  clk_ms lock_deadline_ms;
  clk_ms statement_timeout_ms; /* in this transaction, 0 for none */
  clk_ms cancel_at_ms;  /* deadline of the running statement, 0 for none */
  bool cancelled;       /* the timeout expires before the statement ends */
  struct row *prepared; /* statements by name */
  char *statement;
  size_t param_count;
  char *params[PARAM_LIMIT];
  bool describe;       /* the client requested the columns of the result */
  char key[KEY_BYTES]; /* key of the row that the statement reads or writes */
  struct row *changes, *locks;
};

void session_accept (struct instance *instance, evutil_socket_t fd);
/* Resumes the sessions of INSTANCE after a fault ended.  */
void sessions_resume (struct instance *instance);
void sessions_close (struct instance *instance);
/* Returns the number of sessions other than KEEP, on the same instance, that
   started before its last reload.  CLOSE closes them.  */
size_t sessions_before_reload (const struct session *keep, bool close);
/* Discards the changes and locks of the transaction and ends it.  */
void session_rollback (struct session *session);
/* Sends COUNT columns, all called NAME, if the client requested them.  */
void session_columns (struct session *session, size_t count, const char *name,
                      uint32_t type);
/* Sends one row.  A value of NULL stands for SQL NULL.  */
void session_row (struct session *session, size_t count,
                  const char *const *values);
/* Ends the result of a statement with its command tag.  */
void session_complete (struct session *session, const char *tag);
/* Sends an error and fails the transaction.  */
void session_error (struct session *session, const char *sqlstate,
                    const char *message);

/* pg_exec.c: the statements that the stand-in accepts.  */

/* Returns how long the session's statement occupies a slot, -1 if it needs no
   slot.  */
clk_ms exec_cost_ms (struct session *session);

enum exec_result
{
  EXEC_DONE,
  EXEC_LOCKED, /* another transaction locks the row: retry later */
  EXEC_DROP    /* close the connection without an answer */
};

/* Runs the session's statement and sends its result.  */
enum exec_result exec_run (struct session *session);
/* Commits or rolls back an implicit transaction at Sync.  */
enum exec_result exec_sync (struct session *session);

#endif
