/* node - one host of the system: its event kernel and all modules of the core.

   The program (port/, cli/) or a test supplies the ports, runs the kernel, and
   submits requests through node_entry.  */

#ifndef SAVORYWAY_CORE_NODE_H
#define SAVORYWAY_CORE_NODE_H

#include "core/entry.h"
#include "core/members.h"
#include "core/policy.h"
#include "core/terms.h"
#include "core/view.h"
#include "port/db_port.h"
#include "port/peer_port.h"
#include "port/platform_port.h"

struct confedit;
struct failover;
struct node;
struct sync;

struct node_options
{
  struct member self;
  const uint8_t *token_key;
  enum policy policy;
  uint32_t max_requests; /* limit of callers' requests in flight */
  struct clk *clk;
  struct rng *rng;
  struct log *log;
  struct db_port *db;
  struct peer_port *peer;
  struct platform_port *platform;
  size_t seed_count; /* hosts to pull from if the platform is down */
  const struct peer_address *seeds;
};

/* Creates all modules.  node_start starts them.  */
struct node *node_new (const struct node_options *options);
void node_start (struct node *node);
void node_free (struct node *node);

struct kernel *node_kernel (struct node *node);
struct entry *node_entry (struct node *node);
struct view *node_view (struct node *node);
struct terms *node_terms (struct node *node);
struct members *node_members (struct node *node);
struct sync *node_sync (struct node *node);
struct failover *node_failover (struct node *node);
struct confedit *node_confedit (struct node *node);

/* Returns whether the host can accept requests: it has a configuration, term
   records and a list of hosts, and is not leaving.  */
bool node_ready (const struct node *node);

/* Starts a graceful shutdown: marks the host as leaving, so that its roles
   move to other hosts, and refuses new requests.  node_drained returns true
   once no request is in flight, but not before the other hosts have had time
   to receive the mark.  */
void node_drain (struct node *node);
bool node_drained (const struct node *node);

#endif
