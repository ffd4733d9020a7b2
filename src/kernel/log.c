#include "kernel/log.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "kernel/mem.h"

#define WINDOW_MS 1000

/* Longer values are truncated.  */
#define VALUE_LIMIT_BYTES 1024

/* Rate limit of one event name.  */
struct log_rate
{
  char *event;
  clk_ms window_start_ms;
  uint32_t lines;   /* in the current window */
  uint64_t dropped; /* not reported yet */
  UT_hash_handle hh;
};

struct log
{
  struct clk *clk;
  int level;
  uint32_t rate_per_s;
  log_sink sink;
  void *arg;
  struct log_rate *rates;
};

struct log *
log_new (struct clk *clk, int level, uint32_t rate_per_s, log_sink sink,
         void *arg)
{
  struct log *log = mem_zalloc (sizeof *log);
  log->clk = clk;
  log->level = level;
  log->rate_per_s = rate_per_s;
  log->sink = sink;
  log->arg = arg;
  return log;
}

void
log_free (struct log *log)
{
  if (log == NULL)
    return;
  struct log_rate *rate, *next;
  HASH_ITER (hh, log->rates, rate, next)
  {
    HASH_DEL (log->rates, rate);
    free (rate->event);
    free (rate);
  }
  free (log);
}

void
log_set_level (struct log *log, int level)
{
  log->level = level;
}

int
log_level (const struct log *log)
{
  return log->level;
}

void
log_to_stderr (void *arg, int priority, const char *line)
{
  (void)arg;
  fprintf (stderr, "<%d>%s\n", priority, line);
}

static struct log_rate *
find_rate (struct log *log, const char *event)
{
  struct log_rate *rate = NULL;
  HASH_FIND_STR (log->rates, event, rate);
  if (rate != NULL)
    return rate;
  rate = mem_zalloc (sizeof *rate);
  rate->event = mem_strdup (event);
  rate->window_start_ms = clk_now (log->clk);
  HASH_ADD_KEYPTR (hh, log->rates, rate->event, strlen (event), rate);
  return rate;
}

/* Counts one line of RATE.  Returns false if it is over the limit.  */
static bool
admit_line (struct log *log, struct log_rate *rate)
{
  clk_ms now_ms = clk_now (log->clk);
  if (now_ms - rate->window_start_ms >= WINDOW_MS)
    {
      rate->window_start_ms = now_ms;
      rate->lines = 0;
    }
  if (rate->lines >= log->rate_per_s)
    {
      rate->dropped++;
      return false;
    }
  rate->lines++;
  return true;
}

static bool
is_plain (const char *text)
{
  if (*text == '\0')
    return false;
  for (const char *p = text; *p != '\0'; p++)
    {
      unsigned char c = (unsigned char)*p;
      if (c <= ' ' || c >= 0x7f || c == '"' || c == '=' || c == '\\')
        return false;
    }
  return true;
}

static void
print_quoted (FILE *out, const char *text)
{
  size_t length = strnlen (text, VALUE_LIMIT_BYTES);
  fputc ('"', out);
  for (size_t i = 0; i < length; i++)
    {
      unsigned char c = (unsigned char)text[i];
      if (c == '"' || c == '\\')
        fprintf (out, "\\%c", c);
      else if (c < ' ' || c == 0x7f)
        fprintf (out, "\\x%02x", c);
      else
        fputc (c, out);
    }
  fputs (length == VALUE_LIMIT_BYTES ? "...\"" : "\"", out);
}

static void
print_field (FILE *out, const struct log_field *field)
{
  fprintf (out, " %s=", field->key);
  if (field->kind == LOG_KIND_SIGNED)
    fprintf (out, "%" PRId64, field->i);
  else if (field->kind == LOG_KIND_UNSIGNED)
    fprintf (out, "%" PRIu64, field->u);
  else if (field->text == NULL)
    fputc ('-', out);
  else if (is_plain (field->text)
           && strnlen (field->text, VALUE_LIMIT_BYTES) < VALUE_LIMIT_BYTES)
    fputs (field->text, out);
  else
    print_quoted (out, field->text);
}

void
log_write (struct log *log, int priority, const char *event,
           const struct log_field *fields, size_t count)
{
  uint64_t dropped = 0;
  if (priority > log->level)
    return;
  if (log->rate_per_s > 0)
    {
      struct log_rate *rate = find_rate (log, event);
      if (!admit_line (log, rate))
        return;
      dropped = rate->dropped;
      rate->dropped = 0;
    }

  char *line = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&line, &size);
  if (out == NULL)
    return;
  fprintf (out, "event=%s", event);
  for (size_t i = 0; i < count; i++)
    print_field (out, &fields[i]);
  if (dropped > 0)
    fprintf (out, " dropped=%" PRIu64, dropped);
  fclose (out);
  log->sink (log->arg, priority, line);
  free (line);
}
