/* fleet - simulates hosts, instances and the platform's store in one process,
   on virtual time.

   The hosts run the real modules of src/proxy.  Instances, store and
   promotions are models that follow the platform's documentation.  The test
   injects faults.  An oracle records the statements that instances execute
   and the answers that callers receive, and reports the first violated
   guarantee.  */

#ifndef SAVORYWAY_FLEET_FLEET_H
#define SAVORYWAY_FLEET_FLEET_H

#include "port/instance_port.h"
#include "port/platform_port.h"
#include "port/promote_port.h"
#include "proxy/allowance.h"
#include "proxy/caller.h"
#include "proxy/catalog.h"
#include "proxy/forwarded_sessions.h"
#include "proxy/forwarder.h"
#include "proxy/group.h"
#include "proxy/hosts.h"
#include "proxy/mirror.h"
#include "proxy/permits.h"
#include "proxy/placement.h"
#include "proxy/promoter.h"
#include "proxy/relay.h"
#include "proxy/revisions.h"
#include "proxy/roster.h"
#include "proxy/suspicions.h"
#include "proxy/workspaces.h"

/* Number of hosts that is enough for relays in each failure domain.  */
#define FLEET_HOSTS 42
/* Maximum number of hosts of a fleet that only counts calls.  */
#define FLEET_MAX_HOSTS 78
#define FLEET_DEFAULT_HOSTS 6
#define FLEET_CONNECTIONS 60
#define FLEET_INSTANCES 3
/* Number of failure domains.  */
#define FLEET_ZONES 3
#define FLEET_GROUP "ledger"
/* Groups of the configuration; only FLEET_GROUP has instances.  */
#define FLEET_GROUPS 4
#define FLEET_DATABASE_PRIMARY "db-primary"
#define FLEET_DATABASE_BOUNDED "db-bounded"
#define FLEET_DATABASE_SESSION "db-session"
/* Staleness limit of FLEET_DATABASE_BOUNDED and FLEET_DATABASE_SESSION.  */
#define FLEET_STALENESS_MS 1500
/* Time from the platform's acceptance of a promotion to the new primary.  */
#define FLEET_PROMOTE_MS 300
/* Time for which an instance serves after it has announced that it leaves.  No
   new work may reach it later.  */
#define FLEET_DRAIN_MS 7000
/* Time within which a configuration is in force after the store has confirmed
   it.  */
#define FLEET_APPLY_MS 3000
/* Guarantees with a time limit hold for a host that, like the store, has been
   without disturbance for this long.  */
#define FLEET_TOUCH_MS 4000
/* Interval at which an instance writes its entry to the store.  */
#define FLEET_BEAT_MS 1200
/* One-way delay between areas, in addition to that of any message.  */
#define FLEET_AREA_MS 11
/* Maximum number of acknowledged commits that the oracle records.  */
#define FLEET_MAX_ACKS 65536

/* Workspaces of the configuration at most, and keys of each at first.  */
#define FLEET_WORKSPACES 40
#define FLEET_KEYS 2
/* Prefix of the names of hosts.  */
#define FLEET_HOST_PREFIX "host-"
/* Maximum number of versions of the configuration that are recorded.  */
#define FLEET_MAX_CONFIGS 256

struct fleet;
struct fleet_call;
struct fleet_key;

struct fleet_workspace
{
  char name[NAME_BYTES];
  uint32_t rate_per_s; /* 0: not limited */
  uint32_t burst;
};

/* A version of the configuration, and when the store confirmed it.  */
struct fleet_config
{
  uint64_t version;
  clk_ms acked_ms;
};

/* An instance, with the faults that a test sets.  */
struct fleet_instance
{
  struct fleet *fleet;
  char id[NAME_BYTES];
  char zone[NAME_BYTES];
  struct position applied;
  struct position received;
  bool is_primary;
  /* In which it leads, or the newest that it knows.  Its log shows it from the
     first commit on.  */
  uint64_t term;
  /* Term of a primary that has not applied its log yet, else 0.  */
  uint64_t unapplied_term;
  bool draining;
  bool unregistered;        /* has no entry in the store */
  uint64_t sequence;        /* of its writes to the store */
  uint64_t born;            /* rises when it returns after draining */
  bool written_draining;    /* in the entry that was written last */
  bool written_primary;     /* likewise */
  uint64_t written;         /* revision of that entry; 0: none */
  clk_ms announced_ms;      /* that it leaves, in the store; or CLK_NEVER */
  clk_ms gone_ms;           /* its entry was removed then, or CLK_NEVER */
  bool unreachable;         /* answers nothing, not even connects */
  bool replication_stopped; /* receives no log from the primary */
  bool paused;              /* the same, by PAUSE, until a promotion */
  uint64_t held_term;       /* of the PAUSE that had an effect last */
  bool isolated;            /* can't reach the other instances */
  clk_ms outdated_ms;       /* until when a replaced primary goes on, since it
                               reaches the new one; or CLK_NEVER */
  bool was_stopped;         /* the same at the last tick */
  clk_ms lag_ms;            /* from receiving a log position to applying it */
  clk_ms slow_ms;           /* upper limit of additional execution time */
  uint32_t connections;
  uint32_t max_connections;
  uint64_t opened;           /* connections so far */
  uint64_t refused;          /* connections above max_connections */
  uint32_t busy_percent;     /* of the statements, answered with CODE_BUSY */
  uint32_t lost_percent;     /* of the answers to executed statements */
  uint32_t repeated_percent; /* of all answers, which are sent twice */
  clk_ms repeat_ms;          /* upper limit of the second one's delay */
  uint64_t repeated;         /* answers sent twice so far */
  uint64_t runs;             /* statements executed so far */
};

/* A host under test.  */
struct fleet_host
{
  struct fleet *fleet;
  char name[NAME_BYTES];
  char zone[NAME_BYTES];
  bool running;
  uint64_t incarnation;                /* increases with each start */
  uint8_t secret[ROSTER_SECRET_BYTES]; /* read from the store */
  uint64_t config_seen;                /* version at the last tick */
  struct log *log;
  struct kernel *kernel;
  struct rng rng;
  struct catalog *catalog;
  struct groups *groups;
  struct callers *callers;
  struct roster *roster;
  struct promoter *promoter;
  clk_ms disturbed_ms;       /* last time of a disturbance */
  clk_ms frozen_until_ms;    /* runs nothing before */
  bool store_cut;            /* can't reach the store */
  bool watches_lost;         /* the store answers none of them */
  bool renewals_lost;        /* the same for leases */
  clk_ms config_transfer_ms; /* to receive a configuration from the store */
  bool instances_cut[FLEET_INSTANCES]; /* can't reach an instance */
  struct instance_port instances;
  struct platform_port store;
  struct promote_port promote;
  struct hosts *others;
  struct mirror *mirror;
  struct forwarded_sessions *forwarded_sessions;
  bool peers_cut;       /* can't reach any other host */
  clk_ms peers_slow_ms; /* delay of its messages to other hosts */
  bool ignores_era;     /* as a relay; of a version that compares revisions
                           and knows no dated calls */
  struct peer_port peers;
  peer_handler peer_handler;
  void *peer_arg;
  uint64_t next_call;
  struct fleet_call *calls; /* from this host, in flight */
};

/* Creates a fleet and starts its HOSTS hosts.  SEED determines all random
   draws.  */
struct fleet *fleet_new (uint64_t seed, size_t hosts);
/* Like fleet_new, with CONNECTIONS as the connection limit of an instance.  */
struct fleet *fleet_new_limited (uint64_t seed, size_t hosts,
                                 uint32_t connections);
/* Like fleet_new, on a platform that checks no fencing token, where a replaced
   primary goes on until STEPDOWN, or until a second after it can reach the new
   one.  */
struct fleet *fleet_new_unfenced (uint64_t seed, size_t hosts);

struct fleet_options
{
  uint32_t connections; /* limit of an instance */
  bool unfenced;
  uint32_t sync_replicas; /* 1: a commit is acknowledged once another instance
                             has received it */
  clk_ms apply_ms;        /* that the hosts are told; 0: FLEET_APPLY_MS */
  const char *areas;      /* of the failure domains; as the setting */
  /* If not 0, the configuration has these many workspaces "ws-N", with the
     keys "key-N-0" to "key-N-(FLEET_KEYS - 1)" and no limit.  Then the route
     of FLEET_DATABASE_BOUNDED is public, and a new connection takes 12 ms
     more.  */
  size_t workspaces;
  clk_ms age_ms; /* limit of the age of contents; 0: none */
  size_t zones;  /* number of failure domains; 0: FLEET_ZONES */
};

struct fleet *fleet_new_with (uint64_t seed, size_t hosts,
                              const struct fleet_options *options);
void fleet_free (struct fleet *fleet);

struct fleet_host *fleet_host (struct fleet *fleet, size_t index);
struct fleet_instance *fleet_instance (struct fleet *fleet, size_t index);
clk_ms fleet_now (struct fleet *fleet);

/* Runs the fleet for SPAN_MS of virtual time.  */
void fleet_run (struct fleet *fleet, clk_ms span_ms);

void fleet_host_start (struct fleet_host *host);
/* Stops a host like SIGKILL: its connections close, its leases remain until
   they expire.  */
void fleet_host_kill (struct fleet_host *host);

/* Makes HOST stand still for SPAN_MS, or if that is 0 lets it go on: nothing
   of it runs, and what arrives for it meanwhile is delivered when it goes on,
   before its timers fire.  The test must not use its callers meanwhile.  */
void fleet_host_freeze (struct fleet_host *host, clk_ms span_ms);
bool fleet_host_frozen (const struct fleet_host *host);

/* Lets the instances write their current entries to the store.  */
void fleet_publish (struct fleet *fleet);

/* Lets the operator write a configuration of a higher version.  */
void fleet_change_config (struct fleet *fleet);
/* The same with a change of the workspaces: moves KEY, which may be new, to
   WORKSPACE; withdraws KEY; renames a workspace.  */
void fleet_move_key (struct fleet *fleet, const char *key,
                     const char *workspace);
void fleet_withdraw_key (struct fleet *fleet, const char *key);
void fleet_rename_workspace (struct fleet *fleet, const char *from,
                             const char *to);

/* Returns whether HOST and the store have been without disturbance for
   FLEET_TOUCH_MS.  */
bool fleet_in_touch (const struct fleet_host *host);

/* Returns the current primary, or NULL.  */
struct fleet_instance *fleet_primary (struct fleet *fleet);

/* Makes the store stop answering (DOWN) or answer again.  */
void fleet_store_down (struct fleet *fleet, bool down);
/* Drops all pending watches: the store never answers them, though their
   connections stay open.  */
void fleet_store_drop_watches (struct fleet *fleet);
/* Makes the store lose PERCENT of the calls that arrive: it never answers
   them, though their connections stay open.  Pending watches get no answer
   until PERCENT is 0 again.  */
void fleet_store_lose_calls (struct fleet *fleet, uint32_t percent);
/* Drops the pending watches of HOST.  */
void fleet_store_drop_watch (struct fleet_host *host);
/* Compacts the store's history, so that watches fail with
   PLATFORM_COMPACTED.  */
void fleet_store_compact (struct fleet *fleet);
/* Takes a copy of the store's contents, which replaces an earlier one.  */
void fleet_store_copy (struct fleet *fleet);
/* Restores the store from the copy, if there is one: writes and leases since
   then are lost, and their revisions and ids are given out again.  Instances
   and operator write again what they wrote.  */
void fleet_store_restore (struct fleet *fleet);
/* Returns the number of calls to the store so far.  */
uint64_t fleet_store_calls (const struct fleet *fleet);
/* Returns the number of watch calls among them.  */
uint64_t fleet_store_watches (const struct fleet *fleet);

/* Returns the additional delay of a message between failure domains, and
   counts it if they are in different areas.  */
clk_ms fleet_cross (struct fleet *fleet, const char *zone, const char *other);
/* Calls to the store for one purpose.  */
struct fleet_purpose
{
  char name[NAME_BYTES];
  uint64_t calls;
};
/* Returns the number of calls so far by purpose; COUNT is set to the number of
   purposes.  */
const struct fleet_purpose *fleet_store_purposes (const struct fleet *fleet,
                                                  size_t *count);

/* Makes the store answer after DELAY_MS instead of 4 ms; 0: as usual.  */
void fleet_store_slow (struct fleet *fleet, clk_ms delay_ms);

/* Returns the index of the last change that the store made before AT_MS; 0 if
   there is none.  */
uint64_t fleet_store_index_before (const struct fleet *fleet, clk_ms at_ms);

/* Returns the number of completed promotions.  */
uint64_t fleet_promotions (const struct fleet *fleet);
/* Returns the highest fencing token that the platform has received.  */
uint64_t fleet_token (const struct fleet *fleet);

/* Returns a description of the first violated guarantee, or NULL.  */
const char *fleet_violation (const struct fleet *fleet);

/* Execution of a statement by an instance, for the oracle.  The oracle_
   functions are called by the model of the instances only.  */
struct fleet_execution
{
  const char *id;
  const char *text;
  uint64_t link;
  const char *user; /* that the connection was opened with */
  uint64_t tx;      /* 0: outside a transaction */
  const char *values;
  struct position position;
};
/* Checks the execution of a read or, if WRITES, of a write.  */
void oracle_executed (struct fleet *fleet,
                      const struct fleet_execution *execution, bool writes);
/* Records the commit of transaction TX by the statement COMMIT_ID, on a
   connection that was opened with USER.  */
void oracle_committed (struct fleet *fleet, const char *user, uint64_t tx,
                       const char *commit_id, struct position position);
/* Records the commit of the write ID, which ran outside a transaction.  */
void oracle_single_write (struct fleet *fleet, const char *id,
                          struct position position);
/* Marks the commits after BEYOND as discarded by a promotion.  */
void oracle_rolled_back (struct fleet *fleet, struct position beyond,
                         uint64_t new_term);

/* Session of a caller.  The oracle checks every answer to it.  */
struct fleet_caller;

struct fleet_caller *fleet_caller_open (struct fleet_host *host,
                                        const char *database);
/* The same for a caller with KEY, which may be NULL.  Returns NULL if the
   session is refused; CODE of the fleet's last session is in OPEN_CODE.  */
struct fleet_caller *fleet_caller_open_as (struct fleet_host *host,
                                           const char *database,
                                           const char *key);
void fleet_caller_close (struct fleet_caller *caller);
/* Sends a statement with a new id.  For STMT_READ and STMT_WRITE, NAME
   follows the verb in the text of the statement.  For the other kinds, NAME
   and REST are the fields of the statement.  */
void fleet_caller_send (struct fleet_caller *caller, enum stmt_kind kind,
                        const char *name, const char *rest);
/* Returns whether the last statement is still unanswered.  */
bool fleet_caller_waits (const struct fleet_caller *caller);
enum code fleet_caller_code (const struct fleet_caller *caller);
enum tx_state fleet_caller_state (const struct fleet_caller *caller);
/* Returns the time from sending the last statement to its answer.  */
clk_ms fleet_caller_took_ms (const struct fleet_caller *caller);
/* Returns the id of the instance that executed the last statement, or "" if
   none did.  */
const char *fleet_caller_server (const struct fleet_caller *caller);

/* From here on: internal to tests/fleet.  */
struct fleet
{
  struct clk_virtual clk;
  struct rng rng;
  struct log *log;
  struct kernel *kernel; /* timers of the simulation itself */
  size_t host_count;
  struct fleet_host hosts[FLEET_MAX_HOSTS];
  struct fleet_instance instances[FLEET_INSTANCES];
  struct fleet_instance nowhere; /* at the addresses of odd entries */
  uint64_t next_link;
  uint64_t next_tx;
  uint64_t next_id;
  uint64_t promotions;
  uint64_t token;
  char token_holder[NAME_BYTES]; /* that sent it */
  uint32_t connections; /* configured connection limit of an instance */
  bool unfenced; /* the platform checks no fencing token, and an old primary
                    goes on */
  uint32_t sync_replicas;
  const char *areas;
  struct distance *map;       /* of the areas */
  uint64_t crossings;         /* messages between areas, of any kind */
  uint64_t crossing_bytes;    /* of messages between hosts */
  clk_ms apply_ms;            /* that the hosts are told */
  clk_ms age_ms;              /* likewise */
  uint64_t lead_term;         /* of the last promotion that took effect */
  struct position lead_start; /* where the log of that term begins */
  bool promote_down; /* the platform carries out no order, and says so */
  uint32_t promote_lost_percent; /* of the orders, not answered; they take
                                    effect late or never */
  clk_ms promote_late_ms;        /* after which those take effect; 0: drawn */
  struct fleet_instance *promote_lost; /* that the last of those named */
  struct ktimer tick;
  clk_ms store_disturbed_ms; /* last time of a disturbance of the store */
  uint64_t config_version;   /* that the operator wrote last */
  uint64_t config_written;   /* its revision; 0: not written */
  clk_ms config_acked_ms;    /* when the store first confirmed it */
  size_t workspace_count;    /* 0: the configuration has none */
  struct fleet_workspace workspaces[FLEET_WORKSPACES];
  struct fleet_key *keys;
  enum code open_code; /* result of the last fleet_caller_open_as */
  size_t config_count; /* versions that the store has confirmed */
  struct fleet_config configs[FLEET_MAX_CONFIGS];
  struct fleet_store *store;
  struct fleet_oracle *oracle;
  char violation[256];
};

/* Records a violated guarantee; only the first is kept.  */
void fleet_report_violation (struct fleet *fleet, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Checks that HOST has every change that the store had confirmed at the time
   that it gives.  A configuration that a restored store has lost counts as
   well.  Called for all hosts at each tick, and after each reply.  */
void fleet_check_confirmed (struct fleet_host *host);
void fleet_instance_ports (struct fleet_host *host);
void fleet_store_ports (struct fleet_host *host);
void fleet_peer_ports (struct fleet_host *host);
/* Discards the calls of a stopped host without calling their callbacks.  */
void fleet_peer_abandon_calls (struct fleet_host *host);
/* Lets replicas whose replication resumes catch up with the primary.  */
void fleet_replicate (struct fleet *fleet);
/* Write and remove a key as an instance or the operator, without a lease.
   Return the new revision; 0 if the store is down.  */
uint64_t fleet_store_put (struct fleet *fleet, const char *name,
                          const char *value);
void fleet_store_remove (struct fleet *fleet, const char *name);
/* Returns the revision of a key; 0 if there is none.  */
uint64_t fleet_store_find (const struct fleet *fleet, const char *name);
bool fleet_store_is_down (const struct fleet *fleet);
bool fleet_store_is_disturbed (const struct fleet *fleet);
void fleet_note_store_disturbed (struct fleet *fleet);
/* Lets instances and operator write again what a restored store has lost.  */
void fleet_write_again (struct fleet *fleet);
struct fleet_store *fleet_store_new (struct fleet *fleet);
void fleet_store_free (struct fleet_store *store);
/* Lets the store's calls of a stopped host complete without their
   callbacks.  */
void fleet_store_abandon_calls (struct fleet_host *host);
/* Gives the configuration COUNT workspaces.  */
void fleet_add_workspaces (struct fleet *fleet, size_t count);
/* Records which workspaces hold the keys in the current configuration.  */
void fleet_record_keys (struct fleet *fleet);
void fleet_free_keys (struct fleet *fleet);
struct json_t *fleet_workspaces_json (const struct fleet *fleet);
/* Returns whether in a configuration of the version SINCE or a later one KEY
   belonged to WORKSPACE; NULL: to any, "": to none.  */
bool fleet_key_was_held (const struct fleet *fleet, const char *key,
                         uint64_t since, const char *workspace);
/* Returns whether KEY belonged to a workspace in the configuration
   VERSION.  */
bool fleet_key_is_held_at (const struct fleet *fleet, const char *key,
                           uint64_t version);
struct fleet_oracle *fleet_oracle_new (struct fleet *fleet);
void fleet_oracle_free (struct fleet_oracle *oracle);
bool fleet_status_parse (struct instance_status *status,
                         const struct answer *answer);

/* Interval at which deliveries to a frozen host are tried again.  */
#define FLEET_FROZEN_POLL_MS 1

/* Calls FN (ARG) after SPAN_MS of virtual time.  */
void fleet_schedule (struct fleet *fleet, clk_ms span_ms, void (*fn) (void *),
                     void *arg);

#endif
