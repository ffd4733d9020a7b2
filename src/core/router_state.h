/* router_state - observed state of instances, local to a host.

   Holds the last report of each instance, its latency and its share of the
   rotation.  Not persistent and not shared between hosts.  */

#ifndef SAVORYWAY_CORE_ROUTER_STATE_H
#define SAVORYWAY_CORE_ROUTER_STATE_H

#include <uthash.h>

#include "core/cost.h"
#include "core/router.h"

/* Unit of shares and ratios: 1000 is all of the rotation, or a ratio of 1.  */
#define SHARE_FULL 1000

/* Instances, and databases, of which state is kept.  */
#define ROUTER_STATE_LIMIT 65536

struct router_state
{
  char name[PATH_BYTES];
  bool known; /* at least one report was received */
  bool primary;
  uint64_t term;
  uint64_t replayed_lsn;
  clk_ms lag_ms;
  clk_ms observed_ms;   /* time of the last report */
  uint32_t queued;      /* reported: queued and running there */
  uint32_t outstanding; /* requests in flight from this host */
  clk_ms sent_ms;       /* time of the last request */
  clk_ms down_until_ms; /* end of the backoff after failures */
  uint32_t failures;    /* in a row */
  int64_t latency_us;   /* moving average without queueing */
  int64_t ratio;        /* of the latency to the mean of the kind */
  uint32_t samples;     /* of latency, since start or ejection */
  uint32_t share;       /* of the rotation, in 1/SHARE_FULL */
  clk_ms share_ms;      /* time of the last update of share */
  clk_ms ejected_until_ms;
  uint32_t ejections; /* since share was last SHARE_FULL */
  UT_hash_handle hh;
};

struct router_database
{
  char name[PATH_BYTES];
  struct cost_table latencies; /* of each kind */
  clk_ms used_ms;              /* time of the last read served */
  UT_hash_handle hh;
};

struct router_states
{
  struct router_state *instances;
  struct router_database *databases;
};

/* Returns the state of instance NAME, created empty if there is none.  At the
   limit the oldest state is replaced.  */
struct router_state *router_states_instance (struct router_states *states,
                                             const char *name, clk_ms now_ms);
/* Returns the record of database NAME, created if there is none.  At the limit
   a new database shares the record of another.  */
struct router_database *router_states_database (struct router_states *states,
                                                const char *name);
void router_states_clear (struct router_states *states);

/* Lowers the share of the rotation if the lag is large, else raises it.  */
void router_state_update_share (struct router_state *state, clk_ms now_ms);

/* Returns whether STATE is so much slower than BEST, the fastest replica of
   its database, that it should be ejected.  */
bool router_state_is_slow (const struct router_state *state,
                           const struct router_state *best);
/* Takes the instance out of rotation, longer with each repeated ejection.  */
void router_state_eject (struct router_state *state, clk_ms now_ms);

#endif
