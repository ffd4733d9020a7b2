#include "kernel/clock.h"

static clk_ms
virtual_now (struct clk *clk)
{
  return ((struct clk_virtual *)clk)->now_ms;
}

static const struct clk_ops virtual_ops = { .now = virtual_now };

void
clk_virtual_init (struct clk_virtual *clk, clk_ms start_ms)
{
  *clk = (struct clk_virtual){ .base.ops = &virtual_ops, .now_ms = start_ms };
}
