/* A primary is cut off from three of five hosts, among them the holder of the
   duty, whose process is killed at the same moment and starts again.  The
   service waits for one replica before it acknowledges a commit.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/driver/driver.h"

#define HOSTS 5
#define WRITERS 6
#define RESTART_MS 400
#define CUT_HOSTS 3
#define CUT_MS 5000 /* at most */
/* The disruption comes again until an acknowledged write is lost, or the time
   is up.  */
#define END_MS 105000
#define CALM_MS 20000 /* without it */
#define GAP_MS 10     /* between the writes of one consumer */

struct writer
{
  struct client *client;
  uint16_t port;
  bool stopped;
  unsigned number;
};

static struct writer writers[WRITERS];
/* Ids of the writes that were acknowledged to their consumers.  */
static char acked[65536][NAME];
static size_t acked_count;

static void open_session (struct writer *writer);

static void
write_next (void *arg)
{
  struct writer *writer = arg;
  char text[NAME];
  if (writer->stopped || writer->client == NULL || writer->client->closed
      || writer->client->waiting)
    return;
  snprintf (text, sizeof text, "WRITE %zu w%u", (size_t)(writer - writers),
            ++writer->number);
  client_send (writer->client, text);
}

static void
reopen (void *arg)
{
  struct writer *writer = arg;
  if (writer->client != NULL)
    client_free (writer->client);
  writer->client = NULL;
  if (!writer->stopped)
    open_session (writer);
}

static void
on_changed (struct client *client)
{
  struct writer *writer = client->arg;
  if (client->closed)
    {
      after (100, reopen, writer);
      return;
    }
  if (client->id[0] != '\0' && client_is_ok (client)
      && acked_count < sizeof acked / sizeof acked[0])
    memcpy (acked[acked_count++], client->id, NAME);
  after (GAP_MS, write_next, writer);
}

static void
open_session (struct writer *writer)
{
  char name[NAME];
  snprintf (name, sizeof name, "c%zu", (size_t)(writer - writers) + 1);
  writer->client = client_open (name, writer->port, DATABASE);
  writer->client->changed = on_changed;
  writer->client->arg = writer;
}

static void
start_again (void *arg)
{
  host_start (arg);
}

static size_t lost_acked;

static void
count_lost (void *arg, const struct commit *commit)
{
  (void)arg;
  for (size_t i = 0; i < acked_count; i++)
    if (strcmp (acked[i], commit->id) == 0)
      {
        lost_acked++;
        record ("%s was acknowledged to its consumer, and the instance that "
                "was promoted lacks it",
                commit->id);
      }
}

static bool
has_holder (void *arg)
{
  return world_duty_holder (arg, HOSTS) != NULL;
}

/* Lets the consumers use the hosts KEPT.  */
static void
move_writers (struct host *kept[], size_t count)
{
  for (size_t i = 0; i < WRITERS; i++)
    {
      writers[i].port = kept[i % count]->callers;
      reopen (&writers[i]);
    }
}

static bool
is_replaced (void *arg)
{
  return service_primary () != arg;
}

static void
disrupt (struct host *hosts[HOSTS])
{
  struct host *leader = world_duty_holder (hosts, HOSTS);
  struct host *cut[CUT_HOSTS], *kept[HOSTS];
  size_t cut_count = 0, kept_count = 0;
  struct instance *old = service_primary ();
  if (leader == NULL || old == NULL)
    unable ("no holder of the duty, or no primary");
  cut[cut_count++] = leader;
  for (size_t i = 0; i < HOSTS; i++)
    if (hosts[i] != leader && cut_count < CUT_HOSTS)
      cut[cut_count++] = hosts[i];
    else if (hosts[i] != leader)
      kept[kept_count++] = hosts[i];
  move_writers (kept, kept_count);
  run_for (1000);
  if (!trouble ())
    {
      run_for (1500);
      return;
    }
  for (size_t i = 0; i < cut_count; i++)
    instance_cut (old, cut[i]->name, true);
  if (getenv ("KEEP_HOLDER") == NULL)
    {
      host_kill (leader);
      after (RESTART_MS, start_again, leader);
    }
  run_until (is_replaced, old, CUT_MS - 500);
  run_for (300);
  for (size_t i = 0; i < cut_count; i++)
    instance_cut (old, cut[i]->name, false);
}

enum verdict
run_case (void)
{
  static const struct service_options options = { .name = SERVICE,
                                                  .sync_replicas = 1,
                                                  .receive_min_ms = 1,
                                                  .receive_max_ms = 120,
                                                  .work_min_ms = 2,
                                                  .work_max_ms = 10,
                                                  .promote_ms = 300 };
  struct host *hosts[HOSTS];
  world_start (&options, hosts, HOSTS, false);
  while (lost_acked == 0 && now_ms () < (trouble () ? END_MS : CALM_MS))
    {
      if (!run_until (has_holder, hosts, 10000))
        unable ("no host holds the duty");
      run_for (500);
      disrupt (hosts);
      run_for (800);
      if (acked_count == 0)
        unable ("no write was served");
      lost_acked = 0;
      service_each_lost (count_lost, NULL);
    }
  for (size_t i = 0; i < WRITERS; i++)
    writers[i].stopped = true;
  record ("%zu writes were acknowledged to consumers, %zu of them are lost",
          acked_count, lost_acked);
  return lost_acked > 0 ? VERDICT_BROKEN : VERDICT_HELD;
}
