#include <errno.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <rpc/rpc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>

#include "cli/event_loop.h"
#include "kernel/mem.h"
#include "port/rpc_port.h"
#include "unit.h"

#define LOOP_LIMIT 20000
#define MALFORMED_RECORDS 10000
#define RECORD_BUFFER_BYTES 4096

/* Two hosts on one event loop; host b handles the calls of host a.  */
struct pair
{
  struct event_base *base;
  struct rng rng;
  struct metrics *metrics;
  struct peer_port *a;
  struct peer_port *b;
  struct peer_address to_b;
  size_t handled;
  uint64_t pending_call; /* call without a reply so far */
  bool withhold_reply;
  size_t done;
  enum peer_status status;
  uint64_t last_call;
  size_t received_bytes;   /* of the reply to it, as told to its callback */
  uint64_t reply_revision; /* config_revision of the last reply */
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
on_message (void *arg, uint64_t call, const peer_message *message)
{
  (void)arg;
  pair.handled++;
  if (pair.withhold_reply)
    {
      pair.pending_call = call;
      return;
    }
  peer_message reply
      = pull_message (message->body.peer_body_u.pull.config_revision + 1);
  pair.b->ops->reply (pair.b, call, &reply);
}

static void
on_done (void *arg, enum peer_status status, const peer_message *reply)
{
  (void)arg;
  pair.done++;
  pair.status = status;
  pair.received_bytes = pair.a->ops->received (pair.a, pair.last_call);
  if (reply != NULL)
    pair.reply_revision = reply->body.peer_body_u.pull.config_revision;
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
  pair.base = event_loop_base_new ();
  pair.metrics = metrics_new ();
  pair.a = open_port (secret, 0);
  pair.b = open_port (secret, 0);
  pair.b->ops->set_handler (pair.b, on_message, NULL);
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
  pair.last_call = pair.a->ops->call (pair.a, &pair.to_b, &message, timeout_ms,
                                      on_done, NULL);
  return pair.last_call;
}

/* Runs the event loop until COUNT calls are done.  */
static void
pair_wait (size_t count)
{
  for (size_t i = 0; i < LOOP_LIMIT && pair.done < count; i++)
    event_base_loop (pair.base, EVLOOP_ONCE);
  ck_assert_uint_eq (pair.done, count);
}

static int64_t
counter (const char *name)
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
  ck_assert_uint_eq (pair.reply_revision, 50);
  ck_assert_int_eq (counter ("rpc_connections_opened_total"), 1);
}

UNIT_TEST (test_a_wrong_secret_is_refused)
{
  rpc_port_free (pair.a);
  pair.a = open_port (other_secret, 0);
  pair_call (1, 2000);
  pair_wait (1);
  /* A denial is not authenticated, so it does not prove that the call was not
     processed.  */
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
  ck_assert_int_eq (counter ("rpc_connection_failures_total"), 1);
  /* After the backoff, calls reach the restarted peer.  */
  pair.b = open_port (secret, pair.to_b.port);
  pair.b->ops->set_handler (pair.b, on_message, NULL);
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
  pair.withhold_reply = true;
  pair_call (1, 30);
  pair_wait (1);
  ck_assert_int_eq (pair.status, PEER_TIMEOUT);
  ck_assert_uint_eq (pair.handled, 1);
  peer_message reply = pull_message (9);
  pair.b->ops->reply (pair.b, pair.pending_call, &reply);
  pair.withhold_reply = false;
  pair_call (20, 2000);
  pair_wait (2);
  ck_assert_uint_eq (pair.reply_revision, 21);
  ck_assert_int_eq (counter ("rpc_late_replies_total"), 1);
}

UNIT_TEST (test_a_connection_closed_after_delivery_means_lost)
{
  pair.withhold_reply = true;
  pair_call (1, 2000);
  while (pair.handled == 0)
    event_base_loop (pair.base, EVLOOP_ONCE);
  rpc_port_free (pair.b);
  pair.b = NULL;
  pair_wait (1);
  ck_assert_int_eq (pair.status, PEER_LOST);
}

UNIT_TEST (test_a_cancelled_call_gets_no_callback)
{
  uint64_t id = pair_call (1, 2000);
  pair.a->ops->cancel (pair.a, id);
  pair_call (5, 2000);
  pair_wait (1);
  ck_assert_uint_eq (pair.reply_revision, 6);
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
  pair.a->ops->call (pair.a, &pair.to_b, &message, 2000, on_done, NULL);
  pair_wait (1);
  ck_assert_int_eq (pair.status, PEER_UNREACHABLE);
  free (executed->payload.payload_val);
}

/* Guards against UNASKED: a string with a zero byte was cut there, and a write
   with the rest of its data run.  */
UNIT_PLAIN (test_a_string_with_a_zero_byte_is_not_decoded)
{
  peer_message message = { .from = { .host = "a", .domain = "x" } }, decoded;
  peer_executed *executed = &message.body.peer_body_u.executed;
  struct rpc_body body;
  message.body.kind = PEER_KIND_EXECUTED;
  executed->sqlstate = "";
  executed->message = "40bags_for-the-gate";
  ck_assert (rpc_body_encode (&body, &message, RECORD_BUFFER_BYTES));
  ck_assert (rpc_body_decode (body.data, body.size_bytes, &decoded));
  xdr_free ((xdrproc_t)xdr_peer_message, &decoded);
  *(char *)memchr (body.data, '_', body.size_bytes) = '\0';
  ck_assert (!rpc_body_decode (body.data, body.size_bytes, &decoded));
  free (body.data);
}

/* Opens a connection to host b, to which the test writes bytes itself.  */
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
run_loop (void)
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
  int size = evbuffer_remove (output, data, RECORD_BUFFER_BYTES);
  ck_assert_int_gt (size, 0);
  evbuffer_free (output);
  return (size_t)size;
}

static size_t
build_pull (uint8_t *data, uint32_t xid, uint32_t version)
{
  struct rpc_body body;
  peer_message message = pull_message (1);
  ck_assert (rpc_body_encode (&body, &message, RECORD_BUFFER_BYTES));
  size_t size = build_call (data, xid, version, &body);
  free (body.data);
  return size;
}

static struct rpc_reply_header
raw_reply (int fd)
{
  uint8_t data[RECORD_BUFFER_BYTES];
  struct rpc_reply_header header;
  run_loop ();
  ssize_t size = recv (fd, data, sizeof data, MSG_DONTWAIT);
  ck_assert_int_gt (size, 4);
  rpc_reply_read (secret, data + 4, (size_t)size - 4, &header);
  header.body = NULL;
  return header;
}

/* Takes the next connection of host a, which the test answers itself.  */
static int
raw_accept (int listener)
{
  struct timeval limit = { .tv_sec = 2 };
  int fd = -1;
  fcntl (listener, F_SETFL, O_NONBLOCK);
  for (int i = 0; i < LOOP_LIMIT && fd < 0; i++)
    {
      event_base_loop (pair.base, EVLOOP_NONBLOCK);
      fd = accept (listener, NULL, NULL);
    }
  ck_assert_int_ge (fd, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  return fd;
}

static int
raw_listen (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&address, length), 0);
  ck_assert_int_eq (listen (fd, 4), 0);
  getsockname (fd, (struct sockaddr *)&address, &length);
  pair.to_b.port = ntohs (address.sin_port);
  return fd;
}

/* Makes a call with a timeout of 150 ms.  Sends a tenth of the reply each
   50 ms, PARTS of these in all.  */
static void
reply_slowly (int parts)
{
  uint8_t data[RECORD_BUFFER_BYTES];
  struct rpc_body body;
  peer_message message = pull_message (6);
  struct evbuffer *record = evbuffer_new ();
  int listener = raw_listen ();
  pair_call (5, 150);
  int fd = raw_accept (listener);
  run_loop ();
  /* The xid follows the record mark.  */
  uint32_t xid;
  ck_assert_int_gt (recv (fd, data, sizeof data, 0), 8);
  memcpy (&xid, data + 4, sizeof xid);
  ck_assert (rpc_body_encode (&body, &message, RECORD_BUFFER_BYTES));
  rpc_reply_write (record, secret, ntohl (xid), 0, &body);
  size_t part_bytes = evbuffer_get_length (record) / 10 + 1;
  for (int i = 0; i < parts && pair.done == 0; i++)
    {
      int part = evbuffer_remove (record, data, part_bytes);
      ck_assert_int_eq (write (fd, data, (size_t)part), part);
      usleep (50 * 1000);
      run_loop ();
    }
  pair_wait (1);
  free (body.data);
  evbuffer_free (record);
  close (fd);
  close (listener);
}

/* Guards against CONFIG: hosts behind a relay dropped a large change that took
   longer than the timeout of their call.  */
UNIT_TEST (test_a_reply_that_is_being_received_is_awaited)
{
  reply_slowly (10);
  ck_assert_int_eq (pair.status, PEER_OK);
  ck_assert_uint_eq (pair.reply_revision, 6);
}

UNIT_TEST (test_a_reply_that_stops_is_not_awaited)
{
  reply_slowly (5);
  ck_assert_int_eq (pair.status, PEER_TIMEOUT);
  ck_assert_uint_gt (pair.received_bytes, 0);
}

static uint32_t
read_xid (int fd)
{
  uint8_t data[RECORD_BUFFER_BYTES];
  uint32_t xid;
  run_loop ();
  ck_assert_int_gt (recv (fd, data, sizeof data, 0), 8);
  memcpy (&xid, data + 4, sizeof xid); /* behind the record mark */
  return ntohl (xid);
}

static void
write_reply (int fd, uint32_t xid, uint64_t revision)
{
  struct rpc_body body;
  peer_message message = pull_message (revision);
  struct evbuffer *record = evbuffer_new ();
  ck_assert (rpc_body_encode (&body, &message, RECORD_BUFFER_BYTES));
  rpc_reply_write (record, secret, xid, 0, &body);
  ck_assert_int_gt (evbuffer_write (record, fd), 0);
  free (body.data);
  evbuffer_free (record);
}

/* Guards against MIXED: a reply that comes twice, at once or when the next
   call is in flight, must not be taken for the reply to that call.  */
UNIT_TEST (test_a_reply_that_comes_twice_answers_one_call)
{
  int listener = raw_listen ();
  pair_call (5, 2000);
  int fd = raw_accept (listener);
  uint32_t first = read_xid (fd);
  write_reply (fd, first, 6);
  write_reply (fd, first, 6);
  pair_wait (1);
  pair_call (7, 2000);
  uint32_t second = read_xid (fd);
  write_reply (fd, first, 6);
  run_loop ();
  ck_assert_uint_eq (pair.done, 1);
  write_reply (fd, second, 8);
  pair_wait (2);
  ck_assert_uint_eq (pair.reply_revision, 8);
  ck_assert_int_eq (counter ("rpc_late_replies_total"), 2);
  close (fd);
  close (listener);
}

/* Calls after the loop was busy with another event.  */
static void
call_late (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  usleep (200 * 1000);
  pair_call (5, 150);
}

/* Guards against the loss of all relays at once: hosts that had been busy
   with a large change for 300 ms gave their next calls up so much earlier,
   before the relays replied.  */
UNIT_TEST (test_the_timeout_of_a_call_begins_with_the_call)
{
  struct timeval soon = { .tv_usec = 1000 };
  pair_call (1, 2000);
  pair_wait (1);
  event_base_once (pair.base, -1, EV_TIMEOUT, call_late, NULL, &soon);
  pair_wait (2);
  ck_assert_int_eq (pair.status, PEER_OK);
}

UNIT_TEST (test_an_unknown_version_is_answered_with_the_known_ones)
{
  uint8_t data[RECORD_BUFFER_BYTES];
  int fd = raw_connect ();
  size_t size = build_pull (data, 5, RPC_VERSION_HIGH + 1);
  ck_assert_int_eq (write (fd, data, size), (ssize_t)size);
  struct rpc_reply_header header = raw_reply (fd);
  ck_assert_int_eq (header.status, RPC_STATUS_VERSION);
  ck_assert_uint_eq (header.version_high, RPC_VERSION_HIGH);
  ck_assert_uint_eq (header.xid, 5);
  size = build_pull (data, 6, RPC_VERSION_HIGH);
  ck_assert_int_eq (write (fd, data, size), (ssize_t)size);
  header = raw_reply (fd);
  ck_assert_int_eq (header.status, RPC_STATUS_OK);
  close (fd);
}

UNIT_TEST (test_a_repeated_xid_is_handled_once)
{
  uint8_t data[RECORD_BUFFER_BYTES];
  int fd = raw_connect ();
  size_t size = build_pull (data, 7, RPC_VERSION_HIGH);
  for (int i = 0; i < 3; i++)
    ck_assert_int_eq (write (fd, data, size), (ssize_t)size);
  run_loop ();
  ck_assert_uint_eq (pair.handled, 1);
  ck_assert_int_eq (counter ("rpc_duplicate_xids_total"), 2);
  close (fd);
}

UNIT_TEST (test_a_record_may_arrive_in_fragments_and_single_bytes)
{
  uint8_t data[RECORD_BUFFER_BYTES];
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
      run_loop ();
    }
  ck_assert_uint_eq (pair.handled, 1);
  close (fd);
}

/* Builds a record that must not reach the handler.  */
static size_t
build_malformed (struct rng *rng, uint8_t *data, uint32_t xid)
{
  size_t size = build_pull (data, xid, RPC_VERSION_HIGH);
  switch (rng_below (rng, 6))
    {
    case 0: /* one bit flipped after the mark */
      data[4 + rng_below (rng, size - 4)]
          ^= (uint8_t)(1 << rng_below (rng, 8));
      break;
    case 1: /* random mark */
      for (size_t i = 0; i < 4; i++)
        data[i] = (uint8_t)rng_u64 (rng);
      break;
    case 2: /* truncated */
      size = 1 + rng_below (rng, size - 1);
      break;
    case 3: /* random bytes throughout */
      size = 4 + rng_below (rng, 600);
      for (size_t i = 0; i < size; i++)
        data[i] = (uint8_t)rng_u64 (rng);
      break;
    case 4: /* over the limit, or empty fragments */
      memset (data, rng_below (rng, 2) ? 0xff : 0x00, 4);
      break;
    default: /* authentic, with a random body */
      {
        uint8_t random_bytes[300];
        struct rpc_body body
            = { .data = random_bytes, .size_bytes = sizeof random_bytes };
        for (size_t i = 0; i < sizeof random_bytes; i++)
          random_bytes[i]
              = (uint8_t)rng_below (rng, rng_below (rng, 2) ? 4 : 256);
        size = build_call (data, xid, RPC_VERSION_HIGH, &body);
      }
    }
  return size;
}

UNIT_TEST (test_malformed_records_close_only_their_own_connection)
{
  uint8_t data[RECORD_BUFFER_BYTES];
  struct rng rng;
  rng_init (&rng, 20261204);
  pair_call (1, 2000);
  pair_wait (1);
  for (uint32_t i = 0; i < MALFORMED_RECORDS; i++)
    {
      int fd = raw_connect ();
      size_t size = build_malformed (&rng, data, i + 1);
      if (write (fd, data, size) < 0)
        ck_assert_int_eq (errno, ECONNRESET);
      event_base_loop (pair.base, EVLOOP_NONBLOCK);
      event_base_loop (pair.base, EVLOOP_NONBLOCK);
      close (fd);
    }
  run_loop ();
  ck_assert_uint_eq (pair.handled, 1);
  ck_assert_int_gt (counter ("rpc_bad_records_total"), 1000);
  ck_assert_int_gt (counter ("rpc_incoming_refused_total"), 1000);
  pair_call (1, 2000);
  pair_wait (2);
  ck_assert_int_eq (pair.status, PEER_OK);
  ck_assert_int_eq (counter ("rpc_connections_opened_total"), 1);
}

UNIT_MAIN ("rpc", .setup = pair_open, .teardown = pair_close, .timeout_s = 60)
