/* sim_instance - simulated database groups in virtual time, behind db_port.

   A group is one database: a primary and the replicas that follow it.  Each
   instance has a log of committed entries, a number of slots that execute
   jobs in the order of their arrival, and a limit on connections.  Tests can
   cut, pause, kill and slow down instances.  All instances run on one kernel,
   which shares its clock with the kernels of the hosts under test.

   A position (LSN) of the log is the number of entries up to it.

   Statements are "put KEY VALUE [COST_MS]" and "get KEY [COST_MS]"; others,
   such as "fail", return an SQL error.  A word $N stands for parameter N.  A
   put returns {"lsn": N}, or {} in a transaction; a get returns {"value":
   "V"} or {"value": null}.  */

#ifndef SAVORYWAY_FUZZ_SIM_INSTANCE_H
#define SAVORYWAY_FUZZ_SIM_INSTANCE_H

#include "kernel/kernel.h"
#include "port/db_port.h"

struct sim_world;
struct sim_group;
struct sim_instance;

/* Creates a world without groups.  All its events run on KERNEL.  */
struct sim_world *sim_world_new (struct kernel *kernel);
void sim_world_free (struct sim_world *world);

/* Sets the one-way delay of messages within a failure domain and between two
   domains.  The defaults are 0 and 1 ms.  */
void sim_world_set_delay (struct sim_world *world, clk_ms local_ms,
                          clk_ms remote_ms);

/* Cuts or heals the network between two failure domains.  */
void sim_world_cut (struct sim_world *world, const char *a, const char *b,
                    bool cut);
bool sim_world_reachable (const struct sim_world *world, const char *a,
                          const char *b);

/* Options of an instance.  ADDRESS and DOMAIN are copied.  */
struct sim_instance_options
{
  const char *address;
  uint16_t port;
  const char *domain;
  uint32_t slots;       /* jobs executed at the same time */
  uint32_t connections; /* limit; more are refused */
  clk_ms connect_ms;
  clk_ms cost_ms; /* of a statement without COST_MS */
  clk_ms lag_ms;  /* from commit on the primary to replay */
};

/* Adds a group without instances.  */
struct sim_group *sim_group_new (struct sim_world *world);

/* Adds an instance to GROUP.  The first one is the primary of term 1, the
   others follow it.  */
struct sim_instance *sim_instance_new (struct sim_group *group,
                                       const struct sim_instance_options *o);

/* Returns a new db_port for a host in DOMAIN.  */
struct db_port *sim_port_new (struct sim_world *world, const char *domain);
void sim_port_free (struct db_port *port);

/* Faults.  An isolated instance is cut from all hosts and instances.  A frozen
   one is paused and later continues in its state.  A killed one loses its
   connections and jobs but keeps its log.  */
void sim_instance_isolate (struct sim_instance *instance, bool isolated);
void sim_instance_freeze (struct sim_instance *instance, bool frozen);
void sim_instance_kill (struct sim_instance *instance);
void sim_instance_restart (struct sim_instance *instance);
/* Multiplies the cost of all statements by FACTOR.  */
void sim_instance_set_slowdown (struct sim_instance *instance,
                                uint32_t factor);
void sim_instance_set_lag (struct sim_instance *instance, clk_ms lag_ms);
/* Lets the connection break in place of each of the next COUNT results.  The
   jobs still take effect.  */
void sim_instance_lose_answers (struct sim_instance *instance, uint32_t count);

/* Promotes TO as a coordinator does: seals (fences off older terms on) all
   reachable instances, promotes TO at TERM and lets the others follow it.
   Returns the position at which the new term starts.  */
uint64_t sim_group_promote (struct sim_group *group, struct sim_instance *to,
                            uint64_t term);

/* Lets INSTANCE follow TO, the primary of TERM, if INSTANCE is reachable.  */
void sim_instance_follow (struct sim_instance *instance,
                          struct sim_instance *to, uint64_t term);

/* State and counters, for checks.  sim_instance_get returns the value of KEY
   in the whole log, or NULL.  */
struct db_report sim_instance_report (struct sim_instance *instance);
const char *sim_instance_get (struct sim_instance *instance, const char *key);
/* Return how many entries of the log put KEY, or carry REQUEST_ID.  */
uint32_t sim_instance_count_puts (struct sim_instance *instance,
                                  const char *key);
uint32_t sim_instance_count_requests (struct sim_instance *instance,
                                      const char *request_id);
/* Connections: open now, the most open and the most opening at one time; the
   most jobs executed at one time; jobs completed; connections refused.  */
uint32_t sim_instance_open_count (const struct sim_instance *instance);
uint32_t sim_instance_open_peak (const struct sim_instance *instance);
uint32_t sim_instance_opening_peak (const struct sim_instance *instance);
uint32_t sim_instance_running_peak (const struct sim_instance *instance);
uint64_t sim_instance_served (const struct sim_instance *instance);
uint64_t sim_instance_refused (const struct sim_instance *instance);

#endif
