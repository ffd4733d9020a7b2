/* router - selects the instance that serves a read.

   Records the position, lag, queue and latency of instances from the answers
   of gateways.  Each instance has a cost, which is the expected time in
   microseconds with penalties: replicas of this host's failure domain are
   preferred to those of other domains, and these to the primary.  The time a
   replica needs to replay up to the session's position is part of its cost,
   so waiting for it is compared directly with using another instance.

   A replica with a large lag leaves the rotation gradually and returns the
   same way.  Slow replicas are ejected for a limited time, at most half of
   the replicas of a database at once.

   Module name: "router".  */

#ifndef SAVORYWAY_CORE_ROUTER_H
#define SAVORYWAY_CORE_ROUTER_H

#include "core/terms.h"
#include "core/types.h"
#include "core/view.h"
#include "kernel/kernel.h"
#include "port/peer.h"

/* Instances that a query can exclude.  */
#define ROUTER_AVOID_LIMIT 8

struct router;

struct router *router_new (void);
struct module *router_module (struct router *router);

/* What a read requires.  */
struct router_query
{
  struct view_database *database;
  const struct term_record *record; /* NULL if not known */
  enum freshness freshness;
  clk_ms max_age_ms;        /* with FRESHNESS_MAX_AGE */
  struct position position; /* of the session */
  size_t avoid_count;       /* instances that were already tried */
  const char *avoid[ROUTER_AVOID_LIMIT];
};

/* Suitability of an instance for a query.  */
struct router_rating
{
  const struct view_instance *instance;
  bool usable;
  bool is_primary;
  bool has_slot;   /* a recent report shows a free slot */
  int64_t cost_us; /* expected time plus penalties */
  clk_ms wait_ms;  /* part of it spent waiting for replay */
  const char *why; /* static text for logs and explain */
};

/* Returns the rating of INSTANCE for QUERY.  */
struct router_rating router_rate (struct router *router,
                                  const struct router_query *query,
                                  const struct view_instance *instance);

/* Selects the usable instance of lowest cost for QUERY, or the next in turn
   under POLICY_PLAIN, and logs the choice.  Returns false if none is
   usable.  */
bool router_pick (struct router *router, const struct router_query *query,
                  struct router_rating *choice);

enum router_result
{
  ROUTER_SERVED,
  ROUTER_REFUSED, /* answered, but not run */
  ROUTER_FAILED   /* no answer, outcome unknown or no connection */
};

/* Counts a request sent to INSTANCE as outstanding.  */
void router_request_sent (struct router *router, const char *instance);

/* Records the result of a request sent to INSTANCE.  LATENCY_MS is used if
   RESULT is ROUTER_SERVED; KIND NULL skips it.  */
void router_request_done (struct router *router, const char *database,
                          const char *instance, const char *kind,
                          clk_ms latency_ms, enum router_result result);

/* Returns the mean latency of KIND in DATABASE, measured at this host; 0 if
   unknown.  */
clk_ms router_typical_ms (struct router *router, const char *database,
                          const char *kind);

/* Updates the state of an instance from a gateway's report.  */
void router_observe (struct router *router, const peer_instance_state *state);

#endif
