#include "core/view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/view_team.h"
#include "kernel/mem.h"

#define ENDPOINT_KEY_BYTES (ADDRESS_BYTES + 16)

/* Address and port of an instance, as an entry of a hash table.  */
struct endpoint
{
  char key[ENDPOINT_KEY_BYTES];
  const struct view_instance *instance;
  UT_hash_handle hh;
};

static void
endpoint_key (const struct view_instance *instance,
              char key[ENDPOINT_KEY_BYTES])
{
  snprintf (key, ENDPOINT_KEY_BYTES, "%s port %u", instance->address,
            instance->port);
}

static void
collect_database (const struct view_database *database,
                  struct endpoint **endpoints)
{
  struct endpoint *head = *endpoints;
  for (size_t i = 0; i < database->instance_count; i++)
    {
      struct endpoint *endpoint = mem_zalloc (sizeof *endpoint);
      endpoint->instance = &database->instances[i];
      endpoint_key (endpoint->instance, endpoint->key);
      HASH_ADD_STR (head, key, endpoint);
    }
  *endpoints = head;
}

static struct endpoint *
collect_endpoints (const struct view_team *team)
{
  struct endpoint *endpoints = NULL;
  for (size_t i = 0; i < team->service_count; i++)
    for (size_t k = 0; k < team->services[i].database_count; k++)
      collect_database (team->services[i].databases[k], &endpoints);
  return endpoints;
}

static void
find_shared_endpoints (struct endpoint *endpoints,
                       const struct view_database *database,
                       struct findings *findings)
{
  for (size_t i = 0; i < database->instance_count; i++)
    {
      char key[ENDPOINT_KEY_BYTES], path[VIEW_PATH_BYTES];
      struct endpoint *endpoint = NULL;
      endpoint_key (&database->instances[i], key);
      HASH_FIND_STR (endpoints, key, endpoint);
      if (endpoint == NULL)
        continue;
      view_instance_path (endpoint->instance, path);
      findings_add (findings, path, "%s is that of %s too", key,
                    database->instances[i].name);
    }
}

/* Adds a finding for each instance of TEAM whose address and port another
   team uses.  Two teams that share a backend server would each plan with its
   whole connection limit.  */
static void
check_other_teams (struct view *view, const struct view_team *team,
                   struct findings *findings)
{
  struct endpoint *endpoint, *next;
  struct endpoint *endpoints = collect_endpoints (team);
  for (struct view_database *d = view_first_database (view); d != NULL;
       d = d->hh.next)
    if (strcmp (d->service->team, team->name) != 0)
      find_shared_endpoints (endpoints, d, findings);
  HASH_ITER (hh, endpoints, endpoint, next)
  {
    HASH_DEL (endpoints, endpoint);
    free (endpoint);
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
