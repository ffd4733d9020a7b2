/* forwarder - chooses the host that a statement is forwarded to.

   Prefers hosts in the failure domain of this host, and among these the one
   with the fewest statements that this host has in flight there.  A host that
   failed to answer is not used for FORWARDER_RETRY_MS.

   Where there are areas, the hosts of the area through which the path to the
   instance costs least come first: the path from this host and then to the
   nearest instance that can run the statement, with the time and the price of
   each crossing (see distance.h).  A part of the statements goes to hosts of
   other areas while these answer so much faster that this is worthwhile.

   Module name: "forwarder".  */

#ifndef SAVORYWAY_PROXY_FORWARDER_H
#define SAVORYWAY_PROXY_FORWARDER_H

#include "kernel/kernel.h"
#include "proxy/distance.h"
#include "proxy/hosts.h"

/* Time for which a host that failed is not used.  */
#define FORWARDER_RETRY_MS 1000

/* Cost of a host in another failure domain, in statements in flight, at the
   default cost of leaving the domain.  */
#define FORWARDER_DOMAIN_COST 6

/* Surcharge of a host that refused a statement in the last
   FORWARDER_OVERLOADED_MS, as too many waited there; where there are areas. */
#define FORWARDER_OVERLOADED_COST 20
#define FORWARDER_OVERLOADED_MS 500

/* Largest number of hosts in a report.  */
#define FORWARDER_CANDIDATES 16

struct forwarder;

struct forwarder *forwarder_new (void);
struct module *forwarder_module (struct forwarder *forwarder);

/* Requirements on the host.  */
struct forwarder_query
{
  const char *workspace; /* of the caller; "" for none */
  bool preferred_only;   /* no host beyond those that WORKSPACE prefers */
  const char *group;
  const char *instance; /* must be reachable from the host; NULL: any */
  const char (*tried)[NAME_BYTES]; /* hosts to leave out */
  size_t tried_count;
  bool to_primary;  /* else any instance may run the statement */
  clk_ms target_ms; /* left of the target; 0: none */
  uint32_t trips;   /* messages to the instance before its answer; 0: 1 */
};

/* A host that a statement may be forwarded to, for reports.  */
struct forwarder_candidate
{
  const struct other_host *host;
  enum distance_level level;
  double path_ms; /* time and price of the path to the instance */
  double cost;    /* in statements in flight; without the random part */
  uint32_t in_flight;
  double answer_ms;    /* smoothed time to the answer; 0: not known */
  const char *why_not; /* NULL: it may be used */
};

/* A statement that was answered.  */
struct forwarder_outcome
{
  const char *host;
  const char *group;
  bool to_primary;
  bool overloaded; /* refused, as too many waited */
  clk_ms spent_ms;
  clk_ms target_ms; /* that it had when it was sent; 0: none */
};

/* Returns a host with connections to the group, or NULL.  The pointer is valid
   until the hosts or the configuration change.  */
const struct other_host *forwarder_pick (struct forwarder *forwarder,
                                         const struct forwarder_query *query);

/* Record that a statement was sent to HOST, and that it ended.  FAILED means
   that HOST did not answer it.  */
void forwarder_begin (struct forwarder *forwarder, const char *host);
void forwarder_end (struct forwarder *forwarder, const char *host,
                    bool failed);

/* Records the answer to a statement.  */
void forwarder_note_outcome (struct forwarder *forwarder,
                             const struct forwarder_outcome *outcome);

/* Lists the hosts that forwarder_pick chooses from, at most
   FORWARDER_CANDIDATES; returns their number.  */
size_t forwarder_candidates (const struct forwarder *forwarder,
                             const struct forwarder_query *query,
                             struct forwarder_candidate out[]);
/* Returns how the statements of GROUP are divided between the areas; NULL if
   none was forwarded.  */
const struct distance_split *
forwarder_split (const struct forwarder *forwarder, const char *group,
                 bool to_primary);

/* Records that HOST answered.  */
void forwarder_note_answer (struct forwarder *forwarder, const char *host);

/* Returns when HOST last answered, or CLK_LONG_AGO if that is unknown.  */
clk_ms forwarder_last_answer_ms (const struct forwarder *forwarder,
                                 const char *host);

#endif
