#include "load_outcomes.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

#define HOSTS 7
#define DOMAINS 3
#define STEP_MS 5
#define WARM_UP_MS 1000
#define SETTLE_MS 60000
#define SESSIONS 24
#define CONNECTIONS 40

/* A failover follows a fault after DETECT_MIN_MS plus a random time of less
   than DETECT_JITTER_MS.  */
#define DETECT_MIN_MS 500
#define DETECT_JITTER_MS 2000

static const char kinds[]
    = "{\"release\": {\"write\": true, \"repeatable\": false, \"ack\": "
      "\"majority\", \"deadline_ms\": 2000},"
      "\"count\": {\"write\": false, \"repeatable\": true, \"freshness\": "
      "\"session\", \"deadline_ms\": 1000}}";

struct write
{
  char key[32];
  char id[REQUEST_ID_BYTES];
  struct rig_request request;
  struct rig_request check;
  struct write *next;
};

enum session_state
{
  SESSION_IDLE,
  SESSION_WRITING,
  SESSION_READING,
  SESSION_BEGIN,
  SESSION_EXECUTE,
  SESSION_COMMIT
};

struct session_run
{
  enum session_state state;
  struct write *write;
  struct rig_request request;
  char token[TOKEN_LIMIT_BYTES];
  char transaction[1024];
  char last_key[32]; /* of the last acknowledged write */
};

struct run
{
  struct rig *rig;
  struct rng rng;
  struct outcomes out;
  struct session_run sessions[SESSIONS];
  struct write *writes;
  uint32_t next_write;
  uint64_t term;
  size_t primary;
  clk_ms next_fault_ms;
  clk_ms fault_end_ms; /* end of the current fault; 0 if none */
  clk_ms promote_ms;   /* time of the next failover; 0 if none */
  size_t fault_target; /* index of an instance or host */
  int fault;
};

enum fault
{
  FAULT_FREEZE,
  FAULT_ISOLATE,
  FAULT_KILL,
  FAULT_FREEZE_AND_REPLACE,
  FAULT_LOSE_ANSWERS,
  FAULT_CUT_HOST,
  FAULT_CUT_DOMAINS,
  FAULT_COUNT
};

static struct sim_instance *
instance (struct run *run, size_t index)
{
  return rig_instance (run->rig, 0, index);
}

static void
end_fault (struct run *run)
{
  struct sim_instance *faulty
      = instance (run, run->fault_target % RIG_INSTANCES);
  switch (run->fault)
    {
    case FAULT_FREEZE:
    case FAULT_FREEZE_AND_REPLACE:
      sim_instance_freeze (faulty, false);
      break;
    case FAULT_ISOLATE:
      sim_instance_isolate (faulty, false);
      break;
    case FAULT_KILL:
      sim_instance_restart (faulty);
      break;
    case FAULT_CUT_HOST:
      rig_cut_host (run->rig, run->fault_target, false);
      break;
    case FAULT_CUT_DOMAINS:
      sim_world_cut (rig_world (run->rig), "z0", "z1", false);
      break;
    default:
      break;
    }
  run->fault_end_ms = 0;
}

static void
start_fault (struct run *run)
{
  struct rng *rng = &run->rng;
  clk_ms now_ms = rig_now (run->rig);
  struct sim_instance *primary = instance (run, run->primary);
  bool replace = false;
  run->fault = (int)rng_below (rng, FAULT_COUNT);
  run->fault_target = run->primary;
  run->fault_end_ms = now_ms + 200 + (clk_ms)rng_below (rng, 3000);
  switch (run->fault)
    {
    case FAULT_FREEZE:
      sim_instance_freeze (primary, true);
      break;
    case FAULT_FREEZE_AND_REPLACE:
      sim_instance_freeze (primary, true);
      replace = true;
      break;
    case FAULT_ISOLATE:
      sim_instance_isolate (primary, true);
      replace = true;
      break;
    case FAULT_KILL:
      sim_instance_kill (primary);
      replace = true;
      break;
    case FAULT_LOSE_ANSWERS:
      sim_instance_lose_answers (primary, 1 + (uint32_t)rng_below (rng, 5));
      break;
    case FAULT_CUT_HOST:
      run->fault_target = (size_t)rng_below (rng, HOSTS);
      rig_cut_host (run->rig, run->fault_target, true);
      break;
    case FAULT_CUT_DOMAINS:
      sim_world_cut (rig_world (run->rig), "z0", "z1", true);
      break;
    default:
      break;
    }
  run->out.faults++;
  if (!replace)
    return;
  run->promote_ms
      = now_ms + DETECT_MIN_MS + (clk_ms)rng_below (rng, DETECT_JITTER_MS);
  run->fault_end_ms += DETECT_MIN_MS + DETECT_JITTER_MS;
}

/* Promotes the replica with the longest log in place of the primary.  */
static void
fail_over (struct run *run)
{
  size_t best = run->primary;
  uint64_t best_lsn = 0;
  for (size_t i = 0; i < RIG_INSTANCES; i++)
    {
      uint64_t lsn = sim_instance_report (instance (run, i)).received_lsn;
      if (i == run->primary || (best != run->primary && lsn <= best_lsn))
        continue;
      best = i;
      best_lsn = lsn;
    }
  run->term++;
  rig_set_term (run->rig, 0, run->term, run->primary, TERM_SEALING, 0);
  rig_run (run->rig, 20);
  rig_promote (run->rig, 0, best, run->term);
  run->primary = best;
  run->promote_ms = 0;
  run->out.failovers++;
}

static void
follow_primary (struct run *run)
{
  for (size_t i = 0; i < RIG_INSTANCES; i++)
    if (i != run->primary)
      sim_instance_follow (instance (run, i), instance (run, run->primary),
                           run->term);
}

static void
step_faults (struct run *run)
{
  clk_ms now_ms = rig_now (run->rig);
  if (run->promote_ms != 0 && now_ms >= run->promote_ms)
    fail_over (run);
  if (run->fault_end_ms != 0 && now_ms >= run->fault_end_ms)
    {
      end_fault (run);
      follow_primary (run);
      run->next_fault_ms = now_ms + 500 + (clk_ms)rng_below (&run->rng, 3000);
    }
  if (run->fault_end_ms == 0 && now_ms >= run->next_fault_ms)
    start_fault (run);
}

static size_t
random_host (struct run *run)
{
  return (size_t)rng_below (&run->rng, HOSTS);
}

static struct write *
new_write (struct run *run)
{
  struct write *write = mem_zalloc (sizeof *write);
  snprintf (write->key, sizeof write->key, "w%u", run->next_write);
  snprintf (write->id, sizeof write->id, "id-%u", run->next_write);
  run->next_write++;
  write->next = run->writes;
  run->writes = write;
  run->out.writes++;
  return write;
}

static void
submit_action (struct run *run, struct session_run *s,
               struct rig_request *request, enum entry_action action,
               const char *statement, const char *id)
{
  rig_submit_action (run->rig, random_host (run), request, action, "release",
                     statement, s->token, id, s->transaction);
}

static void
start_request (struct run *run, struct session_run *s)
{
  char statement[64];
  uint64_t choice = rng_below (&run->rng, 10);
  if (rng_below (&run->rng, 4) != 0)
    return;
  if (choice < 5)
    {
      s->write = new_write (run);
      snprintf (statement, sizeof statement, "put %s 1", s->write->key);
      s->state = SESSION_WRITING;
      submit_action (run, s, &s->write->request, ENTRY_STATEMENT, statement,
                     s->write->id);
    }
  else if (choice < 7)
    {
      s->state = SESSION_BEGIN;
      s->transaction[0] = '\0';
      submit_action (run, s, &s->request, ENTRY_BEGIN, NULL, NULL);
    }
  else if (s->last_key[0] != '\0')
    {
      snprintf (statement, sizeof statement, "get %s", s->last_key);
      s->state = SESSION_READING;
      rig_submit (run->rig, random_host (run), &s->request, "count", statement,
                  s->token, NULL, 0);
    }
}

static void
update_token (struct session_run *s, const struct rig_request *request)
{
  if (request->token[0] != '\0')
    memcpy (s->token, request->token, sizeof s->token);
}

/* Resets the session if its token is ahead of the new primary, since the
   failover lost what the token stands for.  */
static void
finish_read (struct run *run, struct session_run *s)
{
  run->out.reads++;
  update_token (s, &s->request);
  if (s->request.reason == REASON_TOKEN_AHEAD)
    {
      s->token[0] = '\0';
      s->last_key[0] = '\0';
    }
  else if (s->request.outcome == OUTCOME_DONE
           && strcmp (s->request.payload, "{\"value\": \"1\"}") != 0)
    run->out.stale++;
  s->state = SESSION_IDLE;
}

static void
finish_write (struct session_run *s)
{
  const struct rig_request *request = &s->write->request;
  update_token (s, request);
  if (request->reason == REASON_TOKEN_AHEAD)
    s->token[0] = '\0';
  if (request->outcome == OUTCOME_DONE)
    memcpy (s->last_key, s->write->key, sizeof s->last_key);
  s->state = SESSION_IDLE;
}

static void
continue_transaction (struct run *run, struct session_run *s)
{
  char statement[64];
  if (s->request.outcome != OUTCOME_DONE)
    {
      s->state = SESSION_IDLE;
      if (s->request.reason == REASON_TOKEN_AHEAD)
        s->token[0] = '\0';
      return;
    }
  if (s->state == SESSION_BEGIN)
    {
      memcpy (s->transaction, s->request.transaction, sizeof s->transaction);
      s->write = new_write (run);
      run->out.transactions++;
      snprintf (statement, sizeof statement, "put %s 1", s->write->key);
      s->state = SESSION_EXECUTE;
      submit_action (run, s, &s->request, ENTRY_EXECUTE, statement, NULL);
      /* Without a commit the key must not be in the log.  */
      s->write->request.outcome = OUTCOME_NOT_RUN;
      s->write->request.done = true;
      return;
    }
  s->state = SESSION_COMMIT;
  submit_action (run, s, &s->write->request, ENTRY_COMMIT, NULL, s->write->id);
}

static void
step_session (struct run *run, struct session_run *s)
{
  switch (s->state)
    {
    case SESSION_IDLE:
      start_request (run, s);
      return;
    case SESSION_READING:
      if (s->request.done)
        finish_read (run, s);
      return;
    case SESSION_BEGIN:
    case SESSION_EXECUTE:
      if (s->request.done)
        continue_transaction (run, s);
      return;
    case SESSION_WRITING:
    case SESSION_COMMIT:
      if (s->write->request.done)
        finish_write (s);
      return;
    }
}

/* Looks up unknown outcomes and a quarter of the others, and compares them
   with the outcome that was reported first.  */
static void
check_lookup (struct run *run, struct write *write)
{
  if (rng_below (&run->rng, 4) != 0
      && write->request.outcome != OUTCOME_UNKNOWN)
    return;
  rig_submit_action (run->rig, random_host (run), &write->check, ENTRY_LOOKUP,
                     NULL, NULL, NULL, write->id, NULL);
  rig_wait (run->rig, &write->check, SETTLE_MS);
  if (write->request.outcome != OUTCOME_UNKNOWN
      && write->check.outcome != write->request.outcome)
    run->out.changed++;
}

static void
check_write (struct run *run, struct write *write)
{
  uint32_t puts
      = sim_instance_count_puts (instance (run, run->primary), write->key);
  const struct rig_request *request = &write->request;
  run->out.doubled += puts > 1;
  if (!request->done)
    {
      run->out.silent++;
      return;
    }
  run->out.done += request->outcome == OUTCOME_DONE;
  run->out.not_run += request->outcome == OUTCOME_NOT_RUN;
  run->out.unknown += request->outcome == OUTCOME_UNKNOWN;
  run->out.lost += request->outcome == OUTCOME_DONE && puts == 0;
  run->out.ran += request->outcome == OUTCOME_NOT_RUN && puts > 0;
}

static void
check_final_state (struct run *run)
{
  for (struct write *w = run->writes; w != NULL; w = w->next)
    check_lookup (run, w);
  for (struct write *w = run->writes; w != NULL; w = w->next)
    check_write (run, w);
  rig_run (run->rig, SETTLE_MS);
  for (size_t i = 0; i < HOSTS; i++)
    run->out.stuck += entry_in_flight (rig_entry (run->rig, i)) > 0
                      || gateway_in_flight (rig_gateway (run->rig, i)) > 0;
  for (size_t i = 0; i < RIG_INSTANCES; i++)
    run->out.over_limit
        += sim_instance_refused (instance (run, i)) > 0
           && sim_instance_open_peak (instance (run, i)) >= CONNECTIONS;
}

struct outcomes
outcomes_run (uint64_t seed, clk_ms span_ms)
{
  const struct rig_options options
      = { .seed = seed,
          .hosts = HOSTS,
          .domains = DOMAINS,
          .databases = 1,
          .slots = 3,
          .connections = CONNECTIONS,
          .connect_ms = 10,
          .cost_ms = 5,
          .lag_ms = 20,
          .kinds = kinds,
          .log_level = getenv ("RIG_LOG") != NULL ? LOG_INFO : -1 };
  struct run *run = mem_zalloc (sizeof *run);
  run->rig = rig_new (&options);
  run->term = 1;
  rng_init (&run->rng, seed ^ 0x5eed);
  rig_run (run->rig, WARM_UP_MS);
  run->next_fault_ms = rig_now (run->rig) + WARM_UP_MS;
  clk_ms end_ms = rig_now (run->rig) + span_ms;
  while (rig_now (run->rig) < end_ms)
    {
      rig_run (run->rig, STEP_MS);
      step_faults (run);
      for (size_t i = 0; i < SESSIONS; i++)
        step_session (run, &run->sessions[i]);
    }
  if (run->promote_ms != 0)
    fail_over (run);
  if (run->fault_end_ms != 0)
    end_fault (run);
  follow_primary (run);
  rig_run (run->rig, SETTLE_MS);
  check_final_state (run);
  struct outcomes out = run->out;
  rig_free (run->rig);
  while (run->writes != NULL)
    {
      struct write *write = run->writes;
      run->writes = write->next;
      free (write);
    }
  free (run);
  return out;
}

uint32_t
outcomes_violations (const struct outcomes *o)
{
  return o->doubled + o->lost + o->ran + o->changed + o->stale + o->silent
         + o->stuck + o->over_limit;
}
