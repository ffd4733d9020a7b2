/* ops_report - formats the state of a host as JSON for operators.  */

#ifndef SAVORYWAY_CLI_OPS_REPORT_H
#define SAVORYWAY_CLI_OPS_REPORT_H

#include <jansson.h>

#include "core/node.h"
#include "core/sync.h"

/* Returns the hosts and the databases.  A database has its term record and its
   instances, each with the hosts that are its gateways, the active one
   first.  */
json_t *ops_report_topology (struct node *node);

/* Adds to STATUS the numbers of services, databases, hosts and requests in
   flight, and the state of the synchronisation.  */
void ops_report_counts (struct node *node, json_t *status);

/* Returns the number of hosts by configuration revision; REVISIONS has COUNT
   elements.  */
json_t *ops_report_revisions (const struct sync_revision_hosts *revisions,
                              size_t count);

/* Returns the resident memory of the process in bytes; 0 if unknown.  */
int64_t ops_report_resident_bytes (void);

#endif
