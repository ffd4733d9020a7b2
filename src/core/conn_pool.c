#include "core/conn_pool.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/types.h"
#include "kernel/mem.h"

#define MAX_BACKOFF_SHIFT 8

enum conn_state
{
  CONN_OPENING,
  CONN_IDLE,
  CONN_OWNED
};

struct pool_conn
{
  struct conn_pool *pool;
  struct db_conn *db;
  enum conn_state state;
  struct pool_user *user;
  bool busy; /* an answer is outstanding */
  clk_ms state_since_ms;
  struct pool_conn *prev;
  struct pool_conn *next;
};

struct conn_pool
{
  struct conn_pool_options options;
  char instance[PATH_BYTES];
  char address[ADDRESS_BYTES];
  uint32_t wanted;
  uint32_t counts[3];
  uint32_t failures;
  clk_ms retry_ms;
  struct pool_conn *conns;
  struct ktimer timer;
  int64_t *opened_total;
  int64_t *failed_total;
  int64_t *at_limit_total;
};

static void open_missing (struct conn_pool *pool);

static void
set_state (struct pool_conn *conn, enum conn_state state)
{
  conn->pool->counts[conn->state]--;
  conn->state = state;
  conn->pool->counts[state]++;
  conn->state_since_ms = kernel_now (conn->pool->options.kernel);
}

static void
conn_free (struct pool_conn *conn)
{
  conn->pool->counts[conn->state]--;
  DL_DELETE (conn->pool->conns, conn);
  free (conn);
}

static void
close_conn (struct pool_conn *conn)
{
  struct db_port *db = conn->pool->options.db;
  db->ops->close (db, conn->db);
  conn_free (conn);
}

/* Counts a failed attempt and sets the backoff until the next one.  */
static void
schedule_retry (struct conn_pool *pool)
{
  struct kernel *kernel = pool->options.kernel;
  uint32_t shift = pool->failures < MAX_BACKOFF_SHIFT ? pool->failures
                                                      : MAX_BACKOFF_SHIFT;
  clk_ms delay_ms = (clk_ms)POOL_RETRY_BASE_MS << shift;
  if (delay_ms > POOL_RETRY_CAP_MS)
    delay_ms = POOL_RETRY_CAP_MS;
  clk_ms jitter_ms
      = (clk_ms)rng_below (kernel_rng (kernel), (uint64_t)delay_ms);
  pool->failures++;
  (*pool->failed_total)++;
  pool->retry_ms = kernel_now (kernel) + delay_ms / 2 + jitter_ms / 2;
}

static void
on_opened (void *arg, struct db_conn *db)
{
  struct pool_conn *conn = arg;
  struct conn_pool *pool = conn->pool;
  (void)db;
  pool->failures = 0;
  (*pool->opened_total)++;
  set_state (conn, CONN_IDLE);
  open_missing (pool);
  pool->options.changed (pool->options.arg);
}

/* Returns whether the connection is unusable after RESULT because it broke,
   before or after the job took effect.  */
static bool
is_broken (const struct db_result *result)
{
  if (result->status == DB_REFUSED)
    return result->broken || result->report.term == 0;
  return result->broken || result->status == DB_LOST;
}

static void
on_result (void *arg, struct db_conn *db, const struct db_result *result)
{
  struct pool_conn *conn = arg;
  struct conn_pool *pool = conn->pool;
  struct pool_user *user = conn->user;
  (void)db;
  if (!conn->busy)
    return;
  conn->busy = false;
  if (!is_broken (result))
    {
      user->ops->done (user, conn, result);
      return;
    }
  conn->user = NULL;
  close_conn (conn);
  user->ops->done (user, NULL, result);
  open_missing (pool);
  pool->options.changed (pool->options.arg);
}

static void
on_closed (void *arg, struct db_conn *db, const char *why)
{
  struct pool_conn *conn = arg;
  struct conn_pool *pool = conn->pool;
  struct pool_user *user = conn->user;
  (void)db;
  log_event (kernel_log (pool->options.kernel), LOG_INFO, "connection_closed",
             LOG_S ("instance", pool->instance), LOG_S ("why", why),
             LOG_U ("open", conn_pool_open_count (pool)));
  if (conn->state == CONN_OPENING)
    schedule_retry (pool);
  conn_free (conn);
  if (user != NULL)
    user->ops->closed (user);
  open_missing (pool);
  pool->options.changed (pool->options.arg);
}

static const struct db_conn_events events
    = { .opened = on_opened, .result = on_result, .closed = on_closed };

static void
open_conn (struct conn_pool *pool)
{
  struct db_port *db = pool->options.db;
  struct db_target target
      = { .address = pool->address, .port = pool->options.port };
  struct pool_conn *conn = mem_zalloc (sizeof *conn);
  conn->pool = pool;
  conn->state = CONN_OPENING;
  conn->state_since_ms = kernel_now (pool->options.kernel);
  pool->counts[CONN_OPENING]++;
  DL_APPEND (pool->conns, conn);
  conn->db = db->ops->open (db, &target, &events, conn);
}

static void
close_timed_out (struct conn_pool *pool, clk_ms now_ms)
{
  struct pool_conn *conn, *next;
  DL_FOREACH_SAFE (pool->conns, conn, next)
  {
    if (conn->state != CONN_OPENING
        || now_ms - conn->state_since_ms < POOL_CONNECT_TIMEOUT_MS)
      continue;
    schedule_retry (pool);
    close_conn (conn);
  }
}

static void
close_surplus (struct conn_pool *pool, clk_ms now_ms)
{
  struct pool_conn *conn, *next;
  DL_FOREACH_SAFE (pool->conns, conn, next)
  {
    bool over_limit = conn_pool_total_count (pool) > pool->options.limit;
    bool idle_too_long
        = conn_pool_total_count (pool) > pool->wanted
          && now_ms - conn->state_since_ms >= POOL_IDLE_TIMEOUT_MS;
    if (conn->state == CONN_IDLE && (over_limit || idle_too_long))
      close_conn (conn);
  }
}

static void
open_missing (struct conn_pool *pool)
{
  clk_ms now_ms = kernel_now (pool->options.kernel);
  uint32_t target = pool->wanted;
  if (target > pool->options.limit)
    {
      target = pool->options.limit;
      (*pool->at_limit_total)++;
    }
  uint32_t opening_limit = pool->failures > 0 ? 1 : POOL_OPENING_LIMIT;
  while (now_ms >= pool->retry_ms && conn_pool_total_count (pool) < target
         && pool->counts[CONN_OPENING] < opening_limit)
    open_conn (pool);
}

static void
pool_tick (void *arg)
{
  struct conn_pool *pool = arg;
  clk_ms now_ms = kernel_now (pool->options.kernel);
  close_timed_out (pool, now_ms);
  close_surplus (pool, now_ms);
  open_missing (pool);
  kernel_timer_set (pool->options.kernel, &pool->timer,
                    now_ms + POOL_RETRY_BASE_MS);
}

struct conn_pool *
conn_pool_new (const struct conn_pool_options *options)
{
  struct conn_pool *pool = mem_zalloc (sizeof *pool);
  struct metrics *metrics = kernel_metrics (options->kernel);
  pool->options = *options;
  strncpy (pool->instance, options->instance, sizeof pool->instance - 1);
  conn_pool_set_target (pool, options->address, options->port);
  pool->opened_total = metrics_value (metrics, "connections_opened_total");
  pool->failed_total = metrics_value (metrics, "connections_failed_total");
  pool->at_limit_total = metrics_value (metrics, "connections_limit_total");
  pool->timer.fire = pool_tick;
  pool->timer.arg = pool;
  kernel_timer_set (options->kernel, &pool->timer,
                    kernel_now (options->kernel) + POOL_RETRY_BASE_MS);
  return pool;
}

void
conn_pool_free (struct conn_pool *pool)
{
  if (pool == NULL)
    return;
  kernel_timer_cancel (pool->options.kernel, &pool->timer);
  while (pool->conns != NULL)
    close_conn (pool->conns);
  free (pool);
}

void
conn_pool_set_limit (struct conn_pool *pool, uint32_t limit)
{
  pool->options.limit = limit;
}

void
conn_pool_set_target (struct conn_pool *pool, const char *address,
                      uint16_t port)
{
  memset (pool->address, 0, sizeof pool->address);
  strncpy (pool->address, address, sizeof pool->address - 1);
  pool->options.port = port;
}

void
conn_pool_set_wanted (struct conn_pool *pool, uint32_t count)
{
  pool->wanted = count;
  open_missing (pool);
}

struct pool_conn *
conn_pool_acquire (struct conn_pool *pool, struct pool_user *user)
{
  struct pool_conn *conn;
  DL_FOREACH (pool->conns, conn)
  {
    if (conn->state != CONN_IDLE)
      continue;
    set_state (conn, CONN_OWNED);
    conn->user = user;
    return conn;
  }
  return NULL;
}

void
conn_pool_submit (struct pool_conn *conn, const struct db_job *job)
{
  struct db_port *db = conn->pool->options.db;
  conn->busy = true;
  db->ops->submit (db, conn->db, job);
}

void
conn_pool_set_user (struct pool_conn *conn, struct pool_user *user)
{
  conn->user = user;
}

void
conn_pool_release (struct pool_conn *conn)
{
  if (conn->busy)
    {
      conn_pool_discard (conn);
      return;
    }
  conn->user = NULL;
  set_state (conn, CONN_IDLE);
}

void
conn_pool_discard (struct pool_conn *conn)
{
  struct conn_pool *pool = conn->pool;
  close_conn (conn);
  open_missing (pool);
}

uint32_t
conn_pool_limit (const struct conn_pool *pool)
{
  return pool->options.limit;
}

uint32_t
conn_pool_idle_count (const struct conn_pool *pool)
{
  return pool->counts[CONN_IDLE];
}

uint32_t
conn_pool_open_count (const struct conn_pool *pool)
{
  return pool->counts[CONN_IDLE] + pool->counts[CONN_OWNED];
}

uint32_t
conn_pool_total_count (const struct conn_pool *pool)
{
  return conn_pool_open_count (pool) + pool->counts[CONN_OPENING];
}

uint32_t
conn_pool_failures (const struct conn_pool *pool)
{
  return pool->failures;
}
