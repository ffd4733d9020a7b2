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

/* Header fields that the HMAC covers, in front of the body.  */
struct mac_input
{
  uint32_t direction;
  uint32_t xid;
  uint32_t program;
  uint32_t version;
  uint32_t procedure; /* of a call; status of a reply */
};

static void
compute_mac (uint8_t mac[crypto_auth_BYTES], const uint8_t *secret,
             const struct mac_input *input, const void *body,
             size_t body_bytes)
{
  crypto_auth_hmacsha512256_state state;
  uint32_t wire[]
      = { htonl (input->direction), htonl (input->xid), htonl (input->program),
          htonl (input->version), htonl (input->procedure) };
  crypto_auth_hmacsha512256_init (&state, secret, RPC_SECRET_BYTES);
  crypto_auth_hmacsha512256_update (&state, (const uint8_t *)wire,
                                    sizeof wire);
  if (body_bytes > 0)
    crypto_auth_hmacsha512256_update (&state, body, body_bytes);
  crypto_auth_hmacsha512256_final (&state, mac);
}

static bool
verify_mac (const struct opaque_auth *auth, const uint8_t *secret,
            const struct mac_input *input, const void *body, size_t body_bytes)
{
  uint8_t mac[crypto_auth_BYTES];
  if (auth->oa_flavor != RPC_FLAVOR_SECRET)
    return false;
  if (auth->oa_length != sizeof mac)
    return false;
  compute_mac (mac, secret, input, body, body_bytes);
  return sodium_memcmp (mac, auth->oa_base, sizeof mac) == 0;
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
  /* A string with a zero byte is cut there, so the message is shorter.  */
  if (xdr_peer_message (&xdr, message) && xdr_getpos (&xdr) == size_bytes
      && xdr_sizeof ((xdrproc_t)xdr_peer_message, message) == size_bytes)
    return true;
  xdr_free ((xdrproc_t)xdr_peer_message, message);
  memset (message, 0, sizeof *message);
  return false;
}

/* The results follow the header but are encoded separately.  */
static bool_t
no_results (XDR *xdr, ...)
{
  (void)xdr;
  return TRUE;
}

/* Appends a record of the header MESSAGE and BODY, which may be NULL.  */
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
  uint8_t mac[crypto_auth_BYTES];
  struct mac_input input = { .direction = CALL,
                             .xid = xid,
                             .program = SAVORYWAY_PEER,
                             .version = version,
                             .procedure = procedure };
  compute_mac (mac, secret, &input, body->data, body->size_bytes);
  struct rpc_msg message = { .rm_xid = xid, .rm_direction = CALL };
  message.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  message.rm_call.cb_prog = SAVORYWAY_PEER;
  message.rm_call.cb_vers = version;
  message.rm_call.cb_proc = procedure;
  message.rm_call.cb_cred.oa_flavor = RPC_FLAVOR_SECRET;
  message.rm_call.cb_cred.oa_base = (caddr_t)mac;
  message.rm_call.cb_cred.oa_length = sizeof mac;
  message.rm_call.cb_verf.oa_flavor = AUTH_NONE;
  write_record (output, &message, body);
}

enum rpc_status
rpc_call_read (const uint8_t *secret, uint8_t *data, size_t size_bytes,
               struct rpc_call_header *header, bool *answerable)
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
    return RPC_STATUS_INVALID;
  *answerable = true;
  header->xid = message.rm_xid;
  header->program = message.rm_call.cb_prog;
  header->version = message.rm_call.cb_vers;
  header->procedure = message.rm_call.cb_proc;
  header->body = data + xdr_getpos (&xdr);
  header->body_bytes = size_bytes - xdr_getpos (&xdr);
  struct mac_input input = { .direction = CALL,
                             .xid = header->xid,
                             .program = header->program,
                             .version = header->version,
                             .procedure = header->procedure };
  if (message.rm_call.cb_verf.oa_flavor != AUTH_NONE)
    return RPC_STATUS_INVALID;
  if (!verify_mac (&message.rm_call.cb_cred, secret, &input, header->body,
                   header->body_bytes))
    return RPC_STATUS_INVALID;
  return RPC_STATUS_OK;
}

void
rpc_reply_write (struct evbuffer *output, const uint8_t *secret, uint32_t xid,
                 uint32_t stat, const struct rpc_body *body)
{
  uint8_t mac[crypto_auth_BYTES];
  struct mac_input input = { .direction = REPLY,
                             .xid = xid,
                             .program = SAVORYWAY_PEER,
                             .procedure = stat };
  const void *data = body != NULL ? body->data : NULL;
  compute_mac (mac, secret, &input, data, body != NULL ? body->size_bytes : 0);
  struct rpc_msg message = { .rm_xid = xid, .rm_direction = REPLY };
  message.rm_reply.rp_stat = MSG_ACCEPTED;
  message.acpted_rply.ar_verf.oa_flavor = RPC_FLAVOR_SECRET;
  message.acpted_rply.ar_verf.oa_base = (caddr_t)mac;
  message.acpted_rply.ar_verf.oa_length = sizeof mac;
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
                struct rpc_reply_header *header)
{
  char verf[MAX_AUTH_BYTES];
  struct rpc_msg message = { .rm_direction = REPLY };
  XDR xdr;
  message.acpted_rply.ar_verf.oa_base = verf;
  message.acpted_rply.ar_results.proc = no_results;
  memset (header, 0, sizeof *header);
  header->status = RPC_STATUS_INVALID;
  xdrmem_create (&xdr, (char *)data, (u_int)size_bytes, XDR_DECODE);
  if (!xdr_replymsg (&xdr, &message))
    return header->status;
  header->xid = message.rm_xid;
  if (message.rm_reply.rp_stat != MSG_ACCEPTED)
    return header->status;
  header->body = data + xdr_getpos (&xdr);
  header->body_bytes = size_bytes - xdr_getpos (&xdr);
  struct mac_input input = { .direction = REPLY,
                             .xid = header->xid,
                             .program = SAVORYWAY_PEER,
                             .procedure = message.acpted_rply.ar_stat };
  if (!verify_mac (&message.acpted_rply.ar_verf, secret, &input, header->body,
                   header->body_bytes))
    return header->status;
  if (message.acpted_rply.ar_stat == SUCCESS)
    header->status = RPC_STATUS_OK;
  else if (message.acpted_rply.ar_stat == PROG_MISMATCH)
    {
      header->status = RPC_STATUS_VERSION;
      header->version_high = message.acpted_rply.ar_vers.high;
    }
  else
    header->status = RPC_STATUS_REFUSED;
  return header->status;
}
