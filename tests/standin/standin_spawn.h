/* standin_spawn - starts a stand-in from the build directory for a test or
   a measurement.

   The stand-in ends when the caller's end of its standard input closes, so
   also when the caller fails.  A failure to start ends the caller.  */

#ifndef STANDIN_SPAWN_H
#define STANDIN_SPAWN_H

#include <fcntl.h>
#include <spawn.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

struct standin
{
  pid_t pid;
  int input;
  char line[512]; /* "control=PORT ..." */
};

extern char **environ;

static inline void
standin_require (bool condition, const char *what)
{
  if (condition)
    return;
  fprintf (stderr, "stand-in: %s failed\n", what);
  exit (EXIT_FAILURE);
}

/* Starts PROGRAM, from the directory of this one, with the standard streams
   FD, -1 for those of this process; ARGV[0] is filled in.  */
static inline pid_t
standin_start (const char *program, char **argv, const int fd[3])
{
  char path[4096];
  pid_t pid;
  ssize_t length = readlink ("/proc/self/exe", path, sizeof path - 1);
  standin_require (length > 0, "readlink");
  path[length] = 0;
  strcpy (strrchr (path, '/') + 1, program);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init (&actions);
  for (int i = 0; i < 3; i++)
    if (fd[i] >= 0)
      posix_spawn_file_actions_adddup2 (&actions, fd[i], i);
  argv[0] = path;
  standin_require (
      posix_spawn (&pid, path, &actions, NULL, argv, environ) == 0, program);
  posix_spawn_file_actions_destroy (&actions);
  return pid;
}

static inline void
standin_spawn (struct standin *standin, const char *program, char **argv)
{
  int in[2], out[2];
  standin_require (pipe2 (in, O_CLOEXEC) == 0 && pipe2 (out, O_CLOEXEC) == 0,
                   "pipe");
  standin->pid
      = standin_start (program, argv, (const int[]){ in[0], out[1], -1 });
  close (in[0]);
  close (out[1]);
  standin->input = in[1];
  FILE *ready = fdopen (out[0], "r");
  standin_require (fgets (standin->line, sizeof standin->line, ready) != NULL,
                   "first line");
  fclose (ready);
}

/* Ends the stand-in; it must have run without a fault.  */
static inline void
standin_stop (struct standin *standin)
{
  int status = 0;
  close (standin->input);
  waitpid (standin->pid, &status, 0);
  standin_require (status == 0, "exit status");
}

/* Returns the port that follows KEY in the ready line.  */
static inline uint16_t
standin_port (const struct standin *standin, const char *key)
{
  const char *at = strstr (standin->line, key);
  standin_require (at != NULL, key);
  return (uint16_t)strtoul (at + strlen (key), NULL, 10);
}

#endif
