/* Answers of instances as they arrive on a connection: in pieces, cut short,
   or unasked.  */

#include <unistd.h>

#include <event2/event.h>

#include "kernel/mem.h"
#include "platform/wire.h"
#include "platform/wire_instance.h"
#include "platform/wire_reply.h"
#include "port/address.h"
#include "unit.h"

static struct wire_reply reply;
static clk_ms now_ms = 1000;

/* Receives TEXT, the bytes that arrive together, and returns the status of the
   answer.  IN holds what was left of earlier bytes.  */
static enum wire_reply_status
receive (struct evbuffer *in, const char *text)
{
  enum wire_reply_status status = REPLY_INCOMPLETE;
  size_t length, searched = 0;
  char *line;
  evbuffer_add (in, text, strlen (text));
  now_ms += WIRE_REPLY_PAUSE_MS;
  if (!wire_reply_continues (&reply, now_ms, in))
    return REPLY_MALFORMED;
  while (status == REPLY_INCOMPLETE
         && (line = wire_take_message (in, EVBUFFER_EOL_CRLF_STRICT, &searched,
                                       &length))
                != NULL)
    {
      status = wire_reply_add (&reply, line, length);
      free (line);
    }
  wire_reply_pause (&reply, in, now_ms);
  return status;
}

/* Receives the COUNT pieces of an answer and returns its status.  */
static enum wire_reply_status
receive_pieces (const char *const *pieces, size_t count)
{
  enum wire_reply_status status = REPLY_INCOMPLETE;
  struct evbuffer *in = evbuffer_new ();
  for (size_t i = 0; i < count && status == REPLY_INCOMPLETE; i++)
    status = receive (in, pieces[i]);
  evbuffer_free (in);
  return status;
}

#define PIECES(...)                                                           \
  (const char *const[]){ __VA_ARGS__ },                                       \
      sizeof ((const char *const[]){ __VA_ARGS__ }) / sizeof (char *)

UNIT_PLAIN (test_an_answer_may_come_in_any_pieces)
{
  static const char text[]
      = "ROW a\r\nROW b\r\nCOMPLETE 7.1\r\nREADY I 3.4\r\n";
  for (size_t cut = 1; cut < sizeof text - 1; cut++)
    {
      char *first = strndup (text, cut);
      wire_reply_init (&reply);
      ck_assert_int_eq (receive_pieces (PIECES (first, text + cut)),
                        REPLY_COMPLETE);
      const struct answer *answer = wire_reply_answer (&reply);
      ck_assert_str_eq (answer->body, "ROW a\r\nROW b\r\nCOMPLETE 7.1\r\n");
      ck_assert_str_eq (answer->signature, "7.1");
      ck_assert (answer->has_rows);
      wire_reply_free (&reply);
      free (first);
    }
}

UNIT_PLAIN (test_ready_alone_is_a_greeting)
{
  wire_reply_init (&reply);
  ck_assert_int_eq (receive_pieces (PIECES ("READY I 3.4\r\n")),
                    REPLY_COMPLETE);
  ck_assert (wire_reply_answer (&reply)->is_greeting);
  wire_reply_next (&reply);
  ck_assert_int_eq (receive_pieces (PIECES ("COMPLETE -\r\nREADY I 3.4\r\n")),
                    REPLY_COMPLETE);
  ck_assert (!wire_reply_answer (&reply)->is_greeting);
  ck_assert_ptr_null (wire_reply_answer (&reply)->signature);
  wire_reply_free (&reply);
}

UNIT_PLAIN (test_messages_out_of_order_are_malformed)
{
  static const char *const texts[] = {
    "ROW a\r\nREADY I 3.4\r\n",           "COMPLETE 7.1\r\nROW a\r\n",
    "COMPLETE 7.1\r\nCOMPLETE 7.2\r\n",   "COMPLETE 7.1\r\nERROR BUSY i-1\r\n",
    "ERROR BUSY i-1\r\nROW a\r\n",        "ERROR BUSY i-1\r\nCOMPLETE 7.1\r\n",
    "ROW a\r\nCOMPLETE 7.COMPLETE -\r\n", "HELLO\r\n",
  };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      wire_reply_init (&reply);
      ck_assert_msg (receive_pieces (PIECES (texts[i])) == REPLY_MALFORMED,
                     "%s", texts[i]);
      wire_reply_free (&reply);
    }
}

/* Guards against MIXED: the first part of an answer that was cut short and the
   whole of the next one were passed on as one answer.  */
UNIT_PLAIN (test_an_answer_that_was_cut_short_is_not_continued_by_another)
{
  static const struct
  {
    const char *first;
    const char *second;
  } rows[] = {
    { "ROW qhzk", "ROW qhzkwmtr\r\nCOMPLETE 7.2\r\nREADY I 3.4\r\n" },
    { "RO", "ROW qhzkwmtr\r\nCOMPLETE 7.2\r\nREADY I 3.4\r\n" },
    { "ROW qhzkwmtr\r\n", "ROW qhzkwmtr\r\nCOMPLETE 7.2\r\nREADY I 3.4\r\n" },
    { "ROW earlier\r\n", "ROW other\r\nCOMPLETE 7.2\r\nREADY I 3.4\r\n" },
    { "ROW earlier\r\nCOMP", "ROW other\r\nCOMPLETE 7.2\r\nREADY I 3.4\r\n" },
    { "ROW earlier\r\nCOMPLETE 7.1\r\n", "COMPLETE 7.2\r\nREADY I 3.4\r\n" },
    { "ROW earlier\r\nCOMPLETE 7.1\r\nREADY I",
      "COMPLETE 7.2\r\nREADY I 3.4\r\n" },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      wire_reply_init (&reply);
      ck_assert_int_eq (receive_pieces (PIECES (
                            "ROW earlier\r\nCOMPLETE 7.1\r\nREADY I 3.4\r\n")),
                        REPLY_COMPLETE);
      wire_reply_next (&reply);
      ck_assert_msg (receive_pieces (PIECES (rows[i].first, rows[i].second))
                         == REPLY_MALFORMED,
                     "row %zu", i);
      wire_reply_free (&reply);
    }
}

/* Guards against MIXED: a host that reads late gets the first part of an
   answer and the whole of it at once, and both were passed on as one row.  */
UNIT_PLAIN (test_a_part_and_the_whole_of_an_answer_make_no_answer)
{
  static const char *const texts[]
      = { "ROW ab\r\nROW c\r\nCOMPLETE 7.2\r\nREADY I 3.4\r\n",
          "COMPLETE 7.2\r\nREADY I 3.4\r\n",
          "ERROR BUSY i-1\r\nREADY I 3.4\r\n", "READY I 3.4\r\n" };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    for (size_t cut = 1; cut < strlen (texts[i]); cut++)
      {
        char *both = mem_printf ("%.*s%s", (int)cut, texts[i], texts[i]);
        if (texts[i][cut - 1] != '\n' && strncmp (both, "ROW ROW ", 8) != 0)
          {
            wire_reply_init (&reply);
            ck_assert_msg (receive_pieces (PIECES (both)) == REPLY_MALFORMED,
                           "%s", both);
            wire_reply_free (&reply);
          }
        free (both);
      }
}

UNIT_PLAIN (test_a_row_may_begin_with_the_word_of_a_message)
{
  static const char *const words[] = { "ROW", "COMPLETE", "ERROR", "READY" };
  for (size_t i = 0; i < sizeof words / sizeof words[0]; i++)
    {
      char *text = mem_printf (
          "ROW %s 5 of 7\r\nCOMPLETE 7.2\r\nREADY I 3.4\r\n", words[i]);
      wire_reply_init (&reply);
      ck_assert_int_eq (receive_pieces (PIECES (text)), REPLY_COMPLETE);
      wire_reply_free (&reply);
      free (text);
    }
}

/* Guards against MIXED: after a part that ended with a row, a first row that
   came in several pieces was taken for the next one.  */
UNIT_PLAIN (test_a_long_row_that_comes_again_after_a_pause_is_malformed)
{
  wire_reply_init (&reply);
  ck_assert_int_eq (
      receive_pieces (PIECES ("ROW qhzkwmtr\r\n", "ROW qh", "zkwm",
                              "tr\r\nCOMPLETE 7.2\r\nREADY I 3.4\r\n")),
      REPLY_MALFORMED);
  wire_reply_free (&reply);
}

/* A connection to a listener that the test plays the instance on.  */

static struct event_base *base;
static struct clk_virtual clk;
static struct instance_port *port;
static struct instance_link *instance_link;
static int listener, peer = -1;
static int opened, began, answers, closed;
static char last[64];

static void
on_opened (void *arg, const struct answer *hello)
{
  (void)arg;
  (void)hello;
  opened++;
}

static void
on_began (void *arg)
{
  (void)arg;
  began++;
}

static void
on_answer (void *arg, const struct answer *answer)
{
  (void)arg;
  answers++;
  snprintf (last, sizeof last, "%s",
            answer->signature != NULL ? answer->signature : "-");
}

static void
on_closed (void *arg, enum code code)
{
  (void)arg;
  (void)code;
  closed++;
  instance_link = NULL;
}

static const struct instance_events events = { .opened = on_opened,
                                               .began = on_began,
                                               .answer = on_answer,
                                               .closed = on_closed };

static void
run_events (void)
{
  for (int i = 0; i < 20; i++)
    {
      struct timeval span = { .tv_usec = 1000 };
      event_base_loopexit (base, &span);
      event_base_dispatch (base);
    }
}

static void
play (const char *text)
{
  ck_assert_int_eq (write (peer, text, strlen (text)), (int)strlen (text));
  run_events ();
}

/* Connects to the listener, and plays the instance from then on.  */
static void
open_link (void)
{
  instance_link = port->ops->open (
      port,
      &(struct instance_target){ .address = "127.0.0.1",
                                 .port = address_bound_port (listener),
                                 .group = "ledger",
                                 .id = "i-1" },
      &events, NULL);
  peer = accept (listener, NULL, NULL);
}

static void
setup (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  listener = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (
      bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (listen (listener, 1), 0);
  base = event_base_new ();
  clk_virtual_init (&clk, 1000);
  port = wire_instance_new (base, &clk.base, "host-1");
  open_link ();
  play ("READY I 3.4\r\n");
  ck_assert_int_eq (opened, 1);
}

static void
teardown (void)
{
  if (instance_link != NULL)
    port->ops->close (port, instance_link);
  close (peer);
  close (listener);
  wire_instance_free (port);
  event_base_free (base);
}

UNIT_TEST (test_the_beginning_of_an_answer_is_reported_once)
{
  play ("ROW a");
  ck_assert_int_eq (began, 1);
  play ("bc\r\nCOMPLETE 7.1\r\nREADY I 3.4\r\n");
  ck_assert_int_eq (began, 1);
  ck_assert_int_eq (answers, 1);
  ck_assert_str_eq (last, "7.1");
  play ("COMPLETE 7.2\r\nREADY I 3.4\r\nCOMPLETE 7.3\r\nREADY I 3.4\r\n");
  ck_assert_int_eq (began, 3);
  ck_assert_int_eq (answers, 3);
  ck_assert_str_eq (last, "7.3");
}

UNIT_TEST (test_an_answer_cut_short_and_followed_by_another_closes)
{
  play ("ROW ab");
  play ("ROW abc\r\nCOMPLETE 7.1\r\nREADY I 3.4\r\n");
  ck_assert_int_eq (answers, 0);
  ck_assert_int_eq (closed, 1);
}

UNIT_TEST (test_an_answer_before_the_greeting_closes)
{
  port->ops->close (port, instance_link);
  close (peer);
  open_link ();
  play ("COMPLETE 7.1\r\nREADY I 3.4\r\n");
  ck_assert_int_eq (opened, 1);
  ck_assert_int_eq (closed, 1);
}

/* Guards against MIXED: a row with a lone LF was read as two messages, the
   second of which could be any.  */
UNIT_TEST (test_a_row_with_a_lone_line_feed_is_one_row)
{
  play ("ROW a\nCOMPLETE 9.9\nREADY I 3.4\r\n");
  ck_assert_int_eq (answers, 0);
  play ("COMPLETE 7.1\r\nREADY I 3.4\r\n");
  ck_assert_int_eq (answers, 1);
  ck_assert_str_eq (last, "7.1");
}

/* Guards against failed transactions: an instance that sends each message by
   itself was taken for one that cut its answer short, as the first row was
   that of an earlier answer.  */
UNIT_TEST (test_an_answer_like_an_earlier_one_may_come_message_by_message)
{
  static const char *const parts[]
      = { "ROW a\r\n", "ROW b\r\n", "COMPLETE 7.2\r\n", "READY I 3.4\r\n" };
  play ("ROW a\r\nROW b\r\nCOMPLETE 7.1\r\nREADY I 3.4\r\n");
  for (size_t i = 0; i < sizeof parts / sizeof parts[0] && closed == 0; i++)
    play (parts[i]);
  ck_assert_int_eq (closed, 0);
  ck_assert_int_eq (answers, 2);
}

/* Guards against the same for rows that are equal.  */
UNIT_TEST (test_equal_rows_may_come_message_by_message)
{
  play ("ROW a\r\n");
  play ("ROW a\r\n");
  ck_assert_int_eq (closed, 0);
}

/* Guards against MIXED: the word of the message that follows a cut came in two
   pieces, and a row of two answers was passed on.  */
UNIT_TEST (test_an_answer_cut_short_and_followed_by_pieces_of_another_closes)
{
  play ("ROW ab");
  play ("RO");
  if (closed == 0)
    play ("W abc\r\nCOMPLETE 7.1\r\nREADY I 3.4\r\n");
  ck_assert_int_eq (answers, 0);
  ck_assert_int_eq (closed, 1);
}

/* Guards against MIXED: a row came twice, as the answer had been cut behind
   it.  */
UNIT_TEST (test_a_row_that_comes_again_after_a_pause_closes)
{
  play ("ROW a\r\n");
  clk.now_ms += WIRE_REPLY_PAUSE_MS;
  play ("ROW a\r\nCOMPLETE 7.1\r\nREADY I 3.4\r\n");
  ck_assert_int_eq (answers, 0);
  ck_assert_int_eq (closed, 1);
}

/* Guards against MIXED: the pieces of such a row came without a pause between
   them, and the one before the first piece was forgotten.  */
UNIT_TEST (test_a_long_row_that_comes_again_in_quick_pieces_closes)
{
  play ("ROW qhzkwmtr\r\n");
  clk.now_ms += WIRE_REPLY_PAUSE_MS;
  play ("ROW qh");
  play ("zkwm");
  play ("tr\r\nCOMPLETE 7.2\r\nREADY I 3.4\r\n");
  ck_assert_int_eq (answers, 0);
  ck_assert_int_eq (closed, 1);
}

UNIT_MAIN ("wire_reply", .setup = setup, .teardown = teardown)
