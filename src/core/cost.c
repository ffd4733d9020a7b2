#include "core/cost.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

#define US_PER_MS 1000

/* Weight of a sample in a moving average is 1 / SAMPLE_DIVISOR.  */
#define SAMPLE_DIVISOR 8

/* The first samples of a kind are averaged with equal weights.  */
#define PLAIN_MEAN_SAMPLES 4

/* Lower bound of the cheapest kind's cost and slack for outliers.  */
#define MIN_COST_US 500

/* Samples are capped at about this multiple of the estimate.  */
#define OUTLIER_RATIO 8
#define CLASSIFY_INTERVAL_SAMPLES 16

void
cost_init (struct cost_table *table)
{
  memset (table, 0, sizeof *table);
  table->other.mean_us = (int64_t)COST_DEFAULT_MS * US_PER_MS;
  table->short_mean_us = (int64_t)COST_DEFAULT_MS * US_PER_MS;
}

void
cost_clear (struct cost_table *table)
{
  struct cost_kind *kind, *next;
  HASH_ITER (hh, table->kinds, kind, next)
  {
    HASH_DEL (table->kinds, kind);
    free (kind);
  }
}

/* Returns the mean of the short kinds, weighted by their samples.  */
static int64_t
mean_of_short (const struct cost_table *table)
{
  int64_t sum_us = 0;
  int64_t samples = 0;
  for (const struct cost_kind *kind = table->kinds; kind != NULL;
       kind = kind->hh.next)
    {
      if (kind->is_long)
        continue;
      sum_us += kind->mean_us * (int64_t)kind->samples;
      samples += (int64_t)kind->samples;
    }
  return samples > 0 ? sum_us / samples : table->short_mean_us;
}

/* Classifies all kinds as short or long.  */
static void
classify (struct cost_table *table)
{
  bool changed = false;
  int64_t least_us = INT64_MAX;
  struct cost_kind *kind;
  for (kind = table->kinds; kind != NULL; kind = kind->hh.next)
    if (kind->mean_us < least_us)
      least_us = kind->mean_us;
  if (least_us < MIN_COST_US)
    least_us = MIN_COST_US;
  for (kind = table->kinds; kind != NULL; kind = kind->hh.next)
    {
      bool was = kind->is_long;
      kind->is_long = kind->mean_us / COST_LONG_RATIO >= least_us;
      changed = changed || was != kind->is_long;
    }
  if (changed)
    table->short_mean_us = mean_of_short (table);
}

struct cost_kind *
cost_find (struct cost_table *table, const char *name, clk_ms hint_ms)
{
  struct cost_kind *kind = NULL;
  HASH_FIND_STR (table->kinds, name, kind);
  if (kind != NULL)
    return kind;
  if (HASH_COUNT (table->kinds) >= COST_KIND_LIMIT)
    return &table->other;
  kind = mem_zalloc (sizeof *kind);
  strncpy (kind->name, name, sizeof kind->name - 1);
  kind->mean_us = (hint_ms > 0 ? hint_ms : COST_DEFAULT_MS) * US_PER_MS;
  HASH_ADD_STR (table->kinds, name, kind);
  classify (table);
  return kind;
}

void
cost_observe (struct cost_table *table, struct cost_kind *kind,
              clk_ms elapsed_ms)
{
  int64_t elapsed_us = elapsed_ms * US_PER_MS;
  int64_t divisor = SAMPLE_DIVISOR;
  /* A single stalled execution is not representative of the kind.  */
  if (elapsed_us > OUTLIER_RATIO * kind->mean_us + MIN_COST_US)
    elapsed_us = OUTLIER_RATIO * kind->mean_us + MIN_COST_US;
  if (kind->samples < PLAIN_MEAN_SAMPLES)
    divisor = (int64_t)kind->samples + 1;
  kind->samples++;
  kind->mean_us += (elapsed_us - kind->mean_us) / divisor;
  if (++table->observed % CLASSIFY_INTERVAL_SAMPLES == 0)
    classify (table);
  if (!kind->is_long)
    table->short_mean_us
        += (elapsed_us - table->short_mean_us) / SAMPLE_DIVISOR;
}
