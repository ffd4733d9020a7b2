#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/command.h"
#include "core/entry.h"
#include "kernel/mem.h"

/* Time for the network round trip, added to the deadline of a statement.  */
#define ANSWER_MARGIN_MS 5000

struct input
{
  struct settings_source source;
  json_t *body;
  json_t *params;
  const char *user;
  const char *secret_file;
  const char *session_file;
  bool json;
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
      json_object_set_new (input->body, "database", json_string (arg));
      return 0;
    case 'k':
      json_object_set_new (input->body, "kind", json_string (arg));
      return 0;
    case 'r':
      json_object_set_new (input->body, "request_id", json_string (arg));
      return 0;
    case 'R':
      json_object_set_new (input->body, "retry", json_true ());
      return 0;
    case 't':
      json_object_set_new (input->body, "deadline_ms",
                           json_integer (atoll (arg)));
      return 0;
    case 'u':
      input->user = arg;
      return 0;
    case 'p':
      input->secret_file = arg;
      return 0;
    case 's':
      input->session_file = arg;
      return 0;
    case 'j':
      input->json = true;
      return 0;
    case ARGP_KEY_ARG:
      if (state->arg_num == 0)
        json_object_set_new (input->body, "service", json_string (arg));
      else if (state->arg_num == 1)
        json_object_set_new (input->body, "statement", json_string (arg));
      else
        json_array_append_new (input->params, json_string (arg));
      return 0;
    case ARGP_KEY_END:
      if (state->arg_num < 2)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Returns the first line of file PATH, or NULL; the caller frees it.  */
static char *
read_line (const char *path)
{
  char *line = NULL;
  size_t capacity = 0;
  FILE *file = fopen (path, "re");
  if (file == NULL)
    return NULL;
  if (getline (&line, &capacity, file) < 0)
    {
      free (line);
      line = NULL;
    }
  fclose (file);
  if (line != NULL)
    line[strcspn (line, "\r\n")] = '\0';
  return line;
}

static bool
write_line (const char *path, const char *line)
{
  FILE *file = fopen (path, "we");
  if (file == NULL)
    return false;
  bool ok = fprintf (file, "%s\n", line) > 0;
  return fclose (file) == 0 && ok;
}

/* Returns the caller's secret, which is read from a file or else from
   SAVORYWAY_CALLER_SECRET; the caller frees it.  No flag takes the secret
   itself, since command lines are visible to other users.  */
static char *
read_secret (const struct input *input)
{
  if (input->secret_file != NULL)
    return read_line (input->secret_file);
  return mem_strdup (getenv (SETTINGS_PREFIX "CALLER_SECRET"));
}

/* Prints VALUE in the format of psql; NULL as an empty string.  */
static void
print_value (const json_t *value)
{
  if (json_is_string (value))
    fputs (json_string_value (value), stdout);
  else if (!json_is_null (value))
    json_dumpf (value, stdout, JSON_ENCODE_ANY | JSON_COMPACT);
}

static void
print_rows (const json_t *result)
{
  size_t i;
  json_t *row;
  json_array_foreach (json_object_get (result, "rows"), i, row)
  {
    size_t j;
    json_t *value;
    json_array_foreach (row, j, value)
    {
      if (j > 0)
        putchar ('\t');
      print_value (value);
    }
    putchar ('\n');
  }
}

static void
print_answer (const struct input *input, const json_t *answer)
{
  if (input->json)
    {
      command_print_json (answer);
      return;
    }
  static const char *const keys[]
      = { "outcome", "reason", "request_id", "served_by", "message" };
  print_rows (json_object_get (answer, "result"));
  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    {
      const char *text = json_string_value (json_object_get (answer, keys[i]));
      if (text != NULL)
        fprintf (stderr, "%s%s=%s", i > 0 ? " " : "", keys[i], text);
    }
  fputc ('\n', stderr);
}

static int
exit_status (const json_t *answer)
{
  const char *outcome
      = json_string_value (json_object_get (answer, "outcome"));
  if (outcome == NULL)
    return EXIT_FAILED;
  if (strcmp (outcome, outcome_name (OUTCOME_DONE)) == 0)
    return EXIT_OK;
  return strcmp (outcome, outcome_name (OUTCOME_UNKNOWN)) == 0 ? EXIT_UNKNOWN
                                                               : EXIT_NOT_RUN;
}

static int
handle_answer (const struct input *input,
               const struct http_client_response *response)
{
  json_t *answer = json_loadb (response->body, response->body_bytes, 0, NULL);
  int status = EXIT_FAILED;
  if (answer != NULL)
    {
      print_answer (input, answer);
      status = exit_status (answer);
    }
  else
    fprintf (stderr, "savoryway: the host answered %d\n", response->status);
  if (input->session_file != NULL && response->session != NULL
      && !write_line (input->session_file, response->session))
    {
      perror (input->session_file);
      status = status == EXIT_OK ? EXIT_FAILED : status;
    }
  json_decref (answer);
  return status;
}

static int
send_statement (const struct input *input, const struct settings *settings)
{
  struct http_client_response response;
  char *secret = read_secret (input);
  char *session
      = input->session_file != NULL ? read_line (input->session_file) : NULL;
  char *body = json_dumps (input->body, JSON_COMPACT);
  struct http_client_header headers[] = { { "Savoryway-Session", session } };
  json_int_t deadline_ms
      = json_integer_value (json_object_get (input->body, "deadline_ms"));
  struct http_client_request request
      = { .method = "POST",
          .address = settings->caller_address,
          .port = (uint16_t)settings->caller_port,
          .path = "/v1/statement",
          .user = input->user,
          .password = secret,
          .headers = headers,
          .header_count = session != NULL && *session != '\0' ? 1 : 0,
          .body = body,
          .body_bytes = strlen (body),
          .timeout_ms = deadline_ms > 0 ? deadline_ms + ANSWER_MARGIN_MS : 0 };
  int status;
  if (http_client_call (&request, &response) == 0)
    status = handle_answer (input, &response);
  else
    {
      fprintf (stderr, "savoryway: %s\n", response.error);
      status = EXIT_UNREACHABLE;
    }
  http_client_response_clear (&response);
  free (secret);
  free (session);
  free (body);
  return status;
}

int
cmd_query_main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "database", 'd', "NAME", 0, "Database of the service", 0 },
    { "kind", 'k', "NAME", 0, "Kind of request", 0 },
    { "request-id", 'r', "ID", 0,
      "Request id, under which the statement runs at most once", 0 },
    { "retry", 'R', NULL, 0, "An earlier request with this id may have run",
      0 },
    { "deadline-ms", 't', "N", 0, "Deadline of the statement in milliseconds",
      0 },
    { "user", 'u', "NAME", 0, "Name of the caller", 0 },
    { "secret-file", 'p', "FILE", 0,
      "File with the caller's secret [SAVORYWAY_CALLER_SECRET]", 0 },
    { "session-file", 's', "FILE", 0,
      "File from which the session token is read and to which it is written",
      0 },
    { "json", 'j', NULL, 0, "Print the answer as JSON", 0 },
    { 0 }
  };
  struct argp_child children[]
      = { { settings_argp (SETTINGS_CALLER), 0, "Settings:", 0 }, { 0 } };
  struct argp argp
      = { .options = options,
          .parser = parse_option,
          .args_doc = "TEAM/SERVICE STATEMENT [PARAMETER...]",
          .doc = "Run one statement through a host.\vExit status: 0 success, "
                 "3 no answer from the host, 4 not run, 5 may have run, 1 and "
                 "2 as for all commands.  After 3 or 5, repeat the statement "
                 "with the same --request-id.",
          .children = children };
  struct input input
      = { .body = json_object (), .params = json_array (), .user = "caller" };
  struct settings settings;
  argp_parse (&argp, argc, argv, 0, NULL, &input);
  settings_from_flags (&settings, SETTINGS_CALLER, &input.source);
  if (json_array_size (input.params) > 0)
    json_object_set (input.body, "params", input.params);
  int status = send_statement (&input, &settings);
  json_decref (input.params);
  json_decref (input.body);
  settings_clear (&settings);
  return status;
}
