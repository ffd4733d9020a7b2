#include "load_size.h"

#include "load_mix.h"

#define REPLICATION_LAG_MS 20
#define STATEMENT_MS 5

const struct size sizes[SIZE_COUNT] = {
  { .name = "Dagohoy",
    .hosts = 13,
    .domains = 4,
    .slots = 5,
    .connections = 70,
    .connect_ms = 10 },
  { .name = "Ardhi-Njia",
    .hosts = 13,
    .domains = 3,
    .slots = 2,
    .connections = 60,
    .connect_ms = 30 },
};

struct rig_options
size_options (const struct size *size, enum policy policy, uint64_t seed)
{
  return (struct rig_options){ .seed = seed,
                               .hosts = size->hosts,
                               .domains = size->domains,
                               .databases = 1,
                               .slots = size->slots,
                               .connections = size->connections,
                               .connect_ms = size->connect_ms,
                               .cost_ms = STATEMENT_MS,
                               .lag_ms = REPLICATION_LAG_MS,
                               .policy = policy,
                               .kinds = load_kinds,
                               .log_level = -1 };
}

const char *
size_policy_name (enum policy policy)
{
  return policy == POLICY_FULL ? "full" : "plain";
}
