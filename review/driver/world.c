#include <stdio.h>
#include <string.h>

#include "driver.h"

void
world_start (const struct service_options *options, struct host *hosts[],
             size_t count, bool one_zone)
{
  static const char *const ids[] = { "i-1a", "i-1b", "i-1c" };
  uint16_t store = store_start (), promote = promote_start ();
  service_new (options);
  for (size_t i = 0; i < sizeof ids / sizeof ids[0]; i++)
    {
      char zone[NAME];
      snprintf (zone, sizeof zone, "zone-%c", (char)('a' + i));
      instance_new (ids[i], zone, i == 0);
    }
  store_put_config (DATABASE, "primary", options->name,
                    options->sync_replicas);
  for (size_t i = 0; i < count; i++)
    {
      char name[NAME], zone[NAME];
      char letter = (char)(one_zone ? 'a' : 'a' + i);
      snprintf (name, sizeof name, "edge-%c-%zu", letter,
                one_zone ? i + 1 : 1);
      snprintf (zone, sizeof zone, "zone-%c", letter);
      hosts[i] = host_new (name, zone, store, promote);
      host_start (hosts[i]);
    }
  for (size_t i = 0; i < count; i++)
    if (!host_wait_ready (hosts[i], 15000))
      unable ("a host is not ready");
}

struct host *
world_duty_holder (struct host *const hosts[], size_t count)
{
  char value[LINE] = "";
  if (!store_get ("savoryway/duty", value, sizeof value))
    return NULL;
  for (size_t i = 0; i < count; i++)
    {
      size_t length = strlen (hosts[i]->name);
      if (strncmp (value, hosts[i]->name, length) == 0 && value[length] == ' ')
        return hosts[i];
    }
  return NULL;
}
