/* http_proxy_report - operators' reports of a host on the users' platform:
   /metrics, /v1/status, /v1/topology, /v1/explain?database=NAME.  All only
   read.  */

#ifndef SAVORYWAY_CLI_HTTP_PROXY_H
#define SAVORYWAY_CLI_HTTP_PROXY_H

#include "cli/http_server.h"
#include "kernel/kernel.h"

struct http_proxy_report;

struct http_proxy_report_options
{
  struct http_server *server;
  struct kernel *kernel;
  const char *host;
  const char *domain;
  /* Sets what the process alone knows: sessions, and whether it is ready or
     leaving.  */
  void (*state) (void *arg, size_t *sessions, bool *ready, bool *leaving);
  void *arg;
};

struct http_proxy_report *
http_proxy_report_new (const struct http_proxy_report_options *options);
void http_proxy_report_free (struct http_proxy_report *proxy);

#endif
