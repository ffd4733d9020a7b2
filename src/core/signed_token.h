/* seal - authenticated text that callers keep and hand back.

   Session tokens and transaction handles are sealed with the hosts' common
   key and bound to their purpose, service and caller, so that none can be
   altered, or used by another caller.  They are not encrypted.  */

#ifndef SAVORYWAY_CORE_SEAL_H
#define SAVORYWAY_CORE_SEAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SIGNED_TOKEN_KEY_BYTES 32
#define SIGNED_TOKEN_DATA_BYTES 1400

struct signed_token_context
{
  const uint8_t *key; /* SIGNED_TOKEN_KEY_BYTES */
  const char *purpose;
  const char *service;
  const char *caller;
};

/* Writes DATA with its authenticator to OUT as URL-safe base64.  Returns
   false if OUT_BYTES or SIGNED_TOKEN_DATA_BYTES do not suffice.  */
bool signed_token_encode (const struct signed_token_context *context,
                          const uint8_t *data, size_t data_bytes, char *out,
                          size_t out_bytes);

/* Reads TEXT into DATA, of SIGNED_TOKEN_DATA_BYTES.  Returns false unless it
   was written with the same context.  */
bool signed_token_decode (const struct signed_token_context *context,
                          const char *text, uint8_t *data, size_t *data_bytes);

#endif
