#include "kernel/metrics.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "kernel/mem.h"

struct metric
{
  char *name;
  int64_t value;
  UT_hash_handle hh;
};

struct distribution
{
  char *key; /* NAME{LABELS */
  char *name;
  char *labels;
  struct histogram histogram;
  UT_hash_handle hh;
};

struct metrics
{
  struct metric *table;
  struct distribution *distributions;
};

struct metrics *
metrics_new (void)
{
  return mem_zalloc (sizeof (struct metrics));
}

void
metrics_free (struct metrics *metrics)
{
  struct metric *metric, *next;
  struct distribution *distribution, *following;
  HASH_ITER (hh, metrics->table, metric, next)
  {
    HASH_DEL (metrics->table, metric);
    free (metric->name);
    free (metric);
  }
  HASH_ITER (hh, metrics->distributions, distribution, following)
  {
    HASH_DEL (metrics->distributions, distribution);
    free (distribution->key);
    free (distribution->name);
    free (distribution->labels);
    free (distribution);
  }
  free (metrics);
}

int64_t *
metrics_value (struct metrics *metrics, const char *name)
{
  struct metric *metric = NULL;
  HASH_FIND_STR (metrics->table, name, metric);
  if (metric == NULL)
    {
      metric = mem_zalloc (sizeof *metric);
      metric->name = mem_strdup (name);
      HASH_ADD_KEYPTR (hh, metrics->table, metric->name, strlen (name),
                       metric);
    }
  return &metric->value;
}

void
metrics_increment (struct metrics *metrics, const char *name)
{
  (*metrics_value (metrics, name))++;
}

struct histogram *
metrics_histogram (struct metrics *metrics, const char *name,
                   const char *labels)
{
  char *key = mem_printf ("%s{%s", name, labels);
  struct distribution *distribution;
  HASH_FIND_STR (metrics->distributions, key, distribution);
  if (distribution != NULL)
    {
      free (key);
      return &distribution->histogram;
    }
  distribution = mem_zalloc (sizeof *distribution);
  distribution->key = key;
  distribution->name = mem_strdup (name);
  distribution->labels = mem_strdup (labels);
  HASH_ADD_KEYPTR (hh, metrics->distributions, distribution->key, strlen (key),
                   distribution);
  return &distribution->histogram;
}

static int
by_key (struct distribution *a, struct distribution *b)
{
  return strcmp (a->key, b->key);
}

static int
by_name (struct metric *a, struct metric *b)
{
  return strcmp (a->name, b->name);
}

char *
metrics_print (struct metrics *metrics)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  if (out == NULL)
    return mem_strdup ("");
  HASH_SORT (metrics->table, by_name);
  for (struct metric *m = metrics->table; m != NULL; m = m->hh.next)
    fprintf (out, "savoryway_%s %lld\n", m->name, (long long)m->value);
  HASH_SORT (metrics->distributions, by_key);
  for (struct distribution *d = metrics->distributions; d != NULL;
       d = d->hh.next)
    histogram_print (&d->histogram, out, d->name, d->labels);
  fclose (out);
  return text;
}
