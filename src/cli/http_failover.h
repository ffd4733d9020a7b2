/* http_failover - HTTP API for planned switch-overs of a primary.

   Serves on the operators' listener:

     GET /v1/failover
       Status of the databases that this host coordinates.
     POST /v1/failover/order {"database", "target"?}
       Switches the primary over.
     POST /v1/failover/hold {"database", "hold"}
       Suspends or resumes automatic promotions.  */

#ifndef SAVORYWAY_CLI_HTTP_FAILOVER_H
#define SAVORYWAY_CLI_HTTP_FAILOVER_H

#include "cli/http_server.h"
#include "core/failover.h"

struct http_failover;

struct http_failover *http_failover_new (struct http_server *server,
                                         struct failover *failover);

/* Drops the pending requests.  Must be called after failover is freed, which
   may call back until then.  */
void http_failover_free (struct http_failover *http);

#endif
