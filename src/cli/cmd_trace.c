#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/command.h"
#include "kernel/mem.h"

struct trace_input
{
  const char *id;
};

static const struct argp_option options[]
    = { { "id", 'i', "ID", 0, "Id of the request", 0 }, { 0 } };

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct trace_input *input = state->input;
  switch (key)
    {
    case 'i':
      input->id = arg;
      return 0;
    case ARGP_KEY_END:
      if (input->id == NULL || input->id[0] == '\0')
        argp_error (state, "--id is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Copies the value of KEY in LINE, without quotes, to OUT of SIZE bytes; an
   empty string if LINE has no such key.  */
static void
read_field (const char *line, const char *key, char *out, size_t size)
{
  char *prefix = mem_printf (" %s=", key);
  const char *value = strstr (line, prefix);
  out[0] = '\0';
  if (value != NULL)
    {
      value += strlen (prefix);
      const char *end = *value == '"' ? strchr (++value, '"') : NULL;
      size_t length
          = end != NULL ? (size_t)(end - value) : strcspn (value, " \n");
      snprintf (out, size, "%.*s", (int)length, value);
    }
  free (prefix);
}

/* Returns what CODE of an answer means for the request, as the end of a
   sentence.  */
static const char *
code_description (const char *code)
{
  if (strcmp (code, "ok") == 0)
    return "succeeded";
  if (strcmp (code, "indoubt") == 0 || strcmp (code, "timeout") == 0)
    return "may have run";
  if (strcmp (code, "failed") == 0)
    return "ran and failed";
  if (strcmp (code, "nodb") == 0)
    return "named a database that is not configured";
  return "had no effect";
}

/* Prints the outcome of request ID from LAST, its last log line.  */
static void
print_outcome (const char *id, const char *last)
{
  char event[32], code[32], cause[160], instance[NAME_BYTES], attempts[16];
  char spent[16];
  read_field (last, "event", event, sizeof event);
  read_field (last, "code", code, sizeof code);
  read_field (last, "why", cause, sizeof cause);
  read_field (last, "instance", instance, sizeof instance);
  read_field (last, "attempts", attempts, sizeof attempts);
  read_field (last, "spent_ms", spent, sizeof spent);
  if (strcmp (event, "left") == 0)
    {
      char stage[32];
      read_field (last, "stage", stage, sizeof stage);
      printf (
          "%s: the session was closed after %s ms, while the request was %s; "
          "last instance %s\n",
          id, spent, stage, instance[0] != '\0' ? instance : "none");
      return;
    }
  if (strcmp (event, "answer") != 0)
    {
      printf ("%s: no answer is logged; the last event is \"%s\"\n", id,
              event);
      return;
    }
  printf ("%s %s (%s) after %s ms and %s attempts; last instance %s%s%s\n", id,
          code_description (code), code, spent, attempts,
          instance[0] != '\0' ? instance : "none",
          strcmp (cause, "-") != 0 ? "; cause: " : "",
          strcmp (cause, "-") != 0 ? cause : "");
}

int
cmd_trace_main (int argc, char **argv)
{
  struct argp argp
      = { .options = options,
          .parser = parse_option,
          .doc = "Read logs of hosts from standard input and print the lines "
                 "of one request, followed by its outcome and the cause.\v"
                 "Requests that succeed on the first attempt are not logged.  "
                 "Exit status: 0 if the request was found, 1 if not." };
  struct trace_input input = { 0 };
  char *line = NULL, *last = NULL;
  size_t size = 0;
  argp_parse (&argp, argc, argv, 0, NULL, &input);
  while (getline (&line, &size, stdin) > 0)
    {
      char id[128];
      read_field (line, "id", id, sizeof id);
      if (strcmp (id, input.id) != 0)
        continue;
      fputs (line, stdout);
      free (last);
      last = mem_strdup (line);
    }
  if (last != NULL)
    print_outcome (input.id, last);
  else
    printf ("%s: no line found\n", input.id);
  int status = last != NULL ? EXIT_OK : EXIT_FAILED;
  free (last);
  free (line);
  return status;
}
