/* bench_outcomes - outcomes of writes under faults and failovers.

   Usage: bench_outcomes [SEEDS [FIRST_SEED]]

   Compares the outcomes reported to callers with the content of the database
   log.  Exits with status 1 if they contradict each other.  */

#include <stdio.h>
#include <stdlib.h>

#include "load_outcomes.h"

#define SEEDS_DEFAULT 20
#define SPAN_MS 60000

int
main (int argc, char **argv)
{
  uint64_t first_seed = 1;
  uint64_t seeds = argc > 1 ? strtoull (argv[1], NULL, 10) : SEEDS_DEFAULT;
  uint64_t writes = 0;
  uint64_t unknown = 0;
  uint64_t failovers = 0;
  uint64_t violations = 0;
  if (argc > 2)
    first_seed = strtoull (argv[2], NULL, 10);
  puts ("outcomes: targets: 0 doubled, 0 lost, 0 not_run that ran, unknown < "
        "0.1% of non-repeatable requests");
  for (uint64_t seed = first_seed; seed < first_seed + seeds; seed++)
    {
      struct outcomes o = outcomes_run (seed, SPAN_MS);
      printf ("seed=%llu writes=%u transactions=%u done=%u not_run=%u "
              "unknown=%u reads=%u faults=%u failovers=%u doubled=%u lost=%u "
              "ran=%u changed=%u stale=%u silent=%u stuck=%u over_limit=%u\n",
              (unsigned long long)seed, o.writes, o.transactions, o.done,
              o.not_run, o.unknown, o.reads, o.faults, o.failovers, o.doubled,
              o.lost, o.ran, o.changed, o.stale, o.silent, o.stuck,
              o.over_limit);
      fflush (stdout);
      writes += o.writes;
      unknown += o.unknown;
      failovers += o.failovers;
      violations += outcomes_violations (&o);
    }
  printf ("total writes=%llu failovers=%llu unknown=%llu (%.4f%%) "
          "violations=%llu\n",
          (unsigned long long)writes, (unsigned long long)failovers,
          (unsigned long long)unknown,
          100.0 * (double)unknown / (double)writes,
          (unsigned long long)violations);
  return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
