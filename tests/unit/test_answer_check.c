/* Matching of answers to statements, where instances send answers twice.  */

#include <stdio.h>

#include "proxy/answer_check.h"
#include "unit.h"

static struct answer_check check;
static clk_ms now_ms = 1000;

static enum answer_verdict
match (enum stmt_kind kind, enum tx_state state, const struct answer *answer)
{
  struct answer_awaited awaited
      = { .kind = kind, .state = state, .position = { 3, 100 } };
  return answer_check_match (&check, &awaited, answer, now_ms);
}

static enum answer_verdict
match_signature (enum stmt_kind kind, const char *signature)
{
  return match (kind, TX_IDLE, &(struct answer){ .signature = signature });
}

static enum answer_verdict
match_busy (enum stmt_kind kind, uint64_t lsn)
{
  return match (kind, TX_IDLE,
                &(struct answer){ .code = CODE_BUSY,
                                  .text = "i-1",
                                  .has_position = true,
                                  .position = { 3, lsn } });
}

/* Guards against MIXED: the answer to a read was passed on to the next
   caller.  */
UNIT_PLAIN (test_a_signature_that_came_before_answers_no_other_statement)
{
  ck_assert_int_eq (match_signature (STMT_READ, "a"), ANSWER_OWN);
  ck_assert_int_eq (match_signature (STMT_WRITE, "b"), ANSWER_OWN);
  ck_assert (!check.distrusted);
  ck_assert_int_eq (match_signature (STMT_READ, "a"), ANSWER_FOREIGN);
  ck_assert (check.distrusted);
  ck_assert_int_eq (match_signature (STMT_ROLLBACK, "b"), ANSWER_FOREIGN);
  ck_assert_int_eq (match_signature (STMT_READ, "c"), ANSWER_OWN);
  answer_check_clear (&check);
}

/* Guards against MIXED: a read was answered with the success of a BEGIN, SET
   or ROLLBACK, which has no rows.  */
UNIT_PLAIN (test_an_unsigned_success_answers_no_read_write_or_commit)
{
  static const enum stmt_kind kinds[]
      = { STMT_READ, STMT_WRITE, STMT_EXECUTE, STMT_COMMIT };
  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    {
      check = (struct answer_check){ 0 };
      ck_assert_int_eq (match (kinds[i], TX_IDLE, &(struct answer){ 0 }),
                        ANSWER_FOREIGN);
      ck_assert (check.distrusted);
    }
}

/* Guards against MIXED: the greeting of the connection came again and was
   passed on as an empty success.  */
UNIT_PLAIN (test_a_greeting_answers_no_statement)
{
  struct answer greeting = { .is_greeting = true };
  ck_assert_int_eq (match (STMT_READ, TX_IDLE, &greeting), ANSWER_FOREIGN);
  ck_assert_int_eq (match (STMT_SET, TX_IDLE, &greeting), ANSWER_FOREIGN);
}

UNIT_PLAIN (test_a_success_leaves_the_transaction_as_its_statement_does)
{
  static const struct
  {
    enum stmt_kind kind;
    enum tx_state before;
    enum tx_state after;
    bool has_rows;
    enum answer_verdict verdict;
  } rows[] = {
    { STMT_BEGIN, TX_IDLE, TX_OPEN, false, ANSWER_OWN },
    { STMT_BEGIN, TX_IDLE, TX_IDLE, false, ANSWER_UNFIT },
    { STMT_BEGIN_READ, TX_IDLE, TX_IDLE, false, ANSWER_UNFIT },
    { STMT_ROLLBACK, TX_OPEN, TX_IDLE, false, ANSWER_OWN },
    { STMT_ROLLBACK, TX_OPEN, TX_OPEN, false, ANSWER_UNFIT },
    { STMT_SET, TX_OPEN, TX_OPEN, false, ANSWER_OWN },
    { STMT_SET, TX_OPEN, TX_IDLE, false, ANSWER_UNFIT },
    { STMT_SET, TX_IDLE, TX_IDLE, true, ANSWER_UNFIT },
    { STMT_RESET, TX_IDLE, TX_OPEN, false, ANSWER_UNFIT },
    { STMT_STATUS, TX_OPEN, TX_OPEN, true, ANSWER_OWN },
    { STMT_STATUS, TX_OPEN, TX_OPEN, false, ANSWER_UNFIT },
    { STMT_PAUSE, TX_IDLE, TX_IDLE, true, ANSWER_OWN },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      check = (struct answer_check){ 0 };
      struct answer answer
          = { .state = rows[i].after, .has_rows = rows[i].has_rows };
      ck_assert_msg (match (rows[i].kind, rows[i].before, &answer)
                         == rows[i].verdict,
                     "row %zu", i);
    }
}

/* Guards against PINNED: a read ran outside of its transaction, which the
   instance had ended.  */
UNIT_PLAIN (test_a_statement_of_a_transaction_leaves_it_open)
{
  struct answer answer = { .signature = "a" };
  ck_assert_int_eq (match (STMT_READ, TX_OPEN, &answer), ANSWER_UNFIT);
  answer = (struct answer){ .code = CODE_BUSY };
  ck_assert_int_eq (match (STMT_READ, TX_OPEN, &answer), ANSWER_UNFIT);
}

/* Guards against STALE: a BEGIN that came before was taken as proof of the
   position that the log has now.  */
UNIT_PLAIN (test_an_answer_with_an_older_log_than_known_is_not_taken)
{
  struct answer answer
      = { .state = TX_OPEN, .has_position = true, .position = { 3, 99 } };
  ck_assert_int_eq (match (STMT_BEGIN, TX_IDLE, &answer), ANSWER_UNFIT);
  answer.position.lsn = 100;
  ck_assert_int_eq (match (STMT_BEGIN, TX_IDLE, &answer), ANSWER_OWN);
  /* The log of a replica may lose what was not committed.  */
  answer.position.lsn = 99;
  ck_assert_int_eq (match (STMT_BEGIN_READ, TX_IDLE, &answer), ANSWER_OWN);
}

/* Guards against REFUSED: a write ran, and its caller was told that the
   instance had been busy, as the statement before it had been told.  */
UNIT_PLAIN (test_an_error_equal_to_an_earlier_one_is_doubtful)
{
  ck_assert_int_eq (match_busy (STMT_WRITE, 100), ANSWER_OWN);
  ck_assert_int_eq (match_busy (STMT_WRITE, 101), ANSWER_OWN);
  ck_assert_int_eq (match_busy (STMT_WRITE, 100), ANSWER_DOUBTFUL);
  ck_assert_int_eq (match_busy (STMT_SET, 100), ANSWER_DOUBTFUL);
  now_ms += ANSWER_CHECK_KEEP_MS;
  ck_assert_int_eq (match_busy (STMT_WRITE, 100), ANSWER_OWN);
}

UNIT_PLAIN (test_any_error_is_doubtful_after_an_answer_that_came_twice)
{
  ck_assert_int_eq (match_signature (STMT_READ, "a"), ANSWER_OWN);
  ck_assert_int_eq (match_signature (STMT_READ, "a"), ANSWER_FOREIGN);
  ck_assert_int_eq (match_busy (STMT_WRITE, 100), ANSWER_DOUBTFUL);
  answer_check_clear (&check);
}

/* Guards against MIXED: many statements were answered before the first answer
   came again.  */
UNIT_PLAIN (test_signatures_are_remembered_while_they_may_come_again)
{
  char signature[16];
  for (int i = 0; i < ANSWER_CHECK_SIGNATURES; i++)
    {
      now_ms += 2;
      snprintf (signature, sizeof signature, "%d", i);
      ck_assert_int_eq (match_signature (STMT_READ, signature), ANSWER_OWN);
    }
  ck_assert_int_eq (match_signature (STMT_READ, "0"), ANSWER_FOREIGN);
  answer_check_clear (&check);
}

UNIT_PLAIN (test_few_signatures_are_remembered_of_a_connection_in_little_use)
{
  char signature[16];
  for (int i = 0; i < ANSWER_CHECK_SIGNATURES; i++)
    {
      now_ms += ANSWER_CHECK_KEEP_MS / 16;
      snprintf (signature, sizeof signature, "%d", i);
      ck_assert_int_eq (match_signature (STMT_READ, signature), ANSWER_OWN);
    }
  ck_assert_uint_le (check.capacity, 64);
  answer_check_clear (&check);
}

UNIT_PLAIN (test_an_answer_that_nothing_awaits_may_be_harmless)
{
  struct answer answer = { .signature = "a", .state = TX_OPEN };
  ck_assert_int_eq (match (STMT_READ, TX_OPEN, &answer), ANSWER_OWN);
  ck_assert (answer_check_can_ignore (&check, TX_OPEN, &answer));
  ck_assert (check.distrusted);
  answer.signature = "b";
  ck_assert (!answer_check_can_ignore (&check, TX_OPEN, &answer));
  answer = (struct answer){ .state = TX_OPEN };
  ck_assert (answer_check_can_ignore (&check, TX_OPEN, &answer));
  answer.state = TX_IDLE;
  ck_assert (!answer_check_can_ignore (&check, TX_OPEN, &answer));
  answer = (struct answer){ .state = TX_FAILED, .code = CODE_FAILED };
  ck_assert (!answer_check_can_ignore (&check, TX_OPEN, &answer));
  answer_check_clear (&check);
}

/* Guards against MIXED: the ring began anew as its first signature was old,
   and the later ones, of a burst, were overwritten within milliseconds.  */
UNIT_PLAIN (test_signatures_of_a_burst_after_a_pause_are_remembered)
{
  char signature[16];
  for (int i = 0; i < 64; i++)
    {
      now_ms += i == 1 ? ANSWER_CHECK_KEEP_MS : 1;
      snprintf (signature, sizeof signature, "%d", i);
      ck_assert_int_eq (match_signature (STMT_READ, signature), ANSWER_OWN);
    }
  ck_assert_int_eq (match_signature (STMT_READ, "31"), ANSWER_FOREIGN);
  answer_check_clear (&check);
}

/* Guards against REFUSED: an error that came twice moved the mark of the
   forgotten ones back.  */
UNIT_PLAIN (test_a_forgotten_error_is_doubtful_after_an_older_one_came_twice)
{
  check = (struct answer_check){ 0 };
  now_ms += (clk_ms)2 * ANSWER_CHECK_KEEP_MS;
  ck_assert_int_eq (match_busy (STMT_WRITE, 100), ANSWER_OWN);
  ck_assert_int_eq (match_busy (STMT_WRITE, 105), ANSWER_OWN);
  ck_assert_int_eq (match_busy (STMT_WRITE, 100), ANSWER_DOUBTFUL);
  for (uint64_t lsn = 110; lsn < 118; lsn++)
    ck_assert_int_eq (match_busy (STMT_WRITE, lsn), ANSWER_OWN);
  ck_assert_int_eq (match_busy (STMT_WRITE, 105), ANSWER_DOUBTFUL);
}

UNIT_MAIN ("answer_check")
