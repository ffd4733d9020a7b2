#include "pg_client.h"
#include "unit.h"

#define SLEEP "SELECT pg_sleep($1)"
#define SERIES "SELECT * FROM generate_series(1,$1)"
#define NO_ROW "{\"columns\":[\"v\"],\"rows\":[],\"affected\":0}"
#define ONE_ROW "{\"columns\":[\"v\"],\"rows\":[[1]],\"affected\":1}"

/* Clients of the stand-in; each test starts with A connected to instance
   "a".  */
static struct client a, b, c;

static void
open_first (void)
{
  setup ();
  open_instance (&a, "a");
}

static struct db_job
lookup (const char *id, uint64_t term)
{
  return (struct db_job){ .kind = DB_LOOKUP, .request_id = id, .term = term };
}

UNIT_TEST (test_status_write_and_read)
{
  open_instance (&b, "b");
  ck_assert_int_eq (run (&a, (struct db_job){ .kind = DB_STATUS }), DB_OK);
  ck_assert_uint_eq (a.result.report.term, 1);
  ck_assert (a.result.report.primary);
  ck_assert_int_eq (run (&a, put ("x", "r1", 1)), DB_OK);
  ck_assert_str_eq (a.payload, EMPTY);
  uint64_t lsn = a.result.report.received_lsn;
  ck_assert_uint_gt (lsn, 0);
  ck_assert_int_eq (run (&a, get ("x", lsn)), DB_OK);
  ck_assert_str_eq (a.payload, ONE_ROW);
  while (run (&b, get ("x", lsn)) == DB_REFUSED)
    ck_assert_uint_eq (b.result.report.term, 1);
  ck_assert_int_eq (b.result.status, DB_OK);
  ck_assert (!b.result.report.primary && b.result.report.receiving);
  ck_assert_uint_ge (b.result.report.replayed_lsn, lsn);
  ck_assert_int_eq (run (&a, (struct db_job){ .kind = DB_STATUS }), DB_OK);
  ck_assert_uint_eq (a.result.report.confirmed_lsn, lsn);
}

UNIT_TEST (test_read_cannot_write_and_replica_refuses_writes)
{
  open_instance (&b, "b");
  struct db_job job = put ("x", NULL, 0);
  job.kind = DB_READ;
  ck_assert_int_eq (run (&a, job), DB_SQL_ERROR);
  ck_assert_str_eq (a.sqlstate, "25006");
  ck_assert_int_eq (run (&b, put ("x", "r1", 1)), DB_REFUSED);
  ck_assert_uint_eq (b.result.report.term, 1);
  ck_assert_int_eq (run (&a, get ("x", 0)), DB_OK);
  ck_assert_str_eq (a.payload, NO_ROW);
}

UNIT_TEST (test_write_of_another_term_is_refused)
{
  ck_assert_int_eq (run (&a, put ("x", "r1", 2)), DB_REFUSED);
  ck_assert_uint_eq (a.result.report.term, 1);
  ck_assert_int_eq (run (&a, put ("x", "r1", 1)), DB_OK);
}

UNIT_TEST (test_duplicate_returns_the_stored_answer)
{
  struct db_job job = put ("x", "r1", 1);
  job.statement = PUT " RETURNING v";
  for (int i = 0; i < 2; i++)
    {
      ck_assert_int_eq (run (&a, job), i == 0 ? DB_OK : DB_DUPLICATE);
      ck_assert_str_eq (a.payload, ONE_ROW);
    }
  ck_assert_int_eq (run (&a, lookup ("r1", 1)), DB_OK);
  ck_assert_str_eq (a.payload, ONE_ROW);
  ck_assert_int_eq (run (&a, lookup ("r2", 1)), DB_NOT_FOUND);
}

UNIT_TEST (test_write_without_a_statement_reserves_its_request_id)
{
  struct db_job job = put ("x", "r1", 1);
  job.statement = "";
  job.param_count = 0;
  ck_assert_int_eq (run (&a, put ("x", "r0", 1)), DB_OK);
  ck_assert_int_eq (run (&a, job), DB_OK);
  ck_assert_uint_eq (a.result.payload_bytes, 0);
  ck_assert_int_eq (run (&a, put ("x", "r1", 1)), DB_DUPLICATE);
  ck_assert_uint_eq (a.result.payload_bytes, 0);
  ck_assert_int_eq (run (&a, lookup ("r1", 1)), DB_OK);
  ck_assert_uint_eq (a.result.payload_bytes, 0);
}

UNIT_TEST (test_same_id_waits_for_the_transaction_that_uses_it)
{
  struct db_job job = put ("x", "r1", 1);
  struct db_job find = lookup ("r1", 1);
  open_instance (&b, "a");
  open_instance (&c, "a");
  fault ("a", "cost", 50);
  submit (&a, &job);
  while (state ("\"statements\": ") < 1)
    continue;
  submit (&b, &job);
  submit (&c, &find);
  ck_assert_int_eq (wait_answer (&b), DB_DUPLICATE);
  ck_assert_str_eq (b.payload, EMPTY);
  ck_assert_int_eq (wait_answer (&c), DB_OK);
  ck_assert_int_eq (wait_answer (&a), DB_OK);

  job.request_id = find.request_id = "r2";
  submit (&a, &job);
  while (state ("\"statements\": ") < 2)
    continue;
  submit (&c, &find);
  port->ops->close (port, a.conn);
  ck_assert_int_eq (wait_answer (&c), DB_NOT_FOUND);
  ck_assert_int_eq (run (&b, job), DB_OK);
}

UNIT_TEST (test_lost_answer_is_in_the_ledger)
{
  fault ("a", "drop_answer", 0);
  ck_assert_int_eq (run (&a, put ("x", "r1", 1)), DB_LOST);
  open_instance (&a, "a");
  ck_assert_int_eq (run (&a, lookup ("r1", 0)), DB_OK);
  ck_assert_str_eq (a.payload, EMPTY);
}

UNIT_TEST (test_sql_error_leaves_no_effect_and_the_connection_usable)
{
  struct db_job job = put ("x", "r1", 1);
  job.statement = "SELECT 1/0";
  ck_assert_int_eq (run (&a, job), DB_SQL_ERROR);
  ck_assert_str_eq (a.sqlstate, "22012");
  job.statement = " /* x */ Commit";
  ck_assert_int_eq (run (&a, job), DB_SQL_ERROR);
  ck_assert_str_eq (a.sqlstate, "0A000");
  ck_assert_int_eq (run (&a, put ("x", "r1", 1)), DB_OK);
}

/* Guards against UNASKED: comments nest in PostgreSQL, so what followed the
   first end of a nested comment hid a COMMIT or SET.  */
UNIT_TEST (test_a_statement_behind_nested_comments_is_refused)
{
  static const char *const texts[]
      = { "/* /* */ */ COMMIT", "/*/**/-- */\nSET search_path = x",
          "/***//**/ ROLLBACK", "/*/ */ BEGIN" };
  struct db_job job = get ("x", 0);
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      job.statement = texts[i];
      ck_assert_int_eq (run (&a, job), DB_SQL_ERROR);
      ck_assert_str_eq (a.sqlstate, "0A000");
    }
}

UNIT_TEST (test_result_over_the_limit_is_an_error_without_effect)
{
  struct db_job job = get ("1000", 0);
  job.statement = SERIES;
  job.result_limit_bytes = 1000;
  ck_assert_int_eq (run (&a, job), DB_TOO_LARGE);
  job.kind = DB_WRITE;
  job.request_id = "r1";
  ck_assert_int_eq (run (&a, job), DB_TOO_LARGE);
  ck_assert_int_eq (run (&a, lookup ("r1", 0)), DB_NOT_FOUND);
  job.result_limit_bytes = 100000;
  ck_assert_int_eq (run (&a, job), DB_OK);
  ck_assert_uint_gt (a.result.payload_bytes, 1000);
}

UNIT_TEST (test_result_far_over_the_limit_closes_the_connection)
{
  struct db_job job = get ("250000", 0);
  job.statement = SERIES;
  job.kind = DB_WRITE;
  job.request_id = "r1";
  job.term = 1;
  job.result_limit_bytes = 1000;
  ck_assert_int_eq (run (&a, job), DB_TOO_LARGE);
  ck_assert (a.result.broken);
  while (!a.closed)
    event_base_loop (base, EVLOOP_ONCE);
  open_instance (&a, "a");
  ck_assert_int_eq (run (&a, put ("x", "r1", 1)), DB_OK);
}

UNIT_TEST (test_statements_wait_for_slots_in_order)
{
  struct client *const clients[] = { &a, &b, &c };
  struct db_job job = get ("0.05", 0);
  job.statement = SLEEP;
  open_instance (&b, "a");
  open_instance (&c, "a");
  for (int i = 0; i < 3; i++)
    {
      submit (clients[i], &job);
      while (state ("\"statements\": ") <= i)
        continue;
    }
  ck_assert_int_le (state ("\"slots_busy\": "), 2);
  ck_assert_int_eq (wait_answer (clients[2]), DB_OK);
  ck_assert (clients[0]->answered && clients[1]->answered);
}

UNIT_TEST (test_run_limit_frees_the_slot)
{
  struct client *const clients[] = { &a, &b, &c };
  struct db_job job = get ("30", 0);
  job.statement = SLEEP;
  job.run_limit_ms = 20;
  open_instance (&b, "a");
  open_instance (&c, "a");
  for (int i = 0; i < 3; i++)
    submit (clients[i], &job);
  for (int i = 0; i < 3; i++)
    {
      ck_assert_int_eq (wait_answer (clients[i]), DB_SQL_ERROR);
      ck_assert_str_eq (clients[i]->sqlstate, "57014");
    }
  ck_assert_int_eq (state ("\"slots_busy\": "), 0);
  job = put ("x", "r1", 1);
  job.run_limit_ms = 1000;
  ck_assert_int_eq (run (clients[0], job), DB_OK);
}

UNIT_TEST (test_transaction)
{
  open_instance (&b, "a");
  struct db_job begin = { .kind = DB_BEGIN, .term = 1 };
  struct db_job commit = { .kind = DB_COMMIT, .term = 1, .request_id = "t1" };
  struct db_job execute = put ("x", NULL, 0);
  execute.kind = DB_EXECUTE;
  ck_assert_int_eq (run (&a, begin), DB_OK);
  ck_assert_int_eq (run (&a, execute), DB_OK);
  ck_assert_int_eq (run (&b, get ("x", 0)), DB_OK);
  ck_assert_str_eq (b.payload, NO_ROW);
  ck_assert_int_eq (run (&a, commit), DB_OK);
  ck_assert_int_eq (run (&a, begin), DB_OK);
  ck_assert_int_eq (run (&a, execute), DB_OK);
  ck_assert_int_eq (run (&a, (struct db_job){ .kind = DB_ROLLBACK }), DB_OK);
  ck_assert_int_eq (run (&a, begin), DB_OK);
  ck_assert_int_eq (run (&a, execute), DB_OK);
  ck_assert_int_eq (run (&a, commit), DB_DUPLICATE);
  begin.term = 9;
  ck_assert_int_eq (run (&a, begin), DB_REFUSED);
  ck_assert_int_eq (run (&a, get ("x", 0)), DB_OK);
  ck_assert_str_eq (a.payload, ONE_ROW);
}

UNIT_TEST (test_purge_deletes_old_ledger_rows)
{
  struct db_job purge = { .kind = DB_PURGE, .age_ms = 60000 };
  ck_assert_int_eq (run (&a, put ("x", "r1", 1)), DB_OK);
  ck_assert_int_eq (run (&a, purge), DB_OK);
  ck_assert_int_eq (run (&a, lookup ("r1", 0)), DB_OK);
  usleep (2000);
  purge.age_ms = 0;
  ck_assert_int_eq (run (&a, purge), DB_OK);
  ck_assert_int_eq (run (&a, lookup ("r1", 0)), DB_NOT_FOUND);
}

UNIT_MAIN ("pg_port", .setup = open_first, .teardown = teardown)
