#include "core/peers_copy.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>

#include "kernel/mem.h"

static char empty[] = "";

static void
replace_null (char **text)
{
  if (*text == NULL)
    *text = empty;
}

void
peers_body_replace_nulls (peer_body *body)
{
  peer_execute *execute = &body->peer_body_u.execute;
  peer_executed *executed = &body->peer_body_u.executed;
  peer_suspicion *suspicion = &body->peer_body_u.suspicion;
  switch (body->kind)
    {
    case PEER_KIND_EXECUTE:
      replace_null (&execute->database);
      replace_null (&execute->instance);
      replace_null (&execute->kind);
      replace_null (&execute->request_id);
      replace_null (&execute->statement);
      break;
    case PEER_KIND_EXECUTED:
      replace_null (&executed->sqlstate);
      replace_null (&executed->message);
      break;
    case PEER_KIND_SUSPICION:
      replace_null (&suspicion->database);
      replace_null (&suspicion->primary);
      break;
    default:
      break;
    }
}

peer_message *
peers_message_copy (const peer_message *message)
{
  peer_message *source = (peer_message *)message;
  size_t size = xdr_sizeof ((xdrproc_t)xdr_peer_message, source);
  if (size == 0 || size > UINT32_MAX)
    return NULL;
  char *buffer = mem_zalloc (size);
  peer_message *copy = mem_zalloc (sizeof *copy);
  XDR xdr;
  xdrmem_create (&xdr, buffer, (uint32_t)size, XDR_ENCODE);
  bool ok = xdr_peer_message (&xdr, source);
  xdr_destroy (&xdr);
  if (ok)
    {
      xdrmem_create (&xdr, buffer, (uint32_t)size, XDR_DECODE);
      ok = xdr_peer_message (&xdr, copy);
      xdr_destroy (&xdr);
    }
  free (buffer);
  if (ok)
    return copy;
  peers_message_free (copy);
  return NULL;
}

void
peers_message_free (peer_message *message)
{
  if (message == NULL)
    return;
  xdr_free ((xdrproc_t)xdr_peer_message, (char *)message);
  free (message);
}
