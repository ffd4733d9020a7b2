/* Tests of `savoryway serve': one host runs as a process against a stand-in
   of the platform's store, promotion endpoint and instances.  */

#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <time.h>

#include "../standin/standin_spawn.h"
#include "kernel/mem.h"
#include "unit.h"

#define LOG_LINE_LIMIT 400
#define READY_TRIES 100

static struct standin fleet;
static pid_t host;
static FILE *host_log;

/* Ports of the host's listeners.  */
static uint16_t callers;
static uint16_t ready;
static uint16_t metrics;

static int
connect_to (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  return fd;
}

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
}

/* Reads until a whole line that contains END has arrived, or until the end of
   the stream.  Returns all text read.  */
static char *
read_until (int fd, const char *end)
{
  static char buffer[65536];
  size_t used = 0;
  for (;;)
    {
      buffer[used] = '\0';
      char *last = strstr (buffer, end);
      if (last != NULL && strstr (last, "\r\n") != NULL)
        return buffer;
      ssize_t got = read (fd, buffer + used, sizeof buffer - used - 1);
      if (got <= 0)
        return buffer;
      used += (size_t)got;
    }
}

/* Runs STATEMENT and returns the answer up to READY.  */
static const char *
query (int fd, const char *statement)
{
  static unsigned number;
  char *text = mem_printf ("QUERY q%u %s\r\n", ++number, statement);
  send_text (fd, text);
  free (text);
  return read_until (fd, "READY");
}

static const char *
http_get (uint16_t port, const char *path)
{
  int fd = connect_to (port);
  char *text = mem_printf (
      "GET %s HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n", path);
  send_text (fd, text);
  free (text);
  char *answer = read_until (fd, "no such line");
  close (fd);
  return answer;
}

/* Injects the fault that BODY describes into the stand-in.  */
static void
inject_fault (const char *body)
{
  int fd = connect_to (standin_port (&fleet, "control="));
  char *text = mem_printf ("POST /fault HTTP/1.1\r\nHost: t\r\nConnection: "
                           "close\r\nContent-Length: %zu\r\n\r\n%s",
                           strlen (body), body);
  send_text (fd, text);
  free (text);
  ck_assert_ptr_nonnull (strstr (read_until (fd, "no such line"), " 200 "));
  close (fd);
}

/* Opens a session with the database "ledger".  */
static int
start_session (void)
{
  int fd = connect_to (callers);
  send_text (fd, "STARTUP ledger u1\r\n");
  ck_assert_str_eq (read_until (fd, "READY"), "READY I -\r\n");
  return fd;
}

/* Returns the port of the listener INTERFACE from the host's log.  */
static uint16_t
read_port (const char *interface)
{
  char line[1024];
  char *wanted = mem_printf ("interface=%s port=", interface);
  for (int i = 0; i < LOG_LINE_LIMIT; i++)
    {
      ck_assert_ptr_nonnull (fgets (line, sizeof line, host_log));
      const char *at = strstr (line, wanted);
      if (at == NULL)
        continue;
      uint16_t port = (uint16_t)strtoul (at + strlen (wanted), NULL, 10);
      free (wanted);
      return port;
    }
  ck_abort_msg ("the host logged no port of its listener \"%s\"", interface);
}

/* Returns a port that nothing listens on.  */
static unsigned
free_port (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&address, length), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&address, &length), 0);
  close (fd);
  return ntohs (address.sin_port);
}

/* Starts a host that uses the store and the promotion endpoint at the given
   ports.  */
static void
start_host (unsigned store_port, unsigned promote_port)
{
  int out[2];
  char *peers = mem_printf ("--host-endpoint=127.0.0.1:%u", free_port ());
  char *store = mem_printf ("--store-endpoint=127.0.0.1:%u", store_port);
  char *promote = mem_printf ("--promote-endpoint=127.0.0.1:%u", promote_port);
  char *argv[] = { NULL,
                   "serve",
                   "--host=h1",
                   "--domain=zone-1",
                   "--caller-endpoint=127.0.0.1:0",
                   "--ready-endpoint=127.0.0.1:0",
                   "--metrics-endpoint=127.0.0.1:0",
                   "--shutdown-limit-s=4",
                   store,
                   promote,
                   peers,
                   NULL };
  ck_assert_int_eq (pipe2 (out, O_CLOEXEC), 0);
  host = standin_start ("savoryway", argv, (const int[]){ -1, out[1], -1 });
  close (out[1]);
  host_log = fdopen (out[0], "r");
  callers = read_port ("callers");
  ready = read_port ("ready");
  metrics = read_port ("metrics");
  free (store);
  free (promote);
  free (peers);
}

static void
stop_host (void)
{
  int status;
  kill (host, SIGTERM);
  ck_assert_int_eq (waitpid (host, &status, 0), host);
  ck_assert_int_eq (status, 0);
  fclose (host_log);
}

static void
set_up (void)
{
  char *none[] = { NULL, NULL };
  standin_spawn (&fleet, "fleet_standin", none);
  start_host (standin_port (&fleet, "store="),
              standin_port (&fleet, "promote="));
  for (int i = 0; strstr (http_get (ready, "/readyz"), " 200 ") == NULL; i++)
    {
      ck_assert_int_lt (i, READY_TRIES);
      usleep (50000);
    }
}

static void
tear_down (void)
{
  stop_host ();
  standin_stop (&fleet);
}

#define SENDERS 4
#define FLOOD_S 10

/* Sends signals to the host without a pause, in a process of its own.  */
static pid_t
start_sender (void)
{
  pid_t sender = fork ();
  ck_assert_int_ge (sender, 0);
  if (sender > 0)
    return sender;
  time_t end_s = time (NULL) + FLOOD_S;
  while (kill (host, SIGTERM) == 0 && time (NULL) < end_s)
    ;
  _exit (EXIT_SUCCESS);
}

/* Guards against a leaving host that handles signals without end, and never
   gets to its callers or to its end.  */
UNIT_PLAIN (test_a_host_ends_in_time_under_a_flood_of_signals)
{
  unsigned unused_port = free_port ();
  pid_t senders[SENDERS];
  int status;
  start_host (unused_port, unused_port);
  kill (host, SIGTERM);
  usleep (500000);
  time_t begin_s = time (NULL);
  for (size_t i = 0; i < SENDERS; i++)
    senders[i] = start_sender ();
  ck_assert_int_eq (waitpid (host, &status, 0), host);
  ck_assert_int_lt (time (NULL) - begin_s, FLOOD_S / 2);
  for (size_t i = 0; i < SENDERS; i++)
    waitpid (senders[i], NULL, 0);
  fclose (host_log);
  ck_assert_int_eq (status, 0);
}

/* Reads the host's log up to a line that contains all of WORDS.  */
static void
await_log (const char *const words[], size_t count)
{
  char line[1024];
  for (int i = 0; i < LOG_LINE_LIMIT; i++)
    {
      size_t found = 0;
      ck_assert_ptr_nonnull (fgets (line, sizeof line, host_log));
      while (found < count && strstr (line, words[found]) != NULL)
        found++;
      if (found == count)
        return;
    }
  ck_abort_msg ("the host logged no line with %s", words[0]);
}

UNIT_TEST (test_session_reads_its_own_write)
{
  int fd = start_session ();
  const char *answer = query (fd, "WRITE 1 blue");
  ck_assert_msg (strncmp (answer, "COMPLETE i-0.q", 14) == 0, "%s", answer);
  answer = query (fd, "READ 1");
  ck_assert_msg (strncmp (answer, "ROW blue\r\nCOMPLETE i-", 21) == 0, "%s",
                 answer);
  ck_assert_ptr_nonnull (strstr (http_get (metrics, "/metrics"),
                                 "savoryway_statements_total{code=\"ok\"}"));
  close (fd);
}

/* Guards against UNASKED: a write with a zero byte was cut there, run, and
   answered with success.  */
UNIT_TEST (test_a_write_with_a_zero_byte_is_not_run)
{
  static const char message[] = "QUERY q0 WRITE 17 40bags\0for-the-gate\r\n";
  int fd = start_session ();
  ck_assert_int_eq (write (fd, message, sizeof message - 1),
                    (ssize_t)sizeof message - 1);
  const char *answer = read_until (fd, "READY");
  ck_assert_msg (strncmp (answer, "ERROR MALFORMED", 15) == 0, "%s", answer);
  close (fd);
  fd = start_session ();
  answer = query (fd, "READ 17");
  ck_assert_msg (strstr (answer, "40bags") == NULL, "%s", answer);
  close (fd);
}

UNIT_TEST (test_operator_endpoints_report_host_state)
{
  const char *status = http_get (metrics, "/v1/status");
  ck_assert_ptr_nonnull (strstr (status, "\"host\":\"h1\""));
  ck_assert_ptr_nonnull (strstr (status, "\"ready\":true"));
  ck_assert_ptr_nonnull (strstr (status, "\"store_reached\":true"));
  ck_assert_ptr_nonnull (strstr (status, "\"store_heard_from\":\"store\""));
  const char *topology = http_get (metrics, "/v1/topology");
  ck_assert_ptr_nonnull (strstr (topology, "\"name\":\"i-0\""));
  ck_assert_ptr_nonnull (strstr (topology, "\"gateways\":[\"h1\"]"));
  const char *why = http_get (metrics, "/v1/explain?database=ledger");
  ck_assert_ptr_nonnull (strstr (why, "\"primary\":\"i-0\""));
  ck_assert_ptr_nonnull (strstr (why, "\"why\":\""));
  ck_assert_ptr_nonnull (
      strstr (http_get (metrics, "/v1/explain?database=none"), " 404 "));
  ck_assert_ptr_nonnull (strstr (http_get (metrics, "/v1/explain"), " 400 "));
  ck_assert_ptr_nonnull (strstr (http_get (metrics, "/metrics"),
                                 "savoryway_statement_ms_bucket{"));
}

UNIT_TEST (test_answers_report_the_transaction_state)
{
  int fd = start_session ();
  ck_assert_str_eq (query (fd, "BEGIN"), "COMPLETE -\r\nREADY T -\r\n");
  ck_assert_ptr_nonnull (strstr (query (fd, "WRITE 2 red"), "READY T "));
  ck_assert_ptr_nonnull (strstr (query (fd, "COMMIT"), "READY I "));
  ck_assert_ptr_nonnull (strstr (query (fd, "NONSENSE"), "ERROR MALFORMED"));
  close (fd);
}

UNIT_TEST (test_unknown_database_is_refused)
{
  int fd = connect_to (callers);
  send_text (fd, "STARTUP nowhere u1\r\n");
  ck_assert_str_eq (read_until (fd, "READY"), "ERROR NODB nowhere\r\n");
  close (fd);
}

UNIT_TEST (
    test_a_request_without_a_route_tells_how_recent_the_configuration_is)
{
  static const char *const words[]
      = { "event=no_route", "database=nowhere", "version=3",
          "heard_from=store", "heard_ms_ago=" };
  int fd = connect_to (callers);
  send_text (fd, "STARTUP nowhere u1\r\n");
  await_log (words, sizeof words / sizeof words[0]);
  ck_assert_ptr_nonnull (
      strstr (http_get (metrics, "/metrics"), "savoryway_store_heard_age_ms"));
  close (fd);
}

UNIT_PLAIN (test_sessions_wait_until_configuration_is_loaded)
{
  struct pollfd poll_fd = { .events = POLLIN };
  unsigned unused_port = free_port ();
  start_host (unused_port, unused_port);
  poll_fd.fd = connect_to (callers);
  send_text (poll_fd.fd, "STARTUP ledger u1\r\n");
  ck_assert_int_eq (poll (&poll_fd, 1, 700), 0);
  ck_assert_ptr_null (strstr (http_get (ready, "/readyz"), " 200 "));
  close (poll_fd.fd);
  stop_host ();
}

/* Guards against a host that is killed by a second signal while it frees what
   it holds, after its signal handlers are gone.  */
UNIT_PLAIN (test_a_host_that_ends_is_not_killed_by_another_signal)
{
  unsigned unused_port = free_port ();
  int status;
  start_host (unused_port, unused_port);
  kill (host, SIGTERM);
  usleep (2200000); /* a host without sessions ends 2.3 s after SIGTERM */
  while (waitpid (host, &status, WNOHANG) == 0)
    kill (host, SIGTERM);
  fclose (host_log);
  ck_assert_int_eq (status, 0);
}

/* Time within which a change must be in force, and its deadline in steps.  */
#define APPLY_MS 3000
#define APPLY_STEP_MS 50
#define CALM_MS 4500

/* Guards against CONFIG: a host waited 31 s for a watch that the store never
   answers, and refused routes that had been added meanwhile.  */
UNIT_TEST (
    test_a_change_is_in_force_in_time_though_the_watch_is_never_answered)
{
  const char *answer = "";
  usleep (CALM_MS * 1000); /* the host's own writes have been read */
  inject_fault ("{\"kind\":\"lose_watches\"}");
  inject_fault ("{\"kind\":\"config\"}");
  for (int spent_ms = 0;
       spent_ms < APPLY_MS && strncmp (answer, "READY", 5) != 0;
       spent_ms += APPLY_STEP_MS)
    {
      usleep (APPLY_STEP_MS * 1000);
      int fd = connect_to (callers);
      send_text (fd, "STARTUP added-4 u1\r\n");
      answer = read_until (fd, "\r\n");
      close (fd);
    }
  ck_assert_str_eq (answer, "READY I -\r\n");
}

/* Guards against a host that follows a history that the store has lost.  */
UNIT_TEST (test_announcements_are_read_after_the_store_was_restored)
{
  static const char *const restored[] = { "event=store_restored", "era=2" };
  static const char *const leaving[]
      = { "event=instance ", "instance=i-1", "state=draining" };
  inject_fault ("{\"kind\":\"copy\"}");
  inject_fault ("{\"instance\":2,\"kind\":\"drain\"}");
  inject_fault ("{\"kind\":\"restore\"}");
  await_log (restored, 2);
  inject_fault ("{\"instance\":1,\"kind\":\"drain\"}");
  await_log (leaving, 3);
  int fd = start_session ();
  ck_assert_ptr_nonnull (strstr (query (fd, "WRITE 1 a"), "COMPLETE i-0."));
  close (fd);
}

UNIT_TEST (test_crashed_primary_is_replaced)
{
  int fd = start_session ();
  query (fd, "WRITE 3 one");
  inject_fault ("{\"instance\":0,\"kind\":\"crash\"}");
  const char *answer = "";
  for (int i = 0; i < 60 && strncmp (answer, "COMPLETE", 8) != 0; i++)
    {
      usleep (50000);
      answer = query (fd, "WRITE 3 two");
    }
  ck_assert_msg (strncmp (answer, "COMPLETE i-", 11) == 0, "%s", answer);
  close (fd);
}

/* Sessions of callers that come while the host leaves, each with one write. */
#define VISIT_INTERVAL_MS 15
#define VISIT_LIMIT 400

/* Opens a session and sends it a write.  Returns false once the host takes no
   connection.  FD is -1 if it closed the session before.  */
static bool
visit (int *fd)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (callers),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  *fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool taken = connect (*fd, (struct sockaddr *)&address, sizeof address) == 0;
  if (taken && send (*fd, "STARTUP ledger u1\r\n", 19, MSG_NOSIGNAL) == 19
      && strncmp (read_until (*fd, "READY"), "READY I", 7) == 0
      && send (*fd, "QUERY v WRITE 1 a\r\n", 19, MSG_NOSIGNAL) == 19)
    return true;
  close (*fd);
  *fd = -1;
  return taken;
}

/* Guards against LOST: a host that leaves took requests up to the moment in
   which it ended, and those that then ran got no answer.  */
UNIT_TEST (test_requests_that_arrive_while_a_host_leaves_are_answered)
{
  int visits[VISIT_LIMIT];
  size_t count = 0, served = 0, taken = 0;
  for (int i = 0; i < 3; i++)
    {
      char *fault = mem_printf ("{\"instance\":%d,\"kind\":\"slow\"}", i);
      inject_fault (fault);
      free (fault);
    }
  kill (host, SIGTERM);
  while (count < VISIT_LIMIT && visit (&visits[count]))
    {
      count++;
      usleep (VISIT_INTERVAL_MS * 1000);
    }
  ck_assert_uint_lt (count, VISIT_LIMIT);
  for (size_t i = 0; i < count; i++)
    {
      if (visits[i] < 0)
        continue;
      const char *answer = read_until (visits[i], "READY");
      taken++;
      served += strncmp (answer, "COMPLETE", 8) == 0;
      ck_assert_msg (strstr (answer, "READY") != NULL,
                     "request %zu of %zu: \"%s\"", i, count, answer);
      close (visits[i]);
    }
  /* No session is closed before its first request.  */
  ck_assert_uint_ge (taken + 1, count);
  ck_assert_uint_gt (served, 0);
}

UNIT_MAIN ("serve", .setup = set_up, .teardown = tear_down, .timeout_s = 60)
