#include "cli/http_proxy_report.h"

#include <stdlib.h>
#include <string.h>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "cli/command.h"
#include "cli/ops_report.h"
#include "cli/proxy_report.h"
#include "kernel/mem.h"
#include "proxy/catalog.h"
#include "proxy/mirror.h"

#define METRICS_TYPE "text/plain; version=0.0.4"

struct http_proxy_report
{
  struct http_proxy_report_options options;
  clk_ms started_ms;
};

static void
reply_json (struct http_proxy_report *http, struct evhttp_request *request,
            int status, json_t *value)
{
  http_server_reply_json (http->options.server, request, status, value);
}

static void
reply_error (struct http_proxy_report *http, struct evhttp_request *request,
             int status, const char *text)
{
  reply_json (http, request, status,
              json_pack ("{s:{s:s}}", "error", "text", text));
}

static void
get_metrics (struct http_proxy_report *http, struct evhttp_request *request)
{
  struct kernel *kernel = http->options.kernel;
  struct metrics *metrics = kernel_metrics (kernel);
  struct catalog *catalog = (struct catalog *)kernel_find (kernel, "catalog");
  struct mirror *mirror = (struct mirror *)kernel_find (kernel, "mirror");
  size_t sessions;
  bool ready, leaving;
  http->options.state (http->options.arg, &sessions, &ready, &leaving);
  *metrics_value (metrics, "sessions") = (int64_t)sessions;
  *metrics_value (metrics, "ready") = ready;
  *metrics_value (metrics, "config_version")
      = (int64_t)catalog_config (catalog)->version;
  *metrics_value (metrics, "store_heard_age_ms")
      = mirror_state (mirror).heard_ms_ago;
  *metrics_value (metrics, "resident_bytes") = ops_report_resident_bytes ();
  http_server_reply (http->options.server, request, 200, METRICS_TYPE,
                     metrics_print (metrics));
}

static void
get_status (struct http_proxy_report *http, struct evhttp_request *request)
{
  const struct http_proxy_report_options *options = &http->options;
  size_t sessions;
  bool ready, leaving;
  options->state (options->arg, &sessions, &ready, &leaving);
  json_t *status = json_pack (
      "{s:s, s:s, s:s, s:b, s:b, s:I, s:I, s:I}", "host", options->host,
      "domain", options->domain, "version", SAVORYWAY_VERSION, "ready",
      (int)ready, "leaving", (int)leaving, "uptime_ms",
      (json_int_t)(kernel_now (options->kernel) - http->started_ms),
      "resident_bytes", (json_int_t)ops_report_resident_bytes (), "sessions",
      (json_int_t)sessions);
  proxy_report_status (options->kernel, status);
  reply_json (http, request, 200, status);
}

static void
get_topology (struct http_proxy_report *http, struct evhttp_request *request)
{
  reply_json (http, request, 200,
              proxy_report_topology (http->options.kernel));
}

static void
get_explain (struct http_proxy_report *http, struct evhttp_request *request)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *text = evhttp_uri_get_query (uri);
  struct evkeyvalq query = { 0 };
  if (http_server_uri_has_zero (request)
      || evhttp_parse_query_str (text != NULL ? text : "", &query) != 0)
    {
      reply_error (http, request, 400, "malformed query");
      return;
    }
  const char *database = evhttp_find_header (&query, "database");
  json_t *answer = database != NULL
                       ? proxy_report_explain (http->options.kernel, database)
                       : NULL;
  if (database == NULL)
    reply_error (http, request, 400, "database is required");
  else if (answer == NULL)
    reply_error (http, request, 404, "no such database");
  else
    reply_json (http, request, 200, answer);
  evhttp_clear_headers (&query);
}

static const struct resource
{
  const char *path;
  void (*handle) (struct http_proxy_report *http,
                  struct evhttp_request *request);
} resources[] = {
  { "/metrics", get_metrics },
  { "/v1/status", get_status },
  { "/v1/topology", get_topology },
  { "/v1/explain", get_explain },
};

static void
handle (struct evhttp_request *request, void *arg)
{
  struct http_proxy_report *http = arg;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *path = uri != NULL ? evhttp_uri_get_path (uri) : NULL;
  for (size_t i = 0;
       path != NULL && i < sizeof resources / sizeof resources[0]; i++)
    {
      if (strcmp (path, resources[i].path) != 0)
        continue;
      if (evhttp_request_get_command (request) == EVHTTP_REQ_GET)
        resources[i].handle (http, request);
      else
        reply_error (http, request, 405, "method not allowed");
      return;
    }
  reply_error (http, request, 404, "no such resource");
}

struct http_proxy_report *
http_proxy_report_new (const struct http_proxy_report_options *options)
{
  struct http_proxy_report *http = mem_zalloc (sizeof *http);
  http->options = *options;
  http->started_ms = kernel_now (options->kernel);
  evhttp_set_gencb (http_server_evhttp (options->server), handle, http);
  return http;
}

void
http_proxy_report_free (struct http_proxy_report *http)
{
  free (http);
}
