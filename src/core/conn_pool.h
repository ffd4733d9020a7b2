/* conn_pool - bounded pool of connections to one instance.

   The pool opens connections up to the wanted number, at most
   POOL_OPENING_LIMIT at a time, with exponential backoff and jitter after
   failures.  A connection is either idle or owned by one user.  It becomes
   idle again only if no answer is outstanding; otherwise it is closed, so
   that a late answer cannot be delivered to another user.  */

#ifndef SAVORYWAY_CORE_CONN_POOL_H
#define SAVORYWAY_CORE_CONN_POOL_H

#include "kernel/kernel.h"
#include "port/db_port.h"

/* Connections being opened at the same time; only one after a failure.  */
#define POOL_OPENING_LIMIT 2
#define POOL_CONNECT_TIMEOUT_MS 1000

/* Backoff after a failed attempt: doubles from the base up to the cap.  */
#define POOL_RETRY_BASE_MS 50
#define POOL_RETRY_CAP_MS 2000

/* Idle connections above the wanted number are closed after this time.  */
#define POOL_IDLE_TIMEOUT_MS 30000

struct conn_pool;
struct pool_conn;

struct pool_user;

struct pool_user_ops
{
  /* Called with the result of a job.  CONN is NULL if the connection was
     closed.  */
  void (*done) (struct pool_user *user, struct pool_conn *conn,
                const struct db_result *result);
  /* Called if the connection was closed while no job was running on it.  */
  void (*closed) (struct pool_user *user);
};

/* Owner of a connection.  Embed this in the owning object.  */
struct pool_user
{
  const struct pool_user_ops *ops;
};

struct conn_pool_options
{
  struct kernel *kernel;
  struct db_port *db;
  const char *instance; /* global name, used in log lines */
  const char *address;
  uint16_t port;
  uint32_t limit;
  /* Called after a connection was opened, was refused, broke or was closed
     by the server.  */
  void (*changed) (void *arg);
  void *arg;
};

struct conn_pool *conn_pool_new (const struct conn_pool_options *options);

/* Closes all connections and frees the pool.  Users get no callback.  */
void conn_pool_free (struct conn_pool *pool);

void conn_pool_set_limit (struct conn_pool *pool, uint32_t limit);
void conn_pool_set_target (struct conn_pool *pool, const char *address,
                           uint16_t port);

/* Sets the number of connections to keep open.  Connections above it are
   closed after they have been idle for POOL_IDLE_TIMEOUT_MS.  */
void conn_pool_set_wanted (struct conn_pool *pool, uint32_t count);

/* Makes USER the owner of an idle connection and returns it; NULL if none is
   idle.  */
struct pool_conn *conn_pool_acquire (struct conn_pool *pool,
                                     struct pool_user *user);

/* Starts JOB on CONN.  The done function of the owner is called once with the
   result, unless CONN is discarded before.  */
void conn_pool_submit (struct pool_conn *conn, const struct db_job *job);

/* Transfers CONN to USER.  No job may be running on it.  */
void conn_pool_set_user (struct pool_conn *conn, struct pool_user *user);

/* Returns CONN to the pool as idle, or closes it if an answer is still
   outstanding.  */
void conn_pool_release (struct pool_conn *conn);

/* Closes CONN.  The owner gets no callback.  */
void conn_pool_discard (struct pool_conn *conn);

uint32_t conn_pool_limit (const struct conn_pool *pool);

/* Return the number of idle connections, and of all open ones.  */
uint32_t conn_pool_idle_count (const struct conn_pool *pool);
uint32_t conn_pool_open_count (const struct conn_pool *pool);

/* Returns the number of connections that are open or being opened.  The limit
   applies to this number.  */
uint32_t conn_pool_total_count (const struct conn_pool *pool);

/* Returns the number of failed connection attempts since the last success.  */
uint32_t conn_pool_failures (const struct conn_pool *pool);

#endif
