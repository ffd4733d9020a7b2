/* sim_rig - hosts with only the request path, in front of simulated database
   groups, in virtual time.

   Configuration, members and term records are set directly on each host;
   there is no platform, no synchronisation and no failover.  Messages between
   hosts take a fixed time.  Used by unit tests and benchmarks of the request
   path.

   A rig has the service RIG_SERVICE with the databases "d0", "d1", ..., each
   with the instances "i0", "i1", ..., and hosts "h0", "h1", ... in failure
   domains "z0", "z1", ...  Hosts, databases, instances and gateways are
   numbered from 0.  */

#ifndef SAVORYWAY_FUZZ_SIM_RIG_H
#define SAVORYWAY_FUZZ_SIM_RIG_H

#include "core/entry.h"
#include "core/gateway.h"
#include "core/policy.h"
#include "core/terms.h"
#include "sim_instance.h"

/* Limits of rig_options.  Each database has RIG_INSTANCES instances.  */
#define RIG_HOSTS 17
#define RIG_DOMAINS 4
#define RIG_DATABASES 3
#define RIG_INSTANCES 3
#define RIG_SERVICE "t/s"
#define RIG_CALLER "clerk"
#define RIG_SECRET "secret"

struct rig_options
{
  uint64_t seed;
  size_t hosts;
  size_t domains;
  size_t databases;
  uint32_t slots; /* of each instance; see sim_instance_options */
  uint32_t connections;
  clk_ms connect_ms;
  clk_ms cost_ms;
  clk_ms lag_ms;
  enum policy policy;
  const char *kinds; /* JSON object with the service's kinds of request */
  int log_level;     /* of the log on standard error */
};

struct rig;

/* Creates and starts all hosts.  Instance 0 is the primary of each database,
   with an active record of term 1.  */
struct rig *rig_new (const struct rig_options *options);
void rig_free (struct rig *rig);

/* Advances the clock by SPAN_MS and runs all that is due until then.  */
void rig_run (struct rig *rig, clk_ms span_ms);
clk_ms rig_now (const struct rig *rig);
struct rng *rig_rng (struct rig *rig);
size_t rig_host_count (const struct rig *rig);

struct kernel *rig_kernel (struct rig *rig, size_t host);
struct kernel *rig_world_kernel (struct rig *rig);
struct entry *rig_entry (struct rig *rig, size_t host);
struct gateway *rig_gateway (struct rig *rig, size_t host);
struct sim_world *rig_world (struct rig *rig);
struct sim_group *rig_group (struct rig *rig, size_t database);
struct sim_instance *rig_instance (struct rig *rig, size_t database,
                                   size_t instance);
int64_t rig_metric (struct rig *rig, const char *name); /* sum over hosts */

/* Returns the index of the host that is gateway number ORDER of an
   instance.  */
size_t rig_gateway_host (struct rig *rig, size_t database, size_t instance,
                         size_t order);

/* Cuts or heals the network between HOST and all other hosts.  */
void rig_cut_host (struct rig *rig, size_t host, bool cut);
/* Sets the term record of DATABASE on all hosts.  TERM starts at position
   START_LSN.  */
void rig_set_term (struct rig *rig, size_t database, uint64_t term,
                   size_t primary, enum term_state state, uint64_t start_lsn);
/* Promotes instance TO and sets an active record of TERM on all hosts.  */
void rig_promote (struct rig *rig, size_t database, size_t to, uint64_t term);
/* Applies the configuration again, with database 0 marked as leaving or
   not.  */
void rig_set_leaving (struct rig *rig, bool leaving);

/* Sets the age that hosts assume for their copy of the term records.  */
void rig_set_view_age (struct rig *rig, clk_ms age_ms);

/* A request of a test and, once DONE, its answer.  */
struct rig_request
{
  bool done;
  enum outcome outcome;
  enum reason reason;
  clk_ms spent_ms;
  clk_ms retry_after_ms;
  char token[TOKEN_LIMIT_BYTES];
  char transaction[1024];
  char request_id[REQUEST_ID_BYTES + 1];
  char payload[128];
  char served_by[PATH_BYTES];
  clk_ms started_ms;
  struct rig *rig;
};

/* Submits STATEMENT of KIND on database 0 at HOST; TOKEN and REQUEST_ID may
   be NULL.  REQUEST must live until it is done.  */
void rig_submit (struct rig *rig, size_t host, struct rig_request *request,
                 const char *kind, const char *statement, const char *token,
                 const char *request_id, clk_ms deadline_ms);
/* Submits any ACTION in the same way, with the default deadline of KIND.  */
void rig_submit_action (struct rig *rig, size_t host,
                        struct rig_request *request, enum entry_action action,
                        const char *kind, const char *statement,
                        const char *token, const char *request_id,
                        const char *transaction);

/* Runs until REQUEST is done, at most LIMIT_MS.  */
void rig_wait (struct rig *rig, const struct rig_request *request,
               clk_ms limit_ms);

#endif
