/* sim_net - the simulated network between hosts: a peer_port for each.

   Messages are encoded and decoded with XDR, as between processes.  Delays
   are random, so calls and replies may be reordered.  A message lost to a cut
   gives no error; its call times out.  Calls to a dead host fail at once.  */

#ifndef SAVORYWAY_TESTS_SIM_NET_H
#define SAVORYWAY_TESTS_SIM_NET_H

#include "port/peer_port.h"
#include "sim_core.h"

struct sim_net_call;
struct sim_net;

struct sim_net_port
{
  struct peer_port base;
  struct sim_net *net;
  struct sim_host *host;
  peer_handler handler;
  void *handler_arg;
  uint64_t next_id;
  struct sim_net_call *calls; /* calls of this host in flight */
};

struct sim_net
{
  struct sim *sim;
  clk_ms delay_min_ms;
  clk_ms delay_max_ms;
  uint32_t lose_permille; /* share of messages that are lost */
  struct sim_net_port ports[SIM_HOSTS];
};

/* Sets up one port a host, with delays of 1 to 3 ms and no loss.  */
void sim_net_init (struct sim_net *net, struct sim *sim);

/* Returns the address of host INDEX.  Its port number is INDEX + 1.  */
struct peer_address sim_net_address (size_t index, uint64_t incarnation);

/* Drops all calls of a dead host and fails the calls made to it.  */
void sim_net_kill (struct sim_net *net, size_t index);

/* Returns the number of calls in flight.  */
size_t sim_net_pending (const struct sim_net *net);

#endif
