/* bench_failover - write interruption by a change of primary.

   Usage: bench_failover [SEEDS]

   Simulates, in virtual time, five hosts in three failure domains, one
   database with an instance in each domain, and one client that writes
   continuously.  Prints for each kind of fault, over all seeds: the longest
   time between two acknowledged writes, the acknowledged writes that the new
   primary lacks, and the calls to the platform.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load_writer.h"

#define SEEDS_DEFAULT 100
#define WARM_UP_MS 4000
#define MEASURE_MS 10000
#define WRITER_HOST 4

enum fault
{
  FAULT_KILL,
  FAULT_FREEZE,
  FAULT_ISOLATE,
  FAULT_ISOLATE_DOMAIN,
  FAULT_KILL_WITH_COORDINATOR,
  FAULT_KILL_LOST_ANSWER,
  FAULT_SWITCHOVER,
  FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT] = {
  [FAULT_KILL] = "primary_killed",
  [FAULT_FREEZE] = "primary_frozen",
  [FAULT_ISOLATE] = "primary_isolated",
  [FAULT_ISOLATE_DOMAIN] = "domain_lost",
  [FAULT_KILL_WITH_COORDINATOR] = "killed_with_coordinator",
  [FAULT_KILL_LOST_ANSWER] = "killed_lost_answer",
  [FAULT_SWITCHOVER] = "ordered",
};

static const char *const host_domains[] = { "d0", "d1", "d2", "d0", "d1" };
static const char *const instance_domains[] = { "d0", "d1", "d2" };

struct run_result
{
  clk_ms gap_ms;
  size_t lost;
  uint64_t writes; /* to the platform */
  uint64_t reads;  /* from the platform */
  bool replaced;   /* the primary, exactly once */
};

static void
ignore_answer (void *arg, bool ok, const char *message)
{
  (void)arg;
  (void)ok;
  (void)message;
}

static size_t
first_coordinator (struct sim_control *control)
{
  const struct member *out[1];
  members_place_spread (control->members[WRITER_HOST], "failover/t/s/d", out,
                        1);
  return (size_t)out[0]->address.port - 1;
}

static void
isolate_domain (struct sim_control *control)
{
  sim_instance_isolate (control->instances[0], true);
  for (size_t i = 0; i < control->sim.host_count; i++)
    if (strcmp (control->domains[i], "d0") == 0)
      sim_control_isolate (control, i, true);
}

static void
inject_fault (struct sim_control *control, enum fault fault)
{
  switch (fault)
    {
    case FAULT_FREEZE:
      sim_instance_freeze (control->instances[0], true);
      break;
    case FAULT_ISOLATE:
      sim_instance_isolate (control->instances[0], true);
      break;
    case FAULT_ISOLATE_DOMAIN:
      isolate_domain (control);
      break;
    case FAULT_KILL_WITH_COORDINATOR:
      if (first_coordinator (control) != WRITER_HOST)
        sim_control_kill (control, first_coordinator (control));
      sim_instance_kill (control->instances[0]);
      break;
    case FAULT_KILL_LOST_ANSWER:
      control->platform.lose_next_answer = true;
      sim_instance_kill (control->instances[0]);
      break;
    case FAULT_SWITCHOVER:
      failover_switch_over (control->failovers[2], "t/s/d", NULL,
                            ignore_answer, NULL);
      break;
    default:
      sim_instance_kill (control->instances[0]);
      break;
    }
}

static struct sim_instance *
current_primary (struct sim_control *control, uint64_t *term)
{
  struct term_record record;
  const char *json
      = sim_platform_get (&control->platform, TERMS_PREFIX "t/s/d");
  if (json == NULL || !term_record_parse (json, strlen (json), &record))
    return NULL;
  *term = record.term;
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    if (strcmp (record.primary, sim_control_instance_name (i)) == 0)
      return control->instances[i];
  return NULL;
}

static struct run_result
run (enum fault fault, uint64_t seed)
{
  static struct sim_control control;
  struct run_result result = { 0 };
  uint64_t term = 0;
  sim_control_init (&control, seed, 5, host_domains);
  sim_control_add_database (&control, instance_domains);
  sim_world_set_delay (control.world, 0, 2);
  sim_control_start_all (&control);
  sim_run (&control.sim, WARM_UP_MS);
  struct load_writer *writer = load_writer_new (&control, WRITER_HOST);
  sim_run (&control.sim, 500 + sim_delay (&control.sim, 0, 1000));
  load_writer_reset_gap (writer);
  result.writes = control.platform.writes;
  result.reads = control.platform.reads;
  inject_fault (&control, fault);
  sim_run (&control.sim, MEASURE_MS);
  result.gap_ms = load_writer_gap_ms (writer);
  result.writes = control.platform.writes - result.writes;
  result.reads = control.platform.reads - result.reads;
  struct sim_instance *primary = current_primary (&control, &term);
  result.replaced = term == 2;
  result.lost = load_writer_lost (writer, primary);
  load_writer_free (writer);
  sim_control_clear (&control);
  return result;
}

static int
compare_gaps (const void *a, const void *b)
{
  clk_ms x = ((const struct run_result *)a)->gap_ms;
  clk_ms y = ((const struct run_result *)b)->gap_ms;
  return x < y ? -1 : x > y ? 1 : 0;
}

static void
measure (enum fault fault, size_t seeds)
{
  struct run_result *results = calloc (seeds, sizeof *results);
  size_t lost = 0, replaced = 0;
  uint64_t writes = 0, reads = 0;
  if (results == NULL)
    abort ();
  for (size_t i = 0; i < seeds; i++)
    {
      results[i] = run (fault, i + 1);
      if (!results[i].replaced)
        printf ("%-24s seed %zu: primary not replaced exactly once\n",
                fault_names[fault], i + 1);
      lost += results[i].lost;
      replaced += results[i].replaced;
      writes += results[i].writes;
      reads += results[i].reads;
    }
  qsort (results, seeds, sizeof *results, compare_gaps);
  printf ("%-24s gap_ms min %4lld p50 %4lld p99 %4lld max %4lld  replaced "
          "%zu/%zu  lost %zu  platform writes %.1f reads/s %.1f\n",
          fault_names[fault], (long long)results[0].gap_ms,
          (long long)results[seeds / 2].gap_ms,
          (long long)results[seeds * 99 / 100].gap_ms,
          (long long)results[seeds - 1].gap_ms, replaced, seeds, lost,
          (double)writes / (double)seeds,
          (double)reads / (double)seeds * 1000 / MEASURE_MS);
  free (results);
}

int
main (int argc, char **argv)
{
  size_t seeds = argc > 1 ? strtoul (argv[1], NULL, 10) : SEEDS_DEFAULT;
  if (seeds == 0)
    seeds = SEEDS_DEFAULT;
  for (int fault = 0; fault < FAULT_COUNT; fault++)
    measure ((enum fault)fault, seeds);
  return 0;
}
