/* bench_crest - service during a load peak, for both installation sizes.

   Usage: bench_crest [SEEDS]

   Raises the load from 0.3 to 3 times the capacity of the slots within 2 s,
   keeps it there for 60 s, and lowers it again.  Prints goodput, latency,
   refusals and recovery time for each policy.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "load_mix.h"
#include "load_size.h"

#define SEEDS_DEFAULT 3
#define COST_MIN_MS 4
#define COST_MAX_MS 6
#define WARM_UP_MS 5000
#define BASE_MS 10000 /* at 0.6 times the capacity */
#define RAMP_MS 2000
#define PEAK_MS 60000
#define WINDOW_MS ((clk_ms)250)
#define WINDOW_COUNT 80

struct run_result
{
  double goodput; /* share of capacity */
  clk_ms base_p99_ms;
  clk_ms crest_p99_ms;
  clk_ms write_p99_ms;
  double admitted; /* share of the requests submitted at the peak */
  double replica_share;
  clk_ms refused_p99_ms;
  clk_ms recovery_ms; /* -1 if not recovered within the run */
  uint64_t stale;
  uint64_t unknown;
  uint32_t open_peak;
};

static double
capacity_per_s (const struct size *size)
{
  double mean_ms = (COST_MIN_MS + COST_MAX_MS) / 2.0;
  return RIG_INSTANCES * size->slots * 1000.0 / mean_ms;
}

/* Returns the time after the peak from which on all windows are normal: no
   refusals, no unknown outcomes, and a p99 of short requests of at most twice
   NORMAL_P99_MS.  Returns -1 if the last window is not.  */
static clk_ms
measure_recovery (struct load *load, struct rig *rig,
                  struct load_stats *windows, clk_ms normal_p99_ms)
{
  clk_ms recovery_ms = 0;
  for (size_t i = 0; i < WINDOW_COUNT; i++)
    {
      load_set_stats (load, &windows[i]);
      rig_run (rig, WINDOW_MS);
    }
  rig_run (rig, WINDOW_MS * 8);
  for (size_t i = 0; i < WINDOW_COUNT; i++)
    {
      const struct load_stats *w = &windows[i];
      bool normal
          = w->refused.count == 0 && w->unknown == 0
            && load_percentile (&w->short_done, 990) <= 2 * normal_p99_ms;
      if (!normal)
        recovery_ms = (clk_ms)(i + 1) * WINDOW_MS;
    }
  return recovery_ms == WINDOW_COUNT * WINDOW_MS ? -1 : recovery_ms;
}

static struct run_result
run (const struct size *size, enum policy policy, uint64_t seed)
{
  const struct rig_options options = size_options (size, policy, seed);
  const struct load_options load_options = { .write_permille = 333,
                                             .short_min_ms = COST_MIN_MS,
                                             .short_max_ms = COST_MAX_MS,
                                             .deadline_ms = 1000,
                                             .long_deadline_ms = 1000 };
  struct rig *rig = rig_new (&options);
  struct load *load = load_new (rig, &load_options);
  struct load_stats *stats = mem_zalloc (4 * sizeof *stats);
  struct load_stats *windows = mem_zalloc (WINDOW_COUNT * sizeof *windows);
  double capacity = capacity_per_s (size);
  struct run_result result;
  load_set_stats (load, &stats[0]);
  load_ramp (load, 0.6 * capacity, WARM_UP_MS);
  load_set_stats (load, &stats[1]);
  rig_run (rig, BASE_MS);
  load_set_stats (load, &stats[0]);
  load_ramp (load, 0.3 * capacity, RAMP_MS);
  rig_run (rig, WARM_UP_MS);
  load_set_stats (load, &stats[2]);
  load_ramp (load, 3 * capacity, RAMP_MS);
  load_set_stats (load, &stats[3]);
  rig_run (rig, PEAK_MS);
  load_set_stats (load, &stats[2]);
  load_ramp (load, 0.3 * capacity, RAMP_MS);
  result.base_p99_ms = load_percentile (&stats[1].short_done, 990);
  result.recovery_ms
      = measure_recovery (load, rig, windows, result.base_p99_ms);
  result.goodput
      = (double)stats[3].short_done.count * 1000.0 / PEAK_MS / capacity;
  result.crest_p99_ms = load_percentile (&stats[3].short_done, 990);
  result.write_p99_ms = load_percentile (&stats[3].write_done, 990);
  result.admitted
      = (double)stats[3].short_done.count / (double)stats[3].submitted;
  result.replica_share
      = (double)stats[3].replica_reads / (double)stats[3].reads;
  result.refused_p99_ms = load_percentile (&stats[3].refused, 990);
  result.stale = stats[1].stale + stats[2].stale + stats[3].stale;
  result.unknown = stats[3].unknown;
  result.open_peak = 0;
  for (size_t i = 0; i < RIG_INSTANCES; i++)
    {
      uint32_t peak = sim_instance_open_peak (rig_instance (rig, 0, i));
      if (peak > result.open_peak)
        result.open_peak = peak;
    }
  load_free (load);
  rig_free (rig);
  free (stats);
  free (windows);
  return result;
}

int
main (int argc, char **argv)
{
  uint64_t seeds = argc > 1 ? strtoull (argv[1], NULL, 10) : SEEDS_DEFAULT;
  puts ("crest: 0.3 -> 3 x capacity within 2 s, 60 s, and back; targets: "
        "goodput >= 0.95, p99 <= 2 x base (0.6 load), refusals <= 50 ms, "
        "recovery <= 2000 ms");
  for (size_t s = 0; s < SIZE_COUNT; s++)
    for (int policy = POLICY_FULL; policy <= POLICY_PLAIN; policy++)
      for (uint64_t seed = 1; seed <= seeds; seed++)
        {
          struct run_result r = run (&sizes[s], policy, seed);
          printf ("%-10s %-5s seed=%llu goodput=%.3f base_p99_ms=%lld "
                  "crest_p99_ms=%lld write_p99_ms=%lld admitted=%.3f "
                  "replica_reads=%.3f refused_p99_ms=%lld recovery_ms=%lld "
                  "stale=%llu unknown=%llu open_peak=%u\n",
                  sizes[s].name, size_policy_name (policy),
                  (unsigned long long)seed, r.goodput,
                  (long long)r.base_p99_ms, (long long)r.crest_p99_ms,
                  (long long)r.write_p99_ms, r.admitted, r.replica_share,
                  (long long)r.refused_p99_ms, (long long)r.recovery_ms,
                  (unsigned long long)r.stale, (unsigned long long)r.unknown,
                  r.open_peak);
          fflush (stdout);
        }
  return 0;
}
