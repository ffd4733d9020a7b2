#include "port/consul_codec.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

/* Consul's limit on the length of a key.  */
#define KEY_LIMIT_BYTES 512

/* A read that determines the outcome of an unanswered write must see all
   earlier writes.  Reads that don't block therefore use Consul's consistent
   mode.  */
static char *
read_uri (const char *path, const struct platform_call *call,
          const char *recurse)
{
  if (call->wait_ms <= 0)
    return mem_printf ("%s?consistent=true%s", path, recurse);
  return mem_printf ("%s?index=%llu&wait=%lldms%s", path,
                     (unsigned long long)call->wait_index,
                     (long long)call->wait_ms, recurse);
}

static char *
key_uri (const struct platform_call *call)
{
  char *key = kv_percent_encode (call->key);
  char *path = mem_printf ("/v1/kv/%s", key);
  char *uri = read_uri (path, call,
                        call->kind == PLATFORM_LIST ? "&recurse=true" : "");
  free (path);
  free (key);
  return uri;
}

static json_t *
operation (const char *verb, const char *key, uint64_t index)
{
  return json_pack ("{s:{s:s, s:s, s:I}}", "KV", "Verb", verb, "Key", key,
                    "Index", (json_int_t)index);
}

static void
set_value (json_t *op, const struct platform_write *write)
{
  char *text = kv_base64_encode (write->value, write->value_bytes);
  json_t *fields = json_object_get (op, "KV");
  json_object_set_new (fields, "Value", json_string (text));
  if (write->lease != NULL)
    json_object_set_new (fields, "Session", json_string (write->lease));
  free (text);
}

static void
add_operations (json_t *ops, const struct platform_write *write)
{
  json_t *op;
  if (!write->erase && !write->check && write->lease == NULL)
    {
      op = operation ("cas", write->key, write->expect_index);
      set_value (op, write);
      json_array_append_new (ops, op);
      return;
    }
  if (write->expect_index == 0)
    op = operation ("check-not-exists", write->key, 0);
  else
    op = operation ("check-index", write->key, write->expect_index);
  json_array_append_new (ops, op);
  if (write->check)
    return;
  if (write->erase && write->expect_index != 0)
    json_array_append_new (ops, operation ("delete", write->key, 0));
  if (write->erase)
    return;
  op = operation ("lock", write->key, 0);
  set_value (op, write);
  json_array_append_new (ops, op);
}

static bool
build_write (struct kv_request *request, const struct platform_call *call)
{
  if (call->write_count == 0)
    return false;
  for (size_t i = 0; i < call->write_count; i++)
    if (call->writes[i].value_bytes > (size_t)(PLATFORM_VALUE_LIMIT_BYTES)
        || strlen (call->writes[i].key) > KEY_LIMIT_BYTES)
      return false;
  json_t *ops = json_array ();
  for (size_t i = 0; i < call->write_count; i++)
    add_operations (ops, &call->writes[i]);
  request->uri = mem_strdup ("/v1/txn");
  request->body = json_dumps (ops, JSON_COMPACT);
  json_decref (ops);
  return request->body != NULL;
}

static bool
build_lease (struct kv_request *request, const struct platform_call *call)
{
  if (call->kind == PLATFORM_LEASE)
    {
      request->uri = mem_strdup ("/v1/session/create");
      request->body = mem_printf (
          "{\"TTL\":\"%lldms\",\"Behavior\":\"delete\",\"LockDelay\":\"0s\"}",
          (long long)call->ttl_ms);
      return call->ttl_ms > 0;
    }
  if (call->lease == NULL)
    return false;
  char *id = kv_percent_encode (call->lease);
  request->uri
      = mem_printf ("/v1/session/%s/%s",
                    call->kind == PLATFORM_RENEW ? "renew" : "destroy", id);
  free (id);
  return true;
}

bool
consul_request_build (struct kv_request *request,
                      const struct platform_call *call)
{
  *request = (struct kv_request){ .method = kv_call_is_write (call->kind)
                                                ? KV_PUT
                                                : KV_GET };
  switch (call->kind)
    {
    case PLATFORM_GET:
    case PLATFORM_LIST:
      request->uri = key_uri (call);
      return true;
    case PLATFORM_HOSTS:
      request->uri
          = read_uri ("/v1/health/service/savoryway", call, "&passing=true");
      return true;
    case PLATFORM_WRITE:
      return build_write (request, call);
    default:
      return build_lease (request, call);
    }
}

const struct kv_codec consul_codec = { .build = consul_request_build,
                                       .parse = consul_response_parse,
                                       .header = "X-Consul-Index" };
