/* sim_run - a few real nodes, one database group, callers and faults, driven
   by bytes on virtual time.

   Each step takes bytes from the input: what to do, to whom, and how long to
   wait after it.  The same bytes give the same run.  With SIM_VERBOSE in the
   environment the schedule and the hosts' logs are printed.  */

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
#define MAX_AGE_MS 2000 /* of the kind "count" */

extern const char *const run_domains[RUN_DOMAINS];

struct run_host
{
  struct node *node;
  uint64_t incarnation;
  bool draining;
  clk_ms drain_at_ms;
  uint64_t revision; /* highest seen in force since its start */
};

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
  struct run_call *calls; /* not yet answered */
  size_t call_count;
  uint64_t answered[3];       /* by outcome */
  uint32_t changes;           /* asked for so far */
  struct run_change *pending; /* not yet answered */
  uint64_t accepted;          /* highest revision that was accepted */
  uint32_t accepted_weight;   /* what that revision set */
  const uint8_t *bytes;
  size_t length;
  size_t at;
  bool verbose;
};

/* Starts all hosts and lets them become ready.  */
void run_init (struct run *run, uint64_t seed);

/* Takes steps until BYTES are used up.  */
void run_steps (struct run *run, const uint8_t *bytes, size_t length);

/* Mends everything, lets the system settle and makes the final checks.  */
void run_finish (struct run *run);
void run_clear (struct run *run);

/* All of the above; returns the number of violations.  */
size_t run_bytes (uint64_t seed, const uint8_t *bytes, size_t length);

/* Runs a schedule of LENGTH bytes drawn from SEED.  */
size_t run_seed (uint64_t seed, size_t length);

/* Prints a line of the schedule if verbose.  */
void run_note (struct run *run, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Faults and callers' steps, in sim_steps.c; BYTE selects a variant.  */
void run_step (struct run *run);
uint8_t run_byte (struct run *run);

/* Name of the primary that the platform's record has as active, or NULL;
   valid until the next call.  */
const char *run_primary (struct run *run);

void run_host_start (struct run *run, size_t index);
void run_host_stop (struct run *run, size_t index);
void run_list_hosts (struct run *run);

/* Callers, in sim_callers.c.  */
void run_write (struct run *run, size_t host, size_t session);
void run_transaction (struct run *run, size_t host, size_t session);
void run_read (struct run *run, size_t host, size_t session,
               enum freshness freshness);
/* As run_read, of the write that was asked for last.  */
void run_read_latest (struct run *run, size_t host, size_t session,
                      enum freshness freshness);
void run_retry (struct run *run, size_t host, size_t session);
/* The callers of HOST see their connections break.  */
void run_calls_broken (struct run *run, size_t host);
size_t run_calls_at (const struct run *run, size_t host);

/* Operators, in sim_config.c.  */
void run_config_init (struct run *run);
void run_config_change (struct run *run, size_t host);
void run_config_check (struct run *run, bool settled);
/* An operator marks an instance as leaving; after the time that the users
   grant, it must get no more work.  Nothing else may be wrong.  */
void run_config_leaving (struct run *run, size_t instance);
/* Operators at HOST see their connections break.  */
void run_config_broken (struct run *run, size_t host);

#endif
