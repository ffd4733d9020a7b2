#include "port/consul_codec.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "kernel/text.h"

#define HTTP_OK_CODE 200
#define HTTP_NOT_FOUND_CODE 404
#define HTTP_CONFLICT_CODE 409
#define HTTP_TOO_MANY_CODE 429
#define HTTP_SERVER_ERROR_CODE 500
#define HTTP_UNAVAILABLE_CODE 503

static bool
parse_item (struct platform_item *item, json_t *entry)
{
  const char *key = NULL;
  json_int_t index = 0;
  if (json_unpack (entry, "{s:s, s:I}", "Key", &key, "ModifyIndex", &index)
          != 0
      || index <= 0)
    return false;
  const char *value = json_string_value (json_object_get (entry, "Value"));
  item->key = mem_strdup (key);
  item->index = (uint64_t)index;
  return kv_base64_decode_item (item, value != NULL ? value : "");
}

static bool
parse_items (struct kv_response *response, json_t *array, const char *wrapper)
{
  size_t count = json_array_size (array);
  response->items = mem_zalloc ((count + 1) * sizeof *response->items);
  response->reply.items = response->items;
  for (size_t i = 0; i < count; i++)
    {
      json_t *entry = json_array_get (array, i);
      if (wrapper != NULL)
        entry = json_object_get (entry, wrapper);
      response->reply.item_count = i + 1;
      if (!parse_item (&response->items[i], entry))
        return false;
    }
  return true;
}

static bool
parse_written (struct kv_response *response, json_t *body)
{
  json_t *results = json_object_get (body, "Results");
  if (!json_is_array (results) && !json_is_null (results))
    return false;
  if (!parse_items (response, results, "KV"))
    return false;
  for (size_t i = 0; i < response->reply.item_count; i++)
    if (response->items[i].index > response->reply.index)
      response->reply.index = response->items[i].index;
  return true;
}

/* A registration without an incarnation uses its creation index instead, which
   distinguishes it from an earlier registration of the same host.  */
static bool
parse_host (struct platform_host *host, json_t *entry)
{
  const char *id = NULL, *address = NULL, *domain = NULL;
  const char *incarnation = NULL, *leaving = "";
  json_int_t port = 0, created = 0;
  if (json_unpack (entry, "{s:{s:s, s:s, s:I, s?I, s:{s:s, s?s, s?s}}}",
                   "Service", "ID", &id, "Address", &address, "Port", &port,
                   "CreateIndex", &created, "Meta", "domain", &domain,
                   "incarnation", &incarnation, "leaving", &leaving)
      != 0)
    return false;
  if (port <= 0 || port > UINT16_MAX)
    return false;
  host->port = (uint16_t)port;
  host->leaving = strcmp (leaving, "true") == 0;
  host->incarnation = incarnation != NULL ? strtoull (incarnation, NULL, 10)
                                          : (uint64_t)created;
  if (id[0] == '\0' || address[0] == '\0' || domain[0] == '\0')
    return false;
  return text_copy (host->name, sizeof host->name, id)
         && text_copy (host->address, sizeof host->address, address)
         && text_copy (host->domain, sizeof host->domain, domain);
}

/* Skips invalid registrations, so that one of them does not hide the other
   hosts.  */
static bool
parse_hosts (struct kv_response *response, json_t *array)
{
  size_t count = json_array_size (array);
  size_t used = 0;
  response->hosts = mem_zalloc ((count + 1) * sizeof *response->hosts);
  for (size_t i = 0; i < count; i++)
    if (parse_host (&response->hosts[used], json_array_get (array, i)))
      used++;
    else
      response->hosts[used] = (struct platform_host){ 0 };
  response->reply.hosts = response->hosts;
  response->reply.host_count = used;
  return true;
}

static bool
parse_lease (struct kv_response *response, json_t *body)
{
  const char *id = json_string_value (json_object_get (body, "ID"));
  if (id == NULL || id[0] == '\0')
    return false;
  response->lease = mem_strdup (id);
  response->reply.lease = response->lease;
  return true;
}

static bool
parse_body (struct kv_response *response, enum platform_call_kind kind,
            json_t *body)
{
  switch (kind)
    {
    case PLATFORM_GET:
      return json_array_size (body) == 1 && parse_items (response, body, NULL);
    case PLATFORM_LIST:
      return json_is_array (body) && parse_items (response, body, NULL);
    case PLATFORM_HOSTS:
      return json_is_array (body) && parse_hosts (response, body);
    case PLATFORM_WRITE:
      return parse_written (response, body);
    case PLATFORM_LEASE:
      return parse_lease (response, body);
    default:
      return true;
    }
}

static enum platform_status
status_of_error (enum platform_call_kind kind, int code)
{
  if (code == HTTP_NOT_FOUND_CODE && kind == PLATFORM_LIST)
    return PLATFORM_OK;
  if (code == HTTP_NOT_FOUND_CODE
      && (kind == PLATFORM_GET || kind == PLATFORM_RENEW))
    return PLATFORM_NOT_FOUND;
  if (code == HTTP_CONFLICT_CODE && kind == PLATFORM_WRITE)
    return PLATFORM_CONFLICT;
  if (code == HTTP_TOO_MANY_CODE || code == HTTP_UNAVAILABLE_CODE)
    return PLATFORM_UNAVAILABLE;
  if (code >= HTTP_SERVER_ERROR_CODE)
    return kv_unanswered_status (kind);
  return code > HTTP_OK_CODE + 99 ? PLATFORM_REJECTED
                                  : kv_unanswered_status (kind);
}

void
consul_response_parse (struct kv_response *response,
                       enum platform_call_kind kind, int code,
                       const char *index, const char *body, size_t length)
{
  *response = (struct kv_response){ 0 };
  if (index != NULL)
    response->reply.index = strtoull (index, NULL, 10);
  if (code != HTTP_OK_CODE)
    {
      response->reply.status = status_of_error (kind, code);
      return;
    }
  if (kind == PLATFORM_RENEW || kind == PLATFORM_RELEASE)
    return;
  json_t *json = body ? json_loadb (body, length, 0, NULL) : NULL;
  bool valid = json != NULL && parse_body (response, kind, json);
  json_decref (json);
  if (valid)
    return;
  kv_response_clear (response);
  response->reply.status = kv_unanswered_status (kind);
}
