/* catalog - routes, replica groups, workspaces and instances as the platform
   reports them.

   Routes come from the operators' configuration, whose version never decreases
   within a process.  Each instance writes its own entry to the platform's
   store.  A store that was restored returns entries that their instances have
   replaced; those are told by the order of the instance's own writes.  An
   entry counts as removed only after it has been absent for
   CATALOG_ABSENCE_MS, since entries of running instances return after an
   outage of the store.

   Module name: "catalog".  */

#ifndef SAVORYWAY_PROXY_CATALOG_H
#define SAVORYWAY_PROXY_CATALOG_H

#include <stdbool.h>
#include <stddef.h>

#include "core/types.h"
#include "kernel/kernel.h"

/* Time of absence after which an entry counts as removed.  Entries that
   expired during an outage of the store return within two seconds of its
   end.  */
#define CATALOG_ABSENCE_MS 2500

/* How long a removed entry is remembered.  If it returns, it may be older than
   the last one, and an announcement that it contains may not be new.  */
#define CATALOG_FORGET_MS 60000

#define VALUE_NAME_BYTES 128

enum route_kind
{
  ROUTE_PRIMARY, /* always uses the primary */
  ROUTE_BOUNDED, /* reads data at most max_staleness_ms old */
  ROUTE_SESSION  /* the same, but includes all commits of the session */
};

struct route
{
  char database[NAME_BYTES];
  char group[NAME_BYTES];
  enum route_kind kind;
  clk_ms timeout_ms; /* of one statement */
  clk_ms target_ms;  /* target duration of an operation */
  clk_ms max_staleness_ms;
  uint32_t priority; /* 0 is the highest */
  bool is_public;    /* callers need no key */
};

/* Hash of a caller's key; keys themselves are not kept.  */
#define KEY_HASH_BYTES 32

struct key_hash
{
  uint8_t bytes[KEY_HASH_BYTES];
};

/* Sets HASH to that of KEY.  */
void key_hash_set (struct key_hash *hash, const char *key);

/* A customer of the deployment, whose callers share keys, connections to
   instances and a rate limit.  */
struct workspace
{
  char name[NAME_BYTES]; /* as instances are told it */
  uint32_t rate_per_s;   /* limit in operations; 0: none */
  uint32_t burst;        /* operations above it */
  size_t key_count;
  struct key_hash *keys;
};

struct group_settings
{
  char name[NAME_BYTES];
  uint32_t connections; /* connection limit of one instance */
  uint32_t sync_replicas;
};

/* A complete configuration.  */
struct catalog_config
{
  uint64_t version;
  clk_ms tx_idle_ms;
  size_t statement_bytes; /* largest statement */
  size_t route_count;
  struct route *routes;
  size_t group_count;
  struct group_settings *groups;
  bool has_workspaces; /* callers are identified by keys */
  size_t workspace_count;
  struct workspace *workspaces;
};

/* Frees the contents of CONFIG and zeroes it.  */
void catalog_config_clear (struct catalog_config *config);

/* The entry that an instance writes to the platform's store.  */
struct instance_entry
{
  char id[NAME_BYTES];
  char group[NAME_BYTES];
  char address[ADDRESS_BYTES];
  uint16_t port;
  char zone[NAME_BYTES];
  uint32_t slots;
  bool draining;
  /* If it is draining: the time after which it announced that, as far as this
     host can tell.  */
  clk_ms leaving_since_ms;
  bool is_primary;   /* the instance's own view of its role */
  uint64_t born_ms;  /* start time of the instance */
  uint64_t sequence; /* of its writes since */
  uint64_t revision; /* index of the store, at which the entry was written */
};

struct catalog;

/* Callbacks for changes; each may be NULL.  */
struct catalog_watch
{
  void (*config) (void *arg);
  void (*instance) (void *arg, const struct instance_entry *entry);
  /* The entry has been absent for CATALOG_ABSENCE_MS.  ENTRY is the last one,
     draining since its removal or before.  */
  void (*gone) (void *arg, const struct instance_entry *entry);
  void *arg;
};

struct catalog *catalog_new (void);
struct module *catalog_module (struct catalog *catalog);

/* Sets the callbacks; a second call replaces those of the first.  */
void catalog_watch (struct catalog *catalog,
                    const struct catalog_watch *watch);

/* Applies CONFIG if its version is higher than that of the current one.
   Returns whether it was applied.  CONFIG is empty afterwards.  */
bool catalog_set_config (struct catalog *catalog,
                         struct catalog_config *config);

/* Returns the current configuration; its version is 0 if there is none.  */
const struct catalog_config *catalog_config (const struct catalog *catalog);

/* Returns the route of DATABASE, or NULL.  */
const struct route *catalog_route (const struct catalog *catalog,
                                   const char *database);

/* Returns the workspace NAME, or NULL.  */
const struct workspace *catalog_workspace (const struct catalog *catalog,
                                           const char *name);
/* Returns the workspace that holds KEY, or NULL.  A key that two workspaces
   hold belongs to the first.  */
const struct workspace *catalog_workspace_of (const struct catalog *catalog,
                                              const struct key_hash *key);

/* Adds or updates an instance; ignores an entry older than the known one.  */
void catalog_set_instance (struct catalog *catalog,
                           const struct instance_entry *entry);
/* Calls FN for the entry of each instance that is not gone.  */
void catalog_each_instance (const struct catalog *catalog,
                            void (*fn) (void *arg,
                                        const struct instance_entry *entry),
                            void *arg);
/* Marks the entry of instance ID as absent, unless it is newer than REVISION.
   It was removed after REMOVED_AFTER_MS.  */
void catalog_remove_instance (struct catalog *catalog, const char *id,
                              uint64_t revision, clk_ms removed_after_ms);

/* Start and end a complete listing: entries that are not set in between, and
   are not newer than REVISION, are marked as absent.  They were removed after
   REMOVED_AFTER_MS.  */
void catalog_begin_list (struct catalog *catalog);
void catalog_end_list (struct catalog *catalog, uint64_t revision,
                       clk_ms removed_after_ms);

#endif
