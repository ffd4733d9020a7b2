/* statement - statements of callers and answers of instances, typed.

   The text form belongs to the wire's codec; here a statement is its kind and
   the parts by which decisions are made.  */

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

/* Strings end with NUL and are valid during the call they are passed to.  */
struct statement
{
  enum stmt_kind kind;
  const char *id;   /* the caller's; NULL for a statement of the proxy */
  const char *text; /* as received; sent unchanged if not NULL */
  const char *name; /* of a value or prepared statement */
  const char *rest; /* value, shape, or arguments of an execution */
  uint64_t term;    /* STMT_STEPDOWN, STMT_PAUSE */
};

/* How a statement ended.  The names are those of the field; the codec maps
   them to the wire's words.  */
enum code
{
  CODE_OK,
  CODE_BUSY,      /* no run: no slot */
  CODE_LAGGING,   /* no run: the log lacks the position asked for */
  CODE_READONLY,  /* no run: not the primary */
  CODE_MISROUTED, /* no run: another instance or service */
  CODE_TOOMANY,   /* no run: no connection left */
  CODE_ABORTED,   /* the transaction left nothing */
  CODE_NOSTMT,    /* no run: no such prepared statement */
  CODE_FAILED,    /* ran and failed */
  CODE_TIMEOUT,   /* may have run */
  CODE_INDOUBT,   /* may have run */
  CODE_NODB,      /* no such database */
  CODE_TOOLARGE,
  CODE_MALFORMED,
  CODE_NOAUTH,
  CODE_LOST /* connection gone; never sent to a caller */
};

const char *code_name (enum code code);

/* Whether an instance's answer CODE confirms_leader that the statement did not
 * run.  */
bool code_not_run (enum code code);

enum tx_state
{
  TX_IDLE,
  TX_OPEN,
  TX_FAILED
};

/* What an instance or the proxy answers.  */
struct answer
{
  enum code code;
  const char *text; /* of an error */
  /* Rows and signature as received, ended by a NUL; NULL: empty success.  */
  const char *body;
  size_t body_bytes;
  enum tx_state state;
  bool has_position;
  struct position position;
};

/* What an instance says of itself on STMT_STATUS.  */
struct instance_status
{
  bool is_primary;
  uint64_t term;
  struct position received;
  uint64_t held_term;
};

/* Reads the row of STMT_STATUS from the BODY of an answer.  */
typedef bool (*status_parse) (struct instance_status *status,
                              const struct answer *answer);

int position_compare (struct position a, struct position b);

#endif
