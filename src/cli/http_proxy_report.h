/* http_proxy_report - read-only HTTP API for operators of a host on the users'
   platform.

   Serves /metrics, /v1/status, /v1/topology and
   /v1/explain?database=NAME.  */

#ifndef SAVORYWAY_CLI_HTTP_PROXY_REPORT_H
#define SAVORYWAY_CLI_HTTP_PROXY_REPORT_H

#include "cli/http_server.h"
#include "kernel/kernel.h"

struct http_proxy_report;

struct http_proxy_report_options
{
  struct http_server *server; /* listener whose requests are handled */
  struct kernel *kernel;
  const char *host;
  const char *domain;
  /* Sets the state that only the process has: the number of callers' sessions,
     whether the host is ready, and whether it is shutting down.  */
  void (*state) (void *arg, size_t *sessions, bool *ready, bool *leaving);
  void *arg;
};

struct http_proxy_report *
http_proxy_report_new (const struct http_proxy_report_options *options);
void http_proxy_report_free (struct http_proxy_report *http);

#endif
