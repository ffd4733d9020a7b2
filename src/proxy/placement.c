#include "proxy/placement.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

#include "kernel/mem.h"
#include "kernel/text.h"
#include "proxy/backend.h"
#include "proxy/catalog.h"

/* Cached assignment of a group, valid for the two versions.  */
struct entry
{
  char name[NAME_BYTES];
  uint64_t hosts_version;
  uint64_t config_version;
  struct placed_group placed;
  UT_hash_handle hh;
};

struct placement
{
  struct module base;
  struct catalog *catalog;
  struct hosts *hosts;
  struct entry *entries;
};

size_t
placement_width (size_t connections, size_t hosts, size_t groups)
{
  size_t usable = connections > BACKEND_RESERVED_CONNECTIONS
                      ? connections - BACKEND_RESERVED_CONNECTIONS
                      : 1;
  if (usable >= hosts * PLACEMENT_DIRECT_CONNECTIONS)
    return groups;
  size_t width = usable * groups / (hosts * PLACEMENT_CONNECTIONS);
  return width > 0 ? width : 1;
}

static uint64_t
weight (const char *host, const char *group)
{
  return XXH64 (group, strlen (group), XXH64 (host, strlen (host), 0));
}

size_t
placement_rank (const char *host, const char *group, const char *const *groups,
                size_t count)
{
  uint64_t own = weight (host, group);
  size_t rank = 0;
  for (size_t i = 0; i < count; i++)
    rank += weight (host, groups[i]) > own;
  return rank;
}

static const struct group_settings *
find_settings (const struct catalog_config *config, const char *group)
{
  for (size_t i = 0; i < config->group_count; i++)
    if (strcmp (config->groups[i].name, group) == 0)
      return &config->groups[i];
  return NULL;
}

/* Determines the hosts that serve the group of ENTRY: all of them if the
   connection limit of its instances is not known.  */
static void
assign_hosts (struct placement *placement, struct entry *entry)
{
  const struct catalog_config *config = catalog_config (placement->catalog);
  const struct group_settings *settings = find_settings (config, entry->name);
  struct placed_group *placed = &entry->placed;
  size_t count, groups = config->group_count;
  const struct other_host *others = hosts_list (placement->hosts, &count);
  const char **names = mem_zalloc ((groups + 1) * sizeof *names);
  size_t width = groups + 1;
  for (size_t i = 0; i < groups; i++)
    names[i] = config->groups[i].name;
  if (settings != NULL)
    width = placement_width (settings->connections, count + 1, groups);
  free (placed->hosts);
  placed->hosts = mem_zalloc ((count + 1) * sizeof *placed->hosts);
  placed->count = 0;
  placed->served_here = placement_rank (hosts_own_name (placement->hosts),
                                        entry->name, names, groups)
                        < width;
  for (size_t i = 0; i < count; i++)
    if (placement_rank (others[i].address.name, entry->name, names, groups)
        < width)
      placed->hosts[placed->count++] = &others[i];
  free (names);
}

const struct placed_group *
placement_find (struct placement *placement, const char *group)
{
  uint64_t hosts = hosts_version (placement->hosts);
  uint64_t config = catalog_config (placement->catalog)->version;
  struct entry *entry;
  HASH_FIND_STR (placement->entries, group, entry);
  if (entry != NULL && entry->hosts_version == hosts
      && entry->config_version == config)
    return &entry->placed;
  if (entry == NULL)
    {
      entry = mem_zalloc (sizeof *entry);
      text_copy (entry->name, sizeof entry->name, group);
      HASH_ADD_STR (placement->entries, name, entry);
    }
  entry->hosts_version = hosts;
  entry->config_version = config;
  assign_hosts (placement, entry);
  return &entry->placed;
}

static void
placement_start (struct module *module)
{
  struct placement *placement = (struct placement *)module;
  placement->catalog
      = (struct catalog *)kernel_find (module->kernel, "catalog");
  placement->hosts = (struct hosts *)kernel_find (module->kernel, "hosts");
}

static void
placement_free (struct module *module)
{
  struct placement *placement = (struct placement *)module;
  struct entry *entry, *next;
  HASH_ITER (hh, placement->entries, entry, next)
  {
    HASH_DEL (placement->entries, entry);
    free (entry->placed.hosts);
    free (entry);
  }
  free (placement);
}

static const struct module_ops placement_ops
    = { .start = placement_start, .free = placement_free };

struct placement *
placement_new (void)
{
  struct placement *placement = mem_zalloc (sizeof *placement);
  placement->base.ops = &placement_ops;
  placement->base.name = "placement";
  return placement;
}

struct module *
placement_module (struct placement *placement)
{
  return &placement->base;
}
