#include "proxy/forward_path.h"

/* Bytes of the BEGIN and ROLLBACK around a read on the primary, in those of a
   statement.  */
#define BEGIN_PART 0.7

double
forward_path_cost (const struct forward_path *path)
{
  return path->time_ms + path->price_ms;
}

/* Returns the leg from HOST to INSTANCE.  */
static struct forward_path
leg_to (struct distance *distance, const struct forwarder_query *query,
        const struct other_host *host, const struct backend *instance)
{
  enum distance_level level = distance_between (
      distance, host->zone, backend_entry (instance)->zone);
  double trips = query->trips > 0 ? query->trips : 1;
  return (struct forward_path){
    trips * distance_meter (distance, level)->rtt_ms,
    (1 + (trips - 1) * BEGIN_PART) * distance_price_ms (distance, level)
  };
}

/* Returns the leg from HOST to the nearest instance that can run the
   statement, as far as this host knows; empty if it knows none.  */
static struct forward_path
instance_leg (struct distance *distance, struct groups *groups,
              const struct forwarder_query *query,
              const struct other_host *host)
{
  struct group *group = groups_find (groups, query->group);
  struct backend *instances[GROUP_INSTANCES];
  struct forward_path best = { 0 };
  size_t found = 0;
  size_t count = group != NULL ? group_instances (group, instances) : 0;
  const struct backend *leader = group != NULL ? group_leader (group) : NULL;
  for (size_t i = 0; i < count; i++)
    {
      if ((query->to_primary && instances[i] != leader)
          || !backend_usable (instances[i])
          || !group_takes_work (group, instances[i]))
        continue;
      struct forward_path leg = leg_to (distance, query, host, instances[i]);
      if (!query->to_primary && instances[i] == leader)
        leg.price_ms += GROUP_PRIMARY_COST_MS;
      if (found++ == 0 || forward_path_cost (&leg) < forward_path_cost (&best))
        best = leg;
    }
  return best;
}

struct forward_path
forward_path_through (struct distance *distance, struct groups *groups,
                      const struct forwarder_query *query,
                      const struct other_host *host)
{
  enum distance_level level = distance_to (distance, host->zone);
  struct forward_path path = instance_leg (distance, groups, query, host);
  path.time_ms += distance_meter (distance, level)->rtt_ms;
  path.price_ms += distance_forward_price_ms (distance, level);
  return path;
}
