/* rpc_message - calls and replies between hosts as ONC RPC records.

   Every record is authenticated with the host-to-host secret: the
   credential of a call, and the verifier of a reply, hold a keyed hash
   (HMAC-SHA-512-256) over the direction, xid, program, version, procedure or
   status, and the body.  A body is decoded only after its hash has been
   checked.  */

#ifndef SAVORYWAY_PORT_RPC_MESSAGE_H
#define SAVORYWAY_PORT_RPC_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "port/peer.h"

#define RPC_SECRET_BYTES 32

/* Flavor of the credential, from the range for private use.  */
#define RPC_FLAVOR_SECRET 0x53570001

#define RPC_VERSION_LOW SAVORYWAY_PEER_V1
#define RPC_VERSION_HIGH SAVORYWAY_PEER_V1

/* What became of a call at the receiving host.  */
enum rpc_status
{
  RPC_STATUS_OK,
  RPC_STATUS_REFUSED, /* not processed; the reply is authentic */
  RPC_STATUS_VERSION, /* likewise, for its version */
  RPC_STATUS_BROKEN   /* malformed, or the secret differs */
};

/* Head of a call as received.  */
struct rpc_call_header
{
  uint32_t xid;
  uint32_t program;
  uint32_t version;
  uint32_t procedure;
  const uint8_t *body; /* in the record */
  size_t body_bytes;
};

/* Head of a reply as received.  */
struct rpc_reply_header
{
  uint32_t xid;
  enum rpc_status status;
  uint32_t version_high; /* RPC_STATUS_VERSION: highest the host knows */
  const uint8_t *body;
  size_t body_bytes;
};

/* Encoded body of a message, to be sent in a call or reply.  */
struct rpc_body
{
  uint8_t *data;
  size_t size_bytes;
};

/* Encodes MESSAGE, at most LIMIT_BYTES.  Returns false if it is larger or
   breaks a limit of peer.x; else BODY's data is to be freed.  */
bool rpc_body_encode (struct rpc_body *body, const peer_message *message,
                      size_t limit_bytes);

/* Decodes a body.  Returns false if malformed; else MESSAGE is to be freed
   with xdr_free (xdr_peer_message).  */
bool rpc_body_decode (const uint8_t *data, size_t size_bytes,
                      peer_message *message);

/* Appends a call of PROCEDURE with BODY to OUTPUT, as a record.  */
struct evbuffer;
void rpc_call_write (struct evbuffer *output, const uint8_t *secret,
                     uint32_t xid, uint32_t version, uint32_t procedure,
                     const struct rpc_body *body);

/* Reads a call.  BROKEN: HEAD's xid is set only if *ANSWERABLE, in which
   case a denial may be sent.  */
enum rpc_status rpc_call_read (const uint8_t *secret, uint8_t *data,
                               size_t size_bytes, struct rpc_call_header *head,
                               bool *answerable);

/* Appends an accepted reply: STAT as in accept_stat; BODY for SUCCESS.  */
void rpc_reply_write (struct evbuffer *output, const uint8_t *secret,
                      uint32_t xid, uint32_t stat,
                      const struct rpc_body *body);

/* Appends a denial for a credential that does not match.  */
void rpc_denial_write (struct evbuffer *output, uint32_t xid);

/* Reads a reply.  */
enum rpc_status rpc_reply_read (const uint8_t *secret, uint8_t *data,
                                size_t size_bytes,
                                struct rpc_reply_header *head);

#endif
