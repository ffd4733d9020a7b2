#include "port/rpc_message.h"

#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <rpc/rpc.h>
#include <sodium.h>

#include "kernel/mem.h"
#include "port/rpc_internal.h"

_Static_assert(crypto_auth_KEYBYTES == RPC_SECRET_BYTES, "secret size");

/* Words that are hashed before the body.  */
struct sealed_words
{
  uint32_t direction;
  uint32_t xid;
  uint32_t program;
  uint32_t version;
  uint32_t procedure; /* of a call; status of a reply */
};

static void
seal (uint8_t tag[crypto_auth_BYTES], const uint8_t *secret,
      const struct sealed_words *words, const void *body, size_t body_bytes)
{
  crypto_auth_hmacsha512256_state state;
  uint32_t wire[]
      = { htonl (words->direction), htonl (words->xid), htonl (words->program),
          htonl (words->version), htonl (words->procedure) };
  crypto_auth_hmacsha512256_init (&state, secret, RPC_SECRET_BYTES);
  crypto_auth_hmacsha512256_update (&state, (const uint8_t *)wire,
                                    sizeof wire);
  if (body_bytes > 0)
    crypto_auth_hmacsha512256_update (&state, body, body_bytes);
  crypto_auth_hmacsha512256_final (&state, tag);
}

static bool
seal_holds (const struct opaque_auth *auth, const uint8_t *secret,
            const struct sealed_words *words, const void *body,
            size_t body_bytes)
{
  uint8_t tag[crypto_auth_BYTES];
  if (auth->oa_flavor != RPC_FLAVOR_SECRET)
    return false;
  if (auth->oa_length != sizeof tag)
    return false;
  seal (tag, secret, words, body, body_bytes);
  return sodium_memcmp (tag, auth->oa_base, sizeof tag) == 0;
}

bool
rpc_body_encode (struct rpc_body *body, const peer_message *message,
                 size_t limit_bytes)
{
  XDR xdr;
  unsigned long size
      = xdr_sizeof ((xdrproc_t)xdr_peer_message, (void *)message);
  body->data = NULL;
  body->size_bytes = size;
  if (size == 0 || size > limit_bytes)
    return false;
  body->data = mem_zalloc (size);
  xdrmem_create (&xdr, (char *)body->data, (u_int)size, XDR_ENCODE);
  if (xdr_peer_message (&xdr, (peer_message *)message))
    return true;
  free (body->data);
  body->data = NULL;
  return false;
}

bool
rpc_body_decode (const uint8_t *data, size_t size_bytes, peer_message *message)
{
  XDR xdr;
  memset (message, 0, sizeof *message);
  xdrmem_create (&xdr, (char *)data, (u_int)size_bytes, XDR_DECODE);
  if (xdr_peer_message (&xdr, message) && xdr_getpos (&xdr) == size_bytes)
    return true;
  xdr_free ((xdrproc_t)xdr_peer_message, message);
  memset (message, 0, sizeof *message);
  return false;
}

/* The results follow the header; they are coded apart from it.  */
static bool_t
no_results (XDR *xdr, ...)
{
  (void)xdr;
  return TRUE;
}

/* Appends a record of an encoded header and a body that may be NULL.  */
static void
write_record (struct evbuffer *output, struct rpc_msg *message,
              const struct rpc_body *body)
{
  char header[RPC_HEADER_LIMIT_BYTES];
  XDR xdr;
  bool_t ok;
  xdrmem_create (&xdr, header, sizeof header, XDR_ENCODE);
  if (message->rm_direction == CALL)
    ok = xdr_callmsg (&xdr, message);
  else
    ok = xdr_replymsg (&xdr, message);
  if (!ok)
    return;
  size_t header_bytes = xdr_getpos (&xdr);
  size_t body_bytes = body != NULL ? body->size_bytes : 0;
  rpc_record_mark (output, header_bytes + body_bytes);
  evbuffer_add (output, header, header_bytes);
  if (body_bytes > 0)
    evbuffer_add (output, body->data, body_bytes);
}

void
rpc_call_write (struct evbuffer *output, const uint8_t *secret, uint32_t xid,
                uint32_t version, uint32_t procedure,
                const struct rpc_body *body)
{
  uint8_t tag[crypto_auth_BYTES];
  struct sealed_words words = { .direction = CALL,
                                .xid = xid,
                                .program = SAVORYWAY_PEER,
                                .version = version,
                                .procedure = procedure };
  seal (tag, secret, &words, body->data, body->size_bytes);
  struct rpc_msg message = { .rm_xid = xid, .rm_direction = CALL };
  message.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  message.rm_call.cb_prog = SAVORYWAY_PEER;
  message.rm_call.cb_vers = version;
  message.rm_call.cb_proc = procedure;
  message.rm_call.cb_cred.oa_flavor = RPC_FLAVOR_SECRET;
  message.rm_call.cb_cred.oa_base = (caddr_t)tag;
  message.rm_call.cb_cred.oa_length = sizeof tag;
  message.rm_call.cb_verf.oa_flavor = AUTH_NONE;
  write_record (output, &message, body);
}

enum rpc_status
rpc_call_read (const uint8_t *secret, uint8_t *data, size_t size_bytes,
               struct rpc_call_header *head, bool *answerable)
{
  char cred[MAX_AUTH_BYTES];
  char verf[MAX_AUTH_BYTES];
  struct rpc_msg message = { .rm_direction = CALL };
  XDR xdr;
  message.rm_call.cb_cred.oa_base = cred;
  message.rm_call.cb_verf.oa_base = verf;
  *answerable = false;
  xdrmem_create (&xdr, (char *)data, (u_int)size_bytes, XDR_DECODE);
  if (!xdr_callmsg (&xdr, &message))
    return RPC_STATUS_BROKEN;
  *answerable = true;
  head->xid = message.rm_xid;
  head->program = message.rm_call.cb_prog;
  head->version = message.rm_call.cb_vers;
  head->procedure = message.rm_call.cb_proc;
  head->body = data + xdr_getpos (&xdr);
  head->body_bytes = size_bytes - xdr_getpos (&xdr);
  struct sealed_words words = { .direction = CALL,
                                .xid = head->xid,
                                .program = head->program,
                                .version = head->version,
                                .procedure = head->procedure };
  if (message.rm_call.cb_verf.oa_flavor != AUTH_NONE)
    return RPC_STATUS_BROKEN;
  if (!seal_holds (&message.rm_call.cb_cred, secret, &words, head->body,
                   head->body_bytes))
    return RPC_STATUS_BROKEN;
  return RPC_STATUS_OK;
}

void
rpc_reply_write (struct evbuffer *output, const uint8_t *secret, uint32_t xid,
                 uint32_t stat, const struct rpc_body *body)
{
  uint8_t tag[crypto_auth_BYTES];
  struct sealed_words words = { .direction = REPLY,
                                .xid = xid,
                                .program = SAVORYWAY_PEER,
                                .procedure = stat };
  const void *data = body != NULL ? body->data : NULL;
  seal (tag, secret, &words, data, body != NULL ? body->size_bytes : 0);
  struct rpc_msg message = { .rm_xid = xid, .rm_direction = REPLY };
  message.rm_reply.rp_stat = MSG_ACCEPTED;
  message.acpted_rply.ar_verf.oa_flavor = RPC_FLAVOR_SECRET;
  message.acpted_rply.ar_verf.oa_base = (caddr_t)tag;
  message.acpted_rply.ar_verf.oa_length = sizeof tag;
  message.acpted_rply.ar_stat = (enum accept_stat)stat;
  if (stat == SUCCESS)
    message.acpted_rply.ar_results.proc = no_results;
  if (stat == PROG_MISMATCH)
    {
      message.acpted_rply.ar_vers.low = RPC_VERSION_LOW;
      message.acpted_rply.ar_vers.high = RPC_VERSION_HIGH;
    }
  write_record (output, &message, body);
}

void
rpc_denial_write (struct evbuffer *output, uint32_t xid)
{
  struct rpc_msg message = { .rm_xid = xid, .rm_direction = REPLY };
  message.rm_reply.rp_stat = MSG_DENIED;
  message.rjcted_rply.rj_stat = AUTH_ERROR;
  message.rjcted_rply.ru.RJ_why = AUTH_BADCRED;
  write_record (output, &message, NULL);
}

enum rpc_status
rpc_reply_read (const uint8_t *secret, uint8_t *data, size_t size_bytes,
                struct rpc_reply_header *head)
{
  char verf[MAX_AUTH_BYTES];
  struct rpc_msg message = { .rm_direction = REPLY };
  XDR xdr;
  message.acpted_rply.ar_verf.oa_base = verf;
  message.acpted_rply.ar_results.proc = no_results;
  memset (head, 0, sizeof *head);
  head->status = RPC_STATUS_BROKEN;
  xdrmem_create (&xdr, (char *)data, (u_int)size_bytes, XDR_DECODE);
  if (!xdr_replymsg (&xdr, &message))
    return head->status;
  head->xid = message.rm_xid;
  if (message.rm_reply.rp_stat != MSG_ACCEPTED)
    return head->status;
  head->body = data + xdr_getpos (&xdr);
  head->body_bytes = size_bytes - xdr_getpos (&xdr);
  struct sealed_words words = { .direction = REPLY,
                                .xid = head->xid,
                                .program = SAVORYWAY_PEER,
                                .procedure = message.acpted_rply.ar_stat };
  if (!seal_holds (&message.acpted_rply.ar_verf, secret, &words, head->body,
                   head->body_bytes))
    return head->status;
  if (message.acpted_rply.ar_stat == SUCCESS)
    head->status = RPC_STATUS_OK;
  else if (message.acpted_rply.ar_stat == PROG_MISMATCH)
    {
      head->status = RPC_STATUS_VERSION;
      head->version_high = message.acpted_rply.ar_vers.high;
    }
  else
    head->status = RPC_STATUS_REFUSED;
  return head->status;
}
