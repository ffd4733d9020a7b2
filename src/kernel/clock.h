/* clock - time in milliseconds, and the clocks that provide it.

   clk_ms holds a point in time or a duration.  Points come from a monotonic
   clock whose origin is arbitrary: compare them only within one process.
   Only durations are sent to other hosts; a deadline is sent as the time
   remaining.  */

#ifndef SAVORYWAY_KERNEL_CLOCK_H
#define SAVORYWAY_KERNEL_CLOCK_H

#include <stdint.h>

typedef int64_t clk_ms;

/* A point after all others: no timeout, nothing due.  */
#define CLK_NEVER INT64_MAX

/* A point before all others.  The time from it to any point that a clock
   returns does not overflow; that to CLK_NEVER does.  */
#define CLK_LONG_AGO (INT64_MIN / 4)

struct clk;

struct clk_ops
{
  clk_ms (*now) (struct clk *clk);
};

/* Base of all clocks.  Implementations embed it as their first member.  */
struct clk
{
  const struct clk_ops *ops;
};

static inline clk_ms
clk_now (struct clk *clk)
{
  return clk->ops->now (clk);
}

/* A clock whose time is set by its owner, for tests and simulations.  */
struct clk_virtual
{
  struct clk base;
  clk_ms now_ms;
};

void clk_virtual_init (struct clk_virtual *clk, clk_ms start_ms);

#endif
