#include "sim_control.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/peers.h"
#include "core/sync_head.h"
#include "core/view_module.h"
#include "kernel/mem.h"
#include "kernel/mutant.h"

#define DB_PORT 5000

void
sim_control_init (struct sim_control *control, uint64_t seed,
                  size_t host_count, const char *const *domains)
{
  memset (control, 0, sizeof *control);
#ifdef MUTANTS
  mutant_active = getenv ("MUTANT");
#endif
  sim_init (&control->sim, seed, host_count);
  sim_net_init (&control->net, &control->sim);
  sim_platform_init (&control->platform, &control->sim);
  for (size_t i = 0; i < host_count; i++)
    {
      strncpy (control->domains[i], domains[i], NAME_BYTES - 1);
      control->incarnations[i] = 1 + i;
    }
}

const char *
sim_control_instance_name (size_t instance)
{
  static const char *const names[SIM_INSTANCES]
      = { "t/s/d/a", "t/s/d/b", "t/s/d/c" };
  return names[instance];
}

void
sim_control_add_database (struct sim_control *control,
                          const char *const *domains)
{
  control->world = sim_world_new (control->sim.world);
  sim_db_net_init (&control->db_net, &control->sim, DB_PORT);
  struct sim_group *group = sim_group_new (control->world);
  char *json = mem_strdup ("");
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    {
      const struct sim_instance_options options
          = { .address = "127.0.0.1",
              .port = (uint16_t)(DB_PORT + i),
              .domain = domains[i],
              .slots = 5,
              .connections = 70,
              .connect_ms = 10 };
      control->instances[i] = sim_instance_new (group, &options);
      char *more = mem_printf ("%s%s\"%c\":{\"address\":\"127.0.0.1\","
                               "\"port\":%zu,\"domain\":\"%s\"}",
                               json, i > 0 ? "," : "", (char)('a' + i),
                               DB_PORT + i, domains[i]);
      free (json);
      json = more;
    }
  char *team = mem_printf ("{\"services\":{\"s\":{\"databases\":{\"d\":{"
                           "\"slots\":5,\"connections\":70,\"instances\":"
                           "{%s}}}}}}",
                           json);
  sim_control_configure (control, "t", team, 1);
  free (team);
  free (json);
  for (size_t i = 0; i < control->sim.host_count; i++)
    control->db_net.ports[i].inner
        = sim_port_new (control->world, control->domains[i]);
}

static void
clear_database (struct sim_control *control)
{
  sim_db_net_clear (&control->db_net);
  for (size_t i = 0; i < control->sim.host_count; i++)
    sim_port_free (control->db_net.ports[i].inner);
  sim_world_free (control->world);
  sim_port_free (control->writer_port);
}

void
sim_control_clear (struct sim_control *control)
{
  for (size_t i = 0; i < control->sim.host_count; i++)
    if (control->sim.hosts[i].alive)
      sim_control_kill (control, i);
  if (control->world != NULL)
    clear_database (control);
  sim_platform_clear (&control->platform);
  sim_clear (&control->sim);
}

static size_t
fill_seeds (struct sim_control *control, size_t index,
            struct peer_address *seeds)
{
  size_t count = 0;
  for (size_t i = 0; i < control->sim.host_count; i++)
    if (i != index)
      seeds[count++] = sim_net_address (i, 0);
  return count;
}

void
sim_control_start (struct sim_control *control, size_t index, bool with_seeds)
{
  struct sim_host *host = &control->sim.hosts[index];
  struct peer_address seeds[SIM_HOSTS];
  size_t seed_count = with_seeds ? fill_seeds (control, index, seeds) : 0;
  struct member self
      = { .address = sim_net_address (index, control->incarnations[index]) };
  memcpy (self.domain, control->domains[index], NAME_BYTES);
  host->alive = true;
  host->kernel = kernel_new (&host->clk.base, &host->rng, host->log);
  struct view *view = view_new ();
  struct members *members = members_new (&self);
  struct terms *terms = terms_new ();
  struct sync *sync = sync_new (&control->platform.ports[index].base, view,
                                seed_count, seeds);
  kernel_register (host->kernel, view_module_new (view));
  kernel_register (host->kernel, members_module (members));
  kernel_register (host->kernel,
                   peers_module (peers_new (&control->net.ports[index].base)));
  kernel_register (host->kernel, terms_module (terms));
  kernel_register (host->kernel, sync_module (sync));
  control->views[index] = view;
  control->members[index] = members;
  control->terms[index] = terms;
  control->syncs[index] = sync;
  if (control->world != NULL)
    {
      control->failovers[index]
          = failover_new (&control->db_net.ports[index].base,
                          &control->platform.ports[index].base);
      kernel_register (host->kernel,
                       failover_module (control->failovers[index]));
    }
  kernel_start (host->kernel);
}

void
sim_control_start_all (struct sim_control *control)
{
  for (size_t i = 0; i < control->sim.host_count; i++)
    sim_control_start (control, i, true);
  sim_control_publish_hosts (control);
}

void
sim_control_kill (struct sim_control *control, size_t index)
{
  struct sim_host *host = &control->sim.hosts[index];
  host->alive = false;
  sim_drop_inbox (host);
  kernel_free (host->kernel);
  host->kernel = NULL;
  sim_net_kill (&control->net, index);
  if (control->world != NULL)
    sim_db_net_kill (&control->db_net, index);
  sim_platform_kill (&control->platform, index);
  control->incarnations[index] += SIM_HOSTS;
  control->syncs[index] = NULL;
}

void
sim_control_publish_hosts (struct sim_control *control)
{
  struct platform_host list[SIM_HOSTS];
  size_t count = 0;
  for (size_t i = 0; i < control->sim.host_count; i++)
    {
      if (!control->sim.hosts[i].alive)
        continue;
      struct peer_address address
          = sim_net_address (i, control->incarnations[i]);
      struct platform_host *host = &list[count++];
      memset (host, 0, sizeof *host);
      memcpy (host->name, address.name, NAME_BYTES);
      memcpy (host->address, address.address, ADDRESS_BYTES);
      memcpy (host->domain, control->domains[i], NAME_BYTES);
      host->port = address.port;
      host->incarnation = address.incarnation;
    }
  sim_platform_set_hosts (&control->platform, list, count);
}

void
sim_control_cut (struct sim_control *control, size_t a, size_t b, bool cut)
{
  control->sim.cut[a][b] = cut;
  control->sim.cut[b][a] = cut;
}

void
sim_control_isolate (struct sim_control *control, size_t index, bool cut)
{
  for (size_t i = 0; i < control->sim.host_count; i++)
    if (i != index)
      sim_control_cut (control, i, index, cut);
  control->platform.cut[index] = cut;
  for (size_t i = 0; i < SIM_INSTANCES && control->world != NULL; i++)
    sim_db_net_cut (&control->db_net, index, i, cut);
}

void
sim_control_configure (struct sim_control *control, const char *team,
                       const char *json, uint64_t revision)
{
  char *key = mem_printf (SYNC_CONFIG_PREFIX "%s", team);
  char *head = mem_printf (
      "{\"revision\":%llu,\"changes\":[{\"revision\":%llu,"
      "\"team\":\"%s\",\"change_id\":\"c\",\"who\":\"w\","
      "\"when_s\":1}]}",
      (unsigned long long)revision, (unsigned long long)revision, team);
  sim_platform_set (&control->platform, key, json);
  sim_platform_set (&control->platform, SYNC_HEAD_KEY, head);
  free (key);
  free (head);
}
