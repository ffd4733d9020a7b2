#include <unistd.h>

#include "cli/settings.h"
#include "kernel/mem.h"
#include "unit.h"

#define KEY_A                                                                 \
  "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define KEY_B                                                                 \
  "ff0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

/* Environment of the test: pairs of name and value, ended by NULL.  */
static const char *variables[32];

static const char *
variable (const char *name)
{
  for (size_t i = 0; variables[i] != NULL; i += 2)
    if (strcmp (variables[i], name) == 0)
      return variables[i + 1];
  return NULL;
}

static void
set_variables (const char *const *pairs, size_t count)
{
  memset (variables, 0, sizeof variables);
  memcpy (variables, pairs, count * sizeof *pairs);
}

#define SET_VARIABLES(...)                                                    \
  do                                                                          \
    {                                                                         \
      const char *pairs_[] = { __VA_ARGS__ };                                 \
      set_variables (pairs_, sizeof pairs_ / sizeof pairs_[0]);               \
    }                                                                         \
  while (0)

static void
set_flag (struct settings_source *source, const char *name, const char *value)
{
  size_t count;
  const struct setting *table = settings_table (&count);
  for (size_t i = 0; i < count; i++)
    if (strcmp (table[i].name, name) == 0)
      {
        source->flags[i] = value;
        return;
      }
  ck_abort_msg ("no setting %s", name);
}

static bool
has_finding (const struct findings *findings, const char *path,
             const char *text)
{
  for (size_t i = 0; i < findings->count; i++)
    if (strcmp (findings->items[i].path, path) == 0
        && strstr (findings->items[i].text, text) != NULL)
      return true;
  return false;
}

UNIT_TEST (test_flags_override_variables_and_variables_override_defaults)
{
  struct settings_source source = { .variable = variable };
  struct settings settings;
  struct findings findings = { 0 };
  SET_VARIABLES ("SAVORYWAY_HOST", "h1", "SAVORYWAY_DOMAIN", "pampanga",
                 "SAVORYWAY_CALLER_PORT", "7001", "SAVORYWAY_RPC_PORT", "7003",
                 "SAVORYWAY_TOKEN_KEY", KEY_A, "SAVORYWAY_RPC_SECRET", KEY_B,
                 "SAVORYWAY_SEEDS", "h2=127.0.0.1:9,h3=::1:10",
                 "SAVORYWAY_LOG_LEVEL", "debug");
  set_flag (&source, "caller-port", "7002");
  set_flag (&source, "policy", "plain");
  ck_assert (settings_resolve (&settings, SETTINGS_RUN, &source, &findings));
  ck_assert_str_eq (settings.host, "h1");
  ck_assert_int_eq (settings.caller_port, 7002);
  ck_assert_int_eq (settings.rpc_port, 7003);
  ck_assert_int_eq (settings.operator_port, 8481);
  ck_assert_int_eq (settings.policy, POLICY_PLAIN);
  ck_assert_int_eq (settings.log_level, 7);
  ck_assert_uint_eq (settings.token_key[1], 1);
  ck_assert_uint_eq (settings.rpc_secret[0], 0xff);
  ck_assert_uint_eq (settings.seed_count, 2);
  ck_assert_str_eq (settings.seeds[1].address, "::1");
  ck_assert_uint_eq (settings.seeds[1].port, 10);
  settings_clear (&settings);
}

UNIT_TEST (test_all_findings_are_reported_with_their_source)
{
  struct settings_source source = { .variable = variable };
  struct settings settings;
  struct findings findings = { 0 };
  SET_VARIABLES ("SAVORYWAY_CALLER_PORT", "70000", "SAVORYWAY_RPC_ADDRESS",
                 "0.0.0.0", "SAVORYWAY_LOG_LEVEL", "loud",
                 "SAVORYWAY_TOKEN_KEY", "c0ffee", "SAVORYWAY_SEEDS",
                 "h2=127.0.0.1:9,h3");
  set_flag (&source, "domain", "pam panga");
  set_flag (&source, "platform-address", "platform.example");
  set_flag (&source, "log-rate", "1x");
  ck_assert (!settings_resolve (&settings, SETTINGS_RUN, &source, &findings));
  ck_assert (has_finding (&findings, "--host", "SAVORYWAY_HOST"));
  ck_assert (has_finding (&findings, "--domain", "pam panga"));
  ck_assert (has_finding (&findings, "SAVORYWAY_CALLER_PORT", "70000"));
  ck_assert (has_finding (&findings, "--rpc-address", "reached"));
  ck_assert (has_finding (&findings, "--platform-address", "IP number"));
  ck_assert (has_finding (&findings, "--log-rate", "whole number"));
  ck_assert (has_finding (&findings, "SAVORYWAY_LOG_LEVEL", "loud"));
  ck_assert (has_finding (&findings, "SAVORYWAY_SEEDS", "\"h3\""));
  ck_assert (has_finding (&findings, "SAVORYWAY_TOKEN_KEY", "digits"));
  ck_assert (has_finding (&findings, "SAVORYWAY_RPC_SECRET", "required"));
  ck_assert_uint_eq (findings.count, 10);
  for (size_t i = 0; i < findings.count; i++)
    ck_assert_ptr_null (strstr (findings.items[i].text, "c0ffee"));
  findings_clear (&findings);
  settings_clear (&settings);
}

UNIT_TEST (test_a_key_is_read_from_its_file)
{
  char path[] = "/tmp/savoryway-key-XXXXXX";
  struct settings_source source = { .variable = variable };
  struct settings settings;
  struct findings findings = { 0 };
  int fd = mkstemp (path);
  ck_assert_int_eq (write (fd, KEY_B "\n", 65), 65);
  close (fd);
  SET_VARIABLES ("SAVORYWAY_HOST", "h1", "SAVORYWAY_DOMAIN", "pampanga",
                 "SAVORYWAY_RPC_SECRET", KEY_A, "SAVORYWAY_TOKEN_KEY_FILE",
                 path);
  ck_assert (settings_resolve (&settings, SETTINGS_RUN, &source, &findings));
  ck_assert_uint_eq (settings.token_key[0], 0xff);
  settings_clear (&settings);
  unlink (path);
  ck_assert (!settings_resolve (&settings, SETTINGS_RUN, &source, &findings));
  ck_assert (has_finding (&findings, path, "No such file"));
  findings_clear (&findings);
  settings_clear (&settings);
}

UNIT_TEST (test_settings_table_is_consistent)
{
  size_t count;
  const struct setting *table = settings_table (&count);
  struct settings_source source = { .variable = variable };
  struct settings settings;
  struct findings findings = { 0 };
  memset (variables, 0, sizeof variables);
  /* These commands have no required settings, so all are set to defaults.  */
  ck_assert (settings_resolve (&settings, SETTINGS_OPERATOR | SETTINGS_CALLER,
                               &source, &findings));
  settings_clear (&settings);
  settings_resolve (&settings, SETTINGS_RUN, &source, &findings);
  ck_assert_uint_eq (findings.count, 4);
  findings_clear (&findings);
  settings_clear (&settings);
  for (size_t i = 0; i < count; i++)
    {
      ck_assert_ptr_nonnull (table[i].help);
      for (size_t j = 0; j < i; j++)
        {
          ck_assert_str_ne (table[i].name, table[j].name);
          ck_assert_uint_ne (table[i].offset, table[j].offset);
        }
    }
}

UNIT_TEST (test_platform_token_is_the_first_line_of_its_file)
{
  static const struct
  {
    const char *text;
    const char *token; /* NULL if a finding is expected */
  } cases[] = { { "d2f-7\nrest\n", "d2f-7" },
                { "\n", NULL },
                { "two words\n", NULL } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      char path[] = "/tmp/savoryway-token-XXXXXX";
      struct settings_source source = { .variable = variable };
      struct findings findings = { 0 };
      struct settings settings;
      size_t length = strlen (cases[i].text);
      int fd = mkstemp (path);
      ck_assert_int_eq (write (fd, cases[i].text, length), (ssize_t)length);
      close (fd);
      SET_VARIABLES ("SAVORYWAY_TOKEN_KEY", KEY_A, "SAVORYWAY_RPC_SECRET",
                     KEY_B, "SAVORYWAY_HOST", "h1", "SAVORYWAY_DOMAIN", "d");
      set_flag (&source, "platform-token-file", path);
      bool ok = settings_resolve (&settings, SETTINGS_RUN, &source, &findings);
      unlink (path);
      ck_assert (ok == (cases[i].token != NULL));
      if (ok)
        ck_assert_str_eq (settings.platform_token, cases[i].token);
      else
        ck_assert (has_finding (&findings, path, "is not a token"));
      findings_clear (&findings);
      settings_clear (&settings);
    }
}

UNIT_MAIN ("settings")
