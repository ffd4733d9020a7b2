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

#endif
