/* types - outcomes, freshness and other small types shared by the core.  */

#ifndef SAVORYWAY_CORE_TYPES_H
#define SAVORYWAY_CORE_TYPES_H

#include <stdbool.h>
#include <stdint.h>

/* Buffer size of the name of a host, failure domain, database, instance or
   kind, with its NUL.  */
#define NAME_BYTES 64

/* Buffer size of a network address, with its NUL.  */
#define ADDRESS_BYTES 64

/* Buffer size of the global name of an instance,
   "TEAM/SERVICE/DATABASE/INSTANCE".  */
#define PATH_BYTES (4 * NAME_BYTES)

/* Maximum length of a caller's request id, without the NUL.  */
#define REQUEST_ID_BYTES 64

/* Result of a request, as reported to its caller.  */
enum outcome
{
  OUTCOME_DONE,    /* ran once; the result is complete */
  OUTCOME_NOT_RUN, /* certainly did not run; safe to repeat */
  OUTCOME_UNKNOWN  /* may have run */
};

/* Why a request was not run, or why its outcome is unknown.  */
enum reason
{
  REASON_NONE,
  REASON_DEADLINE,        /* could not finish before the deadline */
  REASON_OVERLOAD,        /* a queue is full or a limit is reached */
  REASON_NO_PRIMARY,      /* no usable primary within the deadline */
  REASON_NO_REPLICA,      /* no instance meets the required freshness */
  REASON_NO_MAJORITY,     /* no replica of the primary confirms writes */
  REASON_STALE_TERM,      /* the instance is not the primary of this term */
  REASON_DRAINING,        /* host, database or instance is leaving */
  REASON_UNKNOWN_TARGET,  /* no such service, database or kind */
  REASON_FORBIDDEN,       /* credentials do not match */
  REASON_BAD_TOKEN,       /* session token malformed or forged */
  REASON_TOKEN_AHEAD,     /* token covers writes that a failover lost */
  REASON_SQL_ERROR,       /* the database rejected the statement */
  REASON_CONNECTION_LOST, /* connection lost while the statement ran */
  REASON_RESULT_TOO_LARGE,
  REASON_BAD_TRANSACTION, /* no such open transaction */
  REASON_UNREACHABLE,     /* no route to a gateway */
  REASON_COUNT
};

/* Required freshness of a read.  */
enum freshness
{
  FRESHNESS_STRONG,  /* read from the primary of the current term */
  FRESHNESS_SESSION, /* includes all that the session has seen */
  FRESHNESS_MAX_AGE  /* as for a session, and at most max_age_ms stale */
};

/* Condition under which a write is acknowledged.  */
enum ack_rule
{
  ACK_MAJORITY, /* one replica of the same term has received it */
  ACK_PRIMARY   /* the primary's view of its term is recent */
};

/* A position in the write-ahead log of a database; ordered by term, then
   lsn.  */
struct position
{
  uint64_t term;
  uint64_t lsn;
};

const char *outcome_name (enum outcome outcome);
const char *reason_name (enum reason reason);
const char *freshness_name (enum freshness freshness);
const char *ack_rule_name (enum ack_rule rule);

#endif
