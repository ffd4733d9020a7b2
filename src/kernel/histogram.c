#include "kernel/histogram.h"

#include <inttypes.h>

static const clk_ms bounds_ms[HISTOGRAM_BOUNDS]
    = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000 };

void
histogram_observe (struct histogram *histogram, clk_ms span_ms)
{
  size_t i = 0;
  while (i < HISTOGRAM_BOUNDS && span_ms > bounds_ms[i])
    i++;
  histogram->counts[i]++;
  histogram->total++;
  histogram->sum_ms += span_ms;
}

clk_ms
histogram_quantile (const struct histogram *histogram, double share)
{
  uint64_t below = 0;
  for (size_t i = 0; i < HISTOGRAM_BOUNDS; i++)
    {
      below += histogram->counts[i];
      if ((double)below >= share * (double)histogram->total)
        return bounds_ms[i];
    }
  return CLK_NEVER;
}

void
histogram_print (const struct histogram *histogram, FILE *out,
                 const char *name, const char *labels)
{
  uint64_t below = 0;
  for (size_t i = 0; i < HISTOGRAM_BOUNDS; i++)
    {
      below += histogram->counts[i];
      fprintf (out, "savoryway_%s_bucket{%s,le=\"%" PRId64 "\"} %" PRIu64 "\n",
               name, labels, bounds_ms[i], below);
    }
  fprintf (out, "savoryway_%s_bucket{%s,le=\"+Inf\"} %" PRIu64 "\n", name,
           labels, histogram->total);
  fprintf (out, "savoryway_%s_sum{%s} %" PRId64 "\n", name, labels,
           histogram->sum_ms);
  fprintf (out, "savoryway_%s_count{%s} %" PRIu64 "\n", name, labels,
           histogram->total);
}
