#include <event2/listener.h>

#include "pg_client.h"
#include "unit.h"

#define SLEEP "SELECT pg_sleep($1)"

/* Clients of the stand-in; each test starts with A connected to instance
   "a".  */
static struct client a, b, c;

static void
open_first (void)
{
  setup ();
  open_instance (&a, "a");
}

static void
wait_closed (const struct client *client)
{
  while (!client->closed)
    event_base_loop (base, EVLOOP_ONCE);
}

UNIT_TEST (test_crash_before_commit_is_refused)
{
  struct db_job job = get ("30", 0);
  job.statement = SLEEP;
  job.kind = DB_WRITE;
  job.request_id = "r1";
  job.term = 1;
  submit (&a, &job);
  fault ("a", "die", 0);
  ck_assert_int_eq (wait_answer (&a), DB_REFUSED);
  ck_assert (a.result.broken && a.result.report.term == 0);
  wait_closed (&a);
  start_open (&a, instance_port ("a"));
  wait_open (&a);
  ck_assert (a.closed && !a.opened);
}

UNIT_TEST (test_job_submitted_on_a_broken_connection_is_lost)
{
  struct db_job job = get ("30", 0);
  job.statement = SLEEP;
  struct db_job next = put ("x", "r1", 1);
  a.next_job = &next;
  submit (&a, &job);
  fault ("a", "die", 0);
  ck_assert_int_eq (wait_answer (&a), DB_LOST);
  wait_closed (&a);
}

UNIT_TEST (test_frozen_instance_answers_after_it_is_healed)
{
  fault ("a", "freeze", 0);
  struct db_job job = put ("x", "r1", 1);
  submit (&a, &job);
  start_open (&b, instance_port ("a"));
  ck_assert_int_eq (state ("\"commits\": "), 0);
  ck_assert (!a.answered && !b.opened && !b.closed);
  fault ("a", "heal", 0);
  ck_assert_int_eq (wait_answer (&a), DB_OK);
  wait_open (&b);
  ck_assert (b.opened);
}

UNIT_TEST (test_connection_limit_closes_the_connection)
{
  struct client late;
  open_instance (&b, "a");
  open_instance (&c, "a");
  start_open (&late, instance_port ("a"));
  wait_open (&late);
  ck_assert (late.closed && !late.opened);
}

UNIT_TEST (test_close_while_a_job_runs_gives_no_event)
{
  struct db_job job = get ("0.01", 0);
  job.statement = SLEEP;
  submit (&a, &job);
  port->ops->close (port, a.conn);
  open_instance (&b, "a");
  ck_assert_int_eq (run (&b, job), DB_OK);
  ck_assert_int_eq (run (&b, get ("x", 0)), DB_OK);
  ck_assert (!a.answered && !a.closed);
}

UNIT_TEST (test_change_of_primary)
{
  open_instance (&b, "b");
  open_instance (&c, "c");
  struct db_job seal = { .kind = DB_SEAL, .term = 2 };
  struct db_job promote = { .kind = DB_PROMOTE, .term = 2 };
  struct db_job fence = { .kind = DB_FENCE, .term = 2 };
  ck_assert_int_eq (run (&b, promote), DB_REFUSED);
  fault ("a", "isolate", 0);
  ck_assert_int_eq (run (&b, seal), DB_OK);
  ck_assert (!b.result.report.receiving && b.result.report.sealed_term == 2);
  ck_assert_int_eq (run (&c, seal), DB_OK);
  ck_assert_int_eq (run (&b, seal), DB_OK);
  ck_assert_int_eq (run (&b, follow (1, "a")), DB_REFUSED);
  ck_assert_int_eq (run (&b, promote), DB_OK);
  ck_assert (b.result.report.primary && b.result.report.term == 2);
  ck_assert_int_eq (run (&b, promote), DB_OK);
  ck_assert_int_eq (run (&c, follow (2, "b")), DB_OK);
  ck_assert (c.result.report.receiving && c.result.report.term == 2);

  /* The isolated primary still accepts writes of its own term.  */
  ck_assert_int_eq (run (&a, put ("lost", "r1", 1)), DB_OK);
  ck_assert_int_eq (run (&b, put ("kept", "r2", 2)), DB_OK);
  uint64_t lsn = b.result.report.received_lsn;
  while (run (&c, get ("kept", lsn)) == DB_REFUSED)
    continue;
  ck_assert_int_eq (run (&b, (struct db_job){ .kind = DB_STATUS }), DB_OK);
  ck_assert_uint_eq (b.result.report.confirmed_lsn, lsn);

  fault ("a", "heal", 0);
  ck_assert_int_eq (run (&b, fence), DB_REFUSED);
  ck_assert_int_eq (run (&a, fence), DB_OK);
  ck_assert (!a.result.report.primary);
  ck_assert_int_eq (run (&a, put ("lost", "r3", 1)), DB_REFUSED);
  ck_assert_int_eq (run (&a, follow (2, "b")), DB_OK);
  while (run (&a, get ("kept", lsn)) == DB_REFUSED)
    continue;
  ck_assert_int_eq (run (&a, get ("lost", 0)), DB_OK);
  ck_assert_str_eq (a.payload,
                    "{\"columns\":[\"v\"],\"rows\":[],\"affected\":0}");
}

UNIT_TEST (test_sealed_primary_ends_transactions_and_can_be_promoted)
{
  open_instance (&b, "a");
  struct db_job execute = put ("x", NULL, 0);
  execute.kind = DB_EXECUTE;
  ck_assert_int_eq (run (&b, (struct db_job){ .kind = DB_BEGIN }), DB_OK);
  ck_assert_int_eq (run (&b, execute), DB_OK);
  struct db_job job = { .kind = DB_SEAL, .term = 5 };
  ck_assert_int_eq (run (&a, job), DB_OK);
  ck_assert (!a.result.report.primary);
  wait_closed (&b);
  ck_assert_int_eq (run (&a, put ("x", "r1", 1)), DB_REFUSED);
  job.kind = DB_PROMOTE;
  ck_assert_int_eq (run (&a, job), DB_OK);
  ck_assert_int_eq (run (&a, put ("x", "r1", 5)), DB_OK);
}

UNIT_TEST (test_follow_fails_while_the_primary_is_unreachable)
{
  open_instance (&b, "b");
  fault ("c", "die", 0);
  ck_assert_int_ne (run (&b, follow (2, "c")), DB_OK);
  fault ("c", "restart", 0);
  ck_assert_int_eq (run (&b, follow (1, "a")), DB_OK);
}

static void
run_loop (int rounds)
{
  for (int i = 0; i < rounds; i++)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      usleep (20);
    }
}

UNIT_TEST (test_a_seal_is_not_undone_by_an_earlier_follow)
{
  open_instance (&b, "b");
  for (int round = 0; round < 20; round++)
    {
      uint64_t term = 2 + (uint64_t)round;
      struct db_job seal = { .kind = DB_SEAL, .term = term };
      struct db_job order = follow (term - 1, "a");
      open_instance (&c, "b");
      submit (&c, &order);
      run_loop (round);
      submit (&b, &seal);
      if (round % 2 == 0)
        wait_answer (&c);
      port->ops->close (port, c.conn);
      ck_assert_int_eq (wait_answer (&b), DB_OK);
      uint64_t lsn = b.result.report.received_lsn;
      run_loop (20);
      ck_assert_int_eq (run (&b, (struct db_job){ .kind = DB_STATUS }), DB_OK);
      ck_assert (!b.result.report.receiving);
      ck_assert_uint_eq (b.result.report.sealed_term, term);
      ck_assert_uint_eq (b.result.report.received_lsn, lsn);
    }
}

/* Each write is submitted once under faults.  The reported outcome must match
   the content of the database, also when the outcome of a lost write is
   determined by reserving its request id.  */

static int64_t
value_of (struct client *client, const char *key)
{
  ck_assert_int_eq (run (client, get (key, 0)), DB_OK);
  const char *row = strstr (client->payload, "[[");
  return row == NULL ? 0 : strtoll (row + 2, NULL, 10);
}

static int64_t
resolve (struct client *client, const char *id)
{
  struct db_job claim
      = { .kind = DB_WRITE, .statement = "", .request_id = id, .term = 1 };
  enum db_status status = run (client, claim);
  ck_assert (status == DB_OK || status == DB_DUPLICATE);
  return status == DB_DUPLICATE;
}

UNIT_TEST (test_reported_outcomes_match_the_database)
{
  static char keys[120][16];
  int64_t expected[120];
  unsigned seed = 11;
  int lost = 0, refused = 0;
  for (int i = 0; i < 120; i++)
    {
      int kind = rand_r (&seed) / 7 % 4;
      fault ("a", "cost", rand_r (&seed) / 7 % 3);
      snprintf (keys[i], sizeof keys[i], "k%d", i);
      if (kind == 1)
        fault ("a", "drop_answer", 0);
      struct db_job job = put (keys[i], keys[i], 1);
      submit (&a, &job);
      run_loop (rand_r (&seed) / 7 % 12);
      if (kind == 2)
        fault ("a", "die", 0);
      if (kind == 3 && !a.closed)
        port->ops->close (port, a.conn);
      else
        wait_answer (&a);
      bool known = a.answered;
      enum db_status status = a.result.status;
      if (kind == 2)
        fault ("a", "restart", 0);
      if (kind != 0)
        open_instance (&a, "a");
      if (known && status != DB_LOST)
        expected[i] = status == DB_OK;
      else
        expected[i] = resolve (&a, keys[i]);
      lost += known && status == DB_LOST;
      refused += known && status == DB_REFUSED;
      ck_assert_int_eq (value_of (&a, keys[i]), expected[i]);
    }
  for (int i = 0; i < 120; i++)
    ck_assert_int_eq (value_of (&a, keys[i]), expected[i]);
  ck_assert_int_gt (lost, 5);
  ck_assert_int_gt (refused, 5);
}

/* A server that does not speak the protocol.  It sends a well-formed greeting
   on every second connection, and then random bytes on all but every third
   connection.  */

static const char greeting[] = "R\0\0\0\10\0\0\0\0Z\0\0\0\5I";

static void
on_startup (evutil_socket_t fd, short what, void *arg)
{
  char bytes[1024];
  (void)what;
  (void)arg;
  ck_assert_int_gt (read (fd, bytes, sizeof bytes), 0);
  evutil_closesocket (fd);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int length, void *arg)
{
  static unsigned count;
  unsigned *seed = arg;
  char bytes[400];
  (void)listener;
  (void)address;
  (void)length;
  for (size_t i = 0; i < sizeof bytes; i++)
    bytes[i] = (char)(rand_r (seed) % (i % 5 == 0 ? 128 : 6));
  if (++count % 2 == 0)
    ck_assert_int_gt (write (fd, greeting, sizeof greeting - 1), 0);
  if (count % 3 != 0)
    ck_assert_int_gt (write (fd, bytes, sizeof bytes), 0);
  event_base_once (base, fd, EV_READ, on_startup, NULL, NULL);
}

UNIT_TEST (test_malformed_messages_close_the_connection)
{
  unsigned seed = 7;
  struct sockaddr_in sin
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof sin;
  struct evconnlistener *listener
      = evconnlistener_new_bind (base, on_accept, &seed, LEV_OPT_CLOSE_ON_FREE,
                                 -1, (struct sockaddr *)&sin, sizeof sin);
  getsockname (evconnlistener_get_fd (listener), (struct sockaddr *)&sin,
               &length);
  int opened = 0;
  for (int i = 0; i < 60; i++)
    {
      struct client client;
      start_open (&client, ntohs (sin.sin_port));
      wait_open (&client);
      opened += client.opened;
      if (client.opened && !client.closed)
        ck_assert_int_ne (run (&client, put ("x", "r1", 1)), DB_OK);
      wait_closed (&client);
    }
  ck_assert_int_gt (opened, 5);
  evconnlistener_free (listener);
}

UNIT_MAIN ("pg_faults", .setup = open_first, .teardown = teardown)
