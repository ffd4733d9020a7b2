#include "core/gateway.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/gateway_impl.h"
#include "core/viewmod.h"
#include "kernel/mem.h"
#include "kernel/mutant.h"

#define KEY_BYTES (PATH_BYTES + 16)
#define MIN_CONNECTIONS 2

size_t
gateway_hosts (struct members *members, const struct view_instance *instance,
               const struct member *out[GATEWAY_HOSTS])
{
  char key[KEY_BYTES];
  snprintf (key, sizeof key, GATEWAY_KEY, instance->name);
  size_t count
      = members_place (members, key, instance->domain, out, GATEWAY_HOSTS);
  if (count > 0)
    return count;
  return members_place (members, key, NULL, out, GATEWAY_HOSTS);
}

static enum gw_role
find_role (struct gateway *gateway, const struct view_instance *at)
{
  const struct member *hosts[GATEWAY_HOSTS];
  const char *self = members_self (gateway->members)->address.name;
  if (gateway->policy == POLICY_PLAIN)
    return GW_FIRST;
  size_t count = gateway_hosts (gateway->members, at, hosts);
  for (size_t i = 0; i < count; i++)
    if (strcmp (hosts[i]->address.name, self) == 0)
      return i == 0 ? GW_FIRST : GW_SECOND;
  return GW_NONE;
}

/* Returns the number of connections that this host may open.  */
static uint32_t
connection_limit (struct gateway *gateway,
                  const struct view_database *database)
{
  uint32_t all = database->connections;
  uint32_t share = GATEWAY_HOSTS;
  all = all > GATEWAY_RESERVED_CONNECTIONS ? all - GATEWAY_RESERVED_CONNECTIONS
                                           : MIN_CONNECTIONS;
  if (gateway->policy == POLICY_PLAIN)
    share = (uint32_t)members_count (gateway->members);
  uint32_t limit = all / (share > 0 ? share : 1);
  return limit < MIN_CONNECTIONS ? MIN_CONNECTIONS : limit;
}

static void
set_slots (struct gw_instance *instance, const struct view_database *database,
           uint32_t limit)
{
  if (instance->gateway->policy == POLICY_PLAIN)
    instance->slots = limit - 1;
  else if (instance->role == GW_FIRST)
    instance->slots = database->slots;
  else
    instance->slots = 1;
}

/* Keeps one connection open for each slot, one for status queries, those of
   open transactions, and a spare one if there are transactions.  */
static void
set_wanted_connections (struct gw_instance *instance)
{
  uint32_t wanted = instance->slots + 1 + gw_tx_count (instance);
  bool used = gw_now (instance->gateway) - instance->last_used_ms
              < GW_UNUSED_TIMEOUT_MS;
  if (gw_tx_count (instance) > 0)
    wanted++;
  if (instance->role == GW_NONE && !used)
    wanted = 0;
  conn_pool_set_wanted (instance->pool, wanted);
}

static void
update_instance (struct gw_instance *instance,
                 const struct view_database *database,
                 const struct view_instance *at)
{
  struct gateway *gateway = instance->gateway;
  uint32_t limit = connection_limit (gateway, database);
  enum gw_role role = find_role (gateway, at);
  if (role != instance->role)
    log_event (kernel_log (gateway->base.kernel), LOG_INFO, "gateway_role",
               LOG_S ("instance", instance->name), LOG_I ("role", role),
               LOG_I ("was", instance->role),
               LOG_U ("members", members_index (gateway->members)));
  instance->role = role;
  instance->weight = database->service->weight;
  instance->leaving
      = (database->leaving || at->leaving) && !MUTANT (ignore_leaving);
  instance->instance_count = (uint32_t)database->instance_count;
  set_slots (instance, database, limit);
  conn_pool_set_limit (instance->pool, limit);
  conn_pool_set_target (instance->pool, at->address, at->port);
  instance->members_generation = members_generation (gateway->members);
  instance->view_generation = view_generation (gateway->view);
  set_wanted_connections (instance);
}

static void
pool_changed (void *arg)
{
  struct gw_instance *instance = arg;
  gw_dispatch (instance);
}

static struct gw_instance *
find_instance (const struct gateway *gateway, const char *name)
{
  struct gw_instance *instance = NULL;
  HASH_FIND_STR (gateway->instances, name, instance);
  return instance;
}

static struct gw_instance *
add_instance (struct gateway *gateway, const struct view_database *database,
              const struct view_instance *at)
{
  struct gw_instance *instance = mem_zalloc (sizeof *instance);
  instance->gateway = gateway;
  memcpy (instance->name, at->name, sizeof instance->name);
  memcpy (instance->database, database->name, sizeof instance->database);
  memcpy (instance->service, database->service->name,
          sizeof instance->service);
  struct conn_pool_options options = { .kernel = gateway->base.kernel,
                                       .db = gateway->db,
                                       .instance = at->name,
                                       .address = at->address,
                                       .port = at->port,
                                       .limit = MIN_CONNECTIONS,
                                       .changed = pool_changed,
                                       .arg = instance };
  instance->pool = conn_pool_new (&options);
  instance->queue = queue_new (GW_QUEUE_LIMIT);
  cost_init (&instance->costs);
  acks_init (&instance->acks, gw_now (gateway));
  gw_status_start (instance);
  HASH_ADD_STR (gateway->instances, name, instance);
  return instance;
}

static void
drop_instance (struct gw_instance *instance)
{
  struct gateway *gateway = instance->gateway;
  HASH_DEL (gateway->instances, instance);
  gw_status_stop (instance);
  kernel_timer_cancel (gateway->base.kernel, &instance->sweep_timer);
  while (instance->jobs != NULL)
    gw_job_free (instance->jobs);
  conn_pool_free (instance->pool);
  queue_free (instance->queue);
  cost_clear (&instance->costs);
  free (instance);
}

struct gw_instance *
gw_instance_get (struct gateway *gateway, const struct view_database *database,
                 const struct view_instance *at)
{
  struct gw_instance *instance = find_instance (gateway, at->name);
  if (instance == NULL)
    {
      if (find_role (gateway, at) == GW_NONE)
        return NULL;
      instance = add_instance (gateway, database, at);
    }
  bool current
      = instance->members_generation == members_generation (gateway->members)
        && instance->view_generation == view_generation (gateway->view);
  if (!current)
    update_instance (instance, database, at);
  return instance;
}

/* Adds the instances of this host's failure domain that are placed on this
   host.  Instances of a domain without hosts are added on their first
   request.  */
static void
add_placed_instances (struct gateway *gateway)
{
  const char *domain = members_self (gateway->members)->domain;
  struct view_database *database;
  for (database = view_databases (gateway->view); database != NULL;
       database = database->hh.next)
    for (size_t i = 0; i < database->instance_count; i++)
      if (strcmp (database->instances[i].domain, domain) == 0)
        gw_instance_get (gateway, database, &database->instances[i]);
}

/* Recomputes roles and limits after a change of hosts or configuration.  */
static void
refresh_instances (struct gateway *gateway)
{
  uint64_t members = members_generation (gateway->members);
  uint64_t view = view_generation (gateway->view);
  if (members == gateway->members_generation
      && view == gateway->view_generation)
    return;
  gateway->members_generation = members;
  gateway->view_generation = view;
  add_placed_instances (gateway);
  for (struct gw_instance *instance = gateway->instances; instance != NULL;
       instance = instance->hh.next)
    {
      struct view_database *database
          = view_database (gateway->view, instance->database);
      struct view_instance *at
          = database ? view_instance (database, instance->name) : NULL;
      if (at != NULL)
        update_instance (instance, database, at);
    }
}

/* Removes idle instances that are no longer configured, or that are placed
   on other hosts and no longer used.  */
static void
drop_unused_instances (struct gateway *gateway)
{
  struct gw_instance *instance, *next;
  HASH_ITER (hh, gateway->instances, instance, next)
  {
    struct view_database *database
        = view_database (gateway->view, instance->database);
    bool gone
        = database == NULL || view_instance (database, instance->name) == NULL;
    bool idle = instance->job_count == 0 && gw_tx_count (instance) == 0;
    bool unused
        = gw_now (gateway) - instance->last_used_ms >= GW_UNUSED_TIMEOUT_MS;
    if (gone)
      instance->leaving = true;
    set_wanted_connections (instance);
    if (idle && (gone || (instance->role == GW_NONE && unused)))
      drop_instance (instance);
  }
}

static void
on_tick (void *arg)
{
  struct gateway *gateway = arg;
  gw_tx_sweep (gateway);
  refresh_instances (gateway);
  drop_unused_instances (gateway);
  kernel_timer_set (gateway->base.kernel, &gateway->tick,
                    gw_now (gateway) + GW_TICK_INTERVAL_MS);
}

/* Refuses the queued writes of terms that have been superseded.  */
static void
on_term_changed (void *arg, const char *database,
                 const struct term_record *record)
{
  struct gateway *gateway = arg;
  struct gw_instance *instance;
  for (instance = gateway->instances; instance != NULL;
       instance = instance->hh.next)
    {
      if (strcmp (instance->database, database) != 0)
        continue;
      struct gw_job *job = instance->jobs;
      while (job != NULL)
        {
          struct gw_job *next = job->next;
          bool stale = !job->read_only && job->required.term < record->term;
          if (job->state == GW_QUEUED && stale)
            {
              queue_remove (instance->queue, &job->item);
              gw_refuse (job, REASON_STALE_TERM, 0);
            }
          job = next;
        }
    }
}

static void
gateway_start (struct module *module)
{
  struct gateway *gateway = (struct gateway *)module;
  struct kernel *kernel = module->kernel;
  gateway->peers = (struct peers *)kernel_find (kernel, "peers");
  gateway->members = (struct members *)kernel_find (kernel, "members");
  gateway->terms = (struct terms *)kernel_find (kernel, "terms");
  gateway->view = viewmod_get (kernel);
  peers_handle (gateway->peers, PEER_KIND_EXECUTE, gw_on_execute, gateway);
  peers_handle (gateway->peers, PEER_KIND_HEARTBEAT, gw_on_heartbeat, gateway);
  terms_watch (gateway->terms, on_term_changed, gateway);
  gateway->tick.fire = on_tick;
  gateway->tick.arg = gateway;
  kernel_timer_set (kernel, &gateway->tick, kernel_now (kernel));
}

static void
gateway_free (struct module *module)
{
  struct gateway *gateway = (struct gateway *)module;
  kernel_timer_cancel (module->kernel, &gateway->tick);
  struct gw_tx *tx, *next_tx;
  HASH_ITER (hh, gateway->transactions, tx, next_tx)
  {
    HASH_DEL (gateway->transactions, tx);
    if (tx->job != NULL)
      tx->job->tx = NULL;
    free (tx);
  }
  while (gateway->instances != NULL)
    drop_instance (gateway->instances);
  free (gateway);
}

static const struct module_ops gateway_ops
    = { .start = gateway_start, .free = gateway_free };

struct gateway *
gateway_new (struct db_port *db, enum policy policy)
{
  struct gateway *gateway = mem_zalloc (sizeof *gateway);
  gateway->base.ops = &gateway_ops;
  gateway->base.name = "gateway";
  gateway->db = db;
  gateway->policy = policy;
  gateway->ledger_retention_ms = GATEWAY_LEDGER_RETENTION_MS;
  return gateway;
}

struct module *
gateway_module (struct gateway *gateway)
{
  return &gateway->base;
}

enum policy
gateway_policy (const struct gateway *gateway)
{
  return gateway->policy;
}

void
gateway_set_ledger_retention (struct gateway *gateway, clk_ms age_ms)
{
  gateway->ledger_retention_ms = age_ms;
}

void
gateway_set_view_age (struct gateway *gateway, clk_ms (*age) (void *arg),
                      void *arg)
{
  gateway->view_age = age;
  gateway->view_age_arg = arg;
}

size_t
gateway_in_flight (const struct gateway *gateway)
{
  return gateway->job_count + HASH_COUNT (gateway->transactions);
}

uint32_t
gateway_connections (const struct gateway *gateway, const char *name)
{
  struct gw_instance *instance = find_instance (gateway, name);
  return instance == NULL ? 0 : conn_pool_total_count (instance->pool);
}
