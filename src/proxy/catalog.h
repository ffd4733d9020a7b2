/* catalog - the routes, replica groups and instances that the platform
   reports.

   Routes come from the operators' configuration; its version never goes
   back within a process.  Instances come from their own entries in the
   platform's store.  An entry that vanished proves nothing for
   CATALOG_LAPSE_MS: after an outage of the store entries of living instances
   come back.

   Module name: "catalog".  */

#ifndef SAVORYWAY_PROXY_CATALOG_H
#define SAVORYWAY_PROXY_CATALOG_H

#include <stdbool.h>
#include <stddef.h>

#include "core/types.h"
#include "kernel/kernel.h"

/* Entries that lapsed in an outage of the store return within two seconds
   of its end.  */
#define CATALOG_LAPSE_MS 2500

#define VALUE_NAME_BYTES 128

enum route_kind
{
  ROUTE_PRIMARY,
  ROUTE_BOUNDED, /* up to max_staleness_ms old */
  ROUTE_SESSION  /* likewise, and all commits of the same session */
};

struct route
{
  char database[NAME_BYTES];
  char group[NAME_BYTES];
  enum route_kind kind;
  clk_ms timeout_ms; /* of one statement */
  clk_ms target_ms;  /* of an operation */
  clk_ms max_staleness_ms;
  uint32_t priority; /* 0 is the highest */
};

struct group_settings
{
  char name[NAME_BYTES];
  uint32_t connections; /* limit of one instance */
  uint32_t sync_replicas;
};

/* A configuration in full.  */
struct catalog_config
{
  uint64_t version;
  clk_ms tx_idle_ms;
  size_t statement_bytes; /* largest statement */
  size_t route_count;
  struct route *routes;
  size_t group_count;
  struct group_settings *groups;
};

void catalog_config_clear (struct catalog_config *config);

/* An instance's own entry.  */
struct instance_entry
{
  char id[NAME_BYTES];
  char group[NAME_BYTES];
  char address[ADDRESS_BYTES];
  uint16_t port;
  char zone[NAME_BYTES];
  uint32_t slots;
  bool draining;
  bool is_primary; /* as it sees itself */
  uint64_t born_ms;
  uint64_t revision; /* of the store */
};

struct catalog;

/* Receives changes.  */
struct catalog_watch
{
  void (*config) (void *arg);
  void (*instance) (void *arg, const struct instance_entry *entry);
  /* The entry has been absent for CATALOG_LAPSE_MS.  */
  void (*gone) (void *arg, const char *id);
  void *arg;
};

struct catalog *catalog_new (void);
struct module *catalog_module (struct catalog *catalog);

/* At most one watcher: the proxy.  */
void catalog_watch (struct catalog *catalog,
                    const struct catalog_watch *watch);

/* Takes CONFIG over, unless its version is not above the present one.
   Returns whether it is in force.  CONFIG is emptied.  */
bool catalog_set_config (struct catalog *catalog,
                         struct catalog_config *config);

/* The configuration in force; version 0 if there is none.  */
const struct catalog_config *catalog_config (const struct catalog *catalog);

const struct route *catalog_route (const struct catalog *catalog,
                                   const char *database);

void catalog_set_instance (struct catalog *catalog,
                           const struct instance_entry *entry);
void catalog_remove_instance (struct catalog *catalog, const char *id,
                              uint64_t revision);

/* Begins and ends a full listing: entries not set in between count as
   removed.  */
void catalog_begin_list (struct catalog *catalog);
void catalog_end_list (struct catalog *catalog, uint64_t revision);

#endif
