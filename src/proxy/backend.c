#include "proxy/backend.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "kernel/mem.h"

/* Weight of the newest value in moving averages.  */
#define AVERAGE_WEIGHT 0.1

/* Statements of one connection without an answer; only set-up is sent in
   numbers.  */
#define OUTSTANDING_LIMIT 160

enum conn_phase
{
  CONN_OPENING,
  CONN_IDLE,
  CONN_OWNED,
  CONN_CLEANING /* without a user, until it may be idle */
};

struct expectation
{
  enum conn_step step;
  clk_ms sent_ms;
};

struct backend_conn
{
  struct backend *backend;
  struct instance_link *link;
  enum conn_phase phase;
  struct conn_user *user;
  enum tx_state state;
  uint64_t values_hash;
  size_t statement_count;
  char *statements[BACKEND_STATEMENTS];
  struct expectation expected[OUTSTANDING_LIMIT];
  uint32_t expected_head;
  uint32_t expected_count;
  clk_ms since_ms; /* of the phase */
  struct ktimer limit;
  struct backend_conn *prev;
  struct backend_conn *next;
};

struct backend
{
  struct backend_options options;
  struct instance_entry entry;
  struct backend_conn *conns;
  uint32_t conn_count;
  uint32_t opening;
  uint32_t share;
  struct conn_user *waiters;
  uint32_t waiting;
  struct position position;
  clk_ms heard_ms;
  clk_ms refused_since_ms; /* connections refused or unanswered */
  clk_ms probe_unanswered_ms;
  uint32_t failures;
  clk_ms retry_ms;
  struct ktimer tick;
  struct conn_user probe_user;
  struct backend_conn *probe_conn;
  clk_ms probe_ms;
  double typical_ms;
  double refusal_share;
  bool closing;
};

static void serve_waiters (struct backend *backend);

static clk_ms
now_ms (const struct backend *backend)
{
  return kernel_now (backend->options.kernel);
}

static struct log *
get_log (const struct backend *backend)
{
  return kernel_log (backend->options.kernel);
}

/* Connections that stay open without use.  */
static uint32_t
kept (const struct backend *backend)
{
  return (backend->share + 1) / 2;
}

static void
arm_tick (struct backend *backend, clk_ms due_ms)
{
  if (backend->tick.slot == 0 || backend->tick.due_ms > due_ms)
    kernel_timer_set (backend->options.kernel, &backend->tick, due_ms);
}

static void
set_phase (struct backend_conn *conn, enum conn_phase phase)
{
  conn->phase = phase;
  conn->since_ms = now_ms (conn->backend);
}

static void
forget_statements (struct backend_conn *conn)
{
  for (size_t i = 0; i < conn->statement_count; i++)
    free (conn->statements[i]);
  conn->statement_count = 0;
}

/* Forgets CONN, whose link is closed.  */
static void
conn_free (struct backend_conn *conn)
{
  struct backend *backend = conn->backend;
  kernel_timer_cancel (backend->options.kernel, &conn->limit);
  if (conn->phase == CONN_OPENING)
    backend->opening--;
  if (backend->probe_conn == conn)
    backend->probe_conn = NULL;
  DL_DELETE (backend->conns, conn);
  backend->conn_count--;
  forget_statements (conn);
  free (conn);
}

static void
conn_close (struct backend_conn *conn)
{
  struct backend *backend = conn->backend;
  backend->options.port->ops->close (backend->options.port, conn->link);
  conn_free (conn);
}

/* Sends those who wait for a connection elsewhere.  */
static void
fail_waiters (struct backend *backend)
{
  while (backend->waiters != NULL)
    {
      struct conn_user *user = backend->waiters;
      backend_cancel (user);
      user->ops->lost (user);
    }
}

/* Something was heard: the instance lives and reaches this host.  */
static void
note_heard (struct backend *backend)
{
  bool was_usable = backend_usable (backend);
  backend->heard_ms = now_ms (backend);
  backend->refused_since_ms = CLK_NEVER;
  backend->probe_unanswered_ms = CLK_NEVER;
  backend->failures = 0;
  if (was_usable)
    return;
  log_event (get_log (backend), LOG_NOTICE, "instance_back",
             LOG_S ("instance", backend->entry.id));
  backend->options.changed (backend->options.arg, backend);
}

static void
note_refused (struct backend *backend)
{
  bool was_usable = backend_usable (backend);
  clk_ms wait_ms = BACKEND_RETRY_FIRST_MS
                   << (backend->failures < 5 ? backend->failures : 5);
  if (wait_ms > BACKEND_RETRY_LAST_MS)
    wait_ms = BACKEND_RETRY_LAST_MS;
  backend->failures++;
  backend->retry_ms = now_ms (backend) + wait_ms;
  if (backend->refused_since_ms == CLK_NEVER)
    backend->refused_since_ms = now_ms (backend);
  arm_tick (backend, backend->retry_ms);
  if (!was_usable)
    return;
  log_event (get_log (backend), LOG_WARNING, "instance_unreachable",
             LOG_S ("instance", backend->entry.id),
             LOG_I ("heard_ms_ago", now_ms (backend) - backend->heard_ms));
  fail_waiters (backend);
  backend->options.changed (backend->options.arg, backend);
}

/* Makes CONN idle and passes it to who waits.  */
static void
conn_idle (struct backend_conn *conn)
{
  struct backend *backend = conn->backend;
  conn->user = NULL;
  kernel_timer_cancel (backend->options.kernel, &conn->limit);
  set_phase (conn, CONN_IDLE);
  if (backend->conn_count > kept (backend))
    arm_tick (backend, now_ms (backend) + BACKEND_SPARE_IDLE_MS);
  serve_waiters (backend);
}

static void
on_opened (void *arg, const struct answer *hello)
{
  struct backend_conn *conn = arg;
  struct backend *backend = conn->backend;
  backend->opening--;
  if (hello->has_position
      && position_compare (hello->position, backend->position) > 0)
    backend->position = hello->position;
  note_heard (backend);
  conn_idle (conn);
}

/* Whether CONN may serve another user.  */
static bool
conn_clean (const struct backend_conn *conn)
{
  return conn->expected_count == 0 && conn->state == TX_IDLE;
}

/* Makes CONN idle, or ends the transaction that is open on it.  */
static void
clean (struct backend_conn *conn)
{
  if (conn_clean (conn))
    conn_idle (conn);
  else if (conn->expected_count == 0)
    {
      conn_send (conn, STEP_END, &(struct statement){ .kind = STMT_ROLLBACK },
                 NULL);
      kernel_timer_set (conn->backend->options.kernel, &conn->limit,
                        now_ms (conn->backend) + BACKEND_CLEAN_MS);
    }
}

static void
on_answer (void *arg, const struct answer *answer)
{
  struct backend_conn *conn = arg;
  struct backend *backend = conn->backend;
  if (conn->expected_count == 0)
    {
      log_event (get_log (backend), LOG_WARNING, "answer_to_nothing",
                 LOG_S ("instance", backend->entry.id));
      struct conn_user *user = conn->user;
      conn_close (conn);
      if (user != NULL)
        user->ops->lost (user);
      return;
    }
  struct expectation expected = conn->expected[conn->expected_head];
  conn->expected_head = (conn->expected_head + 1) % OUTSTANDING_LIMIT;
  conn->expected_count--;
  conn->state = answer->state;
  if (answer->has_position)
    backend->position = answer->position;
  note_heard (backend);
  if (expected.step == STEP_BEGIN && answer->code == CODE_READONLY)
    backend->options.refuted (backend->options.arg, backend);
  if (expected.step == STEP_SETUP && answer->code != CODE_OK)
    {
      /* What holds on it is unknown: the next user resets it.  */
      conn->values_hash = UINT64_MAX;
      forget_statements (conn);
    }
  if (conn->user != NULL)
    conn->user->ops->answered (conn->user, conn, expected.step, answer);
  else if (conn->phase == CONN_CLEANING)
    clean (conn);
}

static void
on_closed (void *arg, enum code code)
{
  struct backend_conn *conn = arg;
  struct backend *backend = conn->backend;
  struct conn_user *user = conn->user;
  bool was_opening = conn->phase == CONN_OPENING;
  if (conn->phase != CONN_IDLE || code != CODE_LOST)
    log_event (get_log (backend), LOG_INFO, "connection_lost",
               LOG_S ("instance", backend->entry.id),
               LOG_S ("code", code_name (code)),
               LOG_U ("outstanding", conn->expected_count),
               LOG_S ("phase", was_opening ? "opening" : "open"));
  conn_free (conn);
  if (was_opening && code == CODE_TOOMANY)
    {
      /* The instance lives; others hold its connections.  */
      note_heard (backend);
      backend->failures++;
      backend->retry_ms = now_ms (backend) + BACKEND_TOOMANY_RETRY_MS;
      arm_tick (backend, backend->retry_ms);
    }
  else if (was_opening || code != CODE_LOST)
    note_refused (backend);
  else if (!backend->closing)
    arm_tick (backend, now_ms (backend));
  if (user != NULL)
    user->ops->lost (user);
}

static const struct instance_events events
    = { .opened = on_opened, .answer = on_answer, .closed = on_closed };

/* A connection could not be opened or cleaned in time.  */
static void
limit_reached (void *arg)
{
  struct backend_conn *conn = arg;
  struct backend *backend = conn->backend;
  bool was_opening = conn->phase == CONN_OPENING;
  conn_close (conn);
  if (was_opening)
    note_refused (backend);
  arm_tick (backend, now_ms (backend));
}

static void
open_conn (struct backend *backend)
{
  struct backend_conn *conn = mem_zalloc (sizeof *conn);
  struct instance_target target = { .address = backend->entry.address,
                                    .port = backend->entry.port,
                                    .group = backend->entry.group,
                                    .id = backend->entry.id };
  conn->backend = backend;
  conn->limit.fire = limit_reached;
  conn->limit.arg = conn;
  set_phase (conn, CONN_OPENING);
  DL_APPEND (backend->conns, conn);
  backend->conn_count++;
  backend->opening++;
  metrics_count (kernel_metrics (backend->options.kernel),
                 "connections_opened_total");
  kernel_timer_set (backend->options.kernel, &conn->limit,
                    now_ms (backend) + BACKEND_CONNECT_TIMEOUT_MS);
  conn->link = backend->options.port->ops->open (backend->options.port,
                                                 &target, &events, conn);
}

/* Opens connections for who waits, within the limit.  */
static void
open_wanted (struct backend *backend)
{
  uint32_t wanted = backend->waiting;
  if (backend->conn_count < BACKEND_WARM_CONNECTIONS && wanted == 0)
    wanted = 1;
  if (backend->closing)
    return;
  if (now_ms (backend) < backend->retry_ms)
    {
      if (backend->opening < wanted)
        arm_tick (backend, backend->retry_ms);
      return;
    }
  if (wanted > BACKEND_OPENING_LIMIT)
    wanted = BACKEND_OPENING_LIMIT;
  while (backend->opening < wanted && backend->conn_count < backend->share)
    open_conn (backend);
}

/* Returns the idle connection that needs the least set-up for HASH; the one
   used last among equals, so that the spare ones grow old.  */
static struct backend_conn *
best_idle (struct backend *backend, uint64_t hash)
{
  struct backend_conn *best = NULL, *conn;
  int best_rank = 0;
  DL_FOREACH (backend->conns, conn)
  {
    if (conn->phase != CONN_IDLE)
      continue;
    int rank = conn->values_hash == hash ? 3 : conn->values_hash == 0 ? 2 : 1;
    if (best == NULL || rank > best_rank
        || (rank == best_rank && conn->since_ms >= best->since_ms))
      {
        best = conn;
        best_rank = rank;
      }
  }
  return best;
}

static void
conn_own (struct backend_conn *conn, struct conn_user *user)
{
  set_phase (conn, CONN_OWNED);
  conn->user = user;
}

struct backend_conn *
backend_take (struct backend *backend, struct conn_user *user)
{
  struct backend_conn *conn = NULL;
  if (backend->waiters == NULL || backend->waiters->priority > user->priority)
    conn = best_idle (backend, user->values_hash);
  if (conn != NULL)
    {
      conn_own (conn, user);
      return conn;
    }
  user->waits_for = backend;
  struct conn_user *at = backend->waiters;
  while (at != NULL && at->priority <= user->priority)
    at = at->next;
  if (at == NULL)
    DL_APPEND (backend->waiters, user);
  else
    DL_PREPEND_ELEM (backend->waiters, at, user);
  backend->waiting++;
  open_wanted (backend);
  return NULL;
}

void
backend_cancel (struct conn_user *user)
{
  struct backend *backend = user->waits_for;
  if (backend == NULL)
    return;
  DL_DELETE (backend->waiters, user);
  backend->waiting--;
  user->waits_for = NULL;
}

static void
serve_waiters (struct backend *backend)
{
  while (backend->waiters != NULL)
    {
      struct conn_user *user = backend->waiters;
      struct backend_conn *conn = best_idle (backend, user->values_hash);
      if (conn == NULL)
        break;
      backend_cancel (user);
      conn_own (conn, user);
      user->ops->granted (user, conn);
    }
  if (backend->waiters != NULL)
    open_wanted (backend);
}

/* Closes idle connections above those that are kept.  */
static void
trim (struct backend *backend)
{
  struct backend_conn *conn, *next;
  DL_FOREACH_SAFE (backend->conns, conn, next)
  {
    if (backend->conn_count <= kept (backend))
      return;
    if (conn->phase == CONN_IDLE
        && now_ms (backend) - conn->since_ms >= BACKEND_SPARE_IDLE_MS)
      conn_close (conn);
  }
}

static void
on_tick (void *arg)
{
  struct backend *backend = arg;
  trim (backend);
  serve_waiters (backend);
  open_wanted (backend);
  if (backend->conn_count > kept (backend))
    arm_tick (backend, now_ms (backend) + BACKEND_SPARE_IDLE_MS);
}

/* A probe: BEGIN, then ROLLBACK.  Neither takes a slot.  */

static void
probe_send (struct backend *backend, struct backend_conn *conn)
{
  backend->probe_conn = conn;
  backend->probe_ms = now_ms (backend);
  conn_send (conn, STEP_BEGIN, &(struct statement){ .kind = STMT_BEGIN },
             NULL);
}

static void
probe_granted (struct conn_user *user, struct backend_conn *conn)
{
  (void)user;
  probe_send (conn_backend (conn), conn);
}

static void
probe_answered (struct conn_user *user, struct backend_conn *conn,
                enum conn_step step, const struct answer *answer)
{
  struct backend *backend = conn_backend (conn);
  (void)user;
  if (step != STEP_BEGIN)
    return;
  backend->probe_conn = NULL;
  clk_ms asked_ms = backend->probe_ms;
  bool proven = answer->code == CODE_OK && answer->has_position;
  struct position position = answer->position;
  conn_give (conn);
  if (proven)
    backend->options.proven (backend->options.arg, backend, position,
                             asked_ms);
}

static void
probe_lost (struct conn_user *user)
{
  struct backend *backend
      = (struct backend *)(void *)((char *)user
                                   - offsetof (struct backend, probe_user));
  backend->probe_conn = NULL;
}

static const struct conn_user_ops probe_ops = { .granted = probe_granted,
                                                .answered = probe_answered,
                                                .lost = probe_lost };

/* A probe that is not answered in time: its connection is given up, so that
   the next one uses another.  */
static void
check_probe (struct backend *backend)
{
  bool was_usable = backend_usable (backend);
  if (backend->probe_conn == NULL
      || now_ms (backend) - backend->probe_ms < BACKEND_PROBE_TIMEOUT_MS)
    return;
  struct backend_conn *conn = backend->probe_conn;
  clk_ms asked_ms = backend->probe_ms;
  conn_close (conn);
  if (backend->heard_ms > asked_ms)
    return; /* only this connection is silent */
  if (backend->probe_unanswered_ms == CLK_NEVER)
    backend->probe_unanswered_ms = asked_ms;
  if (!was_usable)
    return;
  log_event (get_log (backend), LOG_WARNING, "instance_silent",
             LOG_S ("instance", backend->entry.id),
             LOG_I ("heard_ms_ago", now_ms (backend) - backend->heard_ms));
  fail_waiters (backend);
  backend->options.changed (backend->options.arg, backend);
}

void
backend_probe (struct backend *backend)
{
  check_probe (backend);
  if (backend->probe_conn != NULL || backend->probe_user.waits_for != NULL)
    return;
  struct backend_conn *conn = backend_take (backend, &backend->probe_user);
  if (conn != NULL)
    probe_send (backend, conn);
}

bool
backend_usable (const struct backend *backend)
{
  return backend->refused_since_ms == CLK_NEVER
         && backend->probe_unanswered_ms == CLK_NEVER;
}

/* When the oldest statement without answer was sent; CLK_NEVER if there is
   none.  */
static clk_ms
oldest_unanswered_ms (const struct backend *backend)
{
  const struct backend_conn *conn;
  clk_ms oldest_ms = CLK_NEVER;
  DL_FOREACH (backend->conns, conn)
  {
    if (conn->expected_count > 0
        && conn->expected[conn->expected_head].sent_ms < oldest_ms)
      oldest_ms = conn->expected[conn->expected_head].sent_ms;
  }
  return oldest_ms;
}

void
backend_check (struct backend *backend)
{
  clk_ms oldest_ms = oldest_unanswered_ms (backend);
  check_probe (backend);
  if (!backend_usable (backend)
      || (oldest_ms != CLK_NEVER && backend->heard_ms <= oldest_ms
          && now_ms (backend) - oldest_ms >= BACKEND_SILENT_MS))
    backend_probe (backend);
}

clk_ms
backend_silent_since_ms (struct backend *backend)
{
  clk_ms since_ms = backend->probe_unanswered_ms;
  check_probe (backend);
  if (backend->refused_since_ms < since_ms)
    since_ms = backend->refused_since_ms;
  return since_ms;
}

struct backend *
backend_new (const struct backend_options *options)
{
  struct backend *backend = mem_zalloc (sizeof *backend);
  backend->options = *options;
  backend->options.entry = NULL;
  backend->entry = *options->entry;
  backend->share = 1;
  backend->refused_since_ms = CLK_NEVER;
  backend->probe_unanswered_ms = CLK_NEVER;
  backend->probe_user.ops = &probe_ops;
  backend->tick.fire = on_tick;
  backend->tick.arg = backend;
  backend->heard_ms = now_ms (backend);
  return backend;
}

void
backend_free (struct backend *backend)
{
  backend->closing = true;
  backend_cancel (&backend->probe_user);
  while (backend->waiters != NULL)
    {
      struct conn_user *user = backend->waiters;
      backend_cancel (user);
      user->ops->lost (user);
    }
  while (backend->conns != NULL)
    {
      struct conn_user *user = backend->conns->user;
      conn_close (backend->conns);
      if (user != NULL)
        user->ops->lost (user);
    }
  kernel_timer_cancel (backend->options.kernel, &backend->tick);
  free (backend);
}

const struct instance_entry *
backend_entry (const struct backend *backend)
{
  return &backend->entry;
}

/* Closes the idle connections, and those in use once they are given.  */
static void
close_idle (struct backend *backend)
{
  struct backend_conn *conn, *next;
  DL_FOREACH_SAFE (backend->conns, conn, next)
  {
    if (conn->phase == CONN_IDLE || conn->phase == CONN_OPENING)
      conn_close (conn);
  }
}

void
backend_set_entry (struct backend *backend, const struct instance_entry *entry)
{
  bool moved = strcmp (backend->entry.address, entry->address) != 0
               || backend->entry.port != entry->port
               || backend->entry.born_ms != entry->born_ms;
  backend->entry = *entry;
  if (moved)
    {
      close_idle (backend);
      backend->retry_ms = 0;
      arm_tick (backend, now_ms (backend));
    }
}

void
backend_set_share (struct backend *backend, uint32_t share)
{
  backend->share = share > 0 ? share : 1;
}

void
backend_warm (struct backend *backend)
{
  open_wanted (backend);
}

clk_ms
backend_heard_ms (const struct backend *backend)
{
  return backend->heard_ms;
}

struct position
backend_position (const struct backend *backend)
{
  return backend->position;
}

uint32_t
backend_busy (const struct backend *backend)
{
  const struct backend_conn *conn;
  uint32_t busy = 0;
  DL_FOREACH (backend->conns, conn)
  busy += conn->expected_count > 0;
  return busy;
}

uint32_t
backend_open_connections (const struct backend *backend)
{
  return backend->conn_count - backend->opening;
}

uint32_t
backend_idle (const struct backend *backend)
{
  const struct backend_conn *conn;
  uint32_t idle = 0;
  DL_FOREACH (backend->conns, conn)
  idle += conn->phase == CONN_IDLE;
  return idle;
}

uint32_t
backend_waiting (const struct backend *backend)
{
  return backend->waiting;
}

double
backend_typical_ms (const struct backend *backend)
{
  return backend->typical_ms;
}

double
backend_refusal_share (const struct backend *backend)
{
  return backend->refusal_share;
}

void
backend_note_latency (struct backend *backend, clk_ms latency_ms, bool refused)
{
  backend->refusal_share
      += AVERAGE_WEIGHT * ((refused ? 1.0 : 0.0) - backend->refusal_share);
  if (!refused)
    backend->typical_ms
        += AVERAGE_WEIGHT * ((double)latency_ms - backend->typical_ms);
}

struct backend *
conn_backend (const struct backend_conn *conn)
{
  return conn->backend;
}

void
conn_send (struct backend_conn *conn, enum conn_step step,
           const struct statement *statement, const struct position *after)
{
  struct backend *backend = conn->backend;
  uint32_t place
      = (conn->expected_head + conn->expected_count) % OUTSTANDING_LIMIT;
  if (conn->expected_count == OUTSTANDING_LIMIT)
    abort (); /* set-up is bounded by VALUES_LIMIT */
  conn->expected[place] = (struct expectation){ step, now_ms (backend) };
  conn->expected_count++;
  backend->options.port->ops->send (backend->options.port, conn->link,
                                    statement, after);
}

void
conn_statement_name (enum stmt_kind kind, const char *shape, char *out,
                     size_t size)
{
  snprintf (out, size, "%c_%s", kind == STMT_PREPARE_WRITE ? 'w' : 'r', shape);
}

static void
send_reset (struct backend_conn *conn)
{
  conn_send (conn, STEP_SETUP, &(struct statement){ .kind = STMT_RESET },
             NULL);
  conn->values_hash = 0;
  forget_statements (conn);
}

static void
send_values (struct backend_conn *conn, const struct values *values)
{
  for (size_t i = 0; i < values->count; i++)
    conn_send (conn, STEP_SETUP,
               &(struct statement){ .kind = STMT_SET,
                                    .name = values->items[i].name,
                                    .rest = values->items[i].text },
               NULL);
  conn->values_hash = values->hash;
}

static bool
has_statement (const struct backend_conn *conn, const char *name)
{
  for (size_t i = 0; i < conn->statement_count; i++)
    if (strcmp (conn->statements[i], name) == 0)
      return true;
  return false;
}

bool
conn_set_up (struct backend_conn *conn, const struct values *values,
             enum stmt_kind kind, const char *shape)
{
  char name[VALUE_NAME_BYTES + 2];
  uint32_t before = conn->expected_count;
  bool in_transaction = conn->state != TX_IDLE;
  if (conn->values_hash != values->hash)
    {
      if (conn->values_hash != 0 && !in_transaction)
        send_reset (conn);
      send_values (conn, values);
    }
  if (shape == NULL)
    return conn->expected_count > before;
  conn_statement_name (kind, shape, name, sizeof name);
  if (has_statement (conn, name))
    return conn->expected_count > before;
  if (conn->statement_count == BACKEND_STATEMENTS && !in_transaction)
    {
      send_reset (conn);
      send_values (conn, values);
    }
  conn_send (conn, STEP_SETUP,
             &(struct statement){ .kind = kind, .name = name, .rest = shape },
             NULL);
  if (conn->statement_count < BACKEND_STATEMENTS)
    conn->statements[conn->statement_count++] = mem_strdup (name);
  return true;
}

void
conn_set_value (struct backend_conn *conn, const struct values *values,
                const char *name, const char *value)
{
  conn_send (
      conn, STEP_SETUP,
      &(struct statement){ .kind = STMT_SET, .name = name, .rest = value },
      NULL);
  conn->values_hash = values->hash;
}

uint32_t
conn_outstanding (const struct backend_conn *conn)
{
  return conn->expected_count;
}

enum tx_state
conn_state (const struct backend_conn *conn)
{
  return conn->state;
}

void
conn_give (struct backend_conn *conn)
{
  struct backend *backend = conn->backend;
  conn->user = NULL;
  if (backend->closing)
    {
      conn_close (conn);
      return;
    }
  set_phase (conn, CONN_CLEANING);
  kernel_timer_set (backend->options.kernel, &conn->limit,
                    now_ms (backend) + BACKEND_LATE_ANSWER_MS);
  clean (conn);
}

void
conn_discard (struct backend_conn *conn)
{
  struct backend *backend = conn->backend;
  conn_close (conn);
  arm_tick (backend, now_ms (backend));
}
