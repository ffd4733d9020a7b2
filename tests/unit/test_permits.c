/* Primaries on a platform that fences none: permissions to use them, and the
   order in which they are recalled and replaced.  On virtual time, with the
   real modules of the hosts.  */

#include "tests/fleet/fleet_unit.h"

#define WRITE_MS 1500

static void
set_up_unfenced (void)
{
  fleet = fleet_new_unfenced (7, FLEET_DEFAULT_HOSTS);
  fleet_run (fleet, SETTLE_MS);
}

/* Returns a running host in, or outside of, failure domain Z.  */
static struct fleet_host *
host_in (size_t z, bool inside)
{
  for (size_t i = 0; i < fleet->host_count; i++)
    if ((i % FLEET_ZONES == z) == inside && fleet_host (fleet, i)->running)
      return fleet_host (fleet, i);
  ck_abort_msg ("no such host");
}

/* Cuts failure domain Z off from the others, or heals that.  */
static void
cut_domain (size_t z, bool cut)
{
  for (size_t i = 0; i < FLEET_INSTANCES; i++)
    {
      bool inside = i % FLEET_ZONES == z;
      if (inside)
        fleet_instance (fleet, i)->isolated = cut;
      for (size_t h = 0; h < fleet->host_count; h++)
        fleet_host (fleet, h)->instances_cut[i]
            = cut && (h % FLEET_ZONES == z) != inside;
    }
  for (size_t h = z; h < fleet->host_count; h += FLEET_ZONES)
    fleet_host (fleet, h)->store_cut = fleet_host (fleet, h)->peers_cut = cut;
}

/* Lets the holder of the duty be a host outside of failure domain Z.  */
static void
move_duty_out_of (size_t z)
{
  for (int tries = 0; tries < 20; tries++)
    {
      struct fleet_host *holder = duty_holder ();
      size_t index = (size_t)(holder - fleet->hosts);
      if (index % FLEET_ZONES != z)
        return;
      fleet_host_kill (holder);
      fleet_run (fleet, 4000);
      fleet_host_start (holder);
      fleet_run (fleet, SETTLE_MS);
    }
  ck_abort_msg ("the duty stays in the domain");
}

static enum code
write_through (struct fleet_host *host)
{
  struct fleet_caller *caller
      = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  enum code code = run (caller, STMT_WRITE, "k 1", NULL);
  fleet_caller_close (caller);
  return code;
}

/* All hosts confirm that they use the old primary no longer, so there is no
   wait.  */
UNIT_TEST (test_primary_that_no_host_reaches_is_replaced_without_wait)
{
  fleet_primary (fleet)->unreachable = true;
  ck_assert_int_lt (write_gap_ms (host_in (1, true)), 2500);
  ck_assert_uint_eq (fleet_promotions (fleet), 1);
}

/* Writes and reads go on in the domain that is cut off, until the permission
   of its hosts ends; only then is the primary replaced.  */
UNIT_TEST (test_primary_is_replaced_once_the_permissions_to_use_it_have_ended)
{
  size_t z = 0; /* of the first primary */
  move_duty_out_of (z);
  struct fleet_host *inside = host_in (z, true), *outside = host_in (z, false);
  ck_assert (fleet_primary (fleet) == fleet_instance (fleet, z));
  cut_domain (z, true);
  fleet_run (fleet, 1000);
  ck_assert_int_eq (write_through (inside), CODE_OK);
  ck_assert_uint_eq (fleet_promotions (fleet), 0);
  clk_ms gap_ms = write_gap_ms (outside);
  ck_assert_int_lt (gap_ms, PERMITS_SPAN_MS + WRITE_MS);
  ck_assert (fleet_primary (fleet) != fleet_instance (fleet, z));
  /* The old primary still takes writes, but no host sends any.  */
  ck_assert (fleet_instance (fleet, z)->is_primary);
  ck_assert_int_ne (write_through (inside), CODE_OK);
}

UNIT_TEST (test_host_without_a_permission_refuses_at_once)
{
  size_t z = 0;
  move_duty_out_of (z);
  struct fleet_host *inside = host_in (z, true);
  cut_domain (z, true);
  fleet_run (fleet, PERMITS_SPAN_MS + GROUP_LAPSE_MS + 100);
  struct fleet_caller *caller
      = fleet_caller_open (inside, FLEET_DATABASE_PRIMARY);
  ck_assert_int_ne (run (caller, STMT_READ, "k", NULL), CODE_OK);
  ck_assert_int_lt (fleet_caller_took_ms (caller), 20);
  fleet_caller_close (caller);
}

UNIT_TEST (test_primaries_stay_in_use_while_the_holder_is_replaced)
{
  struct fleet_host *holder = duty_holder ();
  struct fleet_host *other
      = fleet_host (fleet, holder == fleet_host (fleet, 0) ? 1 : 0);
  clk_ms until_ms = fleet_now (fleet) + 6000;
  fleet_host_kill (holder);
  while (fleet_now (fleet) < until_ms)
    {
      ck_assert_int_eq (write_through (other), CODE_OK);
      fleet_run (fleet, 50);
    }
  ck_assert (duty_holder () != holder);
}

/* No other host can take the duty over, and most hosts answer its holder.  */
UNIT_TEST (test_primaries_stay_in_use_while_the_store_is_down)
{
  struct fleet_host *host = host_in (1, true);
  fleet_store_down (fleet, true);
  for (int i = 0; i < 60; i++)
    {
      ck_assert_int_eq (write_through (host), CODE_OK);
      fleet_run (fleet, 100);
    }
  fleet_store_down (fleet, false);
}

/* An order must be recorded first.  */
UNIT_TEST (test_no_primary_is_replaced_while_the_store_is_down)
{
  fleet_store_down (fleet, true);
  fleet_run (fleet, 200);
  fleet_primary (fleet)->unreachable = true;
  fleet_run (fleet, 6000);
  ck_assert_uint_eq (fleet_promotions (fleet), 0);
  fleet_store_down (fleet, false);
  ck_assert_int_lt (write_gap_ms (host_in (1, true)), 9000);
  ck_assert_uint_eq (fleet_promotions (fleet), 1);
}

/* The order may take effect after another one: its instance is preferred, and
   no other is used meanwhile.  */
UNIT_TEST (test_order_without_an_answer_may_take_effect_late)
{
  fleet->promote_lost_percent = 100;
  fleet_primary (fleet)->unreachable = true;
  fleet_run (fleet, 2500);
  fleet->promote_lost_percent = 0;
  ck_assert_int_lt (write_gap_ms (host_in (1, true)), 6000);
  struct fleet_instance *second = fleet_primary (fleet);
  fleet_run (fleet, 8000);
  ck_assert (fleet_primary (fleet) == second);
}

/* Another holder of the duty finds the order in the store.  */
UNIT_TEST (test_order_of_a_dead_holder_is_completed)
{
  struct fleet_host *holder = duty_holder ();
  fleet->promote_lost_percent = 100;
  fleet_primary (fleet)->unreachable = true;
  fleet_run (fleet, 1500);
  fleet_host_kill (holder);
  fleet->promote_lost_percent = 0;
  struct fleet_host *other
      = fleet_host (fleet, holder == fleet_host (fleet, 0) ? 1 : 0);
  ck_assert_int_lt (write_gap_ms (other), 12000);
}

/* A primary that was replaced comes back with its log, and takes writes for a
   second.  */
UNIT_TEST (test_replaced_primary_that_returns_is_not_used)
{
  struct fleet_instance *first = fleet_primary (fleet);
  first->unreachable = true;
  write_gap_ms (host_in (1, true));
  first->unreachable = false;
  for (int i = 0; i < 40; i++)
    {
      for (size_t h = 0; h < fleet->host_count; h++)
        write_through (fleet_host (fleet, h));
      fleet_run (fleet, 20);
    }
  ck_assert (!first->is_primary);
}

/* Its process has ended, so the lease of the duty need not.  */
UNIT_TEST (test_restarted_holder_takes_the_duty_again_at_once)
{
  for (size_t i = 0; i < fleet->host_count; i++)
    fleet_host_kill (fleet_host (fleet, i));
  for (size_t i = 0; i < fleet->host_count; i++)
    fleet_host_start (fleet_host (fleet, i));
  fleet_run (fleet, 50); /* until they have read the configuration */
  ck_assert_int_lt (write_gap_ms (fleet_host (fleet, 0)), 1000);
}

/* A host whose registration is removed while it registers again does not stay
   without one: the holder would not renew its permission.  */
UNIT_TEST (test_host_that_was_away_registers_again)
{
  for (clk_ms away_ms = 5900; away_ms < 6300; away_ms += 20)
    {
      struct fleet_host *host = fleet_host (fleet, 3);
      size_t count;
      host->store_cut = true;
      fleet_run (fleet, away_ms);
      host->store_cut = false;
      fleet_run (fleet, 9000);
      hosts_list (fleet_host (fleet, 0)->others, &count);
      ck_assert_uint_eq (count, fleet->host_count - 1);
    }
}

UNIT_MAIN ("permits", .setup = set_up_unfenced, .teardown = tear_down,
           .timeout_s = 60)
