#include "sim_core.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

/* Rounds at one point in time after which a run counts as livelocked.  */
#define ROUNDS_LIMIT 100000

/* An event that is not yet due.  */
struct sim_delayed
{
  struct sim_delayed *prev;
  struct sim_delayed *next;
  struct ktimer timer;
  struct sim *sim;
  struct sim_host *host; /* NULL: the event runs on the world's kernel */
  struct sim_event *event;
};

static clk_ms
host_now (struct clk *clk)
{
  struct sim_clk *self = (struct sim_clk *)clk;
  return clk_now (self->world) * self->rate / SIM_RATE_UNIT;
}

static const struct clk_ops host_clk_ops = { .now = host_now };

static void
discard_line (void *arg, int priority, const char *line)
{
  (void)arg;
  (void)priority;
  (void)line;
}

static void
print_line (void *arg, int priority, const char *line)
{
  struct sim_host *host = arg;
  (void)priority;
  printf ("  [%lld] host %zu: %s\n", (long long)clk_now (&host->clk.base),
          host->index, line);
}

static void
host_init (struct sim *sim, size_t index, uint64_t seed)
{
  struct sim_host *host = &sim->hosts[index];
  bool verbose = getenv ("SIM_VERBOSE") != NULL;
  host->index = index;
  host->clk = (struct sim_clk){ .base.ops = &host_clk_ops,
                                .world = &sim->clk.base,
                                .rate = SIM_RATE_UNIT };
  rng_init (&host->rng, seed * SIM_HOSTS + index + 1);
  host->log = log_new (&host->clk.base, verbose ? LOG_DEBUG : LOG_EMERG, 0,
                       verbose ? print_line : discard_line, host);
  host->inbox_tail = &host->inbox;
}

void
sim_init (struct sim *sim, uint64_t seed, size_t host_count)
{
  memset (sim, 0, sizeof *sim);
  clk_virtual_init (&sim->clk, 1000000);
  rng_init (&sim->rng, seed);
  sim->world = kernel_new (&sim->clk.base, &sim->rng, NULL);
  sim->host_count = host_count;
  for (size_t i = 0; i < host_count; i++)
    host_init (sim, i, seed);
}

static void
unlink_delayed (struct sim_delayed *delayed)
{
  struct sim *sim = delayed->sim;
  if (delayed->prev != NULL)
    delayed->prev->next = delayed->next;
  else
    sim->delayed = delayed->next;
  if (delayed->next != NULL)
    delayed->next->prev = delayed->prev;
}

void
sim_clear (struct sim *sim)
{
  for (size_t i = 0; i < sim->host_count; i++)
    {
      sim_drop_inbox (&sim->hosts[i]);
      log_free (sim->hosts[i].log);
    }
  while (sim->delayed != NULL)
    {
      struct sim_delayed *delayed = sim->delayed;
      unlink_delayed (delayed);
      delayed->event->drop (delayed->event);
      free (delayed);
    }
  kernel_free (sim->world);
}

void
sim_post (struct sim_host *host, struct sim_event *event)
{
  event->next = NULL;
  if (!host->alive)
    {
      event->drop (event);
      return;
    }
  *host->inbox_tail = event;
  host->inbox_tail = &event->next;
}

static struct sim_event *
pop_event (struct sim_host *host)
{
  struct sim_event *event = host->inbox;
  host->inbox = event->next;
  if (host->inbox == NULL)
    host->inbox_tail = &host->inbox;
  return event;
}

void
sim_drop_inbox (struct sim_host *host)
{
  while (host->inbox != NULL)
    {
      struct sim_event *event = pop_event (host);
      event->drop (event);
    }
}

static void
run_delayed (void *arg)
{
  struct sim_delayed *delayed = arg;
  struct sim_event *event = delayed->event;
  struct sim_host *host = delayed->host;
  unlink_delayed (delayed);
  free (delayed);
  if (host != NULL)
    {
      sim_post (host, event);
      return;
    }
  event->run (event);
  event->drop (event);
}

void
sim_schedule (struct sim *sim, struct sim_host *host, clk_ms delay_ms,
              struct sim_event *event)
{
  struct sim_delayed *delayed = mem_zalloc (sizeof *delayed);
  delayed->timer.fire = run_delayed;
  delayed->timer.arg = delayed;
  delayed->sim = sim;
  delayed->host = host;
  delayed->event = event;
  delayed->next = sim->delayed;
  if (delayed->next != NULL)
    delayed->next->prev = delayed;
  sim->delayed = delayed;
  kernel_timer_set (sim->world, &delayed->timer, sim->clk.now_ms + delay_ms);
}

clk_ms
sim_delay (struct sim *sim, clk_ms min_ms, clk_ms max_ms)
{
  uint64_t span = (uint64_t)(max_ms - min_ms + 1);
  return min_ms + (clk_ms)rng_below (&sim->rng, span);
}

/* Returns the world time at which the host's clock reaches DUE_MS.  */
static clk_ms
world_time (const struct sim_host *host, clk_ms due_ms)
{
  if (due_ms == CLK_NEVER)
    return CLK_NEVER;
  return (due_ms * SIM_RATE_UNIT + host->clk.rate - 1) / host->clk.rate;
}

static bool
is_running (const struct sim_host *host)
{
  return host->alive && !host->paused && host->kernel != NULL;
}

static clk_ms
next_due (struct sim *sim)
{
  clk_ms due_ms = kernel_next_due (sim->world);
  for (size_t i = 0; i < sim->host_count; i++)
    {
      struct sim_host *host = &sim->hosts[i];
      if (!is_running (host))
        continue;
      clk_ms host_ms = world_time (host, kernel_next_due (host->kernel));
      if (host->inbox != NULL)
        host_ms = sim->clk.now_ms;
      if (host_ms < due_ms)
        due_ms = host_ms;
    }
  return due_ms;
}

static void
run_host (struct sim_host *host)
{
  while (is_running (host) && host->inbox != NULL)
    {
      struct sim_event *event = pop_event (host);
      event->run (event);
      event->drop (event);
    }
  if (is_running (host))
    kernel_run_due (host->kernel);
}

void
sim_run (struct sim *sim, clk_ms span_ms)
{
  clk_ms end_ms = sim->clk.now_ms + span_ms;
  uint32_t rounds = 0;
  for (;;)
    {
      clk_ms due_ms = next_due (sim);
      if (due_ms > end_ms)
        break;
      if (due_ms > sim->clk.now_ms)
        {
          sim->clk.now_ms = due_ms;
          rounds = 0;
        }
      if (++rounds > ROUNDS_LIMIT)
        {
          fprintf (stderr, "livelock: time does not advance at %lld ms\n",
                   (long long)sim->clk.now_ms);
          abort ();
        }
      kernel_run_due (sim->world);
      for (size_t i = 0; i < sim->host_count; i++)
        run_host (&sim->hosts[i]);
    }
  sim->clk.now_ms = end_ms;
}
