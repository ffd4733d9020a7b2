/* histogram - durations counted in buckets, printed in Prometheus's text
   exposition format.

   The upper bounds of the buckets grow from 1 ms to 5 s.  In memory each
   duration counts in one bucket; printed buckets are cumulative.  */

#ifndef SAVORYWAY_KERNEL_HISTOGRAM_H
#define SAVORYWAY_KERNEL_HISTOGRAM_H

#include <stdint.h>
#include <stdio.h>

#include "kernel/clock.h"

#define HISTOGRAM_BOUNDS 12

struct histogram
{
  uint64_t counts[HISTOGRAM_BOUNDS + 1]; /* the last one has no bound */
  uint64_t total;
  clk_ms sum_ms;
};

/* Adds a duration of SPAN_MS milliseconds.  */
void histogram_observe (struct histogram *histogram, clk_ms span_ms);

/* Returns an upper bound of quantile SHARE (0 to 1) of the durations: the
   bound of the bucket that it is in, or CLK_NEVER if that has none.  */
clk_ms histogram_quantile (const struct histogram *histogram, double share);

/* Prints the lines of metric NAME to OUT, each with LABELS, for example
   "kind=\"read\"".  */
void histogram_print (const struct histogram *histogram, FILE *out,
                      const char *name, const char *labels);

#endif
