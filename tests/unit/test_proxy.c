/* Routing of statements, transactions, promotion, and registration of hosts,
   on a simulated fleet.  */

#include "kernel/mem.h"
#include "proxy/lease.h"
#include "proxy/samples.h"
#include "tests/fleet/fleet_unit.h"

UNIT_TEST (test_reads_of_bounded_staleness_use_replicas)
{
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_BOUNDED);
  int on_primary = 0;
  for (int i = 0; i < 400; i++)
    {
      ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_OK);
      on_primary += strcmp (fleet_caller_server (caller), "i-0") == 0;
    }
  ck_assert_int_lt (on_primary, 40);
}

UNIT_TEST (test_a_session_reads_its_own_writes)
{
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 1), FLEET_DATABASE_SESSION);
  for (int i = 0; i < 30; i++)
    {
      ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
      ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_OK);
    }
}

UNIT_TEST (test_reads_use_the_primary_if_the_replicas_lag)
{
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 1), FLEET_DATABASE_SESSION);
  fleet_instance (fleet, 1)->lag_ms = 5000;
  fleet_instance (fleet, 2)->lag_ms = 5000;
  ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_OK);
  ck_assert_str_eq (fleet_caller_server (caller), "i-0");
  ck_assert_int_lt (fleet_caller_took_ms (caller), 60);
}

UNIT_TEST (test_a_transaction_runs_on_one_connection_and_commits_once)
{
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 2), FLEET_DATABASE_PRIMARY);
  ck_assert_int_eq (run (caller, STMT_BEGIN, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
  ck_assert_int_eq (fleet_caller_state (caller), TX_OPEN);
  ck_assert_int_eq (run (caller, STMT_COMMIT, NULL, NULL), CODE_OK);
  ck_assert_int_eq (fleet_caller_state (caller), TX_IDLE);
}

UNIT_TEST (test_values_and_prepared_statements_follow_the_session)
{
  struct fleet_host *host = fleet_host (fleet, 0);
  struct fleet_caller *a = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  struct fleet_caller *b = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  ck_assert_int_eq (run (a, STMT_SET, "lang", "sw"), CODE_OK);
  ck_assert_int_eq (run (a, STMT_PREPARE_READ, "s1", "qa"), CODE_OK);
  ck_assert_int_eq (run (b, STMT_PREPARE_WRITE, "s1", "qb"), CODE_OK);
  for (int i = 0; i < 10; i++)
    {
      ck_assert_int_eq (run (a, STMT_EXECUTE, "s1", "x"), CODE_OK);
      ck_assert_int_eq (run (b, STMT_EXECUTE, "s1", "x 1"), CODE_OK);
    }
  ck_assert_int_eq (run (a, STMT_BEGIN, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (a, STMT_READ, "y", NULL), CODE_OK);
  ck_assert_int_eq (run (a, STMT_SET, "lang", "en"), CODE_OK);
  ck_assert_int_eq (run (a, STMT_READ, "y", NULL), CODE_OK);
  ck_assert_int_eq (run (a, STMT_COMMIT, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (b, STMT_EXECUTE, "unknown", "x"), CODE_NOSTMT);
}

/* Guards against a host that ends: each SET was passed on at once, until no
   more answers of the connection could be awaited.  */
UNIT_TEST (test_values_pipelined_in_a_transaction_are_refused_beyond_a_limit)
{
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  int set = 0;
  ck_assert_int_eq (run (caller, STMT_BEGIN, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
  for (int i = 0; i < 200; i++)
    {
      char value[16];
      snprintf (value, sizeof value, "%d", i);
      fleet_caller_send (caller, STMT_SET, "x", value);
      ck_assert (!fleet_caller_waits (caller));
      enum code code = fleet_caller_code (caller);
      ck_assert (code == CODE_OK || code == CODE_BUSY);
      set += code == CODE_OK;
    }
  ck_assert_int_eq (set, CALLER_VALUES_FLIGHT);
  ck_assert_int_eq (fleet_caller_state (caller), TX_OPEN);
  ck_assert_int_eq (run (caller, STMT_WRITE, "a 2", NULL), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_SET, "x", "last"), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_COMMIT, NULL, NULL), CODE_OK);
}

UNIT_TEST (test_state_of_sessions_is_refused_beyond_a_limit)
{
  struct fleet_host *host = fleet_host (fleet, 0);
  struct fleet_caller *a = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  struct fleet_caller *b = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  size_t size = CALLER_STATE_SMALL_BYTES;
  char *large = mem_zalloc (2 * size + 1);
  memset (large, 'v', 2 * size);
  callers_limit_state (host->callers, 4 * size, size + 1024);
  ck_assert_int_eq (run (a, STMT_SET, "x", large), CODE_OK);
  ck_assert_int_eq (run (b, STMT_SET, "x", large), CODE_TOOLARGE);
  ck_assert_int_eq (run (b, STMT_SET, "x", "small"), CODE_OK);
  ck_assert_int_eq (run (b, STMT_PREPARE_READ, large, "q"), CODE_TOOLARGE);
  ck_assert_int_eq (run (a, STMT_SET, "x", "small"), CODE_OK);
  ck_assert_int_eq (run (b, STMT_SET, "x", large), CODE_OK);
  fleet_caller_close (b);
  ck_assert_int_eq (run (a, STMT_SET, "y", large), CODE_OK);
  ck_assert_int_eq (run (a, STMT_SET, "x", "smaller"), CODE_OK);
  free (large);
}

UNIT_TEST (test_a_commit_refused_as_busy_ends_the_transaction)
{
  struct fleet_host *host = fleet_host (fleet, 0);
  struct fleet_caller *a = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  struct fleet_caller *b = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  ck_assert_int_eq (run (a, STMT_BEGIN, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (a, STMT_WRITE, "a 1", NULL), CODE_OK);
  fleet_instance (fleet, 0)->busy_percent = 100;
  ck_assert_int_ne (run (a, STMT_COMMIT, NULL, NULL), CODE_OK);
  ck_assert_int_eq (fleet_caller_state (a), TX_IDLE);
  fleet_instance (fleet, 0)->busy_percent = 0;
  for (int i = 0; i < 10; i++)
    ck_assert_int_eq (run (b, STMT_WRITE, "b 1", NULL), CODE_OK);
}

UNIT_TEST (test_a_caller_closed_in_a_transaction_affects_no_other_caller)
{
  struct fleet_host *host = fleet_host (fleet, 0);
  for (int i = 0; i < 10; i++)
    {
      struct fleet_caller *a
          = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
      ck_assert_int_eq (run (a, STMT_BEGIN, NULL, NULL), CODE_OK);
      ck_assert_int_eq (run (a, STMT_WRITE, "a 1", NULL), CODE_OK);
      if (i % 2 == 0)
        fleet_caller_send (a, STMT_READ, "a", NULL);
      fleet_caller_close (a);
      struct fleet_caller *b
          = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
      ck_assert_int_eq (run (b, STMT_READ, "a", NULL), CODE_OK);
      fleet_caller_close (b);
    }
}

UNIT_TEST (test_an_idle_transaction_is_aborted)
{
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  ck_assert_int_eq (run (caller, STMT_BEGIN, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
  fleet_run (fleet, 3500);
  ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_ABORTED);
  ck_assert_int_eq (fleet_caller_state (caller), TX_FAILED);
  ck_assert_int_eq (run (caller, STMT_ROLLBACK, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_OK);
}

/* Guards against writes of unknown outcome: a refusal that was equal to an
   earlier one, as nothing was committed between, closed the connection.  */
UNIT_TEST (test_a_refusal_like_an_earlier_one_is_retried)
{
  struct fleet_instance *primary = fleet_instance (fleet, 0);
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
  uint64_t opened = primary->opened;
  for (int i = 0; i < 20; i++)
    {
      bool in_transaction = i % 2 != 0;
      if (in_transaction)
        ck_assert_int_eq (run (caller, STMT_BEGIN, NULL, NULL), CODE_OK);
      primary->busy_percent = 100;
      fleet_caller_send (caller, STMT_WRITE, "a 2", NULL);
      fleet_run (fleet, 30);
      primary->busy_percent = 0;
      fleet_run (fleet, 300);
      ck_assert (!fleet_caller_waits (caller));
      ck_assert_int_eq (fleet_caller_code (caller), CODE_OK);
      if (in_transaction)
        ck_assert_int_eq (run (caller, STMT_ROLLBACK, NULL, NULL), CODE_OK);
    }
  ck_assert_uint_eq (primary->opened, opened);
}

/* Guards against REFUSED and TWICE: a refusal came twice, and so did the
   answers to the statements behind it.  */
UNIT_TEST (test_a_refusal_that_comes_twice_with_all_behind_it_refuses_nothing)
{
  struct fleet_instance *primary = fleet_instance (fleet, 0);
  primary->repeated_percent = 100;
  primary->repeat_ms = 20;
  primary->repeat_in_order = true;
  for (int i = 0; i < 100; i++)
    {
      struct fleet_caller *caller
          = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
      run (caller, STMT_BEGIN, NULL, NULL);
      run (caller, STMT_WRITE, "a 1", NULL);
      primary->busy_percent = 100;
      fleet_caller_send (caller, STMT_COMMIT, NULL, NULL);
      fleet_run (fleet, 18);
      primary->busy_percent = 0;
      fleet_run (fleet, 300);
      fleet_caller_close (caller);
      ck_assert_msg (fleet_violation (fleet) == NULL, "%d: %s", i,
                     fleet_violation (fleet));
    }
}

/* Guards against statements that are never sent: the answer of a statement
   came while a refusal was held back, and the next one awaited the statements
   behind it for ever.  */
UNIT_TEST (test_a_statement_is_sent_after_a_refusal_that_was_not_its_own)
{
  struct fleet_instance *primary = fleet_instance (fleet, 0);
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  struct fleet_caller *writer
      = fleet_caller_open (fleet_host (fleet, 1), FLEET_DATABASE_PRIMARY);
  primary->repeat_ms = 60;
  primary->repeat_in_order = true;
  for (int i = 0; i < 60; i++)
    {
      run (writer, STMT_WRITE, "b 1", NULL);
      run (caller, STMT_BEGIN, NULL, NULL);
      run (caller, STMT_READ, "a", NULL);
      primary->busy_percent = primary->repeated_percent = 100;
      fleet_caller_send (caller, STMT_COMMIT, NULL, NULL);
      uint64_t repeated = primary->repeated;
      while (primary->repeated == repeated)
        fleet_run (fleet, 1);
      primary->busy_percent = primary->repeated_percent = 0;
      for (int j = 0; j < ANSWER_MS && fleet_caller_waits (caller); j++)
        fleet_run (fleet, 1);
      run (caller, STMT_BEGIN, NULL, NULL);
      for (int j = 0; j < 12; j++)
        {
          ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_OK);
          ck_assert_int_lt (fleet_caller_took_ms (caller), 200);
        }
      run (caller, STMT_ROLLBACK, NULL, NULL);
      fleet_run (fleet, 100);
    }
}

/* Guards against PINNED: an answer to a SET came twice and was taken for that
   to the next RESET, so that a statement was sent before its own SET was
   answered, which was refused.  */
UNIT_TEST (test_a_statement_awaits_the_answers_to_all_of_its_values)
{
  struct fleet_instance *primary = fleet_instance (fleet, 0);
  struct fleet_host *host = fleet_host (fleet, 0);
  struct fleet_caller *a = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  struct fleet_caller *b = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  run (a, STMT_SET, "lang", "sw");
  run (b, STMT_SET, "lang", "en");
  primary->repeat_ms = 40;
  primary->repeat_in_order = true;
  for (int i = 0; i < 80; i++)
    {
      run (b, STMT_WRITE, "a 1", NULL);
      fleet_caller_send (a, STMT_WRITE, "a 1", NULL);
      uint64_t repeated = primary->repeated;
      primary->repeated_percent = 100;
      while (primary->repeated < repeated + 2)
        fleet_run (fleet, 1);
      primary->repeated_percent = 0;
      fleet_run (fleet, 16 + i % 24);
      primary->refuses_values = true;
      fleet_caller_send (b, STMT_WRITE, "a 2", NULL);
      fleet_run (fleet, 60);
      primary->refuses_values = false;
      fleet_run (fleet, 1500);
      ck_assert_msg (fleet_violation (fleet) == NULL, "%d: %s", i,
                     fleet_violation (fleet));
    }
}

/* Guards against PINNED and INDOUBT: a refusal that came twice was taken for
   that of a BEGIN, and the connection was reused with the transaction open. */
UNIT_TEST (test_a_connection_is_not_reused_after_a_begin_with_a_doubtful_error)
{
  struct fleet_instance *primary = fleet_instance (fleet, 0);
  struct fleet_host *host = fleet_host (fleet, 0);
  struct fleet_caller *b = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  struct fleet_caller *c = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  primary->repeat_ms = 60;
  primary->repeat_in_order = true;
  for (int i = 0; i < 200; i++)
    {
      struct fleet_caller *a
          = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
      fleet_caller_send (a, STMT_WRITE, "a 1", NULL);
      uint64_t repeated = primary->repeated;
      primary->busy_percent = primary->repeated_percent = 100;
      while (primary->repeated == repeated)
        fleet_run (fleet, 1);
      primary->busy_percent = primary->repeated_percent = 0;
      fleet_caller_close (a);
      for (int j = 0; j < 57 + i % 4; j++)
        fleet_run (fleet, 1);
      run (b, STMT_BEGIN, NULL, NULL);
      fleet_caller_send (b, STMT_READ, "a", NULL);
      for (int j = 0; j < i / 4 % 6; j++)
        fleet_run (fleet, 1);
      ck_assert_int_eq (run (c, STMT_WRITE, "a 2", NULL), CODE_OK);
      fleet_run (fleet, 300);
      ck_assert (!fleet_caller_waits (b));
      run (b, STMT_ROLLBACK, NULL, NULL);
      ck_assert_msg (fleet_violation (fleet) == NULL, "%d: %s", i,
                     fleet_violation (fleet));
    }
}

UNIT_TEST (test_a_write_whose_answer_is_lost_is_not_reported_as_refused)
{
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  fleet_instance (fleet, 0)->lost_percent = 100;
  enum code code = run (caller, STMT_WRITE, "a 1", NULL);
  ck_assert (code == CODE_TIMEOUT || code == CODE_INDOUBT);
  fleet_instance (fleet, 0)->lost_percent = 0;
}

UNIT_TEST (test_a_read_whose_answer_is_lost_is_retried_elsewhere)
{
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_BOUNDED);
  fleet_instance (fleet, 1)->lost_percent = 100;
  for (int i = 0; i < 10; i++)
    ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_OK);
  fleet_instance (fleet, 1)->lost_percent = 0;
}

UNIT_TEST (test_reads_in_flight_to_an_unreachable_instance_are_retried)
{
  struct fleet_caller *callers[30];
  for (int i = 0; i < 30; i++)
    callers[i]
        = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_BOUNDED);
  fleet_instance (fleet, 1)->unreachable = true;
  for (int i = 0; i < 30; i++)
    fleet_caller_send (callers[i], STMT_READ, "a", NULL);
  fleet_run (fleet, 750);
  for (int i = 0; i < 30; i++)
    {
      ck_assert (!fleet_caller_waits (callers[i]));
      ck_assert_int_eq (fleet_caller_code (callers[i]), CODE_OK);
    }
}

UNIT_TEST (test_an_unreachable_primary_is_replaced_within_a_second)
{
  fleet_instance (fleet, 0)->unreachable = true;
  clk_ms gap_ms = write_gap_ms (fleet_host (fleet, 1));
  ck_assert_int_eq (fleet_promotions (fleet), 1);
  ck_assert_int_le (gap_ms, 1000 + FLEET_PROMOTE_MS);
}

/* A promoted instance is the primary before it has applied all of the log that
   it received.  */
UNIT_TEST (test_a_new_primary_serves_no_read_until_it_has_applied_its_log)
{
  struct fleet_caller *writer
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  for (int i = 0; i < 5; i++)
    ck_assert_int_eq (run (writer, STMT_WRITE, "a 1", NULL), CODE_OK);
  fleet_run (fleet, 200);
  fleet_instance (fleet, 1)->lag_ms = 1500;
  fleet_instance (fleet, 2)->lag_ms = 1500;
  for (int i = 0; i < 10; i++)
    ck_assert_int_eq (run (writer, STMT_WRITE, "a 1", NULL), CODE_OK);
  fleet_instance (fleet, 0)->unreachable = true;
  for (size_t i = 0; i < 200; i++)
    {
      struct fleet_host *host = fleet_host (fleet, i % FLEET_DEFAULT_HOSTS);
      struct fleet_caller *reader = fleet_caller_open (
          host, i % 2 ? FLEET_DATABASE_PRIMARY : FLEET_DATABASE_SESSION);
      fleet_caller_send (reader, STMT_READ, "a", NULL);
      fleet_run (fleet, 20);
    }
  ck_assert_uint_eq (fleet_promotions (fleet), 1);
  ck_assert_int_eq (run (writer, STMT_READ, "a", NULL), CODE_OK);
}

/* Lets i-0 be replaced as the primary and then lead again, without having
   applied a commit of the primary between, which it has received.  MISSES sees
   none of that, and is then let go on by SEE.  */
static void
lead_again (struct fleet_host *misses,
            void (*see) (struct fleet_host *host, bool sees))
{
  struct fleet_instance *first = fleet_instance (fleet, 0);
  struct fleet_host *writes_at = fleet_host (fleet, 0);
  struct fleet_caller *writer
      = fleet_caller_open (writes_at, FLEET_DATABASE_PRIMARY);
  ck_assert (misses != writes_at && misses != duty_holder ());
  ck_assert_int_eq (run (writer, STMT_WRITE, "a 1", NULL), CODE_OK);
  fleet_run (fleet, 300);
  for (size_t i = 0; i < FLEET_INSTANCES; i++)
    fleet_instance (fleet, i)->lag_ms = 4000;
  see (misses, false);
  first->unreachable = true;
  write_gap_ms (writes_at);
  struct fleet_instance *second = fleet_primary (fleet);
  ck_assert (second != first);
  first->unreachable = false;
  fleet_run (fleet, 400);
  ck_assert_int_eq (run (writer, STMT_WRITE, "a 2", NULL), CODE_OK);
  fleet_instance (fleet, second == fleet_instance (fleet, 1) ? 2 : 1)
      ->replication_stopped
      = true;
  ck_assert_int_eq (run (writer, STMT_WRITE, "a 3", NULL), CODE_OK);
  fleet_run (fleet, 50);
  second->unreachable = true;
  while (fleet_primary (fleet) != first)
    fleet_run (fleet, 5);
  ck_assert_int_lt (position_compare (first->applied, first->received), 0);
  see (misses, true);
}

/* Guards against STALE: the oracle reports a read that lacks a commit.  */
static void
read_of_all_kinds (struct fleet_host *host)
{
  static const char *const databases[]
      = { FLEET_DATABASE_PRIMARY, FLEET_DATABASE_BOUNDED,
          FLEET_DATABASE_SESSION };
  for (int i = 0; i < 60; i++)
    {
      struct fleet_caller *reader = fleet_caller_open (host, databases[i % 3]);
      run (reader, STMT_READ, "a", NULL);
      ck_assert_msg (fleet_violation (fleet) == NULL, "%s",
                     fleet_violation (fleet));
      fleet_caller_close (reader);
    }
}

static void
freeze (struct fleet_host *host, bool sees)
{
  fleet_host_freeze (host, sees ? 0 : 60000);
}

static void
cut_off (struct fleet_host *host, bool sees)
{
  host->peers_cut = host->store_cut = !sees;
  for (size_t i = 0; i < FLEET_INSTANCES; i++)
    host->instances_cut[i] = !sees;
}

/* Returns a host that does not hold the duty.  */
static struct fleet_host *
other_host (void)
{
  struct fleet_host *host = fleet_host (fleet, 1);
  return host == duty_holder () ? fleet_host (fleet, 2) : host;
}

/* Guards against STALE: a host that stood still took a primary that leads
   again for one that has applied its log.  */
UNIT_TEST (test_a_host_that_stood_still_checks_the_log_of_a_primary_again)
{
  struct fleet_host *host = other_host ();
  read_of_all_kinds (host);
  lead_again (host, freeze);
  read_of_all_kinds (host);
}

/* Guards against STALE: the same for a host that was cut off.  */
UNIT_TEST (test_a_host_that_was_cut_off_checks_the_log_of_a_primary_again)
{
  struct fleet_host *host = other_host ();
  read_of_all_kinds (host);
  lead_again (host, cut_off);
  read_of_all_kinds (host);
}

/* Writes COUNT entries of the group at which nothing listens.  Their ids are
   PREFIX and a number.  */
static void
put_dead_entries (const char *prefix, int count)
{
  for (int i = 0; i < count; i++)
    {
      char key[NAME_BYTES], value[512];
      snprintf (key, sizeof key, "servers/%s%02d", prefix, i);
      snprintf (value, sizeof value,
                "{\"service\":\"" FLEET_GROUP "\",\"address\":"
                "\"10.9.0.1:%d\",\"zone\":\"zone-0\",\"version\":\"v1\","
                "\"capacity\":5,\"cold_remaining_ms\":0,\"state\":\"ready\","
                "\"db_role\":\"replica\",\"sequence\":1,\"born\":1}",
                2000 + i);
      fleet_store_put (fleet, key, value);
    }
}

/* Guards against RECOVER: entries of instances that don't answer took all
   places of a group.  */
UNIT_LOOP (test_entries_that_do_not_answer_keep_no_place, 0, 2)
{
  static const char *const prefixes[] = { "a-", "x-" };
  put_dead_entries (prefixes[_i], 40);
  for (size_t i = 0; i < fleet->host_count; i++)
    fleet_host_kill (fleet_host (fleet, i));
  for (size_t i = 0; i < fleet->host_count; i++)
    fleet_host_start (fleet_host (fleet, i));
  fleet_run (fleet, 10000);
  for (size_t i = 0; i < fleet->host_count; i++)
    {
      struct fleet_caller *caller
          = fleet_caller_open (fleet_host (fleet, i), FLEET_DATABASE_PRIMARY);
      ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
      ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_OK);
    }
  ck_assert (fleet_primary (fleet) == fleet_instance (fleet, 0));
}

/* Cuts PRIMARY off from two of the three failure domains, among them that of
   the holder of the duty, and restarts the holder.  Returns a host of the
   third.  */
static struct fleet_host *
cut_and_restart_holder (size_t primary)
{
  struct fleet_host *holder = duty_holder (), *kept = NULL;
  size_t keep = ((size_t)(holder - fleet->hosts) + 1) % FLEET_ZONES;
  for (size_t i = 0; i < FLEET_DEFAULT_HOSTS; i++)
    if (i % FLEET_ZONES == keep)
      kept = fleet_host (fleet, i);
    else
      fleet_host (fleet, i)->instances_cut[primary] = true;
  fleet_host_kill (holder);
  fleet_host_start (holder);
  return kept;
}

/* Guards against LOST: a holder of the duty that had just started sent PAUSE
   with a term that had no effect, and promoted an instance that lacked commits
   which the other one went on to acknowledge.  */
UNIT_TEST (test_no_acknowledged_commit_is_lost_by_a_holder_that_just_started)
{
  fleet_free (fleet);
  fleet = fleet_new_with (
      7, FLEET_DEFAULT_HOSTS,
      &(struct fleet_options){ .connections = FLEET_CONNECTIONS,
                               .sync_replicas = 1 });
  fleet_run (fleet, SETTLE_MS);
  /* The second term.  */
  fleet_instance (fleet, 0)->draining = true;
  fleet_publish (fleet);
  fleet_run (fleet, 3000);
  fleet_instance (fleet, 0)->draining = false;
  fleet_publish (fleet);
  fleet_run (fleet, 1000);
  ck_assert_uint_eq (fleet_promotions (fleet), 1);
  size_t primary = (size_t)(fleet_primary (fleet) - fleet->instances);
  struct fleet_instance *one
      = fleet_instance (fleet, (primary + 1) % FLEET_INSTANCES);
  struct fleet_instance *other
      = fleet_instance (fleet, (primary + 2) % FLEET_INSTANCES);
  struct fleet_caller *writer = fleet_caller_open (
      cut_and_restart_holder (primary), FLEET_DATABASE_PRIMARY);
  clk_ms until_ms = fleet_now (fleet) + 8000;
  for (int i = 0; fleet_now (fleet) < until_ms; i++)
    {
      /* They receive the log in turns.  */
      one->replication_stopped = i % 20 < 10;
      other->replication_stopped = i % 20 >= 10;
      if (!fleet_caller_waits (writer))
        fleet_caller_send (writer, STMT_WRITE, "a 1", NULL);
      fleet_run (fleet, 10);
      ck_assert_msg (fleet_violation (fleet) == NULL, "%s",
                     fleet_violation (fleet));
    }
  ck_assert_uint_gt (fleet_promotions (fleet), 1);
}

UNIT_TEST (test_the_instance_with_the_longest_log_is_promoted)
{
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  fleet_instance (fleet, 1)->replication_stopped = true;
  for (int i = 0; i < 5; i++)
    ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
  fleet_run (fleet, 100);
  fleet_instance (fleet, 0)->unreachable = true;
  write_gap_ms (fleet_host (fleet, 1));
  ck_assert (fleet_primary (fleet) == fleet_instance (fleet, 2));
}

UNIT_TEST (test_a_draining_primary_is_replaced_without_loss)
{
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  for (int i = 0; i < 5; i++)
    ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
  struct position before = fleet_primary (fleet)->applied;
  fleet_instance (fleet, 0)->draining = true;
  fleet_publish (fleet);
  clk_ms gap_ms = write_gap_ms (fleet_host (fleet, 1));
  fleet_run (fleet, 1000);
  ck_assert_int_eq (fleet_promotions (fleet), 1);
  ck_assert (fleet_primary (fleet) != fleet_instance (fleet, 0));
  ck_assert_uint_ge (fleet_primary (fleet)->applied.lsn, before.lsn + 1);
  ck_assert_int_le (gap_ms, 200 + FLEET_PROMOTE_MS);
}

/* Guards against DRAIN: a leaving primary that no replica can succeed was sent
   statements until it ended.  */
UNIT_TEST (test_a_leaving_primary_without_a_successor_gets_no_new_work)
{
  struct fleet_caller *writer
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  struct fleet_caller *reader
      = fleet_caller_open (fleet_host (fleet, 1), FLEET_DATABASE_SESSION);
  fleet_instance (fleet, 1)->replication_stopped = true;
  fleet_instance (fleet, 2)->replication_stopped = true;
  ck_assert_int_eq (run (writer, STMT_WRITE, "a 1", NULL), CODE_OK);
  fleet_instance (fleet, 0)->draining = true;
  fleet_publish (fleet);
  clk_ms until_ms = fleet_now (fleet) + FLEET_DRAIN_MS + 3000;
  while (fleet_now (fleet) < until_ms)
    {
      run (writer, STMT_WRITE, "a 1", NULL);
      run (reader, STMT_READ, "a", NULL);
      fleet_run (fleet, 20);
    }
  /* Only it has all commits.  */
  ck_assert (fleet_primary (fleet) == fleet_instance (fleet, 0));
  ck_assert_int_eq (fleet_caller_code (writer), CODE_BUSY);
}

/* Guards against DRAIN: a host that has just started took an old announcement
   for a new one, as it came with the second page of its first listing.  */
UNIT_TEST (test_a_host_that_starts_sends_no_work_to_an_instance_that_leaves)
{
  fleet_instance (fleet, 1)->replication_stopped = true;
  fleet_instance (fleet, 2)->replication_stopped = true;
  struct fleet_caller *writer
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  ck_assert_int_eq (run (writer, STMT_WRITE, "a 1", NULL), CODE_OK);
  fleet_instance (fleet, 0)->draining = true;
  fleet_publish (fleet);
  fleet_run (fleet, FLEET_DRAIN_MS - FLEET_TOUCH_MS + 1000);
  fleet_host_kill (fleet_host (fleet, 1));
  fleet_host_start (fleet_host (fleet, 1));
  fleet_run (fleet, 100);
  read_through_all (FLEET_TOUCH_MS + 1000);
  struct fleet_caller *other
      = fleet_caller_open (fleet_host (fleet, 1), FLEET_DATABASE_PRIMARY);
  ck_assert_int_eq (run (other, STMT_WRITE, "a 1", NULL), CODE_BUSY);
}

/* Guards against DRAIN: a statement in the queue for a connection was sent
   however long ago the instance had announced that it leaves.  */
UNIT_TEST (test_a_queued_statement_is_not_sent_to_an_instance_that_has_left)
{
  struct fleet_caller *callers[GROUP_SHARE_LIMIT + 1];
  struct fleet_host *host = fleet_host (fleet, 0);
  for (size_t i = 0; i <= GROUP_SHARE_LIMIT; i++)
    callers[i] = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  fleet_instance (fleet, 1)->replication_stopped = true;
  fleet_instance (fleet, 2)->replication_stopped = true;
  ck_assert_int_eq (run (callers[0], STMT_WRITE, "a 1", NULL), CODE_OK);
  fleet_instance (fleet, 0)->draining = true;
  fleet_publish (fleet);
  /* The hand-over fails after PROMOTER_CATCH_UP_TIMEOUT_MS.  A host may date
     the announcement up to MIRROR_DELIVERY_MS early.  */
  fleet_run (fleet, FLEET_DRAIN_MS - GROUP_DRAIN_MARGIN_MS - 800);
  for (size_t i = 0; i < GROUP_SHARE_LIMIT; i++)
    {
      ck_assert_int_eq (run (callers[i], STMT_BEGIN, NULL, NULL), CODE_OK);
      ck_assert_int_eq (run (callers[i], STMT_WRITE, "a 1", NULL), CODE_OK);
    }
  fleet_caller_send (callers[GROUP_SHARE_LIMIT], STMT_WRITE, "a 1", NULL);
  fleet_run (fleet, 800);
  ck_assert (fleet_caller_waits (callers[GROUP_SHARE_LIMIT]));
  /* Transactions that have begun go on.  */
  ck_assert_int_eq (run (callers[0], STMT_COMMIT, NULL, NULL), CODE_OK);
  fleet_run (fleet, ANSWER_MS);
  ck_assert_int_eq (fleet_caller_code (callers[GROUP_SHARE_LIMIT]), CODE_BUSY);
}

/* Guards against DRAIN: a watch that continued in a restored store skipped the
   announcement, as its revision had been given out before.  */
UNIT_TEST (test_an_announcement_is_read_after_the_store_was_restored)
{
  restore_as_instance_leaves (1);
  read_through_all (FLEET_DRAIN_MS + 2000);
}

/* Guards against DRAIN: the entry that an instance had replaced before the
   store was restored took its announcement back.  */
UNIT_TEST (test_an_entry_of_a_restored_copy_takes_no_announcement_back)
{
  struct fleet_caller *reader
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_BOUNDED);
  fleet_store_copy (fleet);
  fleet_instance (fleet, 1)->draining = true;
  fleet_publish (fleet);
  fleet_run (fleet, 2000);
  fleet_store_restore (fleet);
  clk_ms until_ms = fleet_now (fleet) + FLEET_BEAT_MS + 2000;
  while (fleet_now (fleet) < until_ms)
    {
      ck_assert_int_eq (run (reader, STMT_READ, "a", NULL), CODE_OK);
      ck_assert_str_ne (fleet_caller_server (reader), "i-1");
    }
}

/* Guards against an older fencing token: the platform refuses it, so that no
   primary could be replaced.  */
UNIT_TEST (test_the_fencing_token_rises_when_the_store_is_restored)
{
  fleet_store_copy (fleet);
  raise_revision (20);
  fleet_host_kill (duty_holder ());
  fleet_run (fleet, 4000);
  fleet_instance (fleet, 0)->unreachable = true;
  write_gap_ms (duty_holder ());
  uint64_t before = fleet_token (fleet);
  fleet_instance (fleet, 0)->unreachable = false;
  fleet_store_restore (fleet);
  fleet_run (fleet, 6000);
  fleet_primary (fleet)->unreachable = true;
  ck_assert_int_le (write_gap_ms (duty_holder ()), 1000 + FLEET_PROMOTE_MS);
  ck_assert_uint_gt (fleet_token (fleet), before);
}

/* Guards against CONFIG: a confirmed change that a restored store had lost was
   not read when it was written again.  */
UNIT_TEST (test_a_confirmed_change_is_in_force_after_the_store_was_restored)
{
  restore_as_configuration_changes ();
  fleet_run (fleet, FLEET_TOUCH_MS + 1000);
}

/* Guards against CONFIG: the copy has an older version than the hosts.  */
UNIT_TEST (test_a_restored_configuration_takes_no_change_back)
{
  fleet_store_copy (fleet);
  fleet_change_config (fleet);
  fleet_run (fleet, 2000);
  fleet_store_restore (fleet);
  fleet_run (fleet, 50);
  for (size_t i = 0; i < FLEET_DEFAULT_HOSTS; i++)
    ck_assert_uint_eq (
        catalog_config (fleet_host (fleet, i)->catalog)->version,
        fleet->config_version);
  fleet_run (fleet, 3000);
  fleet_change_config (fleet);
  fleet_run (fleet, FLEET_TOUCH_MS + FLEET_APPLY_MS);
}

/* A store that answers each call at once, in the era ERA.  */
struct fake_store
{
  struct platform_port base;
  uint64_t era;
  enum platform_call_kind last;
};

static uint64_t
fake_call (struct platform_port *port, const struct platform_call *call,
           platform_done done, void *arg)
{
  struct fake_store *store = (struct fake_store *)port;
  struct platform_reply reply = { .era = store->era };
  store->last = call->kind;
  if (call->kind == PLATFORM_LEASE)
    reply.lease = "7";
  done (arg, &reply);
  return 0;
}

static void
ignore_gained (void *arg)
{
  (void)arg;
}

static void
ignore_answered (void *arg, const struct platform_reply *reply)
{
  (void)arg;
  (void)reply;
}

/* Guards against a holder of the duty that is not replaced: a restored store
   gives ids of leases out again, so a host renewed the lease of another.  */
UNIT_TEST (test_a_lease_of_an_earlier_era_is_not_kept)
{
  static const struct platform_port_ops ops = { .call = fake_call };
  struct fake_store store = { .base = { .ops = &ops }, .era = 1 };
  struct lease *lease = lease_new (fleet->kernel, &store.base, "test", 1500,
                                   450, ignore_gained, ignore_answered, NULL);
  lease_acquire (lease);
  fleet_run (fleet, 500);
  ck_assert_int_eq (store.last, PLATFORM_RENEW);
  ck_assert (lease_valid (lease));
  store.era = 2;
  fleet_run (fleet, 500);
  ck_assert_int_eq (store.last, PLATFORM_LEASE);
  lease_free (lease);
}

/* Guards against hosts that can't talk to each other: a new secret was made
   for one that a restored store had lost.  */
UNIT_TEST (test_the_secret_is_kept_when_the_store_is_restored)
{
  fleet_free (fleet);
  fleet = fleet_new (7, FLEET_DEFAULT_HOSTS);
  fleet_store_copy (fleet);
  fleet_run (fleet, SETTLE_MS);
  fleet_store_restore (fleet);
  fleet_run (fleet, 3000);
  struct fleet_host *host = fleet_host (fleet, 1);
  fleet_host_kill (host);
  memset (host->secret, 0, sizeof host->secret);
  fleet_host_start (host);
  fleet_run (fleet, 3000);
  ck_assert_mem_eq (host->secret, fleet_host (fleet, 2)->secret,
                    sizeof host->secret);
}

/* Guards against a lost registration, whose lease is gone too.  */
UNIT_TEST (test_all_hosts_are_listed_after_the_store_was_restored)
{
  size_t count;
  fleet_store_copy (fleet);
  for (size_t i = 0; i < FLEET_DEFAULT_HOSTS; i++)
    {
      fleet_host_kill (fleet_host (fleet, i));
      fleet_host_start (fleet_host (fleet, i));
      fleet_run (fleet, 300);
    }
  fleet_store_restore (fleet);
  fleet_run (fleet, (clk_ms)3 * ROSTER_HOST_LEASE_MS);
  for (size_t i = 0; i < FLEET_DEFAULT_HOSTS; i++)
    {
      hosts_list (fleet_host (fleet, i)->others, &count);
      ck_assert_uint_eq (count, FLEET_DEFAULT_HOSTS - 1);
    }
}

/* A promotion would discard the commits that no replica has received.  */
UNIT_TEST (test_a_primary_is_not_replaced_by_replicas_that_lag)
{
  struct fleet_caller *writer
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  fleet_instance (fleet, 1)->replication_stopped = true;
  fleet_instance (fleet, 2)->replication_stopped = true;
  for (size_t i = 1; i < FLEET_DEFAULT_HOSTS; i++)
    fleet_host (fleet, i)->instances_cut[0] = true;
  duty_holder ()->instances_cut[0] = false;
  for (int i = 0; i < 40; i++)
    {
      ck_assert_int_eq (run (writer, STMT_WRITE, "a 1", NULL), CODE_OK);
      fleet_run (fleet, 100);
    }
  ck_assert_uint_eq (fleet_promotions (fleet), 0);
  ck_assert (fleet_primary (fleet) == fleet_instance (fleet, 0));
}

/* Whichever instance is the primary, only half of the hosts reach it, and the
   others forward to them: a promotion would gain nothing.  */
UNIT_TEST (test_a_primary_that_half_of_the_hosts_reach_is_not_replaced)
{
  for (size_t i = 0; i < FLEET_DEFAULT_HOSTS; i++)
    {
      struct fleet_host *host = fleet_host (fleet, i);
      host->instances_cut[0] = i >= FLEET_DEFAULT_HOSTS / 2;
      host->instances_cut[1] = host->instances_cut[2]
          = !host->instances_cut[0];
    }
  fleet_run (fleet, 1500);
  for (int i = 0; i < 30; i++)
    {
      struct fleet_host *host
          = fleet_host (fleet, (size_t)i % FLEET_DEFAULT_HOSTS);
      struct fleet_caller *caller
          = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
      ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
      fleet_caller_close (caller);
      fleet_run (fleet, 100);
    }
  ck_assert_uint_eq (fleet_promotions (fleet), 0);
}

/* The primary that the holder of the duty knows has been demoted, since
   another host had an instance promoted that this holder can't reach.  */
UNIT_TEST (test_a_holder_that_alone_sees_no_primary_promotes_none)
{
  struct fleet_host *host = duty_holder ();
  host->instances_cut[1] = true;
  host->store_cut = true;
  fleet_instance (fleet, 0)->is_primary = false;
  fleet_instance (fleet, 1)->is_primary = true;
  fleet_publish (fleet);
  host->store_cut = false; /* only this host missed the entries */
  fleet_run (fleet, 1400);
  ck_assert_uint_eq (fleet_promotions (fleet), 0);
  ck_assert (fleet_primary (fleet) == fleet_instance (fleet, 1));
}

/* The old primary is reachable again, with commits that the new term has
   discarded.  */
UNIT_TEST (test_an_instance_that_missed_a_term_is_not_promoted)
{
  fleet_instance (fleet, 1)->replication_stopped = true;
  fleet_instance (fleet, 0)->unreachable = true;
  write_gap_ms (fleet_host (fleet, 1));
  struct fleet_instance *second = fleet_primary (fleet);
  struct position old = { 1, second->received.lsn + 50 };
  fleet_instance (fleet, 0)->unreachable = false;
  fleet_instance (fleet, 0)->received = old;
  fleet_instance (fleet, 0)->applied = old;
  fleet_instance (fleet, 0)->term = old.term;
  for (size_t i = 1; i < FLEET_INSTANCES; i++)
    fleet_instance (fleet, i)->unreachable = true;
  fleet_run (fleet, 5000);
  ck_assert_uint_eq (fleet_promotions (fleet), 1);
  second->unreachable = false;
  fleet_run (fleet, 2000);
  ck_assert (fleet_primary (fleet) == second);
}

UNIT_TEST (test_a_fencing_token_that_was_refused_is_not_used_again)
{
  uint64_t token;
  struct fleet_host *holder = duty_holder ();
  fleet_store_down (fleet, true);
  fleet_run (fleet, 4000);
  ck_assert (roster_holds_duty (holder->roster, &token));
  roster_resign_duty (holder->roster, "refused");
  ck_assert (!roster_holds_duty (holder->roster, &token));
  fleet_run (fleet, 3000);
  ck_assert (!roster_holds_duty (holder->roster, &token));
  fleet_store_down (fleet, false);
}

UNIT_TEST (test_one_host_that_cannot_reach_the_primary_causes_no_promotion)
{
  for (size_t i = 0; i < FLEET_DEFAULT_HOSTS; i++)
    {
      struct fleet_host *host = fleet_host (fleet, i);
      host->instances_cut[0] = true;
      fleet_run (fleet, 3000);
      ck_assert_uint_eq (fleet_promotions (fleet), 0);
      host->instances_cut[0] = false;
      fleet_run (fleet, 1000);
    }
}

UNIT_TEST (test_hosts_of_one_failure_domain_are_no_majority)
{
  for (size_t i = 0; i < FLEET_DEFAULT_HOSTS; i += FLEET_ZONES)
    fleet_host (fleet, i + 1)->instances_cut[0] = true;
  fleet_run (fleet, 250);
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
}

UNIT_TEST (test_a_primary_in_a_partitioned_failure_domain_is_replaced)
{
  struct fleet_host *inside = NULL;
  for (size_t h = 0; h < FLEET_DEFAULT_HOSTS; h++)
    {
      struct fleet_host *host = fleet_host (fleet, h);
      bool in = strcmp (host->zone, "zone-0") == 0;
      host->store_cut = in;
      for (size_t i = 0; i < FLEET_INSTANCES; i++)
        host->instances_cut[i] = in != (i == 0);
      if (in)
        inside = host;
    }
  ck_assert (!groups_cut_off (inside->groups));
  fleet_run (fleet, 4500);
  ck_assert (fleet_primary (fleet) != fleet_instance (fleet, 0));
  ck_assert (groups_cut_off (inside->groups));
  ck_assert (!groups_cut_off (fleet_host (fleet, 1)->groups));
  struct fleet_caller *caller
      = fleet_caller_open (inside, FLEET_DATABASE_PRIMARY);
  ck_assert_int_ne (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
  ck_assert_int_lt (fleet_caller_took_ms (caller), 50);
}

UNIT_TEST (test_the_next_holder_of_the_duty_has_a_higher_token)
{
  uint64_t first = 0, token = 0;
  fleet_instance (fleet, 0)->unreachable = true;
  write_gap_ms (fleet_host (fleet, 1));
  fleet_instance (fleet, 0)->unreachable = false;
  first = fleet_token (fleet);
  fleet_host_kill (duty_holder ());
  fleet_run (fleet, 3000);
  size_t holders = 0;
  for (size_t i = 0; i < FLEET_DEFAULT_HOSTS; i++)
    holders += fleet_host (fleet, i)->running
               && roster_holds_duty (fleet_host (fleet, i)->roster, &token);
  ck_assert_uint_eq (holders, 1);
  ck_assert_uint_gt (token, first);
}

UNIT_TEST (test_a_primary_is_replaced_while_the_store_is_unavailable)
{
  fleet_store_down (fleet, true);
  fleet_run (fleet, 4000);
  fleet_instance (fleet, 0)->unreachable = true;
  clk_ms gap_ms = write_gap_ms (fleet_host (fleet, 1));
  ck_assert_uint_eq (fleet_promotions (fleet), 1);
  ck_assert_int_le (gap_ms, 1000 + FLEET_PROMOTE_MS);
  fleet_store_down (fleet, false);
  fleet_run (fleet, 5000);
  ck_assert_uint_eq (fleet_promotions (fleet), 1);
}

UNIT_TEST (test_reports_reach_the_holder_without_the_store)
{
  uint64_t token;
  for (size_t i = 0; i < FLEET_DEFAULT_HOSTS; i++)
    fleet_host (fleet, i)->store_cut
        = !roster_holds_duty (fleet_host (fleet, i)->roster, &token);
  fleet_run (fleet, 4000);
  fleet_instance (fleet, 0)->unreachable = true;
  write_gap_ms (fleet_host (fleet, 1));
  ck_assert_uint_eq (fleet_promotions (fleet), 1);
}

UNIT_TEST (test_a_holder_that_alone_loses_the_store_gives_up_the_duty)
{
  uint64_t token;
  struct fleet_host *holder = duty_holder ();
  holder->store_cut = true;
  fleet_run (fleet, ROSTER_DUTY_LEASE_MS + 100);
  ck_assert (!roster_holds_duty (holder->roster, &token));
}

UNIT_TEST (test_a_report_expires_with_the_process_that_sent_it)
{
  struct fleet_host *host = fleet_host (fleet, 1);
  struct roster *other = fleet_host (fleet, 2)->roster;
  host->instances_cut[0] = true;
  fleet_run (fleet, 5000);
  ck_assert_uint_eq (
      roster_count_reports (other, FLEET_GROUP, "i-0").hosts_reporting, 1);
  fleet_host_kill (host);
  host->instances_cut[0] = false;
  fleet_host_start (host);
  fleet_run (fleet, 2500);
  ck_assert_uint_eq (
      roster_count_reports (other, FLEET_GROUP, "i-0").hosts_reporting, 0);
}

/* Guards against UNASKED: the report counted for the group whose name ends at
   the first slash, and its instance of that name could lose the lead.  */
UNIT_TEST (test_a_report_counts_for_a_group_with_a_slash_in_its_name)
{
  struct roster *other = fleet_host (fleet, 2)->roster;
  roster_report (fleet_host (fleet, 1)->roster, FLEET_GROUP "/east", "i-0");
  fleet_run (fleet, 1000);
  ck_assert_uint_eq (
      roster_count_reports (other, FLEET_GROUP "/east", "i-0").hosts_reporting,
      1);
  ck_assert_uint_eq (
      roster_count_reports (other, FLEET_GROUP, "i-0").hosts_reporting, 0);
}

/* The leases of the killed processes expire after the new processes have
   started.  */
UNIT_TEST (test_hosts_that_restart_together_stay_listed)
{
  size_t count;
  for (size_t i = 0; i < FLEET_DEFAULT_HOSTS; i++)
    fleet_host_kill (fleet_host (fleet, i));
  fleet_run (fleet, 1000);
  for (size_t i = 0; i < FLEET_DEFAULT_HOSTS; i++)
    fleet_host_start (fleet_host (fleet, i));
  fleet_run (fleet, 500);
  for (int step = 0; step < 100; step++)
    {
      fleet_run (fleet, 100);
      for (size_t i = 0; i < FLEET_DEFAULT_HOSTS; i++)
        {
          hosts_list (fleet_host (fleet, i)->others, &count);
          ck_assert_uint_eq (count, FLEET_DEFAULT_HOSTS - 1);
        }
    }
}

/* All leases expire during an outage of the store.  */
UNIT_TEST (test_hosts_whose_registrations_expire_together_stay_listed)
{
  size_t count;
  fleet_store_down (fleet, true);
  fleet_run (fleet, ROSTER_HOST_LEASE_MS + 2000);
  fleet_store_down (fleet, false);
  for (int step = 0; step < 100; step++)
    {
      fleet_run (fleet, 100);
      for (size_t i = 0; i < FLEET_DEFAULT_HOSTS; i++)
        {
          hosts_list (fleet_host (fleet, i)->others, &count);
          ck_assert_uint_ge (4 * (count + 1), (size_t)3 * FLEET_DEFAULT_HOSTS);
        }
    }
}

UNIT_TEST (test_a_store_is_listed_again_after_a_compaction)
{
  fleet_store_compact (fleet);
  fleet_run (fleet, 1000);
  fleet_instance (fleet, 0)->unreachable = true;
  write_gap_ms (fleet_host (fleet, 1));
  ck_assert_uint_eq (fleet_promotions (fleet), 1);
}

/* After an outage the store may have dropped pending watches without closing
   their connections.  */
UNIT_TEST (test_a_watch_is_restarted_after_an_outage)
{
  size_t count;
  fleet_run (fleet, 3000); /* until all hosts watch */
  fleet_store_drop_watches (fleet);
  fleet_store_down (fleet, true);
  fleet_run (fleet, 2800);
  fleet_store_down (fleet, false);
  fleet_run (fleet, 3000);
  fleet_host_kill (fleet_host (fleet, 5));
  fleet_run (fleet, ROSTER_HOST_LEASE_MS + 2500);
  for (size_t i = 0; i < 5; i++)
    {
      hosts_list (fleet_host (fleet, i)->others, &count);
      ck_assert_uint_eq (count, 4);
    }
}

/* A watch that starts while the store compacts its history may never be
   answered.  */
UNIT_TEST (test_an_unanswered_watch_is_restarted_if_other_hosts_are_ahead)
{
  size_t count;
  fleet_run (fleet, 3000); /* until all hosts watch */
  fleet_store_drop_watch (fleet_host (fleet, 2));
  fleet_host_kill (fleet_host (fleet, 5));
  fleet_run (fleet, ROSTER_HOST_LEASE_MS + 1500);
  hosts_list (fleet_host (fleet, 2)->others, &count);
  ck_assert_uint_eq (count, 4);
}

/* Entries of instances may expire during an outage of the store.  */
UNIT_TEST (test_a_primary_whose_entry_is_missing_briefly_is_not_replaced)
{
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  fleet_instance (fleet, 0)->unregistered = true;
  fleet_publish (fleet);
  fleet_run (fleet, 1500);
  fleet_instance (fleet, 0)->unregistered = false;
  fleet_publish (fleet);
  fleet_run (fleet, 3000);
  ck_assert_uint_eq (fleet_promotions (fleet), 0);
  ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
}

UNIT_TEST (test_an_instance_whose_entry_was_removed_gets_no_statements)
{
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_BOUNDED);
  fleet_instance (fleet, 1)->unregistered = true;
  fleet_publish (fleet);
  fleet_run (fleet, 6000);
  for (int i = 0; i < 20; i++)
    {
      ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_OK);
      ck_assert_str_ne (fleet_caller_server (caller), "i-1");
    }
}

/* Guards against LOST: a host that leaves took statements whose answer it
   could not wait for.  The configured timeout is 1,000 ms.  */
UNIT_TEST (test_a_host_that_leaves_takes_only_what_it_can_answer)
{
  struct fleet_host *host = fleet_host (fleet, 0);
  struct fleet_caller *open = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  struct fleet_caller *single
      = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  ck_assert_int_eq (run (open, STMT_BEGIN, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (open, STMT_WRITE, "a 1", NULL), CODE_OK);
  callers_refuse_late (host->callers, fleet_now (fleet) + 1100);
  ck_assert_int_eq (run (single, STMT_WRITE, "a 1", NULL), CODE_OK);
  ck_assert_int_eq (run (single, STMT_BEGIN, NULL, NULL), CODE_BUSY);
  fleet_run (fleet, 200);
  ck_assert_int_eq (run (single, STMT_WRITE, "a 1", NULL), CODE_BUSY);
  ck_assert_int_eq (fleet_caller_state (single), TX_IDLE);
  ck_assert_int_eq (run (open, STMT_COMMIT, NULL, NULL), CODE_ABORTED);
  ck_assert_int_eq (fleet_caller_state (open), TX_IDLE);
}

/* Guards against LOST: statements that ran when the process ended got no
   answer.  The oracle checks that none is refused that has run.  */
UNIT_TEST (test_a_host_that_ends_answers_every_statement)
{
  struct fleet_host *host = fleet_host (fleet, 0);
  struct fleet_caller *callers[30];
  for (size_t i = 0; i < FLEET_INSTANCES; i++)
    fleet_instance (fleet, i)->slow_ms = 900;
  for (size_t i = 0; i < 30; i++)
    {
      callers[i] = fleet_caller_open (host, i % 3 ? FLEET_DATABASE_PRIMARY
                                                  : FLEET_DATABASE_SESSION);
      fleet_caller_send (callers[i], i % 2 ? STMT_WRITE : STMT_READ, "a 1",
                         NULL);
    }
  fleet_run (fleet, 60);
  size_t waiting = 0, unknown = 0, refused = 0;
  for (size_t i = 0; i < 30; i++)
    waiting += fleet_caller_waits (callers[i]);
  ck_assert_uint_gt (waiting, 10);
  ck_assert_uint_eq (callers_end_statements (host->callers), waiting);
  for (size_t i = 0; i < 30; i++)
    {
      enum code code = fleet_caller_code (callers[i]);
      ck_assert (!fleet_caller_waits (callers[i]));
      ck_assert (i % 2 == 0 || code != CODE_TIMEOUT);
      unknown += code == CODE_INDOUBT;
      refused += code == CODE_BUSY;
    }
  ck_assert_uint_gt (unknown, 0);
  ck_assert_uint_gt (refused, 0);
  fleet_run (fleet, 2000);
}

/* Guards against UNASKED and ROUTE: an entry of another writer, whose service
   no configuration names, was used as an instance.  Its address is that of the
   primary.  */
UNIT_TEST (test_an_entry_of_an_unknown_service_gets_no_connection)
{
  struct fleet_host *host = fleet_host (fleet, 0);
  fleet_store_put (fleet, "servers/i-9",
                   "{\"service\":\"other\",\"address\":\"10.0.0.1:1000\","
                   "\"zone\":\"zone-0\",\"version\":\"v1\",\"capacity\":5,"
                   "\"cold_remaining_ms\":0,"
                   "\"state\":\"ready\",\"db_role\":\"primary\","
                   "\"sequence\":1,\"born\":1}");
  fleet_run (fleet, 3000);
  ck_assert_ptr_null (groups_find (host->groups, "other"));
  struct fleet_caller *caller
      = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
}

/* Another writer's entry in place of that of an instance.  */
UNIT_TEST (test_an_instance_that_moves_to_an_unknown_service_gets_no_work)
{
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_BOUNDED);
  fleet_instance (fleet, 1)->unregistered = true;
  fleet_store_put (fleet, "servers/i-1",
                   "{\"service\":\"other\",\"address\":\"10.0.0.2:1001\","
                   "\"zone\":\"zone-1\",\"version\":\"v1\",\"capacity\":5,"
                   "\"cold_remaining_ms\":0,"
                   "\"state\":\"ready\",\"db_role\":\"replica\","
                   "\"sequence\":9999,\"born\":9}");
  fleet_run (fleet, 200);
  for (int i = 0; i < 20; i++)
    {
      ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_OK);
      ck_assert_str_ne (fleet_caller_server (caller), "i-1");
    }
}

/* The entries of a service may be read before the configuration that names
   it.  */
UNIT_TEST (test_instances_are_used_once_a_configuration_names_their_service)
{
  struct fleet_host *host = fleet_host (fleet, 1);
  fleet_store_remove (fleet, "op/config");
  fleet_host_kill (host);
  fleet_host_start (host);
  fleet_run (fleet, 300);
  ck_assert_ptr_null (groups_find (host->groups, FLEET_GROUP));
  fleet_change_config (fleet);
  fleet_run (fleet, 2000);
  struct fleet_caller *caller
      = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_OK);
}

UNIT_TEST (test_an_idle_fleet_makes_few_calls_to_the_store)
{
  uint64_t before = fleet_store_calls (fleet);
  fleet_run (fleet, 30000);
  uint64_t calls = fleet_store_calls (fleet) - before;
  /* Calls per host in 30 s: a lease renewal every 2 s, and a watch each time
     that the contents must be confirmed.  In addition, the holder of the duty
     renews its lease every 450 ms.  */
  size_t watches = 30000 / (FLEET_APPLY_MS / MIRROR_WAIT_DIVISOR);
  ck_assert_uint_le (calls, FLEET_DEFAULT_HOSTS * (12 + watches + 2 + 1) + 67);
}

/* Guards against a setting that makes hosts ask for a longer wait than the
   store allows.  */
UNIT_TEST (test_hosts_reach_the_store_whatever_time_a_change_may_take)
{
  fleet_free (fleet);
  fleet = fleet_new_with (
      7, FLEET_DEFAULT_HOSTS,
      &(struct fleet_options){ .connections = FLEET_CONNECTIONS,
                               .apply_ms = 3600000 });
  fleet_run (fleet, 40000);
  uint64_t before = fleet_store_watches (fleet);
  fleet_run (fleet, 60000);
  ck_assert_uint_le (fleet_store_watches (fleet) - before,
                     (uintmax_t)3 * FLEET_DEFAULT_HOSTS);
  for (size_t i = 0; i < FLEET_DEFAULT_HOSTS; i++)
    ck_assert (mirror_store_reachable ((const struct mirror *)kernel_find (
        fleet_host (fleet, i)->kernel, "mirror")));
}

UNIT_TEST (test_connections_stay_within_the_shares_of_the_hosts)
{
  struct fleet_caller *callers[60];
  for (int i = 0; i < 60; i++)
    {
      callers[i] = fleet_caller_open (
          fleet_host (fleet, (size_t)i % FLEET_DEFAULT_HOSTS),
          FLEET_DATABASE_PRIMARY);
      ck_assert_int_eq (run (callers[i], STMT_BEGIN, NULL, NULL), CODE_OK);
      fleet_caller_send (callers[i], STMT_WRITE, "a 1", NULL);
      fleet_run (fleet, 20);
    }
  fleet_run (fleet, 1500);
  ck_assert_uint_le (fleet_instance (fleet, 0)->connections,
                     (uintmax_t)FLEET_DEFAULT_HOSTS * GROUP_SHARE_LIMIT);
}

UNIT_PLAIN (test_the_oldest_sample_within_the_staleness_limit_is_the_floor)
{
  struct samples samples = { 0 };
  struct position floor;
  for (uint64_t i = 1; i <= 30; i++)
    samples_add (&samples, 1, (struct position){ 1, i },
                 (clk_ms)(1000 + 100 * i));
  ck_assert (samples_floor (&samples, 2500, &floor));
  ck_assert_uint_eq (floor.lsn, 15);
  ck_assert (!samples_floor (&samples, 4001, &floor));
  samples_add (&samples, 2, (struct position){ 2, 20 }, 4100);
  ck_assert (samples_floor (&samples, 2500, &floor));
  ck_assert_uint_eq (floor.term, 2);
  samples_add (&samples, 1, (struct position){ 1, 99 }, 4200);
  ck_assert_uint_eq (samples_newest (&samples).term, 2);
}

UNIT_MAIN ("proxy", .setup = set_up, .teardown = tear_down, .timeout_s = 60)
