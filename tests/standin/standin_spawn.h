/* standin_spawn - starts a stand-in from the build directory, for a test or a
   benchmark.

   The standard input of a stand-in is a pipe from the caller.  The stand-in
   ends when the pipe closes, so also when the caller crashes.  A failure to
   start ends the caller with an error message.  */

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
  int input;      /* write end of the pipe that is its standard input */
  char line[512]; /* ready line, such as "control=PORT ..." */
};

extern char **environ;

/* Ends this process with a message about WHAT unless CONDITION is true.  */
static inline void
standin_require (bool condition, const char *what)
{
  if (condition)
    return;
  fprintf (stderr, "stand-in: %s failed\n", what);
  exit (EXIT_FAILURE);
}

/* Starts PROGRAM from the directory of this program and sets ARGV[0].  FD are
   its standard input, output and error; -1 is that of this process.  */
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

/* Starts the stand-in PROGRAM and reads its ready line.  */
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
  FILE *output = fdopen (out[0], "r");
  standin_require (fgets (standin->line, sizeof standin->line, output) != NULL,
                   "first line");
  fclose (output);
}

/* Stops the stand-in, which must end with status 0.  */
static inline void
standin_stop (struct standin *standin)
{
  int status = 0;
  close (standin->input);
  waitpid (standin->pid, &status, 0);
  standin_require (status == 0, "exit status");
}

/* Returns the port that follows KEY, such as "control=", in the ready
   line.  */
static inline uint16_t
standin_port (const struct standin *standin, const char *key)
{
  const char *at = strstr (standin->line, key);
  standin_require (at != NULL, key);
  return (uint16_t)strtoul (at + strlen (key), NULL, 10);
}

#endif
