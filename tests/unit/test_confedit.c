#include "core/confedit.h"
#include "core/confhead.h"
#include "core/conftree.h"
#include "kernel/mem.h"
#include "sim_platform.h"
#include "unit.h"

#define CALLS 64
#define LATE_MS 300

/* Longer than all retries of one change take.  */
#define VERY_LATE_MS 60000
#define TEAM_KEY "savoryway/config/dagohoy"

/* Faults of the next calls to the platform.  */
static struct
{
  enum sim_fault faults[CALLS]; /* for the next writes, in order */
  size_t fault_count;
  size_t fault_next;
  uint32_t fault_percent;      /* share of calls with a random fault */
  void (*before_write) (void); /* called before each write */
} plan;

static struct sim sim;
static struct sim_platform platform;
static struct rng rng;
static struct kernel *kernel;
static struct confedit *edit;
static struct view *view;

static enum sim_fault
next_fault (bool is_write)
{
  if (is_write && plan.before_write != NULL)
    plan.before_write ();
  if (rng_below (&rng, 100) < plan.fault_percent)
    return is_write ? rng_below (&rng, SIM_FAULT_COUNT) : SIM_FAULT_REFUSED;
  if (is_write && plan.fault_next < plan.fault_count)
    return plan.faults[plan.fault_next++];
  return SIM_FAULT_NONE;
}

static const uint8_t salt[VIEW_SALT_BYTES] = { 7 };
static char ann_hash[VIEW_SECRET_HASH_BYTES];

static void
start (uint64_t seed)
{
  char admin_hash[VIEW_SECRET_HASH_BYTES];
  memset (&plan, 0, sizeof plan);
  sim_init (&sim, seed, 1);
  sim_platform_init (&platform, &sim);
  platform.fault = next_fault;
  platform.late_ms = LATE_MS;
  rng_init (&rng, seed);
  struct sim_host *host = &sim.hosts[0];
  kernel = kernel_new (&host->clk.base, &host->rng, host->log);
  host->kernel = kernel;
  host->alive = true;
  view = view_new ();
  edit = confedit_new (&platform.ports[0].base, view);
  kernel_register (kernel, confedit_module (edit));
  view_secret_hash ("root", salt, admin_hash);
  view_secret_hash ("pw", salt, ann_hash);
  confedit_set_admin (edit, admin_hash);
}

static void
stop (void)
{
  kernel_free (kernel);
  view_free (view);
  sim_platform_clear (&platform);
  sim_clear (&sim);
}

/* The last result, and the number of results so far.  */
static struct
{
  int results;
  enum confedit_status status;
  uint64_t revision;
  uint64_t index;
  size_t findings;
  char difference[512];
} got;

static void
on_done (void *arg, const struct confedit_result *result)
{
  if (arg != NULL)
    *(int *)arg = (int)result->status;
  got.results++;
  got.status = result->status;
  got.revision = result->revision;
  got.index = result->index;
  got.findings = result->findings->count;
  char *text = result->difference
                   ? json_dumps (result->difference, JSON_COMPACT)
                   : mem_strdup ("");
  snprintf (got.difference, sizeof got.difference, "%s", text);
  free (text);
}

static void
run (void)
{
  while (kernel_next_due (sim.world) != CLK_NEVER
         || kernel_next_due (kernel) != CLK_NEVER)
    sim_run (&sim, 100);
}

static void
submit (const struct confedit_request *request, int *status)
{
  int before = got.results;
  confedit_submit (edit, request, on_done, status);
  ck_assert_int_eq (got.results, before);
}

static enum confedit_status
submit_and_run (const struct confedit_request *request)
{
  int before = got.results;
  submit (request, NULL);
  run ();
  ck_assert_int_eq (got.results, before + 1);
  return got.status;
}

static struct confedit_request
set_request (const char *path, const char *json)
{
  return (struct confedit_request){ .action = CONFEDIT_SET,
                                    .team = "dagohoy",
                                    .path = path,
                                    .json = json,
                                    .json_bytes = strlen (json),
                                    .who = "ann",
                                    .secret = "pw" };
}

static enum confedit_status
set (const char *path, const char *json)
{
  const struct confedit_request request = set_request (path, json);
  return submit_and_run (&request);
}

/* Creates the team as the administrator, with ann as its operator.  */
static void
create_team (void)
{
  char *json = mem_printf ("{\"operators\":{\"ann\":{\"secret_hash\":\"%s\"}},"
                           "\"services\":{\"s\":{\"weight\":1,\"kinds\":{}}}}",
                           ann_hash);
  struct confedit_request request = set_request ("", json);
  request.secret = "root";
  ck_assert_int_eq (submit_and_run (&request), CONFEDIT_DONE);
  free (json);
  ck_assert_uint_eq (got.revision, 1);
}

static void
setup (void)
{
  start (1);
  create_team ();
  platform.writes = 0;
}

static const char *
get (const char *key)
{
  return sim_platform_get (&platform, key);
}

static int64_t
weight (void)
{
  json_t *tree = json_loads (get (TEAM_KEY), 0, NULL);
  int64_t value
      = json_integer_value (conftree_get (tree, "services/s/weight"));
  json_decref (tree);
  return value;
}

static uint64_t
revision (void)
{
  const char *at = get (SYNC_HEAD_KEY);
  json_t *head = confhead_parse (at, strlen (at));
  uint64_t value = confhead_revision (head);
  json_decref (head);
  return value;
}

UNIT_TEST (test_change_is_applied_once_and_listed)
{
  ck_assert_int_eq (set ("services/s/weight", "3"), CONFEDIT_DONE);
  ck_assert_uint_eq (got.revision, 2);
  ck_assert_str_eq (got.difference,
                    "[{\"path\":\"services/s/weight\",\"from\":1,\"to\":3}]");
  ck_assert_int_eq (weight (), 3);
  ck_assert_ptr_nonnull (
      strstr (get (SYNC_HEAD_KEY), "\"path\":\"services/s/weight\""));
  ck_assert_int_eq (set ("services/s/weight", "3"), CONFEDIT_DONE);
  ck_assert_uint_eq (got.revision, 0);
  ck_assert_uint_eq (platform.writes, 1);
  struct confedit_request request = set_request ("services/s/weight", "9");
  request.dry_run = true;
  ck_assert_int_eq (submit_and_run (&request), CONFEDIT_DONE);
  ck_assert_int_eq (weight (), 3);
}

UNIT_TEST (test_invalid_changes_write_nothing)
{
  ck_assert_int_eq (set ("services/s/weight", "0"), CONFEDIT_INVALID);
  ck_assert_uint_eq (got.findings, 1);
  ck_assert_int_eq (set ("services/s/weight", "{"), CONFEDIT_INVALID);
  ck_assert_int_eq (set ("services/s/weight/x", "1"), CONFEDIT_INVALID);
  ck_assert_int_eq (set ("services//x", "1"), CONFEDIT_INVALID);
  struct confedit_request request = { .action = CONFEDIT_DELETE,
                                      .team = "dagohoy",
                                      .path = "services/no",
                                      .who = "ann",
                                      .secret = "pw" };
  ck_assert_int_eq (submit_and_run (&request), CONFEDIT_INVALID);
  request.change_id = "no blanks";
  request.team = "../dagohoy";
  ck_assert_int_eq (submit_and_run (&request), CONFEDIT_INVALID);
  ck_assert_uint_eq (got.findings, 2);
  size_t size = (size_t)(PLATFORM_VALUE_LIMIT_BYTES);
  char *big = mem_zalloc (size + 3);
  memset (big, 'x', size + 2);
  big[0] = big[size + 1] = '"';
  ck_assert_int_eq (set ("services/s/weight", big), CONFEDIT_INVALID);
  free (big);
  ck_assert_uint_eq (platform.writes, 0);
}

UNIT_TEST (test_operators_change_only_their_own_team)
{
  struct confedit_request request = set_request ("services/s/weight", "2");
  static const char *const wrong[][3] = { { "dagohoy", "ann", "no" },
                                          { "dagohoy", "bob", "pw" },
                                          { "dagohoy", "ann", NULL },
                                          { "ardhi", "ann", "pw" } };
  for (size_t i = 0; i < sizeof wrong / sizeof wrong[0]; i++)
    {
      request.team = wrong[i][0];
      request.who = wrong[i][1];
      request.secret = wrong[i][2];
      ck_assert_int_eq (submit_and_run (&request), CONFEDIT_FORBIDDEN);
    }
  confedit_set_admin (edit, NULL);
  request.team = "dagohoy";
  request.secret = "root";
  ck_assert_int_eq (submit_and_run (&request), CONFEDIT_FORBIDDEN);
  ck_assert_uint_eq (platform.writes, 0);
}

static void
change_team_concurrently (void)
{
  plan.before_write = NULL;
  ck_assert_int_eq (weight (), 1);
  char *old = mem_strdup (get (TEAM_KEY));
  char *member = strstr (old, "\"weight\":1");
  member[strlen ("\"weight\":")] = '7';
  sim_platform_set (&platform, TEAM_KEY, old);
  free (old);
}

UNIT_TEST (test_concurrent_change_gives_a_conflict_with_the_difference)
{
  plan.before_write = change_team_concurrently;
  ck_assert_int_eq (set ("services/s/kinds/k", "{}"), CONFEDIT_CONFLICT);
  ck_assert_str_eq (got.difference,
                    "[{\"path\":\"services/s/weight\",\"from\":1,\"to\":7}]");
  ck_assert_int_eq (weight (), 7);
  struct confedit_request request = set_request ("services/s/weight", "2");
  request.checks_index = true;
  request.expect_index = got.index - 1;
  ck_assert_int_eq (submit_and_run (&request), CONFEDIT_CONFLICT);
  request.expect_index = got.index;
  ck_assert_int_eq (submit_and_run (&request), CONFEDIT_DONE);
}

static void
change_other_team (void)
{
  plan.before_write = NULL;
  const char *at = get (SYNC_HEAD_KEY);
  const struct confhead_change change
      = { .team = "ardhi", .change_id = "x", .who = "z", .path = "" };
  json_t *head = confhead_parse (at, strlen (at));
  char *text = confhead_print_with (head, &change);
  sim_platform_set (&platform, SYNC_HEAD_KEY, text);
  free (text);
  json_decref (head);
}

UNIT_TEST (test_change_of_another_team_is_no_conflict)
{
  plan.before_write = change_other_team;
  ck_assert_int_eq (set ("services/s/weight", "2"), CONFEDIT_DONE);
  ck_assert_uint_eq (got.revision, 3);
  ck_assert_uint_eq (platform.writes, 2);
}

/* However the answer to a write is lost, the change takes effect once and is
   reported as done.  */
UNIT_TEST (test_lost_answers_are_resolved)
{
  const enum sim_fault fault_pairs[][2]
      = { { SIM_FAULT_LOST_AFTER, SIM_FAULT_NONE },
          { SIM_FAULT_LOST_BEFORE, SIM_FAULT_NONE },
          { SIM_FAULT_LATE, SIM_FAULT_NONE },
          { SIM_FAULT_LOST_BEFORE, SIM_FAULT_LOST_AFTER },
          { SIM_FAULT_LATE, SIM_FAULT_LATE } };
  for (size_t i = 0; i < sizeof fault_pairs / sizeof fault_pairs[0]; i++)
    {
      char value[8];
      uint64_t before = revision ();
      snprintf (value, sizeof value, "%zu", i + 10);
      memcpy (plan.faults, fault_pairs[i], sizeof fault_pairs[i]);
      plan.fault_next = 0;
      plan.fault_count = 2;
      ck_assert_int_eq (set ("services/s/weight", value), CONFEDIT_DONE);
      ck_assert_int_eq (weight (), (int64_t)i + 10);
      ck_assert_uint_eq (got.revision, before + 1);
      ck_assert_uint_eq (revision (), before + 1);
    }
}

/* Simulates more changes of another team, while the answer to a write is lost,
   than the head lists.  */
static void
wrap_history (void)
{
  for (int i = 0; i < CONFHEAD_CHANGES; i++)
    change_other_team ();
}

static void
on_wrap_timer (void *arg)
{
  (void)arg;
  wrap_history ();
}

static enum confedit_status
submit_and_wrap_history (const struct confedit_request *request,
                         enum sim_fault fault)
{
  struct ktimer timer = { .fire = on_wrap_timer };
  plan.faults[0] = fault;
  plan.fault_count = 1;
  plan.fault_next = 0;
  platform.writes = 0;
  submit (request, NULL);
  while (platform.writes == 0)
    sim_run (&sim, 1);
  kernel_timer_set (kernel, &timer, kernel_now (kernel));
  run ();
  return got.status;
}

UNIT_TEST (test_lost_write_is_unknown_once_the_history_has_wrapped)
{
  struct confedit_request request = set_request ("services/s/weight", "2");
  ck_assert_int_eq (submit_and_wrap_history (&request, SIM_FAULT_LOST_AFTER),
                    CONFEDIT_UNKNOWN);
  /* The unchanged team proves that the write took no effect.  */
  request.json = "4";
  ck_assert_int_eq (submit_and_wrap_history (&request, SIM_FAULT_LOST_BEFORE),
                    CONFEDIT_DONE);
  ck_assert_int_eq (weight (), 4);
}

static void
start_outage (void)
{
  platform.outage = true;
}

UNIT_TEST (test_outage_gives_not_run_or_unknown_resolved_by_the_id)
{
  clk_ms start_ms = kernel_now (kernel);
  platform.outage = true;
  ck_assert_int_eq (set ("services/s/weight", "2"), CONFEDIT_UNAVAILABLE);
  ck_assert_int_lt (kernel_now (kernel) - start_ms, 30000);
  platform.outage = false;
  plan.before_write = start_outage;
  plan.faults[0] = SIM_FAULT_LOST_AFTER;
  plan.fault_count = 1;
  struct confedit_request request = set_request ("services/s/weight", "2");
  request.change_id = "change-1";
  ck_assert_int_eq (submit_and_run (&request), CONFEDIT_UNKNOWN);
  platform.outage = false;
  plan.before_write = NULL;
  uint64_t before = revision ();
  ck_assert_int_eq (submit_and_run (&request), CONFEDIT_DONE);
  ck_assert_uint_eq (got.revision, before);
  ck_assert_uint_eq (revision (), before);
}

/* A write in flight may take effect after the last retry.  */
UNIT_TEST (test_lost_write_is_unknown_while_it_may_still_take_effect)
{
  platform.late_ms = VERY_LATE_MS;
  for (size_t i = 0; i < CALLS; i++)
    plan.faults[i] = i == 0 ? SIM_FAULT_LATE : SIM_FAULT_REFUSED;
  plan.fault_count = CALLS;
  ck_assert_int_eq (set ("services/s/weight", "2"), CONFEDIT_UNKNOWN);
  ck_assert_int_eq (weight (), 2);
}

UNIT_TEST (test_malformed_head_is_not_overwritten)
{
  sim_platform_set (&platform, SYNC_HEAD_KEY, "{\"revision\":\"9\"}");
  ck_assert_int_eq (set ("services/s/weight", "2"), CONFEDIT_UNAVAILABLE);
  ck_assert_uint_eq (platform.writes, 0);
}

UNIT_TEST (test_team_is_removed_and_calls_in_flight_are_dropped)
{
  struct confedit_request request = {
    .action = CONFEDIT_DELETE, .team = "dagohoy", .who = "ann", .secret = "pw"
  };
  ck_assert_int_eq (submit_and_run (&request), CONFEDIT_DONE);
  ck_assert_ptr_null (get (TEAM_KEY));
  ck_assert_uint_eq (revision (), 2);
  ck_assert_int_eq (submit_and_run (&request), CONFEDIT_FORBIDDEN);
  submit (&request, NULL);
}

#define OPERATORS 24

/* Operators add one kind each while calls fail at random.  A change reported
   as done must be stored; one of any other status but unknown must not be.  */
UNIT_PLAIN_LOOP (test_reported_outcomes_hold_under_random_faults, 0, 40)
{
  start ((uint64_t)_i + 100);
  create_team ();
  int status[OPERATORS];
  char path[64], value[64];
  plan.fault_percent = 25;
  for (int i = 0; i < OPERATORS; i++)
    {
      status[i] = -1;
      snprintf (path, sizeof path, "services/s/kinds/k%d", i);
      struct confedit_request request = set_request (path, "{}");
      submit (&request, &status[i]);
      sim_run (&sim, (clk_ms)rng_below (&rng, 200));
    }
  run ();
  uint64_t applied = 0;
  for (int i = 0; i < OPERATORS; i++)
    {
      snprintf (value, sizeof value, "\"k%d\":", i);
      bool stored = strstr (get (TEAM_KEY), value) != NULL;
      ck_assert_int_ge (status[i], 0);
      if (status[i] == CONFEDIT_DONE)
        ck_assert (stored);
      else if (status[i] != CONFEDIT_UNKNOWN)
        ck_assert (!stored);
      applied += stored;
    }
  ck_assert_uint_eq (revision (), applied + 1);
  ck_assert_uint_gt (applied, 0);
  stop ();
}

UNIT_MAIN ("confedit", .setup = setup, .teardown = stop)
