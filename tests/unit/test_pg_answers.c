/* Answers of an instance that come twice, too early or unasked.  */

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>

#include "pg_client.h"
#include "unit.h"

/* Passes messages on between A and instance "a", and sends recorded ones
   again.  */
static struct relay
{
  struct evconnlistener *listener;
  struct bufferevent *client, *server;
  struct evbuffer *recorded;
  bool recording;
} relay;

static struct client a;

static void
replay (void)
{
  bufferevent_write_buffer (relay.client, relay.recorded);
}

static void
on_server_input (struct bufferevent *bev, void *arg)
{
  struct evbuffer *input = bufferevent_get_input (bev);
  size_t size = evbuffer_get_length (input);
  (void)arg;
  if (relay.recording)
    evbuffer_add (relay.recorded, evbuffer_pullup (input, -1), size);
  bufferevent_write_buffer (relay.client, input);
}

static void
on_client_input (struct bufferevent *bev, void *arg)
{
  (void)arg;
  bufferevent_write_buffer (relay.server, bufferevent_get_input (bev));
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int length, void *arg)
{
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons (instance_port ("a")),
                             .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  (void)listener;
  (void)address;
  (void)length;
  (void)arg;
  relay.client = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  relay.server = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (relay.client, on_client_input, NULL, NULL, NULL);
  bufferevent_setcb (relay.server, on_server_input, NULL, NULL, NULL);
  bufferevent_socket_connect (relay.server, (struct sockaddr *)&sin,
                              sizeof sin);
  bufferevent_enable (relay.client, EV_READ | EV_WRITE);
  bufferevent_enable (relay.server, EV_READ | EV_WRITE);
}

/* Opens A through the relay and runs a read and a write on it, so that their
   queries are prepared.  */
static void
open_relay (void)
{
  struct sockaddr_in sin
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof sin;
  setup ();
  relay = (struct relay){ .recorded = evbuffer_new () };
  relay.listener
      = evconnlistener_new_bind (base, on_accept, NULL, LEV_OPT_CLOSE_ON_FREE,
                                 -1, (struct sockaddr *)&sin, sizeof sin);
  getsockname (evconnlistener_get_fd (relay.listener), (struct sockaddr *)&sin,
               &length);
  start_open (&a, ntohs (sin.sin_port));
  wait_open (&a);
  ck_assert_int_eq (run (&a, put ("x", "r0", 1)), DB_OK);
  ck_assert_int_eq (run (&a, get ("x", 0)), DB_OK);
}

static void
close_relay (void)
{
  bufferevent_free (relay.client);
  bufferevent_free (relay.server);
  evconnlistener_free (relay.listener);
  evbuffer_free (relay.recorded);
  teardown ();
}

static void
wait_closed (void)
{
  while (!a.closed)
    ck_assert_int_eq (event_base_loop (base, EVLOOP_ONCE), 0);
}

/* Guards against MIXED: an idle connection with an answer that nobody had
   asked for went back to use.  */
UNIT_TEST (test_an_answer_that_comes_unasked_closes_the_connection)
{
  relay.recording = true;
  ck_assert_int_eq (run (&a, get ("x", 0)), DB_OK);
  replay ();
  wait_closed ();
}

UNIT_MAIN ("pg_answers", .setup = open_relay, .teardown = close_relay)
