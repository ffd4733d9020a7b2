/* promoter - orders changes of primary; acts on the host with the duty.

   A primary that neither the holder nor most failure domains can reach is
   replaced by the instance with the furthest log.  One that is leaving, or
   that two thirds of the hosts can't reach while the holder can, is handed
   over without loss: it steps down, an instance receives all that it had, and
   is promoted.  Where commits wait for a replica, all other instances stop
   receiving and tell their position first, so that no commit acknowledged
   meanwhile is left out.

   Module name: "promoter".  */

#ifndef SAVORYWAY_PROXY_PROMOTER_H
#define SAVORYWAY_PROXY_PROMOTER_H

#include "kernel/kernel.h"
#include "port/promote_port.h"
#include "proxy/statement.h"

#define PROMOTER_TICK_MS 50

/* Without any primary for this long, one is promoted, if most failure domains
   know of none.  */
#define PROMOTER_LEADERLESS_MS 500

/* A host that has known of no primary for this long reports that.  */
#define PROMOTER_UNKNOWN_MS 200

/* For the instances to tell their position.  */
#define PROMOTER_ASK_MS 250

/* For a promotion ordered to take effect, until it is ordered again.  */
#define PROMOTER_EFFECT_MS 2500

/* For a replica to receive what the old primary had, in a hand-over.  */
#define PROMOTER_CATCH_UP_MS 1500
/* Until a hand-over that found no replica keeping up is tried again.  */
#define PROMOTER_KEEP_UP_MS 1000
/* How long an instance that missed a whole term is passed over: its log holds
   commits that the term has given up.  */
#define PROMOTER_OLD_TERM_MS 8000

/* How long others may reach a primary that the holder can't, until the
   holder gives the duty up.  */
#define PROMOTER_ALONE_MS 900

/* How long a part of the hosts must be cut off from a primary until it is
   handed over.  */
#define PROMOTER_PARTLY_CUT_MS 400

#define PROMOTER_RETRY_MS 200

struct promoter_options
{
  struct promote_port *port;
  status_parse parse_status;
  const char *host;
};

struct promoter;

struct promoter *promoter_new (const struct promoter_options *options);
struct module *promoter_module (struct promoter *promoter);

#endif
