/* cost - estimates the execution time of each kind of request.

   The estimate of a kind starts at the value that operators configured for it
   and then follows a moving average of observed execution times.  A kind is
   classified as long if its estimate is at least COST_LONG_RATIO times that
   of the cheapest kind.  */

#ifndef SAVORYWAY_CORE_COST_H
#define SAVORYWAY_CORE_COST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "core/types.h"
#include "kernel/clock.h"

#define COST_KIND_LIMIT 256
#define COST_DEFAULT_MS 5
#define COST_LONG_RATIO 8

struct cost_kind
{
  char name[NAME_BYTES];
  int64_t mean_us;  /* estimated execution time */
  uint64_t samples; /* executions observed */
  bool is_long;
  UT_hash_handle hh;
};

struct cost_table
{
  struct cost_kind *kinds;
  struct cost_kind other; /* shared by all kinds beyond COST_KIND_LIMIT */
  int64_t short_mean_us;  /* moving average over executions of short kinds */
  uint32_t observed;      /* executions observed, of all kinds */
};

void cost_init (struct cost_table *table);
void cost_clear (struct cost_table *table);

/* Returns the entry of the kind NAME and adds it if it is missing.  The
   estimate of a new entry is HINT_MS, or COST_DEFAULT_MS if that is 0.  The
   pointer stays valid until cost_clear.  */
struct cost_kind *cost_find (struct cost_table *table, const char *name,
                             clk_ms hint_ms);

/* Updates the estimate of KIND with an execution that occupied a connection
   for ELAPSED_MS.  */
void cost_observe (struct cost_table *table, struct cost_kind *kind,
                   clk_ms elapsed_ms);

#endif
