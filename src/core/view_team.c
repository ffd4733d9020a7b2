#include "core/view_team.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/view_schema.h"
#include "kernel/mem.h"

#define SERVICES_LIMIT 1000
#define DATABASES_LIMIT 1000
#define KINDS_LIMIT 200
#define CALLERS_LIMIT 1000

/* A write is acknowledged once one replica has received it.  That replica and
   the primary are a majority only of three instances or fewer.  */
#define INSTANCES_LIMIT 3

/* Works for each element type whose first member is its name.  */
static int
by_name (const void *a, const void *b)
{
  return strcmp (a, b);
}

static int
by_database_name (const void *a, const void *b)
{
  return strcmp ((*(struct view_database *const *)a)->name,
                 (*(struct view_database *const *)b)->name);
}

static void
read_callers (struct reader *reader, json_t *object, const char *map_name,
              struct view_caller **out, size_t *out_count)
{
  size_t mark;
  json_t *map
      = reader_enter_map (reader, object, map_name, 0, CALLERS_LIMIT, &mark);
  if (map == NULL)
    return;
  struct view_caller *callers
      = mem_zalloc ((json_object_size (map) + 1) * sizeof *callers);
  size_t count = 0;
  const char *key;
  json_t *value;
  json_object_foreach (map, key, value)
  {
    struct view_caller *caller = &callers[count++];
    size_t inner = reader_enter (reader, key);
    reader_name (reader, key, caller->name);
    reader_fields (reader, value, &schema_caller, caller);
    reader_leave (reader, inner);
  }
  qsort (callers, count, sizeof *callers, by_name);
  *out = callers;
  *out_count = count;
  reader_leave (reader, mark);
}

static void
check_kind (struct reader *reader, const struct view_kind *kind)
{
  if (kind->write && kind->freshness != FRESHNESS_STRONG)
    reader_fault (reader, "freshness",
                  "must be strong unless \"write\" is false");
  if (kind->freshness == FRESHNESS_MAX_AGE && kind->max_age_ms == 0)
    reader_fault (reader, "max_age_ms",
                  "must be given where freshness is max_age");
  if (kind->freshness != FRESHNESS_MAX_AGE && kind->max_age_ms != 0)
    reader_fault (reader, "max_age_ms",
                  "has no meaning unless freshness is max_age");
  if (kind->cost_ms > kind->deadline_ms)
    reader_fault (reader, "cost_ms", "must not be above deadline_ms");
}

static void
read_kinds (struct reader *reader, json_t *object,
            struct view_service *service)
{
  size_t mark;
  json_t *map
      = reader_enter_map (reader, object, "kinds", 0, KINDS_LIMIT, &mark);
  if (map == NULL)
    return;
  service->kinds
      = mem_zalloc ((json_object_size (map) + 1) * sizeof *service->kinds);
  const char *key;
  json_t *value;
  json_object_foreach (map, key, value)
  {
    struct view_kind *kind = &service->kinds[service->kind_count++];
    size_t inner = reader_enter (reader, key);
    size_t before = reader->faults;
    *kind = schema_strictest_kind;
    reader_name (reader, key, kind->name);
    reader_fields (reader, value, &schema_kind, kind);
    if (reader->faults == before)
      check_kind (reader, kind);
    reader_leave (reader, inner);
  }
  qsort (service->kinds, service->kind_count, sizeof *service->kinds, by_name);
  reader_leave (reader, mark);
}

static void
read_instances (struct reader *reader, json_t *object,
                struct view_database *database)
{
  size_t mark;
  json_t *map = reader_enter_map (reader, object, "instances", 1,
                                  INSTANCES_LIMIT, &mark);
  if (map == NULL)
    return;
  database->instances = mem_zalloc ((json_object_size (map) + 1)
                                    * sizeof *database->instances);
  const char *key;
  json_t *value;
  json_object_foreach (map, key, value)
  {
    char name[NAME_BYTES] = "";
    struct view_instance *instance
        = &database->instances[database->instance_count++];
    size_t inner = reader_enter (reader, key);
    reader_name (reader, key, name);
    snprintf (instance->name, sizeof instance->name, "%.191s/%s",
              database->name, name);
    reader_fields (reader, value, &schema_instance, instance);
    reader_leave (reader, inner);
  }
  qsort (database->instances, database->instance_count,
         sizeof *database->instances, by_name);
  reader_leave (reader, mark);
}

static void
read_database (struct reader *reader, json_t *object, const char *key,
               struct view_database *database)
{
  char name[NAME_BYTES] = "";
  reader_name (reader, key, name);
  snprintf (database->name, sizeof database->name, "%s/%s",
            database->service->name, name);
  if (!reader_fields (reader, object, &schema_database, database))
    return;
  if (database->slots > database->connections / 2)
    reader_fault (reader, "slots",
                  "must be at most half of connections, as two gateways "
                  "share them");
  read_instances (reader, object, database);
}

static void
read_databases (struct reader *reader, json_t *object,
                struct view_service *service)
{
  size_t mark;
  json_t *map = reader_enter_map (reader, object, "databases", 0,
                                  DATABASES_LIMIT, &mark);
  if (map == NULL)
    return;
  service->databases
      = mem_zalloc ((json_object_size (map) + 1) * sizeof (void *));
  const char *key;
  json_t *value;
  json_object_foreach (map, key, value)
  {
    struct view_database *database = mem_zalloc (sizeof *database);
    service->databases[service->database_count++] = database;
    database->service = service;
    size_t inner = reader_enter (reader, key);
    read_database (reader, value, key, database);
    reader_leave (reader, inner);
  }
  qsort (service->databases, service->database_count, sizeof (void *),
         by_database_name);
  reader_leave (reader, mark);
}

static void
read_service (struct reader *reader, json_t *object, const char *key,
              struct view_service *service)
{
  char name[NAME_BYTES] = "";
  reader_name (reader, key, name);
  snprintf (service->name, sizeof service->name, "%s/%s", service->team, name);
  if (!reader_fields (reader, object, &schema_service, service))
    return;
  read_callers (reader, object, "callers", &service->callers,
                &service->caller_count);
  read_kinds (reader, object, service);
  read_databases (reader, object, service);
}

static void
read_services (struct reader *reader, json_t *object, struct view_team *team)
{
  size_t mark;
  json_t *map = reader_enter_map (reader, object, "services", 0,
                                  SERVICES_LIMIT, &mark);
  if (map == NULL)
    return;
  team->services
      = mem_zalloc ((json_object_size (map) + 1) * sizeof *team->services);
  const char *key;
  json_t *value;
  json_object_foreach (map, key, value)
  {
    struct view_service *service = &team->services[team->service_count++];
    memcpy (service->team, team->name, sizeof service->team);
    size_t inner = reader_enter (reader, key);
    read_service (reader, value, key, service);
    reader_leave (reader, inner);
  }
  reader_leave (reader, mark);
}

/* Sorting moves the services, so the databases' pointers to them are set
   again.  */
static void
sort_services (struct view_team *team)
{
  if (team->service_count > 0)
    qsort (team->services, team->service_count, sizeof *team->services,
           by_name);
  for (size_t i = 0; i < team->service_count; i++)
    for (size_t k = 0; k < team->services[i].database_count; k++)
      team->services[i].databases[k]->service = &team->services[i];
}

static int
by_endpoint (const void *a, const void *b)
{
  const struct view_instance *left = *(const struct view_instance *const *)a;
  const struct view_instance *right = *(const struct view_instance *const *)b;
  int order = strcmp (left->address, right->address);
  if (order == 0)
    order = (int)left->port - (int)right->port;
  return order != 0 ? order : strcmp (left->name, right->name);
}

static size_t
collect_instances (const struct view_team *team,
                   const struct view_instance **out)
{
  size_t count = 0;
  for (size_t i = 0; i < team->service_count; i++)
    for (size_t k = 0; k < team->services[i].database_count; k++)
      {
        const struct view_database *database = team->services[i].databases[k];
        for (size_t j = 0; j < database->instance_count; j++, count++)
          if (out != NULL)
            out[count] = &database->instances[j];
      }
  return count;
}

void
view_instance_path (const struct view_instance *instance,
                    char out[VIEW_PATH_BYTES])
{
  char service[NAME_BYTES] = "", database[NAME_BYTES] = "";
  char name[NAME_BYTES] = "";
  sscanf (instance->name, "%*[^/]/%63[^/]/%63[^/]/%63s", service, database,
          name);
  snprintf (out, VIEW_PATH_BYTES,
            "services/%s/databases/%s/instances/%s/address", service, database,
            name);
}

/* Two instances with the same address and port are one server, which would
   be counted twice in a majority.  */
static void
check_addresses (struct reader *reader, const struct view_team *team)
{
  size_t count = collect_instances (team, NULL);
  const struct view_instance **all = mem_zalloc ((count + 1) * sizeof *all);
  collect_instances (team, all);
  qsort (all, count, sizeof *all, by_endpoint);
  for (size_t i = 1; i < count; i++)
    {
      const struct view_instance *a = all[i - 1];
      const struct view_instance *b = all[i];
      if (b->port == 0 || a->port != b->port
          || strcmp (a->address, b->address) != 0)
        continue;
      char path[VIEW_PATH_BYTES];
      view_instance_path (b, path);
      reader->faults++;
      findings_add (reader->findings, path, "%s port %u is that of %s too",
                    b->address, b->port, a->name);
    }
  free (all);
}

static void
read_team (struct reader *reader, json_t *tree, struct view_team *team)
{
  if (!reader_fields (reader, tree, &schema_team, team))
    return;
  read_callers (reader, tree, "operators", &team->operators,
                &team->operator_count);
  read_services (reader, tree, team);
  sort_services (team);
  check_addresses (reader, team);
}

struct view_team *
view_team_parse (const char *name, const char *json, size_t length,
                 bool strict, struct findings *findings)
{
  if (!view_name_valid (name))
    {
      findings_add (findings, "", "name of the team " NAME_REQUIREMENT);
      return NULL;
    }
  json_error_t error;
  json_t *tree = json_loadb (json, length, JSON_REJECT_DUPLICATES, &error);
  if (tree == NULL)
    {
      findings_add (findings, "", "not valid JSON at line %d, column %d: %s",
                    error.line, error.column, error.text);
      return NULL;
    }
  struct view_team *team = mem_zalloc (sizeof *team);
  memcpy (team->name, name, strlen (name) + 1);
  struct reader reader = { .findings = findings, .strict = strict };
  read_team (&reader, tree, team);
  json_decref (tree);
  if (reader.faults == 0)
    return team;
  view_team_free (team);
  return NULL;
}

static void
free_callers (struct view_caller *callers, size_t count)
{
  for (size_t i = 0; i < count; i++)
    free (callers[i].secret_hash);
  free (callers);
}

static void
free_service (struct view_service *service)
{
  free_callers (service->callers, service->caller_count);
  free (service->kinds);
  for (size_t i = 0; i < service->database_count; i++)
    {
      free (service->databases[i]->instances);
      free (service->databases[i]);
    }
  free (service->databases);
}

void
view_team_free (struct view_team *team)
{
  if (team == NULL)
    return;
  free_callers (team->operators, team->operator_count);
  for (size_t i = 0; i < team->service_count; i++)
    free_service (&team->services[i]);
  free (team->services);
  free (team);
}

const struct view_kind *
view_kind (const struct view_service *service, const char *kind)
{
  const struct view_kind *found = NULL;
  if (kind != NULL && service->kind_count > 0)
    found = bsearch (kind, service->kinds, service->kind_count,
                     sizeof *service->kinds, by_name);
  return found != NULL ? found : &schema_strictest_kind;
}
