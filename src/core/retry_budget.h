/* retry_budget - limits retries to a share of new requests.

   Each new request adds RETRY_SHARE_PERCENT of a retry to the budget, up to
   RETRY_BURST retries; each retry takes a whole one.  This keeps retries from
   multiplying an overload.  */

#ifndef SAVORYWAY_CORE_RETRY_BUDGET_H
#define SAVORYWAY_CORE_RETRY_BUDGET_H

#include <stdbool.h>

#include "kernel/clock.h"
#include "kernel/rng.h"

#define RETRY_SHARE_PERCENT 10
#define RETRY_BURST 10 /* retries */

/* Upper bounds of the delay before the first retry and before any retry.  */
#define RETRY_BASE_MS 5
#define RETRY_CAP_MS 500

struct retry_budget
{
  int64_t percent; /* available; 100 for one retry */
};

/* Starts BUDGET with RETRY_BURST retries.  */
void retry_budget_init (struct retry_budget *budget);

/* Adds the share of one new request.  */
void retry_budget_deposit (struct retry_budget *budget);

/* Takes one retry from the budget.  Returns false if less than one is
   left.  */
bool retry_budget_withdraw (struct retry_budget *budget);

/* Returns the delay before retry ATTEMPT, counted from 0: exponential backoff
   with full jitter, uniform from 0 to RETRY_BASE_MS << ATTEMPT, and at most
   RETRY_CAP_MS.  */
clk_ms retry_delay (struct rng *rng, uint32_t attempt);

#endif
