/* sim_core - simulated hosts in virtual time: clocks, pauses and delivery of
   events.

   The simulated network, platform and database instances schedule their
   events on one kernel, the world, whose clock is virtual.  Each host has its
   own kernel and a clock that may run at another rate.  Events for a host go
   through its inbox, which is processed only while the host runs: a paused
   host gets them after the pause, a dead host drops them.  The same seed and
   the same calls give the same run.  */

#ifndef SAVORYWAY_TESTS_SIM_CORE_H
#define SAVORYWAY_TESTS_SIM_CORE_H

#include <stdbool.h>

#include "kernel/kernel.h"

#define SIM_HOSTS 5
/* Rate of a clock that runs at the speed of the world's clock.  */
#define SIM_RATE_UNIT 1000

struct sim_host;

/* An event for a host.  RUN is called at most once; DROP is called always,
   last, and frees the event.  */
struct sim_event
{
  struct sim_event *next;
  void (*run) (struct sim_event *event);
  void (*drop) (struct sim_event *event);
};

struct sim_clk
{
  struct clk base;
  struct clk *world;
  int64_t rate; /* in units of 1 / SIM_RATE_UNIT */
};

struct sim_host
{
  size_t index;
  struct sim_clk clk;
  struct rng rng;
  struct log *log;
  bool alive;
  bool paused;
  struct sim_event *inbox;
  struct sim_event **inbox_tail;
  /* The host's kernel; NULL while dead.  */
  struct kernel *kernel;
};

struct sim
{
  struct clk_virtual clk;
  struct rng rng;
  struct kernel *world;
  struct sim_delayed *delayed; /* events not yet due */
  size_t host_count;
  struct sim_host hosts[SIM_HOSTS];
  /* cut[a][b]: messages from host a to host b are lost.  */
  bool cut[SIM_HOSTS][SIM_HOSTS];
};

/* Sets up HOST_COUNT hosts, none alive.  SEED determines all random numbers.
   With SIM_VERBOSE in the environment the hosts' logs are printed.  */
void sim_init (struct sim *sim, uint64_t seed, size_t host_count);
void sim_clear (struct sim *sim);

/* Adds EVENT to the inbox of HOST, or drops it if the host is dead.  Takes
   ownership of EVENT.  */
void sim_post (struct sim_host *host, struct sim_event *event);

/* Drops all events in the inbox of HOST.  */
void sim_drop_inbox (struct sim_host *host);

/* Runs EVENT on the world's kernel after DELAY_MS, or, if HOST is not NULL,
   posts it to HOST then.  Takes ownership of EVENT.  */
void sim_schedule (struct sim *sim, struct sim_host *host, clk_ms delay_ms,
                   struct sim_event *event);

/* Returns a random delay in [MIN_MS, MAX_MS].  */
clk_ms sim_delay (struct sim *sim, clk_ms min_ms, clk_ms max_ms);

/* Advances the clock by SPAN_MS and runs all events and timers due until
   then.  Aborts on a livelock.  */
void sim_run (struct sim *sim, clk_ms span_ms);

#endif
