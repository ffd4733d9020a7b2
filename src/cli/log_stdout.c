#include "cli/log_stdout.h"

#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kernel/mem.h"

struct log_stdout
{
  struct clk *clk;
  size_t used;
  uint64_t dropped;
  char buffer[LOG_OUT_BYTES];
};

struct log_stdout *
log_stdout_new (struct clk *clk)
{
  struct log_stdout *out = mem_zalloc (sizeof *out);
  out->clk = clk;
  int flags = fcntl (STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  return out;
}

void
log_stdout_free (struct log_stdout *out)
{
  if (out == NULL)
    return;
  log_stdout_flush (out);
  free (out);
}

void
log_stdout_line (void *arg, int priority, const char *line)
{
  struct log_stdout *out = arg;
  size_t room = sizeof out->buffer - out->used;
  int length = snprintf (out->buffer + out->used, room, "<%d>ms=%lld %s%s",
                         priority, (long long)clk_now (out->clk), line,
                         out->dropped > 0 ? " lines_dropped=" : "");
  if (length < 0 || (size_t)length + 24 >= room)
    {
      out->dropped++;
      return;
    }
  out->used += (size_t)length;
  if (out->dropped > 0)
    out->used += (size_t)sprintf (out->buffer + out->used, "%llu",
                                  (unsigned long long)out->dropped);
  out->dropped = 0;
  out->buffer[out->used++] = '\n';
}

void
log_stdout_flush (struct log_stdout *out)
{
  if (out->used == 0)
    return;
  ssize_t written = write (STDOUT_FILENO, out->buffer, out->used);
  if (written <= 0)
    return; /* tried again at the next turn */
  out->used -= (size_t)written;
  memmove (out->buffer, out->buffer + written, out->used);
}
