#include "core/sync_store.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"

void
sync_store_clear (struct sync_store *store)
{
  struct sync_team *team, *next;
  HASH_ITER (hh, store->teams, team, next)
  {
    HASH_DEL (store->teams, team);
    free (team->json);
    free (team);
  }
}

static struct sync_team *
team_get (struct sync_store *store, const char *name)
{
  struct sync_team *team = NULL;
  size_t length = strlen (name);
  if (length == 0 || length >= NAME_BYTES)
    return NULL;
  HASH_FIND (hh, store->teams, name, length, team);
  if (team != NULL)
    return team;
  team = mem_zalloc (sizeof *team);
  memcpy (team->name, name, length);
  team->erased = true;
  HASH_ADD (hh, store->teams, name, length, team);
  return team;
}

/* A value that this version can't parse is kept and passed on, but the view
   keeps what it had.  */
static void
apply (struct sync_store *store, const struct sync_team *team)
{
  struct findings findings = { 0 };
  if (view_apply (store->view, team->name, team->json, team->json_bytes,
                  &findings))
    return;
  metrics_increment (kernel_metrics (store->kernel), "config_rejected_total");
  for (size_t i = 0; i < findings.count; i++)
    log_event (kernel_log (store->kernel), LOG_ERR, "config_finding",
               LOG_S ("team", team->name), LOG_U ("index", team->index),
               LOG_S ("path", findings.items[i].path),
               LOG_S ("text", findings.items[i].text));
  findings_clear (&findings);
}

void
sync_store_put (struct sync_store *store, const char *name, uint64_t index,
                uint64_t revision, const char *json, size_t json_bytes)
{
  struct sync_team *team = team_get (store, name);
  if (team == NULL)
    return;
  team->marked = true;
  if (revision > team->revision)
    team->revision = revision;
  if (index <= team->index && !MUTANT (apply_lower_revision))
    return;
  free (team->json);
  team->json = mem_copy (json, json_bytes);
  team->json_bytes = json_bytes;
  team->index = index;
  team->erased = false;
  apply (store, team);
}

void
sync_store_erase (struct sync_store *store, const char *name,
                  uint64_t revision)
{
  struct sync_team *team = team_get (store, name);
  if (team == NULL)
    return;
  if (revision > team->revision)
    team->revision = revision;
  if (team->erased)
    return;
  free (team->json);
  team->json = NULL;
  team->json_bytes = 0;
  team->index = 0;
  team->erased = true;
  view_remove (store->view, team->name);
}

void
sync_store_begin_full (struct sync_store *store)
{
  for (struct sync_team *t = store->teams; t != NULL; t = t->hh.next)
    t->marked = false;
}

void
sync_store_end_full (struct sync_store *store, uint64_t revision)
{
  for (struct sync_team *t = store->teams; t != NULL; t = t->hh.next)
    if (!t->marked && !t->erased)
      sync_store_erase (store, t->name, revision);
  store->floor = revision;
}

void
sync_store_commit (struct sync_store *store, uint64_t revision,
                   const char *source)
{
  if (store->known && revision <= store->revision
      && !MUTANT (apply_lower_revision))
    return;
  store->known = true;
  store->revision = revision;
  *metrics_value (kernel_metrics (store->kernel), "config_revision")
      = (int64_t)revision;
  log_event (kernel_log (store->kernel), LOG_INFO, "config_in_force",
             LOG_U ("revision", revision), LOG_S ("source", source));
}
