#include "proxy/caller_metrics.h"

#include <stdio.h>

static const char *const kind_names[CALLER_ROUTE_KINDS]
    = { [ROUTE_PRIMARY] = "primary",
        [ROUTE_BOUNDED] = "bounded",
        [ROUTE_SESSION] = "session" };

enum outcome_class
{
  CLASS_DONE,
  CLASS_NOT_KEPT,
  CLASS_UNKNOWN
};

static const char *const class_names[CALLER_OUTCOMES]
    = { [CLASS_DONE] = "done",
        [CLASS_NOT_KEPT] = "not_kept",
        [CLASS_UNKNOWN] = "unknown" };

static enum outcome_class
class_of (enum code code)
{
  switch (code)
    {
    case CODE_OK:
      return CLASS_DONE;
    case CODE_INDOUBT:
    case CODE_TIMEOUT:
    case CODE_FAILED:
    case CODE_LOST:
      return CLASS_UNKNOWN;
    default:
      return CLASS_NOT_KEPT;
    }
}

void
caller_metrics_init (struct caller_metrics *self, struct metrics *metrics,
                     bool forwarded)
{
  const char *prefix = forwarded ? "guest_" : "";
  char name[64], labels[64];
  self->metrics = metrics;
  for (enum code code = CODE_OK; code <= CODE_LOST; code++)
    {
      snprintf (name, sizeof name, "%sstatements_total{code=\"%s\"}", prefix,
                code_name (code));
      self->statements[code] = metrics_value (metrics, name);
    }
  for (size_t kind = 0; kind < CALLER_ROUTE_KINDS; kind++)
    {
      snprintf (name, sizeof name, "%sstatement_ms", prefix);
      for (size_t outcome = 0; outcome < CALLER_OUTCOMES; outcome++)
        {
          snprintf (labels, sizeof labels, "kind=\"%s\",outcome=\"%s\"",
                    kind_names[kind], class_names[outcome]);
          self->answer_ms[kind][outcome]
              = metrics_histogram (metrics, name, labels);
        }
      snprintf (name, sizeof name, "%sstatement_wait_ms", prefix);
      snprintf (labels, sizeof labels, "kind=\"%s\"", kind_names[kind]);
      self->wait_ms[kind] = metrics_histogram (metrics, name, labels);
    }
  snprintf (name, sizeof name, "%sposition_age_ms", prefix);
  self->sample_age_ms = metrics_histogram (metrics, name, "read=\"replica\"");
  snprintf (name, sizeof name, "%sleaving_instance_ms", prefix);
  self->leaving_ms = metrics_histogram (metrics, name, "work=\"new\"");
}

void
caller_metrics_answer (struct caller_metrics *self, enum route_kind kind,
                       enum code code, clk_ms spent_ms)
{
  (*self->statements[code])++;
  histogram_observe (self->answer_ms[kind][class_of (code)], spent_ms);
}

void
caller_metrics_refused (struct caller_metrics *self, const char *why)
{
  char name[96];
  snprintf (name, sizeof name, "statements_given_up_total{why=\"%s\"}", why);
  metrics_increment (self->metrics, name);
}
