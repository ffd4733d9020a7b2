#include "core/retry_budget.h"

#define RETRY_COST_PERCENT ((int64_t)100)
#define BACKOFF_MAX_SHIFT 10

void
retry_budget_init (struct retry_budget *budget)
{
  budget->percent = RETRY_BURST * RETRY_COST_PERCENT;
}

void
retry_budget_deposit (struct retry_budget *budget)
{
  budget->percent += RETRY_SHARE_PERCENT;
  if (budget->percent > RETRY_BURST * RETRY_COST_PERCENT)
    budget->percent = RETRY_BURST * RETRY_COST_PERCENT;
}

bool
retry_budget_withdraw (struct retry_budget *budget)
{
  if (budget->percent < RETRY_COST_PERCENT)
    return false;
  budget->percent -= RETRY_COST_PERCENT;
  return true;
}

clk_ms
retry_delay (struct rng *rng, uint32_t attempt)
{
  uint32_t shift = attempt < BACKOFF_MAX_SHIFT ? attempt : BACKOFF_MAX_SHIFT;
  clk_ms limit_ms = (clk_ms)RETRY_BASE_MS << shift;
  if (limit_ms > RETRY_CAP_MS)
    limit_ms = RETRY_CAP_MS;
  return (clk_ms)rng_below (rng, (uint64_t)limit_ms + 1);
}
