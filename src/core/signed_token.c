#include "core/signed_token.h"

#include <string.h>

#include <sodium.h>

#define SEALED_BYTES (SIGNED_TOKEN_DATA_BYTES + crypto_auth_BYTES)
#define TEXT_LIMIT_BYTES ((size_t)2 * SEALED_BYTES)
#define VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING

static void
feed_text (crypto_auth_hmacsha512256_state *state, const char *text)
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
  feed_text (&state, context->purpose);
  feed_text (&state, context->service);
  feed_text (&state, context->caller);
  crypto_auth_hmacsha512256_update (&state, data, data_bytes);
  crypto_auth_hmacsha512256_final (&state, mac);
}

bool
signed_token_encode (const struct signed_token_context *context,
                     const uint8_t *data, size_t data_bytes, char *out,
                     size_t out_bytes)
{
  uint8_t sealed[SEALED_BYTES];
  size_t sealed_bytes = data_bytes + crypto_auth_BYTES;
  if (data_bytes > SIGNED_TOKEN_DATA_BYTES)
    return false;
  if (sodium_base64_encoded_len (sealed_bytes, VARIANT) > out_bytes)
    return false;
  authenticate (context, data, data_bytes, sealed);
  memcpy (sealed + crypto_auth_BYTES, data, data_bytes);
  sodium_bin2base64 (out, out_bytes, sealed, sealed_bytes, VARIANT);
  return true;
}

bool
signed_token_decode (const struct signed_token_context *context,
                     const char *text, uint8_t *data, size_t *data_bytes)
{
  uint8_t sealed[SEALED_BYTES];
  uint8_t mac[crypto_auth_BYTES];
  size_t sealed_bytes = 0;
  const char *end = NULL;
  size_t length = strnlen (text, TEXT_LIMIT_BYTES);
  if (sodium_base642bin (sealed, sizeof sealed, text, length, NULL,
                         &sealed_bytes, &end, VARIANT)
          != 0
      || end != text + length || sealed_bytes < crypto_auth_BYTES)
    return false;
  *data_bytes = sealed_bytes - crypto_auth_BYTES;
  authenticate (context, sealed + crypto_auth_BYTES, *data_bytes, mac);
  if (sodium_memcmp (mac, sealed, sizeof mac) != 0)
    return false;
  memcpy (data, sealed + crypto_auth_BYTES, *data_bytes);
  return true;
}
