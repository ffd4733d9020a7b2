/* sim_db_net - the simulated network between hosts and database instances.

   Wraps the db_port of each host: delays results, delivers them through the
   host's inbox, and can cut a host from an instance.  Jobs and results lost
   to a cut are never delivered.  Their connection is closed when the cut is
   healed; a connection opened or used during the cut is closed 5 s later at
   the latest.  */

#ifndef SAVORYWAY_TESTS_SIM_DB_NET_H
#define SAVORYWAY_TESTS_SIM_DB_NET_H

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
  bool cut[SIM_HOSTS][SIM_INSTANCES]; /* host cut from instance */
};

/* Sets up one port a host.  The caller must set inner of each port before its
   first use.  */
void sim_db_net_init (struct sim_db_net *db_net, struct sim *sim,
                      uint16_t first_port);
/* Frees all connections.  The inner ports stay the caller's.  */
void sim_db_net_clear (struct sim_db_net *db_net);

/* Cuts or heals the network between a host and an instance.  */
void sim_db_net_cut (struct sim_db_net *db_net, size_t host, size_t instance,
                     bool cut);

/* Frees all connections of a dead host, without calling it.  */
void sim_db_net_kill (struct sim_db_net *db_net, size_t host);

/* Returns the number of connections of HOST.  */
size_t sim_db_net_conns (const struct sim_db_net *db_net, size_t host);

#endif
