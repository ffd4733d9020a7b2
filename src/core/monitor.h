/* monitor - failure detector of one database.

   Each coordinator of a database runs a monitor of it.  The monitor probes
   the instances and suspects the primary when it stops answering.  It then
   queries other hosts, and starts a promotion (see promotion.h) once hosts
   of two failure domains suspect the primary of the same term.  While the
   primary is healthy, the monitor makes instances that don't replicate from
   it do so again.

   All times are of the kernel's monotonic clock, in milliseconds.  */

#ifndef SAVORYWAY_CORE_MONITOR_H
#define SAVORYWAY_CORE_MONITOR_H

#include <uthash.h>

#include "core/control.h"
#include "core/coordinators.h"
#include "core/members.h"
#include "core/peers.h"
#include "core/promotion.h"
#include "core/sync.h"
#include "core/view.h"

/* Ranks below this are those of coordinators, which may start promotions.  */
#define MONITOR_COORDINATORS COORDINATOR_COUNT

/* Hosts whose suspicions are counted: the coordinators and the next hosts in
   their placement order, as some coordinators may be unreachable too.  */
#define MONITOR_CONFIRMING_HOSTS 6

/* Hosts that are queried.  The last is in the failure domain of the primary;
   it shows whether the whole domain is unreachable.  */
#define MONITOR_CONSULTED_HOSTS (MONITOR_CONFIRMING_HOSTS + 1)

/* Rank of a host that is not a coordinator.  */
#define MONITOR_NO_RANK COORDINATORS_NO_RANK

/* Modules and ports that all monitors of the host share.  */
struct monitor_env
{
  struct kernel *kernel;
  struct db_port *db;
  struct platform_port *platform;
  struct view *view;
  struct members *members;
  struct peers *peers;
  struct terms *terms;
  struct sync *sync;
  clk_ms probe_ms; /* interval between probes of a primary */
};

struct monitor_instance
{
  struct monitor *monitor;
  char name[PATH_BYTES];
  char domain[NAME_BYTES];
  char address[ADDRESS_BYTES];
  uint16_t port;
  bool leaving;
  struct control *control;
  clk_ms probe_due_ms;
  clk_ms repair_due_ms;
  uint32_t not_primary_reports; /* consecutive reports that it is not primary
                                   of the recorded term */
};

/* A queried host and its latest answer about the primary.  */
struct consulted_host
{
  struct monitor *monitor;
  struct peer_address host;
  char domain[NAME_BYTES];
  uint64_t term;
  bool suspected;
  bool failed;      /* the latest query failed */
  clk_ms answer_ms; /* time of the answer or failure; 0 if none yet */
  uint64_t call;    /* query in flight; 0 if none */
};

struct monitor
{
  struct monitor_env *env;
  char database[PATH_BYTES];
  size_t rank;       /* of this host among the coordinators, from 0 */
  clk_ms expires_ms; /* CLK_NEVER on a coordinator */
  clk_ms created_ms;
  uint64_t members_generation;
  size_t instance_count;
  struct monitor_instance instances[MONITOR_MAX_INSTANCES];

  uint64_t record_index;
  uint64_t record_term;
  clk_ms record_ms;  /* when this host received the record */
  uint32_t flaps;    /* changes of term in close succession */
  clk_ms changed_ms; /* time of the last change of term */

  bool suspected;
  clk_ms suspected_ms;
  bool confirmed;
  clk_ms confirmed_ms;
  clk_ms storm_delay_ms;
  clk_ms query_due_ms;
  clk_ms switch_over_due_ms; /* next switch-over from a leaving primary */
  size_t consulted;
  struct consulted_host consulted_hosts[MONITOR_CONSULTED_HOSTS];

  struct promotion promotion;
  struct ktimer timer;
  bool step_pending;
  UT_hash_handle hh;
};

/* Creates a monitor of DATABASE, which must be in the view.  */
struct monitor *monitor_new (struct monitor_env *env,
                             const struct view_database *database);
void monitor_free (struct monitor *monitor);

/* Applies changes of the configured instances of DATABASE.  Has no effect
   while a promotion is in progress.  */
void monitor_update (struct monitor *monitor,
                     const struct view_database *database);

/* Returns the term record of the database, or NULL if none is known.  */
const struct term_record *monitor_record (const struct monitor *monitor);

/* Returns the index of the instance named NAME, or instance_count if there
   is none.  */
size_t monitor_find_instance (const struct monitor *monitor, const char *name);

/* Schedules a step of the monitor at once, outside of the caller.  */
void monitor_wake (struct monitor *monitor);

/* Resets what was derived from the previous term record.  Call it whenever
   the record changes.  */
void monitor_record_changed (struct monitor *monitor);

/* Stores the suspicion that another host sent in MESSAGE.  Ignores hosts
   that are not consulted.  */
void monitor_receive (struct monitor *monitor, const peer_message *message);

/* Returns whether enough other hosts suspect the primary: one in another
   failure domain than this host, or any one if all are in its domain.  True
   if there are no other hosts.  In monitor_confirm.c.  */
bool monitor_is_confirmed (const struct monitor *monitor);

/* Sends this host's suspicion to the consulted hosts and requests theirs, if
   due; in monitor_confirm.c.  */
void monitor_query_hosts (struct monitor *monitor);

/* Cancels the queries and discards all answers.  */
void monitor_clear_consulted (struct monitor *monitor);

/* Returns whether the queried host in the primary's failure domain did not
   answer.  Sets KNOWN to whether there is a recent answer or failure; to true,
   and returns false, if no host but this one can be queried there.  */
bool monitor_domain_is_down (const struct monitor *monitor, bool *known);

/* Makes other instances that don't replicate from the primary do so again; in
   monitor_repair.c.  */
void monitor_repair (struct monitor *monitor);

/* Makes all other instances replicate from the primary, without checks.
   Used after a promotion.  */
void monitor_repair_now (struct monitor *monitor);

#endif
