/* load_outcomes - writes under faults, checked against the final log.

   Every write puts a key of its own.  At the end the log must contain the key
   exactly once if the outcome was "done", not at all if it was "not_run", and
   at most once if it was "unknown".  The load executes the failovers itself,
   in place of a coordinator.  */

#ifndef SAVORYWAY_BENCH_LOAD_OUTCOMES_H
#define SAVORYWAY_BENCH_LOAD_OUTCOMES_H

#include "sim_rig.h"

struct outcomes
{
  uint32_t writes;
  uint32_t done;
  uint32_t not_run;
  uint32_t unknown;
  uint32_t transactions; /* of the writes */
  uint32_t reads;
  uint32_t failovers;
  uint32_t faults;
  /* Counts of violations.  */
  uint32_t doubled;    /* key put more than once */
  uint32_t lost;       /* outcome "done", but key missing */
  uint32_t ran;        /* outcome "not_run", but key present */
  uint32_t changed;    /* a later look-up returned another outcome */
  uint32_t stale;      /* a session did not read its own write */
  uint32_t silent;     /* write without an answer */
  uint32_t stuck;      /* hosts with requests in flight at the end */
  uint32_t over_limit; /* instances that refused excess connections */
};

/* Runs faults and load for SPAN_MS of virtual time.  */
struct outcomes outcomes_run (uint64_t seed, clk_ms span_ms);

/* Returns the sum of all violations.  */
uint32_t outcomes_violations (const struct outcomes *outcomes);

#endif
