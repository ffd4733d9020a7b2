#include "proxy/catalog.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <uthash.h>

#include "kernel/mem.h"
#include "port/platform_port.h"

struct catalog_instance
{
  struct instance_entry entry;
  struct catalog *catalog;
  bool listed;             /* set since the start of the last listing */
  struct ktimer absence;   /* armed while the entry is absent */
  clk_ms removed_after_ms; /* if it is absent */
  bool gone;               /* absent for longer than CATALOG_ABSENCE_MS */
  UT_hash_handle hh;
};

struct catalog_route
{
  struct route route;
  UT_hash_handle hh;
};

struct catalog_key
{
  struct key_hash key;
  const struct workspace *workspace;
  UT_hash_handle hh;
};

struct catalog_workspace
{
  const struct workspace *workspace;
  UT_hash_handle hh;
};

struct catalog
{
  struct module base;
  struct catalog_config config;
  struct catalog_route *routes; /* by database */
  struct catalog_key *keys;
  struct catalog_workspace *workspaces; /* by name */
  struct catalog_instance *instances;
  struct catalog_watch watch;
};

void
catalog_config_clear (struct catalog_config *config)
{
  free (config->routes);
  free (config->groups);
  for (size_t i = 0; i < config->workspace_count; i++)
    free (config->workspaces[i].keys);
  free (config->workspaces);
  *config = (struct catalog_config){ 0 };
}

void
catalog_watch (struct catalog *catalog, const struct catalog_watch *watch)
{
  catalog->watch = *watch;
}

static void
clear_routes (struct catalog *catalog)
{
  struct catalog_route *row, *next;
  HASH_ITER (hh, catalog->routes, row, next)
  {
    HASH_DEL (catalog->routes, row);
    free (row);
  }
}

static void
index_routes (struct catalog *catalog)
{
  clear_routes (catalog);
  for (size_t i = 0; i < catalog->config.route_count; i++)
    {
      const struct route *route = &catalog->config.routes[i];
      struct catalog_route *row;
      HASH_FIND_STR (catalog->routes, route->database, row);
      if (row != NULL)
        continue;
      row = mem_zalloc (sizeof *row);
      row->route = *route;
      HASH_ADD_STR (catalog->routes, route.database, row);
    }
}

static void
clear_workspaces (struct catalog *catalog)
{
  struct catalog_key *key, *next_key;
  struct catalog_workspace *row, *next;
  HASH_ITER (hh, catalog->keys, key, next_key)
  {
    HASH_DEL (catalog->keys, key);
    free (key);
  }
  HASH_ITER (hh, catalog->workspaces, row, next)
  {
    HASH_DEL (catalog->workspaces, row);
    free (row);
  }
}

static void
index_key (struct catalog *catalog, const struct workspace *workspace,
           const struct key_hash *hash)
{
  struct catalog_key *key;
  HASH_FIND (hh, catalog->keys, hash, sizeof *hash, key);
  if (key != NULL)
    {
      log_event (kernel_log (catalog->base.kernel), LOG_WARNING,
                 "key_held_twice", LOG_S ("workspace", key->workspace->name),
                 LOG_S ("ignored", workspace->name));
      return;
    }
  key = mem_zalloc (sizeof *key);
  key->key = *hash;
  key->workspace = workspace;
  HASH_ADD (hh, catalog->keys, key, sizeof key->key, key);
}

static void
index_workspaces (struct catalog *catalog)
{
  for (size_t i = 0; i < catalog->config.workspace_count; i++)
    {
      const struct workspace *workspace = &catalog->config.workspaces[i];
      struct catalog_workspace *row = mem_zalloc (sizeof *row);
      row->workspace = workspace;
      HASH_ADD_KEYPTR (hh, catalog->workspaces, workspace->name,
                       strlen (workspace->name), row);
      for (size_t k = 0; k < workspace->key_count; k++)
        index_key (catalog, workspace, &workspace->keys[k]);
    }
}

bool
catalog_set_config (struct catalog *catalog, struct catalog_config *config)
{
  struct kernel *kernel = catalog->base.kernel;
  if (config->version < catalog->config.version)
    log_event (kernel_log (kernel), LOG_NOTICE, "config_older",
               LOG_U ("version", config->version),
               LOG_U ("known", catalog->config.version));
  if (config->version <= catalog->config.version)
    {
      catalog_config_clear (config);
      return false;
    }
  log_event (kernel_log (kernel), LOG_NOTICE, "config_in_force",
             LOG_U ("version", config->version),
             LOG_U ("before", catalog->config.version),
             LOG_U ("routes", config->route_count),
             LOG_U ("workspaces", config->workspace_count));
  clear_workspaces (catalog);
  catalog_config_clear (&catalog->config);
  catalog->config = *config;
  *config = (struct catalog_config){ 0 };
  index_routes (catalog);
  index_workspaces (catalog);
  if (catalog->watch.config != NULL)
    catalog->watch.config (catalog->watch.arg);
  return true;
}

const struct catalog_config *
catalog_config (const struct catalog *catalog)
{
  return &catalog->config;
}

const struct route *
catalog_route (const struct catalog *catalog, const char *database)
{
  struct catalog_route *row;
  HASH_FIND_STR (catalog->routes, database, row);
  return row != NULL ? &row->route : NULL;
}

void
key_hash_set (struct key_hash *hash, const char *key)
{
  crypto_generichash (hash->bytes, sizeof hash->bytes,
                      (const unsigned char *)key, strlen (key), NULL, 0);
}

const struct workspace *
catalog_workspace (const struct catalog *catalog, const char *name)
{
  struct catalog_workspace *row;
  HASH_FIND_STR (catalog->workspaces, name, row);
  return row != NULL ? row->workspace : NULL;
}

const struct workspace *
catalog_workspace_of (const struct catalog *catalog,
                      const struct key_hash *key)
{
  struct catalog_key *row;
  HASH_FIND (hh, catalog->keys, key, sizeof *key, row);
  return row != NULL ? row->workspace : NULL;
}

static void
drop_instance (struct catalog_instance *instance)
{
  struct catalog *catalog = instance->catalog;
  kernel_timer_cancel (catalog->base.kernel, &instance->absence);
  HASH_DEL (catalog->instances, instance);
  free (instance);
}

static void
absence_expired (void *arg)
{
  struct catalog_instance *instance = arg;
  struct catalog *catalog = instance->catalog;
  struct kernel *kernel = catalog->base.kernel;
  struct instance_entry entry = instance->entry;
  if (instance->gone)
    {
      drop_instance (instance);
      return;
    }
  instance->gone = true;
  kernel_timer_set (kernel, &instance->absence,
                    kernel_now (kernel) + CATALOG_FORGET_MS);
  log_event (kernel_log (catalog->base.kernel), LOG_NOTICE, "instance_gone",
             LOG_S ("instance", entry.id),
             LOG_I ("absent_ms", CATALOG_ABSENCE_MS));
  if (!entry.draining || instance->removed_after_ms < entry.leaving_since_ms)
    entry.leaving_since_ms = instance->removed_after_ms;
  entry.draining = true;
  if (catalog->watch.gone != NULL)
    catalog->watch.gone (catalog->watch.arg, &entry);
}

/* Returns whether A and B differ in a field that decisions depend on.  */
static bool
entry_differs (const struct instance_entry *a, const struct instance_entry *b)
{
  return strcmp (a->group, b->group) != 0
         || strcmp (a->address, b->address) != 0 || a->port != b->port
         || a->draining != b->draining || a->is_primary != b->is_primary
         || a->born_ms != b->born_ms;
}

/* Returns whether ENTRY was replaced by KNOWN.  In a later era of the store
   the order of the instance's own writes applies.  */
static bool
is_older (const struct instance_entry *entry,
          const struct instance_entry *known)
{
  if (platform_index_era (entry->revision)
      <= platform_index_era (known->revision))
    return entry->revision < known->revision;
  if (entry->born_ms != known->born_ms)
    return entry->born_ms < known->born_ms;
  return entry->sequence < known->sequence;
}

/* Ignores ENTRY, which was replaced by that of INSTANCE.  */
static void
ignore_entry (struct catalog_instance *instance,
              const struct instance_entry *entry)
{
  uint64_t known = instance->entry.revision;
  log_event (kernel_log (instance->catalog->base.kernel), LOG_NOTICE,
             "entry_older", LOG_S ("instance", entry->id),
             LOG_S ("state", entry->draining ? "draining" : "ready"),
             LOG_U ("era", platform_index_era (entry->revision)),
             LOG_U ("revision", platform_index_revision (entry->revision)),
             LOG_U ("known_era", platform_index_era (known)),
             LOG_U ("known", platform_index_revision (known)));
  instance->listed = true;
  /* What is written next in this era is newer.  */
  if (entry->revision > known)
    instance->entry.revision = entry->revision;
}

/* Replaces KNOWN by ENTRY, but keeps the time of an announcement that both
   contain.  */
static void
update_entry (struct instance_entry *known, const struct instance_entry *entry)
{
  clk_ms since_ms = known->leaving_since_ms;
  bool leaves = known->draining && known->born_ms == entry->born_ms;
  *known = *entry;
  if (leaves && since_ms < known->leaving_since_ms)
    known->leaving_since_ms = since_ms;
}

void
catalog_set_instance (struct catalog *catalog,
                      const struct instance_entry *entry)
{
  struct kernel *kernel = catalog->base.kernel;
  struct catalog_instance *instance;
  HASH_FIND_STR (catalog->instances, entry->id, instance);
  bool changed = true;
  if (instance == NULL)
    {
      instance = mem_zalloc (sizeof *instance);
      instance->catalog = catalog;
      instance->absence.fire = absence_expired;
      instance->absence.arg = instance;
      instance->entry = *entry;
      HASH_ADD_STR (catalog->instances, entry.id, instance);
    }
  else
    {
      if (is_older (entry, &instance->entry))
        {
          ignore_entry (instance, entry);
          return;
        }
      changed = entry_differs (&instance->entry, entry)
                || instance->absence.slot != 0;
      update_entry (&instance->entry, entry);
    }
  instance->listed = true;
  instance->gone = false;
  kernel_timer_cancel (kernel, &instance->absence);
  if (!changed)
    return;
  log_event (kernel_log (kernel), LOG_NOTICE, "instance",
             LOG_S ("instance", entry->id), LOG_S ("group", entry->group),
             LOG_S ("address", entry->address), LOG_S ("zone", entry->zone),
             LOG_S ("role", entry->is_primary ? "primary" : "replica"),
             LOG_S ("state", entry->draining ? "draining" : "ready"),
             LOG_U ("revision", platform_index_revision (entry->revision)));
  if (catalog->watch.instance != NULL)
    catalog->watch.instance (catalog->watch.arg, &instance->entry);
}

void
catalog_each_instance (const struct catalog *catalog,
                       void (*fn) (void *arg,
                                   const struct instance_entry *entry),
                       void *arg)
{
  struct catalog_instance *instance, *next;
  HASH_ITER (hh, catalog->instances, instance, next)
  {
    if (!instance->gone)
      fn (arg, &instance->entry);
  }
}

static void
mark_absent (struct catalog_instance *instance, clk_ms removed_after_ms)
{
  struct kernel *kernel = instance->catalog->base.kernel;
  if (instance->absence.slot != 0)
    return;
  log_event (kernel_log (kernel), LOG_NOTICE, "instance_absent",
             LOG_S ("instance", instance->entry.id));
  instance->removed_after_ms = removed_after_ms;
  kernel_timer_set (kernel, &instance->absence,
                    kernel_now (kernel) + CATALOG_ABSENCE_MS);
}

void
catalog_remove_instance (struct catalog *catalog, const char *id,
                         uint64_t revision, clk_ms removed_after_ms)
{
  struct catalog_instance *instance;
  HASH_FIND_STR (catalog->instances, id, instance);
  if (instance != NULL && instance->entry.revision <= revision)
    mark_absent (instance, removed_after_ms);
}

void
catalog_begin_list (struct catalog *catalog)
{
  struct catalog_instance *instance, *next;
  HASH_ITER (hh, catalog->instances, instance, next)
  instance->listed = false;
}

void
catalog_end_list (struct catalog *catalog, uint64_t revision,
                  clk_ms removed_after_ms)
{
  struct catalog_instance *instance, *next;
  HASH_ITER (hh, catalog->instances, instance, next)
  {
    if (!instance->listed && instance->entry.revision <= revision)
      mark_absent (instance, removed_after_ms);
  }
}

static void
catalog_free (struct module *module)
{
  struct catalog *catalog = (struct catalog *)module;
  struct catalog_instance *instance, *next;
  HASH_ITER (hh, catalog->instances, instance, next)
  drop_instance (instance);
  clear_routes (catalog);
  clear_workspaces (catalog);
  catalog_config_clear (&catalog->config);
  free (catalog);
}

static const struct module_ops catalog_ops = { .free = catalog_free };

struct catalog *
catalog_new (void)
{
  struct catalog *catalog = mem_zalloc (sizeof *catalog);
  catalog->base.ops = &catalog_ops;
  catalog->base.name = "catalog";
  return catalog;
}

struct module *
catalog_module (struct catalog *catalog)
{
  return &catalog->base;
}
