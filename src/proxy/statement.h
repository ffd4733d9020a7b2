/* statement - statements of callers, and answers of instances.

   Statements and answers are passed between modules in this typed form.  The
   wire codec parses and prints their text; a statement has only its kind and
   the parts that routing depends on.

   Each answer has a code.  code_not_run returns whether the statement can
   safely be sent again.  A position identifies a place in the log of a
   group, by term and LSN.  */

#ifndef SAVORYWAY_PROXY_STATEMENT_H
#define SAVORYWAY_PROXY_STATEMENT_H

#include <stddef.h>

#include "core/types.h"

enum stmt_kind
{
  STMT_UNKNOWN,
  STMT_BEGIN,
  STMT_BEGIN_READ,
  STMT_COMMIT,
  STMT_ROLLBACK,
  STMT_READ,
  STMT_WRITE,
  STMT_SET,
  STMT_PREPARE_READ,
  STMT_PREPARE_WRITE,
  STMT_EXECUTE,
  STMT_DEALLOCATE,
  STMT_RESET,
  STMT_STATUS,
  STMT_STEPDOWN,
  STMT_PAUSE,
  STMT_RESUME
};

const char *stmt_kind_name (enum stmt_kind kind);

/* A statement.  The strings are valid only during the call that they are
   passed to.  */
struct statement
{
  enum stmt_kind kind;
  const char *id;   /* set by the caller; NULL for a statement of the proxy */
  const char *text; /* as received; sent unchanged if not NULL */
  const char *name; /* of a value or a prepared statement */
  const char *rest; /* value, shape, or arguments of an execution */
  uint64_t term;    /* STMT_STEPDOWN, STMT_PAUSE */
};

/* Result of a statement.  The wire codec maps these values to the texts of
   the protocol.  */
enum code
{
  CODE_OK,
  CODE_BUSY,      /* not run: no free slot */
  CODE_LAGGING,   /* not run: required position not applied yet */
  CODE_READONLY,  /* not run: not the primary */
  CODE_MISROUTED, /* not run: a different instance or service */
  CODE_TOOMANY,   /* not run: connection limit of the instance */
  CODE_ABORTED,   /* nothing of the transaction was committed */
  CODE_NOSTMT,    /* not run: no such prepared statement */
  CODE_FAILED,    /* run, and failed */
  CODE_TIMEOUT,   /* may have run: no answer in time */
  CODE_INDOUBT,   /* may have run: outcome unknown */
  CODE_NODB,      /* no such database */
  CODE_TOOLARGE,
  CODE_MALFORMED,
  CODE_NOAUTH,
  CODE_LOST /* connection closed; never sent to a caller */
};

const char *code_name (enum code code);

/* Returns whether CODE, sent by an instance, guarantees that the statement did
   not run.  */
bool code_not_run (enum code code);

enum tx_state
{
  TX_IDLE,
  TX_OPEN,
  TX_FAILED
};

/* Answer of an instance or of the proxy.  */
struct answer
{
  enum code code;
  const char *text; /* message of an error; may be NULL */
  /* Rows and signature as received, with a final NUL that BODY_BYTES does not
     count.  NULL for a success without rows.  */
  const char *body;
  size_t body_bytes;
  bool has_rows;
  /* By the instance, of a statement that it ran; no two have the same.  NULL:
     unsigned.  */
  const char *signature;
  bool is_greeting; /* answers the opening of the connection */
  enum tx_state state;
  bool has_position;
  struct position position;
};

/* Status that an instance reports on STMT_STATUS.  */
struct instance_status
{
  bool is_primary;
  uint64_t term;
  struct position received;
  uint64_t held_term;
};

/* Parses the row of STMT_STATUS in the body of ANSWER.  Returns false if it is
   malformed.  */
typedef bool (*status_parse) (struct instance_status *status,
                              const struct answer *answer);

/* Returns whether STATEMENT, of another host, is one that a caller could have
   sent.  Without an id it is a SET or PREPARE of the session's state.  */
typedef bool (*statement_check) (const struct statement *statement);

/* Orders positions by term, then by LSN.  Returns -1, 0 or 1.  */
int position_compare (struct position a, struct position b);

#endif
