#include "core/gateway.h"
#include "kernel/mem.h"
#include "load_writer.h"
#include "unit.h"

#define RECORD_KEY TERMS_PREFIX "t/s/d"

static const char *const three[] = { "d0", "d1", "d2", "d0", "d1" };
static const char *const instance_domains[] = { "d0", "d1", "d2" };

static struct sim_control control;
static struct load_writer *writer;

/* Five hosts in three domains; the primary is "a", in d0.  */
static void
setup (void)
{
  sim_control_init (&control, 11, 5, three);
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

/* Whether the writer's acknowledgements go on.  */
static void
check_writes_go_on (clk_ms span_ms)
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

/* Index of the host that is the first coordinator.  */
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
  check_writes_go_on (1000);
}

UNIT_TEST (test_a_dead_primary_is_replaced)
{
  sim_instance_kill (control.instances[0]);
  sim_run (&control.sim, 3000);
  check_term (2);
  ck_assert_ptr_ne (primary (), control.instances[0]);
  ck_assert_int_le (load_writer_gap_ms (writer), 3000);
  check_writes_go_on (1000);
}

UNIT_TEST (test_a_frozen_primary_is_replaced_and_follows_when_it_wakes)
{
  sim_instance_freeze (control.instances[0], true);
  sim_run (&control.sim, 4000);
  check_term (2);
  sim_instance_freeze (control.instances[0], false);
  check_writes_go_on (8000);
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
  check_writes_go_on (12000);
  ck_assert (!sim_instance_report (control.instances[0]).primary);
  ck_assert (sim_instance_report (control.instances[0]).receiving);
}

UNIT_TEST (test_a_primary_that_one_domain_can_not_reach_stays)
{
  for (size_t i = 0; i < 5; i++)
    if (strcmp (three[i], "d1") == 0)
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
  bool said = false;
  for (size_t i = 0; i < 5; i++)
    {
      char *status = failover_status (control.failovers[i]);
      said = said || strstr (status, "\"waits_for_platform\":true") != NULL;
      free (status);
    }
  ck_assert (said);
  control.platform.outage = false;
  sim_run (&control.sim, 4000);
  check_term (2);
  check_writes_go_on (1000);
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
  check_writes_go_on (1000);
}

UNIT_TEST (test_no_claim_is_made_that_can_not_be_sealed)
{
  /* The primary and a replica are on one side, all hosts but those of their
     domains on the other.  */
  for (size_t i = 0; i < 5; i++)
    for (size_t j = 0; j < 2; j++)
      sim_db_net_cut (&control.db_net, i, j, true);
  sim_run (&control.sim, 10000);
  check_term (1);
  ck_assert_uint_gt (load_writer_acknowledged (writer), 0);
  check_writes_go_on (1000);
  for (size_t i = 0; i < 5; i++)
    sim_db_net_cut (&control.db_net, i, 1, false);
  sim_run (&control.sim, 5000);
  check_term (2);
}

/* Loses the answer of the Nth write after the primary's death.  */
static void
lose_nth_answer (int n)
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
  check_writes_go_on (1000);
}

UNIT_LOOP (test_a_lost_answer_is_read_back, 1, 4) { lose_nth_answer (_i); }

/* Kills the coordinator that acts when the record is in the state given.  */
static void
kill_coordinator_in (enum term_state state)
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
          load_writer_via (writer, 3);
      }
  sim_run (&control.sim, 8000);
  ck_assert_int_eq (platform_record ().state, TERM_ACTIVE);
  check_writes_go_on (1000);
}

UNIT_LOOP (test_another_host_finishes_a_half_done_attempt, 0, 2)
{
  static const enum term_state states[] = { TERM_SEALING, TERM_CHOSEN };
  kill_coordinator_in (states[_i]);
}

/* Pauses the coordinator at each step and lets it go on much later.  */
UNIT_LOOP (test_a_paused_coordinator_that_wakes_does_no_harm, 0, 30)
{
  size_t paused = coordinator ();
  sim_instance_kill (control.instances[0]);
  sim_run (&control.sim, 300 + 7 * _i);
  if (paused == 4)
    load_writer_via (writer, 3);
  control.sim.hosts[paused].paused = true;
  sim_run (&control.sim, 9000);
  ck_assert_uint_ge (platform_record ().term, 2);
  control.sim.hosts[paused].paused = false;
  sim_run (&control.sim, 5000);
  ck_assert_int_eq (platform_record ().state, TERM_ACTIVE);
  check_writes_go_on (1000);
}

UNIT_TEST (test_a_chosen_instance_that_dies_leads_to_a_new_term)
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
  /* One instance of three is left: no choice is safe.  */
  ck_assert_uint_ge (platform_record ().term, 3);
  ck_assert_int_eq (platform_record ().state, TERM_SEALING);
  sim_instance_restart (chosen);
  sim_run (&control.sim, 8000);
  ck_assert_int_eq (platform_record ().state, TERM_ACTIVE);
  check_writes_go_on (1000);
}

static void
keep_answer (void *arg, bool ok, const char *message)
{
  (void)message;
  *(int *)arg = ok ? 1 : 0;
}

/* Lets the service have a kind that the primary alone acknowledges.  */
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

UNIT_TEST (test_the_ack_window_is_waited_out_if_a_kind_needs_it)
{
  add_primary_kind ();
  sim_instance_kill (control.instances[0]);
  while (platform_record ().term == 1)
    sim_run (&control.sim, 1);
  clk_ms claimed_ms = control.sim.clk.now_ms;
  while (platform_record ().state != TERM_ACTIVE)
    sim_run (&control.sim, 1);
  ck_assert_int_ge (control.sim.clk.now_ms - claimed_ms, TERM_VIEW_MAX_AGE_MS);
  check_writes_go_on (1000);
}

UNIT_TEST (test_no_window_is_waited_out_once_the_old_primary_is_sealed)
{
  int answer = -1;
  add_primary_kind ();
  load_writer_reset_gap (writer);
  failover_switch_over (control.failovers[1], "t/s/d", NULL, keep_answer,
                        &answer);
  sim_run (&control.sim, 2000);
  ck_assert_int_eq (answer, 1);
  ck_assert_int_le (load_writer_gap_ms (writer), 500);
}

UNIT_TEST (test_an_ordered_switch_over_is_short_and_loses_nothing)
{
  int answer = -1;
  load_writer_reset_gap (writer);
  failover_switch_over (control.failovers[2], "t/s/d", "t/s/d/c", keep_answer,
                        &answer);
  sim_run (&control.sim, 2000);
  ck_assert_int_eq (answer, 1);
  check_term (2);
  ck_assert_ptr_eq (primary (), control.instances[2]);
  ck_assert_int_le (load_writer_gap_ms (writer), 500);
  check_writes_go_on (1000);
}

/* At any moment between two probes of the replica that becomes primary.  */
UNIT_LOOP (test_a_new_primary_is_not_suspected_at_once, 0, 10)
{
  int answer = -1;
  size_t host = 0;
  while (failover_guards (control.failovers[host]) > 0)
    host++;
  sim_run (&control.sim, (clk_ms)100 * _i);
  failover_switch_over (control.failovers[host], "t/s/d", NULL, keep_answer,
                        &answer);
  sim_run (&control.sim, 5000);
  ck_assert_int_eq (answer, 1);
  check_term (2);
}

UNIT_LOOP (test_two_orders_at_once_have_one_winner, 0, 2)
{
  int answers[2] = { -1, -1 };
  /* Once they hear of each other, once only the platform decides.  */
  for (size_t i = 0; i < 5 && _i == 1; i++)
    {
      sim_control_cut (&control, 1, i, i != 1);
      sim_control_cut (&control, 2, i, i != 2);
    }
  failover_switch_over (control.failovers[1], "t/s/d", "t/s/d/b", keep_answer,
                        &answers[0]);
  failover_switch_over (control.failovers[2], "t/s/d", "t/s/d/c", keep_answer,
                        &answers[1]);
  sim_run (&control.sim, 500);
  for (size_t i = 0; i < 5; i++)
    {
      sim_control_cut (&control, 1, i, false);
      sim_control_cut (&control, 2, i, false);
    }
  sim_run (&control.sim, 2500);
  ck_assert_int_eq (answers[0] + answers[1], 1);
  check_term (2);
  ck_assert_ptr_eq (primary (), control.instances[answers[0] == 1 ? 1 : 2]);
  check_writes_go_on (1000);
}

UNIT_TEST (test_orders_that_make_no_sense_are_refused)
{
  static const char *const targets[] = { "t/s/d/a", "t/s/d/x" };
  int answer;
  for (size_t i = 0; i < 2; i++)
    {
      answer = -1;
      failover_switch_over (control.failovers[1], "t/s/d", targets[i],
                            keep_answer, &answer);
      ck_assert_int_eq (answer, -1);
      sim_run (&control.sim, 100);
      ck_assert_int_eq (answer, 0);
    }
  answer = -1;
  failover_switch_over (control.failovers[1], "t/s/none", NULL, keep_answer,
                        &answer);
  sim_run (&control.sim, 100);
  ck_assert_int_eq (answer, 0);
  check_term (1);
}

UNIT_TEST (test_a_hold_forbids_promotions_until_it_is_lifted)
{
  int answer = -1;
  failover_set_hold (control.failovers[0], "t/s/d", true, keep_answer,
                     &answer);
  sim_run (&control.sim, 500);
  ck_assert_int_eq (answer, 1);
  sim_instance_kill (control.instances[0]);
  sim_run (&control.sim, 10000);
  check_term (1);
  failover_set_hold (control.failovers[3], "t/s/d", false, keep_answer,
                     &answer);
  sim_run (&control.sim, 4000);
  check_term (2);
}

UNIT_TEST (test_changes_close_to_each_other_are_held_back)
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
  /* Four deaths in 24 s: without the pause there would be a term each.  */
  ck_assert_uint_le (platform_record ().term, 5);
}

UNIT_TEST (test_calls_to_the_platform_for_one_failover_are_few)
{
  uint64_t writes = control.platform.writes;
  sim_instance_kill (control.instances[0]);
  sim_run (&control.sim, 4000);
  check_term (2);
  ck_assert_uint_eq (control.platform.writes - writes, 3);
}

UNIT_MAIN ("failover", .setup = setup, .teardown = teardown, .timeout_s = 20)
