#include "core/router_impl.h"

/* Interval and timeout of probes, and age from which a report is renewed.  */
#define PROBE_MS 1000

/* Only databases with a read served within this time are probed.  */
#define PROBE_DATABASE_USED_MS 10000

/* Probes sent by this host in each PROBE_MS.  */
#define PROBES_PER_ROUND 4

static void
on_probe_reply (void *arg, enum peer_status status, const peer_message *reply)
{
  struct router *router = arg;
  if (status != PEER_OK || reply->body.kind != PEER_KIND_HEARTBEAT)
    return;
  const peer_heartbeat *heartbeat = &reply->body.peer_body_u.heartbeat;
  for (u_int i = 0; i < heartbeat->instances.instances_len; i++)
    router_observe (router, &heartbeat->instances.instances_val[i]);
}

static void
send_probe (struct router *router, const struct view_instance *instance)
{
  const struct member *hosts[GATEWAY_HOSTS];
  peer_body body = { .kind = PEER_KIND_HEARTBEAT };
  if (gateway_hosts (router->members, instance, hosts) > 0)
    peers_call (router->peers, &hosts[0]->address, &body, PROBE_MS,
                on_probe_reply, router);
}

/* Returns whether the instance lagged at its last report, or is not back in
   full rotation, and that report is older than PROBE_MS.  Such an instance
   gets little or no traffic, so without a probe its recovery would go
   unnoticed.  */
static bool
needs_probe (const struct router_state *state, clk_ms now_ms)
{
  bool behind
      = state->share < SHARE_FULL || state->lag_ms > GATEWAY_REPLAY_WAIT_MS;
  return state->known && behind && now_ms - state->observed_ms >= PROBE_MS;
}

static void
probe_database (struct router *router, const char *name, uint32_t *budget)
{
  struct view_database *database = view_database (router->view, name);
  clk_ms now_ms = kernel_now (router->base.kernel);
  if (database == NULL)
    return;
  for (size_t i = 0; i<database->instance_count && * budget> 0; i++)
    {
      const struct view_instance *instance = &database->instances[i];
      if (!needs_probe (router_state_of (router, instance->name), now_ms))
        continue;
      send_probe (router, instance);
      (*budget)--;
    }
}

static void
on_probe_timer (void *arg)
{
  struct router *router = arg;
  clk_ms now_ms = kernel_now (router->base.kernel);
  uint32_t budget = PROBES_PER_ROUND;
  struct router_database *database;
  kernel_timer_set (router->base.kernel, &router->probe_timer,
                    now_ms + PROBE_MS);
  for (database = router->states.databases; database != NULL;
       database = database->hh.next)
    if (now_ms - database->used_ms <= PROBE_DATABASE_USED_MS)
      probe_database (router, database->name, &budget);
}

void
router_probe_start (struct router *router)
{
  struct kernel *kernel = router->base.kernel;
  router->probe_timer.fire = on_probe_timer;
  router->probe_timer.arg = router;
  kernel_timer_set (kernel, &router->probe_timer,
                    kernel_now (kernel) + PROBE_MS);
}

void
router_probe_stop (struct router *router)
{
  kernel_timer_cancel (router->base.kernel, &router->probe_timer);
}
