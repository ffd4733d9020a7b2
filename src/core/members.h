/* members - the hosts of the system, and placement of work on them.

   Combines three sources: the platform's list of hosts, which lags; the
   results of this host's own calls, which show failed hosts earlier; and
   announcements by hosts that they are leaving.  Only hosts in the list are
   members; messages from others are refused (see peers.h).  Work is placed
   by rendezvous hashing, with usable hosts first.

   Module name: "members".  */

#ifndef SAVORYWAY_CORE_MEMBERS_H
#define SAVORYWAY_CORE_MEMBERS_H

#include <stddef.h>

#include "core/types.h"
#include "kernel/kernel.h"
#include "port/peer_port.h"
#include "port/platform_port.h"

struct member
{
  struct peer_address address;
  char domain[NAME_BYTES];
  bool leaving;
  bool suspected; /* calls of this host to it have failed */
};

struct members;

/* SELF describes this host, which is always a member.  */
struct members *members_new (const struct member *self);
struct module *members_module (struct members *members);

/* Returns this host.  */
const struct member *members_self (const struct members *members);

/* Returns the member named NAME, or NULL.  */
const struct member *members_find (struct members *members, const char *name);

/* Replaces the list with the platform's list at its INDEX.  Ignored if INDEX
   is lower than that of the present list.  */
void members_set_list (struct members *members, uint64_t index,
                       const struct platform_host *hosts, size_t count);

/* Returns the platform index of the present list.  */
uint64_t members_index (const struct members *members);

/* Returns the number of members, with this host.  */
size_t members_count (const struct members *members);

/* Returns a number that rises with every change that can affect a placement,
   for the invalidation of caches.  */
uint64_t members_generation (const struct members *members);

/* Returns the hash of the host's name; members_changes_since identifies hosts
   by it.  */
uint64_t members_hash (const struct member *member);

/* Number of changes that are kept for members_changes_since.  */
#define MEMBERS_CHANGES 256

/* Writes to OUT the hashes of the hosts that were added or removed, or whose
   address, incarnation, failure domain or usability changed, since
   GENERATION, and their number to COUNT.  A host that changed several times is
   listed several times.  Returns false if there were more than MEMBERS_CHANGES
   changes: then any host may have changed.  */
bool members_changes_since (const struct members *members, uint64_t generation,
                            uint64_t out[MEMBERS_CHANGES], size_t *count);

/* Calls FN for each member, sorted by name.  */
void members_each (struct members *members,
                   void (*fn) (void *arg, const struct member *member),
                   void *arg);

/* Calls FN for each failure domain that has a member, in the order in which
   this host first learned of them; its own comes first.  */
void members_each_domain (struct members *members,
                          void (*fn) (void *arg, const char *domain),
                          void *arg);

/* Records that the host NAME answered a call, or that a call to it failed.
   Several failures without an answer in between make it suspected for a
   limited time.  */
void members_record_answer (struct members *members, const char *name);
void members_record_failure (struct members *members, const char *name);

/* Records that a host has announced that it is leaving.  Ignored if the member
   NAME is of another incarnation.  */
void members_mark_leaving (struct members *members, const char *name,
                           uint64_t incarnation);

/* Writes to OUT up to COUNT members in rendezvous order of KEY: those in the
   failure domain DOMAIN, or in all if DOMAIN is NULL.  Suspected and leaving
   members come last rather than being left out, so that a wrong suspicion
   affects only the order.  Returns the number written.  */
size_t members_place (struct members *members, const char *key,
                      const char *domain, const struct member **out,
                      size_t count);

/* Like members_place over all domains, but spreads the members over failure
   domains: each domain contributes one member before any contributes a
   second.  */
size_t members_place_spread (struct members *members, const char *key,
                             const struct member **out, size_t count);

#endif
