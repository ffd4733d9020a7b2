/* Simulated callers of a run: writes, transactions, reads and retries, whose
   answers are checked by the oracle.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "sim_run.h"

/* A request in flight at a host.  */
struct run_call
{
  struct run_call *prev;
  struct run_call *next;
  struct run *run;
  size_t host;
  size_t session;
  struct oracle_write *write;
  enum entry_action action;
  enum freshness freshness; /* set for a read */
  bool read;
  clk_ms sent_ms;
  int puts; /* completed in the transaction */
  bool retry;
  bool before_drain; /* submitted before the host started to drain */
  char transaction[512];
};

static void
unlink_call (struct run_call *call)
{
  struct run *run = call->run;
  if (call->prev != NULL)
    call->prev->next = call->next;
  else
    run->calls = call->next;
  if (call->next != NULL)
    call->next->prev = call->prev;
  run->call_count--;
}

static struct run_call *
call_new (struct run *run, size_t host, size_t session,
          struct oracle_write *write)
{
  struct run_call *call = mem_zalloc (sizeof *call);
  call->run = run;
  call->host = host;
  call->session = session;
  call->write = write;
  call->sent_ms = run->sim.clk.now_ms;
  call->before_drain = !run->hosts[host].draining;
  call->next = run->calls;
  if (call->next != NULL)
    call->next->prev = call;
  run->calls = call;
  run->call_count++;
  run->sessions[session].busy = true;
  return call;
}

static bool
can_submit (struct run *run, size_t host, size_t session)
{
  return run->sim.hosts[host].alive && !run->sessions[session].busy;
}

static void
update_token (struct run_call *call, const struct entry_answer *answer)
{
  struct run_session *session = &call->run->sessions[call->session];
  if (answer->reason == REASON_TOKEN_AHEAD)
    {
      session->token[0] = '\0';
      oracle_session_reset (&call->run->oracle, call->session);
    }
  else if (answer->token != NULL)
    snprintf (session->token, sizeof session->token, "%s", answer->token);
  if (answer->reason == REASON_BAD_TOKEN)
    oracle_violation (&call->run->oracle, PROMISE_OWN_WORK,
                      "a valid session token was refused");
}

static void
check_drain (struct run_call *call, const struct entry_answer *answer)
{
  struct run *run = call->run;
  if (!call->before_drain || !run->hosts[call->host].draining)
    return;
  run->oracle.checked[PROMISE_DRAIN]++;
  if (answer->reason == REASON_DRAINING)
    oracle_violation (&run->oracle, PROMISE_DRAIN,
                      "a request accepted before the drain was refused");
}

static void submit (struct run_call *call, const char *statement,
                    const char *const *params, size_t count);

/* Submits the next step of a transaction: begin, two puts, commit.  Returns
   false if the transaction is over or CALL is no part of one.  */
static bool
continue_transaction (struct run_call *call, const struct entry_answer *answer)
{
  struct oracle_write *write = call->write;
  const char *first[] = { write->key, write->value };
  const char *second[] = { write->key2, write->value };
  if (answer->outcome != OUTCOME_DONE || call->action == ENTRY_COMMIT
      || call->action == ENTRY_STATEMENT)
    return false;
  if (call->action == ENTRY_BEGIN)
    {
      snprintf (call->transaction, sizeof call->transaction, "%s",
                answer->transaction ? answer->transaction : "");
      call->action = ENTRY_EXECUTE;
      submit (call, "put $1 $2", first, 2);
    }
  else if (call->puts++ == 0)
    {
      submit (call, "put $1 $2", second, 2);
    }
  else
    {
      call->action = ENTRY_COMMIT;
      submit (call, NULL, NULL, 0);
    }
  return true;
}

static void
check_write_answer (struct run_call *call, const struct entry_answer *answer)
{
  struct run *run = call->run;
  struct entry_answer checked = *answer;
  bool open = call->action == ENTRY_BEGIN || call->action == ENTRY_EXECUTE;
  /* A transaction that failed before its commit has no effect.  */
  if (open)
    {
      checked.outcome = OUTCOME_NOT_RUN;
      checked.request_id = call->write->request_id;
    }
  oracle_write_answered (&run->oracle, call->write, &checked,
                         run->sim.clk.now_ms, run->instances, SIM_INSTANCES,
                         run_primary (run));
}

static void
on_answer (void *arg, const struct entry_answer *answer)
{
  struct run_call *call = arg;
  struct run *run = call->run;
  run_note (run, "answer host %zu session %zu %s: %s %s %s", call->host,
            call->session, call->write->request_id,
            outcome_name (answer->outcome), reason_name (answer->reason),
            answer->message ? answer->message : "");
  check_drain (call, answer);
  update_token (call, answer);
  if (!call->read && continue_transaction (call, answer))
    return;
  run->answered[answer->outcome]++;
  if (!call->read)
    check_write_answer (call, answer);
  else
    oracle_read_answered (&run->oracle, call->write, call->session, answer,
                          call->freshness == FRESHNESS_MAX_AGE
                              ? call->sent_ms - MAX_AGE_MS
                          : call->freshness == FRESHNESS_STRONG ? call->sent_ms
                                                                : 0);
  run->sessions[call->session].busy = false;
  unlink_call (call);
  free (call);
}

static const char *
request_kind (const struct run_call *call)
{
  if (!call->read)
    return call->write->primary_rule ? "note" : "release";
  switch (call->freshness)
    {
    case FRESHNESS_STRONG:
      return "audit";
    case FRESHNESS_SESSION:
      return "browse";
    case FRESHNESS_MAX_AGE:
      return "count";
    }
  return NULL;
}

static void
submit (struct run_call *call, const char *statement,
        const char *const *params, size_t count)
{
  struct run *run = call->run;
  struct entry_request request
      = { .action = call->action,
          .service = "dago/ledger",
          .caller = "captain",
          .secret = "secret",
          .kind = request_kind (call),
          .statement = statement,
          .param_count = count,
          .params = params,
          .request_id = call->read ? NULL : call->write->request_id,
          .token = run->sessions[call->session].token[0]
                       ? run->sessions[call->session].token
                       : NULL,
          .transaction = call->transaction[0] ? call->transaction : NULL,
          .retry = call->retry };
  entry_submit (node_entry (run->hosts[call->host].node), &request, on_answer,
                call);
}

static void
submit_write (struct run *run, size_t host, size_t session,
              struct oracle_write *write, bool retry)
{
  const char *params[] = { write->key, write->value };
  struct run_call *call = call_new (run, host, session, write);
  call->action = ENTRY_STATEMENT;
  call->retry = retry;
  submit (call, "put $1 $2", params, 2);
}

void
run_write (struct run *run, size_t host, size_t session)
{
  if (!can_submit (run, host, session))
    return;
  struct oracle_write *write = oracle_write_new (&run->oracle, session, false);
  if (write == NULL)
    return;
  write->primary_rule = run_byte (run) % 5 == 0;
  run_note (run, "write host %zu session %zu %s", host, session,
            write->request_id);
  submit_write (run, host, session, write, false);
}

void
run_transaction (struct run *run, size_t host, size_t session)
{
  if (!can_submit (run, host, session))
    return;
  struct oracle_write *write = oracle_write_new (&run->oracle, session, true);
  if (write == NULL)
    return;
  run_note (run, "transaction host %zu session %zu %s", host, session,
            write->request_id);
  struct run_call *call = call_new (run, host, session, write);
  call->action = ENTRY_BEGIN;
  submit (call, NULL, NULL, 0);
}

/* Retries the session's latest write outside a transaction, with the same
   request id.  */
void
run_retry (struct run *run, size_t host, size_t session)
{
  struct oracle *oracle = &run->oracle;
  if (!can_submit (run, host, session))
    return;
  for (size_t i = oracle->write_count; i-- > 0;)
    {
      struct oracle_write *write = &oracle->writes[i];
      if (write->session != session || write->key2[0] != '\0')
        continue;
      run_note (run, "retry host %zu session %zu %s", host, session,
                write->request_id);
      if (write->state == WRITE_NOT_RUN)
        write->state = WRITE_PENDING;
      submit_write (run, host, session, write, true);
      return;
    }
}

/* Reads the key of the write that was submitted OFFSET writes before the
   latest one, in any session.  */
static void
submit_read (struct run *run, size_t host, size_t session,
             enum freshness freshness, size_t offset)
{
  struct oracle *oracle = &run->oracle;
  if (!can_submit (run, host, session) || oracle->write_count == 0)
    return;
  offset %= oracle->write_count;
  struct oracle_write *write
      = &oracle->writes[oracle->write_count - 1 - offset];
  const char *params[] = { write->key };
  struct run_call *call = call_new (run, host, session, write);
  run_note (run, "read %s host %zu session %zu %s", freshness_name (freshness),
            host, session, write->key);
  call->action = ENTRY_STATEMENT;
  call->read = true;
  call->freshness = freshness;
  submit (call, "get $1", params, 1);
}

void
run_read (struct run *run, size_t host, size_t session,
          enum freshness freshness)
{
  submit_read (run, host, session, freshness, run_byte (run));
}

void
run_read_latest (struct run *run, size_t host, size_t session,
                 enum freshness freshness)
{
  submit_read (run, host, session, freshness, 0);
}

void
run_calls_disconnect (struct run *run, size_t host)
{
  struct run_call *next;
  for (struct run_call *call = run->calls; call != NULL; call = next)
    {
      next = call->next;
      if (host != SIZE_MAX && call->host != host)
        continue;
      if (!call->read && call->write->state == WRITE_PENDING)
        call->write->state = WRITE_DISCONNECTED;
      run->sessions[call->session].busy = false;
      unlink_call (call);
      free (call);
    }
}

size_t
run_calls_count (const struct run *run, size_t host)
{
  size_t count = 0;
  for (const struct run_call *c = run->calls; c != NULL; c = c->next)
    count += c->host == host;
  return count;
}
