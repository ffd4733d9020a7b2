/* ops_report - the state of a host as JSON, for operators.  */

#ifndef SAVORYWAY_CLI_OPS_REPORT_H
#define SAVORYWAY_CLI_OPS_REPORT_H

#include <jansson.h>

#include "core/node.h"
#include "core/sync.h"

/* Returns hosts, and per database the term record and for each instance the
   hosts that are its gateways, active one first.  */
json_t *ops_report_topology (struct node *node);

/* Adds counts of what this host knows to STATUS.  */
void ops_report_counts (struct node *node, json_t *status);

/* Returns how many hosts have which revision of the configuration.  */
json_t *ops_report_shares (const struct sync_revision_hosts *shares,
                           size_t count);

/* Resident memory of the process in bytes; 0 if not known.  */
int64_t ops_report_resident_bytes (void);

#endif
