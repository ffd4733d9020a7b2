/* kernel - module registry, timers and deferred calls on one thread.

   A kernel owns the modules of one host.  Modules are registered under a name
   and look each other up with kernel_find.  The kernel makes no system calls:
   time comes from the clock given to kernel_new, and the owner's event loop
   calls kernel_run_due at the time that kernel_next_due returns.  Tests and
   simulations drive it with a virtual clock.  */

#ifndef SAVORYWAY_KERNEL_KERNEL_H
#define SAVORYWAY_KERNEL_KERNEL_H

#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/rng.h"

struct kernel;
struct module;

struct module_ops
{
  /* Called once by kernel_start, in order of registration.  May be NULL.  */
  void (*start) (struct module *module);
  /* Releases the module; called in reverse order by kernel_free.  */
  void (*free) (struct module *module);
};

/* Base of all modules.  Implementations embed it as their first member.  */
struct module
{
  const struct module_ops *ops;
  const char *name;
  struct kernel *kernel;
};

/* A timer owned by a module.  Zero-initialise, then set fire and arg.  */
struct ktimer
{
  void (*fire) (void *arg);
  void *arg;
  clk_ms due_ms;
  uint64_t seq;
  size_t slot; /* index in the heap plus one; 0 while not armed */
};

/* Returns a kernel that uses CLK, RNG and LOG, which must outlive it.  Never
   fails: the process ends when memory is exhausted.  */
struct kernel *kernel_new (struct clk *clk, struct rng *rng, struct log *log);

/* Frees all modules in reverse order of registration, then the kernel.  */
void kernel_free (struct kernel *kernel);

/* Adds MODULE; its name must be set and unique.  */
void kernel_register (struct kernel *kernel, struct module *module);

/* Returns the module named NAME, or NULL.  */
struct module *kernel_find (struct kernel *kernel, const char *name);

/* Starts all modules in order of registration.  */
void kernel_start (struct kernel *kernel);

clk_ms kernel_now (struct kernel *kernel);
struct rng *kernel_rng (struct kernel *kernel);
struct log *kernel_log (struct kernel *kernel);
struct metrics *kernel_metrics (struct kernel *kernel);

/* Arms TIMER to fire once at DUE_MS, replacing an earlier due time.  */
void kernel_timer_set (struct kernel *kernel, struct ktimer *timer,
                       clk_ms due_ms);

/* Disarms TIMER; does nothing if it is not armed.  */
void kernel_timer_cancel (struct kernel *kernel, struct ktimer *timer);

/* Calls FN (ARG) from the next kernel_run_due, never from within this
   call.  */
void kernel_defer (struct kernel *kernel, void (*fn) (void *), void *arg);

/* Returns the time at which kernel_run_due next has work; CLK_NEVER if there
   is none.  */
clk_ms kernel_next_due (struct kernel *kernel);

/* Runs deferred calls and all timers due by now.  Timers due at the same
   time fire in the order in which they were armed.  */
void kernel_run_due (struct kernel *kernel);

/* Returns the number of armed timers and deferred calls.  */
size_t kernel_pending (struct kernel *kernel);

#endif
