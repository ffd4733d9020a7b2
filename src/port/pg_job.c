#include "port/pg_conn.h"

#include <ctype.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "kernel/mem.h"
#include "port/pg_sql.h"

#define NUMBER_BYTES 24

/* Stored in the ledger as the answer of a transaction's COMMIT.  */
#define EMPTY_ANSWER "{\"columns\":[],\"rows\":[],\"affected\":0}"

static void
add (struct pg_conn *conn, enum pg_query query, const char *sql)
{
  pg_batch_add (conn, query, sql, 0, NULL);
}

static void
add_number (struct pg_conn *conn, enum pg_query query, const char *sql,
            uint64_t number)
{
  char text[NUMBER_BYTES];
  const char *params[1] = { text };
  snprintf (text, sizeof text, "%llu", (unsigned long long)number);
  pg_batch_add (conn, query, sql, 1, params);
}

static void
add_id (struct pg_conn *conn, enum pg_query query, const char *sql)
{
  const char *params[1] = { conn->job.request_id };
  pg_batch_add (conn, query, sql, 1, params);
}

static void
add_answer (struct pg_conn *conn, enum pg_query query, const char *sql,
            const char *answer)
{
  const char *params[2] = { conn->job.request_id, answer };
  pg_batch_add (conn, query, sql, 2, params);
}

static void
add_statement (struct pg_conn *conn)
{
  if (conn->job.run_limit_ms > 0)
    add_number (conn, PG_RUN_LIMIT, PG_SQL_RUN_LIMIT,
                (uint64_t)conn->job.run_limit_ms);
  pg_result_reset (&conn->result, conn->job.result_limit_bytes);
  pg_batch_add_once (conn, PG_STATEMENT, conn->job.statement,
                     conn->job.param_count, conn->job.params);
}

/* The answer shows that it is the one to this batch before a COMMIT is
   sent.  */
static void
add_require_term (struct pg_conn *conn)
{
  char term[NUMBER_BYTES], number[NUMBER_BYTES];
  const char *params[2] = { term, number };
  snprintf (term, sizeof term, "%llu", (unsigned long long)conn->job.term);
  snprintf (number, sizeof number, "%llu",
            (unsigned long long)conn->batch.number);
  pg_batch_add (conn, PG_REQUIRE_TERM, PG_SQL_REQUIRE_TERM, 2, params);
}

void
pg_batch_status (struct pg_conn *conn)
{
  add_number (conn, PG_STATUS, PG_SQL_STATUS, conn->batch.number);
  pg_batch_sync (conn);
}

static bool
is_done (const struct pg_conn *conn, enum pg_query query)
{
  return conn->batch.states[query] == PG_DONE;
}

static bool
failed_with (const struct pg_conn *conn, const char *sqlstate)
{
  return strcmp (conn->batch.sqlstate, sqlstate) == 0;
}

static void
finish (struct pg_conn *conn, enum db_status status)
{
  pg_conn_finish (conn, status, NULL, 0);
}

static void
finish_with_rows (struct pg_conn *conn, enum db_status status)
{
  pg_conn_finish (conn, status, conn->result.text, conn->result.length);
}

/* Reports the rows if all queries of the batch succeeded, the status query
   included, else the failure.  */
static void
finish_statement (struct pg_conn *conn)
{
  if (conn->batch.failed)
    finish (conn, DB_SQL_ERROR);
  else if (conn->result.too_large)
    finish (conn, DB_TOO_LARGE);
  else
    finish_with_rows (conn, DB_OK);
}

static void
after_status (struct pg_conn *conn)
{
  finish (conn, conn->batch.failed ? DB_SQL_ERROR : DB_OK);
}

static void
start_status (struct pg_conn *conn)
{
  pg_batch_start (conn, after_status);
  pg_batch_status (conn);
  pg_batch_send (conn);
}

/* DB_READ.  The required position is checked before the statement takes its
   snapshot and the position is queried after it, so that the reported position
   covers all rows that the statement saw.  */

static void
after_read (struct pg_conn *conn)
{
  if (failed_with (conn, PG_STATE_BEHIND))
    finish (conn, DB_REFUSED);
  else
    finish_statement (conn);
}

static void
start_read (struct pg_conn *conn)
{
  pg_batch_start (conn, after_read);
  add_number (conn, PG_BEGIN_READ, PG_SQL_BEGIN_READ, conn->job.min_lsn);
  add_statement (conn);
  pg_batch_sync (conn);
  pg_batch_status (conn);
  pg_batch_send (conn);
}

/* Failure before COMMIT.  The transaction is rolled back; if the request id is
   a duplicate, the stored answer is read in the same round trip.  */

static enum db_status
status_of_failure (const struct pg_conn *conn)
{
  const struct pg_batch *batch = &conn->batch;
  if (batch->failed_query == PG_REQUIRE_TERM || batch->failed_query == PG_CLAIM
      || batch->failed_query == PG_PROBE || failed_with (conn, "25006"))
    return DB_REFUSED;
  return DB_SQL_ERROR;
}

static void
after_abort (struct pg_conn *conn)
{
  if (conn->found)
    finish_with_rows (conn, DB_DUPLICATE);
  else
    finish (conn, conn->abort_status);
}

static void
abort_job (struct pg_conn *conn, enum db_status status)
{
  bool duplicate = conn->batch.failed_query == PG_CLAIM && conn->batch.failed
                   && failed_with (conn, "23505");
  conn->abort_status = status;
  conn->commit_sent = duplicate;
  pg_batch_restart (conn, after_abort);
  add (conn, PG_ROLLBACK, PG_SQL_ROLLBACK);
  pg_batch_sync (conn);
  if (duplicate)
    {
      add_id (conn, PG_FIND, PG_SQL_FIND);
      pg_batch_sync (conn);
    }
  pg_batch_status (conn);
  pg_batch_send (conn);
}

/* DB_WRITE.  */

static void
after_commit (struct pg_conn *conn)
{
  if (!is_done (conn, PG_COMMIT))
    {
      abort_job (conn, status_of_failure (conn));
      return;
    }
  if (conn->job.kind == DB_COMMIT)
    pg_conn_finish (conn, DB_OK, EMPTY_ANSWER, strlen (EMPTY_ANSWER));
  else
    finish_with_rows (conn, DB_OK);
}

static void
send_commit (struct pg_conn *conn)
{
  add (conn, PG_COMMIT, PG_SQL_COMMIT);
  pg_batch_sync (conn);
  pg_batch_status (conn);
  conn->commit_sent = true;
  pg_batch_send (conn);
}

/* Returns whether the job writes only the ledger row, which prevents the
   request from running later.  */
static bool
is_ledger_only (const struct pg_conn *conn)
{
  return conn->job.statement == NULL || *conn->job.statement == '\0';
}

static void
send_write_commit (struct pg_conn *conn)
{
  pg_batch_start (conn, after_commit);
  if (conn->job.request_id != NULL && !is_ledger_only (conn))
    add_answer (conn, PG_ANSWER, PG_SQL_ANSWER, conn->result.text);
  send_commit (conn);
}

static void
after_write (struct pg_conn *conn)
{
  if (conn->batch.failed)
    {
      abort_job (conn, status_of_failure (conn));
      return;
    }
  if (conn->result.too_large)
    {
      abort_job (conn, DB_TOO_LARGE);
      return;
    }
  send_write_commit (conn);
}

static void
start_write (struct pg_conn *conn)
{
  bool empty = is_ledger_only (conn);
  pg_batch_start (conn, after_write);
  add (conn, PG_BEGIN, PG_SQL_BEGIN);
  add_require_term (conn);
  if (conn->job.request_id != NULL)
    add_answer (conn, PG_CLAIM, PG_SQL_CLAIM, empty ? "" : NULL);
  if (empty)
    pg_result_reset (&conn->result, 0);
  else
    add_statement (conn);
  pg_batch_sync (conn);
  pg_batch_send (conn);
}

/* Interactive transactions.  */

static void
after_begin (struct pg_conn *conn)
{
  if (conn->batch.failed)
    abort_job (conn, status_of_failure (conn));
  else
    finish (conn, DB_OK);
}

static void
start_begin (struct pg_conn *conn)
{
  pg_batch_start (conn, after_begin);
  add (conn, PG_BEGIN, PG_SQL_BEGIN);
  if (conn->job.term != 0)
    add_require_term (conn);
  pg_batch_status (conn);
  pg_batch_send (conn);
}

static void
start_execute (struct pg_conn *conn)
{
  pg_batch_start (conn, finish_statement);
  add_statement (conn);
  pg_batch_status (conn);
  pg_batch_send (conn);
}

static void
after_claim (struct pg_conn *conn)
{
  if (conn->batch.failed)
    {
      abort_job (conn, status_of_failure (conn));
      return;
    }
  pg_batch_start (conn, after_commit);
  send_commit (conn);
}

/* With a request id, COMMIT is sent only after the ledger row has been
   inserted, so that a later lookup finds the row of any transaction that may
   still commit.  */
static void
start_commit (struct pg_conn *conn)
{
  pg_batch_start (conn,
                  conn->job.request_id != NULL ? after_claim : after_commit);
  add_require_term (conn);
  if (conn->job.request_id == NULL)
    {
      send_commit (conn);
      return;
    }
  add_answer (conn, PG_CLAIM, PG_SQL_CLAIM, EMPTY_ANSWER);
  pg_batch_sync (conn);
  pg_batch_send (conn);
}

static void
start_rollback (struct pg_conn *conn)
{
  pg_batch_start (conn, after_status);
  add (conn, PG_ROLLBACK, PG_SQL_ROLLBACK);
  pg_batch_sync (conn);
  pg_batch_add_once (conn, PG_RESET, PG_SQL_RESET, 0, NULL);
  conn->prepared = 0; /* DISCARD ALL drops prepared statements */
  pg_batch_sync (conn);
  pg_batch_status (conn);
  pg_batch_send (conn);
}

/* DB_LOOKUP and DB_PURGE.  */

static void
after_lookup (struct pg_conn *conn)
{
  if (conn->batch.failed)
    abort_job (conn, status_of_failure (conn));
  else if (conn->found)
    finish_with_rows (conn, DB_OK);
  else
    finish (conn, DB_NOT_FOUND);
}

static void
start_lookup (struct pg_conn *conn)
{
  pg_batch_start (conn, after_lookup);
  add (conn, PG_BEGIN, PG_SQL_BEGIN);
  add_require_term (conn);
  add_id (conn, PG_PROBE, PG_SQL_PROBE);
  add_id (conn, PG_FIND, PG_SQL_FIND);
  add (conn, PG_ROLLBACK, PG_SQL_ROLLBACK);
  pg_batch_sync (conn);
  pg_batch_status (conn);
  pg_batch_send (conn);
}

static void
start_purge (struct pg_conn *conn)
{
  pg_batch_start (conn, after_status);
  add_number (conn, PG_PURGE, PG_SQL_PURGE, (uint64_t)conn->job.age_ms);
  pg_batch_sync (conn);
  pg_batch_status (conn);
  pg_batch_send (conn);
}

/* Statements that are not allowed, since they would begin or end a transaction
   or change the state of the session for its next user.  */

/* Returns the text behind the comment at SQL.  Comments may be nested.  */
static const char *
skip_comment (const char *sql)
{
  size_t depth = 0;
  do
    {
      bool begins = strncmp (sql, "/*", 2) == 0;
      bool ends = strncmp (sql, "*/", 2) == 0;
      if (*sql == '\0')
        return sql;
      depth += begins;
      depth -= ends;
      sql += begins || ends ? 2 : 1;
    }
  while (depth > 0);
  return sql;
}

static const char *
skip_blanks_and_comments (const char *sql)
{
  for (;;)
    {
      sql += strspn (sql, " \t\r\n\f\v;");
      if (strncmp (sql, "--", 2) == 0)
        sql += strcspn (sql, "\r\n");
      else if (strncmp (sql, "/*", 2) == 0)
        sql = skip_comment (sql);
      else
        return sql;
    }
}

static bool
is_forbidden (const char *statement)
{
  static const char *const words[]
      = { "begin",    "start",     "commit",  "end",     "rollback",
          "abort",    "prepare",   "set",     "reset",   "discard",
          "listen",   "copy",      "execute", "declare", "deallocate",
          "load",     "savepoint", "release", "do",      "call",
          "unlisten", "fetch" };
  const char *sql = skip_blanks_and_comments (statement);
  size_t length = 0;
  while (isalpha ((unsigned char)sql[length]))
    length++;
  for (size_t i = 0; i < sizeof words / sizeof words[0]; i++)
    if (strlen (words[i]) == length
        && strncasecmp (sql, words[i], length) == 0)
      return true;
  return false;
}

static void
refuse_statement (struct pg_conn *conn)
{
  finish (conn, DB_SQL_ERROR);
}

void
pg_job_start (struct pg_conn *conn)
{
  static const pg_step starts[] = {
    [DB_STATUS] = start_status,     [DB_READ] = start_read,
    [DB_WRITE] = start_write,       [DB_BEGIN] = start_begin,
    [DB_EXECUTE] = start_execute,   [DB_COMMIT] = start_commit,
    [DB_ROLLBACK] = start_rollback, [DB_LOOKUP] = start_lookup,
    [DB_SEAL] = pg_role_start,      [DB_PROMOTE] = pg_role_start,
    [DB_FOLLOW] = pg_role_start,    [DB_FENCE] = pg_role_start,
    [DB_PURGE] = start_purge,
  };
  if (conn->job.statement != NULL && is_forbidden (conn->job.statement))
    {
      pg_batch_start (conn, refuse_statement);
      strcpy (conn->batch.sqlstate, "0A000");
      conn->batch.message = mem_strdup ("statement kind is not allowed");
      pg_conn_wait (conn, 0, refuse_statement);
      return;
    }
  starts[conn->job.kind](conn);
}
