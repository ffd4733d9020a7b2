#include "cli/run.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <sodium.h>

#include "cli/command.h"
#include "cli/event_loop.h"
#include "cli/http_caller.h"
#include "cli/http_config.h"
#include "cli/http_failover.h"
#include "cli/http_ops.h"
#include "cli/http_server.h"
#include "core/confedit.h"
#include "core/node.h"
#include "port/client_budget.h"
#include "port/consul.h"
#include "port/pg.h"
#include "port/rpc_port.h"

/* Limits of the operators' listener.  Only configurations have large
   bodies.  */
#define OPERATOR_BODY_LIMIT_BYTES (4UL * 1024 * 1024)
#define OPERATOR_HEADER_LIMIT_BYTES 16384
#define OPERATOR_IDLE_MS 60000

/* Timeout for sending a response to a client.  */
#define SEND_LIMIT_MS 60000

struct run
{
  const struct settings *settings;
  struct clk clk;
  struct rng rng;
  struct log *log;
  uint64_t incarnation;
  struct event_base *base;
  struct event *timer;       /* wakes the loop at the kernel's next due time */
  struct event *drain_limit; /* ends the graceful shutdown */
  struct event *signals[2];
  struct client_budget *budget;
  struct db_port *db;
  struct peer_port *peer;
  struct platform_port *platform;
  struct http_server *caller_server;
  struct http_server *operator_server;
  struct node *node;
  struct http_caller *caller;
  struct http_ops *ops;
  struct http_config *config;
  struct http_failover *failover;
  bool draining;
  bool ended;
  int status;
};

static void
end_run (struct run *run, int status)
{
  run->ended = true;
  run->status = status;
  event_base_loopbreak (run->base);
}

static void
drain_limit_reached (evutil_socket_t fd, short what, void *arg)
{
  struct run *run = arg;
  (void)fd;
  (void)what;
  log_event (run->log, LOG_WARNING, "drain_limit",
             LOG_U ("in_flight", entry_in_flight (node_entry (run->node))));
  end_run (run, EXIT_FAILED);
}

static void
start_drain (void *arg)
{
  struct run *run = arg;
  struct timeval limit
      = { .tv_sec = run->settings->drain_limit_ms / 1000,
          .tv_usec = run->settings->drain_limit_ms % 1000 * 1000 };
  if (run->draining)
    return;
  run->draining = true;
  log_event (run->log, LOG_NOTICE, "drain_started",
             LOG_U ("in_flight", entry_in_flight (node_entry (run->node))),
             LOG_I ("limit_ms", run->settings->drain_limit_ms));
  node_drain (run->node);
  http_server_disable_keep_alive (run->caller_server);
  evtimer_add (run->drain_limit, &limit);
}

static void
on_signal (evutil_socket_t number, short what, void *arg)
{
  struct run *run = arg;
  (void)what;
  log_event (run->log, LOG_NOTICE, "signal", LOG_I ("number", number));
  if (run->draining)
    end_run (run, EXIT_FAILED);
  else
    start_drain (run);
}

/* Returns whether the graceful shutdown is complete: no request is in flight
   and all responses are sent.  */
static bool
is_drained (const struct run *run)
{
  return run->draining && node_drained (run->node)
         && http_caller_pending (run->caller) == 0
         && http_server_unsent_count (run->caller_server) == 0
         && http_server_unsent_count (run->operator_server) == 0;
}

static void
run_loop (struct run *run)
{
  struct kernel *kernel = node_kernel (run->node);
  while (!run->ended)
    {
      event_loop_run_once (run->base, run->timer, kernel);
      if (is_drained (run))
        end_run (run, EXIT_OK);
    }
}

static bool
open_events (struct run *run)
{
  static const int numbers[] = { SIGTERM, SIGINT };
  run->base = event_loop_base_new ();
  if (run->base == NULL)
    return false;
  run->timer = event_loop_timer_new (run->base);
  run->drain_limit = evtimer_new (run->base, drain_limit_reached, run);
  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    {
      run->signals[i] = evsignal_new (run->base, numbers[i], on_signal, run);
      event_add (run->signals[i], NULL);
    }
  signal (SIGPIPE, SIG_IGN);
  return true;
}

static void
log_listening (struct run *run, const char *interface, const char *address,
               uint16_t port)
{
  log_event (run->log, LOG_NOTICE, "listening", LOG_S ("interface", interface),
             LOG_S ("address", address), LOG_U ("port", port));
}

static void
log_listen_failure (struct run *run, const char *interface,
                    const char *address, int64_t port)
{
  log_event (run->log, LOG_ERR, "listen_failed",
             LOG_S ("interface", interface), LOG_S ("address", address),
             LOG_I ("port", port), LOG_S ("error", strerror (errno)));
}

/* Opens all listeners.  Logs each that can't be opened, not only the
   first.  */
static bool
open_listeners (struct run *run)
{
  const struct settings *settings = run->settings;
  struct client_budget_options budget
      = { .base = run->base,
          .clk = &run->clk,
          .log = run->log,
          .machine_bytes = (size_t)settings->memory_mb * 1024 * 1024,
          .descriptors = (size_t)settings->max_fds,
          .stall_ms = settings->client_stall_ms };
  run->budget = client_budget_new (&budget);
  struct rpc_options rpc = { .address = settings->rpc_address,
                             .port = (uint16_t)settings->rpc_port,
                             .secret = settings->rpc_secret,
                             .rng = &run->rng,
                             .budget = run->budget,
                             .log = run->log };
  struct http_server_options caller
      = { .address = settings->caller_address,
          .port = (uint16_t)settings->caller_port,
          .body_limit_bytes = (size_t)settings->body_limit_bytes,
          .header_limit_bytes = (size_t)settings->header_limit_bytes,
          .idle_ms = settings->caller_idle_ms,
          .send_ms = SEND_LIMIT_MS,
          .clk = &run->clk,
          .budget = run->budget,
          .interface = CLIENT_CALLERS };
  struct http_server_options operators
      = { .address = settings->operator_address,
          .port = (uint16_t)settings->operator_port,
          .body_limit_bytes = OPERATOR_BODY_LIMIT_BYTES,
          .header_limit_bytes = OPERATOR_HEADER_LIMIT_BYTES,
          .idle_ms = OPERATOR_IDLE_MS,
          .send_ms = SEND_LIMIT_MS,
          .clk = &run->clk,
          .budget = run->budget,
          .interface = CLIENT_OPERATORS };
  run->peer = rpc_port_new (run->base, &rpc);
  if (run->peer == NULL)
    log_listen_failure (run, "hosts", settings->rpc_address,
                        settings->rpc_port);
  run->caller_server = http_server_new (run->base, &caller);
  if (run->caller_server == NULL)
    log_listen_failure (run, "callers", settings->caller_address,
                        settings->caller_port);
  run->operator_server = http_server_new (run->base, &operators);
  if (run->operator_server == NULL)
    log_listen_failure (run, "operators", settings->operator_address,
                        settings->operator_port);
  return run->peer != NULL && run->caller_server != NULL
         && run->operator_server != NULL;
}

static void
open_ports (struct run *run)
{
  const struct settings *settings = run->settings;
  struct pg_options pg
      = { .user = settings->database_user, .dbname = settings->database_name };
  struct consul_options consul = { .address = settings->platform_address,
                                   .port = (uint16_t)settings->platform_port,
                                   .token = settings->platform_token };
  run->db = pg_port_new (run->base, &pg);
  run->platform = consul_port_new (run->base, &consul);
}

static void
open_node (struct run *run)
{
  const struct settings *settings = run->settings;
  struct node_options options
      = { .token_key = settings->token_key,
          .policy = (enum policy)settings->policy,
          .clk = &run->clk,
          .rng = &run->rng,
          .log = run->log,
          .db = run->db,
          .peer = run->peer,
          .platform = run->platform,
          .max_requests = (uint32_t)settings->request_limit,
          .seed_count = settings->seed_count,
          .seeds = settings->seeds };
  struct peer_address *self = &options.self.address;
  snprintf (self->name, sizeof self->name, "%s", settings->host);
  snprintf (self->address, sizeof self->address, "%s", settings->rpc_address);
  snprintf (options.self.domain, sizeof options.self.domain, "%s",
            settings->domain);
  self->port = rpc_port_bound (run->peer);
  self->incarnation = run->incarnation;
  run->node = node_new (&options);
  rpc_port_set_metrics (run->peer, kernel_metrics (node_kernel (run->node)));
  client_budget_set_metrics (run->budget,
                             kernel_metrics (node_kernel (run->node)));
  consul_port_set_metrics (run->platform,
                           kernel_metrics (node_kernel (run->node)));
  confedit_set_admin (node_confedit (run->node), settings->admin_secret_hash);
}

static void
open_interfaces (struct run *run)
{
  struct http_caller_options caller
      = { .server = run->caller_server,
          .entry = node_entry (run->node),
          .submit = entry_submit,
          .metrics = kernel_metrics (node_kernel (run->node)) };
  struct http_ops_options ops = { .server = run->operator_server,
                                  .node = run->node,
                                  .log = run->log,
                                  .clk = &run->clk,
                                  .settings = run->settings,
                                  .incarnation = run->incarnation,
                                  .drain = start_drain,
                                  .arg = run };
  run->caller = http_caller_new (&caller);
  run->ops = http_ops_new (&ops);
  run->config
      = http_config_new (run->operator_server, node_confedit (run->node));
  run->failover
      = http_failover_new (run->operator_server, node_failover (run->node));
  log_listening (run, "hosts", run->settings->rpc_address,
                 rpc_port_bound (run->peer));
  log_listening (run, "callers", run->settings->caller_address,
                 http_server_port (run->caller_server));
  log_listening (run, "operators", run->settings->operator_address,
                 http_server_port (run->operator_server));
}

/* Frees each object before those that it calls back into.  */
static void
close_all (struct run *run)
{
  if (run->platform != NULL)
    consul_port_set_metrics (run->platform, NULL);
  client_budget_set_metrics (run->budget, NULL);
  node_free (run->node);
  http_caller_free (run->caller);
  http_ops_free (run->ops);
  http_config_free (run->config);
  http_failover_free (run->failover);
  http_server_free (run->caller_server);
  http_server_free (run->operator_server);
  if (run->platform != NULL)
    consul_port_free (run->platform);
  if (run->db != NULL)
    pg_port_free (run->db);
  rpc_port_free (run->peer);
  client_budget_free (run->budget);
  for (size_t i = 0; i < sizeof run->signals / sizeof run->signals[0]; i++)
    if (run->signals[i] != NULL)
      event_free (run->signals[i]);
  if (run->drain_limit != NULL)
    event_free (run->drain_limit);
  if (run->timer != NULL)
    event_free (run->timer);
  if (run->base != NULL)
    event_base_free (run->base);
  log_free (run->log);
}

int
run_host (const struct settings *settings)
{
  struct run run = { .settings = settings, .status = EXIT_FAILED };
  event_loop_clock_init (&run.clk);
  rng_init_system (&run.rng);
  run.incarnation = settings->incarnation != 0
                        ? (uint64_t)settings->incarnation
                        : rng_u64 (&run.rng) >> 1;
  run.log = log_new (&run.clk, (int)settings->log_level,
                     (uint32_t)settings->log_rate_per_s, log_to_stderr, NULL);
  event_loop_raise_fd_limit ();
  if (!open_events (&run) || !open_listeners (&run))
    goto out;
  open_ports (&run);
  open_node (&run);
  open_interfaces (&run);
  node_start (run.node);
  run_loop (&run);
  log_event (run.log, LOG_NOTICE, "ended", LOG_I ("status", run.status));
out:
  close_all (&run);
  return run.status;
}
