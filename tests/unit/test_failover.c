#include "core/gateway.h"
#include "kernel/mem.h"
#include "load_writer.h"
#include "unit.h"

#define RECORD_KEY TERMS_PREFIX "t/s/d"

static const char *const host_domains[] = { "d0", "d1", "d2", "d0", "d1" };
static const char *const instance_domains[] = { "d0", "d1", "d2" };

static struct sim_control control;
static struct load_writer *writer;

/* Five hosts in three domains; the primary is "a", in d0.  */
static void
setup (void)
{
  sim_control_init (&control, 11, 5, host_domains);
  sim_control_add_database (&control, instance_domains);
  sim_control_start_all (&control);
  sim_run (&control.sim, 4000);
  writer = load_writer_new (&control, 4);
  sim_run (&control.sim, 500);
}

static void
teardown (void)
{
  load_writer_free (writer);
  sim_control_clear (&control);
}

static struct term_record
platform_record (void)
{
  struct term_record record = { 0 };
  const char *json = sim_platform_get (&control.platform, RECORD_KEY);
  if (json != NULL)
    ck_assert (term_record_parse (json, strlen (json), &record));
  return record;
}

static struct sim_instance *
primary (void)
{
  struct term_record record = platform_record ();
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    if (strcmp (record.primary, sim_control_instance_name (i)) == 0)
      return control.instances[i];
  return NULL;
}

/* Checks that writes are still acknowledged and none is lost.  */
static void
check_writes_continue (clk_ms span_ms)
{
  size_t before = load_writer_acknowledged (writer);
  sim_run (&control.sim, span_ms);
  ck_assert_uint_gt (load_writer_acknowledged (writer), before + 10);
  ck_assert_uint_eq (load_writer_lost (writer, primary ()), 0);
}

static void
check_term (uint64_t term)
{
  struct term_record record = platform_record ();
  ck_assert_uint_eq (record.term, term);
  ck_assert_int_eq (record.state, TERM_ACTIVE);
}

/* Returns the index of the host that is the first coordinator.  */
static size_t
coordinator (void)
{
  const struct member *out[1];
  members_place_spread (control.members[4], "failover/t/s/d", out, 1);
  return (size_t)(out[0]->address.port - 1);
}

UNIT_TEST (test_the_first_record_is_created)
{
  check_term (1);
  ck_assert_str_eq (platform_record ().primary, "t/s/d/a");
  check_writes_continue (1000);
}

UNIT_TEST (test_a_dead_primary_is_replaced)
{
  sim_instance_kill (control.instances[0]);
  sim_run (&control.sim, 3000);
  check_term (2);
  ck_assert_ptr_ne (primary (), control.instances[0]);
  ck_assert_int_le (load_writer_gap_ms (writer), 3000);
  check_writes_continue (1000);
}

UNIT_TEST (test_a_frozen_primary_is_replaced_and_follows_when_it_resumes)
{
  sim_instance_freeze (control.instances[0], true);
  sim_run (&control.sim, 4000);
  check_term (2);
  sim_instance_freeze (control.instances[0], false);
  check_writes_continue (8000);
  struct db_report report = sim_instance_report (control.instances[0]);
  ck_assert (!report.primary);
  ck_assert (report.receiving);
  ck_assert_uint_eq (report.term, 2);
}

UNIT_TEST (test_an_isolated_primary_that_returns_is_fenced)
{
  sim_instance_isolate (control.instances[0], true);
  sim_run (&control.sim, 8000);
  check_term (2);
  sim_instance_isolate (control.instances[0], false);
  check_writes_continue (12000);
  ck_assert (!sim_instance_report (control.instances[0]).primary);
  ck_assert (sim_instance_report (control.instances[0]).receiving);
}

UNIT_TEST (test_a_primary_that_only_one_domain_can_not_reach_stays)
{
  for (size_t i = 0; i < 5; i++)
    if (strcmp (host_domains[i], "d1") == 0)
      sim_db_net_cut (&control.db_net, i, 0, true);
  sim_run (&control.sim, 20000);
  check_term (1);
}

UNIT_TEST (test_nothing_is_promoted_while_the_platform_is_down)
{
  control.platform.outage = true;
  sim_instance_kill (control.instances[0]);
  sim_run (&control.sim, 20000);
  ck_assert_uint_eq (platform_record ().term, 1);
  bool is_reported = false;
  for (size_t i = 0; i < 5; i++)
    {
      char *status = failover_status (control.failovers[i]);
      is_reported = is_reported
                    || strstr (status, "\"waits_for_platform\":true") != NULL;
      free (status);
    }
  ck_assert (is_reported);
  control.platform.outage = false;
  sim_run (&control.sim, 4000);
  check_term (2);
  check_writes_continue (1000);
}

UNIT_TEST (test_a_primary_that_returns_during_an_outage_is_kept)
{
  control.platform.outage = true;
  sim_instance_freeze (control.instances[0], true);
  sim_run (&control.sim, 5000);
  sim_instance_freeze (control.instances[0], false);
  sim_run (&control.sim, 5000);
  control.platform.outage = false;
  sim_run (&control.sim, 5000);
  check_term (1);
  check_writes_continue (1000);
}

UNIT_TEST (test_no_term_is_claimed_while_too_few_instances_can_be_sealed)
{
  /* No coordinator reaches the primary and one of the replicas; the writer
     still does.  */
  for (size_t i = 0; i < 5; i++)
    for (size_t j = 0; j < 2; j++)
      sim_db_net_cut (&control.db_net, i, j, true);
  sim_run (&control.sim, 10000);
  check_term (1);
  ck_assert_uint_gt (load_writer_acknowledged (writer), 0);
  check_writes_continue (1000);
  for (size_t i = 0; i < 5; i++)
    sim_db_net_cut (&control.db_net, i, 1, false);
  sim_run (&control.sim, 5000);
  check_term (2);
}

/* Loses the reply to the Nth platform write after the primary has failed.  */
static void
lose_nth_reply (int n)
{
  sim_instance_kill (control.instances[0]);
  uint64_t writes = control.platform.writes;
  for (int step = 0; step < 6000; step++)
    {
      if (control.platform.writes == writes + (uint64_t)n - 1)
        control.platform.lose_next_answer = true;
      if (control.platform.writes >= writes + (uint64_t)n)
        break;
      sim_run (&control.sim, 1);
    }
  control.platform.lose_next_answer = false;
  sim_run (&control.sim, 4000);
  check_term (2);
  check_writes_continue (1000);
}

UNIT_LOOP (test_a_write_whose_reply_is_lost_is_read_back, 1, 4)
{
  lose_nth_reply (_i);
}

/* Kills the coordinator of the promotion once the record is in STATE.  */
static void
kill_coordinator_in_state (enum term_state state)
{
  sim_instance_kill (control.instances[0]);
  struct term_record record;
  for (int step = 0; step < 6000; step++)
    {
      sim_run (&control.sim, 1);
      record = platform_record ();
      if (record.term == 2 && record.state == state)
        break;
    }
  ck_assert_int_eq (record.state, state);
  for (size_t i = 0; i < 5; i++)
    if (strcmp (sim_net_address (i, 0).name, record.coordinator) == 0)
      {
        sim_control_kill (&control, i);
        if (i == 4)
          load_writer_set_host (writer, 3);
      }
  sim_run (&control.sim, 8000);
  ck_assert_int_eq (platform_record ().state, TERM_ACTIVE);
  check_writes_continue (1000);
}

UNIT_LOOP (test_another_host_completes_an_abandoned_promotion, 0, 2)
{
  static const enum term_state states[] = { TERM_SEALING, TERM_CHOSEN };
  kill_coordinator_in_state (states[_i]);
}

/* Pauses the coordinator at different points of a promotion and resumes it
   after another host has completed the promotion.  */
UNIT_LOOP (test_a_resumed_coordinator_does_not_interfere, 0, 30)
{
  size_t paused = coordinator ();
  sim_instance_kill (control.instances[0]);
  sim_run (&control.sim, 300 + 7 * _i);
  if (paused == 4)
    load_writer_set_host (writer, 3);
  control.sim.hosts[paused].paused = true;
  sim_run (&control.sim, 9000);
  ck_assert_uint_ge (platform_record ().term, 2);
  control.sim.hosts[paused].paused = false;
  sim_run (&control.sim, 5000);
  ck_assert_int_eq (platform_record ().state, TERM_ACTIVE);
  check_writes_continue (1000);
}

UNIT_TEST (test_a_chosen_instance_that_fails_leads_to_a_new_term)
{
  sim_instance_kill (control.instances[0]);
  struct term_record record;
  for (int step = 0; step < 6000; step++)
    {
      sim_run (&control.sim, 1);
      record = platform_record ();
      if (record.state == TERM_CHOSEN)
        break;
    }
  ck_assert_int_eq (record.state, TERM_CHOSEN);
  struct sim_instance *chosen = primary ();
  sim_instance_kill (chosen);
  sim_run (&control.sim, 10000);
  /* One instance of three is left, so no promotion is safe.  */
  ck_assert_uint_ge (platform_record ().term, 3);
  ck_assert_int_eq (platform_record ().state, TERM_SEALING);
  sim_instance_restart (chosen);
  sim_run (&control.sim, 8000);
  ck_assert_int_eq (platform_record ().state, TERM_ACTIVE);
  check_writes_continue (1000);
}

static void
store_result (void *arg, bool ok, const char *message)
{
  (void)message;
  *(int *)arg = ok ? 1 : 0;
}

/* Configures a kind of request that the primary alone acknowledges.  */
static void
add_primary_kind (void)
{
  static const char head[] = "{\"services\":{\"s\":{";
  const char *json
      = sim_platform_get (&control.platform, "savoryway/config/t");
  char *changed
      = mem_printf ("%s\"kinds\":{\"w\":{\"write\":true,\"ack\":\"primary\"}},"
                    "%s",
                    head, json + strlen (head));
  sim_control_configure (&control, "t", changed, 2);
  free (changed);
  sim_run (&control.sim, 1000);
}

UNIT_TEST (test_activation_waits_until_old_views_of_the_term_expire)
{
  add_primary_kind ();
  sim_instance_kill (control.instances[0]);
  while (platform_record ().term == 1)
    sim_run (&control.sim, 1);
  clk_ms claimed_ms = control.sim.clk.now_ms;
  while (platform_record ().state != TERM_ACTIVE)
    sim_run (&control.sim, 1);
  ck_assert_int_ge (control.sim.clk.now_ms - claimed_ms, TERM_VIEW_MAX_AGE_MS);
  check_writes_continue (1000);
}

UNIT_TEST (test_activation_does_not_wait_once_the_old_primary_is_sealed)
{
  int result = -1;
  add_primary_kind ();
  load_writer_reset_gap (writer);
  failover_switch_over (control.failovers[1], "t/s/d", NULL, store_result,
                        &result);
  sim_run (&control.sim, 2000);
  ck_assert_int_eq (result, 1);
  ck_assert_int_le (load_writer_gap_ms (writer), 500);
}

UNIT_TEST (test_a_planned_switch_over_is_short_and_loses_nothing)
{
  int result = -1;
  load_writer_reset_gap (writer);
  failover_switch_over (control.failovers[2], "t/s/d", "t/s/d/c", store_result,
                        &result);
  sim_run (&control.sim, 2000);
  ck_assert_int_eq (result, 1);
  check_term (2);
  ck_assert_ptr_eq (primary (), control.instances[2]);
  ck_assert_int_le (load_writer_gap_ms (writer), 500);
  check_writes_continue (1000);
}

/* Replicas are probed less often than the primary.  The new primary must not
   be suspected because its last answer is older than the limit for a primary.
   The switch-over starts at different times between two probes.  */
UNIT_LOOP (test_a_new_primary_is_not_suspected_at_once, 0, 10)
{
  int result = -1;
  size_t host = 0;
  while (failover_coordinated_count (control.failovers[host]) > 0)
    host++;
  sim_run (&control.sim, (clk_ms)100 * _i);
  failover_switch_over (control.failovers[host], "t/s/d", NULL, store_result,
                        &result);
  sim_run (&control.sim, 5000);
  ck_assert_int_eq (result, 1);
  check_term (2);
}

UNIT_LOOP (test_one_of_two_concurrent_switch_overs_succeeds, 0, 2)
{
  int results[2] = { -1, -1 };
  /* In the second run the two hosts are isolated, so that only the platform
     decides between them.  */
  for (size_t i = 0; i < 5 && _i == 1; i++)
    {
      sim_control_cut (&control, 1, i, i != 1);
      sim_control_cut (&control, 2, i, i != 2);
    }
  failover_switch_over (control.failovers[1], "t/s/d", "t/s/d/b", store_result,
                        &results[0]);
  failover_switch_over (control.failovers[2], "t/s/d", "t/s/d/c", store_result,
                        &results[1]);
  sim_run (&control.sim, 500);
  for (size_t i = 0; i < 5; i++)
    {
      sim_control_cut (&control, 1, i, false);
      sim_control_cut (&control, 2, i, false);
    }
  sim_run (&control.sim, 2500);
  ck_assert_int_eq (results[0] + results[1], 1);
  check_term (2);
  ck_assert_ptr_eq (primary (), control.instances[results[0] == 1 ? 1 : 2]);
  check_writes_continue (1000);
}

UNIT_TEST (test_invalid_switch_overs_are_refused)
{
  static const char *const targets[] = { "t/s/d/a", "t/s/d/x" };
  int result;
  for (size_t i = 0; i < 2; i++)
    {
      result = -1;
      failover_switch_over (control.failovers[1], "t/s/d", targets[i],
                            store_result, &result);
      ck_assert_int_eq (result, -1);
      sim_run (&control.sim, 100);
      ck_assert_int_eq (result, 0);
    }
  result = -1;
  failover_switch_over (control.failovers[1], "t/s/none", NULL, store_result,
                        &result);
  sim_run (&control.sim, 100);
  ck_assert_int_eq (result, 0);
  check_term (1);
}

UNIT_TEST (test_a_hold_forbids_promotions_until_it_is_lifted)
{
  int result = -1;
  failover_set_hold (control.failovers[0], "t/s/d", true, store_result,
                     &result);
  sim_run (&control.sim, 500);
  ck_assert_int_eq (result, 1);
  sim_instance_kill (control.instances[0]);
  sim_run (&control.sim, 10000);
  check_term (1);
  failover_set_hold (control.failovers[3], "t/s/d", false, store_result,
                     &result);
  sim_run (&control.sim, 4000);
  check_term (2);
}

UNIT_TEST (test_frequent_failovers_are_damped)
{
  sim_instance_kill (control.instances[0]);
  sim_run (&control.sim, 3000);
  check_term (2);
  sim_instance_restart (control.instances[0]);
  sim_run (&control.sim, 8000);
  for (uint64_t term = 3; term < 7; term++)
    {
      struct sim_instance *victim = primary ();
      sim_instance_kill (victim);
      sim_run (&control.sim, 2000);
      sim_instance_restart (victim);
      sim_run (&control.sim, 4000);
    }
  /* Four failures in 24 s: without flap damping each would start a term.  */
  ck_assert_uint_le (platform_record ().term, 5);
}

UNIT_TEST (test_a_failover_takes_three_platform_writes)
{
  uint64_t writes = control.platform.writes;
  sim_instance_kill (control.instances[0]);
  sim_run (&control.sim, 4000);
  check_term (2);
  ck_assert_uint_eq (control.platform.writes - writes, 3);
}

UNIT_MAIN ("failover", .setup = setup, .teardown = teardown, .timeout_s = 20)
