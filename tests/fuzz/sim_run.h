/* sim_run - complete hosts, one database group, callers, operators and faults
   in virtual time, driven by a schedule of bytes.

   Each step takes bytes from the schedule: the action, its target, and the
   time to wait after it.  The same seed and bytes give the same run.  After
   the last step all faults are repaired and the system must recover.  The
   oracle checks the answers.  With SIM_VERBOSE in the environment the schedule
   and the hosts' logs are printed.  */

#ifndef SAVORYWAY_TESTS_SIM_RUN_H
#define SAVORYWAY_TESTS_SIM_RUN_H

#include "core/node.h"
#include "sim_core.h"
#include "sim_db_net.h"
#include "sim_instance.h"
#include "sim_net.h"
#include "sim_oracle.h"
#include "sim_platform.h"

#define RUN_HOSTS 4
#define RUN_CALLS 64
#define RUN_DOMAINS 3
#define MAX_AGE_MS 2000 /* max_age_ms of the kind "count" */

extern const char *const run_domains[RUN_DOMAINS];

struct run_host
{
  struct node *node;
  uint64_t incarnation;
  bool draining;
  clk_ms drain_at_ms;
  uint64_t revision; /* in force at the last check since its start */
};

/* A session of a caller.  It has at most one request in flight.  */
struct run_session
{
  char token[TOKEN_LIMIT_BYTES];
  bool busy;
};

struct run_call;
struct run_change;

struct run
{
  struct sim sim;
  struct sim_net net;
  struct sim_platform platform;
  struct sim_db_net db_net;
  struct sim_world *world;
  struct sim_group *group;
  struct sim_instance *instances[SIM_INSTANCES];
  bool instance_down[SIM_INSTANCES];
  bool instance_frozen[SIM_INSTANCES];
  bool instance_isolated[SIM_INSTANCES];
  struct run_host hosts[RUN_HOSTS];
  struct run_session sessions[ORACLE_SESSIONS];
  struct oracle oracle;
  struct run_call *calls; /* in flight */
  size_t call_count;
  uint64_t answered[3];       /* by outcome */
  uint32_t changes;           /* submitted by operators so far */
  struct run_change *pending; /* changes in flight */
  uint64_t accepted;          /* highest accepted revision */
  uint32_t accepted_weight;   /* in that revision */
  const uint8_t *bytes;       /* the schedule */
  size_t length;
  size_t at; /* index of the next byte */
  bool verbose;
};

/* Starts all hosts and runs until they are ready.  */
void run_init (struct run *run, uint64_t seed);

/* Runs steps until all of BYTES are consumed.  */
void run_steps (struct run *run, const uint8_t *bytes, size_t length);

/* Repairs all faults, waits until the system has recovered and makes the final
   checks.  */
void run_finish (struct run *run);

/* Stops all hosts and frees what RUN owns.  */
void run_clear (struct run *run);

/* Does all of the above with a new run.  Returns the number of violations.  */
size_t run_bytes (uint64_t seed, const uint8_t *bytes, size_t length);

/* Runs a schedule of LENGTH random bytes.  SEED determines the bytes and all
   delays.  Returns the number of violations.  */
size_t run_seed (uint64_t seed, size_t length);

/* Prints a line of the schedule if the run is verbose.  */
void run_note (struct run *run, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Runs one step of the schedule (in sim_steps.c).  */
void run_step (struct run *run);
/* Returns the next byte of the schedule, or 0 at its end.  */
uint8_t run_byte (struct run *run);

/* Returns the name of the primary if the platform's term record is active,
   else NULL.  The name is valid until the next call.  */
const char *run_primary (struct run *run);

/* Start or stop a host at once; no effect if it is in that state.  */
void run_host_start (struct run *run, size_t index);
void run_host_stop (struct run *run, size_t index);
/* Replaces the platform's list of hosts with the hosts that are alive.  */
void run_publish_hosts (struct run *run);

/* Callers (in sim_callers.c).  These submit a request of SESSION at HOST; no
   effect if the host is dead or the session has a request in flight.  */
void run_write (struct run *run, size_t host, size_t session);
void run_transaction (struct run *run, size_t host, size_t session);
void run_read (struct run *run, size_t host, size_t session,
               enum freshness freshness);
/* As run_read, for the key of the latest write.  */
void run_read_latest (struct run *run, size_t host, size_t session,
                      enum freshness freshness);
/* Retries the session's latest write outside a transaction.  */
void run_retry (struct run *run, size_t host, size_t session);
/* Breaks the callers' connections to HOST; SIZE_MAX stands for all hosts.  */
void run_calls_disconnect (struct run *run, size_t host);
/* Returns the number of callers' requests in flight at HOST.  */
size_t run_calls_count (const struct run *run, size_t host);

/* Operators (in sim_config.c).  Writes the initial configuration.  */
void run_config_init (struct run *run);
/* Submits a change of the configuration at HOST.  */
void run_config_change (struct run *run, size_t host);
/* Checks the revision of all hosts.  SETTLED: all faults are repaired and the
   accepted configuration must be in force.  */
void run_config_check (struct run *run, bool settled);
/* Marks an instance as leaving and checks that it gets no more work after the
   required time.  There must be no faults.  */
void run_config_check_leaving (struct run *run, size_t instance);
/* Breaks the operators' connections to HOST; SIZE_MAX stands for all
   hosts.  */
void run_config_disconnect (struct run *run, size_t host);

#endif
