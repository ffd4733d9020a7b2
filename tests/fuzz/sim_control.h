/* sim_control - hosts with only the modules that share state: view,
   members, peers, terms, sync, and failover if there is a database.  */

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
  /* Of each host that runs.  */
  struct view *views[SIM_HOSTS];
  struct members *members[SIM_HOSTS];
  struct terms *terms[SIM_HOSTS];
  struct sync *syncs[SIM_HOSTS];
  struct failover *failovers[SIM_HOSTS];
  /* The database "t/s/d" with its instances "a", "b" and "c", if any.  */
  struct sim_world *world;
  struct sim_db_net db_net;
  struct sim_instance *instances[SIM_INSTANCES];
  struct db_port *writer_port; /* of a writer; freed with the world */
};

/* Sets up HOST_COUNT hosts, none running yet, in the failure domains given,
   and lists them in the platform.  */
void sim_control_init (struct sim_control *control, uint64_t seed,
                       size_t host_count, const char *const *domains);
/* Adds the database, one instance in each of DOMAINS, and configures it.  */
void sim_control_add_database (struct sim_control *control,
                               const char *const *domains);
const char *sim_control_instance_name (size_t instance);

void sim_control_clear (struct sim_control *control);

/* Starts host INDEX, with all other hosts as seeds if SEEDS.  A host that ran
   before starts as a new incarnation.  */
void sim_control_start (struct sim_control *control, size_t index, bool seeds);
void sim_control_start_all (struct sim_control *control);
void sim_control_kill (struct sim_control *control, size_t index);

/* Writes the platform's list from the hosts that run.  */
void sim_control_publish_hosts (struct sim_control *control);

/* Cuts or heals the network between hosts A and B.  */
void sim_control_cut (struct sim_control *control, size_t a, size_t b,
                      bool cut);

/* Cuts or heals host INDEX from all others, the platform and all
   instances.  */
void sim_control_isolate (struct sim_control *control, size_t index, bool cut);

/* Writes TEAM's configuration and the head of REVISION, as an operator's
   change would.  */
void sim_control_configure (struct sim_control *control, const char *team,
                            const char *json, uint64_t revision);

#endif
