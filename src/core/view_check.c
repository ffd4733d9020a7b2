#include "core/view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/view_team.h"
#include "kernel/mem.h"

#define PLACE_BYTES (ADDRESS_BYTES + 16)

/* Where an instance is reached; the key is address and port.  */
struct place
{
  char key[PLACE_BYTES];
  const struct view_instance *instance;
  UT_hash_handle hh;
};

static void
place_key (const struct view_instance *instance, char key[PLACE_BYTES])
{
  snprintf (key, PLACE_BYTES, "%s port %u", instance->address, instance->port);
}

static void
collect_database (const struct view_database *database, struct place **places)
{
  struct place *head = *places;
  for (size_t i = 0; i < database->instance_count; i++)
    {
      struct place *place = mem_zalloc (sizeof *place);
      place->instance = &database->instances[i];
      place_key (place->instance, place->key);
      HASH_ADD_STR (head, key, place);
    }
  *places = head;
}

static struct place *
collect_places (const struct view_team *team)
{
  struct place *places = NULL;
  for (size_t i = 0; i < team->service_count; i++)
    for (size_t k = 0; k < team->services[i].database_count; k++)
      collect_database (team->services[i].databases[k], &places);
  return places;
}

static void
compare_places (struct place *places, const struct view_database *database,
                struct findings *findings)
{
  for (size_t i = 0; i < database->instance_count; i++)
    {
      char key[PLACE_BYTES], path[VIEW_PATH_BYTES];
      struct place *place = NULL;
      place_key (&database->instances[i], key);
      HASH_FIND_STR (places, key, place);
      if (place == NULL)
        continue;
      view_instance_path (place->instance, path);
      findings_add (findings, path, "%s is that of %s too", key,
                    database->instances[i].name);
    }
}

/* Two teams that name one backend server would both count its connections as
   their own.  */
static void
check_other_teams (struct view *view, const struct view_team *team,
                   struct findings *findings)
{
  struct place *place, *next;
  struct place *places = collect_places (team);
  for (struct view_database *d = view_first_database (view); d != NULL;
       d = d->hh.next)
    if (strcmp (d->service->team, team->name) != 0)
      compare_places (places, d, findings);
  HASH_ITER (hh, places, place, next)
  {
    HASH_DEL (places, place);
    free (place);
  }
}

bool
view_validate (struct view *view, const char *team, const char *json,
               size_t length, struct findings *findings)
{
  struct view_team *parsed
      = view_team_parse (team, json, length, true, findings);
  if (parsed == NULL)
    return false;
  size_t before = findings->count;
  check_other_teams (view, parsed, findings);
  view_team_free (parsed);
  return findings->count == before;
}
