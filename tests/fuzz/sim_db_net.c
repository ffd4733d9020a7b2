#include "sim_db_net.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

/* Time until a connection is closed after a cut lost a request on it.  */
#define BREAK_AFTER_MS 5000

/* A connection; the host sees it as struct db_conn.  */
struct sim_db_net_conn
{
  struct sim_db_net_conn *prev;
  struct sim_db_net_conn *next;
  struct sim_db_net *db_net;
  size_t host;
  size_t instance;
  uint64_t id;
  struct db_conn *inner; /* NULL once broken */
  const struct db_conn_events *events;
  void *arg;
  bool busy;         /* the host waits for a result */
  bool message_lost; /* to a cut */
};

enum notice_kind
{
  NOTICE_OPENED,
  NOTICE_RESULT,
  NOTICE_CLOSED
};

/* Delivers an event of a connection to its host.  The connection is looked up
   by id, since it may be gone by then.  */
struct notice
{
  struct sim_event base;
  struct sim_db_net *db_net;
  uint64_t conn;
  enum notice_kind kind;
  struct db_result result;
  char *payload;
  char *sqlstate;
  char *message;
};

static struct sim_db_net_conn *
find_conn (struct sim_db_net *db_net, uint64_t id)
{
  for (struct sim_db_net_conn *c = db_net->conns; c != NULL; c = c->next)
    if (c->id == id)
      return c;
  return NULL;
}

static void
conn_free (struct sim_db_net_conn *conn)
{
  struct sim_db_net *db_net = conn->db_net;
  if (conn->inner != NULL)
    {
      struct db_port *inner = db_net->ports[conn->host].inner;
      inner->ops->close (inner, conn->inner);
    }
  if (conn->prev != NULL)
    conn->prev->next = conn->next;
  else
    db_net->conns = conn->next;
  if (conn->next != NULL)
    conn->next->prev = conn->prev;
  free (conn);
}

static void
notice_drop (struct sim_event *event)
{
  struct notice *notice = (struct notice *)event;
  free (notice->payload);
  free (notice->sqlstate);
  free (notice->message);
  free (notice);
}

static void
deliver_closed (struct sim_db_net_conn *conn)
{
  const struct db_conn_events *events = conn->events;
  void *arg = conn->arg;
  if (conn->busy)
    {
      struct db_result lost = { .status = DB_LOST };
      uint64_t id = conn->id;
      struct sim_db_net *db_net = conn->db_net;
      conn->busy = false;
      events->result (arg, (struct db_conn *)conn, &lost);
      conn = find_conn (db_net, id);
      if (conn == NULL)
        return;
    }
  events->closed (arg, (struct db_conn *)conn, "connection reset");
  conn_free (conn);
}

static void
notice_run (struct sim_event *event)
{
  struct notice *notice = (struct notice *)event;
  struct sim_db_net_conn *conn = find_conn (notice->db_net, notice->conn);
  if (conn == NULL)
    return;
  if (notice->kind == NOTICE_OPENED)
    conn->events->opened (conn->arg, (struct db_conn *)conn);
  else if (notice->kind == NOTICE_CLOSED)
    deliver_closed (conn);
  else if (conn->busy)
    {
      conn->busy = false;
      conn->events->result (conn->arg, (struct db_conn *)conn,
                            &notice->result);
    }
}

static void
send_notice (struct sim_db_net_conn *conn, enum notice_kind kind,
             const struct db_result *result)
{
  struct sim_db_net *db_net = conn->db_net;
  struct sim_host *host = &db_net->sim->hosts[conn->host];
  if (db_net->cut[conn->host][conn->instance] && kind != NOTICE_CLOSED)
    {
      conn->message_lost = true;
      return;
    }
  struct notice *notice = mem_zalloc (sizeof *notice);
  notice->base.run = notice_run;
  notice->base.drop = notice_drop;
  notice->db_net = db_net;
  notice->conn = conn->id;
  notice->kind = kind;
  if (result != NULL)
    {
      notice->result = *result;
      notice->payload = mem_copy (result->payload ? result->payload : "",
                                  result->payload_bytes);
      notice->sqlstate = mem_strdup (result->sqlstate);
      notice->message = mem_strdup (result->message);
      notice->result.payload = result->payload ? notice->payload : NULL;
      notice->result.sqlstate = notice->sqlstate;
      notice->result.message = notice->message;
    }
  /* The delay is fixed to keep the order within a connection.  */
  sim_schedule (db_net->sim, host, 1, &notice->base);
}

static void
inner_opened (void *arg, struct db_conn *inner)
{
  struct sim_db_net_conn *conn = arg;
  (void)inner;
  send_notice (conn, NOTICE_OPENED, NULL);
}

static void
inner_result (void *arg, struct db_conn *inner, const struct db_result *result)
{
  struct sim_db_net_conn *conn = arg;
  (void)inner;
  send_notice (conn, NOTICE_RESULT, result);
}

static void
inner_closed (void *arg, struct db_conn *inner, const char *why)
{
  struct sim_db_net_conn *conn = arg;
  (void)inner;
  (void)why;
  conn->inner = NULL;
  if (conn->db_net->cut[conn->host][conn->instance])
    conn->message_lost = true;
  else
    send_notice (conn, NOTICE_CLOSED, NULL);
}

static const struct db_conn_events inner_events = { .opened = inner_opened,
                                                    .result = inner_result,
                                                    .closed = inner_closed };

/* Closes a connection after a cut lost a request on it.  */
struct break_event
{
  struct sim_event base;
  struct sim_db_net *db_net;
  uint64_t conn;
};

static void
break_event_run (struct sim_event *event)
{
  struct break_event *break_event = (struct break_event *)event;
  struct sim_db_net_conn *conn
      = find_conn (break_event->db_net, break_event->conn);
  if (conn != NULL && conn->message_lost)
    send_notice (conn, NOTICE_CLOSED, NULL);
}

static void
break_event_drop (struct sim_event *event)
{
  free (event);
}

static void
schedule_break (struct sim_db_net_conn *conn)
{
  struct break_event *break_event = mem_zalloc (sizeof *break_event);
  conn->message_lost = true;
  break_event->base.run = break_event_run;
  break_event->base.drop = break_event_drop;
  break_event->db_net = conn->db_net;
  break_event->conn = conn->id;
  sim_schedule (conn->db_net->sim, NULL, BREAK_AFTER_MS, &break_event->base);
}

static struct db_conn *
db_net_open (struct db_port *base, const struct db_target *target,
             const struct db_conn_events *events, void *arg)
{
  struct sim_db_net_port *port = (struct sim_db_net_port *)base;
  struct sim_db_net *db_net = port->db_net;
  struct sim_db_net_conn *conn = mem_zalloc (sizeof *conn);
  conn->db_net = db_net;
  conn->host = port->host->index;
  conn->instance = (size_t)(target->port - db_net->first_port);
  conn->id = ++db_net->next_id;
  conn->events = events;
  conn->arg = arg;
  conn->next = db_net->conns;
  if (conn->next != NULL)
    conn->next->prev = conn;
  db_net->conns = conn;
  if (db_net->cut[conn->host][conn->instance])
    schedule_break (conn);
  else
    conn->inner
        = port->inner->ops->open (port->inner, target, &inner_events, conn);
  return (struct db_conn *)conn;
}

static void
db_net_submit (struct db_port *base, struct db_conn *handle,
               const struct db_job *job)
{
  struct sim_db_net_port *port = (struct sim_db_net_port *)base;
  struct sim_db_net *db_net = port->db_net;
  struct sim_db_net_conn *conn = (struct sim_db_net_conn *)handle;
  if (conn->busy)
    abort (); /* one job at a time */
  conn->busy = true;
  if (conn->inner == NULL)
    return; /* closed already; the host is notified later */
  if (db_net->cut[conn->host][conn->instance])
    schedule_break (conn);
  else
    port->inner->ops->submit (port->inner, conn->inner, job);
}

static void
db_net_close (struct db_port *base, struct db_conn *handle)
{
  (void)base;
  conn_free ((struct sim_db_net_conn *)handle);
}

static const struct db_port_ops db_net_ops
    = { .open = db_net_open, .submit = db_net_submit, .close = db_net_close };

void
sim_db_net_init (struct sim_db_net *db_net, struct sim *sim,
                 uint16_t first_port)
{
  memset (db_net, 0, sizeof *db_net);
  db_net->sim = sim;
  db_net->first_port = first_port;
  for (size_t i = 0; i < SIM_HOSTS; i++)
    db_net->ports[i] = (struct sim_db_net_port){ .base.ops = &db_net_ops,
                                                 .db_net = db_net,
                                                 .host = &sim->hosts[i] };
}

void
sim_db_net_clear (struct sim_db_net *db_net)
{
  while (db_net->conns != NULL)
    conn_free (db_net->conns);
}

void
sim_db_net_cut (struct sim_db_net *db_net, size_t host, size_t instance,
                bool cut)
{
  db_net->cut[host][instance] = cut;
  if (cut)
    return;
  for (struct sim_db_net_conn *c = db_net->conns; c != NULL; c = c->next)
    if (c->host == host && c->instance == instance && c->message_lost)
      send_notice (c, NOTICE_CLOSED, NULL);
}

void
sim_db_net_kill (struct sim_db_net *db_net, size_t host)
{
  struct sim_db_net_conn *next;
  for (struct sim_db_net_conn *c = db_net->conns; c != NULL; c = next)
    {
      next = c->next;
      if (c->host == host)
        conn_free (c);
    }
}

size_t
sim_db_net_conns (const struct sim_db_net *db_net, size_t host)
{
  size_t count = 0;
  for (struct sim_db_net_conn *c = db_net->conns; c != NULL; c = c->next)
    count += c->host == host;
  return count;
}
