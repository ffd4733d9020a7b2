#include "port/pg.h"

#include <assert.h>
#include <stdlib.h>

#include "kernel/mem.h"
#include "port/pg_conn.h"

/* Defaults of the options.  */
#define CONNECT_TIMEOUT_MS 5000
#define ROLE_TIMEOUT_MS 5000

static struct db_conn *
port_open (struct db_port *port, const struct db_target *target,
           const struct db_conn_events *events, void *arg)
{
  return (struct db_conn *)pg_conn_open ((struct pg_port *)port, target,
                                         events, arg);
}

static void
port_submit (struct db_port *port, struct db_conn *handle,
             const struct db_job *job)
{
  (void)port;
  struct pg_conn *conn = (struct pg_conn *)handle;
  assert (conn->open && !conn->running);
  conn->job = *job;
  conn->job.statement = mem_strdup (job->statement);
  conn->job.request_id = mem_strdup (job->request_id);
  conn->job.follow_address = mem_strdup (job->follow_address);
  const char **params = mem_zalloc ((job->param_count + 1) * sizeof *params);
  for (size_t i = 0; i < job->param_count; i++)
    params[i] = mem_strdup (job->params[i]);
  conn->job.params = params;
  conn->running = true;
  conn->commit_sent = false;
  conn->found = false;
  conn->report = (struct db_report){ 0 };
  if (!conn->broken)
    pg_job_start (conn);
}

static void
port_close (struct db_port *port, struct db_conn *handle)
{
  (void)port;
  pg_conn_close ((struct pg_conn *)handle);
}

struct db_port *
pg_port_new (struct event_base *base, const struct pg_options *options)
{
  static const struct db_port_ops ops = {
    .open = port_open,
    .submit = port_submit,
    .close = port_close,
  };
  struct pg_port *port = mem_zalloc (sizeof *port);
  port->base.ops = &ops;
  port->events = base;
  port->options = *options;
  if (port->options.connect_timeout_ms == 0)
    port->options.connect_timeout_ms = CONNECT_TIMEOUT_MS;
  if (port->options.role_timeout_ms == 0)
    port->options.role_timeout_ms = ROLE_TIMEOUT_MS;
  return &port->base;
}

void
pg_port_free (struct db_port *port)
{
  struct pg_port *pg = (struct pg_port *)port;
  while (pg->conns != NULL)
    pg_conn_close (pg->conns);
  free (pg);
}
