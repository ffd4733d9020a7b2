#include "core/sync_head.h"
#include "core/sync_store.h"
#include "kernel/mem.h"
#include "sim_control.h"
#include "unit.h"

#define TEAM_JSON(slots)                                                      \
  "{\"services\":{\"s\":{\"databases\":{\"d\":{\"slots\":" #slots             \
  ",\"connections\":10,\"instances\":{\"a\":{\"address\":\"127.0.0.1\","      \
  "\"port\":5433,\"domain\":\"d0\"}}}}}}}"

static const char *const one_domain[] = { "d0", "d0", "d0", "d0", "d0" };
static const char *const two_domains[] = { "d0", "d0", "d0", "d1", "d1" };

static struct sim_control control;

static void
teardown (void)
{
  sim_control_clear (&control);
}

static void
start (const char *const *domains, clk_ms span_ms)
{
  sim_control_init (&control, 7, 5, domains);
  sim_control_configure (&control, "t", TEAM_JSON (2), 1);
  sim_control_start_all (&control);
  if (span_ms > 0)
    sim_run (&control.sim, span_ms);
}

static uint32_t
slots (size_t host)
{
  struct view_database *database
      = view_database (control.views[host], "t/s/d");
  return database == NULL ? 0 : database->slots;
}

static size_t
relay_count (void)
{
  size_t count = 0;
  for (size_t i = 0; i < 5; i++)
    count += control.syncs[i] != NULL && sync_is_relay (control.syncs[i]);
  return count;
}

static size_t
first_relay (void)
{
  size_t i = 0;
  while (i < 4
         && (control.syncs[i] == NULL || !sync_is_relay (control.syncs[i])))
    i++;
  return i;
}

static void
check_revision (uint64_t revision, uint32_t expected_slots)
{
  for (size_t i = 0; i < 5; i++)
    {
      if (!control.sim.hosts[i].alive)
        continue;
      ck_assert_uint_eq (sync_revision (control.syncs[i]), revision);
      ck_assert_uint_eq (slots (i), expected_slots);
    }
}

/* Writes the configuration REVISION and checks that all running hosts have it
   after SPAN_MS.  */
#define CHANGE(revision, slots, span_ms)                                      \
  do                                                                          \
    {                                                                         \
      sim_control_configure (&control, "t", TEAM_JSON (slots), revision);     \
      sim_run (&control.sim, span_ms);                                        \
      check_revision (revision, slots);                                       \
    }                                                                         \
  while (0)

UNIT_TEST (test_all_hosts_become_ready_and_two_are_relays)
{
  start (one_domain, 1000);
  for (size_t i = 0; i < 5; i++)
    {
      ck_assert (sync_ready (control.syncs[i]));
      ck_assert_uint_eq (members_count (control.members[i]), 5);
    }
  check_revision (1, 2);
  ck_assert_uint_eq (relay_count (), 2);
}

UNIT_TEST (test_a_change_reaches_all_hosts_within_300_ms)
{
  start (one_domain, 3000);
  CHANGE (2, 3, 300);
}

UNIT_TEST (test_view_age_is_bounded_and_grows_in_an_outage)
{
  start (one_domain, 5000);
  for (int step = 0; step < 40; step++)
    {
      sim_run (&control.sim, 100);
      for (size_t i = 0; i < 5; i++)
        ck_assert_int_le (sync_view_age_ms (control.syncs[i]), 2200);
    }
  control.platform.outage = true;
  sim_run (&control.sim, 10000);
  for (size_t i = 0; i < 5; i++)
    ck_assert_int_ge (sync_view_age_ms (control.syncs[i]), 10000);
}

UNIT_TEST (test_a_failed_relay_is_replaced)
{
  start (one_domain, 3000);
  sim_control_kill (&control, first_relay ());
  sim_run (&control.sim, 2000);
  CHANGE (2, 4, 300);
  sim_control_kill (&control, first_relay ());
  sim_run (&control.sim, 2000);
  CHANGE (3, 5, 300);
}

UNIT_TEST (test_relays_without_platform_pull_from_another_domain)
{
  start (two_domains, 3000);
  for (size_t i = 0; i < 3; i++)
    control.platform.cut[i] = true;
  sim_run (&control.sim, 4000);
  CHANGE (2, 4, 2500);
}

UNIT_TEST (test_an_isolated_host_does_not_revert_others)
{
  start (one_domain, 3000);
  sim_control_isolate (&control, 2, true);
  sim_control_configure (&control, "t", TEAM_JSON (3), 2);
  sim_run (&control.sim, 5000);
  ck_assert_uint_eq (sync_revision (control.syncs[2]), 1);
  ck_assert_uint_eq (sync_revision (control.syncs[3]), 2);
  /* With the platform down, the others may pull from the host that is behind;
     their revision must not decrease.  */
  control.platform.outage = true;
  sim_control_isolate (&control, 2, false);
  for (int step = 0; step < 50; step++)
    {
      sim_run (&control.sim, 200);
      for (size_t i = 0; i < 5; i++)
        if (i != 2)
          ck_assert_uint_eq (sync_revision (control.syncs[i]), 2);
    }
  check_revision (2, 3);
}

UNIT_TEST (test_a_host_starts_from_its_seeds_in_an_outage)
{
  start (one_domain, 3000);
  sim_control_kill (&control, 4);
  control.platform.outage = true;
  sim_control_start (&control, 4, true);
  sim_run (&control.sim, 1000);
  ck_assert (sync_ready (control.syncs[4]));
  check_revision (1, 2);
}

UNIT_TEST (test_a_host_without_peers_reads_the_platform)
{
  start (one_domain, 3000);
  for (size_t i = 0; i < 4; i++)
    sim_control_cut (&control, i, 4, true);
  CHANGE (2, 3, 8000);
}

UNIT_TEST (test_an_erased_team_is_removed_on_all_hosts)
{
  start (one_domain, 0);
  sim_control_configure (&control, "u", TEAM_JSON (1), 2);
  sim_run (&control.sim, 3000);
  ck_assert_ptr_nonnull (view_database (control.views[3], "u/s/d"));
  /* The simulated platform erases only by a write call.  The head then lists
     no changes, so that the hosts read the full configuration.  */
  struct platform_write erase
      = { .key = SYNC_CONFIG_PREFIX "u", .erase = true };
  for (size_t i = 0; i < control.platform.key_count; i++)
    if (strcmp (control.platform.keys[i].key, erase.key) == 0)
      erase.expect_index = control.platform.keys[i].index;
  ck_assert_uint_gt (erase.expect_index, 0);
  const struct platform_call call
      = { .kind = PLATFORM_WRITE, .writes = &erase, .write_count = 1 };
  struct platform_port *port = &control.platform.ports[0].base;
  uint64_t id = port->ops->call (port, &call, NULL, NULL);
  port->ops->cancel (port, id);
  sim_run (&control.sim, 100);
  sim_platform_set (&control.platform, SYNC_HEAD_KEY,
                    "{\"revision\":9,\"changes\":[]}");
  sim_run (&control.sim, 500);
  for (size_t i = 0; i < 5; i++)
    ck_assert_ptr_null (view_database (control.views[i], "u/s/d"));
  check_revision (9, 2);
}

UNIT_TEST (test_term_records_spread_by_push_and_by_watch)
{
  start (one_domain, 3000);
  struct term_record record = { .term = 2, .primary = "t/s/d/a" };
  char *json = term_record_print (&record);
  sim_platform_set (&control.platform, TERMS_PREFIX "t/s/d", json);
  free (json);
  sim_run (&control.sim, 500);
  for (size_t i = 0; i < 5; i++)
    ck_assert_ptr_nonnull (terms_get (control.terms[i], "t/s/d"));
  /* While the platform is down, a record known to one host still reaches the
     others by push.  */
  control.platform.outage = true;
  record.term = 3;
  terms_set (control.terms[3], "t/s/d", 5000, &record);
  sync_publish_term (control.syncs[3], "t/s/d");
  sim_run (&control.sim, 150);
  for (size_t i = 0; i < 5; i++)
    ck_assert_uint_eq (terms_get (control.terms[i], "t/s/d")->term, 3);
}

UNIT_TEST (test_a_leaving_mark_arrives_before_the_list_changes)
{
  start (two_domains, 3000);
  members_mark_leaving (control.members[1], "host-1", control.incarnations[1]);
  sim_run (&control.sim, 1500);
  for (size_t i = 0; i < 5; i++)
    ck_assert (members_find (control.members[i], "host-1")->leaving);
}

static void
add_hosts_by_revision (void *arg, const struct sync_revision_hosts *revisions,
                       size_t count)
{
  uint32_t *hosts = arg;
  for (size_t i = 0; i < count; i++)
    if (revisions[i].revision < 4)
      hosts[revisions[i].revision] += revisions[i].hosts;
}

UNIT_TEST (test_the_census_counts_each_host_once)
{
  uint32_t hosts[4] = { 0 };
  start (two_domains, 6000);
  sync_count_revisions (control.syncs[2], add_hosts_by_revision, hosts);
  sim_run (&control.sim, 3000);
  ck_assert_uint_eq (hosts[1], 5);
  sim_control_isolate (&control, 2, true);
  sim_control_configure (&control, "t", TEAM_JSON (3), 2);
  sim_run (&control.sim, 6000);
  memset (hosts, 0, sizeof hosts);
  sync_count_revisions (control.syncs[3], add_hosts_by_revision, hosts);
  sim_run (&control.sim, 3000);
  ck_assert_uint_eq (hosts[2], 4);
  ck_assert_uint_eq (hosts[0] + hosts[1], 1);
}

UNIT_TEST (test_platform_reads_are_bounded_at_recovery)
{
  start (one_domain, 3000);
  control.platform.outage = true;
  sim_run (&control.sim, 60000);
  control.platform.outage = false;
  uint64_t before = control.platform.reads;
  sim_run (&control.sim, 1000);
  /* Only the two relays read, with three loops each, whatever the number of
     hosts.  */
  ck_assert_uint_le (control.platform.reads - before, 30);
}

UNIT_TEST (test_a_push_of_an_unlisted_host_is_ignored)
{
  struct term_record record = { .term = 9, .primary = "t/s/d/a" };
  start (one_domain, 3000);
  /* A new incarnation, not in the list yet, has the name and address of
     host 1.  */
  sim_control_kill (&control, 1);
  sim_control_start (&control, 1, true);
  sim_run (&control.sim, 2000);
  terms_set (control.terms[1], "t/s/d", 9000, &record);
  sync_publish_term (control.syncs[1], "t/s/d");
  sim_run (&control.sim, 300);
  ck_assert_ptr_null (terms_get (control.terms[0], "t/s/d"));
  sim_control_publish_hosts (&control);
  sim_run (&control.sim, 3000);
  sync_publish_term (control.syncs[1], "t/s/d");
  sim_run (&control.sim, 300);
  ck_assert_ptr_nonnull (terms_get (control.terms[0], "t/s/d"));
}

UNIT_PLAIN (test_the_store_ignores_lower_indexes_and_revisions)
{
  static const char new_json[] = TEAM_JSON (5), old_json[] = TEAM_JSON (4);
  struct sync_store store = { .view = view_new () };
  sim_control_init (&control, 1, 1, one_domain);
  sim_control_start (&control, 0, false);
  store.kernel = control.sim.hosts[0].kernel;
  sync_store_put (&store, "t", 20, 7, new_json, strlen (new_json));
  sync_store_put (&store, "t", 19, 8, old_json, strlen (old_json));
  ck_assert_uint_eq (view_database (store.view, "t/s/d")->slots, 5);
  sync_store_commit (&store, 7, "test");
  sync_store_commit (&store, 6, "test");
  ck_assert_uint_eq (store.revision, 7);
  sync_store_erase (&store, "t", 8);
  ck_assert_ptr_null (view_database (store.view, "t/s/d"));
  sync_store_clear (&store);
  view_free (store.view);
  sim_control_clear (&control);
}

UNIT_PLAIN (test_head_lists_teams_changed_since_a_revision)
{
  static const char json[]
      = "{\"revision\":7,\"changes\":["
        "{\"revision\":5,\"team\":\"a\"},{\"revision\":6,\"team\":\"b\"},"
        "{\"revision\":7,\"team\":\"b\"}]}";
  struct sync_head head;
  ck_assert (sync_head_parse (json, strlen (json), 5, &head));
  ck_assert (head.complete);
  ck_assert_uint_eq (head.team_count, 1);
  ck_assert_str_eq (head.teams[0], "b");
  ck_assert (sync_head_parse (json, strlen (json), 3, &head));
  ck_assert (!head.complete);
  for (size_t length = 0; length < strlen (json); length++)
    ck_assert (!sync_head_parse (json, length, 0, &head));
}

UNIT_MAIN ("sync", .teardown = teardown)
