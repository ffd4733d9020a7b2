/* consul_codec - translates platform calls and replies to and from Consul's
   HTTP messages.  Private to consul*.c; see kv_codec.h for the functions.  */

#ifndef SAVORYWAY_PORT_CONSUL_CODEC_H
#define SAVORYWAY_PORT_CONSUL_CODEC_H

#include "port/kv_codec.h"

bool consul_request_build (struct kv_request *request,
                           const struct platform_call *call);
void consul_response_parse (struct kv_response *response,
                            enum platform_call_kind kind, int code,
                            const char *index, const char *body,
                            size_t length);

extern const struct kv_codec consul_codec;

#endif
