#include "core/session.h"

#include <string.h>
#include <xxhash.h>

/* A token holds TOKEN_VERSION in one byte, then for each database the hash of
   its name, the term and the LSN as little-endian 64-bit numbers.  */
#define TOKEN_VERSION 1
#define ENCODED_ENTRY_BYTES 24

static const char purpose[] = "session";

static uint64_t
database_hash (const char *database)
{
  return XXH64 (database, strlen (database), 0);
}

static void
put_u64 (uint8_t *out, uint64_t value)
{
  for (size_t i = 0; i < sizeof value; i++)
    out[i] = (uint8_t)(value >> (8 * i));
}

static uint64_t
get_u64 (const uint8_t *in)
{
  uint64_t value = 0;
  for (size_t i = 0; i < sizeof value; i++)
    value |= (uint64_t)in[i] << (8 * i);
  return value;
}

static bool
decode_entries (struct session *session, const uint8_t *data,
                size_t data_bytes)
{
  if (data_bytes < 1 || data[0] != TOKEN_VERSION)
    return false;
  size_t count = (data_bytes - 1) / ENCODED_ENTRY_BYTES;
  if (1 + count * ENCODED_ENTRY_BYTES != data_bytes
      || count > SESSION_DATABASES)
    return false;
  for (size_t i = 0; i < count; i++)
    {
      const uint8_t *in = data + 1 + i * ENCODED_ENTRY_BYTES;
      session->entries[i].database = get_u64 (in);
      session->entries[i].position.term = get_u64 (in + 8);
      session->entries[i].position.lsn = get_u64 (in + 16);
    }
  session->count = count;
  return true;
}

bool
session_decode (struct session *session, const uint8_t *key,
                const char *service, const char *caller, const char *token)
{
  const struct seal_context context = {
    .key = key, .purpose = purpose, .service = service, .caller = caller
  };
  uint8_t data[SEAL_DATA_BYTES];
  size_t data_bytes = 0;
  session->count = 0;
  if (token == NULL || *token == '\0')
    return true;
  return seal_read (&context, token, data, &data_bytes)
         && decode_entries (session, data, data_bytes);
}

bool
session_encode (const struct session *session, const uint8_t *key,
                const char *service, const char *caller, char *out,
                size_t out_bytes)
{
  const struct seal_context context = {
    .key = key, .purpose = purpose, .service = service, .caller = caller
  };
  uint8_t data[1 + SESSION_DATABASES * ENCODED_ENTRY_BYTES];
  data[0] = TOKEN_VERSION;
  for (size_t i = 0; i < session->count; i++)
    {
      uint8_t *to = data + 1 + i * ENCODED_ENTRY_BYTES;
      put_u64 (to, session->entries[i].database);
      put_u64 (to + 8, session->entries[i].position.term);
      put_u64 (to + 16, session->entries[i].position.lsn);
    }
  return seal_write (&context, data, 1 + session->count * ENCODED_ENTRY_BYTES,
                     out, out_bytes);
}

static size_t
find_entry (const struct session *session, uint64_t database)
{
  for (size_t i = 0; i < session->count; i++)
    if (session->entries[i].database == database)
      return i;
  return session->count;
}

struct position
session_position (const struct session *session, const char *database)
{
  size_t i = find_entry (session, database_hash (database));
  if (i == session->count)
    return (struct position){ 0 };
  return session->entries[i].position;
}

bool
session_has_capacity (const struct session *session, const char *database)
{
  return session->count < SESSION_DATABASES
         || find_entry (session, database_hash (database)) < session->count;
}

static bool
is_later (struct position a, struct position b)
{
  return a.term != b.term ? a.term > b.term : a.lsn > b.lsn;
}

void
session_advance (struct session *session, const char *database,
                 struct position position)
{
  uint64_t hash = database_hash (database);
  size_t i = find_entry (session, hash);
  if (position.term == 0 || i == SESSION_DATABASES)
    return;
  if (i == session->count)
    {
      session->entries[session->count++]
          = (struct session_entry){ .database = hash, .position = position };
      return;
    }
  if (is_later (position, session->entries[i].position))
    session->entries[i].position = position;
}
