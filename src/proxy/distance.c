#include "proxy/distance.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "kernel/text.h"
#include "port/peer.h"

/* Round trips assumed before they are measured.  */
static const double default_rtt_ms[DISTANCE_LEVELS] = { 1, 2, 25 };

/* Weights of a measured round trip that is shorter, or longer, than the known
   one: an answer is often delayed by the hosts, and not by the link.  */
#define RTT_SHORTER_WEIGHT 0.5
#define RTT_LONGER_WEIGHT 0.1

/* The part that leaves is a sum of three terms of the excess: proportional,
   integral (per second) and differential (in seconds).  The plant is a queue,
   which integrates, seen with a delay of 50 to 250 ms.  With demand of 1.15 to
   1.75 times the near capacity these settle within 2 s and overshoot once at
   most; with a proportional term of 1.5, or an integral one of 3, the part
   oscillates (test_distance.c).  */
#define SPLIT_PROPORTIONAL 0.3
#define SPLIT_INTEGRAL 0.2
#define SPLIT_DIFFERENTIAL 0.05
#define SPLIT_SLOPE_WEIGHT 0.4
/* While the near side is clearly better, the slow term falls at this rate per
   second, so that bytes are not paid for in vain.  */
#define SPLIT_RETURN_EXCESS -0.1
#define SPLIT_RETURN_RATE 0.4
/* Largest change of the part per second.  */
#define SPLIT_RATE 1.0
#define SPLIT_STEP_MS 50
/* Longest time that counts as one step.  */
#define SPLIT_GAP_MS 200
/* Time without a step after which the slow term has halved.  */
#define SPLIT_HALF_LIFE_MS 1000

/* Target assumed where none is given.  */
#define DEFAULT_TARGET_MS 200

#define MESSAGE_KINDS 32

struct listed_domain
{
  char zone[NAME_BYTES];
  char area[NAME_BYTES];
};

struct distance
{
  struct module base;
  char zone[NAME_BYTES];
  double domain_cost_ms;
  double area_cost_ms;
  bool has_areas;
  size_t domain_count;
  struct listed_domain domains[DISTANCE_DOMAIN_LIMIT];
  struct distance_meter meters[DISTANCE_LEVELS];
  int64_t *message_bytes[DISTANCE_LEVELS][MESSAGE_KINDS]; /* lazily */
};

static const char *const level_names[DISTANCE_LEVELS]
    = { [DISTANCE_DOMAIN] = "domain",
        [DISTANCE_AREA] = "area",
        [DISTANCE_FAR] = "far" };

static const struct listed_domain *
find_domain (const struct listed_domain *domains, size_t count,
             const char *zone)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (domains[i].zone, zone) == 0)
      return &domains[i];
  return NULL;
}

/* Parses one "DOMAIN=AREA" of LENGTH bytes.  */
static bool
parse_pair (struct listed_domain *domain, const char *text, size_t length)
{
  const char *equals = memchr (text, '=', length);
  size_t zone_length = equals != NULL ? (size_t)(equals - text) : 0;
  size_t area_length = equals != NULL ? length - zone_length - 1 : 0;
  if (zone_length == 0 || zone_length >= NAME_BYTES || area_length == 0
      || area_length >= NAME_BYTES)
    return false;
  *domain = (struct listed_domain){ 0 };
  memcpy (domain->zone, text, zone_length);
  memcpy (domain->area, equals + 1, area_length);
  return true;
}

/* Parses a list of areas.  Returns false if it is not valid.  */
static bool
parse_areas (const char *text,
             struct listed_domain domains[DISTANCE_DOMAIN_LIMIT],
             size_t *count)
{
  *count = 0;
  if (text == NULL || *text == '\0')
    return true;
  for (;;)
    {
      size_t length = strcspn (text, ",");
      if (*count == DISTANCE_DOMAIN_LIMIT
          || !parse_pair (&domains[*count], text, length)
          || find_domain (domains, *count, domains[*count].zone) != NULL)
        return false;
      (*count)++;
      if (text[length] == '\0')
        return true;
      text += length + 1;
    }
}

bool
distance_areas_valid (const char *text)
{
  struct listed_domain domains[DISTANCE_DOMAIN_LIMIT];
  size_t count;
  return parse_areas (text, domains, &count);
}

bool
distance_has_areas (const struct distance *distance)
{
  return distance->has_areas;
}

const char *
distance_area (const struct distance *distance, const char *zone)
{
  const struct listed_domain *domain
      = find_domain (distance->domains, distance->domain_count, zone);
  return domain != NULL ? domain->area : "";
}

enum distance_level
distance_between (const struct distance *distance, const char *zone,
                  const char *other)
{
  if (strcmp (zone, other) == 0)
    return DISTANCE_DOMAIN;
  if (!distance->has_areas
      || strcmp (distance_area (distance, zone),
                 distance_area (distance, other))
             == 0)
    return DISTANCE_AREA;
  return DISTANCE_FAR;
}

enum distance_level
distance_to (const struct distance *distance, const char *zone)
{
  return distance_between (distance, distance->zone, zone);
}

const char *
distance_level_name (enum distance_level level)
{
  return level_names[level];
}

double
distance_price_ms (const struct distance *distance, enum distance_level level)
{
  if (level == DISTANCE_DOMAIN)
    return 0;
  return distance->domain_cost_ms
         + (level == DISTANCE_FAR ? distance->area_cost_ms : 0);
}

double
distance_forward_price_ms (const struct distance *distance,
                           enum distance_level level)
{
  if (level == DISTANCE_DOMAIN)
    return 0;
  return distance->domain_cost_ms
         + (level == DISTANCE_FAR
                ? distance->area_cost_ms * DISTANCE_FORWARD_FACTOR
                : 0);
}

struct distance_meter *
distance_meter (struct distance *distance, enum distance_level level)
{
  return &distance->meters[level];
}

void
distance_meter_probe (struct distance_meter *meter, clk_ms spent_ms)
{
  double spent = (double)spent_ms;
  if (meter == NULL)
    return;
  if (!meter->measured)
    meter->rtt_ms = spent;
  meter->measured = true;
  meter->rtt_ms
      += (spent < meter->rtt_ms ? RTT_SHORTER_WEIGHT : RTT_LONGER_WEIGHT)
         * (spent - meter->rtt_ms);
}

static const char *
message_name (unsigned kind)
{
  static const char *const names[MESSAGE_KINDS] = {
    [PEER_KIND_HEARTBEAT] = "revision", [PEER_KIND_SUSPICION] = "suspicion",
    [PEER_KIND_FORWARD] = "forward",    [PEER_KIND_FORWARD_AS] = "forward",
    [PEER_KIND_FOLLOW] = "follow",      [PEER_KIND_FOLLOW_DATED] = "follow",
    [PEER_KIND_PERMIT] = "permit",      [PEER_KIND_ALLOWANCE] = "allowance"
  };
  return names[kind] != NULL ? names[kind] : "other";
}

void
distance_count_message (struct distance *distance, const char *zone,
                        unsigned kind, size_t bytes)
{
  enum distance_level level = distance_to (distance, zone);
  char name[96];
  if (kind >= MESSAGE_KINDS)
    kind = 0;
  int64_t **value = &distance->message_bytes[level][kind];
  if (*value == NULL)
    {
      snprintf (name, sizeof name,
                "host_bytes_total{level=\"%s\",kind=\"%s\"}",
                level_names[level], message_name (kind));
      *value = metrics_value (kernel_metrics (distance->base.kernel), name);
    }
  **value += (int64_t)bytes;
}

static void
count_reason (struct distance *distance, const char *counter,
              enum distance_level level, const char *why)
{
  char name[96];
  snprintf (name, sizeof name, "%s{level=\"%s\",why=\"%s\"}", counter,
            level_names[level], why);
  metrics_increment (kernel_metrics (distance->base.kernel), name);
}

void
distance_count_forwarded (struct distance *distance, enum distance_level level,
                          const char *why)
{
  count_reason (distance, "forwarded_total", level, why);
}

void
distance_count_read (struct distance *distance, enum distance_level level,
                     const char *why)
{
  count_reason (distance, "reads_placed_total", level, why);
}

static double
clamp (double value, double low, double high)
{
  return value < low ? low : value > high ? high : value;
}

double
distance_excess (const struct distance_sides *sides)
{
  double target_ms
      = (double)(sides->target_ms > 0 ? sides->target_ms : DEFAULT_TARGET_MS);
  /* The price is that of bytes; a statement that would miss its target is
     worth more.  */
  double price_ms
      = sides->price_ms * clamp (1 - sides->near_ms / target_ms, 0, 1);
  return clamp ((sides->near_ms - sides->far_ms - price_ms) / target_ms, -1,
                1);
}

/* Updates the terms of SPLIT for a step of STEP_S seconds.  Returns the part
   that they ask for.  */
static double
update_terms (struct distance_split *split, double excess, double step_s)
{
  double slope = (excess - split->excess) / step_s;
  split->slope += SPLIT_SLOPE_WEIGHT * (slope - split->slope);
  split->excess = excess;
  split->level += (excess < SPLIT_RETURN_EXCESS ? -SPLIT_RETURN_RATE
                                                : SPLIT_INTEGRAL * excess)
                  * step_s;
  split->level = clamp (split->level, 0, DISTANCE_SPLIT_LIMIT);
  double wanted = split->level + SPLIT_PROPORTIONAL * excess;
  /* What is about to become worse has not become worse yet.  */
  if (excess > 0)
    wanted += SPLIT_DIFFERENTIAL * split->slope;
  return clamp (wanted, 0, DISTANCE_SPLIT_LIMIT);
}

double
distance_split_step (struct distance_split *split, clk_ms now_ms,
                     const struct distance_sides *sides)
{
  clk_ms gap_ms = now_ms - split->stepped_ms;
  if (gap_ms < SPLIT_STEP_MS)
    return split->part;
  double excess = distance_excess (sides);
  if (gap_ms > SPLIT_GAP_MS)
    {
      split->level
          *= exp2 (-(double)(gap_ms - SPLIT_GAP_MS) / SPLIT_HALF_LIFE_MS);
      split->excess = excess;
      split->slope = 0;
      gap_ms = SPLIT_GAP_MS;
    }
  double step_s = (double)gap_ms / 1000;
  double wanted = update_terms (split, excess, step_s);
  double most = SPLIT_RATE * step_s;
  split->part = clamp (wanted, split->part - most, split->part + most);
  split->stepped_ms = now_ms;
  split->sides = *sides;
  return split->part;
}

void
distance_split_near_lost (struct distance_split *split, clk_ms now_ms)
{
  split->part = split->level = DISTANCE_SPLIT_LIMIT;
  split->excess = split->slope = 0;
  split->stepped_ms = now_ms;
}

static void
init_meters (struct distance *distance)
{
  struct metrics *metrics = kernel_metrics (distance->base.kernel);
  char name[96];
  for (size_t i = 0; i < DISTANCE_LEVELS; i++)
    {
      struct distance_meter *meter = &distance->meters[i];
      const char *level = level_names[i];
      snprintf (name, sizeof name, "instance_statements_total{level=\"%s\"}",
                level);
      meter->statements = metrics_value (metrics, name);
      snprintf (name, sizeof name,
                "instance_bytes_total{level=\"%s\",what=\"statements\"}",
                level);
      meter->statement_bytes = metrics_value (metrics, name);
      snprintf (name, sizeof name,
                "instance_bytes_total{level=\"%s\",what=\"control\"}", level);
      meter->control_bytes = metrics_value (metrics, name);
    }
}

static void
distance_start (struct module *module)
{
  init_meters ((struct distance *)module);
}

static void
distance_free (struct module *module)
{
  free (module);
}

static const struct module_ops distance_ops
    = { .start = distance_start, .free = distance_free };

struct distance *
distance_new (const struct distance_options *options)
{
  struct distance *distance = mem_zalloc (sizeof *distance);
  distance->base.ops = &distance_ops;
  distance->base.name = "distance";
  distance->domain_cost_ms = options->domain_cost_ms;
  distance->area_cost_ms = options->area_cost_ms;
  text_copy (distance->zone, sizeof distance->zone, options->zone);
  if (!parse_areas (options->areas, distance->domains,
                    &distance->domain_count))
    distance->domain_count = 0;
  const char *own = distance_area (distance, distance->zone);
  for (size_t i = 0; i < distance->domain_count; i++)
    distance->has_areas |= strcmp (distance->domains[i].area, own) != 0;
  for (size_t i = 0; i < DISTANCE_LEVELS; i++)
    distance->meters[i].rtt_ms = default_rtt_ms[i];
  return distance;
}

struct module *
distance_module (struct distance *distance)
{
  return &distance->base;
}
