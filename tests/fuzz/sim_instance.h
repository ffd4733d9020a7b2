/* sim_instance - groups of database instances in virtual time, behind
   db_port.

   A group is one database: a primary and replicas that follow it, each with
   a log of committed entries, slots served first in first out, a limit on
   connections and faults.  All run on a kernel of their own, which shares
   its clock with the kernels of the hosts under test.

   Statements are "put KEY VALUE [COST_MS]", "get KEY [COST_MS]" and "fail";
   a word $N stands for parameter N.  A put answers {"lsn": N}, a get
   {"value": "V"} or {"value": null}.  */

#ifndef SAVORYWAY_FUZZ_SIM_INSTANCE_H
#define SAVORYWAY_FUZZ_SIM_INSTANCE_H

#include "kernel/kernel.h"
#include "port/db_port.h"

struct sim_world;
struct sim_group;
struct sim_instance;

struct sim_world *sim_world_new (struct kernel *kernel);
void sim_world_free (struct sim_world *world);

/* Time of a message one way, within a failure domain and between two.  */
void sim_world_set_delay (struct sim_world *world, clk_ms local_ms,
                          clk_ms remote_ms);

/* Cuts or heals the network between two failure domains.  */
void sim_world_cut (struct sim_world *world, const char *a, const char *b,
                    bool cut);
bool sim_world_reachable (const struct sim_world *world, const char *a,
                          const char *b);

struct sim_instance_options
{
  const char *address;
  uint16_t port;
  const char *domain;
  uint32_t slots;
  uint32_t connections;
  clk_ms connect_ms;
  clk_ms cost_ms; /* of a statement that names none */
  clk_ms lag_ms;  /* from received to replayed */
};

struct sim_group *sim_group_new (struct sim_world *world);

/* Adds an instance; the first is primary of term 1, others follow it.  */
struct sim_instance *sim_instance_new (struct sim_group *group,
                                       const struct sim_instance_options *o);

/* db_port of a host in DOMAIN.  */
struct db_port *sim_port_new (struct sim_world *world, const char *domain);
void sim_port_free (struct db_port *port);

/* Faults.  An isolated instance is cut from all; a frozen one is paused and
   goes on later with what it had; a killed one keeps its log.  */
void sim_instance_isolate (struct sim_instance *instance, bool isolated);
void sim_instance_freeze (struct sim_instance *instance, bool frozen);
void sim_instance_kill (struct sim_instance *instance);
void sim_instance_restart (struct sim_instance *instance);
void sim_instance_set_slowdown (struct sim_instance *instance,
                                uint32_t factor);
void sim_instance_set_lag (struct sim_instance *instance, clk_ms lag_ms);
/* The next COUNT results are computed, then their connections break.  */
void sim_instance_lose_answers (struct sim_instance *instance, uint32_t count);

/* Promotes by hand, as a coordinator would: seals all reachable instances,
   promotes TO at TERM, and lets the others follow it.  Returns the position
   at which the new term begins.  */
uint64_t sim_group_promote (struct sim_group *group, struct sim_instance *to,
                            uint64_t term);

/* Lets INSTANCE follow TO, the primary of TERM, if both can be reached.  */
void sim_instance_follow (struct sim_instance *instance,
                          struct sim_instance *to, uint64_t term);

/* What a test asks afterwards.  */
struct db_report sim_instance_report (struct sim_instance *instance);
const char *sim_instance_get (struct sim_instance *instance, const char *key);
/* How many entries of the log put KEY, and how many carry REQUEST_ID.  */
uint32_t sim_instance_count_puts (struct sim_instance *instance,
                                  const char *key);
uint32_t sim_instance_count_requests (struct sim_instance *instance,
                                      const char *request_id);
uint32_t sim_instance_open_count (const struct sim_instance *instance);
uint32_t sim_instance_open_peak (const struct sim_instance *instance);
uint32_t sim_instance_opening_peak (const struct sim_instance *instance);
uint32_t sim_instance_running_peak (const struct sim_instance *instance);
uint64_t sim_instance_served (const struct sim_instance *instance);
uint64_t sim_instance_refused (const struct sim_instance *instance);

#endif
