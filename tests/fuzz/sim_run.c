#include "sim_run.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/sync.h"
#include "kernel/mem.h"

#define FIRST_PORT 5001
#define SETTLE_MS 60000
#define WARM_UP_MS 5000

const char *const run_domains[RUN_DOMAINS] = { "north", "east", "south" };

static const uint8_t token_key[32] = { 1, 2, 3 };

void
run_note (struct run *run, const char *format, ...)
{
  va_list args;
  if (!run->verbose)
    return;
  printf ("[%lld] step %zu: ", (long long)run->sim.clk.now_ms,
          run->oracle.step);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  putchar ('\n');
}

static const char *
host_domain (size_t index)
{
  return run_domains[index % RUN_DOMAINS];
}

static struct member
member_of (const struct run *run, size_t index)
{
  struct member member
      = { .address = sim_net_address (index, run->hosts[index].incarnation) };
  snprintf (member.domain, sizeof member.domain, "%s", host_domain (index));
  return member;
}

void
run_list_hosts (struct run *run)
{
  struct platform_host list[SIM_HOSTS] = { 0 };
  size_t count = 0;
  for (size_t i = 0; i < RUN_HOSTS; i++)
    {
      struct member member = member_of (run, i);
      struct platform_host *host = &list[count];
      if (!run->sim.hosts[i].alive)
        continue;
      memcpy (host->name, member.address.name, sizeof host->name);
      memcpy (host->address, member.address.address, sizeof host->address);
      memcpy (host->domain, member.domain, sizeof host->domain);
      host->port = member.address.port;
      host->incarnation = member.address.incarnation;
      host->leaving = run->hosts[i].draining;
      count++;
    }
  sim_platform_set_hosts (&run->platform, list, count);
}

void
run_host_start (struct run *run, size_t index)
{
  struct sim_host *sim_host = &run->sim.hosts[index];
  struct run_host *host = &run->hosts[index];
  struct peer_address seeds[RUN_HOSTS];
  size_t seed_count = 0;
  if (sim_host->alive)
    return;
  host->incarnation++;
  host->draining = false;
  host->revision = 0;
  for (size_t i = 0; i < RUN_HOSTS; i++)
    if (i != index)
      seeds[seed_count++] = sim_net_address (i, 0);
  struct node_options options = {
    .self = member_of (run, index),
    .token_key = token_key,
    .policy = POLICY_FULL,
    .max_requests = 1000,
    .clk = &sim_host->clk.base,
    .rng = &sim_host->rng,
    .log = sim_host->log,
    .db = &run->db_net.ports[index].base,
    .peer = &run->net.ports[index].base,
    .platform = &run->platform.ports[index].base,
    .seed_count = seed_count,
    .seeds = seeds,
  };
  host->node = node_new (&options);
  sim_host->alive = true;
  sim_host->paused = false;
  sim_host->kernel = node_kernel (host->node);
  node_start (host->node);
}

void
run_host_stop (struct run *run, size_t index)
{
  struct sim_host *sim_host = &run->sim.hosts[index];
  if (!sim_host->alive)
    return;
  sim_host->alive = false;
  sim_drop_inbox (sim_host);
  node_free (run->hosts[index].node);
  run->hosts[index].node = NULL;
  sim_host->kernel = NULL;
  sim_db_net_kill (&run->db_net, index);
  sim_net_kill (&run->net, index);
  sim_platform_kill (&run->platform, index);
  run_calls_broken (run, index);
  run_config_broken (run, index);
}

static void
start_instances (struct run *run)
{
  run->world = sim_world_new (run->sim.world);
  sim_world_set_delay (run->world, 1, 2);
  run->group = sim_group_new (run->world);
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    {
      struct sim_instance_options options
          = { .address = "127.0.0.1",
              .port = (uint16_t)(FIRST_PORT + i),
              .domain = run_domains[i],
              .slots = 3,
              .connections = 40,
              .connect_ms = 10,
              .cost_ms = 2,
              .lag_ms = 20 };
      run->instances[i] = sim_instance_new (run->group, &options);
    }
  sim_db_net_init (&run->db_net, &run->sim, FIRST_PORT);
  for (size_t i = 0; i < RUN_HOSTS; i++)
    run->db_net.ports[i].inner = sim_port_new (run->world, host_domain (i));
}

void
run_init (struct run *run, uint64_t seed)
{
  memset (run, 0, sizeof *run);
  run->verbose = getenv ("SIM_VERBOSE") != NULL;
  run->oracle.seed = seed;
  sim_init (&run->sim, seed, RUN_HOSTS);
  sim_net_init (&run->net, &run->sim);
  sim_platform_init (&run->platform, &run->sim);
  start_instances (run);
  run_config_init (run);
  for (size_t i = 0; i < RUN_HOSTS; i++)
    run_host_start (run, i);
  run_list_hosts (run);
  sim_run (&run->sim, WARM_UP_MS);
}

uint8_t
run_byte (struct run *run)
{
  return run->at < run->length ? run->bytes[run->at++] : 0;
}

void
run_steps (struct run *run, const uint8_t *bytes, size_t length)
{
  run->bytes = bytes;
  run->length = length;
  run->at = 0;
  while (run->at < run->length)
    {
      run->oracle.step++;
      run_step (run);
      run_config_check (run, false);
    }
}

const char *
run_primary (struct run *run)
{
  static struct term_record record;
  const char *json
      = sim_platform_get (&run->platform, TERMS_PREFIX "dago/ledger/db1");
  if (json == NULL || !term_record_parse (json, strlen (json), &record)
      || record.state != TERM_ACTIVE)
    return NULL;
  return record.primary;
}

static struct sim_instance *
find_primary (struct run *run)
{
  struct sim_instance *best = NULL;
  uint64_t term = 0;
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    {
      struct db_report report = sim_instance_report (run->instances[i]);
      if (report.primary && report.term > term)
        {
          best = run->instances[i];
          term = report.term;
        }
    }
  return best;
}

static void
mend (struct run *run)
{
  memset (run->sim.cut, 0, sizeof run->sim.cut);
  run->net.lose_permille = 0;
  run->platform.outage = false;
  run->platform.stalled = false;
  run->platform.lose_next_answer = false;
  memset (run->platform.cut, 0, sizeof run->platform.cut);
  for (size_t i = 0; i < RUN_DOMAINS; i++)
    for (size_t j = 0; j < i; j++)
      sim_world_cut (run->world, run_domains[i], run_domains[j], false);
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    {
      sim_instance_isolate (run->instances[i], false);
      sim_instance_freeze (run->instances[i], false);
      sim_instance_set_slowdown (run->instances[i], 1);
      sim_instance_set_lag (run->instances[i], 20);
      sim_instance_lose_answers (run->instances[i], 0);
      if (run->instance_down[i])
        sim_instance_restart (run->instances[i]);
      run->instance_down[i] = false;
      for (size_t j = 0; j < RUN_HOSTS; j++)
        sim_db_net_cut (&run->db_net, j, i, false);
    }
  for (size_t i = 0; i < RUN_HOSTS; i++)
    {
      run->sim.hosts[i].paused = false;
      if (run->hosts[i].draining)
        run_host_stop (run, i);
      run_host_start (run, i);
    }
  run_list_hosts (run);
}

static void
check_leftovers (struct run *run)
{
  struct oracle *oracle = &run->oracle;
  oracle->checked[PROMISE_NO_LEAK]++;
  if (run->call_count > 0)
    oracle_violation (oracle, PROMISE_NO_LEAK, "%zu calls were never answered",
                      run->call_count);
  for (size_t i = 0; i < RUN_HOSTS; i++)
    if (entry_in_flight (node_entry (run->hosts[i].node)) > 0)
      oracle_violation (oracle, PROMISE_NO_LEAK,
                        "host %zu has %zu requests in flight", i,
                        entry_in_flight (node_entry (run->hosts[i].node)));
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    if (sim_instance_open_peak (run->instances[i]) > 40)
      oracle_violation (oracle, PROMISE_NO_LEAK,
                        "instance %zu had %u connections", i,
                        sim_instance_open_peak (run->instances[i]));
}

void
run_finish (struct run *run)
{
  run_note (run, "mend everything");
  mend (run);
  sim_run (&run->sim, SETTLE_MS);
  check_leftovers (run);
  run_config_check (run, true);
  struct sim_instance *primary = find_primary (run);
  if (primary == NULL)
    oracle_violation (&run->oracle, PROMISE_NO_LEAK,
                      "no primary after everything was mended");
  else
    oracle_finish (&run->oracle, primary);
  /* The system must work again: a write and a read of it elsewhere.  */
  size_t done = run->answered[OUTCOME_DONE];
  for (size_t i = 0; i < ORACLE_SESSIONS; i++)
    run->sessions[i].token[0] = '\0';
  run_write (run, 0, 0);
  sim_run (&run->sim, SETTLE_MS / 2);
  run_read (run, 1, 0, FRESHNESS_SESSION);
  sim_run (&run->sim, SETTLE_MS / 2);
  if (run->answered[OUTCOME_DONE] != done + 2)
    oracle_violation (&run->oracle, PROMISE_OWN_WORK,
                      "no service after everything was mended");
  run_config_leaving (run, run->oracle.seed % SIM_INSTANCES);
}

void
run_clear (struct run *run)
{
  for (size_t i = 0; i < RUN_HOSTS; i++)
    run_host_stop (run, i);
  run_calls_broken (run, SIZE_MAX);
  run_config_broken (run, SIZE_MAX);
  sim_db_net_clear (&run->db_net);
  for (size_t i = 0; i < RUN_HOSTS; i++)
    sim_port_free (run->db_net.ports[i].inner);
  sim_world_free (run->world);
  sim_platform_clear (&run->platform);
  sim_clear (&run->sim);
}

size_t
run_bytes (uint64_t seed, const uint8_t *bytes, size_t length)
{
  struct run *run = mem_zalloc (sizeof *run);
  run_init (run, seed);
  run_steps (run, bytes, length);
  run_finish (run);
  size_t violations = run->oracle.violations;
  run_clear (run);
  free (run);
  return violations;
}

size_t
run_seed (uint64_t seed, size_t length)
{
  struct rng rng;
  uint8_t *bytes = mem_zalloc (length);
  rng_init (&rng, seed);
  for (size_t i = 0; i < length; i++)
    bytes[i] = (uint8_t)rng_u64 (&rng);
  size_t violations = run_bytes (seed, bytes, length);
  free (bytes);
  return violations;
}
