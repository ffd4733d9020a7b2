/* backend - an instance as seen by this host, with a pool of connections.

   A backend keeps connections to one instance, limits their number to this
   host's share, queues users that wait for one, and checks by probes whether
   the instance answers.

   A connection is being opened, idle, owned by one user, or being cleaned.
   It becomes idle again only after the instance has reported that no
   transaction is open on it and all statements are answered; otherwise it is
   closed.  So a late answer or an open transaction can't reach another user.

   An answer is passed to the user only if it belongs to the user's statement,
   which answer_check tells.  Another one, which the instance has sent twice,
   is ignored, and the connection is closed when it is released.  If the order
   of the answers is lost, it is closed at once.  An error that may have been
   sent twice is held back until the answers to statements behind it have shown
   that the statement has no other answer.

   The statements that set a connection up are answered before the statement
   that needs them is sent: otherwise it could run with the wrong values after
   one of them was refused.

   A connection belongs to the workspace that it was opened for, "" for none,
   and runs statements of its callers only.  All workspaces share the limit of
   connections.  A workspace without an idle one gets a new one; if there is no
   room for it, one of another workspace is closed that has been idle longest.
   Probes and other statements of the proxy itself use any idle one.

   Users embed a struct conn_user and get callbacks through its ops.  */

#ifndef SAVORYWAY_PROXY_BACKEND_H
#define SAVORYWAY_PROXY_BACKEND_H

#include "kernel/kernel.h"
#include "port/instance_port.h"
#include "proxy/catalog.h"
#include "proxy/distance.h"
#include "proxy/values.h"

/* Connections that are kept open to an instance while none is in use.  */
#define BACKEND_MIN_CONNECTIONS 1

/* Maximum number of connections that are opened at the same time.  Opening
   one occupies a slot of the instance temporarily.  With workspaces there may
   be one more, for a user of another workspace.  */
#define BACKEND_OPENING_LIMIT 1
#define BACKEND_OPENING_LIMIT_WORKSPACES 2

/* Connections of an instance that the shares of the hosts leave free.  An
   instance counts the connections of replaced hosts for some seconds.  */
#define BACKEND_RESERVED_CONNECTIONS 4

#define BACKEND_CONNECT_TIMEOUT_MS 600

/* Backoff between failed attempts to connect: first and longest delay.  */
#define BACKEND_RETRY_FIRST_MS 40
#define BACKEND_RETRY_LAST_MS 400

/* Retry delay after a refusal with CODE_TOOMANY.  */
#define BACKEND_TOOMANY_RETRY_MS 150

/* Idle time after which a connection above half of the fair share is closed.
   After a power failure the instance counts the previous connections for some
   seconds, and the returning hosts need the other half of the share.  */
#define BACKEND_SPARE_IDLE_MS 1500

/* The same for the last idle connection of a workspace: what is used every few
   seconds stays open, as a new connection costs 12 ms of a slot.  At 5 s, 52
   such connections cost an instance at most 3% of its 4 slots.  */
#define BACKEND_WORKSPACE_IDLE_MS 5000

/* How long a workspace has to wait, since it got a connection last, before one
   of another workspace that is still in use is closed for it; if users of the
   other wait too, how much longer than they.  */
#define BACKEND_TURN_MS 40

/* Connections that are closed to make room for another workspace: one in this
   interval, and up to BACKEND_EVICT_BURST after a second without.  Each costs
   12 ms of a slot: 13 hosts that close all they may use 2.6 of the 4 slots of
   an instance.  */
#define BACKEND_EVICT_INTERVAL_MS 60
#define BACKEND_EVICT_BURST 16

/* Time for which an instance that refused a connection with CODE_TOOMANY is
   taken as full: a connection that another workspace does not need is then
   closed first.  An instance counts lost connections for 3 s.  */
#define BACKEND_FULL_MS 3000

/* Time limits for cleaning a connection that was released: to roll back its
   transaction, and to receive the answer of its last statement.  The
   connection is closed when one is exceeded.  */
#define BACKEND_ROLLBACK_TIMEOUT_MS 400
#define BACKEND_LATE_ANSWER_TIMEOUT_MS 3000

/* An instance is probed when a statement was sent this long ago and nothing
   has been answered since.  */
#define BACKEND_ANSWER_TIMEOUT_MS 250

/* Timeout of a probe, which takes no slot and thus doesn't wait for one.  */
#define BACKEND_PROBE_TIMEOUT_MS 250

/* Number of prepared statements on a connection from which on it is reset
   before the next one.  A transaction can't be reset, and goes on.  */
#define BACKEND_PREPARED_LIMIT 64

/* Number of statements that are sent behind one with a doubtful error.  Once
   the instance has sent an answer twice, it is as many as answer_check tells,
   for BACKEND_STUTTER_MS.  If that is above the limit, the connection is
   closed.  */
#define BACKEND_FENCES 2
#define BACKEND_FENCES_LIMIT 16
#define BACKEND_STUTTER_MS 60000

/* Size of the name of a statement that is prepared on a connection.  */
#define BACKEND_STATEMENT_NAME_BYTES 24

/* Purpose of a statement; passed on with its answer.  */
enum conn_step
{
  STEP_SETUP, /* RESET, SET, PREPARE */
  STEP_BEGIN,
  STEP_STATUS,
  STEP_MAIN, /* the statement of the user */
  STEP_END,  /* ROLLBACK sent by the proxy */
  STEP_FENCE /* sent by the connection */
};

struct backend;
struct backend_conn;
struct conn_user;
struct pool_workspace;

/* Callbacks of a user.  */
struct conn_user_ops
{
  /* CONN is now owned by USER, which has waited for it.  */
  void (*granted) (struct conn_user *user, struct backend_conn *conn);
  /* CONN has received the ANSWER to a statement that was sent with STEP.  */
  void (*answered) (struct conn_user *user, struct backend_conn *conn,
                    enum conn_step step, const struct answer *answer);
  /* The connection is closed, or the backend can't provide one.  */
  void (*lost) (struct conn_user *user);
};

/* A user of connections; embedded in the type that owns or waits for one.  */
struct conn_user
{
  const struct conn_user_ops *ops;
  struct backend *waits_for; /* NULL: not waiting */
  uint32_t priority;         /* 0 is the highest */
  struct values_id values;   /* prefers a connection with these */
  /* For which it runs statements; "" for none.  NULL: it runs no statement of
     a caller, and any connection will do.  */
  const char *workspace;
  struct pool_workspace *pool; /* while it waits; NULL: any will do */
  struct conn_user *prev;
  struct conn_user *next;
};

struct backend_options
{
  struct kernel *kernel;
  struct instance_port *port;
  const struct instance_entry *entry;
  /* Of the instance's distance; may be NULL.  */
  struct distance_meter *meter;
  /* The instance has become usable or unusable.  */
  void (*changed) (void *arg, struct backend *backend);
  /* The instance accepted a plain BEGIN sent at SENT_MS, so it is the primary.
     Its log has reached POSITION.  */
  void (*leader_confirmed) (void *arg, struct backend *backend,
                            struct position position, clk_ms sent_ms);
  /* The instance refused a BEGIN, as it is not the primary.  */
  void (*leader_rejected) (void *arg, struct backend *backend);
  void *arg;
};

struct backend *backend_new (const struct backend_options *options);
/* Closes all connections and calls lost for their users, and for those that
   wait.  */
void backend_free (struct backend *backend);

/* Configuration entry of the instance.  */
const struct instance_entry *backend_entry (const struct backend *backend);
/* Replaces the entry.  Idle connections are closed if the address has changed
   or the instance was recreated.  */
void backend_set_entry (struct backend *backend,
                        const struct instance_entry *entry);

/* Sets the fair share of this host: the maximum number of its connections.
   With 0 all connections are closed; those in use when they are released.  */
void backend_set_share (struct backend *backend, uint32_t share);

/* Opens connections up to BACKEND_MIN_CONNECTIONS.  */
void backend_fill_pool (struct backend *backend);

/* Returns an idle connection of USER's workspace, which USER owns until
   conn_release.  If there is none, or other workspaces wait and its own has
   its share, returns NULL and queues USER: its granted or lost callback is
   called later, unless backend_cancel removes it from the queue.  */
struct backend_conn *backend_acquire (struct backend *backend,
                                      struct conn_user *user);
void backend_cancel (struct conn_user *user);

/* Starts a probe: a plain BEGIN, which only the primary accepts, and a
   ROLLBACK.  The answer also reports the position of the instance's log.  It
   takes no slot of the instance.  Does nothing while an earlier probe is in
   flight.  */
void backend_probe (struct backend *backend);

/* Probes the instance if it is unusable, or if it has answered nothing since a
   statement was sent BACKEND_ANSWER_TIMEOUT_MS ago or earlier.  */
void backend_check (struct backend *backend);

/* Returns false if a connection could not be opened or was closed by the
   instance with an error, or if a probe was not answered in time, and the
   instance has not answered since.  */
bool backend_usable (const struct backend *backend);

/* Time of the last answer of the instance, or at first of the backend's
   creation.  */
clk_ms backend_last_answer_ms (const struct backend *backend);
/* Returns whether the instance has answered at all.  */
bool backend_has_answered (const struct backend *backend);

/* Position that the instance reported last.  */
struct position backend_position (const struct backend *backend);
/* Numbers of connections: with statements in flight, established.  */
uint32_t backend_busy (const struct backend *backend);
uint32_t backend_open_connections (const struct backend *backend);
/* Number of idle connections that a user of WORKSPACE can get; NULL: any.  */
uint32_t backend_idle (const struct backend *backend, const char *workspace);
/* Number of users that a new user of WORKSPACE waits for: those of the
   workspace and of the proxy itself, and one for each other workspace.  */
uint32_t backend_waiting (const struct backend *backend,
                          const char *workspace);

/* Moving average of the latency of statements, in ms.  It includes the time
   in the queue of the instance.  */
double backend_mean_latency_ms (const struct backend *backend);
/* Moving average of the share of statements, 0 to 1, that the instance refused
   as it had no free slot.  */
double backend_refusal_share (const struct backend *backend);
/* Updates both averages with a statement that was answered.  */
void backend_note_latency (struct backend *backend, clk_ms latency_ms,
                           bool refused);

struct backend *conn_backend (const struct backend_conn *conn);

/* Sends the statements that bring CONN to VALUES, and that prepare the
   statement of KIND and SHAPE (NULL: none).  Returns whether any was
   sent.  */
bool conn_set_up (struct backend_conn *conn, const struct values *values,
                  enum stmt_kind kind, const char *shape);

/* Sends a SET of NAME to a connection on which a transaction is open.  VALUES
   already includes it.  */
void conn_set_value (struct backend_conn *conn, const struct values *values,
                     const char *name, const char *value);

/* Writes the name under which conn_set_up has prepared the statement of KIND
   and SHAPE on CONN.  It contains nothing of the shape, and is not used for
   another statement as long as CONN is open.  */
void conn_statement_name (const struct backend_conn *conn, enum stmt_kind kind,
                          const char *shape,
                          char out[BACKEND_STATEMENT_NAME_BYTES]);

/* Sends STATEMENT.  The instance runs it only if its log has reached AFTER,
   unless that is NULL.  */
void conn_send (struct backend_conn *conn, enum conn_step step,
                const struct statement *statement,
                const struct position *after);

/* Number of statements in flight.  */
uint32_t conn_outstanding (const struct backend_conn *conn);
enum tx_state conn_state (const struct backend_conn *conn);

/* Returns CONN to the pool, after rolling back a transaction that is open on
   it.  */
void conn_release (struct backend_conn *conn);

#endif
