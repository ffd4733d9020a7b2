#include "cli/http_config.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <utlist.h>

#include "cli/http_basic.h"
#include "core/confhead.h"
#include "core/conftree.h"
#include "kernel/mem.h"

/* Retry-After of a 503 response, in seconds.  */
#define RETRY_AFTER_S "1"

/* A request that waits for the result of confedit.  */
struct pending
{
  struct http_config *config;
  struct evhttp_request *request;
  char *team; /* from the query; NULL if absent */
  char *path; /* likewise */
  struct pending *prev;
  struct pending *next;
};

struct http_config
{
  struct http_server *server;
  struct confedit *confedit;
  struct pending *pending;
};

static struct pending *
pending_new (struct http_config *config, struct evhttp_request *request)
{
  struct pending *pending = mem_zalloc (sizeof *pending);
  pending->config = config;
  pending->request = request;
  DL_APPEND (config->pending, pending);
  http_server_received (config->server, request);
  return pending;
}

static void
pending_free (struct pending *pending)
{
  DL_DELETE (pending->config->pending, pending);
  free (pending->team);
  free (pending->path);
  free (pending);
}

/* Replies to PENDING and frees it.  */
static void
reply (struct pending *pending, int status, json_t *body)
{
  struct evhttp_request *request = pending->request;
  struct http_server *server = pending->config->server;
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  pending_free (pending);
  if (status == 503)
    evhttp_add_header (headers, "Retry-After", RETRY_AFTER_S);
  if (status == 401)
    evhttp_add_header (headers, "WWW-Authenticate",
                       "Basic realm=\"savoryway\"");
  http_server_reply_json (server, request, status, body);
}

static void
refuse (struct pending *pending, int status, const char *text)
{
  reply (pending, status, json_pack ("{s:{s:s}}", "error", "text", text));
}

/* Returns whether the request's method is METHOD.  If not, replies with 405
   and frees PENDING.  */
static bool
expect_method (struct pending *pending, enum evhttp_cmd_type method)
{
  if (evhttp_request_get_command (pending->request) == method)
    return true;
  refuse (pending, 405, "method not allowed");
  return false;
}

/* Reads team and path from the query.  If it is malformed, replies with 400,
   frees PENDING and returns false.  */
static bool
read_query (struct pending *pending)
{
  const struct evhttp_uri *uri
      = evhttp_request_get_evhttp_uri (pending->request);
  const char *text = evhttp_uri_get_query (uri);
  struct evkeyvalq query = { 0 };
  if (http_server_uri_has_zero (pending->request)
      || evhttp_parse_query_str (text != NULL ? text : "", &query) != 0)
    {
      refuse (pending, 400, "malformed query");
      return false;
    }
  pending->team = mem_strdup (evhttp_find_header (&query, "team"));
  pending->path = mem_strdup (evhttp_find_header (&query, "path"));
  evhttp_clear_headers (&query);
  return true;
}

static void
on_team_read (void *arg, enum platform_status status, uint64_t index,
              json_t *json)
{
  struct pending *pending = arg;
  if (status == PLATFORM_NOT_FOUND)
    {
      refuse (pending, 404, "no such team");
      return;
    }
  if (status != PLATFORM_OK)
    {
      refuse (pending, 503, "the platform does not answer");
      return;
    }
  json_t *found = conftree_get (json, pending->path ? pending->path : "");
  if (found == NULL)
    refuse (pending, 404, "nothing is at this path");
  else
    reply (pending, 200,
           json_pack ("{s:s, s:I, s:O}", "team", pending->team, "index",
                      (json_int_t)index, "config", found));
}

static void
get_config (struct evhttp_request *request, void *arg)
{
  struct http_config *config = arg;
  struct pending *pending = pending_new (config, request);
  if (!expect_method (pending, EVHTTP_REQ_GET) || !read_query (pending))
    return;
  if (pending->team == NULL)
    refuse (pending, 400, "team is required");
  else
    confedit_read (config->confedit, pending->team, on_team_read, pending);
}

/* Returns revision and changes of HEAD, limited to the changes of TEAM unless
   that is NULL.  */
static json_t *
select_changes (const json_t *head, const char *team)
{
  size_t i;
  json_t *change;
  json_t *changes = json_array ();
  json_array_foreach (json_object_get (head, "changes"), i, change)
  {
    const char *change_team
        = json_string_value (json_object_get (change, "team"));
    if (team == NULL
        || (change_team != NULL && strcmp (change_team, team) == 0))
      json_array_append (changes, change);
  }
  return json_pack ("{s:I, s:o}", "revision",
                    (json_int_t)confhead_revision (head), "changes", changes);
}

static void
on_history (void *arg, enum platform_status status, uint64_t index,
            json_t *json)
{
  struct pending *pending = arg;
  (void)index;
  if (status == PLATFORM_OK)
    reply (pending, 200, select_changes (json, pending->team));
  else if (status == PLATFORM_NOT_FOUND)
    reply (pending, 200, json_pack ("{s:i, s:[]}", "revision", 0, "changes"));
  else
    refuse (pending, 503, "the platform does not answer");
}

static void
get_history (struct evhttp_request *request, void *arg)
{
  struct http_config *config = arg;
  struct pending *pending = pending_new (config, request);
  if (expect_method (pending, EVHTTP_REQ_GET) && read_query (pending))
    confedit_read (config->confedit, NULL, on_history, pending);
}

static json_t *
findings_json (const struct findings *findings)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < findings->count; i++)
    json_array_append_new (list, json_pack ("{s:s, s:s}", "path",
                                            findings->items[i].path, "text",
                                            findings->items[i].text));
  return list;
}

static void
on_change_done (void *arg, const struct confedit_result *result)
{
  static const int codes[] = {
    [CONFEDIT_DONE] = 200,        [CONFEDIT_INVALID] = 422,
    [CONFEDIT_CONFLICT] = 409,    [CONFEDIT_FORBIDDEN] = 403,
    [CONFEDIT_UNAVAILABLE] = 503, [CONFEDIT_UNKNOWN] = 504,
  };
  json_t *body = json_pack (
      "{s:s, s:s, s:I, s:I, s:s*, s:o}", "status",
      confedit_status_name (result->status), "change_id", result->change_id,
      "revision", (json_int_t)result->revision, "index",
      (json_int_t)result->index, "message", result->message, "findings",
      findings_json (result->findings));
  if (result->difference != NULL)
    json_object_set (body, "difference", (json_t *)result->difference);
  reply (arg, codes[result->status], body);
}

/* Fills CHANGE from BODY.  Its strings point into BODY and to VALUE, which the
   caller frees.  Returns an error message, or NULL on success.  */
static const char *
read_change (json_t *body, struct confedit_request *change, char **value)
{
  const char *action = NULL;
  json_int_t index = -1;
  int dry_run = 0;
  json_t *json = NULL;
  if (json_unpack (body, "{s:s, s:s, s?s, s?o, s?I, s?s, s?b !}", "action",
                   &action, "team", &change->team, "path", &change->path,
                   "value", &json, "index", &index, "change_id",
                   &change->change_id, "dry_run", &dry_run)
      != 0)
    return "the body is an object of action, team, path, value, index, "
           "change_id and dry_run";
  change->checks_index = index >= 0;
  change->expect_index = change->checks_index ? (uint64_t)index : 0;
  change->dry_run = dry_run != 0;
  if (strcmp (action, "delete") == 0)
    {
      change->action = CONFEDIT_DELETE;
      return NULL;
    }
  if (strcmp (action, "set") != 0 || json == NULL)
    return "action is \"set\", with a value, or \"delete\"";
  *value = json_dumps (json, JSON_COMPACT | JSON_ENCODE_ANY);
  change->action = CONFEDIT_SET;
  change->json = *value;
  change->json_bytes = *value != NULL ? strlen (*value) : 0;
  return NULL;
}

static json_t *
read_body (struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t length = evbuffer_get_length (input);
  const char *text = (const char *)evbuffer_pullup (input, -1);
  return json_loadb (text != NULL ? text : "", length, JSON_REJECT_DUPLICATES,
                     NULL);
}

static void
post_change (struct evhttp_request *request, void *arg)
{
  struct http_config *config = arg;
  struct pending *pending = pending_new (config, request);
  if (!expect_method (pending, EVHTTP_REQ_POST))
    return;
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  struct confedit_request change = { .when_s = time (NULL) };
  struct http_basic basic;
  char *value = NULL;
  json_t *body = read_body (request);
  const char *error = read_change (body, &change, &value);
  if (!http_basic_parse (&basic,
                         evhttp_find_header (headers, "Authorization")))
    refuse (pending, 401, "Basic credentials of an operator are required");
  else if (error != NULL)
    refuse (pending, 400, error);
  else
    {
      change.who = basic.name;
      change.secret = basic.secret;
      confedit_submit (config->confedit, &change, on_change_done, pending);
    }
  http_basic_clear (&basic);
  free (value);
  json_decref (body);
}

struct http_config *
http_config_new (struct http_server *server, struct confedit *confedit)
{
  struct http_config *config = mem_zalloc (sizeof *config);
  struct evhttp *http = http_server_evhttp (server);
  config->server = server;
  config->confedit = confedit;
  evhttp_set_cb (http, "/v1/config", get_config, config);
  evhttp_set_cb (http, "/v1/config/history", get_history, config);
  evhttp_set_cb (http, "/v1/config/change", post_change, config);
  return config;
}

void
http_config_free (struct http_config *config)
{
  struct pending *pending, *next;
  if (config == NULL)
    return;
  DL_FOREACH_SAFE (config->pending, pending, next) { pending_free (pending); }
  free (config);
}
