/* The hosts: "savoryway serve" as child processes, with the command of the
   deploy file filled in for a small deployment.  */

#include "world.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <event2/http.h>

enum port_use
{
  PORT_CALLERS,
  PORT_READY,
  PORT_METRICS,
  PORT_HOSTS,
  PORTS
};

struct host
{
  char name[24];
  char zone[16];
  uint16_t ports[PORTS];
  pid_t pid; /* 0: not running */
  bool ready;
};

static struct host hosts[HOSTS];
static const char *program;
static const char *directory;
static uint16_t store_port;
static uint16_t promote_port;

#define WORDS 32
#define WORD_BYTES 160

static void
run_host (const struct host *host)
{
  static char words[WORDS][WORD_BYTES];
  char *arguments[WORDS + 1] = { NULL };
  const uint16_t *ports = host->ports;
  int count = 0;
#define WORD(...) snprintf (words[count++], WORD_BYTES, __VA_ARGS__)
  WORD ("%s", program);
  WORD ("serve");
  WORD ("--host=%s", host->name);
  WORD ("--domain=%s", host->zone);
  WORD ("--caller-endpoint=127.0.0.1:%u", ports[PORT_CALLERS]);
  WORD ("--ready-endpoint=127.0.0.1:%u", ports[PORT_READY]);
  WORD ("--store-endpoint=127.0.0.1:%u", store_port);
  WORD ("--promote-endpoint=127.0.0.1:%u", promote_port);
  WORD ("--metrics-endpoint=127.0.0.1:%u", ports[PORT_METRICS]);
  WORD ("--host-endpoint=127.0.0.1:%u", ports[PORT_HOSTS]);
  WORD ("--link-mbps=700.0");
  WORD ("--shutdown-limit-s=6");
  WORD ("--instance-drain-ms=7000");
  WORD ("--config-apply-ms=3000");
  WORD ("--fencing-enforced=true");
  WORD ("--strict-revocation=");
  WORD ("--revoke-ms=");
  WORD ("--limit-window-s=");
  WORD ("--limit-overage=");
  WORD ("--limit-tolerance=");
  WORD ("--memory-mb=182");
  WORD ("--max-fds=2940");
  WORD ("--areas=zone-1=here,zone-2=here,zone-3=here");
  WORD ("--log-level=info");
#undef WORD
  for (int i = 0; i < count; i++)
    arguments[i] = words[i];
  execv (program, arguments);
  _exit (127);
}

void
hosts_start_one (int i)
{
  struct host *host = &hosts[i];
  char path[300];
  host->ready = false;
  host->pid = fork ();
  if (host->pid != 0)
    return;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  snprintf (path, sizeof path, "%s/%s.log", directory, host->name);
  int log = open (path, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2 (log, 1);
  dup2 (log, 2);
  close_range (3, ~0u, 0);
  run_host (host);
}

static void
on_ready (struct evhttp_request *request, void *arg)
{
  struct host *host = arg;
  host->ready
      = request != NULL && evhttp_request_get_response_code (request) == 200;
}

/* Asks each host whether it is ready, once a second as the platform does.  */
static void
ask_ready (void *arg)
{
  (void)arg;
  for (int i = 0; i < HOSTS; i++)
    {
      struct evhttp_connection *connection = evhttp_connection_base_new (
          base, NULL, "127.0.0.1", hosts[i].ports[PORT_READY]);
      struct evhttp_request *request
          = evhttp_request_new (on_ready, &hosts[i]);
      evhttp_connection_set_timeout (connection, 1);
      evhttp_connection_free_on_completion (connection);
      evhttp_make_request (connection, request, EVHTTP_REQ_GET, "/readyz");
    }
  run_after (500, ask_ready, NULL);
}

bool
hosts_ready (void)
{
  bool ready = true;
  for (int i = 0; i < HOSTS; i++)
    ready &= hosts[i].ready;
  return ready;
}

uint16_t
hosts_caller_port (int host)
{
  return hosts[host].ports[PORT_CALLERS];
}

pid_t
hosts_pid (int host)
{
  return hosts[host].pid;
}

void
hosts_start (const char *given_program, const char *given_directory)
{
  program = given_program;
  directory = given_directory;
  store_port = store_open ();
  promote_port = instances_promote_port ();
  for (int i = 0; i < HOSTS; i++)
    {
      struct host *host = &hosts[i];
      snprintf (host->name, sizeof host->name, "edge-zone-%d-1", i + 1);
      snprintf (host->zone, sizeof host->zone, "zone-%d", i + 1);
      for (int k = 0; k < PORTS; k++)
        host->ports[k] = free_port ();
      hosts_start_one (i);
    }
  ask_ready (NULL);
}

void
hosts_signal_all (int number)
{
  for (int i = 0; i < HOSTS; i++)
    if (hosts[i].pid > 0)
      kill (hosts[i].pid, number);
  record ("signal %d to all hosts", number);
  if (number != SIGKILL)
    return;
  for (int i = 0; i < HOSTS; i++)
    {
      if (hosts[i].pid > 0)
        waitpid (hosts[i].pid, NULL, 0);
      hosts[i].pid = 0;
      hosts[i].ready = false;
    }
}

void
hosts_end (void)
{
  for (int i = 0; i < HOSTS; i++)
    if (hosts[i].pid > 0)
      {
        kill (hosts[i].pid, SIGKILL);
        waitpid (hosts[i].pid, NULL, 0);
      }
}
