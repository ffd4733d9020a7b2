#include "proxy/revisions.h"

#include <stdlib.h>

#include "kernel/mem.h"
#include "proxy/distance.h"
#include "proxy/hosts.h"
#include "proxy/mirror.h"
#include "proxy/relay.h"

struct revisions
{
  struct module base;
  struct hosts *hosts;
  struct mirror *mirror;
  struct relay *relay;
  struct distance *distance;
  uint64_t sent_revision; /* the latest that is being sent */
  clk_ms send_until_ms;
  struct ktimer send_timer;
};

static void
send_revision (struct revisions *revisions, const struct other_host *host)
{
  peer_body body = { .kind = PEER_KIND_HEARTBEAT };
  body.peer_body_u.heartbeat.revision = mirror_revision (revisions->mirror);
  /* The reply is ignored: the revision is sent repeatedly.  */
  hosts_call (revisions->hosts, &host->address, &body,
              REVISIONS_CALL_TIMEOUT_MS, NULL, NULL);
}

/* Returns whether a message to HOST, which was drawn, is sent.  Most of those
   to another area are not: its hosts tell each other.  */
static bool
may_send (const struct revisions *revisions, const struct other_host *host)
{
  struct kernel *kernel = revisions->base.kernel;
  return distance_to (revisions->distance, host->zone) != DISTANCE_FAR
         || rng_below (kernel_rng (kernel), REVISIONS_FAR_DIVISOR) == 0;
}

static void
on_send_timer (void *arg)
{
  struct revisions *revisions = arg;
  struct kernel *kernel = revisions->base.kernel;
  clk_ms now_ms = kernel_now (kernel);
  size_t count;
  const struct other_host *const *watchers
      = relay_watchers (revisions->relay, &count);
  for (size_t i = 0; count > 0 && i < REVISIONS_FANOUT; i++)
    {
      const struct other_host *host
          = watchers[rng_below (kernel_rng (kernel), count)];
      if (may_send (revisions, host))
        send_revision (revisions, host);
    }
  if (now_ms < revisions->send_until_ms)
    kernel_timer_set (kernel, &revisions->send_timer,
                      now_ms + REVISIONS_SEND_INTERVAL_MS);
}

static void
on_applied (void *arg)
{
  struct revisions *revisions = arg;
  struct kernel *kernel = revisions->base.kernel;
  uint64_t revision = mirror_revision (revisions->mirror);
  if (revision <= revisions->sent_revision
      || mirror_follows_relay (revisions->mirror))
    return;
  revisions->sent_revision = revision;
  revisions->send_until_ms = kernel_now (kernel) + REVISIONS_SEND_PERIOD_MS;
  if (revisions->send_timer.slot == 0)
    kernel_timer_set (kernel, &revisions->send_timer, kernel_now (kernel));
}

static void
on_heartbeat (void *arg, uint64_t call, const peer_message *message)
{
  struct revisions *revisions = arg;
  mirror_set_peer_revision (revisions->mirror,
                            message->body.peer_body_u.heartbeat.revision);
  hosts_reply (revisions->hosts, call, &(peer_body){ .kind = PEER_KIND_NONE });
}

static void
revisions_start (struct module *module)
{
  struct revisions *revisions = (struct revisions *)module;
  struct kernel *kernel = module->kernel;
  struct mirror_events events
      = { .prefix = "", .applied = on_applied, .arg = revisions };
  revisions->hosts = (struct hosts *)kernel_find (kernel, "hosts");
  revisions->mirror = (struct mirror *)kernel_find (kernel, "mirror");
  revisions->relay = (struct relay *)kernel_find (kernel, "relay");
  revisions->distance = (struct distance *)kernel_find (kernel, "distance");
  mirror_subscribe (revisions->mirror, &events);
  hosts_handle (revisions->hosts, PEER_KIND_HEARTBEAT, on_heartbeat,
                revisions);
}

static void
revisions_free (struct module *module)
{
  struct revisions *revisions = (struct revisions *)module;
  kernel_timer_cancel (module->kernel, &revisions->send_timer);
  free (revisions);
}

static const struct module_ops revisions_ops
    = { .start = revisions_start, .free = revisions_free };

struct module *
revisions_new (void)
{
  struct revisions *revisions = mem_zalloc (sizeof *revisions);
  revisions->base.ops = &revisions_ops;
  revisions->base.name = "revisions";
  revisions->send_timer
      = (struct ktimer){ .fire = on_send_timer, .arg = revisions };
  return &revisions->base;
}
