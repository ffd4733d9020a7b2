/* Orders to promote that get no answer, on a simulated fleet in which a commit
   waits for a replica.  */

#include "kernel/mem.h"
#include "tests/fleet/fleet_unit.h"

/* Time after which an order without an answer takes effect.  */
#define LATE_MS 9000
/* Time for which the instance that it names receives nothing before.  */
#define DEAF_MS 1500

static void
set_up_sync (void)
{
  fleet = fleet_new_with (
      7, FLEET_DEFAULT_HOSTS,
      &(struct fleet_options){ .connections = FLEET_CONNECTIONS,
                               .sync_replicas = 1 });
  fleet_run (fleet, SETTLE_MS);
}

/* Lets WRITER write one statement after another for SPAN_MS.  */
static void
keep_writing (struct fleet_caller *writer, clk_ms span_ms)
{
  clk_ms until_ms = fleet_now (fleet) + span_ms;
  while (fleet_now (fleet) < until_ms)
    {
      if (!fleet_caller_waits (writer))
        fleet_caller_send (writer, STMT_WRITE, "a 1", NULL);
      fleet_run (fleet, 5);
      ck_assert_msg (fleet_violation (fleet) == NULL, "%s",
                     fleet_violation (fleet));
    }
}

/* Lets the next order to promote, which names i-2, get no answer and take
   effect after LATE_MS.  Returns when it was sent.  */
static clk_ms
lose_next_order (struct fleet_caller *writer)
{
  fleet->promote_lost = NULL;
  fleet->promote_lost_percent = 100;
  fleet->promote_late_ms = LATE_MS;
  while (fleet->promote_lost == NULL)
    keep_writing (writer, 5);
  fleet->promote_lost_percent = 0;
  ck_assert (fleet->promote_lost == fleet_instance (fleet, 2));
  fleet_instance (fleet, 1)->replication_stopped = false;
  return fleet_now (fleet);
}

/* Runs until the order that was sent at SENT_MS takes effect.  Its instance
   receives nothing for a while before.  */
static void
await_late_order (struct fleet_caller *writer, clk_ms sent_ms)
{
  struct fleet_instance *ordered = fleet->promote_lost;
  keep_writing (writer, sent_ms + LATE_MS - DEAF_MS - fleet_now (fleet));
  ordered->replication_stopped = true;
  keep_writing (writer, DEAF_MS + 1000);
  ordered->replication_stopped = false;
  keep_writing (writer, 3000);
  while (fleet_caller_waits (writer))
    fleet_run (fleet, 1);
  ck_assert_int_eq (run (writer, STMT_WRITE, "a 1", NULL), CODE_OK);
}

static void
announce (struct fleet_instance *instance, bool leaves)
{
  instance->draining = leaves;
  fleet_publish (fleet);
}

static void
nothing_happens (struct fleet_caller *writer)
{
  (void)writer;
}

static void
holder_is_killed (struct fleet_caller *writer)
{
  struct fleet_host *holder = duty_holder ();
  (void)writer;
  fleet_host_kill (holder);
  fleet_host_start (holder);
}

static void
holder_resigns (struct fleet_caller *writer)
{
  (void)writer;
  roster_resign_duty (duty_holder ()->roster, "test");
}

static void
next_primary_leaves (struct fleet_caller *writer)
{
  keep_writing (writer, 4500);
  announce (fleet_instance (fleet, 0), false);
  struct fleet_instance *next = fleet_primary (fleet);
  ck_assert (next != NULL);
  announce (next, true);
  keep_writing (writer, 2500);
  ck_assert (fleet_primary (fleet) != next);
  announce (next, false);
}

static void
next_primary_is_lost (struct fleet_caller *writer)
{
  keep_writing (writer, 4500);
  announce (fleet_instance (fleet, 0), false);
  struct fleet_instance *next = fleet_primary (fleet);
  ck_assert (next != NULL);
  next->unreachable = true;
  keep_writing (writer, 2000);
  next->unreachable = false;
  keep_writing (writer, 500);
}

/* A host other than the one of the writer holds the duty in these tests.  */
static struct fleet_caller *
open_writer (void)
{
  size_t index = duty_holder () == fleet_host (fleet, 0) ? 1 : 0;
  return fleet_caller_open (fleet_host (fleet, index), FLEET_DATABASE_PRIMARY);
}

static void (*const after_lost_order[]) (struct fleet_caller *)
    = { nothing_happens, holder_is_killed, holder_resigns, next_primary_leaves,
        next_primary_is_lost };

/* Guards against LOST: an order without an answer was carried out after a
   later one, under the same fencing token.  */
UNIT_LOOP (test_a_late_order_discards_no_commit, 0,
           (int)(sizeof after_lost_order / sizeof after_lost_order[0]))
{
  struct fleet_caller *writer = open_writer ();
  keep_writing (writer, 500);
  fleet_instance (fleet, 1)->replication_stopped = true;
  keep_writing (writer, 100);
  announce (fleet_instance (fleet, 0), true);
  clk_ms sent_ms = lose_next_order (writer);
  after_lost_order[_i](writer);
  await_late_order (writer, sent_ms);
}

/* Guards against LOST: the primary that was to be replaced came back before
   the order for another one was carried out.  */
UNIT_LOOP (test_a_late_order_discards_no_commit_of_a_primary_that_came_back, 0,
           3)
{
  struct fleet_instance *old = fleet_instance (fleet, 0);
  struct fleet_caller *writer = open_writer ();
  keep_writing (writer, 500);
  fleet_instance (fleet, 1)->replication_stopped = true;
  keep_writing (writer, 100);
  old->unreachable = true;
  clk_ms sent_ms = lose_next_order (writer);
  old->unreachable = false;
  after_lost_order[_i](writer);
  await_late_order (writer, sent_ms);
}

/* Lets writes go on until all that follow are acknowledged, for LIMIT_MS at
   most.  */
static void
await_acknowledged (struct fleet_caller *writer, clk_ms limit_ms)
{
  clk_ms begin_ms = fleet_now (fleet);
  int in_a_row = 0;
  while (fleet_caller_waits (writer))
    fleet_run (fleet, 1);
  while (in_a_row < 20)
    {
      ck_assert_int_lt (fleet_now (fleet) - begin_ms, limit_ms);
      in_a_row = run (writer, STMT_WRITE, "a 1", NULL) == CODE_OK
                     ? in_a_row + 1
                     : 0;
      fleet_run (fleet, 5);
    }
}

/* Cuts the primary off until the replicas are paused for a failover, while the
   platform carries out no order.  */
static void
give_up_failover (struct fleet_caller *writer)
{
  struct fleet_instance *old = fleet_instance (fleet, 0);
  keep_writing (writer, 500);
  fleet->promote_down = true;
  old->unreachable = true;
  keep_writing (writer, 2000);
  ck_assert (fleet_instance (fleet, 1)->paused);
  ck_assert (fleet_instance (fleet, 2)->paused);
}

static void
one_replica_is_cut (struct fleet_caller *writer)
{
  fleet_instance (fleet, 2)->unreachable = true;
  keep_writing (writer, 1000);
}

static void (*const after_pause[]) (struct fleet_caller *)
    = { nothing_happens, one_replica_is_cut, holder_is_killed,
        holder_resigns };
/* In the others a new holder has to order first, see promoter.h.  */
#define WITHOUT_ORDERS 2

/* Guards against RECOVER: replicas that were paused for a failover never
   received again once the primary was back.  */
UNIT_LOOP (test_replicas_receive_again_after_a_failover_that_was_given_up, 0,
           (int)(sizeof after_pause / sizeof after_pause[0]))
{
  struct fleet_caller *writer = open_writer ();
  give_up_failover (writer);
  after_pause[_i](writer);
  fleet_instance (fleet, 0)->unreachable = false;
  keep_writing (writer, 1000);
  fleet->promote_down = _i < WITHOUT_ORDERS;
  await_acknowledged (writer, 6000);
  fleet_instance (fleet, 2)->unreachable = false;
  keep_writing (writer, 8000);
  ck_assert (!fleet_instance (fleet, 1)->paused);
  ck_assert (!fleet_instance (fleet, 2)->paused);
  await_acknowledged (writer, 1000);
}

/* Guards against RECOVER: the same where all hosts have been started again
   since.  */
UNIT_TEST (test_replicas_receive_again_after_a_start_of_all_hosts)
{
  struct fleet_caller *writer = open_writer ();
  give_up_failover (writer);
  fleet_caller_close (writer);
  for (size_t i = 0; i < fleet->host_count; i++)
    fleet_host_kill (fleet_host (fleet, i));
  fleet_instance (fleet, 0)->unreachable = false;
  fleet->promote_down = false;
  for (size_t i = 0; i < fleet->host_count; i++)
    fleet_host_start (fleet_host (fleet, i));
  fleet_run (fleet, 8000);
  writer = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  await_acknowledged (writer, 4000);
}

/* An odd value of the record, by another writer, holds up no failover.  */
UNIT_LOOP (test_an_odd_record_holds_up_no_failover, 0, 5)
{
  static const char *const odd[]
      = { "", "1", "-1 x y", "7 2 i-9 i-8 i-7 i-6 i-5", NULL };
  char *value = odd[_i] != NULL ? mem_strdup (odd[_i]) : mem_zalloc (1001);
  if (odd[_i] == NULL)
    memset (value, '7', 1000);
  fleet_store_put (fleet, "savoryway/primaries/" FLEET_GROUP, value);
  free (value);
  fleet_run (fleet, 1000);
  struct fleet_caller *writer = open_writer ();
  keep_writing (writer, 500);
  fleet_instance (fleet, 0)->unreachable = true;
  keep_writing (writer, 3000);
  ck_assert_ptr_nonnull (fleet_primary (fleet));
  ck_assert (fleet_primary (fleet) != fleet_instance (fleet, 0));
}

/* Guards against STALE: hosts that had just started promoted an instance that
   had missed a term, so that commits came back which reads of that term had
   lacked.  Commits don't wait for a replica here.  */
UNIT_PLAIN (test_an_instance_that_missed_a_term_waits_also_after_a_start)
{
  fleet = fleet_new (7, FLEET_DEFAULT_HOSTS);
  fleet_run (fleet, SETTLE_MS);
  struct fleet_instance *second = fleet_instance (fleet, 1);
  struct fleet_instance *missing = fleet_instance (fleet, 2);
  struct fleet_caller *writer = open_writer ();
  second->replication_stopped = true;
  keep_writing (writer, 500);
  fleet_instance (fleet, 0)->unreachable = true;
  missing->unreachable = missing->isolated = true;
  keep_writing (writer, 2000);
  ck_assert (fleet_primary (fleet) == second);
  fleet_caller_close (writer);
  for (size_t i = 0; i < fleet->host_count; i++)
    fleet_host_kill (fleet_host (fleet, i));
  second->unreachable = true;
  for (size_t i = 0; i < fleet->host_count; i++)
    fleet_host_start (fleet_host (fleet, i));
  fleet_run (fleet, 2000);
  missing->unreachable = false;
  fleet_run (fleet, 5000);
  ck_assert (fleet_primary (fleet) != missing);
  second->unreachable = false;
  ck_assert_int_le (write_gap_ms (fleet_host (fleet, 0)), 2000);
  ck_assert (fleet_primary (fleet) == second);
  tear_down ();
}

UNIT_MAIN ("promoter", .setup = set_up_sync, .teardown = tear_down,
           .timeout_s = 60)
