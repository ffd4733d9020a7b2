/* metrics - named counters, gauges and histograms, printed in Prometheus's
   text exposition format.  */

#ifndef SAVORYWAY_KERNEL_METRICS_H
#define SAVORYWAY_KERNEL_METRICS_H

#include <stdint.h>

#include "kernel/histogram.h"

struct metrics;

struct metrics *metrics_new (void);
void metrics_free (struct metrics *metrics);

/* Returns the value named NAME; it is created as 0 at the first use.  NAME
   may include labels: "requests_total{outcome=\"done\"}".  The pointer is
   valid until metrics_free, so code on a hot path looks it up once.  */
int64_t *metrics_value (struct metrics *metrics, const char *name);

/* Adds 1 to the counter named NAME.  */
void metrics_increment (struct metrics *metrics, const char *name);

/* Returns the histogram named NAME with LABELS; it is created empty at the
   first use.  The pointer is valid until metrics_free.  */
struct histogram *metrics_histogram (struct metrics *metrics, const char *name,
                                     const char *labels);

/* Returns all values as lines "savoryway_NAME VALUE", sorted by name, then
   the histograms; the caller frees the string.  */
char *metrics_print (struct metrics *metrics);

#endif
