/* command - the subcommands of the program and what they share.  */

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
  EXIT_FAILED = 1,         /* the host refused, or another failure */
  EXIT_WRONG_SETTINGS = 2, /* usage or settings; nothing was done */
  EXIT_UNREACHABLE = 3,    /* no answer from the host */
  EXIT_NOT_RUN = 4,        /* query: certainly not run */
  EXIT_UNKNOWN = 5         /* query: may have run */
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
   JSON answer.  Returns an exit status; ANSWER is to be released.  */
int command_ask (const struct settings *settings, const char *method,
                 const char *path, json_t *body, json_t **answer);

/* Flags of a command that asks a host.  */
struct operator_input
{
  struct settings_source source;
  struct settings settings;
  bool json;
};

/* Parses the flags of a command without arguments; settings of COMMANDS.
   INPUT's settings are to be cleared.  */
void command_parse (struct operator_input *input, unsigned commands,
                    const char *doc, int argc, char **argv);

/* Returns TEXT encoded for a query; the caller frees it.  */
char *command_encode (const char *text);

/* Prints JSON to standard output, indented.  */
void command_print_json (const json_t *value);

#endif
