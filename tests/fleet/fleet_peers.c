/* Messages between the hosts of a fleet.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "tests/fleet/fleet.h"

#define NET_MS 2

/* A report on its way to a host.  */
struct parcel
{
  struct fleet_host *from;
  struct fleet_host *to;
  char host[NAME_BYTES];
  char zone[NAME_BYTES];
  char group[NAME_BYTES];
  char instance[NAME_BYTES];
};

static struct fleet_host *
host_of (struct peer_port *port)
{
  return (struct fleet_host *)(void *)((char *)port
                                       - offsetof (struct fleet_host, peers));
}

static void
arrive (void *arg)
{
  struct parcel *parcel = arg;
  struct fleet_host *to = parcel->to;
  peer_message message = {
    .from = { .host = parcel->host, .domain = parcel->zone },
    .body = { .kind = PEER_KIND_SUSPICION,
              .peer_body_u.suspicion = { .database = parcel->group,
                                         .primary = parcel->instance,
                                         .suspected = true } },
  };
  if (to->running && to->peer_handler != NULL && !to->peers_cut
      && !parcel->from->peers_cut)
    to->peer_handler (to->peer_arg, 1, &message);
  free (parcel);
}

static uint64_t
peer_call (struct peer_port *port, const struct peer_address *to,
           const peer_message *message, clk_ms timeout_ms, peer_done done,
           void *arg)
{
  struct fleet_host *from = host_of (port);
  struct fleet *fleet = from->fleet;
  const peer_suspicion *report = &message->body.peer_body_u.suspicion;
  (void)timeout_ms;
  (void)done; /* of no use to the witness */
  (void)arg;
  for (size_t i = 0; i < fleet->host_count; i++)
    {
      if (strcmp (fleet->hosts[i].name, to->name) != 0)
        continue;
      struct parcel *parcel = mem_zalloc (sizeof *parcel);
      parcel->from = from;
      parcel->to = &fleet->hosts[i];
      snprintf (parcel->host, NAME_BYTES, "%s", message->from.host);
      snprintf (parcel->zone, NAME_BYTES, "%s", message->from.domain);
      snprintf (parcel->group, NAME_BYTES, "%s", report->database);
      snprintf (parcel->instance, NAME_BYTES, "%s", report->primary);
      fleet_later (fleet, NET_MS, arrive, parcel);
    }
  return 1;
}

static void
peer_reply (struct peer_port *port, uint64_t call, const peer_message *message)
{
  (void)port;
  (void)call;
  (void)message;
}

static void
peer_cancel (struct peer_port *port, uint64_t id)
{
  (void)port;
  (void)id;
}

static void
peer_set_handler (struct peer_port *port, peer_handler handler, void *arg)
{
  struct fleet_host *host = host_of (port);
  host->peer_handler = handler;
  host->peer_arg = arg;
}

static const struct peer_port_ops peer_ops
    = { .call = peer_call,
        .cancel = peer_cancel,
        .reply = peer_reply,
        .set_handler = peer_set_handler };

void
fleet_peer_ports (struct fleet_host *host)
{
  host->peers.ops = &peer_ops;
}
