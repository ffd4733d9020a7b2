/* sim_internal - types and functions shared by sim_instance.c, sim_job.c and
   sim_port.c.  */

#ifndef SAVORYWAY_FUZZ_SIM_INTERNAL_H
#define SAVORYWAY_FUZZ_SIM_INTERNAL_H

#include "sim_instance.h"
#include "sim_log.h"

#define SIM_BREAK_MS 2000    /* until a cut connection is detected */
#define SIM_TICK_MS 1        /* between two steps of replication */
#define SIM_FROZEN_POLL_MS 5 /* between checks of a frozen instance */
#define SIM_NAME_BYTES 64
#define SIM_TX_PAIRS 8 /* limit on the puts of a transaction */

/* A delayed call of FN.  */
struct world_event
{
  struct ktimer timer;
  struct sim_world *world;
  void (*fn) (void *arg);
  void *arg;
  struct world_event *prev;
  struct world_event *next;
};

/* A network partition between two failure domains.  */
struct sim_cut
{
  char a[SIM_NAME_BYTES];
  char b[SIM_NAME_BYTES];
  struct sim_cut *next;
};

struct sim_world
{
  struct kernel *kernel;
  clk_ms local_ms;
  clk_ms remote_ms;
  struct sim_cut *cuts;
  struct sim_group *groups;
  struct db_conn *conns;
  struct sim_job *jobs;
  struct world_event *events;
};

struct sim_group
{
  struct sim_world *world;
  struct sim_store store;
  struct sim_instance *instances;
  struct ktimer tick;
  struct sim_group *next;
};

/* A job of a host, from its submission until its result is delivered.  */
struct sim_job
{
  struct db_job job; /* owns its strings */
  struct db_conn *conn;
  struct sim_instance *instance;
  uint64_t epoch; /* of the instance on arrival */
  bool has_slot;
  bool executed; /* has taken effect, if it has any */
  enum db_status status;
  struct db_report report;
  char *payload;
  struct sim_job *queue_next;
  struct sim_job *prev; /* in world->jobs */
  struct sim_job *next;
};

struct sim_instance
{
  struct sim_group *group;
  struct sim_instance_options options;
  char address[SIM_NAME_BYTES];
  char domain[SIM_NAME_BYTES];
  struct sim_log log;
  size_t replayed; /* entries visible to reads */
  size_t acked;    /* entries received and acknowledged to the primary */
  uint64_t term;
  uint64_t sealed_term;
  uint64_t confirmed; /* position that a replica has acknowledged */
  bool primary;
  bool fenced;
  struct sim_instance *upstream;
  bool streaming; /* receives the log of upstream */
  clk_ms last_streaming_ms;
  bool isolated;
  bool frozen;
  bool dead;
  uint32_t slowdown; /* factor of all costs */
  uint32_t answers_to_lose;
  uint64_t epoch; /* incremented when the instance is killed */
  uint32_t running;
  struct sim_job *queue_head;
  struct sim_job *queue_tail;
  uint32_t open;
  uint32_t opening;
  uint32_t open_peak;
  uint32_t opening_peak;
  uint32_t running_peak;
  uint64_t served;
  uint64_t refused;
  struct sim_instance *next;
};

/* The db_port of one host.  */
struct sim_port
{
  struct db_port base;
  struct sim_world *world;
  char domain[SIM_NAME_BYTES];
};

struct db_conn
{
  struct sim_port *port;
  struct sim_instance *instance; /* NULL for an unknown address */
  const struct db_conn_events *events;
  void *arg;
  bool opened;
  bool closed;
  uint64_t epoch;
  struct sim_job *job;
  bool in_transaction;
  size_t pair_count;
  struct sim_pair pairs[SIM_TX_PAIRS];
  struct db_conn *next;
};

/* Calls FN with ARG after DELAY_MS.  */
void sim_world_schedule (struct sim_world *world, clk_ms delay_ms,
                         void (*fn) (void *), void *arg);
/* Returns the one-way delay between failure domains A and B.  */
clk_ms sim_world_one_way_ms (const struct sim_world *world, const char *a,
                             const char *b);
/* Returns whether the network between CONN's host and instance is cut.  */
bool sim_conn_cut (const struct db_conn *conn);
/* Rolls back the open transaction of CONN, if any.  */
void sim_conn_drop_pairs (struct db_conn *conn);

/* Returns the instance that listens on ADDRESS and PORT, or NULL.  */
struct sim_instance *sim_world_find (struct sim_world *world,
                                     const char *address, uint16_t port);

/* Starts the replication timer of GROUP unless it runs.  The timer stops when
   all replicas have caught up.  */
void sim_group_wake (struct sim_group *group);

/* Accepts a job on its arrival and queues it if it needs a slot.  The result
   is sent with sim_job_answer.  */
void sim_instance_accept_job (struct sim_instance *instance,
                              struct sim_job *job);
void sim_job_answer (struct sim_job *job);
/* Breaks the connection of JOB after AFTER_MS, without a result.  */
void sim_job_break (struct sim_job *job, clk_ms after_ms);
/* Breaks all idle connections to INSTANCE, as when its machine fails.  */
void sim_conns_break (struct sim_instance *instance);

/* Checks whether JOB may run.  Returns false if it has its result already,
   else sets COST_MS, the time until sim_job_execute is due.  */
bool sim_job_begin (struct sim_job *job, clk_ms *cost_ms);
/* Applies JOB and sets its status and payload.  */
void sim_job_execute (struct sim_job *job);
bool sim_job_needs_slot (const struct sim_job *job);

#endif
