/* Answers of an instance that come twice, too early or unasked.  */

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <signal.h>
#include <string.h>

#include "pg_client.h"
#include "unit.h"

static const char ready[] = "Z\0\0\0\5I";

/* Passes messages on between A and instance "a", and puts recorded ones
   between them.  */
static struct relay
{
  struct evconnlistener *listener;
  struct bufferevent *client, *server;
  struct evbuffer *recorded;
  bool recording;
  uint8_t record_to; /* type of the last message to be recorded; 0: all */
  uint8_t replay_at; /* type of the message that the recorded ones precede */
  bool replay_first; /* before the next request is passed on */
} relay;

static struct client a, b;

static void
replay (void)
{
  bufferevent_write_buffer (relay.client, relay.recorded);
  relay.replay_at = 0;
  relay.replay_first = false;
}

static void
record (uint8_t record_to)
{
  evbuffer_drain (relay.recorded, evbuffer_get_length (relay.recorded));
  relay.recording = true;
  relay.record_to = record_to;
}

static void
on_server_input (struct bufferevent *bev, void *arg)
{
  struct evbuffer *input = bufferevent_get_input (bev);
  uint8_t head[5];
  (void)arg;
  while (evbuffer_copyout (input, head, sizeof head) == sizeof head)
    {
      uint32_t size;
      memcpy (&size, head + 1, sizeof size);
      size = ntohl (size) + 1;
      if (evbuffer_get_length (input) < size)
        return;
      const unsigned char *message = evbuffer_pullup (input, size);
      if (relay.replay_at == head[0])
        replay ();
      if (relay.recording)
        evbuffer_add (relay.recorded, message, size);
      if (relay.record_to == head[0])
        relay.recording = false;
      bufferevent_write (relay.client, message, size);
      evbuffer_drain (input, size);
    }
}

static void
on_client_input (struct bufferevent *bev, void *arg)
{
  (void)arg;
  if (relay.replay_first)
    replay ();
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
  signal (SIGPIPE, SIG_IGN);
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
  record (0);
  ck_assert_int_eq (run (&a, get ("x", 0)), DB_OK);
  replay ();
  wait_closed ();
}

/* Guards against MIXED: each answer was taken for the one to the next query of
   its batch once one of them had come twice.  */
UNIT_TEST (test_an_answer_that_comes_twice_in_a_batch_is_no_other_answer)
{
  record ('C');
  ck_assert_int_eq (run (&a, get ("x", 0)), DB_OK);
  relay.replay_at = '1';
  ck_assert_int_eq (run (&a, get ("y", 0)), DB_LOST);
  wait_closed ();
}

/* Guards against MIXED: a second ReadyForQuery ended the batch while answers
   were still due.  */
UNIT_TEST (test_an_early_end_of_a_group_is_no_answer)
{
  evbuffer_add (relay.recorded, ready, sizeof ready - 1);
  relay.replay_at = '1';
  ck_assert_int_eq (run (&a, get ("x", 0)), DB_LOST);
  wait_closed ();
}

/* Lets what was recorded arrive long before the next answers.  */
static void
repeat_before_next (void)
{
  relay.recording = false;
  relay.replay_first = true;
  fault ("a", "cost", 50);
}

/* Guards against MIXED: all answers of a read that came twice were taken for
   those of the next one.  */
UNIT_TEST (test_the_answers_of_a_batch_that_come_twice_are_not_the_next_ones)
{
  record (0);
  ck_assert_int_eq (run (&a, get ("x", 0)), DB_OK);
  repeat_before_next ();
  ck_assert_int_eq (run (&a, get ("y", 0)), DB_LOST);
  wait_closed ();
}

/* Guards against MIXED: a write was committed, and its stored answer was that
   of the write before it.  */
UNIT_TEST (test_a_write_with_the_answers_of_another_is_not_committed)
{
  struct db_job job = put ("x", "r1", 1);
  job.statement = PUT " RETURNING v";
  record ('Z');
  ck_assert_int_eq (run (&a, job), DB_OK);
  repeat_before_next ();
  job.request_id = "r2";
  ck_assert_int_eq (run (&a, job), DB_REFUSED);
  wait_closed ();
  open_instance (&b, "a");
  ck_assert_int_eq (run (&b, (struct db_job){ .kind = DB_LOOKUP,
                                              .request_id = "r2",
                                              .term = 1 }),
                    DB_NOT_FOUND);
}

UNIT_MAIN ("pg_answers", .setup = open_relay, .teardown = close_relay)
