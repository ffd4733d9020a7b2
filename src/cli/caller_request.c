#include "cli/caller_request.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sodium.h>

#include "kernel/mem.h"
#include "port/peer.h"

#define STATEMENT_PATH "/v1/statement"
#define TRANSACTION_PATH "/v1/transaction"
#define REQUEST_PATH "/v1/request/"
#define HANDLE_LIMIT_BYTES 256
#define SERVICE_LIMIT_BYTES 128
#define CREDENTIALS_LIMIT_BYTES 512
#define DEADLINE_LIMIT_MS 300000

/* A request being read.  */
struct reader
{
  struct caller_request *request;
  const struct caller_input *input;
  struct caller_request_error *fault;
};

static bool
refuse (struct reader *reader, int status, const char *code, const char *place,
        const char *text)
{
  reader->fault->status = status;
  reader->fault->code = code;
  findings_add (&reader->fault->findings, place, "%s", text);
  return false;
}

/* Adds a finding about the body; reading goes on to find others.  */
static void
find_fault (struct reader *reader, const char *place, const char *text)
{
  refuse (reader, 400, "bad_request", place, text);
}

static bool
is_handle (const char *text, size_t limit_bytes)
{
  size_t length = strlen (text);
  if (length == 0 || length > limit_bytes)
    return false;
  for (size_t i = 0; i < length; i++)
    if (!isgraph ((unsigned char)text[i]))
      return false;
  return true;
}

/* Reads "Basic BASE64" into name and secret.  */
static bool
read_credentials (struct reader *reader)
{
  static const char scheme[] = "Basic ";
  const char *text = reader->input->authorization;
  unsigned char plain[CREDENTIALS_LIMIT_BYTES];
  size_t length;
  if (text == NULL || strncasecmp (text, scheme, sizeof scheme - 1) != 0)
    return refuse (reader, 401, "no_credentials", "Authorization",
                   "Basic credentials of a caller are required");
  text += sizeof scheme - 1;
  if (sodium_base642bin (plain, sizeof plain - 1, text, strlen (text), NULL,
                         &length, NULL, sodium_base64_VARIANT_ORIGINAL)
      != 0)
    return refuse (reader, 401, "no_credentials", "Authorization",
                   "is not valid Base64");
  plain[length] = '\0';
  char *colon = memchr (plain, ':', length);
  bool ok = colon != NULL && strlen ((char *)plain) == length;
  if (ok)
    {
      *colon = '\0';
      reader->request->credentials = mem_copy (plain, length);
      reader->request->entry.caller = reader->request->credentials;
      reader->request->entry.secret
          = reader->request->credentials + (colon - (char *)plain) + 1;
    }
  sodium_memzero (plain, sizeof plain);
  return ok
         || refuse (reader, 401, "no_credentials", "Authorization",
                    "is not NAME:SECRET");
}

static bool
read_headers (struct reader *reader)
{
  struct entry_request *entry = &reader->request->entry;
  const char *session = reader->input->session;
  const char *request_id = reader->input->request_id;
  if (!read_credentials (reader))
    return false;
  if (session != NULL && !is_handle (session, TOKEN_LIMIT_BYTES))
    find_fault (reader, "Savoryway-Session", "is malformed or too long");
  if (request_id != NULL && !is_handle (request_id, REQUEST_ID_BYTES))
    find_fault (reader, "Savoryway-Request-Id",
                "is not 1 to 64 printable characters without blanks");
  entry->token = session;
  entry->request_id = request_id;
  return true;
}

/* Takes the handle in "/v1/transaction/HANDLE/VERB"; returns the verb.  */
static const char *
split_transaction (struct reader *reader)
{
  const char *handle = reader->input->path + strlen (TRANSACTION_PATH) + 1;
  const char *slash = strchr (handle, '/');
  if (slash == NULL || slash - handle > HANDLE_LIMIT_BYTES)
    return "";
  reader->request->transaction = mem_copy (handle, (size_t)(slash - handle));
  reader->request->entry.transaction = reader->request->transaction;
  return slash + 1;
}

/* Finds the action of a path below TRANSACTION_PATH.  */
static bool
read_verb (struct reader *reader)
{
  static const struct
  {
    const char *name;
    enum entry_action action;
  } verbs[] = { { "statement", ENTRY_EXECUTE },
                { "commit", ENTRY_COMMIT },
                { "rollback", ENTRY_ROLLBACK } };
  const char *verb = split_transaction (reader);
  for (size_t i = 0; i < sizeof verbs / sizeof verbs[0]; i++)
    if (strcmp (verb, verbs[i].name) == 0)
      {
        reader->request->entry.action = verbs[i].action;
        return is_handle (reader->request->transaction, HANDLE_LIMIT_BYTES)
               || refuse (reader, 404, "not_found", "path",
                          "no such transaction");
      }
  return refuse (reader, 404, "not_found", "path", "no such resource");
}

/* Finds the action from method and path.  */
static bool
read_target (struct reader *reader)
{
  const char *path = reader->input->path;
  const char *method = reader->input->method;
  const char *expected = "POST";
  struct entry_request *entry = &reader->request->entry;
  if (strcmp (path, STATEMENT_PATH) == 0)
    entry->action = ENTRY_STATEMENT;
  else if (strcmp (path, TRANSACTION_PATH) == 0)
    entry->action = ENTRY_BEGIN;
  else if (strncmp (path, REQUEST_PATH, strlen (REQUEST_PATH)) == 0)
    {
      entry->action = ENTRY_LOOKUP;
      expected = "GET";
    }
  else if (strncmp (path, TRANSACTION_PATH "/", strlen (TRANSACTION_PATH) + 1)
           == 0)
    {
      if (!read_verb (reader))
        return false;
    }
  else
    return refuse (reader, 404, "not_found", "path", "no such resource");
  if (strcmp (method, expected) != 0)
    return refuse (reader, 405, "method_not_allowed", "method", expected);
  return true;
}

static const char *
read_text (struct reader *reader, const char *key, size_t limit_bytes)
{
  json_t *value = json_object_get (reader->request->body, key);
  if (value == NULL)
    return NULL;
  const char *text = json_string_value (value);
  if (text == NULL || strlen (text) != json_string_length (value))
    {
      find_fault (reader, key, "must be a string without NUL");
      return NULL;
    }
  if (json_string_length (value) == 0
      || json_string_length (value) > limit_bytes)
    {
      find_fault (reader, key, "is empty or too long");
      return NULL;
    }
  return text;
}

/* Returns the text form of a parameter; NULL for SQL NULL.  */
static char *
param_text (struct reader *reader, size_t index, json_t *value)
{
  char *place;
  switch (json_typeof (value))
    {
    case JSON_NULL:
      return NULL;
    case JSON_TRUE:
      return mem_strdup ("true");
    case JSON_FALSE:
      return mem_strdup ("false");
    case JSON_INTEGER:
      return mem_printf ("%" JSON_INTEGER_FORMAT, json_integer_value (value));
    case JSON_REAL:
      return mem_printf ("%.17g", json_real_value (value));
    case JSON_STRING:
      if (strlen (json_string_value (value)) == json_string_length (value))
        return mem_strdup (json_string_value (value));
      break;
    default:
      break;
    }
  place = mem_printf ("params[%zu]", index);
  find_fault (reader, place,
              "must be a string without NUL, number, boolean or null");
  free (place);
  return NULL;
}

static void
read_params (struct reader *reader)
{
  struct caller_request *request = reader->request;
  json_t *params = json_object_get (request->body, "params");
  json_t *value;
  size_t i;
  if (params == NULL)
    return;
  if (!json_is_array (params) || json_array_size (params) > CALLER_PARAM_LIMIT)
    {
      find_fault (reader, "params", "must be an array of at most 256 values");
      return;
    }
  json_array_foreach (params, i, value)
  {
    request->params[i] = param_text (reader, i, value);
  }
  request->entry.param_count = json_array_size (params);
  request->entry.params = (const char *const *)request->params;
}

static void
read_deadline (struct reader *reader)
{
  json_t *value = json_object_get (reader->request->body, "deadline_ms");
  if (value == NULL)
    return;
  json_int_t deadline_ms = json_integer_value (value);
  if (deadline_ms < 1 || deadline_ms > DEADLINE_LIMIT_MS)
    find_fault (reader, "deadline_ms", "must be a number from 1 to 300000");
  else
    reader->request->entry.deadline_ms = deadline_ms;
}

static void
read_retry (struct reader *reader)
{
  json_t *value = json_object_get (reader->request->body, "retry");
  if (value != NULL && !json_is_boolean (value))
    find_fault (reader, "retry", "must be true or false");
  reader->request->entry.retry = json_is_true (value);
}

/* Reports members that no request has, so that a misspelt one is seen.  */
static void
check_members (struct reader *reader)
{
  static const char *const known[]
      = { "service", "database",   "kind",        "statement",
          "params",  "request_id", "deadline_ms", "retry" };
  const char *key;
  json_t *value;
  json_object_foreach (reader->request->body, key, value)
  {
    size_t i = 0;
    while (i < sizeof known / sizeof known[0] && strcmp (key, known[i]) != 0)
      i++;
    if (i == sizeof known / sizeof known[0])
      find_fault (reader, key, "is not known");
  }
}

static void
check_service (struct reader *reader)
{
  const char *service = reader->request->entry.service;
  if (service == NULL)
    find_fault (reader, "service", "is required, as TEAM/SERVICE");
}

static void
read_members (struct reader *reader)
{
  struct entry_request *entry = &reader->request->entry;
  bool runs
      = entry->action == ENTRY_STATEMENT || entry->action == ENTRY_EXECUTE;
  entry->service = read_text (reader, "service", SERVICE_LIMIT_BYTES);
  entry->database = read_text (reader, "database", NAME_BYTES - 1);
  entry->kind = read_text (reader, "kind", NAME_BYTES - 1);
  entry->statement = read_text (reader, "statement", PEER_TEXT_LIMIT);
  const char *id = read_text (reader, "request_id", REQUEST_ID_BYTES);
  if (id != NULL && !is_handle (id, REQUEST_ID_BYTES))
    find_fault (reader, "request_id",
                "is not 1 to 64 printable characters without blanks");
  if (id != NULL && entry->request_id != NULL
      && strcmp (id, entry->request_id) != 0)
    find_fault (reader, "request_id", "differs from Savoryway-Request-Id");
  if (id != NULL)
    entry->request_id = id;
  read_params (reader);
  read_deadline (reader);
  read_retry (reader);
  check_service (reader);
  check_members (reader);
  if (runs && json_object_get (reader->request->body, "statement") == NULL)
    find_fault (reader, "statement", "is required");
}

static bool
read_body (struct reader *reader)
{
  const struct caller_input *input = reader->input;
  json_error_t error;
  reader->request->body
      = json_loadb (input->body != NULL ? input->body : "", input->body_bytes,
                    JSON_REJECT_DUPLICATES, &error);
  if (reader->request->body == NULL)
    {
      char *text = mem_printf ("line %d column %d: %s", error.line,
                               error.column, error.text);
      refuse (reader, 400, "bad_json", "body", text);
      free (text);
      return false;
    }
  if (!json_is_object (reader->request->body))
    return refuse (reader, 400, "bad_json", "body", "must be an object");
  read_members (reader);
  return reader->fault->status == 0;
}

/* Copies NAME of a parsed query to OUT.  */
static void
take_query (const struct evkeyvalq *query, const char *name, char **out)
{
  const char *value = evhttp_find_header (query, name);
  if (value != NULL && *value != '\0')
    *out = mem_strdup (value);
}

static bool
read_lookup (struct reader *reader)
{
  struct caller_request *request = reader->request;
  struct evkeyvalq query = { 0 };
  const char *text = reader->input->query;
  if (evhttp_parse_query_str (text != NULL ? text : "", &query) != 0)
    return refuse (reader, 400, "bad_request", "query", "is malformed");
  take_query (&query, "service", &request->service);
  take_query (&query, "database", &request->database);
  evhttp_clear_headers (&query);
  request->request_id
      = mem_strdup (reader->input->path + strlen (REQUEST_PATH));
  request->entry.service = request->service;
  request->entry.database = request->database;
  request->entry.request_id = request->request_id;
  check_service (reader);
  if (!is_handle (request->request_id, REQUEST_ID_BYTES))
    find_fault (reader, "path", "the request id is empty or too long");
  return reader->fault->status == 0;
}

bool
caller_request_read (struct caller_request *request,
                     const struct caller_input *input,
                     struct caller_request_error *fault)
{
  struct reader reader
      = { .request = request, .input = input, .fault = fault };
  memset (request, 0, sizeof *request);
  memset (fault, 0, sizeof *fault);
  if (!read_target (&reader) || !read_headers (&reader))
    return false;
  if (request->entry.action == ENTRY_LOOKUP)
    return read_lookup (&reader);
  return read_body (&reader);
}

void
caller_request_clear (struct caller_request *request)
{
  for (size_t i = 0; i < request->entry.param_count; i++)
    free (request->params[i]);
  json_decref (request->body);
  free (request->credentials);
  free (request->transaction);
  free (request->request_id);
  free (request->service);
  free (request->database);
  request->body = NULL;
}

char *
caller_request_error_print (struct caller_request_error *fault)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < fault->findings.count; i++)
    json_array_append_new (
        list, json_pack ("{s:s, s:s}", "place", fault->findings.items[i].path,
                         "text", fault->findings.items[i].text));
  json_t *answer = json_pack ("{s:s, s:{s:s, s:o}}", "outcome", "not_run",
                              "error", "code", fault->code, "findings", list);
  char *text = json_dumps (answer, JSON_COMPACT);
  json_decref (answer);
  findings_clear (&fault->findings);
  if (text == NULL)
    text = mem_strdup ("{\"outcome\":\"not_run\"}");
  return text;
}
