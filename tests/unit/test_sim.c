#include "sim_instance.h"
#include "unit.h"

struct seen
{
  uint32_t opened;
  uint32_t closed;
  uint32_t results;
  struct db_result last;
  char payload[64];
};

static struct seen seen;
static struct clk_virtual clk;
static struct rng rng;
static struct log *log_none;
static struct kernel *kernel;
static struct sim_world *world;
static struct sim_instance *primary;
static struct sim_instance *replica;
static struct sim_group *group;
static struct db_port *port;

static void
on_opened (void *arg, struct db_conn *conn)
{
  (void)arg;
  (void)conn;
  seen.opened++;
}

static void
on_result (void *arg, struct db_conn *conn, const struct db_result *result)
{
  (void)arg;
  (void)conn;
  seen.results++;
  seen.last = *result;
  strncpy (seen.payload, result->payload ? result->payload : "",
           sizeof seen.payload - 1);
}

static void
on_closed (void *arg, struct db_conn *conn, const char *why)
{
  (void)arg;
  (void)conn;
  (void)why;
  seen.closed++;
}

static const struct db_conn_events events
    = { .opened = on_opened, .result = on_result, .closed = on_closed };

static void
run_for (clk_ms span_ms)
{
  clk_ms end_ms = clk.now_ms + span_ms;
  while (kernel_next_due (kernel) <= end_ms)
    {
      if (kernel_next_due (kernel) > clk.now_ms)
        clk.now_ms = kernel_next_due (kernel);
      kernel_run_due (kernel);
    }
  clk.now_ms = end_ms;
}

static void
set_up (void)
{
  struct sim_instance_options options = { .address = "10.0.0.1",
                                          .port = 1,
                                          .domain = "a",
                                          .slots = 2,
                                          .connections = 2,
                                          .connect_ms = 10,
                                          .cost_ms = 5,
                                          .lag_ms = 20 };
  memset (&seen, 0, sizeof seen);
  clk_virtual_init (&clk, 1000);
  rng_init (&rng, 1);
  log_none = log_new (&clk.base, -1, 0, log_to_stderr, NULL);
  kernel = kernel_new (&clk.base, &rng, log_none);
  world = sim_world_new (kernel);
  group = sim_group_new (world);
  primary = sim_instance_new (group, &options);
  options.port = 2;
  options.domain = "b";
  replica = sim_instance_new (group, &options);
  port = sim_port_new (world, "a");
}

static void
tear_down (void)
{
  sim_port_free (port);
  sim_world_free (world);
  kernel_free (kernel);
  log_free (log_none);
}

static struct db_conn *
open_to (uint16_t number)
{
  struct db_target target = { .address = "10.0.0.1", .port = number };
  struct db_conn *conn = port->ops->open (port, &target, &events, NULL);
  run_for (20);
  return conn;
}

static void
submit (struct db_conn *conn, enum db_job_kind kind, const char *statement,
        const char *id, uint64_t term, uint64_t min_lsn)
{
  struct db_job job = { .kind = kind,
                        .statement = statement,
                        .request_id = id,
                        .term = term,
                        .min_lsn = min_lsn };
  port->ops->submit (port, conn, &job);
}

UNIT_TEST (test_replica_receives_then_replays_after_its_lag)
{
  set_up ();
  struct db_conn *conn = open_to (1);
  struct db_conn *other = open_to (2);
  submit (conn, DB_WRITE, "put k v1", "id", 1, 0);
  run_for (8);
  ck_assert_int_eq (seen.last.status, DB_OK);
  ck_assert_str_eq (seen.payload, "{\"lsn\": 1}");
  ck_assert_uint_eq (sim_instance_report (primary).confirmed_lsn, 1);
  submit (other, DB_READ, "get k", NULL, 0, 1);
  run_for (8);
  ck_assert_int_eq (seen.last.status, DB_REFUSED);
  run_for (20);
  submit (other, DB_READ, "get k", NULL, 0, 1);
  run_for (8);
  ck_assert_str_eq (seen.payload, "{\"value\": \"v1\"}");
  submit (conn, DB_WRITE, "put k v2", "id", 1, 0);
  run_for (8);
  ck_assert_int_eq (seen.last.status, DB_DUPLICATE);
  ck_assert_str_eq (seen.payload, "{\"lsn\": 1}");
  tear_down ();
}

UNIT_TEST (test_connection_limit_and_lost_answer)
{
  set_up ();
  struct db_conn *conn = open_to (1);
  open_to (1);
  open_to (1);
  ck_assert_uint_eq (seen.opened, 2);
  ck_assert_uint_eq (seen.closed, 1);
  sim_instance_lose_answers (primary, 1);
  submit (conn, DB_WRITE, "put k v", "id", 1, 0);
  run_for (10);
  ck_assert_int_eq (seen.last.status, DB_LOST);
  ck_assert_uint_eq (sim_instance_count_puts (primary, "k"), 1);
  ck_assert_uint_eq (seen.closed, 2);
  tear_down ();
}

UNIT_TEST (test_promotion_drops_what_the_new_primary_lacked)
{
  set_up ();
  struct db_conn *conn = open_to (1);
  struct db_conn *other = open_to (2);
  submit (conn, DB_WRITE, "put k v1", "a", 1, 0);
  run_for (10);
  sim_world_cut (world, "a", "b", true);
  submit (conn, DB_WRITE, "put k v2", "b", 1, 0);
  run_for (10);
  ck_assert_uint_eq (sim_group_promote (group, replica, 2), 1);
  sim_world_cut (world, "a", "b", false);
  run_for (10);
  ck_assert_str_eq (sim_instance_get (primary, "k"), "v1");
  submit (conn, DB_WRITE, "put k v3", "c", 1, 0);
  run_for (10);
  ck_assert_int_eq (seen.last.status, DB_REFUSED);
  submit (other, DB_WRITE, "put k v4", "d", 2, 0);
  run_for (10);
  ck_assert_int_eq (seen.last.status, DB_OK);
  tear_down ();
}

UNIT_MAIN ("sim")
