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
#define TX_STATEMENTS 64

/* One statement, from the caller's sending to its answer.  */
struct asked
{
  char id[NAME_BYTES];
  struct fleet_caller *caller; /* NULL once the caller has gone */
  char text[TEXT_BYTES];       /* as an instance must run it */
  char values[VALUES_BYTES];   /* acknowledged when it was sent */
  bool in_tx;
  bool writes;
  uint64_t tx_id;  /* the caller's transaction */
  clk_ms since_ms; /* of the transaction's BEGIN, or of the statement */
  size_t runs;
  size_t commits;
  UT_hash_handle hh;
};

/* Where a caller's transaction runs.  */
struct tx_place
{
  uint64_t tx_id;
  uint64_t link;
  uint64_t tx;
  UT_hash_handle hh;
};

/* Whose transaction is open on a link.  */
struct link_tx
{
  uint64_t tx;
  uint64_t tx_id;
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

struct pending_commit
{
  char id[NAME_BYTES];
  struct position position;
  bool rolled_back;
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
  uint64_t life; /* of the host when the session began */
  struct caller *caller;
  uint64_t session;
  char database[NAME_BYTES];
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
  struct asked *asked;
  struct tx_place *places;
  struct link_tx *links;
  struct pending_commit *commits;
  size_t ack_count;
  struct acknowledged acks[FLEET_LOG];
  uint64_t next_session;
  uint64_t next_tx_id;
  struct fleet_caller *callers;
};

static struct asked *
find_asked (struct fleet_oracle *oracle, const char *id)
{
  struct asked *asked;
  HASH_FIND_STR (oracle->asked, id, asked);
  return asked;
}

/* Commits acknowledged before SINCE_MS that a read on POSITION lacks.  */
static void
check_fresh (struct fleet *fleet, const struct asked *asked,
             struct position position)
{
  const struct fleet_oracle *oracle = fleet->oracle;
  const struct fleet_caller *caller = asked->caller;
  bool bounded = strcmp (caller->database, FLEET_DATABASE_PRIMARY) != 0;
  bool session = strcmp (caller->database, FLEET_DATABASE_SESSION) == 0;
  clk_ms limit_ms = asked->since_ms - (bounded ? FLEET_STALENESS_MS : 0);
  for (size_t i = 0; i < oracle->ack_count; i++)
    {
      const struct acknowledged *ack = &oracle->acks[i];
      bool must = ack->at_ms < limit_ms
                  || (session && ack->session == caller->session
                      && ack->at_ms < asked->since_ms);
      if (must && !ack->rolled_back && position.lsn < ack->position.lsn)
        fleet_break (fleet, "STALE: %s ran on %llu.%llu without %llu.%llu",
                     asked->id, (unsigned long long)position.term,
                     (unsigned long long)position.lsn,
                     (unsigned long long)ack->position.term,
                     (unsigned long long)ack->position.lsn);
    }
}

/* The transaction of the instance must be that of one caller only.  */
static void
check_place (struct fleet *fleet, const struct asked *asked,
             const struct fleet_run_note *note)
{
  struct fleet_oracle *oracle = fleet->oracle;
  struct tx_place *place;
  struct link_tx *link;
  HASH_FIND (hh, oracle->links, &note->tx, sizeof note->tx, link);
  if (!asked->in_tx)
    {
      if (link != NULL)
        fleet_break (fleet, "PINNED: %s ran inside another transaction",
                     note->id);
      return;
    }
  if (note->tx == 0)
    {
      fleet_break (fleet, "PINNED: %s ran outside its transaction", note->id);
      return;
    }
  HASH_FIND (hh, oracle->places, &asked->tx_id, sizeof asked->tx_id, place);
  if (place == NULL)
    {
      place = mem_zalloc (sizeof *place);
      place->tx_id = asked->tx_id;
      place->link = note->link;
      place->tx = note->tx;
      HASH_ADD (hh, oracle->places, tx_id, sizeof place->tx_id, place);
    }
  if (place->tx != note->tx || place->link != note->link)
    fleet_break (fleet, "PINNED: %s ran on another connection", note->id);
  if (link == NULL)
    {
      link = mem_zalloc (sizeof *link);
      link->tx = note->tx;
      link->tx_id = asked->tx_id;
      HASH_ADD (hh, oracle->links, tx, sizeof link->tx, link);
    }
  if (link->tx_id != asked->tx_id)
    fleet_break (fleet, "PINNED: %s shares a transaction", note->id);
  if (asked->writes && link->write_count < TX_STATEMENTS)
    memcpy (link->writes[link->write_count++], asked->id, NAME_BYTES);
}

void
oracle_ran (struct fleet *fleet, const struct fleet_run_note *note,
            bool writes)
{
  struct asked *asked = find_asked (fleet->oracle, note->id);
  if (asked == NULL)
    {
      fleet_break (fleet, "UNASKED: %s ran", note->id);
      return;
    }
  asked->runs++;
  if (strcmp (asked->text, note->text) != 0)
    fleet_break (fleet, "UNASKED: %s ran as \"%s\", not \"%s\"", note->id,
                 note->text, asked->text);
  if (strcmp (asked->values, note->values) != 0)
    fleet_break (fleet, "PINNED: %s ran with values %s, not %s", note->id,
                 note->values, asked->values);
  if (writes != asked->writes)
    fleet_break (fleet, "UNASKED: %s ran as another kind", note->id);
  check_place (fleet, asked, note);
  if (!writes && asked->caller != NULL)
    check_fresh (fleet, asked, note->position);
}

static void
note_commit (struct fleet *fleet, const char *id, struct position position)
{
  struct fleet_oracle *oracle = fleet->oracle;
  struct pending_commit *commit = mem_zalloc (sizeof *commit);
  snprintf (commit->id, NAME_BYTES, "%s", id);
  commit->position = position;
  HASH_ADD_STR (oracle->commits, id, commit);
}

static void
take_effect (struct fleet *fleet, const char *id)
{
  struct asked *asked = find_asked (fleet->oracle, id);
  if (asked != NULL && ++asked->commits > 1)
    fleet_break (fleet, "TWICE: %s took effect twice", id);
}

void
oracle_single_write (struct fleet *fleet, const char *id,
                     struct position position)
{
  take_effect (fleet, id);
  note_commit (fleet, id, position);
}

void
oracle_committed (struct fleet *fleet, uint64_t link_serial, uint64_t tx,
                  const char *commit_id, struct position position)
{
  struct fleet_oracle *oracle = fleet->oracle;
  struct asked *asked = find_asked (oracle, commit_id);
  struct link_tx *link;
  (void)link_serial;
  HASH_FIND (hh, oracle->links, &tx, sizeof tx, link);
  if (asked == NULL || link == NULL || asked->tx_id != link->tx_id)
    {
      fleet_break (fleet, "UNASKED: a transaction was committed");
      return;
    }
  for (size_t i = 0; i < link->write_count; i++)
    take_effect (fleet, link->writes[i]);
  asked->commits++;
  note_commit (fleet, commit_id, position);
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
      oracle->acks[i].rolled_back = true;
  HASH_ITER (hh, oracle->commits, commit, next)
  if (commit->position.lsn > beyond.lsn)
    commit->rolled_back = true;
}

static bool
is_promise (enum code code)
{
  return code == CODE_BUSY || code == CODE_ABORTED || code == CODE_LAGGING
         || code == CODE_READONLY || code == CODE_MISROUTED
         || code == CODE_TOOMANY;
}

static void
check_promise (struct fleet *fleet, const char *id)
{
  const struct asked *asked = find_asked (fleet->oracle, id);
  if (asked != NULL && asked->commits > 0)
    fleet_break (fleet, "REFUSED: %s was committed", id);
}

/* Checks a promise: neither the statement nor an earlier write of its
   transaction is kept.  */
static void
check_promises (struct fleet_caller *caller)
{
  struct fleet *fleet = caller->host->fleet;
  check_promise (fleet, caller->id);
  for (size_t i = 0; i < caller->tx_write_count; i++)
    check_promise (fleet, caller->tx_writes[i]);
}

static void
note_acknowledged (struct fleet_caller *caller)
{
  struct fleet_oracle *oracle = caller->host->fleet->oracle;
  struct pending_commit *commit;
  HASH_FIND_STR (oracle->commits, caller->id, commit);
  if (commit == NULL || oracle->ack_count == FLEET_LOG)
    return;
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
remember_prepared (struct fleet_caller *caller, const char *name,
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
take_success (struct fleet_caller *caller, const struct answer *answer)
{
  struct fleet *fleet = caller->host->fleet;
  char expected[3 * NAME_BYTES];
  if (caller->kind == STMT_SET)
    values_set (&caller->values, caller->name, caller->rest);
  if (caller->kind == STMT_PREPARE_READ || caller->kind == STMT_PREPARE_WRITE)
    remember_prepared (caller, caller->name, caller->rest,
                       caller->kind == STMT_PREPARE_WRITE);
  if (!runs_on_instance (caller->kind))
    return;
  const char *signature
      = answer->body != NULL ? strstr (answer->body, "COMPLETE ") : NULL;
  if (signature == NULL)
    {
      fleet_break (fleet, "MIXED: %s succeeded without a signature",
                   caller->id);
      return;
    }
  snprintf (caller->server, NAME_BYTES, "%.3s", signature + 9);
  snprintf (expected, sizeof expected, "%s.%s\r\n", caller->server,
            caller->id);
  if (strcmp (signature + 9, expected) != 0)
    fleet_break (fleet, "MIXED: %s has the answer %s", caller->id, signature);
  note_acknowledged (caller);
}

static void
on_answer (void *arg, const struct answer *answer)
{
  struct fleet_caller *caller = arg;
  struct fleet *fleet = caller->host->fleet;
  if (!caller->waits)
    fleet_break (fleet, "an answer to nothing, after %s", caller->id);
  caller->waits = false;
  caller->code = answer->code;
  caller->state = answer->state;
  caller->took_ms = fleet_now (fleet) - caller->sent_ms;
  if (answer->code == CODE_OK)
    take_success (caller, answer);
  else if (is_promise (answer->code))
    check_promises (caller);
  if (answer->code == CODE_LOST)
    fleet_break (fleet, "%s got an internal code", caller->id);
}

struct fleet_caller *
fleet_caller_open (struct fleet_host *host, const char *database)
{
  struct fleet_oracle *oracle = host->fleet->oracle;
  struct fleet_caller *caller = mem_zalloc (sizeof *caller);
  struct caller_sink sink = { .answer = on_answer, .arg = caller };
  caller->host = host;
  caller->life = host->life;
  caller->session = ++oracle->next_session;
  snprintf (caller->database, NAME_BYTES, "%s", database);
  caller->caller = caller_open (host->callers, database, &sink);
  DL_APPEND (oracle->callers, caller);
  return caller;
}

void
fleet_caller_close (struct fleet_caller *caller)
{
  struct fleet_oracle *oracle = caller->host->fleet->oracle;
  struct asked *asked, *next;
  /* A host that was killed has closed the session itself.  */
  if (caller->host->running && caller->host->life == caller->life)
    caller_close (caller->caller);
  HASH_ITER (hh, oracle->asked, asked, next)
  if (asked->caller == caller)
    asked->caller = NULL;
  DL_DELETE (oracle->callers, caller);
  values_clear (&caller->values);
  free (caller);
}

static struct asked *
note_asked (struct fleet_caller *caller, enum stmt_kind kind, const char *text,
            const char *name, const char *rest)
{
  struct fleet *fleet = caller->host->fleet;
  const struct prepared_text *prepared
      = kind == STMT_EXECUTE ? find_prepared (caller, name) : NULL;
  struct asked *asked = mem_zalloc (sizeof *asked);
  size_t used = 0;
  memcpy (asked->id, caller->id, NAME_BYTES);
  asked->caller = caller;
  if (prepared != NULL)
    snprintf (asked->text, TEXT_BYTES, "%.120s(%.120s)", prepared->shape,
              rest);
  else
    snprintf (asked->text, TEXT_BYTES, "%s", text);
  for (size_t i = 0; i < caller->values.count; i++)
    used += (size_t)snprintf (asked->values + used, VALUES_BYTES - used,
                              "%s=%s;", caller->values.items[i].name,
                              caller->values.items[i].text);
  asked->writes = kind == STMT_WRITE || (prepared != NULL && prepared->writes);
  asked->in_tx = caller->state != TX_IDLE;
  asked->tx_id = caller->tx_id;
  asked->since_ms = asked->in_tx ? caller->tx_since_ms : fleet_now (fleet);
  HASH_ADD_STR (fleet->oracle->asked, id, asked);
  return asked;
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
  snprintf (text, sizeof text, "%s %s", kind == STMT_WRITE ? "WRITE" : "READ",
            name != NULL ? name : "");
  if (kind == STMT_READ || kind == STMT_WRITE)
    statement.text = text;
  if (kind == STMT_COMMIT)
    statement.text = "COMMIT";
  caller->kind = kind;
  caller->waits = true;
  caller->sent_ms = fleet_now (fleet);
  caller->server[0] = '\0';
  if (kind == STMT_BEGIN || kind == STMT_BEGIN_READ)
    {
      caller->tx_id = ++fleet->oracle->next_tx_id;
      caller->tx_since_ms = caller->sent_ms;
      caller->tx_write_count = 0;
    }
  else if (caller->state == TX_IDLE)
    caller->tx_write_count = 0;
  if (runs_on_instance (kind))
    {
      struct asked *asked = note_asked (caller, kind, text, name, rest);
      if (asked->writes && asked->in_tx
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
  struct asked *asked, *next_asked;
  struct tx_place *place, *next_place;
  struct link_tx *link, *next_link;
  struct pending_commit *commit, *next_commit;
  while (oracle->callers != NULL)
    fleet_caller_close (oracle->callers);
  HASH_ITER (hh, oracle->asked, asked, next_asked)
  {
    HASH_DEL (oracle->asked, asked);
    free (asked);
  }
  HASH_ITER (hh, oracle->places, place, next_place)
  {
    HASH_DEL (oracle->places, place);
    free (place);
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
