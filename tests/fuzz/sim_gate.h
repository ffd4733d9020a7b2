/* sim_gate - the simulated network between hosts and database instances.

   Wraps the db_port of each host: delays results, delivers them through the
   host's inbox, and can cut a host from an instance.  Jobs and results lost
   to a cut are never delivered.  Their connection is closed when the cut is
   healed; a connection opened or used during the cut is closed 5 s later at
   the latest.  */

#ifndef SAVORYWAY_TESTS_SIM_GATE_H
#define SAVORYWAY_TESTS_SIM_GATE_H

#include "port/db_port.h"
#include "sim_core.h"

#define SIM_INSTANCES 3

struct sim_gate;
struct sim_gate_conn;

struct sim_gate_port
{
  struct db_port base;
  struct sim_gate *gate;
  struct sim_host *host;
  struct db_port *inner; /* as seen from the host's failure domain */
};

struct sim_gate
{
  struct sim *sim;
  uint16_t first_port; /* instance i listens on first_port + i */
  uint64_t next_id;
  struct sim_gate_port ports[SIM_HOSTS];
  struct sim_gate_conn *conns;
  bool cut[SIM_HOSTS][SIM_INSTANCES]; /* host cut from instance */
};

/* Sets up one port a host.  The caller must set inner of each port before its
   first use.  */
void sim_gate_init (struct sim_gate *gate, struct sim *sim,
                    uint16_t first_port);
/* Frees all connections.  The inner ports stay the caller's.  */
void sim_gate_clear (struct sim_gate *gate);

/* Cuts or heals the network between a host and an instance.  */
void sim_gate_cut (struct sim_gate *gate, size_t host, size_t instance,
                   bool cut);

/* Frees all connections of a dead host, without calling it.  */
void sim_gate_kill (struct sim_gate *gate, size_t host);

/* Returns the number of connections of HOST.  */
size_t sim_gate_conns (const struct sim_gate *gate, size_t host);

#endif
