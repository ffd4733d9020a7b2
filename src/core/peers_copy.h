/* peers_copy - deep copies of messages between hosts.  */

#ifndef SAVORYWAY_CORE_PEERS_COPY_H
#define SAVORYWAY_CORE_PEERS_COPY_H

#include "port/peer.h"

/* Replaces the NULL strings of BODY by "", as XDR can't encode NULL.  Strings
   within its arrays must not be NULL.  */
void peers_body_replace_nulls (peer_body *body);

/* Returns a deep copy of MESSAGE, made by encoding and decoding it, or NULL
   if it exceeds a limit of peer.x.  The caller frees it with
   peers_message_free.  */
peer_message *peers_message_copy (const peer_message *message);

/* Frees a copy; NULL is allowed.  */
void peers_message_free (peer_message *message);

#endif
