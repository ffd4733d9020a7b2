/* proxy_report - the state of a host on the users' platform as JSON, for
   operators.  */

#ifndef SAVORYWAY_CLI_PROXY_REPORT_H
#define SAVORYWAY_CLI_PROXY_REPORT_H

#include <jansson.h>

#include "kernel/kernel.h"

/* Adds to STATUS what the modules of KERNEL know: configuration, hosts, the
   duty, the store, forwarded statements.  */
void proxy_report_status (struct kernel *kernel, json_t *status);

/* Returns the hosts, and per replica group its primary and instances, with
   the hosts that have connections to it.  */
json_t *proxy_report_topology (struct kernel *kernel);

/* Returns how a statement for DATABASE would be routed now, with the reason;
   NULL if there is no such database.  */
json_t *proxy_report_explain (struct kernel *kernel, const char *database);

#endif
