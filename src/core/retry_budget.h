/* retry_budget - limits retries to a share of fresh traffic.

   Each fresh request adds a part of a retry to the budget, up to a burst;
   each retry takes one.  So retries cannot multiply an overload.  */

#ifndef SAVORYWAY_CORE_RETRY_BUDGET_H
#define SAVORYWAY_CORE_RETRY_BUDGET_H

#include <stdbool.h>

#include "kernel/clock.h"
#include "kernel/rng.h"

#define RETRY_SHARE_PERCENT 10
#define RETRY_BURST 10
#define RETRY_BASE_MS 5
#define RETRY_CAP_MS 500

struct retry_budget
{
  int64_t percent; /* of one retry */
};

void retry_budget_init (struct retry_budget *budget);

/* Notes a fresh request.  */
void retry_budget_deposit (struct retry_budget *budget);

/* Takes one retry; false if there is none left.  */
bool retry_budget_withdraw (struct retry_budget *budget);

/* Returns the delay before retry number ATTEMPT, from 0: uniform between 0
   and an exponentially growing limit (full jitter).  */
clk_ms retry_delay (struct rng *rng, uint32_t attempt);

#endif
