/* load_size - sizes of the users' installations, for simulations.  */

#ifndef SAVORYWAY_BENCH_LOAD_SIZE_H
#define SAVORYWAY_BENCH_LOAD_SIZE_H

#include "sim_rig.h"

#define SIZE_COUNT 2

struct size
{
  const char *name;
  size_t hosts;
  size_t domains;
  uint32_t slots;       /* of each instance */
  uint32_t connections; /* limit of each instance */
  clk_ms connect_ms;
};

extern const struct size sizes[SIZE_COUNT];

/* Returns the options of a rig of SIZE with one database and the request kinds
   of load_mix.  */
struct rig_options size_options (const struct size *size, enum policy policy,
                                 uint64_t seed);

const char *size_policy_name (enum policy policy);

#endif
