#include "core/coordinators.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

/* Look-ups in one step.  */
#define BATCH 100

#define KEY_BYTES ((size_t)PATH_BYTES + sizeof "failover/")

struct placement
{
  char *database;
  uint64_t hosts[COORDINATORS]; /* hashes, 0 for none */
  size_t rank;
  bool due;
  bool seen;
  UT_hash_handle hh;
};

struct coordinators
{
  struct members *members;
  struct view *view;
  struct placement *placements;
  size_t due;
  uint64_t members_generation;
  uint64_t view_generation;
};

struct coordinators *
coordinators_new (struct members *members, struct view *view)
{
  struct coordinators *c = mem_zalloc (sizeof *c);
  c->members = members;
  c->view = view;
  c->members_generation = members_generation (members);
  return c;
}

static void
set_due (struct coordinators *c, struct placement *placement, bool due)
{
  c->due += due;
  c->due -= placement->due;
  placement->due = due;
}

static void
drop (struct coordinators *c, struct placement *placement)
{
  set_due (c, placement, false);
  HASH_DEL (c->placements, placement);
  free (placement->database);
  free (placement);
}

void
coordinators_free (struct coordinators *c)
{
  struct placement *placement, *next;
  if (c == NULL)
    return;
  HASH_ITER (hh, c->placements, placement, next) { drop (c, placement); }
  free (c);
}

static struct placement *
get (struct coordinators *c, const char *database)
{
  struct placement *placement = NULL;
  size_t length = strlen (database);
  HASH_FIND (hh, c->placements, database, length, placement);
  if (placement != NULL)
    return placement;
  placement = mem_zalloc (sizeof *placement);
  placement->database = mem_strdup (database);
  placement->rank = COORDINATORS_NO_RANK;
  HASH_ADD_KEYPTR (hh, c->placements, placement->database, length, placement);
  set_due (c, placement, true);
  return placement;
}

static void
look_up (struct coordinators *c, struct placement *placement)
{
  const struct member *hosts[COORDINATORS];
  const struct member *self = members_self (c->members);
  char key[KEY_BYTES];
  snprintf (key, sizeof key, "failover/%s", placement->database);
  size_t count = members_place_spread (c->members, key, hosts, COORDINATORS);
  set_due (c, placement, false);
  placement->rank = COORDINATORS_NO_RANK;
  for (size_t i = 0; i < COORDINATORS; i++)
    {
      placement->hosts[i] = i < count ? members_hash (hosts[i]) : 0;
      if (i < count && hosts[i] == self)
        placement->rank = i;
    }
}

/* Finds databases that are new or gone.  */
static void
follow_view (struct coordinators *c,
             void (*fn) (void *arg, struct view_database *database,
                         size_t rank),
             void *arg)
{
  struct placement *placement, *next;
  for (placement = c->placements; placement; placement = placement->hh.next)
    placement->seen = false;
  for (struct view_database *d = view_first_database (c->view); d;
       d = d->hh.next)
    {
      placement = get (c, d->name);
      placement->seen = true;
      if (!placement->due && placement->rank != COORDINATORS_NO_RANK)
        fn (arg, d, placement->rank);
    }
  HASH_ITER (hh, c->placements, placement, next)
  {
    if (!placement->seen)
      drop (c, placement);
  }
}

static bool
is_affected (const struct placement *placement, const uint64_t *hosts,
             size_t count)
{
  if (placement->rank != COORDINATORS_NO_RANK)
    return true;
  for (size_t i = 0; i < count; i++)
    for (size_t j = 0; j < COORDINATORS; j++)
      if (placement->hosts[j] == hosts[i])
        return true;
  return false;
}

/* While the coordinators that were found are all there, this host can't
   become one, however many better hosts came; so only the databases of hosts
   that changed, and those of this host, are looked up again.  */
static void
follow_members (struct coordinators *c, uint64_t generation)
{
  uint64_t hosts[MEMBERS_CHANGES];
  size_t count;
  bool all
      = !members_changed (c->members, c->members_generation, hosts, &count);
  c->members_generation = generation;
  for (struct placement *p = c->placements; p != NULL; p = p->hh.next)
    if (all || is_affected (p, hosts, count))
      set_due (c, p, true);
}

void
coordinators_step (struct coordinators *c,
                   void (*fn) (void *arg, struct view_database *database,
                               size_t rank),
                   void *arg)
{
  uint64_t hosts = members_generation (c->members);
  uint64_t view = view_generation (c->view);
  if (hosts != c->members_generation)
    follow_members (c, hosts);
  if (view != c->view_generation)
    follow_view (c, fn, arg);
  c->view_generation = view;
  size_t left = BATCH;
  for (struct placement *p = c->placements; p != NULL && c->due > 0;
       p = p->hh.next)
    {
      if (!p->due)
        continue;
      look_up (c, p);
      struct view_database *database = view_database (c->view, p->database);
      if (database != NULL)
        fn (arg, database, p->rank);
      if (--left == 0)
        return;
    }
}

size_t
coordinators_due (const struct coordinators *c)
{
  return c->due;
}
