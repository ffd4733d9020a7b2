#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cli/command.h"

#define ARGUMENTS_LIMIT 3

struct input
{
  struct settings_source source;
  struct settings settings;
  const char *arguments[ARGUMENTS_LIMIT];
  size_t count;
  bool json;
};

static const char args_doc[] = "status\n"
                               "order DATABASE [INSTANCE]\n"
                               "hold DATABASE\n"
                               "release DATABASE";

static const char doc[]
    = "Show, order or block changes of the primary.\v"
      "DATABASE is TEAM/SERVICE/NAME; INSTANCE is the same followed by "
      "/INSTANCE.  `order' moves the primary to INSTANCE, or to any other "
      "instance that has all writes, after the writes in flight have ended.  "
      "`hold' blocks automatic changes until `release'.  `status' shows the "
      "databases that the queried host coordinates.";

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct input *input = state->input;
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &input->source;
      return 0;
    case 'j':
      input->json = true;
      return 0;
    case ARGP_KEY_ARG:
      if (input->count == ARGUMENTS_LIMIT)
        argp_usage (state);
      input->arguments[input->count++] = arg;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
print_status (const json_t *list)
{
  size_t i;
  json_t *item;
  json_array_foreach (list, i, item)
  {
    json_int_t term = 0;
    int hold = 0, suspected = 0, waiting = 0;
    const char *database = "", *state = "", *primary = "", *promotion = "";
    json_unpack (item, "{s:s, s:I, s:s, s:s, s:b, s:b, s:s, s:b}", "database",
                 &database, "term", &term, "state", &state, "primary",
                 &primary, "hold", &hold, "suspected", &suspected, "promotion",
                 &promotion, "waits_for_platform", &waiting);
    printf ("%s term %" JSON_INTEGER_FORMAT " %s primary %s%s%s", database,
            term, state, primary, hold ? " held" : "",
            suspected ? " suspected" : "");
    if (strcmp (promotion, "none") != 0)
      printf (" promotion %s", promotion);
    puts (waiting ? " (waiting: the platform does not answer)" : "");
  }
}

/* Sends a request and prints the answer: the lines of `status' if there is no
   BODY, or else JSON.  Takes over the reference to BODY.  Returns an exit
   status.  */
static int
send_request (struct input *input, const char *method, const char *path,
              json_t *body)
{
  json_t *answer;
  int status = command_request (&input->settings, method, path, body, &answer);
  if (status == EXIT_OK && (input->json || body != NULL))
    command_print_json (answer);
  else if (status == EXIT_OK)
    print_status (answer);
  json_decref (answer);
  json_decref (body);
  return status;
}

static int
run_verb (struct input *input)
{
  const char *verb = input->arguments[0];
  const char *database = input->arguments[1];
  const char *target = input->arguments[2];
  if (strcmp (verb, "status") == 0 && input->count == 1)
    return send_request (input, "GET", "/v1/failover", NULL);
  if (strcmp (verb, "order") == 0 && input->count >= 2)
    return send_request (
        input, "POST", "/v1/failover/order",
        json_pack ("{s:s, s:s*}", "database", database, "target", target));
  bool hold = strcmp (verb, "hold") == 0;
  if ((hold || strcmp (verb, "release") == 0) && input->count == 2)
    return send_request (
        input, "POST", "/v1/failover/hold",
        json_pack ("{s:s, s:b}", "database", database, "hold", (int)hold));
  fprintf (stderr, "savoryway: failover %s\n", args_doc);
  return EXIT_WRONG_SETTINGS;
}

int
cmd_failover_main (int argc, char **argv)
{
  static const struct argp_option options[]
      = { { "json", 'j', NULL, 0, "Print the answer as JSON", 0 }, { 0 } };
  struct argp_child children[]
      = { { settings_argp (SETTINGS_OPERATOR), 0, "Settings:", 0 }, { 0 } };
  struct argp argp = { .options = options,
                       .parser = parse_option,
                       .args_doc = args_doc,
                       .doc = doc,
                       .children = children };
  struct input input = { 0 };
  argp_parse (&argp, argc, argv, 0, NULL, &input);
  settings_from_flags (&input.settings, SETTINGS_OPERATOR, &input.source);
  int status = run_verb (&input);
  settings_clear (&input.settings);
  return status;
}
