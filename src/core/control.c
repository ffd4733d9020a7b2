#include "core/control.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "kernel/mem.h"

/* Timeouts of connection attempts and of jobs by kind.  */
#define CONNECT_TIMEOUT_MS 1000
#define STATUS_TIMEOUT_MS 1000
#define SEAL_TIMEOUT_MS 3000
#define ROLE_TIMEOUT_MS 10000

/* Backoff after a failure: doubles from the minimum up to the maximum.  */
#define REOPEN_MIN_MS 100
#define REOPEN_MAX_MS 1000

enum link_state
{
  LINK_CLOSED,
  LINK_OPENING,
  LINK_OPEN
};

struct control_job
{
  enum db_job_kind kind;
  uint64_t term;
  char follow_address[ADDRESS_BYTES];
  uint16_t follow_port;
  control_done done;
  void *arg;
  struct control_job *prev;
  struct control_job *next;
};

struct control
{
  struct kernel *kernel;
  struct db_port *port;
  char address[ADDRESS_BYTES];
  uint16_t db_port_number;
  enum link_state link;
  struct db_conn *conn;
  struct control_job *queue;
  bool running; /* the first job of the queue is submitted */
  struct control_state state;
  struct ktimer timeout;
  struct ktimer reopen;
};

static void start_next (struct control *control);

static void
finish_job (struct control_job *job, const struct db_result *result)
{
  control_done done = job->done;
  void *arg = job->arg;
  free (job);
  if (done != NULL)
    done (arg, result);
}

/* Fails all queued jobs.  Jobs added by their callbacks stay queued.  */
static void
fail_jobs (struct control *control)
{
  struct control_job *queue = control->queue;
  control->queue = NULL;
  control->running = false;
  while (queue != NULL)
    {
      struct control_job *job = queue;
      DL_DELETE (queue, job);
      finish_job (job, NULL);
    }
}

static void
handle_link_loss (struct control *control)
{
  uint32_t shift = control->state.failures < 4 ? control->state.failures : 4;
  clk_ms backoff_ms = REOPEN_MIN_MS << shift;
  if (backoff_ms > REOPEN_MAX_MS)
    backoff_ms = REOPEN_MAX_MS;
  control->link = LINK_CLOSED;
  control->conn = NULL;
  control->state.failures++;
  kernel_timer_cancel (control->kernel, &control->timeout);
  kernel_timer_set (control->kernel, &control->reopen,
                    kernel_now (control->kernel) + backoff_ms);
  fail_jobs (control);
}

static void
on_timeout (void *arg)
{
  struct control *control = arg;
  control->port->ops->close (control->port, control->conn);
  handle_link_loss (control);
}

static void
set_timeout (struct control *control, clk_ms delay_ms)
{
  kernel_timer_set (control->kernel, &control->timeout,
                    kernel_now (control->kernel) + delay_ms);
}

static void
on_opened (void *arg, struct db_conn *conn)
{
  struct control *control = arg;
  (void)conn;
  control->link = LINK_OPEN;
  kernel_timer_cancel (control->kernel, &control->timeout);
  start_next (control);
}

static bool
has_report (const struct db_result *result)
{
  return result->status == DB_OK
         || (result->status == DB_REFUSED && result->report.term != 0);
}

static void
on_result (void *arg, struct db_conn *conn, const struct db_result *result)
{
  struct control *control = arg;
  struct control_job *job = control->queue;
  (void)conn;
  if (result->status == DB_LOST || job == NULL)
    return;
  kernel_timer_cancel (control->kernel, &control->timeout);
  DL_DELETE (control->queue, job);
  control->running = false;
  control->state.failures = 0;
  control->state.answered_ms = kernel_now (control->kernel);
  if (has_report (result))
    {
      control->state.reported = true;
      control->state.report_ms = control->state.answered_ms;
      control->state.report = result->report;
    }
  finish_job (job, result);
  start_next (control);
}

static void
on_closed (void *arg, struct db_conn *conn, const char *why)
{
  (void)conn;
  (void)why;
  handle_link_loss (arg);
}

static const struct db_conn_events events
    = { .opened = on_opened, .result = on_result, .closed = on_closed };

static void
open_link (struct control *control)
{
  const struct db_target target
      = { .address = control->address, .port = control->db_port_number };
  control->link = LINK_OPENING;
  set_timeout (control, CONNECT_TIMEOUT_MS);
  control->conn
      = control->port->ops->open (control->port, &target, &events, control);
}

static clk_ms
job_timeout_ms (enum db_job_kind kind)
{
  if (kind == DB_STATUS)
    return STATUS_TIMEOUT_MS;
  return kind == DB_SEAL || kind == DB_FENCE ? SEAL_TIMEOUT_MS
                                             : ROLE_TIMEOUT_MS;
}

static void
run_job (struct control *control)
{
  const struct control_job *queued = control->queue;
  const struct db_job job = { .kind = queued->kind,
                              .term = queued->term,
                              .follow_address = queued->follow_address,
                              .follow_port = queued->follow_port };
  control->running = true;
  set_timeout (control, job_timeout_ms (queued->kind));
  control->port->ops->submit (control->port, control->conn, &job);
}

static void
start_next (struct control *control)
{
  if (control->queue == NULL || control->running)
    return;
  if (control->link == LINK_OPEN)
    run_job (control);
  else if (control->link == LINK_CLOSED && control->reopen.slot == 0)
    open_link (control);
}

static void
on_reopen (void *arg)
{
  start_next (arg);
}

struct control *
control_new (struct kernel *kernel, struct db_port *port,
             const struct db_target *target)
{
  struct control *control = mem_zalloc (sizeof *control);
  size_t length = strnlen (target->address, ADDRESS_BYTES - 1);
  control->kernel = kernel;
  control->port = port;
  memcpy (control->address, target->address, length);
  control->db_port_number = target->port;
  control->state.answered_ms = kernel_now (kernel);
  control->timeout.fire = on_timeout;
  control->timeout.arg = control;
  control->reopen.fire = on_reopen;
  control->reopen.arg = control;
  return control;
}

void
control_free (struct control *control)
{
  if (control == NULL)
    return;
  kernel_timer_cancel (control->kernel, &control->timeout);
  kernel_timer_cancel (control->kernel, &control->reopen);
  if (control->conn != NULL)
    control->port->ops->close (control->port, control->conn);
  struct control_job *job, *next;
  DL_FOREACH_SAFE (control->queue, job, next) { free (job); }
  free (control);
}

const struct control_state *
control_state (const struct control *control)
{
  struct control *self = (struct control *)control;
  self->state.busy = control->queue != NULL;
  return &control->state;
}

void
control_submit (struct control *control, enum db_job_kind kind, uint64_t term,
                const struct db_target *follow, control_done done, void *arg)
{
  struct control_job *job = mem_zalloc (sizeof *job);
  job->kind = kind;
  job->term = term;
  job->done = done;
  job->arg = arg;
  if (follow != NULL)
    {
      size_t length = strnlen (follow->address, ADDRESS_BYTES - 1);
      memcpy (job->follow_address, follow->address, length);
      job->follow_port = follow->port;
    }
  DL_APPEND (control->queue, job);
  start_next (control);
}

void
control_probe (struct control *control, control_done done, void *arg)
{
  if (control->queue == NULL)
    control_submit (control, DB_STATUS, 0, NULL, done, arg);
}
