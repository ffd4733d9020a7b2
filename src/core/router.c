#include "core/router.h"

#include <stdlib.h>
#include <string.h>

#include "core/router_impl.h"
#include "core/viewmod.h"
#include "kernel/mem.h"
#include "kernel/mutant.h"

#define US_PER_MS 1000

/* Added to the cost.  The steps keep the order: other failure domain, primary,
   out of rotation, failing.  */
#define REMOTE_PENALTY_US 3000
#define PRIMARY_PENALTY_US 50000
#define OUT_OF_ROTATION_PENALTY_US 1000000
#define DOWN_PENALTY_US 2000000

/* Random part of the cost, spreads reads over equal instances.  */
#define COST_JITTER_US 500

/* Age up to which a reported queue length is used.  */
#define QUEUE_MAX_AGE_MS 100

/* Shortest expected wait for a replica behind the session's position.  */
#define MIN_REPLAY_WAIT_MS 2

/* After a failure an instance is avoided for the base delay, doubled with
   each further failure up to DOWN_BACKOFF_MAX_SHIFT times.  */
#define DOWN_BACKOFF_BASE_MS 200
#define DOWN_BACKOFF_MAX_SHIFT 4

/* Latencies are moving averages in which a sample counts 1/EWMA_DIVISOR; the
   first EWMA_WARMUP_SAMPLES form an arithmetic mean.  */
#define EWMA_DIVISOR 8
#define EWMA_WARMUP_SAMPLES 8

struct router_state *
router_state_of (struct router *router, const char *instance)
{
  return router_states_instance (&router->states, instance,
                                 kernel_now (router->base.kernel));
}

static bool
is_avoided (const struct router_query *query, const char *instance)
{
  for (size_t i = 0; i < query->avoid_count; i++)
    if (strcmp (query->avoid[i], instance) == 0)
      return true;
  return false;
}

/* Returns the expected time until the replica has replayed the session's
   position.  */
static clk_ms
expected_replay_ms (const struct router_state *state,
                    const struct router_query *query)
{
  if (state->replayed_lsn >= query->position.lsn || !state->known)
    return 0;
  return state->lag_ms > MIN_REPLAY_WAIT_MS ? state->lag_ms
                                            : MIN_REPLAY_WAIT_MS;
}

static int64_t
expected_queue_us (const struct router_state *state,
                   const struct view_database *database, clk_ms now_ms)
{
  uint32_t queued = state->outstanding;
  bool recent = now_ms - state->observed_ms < QUEUE_MAX_AGE_MS;
  if (recent && state->queued > queued)
    queued = state->queued;
  int64_t each_us = state->latency_us > 0
                        ? state->latency_us
                        : (int64_t)COST_DEFAULT_MS * US_PER_MS;
  uint32_t slots = database->slots > 0 ? database->slots : 1;
  return (int64_t)queued * each_us / slots;
}

static struct router_rating
unusable (struct router_rating rating, const char *why)
{
  rating.usable = false;
  rating.why = why;
  return rating;
}

static struct router_rating
rate_replica (struct router *router, const struct router_query *query,
              struct router_rating rating, struct router_state *state)
{
  clk_ms now_ms = kernel_now (router->base.kernel);
  rating.wait_ms = expected_replay_ms (state, query);
  if (rating.wait_ms > GATEWAY_REPLAY_WAIT_MS)
    return unusable (rating, "behind session");
  if (query->freshness == FRESHNESS_MAX_AGE && state->known
      && state->lag_ms > query->max_age_ms)
    return unusable (rating, "older than max_age");
  rating.cost_us += rating.wait_ms * US_PER_MS;
  rating.why = rating.wait_ms > 0 ? "replica, waits for replay" : "replica";
  if (now_ms < state->ejected_until_ms)
    {
      rating.cost_us += OUT_OF_ROTATION_PENALTY_US;
      rating.why = "ejected, slow";
    }
  else if (state->share < SHARE_FULL
           && rng_below (kernel_rng (router->base.kernel), SHARE_FULL)
                  >= state->share)
    {
      rating.cost_us += OUT_OF_ROTATION_PENALTY_US;
      rating.why = "partly out of rotation";
    }
  return rating;
}

struct router_rating
router_rate (struct router *router, const struct router_query *query,
             const struct view_instance *instance)
{
  clk_ms now_ms = kernel_now (router->base.kernel);
  struct router_state *state = router_state_of (router, instance->name);
  struct router_rating rating = { .instance = instance, .usable = true };
  rating.is_primary = query->record != NULL
                      && strcmp (query->record->primary, instance->name) == 0;
  if (instance->leaving && !MUTANT (ignore_leaving))
    return unusable (rating, "leaving");
  if (is_avoided (query, instance->name))
    return unusable (rating, "tried before");
  bool active = query->record != NULL && query->record->state == TERM_ACTIVE;
  if (query->freshness == FRESHNESS_STRONG && !(rating.is_primary && active))
    return unusable (rating, "not the primary");
  rating.cost_us = expected_queue_us (state, query->database, now_ms);
  rating.has_slot = now_ms - state->observed_ms < QUEUE_MAX_AGE_MS
                    && state->queued < query->database->slots
                    && state->outstanding < query->database->slots;
  if (strcmp (instance->domain, members_self (router->members)->domain) != 0)
    rating.cost_us += REMOTE_PENALTY_US;
  if (now_ms < state->down_until_ms)
    rating.cost_us += DOWN_PENALTY_US;
  if (!rating.is_primary)
    return rate_replica (router, query, rating, state);
  rating.cost_us += PRIMARY_PENALTY_US;
  rating.why = "primary";
  return rating;
}

static bool
pick_round_robin (struct router *router, const struct router_query *query,
                  struct router_rating *choice)
{
  size_t count = query->database->instance_count;
  for (size_t i = 0; i < count; i++)
    {
      const struct view_instance *instance
          = &query->database->instances[router->next_index++ % count];
      bool is_primary
          = query->record != NULL
            && strcmp (query->record->primary, instance->name) == 0;
      if (query->freshness == FRESHNESS_STRONG && !is_primary)
        continue;
      *choice = (struct router_rating){ .instance = instance,
                                        .usable = true,
                                        .is_primary = is_primary,
                                        .why = "round robin" };
      return true;
    }
  return false;
}

static bool
pick_by_cost (struct router *router, const struct router_query *query,
              struct router_rating *choice)
{
  struct rng *rng = kernel_rng (router->base.kernel);
  choice->usable = false;
  for (size_t i = 0; i < query->database->instance_count; i++)
    {
      struct router_rating rating
          = router_rate (router, query, &query->database->instances[i]);
      if (!rating.usable)
        continue;
      rating.cost_us += (int64_t)rng_below (rng, COST_JITTER_US);
      if (!choice->usable || rating.cost_us < choice->cost_us)
        *choice = rating;
    }
  return choice->usable;
}

bool
router_pick (struct router *router, const struct router_query *query,
             struct router_rating *choice)
{
  bool plain = gateway_policy (router->gateway) == POLICY_PLAIN;
  bool found = plain ? pick_round_robin (router, query, choice)
                     : pick_by_cost (router, query, choice);
  log_event (kernel_log (router->base.kernel), LOG_INFO, "route",
             LOG_S ("database", query->database->name),
             LOG_S ("instance", found ? choice->instance->name : NULL),
             LOG_S ("why", found ? choice->why : "none usable"),
             LOG_S ("freshness", freshness_name (query->freshness)),
             LOG_U ("session_term", query->position.term),
             LOG_U ("session_lsn", query->position.lsn),
             LOG_I ("cost_us", found ? choice->cost_us : 0),
             LOG_I ("wait_ms", found ? choice->wait_ms : 0),
             LOG_U ("tried", query->avoid_count));
  return found;
}

void
router_request_sent (struct router *router, const char *instance)
{
  struct router_state *state = router_state_of (router, instance);
  state->outstanding++;
  state->sent_ms = kernel_now (router->base.kernel);
}

/* Returns LATENCY_MS without the estimated queueing time, based on the last
   reported queue length, so that a busy instance does not count as slow.  */
static int64_t
service_time_us (struct router *router, const char *name,
                 const struct router_state *state, clk_ms latency_ms)
{
  const struct view_database *database = view_database (router->view, name);
  int64_t slots = database != NULL ? database->slots : 1;
  int64_t queued = state->queued > slots ? state->queued - slots : 0;
  return latency_ms * US_PER_MS * slots / (slots + queued);
}

static void
record_latency (struct router *router, const char *database,
                struct router_state *state, const char *kind,
                clk_ms latency_ms)
{
  struct router_database *stats
      = router_states_database (&router->states, database);
  struct cost_kind *cost = cost_find (&stats->latencies, kind, latency_ms);
  int64_t latency_us = service_time_us (router, database, state, latency_ms);
  stats->used_ms = kernel_now (router->base.kernel);
  cost_observe (&stats->latencies, cost, latency_us / US_PER_MS);
  int64_t typical_us = cost->mean_us > 0 ? cost->mean_us : 1;
  int64_t divisor = EWMA_DIVISOR;
  if (state->samples < EWMA_WARMUP_SAMPLES)
    divisor = (int64_t)state->samples + 1;
  state->samples++;
  state->latency_us += (latency_us - state->latency_us) / divisor;
  state->ratio
      += (latency_us * SHARE_FULL / typical_us - state->ratio) / divisor;
}

/* Ejects the replica STATE if it is much slower than the fastest one, unless
   more than half of the replicas would then be ejected.  */
static void
eject_if_slow (struct router *router, const char *database_name,
               struct router_state *state)
{
  struct view_database *database = view_database (router->view, database_name);
  clk_ms now_ms = kernel_now (router->base.kernel);
  struct router_state *best = NULL;
  size_t replicas = 0;
  size_t ejected = 0;
  if (database == NULL || state->primary)
    return;
  for (size_t i = 0; i < database->instance_count; i++)
    {
      struct router_state *other
          = router_state_of (router, database->instances[i].name);
      if (other->primary)
        continue;
      replicas++;
      ejected += now_ms < other->ejected_until_ms;
      if (best == NULL || other->ratio < best->ratio)
        best = other;
    }
  if (best == NULL || !router_state_is_slow (state, best))
    return;
  if (ejected + 1 > replicas / 2)
    {
      metrics_count (kernel_metrics (router->base.kernel),
                     "router_ejection_limit_total");
      return;
    }
  log_event (kernel_log (router->base.kernel), LOG_NOTICE, "eject",
             LOG_S ("instance", state->name), LOG_I ("ratio", state->ratio),
             LOG_I ("best_ratio", best->ratio),
             LOG_I ("latency_us", state->latency_us),
             LOG_I ("best_latency_us", best->latency_us));
  metrics_count (kernel_metrics (router->base.kernel),
                 "router_ejections_total");
  router_state_eject (state, now_ms);
}

static void
record_failure (struct router *router, struct router_state *state)
{
  uint32_t shift = state->failures < DOWN_BACKOFF_MAX_SHIFT
                       ? state->failures
                       : DOWN_BACKOFF_MAX_SHIFT;
  state->failures++;
  state->down_until_ms = kernel_now (router->base.kernel)
                         + ((clk_ms)DOWN_BACKOFF_BASE_MS << shift);
}

void
router_request_done (struct router *router, const char *database,
                     const char *instance, const char *kind, clk_ms latency_ms,
                     enum router_result result)
{
  struct router_state *state = router_state_of (router, instance);
  if (state->outstanding > 0)
    state->outstanding--;
  if (result == ROUTER_FAILED)
    {
      record_failure (router, state);
      return;
    }
  state->failures = 0;
  state->down_until_ms = 0;
  if (result != ROUTER_SERVED || kind == NULL)
    return;
  record_latency (router, database, state, kind, latency_ms);
  eject_if_slow (router, database, state);
}

clk_ms
router_typical_ms (struct router *router, const char *database,
                   const char *kind)
{
  struct router_database *stats
      = router_states_database (&router->states, database);
  struct cost_kind *cost = NULL;
  HASH_FIND_STR (stats->latencies.kinds, kind, cost);
  return cost != NULL ? cost->mean_us / US_PER_MS : 0;
}

void
router_observe (struct router *router, const peer_instance_state *report)
{
  clk_ms now_ms = kernel_now (router->base.kernel);
  struct router_state *state = router_state_of (router, report->instance);
  if (report->term == 0)
    return;
  state->known = true;
  state->primary = report->primary;
  state->term = report->term;
  state->replayed_lsn = report->replayed_lsn;
  state->lag_ms = report->lag_ms;
  state->queued = report->queued;
  state->observed_ms = now_ms;
  router_state_update_share (state, now_ms);
}

static void
router_start (struct module *module)
{
  struct router *router = (struct router *)module;
  struct kernel *kernel = module->kernel;
  router->members = (struct members *)kernel_find (kernel, "members");
  router->peers = (struct peers *)kernel_find (kernel, "peers");
  router->gateway = (struct gateway *)kernel_find (kernel, "gateway");
  router->view = viewmod_get (kernel);
  router_probe_start (router);
}

static void
router_free (struct module *module)
{
  struct router *router = (struct router *)module;
  router_probe_stop (router);
  router_states_clear (&router->states);
  free (router);
}

static const struct module_ops router_ops
    = { .start = router_start, .free = router_free };

struct router *
router_new (void)
{
  struct router *router = mem_zalloc (sizeof *router);
  router->base.ops = &router_ops;
  router->base.name = "router";
  return router;
}

struct module *
router_module (struct router *router)
{
  return &router->base;
}
