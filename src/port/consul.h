/* consul - client of the platform's key-value service through Consul's HTTP
   API.

   Implements platform_port on libevent's HTTP client.  The writes of a call
   are one transaction (/v1/txn), watches are blocking queries, and leases are
   sessions.  The list of hosts consists of the healthy instances of the
   service "savoryway" in the catalogue: the service id is the name of the
   host, and its metadata contain "domain", "incarnation" and "leaving"
   ("true").

   Calls are queued while all connections are in use or the rate limit is
   reached.  */

#ifndef SAVORYWAY_PORT_CONSUL_H
#define SAVORYWAY_PORT_CONSUL_H

#include <event2/event.h>

#include "kernel/metrics.h"
#include "port/kv_codec.h"
#include "port/platform_port.h"

/* Defaults of the options.  */
#define CONSUL_CALLS_PER_S 50
#define CONSUL_MAX_CONNECTIONS 16

/* Strings are copied.  Zero selects the default above.  */
struct consul_options
{
  const char *address; /* an IP address */
  uint16_t port;
  const char *token;            /* X-Consul-Token; NULL for none */
  uint32_t calls_per_s;         /* rate limit; bursts up to twice as many */
  uint32_t max_connections;     /* also the limit on calls in flight,
                                   blocking queries included */
  struct metrics *metrics;      /* calls by purpose; may be NULL */
  const struct kv_codec *codec; /* of another HTTP API; NULL: Consul's */
};

/* Creates a port on the event loop BASE, which must outlive it.  */
struct platform_port *consul_port_new (struct event_base *base,
                                       const struct consul_options *options);

/* Replaces the metrics given in the options; NULL for none.  */
void consul_port_set_metrics (struct platform_port *port,
                              struct metrics *metrics);

/* Cancels all calls without a reply, closes all connections and frees PORT.
   PORT may be NULL.  */
void consul_port_free (struct platform_port *port);

#endif
