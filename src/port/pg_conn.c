#include "port/pg_conn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "kernel/mem.h"

/* Row data of a too large result that is read and discarded; beyond it the
   connection is closed.  */
#define DROPPED_LIMIT_BYTES (1U << 20)

/* A connection keeps a result buffer of up to this size for its next job.  */
#define KEPT_RESULT_BYTES (64U << 10)

/* The connection to an unresponsive server fails after 5 + 3 * 2 seconds of
   keep-alive, or when sent data has not been acknowledged for 10 seconds.  */
#define KEEPALIVE_IDLE_S "5"
#define KEEPALIVE_INTERVAL_S "2"
#define KEEPALIVE_COUNT "3"
#define SEND_TIMEOUT_MS "10000"

static void on_connect (evutil_socket_t fd, short what, void *arg);
static void on_readable (evutil_socket_t fd, short what, void *arg);
static void on_writable (evutil_socket_t fd, short what, void *arg);

clk_ms
pg_now (void)
{
  struct timespec now;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (clk_ms)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static struct db_conn *
handle (struct pg_conn *conn)
{
  return (struct db_conn *)conn;
}

/* libpq reports errors of the server that answer no query as notices, and has
   notices of its own, without an SQLSTATE, for other such messages.  A FATAL
   error needs nothing, since the server closes the connection.  */
static void
on_notice (void *arg, const PGresult *notice)
{
  struct pg_conn *conn = arg;
  const char *severity
      = PQresultErrorField (notice, PG_DIAG_SEVERITY_NONLOCALIZED);
  if (PQresultErrorField (notice, PG_DIAG_SQLSTATE) == NULL
      || (severity != NULL && strcmp (severity, "ERROR") == 0))
    conn->unmatched = true;
}

/* Lifetime of a connection.  Its user may close it from within any event
   callback; it is freed when the outermost event handler returns.  */

static void
job_clear (struct pg_conn *conn)
{
  for (size_t i = 0; i < conn->job.param_count; i++)
    free ((char *)conn->job.params[i]);
  free ((void *)conn->job.params);
  free ((char *)conn->job.statement);
  free ((char *)conn->job.request_id);
  free ((char *)conn->job.follow_address);
  memset (&conn->job, 0, sizeof conn->job);
  pg_role_clear (conn);
}

static void
conn_free (struct pg_conn *conn)
{
  job_clear (conn);
  free (conn->batch.message);
  pg_result_free (&conn->result);
  free (conn);
}

static void
event_clear (struct event **event)
{
  if (*event != NULL)
    event_free (*event);
  *event = NULL;
}

void
pg_conn_close (struct pg_conn *conn)
{
  if (conn->dead)
    return;
  conn->dead = true;
  conn->running = false;
  event_clear (&conn->readable);
  event_clear (&conn->writable);
  event_clear (&conn->timer);
  PQfinish (conn->pg);
  conn->pg = NULL;
  if (conn->prev != NULL)
    conn->prev->next = conn->next;
  else
    conn->port->conns = conn->next;
  if (conn->next != NULL)
    conn->next->prev = conn->prev;
  if (conn->entered == 0)
    conn_free (conn);
}

static void
enter (struct pg_conn *conn)
{
  conn->entered++;
}

static void
leave (struct pg_conn *conn)
{
  if (--conn->entered == 0 && conn->dead)
    conn_free (conn);
}

void
pg_conn_finish (struct pg_conn *conn, enum db_status status,
                const char *payload, size_t payload_bytes)
{
  struct db_result result = {
    .status = status,
    .report = conn->report,
    .payload = payload,
    .payload_bytes = payload_bytes,
    .sqlstate = conn->batch.sqlstate,
    .message = conn->batch.message,
    .broken = conn->broken,
  };
  /* The user may submit the next job from within the callback, so the state of
     this job is detached first.  */
  char *message = conn->batch.message;
  char sqlstate[PG_SQLSTATE_BYTES];
  memcpy (sqlstate, conn->batch.sqlstate, sizeof sqlstate);
  struct pg_result body = conn->result;
  result.sqlstate = sqlstate;
  conn->batch.message = NULL;
  conn->result = (struct pg_result){ 0 };
  conn->running = false;
  job_clear (conn);
  conn->events->result (conn->arg, handle (conn), &result);
  free (message);
  if (conn->result.text == NULL && body.capacity <= KEPT_RESULT_BYTES)
    conn->result = body;
  else
    pg_result_free (&body);
}

/* The server rolls back a write whose COMMIT was not sent.  */
static enum db_status
status_when_broken (const struct pg_conn *conn)
{
  bool writes = conn->job.kind == DB_WRITE || conn->job.kind == DB_COMMIT;
  return writes && !conn->commit_sent ? DB_REFUSED : DB_LOST;
}

void
pg_conn_break (struct pg_conn *conn, const char *why)
{
  char *copy = mem_strdup (why);
  size_t length = strlen (copy);
  enum db_status status = status_when_broken (conn);
  while (length > 0 && copy[length - 1] == '\n')
    copy[--length] = 0;
  conn->broken = true;
  while (conn->running && !conn->dead)
    {
      memset (&conn->report, 0, sizeof conn->report);
      free (conn->batch.message);
      conn->batch.message = mem_strdup (copy);
      pg_conn_finish (conn, status, NULL, 0);
      status = DB_LOST;
    }
  if (!conn->dead)
    conn->events->closed (conn->arg, handle (conn), copy);
  pg_conn_close (conn);
  free (copy);
}

/* Opening a connection.  */

static struct timeval
span (clk_ms ms)
{
  return (struct timeval){ .tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000 };
}

static bool
add_socket_event (struct pg_conn *conn, event_callback_fn fn, short what)
{
  event_clear (&conn->readable);
  conn->readable
      = event_new (conn->port->events, PQsocket (conn->pg), what, fn, conn);
  return conn->readable != NULL && event_add (conn->readable, NULL) == 0;
}

static void
opened (struct pg_conn *conn)
{
  event_clear (&conn->readable);
  evtimer_del (conn->timer);
  if (PQsetnonblocking (conn->pg, 1) != 0
      || PQenterPipelineMode (conn->pg) != 1
      || !add_socket_event (conn, on_readable, EV_READ | EV_PERSIST))
    {
      pg_conn_break (conn, PQerrorMessage (conn->pg));
      return;
    }
  conn->writable = event_new (conn->port->events, PQsocket (conn->pg),
                              EV_WRITE, on_writable, conn);
  conn->open = true;
  conn->events->opened (conn->arg, handle (conn));
}

static void
on_connect (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct pg_conn *conn = arg;
  bool added = true;
  enter (conn);
  switch (PQconnectPoll (conn->pg))
    {
    case PGRES_POLLING_READING:
      added = add_socket_event (conn, on_connect, EV_READ);
      break;
    case PGRES_POLLING_WRITING:
      added = add_socket_event (conn, on_connect, EV_WRITE);
      break;
    case PGRES_POLLING_OK:
      opened (conn);
      break;
    default:
      pg_conn_break (conn, PQerrorMessage (conn->pg));
      break;
    }
  if (!added)
    pg_conn_break (conn, "socket can't be watched");
  leave (conn);
}

/* Runs on the connect timeout, on a failure detected within an operation of
   the port, and at the end of the delay of pg_conn_wait.  */
static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct pg_conn *conn = arg;
  enter (conn);
  if (PQstatus (conn->pg) == CONNECTION_BAD)
    pg_conn_break (conn, PQerrorMessage (conn->pg));
  else if (!conn->open)
    pg_conn_break (conn, "connect timeout");
  else if (conn->batch.syncs > 0)
    pg_conn_break (conn, "send failed");
  else if (conn->running && conn->batch.next != NULL)
    conn->batch.next (conn);
  leave (conn);
}

static PGconn *
connect_start (const struct pg_options *options,
               const struct db_target *target)
{
  char port[8];
  snprintf (port, sizeof port, "%u", target->port);
  const char *sslmode
      = options->sslmode == NULL ? "disable" : options->sslmode;
  const char *const pairs[][2] = {
    { "hostaddr", target->address },
    { "port", port },
    { "user", options->user },
    { "password", options->password },
    { "dbname", options->dbname },
    { "sslmode", sslmode },
    { "gssencmode", "disable" },
    { "application_name", "savoryway" },
    { "client_encoding", "UTF8" }, /* results become JSON */
    { "keepalives_idle", KEEPALIVE_IDLE_S },
    { "keepalives_interval", KEEPALIVE_INTERVAL_S },
    { "keepalives_count", KEEPALIVE_COUNT },
    { "tcp_user_timeout", SEND_TIMEOUT_MS },
  };
  enum
  {
    PAIRS = sizeof pairs / sizeof pairs[0]
  };
  const char *keywords[PAIRS + 1] = { NULL };
  const char *values[PAIRS + 1] = { NULL };
  for (size_t i = 0; i < PAIRS; i++)
    {
      keywords[i] = pairs[i][0];
      values[i] = pairs[i][1];
    }
  return PQconnectStartParams (keywords, values, 0);
}

struct pg_conn *
pg_conn_open (struct pg_port *port, const struct db_target *target,
              const struct db_conn_events *events, void *arg)
{
  struct pg_conn *conn = mem_zalloc (sizeof *conn);
  conn->port = port;
  conn->events = events;
  conn->arg = arg;
  conn->next = port->conns;
  if (conn->next != NULL)
    conn->next->prev = conn;
  port->conns = conn;
  conn->pg = connect_start (&port->options, target);
  conn->timer = evtimer_new (port->events, on_timer, conn);
  struct timeval timeout = span (port->options.connect_timeout_ms);
  evtimer_add (conn->timer, &timeout);
  if (conn->pg != NULL)
    PQsetNoticeReceiver (conn->pg, on_notice, conn);
  if (PQstatus (conn->pg) == CONNECTION_BAD
      || !add_socket_event (conn, on_connect, EV_WRITE))
    event_active (conn->timer, EV_TIMEOUT, 0);
  return conn;
}

/* Input and output.  */

void
pg_conn_flush (struct pg_conn *conn)
{
  int rest = PQflush (conn->pg);
  if (rest > 0)
    event_add (conn->writable, NULL);
  if (rest < 0 || PQstatus (conn->pg) == CONNECTION_BAD)
    event_active (conn->timer, EV_TIMEOUT, 0);
}

void
pg_conn_wait (struct pg_conn *conn, clk_ms delay_ms, pg_step step)
{
  struct timeval delay = span (delay_ms);
  conn->batch.next = step;
  evtimer_add (conn->timer, &delay);
}

static void
on_input (struct pg_conn *conn)
{
  bool alive = PQconsumeInput (conn->pg) == 1;
  bool answered
      = conn->running && conn->batch.syncs > 0 && pg_batch_read (conn);
  if (conn->batch.syncs == 0)
    PQisBusy (conn->pg); /* parses what answers no query */
  if (conn->unmatched)
    {
      pg_conn_break (conn, PQstatus (conn->pg) == CONNECTION_BAD
                               ? PQerrorMessage (conn->pg)
                               : "a message answers no query");
      return;
    }
  if (answered)
    {
      conn->batch.next (conn);
      if (conn->dead)
        return;
    }
  if (!alive || PQstatus (conn->pg) == CONNECTION_BAD)
    pg_conn_break (conn, PQerrorMessage (conn->pg));
  else if (conn->result.dropped_bytes > DROPPED_LIMIT_BYTES && conn->running)
    {
      conn->broken = true;
      pg_conn_finish (conn, DB_TOO_LARGE, NULL, 0);
      pg_conn_break (conn, "result too large");
    }
}

static void
on_readable (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct pg_conn *conn = arg;
  enter (conn);
  on_input (conn);
  leave (conn);
}

static void
on_writable (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  pg_conn_flush (arg);
}
