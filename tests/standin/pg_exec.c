#include "pg_standin.h"

#include <stdio.h>
#include <string.h>

#include "kernel/mem.h"

#define TYPE_INT8 20
#define TYPE_TEXT 25
#define FIELD_LIMIT 9

/* Locks the row of the statement of S.  Returns false if another session has
   locked it.  */
static bool
lock_acquire (struct session *s)
{
  for (struct session *o = s->instance->sessions; o != NULL; o = o->next)
    if (rows_find (o->locks, s->key) != NULL)
      return o == s;
  rows_set (&s->locks, s->key, NULL);
  return true;
}

/* Returns the value of the row of the statement of S, as its transaction sees
   it; NULL if there is none.  */
static const char *
value_get (struct session *s)
{
  const struct row *row = rows_find (s->changes, s->key);
  if (row == NULL)
    row = rows_find (s->instance->rows, s->key);
  return row == NULL ? NULL : row->value;
}

static enum exec_result
commit (struct session *s)
{
  struct instance *instance = s->instance;
  bool writes = s->changes != NULL;
  if (writes)
    instance_commit (instance, s->changes);
  s->changes = NULL;
  session_rollback (s);
  if (!writes || !instance->drop_answer)
    return EXEC_DONE;
  instance->drop_answer = false;
  return EXEC_DROP;
}

enum exec_result
exec_sync (struct session *s)
{
  if (s->in_transaction)
    return EXEC_DONE;
  if (!s->failed)
    return commit (s);
  session_rollback (s);
  return EXEC_DONE;
}

static enum exec_result
fail_statement (struct session *s, const char *sqlstate)
{
  session_error (s, sqlstate, "refused by the stand-in");
  return EXEC_DONE;
}

/* Sends a result of one row.  TEXT has the fields separated by line feeds, "-"
   for SQL NULL; TEXT NULL sends no row.  Frees TEXT.  */
static enum exec_result
send_one_row (struct session *s, const char *name, uint32_t type, char *text)
{
  const char *values[FIELD_LIMIT] = { NULL };
  char *rest = text;
  size_t count = 0;
  while (rest != NULL && count < FIELD_LIMIT)
    {
      const char *field = strsep (&rest, "\n");
      values[count++] = strcmp (field, "-") == 0 ? NULL : field;
    }
  session_columns (s, count > 0 ? count : 1, name, type);
  if (count > 0)
    session_row (s, count, values);
  session_complete (s, count > 0 ? "SELECT 1" : "SELECT 0");
  free (text);
  return EXEC_DONE;
}

static const char *
param_text (const struct session *s, size_t index)
{
  bool given = index < s->param_count && s->params[index] != NULL;
  return given ? s->params[index] : "";
}

static int64_t
param_number (const struct session *s, size_t index)
{
  return strtoll (param_text (s, index), NULL, 10);
}

static bool
writable (const struct session *s)
{
  const struct instance *instance = s->instance;
  return instance->primary && !instance->active.read_only && !s->read_only;
}

/* Statements of the proxy itself, identified by the comment that they start
   with.  */

static enum exec_result
run_begin (struct session *s)
{
  s->in_transaction = true;
  return EXEC_DONE;
}

static enum exec_result
run_rollback (struct session *s)
{
  session_rollback (s);
  session_complete (s, "ROLLBACK");
  return EXEC_DONE;
}

static enum exec_result
run_commit (struct session *s)
{
  if (s->failed)
    return run_rollback (s);
  enum exec_result result = commit (s);
  if (result == EXEC_DONE)
    session_complete (s, "COMMIT");
  return result;
}

static enum exec_result
run_reset (struct session *s)
{
  rows_clear (&s->prepared);
  return EXEC_DONE;
}

static enum exec_result
run_status (struct session *s)
{
  const struct instance *i = s->instance;
  char *text = mem_printf ("%llu\n%s\n%llu\n%s\n%llu\n%llu\n%llu\n%lld\n%s",
                           (unsigned long long)i->active.log_term,
                           i->primary && !i->active.read_only ? "t" : "f",
                           (unsigned long long)i->active.sealed_term,
                           instance_receiving (i) ? "t" : "f",
                           (unsigned long long)instance_lsn (i, i->received),
                           (unsigned long long)instance_lsn (i, i->replayed),
                           (unsigned long long)i->confirmed_lsn,
                           (long long)instance_lag_ms (i), param_text (s, 0));
  return send_one_row (s, "status", 0, text);
}

static enum exec_result
run_require_term (struct session *s)
{
  const struct settings *active = &s->instance->active;
  uint64_t required = (uint64_t)param_number (s, 0);
  bool matches = writable (s) && active->sealed_term <= active->log_term
                 && (required == 0 || required == active->log_term);
  if (!matches)
    return fail_statement (s, "SVT01");
  return send_one_row (s, "require_term", 0,
                       mem_printf ("\n%s", param_text (s, 1)));
}

static enum exec_result
run_set_timeout (struct session *s)
{
  s->statement_timeout_ms = param_number (s, 0);
  return EXEC_DONE;
}

static enum exec_result
run_begin_read (struct session *s)
{
  uint64_t visible = instance_lsn (s->instance, s->instance->replayed);
  s->read_only = true;
  return visible < (uint64_t)param_number (s, 0) ? fail_statement (s, "SVR01")
                                                 : EXEC_DONE;
}

static enum exec_result
run_answer (struct session *s)
{
  rows_set (&s->changes, s->key, param_text (s, 1));
  return EXEC_DONE;
}

static enum exec_result
run_claim (struct session *s)
{
  return value_get (s) != NULL ? fail_statement (s, "23505") : run_answer (s);
}

static enum exec_result
run_probe (struct session *s)
{
  session_complete (s, value_get (s) != NULL ? "INSERT 0 0" : "INSERT 0 1");
  return EXEC_DONE;
}

/* Reads the stored answer of a request id from "ledger", or the number of a
   key from "kv".  */
static enum exec_result
run_get (struct session *s)
{
  return send_one_row (s, "v", TYPE_INT8, mem_strdup (value_get (s)));
}

static enum exec_result
run_purge (struct session *s)
{
  struct row *row, *next;
  clk_ms before = group_now_ms () - param_number (s, 0);
  HASH_ITER (hh, s->instance->rows, row, next)
  if (strncmp (row->key, "ledger/", 7) == 0 && row->committed_at_ms < before)
    rows_set (&s->changes, row->key, NULL);
  char *command_tag = mem_printf ("DELETE %u", HASH_COUNT (s->changes));
  session_complete (s, command_tag);
  free (command_tag);
  return EXEC_DONE;
}

static enum exec_result
run_lock (struct session *s)
{
  struct session **owner = &s->instance->role_lock;
  if (*owner != NULL && *owner != s)
    return EXEC_LOCKED;
  *owner = s;
  return EXEC_DONE;
}

static enum exec_result
run_unlock (struct session *s)
{
  if (s->instance->role_lock == s)
    s->instance->role_lock = NULL;
  return EXEC_DONE;
}

static enum exec_result
run_set (struct session *s)
{
  struct settings *staged = &s->instance->staged;
  unsigned long long value;
  const char *text = strstr (s->statement, "SET ") + 4;
  const char *port = strstr (text, "port=");
  const char *name = strstr (text, "savoryway_");
  if (sscanf (text, "savoryway.log_term = '%llu'", &value) == 1)
    staged->log_term = value;
  else if (sscanf (text, "savoryway.sealed_term = '%llu'", &value) == 1)
    staged->sealed_term = value;
  else if (strncmp (text, "default_transaction_read_only = '", 33) == 0)
    staged->read_only = strncmp (text + 33, "on'", 3) == 0;
  else if (strncmp (text, "primary_conninfo = '", 20) == 0)
    {
      staged->primary_port
          = port == NULL ? 0 : (uint16_t)strtoul (port + 5, NULL, 10);
      staged->confirming_term
          = name == NULL ? 0 : strtoull (name + 10, NULL, 10);
    }
  else
    return fail_statement (s, "42704");
  return EXEC_DONE;
}

static enum exec_result
run_reload (struct session *s)
{
  instance_reload (s->instance);
  return EXEC_DONE;
}

static enum exec_result
run_promote (struct session *s)
{
  if (s->instance->primary)
    return fail_statement (s, "55000");
  instance_promote (s->instance);
  return EXEC_DONE;
}

static enum exec_result
run_kick (struct session *s)
{
  sessions_before_reload (s, true);
  return EXEC_DONE;
}

static enum exec_result
run_busy (struct session *s)
{
  struct instance *instance = s->instance;
  bool stream = instance_receiving (instance);
  char *text
      = mem_printf ("%s\n%zu\n%s\n%s\n%u", instance->primary ? "f" : "t",
                    sessions_before_reload (s, false), stream ? "t" : "f",
                    stream ? "127.0.0.1" : "-", instance->active.primary_port);
  return send_one_row (s, "busy", 0, text);
}

static enum exec_result
run_rejoin (struct session *s)
{
  bool done = instance_rejoin (s->instance, (uint64_t)param_number (s, 0),
                               (uint16_t)param_number (s, 2));
  return done ? EXEC_DONE : fail_statement (s, "55000");
}

/* Statements of callers, identified by their first words.  */

static enum exec_result
run_count (struct session *s)
{
  unsigned count = 0;
  struct row *row, *next;
  HASH_ITER (hh, s->instance->rows, row, next)
  count += strncmp (row->key, "kv/", 3) == 0;
  return send_one_row (s, "count", TYPE_INT8, mem_printf ("%u", count));
}

static enum exec_result
run_series (struct session *s)
{
  session_columns (s, 1, "generate_series", TYPE_INT8);
  for (int64_t i = 1; i <= param_number (s, 0); i++)
    {
      char *text = mem_printf ("%lld", (long long)i);
      session_row (s, 1, (const char *const *)&text);
      free (text);
    }
  char *command_tag
      = mem_printf ("SELECT %lld", (long long)param_number (s, 0));
  session_complete (s, command_tag);
  free (command_tag);
  return EXEC_DONE;
}

static enum exec_result
run_divide (struct session *s)
{
  return fail_statement (s, "22012");
}

/* INSERT and UPDATE on kv; $1 is the key, $2 a number.  */
static enum exec_result
run_put (struct session *s)
{
  const char *old = value_get (s);
  bool insert = strncmp (s->statement, "INSERT", 6) == 0;
  bool add = old != NULL && strstr (s->statement, "v + ") != NULL;
  if (insert && old != NULL && strstr (s->statement, "ON CONFLICT") == NULL)
    return fail_statement (s, "23505");
  if (!insert && old == NULL)
    {
      session_complete (s, "UPDATE 0");
      return EXEC_DONE;
    }
  int64_t value = param_number (s, 1) + (add ? strtoll (old, NULL, 10) : 0);
  char *text = mem_printf ("%lld", (long long)value);
  const char *const row = text;
  rows_set (&s->changes, s->key, text);
  if (strstr (s->statement, "RETURNING v") != NULL)
    {
      session_columns (s, 1, "v", TYPE_INT8);
      session_row (s, 1, &row);
    }
  free (text);
  session_complete (s, insert ? "INSERT 0 1" : "UPDATE 1");
  return EXEC_DONE;
}

enum flag
{
  RETURNS_VOID = 1,  /* sends one row with an empty value */
  USES_SLOT = 2,     /* occupies a slot of the instance while it runs */
  WRITES = 4,        /* needs a writable session; locks its row, if any */
  RUNS_IF_FAILED = 8 /* is allowed in a failed transaction */
};

struct statement
{
  const char *prefix;
  enum exec_result (*run) (struct session *s); /* NULL only takes time */
  unsigned flags;
  const char *table; /* table of the row with the key $1, NULL for none */
  const char *command_tag; /* NULL if RUN sends the completion */
};

#define PROXY_TAG "/*savoryway:"

static const struct statement statements[] = {
  { PROXY_TAG "status", run_status, 0, NULL, NULL },
  { PROXY_TAG "begin_read", run_begin_read, RETURNS_VOID, NULL, NULL },
  { PROXY_TAG "begin", run_begin, 0, NULL, "BEGIN" },
  { PROXY_TAG "commit", run_commit, RUNS_IF_FAILED, NULL, NULL },
  { PROXY_TAG "rollback", run_rollback, RUNS_IF_FAILED, NULL, NULL },
  { PROXY_TAG "reset", run_reset, 0, NULL, "DISCARD ALL" },
  { PROXY_TAG "require_term", run_require_term, 0, NULL, NULL },
  { PROXY_TAG "run_limit", run_set_timeout, RETURNS_VOID, NULL, NULL },
  { PROXY_TAG "claim", run_claim, WRITES, "ledger", "INSERT 0 1" },
  { PROXY_TAG "answer", run_answer, 0, "ledger", "UPDATE 1" },
  { PROXY_TAG "probe", run_probe, WRITES, "ledger", NULL },
  { PROXY_TAG "find", run_get, 0, "ledger", NULL },
  { PROXY_TAG "purge", run_purge, WRITES, NULL, NULL },
  { PROXY_TAG "lock", run_lock, RETURNS_VOID, NULL, NULL },
  { PROXY_TAG "unlock", run_unlock, RETURNS_VOID, NULL, NULL },
  { PROXY_TAG "set", run_set, 0, NULL, "ALTER SYSTEM" },
  { PROXY_TAG "reload", run_reload, RETURNS_VOID, NULL, NULL },
  { PROXY_TAG "promote", run_promote, RETURNS_VOID, NULL, NULL },
  { PROXY_TAG "kick", run_kick, RETURNS_VOID, NULL, NULL },
  { PROXY_TAG "busy", run_busy, 0, NULL, NULL },
  { PROXY_TAG "rejoin", run_rejoin, RETURNS_VOID, NULL, NULL },
  { "SELECT v FROM kv", run_get, USES_SLOT, "kv", NULL },
  { "SELECT count", run_count, USES_SLOT, NULL, NULL },
  { "SELECT pg_sleep", NULL, RETURNS_VOID | USES_SLOT, NULL, NULL },
  { "SELECT * FROM generate_series", run_series, USES_SLOT, NULL, NULL },
  { "SELECT 1/0", run_divide, USES_SLOT, NULL, NULL },
  { "INSERT INTO kv", run_put, USES_SLOT | WRITES, "kv", NULL },
  { "UPDATE kv", run_put, USES_SLOT | WRITES, "kv", NULL },
};

static const struct statement *
find_statement (const struct session *s)
{
  const char *sql = s->statement == NULL ? "" : s->statement;
  for (size_t i = 0; i < sizeof statements / sizeof statements[0]; i++)
    if (strncmp (sql, statements[i].prefix, strlen (statements[i].prefix))
        == 0)
      return &statements[i];
  return NULL;
}

clk_ms
exec_cost_ms (struct session *s)
{
  const struct statement *statement = find_statement (s);
  if (statement == NULL || !(statement->flags & USES_SLOT))
    return -1;
  bool sleeps = statement->run == NULL;
  return s->instance->cost_ms
         + (sleeps ? (clk_ms)(strtod (param_text (s, 0), NULL) * 1000) : 0);
}

enum exec_result
exec_run (struct session *s)
{
  const struct statement *statement = find_statement (s);
  if (s->failed && (statement == NULL || !(statement->flags & RUNS_IF_FAILED)))
    return fail_statement (s, "25P02");
  if (statement == NULL)
    return fail_statement (s, "42601");
  if (statement->table != NULL)
    snprintf (s->key, sizeof s->key, "%s/%s", statement->table,
              param_text (s, 0));
  if ((statement->flags & WRITES) && !writable (s))
    return fail_statement (s, "25006");
  if ((statement->flags & WRITES) && statement->table != NULL
      && !lock_acquire (s))
    return EXEC_LOCKED;
  enum exec_result result
      = statement->run == NULL ? EXEC_DONE : statement->run (s);
  if (result != EXEC_DONE || s->failed)
    return result;
  if (statement->flags & RETURNS_VOID)
    return send_one_row (s, "void", TYPE_TEXT, mem_strdup (""));
  if (statement->command_tag != NULL)
    session_complete (s, statement->command_tag);
  return EXEC_DONE;
}
