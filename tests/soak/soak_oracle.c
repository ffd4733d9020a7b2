#include "tests/soak/soak_oracle.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "kernel/mem.h"

#define RULES 8
#define REPORTS_SHOWN 5 /* of each rule */

/* A run of the record.  */
struct run
{
  json_t *json;
  struct run *next;
  struct run *next_of_sent;
};

/* A transaction of an instance.  */
struct instance_tx
{
  uint64_t serial;
  char owner[SENT_ID_BYTES]; /* transaction or single statement */
  struct sent **writes;
  size_t write_count;
  UT_hash_handle hh;
};

/* A transaction of a caller.  */
struct caller_tx
{
  uint64_t id;
  uint64_t serial; /* of the instance's, from its first success; 0: none */
  char promise[16];
  bool committed; /* acknowledged */
  UT_hash_handle hh;
};

struct rule
{
  const char *name;
  unsigned reports;
};

struct soak_oracle
{
  uint64_t seed;
  uint64_t next_id;
  uint64_t last_run;
  struct sent *sent;
  struct run *runs;
  struct instance_tx *instance_txs;
  struct caller_tx *caller_txs;
  struct rule rules[RULES];
  unsigned reports;
  unsigned checked;
};

struct soak_oracle *
soak_oracle_new (uint64_t seed)
{
  struct soak_oracle *oracle = mem_zalloc (sizeof *oracle);
  oracle->seed = seed;
  return oracle;
}

void
soak_oracle_free (struct soak_oracle *oracle)
{
  struct sent *sent, *next_sent;
  struct run *run, *next_run;
  struct instance_tx *tx, *next_tx;
  struct caller_tx *caller_tx, *next_caller_tx;
  HASH_ITER (hh, oracle->sent, sent, next_sent)
  {
    HASH_DEL (oracle->sent, sent);
    free (sent->text);
    free (sent->shape);
    free (sent->values);
    free (sent);
  }
  LL_FOREACH_SAFE (oracle->runs, run, next_run)
  {
    json_decref (run->json);
    free (run);
  }
  HASH_ITER (hh, oracle->instance_txs, tx, next_tx)
  {
    HASH_DEL (oracle->instance_txs, tx);
    free (tx->writes);
    free (tx);
  }
  HASH_ITER (hh, oracle->caller_txs, caller_tx, next_caller_tx)
  {
    HASH_DEL (oracle->caller_txs, caller_tx);
    free (caller_tx);
  }
  free (oracle);
}

struct sent *
soak_oracle_send (struct soak_oracle *oracle, const struct sent *sent)
{
  struct sent *copy = mem_zalloc (sizeof *copy);
  *copy = *sent;
  copy->text = mem_strdup (sent->text);
  copy->shape = mem_strdup (sent->shape != NULL ? sent->shape : "");
  copy->values = mem_strdup (sent->values);
  snprintf (copy->id, sizeof copy->id, "q%" PRIu64, ++oracle->next_id);
  HASH_ADD_STR (oracle->sent, id, copy);
  return copy;
}

uint64_t
soak_oracle_last_run (const struct soak_oracle *oracle)
{
  return oracle->last_run;
}

static const char *
run_text (const struct run *run, const char *key)
{
  const char *text = json_string_value (json_object_get (run->json, key));
  return text != NULL ? text : "";
}

static uint64_t
run_number (const struct run *run, const char *key)
{
  return (uint64_t)json_integer_value (json_object_get (run->json, key));
}

void
soak_oracle_add_runs (struct soak_oracle *oracle, const json_t *runs)
{
  size_t i;
  json_t *json;
  json_array_foreach (runs, i, json)
  {
    struct run *run = mem_zalloc (sizeof *run);
    run->json = json_incref (json);
    LL_PREPEND (oracle->runs, run);
    if (run_number (run, "n") != oracle->last_run + 1)
      soak_oracle_report (oracle, "RECORD", "runs after %" PRIu64 " are lost",
                          oracle->last_run);
    oracle->last_run = run_number (run, "n");
  }
}

void
soak_oracle_report (struct soak_oracle *oracle, const char *name,
                    const char *format, ...)
{
  va_list args;
  struct rule *rule = oracle->rules;
  while (rule->name != NULL && strcmp (rule->name, name) != 0)
    rule++;
  rule->name = name;
  rule->reports++;
  oracle->reports++;
  if (rule->reports > REPORTS_SHOWN)
    return;
  printf ("seed=%" PRIu64 " %s: ", oracle->seed, name);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

/* Returns whether CODE promises that nothing of the attempt is kept.  */
static bool
is_promise (const char *code)
{
  static const char *const codes[]
      = { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY" };
  for (size_t i = 0; i < sizeof codes / sizeof codes[0]; i++)
    if (strcmp (code, codes[i]) == 0)
      return true;
  return false;
}

static struct caller_tx *
find_caller_tx (struct soak_oracle *oracle, uint64_t id)
{
  struct caller_tx *tx;
  HASH_FIND (hh, oracle->caller_txs, &id, sizeof id, tx);
  if (tx != NULL)
    return tx;
  tx = mem_zalloc (sizeof *tx);
  tx->id = id;
  HASH_ADD (hh, oracle->caller_txs, id, sizeof tx->id, tx);
  return tx;
}

/* Returns the transaction of an instance in which RUN of SENT ran, which must
   belong to it.  */
static struct instance_tx *
find_instance_tx (struct soak_oracle *oracle, const struct run *run,
                  const struct sent *sent)
{
  struct instance_tx *tx;
  char owner[SENT_ID_BYTES];
  uint64_t serial = run_number (run, "tx");
  if (sent->tx != 0)
    snprintf (owner, sizeof owner, "tx %" PRIu64, sent->tx);
  else
    memcpy (owner, sent->id, sizeof owner);
  HASH_FIND (hh, oracle->instance_txs, &serial, sizeof serial, tx);
  if (tx == NULL)
    {
      tx = mem_zalloc (sizeof *tx);
      tx->serial = serial;
      memcpy (tx->owner, owner, sizeof owner);
      HASH_ADD (hh, oracle->instance_txs, serial, sizeof tx->serial, tx);
    }
  if (strcmp (tx->owner, owner) != 0)
    soak_oracle_report (oracle, "PINNED", "%s of %s ran inside %s on %s",
                        sent->id, owner, tx->owner,
                        run_text (run, "instance"));
  return tx;
}

/* Notes what RUN of SENT wrote or committed.  */
static void
note_writes (struct soak_oracle *oracle, const struct run *run,
             struct sent *sent)
{
  bool commits = json_is_true (json_object_get (run->json, "commits"));
  if (run_number (run, "tx") == 0)
    {
      if (sent->tx != 0)
        soak_oracle_report (oracle, "PINNED",
                            "%s ran outside its transaction %" PRIu64 " on %s",
                            sent->id, sent->tx, run_text (run, "instance"));
      sent->commits += commits && sent->kind == SENT_WRITE;
      return;
    }
  struct instance_tx *tx = find_instance_tx (oracle, run, sent);
  if (sent->kind == SENT_WRITE)
    {
      tx->writes = mem_resize (tx->writes,
                               (tx->write_count + 1) * sizeof (struct sent *));
      tx->writes[tx->write_count++] = sent;
    }
  for (size_t i = 0; commits && i < tx->write_count; i++)
    tx->writes[i]->commits++;
}

/* Checks that RUN was sent by a caller.  */
static void
check_run (struct soak_oracle *oracle, struct run *run)
{
  struct sent *sent;
  const char *id = run_text (run, "id"), *text = run_text (run, "text");
  const char *shape = run_text (run, "shape");
  if (strcmp (id, "-") == 0)
    {
      if (strcmp (text, "COMMIT") != 0
          || json_is_true (json_object_get (run->json, "commits")))
        soak_oracle_report (oracle, "UNASKED", "%s ran \"%s %s\" of %s itself",
                            run_text (run, "instance"), shape, text,
                            run_text (run, "host"));
      return;
    }
  HASH_FIND_STR (oracle->sent, id, sent);
  if (sent == NULL)
    {
      soak_oracle_report (oracle, "UNASKED",
                          "%s ran %s \"%s %s\", which nobody sent",
                          run_text (run, "instance"), id, shape, text);
      return;
    }
  run->next_of_sent = sent->runs;
  sent->runs = run;
  if (run_text (run, "code")[0] != '\0')
    {
      soak_oracle_report (oracle, "PINNED",
                          "%s: sent \"%s\" of \"%s\", %s answered \"%s\" with "
                          "%s, sent on by %s",
                          id, sent->text, sent->shape,
                          run_text (run, "instance"), text,
                          run_text (run, "code"), run_text (run, "host"));
      return;
    }
  if (strcmp (sent->text, text) != 0 || strcmp (sent->shape, shape) != 0)
    soak_oracle_report (
        oracle, "UNASKED",
        "%s: sent \"%s\" of \"%s\", %s ran \"%s\" of \"%s\", sent on by %s",
        id, sent->text, sent->shape, run_text (run, "instance"), text, shape,
        run_text (run, "host"));
  if (strcmp (sent->values, run_text (run, "values")) != 0)
    soak_oracle_report (
        oracle, "PINNED", "%s: ran on %s with \"%s\" in place of \"%s\"", id,
        run_text (run, "instance"), run_text (run, "values"), sent->values);
  note_writes (oracle, run, sent);
}

static const struct run *
find_signed_run (const struct sent *sent)
{
  const struct run *run = sent->runs;
  while (run != NULL
         && strcmp (run_text (run, "signature"), sent->signature) != 0)
    run = run->next_of_sent;
  return run;
}

/* Checks the success that SENT got.  */
static void
check_success (struct soak_oracle *oracle, const struct sent *sent)
{
  char hash[20];
  if (sent->kind == SENT_OTHER)
    {
      if (strcmp (sent->signature, "-") != 0 || sent->rows[0] != '\0')
        soak_oracle_report (oracle, "MIXED", "%s \"%s\" at %s got \"%s\" %s",
                            sent->id, sent->text, sent->host, sent->rows,
                            sent->signature);
      return;
    }
  const struct run *run = find_signed_run (sent);
  oracle->checked++;
  if (run == NULL)
    {
      soak_oracle_report (
          oracle, "MIXED",
          "%s \"%s\" at %s, %.0f ms: got \"%s\" %s, not a run of it", sent->id,
          sent->text, sent->host, sent->sent_ms, sent->rows, sent->signature);
      return;
    }
  snprintf (hash, sizeof hash, "%016" PRIx64, sent->rows_hash);
  if (strcmp (run_text (run, "rows_hash"), hash) != 0)
    soak_oracle_report (
        oracle, "MIXED",
        "%s \"%s\" at %s, %.0f ms: got rows \"%s\", %s sent \"%s\"", sent->id,
        sent->text, sent->host, sent->sent_ms, sent->rows,
        run_text (run, "instance"), run_text (run, "rows"));
  if (sent->tx == 0)
    return;
  struct caller_tx *tx = find_caller_tx (oracle, sent->tx);
  uint64_t serial = run_number (run, "tx");
  if (tx->serial != 0 && tx->serial != serial)
    soak_oracle_report (oracle, "PINNED",
                        "%s of transaction %" PRIu64
                        " ran in another one of an instance than it",
                        sent->id, sent->tx);
  tx->serial = serial;
}

/* Checks what became of the write SENT.  */
static void
check_write (struct soak_oracle *oracle, const struct sent *sent)
{
  const char *promise = is_promise (sent->code) ? sent->code : "";
  if (sent->tx != 0)
    promise = find_caller_tx (oracle, sent->tx)->promise;
  if (sent->commits > 1)
    soak_oracle_report (oracle, "TWICE", "%s \"%s\" was committed %u times",
                        sent->id, sent->text, sent->commits);
  if (sent->commits > 0 && promise[0] != '\0')
    soak_oracle_report (oracle, "REFUSED",
                        "%s \"%s\" at %s got %s and is kept", sent->id,
                        sent->text, sent->host, promise);
  bool acknowledged
      = sent->tx != 0 ? find_caller_tx (oracle, sent->tx)->committed : true;
  if (acknowledged && sent->answered && sent->code[0] == '\0'
      && sent->commits == 0)
    soak_oracle_report (oracle, "LOST", "%s \"%s\" at %s is not committed",
                        sent->id, sent->text, sent->host);
}

/* Notes a promise, or the success of a COMMIT, in a transaction.  */
static void
note_outcome (struct soak_oracle *oracle, const struct sent *sent)
{
  if (sent->tx == 0 || !sent->answered)
    return;
  struct caller_tx *tx = find_caller_tx (oracle, sent->tx);
  if (is_promise (sent->code))
    memcpy (tx->promise, sent->code, sizeof sent->code);
  if (sent->kind == SENT_COMMIT && sent->code[0] == '\0')
    tx->committed = true;
}

unsigned
soak_oracle_check (struct soak_oracle *oracle)
{
  struct sent *sent, *next;
  struct run *run, *ordered = NULL, *next_run;
  LL_FOREACH_SAFE (oracle->runs, run, next_run)
  LL_PREPEND (ordered, run);
  oracle->runs = ordered;
  LL_FOREACH (oracle->runs, run)
  check_run (oracle, run);
  HASH_ITER (hh, oracle->sent, sent, next)
  {
    note_outcome (oracle, sent);
    if (sent->answered && sent->code[0] == '\0')
      check_success (oracle, sent);
  }
  HASH_ITER (hh, oracle->sent, sent, next)
  if (sent->kind == SENT_WRITE)
    check_write (oracle, sent);
  return oracle->reports;
}

unsigned
soak_oracle_checked (const struct soak_oracle *oracle)
{
  return oracle->checked;
}
