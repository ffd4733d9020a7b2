/* event_loop - joins libevent's loop and the kernel's timers.  */

#ifndef SAVORYWAY_CLI_EVENT_LOOP_H
#define SAVORYWAY_CLI_EVENT_LOOP_H

#include <event2/event.h>

#include "kernel/kernel.h"

/* Makes CLK a clock that also counts the time in which the machine was
   suspended: leases and ages go on then.  */
void event_loop_clock_init (struct clk *clk);

/* Returns a timer for event_loop_run_once.  */
struct event *event_loop_timer_new (struct event_base *base);

/* Waits for events or the kernel's next due time, whichever is first.  */
void event_loop_run_once (struct event_base *base, struct event *timer,
                          struct kernel *kernel);

/* Lets the process have as many descriptors as its hard limit allows.  */
void event_loop_raise_fd_limit (void);

#endif
