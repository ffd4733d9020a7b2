/* sim_rig - entry hosts before simulated database groups, in virtual time.

   Hosts know configuration, members and term records from the start; nothing
   stands in for the platform.  Messages between hosts take a fixed time.
   Serves unit tests and measurements of the request path.  */

#ifndef SAVORYWAY_FUZZ_SIM_RIG_H
#define SAVORYWAY_FUZZ_SIM_RIG_H

#include "core/entry.h"
#include "core/gateway.h"
#include "core/policy.h"
#include "core/terms.h"
#include "sim_instance.h"

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
  size_t databases; /* "d0", ... with instances "i0", ... */
  uint32_t slots;
  uint32_t connections;
  clk_ms connect_ms;
  clk_ms cost_ms;
  clk_ms lag_ms;
  enum policy policy;
  const char *kinds; /* JSON object of the service's kinds */
  int log_level;     /* lines go to standard error */
};

struct rig;

struct rig *rig_new (const struct rig_options *options);
void rig_free (struct rig *rig);

/* Lets SPAN_MS pass.  */
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

/* Index of the host that is gateway number ORDER of an instance.  */
size_t rig_gateway_host (struct rig *rig, size_t database, size_t instance,
                         size_t order);

/* Cuts HOST from all others, or heals that.  */
void rig_cut_host (struct rig *rig, size_t host, bool cut);
/* Tells all hosts of a term record; START_LSN is where TERM begins.  */
void rig_set_term (struct rig *rig, size_t database, uint64_t term,
                   size_t primary, enum term_state state, uint64_t start_lsn);
/* Promotes instance TO and tells all hosts.  */
void rig_promote (struct rig *rig, size_t database, size_t to, uint64_t term);
/* Replaces the configuration of kinds and marks database 0 as leaving.  */
void rig_set_leaving (struct rig *rig, bool leaving);

/* Age of the hosts' view of the term records, as they are told.  */
void rig_set_view_age (struct rig *rig, clk_ms age_ms);

/* A request that a test submits and looks at later.  */
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
/* The same for any action.  */
void rig_submit_action (struct rig *rig, size_t host,
                        struct rig_request *request, enum entry_action action,
                        const char *kind, const char *statement,
                        const char *token, const char *request_id,
                        const char *transaction);

/* Runs until REQUEST is done, at most LIMIT_MS.  */
void rig_wait (struct rig *rig, const struct rig_request *request,
               clk_ms limit_ms);

#endif
