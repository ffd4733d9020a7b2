/* The db_port of simulated instances: connections and transport of jobs.  */

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "kernel/mem.h"
#include "sim_internal.h"

static void
event_fire (void *arg)
{
  struct world_event *event = arg;
  DL_DELETE (event->world->events, event);
  event->fn (event->arg);
  free (event);
}

void
sim_world_schedule (struct sim_world *world, clk_ms delay_ms,
                    void (*fn) (void *), void *arg)
{
  struct world_event *event = mem_zalloc (sizeof *event);
  event->world = world;
  event->fn = fn;
  event->arg = arg;
  event->timer.fire = event_fire;
  event->timer.arg = event;
  DL_APPEND (world->events, event);
  kernel_timer_set (world->kernel, &event->timer,
                    kernel_now (world->kernel) + delay_ms);
}

clk_ms
sim_world_one_way_ms (const struct sim_world *world, const char *a,
                      const char *b)
{
  return strcmp (a, b) == 0 ? world->local_ms : world->remote_ms;
}

static clk_ms
conn_delay (const struct db_conn *conn)
{
  return sim_world_one_way_ms (conn->port->world, conn->port->domain,
                               conn->instance->domain);
}

bool
sim_conn_cut (const struct db_conn *conn)
{
  return conn->instance->isolated
         || !sim_world_reachable (conn->port->world, conn->port->domain,
                                  conn->instance->domain);
}

void
sim_conn_drop_pairs (struct db_conn *conn)
{
  for (size_t i = 0; i < conn->pair_count; i++)
    {
      free (conn->pairs[i].key);
      free (conn->pairs[i].value);
    }
  conn->pair_count = 0;
  conn->in_transaction = false;
}

static void
conn_detach (struct db_conn *conn)
{
  conn->closed = true;
  sim_conn_drop_pairs (conn);
  if (conn->opened && conn->epoch == conn->instance->epoch)
    conn->instance->open--;
}

static void
conn_closed (struct db_conn *conn, const char *why)
{
  if (conn->closed)
    return;
  conn_detach (conn);
  conn->events->closed (conn->arg, conn, why);
}

static void
conn_unreachable (void *arg)
{
  conn_closed (arg, "unreachable");
}

static void
conn_opened (void *arg)
{
  struct db_conn *conn = arg;
  struct sim_instance *instance = conn->instance;
  instance->opening--;
  if (conn->closed)
    return;
  if (sim_conn_cut (conn) || instance->frozen)
    {
      sim_world_schedule (conn->port->world, SIM_BREAK_MS, conn_unreachable,
                          conn);
      return;
    }
  if (instance->dead || instance->open >= instance->options.connections)
    {
      instance->refused++;
      conn_closed (conn, instance->dead ? "refused" : "too many connections");
      return;
    }
  conn->opened = true;
  conn->epoch = instance->epoch;
  instance->open++;
  if (instance->open > instance->open_peak)
    instance->open_peak = instance->open;
  conn->events->opened (conn->arg, conn);
}

static struct db_conn *
port_open (struct db_port *port, const struct db_target *target,
           const struct db_conn_events *events, void *arg)
{
  struct sim_port *self = (struct sim_port *)port;
  struct db_conn *conn = mem_zalloc (sizeof *conn);
  conn->port = self;
  conn->events = events;
  conn->arg = arg;
  conn->instance = sim_world_find (self->world, target->address, target->port);
  LL_PREPEND (self->world->conns, conn);
  if (conn->instance == NULL)
    {
      sim_world_schedule (self->world, 0, conn_unreachable, conn);
      return conn;
    }
  struct sim_instance *instance = conn->instance;
  if (++instance->opening > instance->opening_peak)
    instance->opening_peak = instance->opening;
  sim_world_schedule (self->world,
                      instance->options.connect_ms + conn_delay (conn) * 2,
                      conn_opened, conn);
  return conn;
}

static void
job_free (struct sim_job *job)
{
  DL_DELETE (job->instance->group->world->jobs, job);
  free ((char *)job->job.statement);
  free ((char *)job->job.request_id);
  for (size_t i = 0; i < job->job.param_count; i++)
    free ((char *)job->job.params[i]);
  free ((void *)job->job.params);
  free ((char *)job->job.follow_address);
  free (job->payload);
  free (job);
}

static void
job_lost (void *arg)
{
  struct sim_job *job = arg;
  struct db_conn *conn = job->conn;
  bool current = conn->job == job && !conn->closed;
  bool writes = job->job.kind == DB_WRITE || job->job.kind == DB_COMMIT;
  bool refused = writes && !job->executed && job->instance->dead;
  job_free (job);
  if (!current)
    return;
  conn->job = NULL;
  struct db_result result = { .status = refused ? DB_REFUSED : DB_LOST };
  conn->events->result (conn->arg, conn, &result);
  conn_closed (conn, "lost");
}

void
sim_job_break (struct sim_job *job, clk_ms after_ms)
{
  sim_world_schedule (job->conn->port->world, after_ms, job_lost, job);
}

static void
job_deliver (void *arg)
{
  struct sim_job *job = arg;
  struct db_conn *conn = job->conn;
  if (sim_conn_cut (conn))
    {
      sim_job_break (job, SIM_BREAK_MS);
      return;
    }
  if (conn->closed || conn->job != job)
    {
      job_free (job);
      return;
    }
  struct db_result result = {
    .status = job->status,
    .report = job->report,
    .payload = job->payload,
    .payload_bytes = job->payload ? strlen (job->payload) : 0,
    .sqlstate = job->status == DB_SQL_ERROR ? "22000" : NULL,
    .message = job->status == DB_SQL_ERROR ? "statement failed" : NULL,
  };
  conn->job = NULL;
  conn->events->result (conn->arg, conn, &result);
  job_free (job);
}

void
sim_job_answer (struct sim_job *job)
{
  struct sim_instance *instance = job->instance;
  if (instance->answers_to_lose > 0 && job->job.kind != DB_STATUS)
    {
      instance->answers_to_lose--;
      sim_job_break (job, conn_delay (job->conn));
      return;
    }
  sim_world_schedule (job->conn->port->world, conn_delay (job->conn),
                      job_deliver, job);
}

static void
job_arrive (void *arg)
{
  struct sim_job *job = arg;
  struct sim_instance *instance = job->instance;
  if (sim_conn_cut (job->conn))
    sim_job_break (job, SIM_BREAK_MS);
  else if (job->conn->epoch != instance->epoch)
    sim_job_break (job, conn_delay (job->conn));
  else
    sim_instance_accept_job (instance, job);
}

static char *
copy_text (const char *text)
{
  return text == NULL ? NULL : mem_strdup (text);
}

static void
port_submit (struct db_port *port, struct db_conn *conn,
             const struct db_job *from)
{
  struct sim_port *self = (struct sim_port *)port;
  struct sim_job *job = mem_zalloc (sizeof *job);
  job->job = *from;
  job->job.statement = copy_text (from->statement);
  job->job.request_id = copy_text (from->request_id);
  job->job.follow_address = copy_text (from->follow_address);
  char **params = mem_zalloc (from->param_count * sizeof *params);
  for (size_t i = 0; i < from->param_count; i++)
    params[i] = copy_text (from->params[i]);
  job->job.params = (const char *const *)params;
  job->conn = conn;
  job->instance = conn->instance;
  conn->job = job;
  DL_APPEND (self->world->jobs, job);
  sim_world_schedule (self->world, conn_delay (conn), job_arrive, job);
}

static void
port_close (struct db_port *port, struct db_conn *conn)
{
  (void)port;
  conn_detach (conn);
}

static void
conn_broken (void *arg)
{
  conn_closed (arg, "server closed the connection");
}

void
sim_conns_break (struct sim_instance *instance)
{
  struct db_conn *conn;
  LL_FOREACH (instance->group->world->conns, conn)
  {
    bool idle = conn->instance == instance && conn->opened && !conn->closed
                && conn->job == NULL;
    if (idle)
      sim_world_schedule (conn->port->world, conn_delay (conn), conn_broken,
                          conn);
  }
}

static const struct db_port_ops port_ops
    = { .open = port_open, .submit = port_submit, .close = port_close };

struct db_port *
sim_port_new (struct sim_world *world, const char *domain)
{
  struct sim_port *port = mem_zalloc (sizeof *port);
  port->base.ops = &port_ops;
  port->world = world;
  strncpy (port->domain, domain, sizeof port->domain - 1);
  return &port->base;
}

void
sim_port_free (struct db_port *port)
{
  free (port);
}

static void
group_free (struct sim_group *group)
{
  kernel_timer_cancel (group->world->kernel, &group->tick);
  while (group->instances != NULL)
    {
      struct sim_instance *instance = group->instances;
      group->instances = instance->next;
      free (instance->log.entries);
      free (instance);
    }
  sim_store_free (&group->store);
  free (group);
}

void
sim_world_free (struct sim_world *world)
{
  while (world->events != NULL)
    {
      struct world_event *event = world->events;
      DL_DELETE (world->events, event);
      kernel_timer_cancel (world->kernel, &event->timer);
      free (event);
    }
  while (world->jobs != NULL)
    job_free (world->jobs);
  while (world->conns != NULL)
    {
      struct db_conn *conn = world->conns;
      world->conns = conn->next;
      sim_conn_drop_pairs (conn);
      free (conn);
    }
  while (world->groups != NULL)
    {
      struct sim_group *group = world->groups;
      world->groups = group->next;
      group_free (group);
    }
  while (world->cuts != NULL)
    {
      struct sim_cut *cut = world->cuts;
      world->cuts = cut->next;
      free (cut);
    }
  free (world);
}
