#include "cli/command.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/http.h>

#include "kernel/mem.h"

/* Prints the error that the host returned; the raw body if that is not the
   JSON of an error.  */
static void
report_refusal (const struct http_client_response *answer, const json_t *body)
{
  const char *text = json_string_value (
      json_object_get (json_object_get (body, "error"), "text"));
  fprintf (stderr, "savoryway: the host answered %d: %s\n", answer->status,
           text != NULL ? text : answer->body);
}

int
command_request (const struct settings *settings, const char *method,
                 const char *path, json_t *body, json_t **answer)
{
  struct http_client_response response;
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;
  struct http_client_request request
      = { .method = method,
          .address = settings->operator_address,
          .port = (uint16_t)settings->operator_port,
          .path = path,
          .body = text,
          .body_bytes = text != NULL ? strlen (text) : 0 };
  int status = EXIT_OK;
  *answer = NULL;
  if (http_client_call (&request, &response) != 0)
    {
      fprintf (stderr, "savoryway: %s\n", response.error);
      status = EXIT_UNREACHABLE;
    }
  else
    *answer = json_loadb (response.body, response.body_bytes, JSON_DECODE_ANY,
                          NULL);
  if (status == EXIT_OK && (response.status >= 300 || *answer == NULL))
    {
      report_refusal (&response, *answer);
      status = EXIT_FAILED;
    }
  http_client_response_clear (&response);
  free (text);
  return status;
}

void
command_print_json (const json_t *value)
{
  json_dumpf (value, stdout, JSON_INDENT (2) | JSON_ENCODE_ANY);
  putchar ('\n');
}

char *
command_uri_encode (const char *text)
{
  char *encoded = evhttp_uriencode (text, -1, 0);
  return encoded != NULL ? encoded : mem_strdup ("");
}

static error_t
operator_option (int key, char *arg, struct argp_state *state)
{
  struct operator_input *input = state->input;
  (void)arg;
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &input->source;
      return 0;
    case 'j':
      input->json = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

void
command_parse (struct operator_input *input, unsigned commands,
               const char *doc, int argc, char **argv)
{
  static const struct argp_option options[]
      = { { "json", 'j', NULL, 0, "Print the answer as JSON", 0 }, { 0 } };
  struct argp_child children[]
      = { { settings_argp (commands), 0, "Settings:", 0 }, { 0 } };
  struct argp argp = { .options = options,
                       .parser = operator_option,
                       .doc = doc,
                       .children = children };
  argp_parse (&argp, argc, argv, 0, NULL, input);
  settings_from_flags (&input->settings, commands, &input->source);
}
