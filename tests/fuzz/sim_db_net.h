/* sim_db_net - the database port of each host in a virtual run.

   Stands between a host and the instances: delays what passes, delivers
   through the host's inbox, and cuts hosts from instances.  What a cut
   swallowed is never delivered; the connection ends when the cut heals, or
   after a timeout.  */

#ifndef SAVORYWAY_TESTS_SIM_GATE_H
#define SAVORYWAY_TESTS_SIM_GATE_H

#include "port/db_port.h"
#include "sim_core.h"

#define SIM_INSTANCES 3

struct sim_db_net;
struct sim_db_net_conn;

struct sim_db_net_port
{
  struct db_port base;
  struct sim_db_net *db_net;
  struct sim_host *host;
  struct db_port *inner; /* as seen from the host's failure domain */
};

struct sim_db_net
{
  struct sim *sim;
  uint16_t first_port; /* instance i listens on first_port + i */
  uint64_t next_id;
  struct sim_db_net_port ports[SIM_HOSTS];
  struct sim_db_net_conn *conns;
  bool cut[SIM_HOSTS][SIM_INSTANCES];
};

/* The caller sets inner of each port.  */
void sim_db_net_init (struct sim_db_net *db_net, struct sim *sim,
                      uint16_t first_port);
void sim_db_net_clear (struct sim_db_net *db_net);

/* Cuts or joins a host and an instance.  */
void sim_db_net_cut (struct sim_db_net *db_net, size_t host, size_t instance,
                     bool cut);

/* Breaks all connections of a host that died.  */
void sim_db_net_kill (struct sim_db_net *db_net, size_t host);

/* Returns how many connections HOST has.  */
size_t sim_db_net_conns (const struct sim_db_net *db_net, size_t host);

#endif
