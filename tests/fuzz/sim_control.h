/* sim_control - simulated hosts that run only the control plane.

   Each host has the modules that share state between hosts: view, members,
   peers, terms and sync, and also failover if a database is added.  Hosts
   send messages over sim_net, use the key-value service of sim_platform and
   reach the instances over sim_db_net.  All run in virtual time.  */

#ifndef SAVORYWAY_TESTS_SIM_CONTROL_H
#define SAVORYWAY_TESTS_SIM_CONTROL_H

#include "core/failover.h"
#include "core/members.h"
#include "core/sync.h"
#include "core/terms.h"
#include "core/view.h"
#include "sim_db_net.h"
#include "sim_instance.h"
#include "sim_net.h"
#include "sim_platform.h"

struct sim_control
{
  struct sim sim;
  struct sim_net net;
  struct sim_platform platform;
  char domains[SIM_HOSTS][NAME_BYTES];
  uint64_t incarnations[SIM_HOSTS];
  /* Modules of each host; valid while it is alive.  */
  struct view *views[SIM_HOSTS];
  struct members *members[SIM_HOSTS];
  struct terms *terms[SIM_HOSTS];
  struct sync *syncs[SIM_HOSTS];
  struct failover *failovers[SIM_HOSTS];
  /* The database "t/s/d" with the instances "a", "b" and "c"; NULL unless
     added.  */
  struct sim_world *world;
  struct sim_db_net db_net;
  struct sim_instance *instances[SIM_INSTANCES];
  struct db_port *writer_port; /* of a test's writer; freed with the world */
};

/* Sets up HOST_COUNT hosts in the failure domains DOMAINS.  No host runs until
   it is started, and the platform's list of hosts is empty.  */
void sim_control_init (struct sim_control *control, uint64_t seed,
                       size_t host_count, const char *const *domains);
/* Adds the database with one instance in each of DOMAINS, and writes its
   configuration as revision 1.  Called before hosts are started.  */
void sim_control_add_database (struct sim_control *control,
                               const char *const *domains);
/* Returns the full name of an instance, such as "t/s/d/a".  */
const char *sim_control_instance_name (size_t instance);

/* Kills all hosts and frees what CONTROL owns.  */
void sim_control_clear (struct sim_control *control);

/* Starts host INDEX, with all other hosts as seeds if SEEDS.  A host that was
   killed starts as a new incarnation.  */
void sim_control_start (struct sim_control *control, size_t index, bool seeds);
/* Starts all hosts with seeds and writes the platform's list of hosts.  */
void sim_control_start_all (struct sim_control *control);
/* Stops host INDEX at once, as a crash would.  */
void sim_control_kill (struct sim_control *control, size_t index);

/* Replaces the platform's list of hosts with the hosts that are alive.  */
void sim_control_publish_hosts (struct sim_control *control);

/* Cuts or heals the network between hosts A and B.  */
void sim_control_cut (struct sim_control *control, size_t a, size_t b,
                      bool cut);

/* Cuts or heals the network between host INDEX and all other hosts, the
   platform and all instances.  */
void sim_control_isolate (struct sim_control *control, size_t index, bool cut);

/* Writes TEAM's configuration JSON and a head of REVISION to the platform, as
   an operator's change does.  */
void sim_control_configure (struct sim_control *control, const char *team,
                            const char *json, uint64_t revision);

#endif
