/* promoter - promotes replicas when a group needs another primary.

   One host at a time holds the promotion duty, a lease in the platform's store
   (see roster.h).  It monitors all groups and starts two kinds of changes:

   - Failover: the primary is unreachable for the holder of the duty and for
     most failure domains.  The instance with the most advanced log is
     promoted.
   - Hand-over, without loss of commits: the primary is draining, or two thirds
     of the hosts can't reach it while the holder can.  The primary steps down,
     another instance receives the rest of its log, and that one is promoted.

   Each order is recorded in the store before it is sent, and an order without
   an answer may take effect late (see late_orders.h): its instance is
   preferred in the next change.  Where the platform fences, an order for
   another instance has a higher token, and a primary is ordered once more if
   an order for another one is outstanding.

   Where the platform fences no old primaries, a failover first recalls the
   primary from all hosts (see permits.h), and while an order for another
   instance is outstanding, a primary is used only after PROMOTER_LATE_MS.

   In groups in which commits wait for a replica, a failover first makes all
   other instances stop receiving the log and report their positions, so that
   no commit acknowledged meanwhile is lost.  They receive again by the
   promotion, or by an order to resume if the primary has not changed.  A new
   holder of the duty looks for paused replicas, and fences the orders of
   earlier holders before it lets them receive.

   Module name: "promoter".  */

#ifndef SAVORYWAY_PROXY_PROMOTER_H
#define SAVORYWAY_PROXY_PROMOTER_H

#include "kernel/kernel.h"
#include "port/promote_port.h"
#include "proxy/statement.h"

/* Interval of the checks on the host that holds the promotion duty.  */
#define PROMOTER_TICK_MS 50

/* A group without a primary for this long gets one by promotion, if most
   failure domains report that they know no primary either.  */
#define PROMOTER_LEADERLESS_MS 500

/* A host that has known no primary for this long reports that.  */
#define PROMOTER_REPORT_MS 200

/* Timeout of a query for the positions of the instances, and of the order to
   step down.  */
#define PROMOTER_QUERY_TIMEOUT_MS 250

/* A promotion that was ordered and has no effect after this is retried.  */
#define PROMOTER_EFFECT_TIMEOUT_MS 2500

/* Time limit of a hand-over for a replica to receive the rest of the old
   primary's log; the old primary is promoted again after it.  */
#define PROMOTER_CATCH_UP_TIMEOUT_MS 1500
/* Delay before the retry of a hand-over that found all replicas lagging.  */
#define PROMOTER_LAGGING_RETRY_MS 1000
/* Time for which an instance that missed a whole term is not promoted: its log
   holds commits that the later term has discarded.  */
#define PROMOTER_OLD_TERM_MS 8000

/* The holder resigns the duty if for this long it can't reach a primary that
   other failure domains reach.  */
#define PROMOTER_RESIGN_MS 900
/* The same where hosts need the holder to use any primary.  */
#define PROMOTER_UNFENCED_RESIGN_MS 4000

/* A primary that two thirds of the hosts can't reach for this long is handed
   over.  */
#define PROMOTER_PARTIAL_CUT_MS 400

/* An order that was accepted has taken effect after this; until then an
   instance that leads may have been replaced already.  */
#define PROMOTER_EFFECT_MS 1500

/* Interval of the attempts to record that an order has taken effect.  */
#define PROMOTER_SETTLE_MS 1000

/* Where the platform checks no token, an order without an answer may still
   take effect for this long.  */
#define PROMOTER_LATE_MS 8000

/* A promotion that an earlier holder of the duty has ordered gets this long to
   take effect before it is ordered again.  */
#define PROMOTER_PENDING_MS 800

/* Number of PAUSEs of one change, each with a higher term, before it is given
   up.  */
#define PROMOTER_PAUSE_LIMIT 3

/* Interval of the checks for replicas that are still paused, and of those
   after which some have not told.  */
#define PROMOTER_RESUME_CHECK_MS 5000
#define PROMOTER_RESUME_RETRY_MS 500

/* Delay before the retry of a change that failed.  */
#define PROMOTER_RETRY_MS 200

struct promoter_options
{
  struct promote_port *port;
  status_parse parse_status;
  const char *host; /* name of this host */
};

struct promoter;

struct promoter *promoter_new (const struct promoter_options *options);
struct module *promoter_module (struct promoter *promoter);

#endif
