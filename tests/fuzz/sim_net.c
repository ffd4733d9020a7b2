#include "sim_net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

#define MESSAGE_LIMIT_BYTES (1 << 22)
/* The id of a call at its receiver has the caller's index in the bits from
   here up, and the caller's id below.  */
#define CALLER_SHIFT 48

/* A call in flight.  */
struct sim_net_call
{
  struct sim_net_call *next;
  uint64_t id;
  size_t to;
  peer_done done;
  void *arg;
  struct ktimer timeout;
  struct sim_net_port *port;
};

enum packet_kind
{
  PACKET_CALL,
  PACKET_REPLY,
  PACKET_FAILED
};

/* A message, or the failure of a call, on its way to a host.  */
struct packet
{
  struct sim_event base;
  struct sim_net *net;
  enum packet_kind kind;
  size_t from;
  size_t to;
  uint64_t id;
  enum peer_status status;
  char *bytes;
  size_t length;
};

static char *
encode (const peer_message *message, size_t *length)
{
  XDR xdr;
  size_t size = xdr_sizeof ((xdrproc_t)xdr_peer_message, (void *)message);
  char *bytes = mem_zalloc (size);
  if (size > MESSAGE_LIMIT_BYTES)
    abort ();
  xdrmem_create (&xdr, bytes, (u_int)size, XDR_ENCODE);
  if (!xdr_peer_message (&xdr, (peer_message *)message))
    abort ();
  *length = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return bytes;
}

static bool
decode (const struct packet *packet, peer_message *message)
{
  XDR xdr;
  memset (message, 0, sizeof *message);
  xdrmem_create (&xdr, packet->bytes, (u_int)packet->length, XDR_DECODE);
  bool ok = xdr_peer_message (&xdr, message);
  xdr_destroy (&xdr);
  return ok;
}

static void
packet_drop (struct sim_event *event)
{
  struct packet *packet = (struct packet *)event;
  free (packet->bytes);
  free (packet);
}

static struct sim_net_call *
remove_call (struct sim_net_port *port, uint64_t id)
{
  for (struct sim_net_call **p = &port->calls; *p != NULL; p = &(*p)->next)
    if ((*p)->id == id)
      {
        struct sim_net_call *call = *p;
        *p = call->next;
        return call;
      }
  return NULL;
}

static void
free_call (struct sim_net_port *port, struct sim_net_call *call)
{
  if (port->host->kernel != NULL)
    kernel_timer_cancel (port->host->kernel, &call->timeout);
  free (call);
}

static void
finish_call (struct sim_net_port *port, uint64_t id, enum peer_status status,
             const peer_message *reply)
{
  struct sim_net_call *call = remove_call (port, id);
  if (call == NULL)
    return;
  peer_done done = call->done;
  void *arg = call->arg;
  free_call (port, call);
  done (arg, status, reply);
}

static void
packet_run (struct sim_event *event)
{
  struct packet *packet = (struct packet *)event;
  struct sim_net_port *port = &packet->net->ports[packet->to];
  peer_message message;
  if (packet->kind == PACKET_FAILED)
    {
      finish_call (port, packet->id, packet->status, NULL);
      return;
    }
  if (!decode (packet, &message))
    abort ();
  if (packet->kind == PACKET_REPLY)
    finish_call (port, packet->id, PEER_OK, &message);
  else if (port->handler != NULL)
    port->handler (port->handler_arg,
                   ((uint64_t)packet->from << CALLER_SHIFT) | packet->id,
                   &message);
  xdr_free ((xdrproc_t)xdr_peer_message, &message);
}

static struct packet *
packet_new (struct sim_net *net, enum packet_kind kind, size_t from, size_t to,
            uint64_t id)
{
  struct packet *packet = mem_zalloc (sizeof *packet);
  packet->base.run = packet_run;
  packet->base.drop = packet_drop;
  packet->net = net;
  packet->kind = kind;
  packet->from = from;
  packet->to = to;
  packet->id = id;
  return packet;
}

static void
send_packet (struct packet *packet)
{
  struct sim_net *net = packet->net;
  struct sim *sim = net->sim;
  bool lost = sim->cut[packet->from][packet->to]
              || rng_below (&sim->rng, 1000) < net->lose_permille;
  if (lost)
    {
      packet_drop (&packet->base);
      return;
    }
  sim_schedule (sim, &sim->hosts[packet->to],
                sim_delay (sim, net->delay_min_ms, net->delay_max_ms),
                &packet->base);
}

static void
fail_call (struct sim_net *net, size_t caller, uint64_t id,
           enum peer_status status)
{
  struct packet *packet = packet_new (net, PACKET_FAILED, caller, caller, id);
  packet->status = status;
  sim_schedule (net->sim, &net->sim->hosts[caller], 1, &packet->base);
}

static void
timed_out (void *arg)
{
  struct sim_net_call *call = arg;
  finish_call (call->port, call->id, PEER_TIMEOUT, NULL);
}

static uint64_t
port_call (struct peer_port *base, const struct peer_address *to,
           const peer_message *message, clk_ms timeout_ms, peer_done done,
           void *arg)
{
  struct sim_net_port *port = (struct sim_net_port *)base;
  struct sim *sim = port->net->sim;
  struct sim_net_call *call = mem_zalloc (sizeof *call);
  call->id = ++port->next_id;
  call->to = (size_t)to->port - 1;
  call->done = done;
  call->arg = arg;
  call->port = port;
  call->timeout.fire = timed_out;
  call->timeout.arg = call;
  call->next = port->calls;
  port->calls = call;
  kernel_timer_set (port->host->kernel, &call->timeout,
                    kernel_now (port->host->kernel) + timeout_ms);
  if (call->to >= sim->host_count || !sim->hosts[call->to].alive)
    {
      fail_call (port->net, port->host->index, call->id, PEER_UNREACHABLE);
      return call->id;
    }
  struct packet *packet = packet_new (port->net, PACKET_CALL,
                                      port->host->index, call->to, call->id);
  packet->bytes = encode (message, &packet->length);
  send_packet (packet);
  return call->id;
}

static void
port_cancel (struct peer_port *base, uint64_t id)
{
  struct sim_net_port *port = (struct sim_net_port *)base;
  struct sim_net_call *call = remove_call (port, id);
  if (call != NULL)
    free_call (port, call);
}

static void
port_reply (struct peer_port *base, uint64_t id, const peer_message *message)
{
  struct sim_net_port *port = (struct sim_net_port *)base;
  size_t to = (size_t)(id >> CALLER_SHIFT);
  uint64_t caller_id = id & (((uint64_t)1 << CALLER_SHIFT) - 1);
  struct packet *packet
      = packet_new (port->net, PACKET_REPLY, port->host->index, to, caller_id);
  packet->bytes = encode (message, &packet->length);
  send_packet (packet);
}

static void
port_set_handler (struct peer_port *base, peer_handler handler, void *arg)
{
  struct sim_net_port *port = (struct sim_net_port *)base;
  port->handler = handler;
  port->handler_arg = arg;
}

static const struct peer_port_ops port_ops
    = { .call = port_call,
        .cancel = port_cancel,
        .reply = port_reply,
        .set_handler = port_set_handler };

void
sim_net_init (struct sim_net *net, struct sim *sim)
{
  memset (net, 0, sizeof *net);
  net->sim = sim;
  net->delay_min_ms = 1;
  net->delay_max_ms = 3;
  for (size_t i = 0; i < SIM_HOSTS; i++)
    net->ports[i] = (struct sim_net_port){ .base.ops = &port_ops,
                                           .net = net,
                                           .host = &sim->hosts[i] };
}

struct peer_address
sim_net_address (size_t index, uint64_t incarnation)
{
  struct peer_address address
      = { .port = (uint16_t)(index + 1), .incarnation = incarnation };
  snprintf (address.name, sizeof address.name, "host-%zu", index);
  snprintf (address.address, sizeof address.address, "127.0.0.1");
  return address;
}

void
sim_net_kill (struct sim_net *net, size_t index)
{
  struct sim_net_port *dead = &net->ports[index];
  while (dead->calls != NULL)
    {
      struct sim_net_call *call = dead->calls;
      dead->calls = call->next;
      free (call);
    }
  dead->handler = NULL;
  for (size_t i = 0; i < net->sim->host_count; i++)
    for (struct sim_net_call *c = net->ports[i].calls; c; c = c->next)
      if (c->to == index && !net->sim->cut[i][index])
        fail_call (net, i, c->id, PEER_LOST);
}

size_t
sim_net_pending (const struct sim_net *net)
{
  size_t count = 0;
  for (size_t i = 0; i < net->sim->host_count; i++)
    for (struct sim_net_call *c = net->ports[i].calls; c; c = c->next)
      count++;
  return count;
}
