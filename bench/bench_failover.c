/* Gap in acknowledged writes over changes of primary, in virtual time.

   Usage: bench_failover [SEEDS]

   Five hosts in three failure domains, one database with an instance in
   each, one writer that writes without pause.  For each kind of fault: gap
   between two acknowledgements, acknowledged writes that the new primary does
   not have, and calls to the platform, over the seeds.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load_writer.h"

#define DEFAULT_SEEDS 100
#define WARM_UP_MS 4000
#define AFTER_MS 10000
#define WRITER_HOST 4

enum fault
{
  FAULT_KILL,
  FAULT_FREEZE,
  FAULT_ISOLATE,
  FAULT_DOMAIN,
  FAULT_KILL_WITH_COORDINATOR,
  FAULT_KILL_LOST_ANSWER,
  FAULT_ORDERED,
  FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT] = {
  [FAULT_KILL] = "primary_killed",
  [FAULT_FREEZE] = "primary_frozen",
  [FAULT_ISOLATE] = "primary_isolated",
  [FAULT_DOMAIN] = "domain_lost",
  [FAULT_KILL_WITH_COORDINATOR] = "killed_with_coordinator",
  [FAULT_KILL_LOST_ANSWER] = "killed_lost_answer",
  [FAULT_ORDERED] = "ordered",
};

static const char *const host_domains[] = { "d0", "d1", "d2", "d0", "d1" };
static const char *const instance_domains[] = { "d0", "d1", "d2" };

struct outcome_row
{
  clk_ms gap_ms;
  size_t lost;
  uint64_t writes;
  uint64_t reads;
  bool replaced;
};

static void
no_answer (void *arg, bool ok, const char *message)
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
lose_domain (struct sim_control *control)
{
  sim_instance_isolate (control->instances[0], true);
  for (size_t i = 0; i < control->sim.host_count; i++)
    if (strcmp (control->domains[i], "d0") == 0)
      sim_control_isolate (control, i, true);
}

static void
cause (struct sim_control *control, enum fault fault)
{
  switch (fault)
    {
    case FAULT_FREEZE:
      sim_instance_freeze (control->instances[0], true);
      break;
    case FAULT_ISOLATE:
      sim_instance_isolate (control->instances[0], true);
      break;
    case FAULT_DOMAIN:
      lose_domain (control);
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
    case FAULT_ORDERED:
      failover_switch_over (control->failovers[2], "t/s/d", NULL, no_answer,
                            NULL);
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

static struct outcome_row
run (enum fault fault, uint64_t seed)
{
  static struct sim_control control;
  struct outcome_row row = { 0 };
  uint64_t term = 0;
  sim_control_init (&control, seed, 5, host_domains);
  sim_control_add_database (&control, instance_domains);
  sim_world_set_delay (control.world, 0, 2);
  sim_control_start_all (&control);
  sim_run (&control.sim, WARM_UP_MS);
  struct load_writer *writer = load_writer_new (&control, WRITER_HOST);
  sim_run (&control.sim, 500 + sim_delay (&control.sim, 0, 1000));
  load_writer_reset_gap (writer);
  row.writes = control.platform.writes;
  row.reads = control.platform.reads;
  cause (&control, fault);
  sim_run (&control.sim, AFTER_MS);
  row.gap_ms = load_writer_gap_ms (writer);
  row.writes = control.platform.writes - row.writes;
  row.reads = control.platform.reads - row.reads;
  struct sim_instance *primary = current_primary (&control, &term);
  row.replaced = term == 2;
  row.lost = load_writer_lost (writer, primary);
  load_writer_free (writer);
  sim_control_clear (&control);
  return row;
}

static int
by_gap (const void *a, const void *b)
{
  clk_ms x = ((const struct outcome_row *)a)->gap_ms;
  clk_ms y = ((const struct outcome_row *)b)->gap_ms;
  return x < y ? -1 : x > y ? 1 : 0;
}

static void
measure (enum fault fault, size_t seeds)
{
  struct outcome_row *rows = calloc (seeds, sizeof *rows);
  size_t lost = 0, replaced = 0;
  uint64_t writes = 0, reads = 0;
  if (rows == NULL)
    abort ();
  for (size_t i = 0; i < seeds; i++)
    {
      rows[i] = run (fault, i + 1);
      if (!rows[i].replaced)
        printf ("%-24s seed %zu: not replaced once\n", fault_names[fault],
                i + 1);
      lost += rows[i].lost;
      replaced += rows[i].replaced;
      writes += rows[i].writes;
      reads += rows[i].reads;
    }
  qsort (rows, seeds, sizeof *rows, by_gap);
  printf ("%-24s gap_ms min %4lld p50 %4lld p99 %4lld max %4lld  replaced "
          "%zu/%zu  lost %zu  platform writes %.1f reads/s %.1f\n",
          fault_names[fault], (long long)rows[0].gap_ms,
          (long long)rows[seeds / 2].gap_ms,
          (long long)rows[seeds * 99 / 100].gap_ms,
          (long long)rows[seeds - 1].gap_ms, replaced, seeds, lost,
          (double)writes / (double)seeds,
          (double)reads / (double)seeds * 1000 / AFTER_MS);
  free (rows);
}

int
main (int argc, char **argv)
{
  size_t seeds = argc > 1 ? strtoul (argv[1], NULL, 10) : DEFAULT_SEEDS;
  if (seeds == 0)
    seeds = DEFAULT_SEEDS;
  for (int fault = 0; fault < FAULT_COUNT; fault++)
    measure ((enum fault)fault, seeds);
  return 0;
}
