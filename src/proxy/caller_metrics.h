/* caller_metrics - counters and latency histograms of callers' statements.

   Statements that other hosts forward here have metrics of their own, with
   the prefix "guest_".  */

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
  struct histogram *wait_ms[CALLER_ROUTE_KINDS]; /* until sent */
  struct histogram *sample_age_ms;               /* reads on replicas */
  struct histogram *leaving_ms; /* since the instance announced to leave */
};

void caller_metrics_init (struct caller_metrics *self, struct metrics *metrics,
                          bool forwarded);

/* Counts an answer with CODE to a statement that took SPENT_MS.  */
void caller_metrics_answer (struct caller_metrics *self, enum route_kind kind,
                            enum code code, clk_ms spent_ms);

/* Counts a statement that this host abandoned, with WHY as label.  */
void caller_metrics_refused (struct caller_metrics *self, const char *why);

#endif
