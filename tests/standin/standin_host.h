/* standin_host - starts savoryway from the build directory as a host, and
   fills the stand-in of the platform, for a test or a benchmark.

   A host is killed when this process exits.  A failure of a function here ends
   this process, unless the function returns a status.  */

#ifndef STANDIN_HOST_H
#define STANDIN_HOST_H

#include <signal.h>
#include <sodium.h>
#include <time.h>

#include "cli/http_client.h"
#include "core/view.h"
#include "kernel/mem.h"
#include "standin_spawn.h"

#define HOST_WAIT_MS 10000 /* limit for a start or a change of state */
#define HOST_OUTPUT_BYTES 65536
#define HOST_LIMIT 8 /* hosts that run at the same time */

/* Token key and RPC secret of all hosts.  */
#define HOST_KEY                                                              \
  "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

struct host
{
  pid_t pid;
  int output; /* temporary file with its standard output and error */
};

static inline double
host_now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

/* Running hosts, killed when this process exits; 0 is a free entry.  */
static pid_t host_pids[HOST_LIMIT];

/* Replaces the entry PID in the list of running hosts by REPLACEMENT.  */
static inline void
host_replace_pid (pid_t pid, pid_t replacement)
{
  for (size_t i = 0; i < HOST_LIMIT; i++)
    if (host_pids[i] == pid)
      {
        host_pids[i] = replacement;
        return;
      }
}

static inline void
host_kill_all (void)
{
  for (size_t i = 0; i < HOST_LIMIT; i++)
    if (host_pids[i] > 0)
      kill (host_pids[i], SIGKILL);
}

static inline void
host_kill_on_signal (int number)
{
  (void)number;
  host_kill_all ();
  _exit (EXIT_FAILURE);
}

/* Starts "savoryway ARGV[1]...", and sets ARGV[0].  */
static inline void
host_start (struct host *host, char **argv)
{
  setenv ("SAVORYWAY_TOKEN_KEY", HOST_KEY, 1);
  setenv ("SAVORYWAY_RPC_SECRET", HOST_KEY, 1);
  host->output = open ("/tmp", O_TMPFILE | O_RDWR | O_CLOEXEC, 0600);
  standin_require (host->output >= 0, "open");
  host->pid = standin_start ("savoryway", argv,
                             (const int[]){ -1, host->output, host->output });
  atexit (host_kill_all);
  signal (SIGTERM, host_kill_on_signal);
  signal (SIGINT, host_kill_on_signal);
  signal (SIGPIPE, host_kill_on_signal);
  host_replace_pid (0, host->pid);
}

/* Copies the output of the host so far to TEXT.  */
static inline void
host_output (const struct host *host, char text[HOST_OUTPUT_BYTES])
{
  ssize_t length = pread (host->output, text, HOST_OUTPUT_BYTES - 1, 0);
  text[length > 0 ? length : 0] = '\0';
}

/* Waits until the host logs that INTERFACE listens, and returns its port.  */
static inline uint16_t
host_port (const struct host *host, const char *interface)
{
  char text[HOST_OUTPUT_BYTES];
  char key[64];
  double deadline_ms = host_now_ms () + HOST_WAIT_MS;
  snprintf (key, sizeof key, "interface=%s ", interface);
  while (host_now_ms () < deadline_ms)
    {
      host_output (host, text);
      char *line = strstr (text, key);
      char *end = line != NULL ? strchr (line, '\n') : NULL;
      char *port = end != NULL ? strstr (line, "port=") : NULL;
      if (port != NULL && port < end)
        return (uint16_t)strtoul (port + strlen ("port="), NULL, 10);
      usleep (500);
    }
  standin_require (false, interface);
  return 0;
}

/* Sends an HTTP request to the loopback port PORT.  Returns the HTTP status, 0
   if there is no answer.  *TEXT, unless TEXT is NULL, gets the body, which the
   caller frees.  */
static inline int
host_request (uint16_t port, const char *method, const char *path,
              const char *body, char **text)
{
  struct http_client_response answer;
  struct http_client_request request
      = { .method = method,
          .address = "127.0.0.1",
          .port = port,
          .path = path,
          .body = body,
          .body_bytes = body != NULL ? strlen (body) : 0 };
  http_client_call (&request, &answer);
  int status = answer.status;
  if (text != NULL)
    *text = mem_strdup (answer.body);
  http_client_response_clear (&answer);
  return status;
}

/* Waits until a GET of PATH returns 200.  */
static inline void
host_wait_ready (uint16_t port, const char *path)
{
  double deadline_ms = host_now_ms () + HOST_WAIT_MS;
  while (host_request (port, "GET", path, NULL, NULL) != 200)
    {
      standin_require (host_now_ms () < deadline_ms, path);
      usleep (500);
    }
}

/* Waits for the end of the host.  Returns its exit status, -1 if a signal
   ended it.  */
static inline int
host_wait_exit (struct host *host)
{
  int status = 0;
  waitpid (host->pid, &status, 0);
  host_replace_pid (host->pid, 0);
  close (host->output);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

/* Stops the stand-in of the platform.  */
static inline void
platform_stop (struct standin *platform)
{
  kill (platform->pid, SIGTERM);
  standin_stop (platform);
}

/* Creates KEY in the store of the platform; it must not exist.  */
static inline void
platform_put_key (uint16_t platform, const char *key, const char *value)
{
  char encoded[8192];
  sodium_bin2base64 (encoded, sizeof encoded, (const unsigned char *)value,
                     strlen (value), sodium_base64_VARIANT_ORIGINAL);
  char *body = mem_printf ("[{\"KV\": {\"Verb\": \"cas\", \"Index\": 0, "
                           "\"Key\": \"%s\", \"Value\": \"%s\"}}]",
                           key, encoded);
  standin_require (
      host_request (platform, "PUT", "/v1/txn", body, NULL) == 200, key);
  free (body);
}

/* Stores the configuration of a team "bench" with a service "ledger" on the
   database group DB: a caller "c" with SECRET, and the kinds "read" (with
   session consistency), "strong" (a strong read) and "write".  */
static inline void
platform_put_team (uint16_t platform, const struct standin *db,
                   const char *secret)
{
  static const uint8_t salt[VIEW_SALT_BYTES];
  char hash[VIEW_SECRET_HASH_BYTES];
  view_secret_hash (secret, salt, hash);
  char *team = mem_printf (
      "{\"services\": {\"ledger\": {\"callers\": {\"c\": {\"secret_hash\": "
      "\"%s\"}}, \"kinds\": {\"read\": {\"freshness\": \"session\", "
      "\"repeatable\": true, \"write\": false}, \"strong\": {\"freshness\": "
      "\"strong\", \"repeatable\": true, \"write\": false}, \"write\": "
      "{\"write\": true}},"
      " \"databases\": {\"l1\": {\"slots\": 5, \"connections\": 70, "
      "\"instances\": {\"a\": {\"address\": \"127.0.0.1\", \"port\": %u, "
      "\"domain\": \"x\"}, \"b\": {\"address\": \"127.0.0.1\", \"port\": %u, "
      "\"domain\": \"x\"}, \"c\": {\"address\": \"127.0.0.1\", \"port\": %u, "
      "\"domain\": \"x\"}}}}}}}",
      hash, standin_port (db, "instance=a port="),
      standin_port (db, "instance=b port="),
      standin_port (db, "instance=c port="));
  platform_put_key (platform, "savoryway/config/bench", team);
  platform_put_key (platform, "savoryway/head",
                    "{\"revision\": 1, \"changes\": [{\"revision\": 1, "
                    "\"team\": \"bench\", \"change_id\": \"1\", \"who\": "
                    "\"bench\", \"when_s\": 0}]}");
  free (team);
}

/* Adds a host to the host list of the platform.  */
static inline void
platform_put_host (uint16_t platform, const char *name, const char *domain,
                   uint16_t port, const char *incarnation)
{
  char *body = mem_printf (
      "{\"ID\": \"%s\", \"Name\": \"savoryway\", \"Address\": \"127.0.0.1\", "
      "\"Port\": %u, \"Meta\": {\"domain\": \"%s\", \"incarnation\": \"%s\"}}",
      name, port, domain, incarnation);
  standin_require (
      host_request (platform, "PUT", "/v1/agent/service/register", body, NULL)
          == 200,
      name);
  free (body);
}

#endif
