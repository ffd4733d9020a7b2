/* Execution of jobs by a simulated instance.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "sim_internal.h"

#define WORDS 4
#define STATEMENT_BYTES 256

/* A parsed statement; words point into TEXT or to a parameter of the job.  */
struct statement
{
  char text[STATEMENT_BYTES];
  const char *word[WORDS];
};

static void
parse (const struct db_job *job, struct statement *out)
{
  char *save = NULL;
  memset (out, 0, sizeof *out);
  strncpy (out->text, job->statement ? job->statement : "",
           sizeof out->text - 1);
  char *word = strtok_r (out->text, " ", &save);
  for (size_t i = 0; i < WORDS && word != NULL; i++)
    {
      size_t index = word[0] == '$' ? strtoul (word + 1, NULL, 10) : 0;
      bool is_param = index >= 1 && index <= job->param_count;
      out->word[i] = is_param ? job->params[index - 1] : word;
      word = strtok_r (NULL, " ", &save);
    }
}

static bool
is_put (const struct statement *s)
{
  return s->word[0] != NULL && strcmp (s->word[0], "put") == 0
         && s->word[1] != NULL && s->word[2] != NULL;
}

static bool
is_get (const struct statement *s)
{
  return s->word[0] != NULL && strcmp (s->word[0], "get") == 0
         && s->word[1] != NULL;
}

bool
sim_job_needs_slot (const struct sim_job *job)
{
  switch (job->job.kind)
    {
    case DB_READ:
    case DB_WRITE:
    case DB_EXECUTE:
    case DB_COMMIT:
      return true;
    default:
      return false;
    }
}

/* Returns whether INSTANCE accepts writes of TERM; 0 stands for any term.  */
static bool
accepts_writes (const struct sim_instance *instance, uint64_t term)
{
  if (!instance->primary || instance->fenced)
    return false;
  if (instance->sealed_term > instance->term)
    return false;
  return term == 0 || term == instance->term;
}

static clk_ms
statement_cost (const struct sim_job *job)
{
  struct statement s;
  parse (&job->job, &s);
  const char *text = is_put (&s) ? s.word[3] : is_get (&s) ? s.word[2] : NULL;
  clk_ms cost_ms = text ? (clk_ms)strtol (text, NULL, 10)
                        : job->instance->options.cost_ms;
  return cost_ms * job->instance->slowdown;
}

/* Looks up an entry with the request id of JOB in the log.  Sets the result
   from it if there is one.  */
static bool
find_duplicate (struct sim_job *job)
{
  struct sim_instance *instance = job->instance;
  if (job->job.request_id == NULL)
    return false;
  const struct sim_entry *entry
      = sim_log_request (&instance->group->store, &instance->log,
                         instance->log.count, job->job.request_id);
  if (entry == NULL)
    return false;
  job->status = DB_DUPLICATE;
  job->payload = mem_strdup (entry->payload ? entry->payload : "");
  return true;
}

bool
sim_job_begin (struct sim_job *job, clk_ms *cost_ms)
{
  struct sim_instance *instance = job->instance;
  *cost_ms = 0;
  switch (job->job.kind)
    {
    case DB_READ:
      if (instance->replayed < job->job.min_lsn)
        {
          job->status = DB_REFUSED;
          return false;
        }
      break;
    case DB_WRITE:
    case DB_COMMIT:
      if (!accepts_writes (instance, job->job.term))
        {
          job->status = DB_REFUSED;
          sim_conn_drop_pairs (job->conn);
          return false;
        }
      if (find_duplicate (job))
        {
          sim_conn_drop_pairs (job->conn);
          return false;
        }
      break;
    case DB_EXECUTE:
      break;
    default:
      return true;
    }
  *cost_ms = statement_cost (job);
  return true;
}

static void
append_entry (struct sim_job *job, struct sim_pair *pairs, size_t count)
{
  struct sim_instance *instance = job->instance;
  struct sim_entry entry = {
    .lsn = instance->log.count + 1,
    .term = instance->term,
    .at_ms = kernel_now (instance->group->world->kernel),
    .request_id
    = job->job.request_id ? mem_strdup (job->job.request_id) : NULL,
    .payload = mem_strdup (job->payload),
    .pair_count = count,
    .pairs = mem_zalloc (count * sizeof *pairs),
  };
  if (count > 0)
    memcpy (entry.pairs, pairs, count * sizeof *pairs);
  sim_log_append (&instance->log,
                  sim_store_add (&instance->group->store, &entry));
  instance->replayed = instance->log.count;
  sim_group_wake (instance->group);
}

static void
execute_write (struct sim_job *job)
{
  struct sim_instance *instance = job->instance;
  struct statement s;
  parse (&job->job, &s);
  if (!accepts_writes (instance, job->job.term))
    {
      job->status = DB_REFUSED;
      return;
    }
  if (find_duplicate (job))
    return;
  if (s.word[0] == NULL)
    {
      append_entry (job, NULL, 0);
      return;
    }
  if (!is_put (&s))
    {
      job->status = DB_SQL_ERROR;
      return;
    }
  struct sim_pair pair
      = { .key = mem_strdup (s.word[1]), .value = mem_strdup (s.word[2]) };
  job->payload = mem_printf ("{\"lsn\": %zu}", instance->log.count + 1);
  append_entry (job, &pair, 1);
}

/* Returns the value of KEY in the open transaction of CONN, or NULL.  */
static const char *
uncommitted_value (const struct db_conn *conn, const char *key)
{
  for (size_t i = conn->pair_count; i > 0; i--)
    if (strcmp (conn->pairs[i - 1].key, key) == 0)
      return conn->pairs[i - 1].value;
  return NULL;
}

static void
execute_read (struct sim_job *job)
{
  struct sim_instance *instance = job->instance;
  struct statement s;
  parse (&job->job, &s);
  if (!is_get (&s))
    {
      job->status = DB_SQL_ERROR;
      return;
    }
  const char *value = uncommitted_value (job->conn, s.word[1]);
  if (value == NULL)
    value = sim_log_get (&instance->group->store, &instance->log,
                         instance->replayed, s.word[1]);
  job->payload = value ? mem_printf ("{\"value\": \"%s\"}", value)
                       : mem_strdup ("{\"value\": null}");
}

static void
execute_in_transaction (struct sim_job *job)
{
  struct db_conn *conn = job->conn;
  struct statement s;
  parse (&job->job, &s);
  if (!conn->in_transaction
      || (is_put (&s) && conn->pair_count == SIM_TX_PAIRS))
    job->status = DB_SQL_ERROR;
  else if (!is_put (&s))
    execute_read (job);
  else
    {
      conn->pairs[conn->pair_count++]
          = (struct sim_pair){ .key = mem_strdup (s.word[1]),
                               .value = mem_strdup (s.word[2]) };
      job->payload = mem_strdup ("{}");
    }
}

static void
execute_commit (struct sim_job *job)
{
  struct db_conn *conn = job->conn;
  if (!conn->in_transaction)
    {
      job->status = DB_SQL_ERROR;
      return;
    }
  if (!accepts_writes (job->instance, job->job.term))
    job->status = DB_REFUSED;
  else if (!find_duplicate (job))
    {
      job->payload = mem_strdup ("{\"committed\": true}");
      append_entry (job, conn->pairs, conn->pair_count);
      conn->pair_count = 0;
    }
  sim_conn_drop_pairs (conn);
}

static void
execute_promote (struct sim_job *job)
{
  struct sim_instance *instance = job->instance;
  if (job->job.term < instance->sealed_term || job->job.term < instance->term)
    {
      job->status = DB_REFUSED;
      return;
    }
  if (instance->primary && instance->term == job->job.term)
    return;
  instance->term = job->job.term;
  instance->primary = true;
  instance->fenced = false;
  instance->upstream = NULL;
  instance->streaming = false;
  instance->replayed = instance->log.count;
  instance->confirmed = 0;
}

static void
execute_follow (struct sim_job *job)
{
  struct sim_instance *instance = job->instance;
  struct sim_instance *to = sim_world_find (
      instance->group->world, job->job.follow_address, job->job.follow_port);
  if (to == NULL || to == instance)
    {
      job->status = DB_REFUSED;
      return;
    }
  instance->primary = false;
  instance->fenced = false;
  instance->upstream = to;
  instance->streaming = false;
  if (job->job.term > instance->sealed_term)
    instance->sealed_term = job->job.term;
  sim_group_wake (instance->group);
}

static void
execute_lookup (struct sim_job *job)
{
  if (!find_duplicate (job))
    job->status = DB_NOT_FOUND;
  else
    job->status = DB_OK;
}

void
sim_job_execute (struct sim_job *job)
{
  struct sim_instance *instance = job->instance;
  switch (job->job.kind)
    {
    case DB_READ:
      execute_read (job);
      return;
    case DB_WRITE:
      execute_write (job);
      return;
    case DB_BEGIN:
      if (job->job.term != 0 && job->job.term != instance->term)
        job->status = DB_REFUSED;
      else
        job->conn->in_transaction = true;
      return;
    case DB_EXECUTE:
      execute_in_transaction (job);
      return;
    case DB_COMMIT:
      execute_commit (job);
      return;
    case DB_ROLLBACK:
      sim_conn_drop_pairs (job->conn);
      return;
    case DB_LOOKUP:
      execute_lookup (job);
      return;
    case DB_SEAL:
      if (job->job.term > instance->sealed_term)
        instance->sealed_term = job->job.term;
      return;
    case DB_PROMOTE:
      execute_promote (job);
      return;
    case DB_FOLLOW:
      execute_follow (job);
      return;
    case DB_FENCE:
      instance->fenced = true;
      return;
    case DB_STATUS:
    case DB_PURGE:
      return;
    }
}
