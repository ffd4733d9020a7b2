#include "proxy/status_query.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

struct inquiry_user
{
  struct conn_user user; /* first */
  struct inquiry *inquiry;
  struct backend_conn *conn;
  bool ended;
  size_t row;
};

struct inquiry
{
  struct kernel *kernel;
  status_parse parse;
  enum stmt_kind kind;
  uint64_t term;
  inquiry_done done;
  void *arg;
  struct ktimer limit;
  size_t count;
  size_t ended;
  struct inquiry_user users[GROUP_INSTANCES];
  struct inquiry_row rows[GROUP_INSTANCES];
};

static void
end_user (struct inquiry_user *user)
{
  struct inquiry *inquiry = user->inquiry;
  if (user->ended)
    return;
  user->ended = true;
  inquiry->ended++;
  if (inquiry->ended == inquiry->count)
    kernel_timer_set (inquiry->kernel, &inquiry->limit,
                      kernel_now (inquiry->kernel));
}

static void
on_granted (struct conn_user *base, struct backend_conn *conn)
{
  struct inquiry_user *user = (struct inquiry_user *)base;
  struct inquiry *inquiry = user->inquiry;
  user->conn = conn;
  conn_send (
      conn, STEP_MAIN,
      &(struct statement){ .kind = inquiry->kind, .term = inquiry->term },
      NULL);
}

static void
on_answered (struct conn_user *base, struct backend_conn *conn,
             enum conn_step step, const struct answer *answer)
{
  struct inquiry_user *user = (struct inquiry_user *)base;
  struct inquiry_row *row = &user->inquiry->rows[user->row];
  (void)step;
  row->answered = user->inquiry->parse (&row->status, answer);
  if (!row->answered && answer->code == CODE_BUSY && answer->has_position
      && user->inquiry->kind == STMT_STATUS)
    {
      row->status = (struct instance_status){ .term = answer->position.term,
                                              .received = answer->position };
      row->answered = true;
    }
  user->conn = NULL;
  conn_release (conn);
  end_user (user);
}

static void
on_lost (struct conn_user *base)
{
  struct inquiry_user *user = (struct inquiry_user *)base;
  user->conn = NULL;
  end_user (user);
}

static const struct conn_user_ops user_ops
    = { .granted = on_granted, .answered = on_answered, .lost = on_lost };

static void
release (struct inquiry *inquiry)
{
  kernel_timer_cancel (inquiry->kernel, &inquiry->limit);
  for (size_t i = 0; i < inquiry->count; i++)
    {
      struct inquiry_user *user = &inquiry->users[i];
      backend_cancel (&user->user);
      if (user->conn != NULL)
        conn_release (user->conn);
      user->conn = NULL;
    }
}

static void
on_limit (void *arg)
{
  struct inquiry *inquiry = arg;
  release (inquiry);
  inquiry->done (inquiry->arg, inquiry->rows, inquiry->count);
  free (inquiry);
}

struct inquiry *
inquiry_new (struct kernel *kernel, status_parse parse, size_t count,
             struct backend *const *backends, enum stmt_kind kind,
             uint64_t term, clk_ms limit_ms, inquiry_done done, void *arg)
{
  struct inquiry *inquiry = mem_zalloc (sizeof *inquiry);
  inquiry->kernel = kernel;
  inquiry->parse = parse;
  inquiry->kind = kind;
  inquiry->term = term;
  inquiry->done = done;
  inquiry->arg = arg;
  inquiry->count = count;
  inquiry->limit = (struct ktimer){ .fire = on_limit, .arg = inquiry };
  kernel_timer_set (kernel, &inquiry->limit, kernel_now (kernel) + limit_ms);
  for (size_t i = 0; i < count; i++)
    {
      struct inquiry_user *user = &inquiry->users[i];
      memcpy (inquiry->rows[i].id, backend_entry (backends[i])->id,
              NAME_BYTES);
      user->user.ops = &user_ops;
      user->inquiry = inquiry;
      user->row = i;
      struct backend_conn *conn = backend_acquire (backends[i], &user->user);
      if (conn != NULL)
        on_granted (&user->user, conn);
    }
  return inquiry;
}

void
inquiry_free (struct inquiry *inquiry)
{
  if (inquiry == NULL)
    return;
  release (inquiry);
  free (inquiry);
}
