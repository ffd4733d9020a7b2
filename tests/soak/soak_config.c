/* soak_config - plays series of faults and changes of the configuration
   against hosts of one failure domain that run as processes, and checks that
   each change is in force in time.

   Usage: soak_config [--hosts N] [--seconds N] [--logs DIR] SEED...

   The hosts use the stand-in of the platform.  Faults come in series and
   overlap: hosts are killed, stopped by SIGTERM, started again or stand still,
   and the store loses calls, whose connections stay open.  A caller at each
   host keeps a session open until the process has ended, and another one opens
   a session with the newest database.  Ends with status 1 if a check failed;
   the logs of the hosts are then kept below DIR.  */

#include <argp.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>

#include "kernel/mem.h"
#include "kernel/rng.h"
#include "tests/soak/soak_member.h"
#include "tests/standin/standin_host.h"

#define STEP_MS 50
/* Time within which a change must be in force, for a host that like the store
   has been without disturbance for TOUCH_MS.  */
#define APPLY_MS 3000
#define TOUCH_MS 4000
#define ANSWER_MS 2000
#define FIRST_VERSION 3 /* of the configuration; it adds no route */
/* Ranges of the pauses between changes and between faults.  */
#define CHANGE_MIN_MS 1000
#define CHANGE_MAX_MS 12000
#define FAULT_MIN_MS 3000
#define FAULT_MAX_MS 18000
#define SILENCE_MIN_MS 300
#define SILENCE_MAX_MS 5000
#define START_MAX_MS 2000  /* from the end of a process to its successor */
#define FREEZE_MAX_MS 6000 /* for which a process stands still */
#define QUIET_DEFAULT_S 60
#define HOSTS_DEFAULT 16

/* A host and its caller.  */
struct place
{
  struct member member;
  int session; /* kept open; -1: none */
  unsigned refused;
};

static struct
{
  size_t hosts;
  unsigned seconds;
  const char *logs;
} options
    = { .hosts = HOSTS_DEFAULT, .seconds = QUIET_DEFAULT_S, .logs = "." };

static struct rng rng;
static uint64_t seed;
static struct standin platform;
static struct place places[MEMBERS_MAX];
static double begin_ms;
static unsigned version; /* newest acknowledged one */
static double acked_ms;  /* of that version */
static double next_change_ms;
static double store_end_ms; /* end of the store's last disturbance */
static unsigned checks;
static unsigned failures;

static double
draw (double low, double high)
{
  return low + (double)rng_below (&rng, (uint64_t)(high - low) + 1);
}

static void
report (const char *what, const struct member *member)
{
  printf ("seed=%llu ms=%.0f %s%s%s\n", (unsigned long long)seed,
          host_now_ms () - begin_ms, what, member != NULL ? " host=" : "",
          member != NULL ? member->name : "");
  fflush (stdout);
}

static void
control (const char *body)
{
  standin_require (host_request (standin_port (&platform, "control="), "POST",
                                 "/fault", body, NULL)
                       == 200,
                   body);
}

/* Connects to the callers' port of MEMBER.  Returns -1 if it is closed.  */
static int
connect_to (const struct member *member)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (member->callers),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Sends LINE and reads up to a line that begins with READY or ERROR.  Returns
   whether READY came; *CLOSED tells whether the session ended before.  */
static bool
exchange (int fd, const char *line, bool *closed)
{
  char text[4096];
  size_t used = 0;
  double deadline_ms = host_now_ms () + ANSWER_MS;
  *closed = send (fd, line, strlen (line), MSG_NOSIGNAL) < 0;
  while (!*closed && used < sizeof text - 1)
    {
      struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
      double left_ms = deadline_ms - host_now_ms ();
      if (left_ms <= 0 || poll (&poll_fd, 1, (int)left_ms + 1) <= 0)
        return false;
      ssize_t got = recv (fd, text + used, sizeof text - 1 - used, 0);
      *closed = got <= 0;
      used += got > 0 ? (size_t)got : 0;
      text[used] = '\0';
      const char *ready = strstr (text, "READY ");
      if (ready != NULL && strstr (ready, "\r\n") != NULL)
        return true;
      if (strncmp (text, "ERROR NODB", 10) == 0)
        return false;
    }
  return false;
}

/* Starts the host of PLACE and waits until it listens.  */
static void
start_member (struct place *place)
{
  double deadline_ms = host_now_ms () + HOST_WAIT_MS;
  member_start (&place->member, &platform);
  while (!member_find_port (&place->member))
    {
      standin_require (host_now_ms () < deadline_ms, "listener");
      usleep (2000);
    }
  place->member.disturbed_ms = host_now_ms ();
  place->session = -1;
}

/* Notes that the process of PLACE has ended.  */
static void
note_end (struct place *place)
{
  member_note_end (&place->member, draw (100, START_MAX_MS));
  if (place->session >= 0)
    close (place->session);
  place->session = -1;
}

static void
kill_member (struct place *place)
{
  report ("kill", &place->member);
  member_kill (&place->member);
  note_end (place);
}

static void
freeze_member (struct place *place)
{
  report ("freeze", &place->member);
  member_freeze (&place->member, draw (300, FREEZE_MAX_MS));
}

static void
stop_member (struct place *place)
{
  report ("stop", &place->member);
  member_stop (&place->member);
}

/* Applies FN to each running host with a chance of PERCENT.  */
static void
disturb (void (*fn) (struct place *), unsigned percent)
{
  for (size_t i = 0; i < options.hosts; i++)
    if (member_is_up (&places[i].member) && rng_below (&rng, 100) < percent)
      fn (&places[i]);
}

static void
silence_store (void)
{
  int span_ms = (int)draw (SILENCE_MIN_MS, SILENCE_MAX_MS);
  int percent = rng_below (&rng, 2) == 0 ? 100 : (int)draw (20, 90);
  char *body = mem_printf ("{\"kind\":\"silence\",\"ms\":%d,\"percent\":%d}",
                           span_ms, percent);
  report (body, NULL);
  if (rng_below (&rng, 4) == 0)
    control ("{\"kind\":\"lose_watches\"}");
  control (body);
  double end_ms = host_now_ms () + span_ms;
  if (end_ms > store_end_ms)
    store_end_ms = end_ms;
  free (body);
}

/* Kills all hosts.  The next change comes while they start, so that some read
   the store before it and some after it.  */
static void
kill_all_members (void)
{
  disturb (kill_member, 100);
  next_change_ms = host_now_ms () + draw (100, START_MAX_MS);
}

static void
inject_fault (void)
{
  switch (rng_below (&rng, 6))
    {
    case 0:
      disturb (kill_member, 20);
      break;
    case 1:
      kill_all_members ();
      break;
    case 2:
      disturb (freeze_member, 25);
      break;
    case 3:
      disturb (stop_member, 15);
      break;
    default:
      silence_store ();
    }
}

static void
change_config (void)
{
  control ("{\"kind\":\"config\"}");
  version++;
  acked_ms = host_now_ms ();
}

static void
fail (struct place *place, const char *what)
{
  failures++;
  if (place->refused++ == 0)
    report (what, &place->member);
}

static bool
in_touch (const struct member *member, double now_ms)
{
  return member_is_up (member) && now_ms - member->disturbed_ms > TOUCH_MS
         && now_ms - store_end_ms > TOUCH_MS;
}

/* Asks the host of PLACE for the newest database.  */
static void
check_change (struct place *place)
{
  double now_ms = host_now_ms ();
  char line[64];
  bool closed;
  if (version == FIRST_VERSION || !in_touch (&place->member, now_ms)
      || now_ms - acked_ms <= APPLY_MS)
    return;
  snprintf (line, sizeof line, "STARTUP added-%u u1\r\n", version);
  int fd = connect_to (&place->member);
  checks++;
  if (fd < 0 || !exchange (fd, line, &closed))
    fail (place, "the newest route is refused");
  else
    place->refused = 0;
  if (fd >= 0)
    close (fd);
}

/* Reads in the session of PLACE, which is kept open until its process has
   ended.  */
static void
use_session (struct place *place)
{
  bool closed = false;
  if (place->member.pid == 0 || place->member.frozen)
    return;
  if (place->session < 0 && !place->member.leaving)
    {
      place->session = connect_to (&place->member);
      if (place->session >= 0
          && !exchange (place->session, "STARTUP ledger u1\r\n", &closed))
        closed = true;
    }
  else if (place->session >= 0
           && !exchange (place->session, "QUERY s READ 1\r\n", &closed)
           && !closed && in_touch (&place->member, host_now_ms ()))
    fail (place, "no answer in a session");
  if (closed && place->session >= 0)
    {
      close (place->session);
      place->session = -1;
    }
}

static void
tend (struct place *place)
{
  double now_ms = host_now_ms ();
  int status;
  if (place->member.pid == 0 && now_ms >= place->member.start_ms)
    start_member (place);
  if (place->member.frozen)
    place->member.disturbed_ms = now_ms;
  if (place->member.frozen && now_ms >= place->member.thaw_ms)
    member_thaw (&place->member);
  if (place->member.pid == 0
      || waitpid (place->member.pid, &status, WNOHANG) <= 0)
    return;
  if (!place->member.leaving || !WIFEXITED (status)
      || WEXITSTATUS (status) != 0)
    fail (place, "the process ended by itself");
  note_end (place);
}

static void
start_all (void)
{
  char *none[] = { NULL, NULL };
  char *prefix
      = mem_printf ("%s/soak-%llu", options.logs, (unsigned long long)seed);
  standin_spawn (&platform, "fleet_standin", none);
  version = FIRST_VERSION;
  acked_ms = begin_ms;
  store_end_ms = begin_ms;
  for (size_t i = 0; i < options.hosts; i++)
    {
      places[i] = (struct place){ .session = -1 };
      member_init (&places[i].member, i, prefix);
      start_member (&places[i]);
    }
  free (prefix);
}

static void
stop_all (bool keep_logs)
{
  for (size_t i = 0; i < options.hosts; i++)
    {
      if (places[i].session >= 0)
        close (places[i].session);
      member_free (&places[i].member, keep_logs);
    }
  standin_stop (&platform);
}

/* Plays one seed.  Returns whether all checks passed.  */
static bool
play (void)
{
  double fault_ms;
  checks = 0;
  failures = 0;
  rng_init (&rng, seed);
  begin_ms = host_now_ms ();
  start_all ();
  next_change_ms = host_now_ms () + TOUCH_MS;
  fault_ms = host_now_ms () + TOUCH_MS;
  double end_ms = host_now_ms () + 1e3 * options.seconds;
  while (host_now_ms () < end_ms)
    {
      if (host_now_ms () >= next_change_ms)
        {
          change_config ();
          next_change_ms
              = host_now_ms () + draw (CHANGE_MIN_MS, CHANGE_MAX_MS);
        }
      if (host_now_ms () >= fault_ms)
        {
          inject_fault ();
          fault_ms = host_now_ms () + draw (FAULT_MIN_MS, FAULT_MAX_MS);
        }
      for (size_t i = 0; i < options.hosts; i++)
        {
          tend (&places[i]);
          check_change (&places[i]);
          use_session (&places[i]);
        }
      usleep (STEP_MS * 1000);
    }
  printf ("seed=%llu checks=%u failures=%u version=%u\n",
          (unsigned long long)seed, checks, failures, version);
  fflush (stdout);
  stop_all (failures > 0);
  return failures == 0;
}

static void
kill_all (void)
{
  for (size_t i = 0; i < MEMBERS_MAX; i++)
    if (places[i].member.pid > 0)
      kill (places[i].member.pid, SIGKILL);
}

static void
on_signal (int number)
{
  (void)number;
  kill_all ();
  _exit (EXIT_FAILURE);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  switch (key)
    {
    case 'n':
      options.hosts = strtoul (arg, NULL, 10);
      if (options.hosts == 0 || options.hosts > MEMBERS_MAX)
        argp_error (state, "--hosts: 1 to %d", MEMBERS_MAX);
      return 0;
    case 's':
      options.seconds = (unsigned)strtoul (arg, NULL, 10);
      return 0;
    case 'l':
      options.logs = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option rows[]
      = { { "hosts", 'n', "N", 0, "Number of hosts (16)", 0 },
          { "seconds", 's', "N", 0, "Length of the play of a seed (60)", 0 },
          { "logs", 'l', "DIR", 0, "Directory of the logs of hosts (.)", 0 },
          { 0 } };
  static const struct argp parser
      = { .options = rows, .parser = parse_option, .args_doc = "SEED..." };
  int first, failed = 0;
  argp_parse (&parser, argc, argv, 0, &first, NULL);
  setvbuf (stdout, NULL, _IOLBF, 0);
  atexit (kill_all);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGPIPE, SIG_IGN);
  for (int i = first; i < argc; i++)
    {
      seed = strtoull (argv[i], NULL, 10);
      failed += !play ();
    }
  printf ("%d passed, %d failed\n", argc - first - failed, failed);
  return failed > 0;
}
