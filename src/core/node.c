#include "core/node.h"

#include <stdlib.h>

#include "core/confedit.h"
#include "core/failover.h"
#include "core/gateway.h"
#include "core/peers.h"
#include "core/router.h"
#include "core/sync.h"
#include "core/view_module.h"
#include "kernel/mem.h"
#include "kernel/mutant.h"

struct node
{
  struct kernel *kernel;
  struct view *view;
  struct members *members;
  struct terms *terms;
  struct sync *sync;
  struct failover *failover;
  struct gateway *gateway;
  struct entry *entry;
  struct confedit *confedit;
  bool draining;
  clk_ms drain_ms; /* when the drain began */
};

/* Time for the leaving mark to reach the hosts that send work here.  */
#define DRAIN_SETTLE_MS 1000

static clk_ms
view_age (void *arg)
{
  struct node *node = arg;
  return sync_view_age_ms (node->sync);
}

struct node *
node_new (const struct node_options *options)
{
  struct node *node = mem_zalloc (sizeof *node);
  struct kernel *kernel
      = kernel_new (options->clk, options->rng, options->log);
  struct entry_options entry_options
      = { .token_key = options->token_key,
          .max_requests = options->max_requests };

  node->kernel = kernel;
  node->view = view_new ();
  node->members = members_new (&options->self);
  node->terms = terms_new ();
  node->sync = sync_new (options->platform, node->view, options->seed_count,
                         options->seeds);
  node->failover = failover_new (options->db, options->platform);
  node->gateway = gateway_new (options->db, options->policy);
  node->entry = entry_new (&entry_options);
  node->confedit = confedit_new (options->platform, node->view);

  kernel_register (kernel, view_module_new (node->view));
  kernel_register (kernel, members_module (node->members));
  kernel_register (kernel, peers_module (peers_new (options->peer)));
  kernel_register (kernel, terms_module (node->terms));
  kernel_register (kernel, sync_module (node->sync));
  kernel_register (kernel, failover_module (node->failover));
  kernel_register (kernel, router_module (router_new ()));
  kernel_register (kernel, gateway_module (node->gateway));
  kernel_register (kernel, entry_module (node->entry));
  kernel_register (kernel, confedit_module (node->confedit));
  gateway_set_view_age (node->gateway, view_age, node);
  return node;
}

void
node_start (struct node *node)
{
  kernel_start (node->kernel);
}

void
node_free (struct node *node)
{
  if (node == NULL)
    return;
  kernel_free (node->kernel);
  free (node);
}

struct kernel *
node_kernel (struct node *node)
{
  return node->kernel;
}

struct entry *
node_entry (struct node *node)
{
  return node->entry;
}

struct view *
node_view (struct node *node)
{
  return node->view;
}

struct terms *
node_terms (struct node *node)
{
  return node->terms;
}

struct members *
node_members (struct node *node)
{
  return node->members;
}

struct sync *
node_sync (struct node *node)
{
  return node->sync;
}

struct failover *
node_failover (struct node *node)
{
  return node->failover;
}

struct confedit *
node_confedit (struct node *node)
{
  return node->confedit;
}

bool
node_ready (const struct node *node)
{
  return !node->draining && sync_ready (node->sync);
}

void
node_drain (struct node *node)
{
  const struct member *self = members_self (node->members);
  if (node->draining)
    return;
  node->draining = true;
  node->drain_ms = kernel_now (node->kernel);
  log_event (kernel_log (node->kernel), LOG_NOTICE, "drain_begin",
             LOG_U ("requests", entry_in_flight (node->entry)),
             LOG_U ("gateway_requests", gateway_in_flight (node->gateway)));
  members_mark_leaving (node->members, self->address.name,
                        self->address.incarnation);
  sync_publish_leaving (node->sync);
  entry_drain (node->entry);
}

bool
node_drained (const struct node *node)
{
  if (MUTANT (cut_drain_short))
    return node->draining;
  return node->draining
         && kernel_now (node->kernel) - node->drain_ms >= DRAIN_SETTLE_MS
         && entry_in_flight (node->entry) == 0
         && gateway_in_flight (node->gateway) == 0;
}
