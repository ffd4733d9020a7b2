/* Two of the three hosts of a zone get SIGTERM.  The platform goes on
   forwarding new connections to all three, as fewer than half of them are in
   rotation.  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/driver/driver.h"

#define HOSTS 3
#define LEAVING 2
#define ARRIVAL_MS 6 /* between new sessions */
#define GRACE_MS 6000
/* A request that is sent sooner after SIGTERM may be cut at the end.  */
#define EXCUSED_MS 3000

struct visit
{
  struct client *client;
  size_t host;
  bool asked;
};

static struct host *hosts[HOSTS];
static unsigned misses[HOSTS];
static long term_ms = -1;
static bool arrivals = true;
static unsigned visit_count;
static unsigned unanswered;
static unsigned served;

/* The platform asks each host once a second.  */
static void
probe (void *arg)
{
  (void)arg;
  for (size_t i = 0; i < HOSTS; i++)
    {
      bool in_rotation = misses[i] < 2;
      misses[i] = host_is_ready (hosts[i]) ? 0 : misses[i] + 1;
      if (in_rotation != (misses[i] < 2))
        record ("platform: %s is %s rotation", hosts[i]->name,
                in_rotation ? "out of" : "in");
    }
  if (arrivals)
    after (1000, probe, NULL);
}

/* Returns the host for a new connection: one in rotation, or any of the zone
   if fewer than half are.  */
static size_t
choose (void)
{
  size_t in_rotation = 0, at;
  for (size_t i = 0; i < HOSTS; i++)
    in_rotation += misses[i] < 2;
  bool all = 2 * in_rotation < HOSTS;
  do
    at = (size_t)chance (HOSTS);
  while (!all && misses[at] >= 2);
  return at;
}

static void
end_visit (void *arg)
{
  struct visit *visit = arg;
  client_free (visit->client);
  free (visit);
}

static void
on_changed (struct client *client)
{
  struct visit *visit = client->arg;
  if (client->closed)
    {
      bool asked_late = term_ms >= 0 && client->sent_ms - term_ms > EXCUSED_MS;
      if (client->waiting && visit->host < LEAVING && asked_late
          && client->ended_ms - term_ms <= GRACE_MS + 1000)
        unanswered++;
      client->changed = NULL;
      after (0, end_visit, visit);
      return;
    }
  if (!visit->asked)
    {
      char text[NAME];
      visit->asked = true;
      snprintf (text, sizeof text, "WRITE %u w%u", visit_count % 64,
                visit_count);
      client_send (client, text);
      return;
    }
  served += client_is_ok (client);
  client->changed = NULL;
  after (0, end_visit, visit);
}

static void
arrive (void *arg)
{
  (void)arg;
  struct visit *visit = calloc (1, sizeof *visit);
  char name[NAME];
  if (visit == NULL)
    unable ("memory");
  snprintf (name, sizeof name, "c%u", ++visit_count);
  visit->host = choose ();
  visit->client = client_open (name, hosts[visit->host]->callers, DATABASE);
  visit->client->arg = visit;
  visit->client->changed = on_changed;
  if (arrivals)
    after (ARRIVAL_MS, arrive, NULL);
}

enum verdict
run_case (void)
{
  static const struct service_options options = { .name = SERVICE,
                                                  .receive_max_ms = 5,
                                                  .work_min_ms = 20,
                                                  .work_max_ms = 300,
                                                  .promote_ms = 300 };
  int exit_code;
  world_start (&options, hosts, HOSTS, true);
  probe (NULL);
  arrive (NULL);
  run_for (5000);
  if (served == 0)
    unable ("no write before the disruption");
  if (trouble ())
    {
      term_ms = now_ms ();
      for (size_t i = 0; i < LEAVING; i++)
        host_signal (hosts[i], SIGTERM);
    }
  run_for (GRACE_MS + 1500);
  for (size_t i = 0; trouble () && i < LEAVING; i++)
    if (!host_has_ended (hosts[i], &exit_code))
      record ("host %s: still runs after the grace", hosts[i]->name);
  arrivals = false;
  run_for (1500);
  record ("%u sessions, %u writes served; %u requests, sent over %d ms after "
          "SIGTERM, got no answer as the host ended",
          visit_count, served, unanswered, EXCUSED_MS);
  return unanswered > 0 ? VERDICT_BROKEN : VERDICT_HELD;
}
