#include "proxy/allowance_limit.h"

#define MS_PER_S 1000.0

/* Operations that a bucket holds above its share of the burst.  With one more
   in each of four buckets, the sum of the whole operations that they hold is
   never below what a single bucket would hold; the second covers buckets that
   are not drained evenly.  */
#define EXTRA_OPERATIONS 2.0
/* Divides E: 4 x E / 10 at most.  */
#define EXTRA_DIVISOR 10.0
/* Part of E that is used.  */
#define USED_PART 0.9
/* Part of what is left for times that V gets; R is longer by a half.  */
#define VALID_PART 0.4

static clk_ms
clamp_valid_ms (double valid_ms)
{
  if (valid_ms < ALLOWANCE_VALID_MIN_MS)
    return ALLOWANCE_VALID_MIN_MS;
  if (valid_ms > ALLOWANCE_VALID_MAX_MS)
    return ALLOWANCE_VALID_MAX_MS;
  return (clk_ms)valid_ms;
}

void
allowance_limit_set (struct allowance_limit *limit,
                     const struct allowance_bounds *bounds,
                     uint32_t rate_per_s, uint32_t burst)
{
  double window_ms = (double)bounds->window_ms;
  double per_ms = rate_per_s / MS_PER_S;
  double excess = bounds->overage / MS_PER_S * (per_ms * window_ms + burst)
                  + bounds->tolerance;
  double extra = excess / EXTRA_DIVISOR;
  if (extra > EXTRA_OPERATIONS)
    extra = EXTRA_OPERATIONS;
  limit->depth = (double)burst / ALLOWANCE_PARTS + extra;
  if (limit->depth < 1)
    limit->depth = 1;
  double spare
      = USED_PART * excess - (limit->depth * ALLOWANCE_PARTS - (double)burst);
  if (spare < 0)
    spare = 0;
  limit->valid_ms = clamp_valid_ms (VALID_PART * spare / per_ms);
  limit->return_ms = limit->valid_ms + limit->valid_ms / 2;
  double late_ms = (double)(limit->valid_ms + limit->return_ms);
  limit->per_ms = per_ms / ALLOWANCE_PARTS;
  if (per_ms * late_ms > spare)
    limit->per_ms
        *= (per_ms * window_ms + spare) / (per_ms * (window_ms + late_ms));
}
