/* allowance - limits the operations that the callers of a workspace start,
   over all hosts.

   The limit of a workspace is divided into ALLOWANCE_PARTS equal parts.  Each
   is a token bucket at its owner: the host with the highest hash of workspace,
   part and host among the registered hosts.  Other hosts obtain operations
   from the owners in grants, which end after a short time, and return with the
   next request what they did not use.  An owner takes from its own bucket.

   While an answer is awaited, further operations of the workspace queue, and
   are decided in the order of arrival.  A host whose part has none left asks
   the owners of the other parts, nearest first, and refuses at once while it
   knows that none of them has any.

   An owner grants only while its list of hosts is recent, and a host that
   becomes owner waits until the one before must have stopped, so that a part
   has one owner at a time, whatever the hosts know of each other:

   - After the removal of the host before, it waits for ALLOWANCE_TAKEOVER_MS.
   - A host that has joined asks the host that owns the part without it to stop
     (PEER_KIND_TAKEOVER), and starts with its answer; without an answer it
     waits for ALLOWANCE_TAKEOVER_MS from its registration.

   Every owner starts with an empty bucket.  docs/design/082-rate-limits.md has
   the proof of the bound and the ways that were weighed; allowance_limit.h
   divides the excess that the settings allow.

   An operation counts at the time at which it is granted; the user starts it
   then, or calls allowance_return.

   Module name: "allowances".  */

#ifndef SAVORYWAY_PROXY_ALLOWANCE_H
#define SAVORYWAY_PROXY_ALLOWANCE_H

#include <stdbool.h>

#include "kernel/kernel.h"
#include "proxy/allowance_limit.h"

/* An owner grants only if its list of hosts was confirmed within this time. It
   is below the lease of a host, ROSTER_HOST_LEASE_MS.  With 3,000 ms, as a
   list is up to 2,200 ms old in normal operation, an outage of the store of
   one second refused all limited workspaces.  */
#define ALLOWANCE_CONFIRMED_MS 5000
/* Time after which a former owner must have stopped; longer, since clocks may
   run at slightly different speeds.  */
#define ALLOWANCE_TAKEOVER_MS (ALLOWANCE_CONFIRMED_MS + 50)

/* Longest time that an operation waits for owners.  */
#define ALLOWANCE_WAIT_MS 250
/* Timeout of one exchange; leaves time to ask another owner.  */
#define ALLOWANCE_CALL_TIMEOUT_MS 100
/* An owner that did not answer is not asked again for this long.  */
#define ALLOWANCE_LOST_MS 500
/* A host that does not own the part, or can't grant now, is not asked again
   for this long: its list, or that of the asking host, is about to change.  */
#define ALLOWANCE_DENIED_MS 200
/* Interval of takeover calls without an answer.  */
#define ALLOWANCE_TAKEOVER_RETRY_MS 100

/* Workspaces with metrics of their own.  */
#define ALLOWANCE_MEASURED 8

/* What this host knows of the list of hosts.  */
struct allowance_view
{
  clk_ms confirmed_ms;  /* see roster_hosts_confirmed_ms */
  clk_ms registered_ms; /* see roster_registered_ms */
};

struct allowances_options
{
  struct allowance_bounds bounds;
  /* Returns the view; NULL: taken from the module "roster".  For tests.  */
  struct allowance_view (*view) (void *arg);
  void *arg;
};

struct allowances;

struct allowances *allowances_new (const struct allowances_options *options);
struct module *allowances_module (struct allowances *allowances);

enum allowance_result
{
  ALLOWANCE_GRANTED,
  ALLOWANCE_WAITS, /* DECIDED will be called */
  ALLOWANCE_REFUSED
};

struct pool;

/* An operation that may wait, embedded by its owner.  The caller zeroes it and
   sets DECIDED; the rest is private.  */
struct allowance_user
{
  /* Called after ALLOWANCE_WAITS, within ALLOWANCE_WAIT_MS.  RETRY_AFTER_MS is
     set if the operation was refused.  */
  void (*decided) (struct allowance_user *user, bool granted,
                   clk_ms retry_after_ms);
  struct pool *pool; /* NULL: not waiting */
  clk_ms since_ms;
  struct allowance_user *prev;
  struct allowance_user *next;
};

/* Takes one operation of WORKSPACE's limit.  A workspace without a limit, or
   of an unknown name, is granted at once.  If the result is ALLOWANCE_REFUSED,
   sets RETRY_AFTER_MS: this host has no operation of WORKSPACE before.  */
enum allowance_result allowance_take (struct allowances *allowances,
                                      const char *workspace,
                                      struct allowance_user *user,
                                      clk_ms *retry_after_ms);

/* Removes USER from the queue, if it waits; DECIDED is not called.  */
void allowance_cancel (struct allowance_user *user);

/* Returns an operation of WORKSPACE that was granted at GRANTED_MS and did not
   start.  After a short time this has no effect: the operation counts.  */
void allowance_return (struct allowances *allowances, const char *workspace,
                       clk_ms granted_ms);

/* Returns the host that owns PART of WORKSPACE's limit, as far as this host
   knows; NULL if there is none, or no limit.  */
const char *allowance_owner (struct allowances *allowances,
                             const char *workspace, unsigned part);

/* Returns the number of hashes computed, for tests.  */
uint64_t allowances_work (const struct allowances *allowances);

#endif
