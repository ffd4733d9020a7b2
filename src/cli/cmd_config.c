#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "cli/cmd_config_print.h"
#include "cli/command.h"
#include "kernel/mem.h"

#define ARGUMENTS_LIMIT 3
#define CHANGE_ID_RANDOM_BYTES 16
#define NO_INDEX (-1)

struct input
{
  struct settings_source source;
  struct settings settings;
  const char *verb;
  const char *arguments[ARGUMENTS_LIMIT];
  size_t count;
  const char *user;
  const char *secret_file;
  const char *change_id;
  int64_t index; /* of --index, or NO_INDEX */
  bool json;
};

static int run_get (struct input *input);
static int run_set (struct input *input);
static int run_delete (struct input *input);
static int run_apply (struct input *input);
static int run_diff (struct input *input);
static int run_history (struct input *input);
static int run_status (struct input *input);
static int run_check (struct input *input);

static const struct verb
{
  const char *name;
  size_t min; /* number of arguments after the verb */
  size_t max;
  int (*run) (struct input *input);
} verbs[] = {
  { "get", 1, 2, run_get },       { "set", 3, 3, run_set },
  { "delete", 1, 2, run_delete }, { "apply", 2, 2, run_apply },
  { "diff", 2, 2, run_diff },     { "history", 0, 1, run_history },
  { "status", 0, 0, run_status }, { "check", 1, 2, run_check },
};

static const char args_doc[] = "get TEAM [PATH]\n"
                               "set TEAM PATH VALUE\n"
                               "delete TEAM [PATH]\n"
                               "apply TEAM FILE\n"
                               "diff TEAM FILE\n"
                               "history [TEAM]\n"
                               "status\n"
                               "check FILE [TEAM]";

static const char doc[]
    = "Read and change the configuration of teams.\v"
      "PATH lists the names from the root of the team's subtree down, "
      "separated by '/'.  VALUE is JSON; text that is not JSON is used as a "
      "string.  FILE is the whole subtree of a team as JSON; '-' is standard "
      "input.  `check' contacts no host.  The operator's secret is read from "
      "a file or from SAVORYWAY_OPERATOR_SECRET.  If a change may have been "
      "made, repeat it with the same --change-id to learn its outcome.";

static const struct argp_option options[] = {
  { "json", 'j', NULL, 0, "Print the answer as JSON", 0 },
  { "user", 'u', "NAME", 0, "Operator [SAVORYWAY_OPERATOR]", 0 },
  { "secret-file", 'p', "FILE", 0, "File with the operator's secret", 0 },
  { "index", 'i', "N", 0,
    "Change only if the team's index is still N, as printed by `get'", 0 },
  { "change-id", 'c', "ID", 0, "Id of the change (default: a random one)", 0 },
  { 0 },
};

static const struct verb *
find_verb (const char *name)
{
  for (size_t i = 0; i < sizeof verbs / sizeof verbs[0]; i++)
    if (strcmp (verbs[i].name, name) == 0)
      return &verbs[i];
  return NULL;
}

static void
parse_index (struct input *input, char *arg, struct argp_state *state)
{
  char *end;
  input->index = strtoll (arg, &end, 10);
  if (*end != '\0' || end == arg || input->index < 0)
    argp_error (state, "--index %s: not a whole number", arg);
}

static void
check_arguments (struct input *input, struct argp_state *state)
{
  const struct verb *verb = input->verb ? find_verb (input->verb) : NULL;
  if (verb == NULL || input->count < verb->min || input->count > verb->max)
    argp_usage (state);
}

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
    case 'u':
      input->user = arg;
      return 0;
    case 'p':
      input->secret_file = arg;
      return 0;
    case 'c':
      input->change_id = arg;
      return 0;
    case 'i':
      parse_index (input, arg, state);
      return 0;
    case ARGP_KEY_ARG:
      if (state->arg_num > ARGUMENTS_LIMIT)
        argp_usage (state);
      else if (state->arg_num == 0)
        input->verb = arg;
      else
        input->arguments[input->count++] = arg;
      return 0;
    case ARGP_KEY_END:
      check_arguments (input, state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Returns the text of the file at PATH and sets LENGTH in bytes; the caller
   frees it.  Prints a message and returns NULL if there is none.  */
static char *
read_file (const char *path, size_t *length)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "re");
  char *text = NULL;
  size_t capacity = 0;
  ssize_t read_bytes
      = file != NULL ? getdelim (&text, &capacity, '\0', file) : -1;
  if (file == NULL || ferror (file))
    perror (path);
  else if (read_bytes < 0)
    fprintf (stderr, "%s: file is empty\n", path);
  if (file != NULL && file != stdin)
    fclose (file);
  if (read_bytes >= 0)
    {
      *length = (size_t)read_bytes;
      return text;
    }
  free (text);
  return NULL;
}

static json_t *
read_tree (const char *path)
{
  json_error_t error;
  size_t length = 0;
  char *text = read_file (path, &length);
  if (text == NULL)
    return NULL;
  json_t *tree = json_loadb (text, length, JSON_REJECT_DUPLICATES, &error);
  if (tree == NULL)
    fprintf (stderr, "%s:%d:%d: %s\n", path, error.line, error.column,
             error.text);
  free (text);
  return tree;
}

static char *
read_secret (const struct input *input)
{
  size_t length = 0;
  if (input->secret_file == NULL)
    return mem_strdup (getenv (SETTINGS_PREFIX "OPERATOR_SECRET"));
  char *secret = read_file (input->secret_file, &length);
  if (secret != NULL)
    secret[strcspn (secret, "\r\n")] = '\0';
  return secret;
}

/* Sends a request with the operator's credentials and sets ANSWER, NULL if
   there is no JSON.  Returns the HTTP status, 0 if there was no answer.  */
static int
send_request (struct input *input, const char *method, const char *path,
              const json_t *body, json_t **answer)
{
  struct http_client_response response;
  char *secret = read_secret (input);
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;
  const struct http_client_request request = {
    .method = method,
    .address = input->settings.operator_address,
    .port = (uint16_t)input->settings.operator_port,
    .path = path,
    .user = secret != NULL ? input->user : NULL,
    .password = secret,
    .body = text,
    .body_bytes = text != NULL ? strlen (text) : 0,
  };
  int failed = http_client_call (&request, &response);
  *answer = NULL;
  if (failed)
    fprintf (stderr, "savoryway: %s\n", response.error);
  else
    *answer = json_loadb (response.body, response.body_bytes, 0, NULL);
  int status = response.status;
  http_client_response_clear (&response);
  if (secret != NULL)
    sodium_memzero (secret, strlen (secret));
  free (secret);
  free (text);
  return status;
}

static char *
query_path (const char *path, const char *team, const char *subpath)
{
  char *team_text = command_uri_encode (team);
  char *subpath_text = command_uri_encode (subpath);
  char *uri = mem_printf ("%s?team=%s&path=%s", path, team_text, subpath_text);
  free (team_text);
  free (subpath_text);
  return uri;
}

/* Requests PATH and prints the answer with PRINT, or as JSON if --json was
   given.  Returns an exit status.  */
static int
show (struct input *input, const char *path, void (*print) (const json_t *))
{
  json_t *answer;
  int code = send_request (input, "GET", path, NULL, &answer);
  int status = config_exit_status (code);
  if (status != EXIT_OK)
    config_print_refusal (answer);
  else if (input->json)
    command_print_json (answer);
  else
    print (answer);
  json_decref (answer);
  return status;
}

static int
run_get (struct input *input)
{
  char *path = query_path ("/v1/config", input->arguments[0],
                           input->count > 1 ? input->arguments[1] : "");
  int status = show (input, path, config_print_tree);
  free (path);
  return status;
}

static int
run_history (struct input *input)
{
  char *path = mem_strdup ("/v1/config/history");
  if (input->count > 0)
    {
      free (path);
      path = query_path ("/v1/config/history", input->arguments[0], "");
    }
  int status = show (input, path, config_print_history);
  free (path);
  return status;
}

static int
run_status (struct input *input)
{
  return show (input, "/v1/revisions", config_print_revisions);
}

/* Sends CHANGE and prints the outcome.  Takes over the reference to CHANGE.
   Returns an exit status.  */
static int
submit (struct input *input, json_t *change)
{
  char id[2 * CHANGE_ID_RANDOM_BYTES + 1];
  uint8_t random[CHANGE_ID_RANDOM_BYTES];
  json_t *answer;
  randombytes_buf (random, sizeof random);
  sodium_bin2hex (id, sizeof id, random, sizeof random);
  if (input->change_id != NULL)
    json_object_set_new (change, "change_id", json_string (input->change_id));
  else
    json_object_set_new (change, "change_id", json_string (id));
  json_object_set_new (change, "team", json_string (input->arguments[0]));
  if (input->index != NO_INDEX)
    json_object_set_new (change, "index", json_integer (input->index));
  int code
      = send_request (input, "POST", "/v1/config/change", change, &answer);
  int status = config_exit_status (code);
  if (input->json && answer != NULL)
    command_print_json (answer);
  else
    config_print_change (answer);
  if (status == EXIT_UNREACHABLE || status == EXIT_UNKNOWN)
    fprintf (stderr, "savoryway: repeat the command with --change-id %s\n",
             json_string_value (json_object_get (change, "change_id")));
  json_decref (answer);
  json_decref (change);
  return status;
}

static int
run_set (struct input *input)
{
  const char *text = input->arguments[2];
  json_t *value
      = json_loads (text, JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, NULL);
  if (value == NULL)
    value = json_string (text);
  if (value == NULL)
    {
      fputs ("savoryway: VALUE is not UTF-8\n", stderr);
      return EXIT_WRONG_SETTINGS;
    }
  return submit (input, json_pack ("{s:s, s:s, s:o}", "action", "set", "path",
                                   input->arguments[1], "value", value));
}

static int
run_delete (struct input *input)
{
  const char *path = input->count > 1 ? input->arguments[1] : "";
  return submit (input,
                 json_pack ("{s:s, s:s}", "action", "delete", "path", path));
}

static int
send_file (struct input *input, int dry_run)
{
  json_t *tree = read_tree (input->arguments[1]);
  if (tree == NULL)
    return EXIT_WRONG_SETTINGS;
  return submit (input,
                 json_pack ("{s:s, s:s, s:o, s:b}", "action", "set", "path",
                            "", "value", tree, "dry_run", dry_run));
}

static int
run_apply (struct input *input)
{
  return send_file (input, 0);
}

static int
run_diff (struct input *input)
{
  return send_file (input, 1);
}

static int
run_check (struct input *input)
{
  struct findings findings = { 0 };
  struct view *view = view_new ();
  size_t length = 0;
  int status = EXIT_WRONG_SETTINGS;
  char *text = read_file (input->arguments[0], &length);
  if (text != NULL)
    {
      const char *team = input->count > 1 ? input->arguments[1] : "team";
      if (view_validate (view, team, text, length, &findings))
        status = EXIT_OK;
      config_print_findings (&findings, input->json);
    }
  free (text);
  findings_clear (&findings);
  view_free (view);
  return status;
}

int
cmd_config_main (int argc, char **argv)
{
  struct input input = { .index = NO_INDEX };
  struct argp_child children[]
      = { { settings_argp (SETTINGS_OPERATOR), 0, "Settings:", 0 }, { 0 } };
  const struct argp argp = { .options = options,
                             .parser = parse_option,
                             .args_doc = args_doc,
                             .doc = doc,
                             .children = children };
  argp_parse (&argp, argc, argv, 0, NULL, &input);
  settings_from_flags (&input.settings, SETTINGS_OPERATOR, &input.source);
  if (input.user == NULL)
    input.user = getenv (SETTINGS_PREFIX "OPERATOR");
  int status = find_verb (input.verb)->run (&input);
  settings_clear (&input.settings);
  return status;
}
