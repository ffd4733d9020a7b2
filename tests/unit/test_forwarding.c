/* Forwarding between hosts, admission control, relays of the store, and the
   placement of groups on hosts.  */

#include "kernel/mem.h"
#include "proxy/admission.h"
#include "tests/fleet/fleet_unit.h"

/* Of the registrations of hosts in the store.  */
#define HOST_KEY_PREFIX "savoryway/hosts/"

UNIT_TEST (test_a_host_that_cannot_reach_the_primary_forwards_to_one_that_can)
{
  struct fleet_host *host = fleet_host (fleet, 4);
  struct fleet_caller *caller
      = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  host->instances_cut[0] = true;
  fleet_run (fleet, 2000);
  for (int i = 0; i < 10; i++)
    {
      ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
      ck_assert_int_lt (fleet_caller_took_ms (caller), 60);
    }
  ck_assert_int_eq (run (caller, STMT_BEGIN, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_COMMIT, NULL, NULL), CODE_OK);
  ck_assert_uint_eq (fleet_promotions (fleet), 0);
}

#define LIMITED_HOSTS 12

/* Replaces the fleet by one in which only some hosts have connections to the
   group.  */
static void
use_limited_fleet (void)
{
  size_t serving = 0;
  fleet_free (fleet);
  fleet = fleet_new_limited (7, LIMITED_HOSTS, 20);
  fleet_run (fleet, SETTLE_MS);
  for (size_t i = 0; i < LIMITED_HOSTS; i++)
    serving += groups_serves (fleet_host (fleet, i)->groups, FLEET_GROUP);
  ck_assert_uint_ge (serving, 2);
  ck_assert_uint_le (serving, LIMITED_HOSTS / 2);
}

static void
run_session (struct fleet_host *host)
{
  struct fleet_caller *a = fleet_caller_open (host, FLEET_DATABASE_SESSION);
  ck_assert_int_eq (run (a, STMT_SET, "lang", "sw"), CODE_OK);
  ck_assert_int_eq (run (a, STMT_PREPARE_READ, "s1", "qa"), CODE_OK);
  ck_assert_int_eq (run (a, STMT_EXECUTE, "s1", "x"), CODE_OK);
  for (int i = 0; i < 5; i++)
    {
      ck_assert_int_eq (run (a, STMT_WRITE, "a 1", NULL), CODE_OK);
      ck_assert_int_eq (run (a, STMT_READ, "a", NULL), CODE_OK);
    }
  ck_assert_int_eq (run (a, STMT_BEGIN, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (a, STMT_EXECUTE, "s1", "y"), CODE_OK);
  ck_assert_int_eq (run (a, STMT_SET, "lang", "en"), CODE_OK);
  ck_assert_int_eq (run (a, STMT_WRITE, "a 1", NULL), CODE_OK);
  ck_assert_int_eq (run (a, STMT_COMMIT, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (a, STMT_BEGIN, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (a, STMT_WRITE, "a 1", NULL), CODE_OK);
  ck_assert_int_eq (run (a, STMT_ROLLBACK, NULL, NULL), CODE_OK);
  fleet_caller_close (a);
}

UNIT_TEST (test_hosts_without_connections_serve_whole_sessions)
{
  use_limited_fleet ();
  for (size_t i = 0; i < LIMITED_HOSTS; i++)
    run_session (fleet_host (fleet, i));
  fleet_run (fleet, 500);
  for (size_t i = 0; i < LIMITED_HOSTS; i++)
    ck_assert_uint_eq (
        forwarded_sessions_count (fleet_host (fleet, i)->forwarded_sessions),
        0);
  for (size_t i = 0; i < FLEET_INSTANCES; i++)
    ck_assert_uint_le (fleet_instance (fleet, i)->connections, 20);
}

UNIT_TEST (test_a_primary_is_replaced_where_only_some_hosts_have_connections)
{
  use_limited_fleet ();
  fleet_instance (fleet, 0)->unreachable = true;
  for (size_t i = 0; i < LIMITED_HOSTS; i++)
    {
      clk_ms gap_ms = write_gap_ms (fleet_host (fleet, i));
      ck_assert_int_le (gap_ms, 1000 + FLEET_PROMOTE_MS);
    }
  ck_assert_uint_eq (fleet_promotions (fleet), 1);
}

/* Returns a host without connections to the group, which forwards its
   statements.  */
static struct fleet_host *
forwarding_host (void)
{
  for (size_t i = 0; i < LIMITED_HOSTS; i++)
    if (!groups_serves (fleet_host (fleet, i)->groups, FLEET_GROUP))
      return fleet_host (fleet, i);
  ck_abort_msg ("every host serves the group");
}

static peer_kind reply_kind;

static void
on_reply (void *arg, enum peer_status status, const peer_message *reply)
{
  (void)arg;
  ck_assert_int_eq (status, PEER_OK);
  reply_kind = reply->body.kind;
}

/* Sends REQUEST from one host to another and returns the kind of the reply.
   The oracle reports it if an instance runs the statement.  */
static peer_kind
forward (const peer_forward *request, const char *workspace)
{
  peer_body body = { .kind = PEER_KIND_FORWARD_AS };
  body.peer_body_u.forward_as.workspace = (char *)workspace;
  body.peer_body_u.forward_as.forward = *request;
  struct peer_address to = { 0 };
  snprintf (to.name, sizeof to.name, "%s", fleet_host (fleet, 1)->name);
  reply_kind = PEER_KIND_FORWARD_AS;
  hosts_call (fleet_host (fleet, 0)->others, &to, &body, 1000, on_reply, NULL);
  fleet_run (fleet, 1000);
  return reply_kind;
}

/* Guards against UNASKED: what another host forwarded was not checked, so that
   one of another version could put any fields on the wire, and a write as a
   read.  */
UNIT_TEST (test_a_forwarded_statement_is_checked_like_one_of_a_caller)
{
  static char *const bad_ids[] = { "", "-", "q 1", "q\n1" };
  static const struct
  {
    enum stmt_kind kind;
    char *text, *name, *rest;
    enum stmt_kind prepared_kind;
    char *shape;
  } bad[] = {
    { STMT_READ, "WRITE a 1", "", "", 0, "" },
    { STMT_READ, "AFTER 1.1 READ a", "", "", 0, "" },
    { STMT_READ, "READ a\nQUERY f0 WRITE a 1", "", "", 0, "" },
    { STMT_READ, "READ a\r", "", "", 0, "" },
    { STMT_READ, "", "", "", 0, "" },
    { STMT_WRITE, "COMMIT", "", "", 0, "" },
    { STMT_COMMIT, "COMMIT x", "", "", 0, "" },
    { STMT_SET, "SET a b", "a", "b", 0, "" },
    { STMT_RESET, "RESET", "", "", 0, "" },
    { STMT_EXECUTE, "EXECUTE s x", "s", "y", STMT_PREPARE_READ, "q" },
    { STMT_EXECUTE, "EXECUTE s x", "t", "x", STMT_PREPARE_READ, "q" },
    { STMT_EXECUTE, "READ x", "s", "x", STMT_PREPARE_READ, "q" },
    { STMT_EXECUTE, "", "s", "x", STMT_PREPARE_READ, "q" },
    { STMT_EXECUTE, "EXECUTE s x", "s", "x", STMT_STEPDOWN, "q" },
    { STMT_EXECUTE, "EXECUTE s x", "s", "x", STMT_PREPARE_READ, "q\nCOMMIT" },
  };
  peer_value value = { .name = "lang", .text = "sw" };
  peer_forward sound = { .number = 1,
                         .database = FLEET_DATABASE_PRIMARY,
                         .group = FLEET_GROUP,
                         .timeout_ms = 900,
                         .values = { 1, &value },
                         .kind = STMT_COMMIT,
                         .id = "f1",
                         .text = "COMMIT",
                         .name = "",
                         .shape = "",
                         .rest = "" };
  ck_assert_int_eq (forward (&sound, "ws-1"), PEER_KIND_FORWARDED);
  ck_assert_int_eq (forward (&sound, ""), PEER_KIND_FORWARDED);
  ck_assert_int_eq (forward (&sound, "ws 1"), PEER_KIND_REFUSED);
  for (size_t i = 0; i < sizeof bad_ids / sizeof bad_ids[0]; i++)
    {
      peer_forward request = sound;
      request.id = bad_ids[i];
      ck_assert_msg (forward (&request, "") == PEER_KIND_REFUSED, "id %zu", i);
    }
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      peer_forward request = sound;
      request.kind = bad[i].kind;
      request.text = bad[i].text;
      request.name = bad[i].name;
      request.rest = bad[i].rest;
      request.prepared_kind = bad[i].prepared_kind;
      request.shape = bad[i].shape;
      ck_assert_msg (forward (&request, "") == PEER_KIND_REFUSED, "case %zu",
                     i);
    }
  value.name = "lang sw";
  ck_assert_int_eq (forward (&sound, ""), PEER_KIND_REFUSED);
  value = (peer_value){ .name = "lang", .text = "sw\nCOMMIT" };
  ck_assert_int_eq (forward (&sound, ""), PEER_KIND_REFUSED);
}

UNIT_TEST (test_a_transaction_is_aborted_if_the_host_that_runs_it_dies)
{
  use_limited_fleet ();
  struct fleet_caller *caller
      = fleet_caller_open (forwarding_host (), FLEET_DATABASE_PRIMARY);
  ck_assert_int_eq (run (caller, STMT_BEGIN, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
  for (size_t i = 0; i < LIMITED_HOSTS; i++)
    if (forwarded_sessions_count (fleet_host (fleet, i)->forwarded_sessions)
        > 0)
      fleet_host_kill (fleet_host (fleet, i));
  ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_ABORTED);
  ck_assert_int_eq (run (caller, STMT_ROLLBACK, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
}

static size_t
count_forwarded_sessions (void)
{
  size_t forwarded_sessions = 0;
  for (size_t i = 0; i < LIMITED_HOSTS; i++)
    if (fleet_host (fleet, i)->running)
      forwarded_sessions += forwarded_sessions_count (
          fleet_host (fleet, i)->forwarded_sessions);
  return forwarded_sessions;
}

UNIT_TEST (test_a_forwarded_statement_is_cancelled_with_its_caller)
{
  use_limited_fleet ();
  struct fleet_caller *caller
      = fleet_caller_open (forwarding_host (), FLEET_DATABASE_BOUNDED);
  for (size_t i = 0; i < FLEET_INSTANCES; i++)
    fleet_instance (fleet, i)->busy_percent = 100;
  fleet_caller_send (caller, STMT_READ, "a", NULL);
  fleet_run (fleet, 10);
  ck_assert_uint_eq (count_forwarded_sessions (), 1);
  fleet_caller_close (caller);
  fleet_run (fleet, 10);
  ck_assert_uint_eq (count_forwarded_sessions (), 0);
}

UNIT_TEST (test_a_transaction_is_ended_if_its_entry_host_dies)
{
  use_limited_fleet ();
  struct fleet_host *host = forwarding_host ();
  struct fleet_caller *caller
      = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  ck_assert_int_eq (run (caller, STMT_BEGIN, NULL, NULL), CODE_OK);
  ck_assert_int_eq (run (caller, STMT_WRITE, "a 1", NULL), CODE_OK);
  fleet_host_kill (host);
  fleet_run (fleet, 3000 + FORWARDED_IDLE_MARGIN_MS + 100);
  ck_assert_uint_eq (count_forwarded_sessions (), 0);
}

/* A burst of more statements than the slots can run in time.  */
UNIT_PLAIN (test_statements_that_would_exceed_their_target_are_refused)
{
  struct admission queue = { 0 };
  size_t waiting = 1;
  ck_assert (admission_enter (&queue, 1000, 500));
  for (clk_ms now_ms = 1000; now_ms < 3000; now_ms += 20)
    admission_note_ran (&queue, now_ms);
  /* At a rate of 50 per second, 25 are served within 500 ms.  */
  while (waiting < 100 && admission_enter (&queue, 3000, 500))
    waiting++;
  ck_assert_uint_ge (waiting, 24);
  ck_assert_uint_le (waiting, 28);
  ck_assert (admission_enter (&queue, 3000, 1000));
  admission_leave (&queue);
  for (size_t i = 0; i < 10; i++)
    admission_leave (&queue);
  ck_assert (admission_enter (&queue, 3000, 500));
}

UNIT_PLAIN (test_the_default_queue_applies_before_a_statement_ran)
{
  struct admission queue = { 0 };
  for (size_t i = 0; i < ADMISSION_QUEUE_DEFAULT; i++)
    ck_assert (admission_enter (&queue, 1000, 500));
  ck_assert (!admission_enter (&queue, 1000, 500));
}

UNIT_TEST (test_a_burst_on_the_primary_is_refused_at_once_or_served_in_time)
{
  struct fleet_caller *callers[200];
  size_t served = 0, refused = 0, late = 0;
  struct fleet_host *host = fleet_host (fleet, 0);
  struct fleet_caller *warm = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  for (int i = 0; i < 100; i++)
    ck_assert_int_eq (run (warm, STMT_READ, "a", NULL), CODE_OK);
  fleet_instance (fleet, 0)->busy_percent = 90;
  for (int i = 0; i < 200; i++)
    {
      callers[i] = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
      fleet_caller_send (callers[i], STMT_READ, "a", NULL);
    }
  fleet_run (fleet, 1100);
  for (int i = 0; i < 200; i++)
    {
      ck_assert (!fleet_caller_waits (callers[i]));
      served += fleet_caller_code (callers[i]) == CODE_OK;
      refused += fleet_caller_code (callers[i]) == CODE_BUSY;
      late += fleet_caller_took_ms (callers[i]) >= 900;
    }
  /* At first the service rate of a primary that refuses most statements is
     unknown, and the default queue applies.  */
  ck_assert_uint_le (late, ADMISSION_QUEUE_DEFAULT);
  ck_assert_uint_gt (refused, 100);
  ck_assert_uint_gt (served, 0);
}

/* Replaces the fleet by one whose failure domains are large enough for
   relays.  */
static void
use_large_fleet (void)
{
  fleet_free (fleet);
  fleet = fleet_new (7, FLEET_HOSTS);
  fleet_run (fleet, SETTLE_MS);
}

static size_t
count_hosts_known (size_t index)
{
  size_t count;
  hosts_list (fleet_host (fleet, index)->others, &count);
  return count + 1;
}

static bool
is_relay (size_t index)
{
  const struct fleet_host *host = fleet_host (fleet, index);
  return host->running
         && relay_serves ((struct relay *)kernel_find (host->kernel, "relay"));
}

UNIT_TEST (test_hosts_of_a_large_domain_follow_its_relays)
{
  size_t relays = 0;
  use_large_fleet ();
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    relays += is_relay (i);
  ck_assert_uint_eq (relays, (uintmax_t)RELAY_HOSTS * FLEET_ZONES);
  uint64_t before = fleet_store_watches (fleet);
  for (size_t i = 0; i < 10; i++)
    {
      struct fleet_host *host = fleet_host (fleet, 40);
      fleet_host_kill (host);
      fleet_run (fleet, 1000);
      fleet_host_start (host);
      fleet_run (fleet, 1000);
    }
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    ck_assert_uint_eq (count_hosts_known (i), FLEET_HOSTS);
  /* Without relays, each change could cost each host a watch.  */
  ck_assert_uint_le (fleet_store_watches (fleet) - before,
                     10 * FLEET_HOSTS / 2);
}

UNIT_TEST (test_hosts_receive_changes_without_their_relays)
{
  use_large_fleet ();
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    if (is_relay (i) && i % 2 == 0)
      fleet_host (fleet, i)->peers_cut = true;
    else if (is_relay (i))
      fleet_host (fleet, i)->store_cut = true;
  fleet_host_kill (fleet_host (fleet, 41));
  fleet_run (fleet, ROSTER_HOST_LEASE_MS + 3000);
  for (size_t i = 0; i < FLEET_HOSTS - 1; i++)
    if (!is_relay (i))
      ck_assert_uint_lt (count_hosts_known (i), FLEET_HOSTS);
}

/* Guards against rate limits that nobody grants: with a third of the hosts
   gone, the others took their lists for outdated until these were removed.  */
UNIT_TEST (test_hosts_trust_their_list_while_many_removals_wait)
{
  use_large_fleet ();
  /* The holder of the duty stays.  */
  uint64_t token;
  size_t killed = 0;
  for (size_t i = 0; i < FLEET_HOSTS && killed < FLEET_HOSTS / 3; i++)
    if (!roster_holds_duty (fleet_host (fleet, i)->roster, &token)
        && !is_relay (i))
      {
        fleet_host_kill (fleet_host (fleet, i));
        killed++;
      }
  for (int span_ms = 0; span_ms < ROSTER_HOST_LEASE_MS + 4000; span_ms += 500)
    {
      fleet_run (fleet, 500);
      for (size_t i = 0; i < FLEET_HOSTS; i++)
        if (fleet_host (fleet, i)->running)
          ck_assert_int_le (
              fleet_now (fleet)
                  - roster_hosts_confirmed_ms (fleet_host (fleet, i)->roster),
              3000);
    }
}

/* The pending watch of a relay is not answered once the store is unreachable:
   what the other hosts receive must not depend on it.  */
UNIT_TEST (test_hosts_stop_using_a_relay_that_cannot_reach_the_store)
{
  use_large_fleet ();
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    fleet_host (fleet, i)->store_cut = is_relay (i);
  fleet_run (fleet, 1500);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    {
      const struct fleet_host *host = fleet_host (fleet, i);
      const struct relay *relay
          = (const struct relay *)kernel_find (host->kernel, "relay");
      uint64_t token;
      /* The holder of the duty always watches the store directly.  */
      if (!is_relay (i) && !roster_holds_duty (host->roster, &token))
        ck_assert_ptr_null (relay_source (relay));
    }
}

UNIT_TEST (test_hosts_receive_all_contents_after_a_compaction)
{
  use_large_fleet ();
  fleet_store_compact (fleet);
  fleet_run (fleet, 3000);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    ck_assert_uint_eq (count_hosts_known (i), FLEET_HOSTS);
  fleet_instance (fleet, 0)->unreachable = true;
  ck_assert_int_le (write_gap_ms (fleet_host (fleet, 1)),
                    1000 + FLEET_PROMOTE_MS);
}

/* Changes the configuration and waits until it must be in force on every host
   that is in touch; the oracle checks that.  */
static void
change_config_in_touch (void)
{
  fleet_run (fleet, FLEET_TOUCH_MS + 1000);
  fleet_change_config (fleet);
  fleet_run (fleet, FLEET_APPLY_MS + 500);
}

/* Guards against CONFIG: hosts that lost their relays in a silence of the
   store waited 31 s for a watch of their own that was never answered.  */
UNIT_TEST (test_hosts_whose_relays_failed_read_changes_after_a_silent_store)
{
  use_large_fleet ();
  for (int i = 0; i < 4; i++)
    {
      fleet_store_lose_calls (fleet, 100);
      fleet_run (fleet, 900 + i * 200);
      fleet_store_lose_calls (fleet, 0);
      change_config_in_touch ();
    }
}

/* Guards against CONFIG: no host told the others of a change if all watches
   were lost.  */
UNIT_TEST (test_changes_are_read_though_no_watch_is_answered)
{
  fleet_store_drop_watches (fleet);
  change_config_in_touch ();
  use_large_fleet ();
  fleet_store_drop_watches (fleet);
  change_config_in_touch ();
}

/* Guards against CONFIG: a relay that other hosts were ahead of replaced its
   watch while the change that it lacked was being received, and so did not
   get it.  */
UNIT_TEST (test_a_change_that_is_being_received_is_not_requested_again)
{
  use_large_fleet ();
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    if (i % FLEET_ZONES != 0)
      fleet_host (fleet, i)->config_transfer_ms = 1500;
  for (int i = 0; i < 3; i++)
    change_config_in_touch ();
}

/* Guards against CONFIG: a host that became a relay in the middle of a listing
   kept the rest of it only, and never told its followers of a change before
   that.  */
UNIT_TEST (test_hosts_read_a_change_that_is_made_while_all_hosts_start)
{
  bool relays[FLEET_HOSTS];
  use_large_fleet ();
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    relays[i] = is_relay (i);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    fleet_host_kill (fleet_host (fleet, i));
  fleet_run (fleet, 200);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    if (!relays[i])
      fleet_host_start (fleet_host (fleet, i));
  fleet_run (fleet, 200);
  fleet_change_config (fleet);
  fleet_run (fleet, 200);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    if (relays[i])
      fleet_host_start (fleet_host (fleet, i));
  fleet_run (fleet, FLEET_TOUCH_MS + 4000);
}

/* Guards against CONFIG: a relay whose watch was lost, but not its other
   calls, told its followers that it reached the store.  */
UNIT_TEST (test_hosts_leave_a_relay_whose_contents_are_not_confirmed)
{
  use_large_fleet ();
  /* The contents of the relays are confirmed just before the change.  */
  raise_revision (1);
  fleet_run (fleet, 5);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    fleet_host (fleet, i)->watches_lost = is_relay (i);
  fleet_change_config (fleet);
  fleet_run (fleet, FLEET_APPLY_MS + 500);
}

/* Kills the relays of one failure domain and waits until the first of them has
   lost its registration, so that another host becomes a relay.  */
static void
replace_relays (void)
{
  struct fleet_host *killed[RELAY_HOSTS];
  size_t count = 0;
  for (size_t i = 0; i < FLEET_HOSTS && count < RELAY_HOSTS; i++)
    if (i % FLEET_ZONES == 0 && is_relay (i))
      killed[count++] = fleet_host (fleet, i);
  for (size_t i = 0; i < count; i++)
    fleet_host_kill (killed[i]);
  for (;;)
    for (size_t i = 0; i < count; i++)
      {
        char *key = mem_printf (HOST_KEY_PREFIX "%s", killed[i]->name);
        bool found = fleet_store_find (fleet, key) != 0;
        free (key);
        if (!found)
          return;
        fleet_run (fleet, 1);
      }
}

static void
count_instance (void *arg, const struct instance_entry *entry)
{
  (void)entry;
  (*(size_t *)arg)++;
}

/* Guards against DRAIN: hosts were not told of a key that had been removed
   before their new relay listed the store.  */
UNIT_TEST (
    test_hosts_learn_what_was_removed_before_their_relay_listed_the_store)
{
  use_large_fleet ();
  replace_relays ();
  fleet_instance (fleet, 2)->unregistered = true;
  fleet_publish (fleet);
  fleet_run (fleet, 8000);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    {
      size_t instances = 0;
      if (!fleet_host (fleet, i)->running)
        continue;
      catalog_each_instance (fleet_host (fleet, i)->catalog, count_instance,
                             &instances);
      ck_assert_msg (instances == FLEET_INSTANCES - 1,
                     "host %zu knows %zu instances", i, instances);
    }
}

/* Guards against DRAIN: the same where hosts follow relays.  */
UNIT_TEST (test_hosts_behind_relays_follow_a_restored_store)
{
  use_large_fleet ();
  restore_as_instance_leaves (1);
  read_through_all (FLEET_DRAIN_MS + 2000);
}

/* Guards against CONFIG: a change in a restored store, where hosts follow
   relays.  */
UNIT_TEST (test_hosts_behind_relays_read_a_change_of_a_restored_store)
{
  use_large_fleet ();
  restore_as_configuration_changes ();
  fleet_run (fleet, FLEET_TOUCH_MS + 1000);
}

/* Guards against CONFIG and DRAIN while hosts are replaced by ones of this
   version: to a relay of an earlier one a host that asks with the era of the
   store has all changes.  */
UNIT_TEST (test_hosts_do_not_follow_a_relay_of_an_earlier_era)
{
  use_large_fleet ();
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    fleet_host (fleet, i)->ignores_era = is_relay (i);
  fleet_change_config (fleet);
  fleet_run (fleet, FLEET_APPLY_MS + 2000);
}

UNIT_PLAIN (test_a_group_has_as_many_hosts_as_its_connections_allow)
{
  ck_assert_uint_eq (placement_width (72, 17, false), 17);
  ck_assert_uint_eq (placement_width (61, 13, false), 13);
  ck_assert_uint_eq (placement_width (76, 95, false), 14);
  ck_assert_uint_eq (placement_width (176, 124, false), 34);
  ck_assert_uint_eq (placement_width (46, 78, false), 8);
  ck_assert_uint_eq (placement_width (46, 300, false), 8);
  ck_assert_uint_eq (placement_width (1, 4100, false), 1);
  ck_assert_uint_eq (placement_width (30, 6, false), 6);
  ck_assert_uint_eq (placement_width (112, 109, true), 13);
  ck_assert_uint_eq (placement_width (72, 17, true), 8);
}

UNIT_MAIN ("forwarding", .setup = set_up, .teardown = tear_down,
           .timeout_s = 60)
