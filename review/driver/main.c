#include "driver.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

struct event_base *events;
static FILE *out;
static struct timespec started;

long
now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (now.tv_sec - started.tv_sec) * 1000
         + (now.tv_nsec - started.tv_nsec) / 1000000;
}

void
record (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (out, "%8ld ", now_ms ());
  vfprintf (out, format, args);
  fprintf (out, "\n");
  va_end (args);
}

void
unable (const char *why)
{
  record ("the case could not run: %s", why);
  fclose (out);
  hosts_end ();
  fprintf (stderr, "could not run: %s\n", why);
  exit (VERDICT_UNABLE);
}

struct later
{
  void (*fn) (void *arg);
  void *arg;
};

static void
on_later (evutil_socket_t fd, short what, void *arg)
{
  struct later later = *(struct later *)arg;
  (void)fd;
  (void)what;
  free (arg);
  later.fn (later.arg);
}

void
after (long span_ms, void (*fn) (void *arg), void *arg)
{
  struct timeval span
      = { .tv_sec = span_ms / 1000, .tv_usec = span_ms % 1000 * 1000 };
  struct later *later = calloc (1, sizeof *later);
  if (later == NULL)
    unable ("memory");
  *later = (struct later){ fn, arg };
  event_base_once (events, -1, EV_TIMEOUT, on_later, later, &span);
}

static void
on_wake (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
}

bool
run_until (bool (*done) (void *arg), void *arg, long limit_ms)
{
  long end_ms = now_ms () + limit_ms;
  struct timeval step = { .tv_usec = 2000 };
  struct event *wake = event_new (events, -1, EV_PERSIST, on_wake, NULL);
  bool is_done = false;
  event_add (wake, &step);
  while (!(is_done = done != NULL && done (arg)) && now_ms () < end_ms)
    event_base_loop (events, EVLOOP_ONCE);
  event_free (wake);
  return is_done;
}

void
run_for (long span_ms)
{
  run_until (NULL, NULL, span_ms);
}

long
chance (long limit)
{
  return limit > 0 ? random () % limit : 0;
}

bool
trouble (void)
{
  const char *text = getenv ("TROUBLE");
  return text == NULL || strcmp (text, "0") != 0;
}

int
main (int argc, char **argv)
{
  if (argc != 2 || (out = fopen (argv[1], "w")) == NULL)
    {
      fprintf (stderr, "usage: case RECORD\n");
      return VERDICT_UNABLE;
    }
  setvbuf (out, NULL, _IOLBF, 0);
  clock_gettime (CLOCK_MONOTONIC, &started);
  srandom ((unsigned)(started.tv_nsec ^ getpid ()));
  events = event_base_new ();
  enum verdict verdict = run_case ();
  record ("the rule %s", verdict == VERDICT_BROKEN ? "was broken" : "held");
  hosts_end ();
  fclose (out);
  return (int)verdict;
}
