/* Connections of a backend: who gets one, and which are opened and closed.

   The rules for workspaces have no effect while there is only the own one of
   the backend: then users get idle connections by priority and in order of
   arrival, and one connection at a time is opened for them.  */

#include "proxy/backend_impl.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"
#include "kernel/text.h"

/* Interval of the log lines about connections that were closed for another
   workspace.  */
#define EVICT_LOG_MS 10000

void
pool_init (struct backend *backend)
{
  backend->waiting_total = metrics_value (
      kernel_metrics (backend->options.kernel), "connections_waited_for");
  backend->evict_ms = CLK_LONG_AGO;
  backend->evict_logged_ms = CLK_LONG_AGO;
  backend->refused_ms = CLK_LONG_AGO;
  DL_APPEND (backend->workspaces, &backend->own);
}

static struct pool_workspace *
find_workspace (const struct backend *backend, const char *name)
{
  struct pool_workspace *workspace;
  DL_FOREACH (backend->workspaces, workspace)
  {
    if (strcmp (workspace->name, name) == 0)
      return workspace;
  }
  return NULL;
}

static struct pool_workspace *
ensure_workspace (struct backend *backend, const char *name)
{
  struct pool_workspace *workspace = find_workspace (backend, name);
  if (workspace != NULL)
    return workspace;
  workspace = mem_zalloc (sizeof *workspace);
  text_copy (workspace->name, sizeof workspace->name, name);
  DL_APPEND (backend->workspaces, workspace);
  return workspace;
}

/* Frees WORKSPACE if it has neither connections nor waiting users.  */
static void
drop_if_unused (struct backend *backend, struct pool_workspace *workspace)
{
  if (workspace == &backend->own || workspace->conns > 0
      || workspace->waiting > 0)
    return;
  DL_DELETE (backend->workspaces, workspace);
  free (workspace);
}

bool
pool_has_workspaces (const struct backend *backend)
{
  return backend->own.next != NULL;
}

void
pool_count_phase (struct backend_conn *conn, enum conn_phase phase)
{
  struct backend *backend = conn->backend;
  struct pool_workspace *workspace = conn->workspace;
  uint32_t was_idle = conn->phase == CONN_IDLE, is_idle = phase == CONN_IDLE;
  uint32_t was_opening = conn->phase == CONN_OPENING;
  uint32_t is_opening = phase == CONN_OPENING;
  workspace->idle += is_idle - was_idle;
  backend->idle += is_idle - was_idle;
  workspace->opening += is_opening - was_opening;
  backend->opening += is_opening - was_opening;
}

void
pool_add_conn (struct backend_conn *conn, struct pool_workspace *workspace)
{
  struct backend *backend = conn->backend;
  conn->workspace = workspace;
  conn->phase = CONN_OPENING;
  conn->since_ms = conn->used_ms = backend_now (backend);
  workspace->conns++;
  workspace->opening++;
  backend->conn_count++;
  backend->opening++;
}

void
pool_remove_conn (struct backend_conn *conn)
{
  struct backend *backend = conn->backend;
  pool_count_phase (conn, CONN_OWNED);
  conn->workspace->conns--;
  backend->conn_count--;
  drop_if_unused (backend, conn->workspace);
}

/* Returns the number of connections of WORKSPACE that are not idle.  */
static uint32_t
in_use (const struct pool_workspace *workspace)
{
  return workspace->conns - workspace->idle;
}

/* Returns the share of one of the workspaces that use or wait for
   connections.  */
static uint32_t
fair_share (const struct backend *backend)
{
  const struct pool_workspace *workspace;
  uint32_t active = 0;
  DL_FOREACH (backend->workspaces, workspace)
  active += workspace->waiting > 0 || in_use (workspace) > 0;
  return active < backend->share ? backend->share / (active > 0 ? active : 1)
                                 : 1;
}

/* Returns whether WORKSPACE may use one more connection.  The last one is kept
   for workspaces that use none: otherwise idle transactions of a single
   workspace would hold all.  */
static bool
may_use_more (const struct backend *backend,
              const struct pool_workspace *workspace)
{
  uint32_t used = backend->conn_count - backend->idle;
  return !pool_has_workspaces (backend) || in_use (workspace) == 0
         || used + 1 < backend->share;
}

/* Returns whether users of WORKSPACE wait for a connection that is neither
   idle nor being opened.  */
static bool
needs_connection (const struct backend *backend,
                  const struct pool_workspace *workspace)
{
  if (workspace->idle > 0)
    return false;
  if (workspace->waiting > workspace->opening)
    return may_use_more (backend, workspace);
  /* Statements of the proxy itself.  */
  return workspace == &backend->own && backend->waiting_any > 0
         && backend->idle == 0 && backend->opening == 0;
}

/* Returns whether a user of WORKSPACE, which may be NULL, may be granted an
   idle connection of it.  */
static bool
may_be_granted (const struct backend *backend,
                const struct pool_workspace *workspace)
{
  const struct pool_workspace *other;
  if (workspace == NULL || !pool_has_workspaces (backend))
    return true;
  if (!may_use_more (backend, workspace))
    return false;
  uint32_t share = fair_share (backend);
  if (in_use (workspace) < share)
    return true;
  DL_FOREACH (backend->workspaces, other)
  {
    if (other != workspace && in_use (other) < share
        && needs_connection (backend, other))
      return false;
  }
  return true;
}

/* Returns the idle connection that USER can get with the least set-up.  Among
   equals it is the one used last, so that the others reach
   BACKEND_SPARE_IDLE_MS.  A user without a workspace gets a connection of the
   host, or the one that callers have used least recently.  */
static struct backend_conn *
best_idle (struct backend *backend, const struct conn_user *user)
{
  struct backend_conn *best = NULL, *conn;
  int best_rank = 0;
  DL_FOREACH (backend->conns, conn)
  {
    if (conn->phase != CONN_IDLE
        || (user->workspace != NULL && conn->workspace != user->pool
            && !MUTANT (mix_workspaces)))
      continue;
    bool foreign = user->workspace == NULL && conn->workspace != &backend->own;
    int rank = foreign                                            ? 0
               : values_id_equal (&conn->values, &user->values)   ? 3
               : values_id_equal (&conn->values, &values_id_none) ? 2
                                                                  : 1;
    if (best == NULL || rank > best_rank
        || (rank == best_rank
            && (foreign ? conn->used_ms < best->used_ms
                        : conn->since_ms >= best->since_ms)))
      {
        best = conn;
        best_rank = rank;
      }
  }
  return best;
}

static void
conn_assign (struct backend_conn *conn, struct conn_user *user)
{
  conn_set_phase (conn, CONN_OWNED);
  conn->user = user;
  if (user->workspace != NULL)
    conn->workspace->unserved_ms = conn->since_ms;
}

static void
enqueue (struct backend *backend, struct conn_user *user)
{
  struct conn_user *at = backend->waiters;
  struct pool_workspace *workspace = &backend->own;
  while (at != NULL && at->priority <= user->priority)
    at = at->next;
  if (at == NULL)
    DL_APPEND (backend->waiters, user);
  else
    DL_PREPEND_ELEM (backend->waiters, at, user);
  if (user->workspace != NULL)
    workspace = user->pool = ensure_workspace (backend, user->workspace);
  if (workspace->waiting == 0)
    workspace->unserved_ms = backend_now (backend);
  user->waits_for = backend;
  backend->waiting++;
  ++*backend->waiting_total;
  if (user->workspace != NULL)
    workspace->waiting++;
  else
    backend->waiting_any++;
}

static void
dequeue (struct conn_user *user)
{
  struct backend *backend = user->waits_for;
  DL_DELETE (backend->waiters, user);
  user->waits_for = NULL;
  backend->waiting--;
  --*backend->waiting_total;
  if (user->pool == NULL)
    {
      backend->waiting_any--;
      return;
    }
  user->pool->waiting--;
  drop_if_unused (backend, user->pool);
  user->pool = NULL;
}

/* Returns whether a user that waits for the same connections as USER comes
   before it.  */
static bool
is_preceded (const struct backend *backend, const struct conn_user *user)
{
  const struct conn_user *other;
  bool mixed = pool_has_workspaces (backend);
  DL_FOREACH (backend->waiters, other)
  {
    if (other->priority > user->priority)
      return false;
    if (!mixed || other->pool == user->pool)
      return true;
  }
  return false;
}

struct backend_conn *
backend_acquire (struct backend *backend, struct conn_user *user)
{
  struct backend_conn *conn = NULL;
  user->pool = user->workspace != NULL
                   ? find_workspace (backend, user->workspace)
                   : NULL;
  if (!is_preceded (backend, user) && may_be_granted (backend, user->pool))
    conn = best_idle (backend, user);
  if (conn != NULL)
    {
      user->pool = NULL;
      conn_assign (conn, user);
      return conn;
    }
  enqueue (backend, user);
  pool_open_needed (backend);
  return NULL;
}

void
backend_cancel (struct conn_user *user)
{
  struct backend *backend = user->waits_for;
  if (backend == NULL)
    return;
  dequeue (user);
  /* Others may have waited for its sake.  */
  if (backend->waiters != NULL && backend->idle > 0
      && pool_has_workspaces (backend))
    backend_arm_tick (backend, backend_now (backend));
}

/* Returns the first waiting user that may be granted an idle connection, and
   sets CONN to it.  */
static struct conn_user *
next_to_serve (struct backend *backend, struct backend_conn **conn)
{
  struct conn_user *user;
  if (backend->idle == 0)
    return NULL;
  DL_FOREACH (backend->waiters, user)
  {
    *conn = best_idle (backend, user);
    if (*conn != NULL && may_be_granted (backend, user->pool))
      return user;
  }
  return NULL;
}

void
backend_serve_waiters (struct backend *backend)
{
  while (backend->waiters != NULL)
    {
      struct backend_conn *conn;
      /* A workspace may take over the connection that has become idle.  */
      if (pool_has_workspaces (backend))
        pool_open_needed (backend);
      struct conn_user *user = next_to_serve (backend, &conn);
      if (user == NULL)
        break;
      dequeue (user);
      conn_assign (conn, user);
      user->ops->granted (user, conn);
    }
  if (backend->waiters != NULL)
    pool_open_needed (backend);
}

/* Returns how long WORKSPACE has to wait, in ms, until an idle connection of
   HOLDER, which was used last IDLE_MS ago, is closed for it; 0: not any more,
   CLK_NEVER: as long as users of HOLDER wait.  */
static clk_ms
wait_for (const struct backend *backend,
          const struct pool_workspace *workspace,
          const struct pool_workspace *holder, clk_ms idle_ms)
{
  uint32_t share = fair_share (backend);
  clk_ms now_ms = backend_now (backend);
  clk_ms left_ms = BACKEND_TURN_MS - (now_ms - workspace->unserved_ms);
  if (holder->waiting > 0 && may_use_more (backend, holder))
    {
      left_ms += now_ms - holder->unserved_ms;
      return in_use (workspace) < share
                     && (in_use (holder) >= share || left_ms <= 0)
                 ? 0
                 : CLK_NEVER;
    }
  /* A connection that it uses may be free before a new one is open.  */
  if (in_use (workspace) > 0)
    return left_ms > 0 ? left_ms : 0;
  /* Both times grow.  */
  left_ms -= idle_ms;
  return left_ms > 0 ? (left_ms + 1) / 2 : 0;
}

/* Returns the preference for closing CONN for another workspace.  */
static int
evict_rank (const struct backend_conn *conn)
{
  const struct backend *backend = conn->backend;
  if (backend_now (backend) - conn->used_ms >= BACKEND_WORKSPACE_IDLE_MS)
    return 2;
  return conn->workspace->conns > 1 || conn->workspace == &backend->own;
}

/* Returns the idle connection to be closed for WORKSPACE, or NULL.  If one
   will be later, schedules the maintenance for then.  */
static struct backend_conn *
pick_victim (struct backend *backend, const struct pool_workspace *workspace)
{
  struct backend_conn *best = NULL, *conn;
  clk_ms now_ms = backend_now (backend), soonest_ms = CLK_NEVER;
  DL_FOREACH (backend->conns, conn)
  {
    if (conn->phase != CONN_IDLE || conn->workspace == workspace)
      continue;
    clk_ms wait_ms = wait_for (backend, workspace, conn->workspace,
                               now_ms - conn->used_ms);
    if (wait_ms < soonest_ms)
      soonest_ms = wait_ms;
    if (wait_ms > 0)
      continue;
    if (best == NULL || evict_rank (conn) > evict_rank (best)
        || (evict_rank (conn) == evict_rank (best)
            && conn->used_ms < best->used_ms))
      best = conn;
  }
  if (best != NULL && backend->evict_ms > now_ms)
    {
      best = NULL;
      soonest_ms = backend->evict_ms - now_ms;
    }
  if (best == NULL && soonest_ms != CLK_NEVER)
    backend_arm_tick (backend, now_ms + soonest_ms);
  return best;
}

/* Closes CONN to make room for a connection of WORKSPACE.  */
static void
evict (struct backend_conn *conn, const struct pool_workspace *workspace)
{
  struct backend *backend = conn->backend;
  clk_ms now_ms = backend_now (backend);
  clk_ms paused_ms
      = now_ms - (clk_ms)(BACKEND_EVICT_BURST - 1) * BACKEND_EVICT_INTERVAL_MS;
  if (backend->evict_ms < paused_ms)
    backend->evict_ms = paused_ms;
  backend->evict_ms += BACKEND_EVICT_INTERVAL_MS;
  backend->evicted++;
  metrics_increment (kernel_metrics (backend->options.kernel),
                     "connections_evicted_total");
  if (now_ms - backend->evict_logged_ms >= EVICT_LOG_MS)
    {
      log_event (backend_log (backend), LOG_INFO, "connections_evicted",
                 LOG_S ("instance", backend->entry.id),
                 LOG_U ("count", backend->evicted),
                 LOG_S ("last_of", conn->workspace->name),
                 LOG_S ("last_for", workspace->name),
                 LOG_U ("connections", backend->conn_count),
                 LOG_U ("waiting", backend->waiting));
      backend->evict_logged_ms = now_ms;
      backend->evicted = 0;
    }
  conn_close (conn);
}

/* Closes connections of other workspaces as far as one of WORKSPACE needs
   their place.  Returns whether it may be opened.  */
static bool
make_room (struct backend *backend, const struct pool_workspace *workspace)
{
  uint32_t limit = backend->share;
  if (backend_now (backend) - backend->refused_ms < BACKEND_FULL_MS
      && backend->refused_count < limit)
    limit = backend->refused_count;
  while (backend->conn_count >= limit)
    {
      struct backend_conn *victim = pick_victim (backend, workspace);
      if (victim == NULL)
        break;
      evict (victim, workspace);
    }
  return backend->conn_count < backend->share;
}

/* Returns whether a connection may be opened besides those that are being
   opened.  */
static bool
may_open (const struct backend *backend)
{
  const struct pool_workspace *workspace;
  if (backend->opening < BACKEND_OPENING_LIMIT)
    return true;
  if (backend->opening >= BACKEND_OPENING_LIMIT_WORKSPACES)
    return false;
  DL_FOREACH (backend->workspaces, workspace)
  {
    if (workspace->opening > 0 && workspace->waiting == 0)
      return false;
  }
  return true;
}

/* Returns the workspace that a connection is opened for next: of those that
   need one, the one that uses the fewest, and then the one that has waited
   longest.  */
static struct pool_workspace *
next_to_open (const struct backend *backend)
{
  struct pool_workspace *best = NULL, *workspace;
  if (!may_open (backend))
    return NULL;
  DL_FOREACH (backend->workspaces, workspace)
  {
    if (workspace->opening > 0 || !needs_connection (backend, workspace))
      continue;
    if (best == NULL || in_use (workspace) < in_use (best)
        || (in_use (workspace) == in_use (best)
            && workspace->unserved_ms < best->unserved_ms))
      best = workspace;
  }
  return best;
}

void
pool_open_needed (struct backend *backend)
{
  struct pool_workspace *workspace;
  bool too_few
      = backend->conn_count < BACKEND_MIN_CONNECTIONS && backend->waiting == 0;
  if (backend->closing)
    return;
  if (backend_now (backend) < backend->retry_ms)
    {
      if (too_few || backend->opening < backend->waiting)
        backend_arm_tick (backend, backend->retry_ms);
      return;
    }
  if (too_few && backend->conn_count < backend->share)
    conn_open (backend, &backend->own);
  while ((workspace = next_to_open (backend)) != NULL
         && make_room (backend, workspace))
    conn_open (backend, workspace);
}

/* Returns whether CONN has been idle for so long that it is closed if there
   are more than backend_idle_target.  */
static bool
is_spare (const struct backend_conn *conn)
{
  const struct backend *backend = conn->backend;
  clk_ms now_ms = backend_now (backend);
  if (conn->phase != CONN_IDLE)
    return false;
  if (conn->workspace == &backend->own)
    return now_ms - conn->since_ms >= BACKEND_SPARE_IDLE_MS;
  return now_ms - conn->used_ms >= (conn->workspace->idle > 1
                                        ? BACKEND_SPARE_IDLE_MS
                                        : BACKEND_WORKSPACE_IDLE_MS);
}

void
pool_close_spare (struct backend *backend)
{
  struct backend_conn *conn, *next;
  DL_FOREACH_SAFE (backend->conns, conn, next)
  {
    if (backend->conn_count <= backend_idle_target (backend))
      return;
    if (is_spare (conn))
      conn_close (conn);
  }
}

void
pool_clear (struct backend *backend)
{
  DL_DELETE (backend->workspaces, &backend->own);
}

uint32_t
backend_idle (const struct backend *backend, const char *workspace)
{
  if (workspace == NULL)
    return backend->idle;
  const struct pool_workspace *found = find_workspace (backend, workspace);
  return found != NULL ? found->idle : 0;
}

uint32_t
backend_waiting (const struct backend *backend, const char *workspace)
{
  const struct pool_workspace *other;
  uint32_t waiting = backend->waiting_any;
  DL_FOREACH (backend->workspaces, other)
  {
    bool same = workspace == NULL || strcmp (other->name, workspace) == 0;
    waiting += same ? other->waiting : other->waiting > 0;
  }
  return waiting;
}
