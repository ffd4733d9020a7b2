#include "core/retry_budget.h"

#define ONE_RETRY ((int64_t)100)
#define MAX_SHIFT 10

void
retry_budget_init (struct retry_budget *budget)
{
  budget->percent = RETRY_BURST * ONE_RETRY;
}

void
retry_budget_deposit (struct retry_budget *budget)
{
  budget->percent += RETRY_SHARE_PERCENT;
  if (budget->percent > RETRY_BURST * ONE_RETRY)
    budget->percent = RETRY_BURST * ONE_RETRY;
}

bool
retry_budget_withdraw (struct retry_budget *budget)
{
  if (budget->percent < ONE_RETRY)
    return false;
  budget->percent -= ONE_RETRY;
  return true;
}

clk_ms
retry_delay (struct rng *rng, uint32_t attempt)
{
  uint32_t shift = attempt < MAX_SHIFT ? attempt : MAX_SHIFT;
  clk_ms limit_ms = (clk_ms)RETRY_BASE_MS << shift;
  if (limit_ms > RETRY_CAP_MS)
    limit_ms = RETRY_CAP_MS;
  return (clk_ms)rng_below (rng, (uint64_t)limit_ms + 1);
}
