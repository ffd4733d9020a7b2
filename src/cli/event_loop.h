/* event_loop - runs the kernel's timers on an event loop of libevent.

   The time of a timer counts from when it is set.  libevent's default is the
   time at which the loop woke up last, so that a timer that is set after long
   work in the same iteration fires that much too early.  */

#ifndef SAVORYWAY_CLI_EVENT_LOOP_H
#define SAVORYWAY_CLI_EVENT_LOOP_H

#include <event2/event.h>

#include "kernel/kernel.h"

/* Initialises CLK as a monotonic clock that includes time in which the machine
   is suspended, since leases expire and samples age during that too.  */
void event_loop_clock_init (struct clk *clk);

/* Returns NULL if that fails.  */
struct event_base *event_loop_base_new (void);

/* Returns a timer for event_loop_run_once, to be freed with event_free.  */
struct event *event_loop_timer_new (struct event_base *base);

/* Waits for an event or the kernel's next due time, whichever is first, and
   runs the callbacks that are due.  */
void event_loop_run_once (struct event_base *base, struct event *timer,
                          struct kernel *kernel);

/* Raises the limit of open file descriptors to the hard limit.  */
void event_loop_raise_fd_limit (void);

#endif
