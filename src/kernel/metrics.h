/* metrics - named counters, gauges and histograms, printed as text
   exposition.  */

#ifndef SAVORYWAY_KERNEL_METRICS_H
#define SAVORYWAY_KERNEL_METRICS_H

#include <stdint.h>

#include "kernel/histogram.h"

struct metrics;

struct metrics *metrics_new (void);
void metrics_free (struct metrics *metrics);

/* Returns the value named NAME, created as 0.  NAME may carry labels:
   "requests_total{outcome=\"done\"}".  The pointer stays valid.  Look it up
   once and keep it where the path is hot.  */
int64_t *metrics_value (struct metrics *metrics, const char *name);

/* Adds 1 to the counter named NAME.  */
void metrics_increment (struct metrics *metrics, const char *name);

/* Returns the histogram named NAME with LABELS, created empty.  The pointer
   stays valid.  */
struct histogram *metrics_histogram (struct metrics *metrics, const char *name,
                                     const char *labels);

/* Returns all values as lines "savoryway_NAME VALUE", sorted by name, then
   the histograms; the caller frees the string.  */
char *metrics_print (struct metrics *metrics);

#endif
