/* sim_platform - a simulated key-value service of the platform.

   One store with a platform_port for each host.  Faults: the service refuses
   calls, answers after the timeout, or loses an answer after the write took
   effect; a hook can select a fault for each call.  The list of hosts is set
   by the test and may be out of date.  */

#ifndef SAVORYWAY_TESTS_SIM_PLATFORM_H
#define SAVORYWAY_TESTS_SIM_PLATFORM_H

#include "port/platform_port.h"
#include "sim_core.h"

#define SIM_KEYS 32 /* limit on the keys of the store */

struct sim_platform;
struct sim_platform_call;

struct sim_platform_port
{
  struct platform_port base;
  struct sim_platform *platform;
  struct sim_host *host;
  uint64_t next_id;
};

struct sim_key
{
  char *key;
  char *value;
  size_t value_bytes;
  uint64_t index;
};

/* Fault of a call.  For reads only SIM_FAULT_REFUSED has an effect.  */
enum sim_fault
{
  SIM_FAULT_NONE,
  SIM_FAULT_LOST_AFTER,  /* takes effect, but the answer is lost */
  SIM_FAULT_LOST_BEFORE, /* the call is lost, without effect */
  SIM_FAULT_LATE,        /* the answer is lost; takes effect late_ms later */
  SIM_FAULT_REFUSED,
  SIM_FAULT_COUNT
};

struct sim_platform
{
  struct sim *sim;
  struct sim_platform_port ports[SIM_HOSTS];
  struct sim_key keys[SIM_KEYS]; /* sorted by key */
  size_t key_count;
  uint64_t index; /* of the latest write */
  struct platform_host hosts[SIM_HOSTS];
  size_t host_count;
  uint64_t hosts_index;
  struct sim_platform_call *calls;
  uint64_t writes;
  uint64_t reads;
  bool outage;           /* refuses calls */
  bool stalled;          /* executes calls, but answers after their timeout */
  bool lose_next_answer; /* of a write */
  enum sim_fault (*fault) (bool is_write); /* hook, or NULL */
  clk_ms late_ms;
  clk_ms delay_max_ms;
  bool cut[SIM_HOSTS]; /* hosts that cannot reach the service */
};

void sim_platform_init (struct sim_platform *platform, struct sim *sim);
void sim_platform_clear (struct sim_platform *platform);

/* Writes KEY unconditionally, at once.  */
void sim_platform_set (struct sim_platform *platform, const char *key,
                       const char *value);
/* Returns the value of KEY, or NULL.  */
const char *sim_platform_get (const struct sim_platform *platform,
                              const char *key);
/* Replaces the list of hosts.  */
void sim_platform_set_hosts (struct sim_platform *platform,
                             const struct platform_host *hosts, size_t count);
/* Cancels the calls of host INDEX, which has died.  Their writes still take
   effect.  */
void sim_platform_kill (struct sim_platform *platform, size_t index);

#endif
