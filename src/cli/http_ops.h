/* http_ops - the operators' HTTP API; see docs/API.md.

   Serves health and readiness checks, metrics, status, topology, the
   configuration revisions of the hosts, the explanation of a routing decision,
   graceful shutdown and the log level.  */

#ifndef SAVORYWAY_CLI_HTTP_OPS_H
#define SAVORYWAY_CLI_HTTP_OPS_H

#include "cli/http_server.h"
#include "cli/settings.h"
#include "core/node.h"

struct http_ops;

struct http_ops_options
{
  struct http_server *server; /* listener whose requests are handled */
  struct node *node;
  struct log *log;
  struct clk *clk;
  const struct settings *settings;
  uint64_t incarnation;      /* of this host; differs after each start */
  void (*drain) (void *arg); /* starts a graceful shutdown */
  void *arg;
};

struct http_ops *http_ops_new (const struct http_ops_options *options);

/* Drops the pending requests.  Must be called after the node is freed, which
   may call back until then.  */
void http_ops_free (struct http_ops *ops);

#endif
