/* One host of `savoryway serve' as a process, against the stand-in of the
   platform.  */

#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>

#include "../standin/standin_spawn.h"
#include "kernel/mem.h"
#include "unit.h"

#define LINES 400
#define READY_TRIES 100

static struct standin fleet;
static pid_t host;
static FILE *host_log;
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

/* Reads up to and with the line that begins with END, or to the end.  */
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

static const char *
ask (int fd, const char *statement)
{
  static unsigned number;
  char *text = mem_printf ("QUERY q%u %s\r\n", ++number, statement);
  send_text (fd, text);
  free (text);
  return read_until (fd, "READY");
}

static const char *
get (uint16_t port, const char *path)
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

static void
control (const char *body)
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

static int
start_session (void)
{
  int fd = connect_to (callers);
  send_text (fd, "STARTUP ledger u1\r\n");
  ck_assert_str_eq (read_until (fd, "READY"), "READY I -\r\n");
  return fd;
}

static uint16_t
read_port (const char *interface)
{
  char line[1024];
  char *wanted = mem_printf ("interface=%s port=", interface);
  for (int i = 0; i < LINES; i++)
    {
      ck_assert_ptr_nonnull (fgets (line, sizeof line, host_log));
      const char *at = strstr (line, wanted);
      if (at == NULL)
        continue;
      uint16_t port = (uint16_t)strtoul (at + strlen (wanted), NULL, 10);
      free (wanted);
      return port;
    }
  ck_abort_msg ("no line of %s", interface);
}

/* A port that nothing listens on.  */
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

/* Starts a host against the store and the promotions at these ports.  */
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
  for (int i = 0; strstr (get (ready, "/readyz"), " 200 ") == NULL; i++)
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

UNIT_TEST (test_a_session_writes_and_reads_its_write)
{
  int fd = start_session ();
  const char *answer = ask (fd, "WRITE 1 blue");
  ck_assert_msg (strncmp (answer, "COMPLETE i-0.q", 14) == 0, "%s", answer);
  answer = ask (fd, "READ 1");
  ck_assert_msg (strncmp (answer, "ROW blue\r\nCOMPLETE i-", 21) == 0, "%s",
                 answer);
  ck_assert_ptr_nonnull (strstr (get (metrics, "/metrics"),
                                 "savoryway_statements_total{code=\"ok\"}"));
  close (fd);
}

UNIT_TEST (test_operators_are_told_the_state_of_a_host)
{
  const char *status = get (metrics, "/v1/status");
  ck_assert_ptr_nonnull (strstr (status, "\"host\":\"h1\""));
  ck_assert_ptr_nonnull (strstr (status, "\"ready\":true"));
  ck_assert_ptr_nonnull (strstr (status, "\"store_reached\":true"));
  const char *topology = get (metrics, "/v1/topology");
  ck_assert_ptr_nonnull (strstr (topology, "\"name\":\"i-0\""));
  ck_assert_ptr_nonnull (strstr (topology, "\"gateways\":[\"h1\"]"));
  const char *why = get (metrics, "/v1/explain?database=ledger");
  ck_assert_ptr_nonnull (strstr (why, "\"primary\":\"i-0\""));
  ck_assert_ptr_nonnull (strstr (why, "\"why\":\""));
  ck_assert_ptr_nonnull (
      strstr (get (metrics, "/v1/explain?database=none"), " 404 "));
  ck_assert_ptr_nonnull (strstr (get (metrics, "/v1/explain"), " 400 "));
  ck_assert_ptr_nonnull (
      strstr (get (metrics, "/metrics"), "savoryway_statement_ms_bucket{"));
}

UNIT_TEST (test_a_transaction_is_answered_step_by_step)
{
  int fd = start_session ();
  ck_assert_str_eq (ask (fd, "BEGIN"), "COMPLETE -\r\nREADY T -\r\n");
  ck_assert_ptr_nonnull (strstr (ask (fd, "WRITE 2 red"), "READY T "));
  ck_assert_ptr_nonnull (strstr (ask (fd, "COMMIT"), "READY I "));
  ck_assert_ptr_nonnull (strstr (ask (fd, "NONSENSE"), "ERROR MALFORMED"));
  close (fd);
}

UNIT_TEST (test_a_database_that_is_not_configured_is_refused)
{
  int fd = connect_to (callers);
  send_text (fd, "STARTUP nowhere u1\r\n");
  ck_assert_str_eq (read_until (fd, "READY"), "ERROR NODB nowhere\r\n");
  close (fd);
}

UNIT_PLAIN (test_no_database_is_unknown_before_the_configuration_is_read)
{
  struct pollfd poll_fd = { .events = POLLIN };
  unsigned nobody = free_port ();
  start_host (nobody, nobody);
  poll_fd.fd = connect_to (callers);
  send_text (poll_fd.fd, "STARTUP ledger u1\r\n");
  ck_assert_int_eq (poll (&poll_fd, 1, 700), 0);
  ck_assert_ptr_null (strstr (get (ready, "/readyz"), " 200 "));
  close (poll_fd.fd);
  stop_host ();
}

UNIT_TEST (test_a_crashed_primary_is_replaced)
{
  int fd = start_session ();
  ask (fd, "WRITE 3 one");
  control ("{\"instance\":0,\"kind\":\"crash\"}");
  const char *answer = "";
  for (int i = 0; i < 60 && strncmp (answer, "COMPLETE", 8) != 0; i++)
    {
      usleep (50000);
      answer = ask (fd, "WRITE 3 two");
    }
  ck_assert_msg (strncmp (answer, "COMPLETE i-", 11) == 0, "%s", answer);
  close (fd);
}

UNIT_MAIN ("serve", .setup = set_up, .teardown = tear_down, .timeout_s = 60)
