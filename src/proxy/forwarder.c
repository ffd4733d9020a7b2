#include "proxy/forwarder.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "kernel/mem.h"
#include "kernel/text.h"
#include "proxy/forward_path.h"
#include "proxy/group.h"
#include "proxy/placement.h"
#include "proxy/roster.h"

/* Statements in flight that cost as much as a millisecond.  */
#define COST_PER_MS ((double)FORWARDER_DOMAIN_COST / DISTANCE_DOMAIN_COST_MS)

/* Weight of the newest answer in smoothed times, and the time after which what
   they tell about the load counts half.  */
#define ANSWER_WEIGHT 0.3
#define LOAD_HALF_LIFE_MS 1000

/* Time of a statement besides its path, assumed where none was measured.  */
#define USUAL_MS 15

/* Time that a refused statement counts as, where it had no target.  */
#define REFUSED_MS 200

/* Load and failures of a host that statements were forwarded to.  */
struct host_load
{
  char host[NAME_BYTES];
  double answer_ms;     /* smoothed time to the answer; 0: not known */
  clk_ms noted_ms;      /* time of the last answer in it */
  clk_ms overloaded_ms; /* of the last refusal, as too many waited */
  uint32_t outstanding;
  clk_ms down_until_ms;
  clk_ms last_answer_ms;
  UT_hash_handle hh;
};

/* A group name and a letter.  */
#define FLOW_KEY_BYTES (NAME_BYTES + 1)

/* The statements of one kind that are forwarded for a group, where there are
   areas.  */
struct group_flow
{
  char key[FLOW_KEY_BYTES]; /* 'p' for the primary or 'r', then the group */
  char home[NAME_BYTES];    /* a failure domain on the side HOME */
  struct distance_split split;
  double answer_ms[2]; /* smoothed, by side */
  clk_ms noted_ms[2];
  UT_hash_handle hh;
};

struct forwarder
{
  struct module base;
  struct distance *distance;
  struct groups *groups;
  struct group_flow *flows;
  double level_ms[DISTANCE_LEVELS]; /* smoothed times to answers */
  char picked[NAME_BYTES];          /* the host picked last */
  const char *why;                  /* it was picked */
  struct hosts *hosts;
  struct placement *placement;
  struct roster *roster;
  struct host_load *loads;
};

static struct host_load *
find_load (const struct forwarder *forwarder, const char *host)
{
  struct host_load *load;
  HASH_FIND_STR (forwarder->loads, host, load);
  return load;
}

/* Removes hosts without statements in flight and without a recent failure, so
   that entries of replaced hosts don't accumulate.  */
static void
drop_idle_loads (struct forwarder *forwarder)
{
  clk_ms now_ms = kernel_now (forwarder->base.kernel);
  struct host_load *load, *next;
  HASH_ITER (hh, forwarder->loads, load, next)
  {
    if (load->outstanding > 0 || load->down_until_ms > now_ms)
      continue;
    HASH_DEL (forwarder->loads, load);
    free (load);
  }
}

static struct host_load *
ensure_load (struct forwarder *forwarder, const char *host)
{
  struct host_load *load = find_load (forwarder, host);
  if (load != NULL)
    return load;
  size_t hosts;
  hosts_list (forwarder->hosts, &hosts);
  if (HASH_COUNT (forwarder->loads) > 2 * hosts + 1)
    drop_idle_loads (forwarder);
  load = mem_zalloc (sizeof *load);
  load->last_answer_ms = load->overloaded_ms = CLK_LONG_AGO;
  text_copy (load->host, sizeof load->host, host);
  HASH_ADD_STR (forwarder->loads, host, load);
  return load;
}

void
forwarder_begin (struct forwarder *forwarder, const char *host)
{
  const struct other_host *known = hosts_find (forwarder->hosts, host);
  ensure_load (forwarder, host)->outstanding++;
  if (known != NULL)
    distance_count_forwarded (
        forwarder->distance, distance_to (forwarder->distance, known->zone),
        strcmp (forwarder->picked, host) == 0 ? forwarder->why
                                              : "transaction");
  forwarder->picked[0] = '\0';
}

void
forwarder_end (struct forwarder *forwarder, const char *host, bool failed)
{
  struct host_load *load = ensure_load (forwarder, host);
  if (load->outstanding > 0)
    load->outstanding--;
  if (!failed)
    return;
  struct kernel *kernel = forwarder->base.kernel;
  load->down_until_ms = kernel_now (kernel) + FORWARDER_RETRY_MS;
  log_event (kernel_log (kernel), LOG_INFO, "host_unreachable",
             LOG_S ("host", host));
}

void
forwarder_note_answer (struct forwarder *forwarder, const char *host)
{
  ensure_load (forwarder, host)->last_answer_ms
      = kernel_now (forwarder->base.kernel);
}

clk_ms
forwarder_last_answer_ms (const struct forwarder *forwarder, const char *host)
{
  const struct host_load *load = find_load (forwarder, host);
  return load != NULL ? load->last_answer_ms : CLK_LONG_AGO;
}

static bool
was_tried (const struct forwarder_query *query, const char *host)
{
  for (size_t i = 0; i < query->tried_count; i++)
    if (strcmp (query->tried[i], host) == 0)
      return true;
  return false;
}

/* Returns why HOST does not meet the query; NULL if it does.  */
static const char *
why_not (const struct forwarder *forwarder,
         const struct forwarder_query *query, const struct other_host *host)
{
  const char *name = host->address.name;
  const struct host_load *load = find_load (forwarder, name);
  if (was_tried (query, name))
    return "tried";
  if (load != NULL
      && load->down_until_ms > kernel_now (forwarder->base.kernel))
    return "did not answer";
  if (query->instance != NULL
      && roster_host_reports (forwarder->roster, query->group, query->instance,
                              name))
    return "can't reach the primary";
  return NULL;
}

/* Returns how much a host is slower or more loaded than others at its level,
   in statements in flight.  What is known about it fades.  */
static double
load_cost (const struct forwarder *forwarder, const struct host_load *load,
           enum distance_level level)
{
  clk_ms now_ms = kernel_now (forwarder->base.kernel);
  double slower_ms = load->answer_ms - forwarder->level_ms[level];
  double cost = 0;
  if (now_ms - load->overloaded_ms < FORWARDER_OVERLOADED_MS)
    cost += FORWARDER_OVERLOADED_COST;
  if (load->answer_ms > 0 && slower_ms > 0)
    cost += COST_PER_MS * slower_ms
            * exp2 (-(double)(now_ms - load->noted_ms) / LOAD_HALF_LIFE_MS);
  return cost;
}

/* Returns the path to the instance through HOST.  */
static struct forward_path
path_via (const struct forwarder *forwarder,
          const struct forwarder_query *query, const struct other_host *host)
{
  return forward_path_through (forwarder->distance, forwarder->groups, query,
                               host);
}

/* Returns the cost of HOST, without a random part.  */
static double
host_cost (const struct forwarder *forwarder, const struct other_host *host)
{
  const struct host_load *load = find_load (forwarder, host->address.name);
  enum distance_level level = distance_to (forwarder->distance, host->zone);
  double cost = load != NULL ? load->outstanding : 0;
  if (level != DISTANCE_DOMAIN)
    cost += COST_PER_MS
            * distance_price_ms (forwarder->distance, DISTANCE_AREA);
  if (load != NULL && distance_has_areas (forwarder->distance))
    cost += load_cost (forwarder, load, level);
  return cost;
}

/* Returns a random part of a cost, so that hosts with the same information
   don't all choose the same host.  */
static double
random_part (const struct forwarder *forwarder)
{
  return rng_unit (kernel_rng (forwarder->base.kernel));
}

/* Picks from the hosts that the workspace of QUERY prefers; if none of them
   can be used, the next one in rank.  */
static const struct other_host *
pick_for_workspace (struct forwarder *forwarder,
                    const struct forwarder_query *query)
{
  const struct placed_workspace *placed = placement_find_workspace (
      forwarder->placement, query->group, query->workspace);
  bool has_areas = distance_has_areas (forwarder->distance);
  const struct other_host *best = NULL;
  double best_cost = 0;
  for (size_t i = 0; i < placed->count; i++)
    {
      const struct other_host *host = placed->hosts[i];
      bool preferred = placed_workspace_prefers (placed, i);
      if (!preferred && (best != NULL || query->preferred_only))
        break;
      if (why_not (forwarder, query, host) != NULL)
        continue;
      double cost = host_cost (forwarder, host) + random_part (forwarder);
      struct forward_path path = path_via (forwarder, query, host);
      if (has_areas)
        cost += COST_PER_MS * forward_path_cost (&path);
      if (best != NULL && cost >= best_cost)
        continue;
      best = host;
      best_cost = cost;
    }
  return best;
}

/* The hosts of the area that the best path leads through, and those of other
   areas.  */
struct choice
{
  const struct other_host *best[2]; /* the cheapest of each side, or NULL */
  double cost[2];
  struct forward_path path[2]; /* the best on each side */
  bool known[2];               /* there is a host, also if it can't be used */
  const char *home;            /* a failure domain on the side HOME */
};

enum
{
  HOME,
  AWAY
};

static int
side_of (const struct forwarder *forwarder, const char *home, const char *zone)
{
  return distance_between (forwarder->distance, home, zone) == DISTANCE_FAR
             ? AWAY
             : HOME;
}

/* Returns the host that the best path leads through, usable or not.  */
static const struct other_host *
find_home (const struct forwarder *forwarder,
           const struct forwarder_query *query,
           const struct placed_group *placed)
{
  const struct other_host *home = NULL;
  double best_ms = 0;
  for (size_t i = 0; i < placed->count; i++)
    {
      struct forward_path path = path_via (forwarder, query, placed->hosts[i]);
      if (home != NULL && forward_path_cost (&path) >= best_ms)
        continue;
      home = placed->hosts[i];
      best_ms = forward_path_cost (&path);
    }
  return home;
}

/* Finds the cheapest host of each side.  Without areas all are on the side
   HOME.  */
static struct choice
choose (const struct forwarder *forwarder, const struct forwarder_query *query)
{
  const struct placed_group *placed
      = placement_find (forwarder->placement, query->group);
  bool has_areas = distance_has_areas (forwarder->distance);
  const struct other_host *home
      = has_areas ? find_home (forwarder, query, placed) : NULL;
  struct choice choice = { .home = home != NULL ? home->zone : "" };
  for (size_t i = 0; i < placed->count; i++)
    {
      const struct other_host *host = placed->hosts[i];
      int side = HOME;
      if (has_areas)
        {
          struct forward_path path = path_via (forwarder, query, host);
          side = side_of (forwarder, choice.home, host->zone);
          if (!choice.known[side]
              || forward_path_cost (&path)
                     < forward_path_cost (&choice.path[side]))
            choice.path[side] = path;
          choice.known[side] = true;
        }
      if (why_not (forwarder, query, host) != NULL)
        continue;
      double cost = host_cost (forwarder, host) + random_part (forwarder);
      if (choice.best[side] != NULL && cost >= choice.cost[side])
        continue;
      choice.best[side] = host;
      choice.cost[side] = cost;
    }
  return choice;
}

static struct group_flow *
find_flow (const struct forwarder *forwarder, const char *group,
           bool to_primary)
{
  struct group_flow *flow;
  char key[FLOW_KEY_BYTES];
  snprintf (key, sizeof key, "%c%s", to_primary ? 'p' : 'r', group);
  HASH_FIND_STR (forwarder->flows, key, flow);
  return flow;
}

static struct group_flow *
ensure_flow (struct forwarder *forwarder, const char *group, bool to_primary)
{
  struct group_flow *flow = find_flow (forwarder, group, to_primary);
  if (flow != NULL)
    return flow;
  flow = mem_zalloc (sizeof *flow);
  snprintf (flow->key, sizeof flow->key, "%c%s", to_primary ? 'p' : 'r',
            group);
  flow->noted_ms[HOME] = flow->noted_ms[AWAY] = CLK_LONG_AGO;
  HASH_ADD_STR (forwarder->flows, key, flow);
  return flow;
}

/* Returns the expected time on SIDE: as measured, or if that was long ago as
   if nothing waited there.  */
static double
side_time_ms (const struct forwarder *forwarder, const struct group_flow *flow,
              const struct choice *choice, int side)
{
  clk_ms age_ms = kernel_now (forwarder->base.kernel) - flow->noted_ms[side];
  double usual_ms = choice->path[side].time_ms + USUAL_MS;
  double part = exp2 (-(double)age_ms / LOAD_HALF_LIFE_MS);
  return usual_ms + part * (flow->answer_ms[side] - usual_ms);
}

/* Decides whether the next statement of QUERY goes to the side AWAY, and sets
   WHY to the reason.  */
static int
choose_side (struct forwarder *forwarder, const struct forwarder_query *query,
             const struct choice *choice, const char **why)
{
  clk_ms now_ms = kernel_now (forwarder->base.kernel);
  *why = query->tried_count > 0 ? "retry" : "only";
  if (choice->best[AWAY] == NULL)
    return HOME;
  struct group_flow *flow
      = ensure_flow (forwarder, query->group, query->to_primary);
  text_copy (flow->home, sizeof flow->home, choice->home);
  if (choice->best[HOME] == NULL)
    {
      if (query->tried_count == 0)
        distance_split_near_lost (&flow->split, now_ms);
      return AWAY;
    }
  struct distance_sides sides
      = { .near_ms = side_time_ms (forwarder, flow, choice, HOME),
          .far_ms = side_time_ms (forwarder, flow, choice, AWAY),
          .price_ms
          = choice->path[AWAY].price_ms - choice->path[HOME].price_ms,
          .target_ms = query->target_ms };
  double part = distance_split_step (&flow->split, now_ms, &sides);
  bool leaves = part > 0 && random_part (forwarder) < part;
  *why = leaves ? "load" : query->tried_count > 0 ? "retry" : "near";
  return leaves ? AWAY : HOME;
}

const struct other_host *
forwarder_pick (struct forwarder *forwarder,
                const struct forwarder_query *query)
{
  const struct other_host *host;
  forwarder->why = "near";
  if (query->workspace[0] != '\0')
    host = pick_for_workspace (forwarder, query);
  else
    {
      struct choice choice = choose (forwarder, query);
      int side = choose_side (forwarder, query, &choice, &forwarder->why);
      host = choice.best[side];
    }
  text_copy (forwarder->picked, sizeof forwarder->picked,
             host != NULL ? host->address.name : "");
  return host;
}

size_t
forwarder_candidates (const struct forwarder *forwarder,
                      const struct forwarder_query *query,
                      struct forwarder_candidate out[])
{
  const struct placed_group *placed
      = placement_find (forwarder->placement, query->group);
  size_t count = 0;
  for (; count < placed->count && count < FORWARDER_CANDIDATES; count++)
    {
      const struct other_host *host = placed->hosts[count];
      const struct host_load *load = find_load (forwarder, host->address.name);
      struct forward_path path = path_via (forwarder, query, host);
      out[count] = (struct forwarder_candidate){
        .host = host,
        .level = distance_to (forwarder->distance, host->zone),
        .path_ms = forward_path_cost (&path),
        .cost = host_cost (forwarder, host),
        .in_flight = load != NULL ? load->outstanding : 0,
        .answer_ms = load != NULL ? load->answer_ms : 0,
        .why_not = why_not (forwarder, query, host),
      };
    }
  return count;
}

static void
smooth (double *value, double newest)
{
  *value += (*value > 0 ? ANSWER_WEIGHT : 1) * (newest - *value);
}

void
forwarder_note_outcome (struct forwarder *forwarder,
                        const struct forwarder_outcome *outcome)
{
  clk_ms now_ms = kernel_now (forwarder->base.kernel);
  const struct other_host *host = hosts_find (forwarder->hosts, outcome->host);
  if (!distance_has_areas (forwarder->distance) || host == NULL)
    return;
  struct host_load *load = ensure_load (forwarder, outcome->host);
  struct group_flow *flow
      = find_flow (forwarder, outcome->group, outcome->to_primary);
  double spent_ms = (double)outcome->spent_ms + 1;
  double refused_ms
      = (double)(outcome->target_ms > 0 ? outcome->target_ms : REFUSED_MS);
  /* A refusal comes fast, but the statement would have taken longer than its
     target.  */
  if (outcome->overloaded && spent_ms < refused_ms)
    spent_ms = refused_ms;
  if (outcome->overloaded)
    load->overloaded_ms = now_ms;
  smooth (&load->answer_ms, spent_ms);
  load->noted_ms = now_ms;
  smooth (&forwarder->level_ms[distance_to (forwarder->distance, host->zone)],
          spent_ms);
  if (flow == NULL)
    return;
  int side = side_of (forwarder, flow->home, host->zone);
  smooth (&flow->answer_ms[side], spent_ms);
  flow->noted_ms[side] = now_ms;
}

const struct distance_split *
forwarder_split (const struct forwarder *forwarder, const char *group,
                 bool to_primary)
{
  const struct group_flow *flow = find_flow (forwarder, group, to_primary);
  return flow != NULL ? &flow->split : NULL;
}

static void
forwarder_start (struct module *module)
{
  struct forwarder *forwarder = (struct forwarder *)module;
  struct kernel *kernel = module->kernel;
  forwarder->hosts = (struct hosts *)kernel_find (kernel, "hosts");
  forwarder->placement = (struct placement *)kernel_find (kernel, "placement");
  forwarder->roster = (struct roster *)kernel_find (kernel, "roster");
  forwarder->distance = (struct distance *)kernel_find (kernel, "distance");
  forwarder->groups = (struct groups *)kernel_find (kernel, "groups");
}

static void
forwarder_free (struct module *module)
{
  struct forwarder *forwarder = (struct forwarder *)module;
  struct host_load *load, *next;
  struct group_flow *flow, *next_flow;
  HASH_ITER (hh, forwarder->flows, flow, next_flow)
  {
    HASH_DEL (forwarder->flows, flow);
    free (flow);
  }
  HASH_ITER (hh, forwarder->loads, load, next)
  {
    HASH_DEL (forwarder->loads, load);
    free (load);
  }
  free (forwarder);
}

static const struct module_ops forwarder_ops
    = { .start = forwarder_start, .free = forwarder_free };

struct forwarder *
forwarder_new (void)
{
  struct forwarder *forwarder = mem_zalloc (sizeof *forwarder);
  forwarder->base.ops = &forwarder_ops;
  forwarder->base.name = "forwarder";
  return forwarder;
}

struct module *
forwarder_module (struct forwarder *forwarder)
{
  return &forwarder->base;
}
