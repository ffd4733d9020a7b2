#include <inttypes.h>
#include <stdio.h>

#include "cli/command.h"

static void
print_rows (const json_t *object)
{
  const char *key;
  json_t *value;
  json_object_foreach ((json_t *)object, key, value)
  {
    if (json_is_string (value))
      printf ("%-16s %s\n", key, json_string_value (value));
    else if (json_is_boolean (value))
      printf ("%-16s %s\n", key, json_is_true (value) ? "yes" : "no");
    else if (json_is_integer (value))
      printf ("%-16s %" JSON_INTEGER_FORMAT "\n", key,
              json_integer_value (value));
  }
}

int
cmd_status_main (int argc, char **argv)
{
  struct operator_input input = { 0 };
  json_t *answer;
  command_parse (&input, SETTINGS_OPERATOR, "Show the state of one host.",
                 argc, argv);
  int status
      = command_request (&input.settings, "GET", "/v1/status", NULL, &answer);
  if (status == EXIT_OK && input.json)
    command_print_json (answer);
  else if (status == EXIT_OK)
    print_rows (answer);
  json_decref (answer);
  settings_clear (&input.settings);
  return status;
}

int
cmd_drain_main (int argc, char **argv)
{
  struct operator_input input = { 0 };
  json_t *answer;
  command_parse (&input, SETTINGS_OPERATOR,
                 "Start the graceful shutdown of one host.", argc, argv);
  int status
      = command_request (&input.settings, "POST", "/v1/drain", NULL, &answer);
  if (status == EXIT_OK && input.json)
    command_print_json (answer);
  else if (status == EXIT_OK)
    puts ("The host is draining; it exits when its requests have ended.");
  json_decref (answer);
  settings_clear (&input.settings);
  return status;
}
