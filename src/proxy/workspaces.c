#include "proxy/workspaces.h"

#include <stdlib.h>

#include "kernel/mem.h"
#include "proxy/mirror.h"

struct workspaces
{
  struct module base;
  clk_ms revoke_ms;
  struct catalog *catalog;
  struct mirror *mirror;
};

/* A host that could not reach the store for this part of revoke_ms need not
   serve callers with keys.  */
#define CUT_OFF_PERCENT 60

clk_ms
workspaces_age_limit_ms (const struct workspaces_options *options)
{
  return options->revoke_ms * CUT_OFF_PERCENT / 100;
}

clk_ms
workspaces_age_ms (const struct workspaces *workspaces)
{
  clk_ms confirmed_ms = mirror_confirmed_ms (workspaces->mirror);
  return confirmed_ms != CLK_LONG_AGO
             ? kernel_now (workspaces->base.kernel) - confirmed_ms
             : -1;
}

/* Returns whether a key may have been withdrawn so long ago that it must not
   be used any more.  */
static bool
is_outdated (const struct workspaces *workspaces)
{
  clk_ms age_ms = workspaces_age_ms (workspaces);
  return workspaces->revoke_ms > 0
         && (age_ms < 0 || age_ms > workspaces->revoke_ms);
}

enum workspaces_verdict
workspaces_identify (struct workspaces *workspaces, const struct route *route,
                     const struct key_hash *key,
                     const struct workspace **workspace)
{
  *workspace = NULL;
  if (!catalog_config (workspaces->catalog)->has_workspaces)
    return WORKSPACES_NONE;
  if (key != NULL)
    *workspace = catalog_workspace_of (workspaces->catalog, key);
  if (*workspace == NULL)
    return route->is_public ? WORKSPACES_NONE : WORKSPACES_UNKNOWN;
  if (!is_outdated (workspaces))
    return WORKSPACES_KNOWN;
  *workspace = NULL;
  return route->is_public ? WORKSPACES_NONE : WORKSPACES_OUTDATED;
}

static void
workspaces_start (struct module *module)
{
  struct workspaces *workspaces = (struct workspaces *)module;
  workspaces->catalog
      = (struct catalog *)kernel_find (module->kernel, "catalog");
  workspaces->mirror = (struct mirror *)kernel_find (module->kernel, "mirror");
}

static void
workspaces_free (struct module *module)
{
  free (module);
}

static const struct module_ops workspaces_ops
    = { .start = workspaces_start, .free = workspaces_free };

struct workspaces *
workspaces_new (const struct workspaces_options *options)
{
  struct workspaces *workspaces = mem_zalloc (sizeof *workspaces);
  workspaces->base.ops = &workspaces_ops;
  workspaces->base.name = "workspaces";
  workspaces->revoke_ms = options->revoke_ms;
  return workspaces;
}

struct module *
workspaces_module (struct workspaces *workspaces)
{
  return &workspaces->base;
}
