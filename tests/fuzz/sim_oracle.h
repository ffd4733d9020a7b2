/* sim_oracle - checks what callers see against a model of the database.

   The model records each write that a caller submitted, its outcome, and what
   each session has read.  It is compared with the logs of the simulated
   instances.  A promise is a guarantee of the system to its callers; each has
   a check, and a failed check prints a line and counts as a violation.  */

#ifndef SAVORYWAY_TESTS_SIM_ORACLE_H
#define SAVORYWAY_TESTS_SIM_ORACLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/entry.h"
#include "kernel/clock.h"

#define ORACLE_WRITES 512
#define ORACLE_SESSIONS 4
#define ORACLE_KEY_BYTES 24

enum promise
{
  PROMISE_OWN_WORK,     /* read-your-writes and monotonic reads */
  PROMISE_NO_STALE_ACK, /* a replaced primary acknowledges no writes */
  PROMISE_NO_MIXING,    /* no transaction affects another on a connection */
  PROMISE_WHOLE_ANSWER, /* a request gets its own, complete answer */
  PROMISE_NOT_RUN,      /* a request reported as not run has no effect */
  PROMISE_AT_MOST_ONCE, /* non-repeatable requests run at most once */
  PROMISE_LEAVING,      /* a leaving database gets no new work */
  PROMISE_DRAIN,        /* graceful shutdown interrupts no request */
  PROMISE_CONFIG,       /* accepted configuration takes effect and stays */
  PROMISE_NO_LEAK,      /* no request or connection is leaked */
  PROMISE_COUNT
};

/* Returns the name of PROMISE as printed in violations.  */
const char *promise_name (enum promise promise);

enum write_state
{
  WRITE_PENDING,
  WRITE_DONE,
  WRITE_NOT_RUN,
  WRITE_UNKNOWN,
  WRITE_DISCONNECTED /* the caller's connection broke first */
};

/* A write: puts VALUE at KEY, and in a transaction also at KEY2.  */
struct oracle_write
{
  char key[ORACLE_KEY_BYTES];
  char key2[ORACLE_KEY_BYTES]; /* empty unless in a transaction */
  char value[ORACLE_KEY_BYTES];
  char request_id[ORACLE_KEY_BYTES];
  size_t session;
  bool may_be_lost;  /* the session was reset, see oracle_session_reset */
  bool primary_rule; /* acknowledged by the primary alone; may be lost */
  enum write_state state;
  bool seen; /* its own session has read it */
  bool told_once;
  clk_ms done_ms; /* time of the acknowledgement; 0 before */
};

struct sim_group;
struct sim_instance;

struct oracle
{
  size_t write_count;
  struct oracle_write writes[ORACLE_WRITES];
  size_t violations;
  uint64_t seed;
  size_t step;
  /* How often each promise was checked.  */
  uint64_t checked[PROMISE_COUNT];
};

/* Prints and counts a violation of PROMISE.  */
void oracle_violation (struct oracle *oracle, enum promise promise,
                       const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Adds a new write of SESSION to the model.  Returns NULL if the model is
   full.  */
struct oracle_write *oracle_write_new (struct oracle *oracle, size_t session,
                                       bool transaction);

/* Checks the answer to WRITE, or to a retry of it.  INSTANCES are the COUNT
   instances of the group.  PRIMARY is the name of the primary in the
   platform's term record, or NULL if there is no active one.  */
void oracle_write_answered (struct oracle *oracle, struct oracle_write *write,
                            const struct entry_answer *answer, clk_ms now_ms,
                            struct sim_instance *const *instances,
                            size_t count, const char *primary);

/* Checks the answer to SESSION's read of the key of WRITE.  Unless SINCE_MS is
   0, a write acknowledged up to that time must be visible to any session,
   except one under the primary rule, which may be lost.  */
void oracle_read_answered (struct oracle *oracle, struct oracle_write *write,
                           size_t session, const struct entry_answer *answer,
                           clk_ms since_ms);

/* Resets SESSION after its token was refused as ahead of the database: its
   writes that only the primary acknowledged may be lost, and what it has read
   may be gone.  */
void oracle_session_reset (struct oracle *oracle, size_t session);

/* Checks all writes against the log of PRIMARY at the end of a run.  */
void oracle_finish (struct oracle *oracle, struct sim_instance *primary);

#endif
