#include "cli/event_loop.h"

#include <time.h>

#include <sys/resource.h>

static clk_ms
boottime_now (struct clk *clk)
{
  struct timespec now;
  (void)clk;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (clk_ms)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static const struct clk_ops boottime_ops = { .now = boottime_now };

void
event_loop_clock_init (struct clk *clk)
{
  clk->ops = &boottime_ops;
}

struct event_base *
event_loop_base_new (void)
{
  struct event_config *config = event_config_new ();
  struct event_base *base = NULL;
  if (config != NULL
      && event_config_set_flag (config, EVENT_BASE_FLAG_NO_CACHE_TIME) == 0)
    base = event_base_new_with_config (config);
  if (config != NULL)
    event_config_free (config);
  return base;
}

/* Does nothing; the timer only wakes the loop.  */
static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
}

struct event *
event_loop_timer_new (struct event_base *base)
{
  return evtimer_new (base, on_timer, NULL);
}

void
event_loop_run_once (struct event_base *base, struct event *timer,
                     struct kernel *kernel)
{
  int flags = EVLOOP_ONCE;
  clk_ms due_ms = kernel_next_due (kernel);
  clk_ms now_ms = kernel_now (kernel);
  if (due_ms <= now_ms)
    flags = EVLOOP_NONBLOCK;
  else if (due_ms != CLK_NEVER)
    {
      struct timeval span = { .tv_sec = (due_ms - now_ms) / 1000,
                              .tv_usec = (due_ms - now_ms) % 1000 * 1000 };
      evtimer_add (timer, &span);
    }
  event_base_loop (base, flags);
  kernel_run_due (kernel);
}

void
event_loop_raise_fd_limit (void)
{
  struct rlimit limit;
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}
