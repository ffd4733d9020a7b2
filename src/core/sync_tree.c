#include "core/sync_tree.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

#define KEY_BYTES (NAME_BYTES + sizeof "relay/")

static size_t
place_relays (struct sync_tree *tree, const char *domain,
              const struct member **out, size_t count)
{
  char key[KEY_BYTES];
  snprintf (key, sizeof key, "relay/%s", domain);
  return members_place (tree->members, key, domain, out, count);
}

static void
add_parent (struct sync_tree *tree, const struct peer_address *address)
{
  const struct member *self = members_self (tree->members);
  if (tree->parent_count == SYNC_PARENTS_MAX
      || strcmp (address->name, self->address.name) == 0)
    return;
  for (size_t i = 0; i < tree->parent_count; i++)
    if (strcmp (tree->parents[i].address, address->address) == 0
        && tree->parents[i].port == address->port)
      return;
  tree->parents[tree->parent_count++] = *address;
}

/* Adds the parents in the own domain of a host that is not a relay: its parent
   in the tree and a neighbour of that.  ORDER is the order of the domain.  */
static void
add_own_domain_parents (struct sync_tree *tree, const struct member **order)
{
  size_t parent = (tree->rank - SYNC_RELAYS) / SYNC_FANOUT;
  size_t neighbour = parent ^ 1;
  add_parent (tree, &order[parent]->address);
  if (neighbour < tree->rank)
    add_parent (tree, &order[neighbour]->address);
}

static void
add_relays (struct sync_tree *tree, const struct member **order, size_t count)
{
  for (size_t i = 0; i < SYNC_RELAYS && i < count; i++)
    add_parent (tree, &order[i]->address);
}

static void
add_other_domain_relay (void *arg, const char *domain)
{
  struct sync_tree *tree = arg;
  const struct member *relay[SYNC_RELAYS];
  if (strcmp (domain, members_self (tree->members)->domain) == 0)
    return;
  size_t found = place_relays (tree, domain, relay, SYNC_RELAYS);
  if (found > 0)
    add_parent (tree, &relay[tree->rank % found]->address);
}

bool
sync_tree_refresh (struct sync_tree *tree)
{
  uint64_t generation = members_generation (tree->members);
  if (tree->built && generation == tree->generation)
    return false;
  size_t count = members_count (tree->members);
  const struct member *self = members_self (tree->members);
  const struct member **order = mem_zalloc (count * sizeof *order);
  count = place_relays (tree, self->domain, order, count);
  tree->built = true;
  tree->generation = generation;
  tree->parent_count = 0;
  tree->rank = 0;
  while (tree->rank + 1 < count && order[tree->rank] != self)
    tree->rank++;
  tree->relay = tree->rank < SYNC_RELAYS;
  /* A relay pulls only if it can't read the platform.  The other relay of its
     domain probably can't either, so other domains come first.  */
  if (!tree->relay)
    {
      add_own_domain_parents (tree, order);
      add_relays (tree, order, count);
    }
  members_each_domain (tree->members, add_other_domain_relay, tree);
  if (tree->relay)
    add_relays (tree, order, count);
  for (size_t i = 0; i < tree->seed_count; i++)
    add_parent (tree, &tree->seeds[i]);
  free (order);
  return true;
}

struct relay_visit
{
  struct sync_tree *tree;
  void (*fn) (void *arg, const struct member *relay);
  void *arg;
};

static void
visit_domain (void *arg, const char *domain)
{
  struct relay_visit *visit = arg;
  const struct member *relays[SYNC_RELAYS];
  const struct member *self = members_self (visit->tree->members);
  size_t found = place_relays (visit->tree, domain, relays, SYNC_RELAYS);
  for (size_t i = 0; i < found; i++)
    if (relays[i] != self)
      visit->fn (visit->arg, relays[i]);
}

void
sync_tree_each_relay (struct sync_tree *tree,
                      void (*fn) (void *arg, const struct member *relay),
                      void *arg)
{
  struct relay_visit visit = { .tree = tree, .fn = fn, .arg = arg };
  members_each_domain (tree->members, visit_domain, &visit);
}

bool
sync_tree_is_relay (struct sync_tree *tree, const char *name)
{
  const struct member *relays[SYNC_RELAYS];
  const struct member *member = members_find (tree->members, name);
  if (member == NULL)
    return false;
  size_t found = place_relays (tree, member->domain, relays, SYNC_RELAYS);
  for (size_t i = 0; i < found; i++)
    if (relays[i] == member)
      return true;
  return false;
}
