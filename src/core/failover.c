#include "core/failover.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/coordinators.h"
#include "core/guard.h"
#include "core/view_module.h"
#include "kernel/mem.h"

#define TICK_MS 100

/* Probes of primaries that one host sends, and their least interval.  */
#define PROBES_PER_S 4
#define PROBE_MIN_MS 500

/* A host that is not a coordinator keeps a guard this long after it was
   asked or given an order.  */
#define GUEST_MS 15000

struct failover
{
  struct module base;
  struct guard_env env;
  struct guard *guards;
  size_t coordinated; /* of the guards, those as a coordinator */
  struct ktimer tick;
  struct coordinators *coordinators;
};

static struct guard *
find_guard (struct failover *failover, const char *database)
{
  struct guard *guard = NULL;
  HASH_FIND_STR (failover->guards, database, guard);
  return guard;
}

static struct guard *
add_guard (struct failover *failover, const struct view_database *database)
{
  struct guard *guard = guard_new (&failover->env, database);
  guard->rank = GUARD_NO_RANK;
  HASH_ADD_STR (failover->guards, database, guard);
  return guard;
}

static void
drop_guard (struct failover *failover, struct guard *guard)
{
  HASH_DEL (failover->guards, guard);
  guard_free (guard);
}

/* Returns the guard of a database in the view, made for a while if this host
   is no coordinator of it; NULL if there is no such database.  */
static struct guard *
guest_guard (struct failover *failover, const char *name)
{
  struct guard *guard = find_guard (failover, name);
  struct view_database *database = view_database (failover->env.view, name);
  if (database == NULL)
    return NULL;
  if (guard == NULL)
    guard = add_guard (failover, database);
  if (guard->rank == GUARD_NO_RANK)
    guard->expires_ms = kernel_now (failover->base.kernel) + GUEST_MS;
  return guard;
}

static void
set_rank (struct failover *failover, struct guard *guard, size_t rank)
{
  if (rank == guard->rank)
    return;
  log_event (kernel_log (failover->base.kernel), LOG_INFO, "coordinator",
             LOG_S ("database", guard->database),
             LOG_I ("rank", (int64_t)rank),
             LOG_I ("was", (int64_t)guard->rank),
             LOG_U ("hosts", members_count (failover->env.members)));
  guard->rank = rank;
  guard->expires_ms
      = rank == GUARD_NO_RANK ? kernel_now (failover->base.kernel) : CLK_NEVER;
}

static void
coordinate (void *arg, struct view_database *database, size_t rank)
{
  struct failover *failover = arg;
  struct guard *guard = find_guard (failover, database->name);
  if (guard == NULL && rank == GUARD_NO_RANK)
    return;
  if (guard == NULL)
    guard = add_guard (failover, database);
  guard_update (guard, database);
  set_rank (failover, guard, rank);
}

/* Drops guards that have expired or whose database is gone, and spreads the
   probes over those that are left.  */
static void
sweep (struct failover *failover)
{
  clk_ms now_ms = kernel_now (failover->base.kernel);
  struct guard *guard, *next;
  failover->coordinated = 0;
  HASH_ITER (hh, failover->guards, guard, next)
  {
    bool gone = view_database (failover->env.view, guard->database) == NULL;
    bool idle = guard->promotion.phase == PROMOTION_NONE;
    if (gone || (idle && now_ms >= guard->expires_ms))
      drop_guard (failover, guard);
    else
      failover->coordinated += guard->rank != GUARD_NO_RANK;
  }
  clk_ms probe_ms = (clk_ms)failover->coordinated * 1000 / PROBES_PER_S;
  failover->env.probe_ms = probe_ms > PROBE_MIN_MS ? probe_ms : PROBE_MIN_MS;
}

static void
tick (void *arg)
{
  struct failover *failover = arg;
  struct kernel *kernel = failover->base.kernel;
  /* Before it knows the others, a host would coordinate everything.  */
  if (sync_ready (failover->env.sync))
    coordinators_step (failover->coordinators, coordinate, failover);
  sweep (failover);
  kernel_timer_set (kernel, &failover->tick, kernel_now (kernel) + TICK_MS);
}

static void
term_changed (void *arg, const char *database,
              const struct term_record *record)
{
  struct guard *guard = find_guard (arg, database);
  (void)record;
  if (guard != NULL)
    guard_record_changed (guard);
}

static void
handle_suspicion (void *arg, uint64_t call, const peer_message *message)
{
  struct failover *failover = arg;
  const peer_suspicion *asked = &message->body.peer_body_u.suspicion;
  struct guard *guard = guest_guard (failover, asked->database);
  const struct term_record *record
      = terms_get (failover->env.terms, asked->database);
  peer_body body = { .kind = PEER_KIND_SUSPICION };
  peer_suspicion *answer = &body.peer_body_u.suspicion;
  answer->database = asked->database;
  if (record != NULL)
    {
      answer->term = record->term;
      answer->primary = (char *)record->primary;
    }
  if (guard != NULL)
    {
      guard_hear (guard, message);
      answer->suspected = guard->suspected;
    }
  peers_reply (failover->env.peers, call, &body);
}

static void
failover_start (struct module *module)
{
  struct failover *failover = (struct failover *)module;
  struct kernel *kernel = module->kernel;
  struct guard_env *env = &failover->env;
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
  struct guard *guard, *next;
  HASH_ITER (hh, failover->guards, guard, next)
  {
    drop_guard (failover, guard);
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

/* An order that can't begin is answered outside of the call.  */
struct refusal
{
  failover_done done;
  void *arg;
  const char *message;
};

static void
deliver_refusal (void *arg)
{
  struct refusal *refusal = arg;
  failover_done done = refusal->done;
  void *done_arg = refusal->arg;
  const char *message = refusal->message;
  free (refusal);
  done (done_arg, false, message);
}

static void
refuse (struct failover *failover, failover_done done, void *arg,
        const char *message)
{
  struct refusal *refusal = mem_zalloc (sizeof *refusal);
  refusal->done = done;
  refusal->arg = arg;
  refusal->message = message;
  kernel_defer (failover->base.kernel, deliver_refusal, refusal);
}

void
failover_switch_over (struct failover *failover, const char *database,
                      const char *target, failover_done done, void *arg)
{
  struct guard *guard = guest_guard (failover, database);
  const char *error = guard == NULL
                          ? "no such database"
                          : promotion_order (guard, target, done, arg);
  if (error != NULL)
    refuse (failover, done, arg, error);
}

void
failover_set_hold (struct failover *failover, const char *database, bool hold,
                   failover_done done, void *arg)
{
  struct guard *guard = guest_guard (failover, database);
  const char *error = guard == NULL
                          ? "no such database"
                          : promotion_set_hold (guard, hold, done, arg);
  if (error != NULL)
    refuse (failover, done, arg, error);
}

static json_t *
guard_status (const struct guard *guard)
{
  const struct term_record *record = guard_record (guard);
  const struct promotion *p = &guard->promotion;
  return json_pack (
      "{s:s, s:I, s:s, s:s, s:b, s:i, s:b, s:b, s:s, s:b}", "database",
      guard->database, "term", record ? (json_int_t)record->term : 0, "state",
      record ? term_state_name (record->state) : "unknown", "primary",
      record ? record->primary : "", "hold", record ? record->hold : 0, "rank",
      (int)guard->rank, "suspected", guard->suspected, "confirmed",
      guard->confirmed, "promotion", promotion_phase_name (p->phase),
      "waits_for_platform", p->platform_down);
}

char *
failover_status (struct failover *failover)
{
  json_t *root = json_array ();
  for (struct guard *g = failover->guards; g != NULL; g = g->hh.next)
    json_array_append_new (root, guard_status (g));
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

size_t
failover_guards (const struct failover *failover)
{
  return failover->coordinated;
}
