/* Age of the contents that hosts have of the store, the start of a fleet, and
   the calls to the store.  The oracle of the fleet checks at each reply that
   no host claims changes that it does not have.  */

#include "proxy/mirror_age.h"
#include "tests/fleet/fleet_unit.h"

/* Limit of the age with the default of --revoke-ms, 5,000.  */
#define AGE_MS 3000
#define STRICT_APPLY_MS 5000
#define KEY_BYTES 64

static clk_ms
age_ms (size_t index)
{
  return fleet_now (fleet)
         - mirror_confirmed_ms (fleet_host (fleet, index)->mirror);
}

static bool
is_relay (size_t index)
{
  const struct fleet_host *host = fleet_host (fleet, index);
  return relay_serves ((struct relay *)kernel_find (host->kernel, "relay"));
}

/* Replaces the fleet by one of FLEET_HOSTS hosts in failure domains with
   relays.  */
static void
use_large_fleet (void)
{
  fleet_free (fleet);
  fleet = fleet_new_with (
      7, FLEET_HOSTS,
      &(struct fleet_options){ .connections = FLEET_CONNECTIONS,
                               .zones = FLEET_ZONES });
  fleet_run (fleet, SETTLE_MS);
}

/* Replaces the fleet by one of HOSTS hosts in ZONES failure domains that keep
   the age of their contents below AGE_MS.  */
static void
use_strict_fleet (size_t hosts, size_t zones)
{
  fleet_free (fleet);
  fleet = fleet_new_with (
      7, hosts,
      &(struct fleet_options){ .connections = FLEET_CONNECTIONS,
                               .apply_ms = STRICT_APPLY_MS,
                               .age_ms = AGE_MS,
                               .zones = zones });
  fleet_run (fleet, SETTLE_MS);
}

/* Changes the configuration at random times for SPAN_MS.  Returns the highest
   age of any host meanwhile.  */
static clk_ms
change_config_for (clk_ms span_ms)
{
  struct rng rng;
  clk_ms until_ms = fleet_now (fleet) + span_ms, highest_ms = 0;
  rng_init (&rng, 11);
  while (fleet_now (fleet) < until_ms)
    {
      if (rng_below (&rng, 150) == 0)
        fleet_change_config (fleet);
      fleet_run (fleet, 10);
      for (size_t i = 0; i < fleet->host_count; i++)
        if (fleet_host (fleet, i)->running && age_ms (i) > highest_ms)
          highest_ms = age_ms (i);
    }
  return highest_ms;
}

/* Guards against an age counted from the reading of an answer.  */
UNIT_PLAIN (test_contents_are_as_old_as_the_request_for_them)
{
  struct mirror_age age;
  mirror_age_init (&age);
  mirror_age_confirm (&age, 1000, 0);
  ck_assert_int_eq (age.confirmed_ms, 1000);
  mirror_age_confirm (&age, 1100, 500);
  ck_assert_int_eq (age.confirmed_ms, 1600);
  /* A later reply may tell of an earlier time.  */
  mirror_age_confirm (&age, 1500, 0);
  ck_assert_int_eq (age.confirmed_ms, 1600);
  /* Held for 600 ms of which the contents were 200 ms old.  */
  mirror_age_confirm_relayed (&age, 2000, 9000, 600, 200);
  ck_assert_int_eq (age.confirmed_ms, 2400);
  /* No call is held for longer than it took.  */
  mirror_age_confirm_relayed (&age, 3000, 3100, 600, 0);
  ck_assert_int_eq (age.confirmed_ms, 3100);
  mirror_age_confirm_relayed (&age, 4000, 4100, 0, -1);
  ck_assert_int_eq (age.confirmed_ms, 3100);
}

/* Guards against a copy that lacks a confirmed change and counts as current
   before the change is written again.  */
UNIT_PLAIN (test_a_restored_store_confirms_nothing_at_first)
{
  struct mirror_age age;
  mirror_age_init (&age);
  mirror_age_confirm (&age, 1000, 0);
  mirror_age_restored (&age, 2000, 2500);
  ck_assert (!age.in_era);
  mirror_age_confirm (&age, 4499, 0);
  ck_assert_int_eq (age.confirmed_ms, 1000);
  ck_assert (!age.in_era);
  mirror_age_confirm (&age, 4000, 600);
  ck_assert_int_eq (age.confirmed_ms, 4600);
  ck_assert (age.in_era);
}

/* A request with a withdrawn key must not run on a host that goes on after it
   stood still, though an answer of that time is in its socket.  */
UNIT_TEST (test_a_host_that_stood_still_does_not_count_that_time)
{
  for (clk_ms offset_ms = 0; offset_ms < 1500; offset_ms += 100)
    {
      struct fleet_host *host = fleet_host (fleet, 3);
      clk_ms frozen_ms = fleet_now (fleet);
      fleet_host_freeze (host, 4000);
      fleet_run (fleet, 3000);
      fleet_change_config (fleet);
      fleet_run (fleet, 1001);
      /* The answer was given before the change.  */
      ck_assert_int_ge (age_ms (3), 4001 - FLEET_APPLY_MS / 2);
      ck_assert_int_lt (mirror_confirmed_ms (host->mirror), frozen_ms + 3000);
      fleet_run (fleet, 2000 + offset_ms);
      ck_assert_int_lt (age_ms (3), FLEET_APPLY_MS);
    }
}

UNIT_TEST (test_the_age_of_a_host_that_is_cut_off_grows)
{
  fleet_host (fleet, 2)->store_cut = true;
  fleet_run (fleet, 8000);
  ck_assert_int_ge (age_ms (2), 8000);
  fleet_host (fleet, 2)->store_cut = false;
  fleet_run (fleet, 4000);
  ck_assert_int_lt (age_ms (2), FLEET_APPLY_MS);
}

/* Guards against an age that is made younger by a relay.  */
UNIT_TEST (test_hosts_behind_a_relay_that_is_cut_off_know_their_age)
{
  bool relays[FLEET_HOSTS];
  use_strict_fleet (FLEET_HOSTS, FLEET_ZONES);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    fleet_host (fleet, i)->store_cut = relays[i] = is_relay (i);
  change_config_for (5000);
  /* The others read the store themselves.  */
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    if (relays[i])
      ck_assert_int_ge (age_ms (i), 5000);
    else
      ck_assert_int_lt (age_ms (i), AGE_MS);
}

/* The same where the relay's watch gets no answer, but its other calls do.  */
UNIT_TEST (test_hosts_behind_a_relay_without_a_watch_know_their_age)
{
  use_strict_fleet (FLEET_HOSTS, FLEET_ZONES);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    fleet_host (fleet, i)->watches_lost = is_relay (i);
  change_config_for (6000);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    if (!is_relay (i))
      ck_assert_int_lt (age_ms (i), AGE_MS + 500);
}

/* Relays and followers stand still in turn.  */
UNIT_TEST (test_hosts_know_their_age_while_relays_stand_still)
{
  use_strict_fleet (FLEET_HOSTS, FLEET_ZONES);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    {
      if (is_relay (i) || i % 3 == 0)
        fleet_host_freeze (fleet_host (fleet, i), 700 + (clk_ms)(i * 70));
      change_config_for (200);
    }
  change_config_for (4000);
}

/* Requests with keys are refused beyond the limit; hosts must not come near it
   by themselves.  */
UNIT_TEST (test_contents_stay_young_in_undisturbed_operation)
{
  use_strict_fleet (FLEET_HOSTS, FLEET_ZONES);
  ck_assert_int_lt (change_config_for (30000), AGE_MS);
  use_strict_fleet (FLEET_DEFAULT_HOSTS, FLEET_ZONES);
  ck_assert_int_lt (change_config_for (30000), AGE_MS);
}

/* While hosts are replaced by ones of this version, relays may not know dated
   calls: their followers read changes from them, and confirm their contents at
   the store.  */
UNIT_TEST (
    test_hosts_confirm_their_contents_behind_relays_of_an_earlier_version)
{
  use_strict_fleet (FLEET_HOSTS, FLEET_ZONES);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    fleet_host (fleet, i)->ignores_era = is_relay (i);
  ck_assert_int_lt (change_config_for (15000), AGE_MS + 1000);
}

UNIT_TEST (test_hosts_know_their_age_while_the_store_is_restored)
{
  use_strict_fleet (FLEET_HOSTS, FLEET_ZONES);
  for (int i = 0; i < 3; i++)
    {
      fleet_store_copy (fleet);
      fleet_host (fleet, 5)->store_cut = true;
      fleet_host (fleet, 5)->peers_cut = true;
      change_config_for (2500);
      fleet_change_config (fleet);
      fleet_run (fleet, 100);
      fleet_host_kill (fleet_host (fleet, 4));
      fleet_store_restore (fleet);
      fleet_host (fleet, 5)->store_cut = false;
      fleet_host (fleet, 5)->peers_cut = false;
      fleet_host_start (fleet_host (fleet, 4));
      fleet_run (fleet, 6000);
    }
  ck_assert_int_lt (change_config_for (2000), AGE_MS);
}

static size_t
count_loaded (void)
{
  size_t loaded = 0;
  for (size_t i = 0; i < fleet->host_count; i++)
    loaded += mirror_complete (fleet_host (fleet, i)->mirror)
              && catalog_config (fleet_host (fleet, i)->catalog)->version > 0;
  return loaded;
}

/* Kills all hosts, and starts them at once OFF_MS later.  */
static void
restart_all (clk_ms off_ms)
{
  for (size_t i = 0; i < fleet->host_count; i++)
    fleet_host_kill (fleet_host (fleet, i));
  fleet_run (fleet, off_ms);
  for (size_t i = 0; i < fleet->host_count; i++)
    fleet_host_start (fleet_host (fleet, i));
}

static uint64_t
calls_for (const char *purpose)
{
  size_t count;
  const struct fleet_purpose *purposes = fleet_store_purposes (fleet, &count);
  for (size_t i = 0; i < count; i++)
    if (strcmp (purposes[i].name, purpose) == 0)
      return purposes[i].calls;
  return 0;
}

static uint64_t
list_calls (void)
{
  return calls_for ("list_first") + calls_for ("list")
         + calls_for ("list_next");
}

/* Returns the number of pages that the first relay of a failure domain lists
   when it starts.  */
static uint64_t
listing_pages (void)
{
  size_t first = 0;
  while (!is_relay (first)
         || mirror_follows_relay (fleet_host (fleet, first)->mirror))
    first++;
  uint64_t before = list_calls ();
  fleet_host_kill (fleet_host (fleet, first));
  fleet_host_start (fleet_host (fleet, first));
  fleet_run (fleet, 200);
  return list_calls () - before;
}

/* Starts all hosts while the store is silent for SILENT_MS.  */
static void
start_in_silence (clk_ms silent_ms)
{
  use_strict_fleet (FLEET_HOSTS, FLEET_ZONES);
  uint64_t before = list_calls ();
  restart_all (ROSTER_HOST_LEASE_MS + 1000);
  fleet_store_lose_calls (fleet, 100);
  fleet_run (fleet, silent_ms);
  ck_assert_uint_eq (count_loaded (), 0);
  ck_assert_uint_le (list_calls () - before, (uintmax_t)7 * FLEET_HOSTS);
  fleet_store_lose_calls (fleet, 0);
  fleet_run (fleet, 500);
  ck_assert_uint_ge (10 * count_loaded (), (uintmax_t)9 * FLEET_HOSTS);
}

/* Guards against hosts that notice up to 1,900 ms late that the store answers,
   while their callers wait.  */
UNIT_TEST (test_hosts_have_the_catalog_soon_after_a_silent_store_answers)
{
  start_in_silence (1500);
}

/* Guards against a registration that waits for a call that the silence lost,
   and then a second for the next one.  The second calls for the leases are
   sent 1,700 ms after the start.  */
UNIT_TEST (test_hosts_are_registered_soon_after_a_silent_store_answers)
{
  start_in_silence (1900);
  fleet_run (fleet, 200);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    {
      char key[KEY_BYTES];
      snprintf (key, sizeof key, "savoryway/hosts/host-%zu", i);
      ck_assert_uint_gt (fleet_store_find (fleet, key), 0);
    }
}

/* A long silence costs few calls.  */
UNIT_TEST (test_the_first_listing_backs_off)
{
  use_strict_fleet (FLEET_HOSTS, FLEET_ZONES);
  fleet_store_lose_calls (fleet, 100);
  restart_all (500);
  uint64_t before = list_calls ();
  fleet_run (fleet, 9000);
  ck_assert_uint_le (list_calls () - before, (uintmax_t)14 * FLEET_HOSTS);
  fleet_store_lose_calls (fleet, 0);
  fleet_run (fleet, 1500);
  ck_assert_uint_ge (10 * count_loaded (), (uintmax_t)9 * FLEET_HOSTS);
}

/* Guards against calls that are given up before a slow store answers them.  */
UNIT_TEST (test_a_slow_store_is_not_flooded_by_hosts_that_start)
{
  use_strict_fleet (FLEET_HOSTS, FLEET_ZONES);
  uint64_t pages = listing_pages ();
  fleet_store_slow (fleet, 240);
  restart_all (500);
  uint64_t before = list_calls ();
  fleet_run (fleet, 250 * (clk_ms)pages);
  ck_assert_uint_eq (count_loaded (), FLEET_HOSTS);
  ck_assert_uint_le (list_calls () - before, pages * FLEET_HOSTS);
  fleet_store_slow (fleet, 0);
}

/* Restarts the hosts that are not relays, or all hosts if RELAYS.  */
static void
restart (bool relays)
{
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    if (relays || !is_relay (i))
      fleet_host_kill (fleet_host (fleet, i));
  fleet_run (fleet, 500);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    if (!fleet_host (fleet, i)->running)
      fleet_host_start (fleet_host (fleet, i));
}

/* Guards against links that are full of the listings of hosts that start: a
   confirmed change did not get through.  */
UNIT_TEST (test_hosts_that_start_receive_the_contents_from_relays)
{
  use_strict_fleet (FLEET_HOSTS, FLEET_ZONES);
  uint64_t before = calls_for ("list");
  restart (false);
  fleet_run (fleet, 200);
  ck_assert_uint_eq (count_loaded (), FLEET_HOSTS);
  ck_assert_uint_eq (calls_for ("list"), before);
}

/* The same if their relays start too, and take long to receive a large
   configuration.  */
UNIT_TEST (test_hosts_wait_for_relays_that_start_too)
{
  use_strict_fleet (FLEET_HOSTS, FLEET_ZONES);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    fleet_host (fleet, i)->config_transfer_ms = 1500;
  uint64_t before = calls_for ("list");
  restart (true);
  fleet_run (fleet, 1800);
  ck_assert_uint_eq (count_loaded (), FLEET_HOSTS);
  ck_assert_uint_eq (calls_for ("list") - before, FLEET_ZONES);
}

/* A host that starts lists the store if its relays are dead, silent, or can't
   reach the store themselves.  */
UNIT_TEST (test_hosts_that_start_list_the_store_without_a_relay)
{
  size_t other = 0, first = FLEET_HOSTS;
  use_strict_fleet (FLEET_HOSTS, FLEET_ZONES);
  while (is_relay (other))
    other++;
  for (size_t i = other % FLEET_ZONES; i < FLEET_HOSTS; i += FLEET_ZONES)
    {
      if (!is_relay (i))
        continue;
      fleet_host (fleet, i)->store_cut = true;
      first = first == FLEET_HOSTS ? i : first;
    }
  fleet_run (fleet, 5000);
  for (int i = 0; i < 3; i++)
    {
      struct fleet_host *host = fleet_host (fleet, other);
      if (i == 1)
        fleet_host_kill (fleet_host (fleet, first));
      if (i == 2)
        fleet_host (fleet, first)->peers_cut = true;
      fleet_host_kill (host);
      fleet_host_start (host);
      fleet_run (fleet, i == 2 ? 1200 : 300);
      ck_assert (mirror_complete (host->mirror));
      ck_assert (mirror_current (host->mirror));
    }
}

static size_t
count_watching (void)
{
  size_t watching = 0;
  for (size_t i = 0; i < fleet->host_count; i++)
    watching += !mirror_follows_relay (fleet_host (fleet, i)->mirror);
  return watching;
}

/* Only the first relay of a failure domain, and the holder of the duty, watch
   the store; a second relay takes over within a second.  */
UNIT_TEST (test_one_relay_of_a_failure_domain_watches_the_store)
{
  use_strict_fleet (FLEET_HOSTS, FLEET_ZONES);
  fleet_run (fleet, 5000);
  ck_assert_uint_le (count_watching (), FLEET_ZONES + 1);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    if (is_relay (i) && !mirror_follows_relay (fleet_host (fleet, i)->mirror))
      fleet_host_freeze (fleet_host (fleet, i), 5000);
  fleet_run (fleet, RELAY_WAIT_MS + MIRROR_FOLLOW_MARGIN_MS + 10);
  fleet_change_config (fleet);
  fleet_run (fleet, 50);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    if (!fleet_host_frozen (fleet_host (fleet, i)))
      ck_assert_uint_eq (
          catalog_config (fleet_host (fleet, i)->catalog)->version,
          fleet->config_version);
}

/* Guards against the loss of all followers of a region at once: the renewals
   of their relays' leases got no answer in time while the relays received a
   change.  */
UNIT_TEST (test_relays_that_receive_a_change_keep_their_followers)
{
  use_large_fleet ();
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    {
      fleet_host (fleet, i)->renewals_lost = is_relay (i);
      fleet_host (fleet, i)->config_transfer_ms = 600;
    }
  fleet_run (fleet, 500);
  fleet_change_config (fleet);
  for (clk_ms span_ms = 500; span_ms < 3000; span_ms += 50)
    {
      if (span_ms == 1400)
        for (size_t i = 0; i < FLEET_HOSTS; i++)
          fleet_host (fleet, i)->renewals_lost = false;
      ck_assert_uint_le (count_watching (), FLEET_ZONES + 1);
      fleet_run (fleet, 50);
    }
}

/* Guards against the loss of both relays at once: after a change the second
   one did not count as current for a second and a half.  */
UNIT_TEST (test_relays_stay_current_while_there_are_changes)
{
  use_large_fleet ();
  for (clk_ms span_ms = 50; span_ms < 6000; span_ms += 50)
    {
      fleet_change_config (fleet);
      for (clk_ms at_ms = 0; at_ms < span_ms; at_ms += 50)
        {
          fleet_run (fleet, 50);
          for (size_t i = 0; i < FLEET_HOSTS; i++)
            if (is_relay (i))
              ck_assert (mirror_current (fleet_host (fleet, i)->mirror));
        }
    }
}

/* Guards against followers that receive the next change from the store, each
   for itself, though their relays reach it again.  */
UNIT_TEST (test_hosts_return_soon_to_relays_that_reach_the_store_again)
{
  use_large_fleet ();
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    fleet_host (fleet, i)->store_cut = is_relay (i);
  fleet_run (fleet, 1500);
  ck_assert_uint_gt (count_watching (), FLEET_HOSTS / 2);
  for (size_t i = 0; i < FLEET_HOSTS; i++)
    fleet_host (fleet, i)->store_cut = false;
  fleet_run (fleet, 2000);
  ck_assert_uint_le (count_watching (), FLEET_ZONES + 1);
}

/* Guards against a store that all hosts ask at once: each claimed the duty,
   and each relay listed the store twice.  */
UNIT_TEST (test_a_fleet_that_starts_makes_few_calls)
{
  fleet_free (fleet);
  fleet = fleet_new_with (
      7, FLEET_HOSTS,
      &(struct fleet_options){ .connections = FLEET_CONNECTIONS,
                               .unfenced = true });
  fleet_run (fleet, 3000);
  ck_assert_uint_eq (calls_for ("list_first"), 2UL * FLEET_HOSTS);
  ck_assert_uint_eq (calls_for ("list"), FLEET_HOSTS);
  ck_assert_uint_eq (calls_for ("registration"), FLEET_HOSTS);
  ck_assert_uint_le (calls_for ("duty") + calls_for ("duty_lease"),
                     FLEET_HOSTS / 2);
  ck_assert_uint_le (calls_for ("watch"), (uintmax_t)2 * FLEET_HOSTS);
}

UNIT_MAIN ("mirror", .setup = set_up, .teardown = tear_down, .timeout_s = 60)
