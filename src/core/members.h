/* members - the hosts of the system, and placement of work on them.

   Joins the platform's lagging list of hosts with this host's own evidence
   (answered and failed calls) and with leaving marks from heartbeats.  A
   host that is not in the list is not trusted.  Work is placed by weighted
   rendezvous hashing over usable hosts.

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
  bool suspected; /* own evidence says it does not answer */
};

struct members;

/* SELF_* describe this host; it is always a member.  */
struct members *members_new (const struct member *self);
struct module *members_module (struct members *members);

const struct member *members_self (const struct members *members);

/* Returns the member named NAME, or NULL.  */
const struct member *members_find (struct members *members, const char *name);

/* Replaces the list with that of the platform at INDEX; a lower index than
   the last is ignored.  */
void members_set_list (struct members *members, uint64_t index,
                       const struct platform_host *hosts, size_t count);
uint64_t members_index (const struct members *members);
size_t members_count (const struct members *members);

/* Rises whenever a placement may have changed; for caches.  */
uint64_t members_generation (const struct members *members);

/* Hash of the host's name, by which members_changed tells hosts apart.  */
uint64_t members_hash (const struct member *member);

/* Most changes that members_changed can tell.  */
#define MEMBERS_CHANGES 256

/* Writes to OUT the hashes of the hosts that came, went or became more or
   less usable since GENERATION, and their number to COUNT.  Returns false if
   there were more than MEMBERS_CHANGES: then all may have changed.  */
bool members_changed (const struct members *members, uint64_t generation,
                      uint64_t out[MEMBERS_CHANGES], size_t *count);

/* Calls FN for each member, sorted by name.  */
void members_each (struct members *members,
                   void (*fn) (void *arg, const struct member *member),
                   void *arg);

/* Calls FN for each failure domain that has a member, in the order in which
   this host learned of them.  */
void members_each_domain (struct members *members,
                          void (*fn) (void *arg, const char *domain),
                          void *arg);

/* Records evidence about a host: a call it answered, or one that failed.  */
void members_answered (struct members *members, const char *name);
void members_failed (struct members *members, const char *name);

/* Records that a host of this incarnation says it is leaving.  */
void members_mark_leaving (struct members *members, const char *name,
                           uint64_t incarnation);

/* Writes to OUT up to COUNT usable members in rendezvous order of KEY: only
   those of DOMAIN, or of all if DOMAIN is NULL.  Suspected and leaving ones
   come after all others, so that a wrong suspicion costs no more than
   order.  Returns how many were written.  */
size_t members_place (struct members *members, const char *key,
                      const char *domain, const struct member **out,
                      size_t count);

/* As members_place over all domains, but skips a member whose domain is
   taken already while another domain is left.  */
size_t members_place_spread (struct members *members, const char *key,
                             const struct member **out, size_t count);

#endif
