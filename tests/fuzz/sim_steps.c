/* Steps of a schedule: requests of callers and operators, and faults.  */

#include <string.h>

#include "sim_run.h"

/* Limits of the wait after a step: of the rare long waits, of the others.  */
#define LONGEST_WAIT_MS 3000
#define SHORT_WAIT_MS 40

/* Actions of a step.  The first byte of a step, one of 256 values, selects the
   action whose bound is the lowest above it; values from STEP_NETWORK up
   select faults of the platform.  */
enum step_limit
{
  STEP_WRITE = 70,
  STEP_READ_SESSION = 110,
  STEP_READ_AGE = 122,
  STEP_READ_STRONG = 132,
  STEP_RETRY = 144,
  STEP_TRANSACTION = 154,
  STEP_CONFIG = 160,
  STEP_WAIT = 168,
  STEP_REPAIR = 176,
  STEP_SCENARIO = 188,
  STEP_INSTANCE = 206,
  STEP_HOST = 226,
  STEP_NETWORK = 244
};

static void
instance_fault (struct run *run, uint8_t variant, size_t i)
{
  struct sim_instance *instance = run->instances[i];
  switch (variant % 7)
    {
    case 0:
      run->instance_isolated[i] = !run->instance_isolated[i];
      run_note (run, "instance %zu isolated=%d", i, run->instance_isolated[i]);
      sim_instance_isolate (instance, run->instance_isolated[i]);
      break;
    case 1:
      run->instance_frozen[i] = !run->instance_frozen[i];
      run_note (run, "instance %zu frozen=%d", i, run->instance_frozen[i]);
      sim_instance_freeze (instance, run->instance_frozen[i]);
      break;
    case 2:
    case 3:
      run->instance_down[i] = !run->instance_down[i];
      run_note (run, "instance %zu down=%d", i, run->instance_down[i]);
      if (run->instance_down[i])
        sim_instance_kill (instance);
      else
        sim_instance_restart (instance);
      break;
    case 4:
      run_note (run, "instance %zu loses an answer", i);
      sim_instance_lose_answers (instance, 1);
      break;
    case 5:
      run_note (run, "instance %zu lags", i);
      sim_instance_set_lag (instance, (clk_ms)run_byte (run) * 40);
      break;
    default:
      run_note (run, "instance %zu is slow", i);
      sim_instance_set_slowdown (instance, 1 + run_byte (run) % 50);
      break;
    }
}

static void
host_fault (struct run *run, uint8_t variant, size_t i)
{
  struct sim_host *host = &run->sim.hosts[i];
  switch (variant % 5)
    {
    case 0:
      run_note (run, "host %zu %s", i, host->alive ? "dies" : "starts");
      if (host->alive)
        run_host_stop (run, i);
      else
        run_host_start (run, i);
      run_publish_hosts (run);
      break;
    case 1:
      if (!host->alive)
        return;
      host->paused = !host->paused;
      run_note (run, "host %zu paused=%d", i, host->paused);
      break;
    case 2:
      if (!host->alive || run->hosts[i].draining)
        return;
      run_note (run, "host %zu drains", i);
      run->hosts[i].draining = true;
      run->hosts[i].drain_at_ms = run->sim.clk.now_ms;
      node_drain (run->hosts[i].node);
      run_publish_hosts (run);
      break;
    case 3:
      run_host_stop (run, i);
      host->clk.rate = SIM_RATE_UNIT - 10 + run_byte (run) % 21;
      run_host_start (run, i);
      run_note (run, "host %zu replaced at its address, clock rate %lld", i,
                (long long)host->clk.rate);
      break;
    default:
      run_note (run, "the list of hosts is updated");
      run_publish_hosts (run);
      break;
    }
}

/* Cuts or heals the replication between DOMAIN and all other failure
   domains.  */
static void
cut_instances (struct run *run, size_t domain, bool cut)
{
  for (size_t i = 0; i < RUN_DOMAINS; i++)
    if (i != domain)
      sim_world_cut (run->world, run_domains[domain], run_domains[i], cut);
}

/* Cuts or heals one link between hosts, to an instance or to the platform, or
   cuts host A and the replication of its failure domain off from the other
   failure domains and host A off from the platform.  */
static void
network_fault (struct run *run, uint8_t variant, size_t a, size_t b)
{
  bool cut = !run->sim.cut[a][b];
  switch (variant % 5)
    {
    case 0:
    case 1:
      if (a == b)
        return;
      run_note (run, "hosts %zu and %zu cut=%d", a, b, cut);
      run->sim.cut[a][b] = cut;
      run->sim.cut[b][a] = cut;
      break;
    case 2:
      run_note (run, "host %zu and instance %zu cut", a, b % SIM_INSTANCES);
      sim_db_net_cut (&run->db_net, a, b % SIM_INSTANCES,
                      !run->db_net.cut[a][b % SIM_INSTANCES]);
      break;
    case 3:
      run->platform.cut[a] = !run->platform.cut[a];
      run_note (run, "host %zu and platform cut=%d", a, run->platform.cut[a]);
      break;
    default:
      run_note (run, "failure domain of host %zu is cut off", a);
      for (size_t i = 0; i < RUN_HOSTS; i++)
        if (i % RUN_DOMAINS != a % RUN_DOMAINS)
          run->sim.cut[a][i] = run->sim.cut[i][a] = true;
      for (size_t i = 0; i < SIM_INSTANCES; i++)
        sim_db_net_cut (&run->db_net, a, i, i != a % RUN_DOMAINS);
      run->platform.cut[a] = true;
      cut_instances (run, a % RUN_DOMAINS, true);
      break;
    }
}

static void
platform_fault (struct run *run, uint8_t variant)
{
  switch (variant % 4)
    {
    case 0:
      run->platform.outage = !run->platform.outage;
      run_note (run, "platform outage=%d", run->platform.outage);
      break;
    case 1:
      run->platform.stalled = !run->platform.stalled;
      run_note (run, "platform stalled=%d", run->platform.stalled);
      break;
    case 2:
      run->platform.lose_next_answer = true;
      run_note (run, "platform loses the next answer");
      break;
    default:
      run->net.lose_permille = run->net.lose_permille ? 0 : 50;
      run_note (run, "hosts lose %u of 1000 messages", run->net.lose_permille);
      break;
    }
}

/* Repairs the faults of host I, of one instance and of the platform, so that
   faults don't only accumulate in a run.  */
static void
repair_one (struct run *run, size_t i)
{
  size_t instance = i % SIM_INSTANCES;
  run_note (run, "repair host %zu and instance %zu", i, instance);
  for (size_t j = 0; j < RUN_HOSTS; j++)
    run->sim.cut[i][j] = run->sim.cut[j][i] = false;
  for (size_t j = 0; j < SIM_INSTANCES; j++)
    sim_db_net_cut (&run->db_net, i, j, false);
  cut_instances (run, i % RUN_DOMAINS, false);
  run->platform.cut[i] = false;
  run->platform.outage = false;
  run->platform.stalled = false;
  run->sim.hosts[i].paused = false;
  run_host_start (run, i);
  sim_instance_isolate (run->instances[instance], false);
  sim_instance_freeze (run->instances[instance], false);
  sim_instance_set_slowdown (run->instances[instance], 1);
  sim_instance_set_lag (run->instances[instance], 20);
  if (run->instance_down[instance])
    sim_instance_restart (run->instances[instance]);
  run->instance_isolated[instance] = false;
  run->instance_frozen[instance] = false;
  run->instance_down[instance] = false;
}

/* Stops the hosts that have drained.  Requests still in flight there would be
   lost.  */
static void
stop_drained_hosts (struct run *run)
{
  for (size_t i = 0; i < RUN_HOSTS; i++)
    {
      struct run_host *host = &run->hosts[i];
      if (!run->sim.hosts[i].alive || !host->draining
          || !node_drained (host->node))
        continue;
      run->oracle.checked[PROMISE_DRAIN]++;
      if (run_calls_count (run, i) > 0)
        oracle_violation (&run->oracle, PROMISE_DRAIN,
                          "host %zu has drained with %zu requests in flight",
                          i, run_calls_count (run, i));
      run_note (run, "host %zu has drained and stops", i);
      run_host_stop (run, i);
      run_publish_hosts (run);
    }
}

/* Returns the index of the primary in the platform's record, 0 if none.  */
static size_t
primary_index (struct run *run)
{
  const char *name = run_primary (run);
  return name == NULL ? 0 : (size_t)(name[strlen (name) - 1] - 'a');
}

static void
set_isolated (struct run *run, size_t i, bool isolated)
{
  run->instance_isolated[i] = isolated;
  sim_instance_isolate (run->instances[i], isolated);
}

/* Cuts off the primary's failure domain, then sends requests to both sides.
   The host that is cut off keeps serving and must not serve outdated data.  */
static void
lose_domain (struct run *run, clk_ms wait_ms)
{
  size_t domain = primary_index (run);
  network_fault (run, 4, domain, domain);
  sim_run (&run->sim, wait_ms);
  run_write (run, (domain + 1) % RUN_DOMAINS, 3);
  sim_run (&run->sim, (clk_ms)5 * SHORT_WAIT_MS);
  run_read_latest (run, domain, 0, FRESHNESS_STRONG);
  run_read_latest (run, domain, 1, FRESHNESS_MAX_AGE);
  run_write (run, domain, 2);
}

/* Stops replication, writes to the primary and isolates it.  The primary
   promoted next, which no replica follows, is isolated as the first one
   returns.  */
static void
fail_twice (struct run *run, clk_ms wait_ms)
{
  size_t first = primary_index (run);
  for (size_t i = 0; i < RUN_DOMAINS; i++)
    cut_instances (run, i, true);
  run_write (run, first, 0);
  run_write (run, first, 1);
  sim_run (&run->sim, SHORT_WAIT_MS);
  set_isolated (run, first, true);
  sim_run (&run->sim, 3000 + wait_ms);
  set_isolated (run, primary_index (run), true);
  set_isolated (run, first, false);
  sim_run (&run->sim, wait_ms);
  for (size_t i = 0; i < RUN_DOMAINS; i++)
    cut_instances (run, i, false);
}

/* Delays the replay of all replicas by LAG_MS, then reads on all hosts with a
   maximum age, which LAG_MS may exceed.  */
static void
lag_all (struct run *run, clk_ms lag_ms)
{
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    sim_instance_set_lag (run->instances[i], lag_ms);
  run_write (run, 0, 0);
  sim_run (&run->sim, MAX_AGE_MS + (clk_ms)5 * SHORT_WAIT_MS);
  for (size_t i = 0; i < RUN_HOSTS; i++)
    run_read_latest (run, i, (i + 1) % ORACLE_SESSIONS, FRESHNESS_MAX_AGE);
}

static void
run_scenario (struct run *run, uint8_t variant, clk_ms wait_ms)
{
  run_note (run, "scenario %u, %lld ms", variant % 3, (long long)wait_ms);
  if (variant % 3 == 0)
    lose_domain (run, wait_ms);
  else if (variant % 3 == 1)
    fail_twice (run, wait_ms);
  else
    lag_all (run, wait_ms);
}

void
run_step (struct run *run)
{
  uint8_t action = run_byte (run);
  uint8_t target = run_byte (run);
  uint8_t wait = run_byte (run);
  size_t host = target % RUN_HOSTS;
  size_t session = (target / RUN_HOSTS) % ORACLE_SESSIONS;
  size_t other = session % RUN_HOSTS;
  clk_ms wait_ms = wait < 200 ? wait % SHORT_WAIT_MS
                              : (clk_ms)(wait - 199) * LONGEST_WAIT_MS / 57;

  if (action < STEP_WRITE)
    run_write (run, host, session);
  else if (action < STEP_READ_SESSION)
    run_read (run, host, session, FRESHNESS_SESSION);
  else if (action < STEP_READ_AGE)
    run_read (run, host, session, FRESHNESS_MAX_AGE);
  else if (action < STEP_READ_STRONG)
    run_read (run, host, session, FRESHNESS_STRONG);
  else if (action < STEP_RETRY)
    run_retry (run, host, session);
  else if (action < STEP_TRANSACTION)
    run_transaction (run, host, session);
  else if (action < STEP_CONFIG)
    run_config_change (run, host);
  else if (action < STEP_WAIT)
    wait_ms = (clk_ms)wait * 16;
  else if (action < STEP_REPAIR)
    repair_one (run, host);
  else if (action < STEP_SCENARIO)
    {
      run_scenario (run, run_byte (run), (clk_ms)run_byte (run) * (clk_ms)20);
    }
  else if (action < STEP_INSTANCE)
    instance_fault (run, run_byte (run), target % SIM_INSTANCES);
  else if (action < STEP_HOST)
    host_fault (run, run_byte (run), host);
  else if (action < STEP_NETWORK)
    network_fault (run, run_byte (run), host, other);
  else
    platform_fault (run, run_byte (run));
  sim_run (&run->sim, wait_ms);
  stop_drained_hosts (run);
}
