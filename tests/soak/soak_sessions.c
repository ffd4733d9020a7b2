/* soak_sessions - plays series of faults against hosts that run as processes,
   and checks that callers get their own answers, and that instances run what
   callers sent.

   Usage: soak_sessions [--hosts N] [--seconds N] [--logs DIR] [--plain-shapes]
                        SEED...

   The hosts use the stand-in of the platform.  Callers keep long sessions at
   each host.  Faults overlap: instances send answers twice or in parts, refuse
   statements, crash and return; hosts get SIGTERM, SIGKILL or stand still, and
   are started again; the configuration changes.  After the last fault each
   host must serve its callers again.  Ends with status 1 if a check failed;
   the logs of the hosts are then kept below DIR.  */

#include <argp.h>
#include <float.h>
#include <poll.h>
#include <signal.h>

#include "kernel/mem.h"
#include "tests/soak/soak_caller.h"
#include "tests/soak/soak_member.h"
#include "tests/soak/soak_oracle.h"
#include "tests/standin/standin_host.h"

#define CALLERS_OF_HOST 3
#define CALLERS_MAX (MEMBERS_MAX * CALLERS_OF_HOST)
#define STEP_MS 2
#define TEND_MS 20
#define RECORD_MS 200
#define CALM_MS 4000     /* at the start */
#define RECOVER_MS 12000 /* after the last fault */
#define DRAIN_MS 6000    /* limit for the last answers */
#define PAUSE_CALLER_MS                                                       \
  3 /* pause of a caller, times the number of callers                         \
     */
#define START_MAX_MS 2000
#define FREEZE_MAX_MS 3000
#define CRASH_MAX_MS 3000
#define INSTANCES 3
#define SECONDS_DEFAULT 30
#define HOSTS_DEFAULT 7

/* A kind of fault, which comes again after a pause.  */
struct lane
{
  void (*inject) (void);
  double min_ms;
  double max_ms;
  double next_ms;
};

static struct
{
  size_t hosts;
  unsigned seconds;
  const char *logs;
  bool plain_shapes;
} options
    = { .hosts = HOSTS_DEFAULT, .seconds = SECONDS_DEFAULT, .logs = "." };

static struct rng rng;
static uint64_t seed;
static struct standin platform;
static struct member members[MEMBERS_MAX];
static struct soak_callers callers;
static struct soak_caller caller[CALLERS_MAX];
static size_t caller_count;
static int crashed = -1; /* instance */
static double back_ms;   /* when it returns */
static double cut_span_ms;
static double cut_end_ms; /* of the last answer that was cut short */
static double tend_ms;
static double record_ms;

static double
draw (double low, double high)
{
  return low + (double)rng_below (&rng, (uint64_t)(high - low) + 1);
}

static void
note (const char *what, const struct member *member)
{
  printf ("seed=%llu ms=%.0f %s%s%s\n", (unsigned long long)seed,
          host_now_ms () - callers.begin_ms, what,
          member != NULL ? " host=" : "", member != NULL ? member->name : "");
}

static void
control (const char *body)
{
  standin_require (host_request (standin_port (&platform, "control="), "POST",
                                 "/fault", body, NULL)
                       == 200,
                   body);
}

/* Returns what the control port of the stand-in has at PATH.  */
static json_t *
query (const char *path)
{
  char *text;
  standin_require (host_request (standin_port (&platform, "control="), "GET",
                                 path, NULL, &text)
                       == 200,
                   path);
  json_t *json = json_loads (text, 0, NULL);
  free (text);
  return json;
}

static void
fetch_runs (void)
{
  uint64_t last;
  do
    {
      char *path = mem_printf (
          "/runs?after=%llu",
          (unsigned long long)soak_oracle_last_run (callers.oracle));
      json_t *json = query (path);
      soak_oracle_add_runs (callers.oracle, json_object_get (json, "runs"));
      last = (uint64_t)json_integer_value (json_object_get (json, "last"));
      json_decref (json);
      free (path);
    }
  while (soak_oracle_last_run (callers.oracle) < last);
}

/* Faults.  */

static void
set_answer_fault (const char *kind, unsigned percent, unsigned span_ms)
{
  char *body = mem_printf ("{\"kind\":\"%s\",\"percent\":%u,\"ms\":%u}", kind,
                           percent, span_ms);
  note (body, NULL);
  control (body);
  free (body);
}

static unsigned
pick (const unsigned *from, size_t count)
{
  return from[rng_below (&rng, count)];
}

static void
inject_stutter (void)
{
  static const unsigned percents[] = { 0, 3, 10, 24, 60 };
  static const unsigned spans_ms[] = { 1, 5, 20, 100, 1000, 3000 };
  set_answer_fault ("stutter", pick (percents, 5), pick (spans_ms, 6));
}

static void
inject_cut (void)
{
  static const unsigned percents[] = { 0, 0, 1, 3 };
  static const unsigned spans_ms[] = { 100, 300, 1000 };
  unsigned percent = pick (percents, 4), span_ms = pick (spans_ms, 3);
  for (size_t i = 0; i < options.hosts; i++)
    if (members[i].frozen)
      return;
  cut_end_ms = percent > 0 ? DBL_MAX : host_now_ms () + cut_span_ms;
  cut_span_ms = span_ms;
  set_answer_fault ("cut", percent, span_ms);
}

static void
inject_busy (void)
{
  static const unsigned percents[] = { 0, 0, 2, 10 };
  set_answer_fault ("busy", pick (percents, 4), 0);
}

static void
inject_crash (void)
{
  if (crashed >= 0)
    return;
  crashed = (int)rng_below (&rng, INSTANCES);
  back_ms = host_now_ms () + draw (500, CRASH_MAX_MS);
  char *body = mem_printf ("{\"kind\":\"crash\",\"instance\":%d}", crashed);
  note (body, NULL);
  control (body);
  free (body);
}

static void
bring_back (void)
{
  char *body = mem_printf ("{\"kind\":\"back\",\"instance\":%d}", crashed);
  note (body, NULL);
  control (body);
  free (body);
  crashed = -1;
}

static void
inject_host_fault (void)
{
  struct member *member = &members[rng_below (&rng, options.hosts)];
  unsigned kind = (unsigned)rng_below (&rng, 10);
  if (!member_is_up (member))
    return;
  /* A host that stands still doesn't see the pause after a part of an answer.
   */
  if (kind < 4 && host_now_ms () > cut_end_ms)
    {
      note ("freeze", member);
      member_freeze (member, draw (50, FREEZE_MAX_MS));
    }
  else if (kind < 7)
    {
      note ("stop", member);
      member_stop (member);
    }
  else
    {
      note ("kill", member);
      member_kill (member);
      member_note_end (member, draw (100, START_MAX_MS));
    }
}

static void
inject_change (void)
{
  control ("{\"kind\":\"config\"}");
}

static struct lane lanes[] = {
  { inject_stutter, 500, 3000, 0 },    { inject_cut, 1000, 5000, 0 },
  { inject_busy, 1000, 5000, 0 },      { inject_crash, 3000, 9000, 0 },
  { inject_host_fault, 600, 4000, 0 }, { inject_change, 1500, 8000, 0 }
};

#define LANES (sizeof lanes / sizeof lanes[0])

static void
inject_faults (double now_ms)
{
  for (size_t i = 0; i < LANES; i++)
    {
      if (now_ms < lanes[i].next_ms)
        continue;
      lanes[i].inject ();
      lanes[i].next_ms = now_ms + draw (lanes[i].min_ms, lanes[i].max_ms);
    }
}

static void
end_faults (void)
{
  note ("end of the faults", NULL);
  set_answer_fault ("stutter", 0, 0);
  set_answer_fault ("cut", 0, 0);
  set_answer_fault ("busy", 0, 0);
  if (crashed >= 0)
    bring_back ();
  for (size_t i = 0; i < options.hosts; i++)
    if (members[i].frozen)
      member_thaw (&members[i]);
}

/* The play.  */

static void
tend_member (struct member *member, double now_ms)
{
  int status;
  if (member->pid == 0 && now_ms >= member->start_ms)
    member_start (member, &platform);
  if (member->frozen && now_ms >= member->thaw_ms)
    member_thaw (member);
  if (member->pid == 0)
    return;
  member_find_port (member);
  if (waitpid (member->pid, &status, WNOHANG) <= 0)
    return;
  if (!member->leaving || !WIFEXITED (status) || WEXITSTATUS (status) != 0)
    soak_oracle_report (callers.oracle, "ENDED",
                        "the process of %s ended by itself, status %d",
                        member->name, status);
  member_note_end (member, draw (100, START_MAX_MS));
}

static void
tend (double now_ms)
{
  if (now_ms >= tend_ms)
    {
      for (size_t i = 0; i < options.hosts; i++)
        tend_member (&members[i], now_ms);
      if (crashed >= 0 && now_ms >= back_ms)
        bring_back ();
      tend_ms = now_ms + TEND_MS;
    }
  if (now_ms >= record_ms)
    {
      fetch_runs ();
      record_ms = now_ms + RECORD_MS;
    }
}

/* Lets the callers act, and handles what has arrived.  */
static void
step (void)
{
  struct pollfd fds[CALLERS_MAX];
  struct soak_caller *readers[CALLERS_MAX];
  nfds_t count = 0;
  double now_ms = host_now_ms ();
  tend (now_ms);
  for (size_t i = 0; i < caller_count; i++)
    {
      soak_caller_act (&caller[i], now_ms);
      if (caller[i].fd < 0)
        continue;
      fds[count] = (struct pollfd){ .fd = caller[i].fd, .events = POLLIN };
      readers[count++] = &caller[i];
    }
  if (poll (fds, count, STEP_MS) <= 0)
    return;
  now_ms = host_now_ms ();
  for (nfds_t i = 0; i < count; i++)
    if (fds[i].revents != 0)
      soak_caller_receive (readers[i], now_ms);
}

static void
run_until (double end_ms, bool faults)
{
  while (host_now_ms () < end_ms)
    {
      if (faults)
        inject_faults (host_now_ms ());
      step ();
    }
}

/* Returns whether a caller of MEMBER has written since FROM_MS.  */
static bool
is_served (const struct member *member, double from_ms)
{
  for (size_t i = 0; i < caller_count; i++)
    if (caller[i].member == member && caller[i].wrote_ms > from_ms)
      return true;
  return false;
}

/* Checks that each host serves its callers after the last fault.  */
static void
check_recovery (void)
{
  double from_ms = host_now_ms ();
  size_t served = 0;
  while (served < options.hosts && host_now_ms () < from_ms + RECOVER_MS)
    {
      step ();
      served = 0;
      for (size_t i = 0; i < options.hosts; i++)
        served += is_served (&members[i], from_ms);
    }
  for (size_t i = 0; i < options.hosts; i++)
    if (!is_served (&members[i], from_ms))
      soak_oracle_report (callers.oracle, "RECOVER",
                          "no write at %s within %d ms after the last fault",
                          members[i].name, RECOVER_MS);
}

/* Waits for the last answers, and lets those come that are sent twice.  */
static void
end_callers (void)
{
  double limit_ms = host_now_ms () + DRAIN_MS;
  bool waits = true;
  callers.ends = true;
  while (waits && host_now_ms () < limit_ms)
    {
      step ();
      waits = false;
      for (size_t i = 0; i < caller_count; i++)
        waits = waits || soak_caller_waits (&caller[i]);
    }
  for (size_t i = 0; i < caller_count; i++)
    soak_caller_close (&caller[i], host_now_ms ());
  fetch_runs ();
}

static void
start_all (void)
{
  char *none[] = { NULL, NULL };
  char *prefix = mem_printf ("%s/sessions-%llu", options.logs,
                             (unsigned long long)seed);
  standin_spawn (&platform, "fleet_standin", none);
  caller_count = options.hosts * CALLERS_OF_HOST;
  callers = (struct soak_callers){ .rng = &rng,
                                   .oracle = soak_oracle_new (seed),
                                   .begin_ms = host_now_ms (),
                                   .pause_ms
                                   = PAUSE_CALLER_MS * (double)caller_count,
                                   .plain_shapes = options.plain_shapes };
  for (size_t i = 0; i < options.hosts; i++)
    {
      member_init (&members[i], i, prefix);
      member_start (&members[i], &platform);
    }
  for (size_t i = 0; i < caller_count; i++)
    soak_caller_init (&caller[i], &callers, &members[i / CALLERS_OF_HOST]);
  for (size_t i = 0; i < LANES; i++)
    lanes[i].next_ms = callers.begin_ms + CALM_MS + draw (0, lanes[i].max_ms);
  crashed = -1;
  cut_span_ms = cut_end_ms = 0;
  tend_ms = record_ms = 0;
  free (prefix);
}

/* Plays one seed.  Returns whether all checks passed.  */
static bool
play (void)
{
  unsigned answers = 0;
  rng_init (&rng, seed);
  start_all ();
  run_until (callers.begin_ms + 1e3 * options.seconds, true);
  end_faults ();
  check_recovery ();
  end_callers ();
  unsigned reports = soak_oracle_check (callers.oracle);
  for (size_t i = 0; i < caller_count; i++)
    answers += caller[i].answers;
  json_t *state = query ("/state");
  printf ("seed=%llu answers=%u checked=%u runs=%llu repeated=%lld cut=%lld "
          "failures=%u\n",
          (unsigned long long)seed, answers,
          soak_oracle_checked (callers.oracle),
          (unsigned long long)soak_oracle_last_run (callers.oracle),
          json_integer_value (json_object_get (state, "stuttered")),
          json_integer_value (json_object_get (state, "cut")), reports);
  json_decref (state);
  for (size_t i = 0; i < options.hosts; i++)
    member_free (&members[i], reports > 0);
  standin_stop (&platform);
  soak_oracle_free (callers.oracle);
  return reports == 0;
}

static void
kill_all (void)
{
  for (size_t i = 0; i < MEMBERS_MAX; i++)
    if (members[i].pid > 0)
      kill (members[i].pid, SIGKILL);
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
    case 'p':
      options.plain_shapes = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option rows[]
      = { { "hosts", 'n', "N", 0, "Number of hosts (7)", 0 },
          { "seconds", 's', "N", 0, "Length of the play of a seed (30)", 0 },
          { "logs", 'l', "DIR", 0, "Directory of the logs of hosts (.)", 0 },
          { "plain-shapes", 'p', NULL, 0,
            "Prepare only shapes that are one word", 0 },
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
