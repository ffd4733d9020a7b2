/* A host stands still while the primary is replaced and replaced again by the
   first one, which has not applied all that it has received.  */

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "review/driver/driver.h"

#define HOSTS 3
#define FREEZE_LIMIT_MS 4000
#define LAG_MS 3500

static bool
has_other_primary (void *arg)
{
  return service_primary () != arg;
}

enum verdict
run_case (void)
{
  static const struct service_options options = { .name = SERVICE,
                                                  .receive_min_ms = 5,
                                                  .receive_max_ms = 5,
                                                  .apply_ms = 50,
                                                  .work_min_ms = 2,
                                                  .work_max_ms = 10,
                                                  .promote_ms = 300 };
  struct host *hosts[HOSTS];
  world_start (&options, hosts, HOSTS, false);
  run_for (4000);
  struct instance *first = service_primary (), *second = NULL;
  struct host *holder = world_duty_holder (hosts, HOSTS);
  /* A host that does not hold the duty stands still.  */
  struct host *frozen = holder == hosts[2] ? hosts[1] : hosts[2];
  struct host *other = hosts[0];
  struct client *reader = client_open ("reader", frozen->callers, DATABASE);
  struct client *writer = client_open ("writer", other->callers, DATABASE);
  client_query (writer, "WRITE 7 forty-bags");
  if (!client_is_ok (writer))
    unable ("no write before the disruption");
  client_query (reader, "READ 7");
  if (strstr (reader->reply, "forty") == NULL)
    unable ("no read before the disruption");
  run_for (300);
  long frozen_ms = now_ms ();
  if (trouble ())
    {
      service_set_apply_ms (LAG_MS);
      host_signal (frozen, SIGSTOP);
      instance_crash (first);
      if (!run_until (has_other_primary, first, 2500))
        unable ("no other primary");
      second = service_primary ();
      instance_return (first);
    }
  do
    client_query (writer, "WRITE 7 none-left");
  while (!client_is_ok (writer) && !writer->closed
         && now_ms () - frozen_ms < FREEZE_LIMIT_MS);
  if (!client_is_ok (writer))
    unable ("no write after the first change of primary");
  if (trouble ())
    {
      run_for (50);
      instance_crash (second);
      if (!run_until (has_other_primary, second, 2500))
        unable ("no third primary");
      if (service_primary () != first)
        unable ("another replica was promoted");
      host_signal (frozen, SIGCONT);
      if (now_ms () - frozen_ms > FREEZE_LIMIT_MS)
        unable ("the host stood still for too long");
      record ("%s stood still for %ld ms; %s has received and not applied %zu "
              "commits",
              frozen->name, now_ms () - frozen_ms, instance_id (first),
              instance_unapplied (first));
    }
  bool stale = false;
  for (int i = 0; i < 5 && !reader->closed && !stale; i++)
    {
      client_query (reader, "READ 7");
      stale = client_is_ok (reader)
              && strstr (reader->reply, "none-left") == NULL;
    }
  record ("%s", stale ? "the read on a primary route lacks an acknowledged "
                        "commit"
                      : "no read lacks the acknowledged commit");
  return stale ? VERDICT_BROKEN : VERDICT_HELD;
}
