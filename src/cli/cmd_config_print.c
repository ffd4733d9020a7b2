#include "cli/cmd_config_print.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cli/command.h"

int
config_exit_status (int http_status)
{
  switch (http_status)
    {
    case 200:
      return EXIT_OK;
    case 0:
      return EXIT_UNREACHABLE;
    case 400:
    case 422:
      return EXIT_WRONG_SETTINGS;
    case 503:
      return EXIT_NOT_RUN;
    case 504:
      return EXIT_UNKNOWN;
    default:
      return EXIT_FAILED;
    }
}

static const char *
text_of (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text != NULL ? text : "";
}

static long long
number_of (const json_t *object, const char *key)
{
  return (long long)json_integer_value (json_object_get (object, key));
}

void
config_print_refusal (const json_t *answer)
{
  const json_t *error = json_object_get (answer, "error");
  if (error != NULL)
    fprintf (stderr, "savoryway: %s\n", text_of (error, "text"));
}

/* The index goes to standard error, so that standard output can be saved to a
   file and applied later with --index.  */
void
config_print_tree (const json_t *answer)
{
  command_print_json (json_object_get (answer, "config"));
  fprintf (stderr, "index=%lld\n", number_of (answer, "index"));
}

void
config_print_history (const json_t *answer)
{
  size_t i;
  json_t *change;
  printf ("%-9s %-20s %-16s %-16s %s\n", "REVISION", "WHEN (UTC)", "TEAM",
          "WHO", "PATH");
  json_array_foreach (json_object_get (answer, "changes"), i, change)
  {
    char when[32];
    struct tm utc;
    time_t seconds = (time_t)number_of (change, "when_s");
    gmtime_r (&seconds, &utc);
    strftime (when, sizeof when, "%Y-%m-%dT%H:%M:%SZ", &utc);
    printf ("%-9lld %-20s %-16s %-16s %s\n", number_of (change, "revision"),
            when, text_of (change, "team"), text_of (change, "who"),
            text_of (change, "path"));
  }
}

void
config_print_revisions (const json_t *answer)
{
  size_t i;
  json_t *share;
  const json_t *shares = json_object_get (answer, "shares");
  long long hosts = 0;
  json_array_foreach (shares, i, share)
  {
    hosts += number_of (share, "hosts");
  }
  printf ("%-9s %-7s %s\n", "REVISION", "HOSTS", "SHARE");
  json_array_foreach (shares, i, share)
  {
    long long count = number_of (share, "hosts");
    printf ("%-9lld %-7lld %.1f%%\n", number_of (share, "revision"), count,
            hosts > 0 ? 100.0 * (double)count / (double)hosts : 0.0);
  }
}

static void
print_value (const char *prefix, const json_t *value)
{
  char *text
      = value ? json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
  printf (" %s%s", prefix, text != NULL ? text : "nothing");
  free (text);
}

static void
print_difference (const json_t *difference)
{
  size_t i;
  json_t *item;
  json_array_foreach (difference, i, item)
  {
    printf ("%s:", text_of (item, "path"));
    print_value ("", json_object_get (item, "from"));
    print_value ("-> ", json_object_get (item, "to"));
    putchar ('\n');
  }
}

void
config_print_change (const json_t *answer)
{
  size_t i;
  json_t *finding;
  config_print_refusal (answer);
  if (json_object_get (answer, "status") == NULL)
    return;
  if (strcmp (text_of (answer, "status"), "done") == 0
      && number_of (answer, "revision") == 0)
    printf ("nothing was written, index=%lld\n", number_of (answer, "index"));
  else
    printf ("%s revision=%lld index=%lld change_id=%s\n",
            text_of (answer, "status"), number_of (answer, "revision"),
            number_of (answer, "index"), text_of (answer, "change_id"));
  print_difference (json_object_get (answer, "difference"));
  if (json_object_get (answer, "message") != NULL)
    fprintf (stderr, "savoryway: %s\n", text_of (answer, "message"));
  json_array_foreach (json_object_get (answer, "findings"), i, finding)
  {
    fprintf (stderr, "%s: %s\n", text_of (finding, "path"),
             text_of (finding, "text"));
  }
}

void
config_print_findings (const struct findings *findings, bool json)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < findings->count; i++)
    {
      const struct finding *finding = &findings->items[i];
      json_array_append_new (list,
                             json_pack ("{s:s, s:s}", "path", finding->path,
                                        "text", finding->text));
      if (!json)
        fprintf (stderr, "%s: %s\n", finding->path, finding->text);
    }
  json_t *object = json_pack ("{s:o}", "findings", list);
  if (json)
    command_print_json (object);
  else if (findings->count == 0)
    puts ("valid");
  json_decref (object);
}
