/* bench_reads - distribution of reads over the instances.

   Usage: bench_reads [SEEDS]

   Measures the share of reads that replicas serve, with a small lag and with
   one of two replicas far behind, and the latency with one slow replica.  */

#include <stdio.h>
#include <stdlib.h>

#include "kernel/mem.h"
#include "load_mix.h"
#include "load_size.h"

#define SEEDS_DEFAULT 3
#define COST_MIN_MS 4
#define COST_MAX_MS 6
#define WARM_UP_MS 5000
#define MEASURE_MS 30000
#define LARGE_LAG_MS 60000
#define SLOW_FACTOR 10
#define DETECTION_MS 3000 /* for hosts to avoid the replica */

struct bench
{
  struct rig *rig;
  struct load *load;
  struct load_stats *before;     /* no lag or slowdown yet */
  struct load_stats *unmeasured; /* warm-up and detection */
  struct load_stats *after;
};

static void
bench_start (struct bench *b, const struct size *size, enum policy policy,
             uint64_t seed, double utilization)
{
  const struct rig_options options = size_options (size, policy, seed);
  const struct load_options load_options = { .write_permille = 200,
                                             .short_min_ms = COST_MIN_MS,
                                             .short_max_ms = COST_MAX_MS,
                                             .deadline_ms = 1000 };
  double slots = (double)RIG_INSTANCES * size->slots;
  double mean_ms = (COST_MIN_MS + COST_MAX_MS) / 2.0;
  b->rig = rig_new (&options);
  b->load = load_new (b->rig, &load_options);
  b->before = mem_zalloc (sizeof *b->before);
  b->unmeasured = mem_zalloc (sizeof *b->unmeasured);
  b->after = mem_zalloc (sizeof *b->after);
  load_set_stats (b->load, b->unmeasured);
  load_set_rate (b->load, utilization * slots * 1000 / mean_ms);
  rig_run (b->rig, WARM_UP_MS);
  load_set_stats (b->load, b->before);
  rig_run (b->rig, MEASURE_MS);
  load_set_stats (b->load, b->unmeasured);
}

static void
bench_end (struct bench *b)
{
  load_free (b->load);
  rig_free (b->rig);
  free (b->before);
  free (b->unmeasured);
  free (b->after);
}

static double
replica_share (const struct load_stats *stats)
{
  return (double)stats->replica_reads / (double)stats->reads;
}

static void
measure (const struct size *size, enum policy policy, uint64_t seed,
         double utilization)
{
  struct bench b;
  bench_start (&b, size, policy, seed, utilization);
  printf ("%-10s %-5s load=%.1f seed=%llu replica_reads=%.4f stale=%llu "
          "p99_ms=%lld",
          size->name, size_policy_name (policy), utilization,
          (unsigned long long)seed, replica_share (b.before),
          (unsigned long long)b.before->stale,
          (long long)load_percentile (&b.before->short_done, 990));
  sim_instance_set_lag (rig_instance (b.rig, 0, 1), LARGE_LAG_MS);
  rig_run (b.rig, DETECTION_MS);
  load_set_stats (b.load, b.after);
  rig_run (b.rig, MEASURE_MS);
  printf (" one_behind: replica_reads=%.4f stale=%llu p99_ms=%lld",
          replica_share (b.after), (unsigned long long)b.after->stale,
          (long long)load_percentile (&b.after->short_done, 990));
  bench_end (&b);
  bench_start (&b, size, policy, seed, utilization);
  sim_instance_set_slowdown (rig_instance (b.rig, 0, 1), SLOW_FACTOR);
  rig_run (b.rig, DETECTION_MS);
  load_set_stats (b.load, b.after);
  rig_run (b.rig, MEASURE_MS);
  printf (" one_slow: p99_before_ms=%lld p99_ms=%lld replica_reads=%.4f "
          "refused=%llu unknown=%llu\n",
          (long long)load_percentile (&b.before->short_done, 990),
          (long long)load_percentile (&b.after->short_done, 990),
          replica_share (b.after), (unsigned long long)b.after->refused.count,
          (unsigned long long)b.after->unknown);
  fflush (stdout);
  bench_end (&b);
}

int
main (int argc, char **argv)
{
  static const double loads[] = { 0.3, 0.5 };
  uint64_t seeds = argc > 1 ? strtoull (argv[1], NULL, 10) : SEEDS_DEFAULT;
  puts ("reads: targets: replica_reads >= 0.95 at 20 ms lag, stale 0; >= 0.80 "
        "with one of two replicas 60 s behind; one replica 10 x slower costs "
        "< 5% in p99 after 3 s");
  for (size_t s = 0; s < SIZE_COUNT; s++)
    for (int policy = POLICY_FULL; policy <= POLICY_PLAIN; policy++)
      for (size_t l = 0; l < sizeof loads / sizeof loads[0]; l++)
        for (uint64_t seed = 1; seed <= seeds; seed++)
          measure (&sizes[s], policy, seed, loads[l]);
  return 0;
}
