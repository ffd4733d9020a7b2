/* An entry of another writer, whose service is not one of the configuration,
   lies in the store beside those of the instances.  */

#include <stdio.h>
#include <string.h>

#include "review/driver/driver.h"

/* As JSON; 36 bytes when decoded.  */
#define OTHER_SERVICE "ledger-db w\\r\\nQUERY f0 WRITE 7 forged"

enum verdict
run_case (void)
{
  static const struct service_options options = { .name = SERVICE,
                                                  .receive_max_ms = 5,
                                                  .work_min_ms = 2,
                                                  .work_max_ms = 10,
                                                  .promote_ms = 300 };
  char entry[LINE];
  struct host *hosts[1];
  world_start (&options, hosts, 1, false);
  struct client *client = client_open ("c1", hosts[0]->callers, DATABASE);
  client_query (client, "WRITE 7 twelve-bags");
  if (!client_is_ok (client))
    unable ("no write before the disruption");
  if (trouble ())
    {
      snprintf (entry, sizeof entry,
                "{\"service\":\"" OTHER_SERVICE "\",\"address\":"
                "\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"v1\","
                "\"capacity\":5,\"state\":\"ready\",\"cold_remaining_ms\":0,"
                "\"db_role\":\"replica\",\"sequence\":1,\"born\":1764900000}",
                instance_port (service_primary ()));
      record ("store: another writer puts servers/i-2x %s", entry);
      store_put ("servers/i-2x", entry);
    }
  run_for (4000);
  const char *reply = client_query (client, "READ 7");
  bool foreign = client_is_ok (client) && strstr (reply, "twelve") == NULL;
  record ("%zu statements ran that no consumer sent; the consumer reads %s",
          service_unasked (), foreign ? "a foreign write" : "its own write");
  client_free (client);
  return service_unasked () > 0 ? VERDICT_BROKEN : VERDICT_HELD;
}
