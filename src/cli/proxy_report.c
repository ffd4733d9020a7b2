#include "cli/proxy_report.h"

#include <string.h>

#include "proxy/catalog.h"
#include "proxy/distance.h"
#include "proxy/forwarded_sessions.h"
#include "proxy/forwarder.h"
#include "proxy/group.h"
#include "proxy/hosts.h"
#include "proxy/mirror.h"
#include "proxy/placement.h"
#include "proxy/roster.h"

/* Returns the time since SINCE_MS in ms; null if that never happened.  */
static json_t *
age_or_null (struct kernel *kernel, clk_ms since_ms)
{
  if (since_ms == CLK_NEVER || since_ms <= CLK_LONG_AGO)
    return json_null ();
  return json_integer (kernel_now (kernel) - since_ms);
}

void
proxy_report_status (struct kernel *kernel, json_t *status)
{
  struct catalog *catalog = (struct catalog *)kernel_find (kernel, "catalog");
  struct groups *groups = (struct groups *)kernel_find (kernel, "groups");
  struct forwarded_sessions *forwarded_sessions
      = (struct forwarded_sessions *)kernel_find (kernel,
                                                  "forwarded_sessions");
  struct hosts *hosts = (struct hosts *)kernel_find (kernel, "hosts");
  struct mirror *mirror = (struct mirror *)kernel_find (kernel, "mirror");
  struct roster *roster = (struct roster *)kernel_find (kernel, "roster");
  const struct catalog_config *config = catalog_config (catalog);
  struct mirror_state state = mirror_state (mirror);
  uint64_t token = 0;
  size_t others;
  hosts_list (hosts, &others);
  bool has_duty = roster_holds_duty (roster, &token);
  json_t *report = json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:b, s:I, s:s, s:b, s:b, s:I}",
      "config_version", (json_int_t)config->version, "databases",
      (json_int_t)config->route_count, "groups",
      (json_int_t)config->group_count, "hosts", (json_int_t)others + 1,
      "forwarded_here",
      (json_int_t)forwarded_sessions_count (forwarded_sessions),
      "store_reached", (int)mirror_store_reachable (mirror),
      "store_heard_ms_ago", (json_int_t)state.heard_ms_ago, "store_heard_from",
      state.heard_from, "cut_off", (int)groups_cut_off (groups), "holds_duty",
      (int)has_duty, "token", (json_int_t)token);
  json_object_update_new (status, report);
}

static json_t *
report_host (const char *name, const char *domain, const char *address,
             uint16_t port)
{
  return json_pack ("{s:s, s:s, s:s, s:i}", "name", name, "domain", domain,
                    "address", address, "port", (int)port);
}

static json_t *
report_hosts (struct hosts *hosts)
{
  json_t *list = json_array ();
  size_t count;
  const struct other_host *const *others = hosts_list (hosts, &count);
  json_array_append_new (list, report_host (hosts_own_name (hosts),
                                            hosts_own_zone (hosts), "-", 0));
  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, report_host (others[i]->address.name,
                                              others[i]->zone,
                                              others[i]->address.address,
                                              others[i]->address.port));
  return list;
}

/* Argument of add_group.  */
struct group_report
{
  struct kernel *kernel;
  json_t *list;
};

static json_t *
report_gateways (struct kernel *kernel, const char *group)
{
  struct placement *placement
      = (struct placement *)kernel_find (kernel, "placement");
  struct hosts *hosts = (struct hosts *)kernel_find (kernel, "hosts");
  const struct placed_group *placed = placement_find (placement, group);
  json_t *names = json_array ();
  if (placed->served_here)
    json_array_append_new (names, json_string (hosts_own_name (hosts)));
  for (size_t i = 0; i < placed->count; i++)
    json_array_append_new (names,
                           json_string (placed->hosts[i]->address.name));
  return names;
}

static json_t *
report_instance (struct kernel *kernel, const struct backend *backend)
{
  const struct instance_entry *entry = backend_entry (backend);
  return json_pack ("{s:s, s:s, s:s, s:i, s:b, s:b, s:i, s:o}", "name",
                    entry->id, "domain", entry->zone, "address",
                    entry->address, "port", (int)entry->port, "leaving",
                    (int)entry->draining, "reachable",
                    (int)backend_usable (backend), "connections",
                    (int)backend_open_connections (backend), "heard_ms_ago",
                    age_or_null (kernel, backend_last_answer_ms (backend)));
}

static void
add_group (void *arg, struct group *group)
{
  struct group_report *report = arg;
  struct backend *backends[GROUP_INSTANCES];
  size_t count = group_instances (group, backends);
  const struct backend *leader = group_leader (group);
  const struct samples *samples = group_samples (group);
  json_t *gateways = report_gateways (report->kernel, group_name (group));
  json_t *instances = json_array ();
  for (size_t i = 0; i < count; i++)
    {
      json_t *instance = report_instance (report->kernel, backends[i]);
      json_object_set (instance, "gateways", gateways);
      json_array_append_new (instances, instance);
    }
  json_decref (gateways);
  json_array_append_new (
      report->list,
      json_pack ("{s:s, s:s, s:I, s:s, s:o, s:o}", "name", group_name (group),
                 "primary", leader != NULL ? backend_entry (leader)->id : "",
                 "term", (json_int_t)samples_term (samples), "state",
                 group_connected (group) ? "connected" : "forwarded",
                 "sample_age_ms",
                 age_or_null (report->kernel, samples_newest_ms (samples)),
                 "instances", instances));
}

json_t *
proxy_report_topology (struct kernel *kernel)
{
  struct groups *groups = (struct groups *)kernel_find (kernel, "groups");
  struct hosts *hosts = (struct hosts *)kernel_find (kernel, "hosts");
  struct group_report report = { kernel, json_array () };
  groups_each (groups, add_group, &report);
  return json_pack ("{s:o, s:o}", "hosts", report_hosts (hosts), "databases",
                    report.list);
}

static json_t *
report_candidates (const struct group *group, struct position min_position)
{
  struct read_candidate candidates[GROUP_INSTANCES];
  size_t count = group_read_candidates (group, min_position, NULL, candidates);
  json_t *list = json_array ();
  for (size_t i = 0; i < count; i++)
    json_array_append_new (
        list, json_pack ("{s:s, s:s, s:f, s:f, s:s}", "instance",
                         backend_entry (candidates[i].backend)->id, "distance",
                         distance_level_name (candidates[i].level), "cost_ms",
                         candidates[i].cost_ms, "price_ms",
                         candidates[i].price_ms, "state",
                         candidates[i].why_not != NULL ? candidates[i].why_not
                                                       : "usable"));
  return list;
}

/* Returns how statements are divided between this area and others, with the
   costs that this rests on.  */
static json_t *
report_split (struct kernel *kernel, const struct distance_split *split)
{
  const struct distance_sides *sides = &split->sides;
  return json_pack (
      "{s:f, s:f, s:f, s:f, s:I, s:o}", "leaves", split->part, "near_ms",
      sides->near_ms, "far_ms", sides->far_ms, "price_ms", sides->price_ms,
      "target_ms", (json_int_t)sides->target_ms, "decided_ms_ago",
      age_or_null (kernel,
                   split->stepped_ms > 0 ? split->stepped_ms : CLK_LONG_AGO));
}

static json_t *
report_forwarding (const struct forwarder_candidate *candidate)
{
  return json_pack (
      "{s:s, s:s, s:s, s:f, s:f, s:i, s:f, s:s}", "host",
      candidate->host->address.name, "domain", candidate->host->zone,
      "distance", distance_level_name (candidate->level), "cost",
      candidate->cost, "path_ms", candidate->path_ms, "in_flight",
      (int)candidate->in_flight, "answer_ms", candidate->answer_ms, "state",
      candidate->why_not != NULL ? candidate->why_not : "usable");
}

/* Adds to ANSWER the hosts that a statement of ROUTE may be forwarded to, and
   how they are chosen.  */
static void
explain_forwarding (json_t *answer, struct kernel *kernel,
                    const struct route *route)
{
  struct forwarder *forwarder
      = (struct forwarder *)kernel_find (kernel, "forwarder");
  struct distance *distance
      = (struct distance *)kernel_find (kernel, "distance");
  bool to_primary = route->kind == ROUTE_PRIMARY;
  struct forwarder_query query = { .workspace = "",
                                   .group = route->group,
                                   .to_primary = to_primary,
                                   .target_ms = route->target_ms };
  struct forwarder_candidate candidates[FORWARDER_CANDIDATES];
  size_t count = forwarder_candidates (forwarder, &query, candidates);
  const struct distance_split *split
      = forwarder_split (forwarder, route->group, to_primary);
  json_t *list = json_array ();
  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, report_forwarding (&candidates[i]));
  json_object_set_new (answer, "choices", list);
  if (distance_has_areas (distance) && split != NULL)
    json_object_set_new (answer, "areas", report_split (kernel, split));
}

/* Adds to ANSWER how the instance of a read is selected.  */
static void
explain_read (json_t *answer, struct kernel *kernel, const struct route *route,
              const struct group *group)
{
  struct position min_position;
  clk_ms not_before_ms = kernel_now (kernel) - route->max_staleness_ms;
  if (!samples_floor (group_samples (group), not_before_ms, &min_position))
    {
      json_object_set_new (answer, "why",
                           json_string ("no recent position: the primary is "
                                        "asked first"));
      return;
    }
  json_object_set_new (answer, "why",
                       json_string ("the usable instance of the least cost, "
                                    "at this position or later"));
  json_object_set_new (answer, "position",
                       json_sprintf ("%llu.%llu",
                                     (unsigned long long)min_position.term,
                                     (unsigned long long)min_position.lsn));
  json_object_set_new (answer, "choices",
                       report_candidates (group, min_position));
  if (distance_has_areas (
          (const struct distance *)kernel_find (kernel, "distance")))
    json_object_set_new (answer, "areas",
                         report_split (kernel, group_read_split (group)));
}

/* Adds to ANSWER where a statement of ROUTE runs, and why.  */
static void
explain_route (json_t *answer, struct kernel *kernel,
               const struct route *route)
{
  struct groups *groups = (struct groups *)kernel_find (kernel, "groups");
  struct group *group = groups_find (groups, route->group);
  struct backend *leader = group != NULL ? group_leader (group) : NULL;
  const char *why = NULL;
  if (group == NULL)
    why = "no instance of the group is known: refused";
  else if (!groups_serves (groups, route->group))
    {
      why = "this host has no connections to the group: forwarded to one of "
            "these hosts";
      json_object_set_new (answer, "hosts",
                           report_gateways (kernel, route->group));
      explain_forwarding (answer, kernel, route);
    }
  else if (route->kind != ROUTE_PRIMARY)
    {
      explain_read (answer, kernel, route, group);
      return;
    }
  else if (leader == NULL)
    why = "no primary is known: held for a short time, then refused";
  else if (!backend_usable (leader))
    why = "the primary can't be reached: forwarded to a host that can, else "
          "held for a short time, then refused";
  else if (!group_takes_work (group, leader))
    why = "the primary has announced that it leaves and takes no new work: "
          "held for a short time, then refused";
  else
    why = "reads and writes go to the primary";
  json_object_set_new (answer, "why", json_string (why));
}

json_t *
proxy_report_explain (struct kernel *kernel, const char *database)
{
  static const char *const kinds[] = { [ROUTE_PRIMARY] = "primary",
                                       [ROUTE_BOUNDED] = "bounded staleness",
                                       [ROUTE_SESSION] = "session" };
  struct catalog *catalog = (struct catalog *)kernel_find (kernel, "catalog");
  struct groups *groups = (struct groups *)kernel_find (kernel, "groups");
  const struct route *route = catalog_route (catalog, database);
  if (route == NULL)
    return NULL;
  struct group *group = groups_find (groups, route->group);
  struct backend *leader = group != NULL ? group_leader (group) : NULL;
  json_t *answer = json_pack (
      "{s:s, s:s, s:s, s:I, s:I, s:i, s:s}", "database", database, "group",
      route->group, "kind", kinds[route->kind], "max_staleness_ms",
      (json_int_t)route->max_staleness_ms, "timeout_ms",
      (json_int_t)route->timeout_ms, "priority", (int)route->priority,
      "primary", leader != NULL ? backend_entry (leader)->id : "");
  explain_route (answer, kernel, route);
  return answer;
}
