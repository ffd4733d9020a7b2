/* kv_codec - calls and replies of a key-value service as HTTP messages.  */

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

struct kv_request
{
  enum kv_method verb;
  char *uri;
  char *body; /* NULL if none; JSON */
};

void kv_request_clear (struct kv_request *request);

/* A reply that owns what it points to.  */
struct kv_response
{
  struct platform_reply reply;
  struct platform_item *items;
  struct platform_host *hosts;
  char *lease;
};

void kv_response_clear (struct kv_response *answer);

/* Whether a call of KIND changes something.  */
bool kv_call_is_write (enum platform_call_kind kind);

/* What a call of KIND gets when no answer came after it was sent.  */
enum platform_status kv_unanswered_status (enum platform_call_kind kind);

/* Returns TEXT with all but the usual characters of keys percent-encoded;
   the caller frees it.  */
char *kv_percent_encode (const char *text);

/* Returns BYTES bytes of DATA as base64; the caller frees it.  */
char *kv_base64_encode (const char *data, size_t bytes);

/* Decodes base64 TEXT into the value of ITEM; false if it is malformed.  */
bool kv_base64_decode_item (struct platform_item *item, const char *text);

struct kv_codec
{
  /* Returns false if CALL holds a value or lease that can't be sent.  */
  bool (*build) (struct kv_request *request, const struct platform_call *call);
  /* Fills ANSWER from an HTTP response to a call of KIND.  A body that can't
     be understood counts as no answer.  */
  void (*parse) (struct kv_response *answer, enum platform_call_kind kind,
                 int code, const char *index, const char *body, size_t length);
};

#endif
