/* bench_view - memory and speed of the view at several numbers of
   databases.  */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "core/view.h"

#define DATABASES_PER_TEAM 30
#define INSTANCES 3
#define KINDS 8
#define LOOKUPS 1000000
#define VERIFICATIONS 100000

static double
now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static void
print_instances (FILE *out, size_t team, size_t database)
{
  for (size_t i = 0; i < INSTANCES; i++)
    fprintf (out,
             "%s\"%c\": {\"address\": \"10.%zu.%zu.%zu\", \"port\": 5432,"
             " \"domain\": \"domain-%zu\"}",
             i ? "," : "", (char)('a' + i), team, database, i + 1, i);
}

static char *
team_json (size_t team, size_t databases, size_t *length)
{
  char *text = NULL;
  FILE *out = open_memstream (&text, length);
  fputs ("{\"services\": {\"ledger\": {\"kinds\": {", out);
  for (size_t i = 0; i < KINDS; i++)
    fprintf (out, "%s\"kind-%zu\": {\"deadline_ms\": 2000}", i ? "," : "", i);
  fputs ("}, \"databases\": {", out);
  for (size_t i = 0; i < databases; i++)
    {
      fprintf (out,
               "%s\"ledger-%zu\": {\"slots\": 5, \"connections\": 70,"
               " \"instances\": {",
               i ? "," : "", i);
      print_instances (out, team, i);
      fputs ("}}", out);
    }
  fputs ("}}}}", out);
  fclose (out);
  return text;
}

static void
apply (struct view *view, size_t team, size_t databases)
{
  struct findings findings = { 0 };
  char name[NAME_BYTES];
  size_t length = 0;
  char *json = team_json (team, databases, &length);
  snprintf (name, sizeof name, "team-%zu", team);
  if (!view_apply (view, name, json, length, &findings))
    {
      fprintf (stderr, "%s: %s\n", findings.items[0].path,
               findings.items[0].text);
      exit (EXIT_FAILURE);
    }
  free (json);
}

/* Returns the time of one look-up by name; -1 if a look-up failed.  */
static double
lookup_ns (struct view *view, size_t count)
{
  char name[PATH_BYTES];
  size_t found = 0;
  double start_ms = now_ms ();
  for (size_t i = 0; i < LOOKUPS; i++)
    {
      size_t n = (i * 7919) % count;
      snprintf (name, sizeof name, "team-%zu/ledger/ledger-%zu",
                n / DATABASES_PER_TEAM, n % DATABASES_PER_TEAM);
      found += view_database (view, name) != NULL;
    }
  double spent_ms = now_ms () - start_ms;
  return found == LOOKUPS ? spent_ms * 1e6 / LOOKUPS : -1;
}

/* Returns the time to verify a caller's secret, as each request does; -1 if a
   verification failed.  */
static double
verify_ns (void)
{
  static const uint8_t salt[VIEW_SALT_BYTES] = { 1 };
  char hash[VIEW_SECRET_HASH_BYTES];
  const char *secret = "0123456789abcdef0123456789abcdef";
  size_t verified = 0;
  view_secret_hash (secret, salt, hash);
  const struct view_caller caller = { .secret_hash = hash };
  double start_ms = now_ms ();
  for (size_t i = 0; i < VERIFICATIONS; i++)
    verified += view_caller_verify (&caller, secret);
  double spent_ms = now_ms () - start_ms;
  return verified == VERIFICATIONS ? spent_ms * 1e6 / VERIFICATIONS : -1;
}

static void
measure (size_t count)
{
  size_t before = mallinfo2 ().uordblks;
  struct view *view = view_new ();
  double start_ms = now_ms ();
  for (size_t i = 0; i < count; i += DATABASES_PER_TEAM)
    {
      size_t remaining = count - i;
      apply (view, i / DATABASES_PER_TEAM,
             remaining < DATABASES_PER_TEAM ? remaining : DATABASES_PER_TEAM);
    }
  double load_ms = now_ms () - start_ms;
  view_first_database (view);
  size_t bytes = mallinfo2 ().uordblks - before;
  start_ms = now_ms ();
  apply (view, 0, count < DATABASES_PER_TEAM ? count : DATABASES_PER_TEAM);
  view_first_database (view);
  double change_ms = now_ms () - start_ms;
  printf ("bench=view databases=%zu bytes=%zu bytes_per_database=%zu"
          " load_ms=%.1f change_ms=%.2f lookup_ns=%.0f\n",
          count, bytes, bytes / count, load_ms, change_ms,
          lookup_ns (view, count));
  view_free (view);
}

int
main (void)
{
  const size_t counts[] = { 60, 660, 3300, 6600 };
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    measure (counts[i]);
  printf ("bench=view verify_ns=%.0f\n", verify_ns ());
  return 0;
}
