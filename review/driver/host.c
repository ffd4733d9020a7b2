#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "driver.h"
#include "port/address.h"

static struct host hosts[MAX_HOSTS];
static size_t host_count;
static uint16_t store_port;
static uint16_t promote_port;

/* Returns a port of 127.0.0.1 that is free now.  */
static uint16_t
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0)
    unable ("no free port");
  uint16_t port = address_bound_port (fd);
  close (fd);
  return port;
}

struct host *
host_new (const char *name, const char *zone, uint16_t store, uint16_t promote)
{
  struct host *host = &hosts[host_count];
  if (host_count == MAX_HOSTS)
    unable ("too many hosts");
  host_count++;
  store_port = store;
  promote_port = promote;
  snprintf (host->name, sizeof host->name, "%s", name);
  snprintf (host->zone, sizeof host->zone, "%s", zone);
  host->callers = free_port ();
  host->ready = free_port ();
  host->metrics = free_port ();
  host->peers = free_port ();
  return host;
}

/* Runs the command of the deploy file; never returns.  */
static void
exec_host (const struct host *host)
{
  static char words[13][2 * NAME];
  char *argv[16] = { "target/savoryway", "serve" };
  const char *log_folder = getenv ("HOST_LOGS");
  char path[LINE];
  size_t n = 0;
#define WORD(...) snprintf (words[n++], sizeof words[0], __VA_ARGS__)
  WORD ("--host=%s", host->name);
  WORD ("--domain=%s", host->zone);
  WORD ("--caller-endpoint=127.0.0.1:%u", host->callers);
  WORD ("--ready-endpoint=127.0.0.1:%u", host->ready);
  WORD ("--store-endpoint=127.0.0.1:%u", store_port);
  WORD ("--promote-endpoint=127.0.0.1:%u", promote_port);
  WORD ("--metrics-endpoint=127.0.0.1:%u", host->metrics);
  WORD ("--host-endpoint=127.0.0.1:%u", host->peers);
  WORD ("--link-mbps=700.0");
  WORD ("--shutdown-limit-s=6");
  WORD ("--instance-drain-ms=7000");
  WORD ("--fencing-enforced=true");
  WORD ("--log-level=info");
#undef WORD
  for (size_t i = 0; i < n; i++)
    argv[i + 2] = words[i];
  argv[n + 2] = NULL;
  snprintf (path, sizeof path, "%s/%s.log",
            log_folder != NULL ? log_folder : "/tmp", host->name);
  int fd = open (log_folder != NULL ? path : "/dev/null",
                 O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (fd >= 0)
    {
      dup2 (fd, 1);
      dup2 (fd, 2);
    }
  /* The host ends with the driver.  */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  execv (argv[0], argv);
  _exit (127);
}

void
host_start (struct host *host)
{
  record ("host %s: starts", host->name);
  pid_t pid = fork ();
  if (pid < 0)
    unable ("no process");
  if (pid == 0)
    exec_host (host);
  host->pid = pid;
}

void
host_signal (struct host *host, int number)
{
  record ("host %s: gets signal %d (%s)", host->name, number,
          strsignal (number));
  if (host->pid > 0)
    kill (host->pid, number);
}

void
host_kill (struct host *host)
{
  host_signal (host, SIGKILL);
  if (host->pid > 0)
    waitpid (host->pid, NULL, 0);
  host->pid = 0;
}

bool
host_has_ended (struct host *host, int *exit_code)
{
  int status;
  *exit_code = -1;
  if (host->pid <= 0)
    return true;
  if (waitpid (host->pid, &status, WNOHANG) != host->pid)
    return false;
  host->pid = 0;
  if (WIFEXITED (status))
    *exit_code = WEXITSTATUS (status);
  record ("host %s: has ended, %s %d", host->name,
          WIFEXITED (status) ? "exit code" : "signal",
          WIFEXITED (status) ? WEXITSTATUS (status) : WTERMSIG (status));
  return true;
}

void
hosts_end (void)
{
  for (size_t i = 0; i < host_count; i++)
    if (hosts[i].pid > 0)
      {
        kill (hosts[i].pid, SIGKILL);
        waitpid (hosts[i].pid, NULL, 0);
        hosts[i].pid = 0;
      }
}

bool
host_is_ready (struct host *host)
{
  static const char request[] = "GET /readyz HTTP/1.1\r\nHost: ready\r\n"
                                "Connection: close\r\n\r\n";
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (host->ready) };
  struct timeval limit = { .tv_usec = 500000 };
  char reply[16] = "";
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  bool good = fd >= 0
              && connect (fd, (struct sockaddr *)&address, sizeof address) == 0
              && send (fd, request, sizeof request - 1, MSG_NOSIGNAL)
                     == (ssize_t)sizeof request - 1
              && recv (fd, reply, sizeof reply - 1, MSG_WAITALL) > 12
              && strncmp (reply + 9, "200", 3) == 0;
  if (fd >= 0)
    close (fd);
  return good;
}

bool
host_wait_ready (struct host *host, long limit_ms)
{
  long end_ms = now_ms () + limit_ms;
  while (now_ms () < end_ms)
    {
      if (host_is_ready (host))
        {
          record ("host %s: is ready", host->name);
          return true;
        }
      run_for (50);
    }
  return false;
}
