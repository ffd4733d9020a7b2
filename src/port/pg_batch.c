#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "port/pg_conn.h"

void
pg_batch_start (struct pg_conn *conn, pg_step next)
{
  struct pg_batch *batch = &conn->batch;
  free (batch->message);
  *batch = (struct pg_batch){ .number = batch->number + 1, .next = next };
}

void
pg_batch_restart (struct pg_conn *conn, pg_step next)
{
  struct pg_batch last = conn->batch;
  conn->batch.message = NULL;
  pg_batch_start (conn, next);
  conn->batch.message = last.message;
  conn->batch.failed = last.failed;
  conn->batch.failed_query = last.failed_query;
  memcpy (conn->batch.sqlstate, last.sqlstate, sizeof last.sqlstate);
}

static void
append_message (struct pg_conn *conn, enum pg_query query, bool prepare)
{
  struct pg_batch *batch = &conn->batch;
  batch->messages[batch->count++]
      = (struct pg_message){ .query = query, .prepare = prepare };
}

void
pg_batch_add_once (struct pg_conn *conn, enum pg_query query, const char *sql,
                   size_t param_count, const char *const *params)
{
  append_message (conn, query, false);
  PQsendQueryParams (conn->pg, sql, (int)param_count, NULL, params, NULL, NULL,
                     0);
}

void
pg_batch_add (struct pg_conn *conn, enum pg_query query, const char *sql,
              size_t param_count, const char *const *params)
{
  char name[NAME_BYTES];
  snprintf (name, sizeof name, "savoryway_%d", (int)query);
  if ((conn->prepared & 1U << query) == 0)
    {
      append_message (conn, query, true);
      PQsendPrepare (conn->pg, name, sql, (int)param_count, NULL);
    }
  append_message (conn, query, false);
  PQsendQueryPrepared (conn->pg, name, (int)param_count, params, NULL, NULL,
                       0);
}

void
pg_batch_sync (struct pg_conn *conn)
{
  struct pg_batch *batch = &conn->batch;
  PQpipelineSync (conn->pg);
  batch->messages[batch->count - 1].sync = true;
  batch->syncs++;
}

/* Single-row mode must be requested before the first result of the
   statement.  */
static void
set_row_mode (struct pg_conn *conn)
{
  const struct pg_batch *batch = &conn->batch;
  if (batch->current < batch->count
      && batch->messages[batch->current].query == PG_STATEMENT)
    PQsetSingleRowMode (conn->pg);
}

void
pg_batch_send (struct pg_conn *conn)
{
  set_row_mode (conn);
  pg_conn_flush (conn);
}

static uint64_t
field_number (const PGresult *res, int column)
{
  return strtoull (PQgetvalue (res, 0, column), NULL, 10);
}

static bool
field_bool (const PGresult *res, int column)
{
  return *PQgetvalue (res, 0, column) == 't';
}

/* Returns whether RES is the row of a query of this batch, which repeats the
   batch's number in COLUMN.  */
static bool
is_of_batch (struct pg_conn *conn, const PGresult *res, int column)
{
  bool matches = PQntuples (res) == 1 && PQnfields (res) > column
                 && field_number (res, column) == conn->batch.number;
  if (!matches)
    conn->unmatched = true;
  return matches;
}

static void
store_status (struct pg_conn *conn, const PGresult *res)
{
  if (!is_of_batch (conn, res, 8))
    return;
  conn->report = (struct db_report){
    .term = field_number (res, 0),
    .primary = field_bool (res, 1),
    .sealed_term = field_number (res, 2),
    .receiving = field_bool (res, 3),
    .received_lsn = field_number (res, 4),
    .replayed_lsn = field_number (res, 5),
    .confirmed_lsn = field_number (res, 6),
    .lag_ms = (clk_ms)field_number (res, 7),
  };
}

static void
store_answer (struct pg_conn *conn, const PGresult *res)
{
  conn->found = PQntuples (res) == 1;
  if (!conn->found)
    return;
  free (conn->result.text);
  conn->result = (struct pg_result){
    .text = mem_strdup (PQgetvalue (res, 0, 0)),
    .length = (size_t)PQgetlength (res, 0, 0),
  };
  conn->result.capacity = conn->result.length + 1;
}

static void
store_error (struct pg_conn *conn, enum pg_query query, const PGresult *res)
{
  struct pg_batch *batch = &conn->batch;
  const char *sqlstate = PQresultErrorField (res, PG_DIAG_SQLSTATE);
  const char *message = PQresultErrorField (res, PG_DIAG_MESSAGE_PRIMARY);
  batch->states[query] = PG_FAILED;
  if (batch->failed)
    return;
  batch->failed = true;
  batch->failed_query = query;
  snprintf (batch->sqlstate, sizeof batch->sqlstate, "%s",
            sqlstate == NULL ? "" : sqlstate);
  batch->message
      = mem_strdup (message == NULL ? PQresultErrorMessage (res) : message);
}

static void
store_rows (struct pg_conn *conn, enum pg_query query, const PGresult *res)
{
  if (query == PG_STATUS)
    store_status (conn, res);
  else if (query == PG_REQUIRE_TERM)
    is_of_batch (conn, res, 1);
  else if (query == PG_STATEMENT)
    pg_result_add (&conn->result, res);
  else if (query == PG_FIND)
    store_answer (conn, res);
  else
    pg_role_store_rows (conn, query, res);
}

/* COMMIT of a failed transaction succeeds with the command tag ROLLBACK.  */
static bool
is_rolled_back_commit (enum pg_query query, PGresult *res)
{
  return query == PG_COMMIT && strcmp (PQcmdStatus (res), "COMMIT") != 0;
}

static void
handle_result (struct pg_conn *conn, PGresult *res)
{
  struct pg_batch *batch = &conn->batch;
  ExecStatusType status = PQresultStatus (res);
  struct pg_message *last
      = batch->current > 0 ? &batch->messages[batch->current - 1] : NULL;
  bool sync_due = last != NULL && last->sync;
  if (sync_due != (status == PGRES_PIPELINE_SYNC))
    {
      conn->unmatched = true;
      return;
    }
  if (sync_due)
    {
      last->sync = false;
      batch->syncs--;
      return;
    }
  if (batch->current >= batch->count || status == PGRES_PIPELINE_ABORTED)
    return;
  const struct pg_message *message = &batch->messages[batch->current];
  enum pg_query query = message->query;
  if (status != PGRES_COMMAND_OK && status != PGRES_TUPLES_OK
      && status != PGRES_SINGLE_TUPLE)
    {
      store_error (conn, query, res);
      return;
    }
  if (message->prepare)
    {
      conn->prepared |= 1U << query;
      return;
    }
  store_rows (conn, query, res);
  if (query == PG_RESET)
    conn->prepared = 0;
  if (status != PGRES_SINGLE_TUPLE)
    batch->states[query]
        = is_rolled_back_commit (query, res) ? PG_FAILED : PG_DONE;
}

bool
pg_batch_read (struct pg_conn *conn)
{
  struct pg_batch *batch = &conn->batch;
  while (batch->syncs > 0 && !conn->unmatched && !PQisBusy (conn->pg))
    {
      PGresult *res = PQgetResult (conn->pg);
      if (res != NULL)
        {
          handle_result (conn, res);
          PQclear (res);
          continue;
        }
      if (batch->current >= batch->count)
        return false;
      batch->current++;
      set_row_mode (conn);
    }
  return batch->syncs == 0;
}
