#include "core/entry.h"
#include "core/session.h"
#include "unit.h"

static const uint8_t key[TOKEN_KEY_BYTES] = { 1 };
static const uint8_t other_key[TOKEN_KEY_BYTES] = { 2 };
static struct session session;
static struct session read_back;
static char token[TOKEN_LIMIT_BYTES];

static void
encode (void)
{
  ck_assert (
      session_encode (&session, key, "t/s", "clerk", token, sizeof token));
}

static void
advance (const char *database, uint64_t term, uint64_t lsn)
{
  struct position position = { .term = term, .lsn = lsn };
  session_advance (&session, database, position);
}

UNIT_TEST (test_positions_only_advance)
{
  memset (&session, 0, sizeof session);
  advance ("t/s/a", 1, 100);
  advance ("t/s/a", 1, 90);
  advance ("t/s/b", 2, 5);
  advance ("t/s/b", 1, 500);
  encode ();
  ck_assert (session_decode (&read_back, key, "t/s", "clerk", token));
  ck_assert_uint_eq (session_position (&read_back, "t/s/a").lsn, 100);
  ck_assert_uint_eq (session_position (&read_back, "t/s/b").term, 2);
  ck_assert_uint_eq (session_position (&read_back, "t/s/b").lsn, 5);
  ck_assert_uint_eq (session_position (&read_back, "t/s/c").term, 0);
}

UNIT_TEST (test_any_altered_character_is_refused)
{
  memset (&session, 0, sizeof session);
  advance ("t/s/a", 1, 100);
  encode ();
  for (size_t i = 0; token[i] != '\0'; i++)
    {
      char was = token[i];
      token[i] = was == 'A' ? 'B' : 'A';
      ck_assert (!session_decode (&read_back, key, "t/s", "clerk", token));
      token[i] = was;
    }
  token[strlen (token) - 4] = '\0';
  ck_assert (!session_decode (&read_back, key, "t/s", "clerk", token));
  ck_assert (!session_decode (&read_back, key, "t/s", "clerk", "?"));
}

UNIT_TEST (test_token_of_another_caller_service_or_key_is_refused)
{
  memset (&session, 0, sizeof session);
  advance ("t/s/a", 1, 100);
  encode ();
  ck_assert (session_decode (&read_back, key, "t/s", "clerk", token));
  ck_assert (!session_decode (&read_back, key, "t/s", "clerk2", token));
  ck_assert (!session_decode (&read_back, key, "t/s2", "clerk", token));
  ck_assert (!session_decode (&read_back, other_key, "t/s", "clerk", token));
}

UNIT_TEST (test_full_session_keeps_every_position_and_fits_the_token_limit)
{
  char name[32];
  memset (&session, 0, sizeof session);
  for (unsigned i = 0; i < SESSION_DATABASES; i++)
    {
      snprintf (name, sizeof name, "t/s/d%u", i);
      ck_assert (session_has_capacity (&session, name));
      advance (name, 1, i + 1);
    }
  ck_assert (!session_has_capacity (&session, "t/s/one-more"));
  ck_assert (session_has_capacity (&session, "t/s/d3"));
  advance ("t/s/one-more", 9, 9);
  encode ();
  ck_assert (session_decode (&read_back, key, "t/s", "clerk", token));
  for (unsigned i = 0; i < SESSION_DATABASES; i++)
    {
      snprintf (name, sizeof name, "t/s/d%u", i);
      ck_assert_uint_eq (session_position (&read_back, name).lsn, i + 1);
    }
}

UNIT_MAIN ("session")
