/* Checks the guarantees: what instances execute against what callers sent, and
   the answers against what was committed.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "kernel/mem.h"
#include "proxy/values.h"
#include "tests/fleet/fleet.h"

#define TEXT_BYTES 256
#define VALUES_BYTES 512
/* Maximum number of writes of a transaction that are recorded.  */
#define TX_STATEMENTS 64

/* A statement that a caller sent.  */
struct statement_record
{
  char id[NAME_BYTES];
  struct fleet_caller *caller; /* NULL once the caller is closed */
  char text[TEXT_BYTES];       /* that an instance must execute */
  char values[VALUES_BYTES];   /* set and acknowledged before it was sent */
  bool in_tx;
  bool writes;
  char key[NAME_BYTES]; /* of the caller; "": none */
  bool is_public;       /* the route needs no key */
  /* Version of the configuration on the caller's host when the statement was
     sent, and when its transaction began.  */
  uint64_t version;
  uint64_t since_version;
  uint64_t tx_id;  /* the caller's transaction */
  clk_ms since_ms; /* of the transaction's BEGIN, or of the statement */
  size_t runs;
  size_t commits;
  UT_hash_handle hh;
};

/* Connection and instance transaction that execute a caller's transaction.  */
struct tx_location
{
  uint64_t tx_id; /* of the caller */
  uint64_t link;
  uint64_t tx; /* of the instance */
  UT_hash_handle hh;
};

/* Caller's transaction that an instance transaction executes.  */
struct link_tx
{
  uint64_t tx;    /* of the instance */
  uint64_t tx_id; /* of the caller */
  char writes[TX_STATEMENTS][NAME_BYTES];
  size_t write_count;
  UT_hash_handle hh;
};

/* A commit that was acknowledged to its caller.  */
struct acknowledged
{
  struct position position;
  clk_ms at_ms;
  uint64_t session;
  bool rolled_back;
};

/* A commit on an instance, by the id of the statement that caused it.  */
struct pending_commit
{
  char id[NAME_BYTES];
  struct position position;
  bool rolled_back;
  bool outdated; /* on a primary that had been replaced */
  UT_hash_handle hh;
};

struct prepared_text
{
  char name[TEXT_BYTES];
  char shape[TEXT_BYTES];
  bool writes;
};

struct fleet_caller
{
  struct fleet_host *host;
  uint64_t incarnation; /* of the host, when the session was opened */
  struct caller *caller;
  uint64_t session;
  char database[NAME_BYTES];
  char key[NAME_BYTES]; /* "": none */
  uint64_t version;     /* of the configuration when it sent the last statement
                           and when it began the transaction */
  uint64_t tx_version;
  struct values values;
  size_t prepared_count;
  struct prepared_text prepared[8];
  bool waits;
  enum stmt_kind kind;
  char name[TEXT_BYTES];
  char rest[TEXT_BYTES];
  char id[NAME_BYTES];
  enum code code;
  enum tx_state state;
  clk_ms sent_ms;
  clk_ms took_ms;
  char server[NAME_BYTES];
  uint64_t tx_id;
  clk_ms tx_since_ms;
  size_t tx_write_count;
  char tx_writes[TX_STATEMENTS][NAME_BYTES];
  struct fleet_caller *prev;
  struct fleet_caller *next;
};

struct fleet_oracle
{
  struct fleet *fleet;
  struct statement_record *records;
  struct tx_location *locations;
  struct link_tx *links;
  struct pending_commit *commits;
  size_t ack_count;
  struct acknowledged acks[FLEET_MAX_ACKS];
  uint64_t next_session;
  uint64_t next_tx_id;
  struct fleet_caller *callers;
};

static struct statement_record *
find_record (struct fleet_oracle *oracle, const char *id)
{
  struct statement_record *record;
  HASH_FIND_STR (oracle->records, id, record);
  return record;
}

/* Checks that POSITION, on which a read ran, contains every acknowledged
   commit that the read must see.  */
static void
check_fresh (struct fleet *fleet, const struct statement_record *record,
             struct position position)
{
  const struct fleet_oracle *oracle = fleet->oracle;
  const struct fleet_caller *caller = record->caller;
  bool bounded = strcmp (caller->database, FLEET_DATABASE_PRIMARY) != 0;
  bool session = strcmp (caller->database, FLEET_DATABASE_SESSION) == 0;
  clk_ms limit_ms = record->since_ms - (bounded ? FLEET_STALENESS_MS : 0);
  for (size_t i = 0; i < oracle->ack_count; i++)
    {
      const struct acknowledged *ack = &oracle->acks[i];
      bool required = ack->at_ms < limit_ms
                      || (session && ack->session == caller->session
                          && ack->at_ms < record->since_ms);
      bool contained = position.term >= ack->position.term
                       && position.lsn >= ack->position.lsn;
      if (required && !ack->rolled_back && !contained)
        fleet_report_violation (fleet,
                                "STALE: %s ran on %llu.%llu without %llu.%llu",
                                record->id, (unsigned long long)position.term,
                                (unsigned long long)position.lsn,
                                (unsigned long long)ack->position.term,
                                (unsigned long long)ack->position.lsn);
    }
}

/* Checks that a caller's transaction runs in exactly one transaction of an
   instance, and that no other statement runs in it.  */
static void
check_location (struct fleet *fleet, const struct statement_record *record,
                const struct fleet_execution *execution)
{
  struct fleet_oracle *oracle = fleet->oracle;
  struct tx_location *location;
  struct link_tx *link;
  HASH_FIND (hh, oracle->links, &execution->tx, sizeof execution->tx, link);
  if (!record->in_tx)
    {
      if (link != NULL)
        fleet_report_violation (
            fleet, "PINNED: %s ran inside another transaction", execution->id);
      return;
    }
  if (execution->tx == 0)
    {
      fleet_report_violation (fleet, "PINNED: %s ran outside its transaction",
                              execution->id);
      return;
    }
  HASH_FIND (hh, oracle->locations, &record->tx_id, sizeof record->tx_id,
             location);
  if (location == NULL)
    {
      location = mem_zalloc (sizeof *location);
      location->tx_id = record->tx_id;
      location->link = execution->link;
      location->tx = execution->tx;
      HASH_ADD (hh, oracle->locations, tx_id, sizeof location->tx_id,
                location);
    }
  if (location->tx != execution->tx || location->link != execution->link)
    fleet_report_violation (fleet, "PINNED: %s ran on another connection",
                            execution->id);
  if (link == NULL)
    {
      link = mem_zalloc (sizeof *link);
      link->tx = execution->tx;
      link->tx_id = record->tx_id;
      HASH_ADD (hh, oracle->links, tx, sizeof link->tx, link);
    }
  if (link->tx_id != record->tx_id)
    fleet_report_violation (fleet, "PINNED: %s shares a transaction",
                            execution->id);
  if (record->writes && link->write_count < TX_STATEMENTS)
    memcpy (link->writes[link->write_count++], record->id, NAME_BYTES);
}

/* Checks that a connection opened with USER may run the statement: it belongs
   to the workspace that the caller's key had when the statement's transaction
   began, or since.  The key must not have been withdrawn before the statement
   was sent.  */
static void
check_workspace (struct fleet *fleet, const struct statement_record *record,
                 const char *user)
{
  bool host
      = strncmp (user, FLEET_HOST_PREFIX, strlen (FLEET_HOST_PREFIX)) == 0;
  if (fleet->workspace_count == 0)
    {
      if (!host)
        fleet_report_violation (fleet, "MIXED: %s ran as %s", record->id,
                                user);
      return;
    }
  if (!record->is_public
      && !fleet_key_was_held (fleet, record->key, record->version, NULL))
    fleet_report_violation (fleet, "NOAUTH: %s ran with the key %s, withdrawn",
                            record->id, record->key);
  if ((host && !record->is_public)
      || !fleet_key_was_held (fleet, record->key, record->since_version,
                              host ? "" : user))
    fleet_report_violation (fleet,
                            "MIXED: %s ran as %s, not of the workspace of %s",
                            record->id, user, record->key);
}

void
oracle_executed (struct fleet *fleet, const struct fleet_execution *execution,
                 bool writes)
{
  struct statement_record *record = find_record (fleet->oracle, execution->id);
  if (record == NULL)
    {
      fleet_report_violation (fleet, "UNASKED: %s ran", execution->id);
      return;
    }
  record->runs++;
  if (strcmp (record->text, execution->text) != 0)
    fleet_report_violation (fleet, "UNASKED: %s ran as \"%s\", not \"%s\"",
                            execution->id, execution->text, record->text);
  if (strcmp (record->values, execution->values) != 0)
    fleet_report_violation (fleet, "PINNED: %s ran with values %s, not %s",
                            execution->id, execution->values, record->values);
  if (writes != record->writes)
    fleet_report_violation (fleet, "UNASKED: %s ran as another kind",
                            execution->id);
  check_location (fleet, record, execution);
  check_workspace (fleet, record, execution->user);
  if (!writes && record->caller != NULL)
    check_fresh (fleet, record, execution->position);
}

static void
record_commit (struct fleet *fleet, const char *id, struct position position)
{
  struct fleet_oracle *oracle = fleet->oracle;
  struct pending_commit *commit = mem_zalloc (sizeof *commit);
  snprintf (commit->id, NAME_BYTES, "%s", id);
  commit->position = position;
  commit->outdated = position.term < fleet->lead_term;
  HASH_ADD_STR (oracle->commits, id, commit);
}

static void
count_commit (struct fleet *fleet, const char *id)
{
  struct statement_record *record = find_record (fleet->oracle, id);
  if (record != NULL && ++record->commits > 1)
    fleet_report_violation (fleet, "TWICE: %s took effect twice", id);
}

void
oracle_single_write (struct fleet *fleet, const char *id,
                     struct position position)
{
  count_commit (fleet, id);
  record_commit (fleet, id, position);
}

void
oracle_committed (struct fleet *fleet, const char *user, uint64_t tx,
                  const char *commit_id, struct position position)
{
  struct fleet_oracle *oracle = fleet->oracle;
  struct statement_record *record = find_record (oracle, commit_id);
  struct link_tx *link;
  HASH_FIND (hh, oracle->links, &tx, sizeof tx, link);
  if (record == NULL || link == NULL || record->tx_id != link->tx_id)
    {
      fleet_report_violation (fleet, "UNASKED: a transaction was committed");
      return;
    }
  check_workspace (fleet, record, user);
  for (size_t i = 0; i < link->write_count; i++)
    count_commit (fleet, link->writes[i]);
  record->commits++;
  record_commit (fleet, commit_id, position);
}

/* Reports that an acknowledged commit at POSITION is discarded, where commits
   wait for another instance.  */
static void
check_kept (struct fleet *fleet, struct position position)
{
  if (fleet->sync_replicas > 0)
    fleet_report_violation (fleet,
                            "LOST: the instance that was promoted lacks "
                            "%llu.%llu, which was acknowledged",
                            (unsigned long long)position.term,
                            (unsigned long long)position.lsn);
}

void
oracle_rolled_back (struct fleet *fleet, struct position beyond,
                    uint64_t new_term)
{
  struct fleet_oracle *oracle = fleet->oracle;
  struct pending_commit *commit, *next;
  (void)new_term;
  for (size_t i = 0; i < oracle->ack_count; i++)
    if (oracle->acks[i].position.lsn > beyond.lsn)
      {
        if (!oracle->acks[i].rolled_back)
          check_kept (fleet, oracle->acks[i].position);
        oracle->acks[i].rolled_back = true;
      }
  HASH_ITER (hh, oracle->commits, commit, next)
  if (commit->position.lsn > beyond.lsn)
    commit->rolled_back = true;
}

/* Returns whether an answer with CODE guarantees that the statement was not
   committed.  */
static bool
excludes_effect (enum code code)
{
  return code == CODE_BUSY || code == CODE_ABORTED || code == CODE_LAGGING
         || code == CODE_READONLY || code == CODE_MISROUTED
         || code == CODE_TOOMANY || code == CODE_NOAUTH;
}

static void
check_not_committed (struct fleet *fleet, const char *id)
{
  const struct statement_record *record = find_record (fleet->oracle, id);
  if (record != NULL && record->commits > 0)
    fleet_report_violation (fleet, "REFUSED: %s was committed", id);
}

/* Checks after a refusal that neither the statement nor an earlier write of
   its transaction was committed.  */
static void
check_no_effect (struct fleet_caller *caller)
{
  struct fleet *fleet = caller->host->fleet;
  check_not_committed (fleet, caller->id);
  for (size_t i = 0; i < caller->tx_write_count; i++)
    check_not_committed (fleet, caller->tx_writes[i]);
}

static void
record_acknowledged (struct fleet_caller *caller)
{
  struct fleet_oracle *oracle = caller->host->fleet->oracle;
  struct pending_commit *commit;
  HASH_FIND_STR (oracle->commits, caller->id, commit);
  if (commit == NULL || oracle->ack_count == FLEET_MAX_ACKS)
    return;
  if (commit->outdated)
    fleet_report_violation (caller->host->fleet,
                            "ONE: %s was acknowledged, though %llu.%llu was "
                            "committed on a replaced primary",
                            caller->id,
                            (unsigned long long)commit->position.term,
                            (unsigned long long)commit->position.lsn);
  if (commit->rolled_back)
    check_kept (caller->host->fleet, commit->position);
  oracle->acks[oracle->ack_count++] = (struct acknowledged){
    .position = commit->position,
    .at_ms = fleet_now (caller->host->fleet),
    .session = caller->session,
    .rolled_back = commit->rolled_back,
  };
}

static bool
runs_on_instance (enum stmt_kind kind)
{
  return kind == STMT_READ || kind == STMT_WRITE || kind == STMT_EXECUTE
         || kind == STMT_COMMIT;
}

static const struct prepared_text *
find_prepared (const struct fleet_caller *caller, const char *name)
{
  for (size_t i = 0; i < caller->prepared_count; i++)
    if (strcmp (caller->prepared[i].name, name) == 0)
      return &caller->prepared[i];
  return NULL;
}

static void
record_prepared (struct fleet_caller *caller, const char *name,
                 const char *shape, bool writes)
{
  struct prepared_text *row
      = (struct prepared_text *)find_prepared (caller, name);
  if (row == NULL)
    row = &caller->prepared[caller->prepared_count++ % 8];
  snprintf (row->name, TEXT_BYTES, "%s", name);
  snprintf (row->shape, TEXT_BYTES, "%s", shape);
  row->writes = writes;
}

static void
handle_success (struct fleet_caller *caller, const struct answer *answer)
{
  struct fleet *fleet = caller->host->fleet;
  char expected[3 * NAME_BYTES];
  if (caller->kind == STMT_SET)
    values_set (&caller->values, caller->name, caller->rest);
  if (caller->kind == STMT_PREPARE_READ || caller->kind == STMT_PREPARE_WRITE)
    record_prepared (caller, caller->name, caller->rest,
                     caller->kind == STMT_PREPARE_WRITE);
  if (!runs_on_instance (caller->kind))
    return;
  const char *signature
      = answer->body != NULL ? strstr (answer->body, "COMPLETE ") : NULL;
  if (signature == NULL)
    {
      fleet_report_violation (fleet, "MIXED: %s succeeded without a signature",
                              caller->id);
      return;
    }
  snprintf (caller->server, NAME_BYTES, "%.3s", signature + 9);
  snprintf (expected, sizeof expected, "%s.%s.", caller->server, caller->id);
  if (strncmp (signature + 9, expected, strlen (expected)) != 0)
    fleet_report_violation (fleet, "MIXED: %s has the answer %s", caller->id,
                            signature);
  record_acknowledged (caller);
}

/* Returns the version of the configuration that HOST has.  */
static uint64_t
version_of (const struct fleet_host *host)
{
  return catalog_config (host->catalog)->version;
}

static bool
is_public (const char *database)
{
  return strcmp (database, FLEET_DATABASE_BOUNDED) == 0;
}

/* Checks the result CODE of a session or statement, for which the host had the
   configuration VERSION.  */
static void
check_authorized (struct fleet *fleet, const struct fleet_caller *caller,
                  uint64_t version, enum code code)
{
  bool accepted = fleet->workspace_count == 0 || is_public (caller->database)
                  || fleet_key_is_held_at (fleet, caller->key, version);
  if (accepted && code == CODE_NOAUTH)
    fleet_report_violation (
        fleet, "NOAUTH: the key \"%s\" was refused at version %llu",
        caller->key, (unsigned long long)version);
  if (!accepted && code == CODE_OK)
    fleet_report_violation (
        fleet, "NOAUTH: the key \"%s\" was accepted at version %llu",
        caller->key, (unsigned long long)version);
}

static void
on_answer (void *arg, const struct answer *answer)
{
  struct fleet_caller *caller = arg;
  struct fleet *fleet = caller->host->fleet;
  if (!caller->waits)
    fleet_report_violation (fleet, "unexpected answer after %s", caller->id);
  caller->waits = false;
  caller->code = answer->code;
  caller->state = answer->state;
  caller->took_ms = fleet_now (fleet) - caller->sent_ms;
  if (answer->code == CODE_OK)
    handle_success (caller, answer);
  else if (excludes_effect (answer->code))
    check_no_effect (caller);
  if (runs_on_instance (caller->kind) || answer->code == CODE_NOAUTH)
    check_authorized (fleet, caller, caller->version, answer->code);
  if (answer->code == CODE_LOST)
    fleet_report_violation (fleet, "%s was answered with an internal code",
                            caller->id);
}

struct fleet_caller *
fleet_caller_open_as (struct fleet_host *host, const char *database,
                      const char *key)
{
  struct fleet *fleet = host->fleet;
  struct fleet_caller *caller = mem_zalloc (sizeof *caller);
  struct caller_sink sink = { .answer = on_answer, .arg = caller };
  caller->host = host;
  caller->incarnation = host->incarnation;
  snprintf (caller->database, NAME_BYTES, "%s", database);
  snprintf (caller->key, NAME_BYTES, "%s", key != NULL ? key : "");
  fleet->open_code
      = caller_open (host->callers, database, key, &sink, &caller->caller);
  check_authorized (fleet, caller, version_of (host), fleet->open_code);
  if (fleet->open_code != CODE_OK)
    {
      free (caller);
      return NULL;
    }
  caller->session = ++fleet->oracle->next_session;
  DL_APPEND (fleet->oracle->callers, caller);
  return caller;
}

struct fleet_caller *
fleet_caller_open (struct fleet_host *host, const char *database)
{
  struct fleet_caller *caller = fleet_caller_open_as (host, database, NULL);
  if (caller == NULL)
    fleet_report_violation (host->fleet, "no session on %s", host->name);
  return caller;
}

void
fleet_caller_close (struct fleet_caller *caller)
{
  struct fleet_oracle *oracle = caller->host->fleet->oracle;
  struct statement_record *record, *next;
  /* The session of a killed host is already closed.  */
  if (caller->host->running
      && caller->host->incarnation == caller->incarnation)
    caller_close (caller->caller);
  HASH_ITER (hh, oracle->records, record, next)
  if (record->caller == caller)
    record->caller = NULL;
  DL_DELETE (oracle->callers, caller);
  values_clear (&caller->values);
  free (caller);
}

static struct statement_record *
add_record (struct fleet_caller *caller, enum stmt_kind kind, const char *text,
            const char *name, const char *rest)
{
  struct fleet *fleet = caller->host->fleet;
  const struct prepared_text *prepared
      = kind == STMT_EXECUTE ? find_prepared (caller, name) : NULL;
  struct statement_record *record = mem_zalloc (sizeof *record);
  size_t used = 0;
  memcpy (record->id, caller->id, NAME_BYTES);
  record->caller = caller;
  if (prepared != NULL)
    snprintf (record->text, TEXT_BYTES, "%.120s(%.120s)", prepared->shape,
              rest);
  else
    snprintf (record->text, TEXT_BYTES, "%s", text);
  for (size_t i = 0; i < caller->values.count; i++)
    used += (size_t)snprintf (record->values + used, VALUES_BYTES - used,
                              "%s=%s;", caller->values.items[i].name,
                              caller->values.items[i].text);
  record->writes
      = kind == STMT_WRITE || (prepared != NULL && prepared->writes);
  record->in_tx = caller->state != TX_IDLE;
  memcpy (record->key, caller->key, NAME_BYTES);
  record->is_public = is_public (caller->database);
  record->version = caller->version;
  record->since_version = record->in_tx ? caller->tx_version : caller->version;
  record->tx_id = caller->tx_id;
  record->since_ms = record->in_tx ? caller->tx_since_ms : fleet_now (fleet);
  HASH_ADD_STR (fleet->oracle->records, id, record);
  return record;
}

void
fleet_caller_send (struct fleet_caller *caller, enum stmt_kind kind,
                   const char *name, const char *rest)
{
  struct fleet *fleet = caller->host->fleet;
  char text[TEXT_BYTES];
  struct statement statement
      = { .kind = kind, .id = caller->id, .name = name, .rest = rest };
  snprintf (caller->id, NAME_BYTES, "q%llu",
            (unsigned long long)++fleet->next_id);
  if (kind == STMT_EXECUTE)
    snprintf (text, sizeof text, "EXECUTE %s %s", name, rest);
  else
    snprintf (text, sizeof text, "%s %s",
              kind == STMT_WRITE ? "WRITE" : "READ", name != NULL ? name : "");
  if (kind == STMT_READ || kind == STMT_WRITE || kind == STMT_EXECUTE)
    statement.text = text;
  if (kind == STMT_COMMIT)
    statement.text = "COMMIT";
  caller->kind = kind;
  caller->waits = true;
  caller->sent_ms = fleet_now (fleet);
  caller->version = version_of (caller->host);
  caller->server[0] = '\0';
  if (kind == STMT_BEGIN || kind == STMT_BEGIN_READ)
    {
      caller->tx_id = ++fleet->oracle->next_tx_id;
      caller->tx_since_ms = caller->sent_ms;
      caller->tx_version = caller->version;
      caller->tx_write_count = 0;
    }
  else if (caller->state == TX_IDLE)
    caller->tx_write_count = 0;
  if (runs_on_instance (kind))
    {
      struct statement_record *record
          = add_record (caller, kind, text, name, rest);
      if (record->writes && record->in_tx
          && caller->tx_write_count < TX_STATEMENTS)
        memcpy (caller->tx_writes[caller->tx_write_count++], caller->id,
                NAME_BYTES);
    }
  snprintf (caller->name, TEXT_BYTES, "%s", name != NULL ? name : "");
  snprintf (caller->rest, TEXT_BYTES, "%s", rest != NULL ? rest : "");
  caller_submit (caller->caller, &statement);
}

bool
fleet_caller_waits (const struct fleet_caller *caller)
{
  return caller->waits;
}

enum code
fleet_caller_code (const struct fleet_caller *caller)
{
  return caller->code;
}

enum tx_state
fleet_caller_state (const struct fleet_caller *caller)
{
  return caller->state;
}

clk_ms
fleet_caller_took_ms (const struct fleet_caller *caller)
{
  return caller->took_ms;
}

const char *
fleet_caller_server (const struct fleet_caller *caller)
{
  return caller->server;
}

struct fleet_oracle *
fleet_oracle_new (struct fleet *fleet)
{
  struct fleet_oracle *oracle = mem_zalloc (sizeof *oracle);
  oracle->fleet = fleet;
  return oracle;
}

void
fleet_oracle_free (struct fleet_oracle *oracle)
{
  struct statement_record *record, *next_record;
  struct tx_location *location, *next_location;
  struct link_tx *link, *next_link;
  struct pending_commit *commit, *next_commit;
  while (oracle->callers != NULL)
    fleet_caller_close (oracle->callers);
  HASH_ITER (hh, oracle->records, record, next_record)
  {
    HASH_DEL (oracle->records, record);
    free (record);
  }
  HASH_ITER (hh, oracle->locations, location, next_location)
  {
    HASH_DEL (oracle->locations, location);
    free (location);
  }
  HASH_ITER (hh, oracle->links, link, next_link)
  {
    HASH_DEL (oracle->links, link);
    free (link);
  }
  HASH_ITER (hh, oracle->commits, commit, next_commit)
  {
    HASH_DEL (oracle->commits, commit);
    free (commit);
  }
  free (oracle);
}
