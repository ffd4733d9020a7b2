#include <stdlib.h>
#include <string.h>

#include "cli/command.h"
#include "kernel/mem.h"

struct input
{
  struct settings_source source;
  const char *service;
  const char *database;
  const char *kind;
  const char *session;
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct input *input = state->input;
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &input->source;
      return 0;
    case 'd':
      input->database = arg;
      return 0;
    case 'k':
      input->kind = arg;
      return 0;
    case 's':
      input->session = arg;
      return 0;
    case 'j': /* the answer is always JSON */
      return 0;
    case ARGP_KEY_ARG:
      if (input->service != NULL)
        argp_usage (state);
      input->service = arg;
      return 0;
    case ARGP_KEY_END:
      if (input->service == NULL && input->database == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Returns PATH with NAME=VALUE appended to its query, or PATH itself if VALUE
   is NULL.  Takes over PATH.  */
static char *
add_query (char *path, const char *name, const char *value)
{
  if (value == NULL)
    return path;
  char *encoded = command_uri_encode (value);
  char separator = strchr (path, '?') == NULL ? '?' : '&';
  char *longer = mem_printf ("%s%c%s=%s", path, separator, name, encoded);
  free (encoded);
  free (path);
  return longer;
}

static char *
build_path (const struct input *input)
{
  char *path = mem_strdup ("/v1/explain");
  path = add_query (path, "service", input->service);
  path = add_query (path, "database", input->database);
  path = add_query (path, "kind", input->kind);
  return add_query (path, "session", input->session);
}

int
cmd_explain_main (int argc, char **argv)
{
  static const struct argp_option options[]
      = { { "database", 'd', "NAME", 0, "Database of the service", 0 },
          { "kind", 'k', "NAME", 0, "Kind of request", 0 },
          { "session", 's', "TOKEN", 0, "Session token of the caller", 0 },
          { "json", 'j', NULL, 0, "No effect: the answer is always JSON", 0 },
          { 0 } };
  struct argp_child children[]
      = { { settings_argp (SETTINGS_OPERATOR), 0, "Settings:", 0 }, { 0 } };
  struct argp argp = { .options = options,
                       .parser = parse_option,
                       .args_doc = "[TEAM/SERVICE]",
                       .doc = "Show how a request would be routed, and why, "
                              "without running it.\vOn the users' platform "
                              "a database is enough.",
                       .children = children };
  struct input input = { 0 };
  struct settings settings;
  json_t *answer;
  argp_parse (&argp, argc, argv, 0, NULL, &input);
  settings_from_flags (&settings, SETTINGS_OPERATOR, &input.source);
  char *path = build_path (&input);
  int status = command_request (&settings, "GET", path, NULL, &answer);
  if (status == EXIT_OK)
    command_print_json (answer);
  json_decref (answer);
  free (path);
  settings_clear (&settings);
  return status;
}
