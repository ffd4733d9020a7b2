#include "kernel/kernel.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

struct deferred
{
  struct deferred *next;
  void (*fn) (void *);
  void *arg;
};

struct kernel
{
  struct clk *clk;
  struct rng *rng;
  struct log *log;
  struct metrics *metrics;
  struct module **modules;
  size_t module_count;
  struct ktimer **heap;
  size_t heap_count;
  size_t heap_size;
  uint64_t next_seq;
  struct deferred *head;
  struct deferred **tail;
  size_t deferred_count;
};

struct kernel *
kernel_new (struct clk *clk, struct rng *rng, struct log *log)
{
  struct kernel *kernel = mem_zalloc (sizeof *kernel);
  kernel->clk = clk;
  kernel->rng = rng;
  kernel->log = log;
  kernel->metrics = metrics_new ();
  kernel->tail = &kernel->head;
  return kernel;
}

void
kernel_free (struct kernel *kernel)
{
  if (kernel == NULL)
    return;
  while (kernel->module_count > 0)
    {
      struct module *module = kernel->modules[--kernel->module_count];
      module->ops->free (module);
    }
  while (kernel->head != NULL)
    {
      struct deferred *d = kernel->head;
      kernel->head = d->next;
      free (d);
    }
  metrics_free (kernel->metrics);
  free (kernel->modules);
  free (kernel->heap);
  free (kernel);
}

void
kernel_register (struct kernel *kernel, struct module *module)
{
  size_t count = kernel->module_count + 1;
  kernel->modules
      = mem_resize (kernel->modules, count * sizeof *kernel->modules);
  kernel->modules[kernel->module_count] = module;
  kernel->module_count = count;
  module->kernel = kernel;
}

struct module *
kernel_find (struct kernel *kernel, const char *name)
{
  for (size_t i = 0; i < kernel->module_count; i++)
    if (strcmp (kernel->modules[i]->name, name) == 0)
      return kernel->modules[i];
  return NULL;
}

void
kernel_start (struct kernel *kernel)
{
  for (size_t i = 0; i < kernel->module_count; i++)
    {
      struct module *module = kernel->modules[i];
      if (module->ops->start != NULL)
        module->ops->start (module);
    }
}

clk_ms
kernel_now (struct kernel *kernel)
{
  return clk_now (kernel->clk);
}

struct rng *
kernel_rng (struct kernel *kernel)
{
  return kernel->rng;
}

struct log *
kernel_log (struct kernel *kernel)
{
  return kernel->log;
}

struct metrics *
kernel_metrics (struct kernel *kernel)
{
  return kernel->metrics;
}

static int
timer_before (const struct ktimer *a, const struct ktimer *b)
{
  if (a->due_ms != b->due_ms)
    return a->due_ms < b->due_ms;
  return a->seq < b->seq;
}

static void
heap_place (struct kernel *kernel, size_t i, struct ktimer *timer)
{
  kernel->heap[i] = timer;
  timer->slot = i + 1;
}

static void
heap_up (struct kernel *kernel, size_t i)
{
  struct ktimer *timer = kernel->heap[i];
  while (i > 0)
    {
      size_t parent = (i - 1) / 2;
      if (!timer_before (timer, kernel->heap[parent]))
        break;
      heap_place (kernel, i, kernel->heap[parent]);
      i = parent;
    }
  heap_place (kernel, i, timer);
}

static void
heap_down (struct kernel *kernel, size_t i)
{
  struct ktimer *timer = kernel->heap[i];
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= kernel->heap_count)
        break;
      if (child + 1 < kernel->heap_count
          && timer_before (kernel->heap[child + 1], kernel->heap[child]))
        child++;
      if (!timer_before (kernel->heap[child], timer))
        break;
      heap_place (kernel, i, kernel->heap[child]);
      i = child;
    }
  heap_place (kernel, i, timer);
}

void
kernel_timer_cancel (struct kernel *kernel, struct ktimer *timer)
{
  if (timer->slot == 0)
    return;
  size_t i = timer->slot - 1;
  timer->slot = 0;
  struct ktimer *last = kernel->heap[--kernel->heap_count];
  if (last == timer)
    return;
  heap_place (kernel, i, last);
  heap_up (kernel, i);
  heap_down (kernel, last->slot - 1);
}

void
kernel_timer_set (struct kernel *kernel, struct ktimer *timer, clk_ms due_ms)
{
  kernel_timer_cancel (kernel, timer);
  if (kernel->heap_count == kernel->heap_size)
    {
      kernel->heap_size = kernel->heap_size ? 2 * kernel->heap_size : 64;
      kernel->heap = mem_resize (kernel->heap,
                                 kernel->heap_size * sizeof *kernel->heap);
    }
  timer->due_ms = due_ms;
  timer->seq = kernel->next_seq++;
  heap_place (kernel, kernel->heap_count, timer);
  heap_up (kernel, kernel->heap_count++);
}

void
kernel_defer (struct kernel *kernel, void (*fn) (void *), void *arg)
{
  struct deferred *d = mem_zalloc (sizeof *d);
  d->fn = fn;
  d->arg = arg;
  *kernel->tail = d;
  kernel->tail = &d->next;
  kernel->deferred_count++;
}

clk_ms
kernel_next_due (struct kernel *kernel)
{
  if (kernel->head != NULL)
    return kernel_now (kernel);
  if (kernel->heap_count == 0)
    return CLK_NEVER;
  return kernel->heap[0]->due_ms;
}

static void
run_deferred (struct kernel *kernel)
{
  while (kernel->head != NULL)
    {
      struct deferred *d = kernel->head;
      kernel->head = d->next;
      if (kernel->head == NULL)
        kernel->tail = &kernel->head;
      kernel->deferred_count--;
      void (*fn) (void *) = d->fn;
      void *arg = d->arg;
      free (d);
      fn (arg);
    }
}

void
kernel_run_due (struct kernel *kernel)
{
  clk_ms now_ms = kernel_now (kernel);
  run_deferred (kernel);
  while (kernel->heap_count > 0 && kernel->heap[0]->due_ms <= now_ms)
    {
      struct ktimer *timer = kernel->heap[0];
      kernel_timer_cancel (kernel, timer);
      timer->fire (timer->arg);
      run_deferred (kernel);
    }
}

size_t
kernel_pending (struct kernel *kernel)
{
  return kernel->heap_count + kernel->deferred_count;
}
