/* clock - the project's one type for time.

   clk_ms holds a point in time or a span, in milliseconds.  Points come from
   a monotonic clock whose origin is arbitrary: compare them only within one
   process.  Spans cross hosts (a deadline travels as the time remaining).  */

#ifndef SAVORYWAY_KERNEL_CLOCK_H
#define SAVORYWAY_KERNEL_CLOCK_H

#include <stdint.h>

typedef int64_t clk_ms;

#define CLK_NEVER INT64_MAX

/* A point before all others, from which spans can be taken.  */
#define CLK_LONG_AGO (INT64_MIN / 4)

struct clk;

struct clk_ops
{
  clk_ms (*now) (struct clk *clk);
};

/* A source of time; implementations embed it as their first member.  */
struct clk
{
  const struct clk_ops *ops;
};

static inline clk_ms
clk_now (struct clk *clk)
{
  return clk->ops->now (clk);
}

/* Clock whose time is set by its owner: tests, fuzzing, measurement.  */
struct clk_virtual
{
  struct clk base;
  clk_ms now_ms;
};

void clk_virtual_init (struct clk_virtual *clk, clk_ms start_ms);

#endif
