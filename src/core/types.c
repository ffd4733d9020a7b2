#include "core/types.h"

static const char *const reason_names[REASON_COUNT] = {
  [REASON_NONE] = "none",
  [REASON_DEADLINE] = "deadline",
  [REASON_OVERLOAD] = "overload",
  [REASON_NO_PRIMARY] = "no_primary",
  [REASON_NO_REPLICA] = "no_replica",
  [REASON_NO_MAJORITY] = "no_majority",
  [REASON_STALE_TERM] = "stale_term",
  [REASON_DRAINING] = "draining",
  [REASON_UNKNOWN_TARGET] = "unknown_target",
  [REASON_FORBIDDEN] = "forbidden",
  [REASON_BAD_TOKEN] = "bad_token",
  [REASON_TOKEN_AHEAD] = "token_ahead",
  [REASON_SQL_ERROR] = "sql_error",
  [REASON_CONNECTION_LOST] = "connection_lost",
  [REASON_RESULT_TOO_LARGE] = "result_too_large",
  [REASON_BAD_TRANSACTION] = "bad_transaction",
  [REASON_UNREACHABLE] = "unreachable",
};

const char *
outcome_name (enum outcome outcome)
{
  switch (outcome)
    {
    case OUTCOME_DONE:
      return "done";
    case OUTCOME_NOT_RUN:
      return "not_run";
    case OUTCOME_UNKNOWN:
      return "unknown";
    }
  return "invalid";
}

const char *
reason_name (enum reason reason)
{
  return (unsigned)reason < REASON_COUNT ? reason_names[reason] : "invalid";
}

const char *
freshness_name (enum freshness freshness)
{
  switch (freshness)
    {
    case FRESHNESS_STRONG:
      return "strong";
    case FRESHNESS_SESSION:
      return "session";
    case FRESHNESS_MAX_AGE:
      return "max_age";
    }
  return "invalid";
}

const char *
ack_rule_name (enum ack_rule rule)
{
  return rule == ACK_MAJORITY ? "majority" : "primary";
}
