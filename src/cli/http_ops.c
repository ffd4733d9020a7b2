#include "cli/http_ops.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <utlist.h>

#include "cli/command.h"
#include "cli/ops_report.h"
#include "core/sync.h"
#include "kernel/mem.h"

#define JSON_TYPE "application/json"
#define METRICS_TYPE "text/plain; version=0.0.4"

struct revision_query;

struct http_ops
{
  struct http_ops_options options;
  clk_ms started_ms;
  struct revision_query *revision_queries;
};

static void
reply_error (struct http_ops *ops, struct evhttp_request *request, int status,
             const char *text)
{
  http_server_reply_json (ops->options.server, request, status,
                          json_pack ("{s:{s:s}}", "error", "text", text));
}

static void
get_health (struct http_ops *ops, struct evhttp_request *request)
{
  http_server_reply (ops->options.server, request, 200, "text/plain",
                     mem_strdup ("ok\n"));
}

static void
get_ready (struct http_ops *ops, struct evhttp_request *request)
{
  bool ready = node_ready (ops->options.node);
  http_server_reply (ops->options.server, request, ready ? 200 : 503,
                     "text/plain",
                     mem_strdup (ready ? "ok\n" : "not ready\n"));
}

static void
get_metrics (struct http_ops *ops, struct evhttp_request *request)
{
  struct metrics *metrics = kernel_metrics (node_kernel (ops->options.node));
  *metrics_value (metrics, "resident_bytes") = ops_report_resident_bytes ();
  http_server_reply (ops->options.server, request, 200, METRICS_TYPE,
                     metrics_print (metrics));
}

static void
get_status (struct http_ops *ops, struct evhttp_request *request)
{
  const struct http_ops_options *options = &ops->options;
  const struct member *self = members_self (node_members (options->node));
  json_t *status = json_pack (
      "{s:s, s:s, s:s, s:I, s:b, s:b, s:I, s:I}", "host", self->address.name,
      "domain", self->domain, "version", SAVORYWAY_VERSION, "incarnation",
      (json_int_t)options->incarnation, "ready",
      (int)node_ready (options->node), "leaving", (int)self->leaving,
      "uptime_ms", (json_int_t)(clk_now (options->clk) - ops->started_ms),
      "resident_bytes", (json_int_t)ops_report_resident_bytes ());
  ops_report_counts (options->node, status);
  http_server_reply_json (options->server, request, 200, status);
}

/* A request for /v1/revisions that waits for the hosts' revisions.  */
struct revision_query
{
  struct http_ops *ops;
  struct evhttp_request *request;
  struct revision_query *prev;
  struct revision_query *next;
};

static void
on_revisions (void *arg, const struct sync_revision_hosts *revisions,
              size_t count)
{
  struct revision_query *revision_query = arg;
  struct http_ops *ops = revision_query->ops;
  DL_DELETE (ops->revision_queries, revision_query);
  http_server_reply_json (ops->options.server, revision_query->request, 200,
                          ops_report_revisions (revisions, count));
  free (revision_query);
}

static void
get_revisions (struct http_ops *ops, struct evhttp_request *request)
{
  struct revision_query *revision_query = mem_zalloc (sizeof *revision_query);
  revision_query->ops = ops;
  revision_query->request = request;
  DL_APPEND (ops->revision_queries, revision_query);
  sync_count_revisions (node_sync (ops->options.node), on_revisions,
                        revision_query);
}

static void
get_topology (struct http_ops *ops, struct evhttp_request *request)
{
  http_server_reply_json (ops->options.server, request, 200,
                          ops_report_topology (ops->options.node));
}

static void
get_explain (struct http_ops *ops, struct evhttp_request *request)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *text = evhttp_uri_get_query (uri);
  struct evkeyvalq query = { 0 };
  if (http_server_uri_has_zero (request)
      || evhttp_parse_query_str (text != NULL ? text : "", &query) != 0)
    {
      reply_error (ops, request, 400, "malformed query");
      return;
    }
  struct entry_request wanted
      = { .action = ENTRY_STATEMENT,
          .statement = "explain",
          .service = evhttp_find_header (&query, "service"),
          .database = evhttp_find_header (&query, "database"),
          .kind = evhttp_find_header (&query, "kind"),
          .token = evhttp_find_header (&query, "session") };
  if (wanted.service == NULL)
    reply_error (ops, request, 400, "service is required");
  else
    http_server_reply (
        ops->options.server, request, 200, JSON_TYPE,
        entry_explain (node_entry (ops->options.node), &wanted));
  evhttp_clear_headers (&query);
}

static void
post_drain (struct http_ops *ops, struct evhttp_request *request)
{
  ops->options.drain (ops->options.arg);
  http_server_reply_json (ops->options.server, request, 202,
                          json_pack ("{s:b}", "draining", 1));
}

/* Returns the syslog priority that the body {"level": NAME} names, or -1.  */
static int
read_level (struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t length = evbuffer_get_length (input);
  const char *text = (const char *)evbuffer_pullup (input, -1);
  json_t *body = json_loadb (text != NULL ? text : "", length, 0, NULL);
  const char *name = json_string_value (json_object_get (body, "level"));
  int level = name != NULL ? settings_log_level (name) : -1;
  json_decref (body);
  return level;
}

static void
post_log_level (struct http_ops *ops, struct evhttp_request *request)
{
  int level = read_level (request);
  if (level < 0)
    {
      reply_error (ops, request, 400, "level must be a priority of syslog");
      return;
    }
  log_set_level (ops->options.log, level);
  http_server_reply_json (ops->options.server, request, 200,
                          json_pack ("{s:i}", "level", level));
}

static const struct route
{
  const char *path;
  enum evhttp_cmd_type method;
  void (*handle) (struct http_ops *ops, struct evhttp_request *request);
} routes[] = {
  { "/healthz", EVHTTP_REQ_GET, get_health },
  { "/readyz", EVHTTP_REQ_GET, get_ready },
  { "/metrics", EVHTTP_REQ_GET, get_metrics },
  { "/v1/status", EVHTTP_REQ_GET, get_status },
  { "/v1/revisions", EVHTTP_REQ_GET, get_revisions },
  { "/v1/topology", EVHTTP_REQ_GET, get_topology },
  { "/v1/explain", EVHTTP_REQ_GET, get_explain },
  { "/v1/drain", EVHTTP_REQ_POST, post_drain },
  { "/v1/log-level", EVHTTP_REQ_POST, post_log_level },
};

static void
handle (struct evhttp_request *request, void *arg)
{
  struct http_ops *ops = arg;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *path = uri != NULL ? evhttp_uri_get_path (uri) : NULL;
  const struct route *route = NULL;
  for (size_t i = 0; path != NULL && i < sizeof routes / sizeof routes[0]; i++)
    if (strcmp (path, routes[i].path) == 0)
      route = &routes[i];
  if (route == NULL)
    reply_error (ops, request, 404, "no such resource");
  else if (route->method != evhttp_request_get_command (request))
    reply_error (ops, request, 405, "method not allowed");
  else
    route->handle (ops, request);
}

struct http_ops *
http_ops_new (const struct http_ops_options *options)
{
  struct http_ops *ops = mem_zalloc (sizeof *ops);
  ops->options = *options;
  ops->started_ms = clk_now (options->clk);
  evhttp_set_gencb (http_server_evhttp (options->server), handle, ops);
  return ops;
}

void
http_ops_free (struct http_ops *ops)
{
  struct revision_query *revision_query, *next;
  if (ops == NULL)
    return;
  DL_FOREACH_SAFE (ops->revision_queries, revision_query, next)
  {
    free (revision_query);
  }
  free (ops);
}
