/* Set-up of a fleet, its configuration, and virtual time.  */

#include "tests/fleet/fleet.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

/* Virtual time at which a fleet starts.  */
#define START_MS 1000000

struct scheduled_call
{
  struct fleet *fleet;
  struct ktimer timer;
  void (*fn) (void *);
  void *arg;
};

static void
run_scheduled (void *arg)
{
  struct scheduled_call *call = arg;
  void (*fn) (void *) = call->fn;
  void *fn_arg = call->arg;
  free (call);
  fn (fn_arg);
}

void
fleet_schedule (struct fleet *fleet, clk_ms span_ms, void (*fn) (void *),
                void *arg)
{
  struct scheduled_call *call = mem_zalloc (sizeof *call);
  call->fn = fn;
  call->arg = arg;
  call->timer = (struct ktimer){ .fire = run_scheduled, .arg = call };
  kernel_timer_set (fleet->kernel, &call->timer, fleet->clk.now_ms + span_ms);
}

static void
print_log (void *arg, int priority, const char *line)
{
  (void)arg;
  if (getenv ("FLEET_LOG") != NULL)
    fprintf (stderr, "<%d>%lld %s\n", priority, (long long)clk_now (arg),
             line);
}

void
fleet_report_violation (struct fleet *fleet, const char *format, ...)
{
  va_list args;
  if (fleet->violation[0] != '\0')
    return;
  va_start (args, format);
  vsnprintf (fleet->violation, sizeof fleet->violation, format, args);
  va_end (args);
}

const char *
fleet_violation (const struct fleet *fleet)
{
  return fleet->violation[0] != '\0' ? fleet->violation : NULL;
}

static void
set_instance_entry (struct fleet_host *host,
                    const struct fleet_instance *instance, size_t index)
{
  struct instance_entry entry = { .port = (uint16_t)(1000 + index),
                                  .slots = 5,
                                  .draining = instance->draining,
                                  .is_primary = instance->is_primary,
                                  .revision = 1 };
  snprintf (entry.id, sizeof entry.id, "%s", instance->id);
  snprintf (entry.group, sizeof entry.group, FLEET_GROUP);
  snprintf (entry.address, sizeof entry.address, "10.0.0.%zu", index + 1);
  snprintf (entry.zone, sizeof entry.zone, "%s", instance->zone);
  catalog_set_instance (host->catalog, &entry);
}

static void
publish_to (struct fleet_host *host)
{
  struct fleet *fleet = host->fleet;
  if (!host->running || host->store_cut)
    return;
  catalog_begin_list (host->catalog);
  for (size_t i = 0; i < FLEET_INSTANCES; i++)
    if (!fleet->instances[i].unregistered)
      set_instance_entry (host, &fleet->instances[i], i);
  catalog_end_list (host->catalog, UINT64_MAX);
}

void
fleet_publish (struct fleet *fleet)
{
  for (size_t i = 0; i < fleet->host_count; i++)
    publish_to (&fleet->hosts[i]);
}

static void
set_config (struct fleet_host *host)
{
  static const struct
  {
    const char *database;
    enum route_kind kind;
    clk_ms staleness_ms;
  } rows[] = {
    { FLEET_DATABASE_PRIMARY, ROUTE_PRIMARY, 0 },
    { FLEET_DATABASE_BOUNDED, ROUTE_BOUNDED, FLEET_STALENESS_MS },
    { FLEET_DATABASE_SESSION, ROUTE_SESSION, FLEET_STALENESS_MS },
  };
  size_t count = sizeof rows / sizeof rows[0];
  struct catalog_config config = { .version = 1, .tx_idle_ms = 3000 };
  config.routes = mem_zalloc (count * sizeof *config.routes);
  config.route_count = count;
  for (size_t i = 0; i < count; i++)
    {
      struct route *route = &config.routes[i];
      snprintf (route->database, NAME_BYTES, "%s", rows[i].database);
      snprintf (route->group, NAME_BYTES, FLEET_GROUP);
      route->kind = rows[i].kind;
      route->timeout_ms = 1000;
      route->target_ms = 200;
      route->max_staleness_ms = rows[i].staleness_ms;
    }
  config.groups = mem_zalloc (FLEET_GROUPS * sizeof *config.groups);
  config.group_count = FLEET_GROUPS;
  for (size_t i = 0; i < FLEET_GROUPS; i++)
    {
      /* Only the first group has instances.  */
      snprintf (config.groups[i].name, NAME_BYTES,
                i == 0 ? FLEET_GROUP : "group-%zu", i);
      config.groups[i].connections = host->fleet->connections;
    }
  catalog_set_config (host->catalog, &config);
}

static void
open_peers (void *arg, const uint8_t *secret)
{
  struct fleet_host *host = arg;
  (void)secret;
  hosts_set_port (host->others, &host->peers);
}

void
fleet_host_start (struct fleet_host *host)
{
  struct fleet *fleet = host->fleet;
  struct groups_options groups = { .port = &host->instances,
                                   .parse_status = fleet_status_parse,
                                   .zone = host->zone };
  struct hosts_options hosts = { .host = host->name, .zone = host->zone };
  struct roster_options roster = { .store = &host->store,
                                   .host = host->name,
                                   .zone = host->zone,
                                   .address = "10.1.0.1",
                                   .port = 7440,
                                   .secret_known = open_peers,
                                   .arg = host };
  struct promoter_options promoter = { .port = &host->promote,
                                       .parse_status = fleet_status_parse,
                                       .host = host->name };
  rng_init (&host->rng, rng_u64 (&fleet->rng));
  host->kernel = kernel_new (&fleet->clk.base, &host->rng, fleet->log);
  host->catalog = catalog_new ();
  host->groups = groups_new (&groups);
  host->peer_handler = NULL;
  host->others = hosts_new (&hosts);
  host->forwarded_sessions = forwarded_sessions_new ();
  host->roster = roster_new (&roster);
  host->promoter = promoter_new (&promoter);
  host->callers = callers_new ();
  kernel_register (host->kernel, catalog_module (host->catalog));
  kernel_register (host->kernel, hosts_module (host->others));
  kernel_register (host->kernel, placement_module (placement_new ()));
  kernel_register (host->kernel, groups_module (host->groups));
  kernel_register (host->kernel, suspicions_module (suspicions_new ()));
  kernel_register (host->kernel, relay_module (relay_new ()));
  kernel_register (host->kernel, revisions_new ());
  kernel_register (host->kernel, roster_module (host->roster));
  kernel_register (host->kernel, promoter_module (host->promoter));
  kernel_register (host->kernel, forwarder_module (forwarder_new ()));
  kernel_register (host->kernel, callers_module (host->callers));
  kernel_register (host->kernel,
                   forwarded_sessions_module (host->forwarded_sessions));
  kernel_register (host->kernel, mirror_module (mirror_new (&host->store)));
  host->running = true;
  host->incarnation++;
  kernel_start (host->kernel);
  set_config (host);
  publish_to (host);
}

void
fleet_host_kill (struct fleet_host *host)
{
  if (!host->running)
    return;
  host->running = false;
  fleet_store_abandon_calls (host);
  fleet_peer_abandon_calls (host);
  kernel_free (host->kernel);
  host->kernel = NULL;
}

struct fleet *
fleet_new (uint64_t seed, size_t hosts)
{
  return fleet_new_limited (seed, hosts, 60);
}

struct fleet *
fleet_new_limited (uint64_t seed, size_t hosts, uint32_t connections)
{
  struct fleet *fleet = mem_zalloc (sizeof *fleet);
  clk_virtual_init (&fleet->clk, START_MS);
  rng_init (&fleet->rng, seed);
  fleet->log = log_new (&fleet->clk.base, LOG_INFO, 0, print_log, &fleet->clk);
  fleet->kernel = kernel_new (&fleet->clk.base, &fleet->rng, fleet->log);
  fleet->store = fleet_store_new (fleet);
  fleet->oracle = fleet_oracle_new (fleet);
  fleet->host_count = hosts;
  fleet->connections = connections;
  for (size_t i = 0; i < FLEET_INSTANCES; i++)
    {
      struct fleet_instance *instance = &fleet->instances[i];
      instance->fleet = fleet;
      snprintf (instance->id, NAME_BYTES, "i-%zu", i);
      snprintf (instance->zone, NAME_BYTES, "zone-%zu", i % FLEET_ZONES);
      instance->applied = (struct position){ 1, 0 };
      instance->received = instance->applied;
      instance->lag_ms = 8;
      instance->max_connections = connections;
    }
  fleet->instances[0].is_primary = true;
  for (size_t i = 0; i < hosts; i++)
    {
      struct fleet_host *host = &fleet->hosts[i];
      host->fleet = fleet;
      snprintf (host->name, NAME_BYTES, "host-%zu", i);
      snprintf (host->zone, NAME_BYTES, "zone-%zu", i % FLEET_ZONES);
      fleet_instance_ports (host);
      fleet_store_ports (host);
      fleet_peer_ports (host);
      fleet_host_start (host);
    }
  return fleet;
}

void
fleet_free (struct fleet *fleet)
{
  for (size_t i = 0; i < fleet->host_count; i++)
    fleet_host_kill (&fleet->hosts[i]);
  /* Lets the steps in flight end, which free their own memory.  */
  fleet_run (fleet, 60000);
  fleet_store_free (fleet->store);
  fleet_oracle_free (fleet->oracle);
  kernel_free (fleet->kernel);
  log_free (fleet->log);
  free (fleet);
}

struct fleet_host *
fleet_host (struct fleet *fleet, size_t index)
{
  return &fleet->hosts[index];
}

struct fleet_instance *
fleet_instance (struct fleet *fleet, size_t index)
{
  return &fleet->instances[index];
}

clk_ms
fleet_now (struct fleet *fleet)
{
  return fleet->clk.now_ms;
}

struct fleet_instance *
fleet_primary (struct fleet *fleet)
{
  for (size_t i = 0; i < FLEET_INSTANCES; i++)
    if (fleet->instances[i].is_primary)
      return &fleet->instances[i];
  return NULL;
}

static void
run_kernels (struct fleet *fleet)
{
  kernel_run_due (fleet->kernel);
  for (size_t i = 0; i < fleet->host_count; i++)
    if (fleet->hosts[i].running)
      kernel_run_due (fleet->hosts[i].kernel);
}

static clk_ms
next_due (struct fleet *fleet)
{
  clk_ms due_ms = kernel_next_due (fleet->kernel);
  for (size_t i = 0; i < fleet->host_count; i++)
    if (fleet->hosts[i].running)
      {
        clk_ms host_ms = kernel_next_due (fleet->hosts[i].kernel);
        if (host_ms < due_ms)
          due_ms = host_ms;
      }
  return due_ms;
}

void
fleet_run (struct fleet *fleet, clk_ms span_ms)
{
  clk_ms end_ms = fleet->clk.now_ms + span_ms;
  for (;;)
    {
      clk_ms due_ms = next_due (fleet);
      if (due_ms > end_ms)
        break;
      if (due_ms > fleet->clk.now_ms)
        fleet->clk.now_ms = due_ms;
      run_kernels (fleet);
    }
  fleet->clk.now_ms = end_ms;
}

uint64_t
fleet_promotions (const struct fleet *fleet)
{
  return fleet->promotions;
}

uint64_t
fleet_token (const struct fleet *fleet)
{
  return fleet->token;
}
