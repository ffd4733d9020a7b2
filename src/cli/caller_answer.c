#include "cli/caller_answer.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "kernel/mem.h"

#define MS_PER_S 1000

/* Status of an answer that says nothing about the statement itself, of a
   statement that was not run as well as of a look-up; 0 for all others.  */
static int
refusal_status (enum reason reason)
{
  switch (reason)
    {
    case REASON_BAD_TOKEN:
      return 400;
    case REASON_FORBIDDEN:
      return 403;
    case REASON_UNKNOWN_TARGET:
      return 404;
    default:
      return 0;
    }
}

int
caller_answer_status (const struct entry_answer *answer)
{
  if (answer->outcome == OUTCOME_DONE)
    return 200;
  int refusal = refusal_status (answer->reason);
  if (refusal != 0)
    return refusal;
  if (answer->outcome == OUTCOME_UNKNOWN)
    return 504;
  switch (answer->reason)
    {
    case REASON_BAD_TRANSACTION:
    case REASON_TOKEN_AHEAD:
    case REASON_CONNECTION_LOST: /* the request id can't run any more */
      return 409;
    case REASON_SQL_ERROR:
      return 422;
    default:
      return 503;
    }
}

int64_t
caller_answer_retry_after_s (const struct entry_answer *answer)
{
  if (answer->retry_after_ms > 0)
    return (answer->retry_after_ms + MS_PER_S - 1) / MS_PER_S;
  return caller_answer_status (answer) == 503 ? 1 : 0;
}

static void
add_text (json_t *object, const char *key, const char *text)
{
  if (text != NULL && *text != '\0')
    json_object_set_new (object, key, json_string (text));
}

/* The result is JSON text already; it is not parsed again.  HEAD loses its
   closing brace.  */
static char *
join_result (char *head, const struct entry_answer *answer)
{
  head[strlen (head) - 1] = '\0';
  return mem_printf ("%s,\"result\":%.*s}", head, (int)answer->payload_bytes,
                     answer->payload);
}

char *
caller_answer_print (const struct entry_answer *answer)
{
  json_t *object = json_object ();
  add_text (object, "outcome", outcome_name (answer->outcome));
  if (answer->reason != REASON_NONE)
    add_text (object, "reason", reason_name (answer->reason));
  add_text (object, "request_id", answer->request_id);
  add_text (object, "transaction", answer->transaction);
  add_text (object, "served_by", answer->served_by);
  add_text (object, "sqlstate", answer->sqlstate);
  add_text (object, "message", answer->message);
  if (answer->retry_after_ms > 0)
    json_object_set_new (object, "retry_after_ms",
                         json_integer (answer->retry_after_ms));
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  if (text == NULL)
    text = mem_strdup ("{}");
  if (answer->payload == NULL || answer->payload_bytes == 0)
    return text;
  char *joined = join_result (text, answer);
  free (text);
  return joined;
}
