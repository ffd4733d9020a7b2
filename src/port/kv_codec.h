/* kv_codec - translation of platform calls and replies to and from the HTTP
   messages of a key-value service.

   A codec builds the request of a call and parses the response to it.  The
   HTTP client (consul.h) works with any codec.  */

#ifndef SAVORYWAY_PORT_KV_CODEC_H
#define SAVORYWAY_PORT_KV_CODEC_H

#include "port/platform_port.h"

enum kv_method
{
  KV_GET,
  KV_PUT,
  KV_POST,
  KV_DELETE
};

/* Owns its strings.  */
struct kv_request
{
  enum kv_method method;
  char *uri;
  char *body; /* NULL if none; JSON */
};

void kv_request_clear (struct kv_request *request);

/* A reply and the memory that it points to.  */
struct kv_response
{
  struct platform_reply reply;
  struct platform_item *items;
  struct platform_host *hosts;
  char *lease;
};

void kv_response_clear (struct kv_response *response);

/* Returns whether calls of KIND change stored data or leases.  */
bool kv_call_is_write (enum platform_call_kind kind);

/* Returns the status of a call of KIND that was sent but got no response:
   PLATFORM_LOST for a write, which may have taken effect, else
   PLATFORM_UNAVAILABLE.  */
enum platform_status kv_unanswered_status (enum platform_call_kind kind);

/* Returns TEXT with percent-encoding of all characters but letters, digits
   and "-_./~"; the caller frees it.  */
char *kv_percent_encode (const char *text);

/* Returns BYTES bytes of DATA in base64; the caller frees it.  */
char *kv_base64_encode (const char *data, size_t bytes);

/* Decodes base64 TEXT into the value of ITEM.  Returns false if TEXT is
   malformed.  */
bool kv_base64_decode_item (struct platform_item *item, const char *text);

struct kv_codec
{
  /* Fills REQUEST from CALL.  Returns false if CALL is not valid for the
     service, such as a key or value over its limit.  */
  bool (*build) (struct kv_request *request, const struct platform_call *call);
  /* Fills RESPONSE from the HTTP response to a call of KIND: status CODE,
     value of the header HEADER (NULL if absent) and BODY.  A malformed body
     counts as no response.  */
  void (*parse) (struct kv_response *response, enum platform_call_kind kind,
                 int code, const char *header, const char *body,
                 size_t length);
  const char *header; /* name of the header that PARSE needs */
};

#endif
