/* session - positions of a caller's session, encoded in its token.

   Hosts store no session state.  The token holds the highest position that
   the session has read or written in each database.  It is authenticated and
   bound to one service and caller.

   A token holds up to SESSION_DATABASES positions.  A request for a further
   database is refused, since dropping a position would lose the session's
   consistency in that database.  */

#ifndef SAVORYWAY_CORE_SESSION_H
#define SAVORYWAY_CORE_SESSION_H

#include <stddef.h>

#include "core/seal.h"
#include "core/types.h"

#define TOKEN_KEY_BYTES SEAL_KEY_BYTES

/* Databases in one token.  */
#define SESSION_DATABASES 48

struct session_entry
{
  uint64_t database; /* XXH64 of its name */
  struct position position;
};

struct session
{
  size_t count;
  struct session_entry entries[SESSION_DATABASES];
};

/* Decodes TOKEN of SERVICE and CALLER into SESSION.  NULL or "" gives an empty
   session.  Returns false if the token is malformed, was altered or belongs to
   another service or caller.  */
bool session_decode (struct session *session, const uint8_t *key,
                     const char *service, const char *caller,
                     const char *token);

/* Encodes SESSION as a token in OUT; TOKEN_LIMIT_BYTES (entry.h) suffice.
   Returns false if OUT_BYTES do not.  */
bool session_encode (const struct session *session, const uint8_t *key,
                     const char *service, const char *caller, char *out,
                     size_t out_bytes);

/* Returns the session's position in DATABASE, {0, 0} if none.  */
struct position session_position (const struct session *session,
                                  const char *database);

/* Returns whether the session holds, or can add, a position of DATABASE.  */
bool session_has_capacity (const struct session *session,
                           const char *database);

/* Raises the session's position in DATABASE to POSITION.  Ignored if it is not
   later than the present one.  */
void session_advance (struct session *session, const char *database,
                      struct position position);

#endif
