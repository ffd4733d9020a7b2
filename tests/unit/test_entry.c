#include "core/session.h"
#include "sim_rig.h"
#include "unit.h"

#define WARM_UP_MS 500

static const char kinds[]
    = "{\"release\": {\"write\": true, \"repeatable\": false, \"ack\": "
      "\"majority\", \"deadline_ms\": 2000},"
      "\"note\": {\"write\": true, \"repeatable\": true, \"ack\": "
      "\"primary\", \"deadline_ms\": 2000},"
      "\"count\": {\"write\": false, \"repeatable\": true, \"freshness\": "
      "\"session\", \"deadline_ms\": 2000},"
      "\"aged\": {\"write\": false, \"repeatable\": true, \"freshness\": "
      "\"max_age\", \"max_age_ms\": 1000, \"deadline_ms\": 2000},"
      "\"exact\": {\"write\": false, \"repeatable\": true, \"freshness\": "
      "\"strong\", \"deadline_ms\": 2000}}";

static struct rig *rig;
static struct rig_request a, b;

static void
set_up (void)
{
  const struct rig_options options
      = { .seed = 1,
          .hosts = 6,
          .domains = 3,
          .databases = 2,
          .slots = 5,
          .connections = 70,
          .connect_ms = 10,
          .cost_ms = 5,
          .lag_ms = 20,
          .kinds = kinds,
          .log_level = getenv ("RIG_LOG") ? LOG_INFO : -1 };
  rig = rig_new (&options);
  rig_run (rig, WARM_UP_MS);
}

static void
tear_down (void)
{
  rig_free (rig);
}

/* Sends a request, waits up to WAIT_MS and checks the outcome.  */
#define EXPECT_OF(send, expected, wait_ms, host, request, ...)                \
  do                                                                          \
    {                                                                         \
      send (rig, host, request, __VA_ARGS__);                                 \
      rig_wait (rig, request, wait_ms);                                       \
      ck_assert_int_eq ((request)->outcome, expected);                        \
    }                                                                         \
  while (0)
#define EXPECT(...) EXPECT_OF (rig_submit, __VA_ARGS__)
#define EXPECT_ACT(...) EXPECT_OF (rig_submit_action, __VA_ARGS__)

/* Partitions the failure domain of the primary from the others.  */
static void
cut_primary (void)
{
  sim_world_cut (rig_world (rig), "z0", "z1", true);
  sim_world_cut (rig_world (rig), "z0", "z2", true);
}

static void
write_and_wait (const char *statement, const char *id)
{
  rig_submit (rig, 0, &a, "release", statement, NULL, id, 0);
  rig_wait (rig, &a, 30000);
}

UNIT_TEST (test_session_reads_its_own_write_on_a_replica_of_any_host)
{
  for (int i = 0; i < 20; i++)
    {
      char statement[64], want[64];
      snprintf (statement, sizeof statement, "put k v%d", i);
      snprintf (want, sizeof want, "{\"value\": \"v%d\"}", i);
      write_and_wait (statement, NULL);
      ck_assert_int_eq (a.outcome, OUTCOME_DONE);
      EXPECT (OUTCOME_DONE, 1000, (size_t)i % 6, &b, "count", "get k", a.token,
              NULL, 0);
      ck_assert_str_eq (b.payload, want);
      ck_assert_str_ne (b.served_by, "t/s/d0/i0");
    }
}

UNIT_TEST (test_altered_or_foreign_token_is_refused)
{
  write_and_wait ("put k v", NULL);
  a.token[10] = a.token[10] == 'A' ? 'B' : 'A';
  EXPECT (OUTCOME_NOT_RUN, 1000, 1, &b, "count", "get k", a.token, NULL, 0);
  ck_assert_int_eq (b.reason, REASON_BAD_TOKEN);
  struct session session;
  const uint8_t key[TOKEN_KEY_BYTES] = { 7 };
  write_and_wait ("put k v", NULL);
  ck_assert (session_decode (&session, key, "t/s", "clerk", a.token));
  ck_assert (!session_decode (&session, key, "t/s", "other", a.token));
  ck_assert (!session_decode (&session, key, "t/x", "clerk", a.token));
}

UNIT_TEST (test_same_request_id_gives_the_first_outcome_at_any_host)
{
  write_and_wait ("put k v1", "id-1");
  ck_assert_str_eq (a.payload, "{\"lsn\": 1}");
  EXPECT (OUTCOME_DONE, 1000, 3, &b, "release", "put k v2", NULL, "id-1", 0);
  ck_assert_str_eq (b.payload, "{\"lsn\": 1}");
  ck_assert_uint_eq (sim_instance_count_puts (rig_instance (rig, 0, 0), "k"),
                     1);
}

UNIT_TEST (test_request_id_is_accepted_up_to_its_length_limit)
{
  char id[REQUEST_ID_BYTES + 2];
  memset (id, 'x', sizeof id);
  id[REQUEST_ID_BYTES + 1] = '\0';
  EXPECT (OUTCOME_NOT_RUN, 1000, 0, &a, "release", "put k 1", NULL, id, 0);
  ck_assert_int_eq (a.reason, REASON_UNKNOWN_TARGET);
  id[REQUEST_ID_BYTES] = '\0';
  EXPECT (OUTCOME_DONE, 1000, 0, &a, "release", "put k 1", NULL, id, 0);
  ck_assert_str_eq (a.request_id, id);
}

UNIT_TEST (test_lost_answer_is_looked_up_and_runs_once)
{
  sim_instance_lose_answers (rig_instance (rig, 0, 0), 1);
  write_and_wait ("put k v1", "id-1");
  ck_assert_int_eq (a.outcome, OUTCOME_DONE);
  ck_assert_str_eq (a.payload, "{\"lsn\": 1}");
  ck_assert_uint_eq (sim_instance_count_puts (rig_instance (rig, 0, 0), "k"),
                     1);
}

UNIT_TEST (test_outcome_of_a_write_to_a_frozen_primary_is_resolved)
{
  sim_instance_freeze (rig_instance (rig, 0, 0), true);
  rig_submit (rig, 0, &a, "release", "put k v1", NULL, "id-1", 500);
  rig_run (rig, 3000);
  ck_assert (!a.done);
  sim_instance_freeze (rig_instance (rig, 0, 0), false);
  rig_wait (rig, &a, 30000);
  uint32_t puts = sim_instance_count_puts (rig_instance (rig, 0, 0), "k");
  ck_assert_int_eq (a.outcome == OUTCOME_DONE ? 1 : 0, puts);
  ck_assert_int_ne (a.outcome, OUTCOME_UNKNOWN);
}

UNIT_TEST (test_isolated_primary_never_acknowledges_and_ledger_decides)
{
  struct sim_instance *old = rig_instance (rig, 0, 0);
  write_and_wait ("put k v0", "id-0");
  cut_primary ();
  /* A host in the primary's domain commits there, but no replica confirms.  */
  rig_submit (rig, 0, &a, "release", "put k v1", NULL, "id-1", 1000);
  rig_run (rig, 200);
  ck_assert (!a.done);
  ck_assert_uint_eq (sim_instance_count_puts (old, "k"), 2);
  sim_instance_isolate (old, true);
  rig_promote (rig, 0, 1, 2);
  sim_instance_isolate (old, false);
  rig_wait (rig, &a, 30000);
  struct sim_instance *now = rig_instance (rig, 0, 1);
  ck_assert_int_ne (a.outcome, OUTCOME_UNKNOWN);
  ck_assert_int_eq (sim_instance_count_puts (now, "k"),
                    a.outcome == OUTCOME_DONE ? 2 : 1);
}

UNIT_TEST (test_write_without_a_primary_is_held_until_promotion)
{
  rig_set_term (rig, 0, 2, 0, TERM_SEALING, 0);
  rig_submit (rig, 0, &a, "release", "put k v", NULL, NULL, 3000);
  rig_submit (rig, 1, &b, "release", "put k v", NULL, NULL, 500);
  rig_run (rig, 1500);
  ck_assert (!a.done);
  ck_assert_int_eq (b.outcome, OUTCOME_NOT_RUN);
  ck_assert_int_eq (b.reason, REASON_NO_PRIMARY);
  rig_promote (rig, 0, 2, 2);
  rig_wait (rig, &a, 1000);
  ck_assert_int_eq (a.outcome, OUTCOME_DONE);
  ck_assert_str_eq (a.served_by, "t/s/d0/i2");
}

UNIT_TEST (test_token_of_a_write_lost_in_a_failover_is_refused)
{
  /* Acknowledged under ACK_PRIMARY, then lost with its primary.  */
  cut_primary ();
  EXPECT (OUTCOME_DONE, 1000, 0, &a, "note", "put k v", NULL, NULL, 0);
  sim_instance_isolate (rig_instance (rig, 0, 0), true);
  rig_promote (rig, 0, 1, 2);
  EXPECT (OUTCOME_NOT_RUN, 1000, 1, &b, "count", "get k", a.token, NULL, 0);
  ck_assert_int_eq (b.reason, REASON_TOKEN_AHEAD);
}

UNIT_TEST (test_ack_by_primary_needs_a_recent_view)
{
  rig_set_view_age (rig, TERM_VIEW_MAX_AGE_MS);
  cut_primary ();
  rig_submit (rig, 0, &a, "note", "put k v", NULL, NULL, 500);
  rig_run (rig, 490);
  ck_assert (!a.done);
  rig_wait (rig, &a, 30000);
  ck_assert_int_eq (a.outcome, OUTCOME_UNKNOWN);
}

UNIT_TEST (test_max_age_read_avoids_a_replica_that_lags_too_far)
{
  sim_instance_set_lag (rig_instance (rig, 0, 1), 60000);
  write_and_wait ("put k v", NULL);
  rig_run (rig, 3000);
  for (size_t i = 0; i < 6; i++)
    {
      EXPECT (OUTCOME_DONE, 1000, i, &b, "aged", "get k", NULL, NULL, 0);
      ck_assert_str_eq (b.payload, "{\"value\": \"v\"}");
      ck_assert_str_ne (b.served_by, "t/s/d0/i1");
    }
}

UNIT_TEST (test_dead_gateway_is_replaced_by_the_second_host)
{
  size_t first = rig_gateway_host (rig, 0, 0, 0);
  size_t other = (first + 1) % 6;
  rig_cut_host (rig, first, true);
  rig_submit (rig, other, &a, "release", "put k v", NULL, NULL, 500);
  rig_wait (rig, &a, 30000);
  ck_assert_int_ne (a.outcome, OUTCOME_UNKNOWN);
  EXPECT (OUTCOME_DONE, 30000, other, &b, "release", "put k w", NULL, NULL, 0);
}

UNIT_TEST (test_transaction_commits_once_and_is_read_back)
{
  struct rig_request c;
  EXPECT_ACT (OUTCOME_DONE, 1000, 0, &a, ENTRY_BEGIN, "release", NULL, NULL,
              NULL, NULL);
  EXPECT_ACT (OUTCOME_DONE, 1000, 1, &b, ENTRY_EXECUTE, "release", "put k v",
              NULL, NULL, a.transaction);
  rig_run (rig, 5000);
  sim_instance_lose_answers (rig_instance (rig, 0, 0), 1);
  EXPECT_ACT (OUTCOME_DONE, 30000, 1, &b, ENTRY_COMMIT, "release", NULL, NULL,
              "tx-1", a.transaction);
  ck_assert_str_eq (b.payload, "{\"committed\": true}");
  rig_submit (rig, 2, &c, "count", "get k", b.token, NULL, 0);
  rig_wait (rig, &c, 1000);
  ck_assert_str_eq (c.payload, "{\"value\": \"v\"}");
  rig_submit_action (rig, 0, &b, ENTRY_EXECUTE, "release", "put k v", NULL,
                     NULL, a.transaction);
  rig_wait (rig, &b, 1000);
  ck_assert_int_eq (b.reason, REASON_BAD_TRANSACTION);
  rig_run (rig, 2000);
  for (size_t i = 0; i < 6; i++)
    ck_assert_uint_eq (entry_in_flight (rig_entry (rig, i)), 0);
}

UNIT_TEST (test_transaction_of_an_unreachable_entry_host_is_rolled_back)
{
  size_t first = rig_gateway_host (rig, 0, 0, 0);
  size_t other = (first + 1) % 6;
  EXPECT_ACT (OUTCOME_DONE, 1000, other, &a, ENTRY_BEGIN, "release", NULL,
              NULL, NULL, NULL);
  rig_run (rig, 6000);
  ck_assert_uint_eq (gateway_in_flight (rig_gateway (rig, first)), 1);
  rig_cut_host (rig, other, true);
  rig_run (rig, 4000);
  ck_assert_uint_eq (gateway_in_flight (rig_gateway (rig, first)), 0);
}

UNIT_TEST (test_lookup_returns_the_stored_answer_and_blocks_an_absent_request)
{
  write_and_wait ("put k v", "id-1");
  EXPECT_ACT (OUTCOME_DONE, 1000, 2, &b, ENTRY_LOOKUP, NULL, NULL, NULL,
              "id-1", NULL);
  ck_assert_str_eq (b.payload, "{\"lsn\": 1}");
  EXPECT_ACT (OUTCOME_NOT_RUN, 1000, 2, &b, ENTRY_LOOKUP, NULL, NULL, NULL,
              "id-2", NULL);
  write_and_wait ("put k w", "id-2");
  ck_assert_int_eq (a.outcome, OUTCOME_NOT_RUN);
  ck_assert_uint_eq (sim_instance_count_puts (rig_instance (rig, 0, 0), "k"),
                     1);
}

UNIT_TEST (test_write_without_any_replica_is_refused)
{
  cut_primary ();
  rig_submit (rig, 0, &a, "release", "put k v", NULL, NULL, 500);
  rig_run (rig, 5000);
  EXPECT (OUTCOME_NOT_RUN, 1000, 0, &b, "release", "put k w", NULL, NULL, 500);
  ck_assert_int_eq (b.reason, REASON_NO_MAJORITY);
  ck_assert_uint_eq (sim_instance_count_puts (rig_instance (rig, 0, 0), "k"),
                     1);
}

UNIT_TEST (test_strong_read_without_a_recent_view_needs_a_majority)
{
  write_and_wait ("put k v", NULL);
  rig_set_view_age (rig, TERM_VIEW_MAX_AGE_MS);
  EXPECT (OUTCOME_DONE, 1000, 0, &b, "exact", "get k", NULL, NULL, 0);
  ck_assert_str_eq (b.payload, "{\"value\": \"v\"}");
  cut_primary ();
  rig_submit (rig, 0, &b, "exact", "get k", NULL, NULL, 500);
  rig_wait (rig, &b, 1000);
  ck_assert_int_ne (b.outcome, OUTCOME_DONE);
}

UNIT_TEST (test_read_of_a_frozen_replica_is_answered_by_another)
{
  write_and_wait ("put k v", NULL);
  rig_run (rig, 100);
  sim_instance_freeze (rig_instance (rig, 0, 1), true);
  sim_instance_freeze (rig_instance (rig, 0, 2), true);
  for (size_t i = 0; i < 6; i++)
    {
      EXPECT (OUTCOME_DONE, 200, i, &b, "count", "get k", a.token, NULL, 0);
      ck_assert_str_eq (b.served_by, "t/s/d0/i0");
    }
}

UNIT_TEST (test_leaving_database_and_draining_host_refuse_new_requests)
{
  rig_set_leaving (rig, true);
  rig_submit (rig, 1, &a, "release", "put k v", NULL, NULL, 0);
  rig_wait (rig, &a, 1000);
  ck_assert_int_eq (a.reason, REASON_DRAINING);
  rig_set_leaving (rig, false);
  entry_drain (rig_entry (rig, 1));
  rig_submit (rig, 1, &a, "release", "put k v", NULL, NULL, 0);
  rig_wait (rig, &a, 1000);
  ck_assert_int_eq (a.reason, REASON_DRAINING);
}

UNIT_TEST (test_explain_names_instances_and_gateways)
{
  const struct entry_request request = { .service = RIG_SERVICE,
                                         .caller = RIG_CALLER,
                                         .secret = RIG_SECRET,
                                         .database = "d0",
                                         .kind = "count",
                                         .statement = "get k" };
  char *text = entry_explain (rig_entry (rig, 0), &request);
  ck_assert_ptr_nonnull (strstr (text, "\"instance\":\"t/s/d0/i2\""));
  ck_assert_ptr_nonnull (strstr (text, "\"gateways\":[\"h"));
  free (text);
}

UNIT_MAIN ("entry", .setup = set_up, .teardown = tear_down)
