/* consul - the platform's key-value service through Consul's HTTP API.

   A platform_port on libevent's HTTP client.  Writes are one transaction
   (/v1/txn), watches are blocking queries, leases are sessions, and the list
   of hosts is the catalogue's healthy instances of the service "savoryway":
   the id is the name of the host, its metadata hold "domain",
   "incarnation" and "leaving" ("true").  */

#ifndef SAVORYWAY_PORT_CONSUL_H
#define SAVORYWAY_PORT_CONSUL_H

#include <event2/event.h>

#include "kernel/metrics.h"
#include "port/kv_codec.h"
#include "port/platform_port.h"

#define CONSUL_CALLS_PER_S 50
#define CONSUL_MAX_CONNECTIONS 16

/* Strings are copied.  A zero takes the default above.  */
struct consul_options
{
  const char *address; /* an IP number */
  uint16_t port;
  const char *token;        /* X-Consul-Token; NULL for none */
  uint32_t calls_per_s;     /* calls beyond wait; bursts up to twice that */
  uint32_t max_connections; /* calls at a time, waiting ones included */
  struct metrics *metrics;  /* counts calls by purpose; may be NULL */
  const struct kv_codec *codec; /* of another service's API; NULL: Consul's */
};

/* Returns a port on BASE, which outlives it.  */
struct platform_port *consul_port_new (struct event_base *base,
                                       const struct consul_options *options);

/* Replaces the metrics of the options; NULL for none.  */
void consul_port_set_metrics (struct platform_port *port,
                              struct metrics *metrics);

/* Drops all calls without a reply and closes all connections.  */
void consul_port_free (struct platform_port *port);

#endif
