/* session - what a caller's session has seen, carried in its token.

   Hosts keep no session state.  A token holds, for each database that the
   session has used, the highest position it has written or read.  A token is
   bound to one service and caller.  It holds at most SESSION_DATABASES; a
   request for one more database is refused rather than an earlier position
   forgotten.  */

#ifndef SAVORYWAY_CORE_SESSION_H
#define SAVORYWAY_CORE_SESSION_H

#include <stddef.h>

#include "core/signed_token.h"
#include "core/types.h"

#define TOKEN_KEY_BYTES SIGNED_TOKEN_KEY_BYTES
#define SESSION_DATABASES 48

struct session_entry
{
  uint64_t database; /* hash of its name */
  struct position position;
};

struct session
{
  size_t count;
  struct session_entry entries[SESSION_DATABASES];
};

/* Reads TOKEN, of SERVICE and CALLER; NULL or "" is an empty session.
   Returns false if the token is malformed, altered or another's.  */
bool session_decode (struct session *session, const uint8_t *key,
                     const char *service, const char *caller,
                     const char *token);

/* Writes the token of SESSION to OUT, of TOKEN_LIMIT_BYTES (entry.h).  */
bool session_encode (const struct session *session, const uint8_t *key,
                     const char *service, const char *caller, char *out,
                     size_t out_bytes);

/* Returns the position seen of DATABASE, {0, 0} if none.  */
struct position session_position (const struct session *session,
                                  const char *database);

/* Whether the session can take in positions of DATABASE.  */
bool session_has_room (const struct session *session, const char *database);

/* Notes that the session has seen POSITION; an earlier one is ignored.  */
void session_advance (struct session *session, const char *database,
                      struct position position);

#endif
