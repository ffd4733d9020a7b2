/* rpc_record - record marking of ONC RPC over TCP (RFC 5531, section 11).

   A record is a sequence of fragments.  Each starts with a mark of four bytes:
   the top bit is set in the last fragment, the other bits are the length.  */

#ifndef SAVORYWAY_PORT_RPC_RECORD_H
#define SAVORYWAY_PORT_RPC_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/buffer.h>

/* Progress of receiving a record.  */
enum rpc_record_state
{
  RPC_RECORD_PARTIAL, /* more bytes are needed */
  RPC_RECORD_WHOLE,
  RPC_RECORD_MALFORMED /* empty fragment, or record over the limit */
};

/* A record being received.  */
struct rpc_record
{
  struct evbuffer *bytes;
  size_t limit_bytes; /* of a whole record */
  size_t left_bytes;  /* still to be received of the current fragment */
  bool last;          /* the current fragment is the last one */
};

void rpc_record_init (struct rpc_record *record, size_t limit_bytes);
void rpc_record_clear (struct rpc_record *record);

/* Moves bytes from INPUT to RECORD, at most up to the end of the record.  */
enum rpc_record_state rpc_record_read (struct rpc_record *record,
                                       struct evbuffer *input);

/* Returns the bytes of a whole record as one block, which is valid until
   rpc_record_next, and sets SIZE_BYTES to its length.  */
uint8_t *rpc_record_data (struct rpc_record *record, size_t *size_bytes);

/* Empties RECORD for the next one.  */
void rpc_record_next (struct rpc_record *record);

/* Copies the first BYTES bytes of a record that is being received to OUT.
   Returns false if it has fewer so far.  */
bool rpc_record_peek (const struct rpc_record *record, void *out,
                      size_t bytes);

/* Returns whether part of a record has been received.  */
bool rpc_record_is_partial (const struct rpc_record *record);

/* Appends the mark of a record that is one fragment of SIZE_BYTES to
   OUTPUT.  */
void rpc_record_mark (struct evbuffer *output, size_t size_bytes);

#endif
