/* caller_metrics - what callers' statements take, for the metrics address.

   Statements of other hosts' sessions are counted apart, under names that
   begin with "guest_".  */

#ifndef SAVORYWAY_PROXY_CALLER_METRICS_H
#define SAVORYWAY_PROXY_CALLER_METRICS_H

#include "kernel/metrics.h"
#include "proxy/catalog.h"
#include "proxy/statement.h"

#define CALLER_ROUTE_KINDS 3
#define CALLER_OUTCOMES 3

struct caller_metrics
{
  struct metrics *metrics;
  int64_t *statements[CODE_LOST + 1]; /* by code */
  struct histogram *answer_ms[CALLER_ROUTE_KINDS][CALLER_OUTCOMES];
  struct histogram *wait_ms[CALLER_ROUTE_KINDS]; /* until it is sent */
  struct histogram *sample_age_ms;               /* of reads on replicas */
};

void caller_metrics_init (struct caller_metrics *self, struct metrics *metrics,
                          bool forwarded_sessions);

/* A statement was answered with CODE after SPENT_MS.  */
void caller_metrics_answer (struct caller_metrics *self, enum route_kind kind,
                            enum code code, clk_ms spent_ms);

/* A statement was given up here, for the reason WHY.  */
void caller_metrics_refused (struct caller_metrics *self, const char *why);

#endif
