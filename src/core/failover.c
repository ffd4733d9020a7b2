#include "core/failover.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/coordinators.h"
#include "core/monitor.h"
#include "core/view_module.h"
#include "kernel/mem.h"

/* Interval of the module's timer.  */
#define STEP_INTERVAL_MS 100

/* Limit on the rate at which one host probes all its primaries, and the
   minimum interval between probes of one.  */
#define PROBES_PER_S 4
#define PROBE_MIN_MS 500

/* How long a host that is not a coordinator keeps a monitor after another host
   queried it or an operator's request used it.  */
#define TEMPORARY_MONITOR_MS 15000

struct failover
{
  struct module base;
  struct monitor_env env;
  struct monitor *monitors;
  size_t coordinated; /* number of monitors with a rank */
  struct ktimer tick;
  struct coordinators *coordinators;
};

static struct monitor *
find_monitor (struct failover *failover, const char *database)
{
  struct monitor *monitor = NULL;
  HASH_FIND_STR (failover->monitors, database, monitor);
  return monitor;
}

static struct monitor *
add_monitor (struct failover *failover, const struct view_database *database)
{
  struct monitor *monitor = monitor_new (&failover->env, database);
  monitor->rank = MONITOR_NO_RANK;
  HASH_ADD_STR (failover->monitors, database, monitor);
  return monitor;
}

static void
remove_monitor (struct failover *failover, struct monitor *monitor)
{
  HASH_DEL (failover->monitors, monitor);
  monitor_free (monitor);
}

/* Returns the monitor of the database NAME, or NULL if it is not in the view.
   Creates a temporary one if this host is not a coordinator of it.  */
static struct monitor *
find_or_add_monitor (struct failover *failover, const char *name)
{
  struct monitor *monitor = find_monitor (failover, name);
  struct view_database *database = view_database (failover->env.view, name);
  if (database == NULL)
    return NULL;
  if (monitor == NULL)
    monitor = add_monitor (failover, database);
  if (monitor->rank == MONITOR_NO_RANK)
    monitor->expires_ms
        = kernel_now (failover->base.kernel) + TEMPORARY_MONITOR_MS;
  return monitor;
}

static void
set_rank (struct failover *failover, struct monitor *monitor, size_t rank)
{
  if (rank == monitor->rank)
    return;
  log_event (kernel_log (failover->base.kernel), LOG_INFO, "coordinator",
             LOG_S ("database", monitor->database),
             LOG_I ("rank", (int64_t)rank),
             LOG_I ("was", (int64_t)monitor->rank),
             LOG_U ("hosts", members_count (failover->env.members)));
  monitor->rank = rank;
  monitor->expires_ms = rank == MONITOR_NO_RANK
                            ? kernel_now (failover->base.kernel)
                            : CLK_NEVER;
}

static void
update_rank (void *arg, struct view_database *database, size_t rank)
{
  struct failover *failover = arg;
  struct monitor *monitor = find_monitor (failover, database->name);
  if (monitor == NULL && rank == MONITOR_NO_RANK)
    return;
  if (monitor == NULL)
    monitor = add_monitor (failover, database);
  monitor_update (monitor, database);
  set_rank (failover, monitor, rank);
}

/* Removes monitors that have expired or whose database was removed, and adapts
   the probe interval to the number of those that are left.  */
static void
remove_expired (struct failover *failover)
{
  clk_ms now_ms = kernel_now (failover->base.kernel);
  struct monitor *monitor, *next;
  failover->coordinated = 0;
  HASH_ITER (hh, failover->monitors, monitor, next)
  {
    bool is_unknown
        = view_database (failover->env.view, monitor->database) == NULL;
    bool is_idle = monitor->promotion.phase == PROMOTION_NONE;
    if (is_unknown || (is_idle && now_ms >= monitor->expires_ms))
      remove_monitor (failover, monitor);
    else
      failover->coordinated += monitor->rank != MONITOR_NO_RANK;
  }
  clk_ms probe_ms = (clk_ms)failover->coordinated * 1000 / PROBES_PER_S;
  failover->env.probe_ms = probe_ms > PROBE_MIN_MS ? probe_ms : PROBE_MIN_MS;
}

static void
tick (void *arg)
{
  struct failover *failover = arg;
  struct kernel *kernel = failover->base.kernel;
  /* Until the list of hosts is received, this host would be a coordinator of
     every database.  */
  if (sync_ready (failover->env.sync))
    coordinators_step (failover->coordinators, update_rank, failover);
  remove_expired (failover);
  kernel_timer_set (kernel, &failover->tick,
                    kernel_now (kernel) + STEP_INTERVAL_MS);
}

static void
term_changed (void *arg, const char *database,
              const struct term_record *record)
{
  struct monitor *monitor = find_monitor (arg, database);
  (void)record;
  if (monitor != NULL)
    monitor_record_changed (monitor);
}

static void
handle_suspicion (void *arg, uint64_t call, const peer_message *message)
{
  struct failover *failover = arg;
  const peer_suspicion *request = &message->body.peer_body_u.suspicion;
  struct monitor *monitor = find_or_add_monitor (failover, request->database);
  const struct term_record *record
      = terms_get (failover->env.terms, request->database);
  peer_body body = { .kind = PEER_KIND_SUSPICION };
  peer_suspicion *answer = &body.peer_body_u.suspicion;
  answer->database = request->database;
  if (record != NULL)
    {
      answer->term = record->term;
      answer->primary = (char *)record->primary;
    }
  if (monitor != NULL)
    {
      monitor_receive (monitor, message);
      answer->suspected = monitor->suspected;
    }
  peers_reply (failover->env.peers, call, &body);
}

static void
failover_start (struct module *module)
{
  struct failover *failover = (struct failover *)module;
  struct kernel *kernel = module->kernel;
  struct monitor_env *env = &failover->env;
  env->kernel = kernel;
  env->view = view_module_get (kernel);
  env->members = (struct members *)kernel_find (kernel, "members");
  env->peers = (struct peers *)kernel_find (kernel, "peers");
  env->terms = (struct terms *)kernel_find (kernel, "terms");
  env->sync = (struct sync *)kernel_find (kernel, "sync");
  env->probe_ms = PROBE_MIN_MS;
  failover->coordinators = coordinators_new (env->members, env->view);
  peers_register_handler (env->peers, PEER_KIND_SUSPICION, handle_suspicion,
                          failover);
  terms_subscribe (env->terms, term_changed, failover);
  failover->tick.fire = tick;
  failover->tick.arg = failover;
  kernel_timer_set (kernel, &failover->tick, kernel_now (kernel));
}

static void
failover_free (struct module *module)
{
  struct failover *failover = (struct failover *)module;
  struct monitor *monitor, *next;
  HASH_ITER (hh, failover->monitors, monitor, next)
  {
    remove_monitor (failover, monitor);
  }
  coordinators_free (failover->coordinators);
  kernel_timer_cancel (module->kernel, &failover->tick);
  free (failover);
}

static const struct module_ops failover_ops
    = { .start = failover_start, .free = failover_free };

struct failover *
failover_new (struct db_port *db, struct platform_port *platform)
{
  struct failover *failover = mem_zalloc (sizeof *failover);
  failover->base.ops = &failover_ops;
  failover->base.name = "failover";
  failover->env.db = db;
  failover->env.platform = platform;
  return failover;
}

struct module *
failover_module (struct failover *failover)
{
  return &failover->base;
}

/* Error of a request that could not be started.  It is delivered later, as
   DONE must not be called from within the request.  */
struct deferred_error
{
  failover_done done;
  void *arg;
  const char *message;
};

static void
deliver_error (void *arg)
{
  struct deferred_error *deferred_error = arg;
  failover_done done = deferred_error->done;
  void *done_arg = deferred_error->arg;
  const char *message = deferred_error->message;
  free (deferred_error);
  done (done_arg, false, message);
}

static void
defer_error (struct failover *failover, failover_done done, void *arg,
             const char *message)
{
  struct deferred_error *deferred_error = mem_zalloc (sizeof *deferred_error);
  deferred_error->done = done;
  deferred_error->arg = arg;
  deferred_error->message = message;
  kernel_defer (failover->base.kernel, deliver_error, deferred_error);
}

void
failover_switch_over (struct failover *failover, const char *database,
                      const char *target, failover_done done, void *arg)
{
  struct monitor *monitor = find_or_add_monitor (failover, database);
  const char *error = monitor == NULL
                          ? "no such database"
                          : promotion_switch_over (monitor, target, done, arg);
  if (error != NULL)
    defer_error (failover, done, arg, error);
}

void
failover_set_hold (struct failover *failover, const char *database, bool hold,
                   failover_done done, void *arg)
{
  struct monitor *monitor = find_or_add_monitor (failover, database);
  const char *error = monitor == NULL
                          ? "no such database"
                          : promotion_set_hold (monitor, hold, done, arg);
  if (error != NULL)
    defer_error (failover, done, arg, error);
}

static json_t *
monitor_status (const struct monitor *monitor)
{
  const struct term_record *record = monitor_record (monitor);
  const struct promotion *p = &monitor->promotion;
  return json_pack (
      "{s:s, s:I, s:s, s:s, s:b, s:i, s:b, s:b, s:s, s:b}", "database",
      monitor->database, "term", record ? (json_int_t)record->term : 0,
      "state", record ? term_state_name (record->state) : "unknown", "primary",
      record ? record->primary : "", "hold", record ? record->hold : 0, "rank",
      (int)monitor->rank, "suspected", monitor->suspected, "confirmed",
      monitor->confirmed, "promotion", promotion_phase_name (p->phase),
      "waits_for_platform", p->platform_down);
}

char *
failover_status (struct failover *failover)
{
  json_t *root = json_array ();
  for (struct monitor *m = failover->monitors; m != NULL; m = m->hh.next)
    json_array_append_new (root, monitor_status (m));
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

size_t
failover_coordinated_count (const struct failover *failover)
{
  return failover->coordinated;
}
