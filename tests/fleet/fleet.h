/* fleet - hosts, instances and the platform's store in one process, on
   virtual time.

   The hosts run the real modules of src/proxy.  Instances, store and
   promotions are models of what the platform's pages say of them; faults are
   set by the test.  An oracle notes what instances ran and what callers were
   told, and names the first promise that is broken.  */

#ifndef SAVORYWAY_FLEET_FLEET_H
#define SAVORYWAY_FLEET_FLEET_H

#include "port/instance_port.h"
#include "port/platform_port.h"
#include "port/promote_port.h"
#include "proxy/caller.h"
#include "proxy/catalog.h"
#include "proxy/forwarded_sessions.h"
#include "proxy/forwarder.h"
#include "proxy/group.h"
#include "proxy/hosts.h"
#include "proxy/mirror.h"
#include "proxy/placement.h"
#include "proxy/promoter.h"
#include "proxy/relay.h"
#include "proxy/revisions.h"
#include "proxy/roster.h"
#include "proxy/suspicions.h"

#define FLEET_HOSTS 42
#define FLEET_USUAL_HOSTS 6
#define FLEET_INSTANCES 3
#define FLEET_ZONES 3
#define FLEET_GROUP "ledger"
#define FLEET_GROUPS 4
#define FLEET_DATABASE_PRIMARY "db-primary"
#define FLEET_DATABASE_BOUNDED "db-bounded"
#define FLEET_DATABASE_SESSION "db-session"
#define FLEET_STALENESS_MS 1500
#define FLEET_PROMOTE_MS 300
#define FLEET_LOG 65536

struct fleet;
struct fleet_call;

/* An instance, with the faults that a test sets.  */
struct fleet_instance
{
  struct fleet *fleet;
  char id[NAME_BYTES];
  char zone[NAME_BYTES];
  struct position applied;
  struct position received;
  bool leads;
  uint64_t
      lead_term; /* of a leader that has not applied its log yet; else 0 */
  bool draining;
  bool absent; /* from the store */
  bool dark;   /* silent, new connections too */
  bool deaf;   /* receives nothing from the primary */
  clk_ms lag_ms;
  uint32_t connections;
  uint32_t max_connections;
  uint32_t busy_percent;
  uint32_t lost_percent; /* of the answers to statements that ran */
};

/* A host under test.  */
struct fleet_host
{
  struct fleet *fleet;
  char name[NAME_BYTES];
  char zone[NAME_BYTES];
  bool running;
  uint64_t life; /* rises with each start */
  struct kernel *kernel;
  struct rng rng;
  struct catalog *catalog;
  struct groups *groups;
  struct callers *callers;
  struct roster *roster;
  struct promoter *promoter;
  bool store_cut;
  bool cut[FLEET_INSTANCES]; /* from an instance */
  struct instance_port instances;
  struct platform_port store;
  struct promote_port promote;
  struct hosts *others;
  struct forwarded_sessions *forwarded_sessions;
  bool peers_cut; /* from all other hosts */
  struct peer_port peers;
  peer_handler peer_handler;
  void *peer_arg;
  uint64_t next_call;
  struct fleet_call *calls; /* made by this host */
};

struct fleet *fleet_new (uint64_t seed, size_t hosts);
/* The same, where an instance has so many connections.  */
struct fleet *fleet_new_scarce (uint64_t seed, size_t hosts,
                                uint32_t connections);
void fleet_free (struct fleet *fleet);

struct fleet_host *fleet_host (struct fleet *fleet, size_t index);
struct fleet_instance *fleet_instance (struct fleet *fleet, size_t index);
clk_ms fleet_now (struct fleet *fleet);

/* Runs for SPAN_MS.  */
void fleet_run (struct fleet *fleet, clk_ms span_ms);

void fleet_host_start (struct fleet_host *host);
/* Ends a host as a kill does: its connections close, its leases stay.  */
void fleet_host_kill (struct fleet_host *host);

/* Writes what instance says of itself to the hosts' catalogues.  */
void fleet_publish (struct fleet *fleet);

/* The instance that leads, or NULL.  */
struct fleet_instance *fleet_leader (struct fleet *fleet);

/* Makes the store silent, or lets it answer again.  */
void fleet_store_down (struct fleet *fleet, bool down);
/* Forgets the watches that wait: they are answered by nothing.  */
void fleet_store_drop_watches (struct fleet *fleet);
/* The same for the watch of one host.  */
void fleet_store_drop_watch (struct fleet_host *host);
/* Forgets the store's history, so that watches get PLATFORM_COMPACTED.  */
void fleet_store_compact (struct fleet *fleet);
/* Calls made to the store so far.  */
uint64_t fleet_store_calls (const struct fleet *fleet);
/* Watches among them.  */
uint64_t fleet_store_watches (const struct fleet *fleet);

/* Promotions carried out, and the highest token seen.  */
uint64_t fleet_promotions (const struct fleet *fleet);
uint64_t fleet_token (const struct fleet *fleet);

/* The first broken promise, or NULL.  */
const char *fleet_broken (const struct fleet *fleet);

/* Private to the fleet: oracle.  */
struct fleet_run_note
{
  const char *id;
  const char *text;
  uint64_t link;
  uint64_t tx; /* 0: a statement of its own */
  const char *values;
  struct position position;
};
void oracle_ran (struct fleet *fleet, const struct fleet_run_note *note,
                 bool writes);
void oracle_committed (struct fleet *fleet, uint64_t link, uint64_t tx,
                       const char *commit_id, struct position position);
void oracle_single_write (struct fleet *fleet, const char *id,
                          struct position position);
void oracle_rolled_back (struct fleet *fleet, struct position beyond,
                         uint64_t new_term);

/* What a caller does; the oracle checks the answers.  */
struct fleet_caller;

struct fleet_caller *fleet_caller_open (struct fleet_host *host,
                                        const char *database);
void fleet_caller_close (struct fleet_caller *caller);
/* Sends a statement with a new id.  Text is as on the wire for READ and
   WRITE; NAME and REST serve the others.  */
void fleet_caller_send (struct fleet_caller *caller, enum stmt_kind kind,
                        const char *name, const char *rest);
bool fleet_caller_waits (const struct fleet_caller *caller);
enum code fleet_caller_code (const struct fleet_caller *caller);
enum tx_state fleet_caller_state (const struct fleet_caller *caller);
clk_ms fleet_caller_took_ms (const struct fleet_caller *caller);
/* Instance that served the last statement that ran; "" if none did.  */
const char *fleet_caller_server (const struct fleet_caller *caller);

/* The whole, for its own files.  */
struct fleet
{
  struct clk_virtual clk;
  struct rng rng;
  struct log *log;
  struct kernel *kernel; /* the world's own timers */
  size_t host_count;
  struct fleet_host hosts[FLEET_HOSTS];
  struct fleet_instance instances[FLEET_INSTANCES];
  uint64_t next_link;
  uint64_t next_tx;
  uint64_t next_id;
  uint64_t promotions;
  uint64_t token;
  uint32_t connections; /* of an instance, as configured */
  struct fleet_store *store;
  struct fleet_oracle *oracle;
  char broken[256];
};

void fleet_break (struct fleet *fleet, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void fleet_instance_ports (struct fleet_host *host);
void fleet_store_ports (struct fleet_host *host);
void fleet_peer_ports (struct fleet_host *host);
/* Drops the calls of a host that ended.  */
void fleet_peer_forget (struct fleet_host *host);
struct fleet_store *fleet_store_new (struct fleet *fleet);
void fleet_store_free (struct fleet_store *store);
/* Drops the calls of a host that ended.  */
void fleet_store_forget (struct fleet_host *host);
struct fleet_oracle *fleet_oracle_new (struct fleet *fleet);
void fleet_oracle_free (struct fleet_oracle *oracle);
bool fleet_status_parse (struct instance_status *status,
                         const struct answer *answer);

/* Runs FN (ARG) after SPAN_MS.  */
void fleet_later (struct fleet *fleet, clk_ms span_ms, void (*fn) (void *),
                  void *arg);

#endif
