/* histogram - counts of durations by size, printed as text exposition.

   The bounds grow from 1 ms to 5 s; each duration counts in every bucket
   whose bound it does not exceed.  */

#ifndef SAVORYWAY_KERNEL_HISTOGRAM_H
#define SAVORYWAY_KERNEL_HISTOGRAM_H

#include <stdint.h>
#include <stdio.h>

#include "kernel/clock.h"

#define HISTOGRAM_BOUNDS 12

struct histogram
{
  uint64_t counts[HISTOGRAM_BOUNDS + 1]; /* the last is beyond all bounds */
  uint64_t total;
  clk_ms sum_ms;
};

void histogram_observe (struct histogram *histogram, clk_ms span_ms);

/* Returns the bound below which SHARE (0 to 1) of the durations are;
   CLK_NEVER if it is beyond all bounds.  */
clk_ms histogram_quantile (const struct histogram *histogram, double share);

/* Writes its lines to OUT.  LABELS stand in each, as in "kind=\"read\"".  */
void histogram_print (const struct histogram *histogram, FILE *out,
                      const char *name, const char *labels);

#endif
