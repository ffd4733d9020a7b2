/* allowance_impl - internals shared by the files of the module "allowances".
 */

#ifndef SAVORYWAY_PROXY_ALLOWANCE_IMPL_H
#define SAVORYWAY_PROXY_ALLOWANCE_IMPL_H

#include <uthash.h>

#include "proxy/allowance.h"
#include "proxy/catalog.h"
#include "proxy/hosts.h"
#include "proxy/roster.h"

/* Operations of a part that its owner granted to this host.  Those that are
   left when it ends are returned with the next request.  */
struct grant
{
  clk_ms sent_ms; /* of the request */
  clk_ms until_ms;
  uint32_t left;
  clk_ms first_ms; /* times at which operations were taken */
  clk_ms last_ms;
  bool used;
};

/* A host that obtained operations from this one.  */
struct grantee
{
  char host[NAME_BYTES];
  uint32_t granted; /* the last time */
  clk_ms granted_ms;
  uint64_t span;       /* that it last asked in, see struct bucket */
  uint64_t short_span; /* that it last got fewer than it wanted in */
  UT_hash_handle hh;
};

/* What an owner keeps of a part.  */
struct bucket
{
  clk_ms registered_ms; /* registration that START_MS refers to */
  clk_ms start_ms;      /* earlier owners, known from before, have stopped */
  clk_ms blocked_ms;    /* so have owners that were removed */
  clk_ms voided_ms;     /* a host that might have to yield was removed */
  bool proven;          /* START_MS is final */
  bool started;
  uint64_t call; /* takeover */
  clk_ms next_takeover_ms;
  clk_ms yielded_ms; /* to a host that joined; CLK_LONG_AGO: not */
  char yielded_to[NAME_BYTES];
  double level;
  clk_ms filled_ms;
  struct allowance_limit limit; /* up to now */
  struct grantee *grantees;
  size_t kept;         /* more GRANTEES than this were not dropped */
  uint64_t span;       /* second of the last request */
  uint32_t short_now;  /* hosts that got fewer than they wanted in SPAN */
  uint32_t short_last; /* and in the second before */
};

struct part
{
  struct pool *pool;
  unsigned index;
  uint64_t seed;
  uint64_t own_score;
  /* The other host with the highest hash, unless it is OUTDATED.  */
  const struct other_host *top;
  uint64_t top_score;
  bool outdated;
  clk_ms not_before_ms; /* there are no operations before */
  bool tried;           /* in the present round */
  bool denied;          /* by the lack of an owner, not by the limit */
  struct grant grant;
  struct bucket bucket;
};

/* A workspace in use.  */
struct pool
{
  char name[NAME_BYTES];
  struct allowances *allowances;
  uint32_t rate_per_s; /* LIMIT is that of RATE_PER_S and BURST */
  uint32_t burst;
  struct allowance_limit limit;
  struct part parts[ALLOWANCE_PARTS];
  size_t turn; /* part that is asked first */
  /* Operations asked for, each counted less with time.  */
  double demand;
  clk_ms demand_ms;
  struct allowance_user *waiters;
  size_t waiter_count;
  struct ktimer deadline;
  uint64_t call;
  struct part *asked; /* of the call */
  clk_ms sent_ms;
  uint32_t wanted;
  clk_ms used_ms;
  /* A series of refusals.  */
  uint64_t refusals;
  clk_ms refused_ms;
  struct ktimer series;
  int64_t *granted_count;
  int64_t *refused_count;
  UT_hash_handle hh;
};

/* A host that was removed from the list.  */
struct removed_host
{
  char name[NAME_BYTES];
  clk_ms removed_ms;
  struct removed_host *prev;
  struct removed_host *next;
};

struct allowances
{
  struct module base;
  struct allowances_options options;
  struct catalog *catalog;
  struct hosts *hosts;
  struct roster *roster;
  struct pool *pools;
  struct ktimer prune;
  struct removed_host *removed; /* oldest first */
  size_t removed_count;
  clk_ms removed_since_ms; /* all removals since then are in REMOVED */
  size_t measured;
  uint64_t work;
  int64_t *granted_count;
  int64_t *limit_count;
  int64_t *owner_count;
  int64_t *exchange_count;
};

static inline clk_ms
allowances_now (const struct allowances *allowances)
{
  return kernel_now (allowances->base.kernel);
}

struct allowance_view allowances_view (const struct allowances *allowances);

/* allowance_pool.c */
/* Returns the pool of WORKSPACE; NULL if that has no limit.  */
struct pool *allowances_pool (struct allowances *allowances,
                              const char *workspace);
/* Follow the list of hosts; to be called when modules start.  */
void allowances_follow_hosts (struct allowances *allowances);
void allowances_free_pools (struct allowances *allowances);
/* Returns the other host that owns PART if this one does not; NULL if there is
   none.  */
const struct other_host *part_top (struct part *part);
/* Returns whether HOST, of SCORE for PART, comes before this host.  */
bool part_outranks (const struct part *part, const char *host, uint64_t score);
uint64_t part_score (struct part *part, const char *host);
/* Returns whether this host owns PART, as far as it knows.  */
bool part_is_own (struct part *part, const struct allowance_view *view);

/* allowance_owner.c */
void allowances_handle_requests (struct allowances *allowances);
/* Grants up to WANTED operations of PART to HOST.  Returns how many; if that
   is less, sets RETRY_MS to a time before which there are no more, and DENIED
   to whether this host can't grant at all now.  */
uint32_t bucket_grant (struct part *part, const char *host, uint32_t wanted,
                       clk_ms *retry_ms, bool *denied);
/* Puts back an operation granted to this host at GRANTED_MS.  */
void bucket_put_back (struct part *part, clk_ms granted_ms);
/* HOST, of SCORE, was added to the list.  */
void bucket_host_added (struct part *part, const char *host, uint64_t score);
/* HOST, of SCORE, was removed.  */
void bucket_host_removed (struct part *part, const char *host, uint64_t score,
                          clk_ms removed_ms);
void bucket_init (struct part *part);
void bucket_clear (struct part *part);
/* Returns whether nothing is lost if the bucket is created again later.  */
bool bucket_is_idle (struct part *part);

#endif
