/* load_mix - open-loop load of short reads, writes and long reads.

   Requests arrive at random times at random hosts of a rig.  Each belongs to a
   session, which writes a counter under a key of its own and reads it with its
   session token.  A read that returns less than the session has already seen
   is counted as stale.  */

#ifndef SAVORYWAY_BENCH_LOAD_MIX_H
#define SAVORYWAY_BENCH_LOAD_MIX_H

#include "sim_rig.h"

#define LOAD_BUCKETS 8192   /* of 1 ms; the last one takes all above */
#define LOAD_SESSIONS 65536 /* at most */

/* Configuration of the request kinds, as JSON: "release" is a write that is
   not repeatable, "count" a session read, "exact" a strong read, and "history"
   a session read that takes long.  */
extern const char load_kinds[];

/* Histogram of latencies.  */
struct load_latencies
{
  uint64_t count;
  uint32_t buckets[LOAD_BUCKETS];
};

/* Results of the requests that were submitted while it was current.  */
struct load_stats
{
  uint64_t submitted;
  uint64_t unknown;
  uint64_t stale;
  uint64_t reads;
  uint64_t replica_reads; /* not served by instance i0 */
  uint64_t long_submitted;
  struct load_latencies short_done;
  struct load_latencies write_done; /* also in short_done */
  struct load_latencies long_done;
  struct load_latencies refused;
};

struct load_options
{
  uint32_t write_permille; /* of the short requests */
  uint32_t long_permille;  /* of all requests */
  clk_ms short_min_ms;     /* run time of a short request */
  clk_ms short_max_ms;
  clk_ms long_ms; /* run time of a long request */
  clk_ms deadline_ms;
  clk_ms long_deadline_ms;
};

struct load;

struct load *load_new (struct rig *rig, const struct load_options *options);
void load_free (struct load *load);

/* Sets the mean arrival rate.  Arrivals are a Poisson process.  */
void load_set_rate (struct load *load, double rate_per_s);

/* Counts the requests submitted from now on in STATS.  */
void load_set_stats (struct load *load, struct load_stats *stats);

/* Runs the rig for SPAN_MS while the rate changes linearly to RATE_PER_S.  */
void load_ramp (struct load *load, double rate_per_s, clk_ms span_ms);

/* Returns the latency that PERMILLE of LATENCIES do not exceed; 0 if there
   are none.  */
clk_ms load_percentile (const struct load_latencies *latencies,
                        uint32_t permille);

#endif
