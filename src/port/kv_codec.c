#include "port/kv_codec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "kernel/mem.h"

bool
kv_call_is_write (enum platform_call_kind kind)
{
  switch (kind)
    {
    case PLATFORM_GET:
    case PLATFORM_LIST:
    case PLATFORM_HOSTS:
    case PLATFORM_WATCH:
      return false;
    default:
      return true;
    }
}

enum platform_status
kv_unanswered_status (enum platform_call_kind kind)
{
  return kv_call_is_write (kind) ? PLATFORM_LOST : PLATFORM_UNAVAILABLE;
}

char *
kv_percent_encode (const char *text)
{
  static const char unreserved[] = "abcdefghijklmnopqrstuvwxyz"
                                   "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./~";
  char *out = mem_zalloc (3 * strlen (text) + 1);
  char *end = out;
  for (; *text != '\0'; text++)
    if (strchr (unreserved, *text) != NULL)
      *end++ = *text;
    else
      end += sprintf (end, "%%%02X", (unsigned char)*text);
  return out;
}

char *
kv_base64_encode (const char *data, size_t bytes)
{
  size_t size
      = sodium_base64_ENCODED_LEN (bytes, sodium_base64_VARIANT_ORIGINAL);
  char *text = mem_zalloc (size);
  sodium_bin2base64 (text, size, (const unsigned char *)data, bytes,
                     sodium_base64_VARIANT_ORIGINAL);
  return text;
}

bool
kv_base64_decode_item (struct platform_item *item, const char *text)
{
  size_t length = strlen (text);
  item->value = mem_zalloc (length + 1);
  if (sodium_base642bin ((unsigned char *)item->value, length, text, length,
                         NULL, &item->value_bytes, NULL,
                         sodium_base64_VARIANT_ORIGINAL)
      != 0)
    return false;
  item->value[item->value_bytes] = '\0';
  return true;
}

void
kv_request_clear (struct kv_request *request)
{
  free (request->uri);
  free (request->body);
  *request = (struct kv_request){ 0 };
}

void
kv_response_clear (struct kv_response *response)
{
  for (size_t i = 0; response->items != NULL && i < response->reply.item_count;
       i++)
    {
      free (response->items[i].key);
      free (response->items[i].value);
    }
  free (response->items);
  free (response->hosts);
  free (response->lease);
  *response = (struct kv_response){ 0 };
}
