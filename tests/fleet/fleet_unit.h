/* fleet_unit - fixture and helpers of the unit tests that run a fleet.  Each
   test gets a new fleet.  */

#ifndef SAVORYWAY_FLEET_FLEET_UNIT_H
#define SAVORYWAY_FLEET_FLEET_UNIT_H

#include "tests/fleet/fleet.h"
#include "tests/unit/unit.h"

/* Time for a new fleet to start: within 2.5 s a host acquires the promotion
   duty, and then creates the secret that the hosts share.  */
#define SETTLE_MS 5000
/* Time limit of an answer.  */
#define ANSWER_MS 1500

static struct fleet *fleet;

static inline void
set_up (void)
{
  fleet = fleet_new (7, FLEET_DEFAULT_HOSTS);
  fleet_run (fleet, SETTLE_MS);
}

static inline void
tear_down (void)
{
  ck_assert_msg (fleet_violation (fleet) == NULL, "%s",
                 fleet_violation (fleet));
  fleet_free (fleet);
}

/* Sends a statement and runs the fleet until it is answered.  */
static inline enum code
run (struct fleet_caller *caller, enum stmt_kind kind, const char *name,
     const char *rest)
{
  fleet_caller_send (caller, kind, name, rest);
  for (int i = 0; i < ANSWER_MS && fleet_caller_waits (caller); i++)
    fleet_run (fleet, 1);
  ck_assert_msg (!fleet_caller_waits (caller), "no answer");
  return fleet_caller_code (caller);
}

/* Returns the host that holds the promotion duty.  */
static inline struct fleet_host *
duty_holder (void)
{
  uint64_t token;
  for (size_t i = 0; i < fleet->host_count; i++)
    if (fleet_host (fleet, i)->running
        && roster_holds_duty (fleet_host (fleet, i)->roster, &token))
      return fleet_host (fleet, i);
  ck_abort_msg ("no host holds the duty");
}

/* Sends writes through HOST until one succeeds.  Returns the time from the
   first write to that success.  */
static inline clk_ms
write_gap_ms (struct fleet_host *host)
{
  clk_ms begin_ms = fleet_now (fleet);
  struct fleet_caller *caller
      = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
  while (run (caller, STMT_WRITE, "gap 1", NULL) != CODE_OK)
    {
      ck_assert_int_lt (fleet_now (fleet) - begin_ms, 30000);
      fleet_run (fleet, 5);
    }
  fleet_caller_close (caller);
  return fleet_now (fleet) - begin_ms;
}

/* Writes COUNT revisions of a key that no module reads.  */
static inline void
raise_revision (int count)
{
  for (int i = 0; i < count; i++)
    fleet_store_put (fleet, "op/note", "");
}

/* Takes a copy of the store, and lets the hosts read some revisions after it.
   Those that follow the store with delay read nothing for a while then.  */
static inline void
copy_store (void)
{
  fleet_run (fleet, 3000); /* until all hosts watch */
  fleet_store_copy (fleet);
  raise_revision (3);
  fleet_run (fleet, 200);
}

/* Restores the store from the copy.  What was written last is written again at
   a revision that the hosts have read before.  */
static inline void
restore_store (void)
{
  fleet_run (fleet, 20);
  fleet_store_down (fleet, true);
  fleet_run (fleet, 300);
  fleet_store_down (fleet, false);
  fleet_store_restore (fleet);
  fleet_publish (fleet);
  raise_revision (4);
}

/* Lets instance LEAVES announce that it leaves just before the store is
   restored.  */
static inline void
restore_as_instance_leaves (size_t leaves)
{
  copy_store ();
  fleet_instance (fleet, leaves)->draining = true;
  fleet_publish (fleet);
  restore_store ();
}

/* Lets the operator change the configuration just before the store is
   restored.  */
static inline void
restore_as_configuration_changes (void)
{
  copy_store ();
  fleet_change_config (fleet);
  restore_store ();
}

/* Reads through every host for SPAN_MS, without checking the answers.  */
static inline void
read_through_all (clk_ms span_ms)
{
  struct fleet_caller *readers[FLEET_HOSTS] = { NULL };
  clk_ms until_ms = fleet_now (fleet) + span_ms;
  while (fleet_now (fleet) < until_ms)
    {
      for (size_t i = 0; i < fleet->host_count; i++)
        {
          if (readers[i] == NULL)
            readers[i] = fleet_caller_open (fleet_host (fleet, i),
                                            FLEET_DATABASE_BOUNDED);
          if (!fleet_caller_waits (readers[i]))
            fleet_caller_send (readers[i], STMT_READ, "a", NULL);
        }
      fleet_run (fleet, 25);
    }
  for (size_t i = 0; i < fleet->host_count; i++)
    fleet_caller_close (readers[i]);
}

#endif
