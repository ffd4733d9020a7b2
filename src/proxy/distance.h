/* distance - how far hosts and instances are from each other, and whether it
   is worthwhile to use the distant ones.

   Two places are in the same failure domain, in two domains of one area, or in
   two areas.  Areas are a setting; without it all domains are in one area, and
   only the cost of leaving the domain applies.

   Leaving a place costs time and money.  The time is that of a round trip,
   which is learned by level from probes; it contains what a loaded link adds.
   The money, for the bytes that cross, is expressed in milliseconds too: as
   the time that a statement may lose before the crossing is worthwhile.

   Which part of the statements leaves is decided by a struct distance_split.
   The times that it compares are known late, and many hosts decide at the same
   time, so that a choice of the better side by each statement would send all
   of them to and fro.  Instead the part changes gradually until both sides
   cost the same.

   Module name: "distance".  */

#ifndef SAVORYWAY_PROXY_DISTANCE_H
#define SAVORYWAY_PROXY_DISTANCE_H

#include <stdbool.h>

#include "core/types.h"
#include "kernel/kernel.h"

enum distance_level
{
  DISTANCE_DOMAIN, /* the same failure domain */
  DISTANCE_AREA,   /* another domain of the same area */
  DISTANCE_FAR     /* another area */
};
#define DISTANCE_LEVELS 3

#define DISTANCE_DOMAIN_LIMIT 64

/* Default costs of a statement on a connection to an instance, in
   milliseconds: in another failure domain, and in another area in addition. */
#define DISTANCE_DOMAIN_COST_MS 5
#define DISTANCE_AREA_COST_MS 20

/* Bytes of a statement that is forwarded to a host, with its answer, in those
   of the same statement on a connection to an instance.  Measured for a short
   write: 544 and 146 bytes.  */
#define DISTANCE_FORWARD_FACTOR 3.7

/* Largest part of the statements that leaves, so that the near side is still
   measured, and the statements return once it recovers.  */
#define DISTANCE_SPLIT_LIMIT 0.95

struct distance_options
{
  const char *zone;  /* failure domain of this host */
  const char *areas; /* "DOMAIN=AREA,..."; NULL or empty: one area */
  double domain_cost_ms;
  double area_cost_ms;
};

struct distance;

/* Returns whether TEXT is a valid list of areas: no domain is listed twice,
   and names are not empty.  */
bool distance_areas_valid (const char *text);

/* A list that is not valid counts as empty.  */
struct distance *distance_new (const struct distance_options *options);
struct module *distance_module (struct distance *distance);

/* Returns whether there is another area than that of this host.  */
bool distance_has_areas (const struct distance *distance);

/* Returns the area of ZONE; "" if it is not listed.  */
const char *distance_area (const struct distance *distance, const char *zone);

enum distance_level distance_between (const struct distance *distance,
                                      const char *zone, const char *other);
/* The same from this host.  */
enum distance_level distance_to (const struct distance *distance,
                                 const char *zone);
const char *distance_level_name (enum distance_level level);

/* Returns the price of a statement that goes to LEVEL on a connection to an
   instance, in milliseconds.  */
double distance_price_ms (const struct distance *distance,
                          enum distance_level level);
/* The same for a statement that is forwarded to a host.  */
double distance_forward_price_ms (const struct distance *distance,
                                  enum distance_level level);

/* What is known about the instances of a level, and what is sent there.  The
   pointers are valid as long as the module.  */
struct distance_meter
{
  double rtt_ms; /* of a message that no one processes */
  bool measured; /* it is not a default */
  int64_t *statements;
  int64_t *statement_bytes; /* both ways, without headers of the network */
  int64_t *control_bytes;   /* of probes, set-up and transactions */
};

struct distance_meter *distance_meter (struct distance *distance,
                                       enum distance_level level);

/* Records the time from a probe to its answer.  METER may be NULL.  */
void distance_meter_probe (struct distance_meter *meter, clk_ms spent_ms);

/* Counts BYTES of messages of KIND, a peer_kind, between hosts.  */
void distance_count_message (struct distance *distance, const char *zone,
                             unsigned kind, size_t bytes);
/* Counts a statement that was forwarded, or a read that was placed on an
   instance, with the reason for its level.  */
void distance_count_forwarded (struct distance *distance,
                               enum distance_level level, const char *why);
void distance_count_read (struct distance *distance, enum distance_level level,
                          const char *why);

/* The costs that a split compares.  */
struct distance_sides
{
  double near_ms;   /* expected time on the near side */
  double far_ms;    /* the same on the far side */
  double price_ms;  /* of the far side; less counts if time is short */
  clk_ms target_ms; /* for the statement; 0: none */
};

/* Valid when zero-initialised: nothing leaves.  */
struct distance_split
{
  double part;  /* of the statements that leaves, from 0 to 1 */
  double level; /* its slow term */
  double excess;
  double slope; /* smoothed change of EXCESS per second */
  clk_ms stepped_ms;
  struct distance_sides sides; /* of the last step, for reports */
};

/* Returns by how much the near side costs more than the far one, as a part of
   the target, from -1 to 1.  */
double distance_excess (const struct distance_sides *sides);

/* Updates the part of the statements that leaves, and returns it.  */
double distance_split_step (struct distance_split *split, clk_ms now_ms,
                            const struct distance_sides *sides);

/* Records that the near side can't be used.  Once it can, statements return
   gradually.  */
void distance_split_near_lost (struct distance_split *split, clk_ms now_ms);

#endif
