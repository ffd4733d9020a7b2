/* Choice of the instance for a read.  */

#include "proxy/group_impl.h"

#include <string.h>

#define WHY_BEHIND "behind"

static bool
was_tried (const struct backend *backend, const char tried[][NAME_BYTES],
           size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (tried[i], backend_entry (backend)->id) == 0)
      return true;
  return false;
}

/* Returns the mean time of statements on BACKEND, which is at LEVEL.  One in
   another area that has run few is not faster than a round trip.  */
static double
mean_ms (const struct group *group, const struct backend *backend,
         enum distance_level level)
{
  const struct distance_meter *meter
      = distance_meter (group->groups->distance, level);
  double mean = backend_mean_latency_ms (backend);
  return level == DISTANCE_FAR && mean < meter->rtt_ms ? meter->rtt_ms : mean;
}

/* Returns the expected time of a read on INSTANCE in milliseconds, with the
   cost to other statements.  */
static double
read_cost (const struct group *group, const struct member_instance *instance,
           struct position floor, const char *workspace)
{
  const struct backend *backend = instance->backend;
  const struct instance_entry *entry = backend_entry (backend);
  uint32_t slots = entry->slots > 0 ? entry->slots : 1;
  const struct distance *distance = group->groups->distance;
  enum distance_level level = distance_to (distance, entry->zone);
  double typical_ms = mean_ms (group, backend, level) + 1.0;
  double cost = typical_ms * (1.0 + (double)backend_busy (backend) / slots);
  cost += GROUP_REFUSAL_COST_MS * backend_refusal_share (backend);
  cost += distance_price_ms (distance, level);
  if (backend == group->leader)
    cost += GROUP_PRIMARY_COST_MS;
  else if (position_compare (backend_position (backend), floor) < 0)
    cost += GROUP_BEHIND_COST_MS;
  if (backend_idle (backend, workspace) == 0)
    cost += GROUP_CONNECT_COST_MS * (1 + backend_waiting (backend, workspace));
  return cost;
}

/* Returns whether the log of INSTANCE is known not to contain FLOOR.  */
static bool
is_behind (const struct group *group, const struct member_instance *instance,
           struct position floor)
{
  return group_now (group) - instance->behind_ms < GROUP_BEHIND_MS
         && position_compare (backend_position (instance->backend), floor) < 0;
}

/* Returns why INSTANCE can't serve a read that must see FLOOR; NULL if it
   can.  */
static const char *
why_not (const struct group *group, const struct member_instance *instance,
         struct position floor)
{
  const struct backend *backend = instance->backend;
  if (!backend_usable (backend))
    return "unreachable";
  if (is_behind (group, instance, floor))
    return WHY_BEHIND;
  if (!group_takes_work (group, backend)
      || (backend_entry (backend)->draining && backend != group->leader))
    return "leaving";
  return NULL;
}

size_t
group_read_candidates (const struct group *group, struct position floor,
                       const char *workspace,
                       struct read_candidate out[GROUP_INSTANCES])
{
  for (size_t i = 0; i < group->count; i++)
    {
      const struct member_instance *instance = group->instances[i];
      const struct distance *distance = group->groups->distance;
      enum distance_level level
          = distance_to (distance, backend_entry (instance->backend)->zone);
      out[i] = (struct read_candidate){
        .backend = instance->backend,
        .level = level,
        .price_ms = level == DISTANCE_FAR
                        ? distance_price_ms (distance, level)
                              - distance_price_ms (distance, DISTANCE_AREA)
                        : 0,
        .cost_ms = read_cost (group, instance, floor, workspace),
        .why_not = why_not (group, instance, floor),
      };
    }
  return group->count;
}

/* The instances that a read may use: all, or those of one side.  */
enum side
{
  SIDE_NEAR, /* this area */
  SIDE_FAR,
  SIDE_ANY
};

static enum side
side_of (const struct read_candidate *choice)
{
  return choice->level == DISTANCE_FAR ? SIDE_FAR : SIDE_NEAR;
}

/* Returns whether an instance of this area is only behind the position of the
   read, and serves others.  */
static bool
near_is_behind (const struct read_candidate *choices, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (side_of (&choices[i]) == SIDE_NEAR && choices[i].why_not != NULL
        && strcmp (choices[i].why_not, WHY_BEHIND) == 0)
      return true;
  return false;
}

/* Decides on which side the next read runs.  BEST holds the cheapest instance
   of each side, or NULL; BEHIND tells that the near ones are.  Sets WHY to the
   reason.  */
static enum side
choose_side (struct group *group, const struct read_candidate *const best[2],
             bool behind, const char **why)
{
  const struct read_candidate *near = best[SIDE_NEAR], *far = best[SIDE_FAR];
  struct rng *rng = kernel_rng (group->groups->base.kernel);
  *why = behind ? "behind" : "only";
  if (near == NULL || far == NULL)
    {
      if (near == NULL && !behind)
        distance_split_near_lost (&group->split, group_now (group));
      return near != NULL ? SIDE_NEAR : SIDE_FAR;
    }
  struct distance_sides sides = { .near_ms = near->cost_ms,
                                  .far_ms = far->cost_ms - far->price_ms,
                                  .price_ms = far->price_ms,
                                  .target_ms = group->target_ms };
  double part = distance_split_step (&group->split, group_now (group), &sides);
  bool leaves = part > 0 && rng_unit (rng) < part;
  *why = leaves ? "load" : "near";
  return leaves ? SIDE_FAR : SIDE_NEAR;
}

/* Returns the side for the next read: any where there are no areas.  A retry,
   which must not use the instances in TRIED, follows the costs: it concerns
   one statement, and tells nothing about the others.  */
static enum side
find_side (struct group *group, const struct read_candidate *choices,
           size_t count, size_t tried_count)
{
  struct distance *distance = group->groups->distance;
  const struct read_candidate *best[2] = { NULL, NULL };
  const char *why;
  if (!distance_has_areas (distance) || tried_count > 0)
    return SIDE_ANY;
  for (size_t i = 0; i < count; i++)
    {
      const struct read_candidate **of = &best[side_of (&choices[i])];
      if (choices[i].why_not == NULL
          && (*of == NULL || choices[i].cost_ms < (*of)->cost_ms))
        *of = &choices[i];
    }
  if (best[SIDE_NEAR] == NULL && best[SIDE_FAR] == NULL)
    return SIDE_ANY;
  enum side side
      = choose_side (group, best, near_is_behind (choices, count), &why);
  distance_count_read (distance, best[side]->level, why);
  return side;
}

const struct distance_split *
group_read_split (const struct group *group)
{
  return &group->split;
}

struct backend *
group_pick (struct group *group, struct position floor, const char *workspace,
            const char tried[][NAME_BYTES], size_t tried_count)
{
  struct rng *rng = kernel_rng (group->groups->base.kernel);
  struct read_candidate choices[GROUP_INSTANCES];
  size_t count = group_read_candidates (group, floor, workspace, choices);
  enum side side = find_side (group, choices, count, tried_count);
  struct backend *best = NULL;
  double best_cost = 0;
  group->used_ms = group_now (group);
  for (size_t i = 0; i < count; i++)
    {
      const struct read_candidate *choice = &choices[i];
      if (choice->why_not != NULL
          || (side != SIDE_ANY && side_of (choice) != side)
          || was_tried (choice->backend, tried, tried_count))
        continue;
      /* Jitter keeps hosts with the same data from all choosing the same
         instance.  */
      double cost = choice->cost_ms * (0.9 + 0.2 * rng_unit (rng));
      if (best == NULL || cost < best_cost)
        {
          best = choice->backend;
          best_cost = cost;
        }
    }
  return best;
}
