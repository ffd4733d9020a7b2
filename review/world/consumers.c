/* Consumers: sessions that run single statements, as the published protocol
   tells.  An operation is tried again, with a new id, after a promise that
   nothing is kept.  */

#include "world.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#define KINDS 3
#define BUDGET_MS 1200.0
#define RETRIES 2
#define OPERATIONS_LIMIT 200000
#define RECONNECT_MS 100.0

struct operation
{
  double begun_ms;
  bool served;
};

struct session
{
  int host;
  int kind;
  struct bufferevent *bev;
  struct event *budget; /* of the operation */
  struct event *pause;
  bool ready;
  bool running;
  bool writes;
  bool failed; /* the answer so far is an error */
  bool promised;
  bool raw; /* sends one given statement */
  unsigned tries;
  size_t operation;
  char id[40];
  char *text;
  size_t length;
  char code[24];
};

static const char *const databases[KINDS]
    = { "releases", "loading", "counts" };
static const double write_part[KINDS] = { 0.20, 0.12, 0.0 };
static struct operation *operations;
static size_t operation_count;
static unsigned long next_id;
static double pause_ms;
static double write_factor;
static bool stopped;

static void connect_session (struct session *session);
static void begin_operation (struct session *session);

static void
set_timer (struct event *event, double span_ms)
{
  struct timeval span = { .tv_sec = (time_t)(span_ms / 1000),
                          .tv_usec = (suseconds_t)(span_ms * 1000) % 1000000 };
  evtimer_add (event, &span);
}

static void
disconnect (struct session *session)
{
  if (session->bev != NULL)
    bufferevent_free (session->bev);
  session->bev = NULL;
  session->ready = session->running = false;
  evtimer_del (session->budget);
}

static void
reconnect_later (struct session *session)
{
  disconnect (session);
  if (!stopped && !session->raw)
    set_timer (session->pause, RECONNECT_MS);
}

static void
send_try (struct session *session)
{
  struct evbuffer *output = bufferevent_get_output (session->bev);
  snprintf (session->id, sizeof session->id, "%08lx%08lx", 0x5c0e7a21ul,
            ++next_id);
  session->failed = session->promised = false;
  evbuffer_add_printf (output, "QUERY %s %s %lu%s\r\n", session->id,
                       session->writes ? "WRITE" : "READ", next_id % 500,
                       session->writes ? " bags" : "");
  record ("%s sent to host %d, %s: %s", session->id, session->host,
          databases[session->kind], session->writes ? "WRITE" : "READ");
}

static void
begin_operation (struct session *session)
{
  if (operation_count == OPERATIONS_LIMIT)
    abort ();
  session->operation = operation_count++;
  operations[session->operation] = (struct operation){ now_ms (), false };
  session->running = true;
  session->tries = 0;
  session->writes = random_unit () < write_part[session->kind] * write_factor;
  set_timer (session->budget, BUDGET_MS);
  send_try (session);
}

static bool
is_promise (const char *code)
{
  static const char *const promises[]
      = { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY" };
  for (size_t i = 0; i < sizeof promises / sizeof promises[0]; i++)
    if (strcmp (code, promises[i]) == 0)
      return true;
  return false;
}

static void
end_try (struct session *session)
{
  record ("%s answered: %s", session->id,
          session->failed ? session->code : "success");
  if (session->raw)
    {
      session->running = false;
      return;
    }
  if (session->failed && session->promised && session->tries++ < RETRIES)
    {
      send_try (session);
      return;
    }
  operations[session->operation].served = !session->failed;
  session->running = false;
  evtimer_del (session->budget);
  set_timer (session->pause, pause_ms * (0.5 + random_unit ()));
}

static void
send_given (struct session *session)
{
  struct evbuffer *output = bufferevent_get_output (session->bev);
  evbuffer_add_printf (output, "QUERY %s ", session->id);
  evbuffer_add (output, session->text, session->length);
  evbuffer_add (output, "\r\n", 2);
  session->running = true;
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct session *session = arg;
  struct evbuffer *input = bufferevent_get_input (bev);
  char *line;
  while (session->bev == bev
         && (line = evbuffer_readln (input, NULL, EVBUFFER_EOL_CRLF_STRICT))
                != NULL)
    {
      if (strncmp (line, "ERROR ", 6) == 0)
        {
          sscanf (line + 6, "%23s", session->code);
          session->failed = true;
          session->promised = is_promise (session->code);
        }
      if (strncmp (line, "READY ", 6) == 0 && !session->ready)
        {
          session->ready = true;
          if (session->raw)
            send_given (session);
          else
            begin_operation (session);
        }
      else if (strncmp (line, "READY ", 6) == 0)
        end_try (session);
      free (line);
    }
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  struct session *session = arg;
  (void)bev;
  if (what & BEV_EVENT_CONNECTED)
    return;
  if (session->running)
    record ("%s: the connection ends", session->id);
  reconnect_later (session);
}

static void
on_budget (evutil_socket_t fd, short what, void *arg)
{
  struct session *session = arg;
  (void)fd;
  (void)what;
  record ("%s: no answer in time", session->id);
  reconnect_later (session);
}

static void
on_pause (evutil_socket_t fd, short what, void *arg)
{
  struct session *session = arg;
  (void)fd;
  (void)what;
  if (stopped)
    return;
  if (session->bev == NULL)
    connect_session (session);
  else
    begin_operation (session);
}

static void
connect_session (struct session *session)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons (hosts_caller_port (session->host)),
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  session->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (session->bev, on_read, NULL, on_event, session);
  bufferevent_enable (session->bev, EV_READ | EV_WRITE);
  evbuffer_add_printf (bufferevent_get_output (session->bev),
                       "STARTUP %s u%d\r\n", databases[session->kind],
                       session->host);
  if (bufferevent_socket_connect (session->bev, (struct sockaddr *)&address,
                                  sizeof address)
      != 0)
    reconnect_later (session);
}

static struct session *
session_new (int host, int kind)
{
  struct session *session = calloc (1, sizeof *session);
  session->host = host;
  session->kind = kind;
  session->budget = evtimer_new (base, on_budget, session);
  session->pause = evtimer_new (base, on_pause, session);
  return session;
}

void
consumers_start (unsigned sessions_per_host, double given_pause_ms,
                 double write_share)
{
  pause_ms = given_pause_ms;
  write_factor = write_share;
  operations = calloc (OPERATIONS_LIMIT, sizeof *operations);
  for (int host = 0; host < HOSTS; host++)
    for (unsigned i = 0; i < sessions_per_host; i++)
      {
        /* Of ten sessions, 1.5 and 7 and 1.5 are of each kind.  */
        int kind = i % 10 == 0 || (i % 20 == 1) ? 0 : i % 10 == 9 ? 2 : 1;
        set_timer (session_new (host, kind)->pause, 10 + 7.0 * i);
      }
}

void
consumers_stop (void)
{
  stopped = true;
}

struct consumer_counts
consumers_count (double from_ms, double to_ms)
{
  struct consumer_counts counts = { 0 };
  for (size_t i = 0; i < operation_count; i++)
    if (operations[i].begun_ms >= from_ms && operations[i].begun_ms < to_ms)
      {
        counts.sent++;
        counts.served += operations[i].served;
      }
  return counts;
}

void
consumers_send_raw (int host, const char *id, const char *text, size_t length)
{
  struct session *session = session_new (host, 0);
  session->raw = true;
  snprintf (session->id, sizeof session->id, "%s", id);
  session->text = malloc (length + 1);
  memcpy (session->text, text, length);
  session->length = length;
  connect_session (session);
}
