/* log_stdout - writes log lines to standard output without blocking.

   Lines are buffered and written once per iteration of the event loop.  While
   the reader of the pipe does not keep up and the buffer is full, further
   lines are dropped; the next line that fits reports their number.  */

#ifndef SAVORYWAY_CLI_LOG_STDOUT_H
#define SAVORYWAY_CLI_LOG_STDOUT_H

#include "kernel/clock.h"

/* Size of the buffer.  */
#define LOG_STDOUT_BYTES ((size_t)64 * 1024)

struct log_stdout;

/* Makes standard output non-blocking.  CLK provides the timestamps.  */
struct log_stdout *log_stdout_new (struct clk *clk);

/* Flushes and frees OUT.  */
void log_stdout_free (struct log_stdout *out);

/* Buffers LINE.  A log_sink; ARG is a struct log_stdout.  */
void log_stdout_line (void *arg, int priority, const char *line);

/* Writes as much of the buffer as possible without blocking.  */
void log_stdout_flush (struct log_stdout *out);

#endif
