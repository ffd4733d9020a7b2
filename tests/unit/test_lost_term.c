/* A primary whose log lacks the term before its own: until its first commit it
   reports positions of an earlier term than hosts have seen.  */

#include "tests/fleet/fleet_unit.h"

/* Lets all hosts learn of commits of the second term, and then loses both
   instances that have them.  The third leads the next term.  */
static struct fleet_instance *
lose_a_term (void)
{
  struct fleet_instance *third = fleet_instance (fleet, 2);
  third->replication_stopped = true;
  fleet_instance (fleet, 0)->unreachable = true;
  write_gap_ms (fleet_host (fleet, 1));
  ck_assert (fleet_primary (fleet) == fleet_instance (fleet, 1));
  read_through_all (500);
  fleet_instance (fleet, 1)->unreachable = true;
  fleet_run (fleet, 13000);
  ck_assert (fleet_primary (fleet) == third);
  ck_assert_uint_eq (third->received.term, 1);
  return third;
}

/* Lets the other instances return, as replicas.  */
static void
return_others (void)
{
  for (size_t i = 0; i < FLEET_INSTANCES; i++)
    {
      fleet_instance (fleet, i)->replication_stopped = false;
      fleet_instance (fleet, i)->unreachable = false;
    }
  fleet_run (fleet, 2000);
}

/* Guards against a group that no host serves: hosts that knew commits of the
   lost term took the primary for one of an earlier term.  */
UNIT_LOOP (test_a_primary_is_used_though_its_log_lacks_the_term_before, 0, 2)
{
  if (_i == 1)
    {
      fleet_free (fleet);
      fleet = fleet_new_unfenced (7, FLEET_DEFAULT_HOSTS);
      fleet_run (fleet, SETTLE_MS);
    }
  lose_a_term ();
  ck_assert_int_le (write_gap_ms (fleet_host (fleet, 0)), 100);
}

/* Guards against reads that are refused until the next commit: no position of
   the new primary was taken for a recent one.  */
UNIT_LOOP (test_reads_run_before_the_first_commit_of_a_primary, 0, 3)
{
  static const char *const databases[]
      = { FLEET_DATABASE_PRIMARY, FLEET_DATABASE_BOUNDED,
          FLEET_DATABASE_SESSION };
  lose_a_term ();
  return_others ();
  for (size_t i = 0; i < fleet->host_count; i++)
    {
      struct fleet_caller *reader
          = fleet_caller_open (fleet_host (fleet, i), databases[_i]);
      ck_assert_int_eq (run (reader, STMT_READ, "a", NULL), CODE_OK);
    }
}

/* Guards against a session whose reads are refused: it went on to require the
   position of its own commit.  */
UNIT_TEST (test_a_session_reads_after_its_commit_was_rolled_back)
{
  struct fleet_caller *session
      = fleet_caller_open (fleet_host (fleet, 2), FLEET_DATABASE_SESSION);
  fleet_instance (fleet, 2)->replication_stopped = true;
  fleet_instance (fleet, 0)->unreachable = true;
  write_gap_ms (fleet_host (fleet, 2));
  ck_assert_int_eq (run (session, STMT_WRITE, "a 1", NULL), CODE_OK);
  lose_a_term ();
  return_others ();
  ck_assert_int_eq (run (session, STMT_READ, "a", NULL), CODE_OK);
}

/* Guards against an instance that leaves as the primary: its replicas seemed
   to lag behind the lost term.  */
UNIT_TEST (test_a_primary_without_a_commit_is_handed_over)
{
  struct fleet_instance *third = lose_a_term ();
  return_others ();
  third->draining = true;
  fleet_publish (fleet);
  fleet_run (fleet, 3000);
  ck_assert (fleet_primary (fleet) != third);
}

/* Guards against the promotion of an instance of the lost term by the next
   holder of the duty: it inherited a term before the one of the primary.  */
UNIT_TEST (test_the_term_of_a_primary_is_recorded_before_its_first_commit)
{
  struct roster_record record;
  lose_a_term ();
  ck_assert (
      roster_find_record (duty_holder ()->roster, FLEET_GROUP, &record));
  ck_assert_uint_ge (record.floor, 3);
}

UNIT_MAIN ("lost_term", .setup = set_up, .teardown = tear_down,
           .timeout_s = 60)
