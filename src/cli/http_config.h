/* http_config - HTTP API to read and change the configuration; see
   docs/API.md.

   Serves /v1/config, /v1/config/history and /v1/config/change on the
   operators' listener.  */

#ifndef SAVORYWAY_CLI_HTTP_CONFIG_H
#define SAVORYWAY_CLI_HTTP_CONFIG_H

#include "cli/http_server.h"
#include "core/confedit.h"

struct http_config;

struct http_config *http_config_new (struct http_server *server,
                                     struct confedit *confedit);

/* Drops the pending requests.  Must be called after confedit is freed, which
   may call back until then.  */
void http_config_free (struct http_config *config);

#endif
