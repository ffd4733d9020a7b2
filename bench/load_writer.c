#include "load_writer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

#define STEP_INTERVAL_MS 5
#define WRITE_TIMEOUT_MS 200

struct load_writer
{
  struct sim_control *control;
  size_t host;
  struct db_port *port;
  struct db_conn *conn;
  bool open;
  size_t instance; /* that conn is connected to */
  uint64_t term;
  bool busy;
  bool written; /* the current write is in the log, at lsn */
  uint64_t lsn;
  clk_ms start_ms;
  size_t next_write;
  size_t acknowledged;
  bool is_acknowledged[LOAD_WRITER_MAX_WRITES];
  clk_ms last_ack_ms;
  clk_ms gap_ms;
  struct ktimer timer;
};

static clk_ms
now (const struct load_writer *writer)
{
  return writer->control->sim.clk.now_ms;
}

static void
drop_conn (struct load_writer *writer)
{
  if (writer->conn != NULL)
    writer->port->ops->close (writer->port, writer->conn);
  writer->conn = NULL;
  writer->open = writer->busy = writer->written = false;
}

static void
acknowledge (struct load_writer *writer)
{
  clk_ms gap_ms = now (writer) - writer->last_ack_ms;
  if (gap_ms > writer->gap_ms)
    writer->gap_ms = gap_ms;
  writer->last_ack_ms = now (writer);
  writer->is_acknowledged[writer->next_write] = true;
  writer->acknowledged++;
  writer->next_write++;
  writer->written = false;
}

static void
on_opened (void *arg, struct db_conn *conn)
{
  struct load_writer *writer = arg;
  (void)conn;
  writer->open = true;
}

static void
on_result (void *arg, struct db_conn *conn, const struct db_result *result)
{
  struct load_writer *writer = arg;
  const struct db_report *report = &result->report;
  (void)conn;
  writer->busy = false;
  if (result->status == DB_LOST)
    return;
  if (result->status != DB_OK || report->term != writer->term
      || !report->primary)
    {
      writer->written = false;
      writer->next_write++;
      return;
    }
  if (!writer->written)
    {
      writer->written = true;
      writer->lsn = report->received_lsn;
    }
  if (report->confirmed_lsn >= writer->lsn)
    acknowledge (writer);
}

static void
on_closed (void *arg, struct db_conn *conn, const char *why)
{
  struct load_writer *writer = arg;
  (void)conn;
  (void)why;
  writer->conn = NULL;
  drop_conn (writer);
  writer->next_write++;
}

static const struct db_conn_events events
    = { .opened = on_opened, .result = on_result, .closed = on_closed };

static const struct term_record *
record (const struct load_writer *writer)
{
  if (!writer->control->sim.hosts[writer->host].alive)
    return NULL;
  return terms_get (writer->control->terms[writer->host], "t/s/d");
}

static size_t
find_instance (const char *name)
{
  size_t i = 0;
  while (i < SIM_INSTANCES
         && strcmp (sim_control_instance_name (i), name) != 0)
    i++;
  return i;
}

static void
run_job (struct load_writer *writer)
{
  char statement[64];
  snprintf (statement, sizeof statement, "put k%zu v", writer->next_write);
  const struct db_job job = {
    .kind = writer->written ? DB_STATUS : DB_WRITE,
    .statement = statement,
    .term = writer->term,
  };
  writer->busy = true;
  if (!writer->written)
    writer->start_ms = now (writer);
  writer->port->ops->submit (writer->port, writer->conn, &job);
}

static void
step (struct load_writer *writer)
{
  const struct term_record *r = record (writer);
  if (r == NULL || r->state != TERM_ACTIVE
      || writer->next_write >= LOAD_WRITER_MAX_WRITES)
    return;
  size_t instance = find_instance (r->primary);
  bool primary_changed
      = instance != writer->instance || r->term != writer->term;
  bool timed_out
      = writer->busy && now (writer) - writer->start_ms > WRITE_TIMEOUT_MS;
  if (writer->conn != NULL && (primary_changed || timed_out))
    {
      drop_conn (writer);
      writer->next_write++;
    }
  if (writer->conn == NULL)
    {
      const struct db_target target
          = { .address = "127.0.0.1", .port = (uint16_t)(5000 + instance) };
      writer->instance = instance;
      writer->term = r->term;
      writer->conn
          = writer->port->ops->open (writer->port, &target, &events, writer);
    }
  else if (writer->open && !writer->busy)
    run_job (writer);
}

static void
on_timer (void *arg)
{
  struct load_writer *writer = arg;
  step (writer);
  kernel_timer_set (writer->control->sim.world, &writer->timer,
                    now (writer) + STEP_INTERVAL_MS);
}

struct load_writer *
load_writer_new (struct sim_control *control, size_t host)
{
  struct load_writer *writer = mem_zalloc (sizeof *writer);
  writer->control = control;
  writer->host = host;
  if (control->writer_port == NULL)
    control->writer_port
        = sim_port_new (control->world, control->domains[host]);
  writer->port = control->writer_port;
  writer->last_ack_ms = now (writer);
  writer->timer.fire = on_timer;
  writer->timer.arg = writer;
  kernel_timer_set (control->sim.world, &writer->timer, now (writer));
  return writer;
}

void
load_writer_free (struct load_writer *writer)
{
  drop_conn (writer);
  kernel_timer_cancel (writer->control->sim.world, &writer->timer);
  free (writer);
}

void
load_writer_set_host (struct load_writer *writer, size_t host)
{
  writer->host = host;
}

size_t
load_writer_acknowledged (const struct load_writer *writer)
{
  return writer->acknowledged;
}

clk_ms
load_writer_gap_ms (const struct load_writer *writer)
{
  clk_ms lasting_ms = now (writer) - writer->last_ack_ms;
  return lasting_ms > writer->gap_ms ? lasting_ms : writer->gap_ms;
}

void
load_writer_reset_gap (struct load_writer *writer)
{
  writer->gap_ms = 0;
  writer->last_ack_ms = now (writer);
}

size_t
load_writer_lost (const struct load_writer *writer,
                  struct sim_instance *instance)
{
  size_t lost = 0;
  char key[32];
  for (size_t i = 0; i < writer->next_write; i++)
    {
      snprintf (key, sizeof key, "k%zu", i);
      lost += writer->is_acknowledged[i]
              && sim_instance_get (instance, key) == NULL;
    }
  return lost;
}
