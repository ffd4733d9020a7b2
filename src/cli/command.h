/* command - the subcommands of the program and their shared functions.

   main runs the function cmd_NAME_main of the subcommand NAME; its return
   value is the exit status of the process.  */

#ifndef SAVORYWAY_CLI_COMMAND_H
#define SAVORYWAY_CLI_COMMAND_H

#include <jansson.h>

#include "cli/http_client.h"
#include "cli/settings.h"

#define SAVORYWAY_VERSION "0.1.0"

/* Exit statuses of all commands.  */
enum
{
  EXIT_OK = 0,
  EXIT_FAILED = 1,         /* refused by the host, or any other failure */
  EXIT_WRONG_SETTINGS = 2, /* wrong usage or settings; no effect */
  EXIT_UNREACHABLE = 3,    /* no answer from the host */
  EXIT_NOT_RUN = 4,        /* query, config: guaranteed not run */
  EXIT_UNKNOWN = 5         /* query, config: may have run */
};

int cmd_run_main (int argc, char **argv);
int cmd_serve_main (int argc, char **argv);
int cmd_check_settings_main (int argc, char **argv);
int cmd_trace_main (int argc, char **argv);
int cmd_status_main (int argc, char **argv);
int cmd_drain_main (int argc, char **argv);
int cmd_topology_main (int argc, char **argv);
int cmd_explain_main (int argc, char **argv);
int cmd_query_main (int argc, char **argv);
int cmd_failover_main (int argc, char **argv);
int cmd_config_main (int argc, char **argv);
int cmd_hash_main (int argc, char **argv);
int cmd_man_main (int argc, char **argv);

/* Sends one request to the operators' listener of SETTINGS and parses the
   JSON answer.  BODY is NULL for none; its reference stays with the caller.
   Returns an exit status and prints errors to standard error.  Sets ANSWER,
   NULL if there is no JSON; the caller releases it.  */
int command_request (const struct settings *settings, const char *method,
                     const char *path, json_t *body, json_t **answer);

/* Flags of a command that queries a host.  */
struct operator_input
{
  struct settings_source source;
  struct settings settings;
  bool json; /* print the answer as JSON */
};

/* Parses the flags of a command that takes no arguments: --json and the
   settings of COMMANDS (SETTINGS_... flags).  DOC is the help text.  Wrong
   flags or settings end the process.  The caller clears INPUT's settings.  */
void command_parse (struct operator_input *input, unsigned commands,
                    const char *doc, int argc, char **argv);

/* Returns TEXT percent-encoded for the query part of a URI; the caller frees
   it.  */
char *command_uri_encode (const char *text);

/* Prints VALUE to standard output as indented JSON.  */
void command_print_json (const json_t *value);

#endif
