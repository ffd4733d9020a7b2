#include <errno.h>

#include <arpa/inet.h>
#include <rpc/rpc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>

#include "kernel/mem.h"
#include "port/rpc_port.h"
#include "unit.h"

#define LOOP_LIMIT 20000
#define MALFORMED_RECORDS 10000
#define RECORD_ROOM 4096

/* Two hosts on one loop; the second answers.  */
struct pair
{
  struct event_base *base;
  struct rng rng;
  struct metrics *metrics;
  struct peer_port *a;
  struct peer_port *b;
  struct peer_address to_b;
  size_t handled;
  uint64_t held; /* call that is not answered yet */
  bool hold;
  size_t done;
  enum peer_status status;
  uint64_t pulled; /* config_revision of the last answer */
};

static struct pair pair;
static const uint8_t secret[RPC_SECRET_BYTES] = { 1, 2, 3 };
static const uint8_t other_secret[RPC_SECRET_BYTES] = { 9 };

static peer_message
pull_message (uint64_t revision)
{
  peer_message message = { .from = { .host = "a", .domain = "x" } };
  message.body.kind = PEER_KIND_PULL;
  message.body.peer_body_u.pull.config_revision = revision;
  return message;
}

static void
answer (void *arg, uint64_t call, const peer_message *message)
{
  (void)arg;
  pair.handled++;
  if (pair.hold)
    {
      pair.held = call;
      return;
    }
  peer_message reply
      = pull_message (message->body.peer_body_u.pull.config_revision + 1);
  pair.b->ops->reply (pair.b, call, &reply);
}

static void
note_done (void *arg, enum peer_status status, const peer_message *reply)
{
  (void)arg;
  pair.done++;
  pair.status = status;
  if (reply != NULL)
    pair.pulled = reply->body.peer_body_u.pull.config_revision;
}

static struct peer_port *
open_port (const uint8_t *key, uint16_t port)
{
  struct rpc_options options = { .address = "127.0.0.1",
                                 .port = port,
                                 .secret = key,
                                 .message_limit_bytes = 1 << 20,
                                 .rng = &pair.rng,
                                 .metrics = pair.metrics };
  struct peer_port *opened = rpc_port_new (pair.base, &options);
  ck_assert_ptr_nonnull (opened);
  return opened;
}

static void
pair_open (void)
{
  memset (&pair, 0, sizeof pair);
  rng_init (&pair.rng, 7);
  pair.base = event_base_new ();
  pair.metrics = metrics_new ();
  pair.a = open_port (secret, 0);
  pair.b = open_port (secret, 0);
  pair.b->ops->set_handler (pair.b, answer, NULL);
  strcpy (pair.to_b.name, "b");
  strcpy (pair.to_b.address, "127.0.0.1");
  pair.to_b.port = rpc_port_bound (pair.b);
  pair.to_b.incarnation = 1;
}

static void
pair_close (void)
{
  rpc_port_free (pair.a);
  rpc_port_free (pair.b);
  metrics_free (pair.metrics);
  event_base_free (pair.base);
}

static uint64_t
pair_call (uint64_t revision, clk_ms timeout_ms)
{
  peer_message message = pull_message (revision);
  return pair.a->ops->call (pair.a, &pair.to_b, &message, timeout_ms,
                            note_done, NULL);
}

/* Runs the loop until COUNT calls have ended.  */
static void
pair_wait (size_t count)
{
  for (size_t i = 0; i < LOOP_LIMIT && pair.done < count; i++)
    event_base_loop (pair.base, EVLOOP_ONCE);
  ck_assert_uint_eq (pair.done, count);
}

static int64_t
counted (const char *name)
{
  return *metrics_value (pair.metrics, name);
}

UNIT_TEST (test_calls_are_answered_over_one_connection)
{
  for (uint64_t i = 0; i < 50; i++)
    pair_call (i, 2000);
  ck_assert_uint_eq (pair.done, 0);
  pair_wait (50);
  ck_assert_int_eq (pair.status, PEER_OK);
  ck_assert_uint_eq (pair.pulled, 50);
  ck_assert_int_eq (counted ("rpc_connections_opened_total"), 1);
}

UNIT_TEST (test_a_wrong_secret_is_refused)
{
  rpc_port_free (pair.a);
  pair.a = open_port (other_secret, 0);
  pair_call (1, 2000);
  pair_wait (1);
  /* A denial can't be authentic, so it does not prove anything.  */
  ck_assert_int_eq (pair.status, PEER_LOST);
  ck_assert_uint_eq (pair.handled, 0);
}

UNIT_TEST (test_a_closed_port_is_unreachable_and_backed_off)
{
  rpc_port_free (pair.b);
  pair.b = NULL;
  pair_call (1, 2000);
  pair_wait (1);
  ck_assert_int_eq (pair.status, PEER_UNREACHABLE);
  pair_call (2, 2000);
  ck_assert_uint_eq (pair.done, 1);
  pair_wait (2);
  ck_assert_int_eq (pair.status, PEER_UNREACHABLE);
  ck_assert_int_eq (counted ("rpc_connection_failures_total"), 1);
  /* Once the back-off is over, a restarted peer is found again.  */
  pair.b = open_port (secret, pair.to_b.port);
  pair.b->ops->set_handler (pair.b, answer, NULL);
  size_t calls = 2;
  while (pair.status != PEER_OK && calls < 1000)
    {
      usleep (1000);
      pair_call (3, 2000);
      pair_wait (++calls);
    }
  ck_assert_int_eq (pair.status, PEER_OK);
}

UNIT_TEST (test_a_call_without_reply_times_out_and_its_late_reply_is_dropped)
{
  pair.hold = true;
  pair_call (1, 30);
  pair_wait (1);
  ck_assert_int_eq (pair.status, PEER_TIMEOUT);
  ck_assert_uint_eq (pair.handled, 1);
  peer_message reply = pull_message (9);
  pair.b->ops->reply (pair.b, pair.held, &reply);
  pair.hold = false;
  pair_call (20, 2000);
  pair_wait (2);
  ck_assert_uint_eq (pair.pulled, 21);
  ck_assert_int_eq (counted ("rpc_late_replies_total"), 1);
}

UNIT_TEST (test_a_connection_closed_after_delivery_means_lost)
{
  pair.hold = true;
  pair_call (1, 2000);
  while (pair.handled == 0)
    event_base_loop (pair.base, EVLOOP_ONCE);
  rpc_port_free (pair.b);
  pair.b = NULL;
  pair_wait (1);
  ck_assert_int_eq (pair.status, PEER_LOST);
}

UNIT_TEST (test_a_cancelled_call_reports_nothing)
{
  uint64_t id = pair_call (1, 2000);
  pair.a->ops->cancel (pair.a, id);
  pair_call (5, 2000);
  pair_wait (1);
  ck_assert_uint_eq (pair.pulled, 6);
  ck_assert_uint_eq (pair.handled, 1);
}

UNIT_TEST (test_a_message_over_the_limit_is_not_sent)
{
  peer_message message = { .from = { .host = "a", .domain = "x" } };
  peer_executed *executed = &message.body.peer_body_u.executed;
  message.body.kind = PEER_KIND_EXECUTED;
  executed->sqlstate = "";
  executed->message = "";
  executed->payload.payload_len = 2 << 20;
  executed->payload.payload_val = mem_zalloc (2 << 20);
  pair.a->ops->call (pair.a, &pair.to_b, &message, 2000, note_done, NULL);
  pair_wait (1);
  ck_assert_int_eq (pair.status, PEER_UNREACHABLE);
  free (executed->payload.payload_val);
}

/* A connection whose bytes the test writes itself.  */
static int
raw_connect (void)
{
  struct linger linger = { .l_onoff = 1 };
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (pair.to_b.port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_ge (fd, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  return fd;
}

static void
pump (void)
{
  for (int i = 0; i < 4; i++)
    event_base_loop (pair.base, EVLOOP_NONBLOCK);
}

/* Writes an authentic call with BODY to DATA; returns its size.  */
static size_t
build_call (uint8_t *data, uint32_t xid, uint32_t version,
            const struct rpc_body *body)
{
  struct evbuffer *output = evbuffer_new ();
  rpc_call_write (output, secret, xid, version, PEER_CALL, body);
  int size = evbuffer_remove (output, data, RECORD_ROOM);
  ck_assert_int_gt (size, 0);
  evbuffer_free (output);
  return (size_t)size;
}

static size_t
build_pull (uint8_t *data, uint32_t xid, uint32_t version)
{
  struct rpc_body body;
  peer_message message = pull_message (1);
  ck_assert (rpc_body_encode (&body, &message, RECORD_ROOM));
  size_t size = build_call (data, xid, version, &body);
  free (body.data);
  return size;
}

static struct rpc_reply_header
raw_reply (int fd)
{
  uint8_t data[RECORD_ROOM];
  struct rpc_reply_header head;
  pump ();
  ssize_t size = recv (fd, data, sizeof data, MSG_DONTWAIT);
  ck_assert_int_gt (size, 4);
  rpc_reply_read (secret, data + 4, (size_t)size - 4, &head);
  head.body = NULL;
  return head;
}

UNIT_TEST (test_an_unknown_version_is_told_the_known_ones)
{
  uint8_t data[RECORD_ROOM];
  int fd = raw_connect ();
  size_t size = build_pull (data, 5, RPC_VERSION_HIGH + 1);
  ck_assert_int_eq (write (fd, data, size), (ssize_t)size);
  struct rpc_reply_header head = raw_reply (fd);
  ck_assert_int_eq (head.status, RPC_STATUS_VERSION);
  ck_assert_uint_eq (head.version_high, RPC_VERSION_HIGH);
  ck_assert_uint_eq (head.xid, 5);
  size = build_pull (data, 6, RPC_VERSION_HIGH);
  ck_assert_int_eq (write (fd, data, size), (ssize_t)size);
  head = raw_reply (fd);
  ck_assert_int_eq (head.status, RPC_STATUS_OK);
  close (fd);
}

UNIT_TEST (test_a_repeated_xid_is_handled_once)
{
  uint8_t data[RECORD_ROOM];
  int fd = raw_connect ();
  size_t size = build_pull (data, 7, RPC_VERSION_HIGH);
  for (int i = 0; i < 3; i++)
    ck_assert_int_eq (write (fd, data, size), (ssize_t)size);
  pump ();
  ck_assert_uint_eq (pair.handled, 1);
  ck_assert_int_eq (counted ("rpc_duplicate_xids_total"), 2);
  close (fd);
}

UNIT_TEST (test_a_record_may_come_in_fragments_and_single_bytes)
{
  uint8_t data[RECORD_ROOM];
  int fd = raw_connect ();
  size_t size = build_pull (data, 7, RPC_VERSION_HIGH);
  uint8_t first[4 + 16] = { 0, 0, 0, 16 };
  memcpy (first + 4, data + 4, 16);
  uint32_t rest = htonl (0x80000000U | (uint32_t)(size - 4 - 16));
  ck_assert_int_eq (write (fd, first, sizeof first), sizeof first);
  ck_assert_int_eq (write (fd, &rest, sizeof rest), sizeof rest);
  for (size_t i = 4 + 16; i < size; i++)
    {
      ck_assert_uint_eq (pair.handled, 0);
      ck_assert_int_eq (write (fd, data + i, 1), 1);
      pump ();
    }
  ck_assert_uint_eq (pair.handled, 1);
  close (fd);
}

/* Turns an authentic record into one that must not be handled.  */
static size_t
malform (struct rng *rng, uint8_t *data, uint32_t xid)
{
  size_t size = build_pull (data, xid, RPC_VERSION_HIGH);
  switch (rng_below (rng, 6))
    {
    case 0: /* one bit anywhere behind the mark */
      data[4 + rng_below (rng, size - 4)]
          ^= (uint8_t)(1 << rng_below (rng, 8));
      break;
    case 1: /* any mark */
      for (size_t i = 0; i < 4; i++)
        data[i] = (uint8_t)rng_u64 (rng);
      break;
    case 2: /* cut short */
      size = 1 + rng_below (rng, size - 1);
      break;
    case 3: /* noise throughout */
      size = 4 + rng_below (rng, 600);
      for (size_t i = 0; i < size; i++)
        data[i] = (uint8_t)rng_u64 (rng);
      break;
    case 4: /* over the limit, or empty fragments */
      memset (data, rng_below (rng, 2) ? 0xff : 0x00, 4);
      break;
    default: /* authentic, with a body of noise */
      {
        uint8_t noise[300];
        struct rpc_body body = { .data = noise, .size_bytes = sizeof noise };
        for (size_t i = 0; i < sizeof noise; i++)
          noise[i] = (uint8_t)rng_below (rng, rng_below (rng, 2) ? 4 : 256);
        size = build_call (data, xid, RPC_VERSION_HIGH, &body);
      }
    }
  return size;
}

UNIT_TEST (test_malformed_records_close_only_their_own_connection)
{
  uint8_t data[RECORD_ROOM];
  struct rng rng;
  rng_init (&rng, 20261204);
  pair_call (1, 2000);
  pair_wait (1);
  for (uint32_t i = 0; i < MALFORMED_RECORDS; i++)
    {
      int fd = raw_connect ();
      size_t size = malform (&rng, data, i + 1);
      if (write (fd, data, size) < 0)
        ck_assert_int_eq (errno, ECONNRESET);
      event_base_loop (pair.base, EVLOOP_NONBLOCK);
      event_base_loop (pair.base, EVLOOP_NONBLOCK);
      close (fd);
    }
  pump ();
  ck_assert_uint_eq (pair.handled, 1);
  ck_assert_int_gt (counted ("rpc_bad_records_total"), 1000);
  ck_assert_int_gt (counted ("rpc_incoming_refused_total"), 1000);
  pair_call (1, 2000);
  pair_wait (2);
  ck_assert_int_eq (pair.status, PEER_OK);
  ck_assert_int_eq (counted ("rpc_connections_opened_total"), 1);
}

UNIT_MAIN ("rpc", .setup = pair_open, .teardown = pair_close, .timeout_s = 60)
