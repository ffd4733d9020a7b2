/* backend - an instance as this host sees it, and its connections here.

   A connection is opening, idle, owned by one user, or being cleaned.  It
   goes back to idle only after the instance said that no transaction is open
   on it and nothing is outstanding; otherwise it is closed, so that a late
   answer or an open transaction reaches nobody else.  Statements sent to set
   a connection up are answered before the statement that needs them is sent:
   one that was refused must not let the next one run under other values.  */

#ifndef SAVORYWAY_PROXY_BACKEND_H
#define SAVORYWAY_PROXY_BACKEND_H

#include "kernel/kernel.h"
#include "port/instance_port.h"
#include "proxy/catalog.h"
#include "proxy/values.h"

/* Connections kept open to an instance without use.  */
#define BACKEND_MIN_CONNECTIONS 1

/* Opened at a time: each takes a slot of the instance for a while.  */
#define BACKEND_OPENING_LIMIT 1

/* Connections of an instance that no host counts on: those of hosts that
   were replaced linger for seconds.  */
#define BACKEND_RESERVED_CONNECTIONS 4

#define BACKEND_CONNECT_TIMEOUT_MS 600
#define BACKEND_RETRY_FIRST_MS 40
#define BACKEND_RETRY_LAST_MS 400
/* After a refusal as the instance has no connection left.  */
#define BACKEND_TOOMANY_RETRY_MS 150

/* An idle connection above half of the fair share is closed after this:
   after a loss of power the instance counts those of before for seconds,
   and the hosts that return need the other half.  */
#define BACKEND_SPARE_IDLE_MS 1500

/* A connection whose transaction is not ended in this time is closed, and
   one whose last statement is not answered in the second.  */
#define BACKEND_ROLLBACK_TIMEOUT_MS 400
#define BACKEND_LATE_ANSWER_TIMEOUT_MS 3000

/* An unanswered statement makes an instance suspect after this; a probe
   takes no slot, so its timeout is the shorter one.  */
#define BACKEND_ANSWER_TIMEOUT_MS 250
#define BACKEND_PROBE_TIMEOUT_MS 250

#define BACKEND_PREPARED_LIMIT 64 /* prepared on a connection */

/* What an answer belongs to.  */
enum conn_step
{
  STEP_SETUP, /* RESET, SET, PREPARE */
  STEP_BEGIN,
  STEP_MAIN,
  STEP_END /* the proxy's own end of a transaction */
};

struct backend;
struct backend_conn;
struct conn_user;

struct conn_user_ops
{
  void (*granted) (struct conn_user *user, struct backend_conn *conn);
  void (*answered) (struct conn_user *user, struct backend_conn *conn,
                    enum conn_step step, const struct answer *answer);
  /* The connection is gone; STEP of the oldest statement without answer.  */
  void (*lost) (struct conn_user *user);
};

/* Who owns or waits for a connection; embedded by its users.  */
struct conn_user
{
  const struct conn_user_ops *ops;
  struct backend *waits_for;
  uint32_t priority; /* 0 is served first */
  uint64_t values_hash;
  struct conn_user *prev;
  struct conn_user *next;
};

struct backend_options
{
  struct kernel *kernel;
  struct instance_port *port;
  const struct instance_entry *entry;
  /* Called when a proven or refuted claim to lead, or a sign of life or of
     silence, was seen.  */
  void (*changed) (void *arg, struct backend *backend);
  /* A plain BEGIN sent at ASKED_MS was accepted with POSITION.  */
  void (*proven) (void *arg, struct backend *backend, struct position position,
                  clk_ms asked_ms);
  /* It was refused: the instance does not lead.  */
  void (*refuted) (void *arg, struct backend *backend);
  void *arg;
};

struct backend *backend_new (const struct backend_options *options);
/* Closes all connections; their users get lost.  */
void backend_free (struct backend *backend);

const struct instance_entry *backend_entry (const struct backend *backend);
void backend_set_entry (struct backend *backend,
                        const struct instance_entry *entry);

/* Sets the fair share of connections of this host, its timeout; 0: it has
   none.  */
void backend_set_share (struct backend *backend, uint32_t share);

/* Opens what is kept open without use.  */
void backend_fill_pool (struct backend *backend);

/* Returns a connection now owned by USER, or NULL: then granted follows
   when one is free, until backend_cancel.  */
struct backend_conn *backend_acquire (struct backend *backend,
                                      struct conn_user *user);
void backend_cancel (struct conn_user *user);

/* Asks the instance whether it leads and where its log is; takes no slot.
   Does nothing while an earlier probe is under way.  */
void backend_probe (struct backend *backend);

/* Probes the instance if it has been silent for too long.  */
void backend_check (struct backend *backend);

/* Whether it is not known to be unreachable or silent.  */
bool backend_usable (const struct backend *backend);

/* When the instance last answered anything.  */
clk_ms backend_last_answer_ms (const struct backend *backend);

struct position backend_position (const struct backend *backend);
uint32_t backend_busy (const struct backend *backend);
uint32_t backend_open_connections (const struct backend *backend);
uint32_t backend_idle (const struct backend *backend);
uint32_t backend_waiting (const struct backend *backend);

/* Mean time of a statement here, queue at the instance included.  */
double backend_mean_latency_ms (const struct backend *backend);
/* Share of recent statements refused for want of a slot, 0 to 1.  */
double backend_refusal_share (const struct backend *backend);
void backend_note_latency (struct backend *backend, clk_ms latency_ms,
                           bool refused);

struct backend *conn_backend (const struct backend_conn *conn);

/* Sends what makes CONN have VALUES and the prepared statement of KIND and
   SHAPE (NULL for none).  Returns whether anything was sent.  */
bool conn_set_up (struct backend_conn *conn, const struct values *values,
                  enum stmt_kind kind, const char *shape);

/* Sends one value to a connection inside a transaction.  */
void conn_set_value (struct backend_conn *conn, const struct values *values,
                     const char *name, const char *value);

/* Name under which KIND and SHAPE are prepared on every connection.  */
void conn_statement_name (enum stmt_kind kind, const char *shape, char *out,
                          size_t size);

void conn_send (struct backend_conn *conn, enum conn_step step,
                const struct statement *statement,
                const struct position *after);

/* Statements sent and not answered.  */
uint32_t conn_outstanding (const struct backend_conn *conn);
enum tx_state conn_state (const struct backend_conn *conn);

/* Hands CONN back; it is cleaned first where that is needed.  */
void conn_release (struct backend_conn *conn);

#endif
