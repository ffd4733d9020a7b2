/* world CASE PROGRAM RECORD LOGS - plays one case, with PROGRAM as the hosts.
   Writes what was sent, answered and run to the file RECORD, and the logs of
   the hosts to the folder LOGS.  Exits with 1 if the rule was broken, 0 if it
   held, and 2 if the case could not run.  With TROUBLE=0 in the environment it
   leaves out the disruption.  */

#include "world.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define START_LIMIT_MS 15000
/* The hosts end with this process.  */
#define CASE_LIMIT_S 115
#define HELD 0
#define BROKEN 1
#define NOT_RUN 2

struct event_base *base;
static FILE *record_file;
static double start_ms;
static bool trouble = true;
static int result = NOT_RUN;

static double
clock_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

double
now_ms (void)
{
  return clock_ms () - start_ms;
}

void
record (const char *format, ...)
{
  va_list arguments;
  if (record_file == NULL)
    return;
  fprintf (record_file, "%10.1f ", now_ms ());
  va_start (arguments, format);
  vfprintf (record_file, format, arguments);
  va_end (arguments);
  fputc ('\n', record_file);
}

struct deferred
{
  void (*fn) (void *arg);
  void *arg;
  struct event *timer;
};

static void
on_deferred (evutil_socket_t fd, short what, void *arg)
{
  struct deferred *deferred = arg;
  void (*fn) (void *) = deferred->fn;
  void *fn_arg = deferred->arg;
  (void)fd;
  (void)what;
  event_free (deferred->timer);
  free (deferred);
  fn (fn_arg);
}

void
run_after (double after_ms, void (*fn) (void *arg), void *arg)
{
  struct deferred *deferred = malloc (sizeof *deferred);
  struct timeval span
      = { .tv_sec = (time_t)(after_ms / 1000),
          .tv_usec = (suseconds_t)(after_ms * 1000) % 1000000 };
  *deferred = (struct deferred){ fn, arg, NULL };
  deferred->timer = evtimer_new (base, on_deferred, deferred);
  evtimer_add (deferred->timer, &span);
}

double
random_unit (void)
{
  return (double)random () / ((double)RAND_MAX + 1);
}

/* Ports below those that the system gives to outgoing connections: otherwise
   one of these could take the port of an instance that is down.  */
#define FIRST_PORT 12000
#define PORT_COUNT 18000

uint16_t
free_port (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  for (int i = 0; i < PORT_COUNT; i++)
    {
      uint16_t port = (uint16_t)(FIRST_PORT + random () % PORT_COUNT);
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      address.sin_port = htons (port);
      bool is_free
          = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
      close (fd);
      if (is_free)
        return port;
    }
  abort ();
}

/* Plays the world for SPAN_MS.  */
static void
play (double span_ms)
{
  struct timeval span = { .tv_sec = (time_t)(span_ms / 1000),
                          .tv_usec = (suseconds_t)(span_ms * 1000) % 1000000 };
  event_base_loopexit (base, &span);
  event_base_dispatch (base);
}

static void
put_config (unsigned sync_replicas)
{
  static const char *const kinds[]
      = { "primary", "read_your_writes", "bounded_staleness" };
  static const char *const databases[] = { "releases", "loading", "counts" };
  static const int staleness[] = { 0, 2500, 1500 };
  char text[2000];
  int used = snprintf (text, sizeof text, "{\"version\":3,\"routes\":[");
  for (int i = 0; i < 3; i++)
    used += snprintf (text + used, sizeof text - (size_t)used,
                      "%s{\"name\":\"r%d\",\"host\":\"%s\",\"kind\":\"%s\","
                      "\"timeout_ms\":1000,\"target_latency_ms\":400,"
                      "\"priority\":%d,\"service\":\"" SERVICE "\","
                      "\"max_staleness_ms\":%d}",
                      i > 0 ? "," : "", i, databases[i], kinds[i],
                      i == 0 ? 1 : 2, staleness[i]);
  snprintf (text + used, sizeof text - (size_t)used,
            "],\"services\":[{\"name\":\"" SERVICE "\",\"max_conns\":72,"
            "\"sync_replicas\":%u}],\"limits\":{\"tx_idle_ms\":5000,"
            "\"max_body_bytes\":1048576}}",
            sync_replicas);
  store_put ("op/config", text);
}

static bool
wait_ready (void)
{
  double limit_ms = now_ms () + START_LIMIT_MS;
  while (!hosts_ready () && now_ms () < limit_ms)
    play (100);
  record ("hosts ready: %d", hosts_ready ());
  return hosts_ready ();
}

static bool
start (const struct world_settings *settings, const char *program,
       const char *directory)
{
  instances_open (settings);
  put_config (settings->sync_replicas);
  hosts_start (program, directory);
  if (!wait_ready ())
    return false;
  play (1500); /* the hosts find each other, and one takes the duty */
  return true;
}

/* A message that holds a byte of value zero.  */
static int
play_zero_byte (void)
{
  static const char whole[] = "WRITE 17 40bags\0for-the-north-gate";
  static const char plain[] = "WRITE 17 40bags for-the-north-gate";
  const char *text = trouble ? whole : plain;
  size_t length = sizeof whole - 1, ran_length = 0;
  consumers_send_raw (0, "5c0e7a21d94b36f8", text, length);
  play (3000);
  const char *ran = instances_ran ("5c0e7a21d94b36f8", &ran_length);
  record ("sent %zu bytes", length);
  if (ran == NULL)
    {
      record ("no instance ran the statement");
      return trouble ? HELD : NOT_RUN;
    }
  record ("ran %zu bytes: %s", ran_length, ran);
  return ran_length == length && memcmp (ran, text, length) == 0 ? HELD
                                                                 : BROKEN;
}

#define RECOVER_MS 12000
#define JUDGED_MS 15000

/* Kills all hosts, starts them again, and judges what is served later than
   RECOVER_MS after that.  TRAFFIC_MS is the start of the traffic.  */
static int
play_final_fault (double traffic_ms)
{
  struct consumer_counts before, after;
  instances_describe ();
  record ("the final fault");
  double fault_ms = now_ms ();
  hosts_signal_all (SIGKILL);
  play (1200);
  for (int i = 0; i < HOSTS; i++)
    hosts_start_one (i);
  double back_ms = now_ms ();
  play (RECOVER_MS);
  instances_describe ();
  double judged_ms = now_ms ();
  play (JUDGED_MS);
  instances_describe ();
  before = consumers_count (traffic_ms, fault_ms);
  after = consumers_count (judged_ms, back_ms + RECOVER_MS + JUDGED_MS - 1500);
  record ("before the final fault: %u of %u served", before.served,
          before.sent);
  record ("later than recovery_s after it: %u of %u served", after.served,
          after.sent);
  if (before.sent == 0 || after.sent == 0 || 4 * before.served < before.sent)
    return NOT_RUN;
  return 4 * after.served < after.sent ? BROKEN : HELD;
}

/* A primary is down for a while in which the call to promote is down; later
   all processes are killed.  */
static int
play_paused (void)
{
  consumers_start (10, 150, 1.0);
  double traffic_ms = now_ms ();
  play (10000);
  if (trouble)
    {
      int primary = instances_leader ();
      instances_set_call_down (true);
      play (300);
      instances_crash (primary);
      play (5000);
      instances_back (primary);
      play (1600);
      instances_set_call_down (false);
    }
  else
    play (6900);
  play (4000);
  return play_final_fault (traffic_ms);
}

/* The primary leaves as planned; the order that promotes its successor gets no
   answer and is carried out late.  */
static int
play_late (void)
{
  consumers_start (12, 60, 2.0);
  play (4000);
  if (trouble)
    instances_delay_next_order (9000);
  instances_announce_leaving (instances_leader ());
  play (7000);
  if (trouble && instances_late_order () >= 0)
    instances_set_deaf (instances_late_order ());
  play (6000);
  instances_set_deaf (-1);
  play (3000);
  instances_describe ();
  record ("acknowledged commits lost: %u", instances_lost_commits ());
  return instances_lost_commits () > 0 ? BROKEN : HELD;
}

#define ODD_ENTRIES 16

/* Writes entries of another writer: their capacity is a text.  Nothing listens
   at their addresses.  */
static void
put_odd_entries (void)
{
  for (int i = 0; i < ODD_ENTRIES; i++)
    {
      char key[40], text[400];
      snprintf (key, sizeof key, "servers/i-0000%02d", i);
      snprintf (text, sizeof text,
                "{\"service\":\"" SERVICE "\",\"address\":\"127.0.0.1:%u\","
                "\"zone\":\"zone-%d\",\"version\":\"v1\","
                "\"capacity\":\"many\",\"state\":\"ready\","
                "\"cold_remaining_ms\":0,\"sequence\":1,"
                "\"born\":1700000000000,\"db_role\":\"replica\"}",
                free_port (), 1 + i % INSTANCES);
      store_put (key, text);
      record ("entry %s: %s", key, text);
    }
}

/* Another writer leaves odd entries beside those of the instances; later all
   processes are killed.  */
static int
play_odd_entries (void)
{
  consumers_start (10, 150, 1.0);
  double traffic_ms = now_ms ();
  play (8000);
  if (trouble)
    put_odd_entries ();
  play (8000);
  return play_final_fault (traffic_ms);
}

struct named_case
{
  const char *name;
  struct world_settings settings;
  int (*play) (void);
};

static const struct named_case cases[] = {
  { "zero-byte", { 0, { 2, 2, 2 } }, play_zero_byte },
  { "paused", { 1, { 2, 2, 2 } }, play_paused },
  { "odd-entries", { 0, { 2, 2, 2 } }, play_odd_entries },
  { "late", { 1, { 2, 30, 2 } }, play_late },
};

int
main (int argc, char **argv)
{
  const char *given = getenv ("TROUBLE");
  const struct named_case *chosen = NULL;
  trouble = given == NULL || strcmp (given, "0") != 0;
  for (size_t i = 0; argc == 5 && i < sizeof cases / sizeof cases[0]; i++)
    if (strcmp (cases[i].name, argv[1]) == 0)
      chosen = &cases[i];
  if (chosen == NULL)
    return NOT_RUN;
  record_file = fopen (argv[3], "w");
  if (record_file == NULL)
    return NOT_RUN;
  signal (SIGPIPE, SIG_IGN);
  srandom ((unsigned)time (NULL) ^ (unsigned)getpid () << 12);
  alarm (CASE_LIMIT_S);
  start_ms = clock_ms ();
  base = event_base_new ();
  record ("case %s, trouble %d", chosen->name, trouble);
  if (start (&chosen->settings, argv[2], argv[4]))
    result = chosen->play ();
  consumers_stop ();
  hosts_end ();
  record ("result %d", result);
  fclose (record_file);
  printf ("%s: %d\n", chosen->name, result);
  return result;
}
