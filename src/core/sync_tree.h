/* sync_tree - determines from which hosts this host pulls.

   The hosts of a failure domain, in rendezvous order of the key
   "relay/DOMAIN", form a tree.  Its SYNC_RELAYS roots are the relays, which
   watch the platform; each host serves up to SYNC_FANOUT others.  Every host
   computes its own rank.  Lists of hosts that differ temporarily are
   harmless, as any host can serve any other.  */

#ifndef SAVORYWAY_CORE_SYNC_TREE_H
#define SAVORYWAY_CORE_SYNC_TREE_H

#include "core/members.h"

/* Relays of each failure domain.  */
#define SYNC_RELAYS 2

/* Children of each host in the tree.  */
#define SYNC_FANOUT 3

#define SYNC_PARENTS_MAX 16

struct sync_tree
{
  struct members *members;
  size_t seed_count;
  const struct peer_address *seeds;
  uint64_t generation; /* of members, when the fields below were computed */
  bool built;
  bool relay;
  size_t rank; /* in the order of the own domain */
  /* Hosts to pull from, by descending preference: parents of the own domain,
     relays of the other domains, seeds.  A relay prefers other domains to its
     own.  */
  size_t parent_count;
  struct peer_address parents[SYNC_PARENTS_MAX];
};

/* Recomputes TREE if the members have changed.  Returns whether it did.  */
bool sync_tree_refresh (struct sync_tree *tree);

/* Calls FN for each relay of each domain except this host.  */
void sync_tree_each_relay (struct sync_tree *tree,
                           void (*fn) (void *arg, const struct member *relay),
                           void *arg);

/* Returns whether NAME is a relay of its domain, by this host's list.  */
bool sync_tree_is_relay (struct sync_tree *tree, const char *name);

#endif
