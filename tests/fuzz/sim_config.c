/* Simulated operators of a run: the initial configuration, changes of it, and
   the checks that accepted changes take effect.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/confedit.h"
#include "core/sync.h"
#include "core/view.h"
#include "kernel/mem.h"
#include "sim_run.h"

void
run_config_init (struct run *run)
{
  static const uint8_t salt[VIEW_SALT_BYTES] = { 7 };
  char hash[VIEW_SECRET_HASH_BYTES];
  char text[4096];
  view_secret_hash ("secret", salt, hash);
  snprintf (
      text, sizeof text,
      "{\"operators\": {\"clerk\": {\"secret_hash\": \"%s\"}},"
      "\"services\": {\"ledger\": {\"weight\": 1, \"callers\": {\"captain\":"
      "{\"secret_hash\": \"%s\"}}, \"kinds\": {"
      "\"release\": {\"freshness\": \"strong\", \"write\": true,"
      " \"repeatable\": false, \"ack\": \"majority\", \"deadline_ms\": 4000},"
      "\"note\": {\"freshness\": \"strong\", \"write\": true,"
      " \"repeatable\": false, \"ack\": \"primary\", \"deadline_ms\": 4000},"
      "\"audit\": {\"freshness\": \"strong\", \"write\": false,"
      " \"repeatable\": true, \"deadline_ms\": 3000},"
      "\"browse\": {\"freshness\": \"session\", \"write\": false,"
      " \"repeatable\": true, \"deadline_ms\": 3000},"
      "\"count\": {\"freshness\": \"max_age\", \"max_age_ms\": 2000,"
      " \"write\": false, \"repeatable\": true, \"deadline_ms\": 3000}},"
      "\"databases\": {\"db1\": {\"slots\": 3, \"connections\": 40,"
      " \"connect_cost_ms\": 10, \"instances\": {"
      "\"a\": {\"address\": \"127.0.0.1\", \"port\": 5001,"
      " \"domain\": \"north\"},"
      "\"b\": {\"address\": \"127.0.0.1\", \"port\": 5002,"
      " \"domain\": \"east\"},"
      "\"c\": {\"address\": \"127.0.0.1\", \"port\": 5003,"
      " \"domain\": \"south\"}}}}}}}",
      hash, hash);
  sim_platform_set (&run->platform, "savoryway/config/dago", text);
  sim_platform_set (&run->platform, "savoryway/head",
                    "{\"revision\": 1, \"changes\": [{\"revision\": 1,"
                    "\"team\": \"dago\", \"change_id\": \"first\","
                    "\"who\": \"clerk\", \"when_s\": 1}]}");
}

/* Limits required of the system: an accepted change is in force on all hosts,
   and an instance marked as leaving gets no new work.  */
#define CONFIG_LIMIT_MS 7000
#define LEAVING_LIMIT_MS 3000

/* A change of the configuration, submitted by an operator and in flight.  */
struct run_change
{
  struct run_change *next;
  struct run *run;
  size_t host;
  uint32_t weight;          /* 0 if it changes another setting */
  uint64_t revision_before; /* accepted at the time of submission */
};

static void
unlink_change (struct run_change *change)
{
  struct run_change **at = &change->run->pending;
  while (*at != change)
    at = &(*at)->next;
  *at = change->next;
}

static void
on_change_done (void *arg, const struct confedit_result *result)
{
  struct run_change *change = arg;
  struct run *run = change->run;
  run_note (run, "change %u at host %zu: %s revision %llu", change->weight,
            change->host, confedit_status_name (result->status),
            (unsigned long long)result->revision);
  if (result->status == CONFEDIT_DONE)
    {
      run->oracle.checked[PROMISE_CONFIG]++;
      if (result->revision <= change->revision_before)
        oracle_violation (&run->oracle, PROMISE_CONFIG,
                          "revision %llu was assigned before",
                          (unsigned long long)result->revision);
      if (result->revision > run->accepted)
        {
          run->accepted = result->revision;
          if (change->weight != 0)
            run->accepted_weight = change->weight;
        }
    }
  unlink_change (change);
  free (change);
}

static void
submit_change (struct run *run, size_t host, const char *path,
               const char *json, uint32_t weight)
{
  struct run_change *change = mem_zalloc (sizeof *change);
  change->run = run;
  change->host = host;
  change->weight = weight;
  change->revision_before = run->accepted;
  change->next = run->pending;
  run->pending = change;
  struct confedit_request request = { .action = CONFEDIT_SET,
                                      .team = "dago",
                                      .path = path,
                                      .json = json,
                                      .json_bytes = strlen (json),
                                      .who = "clerk",
                                      .secret = "secret",
                                      .when_s = 1 };
  run_note (run, "operator at host %zu sets %s to %s", host, path, json);
  confedit_submit (node_confedit (run->hosts[host].node), &request,
                   on_change_done, change);
}

/* Sets the service's weight to a value not used before in the run.  */
void
run_config_change (struct run *run, size_t host)
{
  char json[32];
  if (!run->sim.hosts[host].alive)
    return;
  uint32_t weight = 2 + run->changes++;
  snprintf (json, sizeof json, "%u", weight);
  submit_change (run, host, "services/ledger/weight", json, weight);
}

void
run_config_check_leaving (struct run *run, size_t instance)
{
  char path[64];
  uint64_t accepted = run->accepted;
  snprintf (path, sizeof path,
            "services/ledger/databases/db1/instances/%c/leaving",
            (char)('a' + instance));
  submit_change (run, 0, path, "true", 0);
  sim_run (&run->sim, CONFIG_LIMIT_MS + LEAVING_LIMIT_MS);
  if (run->accepted == accepted)
    oracle_violation (&run->oracle, PROMISE_LEAVING,
                      "the change was not accepted");
  uint64_t served = sim_instance_served (run->instances[instance]);
  for (size_t i = 0; i < RUN_HOSTS; i++)
    run_read_latest (run, i, i % ORACLE_SESSIONS, FRESHNESS_SESSION);
  sim_run (&run->sim, LEAVING_LIMIT_MS);
  run_write (run, 0, 0);
  sim_run (&run->sim, LEAVING_LIMIT_MS);
  run->oracle.checked[PROMISE_LEAVING]++;
  if (sim_instance_served (run->instances[instance]) != served)
    oracle_violation (&run->oracle, PROMISE_LEAVING,
                      "instance %zu got work while leaving", instance);
}

void
run_config_disconnect (struct run *run, size_t host)
{
  struct run_change *next;
  for (struct run_change *change = run->pending; change; change = next)
    {
      next = change->next;
      if (host != SIZE_MAX && change->host != host)
        continue;
      unlink_change (change);
      free (change);
    }
}

static void
check_host (struct run *run, size_t i, bool settled)
{
  struct run_host *host = &run->hosts[i];
  uint64_t revision = sync_revision (node_sync (host->node));
  const struct view_service *service
      = view_service (node_view (host->node), "dago/ledger");
  run->oracle.checked[PROMISE_CONFIG]++;
  if (revision < host->revision)
    oracle_violation (&run->oracle, PROMISE_CONFIG,
                      "host %zu went from revision %llu to %llu", i,
                      (unsigned long long)host->revision,
                      (unsigned long long)revision);
  host->revision = revision;
  if (settled && (service == NULL || revision < run->accepted))
    oracle_violation (&run->oracle, PROMISE_CONFIG,
                      "host %zu has revision %llu, accepted was %llu", i,
                      (unsigned long long)revision,
                      (unsigned long long)run->accepted);
  /* A subtree that was read just after the next change is briefly ahead of
     the revision, so contents are compared only once settled.  */
  bool comparable = settled && revision == run->accepted && run->accepted > 0;
  if (comparable && service != NULL && service->weight != run->accepted_weight)
    oracle_violation (&run->oracle, PROMISE_CONFIG,
                      "host %zu has weight %u at revision %llu, not %u", i,
                      service->weight, (unsigned long long)revision,
                      run->accepted_weight);
}

/* Checks that the revision in force on a host never decreases between its
   restarts and, once settled, that the accepted configuration is in force on
   all hosts.  */
void
run_config_check (struct run *run, bool settled)
{
  for (size_t i = 0; i < RUN_HOSTS; i++)
    if (run->hosts[i].node != NULL)
      check_host (run, i, settled);
  if (settled && run->pending != NULL)
    oracle_violation (&run->oracle, PROMISE_NO_LEAK,
                      "a configuration change was never answered");
}
