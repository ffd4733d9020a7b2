/* signed_token - authenticated tokens that callers store and send back.

   Session tokens and transaction handles carry an HMAC (HMAC-SHA512-256) with
   a key that all hosts share.  It covers their purpose, service and caller
   too, so that a token can't be altered, nor used by another caller.  The
   data is not encrypted.  */

#ifndef SAVORYWAY_CORE_SIGNED_TOKEN_H
#define SAVORYWAY_CORE_SIGNED_TOKEN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SIGNED_TOKEN_KEY_BYTES 32

/* Maximum size of the data in a token.  */
#define SIGNED_TOKEN_DATA_BYTES 1400

struct signed_token_context
{
  const uint8_t *key; /* SIGNED_TOKEN_KEY_BYTES */
  const char *purpose;
  const char *service;
  const char *caller;
};

/* Writes DATA and its HMAC to OUT as null-terminated URL-safe base64.  Returns
   false if DATA is longer than SIGNED_TOKEN_DATA_BYTES or OUT_BYTES is too
   small.  */
bool signed_token_encode (const struct signed_token_context *context,
                          const uint8_t *data, size_t data_bytes, char *out,
                          size_t out_bytes);

/* Verifies TEXT and decodes it into DATA, which has room for
   SIGNED_TOKEN_DATA_BYTES.  Returns false if TEXT is malformed or was not
   written with the same context.  */
bool signed_token_decode (const struct signed_token_context *context,
                          const char *text, uint8_t *data, size_t *data_bytes);

#endif
