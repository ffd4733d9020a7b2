#include "core/cost.h"
#include "core/queue.h"
#include "core/retry_budget.h"
#include "load_mix.h"
#include "load_outcomes.h"
#include "load_size.h"
#include "unit.h"

#define ITEMS 12

static struct queue_item items[ITEMS];
static struct rig *rig;
static struct rig_request requests[64];

static void
push (struct queue *queue, size_t index, const char *flow, uint32_t weight,
      uint32_t priority, bool is_long, clk_ms at_ms)
{
  items[index] = (struct queue_item){ .weight = weight,
                                      .priority = priority,
                                      .is_long = is_long,
                                      .enqueued_ms = at_ms,
                                      .cost_us = 1000 };
  ck_assert (queue_push (queue, flow, &items[index]));
}

static size_t
pop (struct queue *queue, bool allow_long)
{
  struct queue_item *item = queue_pop (queue, allow_long);
  return item == NULL ? ITEMS : (size_t)(item - items);
}

UNIT_TEST (test_queue_shares_by_weight_regardless_of_backlog)
{
  struct queue *queue = queue_new (ITEMS);
  for (size_t i = 0; i < 8; i++)
    push (queue, i, "heavy", 1, 0, false, 0);
  for (size_t i = 8; i < 12; i++)
    push (queue, i, "light", 2, 0, false, 5);
  struct queue_item extra = { .weight = 1 };
  ck_assert (!queue_push (queue, "light", &extra));
  size_t light = 0;
  for (size_t i = 0; i < 6; i++)
    light += pop (queue, true) >= 8;
  ck_assert_uint_eq (light, 4);
  queue_free (queue);
}

UNIT_TEST (test_queue_ages_items_and_separates_long_ones)
{
  struct queue *queue = queue_new (ITEMS);
  push (queue, 0, "f", 1, 0, true, 0);
  push (queue, 1, "f", 1, 0, false, 10);
  push (queue, 2, "f", 1, 3, false, 20);
  push (queue, 3, "f", 1, 3, false, (clk_ms)5 * QUEUE_PRIORITY_STEP_MS);
  ck_assert_uint_eq (pop (queue, false), 2);
  ck_assert_uint_eq (pop (queue, true), 0);
  ck_assert_uint_eq (pop (queue, false), 1);
  ck_assert_uint_eq (pop (queue, false), 3);
  ck_assert_uint_eq (pop (queue, true), ITEMS);
  queue_free (queue);
}

UNIT_TEST (test_cost_estimate_adapts_and_classifies_long_kinds)
{
  struct cost_table table;
  cost_init (&table);
  struct cost_kind *quick = cost_find (&table, "quick", 5);
  struct cost_kind *report = cost_find (&table, "report", 5);
  ck_assert (!report->is_long);
  for (int i = 0; i < 32; i++)
    {
      cost_observe (&table, quick, 4);
      cost_observe (&table, report, 200);
    }
  ck_assert (report->is_long && !quick->is_long);
  ck_assert_int_ge (report->mean_us, 150000);
  ck_assert_int_le (table.short_mean_us, 5000);
  char name[16];
  for (int i = 0; i < 2 * COST_KIND_LIMIT; i++)
    {
      snprintf (name, sizeof name, "k%d", i);
      cost_find (&table, name, 1);
    }
  ck_assert_uint_le (HASH_COUNT (table.kinds), COST_KIND_LIMIT);
  cost_clear (&table);
}

UNIT_TEST (test_retries_are_limited_to_a_share_of_requests)
{
  struct retry_budget budget;
  struct rng rng;
  rng_init (&rng, 1);
  retry_budget_init (&budget);
  int taken = 0;
  for (int i = 0; i < 1000; i++)
    {
      retry_budget_deposit (&budget);
      taken += retry_budget_withdraw (&budget);
      taken += retry_budget_withdraw (&budget);
    }
  ck_assert_int_le (taken, 1000 * RETRY_SHARE_PERCENT / 100 + RETRY_BURST);
  ck_assert_int_ge (taken, 1000 * RETRY_SHARE_PERCENT / 100);
  for (uint32_t attempt = 0; attempt < 40; attempt++)
    ck_assert_int_le (retry_delay (&rng, attempt), RETRY_CAP_MS);
}

static void
start_rig (const struct size *size)
{
  struct rig_options options = size_options (size, POLICY_FULL, 3);
  options.log_level = getenv ("RIG_LOG") != NULL ? LOG_INFO : -1;
  rig = rig_new (&options);
  rig_run (rig, 1000);
}

static void
submit_many (size_t count, const char *kind, const char *statement,
             clk_ms deadline_ms)
{
  for (size_t i = 0; i < count; i++)
    rig_submit (rig, i % rig_host_count (rig), &requests[i], kind, statement,
                NULL, NULL, deadline_ms);
}

UNIT_TEST (test_connections_open_in_advance_a_few_at_a_time)
{
  start_rig (&sizes[0]);
  struct sim_instance *primary = rig_instance (rig, 0, 0);
  ck_assert_uint_ge (sim_instance_open_count (primary), 6);
  ck_assert_uint_le (sim_instance_opening_peak (primary), 4);
  submit_many (5, "release", "put k v 5", 1000);
  rig_run (rig, 60);
  for (size_t i = 0; i < 5; i++)
    {
      ck_assert_int_eq (requests[i].outcome, OUTCOME_DONE);
      ck_assert_int_le (requests[i].spent_ms, 20);
    }
  rig_free (rig);
}

UNIT_TEST (test_no_reconnect_storm_after_instance_restart)
{
  start_rig (&sizes[1]);
  struct sim_instance *primary = rig_instance (rig, 0, 0);
  sim_instance_kill (primary);
  submit_many (64, "release", "put k v", 2000);
  rig_run (rig, 1500);
  sim_instance_restart (primary);
  rig_run (rig, 8000);
  ck_assert_uint_le (sim_instance_opening_peak (primary), 4);
  ck_assert_uint_le (sim_instance_open_peak (primary), 60);
  for (size_t i = 0; i < 64; i++)
    ck_assert (requests[i].done);
  rig_free (rig);
}

UNIT_TEST (test_request_that_cannot_meet_its_deadline_is_refused)
{
  start_rig (&sizes[0]);
  submit_many (64, "release", "put k v 50", 2000);
  rig_run (rig, 3000);
  submit_many (64, "release", "put k v 50", 200);
  rig_run (rig, 50);
  size_t refused = 0;
  for (size_t i = 0; i < 64; i++)
    {
      if (!requests[i].done)
        continue;
      refused++;
      ck_assert_int_eq (requests[i].outcome, OUTCOME_NOT_RUN);
      ck_assert_int_gt (requests[i].retry_after_ms, 0);
    }
  ck_assert_uint_gt (refused, 30);
  ck_assert_uint_le (sim_instance_running_peak (rig_instance (rig, 0, 0)),
                     5 + 1);
  rig_free (rig);
}

UNIT_TEST (test_long_kinds_leave_a_slot_and_still_finish)
{
  start_rig (&sizes[1]);
  submit_many (24, "history", "get k 400", 20000);
  rig_run (rig, 20000);
  for (size_t i = 0; i < 24; i++)
    ck_assert_int_eq (requests[i].outcome, OUTCOME_DONE);
  submit_many (24, "history", "get k 400", 20000);
  rig_run (rig, 300);
  struct rig_request quick;
  rig_submit (rig, 0, &quick, "count", "get k 5", NULL, NULL, 1000);
  rig_run (rig, 30);
  ck_assert_int_eq (quick.outcome, OUTCOME_DONE);
  rig_run (rig, 20000);
  for (size_t i = 0; i < 24; i++)
    ck_assert_int_eq (requests[i].outcome, OUTCOME_DONE);
  rig_free (rig);
}

UNIT_TEST (test_stored_answer_waits_for_replica_confirmation)
{
  start_rig (&sizes[0]);
  for (int z = 1; z < 4; z++)
    {
      char domain[8];
      snprintf (domain, sizeof domain, "z%d", z);
      sim_world_cut (rig_world (rig), "z0", domain, true);
    }
  rig_submit (rig, 0, &requests[0], "release", "put k v", NULL, "id", 100);
  rig_run (rig, 300);
  rig_submit (rig, 0, &requests[1], "release", "put k v", NULL, "id", 100);
  rig_run (rig, 300);
  ck_assert (!requests[0].done || requests[0].outcome != OUTCOME_DONE);
  ck_assert (!requests[1].done || requests[1].outcome != OUTCOME_DONE);
  ck_assert_uint_eq (sim_instance_count_puts (rig_instance (rig, 0, 0), "k"),
                     1);
  rig_free (rig);
}

UNIT_TEST (test_one_barrier_write_covers_many_strong_reads)
{
  start_rig (&sizes[0]);
  submit_many (64, "exact", "get k 2", 2000);
  rig_run (rig, 500);
  for (size_t i = 0; i < 64; i++)
    ck_assert_int_eq (requests[i].outcome, OUTCOME_DONE);
  struct db_report report = sim_instance_report (rig_instance (rig, 0, 0));
  ck_assert_uint_ge (report.received_lsn, 1);
  ck_assert_uint_le (report.received_lsn, 16);
  rig_free (rig);
}

UNIT_LOOP (test_outcomes_hold_under_faults, 0, 6)
{
  struct outcomes outcomes = outcomes_run ((uint64_t)_i + 1, 8000);
  ck_assert_uint_gt (outcomes.done, 500);
  ck_assert_uint_eq (outcomes_violations (&outcomes), 0);
}

UNIT_MAIN ("gateway", .timeout_s = 60)
