/* rpc_message - encoding of calls and replies between hosts as ONC RPC
   records.

   Every record but a denial is authenticated with the secret shared by the
   hosts: the credential of a call and the verifier of a reply contain an
   HMAC-SHA-512-256 over the direction, xid, program, version, procedure (in a
   reply: status) and body.  A body is decoded only after its HMAC has been
   verified.  */

#ifndef SAVORYWAY_PORT_RPC_MESSAGE_H
#define SAVORYWAY_PORT_RPC_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "port/peer.h"

#define RPC_SECRET_BYTES 32

/* Authentication flavor, from the range for private use.  */
#define RPC_FLAVOR_SECRET 0x53570001

#define RPC_VERSION_LOW SAVORYWAY_PEER_V1
#define RPC_VERSION_HIGH SAVORYWAY_PEER_V1

/* Outcome of reading a record.  */
enum rpc_status
{
  RPC_STATUS_OK,
  RPC_STATUS_REFUSED, /* authentic error reply: the call was not processed */
  RPC_STATUS_VERSION, /* likewise: the version is not supported */
  RPC_STATUS_INVALID  /* malformed or not authentic */
};

/* Header of a received call.  */
struct rpc_call_header
{
  uint32_t xid;
  uint32_t program;
  uint32_t version;
  uint32_t procedure;
  const uint8_t *body; /* within the record */
  size_t body_bytes;
};

/* Header of a received reply.  */
struct rpc_reply_header
{
  uint32_t xid;
  enum rpc_status status;
  uint32_t version_high; /* RPC_STATUS_VERSION: highest supported version */
  const uint8_t *body;
  size_t body_bytes;
};

/* Encoded body of a call or reply.  */
struct rpc_body
{
  uint8_t *data;
  size_t size_bytes;
};

/* Encodes MESSAGE.  Returns false if it takes more than LIMIT_BYTES or exceeds
   a limit of peer.x; else the caller frees BODY's data.  */
bool rpc_body_encode (struct rpc_body *body, const peer_message *message,
                      size_t limit_bytes);

/* Decodes a body.  Returns false if it is malformed; else the caller frees
   MESSAGE with xdr_free (xdr_peer_message).  */
bool rpc_body_decode (const uint8_t *data, size_t size_bytes,
                      peer_message *message);

/* Appends a record with a call of PROCEDURE with BODY to OUTPUT.  */
struct evbuffer;
void rpc_call_write (struct evbuffer *output, const uint8_t *secret,
                     uint32_t xid, uint32_t version, uint32_t procedure,
                     const struct rpc_body *body);

/* Parses and verifies a call.  Returns RPC_STATUS_OK or RPC_STATUS_INVALID; in
   the latter case HEADER's xid is valid, and a denial may be sent, only if
   *ANSWERABLE is true.  */
enum rpc_status rpc_call_read (const uint8_t *secret, uint8_t *data,
                               size_t size_bytes,
                               struct rpc_call_header *header,
                               bool *answerable);

/* Appends an accepted reply with STAT, a value of enum accept_stat, and for
   SUCCESS a BODY, else NULL.  */
void rpc_reply_write (struct evbuffer *output, const uint8_t *secret,
                      uint32_t xid, uint32_t stat,
                      const struct rpc_body *body);

/* Appends a denial of a call whose credential is invalid.  */
void rpc_denial_write (struct evbuffer *output, uint32_t xid);

/* Parses and verifies a reply.  */
enum rpc_status rpc_reply_read (const uint8_t *secret, uint8_t *data,
                                size_t size_bytes,
                                struct rpc_reply_header *header);

#endif
