#include "port/rpc_record.h"

#include <string.h>

#include <arpa/inet.h>

#define LAST_FRAGMENT 0x80000000U

void
rpc_record_init (struct rpc_record *record, size_t limit_bytes)
{
  memset (record, 0, sizeof *record);
  record->bytes = evbuffer_new ();
  record->limit_bytes = limit_bytes;
}

void
rpc_record_clear (struct rpc_record *record)
{
  if (record->bytes != NULL)
    evbuffer_free (record->bytes);
  record->bytes = NULL;
}

/* Reads the mark of the next fragment.  Returns RPC_RECORD_WHOLE if it is
   valid.  */
static enum rpc_record_state
read_mark (struct rpc_record *record, struct evbuffer *input)
{
  uint32_t mark;
  if (evbuffer_get_length (input) < sizeof mark)
    return RPC_RECORD_PARTIAL;
  evbuffer_remove (input, &mark, sizeof mark);
  mark = ntohl (mark);
  record->last = (mark & LAST_FRAGMENT) != 0;
  record->left_bytes = mark & ~LAST_FRAGMENT;
  size_t received_bytes = evbuffer_get_length (record->bytes);
  if (record->left_bytes == 0)
    return RPC_RECORD_MALFORMED;
  if (record->left_bytes > record->limit_bytes - received_bytes)
    return RPC_RECORD_MALFORMED;
  return RPC_RECORD_WHOLE;
}

enum rpc_record_state
rpc_record_read (struct rpc_record *record, struct evbuffer *input)
{
  while (true)
    {
      if (record->left_bytes == 0)
        {
          enum rpc_record_state state = read_mark (record, input);
          if (state != RPC_RECORD_WHOLE)
            return state;
        }
      int moved
          = evbuffer_remove_buffer (input, record->bytes, record->left_bytes);
      if (moved > 0)
        record->left_bytes -= (size_t)moved;
      if (record->left_bytes > 0)
        return RPC_RECORD_PARTIAL;
      if (record->last)
        return RPC_RECORD_WHOLE;
    }
}

uint8_t *
rpc_record_data (struct rpc_record *record, size_t *size_bytes)
{
  *size_bytes = evbuffer_get_length (record->bytes);
  return evbuffer_pullup (record->bytes, -1);
}

void
rpc_record_next (struct rpc_record *record)
{
  evbuffer_drain (record->bytes, evbuffer_get_length (record->bytes));
  record->left_bytes = 0;
  record->last = false;
}

bool
rpc_record_peek (const struct rpc_record *record, void *out, size_t bytes)
{
  return evbuffer_copyout (record->bytes, out, bytes) == (ssize_t)bytes;
}

bool
rpc_record_is_partial (const struct rpc_record *record)
{
  return record->left_bytes > 0 || evbuffer_get_length (record->bytes) > 0;
}

void
rpc_record_mark (struct evbuffer *output, size_t size_bytes)
{
  uint32_t mark = htonl (LAST_FRAGMENT | (uint32_t)size_bytes);
  evbuffer_add (output, &mark, sizeof mark);
}
