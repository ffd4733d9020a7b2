/* allowance_limit - what the owner of one part of a workspace's rate limit may
   grant, so that the limit holds in every window.

   In a window of W seconds no more operations may start than
   rate x W + burst + E, with E = overage x (rate x W + burst) + tolerance.
   See docs/design/082-rate-limits.md for the proof.  E is divided:

     4 x x     operations that the buckets of the parts hold above burst / 4
               each, at most 40% of E
     rate x V  operations granted before the window that start within it, V
               being the time for which a grant is valid
     rate x R  unused operations granted before the window that are returned
               within it, R being the time for which they are taken back
     10%       margin: times are rounded to milliseconds

   Nothing is left for the overlap of owners; a new owner waits.  If E is too
   small for the shortest useful V and R, the parts grant at a lower rate.  */

#ifndef SAVORYWAY_PROXY_ALLOWANCE_LIMIT_H
#define SAVORYWAY_PROXY_ALLOWANCE_LIMIT_H

#include <stdint.h>

#include "kernel/clock.h"

#define ALLOWANCE_PARTS 4

/* Limits of V.  A shorter grant would end during the exchange between two
   areas; a longer one saves few messages, and keeps operations from other
   hosts.  */
#define ALLOWANCE_VALID_MIN_MS 50
#define ALLOWANCE_VALID_MAX_MS 250

/* Settings that all hosts of a deployment have in common.  */
struct allowance_bounds
{
  clk_ms window_ms;
  uint32_t overage; /* in thousandths */
  uint32_t tolerance;
};

/* Bucket of one part.  */
struct allowance_limit
{
  double per_ms; /* operations added */
  double depth;  /* most operations that it holds, at least 1 */
  clk_ms valid_ms;
  clk_ms return_ms;
};

/* Sets LIMIT for a workspace of RATE_PER_S, not 0, and BURST.  */
void allowance_limit_set (struct allowance_limit *limit,
                          const struct allowance_bounds *bounds,
                          uint32_t rate_per_s, uint32_t burst);

#endif
