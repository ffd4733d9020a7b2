/* answer_check - tells the answer to a statement from another answer that the
   instance sends a second time.

   Answers carry no id of their statement; on a connection they are matched to
   the statements by their order.  An instance that sends an answer twice, the
   second time while the next statement is in flight, breaks that order.  What
   an answer contains shows whether it fits its statement:

   - A read, write or COMMIT that ran has a signature, which no other answer
     has.  All other successes are unsigned.
   - The state of the transaction and the presence of rows follow from the kind
     of the statement, and the log of a primary doesn't go back.
   - An error that is equal to an earlier one of the connection, the position
     of the log included, may be either.  So may any error of an instance that
     has sent an answer twice.  If it comes again, the own answer is still due,
     and comes before the answers to later statements.  More unsigned successes
     than the connection has had, in the same state and at the same position,
     can't all have come twice, so as many show that none is due.

   A signature is remembered for ANSWER_CHECK_KEEP_MS at least, unless there
   are more than ANSWER_CHECK_SIGNATURES later ones.  */

#ifndef SAVORYWAY_PROXY_ANSWER_CHECK_H
#define SAVORYWAY_PROXY_ANSWER_CHECK_H

#include "kernel/clock.h"
#include "proxy/statement.h"

/* How late the second of two equal answers may be.  */
#define ANSWER_CHECK_KEEP_MS 10000

/* Maximum number of signatures that a connection remembers.  */
#define ANSWER_CHECK_SIGNATURES 4096

/* Number of errors that a connection remembers.  */
#define ANSWER_CHECK_ERRORS 8

enum answer_verdict
{
  ANSWER_OWN,      /* belongs to the statement */
  ANSWER_FOREIGN,  /* belongs to another one; that of the statement follows */
  ANSWER_DOUBTFUL, /* an error that may belong to it or not */
  ANSWER_UNFIT     /* fits no statement: the order is lost */
};

/* The oldest statement that is not answered.  */
struct answer_awaited
{
  enum stmt_kind kind;
  enum tx_state state;      /* after the answers before */
  struct position position; /* of the log, known when it was sent */
};

/* An error that was received; AT_MS is 0 if there is none.  */
struct answer_error
{
  uint64_t hash;
  struct position position;
  clk_ms at_ms;
};

struct answer_signature
{
  uint64_t hash;
  clk_ms at_ms;
};

struct answer_check
{
  struct answer_signature *signatures; /* a ring */
  size_t capacity;
  size_t next;                                     /* the oldest one */
  struct answer_error errors[ANSWER_CHECK_ERRORS]; /* a ring */
  size_t next_error;
  struct answer_error forgotten;  /* the latest of those overwritten */
  struct position position;       /* of unsigned successes, the latest */
  uint32_t counts[TX_FAILED + 1]; /* of them there, by state */
  bool distrusted;                /* an answer was not the statement's own */
};

/* Releases what CHECK holds.  A zeroed struct is a valid, empty one.  */
void answer_check_clear (struct answer_check *check);

/* Returns whether ANSWER belongs to AWAITED.  If it may, it is remembered.  */
enum answer_verdict answer_check_match (struct answer_check *check,
                                        const struct answer_awaited *awaited,
                                        const struct answer *answer,
                                        clk_ms now_ms);

/* Returns how many unsigned successes that leave the transaction in STATE, at
   the position of the last one or later, show that no earlier answer is due
   any more.  */
uint32_t answer_check_fences (const struct answer_check *check,
                              enum tx_state state);

/* Returns whether ANSWER, an unsigned success, is at an earlier position than
   the last one.  */
bool answer_check_is_older (const struct answer_check *check,
                            const struct answer *answer);

/* Returns whether ANSWER, which came while no statement was in flight and the
   transaction was in STATE, can only be one that came before.  */
bool answer_check_can_ignore (struct answer_check *check, enum tx_state state,
                              const struct answer *answer);

#endif
