/* log_stdout - log lines to standard output, never blocking.

   Lines gather in a bounded buffer that is written once a turn of the loop.
   While the reader takes nothing, further lines are dropped and counted.  */

#ifndef SAVORYWAY_CLI_LOG_OUT_H
#define SAVORYWAY_CLI_LOG_OUT_H

#include "kernel/clock.h"

#define LOG_OUT_BYTES ((size_t)64 * 1024)

struct log_stdout;

/* Lines are stamped with CLK.  */
struct log_stdout *log_stdout_new (struct clk *clk);
void log_stdout_free (struct log_stdout *out);

/* A log_sink; ARG is a struct log_stdout.  */
void log_stdout_line (void *arg, int priority, const char *line);

/* Writes what has gathered, as far as the reader takes it.  */
void log_stdout_flush (struct log_stdout *out);

#endif
