/* bench_blocking - head-of-line blocking of short requests by long ones.

   Usage: bench_blocking [SEEDS]

   Measures the latency of short requests with and without 5% of requests that
   run 50 times longer, at several utilizations of the slots that serve
   reads.  */

#include <stdio.h>
#include <stdlib.h>

#include "kernel/mem.h"
#include "load_mix.h"
#include "load_size.h"

#define SEEDS_DEFAULT 3
#define SHORT_MS 5
#define LONG_MS 250
#define LONG_PERMILLE 50
#define WARM_UP_MS 10000
#define MEASURE_MS 60000
#define DRAIN_MS 30000

struct result
{
  clk_ms short_p50_ms;
  clk_ms short_p99_ms;
  clk_ms long_p99_ms;
  uint64_t long_submitted;
  uint64_t long_done;
  uint64_t refused;
};

/* Runs the load once.  SHORT_PER_S is the rate of short requests; the long
   ones come on top.  */
static struct result
run (const struct size *size, enum policy policy, uint64_t seed,
     double short_per_s, uint32_t long_permille)
{
  struct rig_options options = size_options (size, policy, seed);
  const struct load_options load_options = { .write_permille = 100,
                                             .long_permille = long_permille,
                                             .short_min_ms = SHORT_MS,
                                             .short_max_ms = SHORT_MS,
                                             .long_ms = LONG_MS,
                                             .deadline_ms = 2000,
                                             .long_deadline_ms = 20000 };
  options.lag_ms = 1;
  struct rig *rig = rig_new (&options);
  struct load *load = load_new (rig, &load_options);
  struct load_stats *stats = mem_zalloc (2 * sizeof *stats);
  load_set_stats (load, &stats[0]);
  load_set_rate (load, short_per_s * 1000 / (1000 - long_permille));
  rig_run (rig, WARM_UP_MS);
  load_set_stats (load, &stats[1]);
  rig_run (rig, MEASURE_MS);
  load_set_rate (load, 0);
  rig_run (rig, DRAIN_MS);
  const struct load_stats *s = &stats[1];
  struct result result = {
    .short_p50_ms = load_percentile (&s->short_done, 500),
    .short_p99_ms = load_percentile (&s->short_done, 990),
    .long_p99_ms = load_percentile (&s->long_done, 990),
    .long_submitted = s->long_submitted,
    .long_done = s->long_done.count,
    .refused = s->refused.count,
  };
  load_free (load);
  rig_free (rig);
  free (stats);
  return result;
}

static void
measure (const struct size *size, enum policy policy, uint64_t seed,
         double load)
{
  double long_share = LONG_PERMILLE / 1000.0;
  double mean_ms = (1 - long_share) * SHORT_MS + long_share * LONG_MS;
  double read_slots = (double)(RIG_INSTANCES - 1) * size->slots;
  double short_per_s = load * read_slots * 1000 / mean_ms * (1 - long_share);
  struct result without = run (size, policy, seed, short_per_s, 0);
  struct result with = run (size, policy, seed, short_per_s, LONG_PERMILLE);
  printf ("%-10s %-5s load=%.1f seed=%llu short_p99_without_ms=%lld "
          "short_p99_ms=%lld ratio=%.2f short_p50_ms=%lld long_p99_ms=%lld "
          "long_done=%llu/%llu refused=%llu\n",
          size->name, size_policy_name (policy), load,
          (unsigned long long)seed, (long long)without.short_p99_ms,
          (long long)with.short_p99_ms,
          (double)with.short_p99_ms / (double)without.short_p99_ms,
          (long long)with.short_p50_ms, (long long)with.long_p99_ms,
          (unsigned long long)with.long_done,
          (unsigned long long)with.long_submitted,
          (unsigned long long)with.refused);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  static const double loads[] = { 0.3, 0.5, 0.7 };
  uint64_t seeds = argc > 1 ? strtoull (argv[1], NULL, 10) : SEEDS_DEFAULT;
  puts ("blocking: 5% of requests run 50 times longer; targets: short p99 <= "
        "1.5 x its value without, every long one done");
  for (size_t s = 0; s < SIZE_COUNT; s++)
    for (int policy = POLICY_FULL; policy <= POLICY_PLAIN; policy++)
      for (size_t l = 0; l < sizeof loads / sizeof loads[0]; l++)
        for (uint64_t seed = 1; seed <= seeds; seed++)
          measure (&sizes[s], policy, seed, loads[l]);
  return 0;
}
