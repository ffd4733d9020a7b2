/* bench_config - latency of configuration changes over 13 hosts.

   Measures the time from the request to its acceptance, the time from there
   until the change is in force on all hosts, and the platform calls that it
   takes.  Hosts are processes on loopback; consecutive changes go to different
   hosts.  The platform answers normally, then slowly, and then loses its
   answers to writes.  */

#include "../tests/standin/standin_host.h"

#define HOSTS 13
#define DOMAINS 4
#define CHANGES 100
#define SLOW_CHANGES 30
#define SLOW_MS 200 /* response time of the slow platform */
#define SECRET "bench-secret"
#define TEAM "bench"
#define IN_FORCE_TARGET_MS 2000
#define POLL_US 2000 /* between two status requests to a host */

struct running_host
{
  struct host process;
  uint16_t operator_port;
};

static struct running_host hosts[HOSTS];
static uint16_t platform;

static void
start_host (size_t i)
{
  struct running_host *host = &hosts[i];
  char *name = mem_printf ("h%zu", i);
  char *domain = mem_printf ("d%zu", i % DOMAINS);
  char *argv[] = { NULL,
                   "run",
                   mem_printf ("--host=%s", name),
                   mem_printf ("--domain=%s", domain),
                   mem_printf ("--platform-port=%u", platform),
                   "--incarnation=7",
                   "--caller-port=0",
                   "--operator-port=0",
                   "--rpc-port=0",
                   NULL };
  host_start (&host->process, argv);
  host->operator_port = host_port (&host->process, "operators");
  platform_put_host (platform, name, domain,
                     host_port (&host->process, "hosts"), "7");
  for (int k = 2; k <= 4; k++)
    free (argv[k]);
  free (name);
  free (domain);
}

/* Sets a weight through HOST.  Returns the revision of the change.  */
static uint64_t
set_weight (const struct running_host *host, int value)
{
  struct http_client_response answer;
  char *body
      = mem_printf ("{\"action\":\"set\",\"team\":\"" TEAM "\",\"path\":"
                    "\"services/s/weight\",\"value\":%d}",
                    value);
  const struct http_client_request request = { .method = "POST",
                                               .address = "127.0.0.1",
                                               .port = host->operator_port,
                                               .path = "/v1/config/change",
                                               .user = "ann",
                                               .password = SECRET,
                                               .body = body,
                                               .body_bytes = strlen (body) };
  http_client_call (&request, &answer);
  char *found = strstr (answer.body, "\"revision\":");
  standin_require (answer.status == 200 && found != NULL, answer.body);
  uint64_t revision = strtoull (found + strlen ("\"revision\":"), NULL, 10);
  http_client_response_clear (&answer);
  free (body);
  return revision;
}

static uint64_t
revision_of (const struct running_host *host)
{
  char *text = NULL;
  uint64_t revision = 0;
  host_request (host->operator_port, "GET", "/v1/status", NULL, &text);
  char *found = strstr (text, "\"config_revision\":");
  if (found != NULL)
    revision = strtoull (found + strlen ("\"config_revision\":"), NULL, 10);
  free (text);
  return revision;
}

static void
wait_in_force_everywhere (uint64_t revision)
{
  double deadline_ms = host_now_ms () + HOST_WAIT_MS;
  for (size_t i = 0; i < HOSTS; i++)
    while (revision_of (&hosts[i]) < revision)
      {
        standin_require (host_now_ms () < deadline_ms,
                         "wait for a change on all hosts");
        usleep (POLL_US);
      }
}

static int64_t
platform_counter (const char *name)
{
  char *text = NULL;
  char *key = mem_printf ("\"%s\": ", name);
  host_request (platform, "GET", "/control", NULL, &text);
  char *found = strstr (text, key);
  int64_t value = found != NULL ? strtoll (found + strlen (key), NULL, 10) : 0;
  free (key);
  free (text);
  return value;
}

static int64_t
platform_calls (void)
{
  static const char *const names[]
      = { "get", "list", "hosts", "watch", "write" };
  int64_t sum = 0;
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    sum += platform_counter (names[i]);
  return sum;
}

static int
compare_times (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;
  return (left > right) - (left < right);
}

static void
print_times (const char *case_name, const char *time_name, double *times,
             size_t count)
{
  qsort (times, count, sizeof *times, compare_times);
  printf ("bench=config hosts=%d case=%s time=%s changes=%zu p50_ms=%.0f "
          "p99_ms=%.0f max_ms=%.0f\n",
          HOSTS, case_name, time_name, count, times[count / 2],
          times[count * 99 / 100], times[count - 1]);
}

static void
measure (const char *case_name, const char *control, size_t count)
{
  static int value = 1;
  double accepted[CHANGES], in_force[CHANGES];
  int64_t calls = platform_calls ();
  double begin_ms = host_now_ms ();
  for (size_t i = 0; i < count; i++)
    {
      host_request (platform, "PUT", control, NULL, NULL);
      double start_ms = host_now_ms ();
      uint64_t revision = set_weight (&hosts[i % HOSTS], 1 + value++ % 1000);
      accepted[i] = host_now_ms () - start_ms;
      start_ms = host_now_ms ();
      wait_in_force_everywhere (revision);
      in_force[i] = host_now_ms () - start_ms;
    }
  double span_s = (host_now_ms () - begin_ms) / 1000;
  calls = platform_calls () - calls;
  host_request (platform, "PUT", "/control?slow_ms=0&lose=0", NULL, NULL);
  print_times (case_name, "asked_to_accepted", accepted, count);
  print_times (case_name, "accepted_to_in_force", in_force, count);
  printf ("bench=config hosts=%d case=%s platform_calls_a_change=%.1f "
          "changes_a_second=%.1f target_in_force_p99_ms=%d\n",
          HOSTS, case_name, (double)calls / (double)count,
          (double)count / span_s, IN_FORCE_TARGET_MS);
}

static void
put_team (void)
{
  static const uint8_t salt[VIEW_SALT_BYTES];
  char hash[VIEW_SECRET_HASH_BYTES];
  view_secret_hash (SECRET, salt, hash);
  char *team = mem_printf ("{\"operators\": {\"ann\": {\"secret_hash\": "
                           "\"%s\"}}, \"services\": {\"s\": {}}}",
                           hash);
  platform_put_key (platform, "savoryway/config/" TEAM, team);
  platform_put_key (platform, "savoryway/head",
                    "{\"revision\": 1, \"changes\": [{\"revision\": 1, "
                    "\"team\": \"" TEAM "\", \"change_id\": \"1\", \"who\": "
                    "\"bench\", \"when_s\": 0}]}");
  free (team);
}

int
main (void)
{
  struct standin standin;
  char *argv[] = { NULL, NULL };
  char slow[64];
  setvbuf (stdout, NULL, _IOLBF, 0);
  standin_require (sodium_init () >= 0, "sodium");
  standin_spawn (&standin, "platform_standin", argv);
  platform = standin_port (&standin, "port=");
  put_team ();
  for (size_t i = 0; i < HOSTS; i++)
    start_host (i);
  for (size_t i = 0; i < HOSTS; i++)
    host_wait_ready (hosts[i].operator_port, "/readyz");
  snprintf (slow, sizeof slow, "/control?slow_ms=%d", SLOW_MS);
  measure ("quiet", "/control?lose=0", CHANGES);
  measure ("slow_200_ms", slow, SLOW_CHANGES);
  measure ("answers_lost", "/control?lose=1", CHANGES);
  for (size_t i = 0; i < HOSTS; i++)
    kill (hosts[i].process.pid, SIGTERM);
  for (size_t i = 0; i < HOSTS; i++)
    standin_require (host_wait_exit (&hosts[i].process) == 0,
                     "clean exit of a host");
  standin_stop (&standin);
  return 0;
}
