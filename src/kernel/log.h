/* log - structured log lines: one line of key=value pairs for each event, with
   a syslog priority.

     log_event (log, LOG_INFO, "route", LOG_S ("database", db->name),
                LOG_U ("term", term));

   prints  <6>event=route database=ledger-1 term=4

   Values with blanks, quotes, '=' or control characters are quoted and
   escaped, so that input from callers can't inject a line.  Lines beyond the
   rate limit of an event name are dropped and counted; the next line of that
   event reports the count as dropped=N.  */

#ifndef SAVORYWAY_KERNEL_LOG_H
#define SAVORYWAY_KERNEL_LOG_H

#include <stddef.h>
#include <stdint.h>
#include <syslog.h>

#include "kernel/clock.h"

struct log;

enum log_kind
{
  LOG_KIND_STRING,
  LOG_KIND_SIGNED,
  LOG_KIND_UNSIGNED
};

struct log_field
{
  const char *key;
  enum log_kind kind;
  const char *text;
  int64_t i;
  uint64_t u;
};

#define LOG_S(k, v)                                                           \
  {                                                                           \
    .key = (k), .kind = LOG_KIND_STRING, .text = (v)                          \
  }
#define LOG_I(k, v)                                                           \
  {                                                                           \
    .key = (k), .kind = LOG_KIND_SIGNED, .i = (v)                             \
  }
#define LOG_U(k, v)                                                           \
  {                                                                           \
    .key = (k), .kind = LOG_KIND_UNSIGNED, .u = (v)                           \
  }

/* Receives a complete line without the newline.  */
typedef void (*log_sink) (void *arg, int priority, const char *line);

/* Returns a log that passes lines of priority LEVEL or more urgent to SINK.
   RATE_PER_S is the limit in lines per second of each event name, measured
   with CLK; 0 for no limit.  */
struct log *log_new (struct clk *clk, int level, uint32_t rate_per_s,
                     log_sink sink, void *arg);
void log_free (struct log *log);

void log_set_level (struct log *log, int level);
int log_level (const struct log *log);

/* Sink that writes "<priority>line" to standard error.  */
void log_to_stderr (void *arg, int priority, const char *line);

/* Writes one line for EVENT with COUNT fields.  A NULL string prints as
   "-".  */
void log_write (struct log *log, int priority, const char *event,
                const struct log_field *fields, size_t count);

/* Writes one line for EVENT with the LOG_S, LOG_I and LOG_U fields that
   follow.  */
#define log_event(log, priority, event, ...)                                  \
  do                                                                          \
    {                                                                         \
      const struct log_field log_fields_[] = { __VA_ARGS__ };                 \
      log_write ((log), (priority), (event), log_fields_,                     \
                 sizeof log_fields_ / sizeof log_fields_[0]);                 \
    }                                                                         \
  while (0)

#endif
