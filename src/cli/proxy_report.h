/* proxy_report - formats the state of a host on the users' platform as JSON
   for operators.  */

#ifndef SAVORYWAY_CLI_PROXY_REPORT_H
#define SAVORYWAY_CLI_PROXY_REPORT_H

#include <jansson.h>

#include "kernel/kernel.h"

/* Adds to STATUS the state of the modules of KERNEL: configuration version,
   numbers of databases, groups, hosts and forwarded sessions, reachability of
   the store, whether this host is cut off, and the promotion duty with its
   fencing token.  */
void proxy_report_status (struct kernel *kernel, json_t *status);

/* Returns the hosts and the replica groups.  A group has its primary and its
   instances, each with the hosts that are its gateways.  */
json_t *proxy_report_topology (struct kernel *kernel);

/* Returns how a statement for DATABASE would be routed now, with the reason.
   Returns NULL if there is no such database.  */
json_t *proxy_report_explain (struct kernel *kernel, const char *database);

#endif
