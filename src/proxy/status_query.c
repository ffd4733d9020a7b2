#include "proxy/status_query.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

/* The statement to one instance.  */
struct query_user
{
  struct conn_user user; /* must be the first member */
  struct status_query *query;
  struct backend_conn *conn;
  bool ended;
  size_t row;
};

struct status_query
{
  struct kernel *kernel;
  status_parse parse;
  enum stmt_kind kind;
  uint64_t term;
  status_query_done done;
  void *arg;
  struct ktimer timeout;
  size_t count;
  size_t ended;
  struct query_user users[GROUP_INSTANCES];
  struct status_row rows[GROUP_INSTANCES];
};

static void
end_user (struct query_user *user)
{
  struct status_query *query = user->query;
  if (user->ended)
    return;
  user->ended = true;
  query->ended++;
  if (query->ended == query->count)
    kernel_timer_set (query->kernel, &query->timeout,
                      kernel_now (query->kernel));
}

static void
on_granted (struct conn_user *base, struct backend_conn *conn)
{
  struct query_user *user = (struct query_user *)base;
  struct status_query *query = user->query;
  user->conn = conn;
  conn_send (conn, STEP_MAIN,
             &(struct statement){ .kind = query->kind, .term = query->term },
             NULL);
}

static void
on_answered (struct conn_user *base, struct backend_conn *conn,
             enum conn_step step, const struct answer *answer)
{
  struct query_user *user = (struct query_user *)base;
  struct status_row *row = &user->query->rows[user->row];
  (void)step;
  row->answered = user->query->parse (&row->status, answer);
  if (answer->has_position)
    row->applied = answer->position;
  if (!row->answered && answer->code == CODE_BUSY && answer->has_position
      && user->query->kind == STMT_STATUS)
    {
      row->status = (struct instance_status){ .term = answer->position.term,
                                              .received = answer->position };
      row->answered = row->busy = true;
    }
  user->conn = NULL;
  conn_release (conn);
  end_user (user);
}

static void
on_lost (struct conn_user *base)
{
  struct query_user *user = (struct query_user *)base;
  user->conn = NULL;
  end_user (user);
}

static const struct conn_user_ops user_ops
    = { .granted = on_granted, .answered = on_answered, .lost = on_lost };

static void
release (struct status_query *query)
{
  kernel_timer_cancel (query->kernel, &query->timeout);
  for (size_t i = 0; i < query->count; i++)
    {
      struct query_user *user = &query->users[i];
      backend_cancel (&user->user);
      if (user->conn != NULL)
        conn_release (user->conn);
      user->conn = NULL;
    }
}

static void
on_timeout (void *arg)
{
  struct status_query *query = arg;
  release (query);
  query->done (query->arg, query->rows, query->count);
  free (query);
}

struct status_query *
status_query_new (struct kernel *kernel, status_parse parse, size_t count,
                  struct backend *const *backends, enum stmt_kind kind,
                  uint64_t term, clk_ms timeout_ms, status_query_done done,
                  void *arg)
{
  struct status_query *query = mem_zalloc (sizeof *query);
  query->kernel = kernel;
  query->parse = parse;
  query->kind = kind;
  query->term = term;
  query->done = done;
  query->arg = arg;
  query->count = count;
  query->timeout = (struct ktimer){ .fire = on_timeout, .arg = query };
  kernel_timer_set (kernel, &query->timeout, kernel_now (kernel) + timeout_ms);
  for (size_t i = 0; i < count; i++)
    {
      struct query_user *user = &query->users[i];
      memcpy (query->rows[i].id, backend_entry (backends[i])->id, NAME_BYTES);
      user->user.ops = &user_ops;
      user->query = query;
      user->row = i;
      struct backend_conn *conn = backend_acquire (backends[i], &user->user);
      if (conn != NULL)
        on_granted (&user->user, conn);
    }
  return query;
}

void
status_query_free (struct status_query *query)
{
  if (query == NULL)
    return;
  release (query);
  free (query);
}
