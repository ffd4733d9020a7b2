#include "sim_oracle.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "sim_instance.h"

static const char *const promise_names[PROMISE_COUNT] = {
  [PROMISE_OWN_WORK] = "own_work",   [PROMISE_NO_STALE_ACK] = "no_stale_ack",
  [PROMISE_NO_MIXING] = "no_mixing", [PROMISE_WHOLE_ANSWER] = "whole_answer",
  [PROMISE_NOT_RUN] = "not_run",     [PROMISE_AT_MOST_ONCE] = "at_most_once",
  [PROMISE_LEAVING] = "leaving",     [PROMISE_DRAIN] = "drain",
  [PROMISE_CONFIG] = "config",       [PROMISE_NO_LEAK] = "no_leak",
};

const char *
promise_name (enum promise promise)
{
  return promise_names[promise];
}

void
oracle_violation (struct oracle *oracle, enum promise promise,
                  const char *format, ...)
{
  va_list args;
  oracle->violations++;
  fprintf (stderr,
           "violation promise=%s seed=%llu step=%zu: ", promise_name (promise),
           (unsigned long long)oracle->seed, oracle->step);
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
}

struct oracle_write *
oracle_write_new (struct oracle *oracle, size_t session, bool transaction)
{
  if (oracle->write_count == ORACLE_WRITES)
    return NULL;
  size_t number = oracle->write_count++;
  struct oracle_write *write = &oracle->writes[number];
  memset (write, 0, sizeof *write);
  snprintf (write->key, sizeof write->key, "w%zu", number);
  if (transaction)
    snprintf (write->key2, sizeof write->key2, "x%zu", number);
  snprintf (write->value, sizeof write->value, "v%zu", number);
  snprintf (write->request_id, sizeof write->request_id, "request-%zu",
            number);
  write->session = session;
  return write;
}

static bool
has_majority (const struct oracle_write *write,
              struct sim_instance *const *instances, size_t count)
{
  size_t copies = 0;
  for (size_t i = 0; i < count; i++)
    copies += sim_instance_count_puts (instances[i], write->key) > 0;
  return 2 * copies > count;
}

/* What is acknowledged must be on a majority; under the primary rule it may
   instead come from the instance that the platform names as primary.  */
static void
check_acknowledged (struct oracle *oracle, const struct oracle_write *write,
                    const struct entry_answer *answer, const char *primary,
                    struct sim_instance *const *instances, size_t count)
{
  const char *by = answer->served_by ? answer->served_by : "";
  bool led = primary == NULL || strcmp (by, primary) == 0;
  oracle->checked[PROMISE_NO_STALE_ACK]++;
  if (has_majority (write, instances, count) || (write->primary_rule && led))
    return;
  oracle_violation (oracle, PROMISE_NO_STALE_ACK,
                    "%s acknowledged by %s while %s leads, by no majority",
                    write->request_id, by, primary ? primary : "none");
}

void
oracle_write_answered (struct oracle *oracle, struct oracle_write *write,
                       const struct entry_answer *answer, clk_ms now_ms,
                       struct sim_instance *const *instances, size_t count,
                       const char *primary)
{
  enum write_state old = write->state;
  if (strcmp (answer->request_id ? answer->request_id : "", write->request_id)
      != 0)
    oracle_violation (oracle, PROMISE_WHOLE_ANSWER, "%s got the answer to %s",
                      write->request_id,
                      answer->request_id ? answer->request_id : "none");
  /* A write under the primary rule may be lost by a failover, and is then
     rightly told as not run.  */
  bool kept = old == WRITE_DONE && !write->primary_rule;
  if (kept && answer->outcome == OUTCOME_NOT_RUN)
    oracle_violation (oracle, PROMISE_NOT_RUN,
                      "%s was done, then told as not run", write->request_id);
  switch (answer->outcome)
    {
    case OUTCOME_DONE:
      check_acknowledged (oracle, write, answer, primary, instances, count);
      if (write->done_ms == 0)
        write->done_ms = now_ms;
      write->state = WRITE_DONE;
      break;
    case OUTCOME_NOT_RUN:
      oracle->checked[PROMISE_NOT_RUN]++;
      if (!kept)
        write->state = WRITE_NOT_RUN;
      break;
    case OUTCOME_UNKNOWN:
      if (old == WRITE_PENDING)
        write->state = WRITE_UNKNOWN;
      break;
    }
}

static bool
has_payload (const struct entry_answer *answer, const char *expect)
{
  return answer->payload != NULL && answer->payload_bytes == strlen (expect)
         && memcmp (answer->payload, expect, answer->payload_bytes) == 0;
}

void
oracle_read_answered (struct oracle *oracle, struct oracle_write *write,
                      size_t session, const struct entry_answer *answer,
                      clk_ms since_ms)
{
  char expect[ORACLE_KEY_BYTES + 16];
  if (answer->outcome != OUTCOME_DONE)
    return;
  snprintf (expect, sizeof expect, "{\"value\": \"%s\"}", write->value);
  bool present = has_payload (answer, expect);
  bool absent = has_payload (answer, "{\"value\": null}");
  oracle->checked[PROMISE_WHOLE_ANSWER]++;
  if (!present && !absent)
    oracle_violation (oracle, PROMISE_WHOLE_ANSWER, "read of %s gave %.*s",
                      write->key, (int)answer->payload_bytes,
                      answer->payload ? answer->payload : "");
  bool own = write->session == session;
  bool known = write->state == WRITE_DONE || write->seen;
  bool aged = since_ms > 0 && !write->primary_rule && write->done_ms > 0
              && write->done_ms <= since_ms;
  bool must_show = (own && known && !write->may_be_lost) || aged;
  if (must_show)
    oracle->checked[PROMISE_OWN_WORK]++;
  if (must_show && absent)
    oracle_violation (oracle, PROMISE_OWN_WORK,
                      "session %zu did not see %s (done at %lld, served by "
                      "%s)",
                      session, write->key, (long long)write->done_ms,
                      answer->served_by ? answer->served_by : "?");
  if (present && write->state == WRITE_NOT_RUN)
    oracle_violation (oracle, PROMISE_NOT_RUN, "%s was not run but shows",
                      write->key);
  if (own && present)
    write->seen = true;
}

void
oracle_session_reset (struct oracle *oracle, size_t session)
{
  for (size_t i = 0; i < oracle->write_count; i++)
    if (oracle->writes[i].session == session)
      {
        oracle->writes[i].seen = false;
        oracle->writes[i].may_be_lost = oracle->writes[i].primary_rule;
      }
}

static void
check_write (struct oracle *oracle, const struct oracle_write *write,
             struct sim_instance *primary)
{
  uint32_t puts = sim_instance_count_puts (primary, write->key);
  oracle->checked[PROMISE_AT_MOST_ONCE]++;
  if (puts > 1)
    oracle_violation (oracle, PROMISE_AT_MOST_ONCE, "%s ran %u times",
                      write->request_id, puts);
  if (write->state == WRITE_NOT_RUN && puts > 0)
    oracle_violation (oracle, PROMISE_NOT_RUN, "%s was not run but is there",
                      write->request_id);
  if (write->state == WRITE_DONE && puts == 0 && !write->primary_rule)
    oracle_violation (oracle, PROMISE_NO_STALE_ACK,
                      "%s was acknowledged and is lost", write->request_id);
  if (write->key2[0] == '\0')
    return;
  oracle->checked[PROMISE_NO_MIXING]++;
  if (sim_instance_count_puts (primary, write->key2) != puts)
    oracle_violation (oracle, PROMISE_NO_MIXING,
                      "%s took effect in part: %s but not %s",
                      write->request_id, write->key, write->key2);
}

void
oracle_finish (struct oracle *oracle, struct sim_instance *primary)
{
  for (size_t i = 0; i < oracle->write_count; i++)
    check_write (oracle, &oracle->writes[i], primary);
}
