#include "core/signed_token.h"

#include <string.h>

#include <sodium.h>

/* Size of the longest token before its encoding: HMAC and data.  */
#define TOKEN_BYTES (SIGNED_TOKEN_DATA_BYTES + crypto_auth_BYTES)

/* Longer than any encoded token; bounds the length of input that is read.  */
#define TEXT_LIMIT_BYTES ((size_t)2 * TOKEN_BYTES)
#define BASE64_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING

/* Includes the null byte, so that no character can move from one text to the
   next.  */
static void
update_text (crypto_auth_hmacsha512256_state *state, const char *text)
{
  const uint8_t *bytes = (const uint8_t *)text;
  crypto_auth_hmacsha512256_update (state, bytes, strlen (text) + 1);
}

static void
authenticate (const struct signed_token_context *context, const uint8_t *data,
              size_t data_bytes, uint8_t *mac)
{
  crypto_auth_hmacsha512256_state state;
  crypto_auth_hmacsha512256_init (&state, context->key,
                                  SIGNED_TOKEN_KEY_BYTES);
  update_text (&state, context->purpose);
  update_text (&state, context->service);
  update_text (&state, context->caller);
  crypto_auth_hmacsha512256_update (&state, data, data_bytes);
  crypto_auth_hmacsha512256_final (&state, mac);
}

bool
signed_token_encode (const struct signed_token_context *context,
                     const uint8_t *data, size_t data_bytes, char *out,
                     size_t out_bytes)
{
  uint8_t token[TOKEN_BYTES];
  size_t token_bytes = data_bytes + crypto_auth_BYTES;
  if (data_bytes > SIGNED_TOKEN_DATA_BYTES)
    return false;
  if (sodium_base64_encoded_len (token_bytes, BASE64_VARIANT) > out_bytes)
    return false;
  authenticate (context, data, data_bytes, token);
  memcpy (token + crypto_auth_BYTES, data, data_bytes);
  sodium_bin2base64 (out, out_bytes, token, token_bytes, BASE64_VARIANT);
  return true;
}

bool
signed_token_decode (const struct signed_token_context *context,
                     const char *text, uint8_t *data, size_t *data_bytes)
{
  uint8_t token[TOKEN_BYTES];
  uint8_t mac[crypto_auth_BYTES];
  size_t token_bytes = 0;
  const char *end = NULL;
  size_t length = strnlen (text, TEXT_LIMIT_BYTES);
  if (sodium_base642bin (token, sizeof token, text, length, NULL, &token_bytes,
                         &end, BASE64_VARIANT)
          != 0
      || end != text + length || token_bytes < crypto_auth_BYTES)
    return false;
  *data_bytes = token_bytes - crypto_auth_BYTES;
  authenticate (context, token + crypto_auth_BYTES, *data_bytes, mac);
  if (sodium_memcmp (mac, token, sizeof mac) != 0)
    return false;
  memcpy (data, token + crypto_auth_BYTES, *data_bytes);
  return true;
}
