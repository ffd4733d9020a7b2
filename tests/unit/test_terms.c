#include "core/terms.h"
#include "kernel/kernel.h"
#include "kernel/mem.h"
#include "unit.h"

static struct clk_virtual clk;
static struct rng rng;
static struct log *quiet;
static struct kernel *kernel;
static struct terms *terms;
static size_t changes;
static uint64_t last_index;

static void
count_change (void *arg, const char *database,
              const struct term_record *record)
{
  (void)arg;
  (void)database;
  (void)record;
  changes++;
}

static void
setup (void)
{
  clk_virtual_init (&clk, 1000);
  rng_init (&rng, 1);
  quiet = log_new (&clk.base, LOG_EMERG, 0, log_to_stderr, NULL);
  kernel = kernel_new (&clk.base, &rng, quiet);
  terms = terms_new ();
  kernel_register (kernel, terms_module (terms));
  kernel_start (kernel);
  changes = 0;
  terms_subscribe (terms, count_change, NULL);
}

static void
teardown (void)
{
  kernel_free (kernel);
  log_free (quiet);
}

static void
set (const char *database, uint64_t index, uint64_t term)
{
  struct term_record record = { .term = term, .primary = "t/s/d/a" };
  terms_set (terms, database, index, &record);
}

UNIT_TEST (test_older_records_are_ignored)
{
  set ("t/s/d", 10, 3);
  set ("t/s/d", 10, 4);
  set ("t/s/d", 9, 5);
  set ("t/s/d", 11, 2);
  ck_assert_uint_eq (terms_get (terms, "t/s/d")->term, 3);
  ck_assert_uint_eq (terms_index (terms, "t/s/d"), 10);
  ck_assert_uint_eq (changes, 1);
  set ("t/s/d", 12, 4);
  ck_assert_uint_eq (terms_get (terms, "t/s/d")->term, 4);
  ck_assert_uint_eq (changes, 2);
  ck_assert_ptr_null (terms_get (terms, "t/s/other"));
}

static void
check_ascending_order (void *arg, const char *database, uint64_t index,
                       const struct term_record *record)
{
  (void)database;
  (void)record;
  ck_assert_uint_gt (index, last_index);
  last_index = index;
  ++*(size_t *)arg;
}

UNIT_TEST (test_records_are_listed_by_ascending_index)
{
  size_t count = 0;
  set ("t/s/a", 10, 1);
  set ("t/s/b", 30, 1);
  set ("t/s/c", 20, 1);
  set ("t/s/a", 25, 2);
  last_index = 0;
  terms_each (terms, check_ascending_order, &count);
  ck_assert_uint_eq (count, 3);
  last_index = 20;
  terms_each_since (terms, 20, check_ascending_order, &count);
  ck_assert_uint_eq (count, 5);
  terms_each_since (terms, 30, check_ascending_order, &count);
  ck_assert_uint_eq (count, 5);
}

UNIT_TEST (test_a_record_survives_printing_and_parsing)
{
  struct term_record record = {
    .term = 7,
    .state = TERM_CHOSEN,
    .primary = "t/s/d/a",
    .attempt = "0123456789abcdef0123456789abcdef",
    .coordinator = "host-1",
    .start_count = 2,
    .starts = { { 5, 1000 }, { 7, 1ULL << 60 } },
  };
  struct term_record back;
  char *json = term_record_print (&record);
  ck_assert (term_record_parse (json, strlen (json), &back));
  ck_assert_uint_eq (back.term, 7);
  ck_assert_int_eq (back.state, TERM_CHOSEN);
  ck_assert_str_eq (back.primary, record.primary);
  ck_assert_str_eq (back.attempt, record.attempt);
  ck_assert_uint_eq (back.start_count, 2);
  ck_assert_uint_eq (back.starts[1].lsn, 1ULL << 60);
  /* Every truncated text is malformed.  */
  for (size_t length = 0; length < strlen (json); length++)
    ck_assert (!term_record_parse (json, length, &back));
  free (json);
}

UNIT_TEST (test_malformed_records_are_refused)
{
  static const char *const bad[] = {
    "{}",
    "[]",
    "{\"term\":0,\"state\":\"active\",\"primary\":\"a\",\"attempt\":\"\","
    "\"coordinator\":\"\",\"starts\":[]}",
    "{\"term\":2,\"state\":\"sleepy\",\"primary\":\"a\",\"attempt\":\"\","
    "\"coordinator\":\"\",\"starts\":[]}",
    "{\"term\":2,\"state\":\"active\",\"primary\":\"a\",\"attempt\":\"\","
    "\"coordinator\":\"\",\"starts\":[{\"term\":2,\"lsn\":1},"
    "{\"term\":2,\"lsn\":2}]}",
    "{\"term\":2,\"state\":\"active\",\"primary\":\"a\",\"attempt\":\"\","
    "\"coordinator\":\"\",\"starts\":[{\"term\":2,\"lsn\":-1}]}",
  };
  struct term_record record;
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    ck_assert (!term_record_parse (bad[i], strlen (bad[i]), &record));
}

UNIT_TEST (test_history_shows_which_log_is_left)
{
  /* Term 4 was abandoned; term 5 continues the log of term 3.  */
  struct term_record record = {
    .term = 6,
    .start_count = 3,
    .starts = { { 3, 100 }, { 5, 200 }, { 6, 300 } },
  };
  const struct
  {
    struct position position;
    bool contained;
  } cases[] = {
    { { 2, 100 }, true },  { { 2, 101 }, false }, { { 3, 200 }, true },
    { { 3, 201 }, false }, { { 4, 150 }, false }, { { 4, 50 }, false },
    { { 5, 300 }, true },  { { 5, 301 }, false }, { { 6, 9999 }, true },
    { { 7, 1 }, false },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    ck_assert_msg (term_record_contains (&record, cases[i].position)
                       == cases[i].contained,
                   "case %zu", i);
  struct term_record fresh = { .term = 2 };
  ck_assert (term_record_contains (&fresh, (struct position){ 1, 5 }));
  ck_assert (!term_record_contains (&fresh, (struct position){ 3, 5 }));
}

UNIT_MAIN ("terms", .setup = setup, .teardown = teardown)
