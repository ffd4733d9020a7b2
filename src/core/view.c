#include "core/view.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "core/view_team.h"
#include "kernel/mem.h"

#define SECRET_LIMIT_BYTES 1024

struct view
{
  struct view_team *teams;
  struct view_service *services;
  struct view_database *databases;
  bool sorted;
  uint64_t generation;
};

struct view *
view_new (void)
{
  return mem_zalloc (sizeof (struct view));
}

static void
unlink_team (struct view *view, struct view_team *team)
{
  for (size_t i = 0; i < team->service_count; i++)
    {
      struct view_service *service = &team->services[i];
      for (size_t k = 0; k < service->database_count; k++)
        if (view->databases != NULL)
          HASH_DEL (view->databases, service->databases[k]);
      if (view->services != NULL)
        HASH_DEL (view->services, service);
    }
  HASH_DEL (view->teams, team);
  view_team_free (team);
}

static void
link_team (struct view *view, struct view_team *team)
{
  for (size_t i = 0; i < team->service_count; i++)
    {
      struct view_service *service = &team->services[i];
      HASH_ADD_STR (view->services, name, service);
      for (size_t k = 0; k < service->database_count; k++)
        HASH_ADD_STR (view->databases, name, service->databases[k]);
    }
  HASH_ADD_STR (view->teams, name, team);
}

void
view_free (struct view *view)
{
  if (view == NULL)
    return;
  HASH_CLEAR (hh, view->databases);
  HASH_CLEAR (hh, view->services);
  struct view_team *team, *next;
  HASH_ITER (hh, view->teams, team, next)
  {
    HASH_DEL (view->teams, team);
    view_team_free (team);
  }
  free (view);
}

void
view_remove (struct view *view, const char *team)
{
  struct view_team *old = NULL;
  HASH_FIND_STR (view->teams, team, old);
  if (old != NULL)
    unlink_team (view, old);
  view->sorted = false;
  view->generation++;
}

bool
view_apply (struct view *view, const char *team, const char *json,
            size_t length, struct findings *findings)
{
  struct view_team *parsed
      = view_team_parse (team, json, length, false, findings);
  if (parsed == NULL)
    return false;
  view_remove (view, team);
  link_team (view, parsed);
  return true;
}

struct view_service *
view_service (struct view *view, const char *name)
{
  struct view_service *service = NULL;
  HASH_FIND_STR (view->services, name, service);
  return service;
}

struct view_database *
view_database (struct view *view, const char *name)
{
  struct view_database *database = NULL;
  HASH_FIND_STR (view->databases, name, database);
  return database;
}

struct view_instance *
view_instance (struct view_database *database, const char *name)
{
  for (size_t i = 0; i < database->instance_count; i++)
    if (strcmp (database->instances[i].name, name) == 0)
      return &database->instances[i];
  return NULL;
}

static const struct view_caller *
find_caller (const struct view_caller *callers, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (callers[i].name, name) == 0)
      return &callers[i];
  return NULL;
}

const struct view_caller *
view_caller (const struct view_service *service, const char *name)
{
  return find_caller (service->callers, service->caller_count, name);
}

const struct view_caller *
view_operator (struct view *view, const char *team, const char *name)
{
  struct view_team *found = NULL;
  HASH_FIND_STR (view->teams, team, found);
  if (found == NULL)
    return NULL;
  return find_caller (found->operators, found->operator_count, name);
}

void
view_secret_hash (const char *secret, const uint8_t salt[VIEW_SALT_BYTES],
                  char out[VIEW_SECRET_HASH_BYTES])
{
  uint8_t hash[crypto_generichash_BYTES];
  crypto_generichash (hash, sizeof hash, (const uint8_t *)secret,
                      strlen (secret), salt, VIEW_SALT_BYTES);
  sodium_bin2hex (out, VIEW_SALT_DIGITS + 1, salt, VIEW_SALT_BYTES);
  out[VIEW_SALT_DIGITS] = ':';
  sodium_bin2hex (out + VIEW_SALT_DIGITS + 1,
                  VIEW_SECRET_HASH_BYTES - VIEW_SALT_DIGITS - 1, hash,
                  sizeof hash);
}

bool
view_caller_verify (const struct view_caller *caller, const char *secret)
{
  if (caller == NULL || secret == NULL)
    return false;
  if (strnlen (secret, SECRET_LIMIT_BYTES) == SECRET_LIMIT_BYTES)
    return false;
  uint8_t salt[VIEW_SALT_BYTES];
  if (sodium_hex2bin (salt, sizeof salt, caller->secret_hash, VIEW_SALT_DIGITS,
                      NULL, NULL, NULL)
      != 0)
    return false;
  char hash[VIEW_SECRET_HASH_BYTES];
  view_secret_hash (secret, salt, hash);
  return strlen (caller->secret_hash) == sizeof hash - 1
         && sodium_memcmp (hash, caller->secret_hash, sizeof hash - 1) == 0;
}

static int
by_service_name (const struct view_service *a, const struct view_service *b)
{
  return strcmp (a->name, b->name);
}

static int
by_database_name (const struct view_database *a, const struct view_database *b)
{
  return strcmp (a->name, b->name);
}

static void
sort (struct view *view)
{
  if (view->sorted)
    return;
  HASH_SORT (view->services, by_service_name);
  HASH_SORT (view->databases, by_database_name);
  view->sorted = true;
}

struct view_database *
view_first_database (struct view *view)
{
  sort (view);
  return view->databases;
}

struct view_service *
view_first_service (struct view *view)
{
  sort (view);
  return view->services;
}

uint64_t
view_generation (const struct view *view)
{
  return view->generation;
}
