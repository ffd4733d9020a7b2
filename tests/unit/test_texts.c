/* Texts of callers that become part of other messages: shapes, arguments and
   values, on a simulated fleet whose instances parse what they get.  */

#include "platform/wire.h"
#include "tests/fleet/fleet_unit.h"

/* Guards against PINNED: sets of values were told apart by XXH64, for which
   callers can make texts of the same hash, such as these.  */
UNIT_TEST (test_values_of_the_same_short_hash_are_told_apart)
{
  static const char *const texts[]
      = { "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
          "fngvketzaaaaaaaaaaaaaaaaaaaaaaaa5yY0tP_zaaaaaaaaaaaaaaaaaaaaaaaa" };
  struct fleet_host *host = fleet_host (fleet, 0);
  for (int i = 0; i < 16; i++)
    {
      struct fleet_caller *caller
          = fleet_caller_open (host, FLEET_DATABASE_PRIMARY);
      ck_assert_int_eq (run (caller, STMT_SET, "v", texts[i / 8]), CODE_OK);
      ck_assert_int_eq (run (caller, STMT_READ, "a", NULL), CODE_OK);
      fleet_caller_close (caller);
    }
}

/* Guards against UNASKED: the blanks of a shape became part of the name under
   which it was prepared, so that EXECUTE had more fields.  */
UNIT_TEST (test_shapes_with_blanks_are_executed_as_they_were_prepared)
{
  static const char *const shapes[]
      = { "q2c READ ojozh", "q2c",   "q2c WRITE", " q2c",
          "q2c ",           "q  2c", "q2c\tREAD" };
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  for (size_t i = 0; i < 2 * sizeof shapes / sizeof shapes[0]; i++)
    {
      ck_assert_int_eq (run (caller,
                             i % 3 ? STMT_PREPARE_READ : STMT_PREPARE_WRITE,
                             "s5", shapes[i / 2]),
                        CODE_OK);
      ck_assert_int_eq (run (caller, STMT_EXECUTE, "s5", "ae"), CODE_OK);
      ck_assert_int_eq (run (caller, STMT_EXECUTE, "s5", "ae  x "), CODE_OK);
    }
}

/* Prepares COUNT shapes, each in place of the one before, and executes
   them.  */
static void
execute_shapes (struct fleet_caller *caller, int from, int count)
{
  for (int i = from; i < from + count; i++)
    {
      char shape[32];
      snprintf (shape, sizeof shape, "q %d", i);
      ck_assert_int_eq (run (caller, STMT_PREPARE_READ, "s", shape), CODE_OK);
      for (int j = 0; j < 2; j++)
        ck_assert_int_eq (run (caller, STMT_EXECUTE, "s", "x"), CODE_OK);
    }
}

/* Guards against PINNED: on a connection with as many prepared statements as
   are recorded, a further one must not run as one of them.  */
UNIT_TEST (test_a_transaction_prepares_beyond_the_limit_of_its_connection)
{
  struct fleet_caller *caller
      = fleet_caller_open (fleet_host (fleet, 0), FLEET_DATABASE_PRIMARY);
  execute_shapes (caller, 0, BACKEND_PREPARED_LIMIT);
  ck_assert_int_eq (run (caller, STMT_BEGIN, NULL, NULL), CODE_OK);
  execute_shapes (caller, BACKEND_PREPARED_LIMIT / 2, BACKEND_PREPARED_LIMIT);
  ck_assert_int_eq (run (caller, STMT_COMMIT, NULL, NULL), CODE_OK);
  execute_shapes (caller, 0, BACKEND_PREPARED_LIMIT);
}

/* Appends random words and blanks to MESSAGE, which begins a statement, and
   runs that as the wire codec understands it.  */
static void
run_random (struct fleet_caller *caller, struct rng *rng, const char *message)
{
  static const char *const parts[]
      = { "READ", "WRITE", "EXECUTE", "AFTER 3.1", "COMMIT",
          "s1",   "q2c",   "-",       " ",         " ",
          "  ",   "\t",    "\x01",    "\xff",      "x;=()" };
  char line[256], text[256];
  struct wire_request request;
  size_t length = (size_t)snprintf (line, sizeof line, "%s", message);
  for (uint64_t n = 1 + rng_below (rng, 8); n > 0; n--)
    length += (size_t)snprintf (
        line + length, sizeof line - length, "%s",
        parts[rng_below (rng, sizeof parts / sizeof parts[0])]);
  wire_parse_request (&request, line, length, text);
  const struct statement *statement = &request.statement;
  if (statement->kind == STMT_READ || statement->kind == STMT_WRITE)
    ck_assert_int_eq (
        run (caller, statement->kind, strchr (text, ' ') + 1, NULL), CODE_OK);
  else if (statement->kind != STMT_UNKNOWN)
    {
      enum code code
          = run (caller, statement->kind, statement->name, statement->rest);
      if (statement->kind == STMT_COMMIT)
        ck_assert_int_eq (code, CODE_MALFORMED);
      else if (statement->kind == STMT_EXECUTE
               && strcmp (statement->name, "s") != 0)
        ck_assert (code == CODE_OK || code == CODE_NOSTMT);
      else
        ck_assert_int_eq (code, CODE_OK);
    }
}

/* Whatever callers send, instances run their texts, shapes, arguments and
   values, which the oracle compares.  */
UNIT_TEST (test_random_texts_of_callers_reach_the_instances_unchanged)
{
  static const char *const databases[]
      = { FLEET_DATABASE_PRIMARY, FLEET_DATABASE_BOUNDED };
  struct fleet_caller *callers[2];
  struct rng rng;
  rng_init (&rng, 52);
  for (int i = 0; i < 2; i++)
    {
      callers[i] = fleet_caller_open (fleet_host (fleet, 0), databases[i]);
      ck_assert_int_eq (run (callers[i], STMT_PREPARE_READ, "s", "q"),
                        CODE_OK);
    }
  for (int i = 0; i < 300; i++)
    {
      struct fleet_caller *caller = callers[rng_below (&rng, 2)];
      run_random (caller, &rng, "QUERY 1 PREPARE s READ ");
      run_random (caller, &rng, "QUERY 1 EXECUTE s ");
      run_random (caller, &rng, "QUERY 1 SET v ");
      run_random (caller, &rng, "QUERY 1 READ ");
      run_random (caller, &rng, "QUERY 1 PREPARE s WRITE ");
      run_random (caller, &rng, "QUERY 1 EXECUTE s ");
      run_random (caller, &rng, "QUERY 1 WRITE ");
      run_random (caller, &rng, "QUERY 1 ");
      if (fleet_caller_state (caller) != TX_IDLE)
        run (caller, STMT_ROLLBACK, NULL, NULL);
    }
}

UNIT_MAIN ("texts", .setup = set_up, .teardown = tear_down, .timeout_s = 30)
