/* Schedules of faults that once led to a violation, and determinism of the
   simulation.  */

#include <sodium.h>

#include "sim_run.h"
#include "unit.h"

#define LENGTH_BYTES 240

/* Seeds whose schedule once violated a promise of sim_oracle.h, with the fault
   that is fixed now.  */
static const uint64_t seeds[] = {
  2,      /* a request was resent to the only gateway forever */
  96,     /* a retry of a finished request was reported as not run */
  419,    /* a cost measured during a pause refused every write */
  356,    /* a replaced primary served a read with max_age */
  4438,   /* a look-up was answered from a term abandoned later */
  126644, /* a leadership check that timed out counted as passed */
  300836, /* a tombstone, reported under the primary rule, was lost */
  166815, /* a fenced primary served a read with max_age */
  7287,   /* a refusal returned an empty session token */
  9658,   /* a replaced primary served a strong read */
};

UNIT_LOOP (test_schedule_keeps_all_promises, 0, sizeof seeds / sizeof seeds[0])
{
  ck_assert_uint_eq (run_seed (seeds[_i], LENGTH_BYTES), 0);
}

UNIT_TEST (test_schedule_repeats_exactly)
{
  struct run *a = calloc (1, sizeof *a);
  struct run *b = calloc (1, sizeof *b);
  uint8_t bytes[LENGTH_BYTES];
  for (size_t i = 0; i < sizeof bytes; i++)
    bytes[i] = (uint8_t)(i * 37 + 11);
  run_init (a, 5);
  run_init (b, 5);
  run_steps (a, bytes, sizeof bytes);
  run_steps (b, bytes, sizeof bytes);
  ck_assert_int_eq (a->sim.clk.now_ms, b->sim.clk.now_ms);
  ck_assert_uint_eq (rng_u64 (&a->sim.rng), rng_u64 (&b->sim.rng));
  ck_assert_mem_eq (a->answered, b->answered, sizeof a->answered);
  ck_assert_uint_gt (a->answered[0], 0);
  run_clear (a);
  run_clear (b);
  free (a);
  free (b);
}

UNIT_MAIN ("schedules", .init = sodium_init, .timeout_s = 60)
