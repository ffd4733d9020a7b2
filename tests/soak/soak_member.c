#include "tests/soak/soak_member.h"

#include <signal.h>
#include <sys/stat.h>

#include "kernel/mem.h"
#include "tests/standin/standin_host.h"

#define SHUTDOWN_LIMIT_S 4

/* Returns the first of MEMBERS_MAX ports for calls between hosts.  They are
   below those that the system gives out itself, and other ones for a process
   that runs beside this one.  */
static unsigned
first_port (void)
{
  return 10000 + (unsigned)getpid () % 300 * MEMBERS_MAX;
}

void
member_init (struct member *member, size_t index, const char *prefix)
{
  *member = (struct member){ .host_port = first_port () + (unsigned)index };
  snprintf (member->name, sizeof member->name, "h%zu", index);
  member->log_path = mem_printf ("%s-%s.log", prefix, member->name);
  unlink (member->log_path);
}

void
member_start (struct member *member, const struct standin *platform)
{
  struct stat before = { 0 };
  char *argv[]
      = { NULL,
          "serve",
          mem_printf ("--host=%s", member->name),
          "--domain=zone-1",
          "--caller-endpoint=127.0.0.1:0",
          "--ready-endpoint=127.0.0.1:0",
          "--metrics-endpoint=127.0.0.1:0",
          mem_printf ("--shutdown-limit-s=%d", SHUTDOWN_LIMIT_S),
          mem_printf ("--store-endpoint=127.0.0.1:%u",
                      standin_port (platform, "store=")),
          mem_printf ("--promote-endpoint=127.0.0.1:%u",
                      standin_port (platform, "promote=")),
          mem_printf ("--host-endpoint=127.0.0.1:%u", member->host_port),
          "--log-level=info",
          NULL };
  int log = open (member->log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                  0600);
  standin_require (log >= 0 && fstat (log, &before) == 0, member->log_path);
  member->log_start = before.st_size;
  member->pid
      = standin_start ("savoryway", argv, (const int[]){ -1, log, -1 });
  close (log);
  member->callers = 0;
  member->leaving = false;
  member->disturbed_ms = host_now_ms ();
  free (argv[2]);
  for (size_t i = 7; i <= 10; i++)
    free (argv[i]);
}

bool
member_find_port (struct member *member)
{
  static const char key[] = "interface=callers port=";
  char line[1024];
  if (member->callers != 0)
    return true;
  FILE *log = fopen (member->log_path, "r");
  if (log == NULL)
    return false;
  fseek (log, member->log_start, SEEK_SET);
  while (member->callers == 0 && fgets (line, sizeof line, log) != NULL)
    {
      const char *at = strstr (line, key);
      if (at != NULL)
        member->callers = (uint16_t)strtoul (at + strlen (key), NULL, 10);
    }
  fclose (log);
  return member->callers != 0;
}

bool
member_is_up (const struct member *member)
{
  return member->pid != 0 && !member->frozen && !member->leaving;
}

void
member_kill (struct member *member)
{
  kill (member->pid, SIGKILL);
  waitpid (member->pid, NULL, 0);
}

void
member_stop (struct member *member)
{
  kill (member->pid, SIGTERM);
  member->leaving = true;
  member->disturbed_ms = host_now_ms ();
}

void
member_freeze (struct member *member, double span_ms)
{
  kill (member->pid, SIGSTOP);
  member->frozen = true;
  member->thaw_ms = host_now_ms () + span_ms;
}

void
member_thaw (struct member *member)
{
  kill (member->pid, SIGCONT);
  member->frozen = false;
  member->disturbed_ms = host_now_ms ();
}

void
member_note_end (struct member *member, double span_ms)
{
  member->pid = 0;
  member->callers = 0;
  member->frozen = false;
  member->disturbed_ms = host_now_ms ();
  member->start_ms = member->disturbed_ms + span_ms;
}

void
member_free (struct member *member, bool keep_log)
{
  if (member->pid != 0)
    member_kill (member);
  member->pid = 0;
  if (!keep_log)
    unlink (member->log_path);
  free (member->log_path);
  member->log_path = NULL;
}
