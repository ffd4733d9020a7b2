/* pg_client - a group of the stand-in, and a client of the PostgreSQL port,
   for tests.  setup and teardown are the fixture of each test.  */

#ifndef TESTS_UNIT_PG_CLIENT_H
#define TESTS_UNIT_PG_CLIENT_H

#include <arpa/inet.h>
#include <check.h>
#include <event2/buffer.h>
#include <event2/http.h>

#include "../standin/standin_spawn.h"
#include "kernel/mem.h"
#include "port/pg.h"

#define PUT                                                                   \
  "INSERT INTO kv (k, v) VALUES ($1, $2) ON CONFLICT (k) DO UPDATE SET v = "  \
  "kv.v + $2"
#define GET "SELECT v FROM kv WHERE k = $1"
#define EMPTY "{\"columns\":[],\"rows\":[],\"affected\":1}"

struct client
{
  const struct db_job *again; /* submitted from within the next result */
  struct db_conn *conn;
  bool opened, closed, answered;
  struct db_result result;
  char payload[256], sqlstate[8];
};

static struct standin standin;
static struct event_base *base;
static struct db_port *port;

static inline void
on_opened (void *arg, struct db_conn *conn)
{
  (void)conn;
  ((struct client *)arg)->opened = true;
}

static inline void
on_result (void *arg, struct db_conn *conn, const struct db_result *result)
{
  struct client *client = arg;
  ck_assert (!client->answered);
  client->answered = true;
  client->result = *result;
  snprintf (client->payload, sizeof client->payload, "%.*s",
            (int)result->payload_bytes,
            result->payload == NULL ? "" : result->payload);
  snprintf (client->sqlstate, sizeof client->sqlstate, "%s",
            result->sqlstate == NULL ? "" : result->sqlstate);
  const struct db_job *again = client->again;
  client->again = NULL;
  client->answered = again == NULL;
  if (again != NULL)
    port->ops->submit (port, conn, again);
}

static inline void
on_closed (void *arg, struct db_conn *conn, const char *why)
{
  (void)conn;
  ck_assert_ptr_nonnull (why);
  ((struct client *)arg)->closed = true;
}

static const struct db_conn_events events
    = { .opened = on_opened, .result = on_result, .closed = on_closed };

static inline uint16_t
instance_port (const char *name)
{
  char key[32];
  snprintf (key, sizeof key, "instance=%s port=", name);
  return standin_port (&standin, key);
}

static inline void
start_open (struct client *client, uint16_t number)
{
  struct db_target target = { .address = "127.0.0.1", .port = number };
  memset (client, 0, sizeof *client);
  client->conn = port->ops->open (port, &target, &events, client);
  ck_assert (!client->opened && !client->closed);
}

static inline void
wait_open (struct client *client)
{
  while (!client->opened && !client->closed)
    event_base_loop (base, EVLOOP_ONCE);
}

static inline void
open_instance (struct client *client, const char *name)
{
  start_open (client, instance_port (name));
  wait_open (client);
  ck_assert (client->opened);
}

static inline void
submit (struct client *client, const struct db_job *job)
{
  client->answered = false;
  port->ops->submit (port, client->conn, job);
  ck_assert (!client->answered);
}

static inline enum db_status
wait_answer (struct client *client)
{
  while (!client->answered)
    event_base_loop (base, EVLOOP_ONCE);
  return client->result.status;
}

static inline enum db_status
run (struct client *client, struct db_job job)
{
  submit (client, &job);
  return wait_answer (client);
}

static inline struct db_job
put (const char *key, const char *id, uint64_t term)
{
  static const char *params[2];
  params[0] = key;
  params[1] = "1";
  return (struct db_job){ .kind = DB_WRITE,
                          .statement = PUT,
                          .param_count = 2,
                          .params = params,
                          .request_id = id,
                          .term = term };
}

static inline struct db_job
get (const char *key, uint64_t min_lsn)
{
  static const char *params[1];
  params[0] = key;
  return (struct db_job){ .kind = DB_READ,
                          .statement = GET,
                          .param_count = 1,
                          .params = params,
                          .min_lsn = min_lsn };
}

static inline struct db_job
follow (uint64_t term, const char *name)
{
  return (struct db_job){ .kind = DB_FOLLOW,
                          .term = term,
                          .follow_address = "127.0.0.1",
                          .follow_port = instance_port (name) };
}

struct control
{
  int status; /* -1 while it runs */
  char body[4096];
};

static inline void
on_control (struct evhttp_request *request, void *arg)
{
  struct control *control = arg;
  ck_assert_ptr_nonnull (request);
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  control->status = evhttp_request_get_response_code (request);
  evbuffer_remove (input, control->body, sizeof control->body - 1);
}

/* Asks the stand-in's control port; BODY NULL is a GET.  */
static inline struct control
ask (const char *path, const char *body)
{
  struct control control = { .status = -1 };
  struct evhttp_connection *http = evhttp_connection_base_new (
      base, NULL, "127.0.0.1", standin_port (&standin, "control="));
  struct evhttp_request *request = evhttp_request_new (on_control, &control);
  struct evbuffer *output = evhttp_request_get_output_buffer (request);
  evbuffer_add_printf (output, "%s", body == NULL ? "" : body);
  evhttp_make_request (http, request,
                       body == NULL ? EVHTTP_REQ_GET : EVHTTP_REQ_POST, path);
  while (control.status < 0)
    event_base_loop (base, EVLOOP_ONCE);
  ck_assert_int_eq (control.status, 200);
  evhttp_connection_free (http);
  return control;
}

static inline void
fault (const char *name, const char *kind, int value)
{
  char body[128];
  snprintf (body, sizeof body,
            "{\"instance\":\"%s\",\"kind\":\"%s\",\"value\":%d}", name, kind,
            value);
  ask ("/fault", body);
}

/* Number that follows KEY in the state of the first instance.  */
static inline int
state (const char *key)
{
  struct control control = ask ("/state", NULL);
  const char *at = strstr (control.body, key);
  ck_assert_ptr_nonnull (at);
  return (int)strtol (at + strlen (key), NULL, 10);
}

static inline void
setup (void)
{
  static const struct pg_options options
      = { .user = "savoryway", .dbname = "ledger", .role_timeout_ms = 400 };
  char *argv[] = { NULL, "--slots=2", "--connections=3", NULL };
  standin_spawn (&standin, "pg_standin", argv);
  base = event_base_new ();
  port = pg_port_new (base, &options);
}

static inline void
teardown (void)
{
  pg_port_free (port);
  event_base_free (base);
  standin_stop (&standin);
}

#endif
