#include "core/members.h"
#include "kernel/kernel.h"
#include "kernel/mem.h"
#include "unit.h"

#define HOSTS 60
#define KEYS 600

static struct clk_virtual clk;
static struct rng rng;
static struct log *quiet;
static struct kernel *kernel;
static struct members *members;
static struct platform_host hosts[HOSTS];

/* Spreads the hosts over three domains; this host is the first.  */
static void
setup (void)
{
  clk_virtual_init (&clk, 1000);
  rng_init (&rng, 1);
  quiet = log_new (&clk.base, LOG_EMERG, 0, log_to_stderr, NULL);
  kernel = kernel_new (&clk.base, &rng, quiet);
  for (int i = 0; i < HOSTS; i++)
    {
      memset (&hosts[i], 0, sizeof hosts[i]);
      snprintf (hosts[i].name, NAME_BYTES, "host-%03d", i);
      snprintf (hosts[i].address, ADDRESS_BYTES, "10.0.0.%d", i);
      snprintf (hosts[i].domain, NAME_BYTES, "domain-%d", i % 3);
      hosts[i].port = 1;
      hosts[i].incarnation = 100 + (uint64_t)i;
    }
  struct member self = { .address = { .name = "host-000",
                                      .address = "10.0.0.0",
                                      .port = 1,
                                      .incarnation = 100 },
                         .domain = "domain-0" };
  members = members_new (&self);
  kernel_register (kernel, members_module (members));
  kernel_start (kernel);
  members_set_list (members, 5, hosts, HOSTS);
}

static void
teardown (void)
{
  kernel_free (kernel);
  log_free (quiet);
}

static void
advance (clk_ms span_ms)
{
  clk.now_ms += span_ms;
  kernel_run_due (kernel);
}

static const struct member *
first_for (const char *key)
{
  const struct member *out[1];
  ck_assert_uint_eq (members_place (members, key, NULL, out, 1), 1);
  return out[0];
}

UNIT_TEST (test_only_hosts_of_the_latest_list_are_members)
{
  ck_assert_uint_eq (members_count (members), HOSTS);
  members_set_list (members, 6, hosts, 10);
  ck_assert_uint_eq (members_count (members), 10);
  ck_assert_ptr_null (members_find (members, "host-020"));
  members_set_list (members, 4, hosts, HOSTS);
  ck_assert_uint_eq (members_index (members), 6);
  ck_assert_uint_eq (members_count (members), 10);
  members_set_list (members, 7, hosts + 1, 5);
  ck_assert_ptr_nonnull (members_find (members, "host-000"));
}

UNIT_TEST (test_removing_a_host_moves_only_its_own_work)
{
  char before[KEYS][NAME_BYTES];
  char key[32];
  int moved = 0, had = 0;
  for (int i = 0; i < KEYS; i++)
    {
      snprintf (key, sizeof key, "key-%d", i);
      memcpy (before[i], first_for (key)->address.name, NAME_BYTES);
    }
  members_set_list (members, 6, hosts, HOSTS - 1);
  for (int i = 0; i < KEYS; i++)
    {
      snprintf (key, sizeof key, "key-%d", i);
      bool was_removed = strcmp (before[i], hosts[HOSTS - 1].name) == 0;
      had += was_removed;
      moved += strcmp (before[i], first_for (key)->address.name) != 0;
    }
  ck_assert_int_eq (moved, had);
  ck_assert_int_gt (had, 0);
  ck_assert_int_lt (had, 4 * KEYS / HOSTS);
}

UNIT_TEST (test_placement_stays_in_the_domain_or_spreads_over_domains)
{
  const struct member *out[HOSTS];
  size_t found = members_place (members, "k", "domain-1", out, HOSTS);
  ck_assert_uint_eq (found, HOSTS / 3);
  for (size_t i = 0; i < found; i++)
    ck_assert_str_eq (out[i]->domain, "domain-1");
  ck_assert_uint_eq (members_place (members, "k", "nowhere", out, HOSTS), 0);

  ck_assert_uint_eq (members_place_spread (members, "k", out, 4), 4);
  ck_assert_str_ne (out[0]->domain, out[1]->domain);
  ck_assert_str_ne (out[0]->domain, out[2]->domain);
  ck_assert_str_ne (out[1]->domain, out[2]->domain);
  for (int i = 0; i < 3; i++)
    ck_assert_ptr_ne (out[3], out[i]);
}

UNIT_TEST (test_changes_are_listed_up_to_the_limit)
{
  uint64_t changed[MEMBERS_CHANGES];
  size_t count;
  uint64_t generation = members_generation (members);
  members_mark_leaving (members, "host-007", 107);
  members_set_list (members, 6, hosts, HOSTS - 1);
  ck_assert (members_changes_since (members, generation, changed, &count));
  ck_assert_uint_eq (count, 2);
  ck_assert_uint_eq (changed[0],
                     members_hash (members_find (members, "host-007")));
  for (uint64_t i = 0; i < 10; i++)
    members_set_list (members, 7 + i, hosts, i % 2 == 0 ? 1 : HOSTS);
  ck_assert (!members_changes_since (members, generation, changed, &count));
}

UNIT_TEST (test_a_host_that_fails_is_suspected_temporarily)
{
  char name[NAME_BYTES];
  memcpy (name, first_for ("k")->address.name, NAME_BYTES);
  for (int i = 0; i < 3; i++)
    members_record_failure (members, name);
  ck_assert (members_find (members, name)->suspected);
  ck_assert_str_ne (first_for ("k")->address.name, name);
  /* It is placed last rather than left out, as the suspicion may be wrong.  */
  const struct member *all[HOSTS];
  ck_assert_uint_eq (members_place (members, "k", NULL, all, HOSTS), HOSTS);
  ck_assert_str_eq (all[HOSTS - 1]->address.name, name);
  advance (2000);
  ck_assert_str_eq (first_for ("k")->address.name, name);
  /* Now one more failure is enough, and the suspicion lasts longer.  */
  members_record_failure (members, name);
  advance (2000);
  ck_assert (members_find (members, name)->suspected);
  members_record_answer (members, name);
  ck_assert (!members_find (members, name)->suspected);
}

UNIT_TEST (test_failures_between_answers_cause_no_suspicion)
{
  for (int i = 0; i < 10; i++)
    {
      members_record_failure (members, "host-007");
      members_record_failure (members, "host-007");
      members_record_answer (members, "host-007");
    }
  ck_assert (!members_find (members, "host-007")->suspected);
  members_record_failure (members, "host-007");
  advance (1000);
  members_record_failure (members, "host-007");
  ck_assert (members_find (members, "host-007")->suspected);
}

UNIT_TEST (test_a_new_incarnation_is_another_host)
{
  for (int i = 0; i < 3; i++)
    members_record_failure (members, "host-005");
  members_mark_leaving (members, "host-006", 106);
  members_mark_leaving (members, "host-007", 99);
  ck_assert (members_find (members, "host-005")->suspected);
  ck_assert (members_find (members, "host-006")->leaving);
  ck_assert (!members_find (members, "host-007")->leaving);
  /* The platform's list lags, so it does not undo the announcement.  */
  members_set_list (members, 6, hosts, HOSTS);
  ck_assert (members_find (members, "host-006")->leaving);
  hosts[5].incarnation = hosts[6].incarnation = 900;
  members_set_list (members, 7, hosts, HOSTS);
  ck_assert (!members_find (members, "host-005")->suspected);
  ck_assert (!members_find (members, "host-006")->leaving);
}

UNIT_TEST (test_leaving_hosts_get_no_work_while_others_are_left)
{
  char name[NAME_BYTES];
  memcpy (name, first_for ("k")->address.name, NAME_BYTES);
  uint64_t generation = members_generation (members);
  members_mark_leaving (members, name,
                        members_find (members, name)->address.incarnation);
  ck_assert_uint_gt (members_generation (members), generation);
  ck_assert_str_ne (first_for ("k")->address.name, name);
}

UNIT_MAIN ("members", .setup = setup, .teardown = teardown)
