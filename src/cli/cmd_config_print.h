/* cmd_config_print - the output of `savoryway config'.

   The ANSWER parameters are JSON answers of a host's operators' listener.  */

#ifndef SAVORYWAY_CLI_CMD_CONFIG_PRINT_H
#define SAVORYWAY_CLI_CMD_CONFIG_PRINT_H

#include <jansson.h>

#include "core/view.h"

/* Returns the exit status for an answer with HTTP_STATUS, which is 0 if there
   was no answer.  */
int config_exit_status (int http_status);

/* Each prints ANSWER to standard output and errors to standard error.
   config_print_revisions prints the number and percentage of hosts that use
   each revision, config_print_refusal the error of ANSWER if it has one.  */
void config_print_tree (const json_t *answer);
void config_print_history (const json_t *answer);
void config_print_revisions (const json_t *answer);
void config_print_change (const json_t *answer);
void config_print_refusal (const json_t *answer);

/* Prints FINDINGS as lines "PATH: TEXT" to standard error, or if JSON as an
   object to standard output.  */
void config_print_findings (const struct findings *findings, bool json);

#endif
