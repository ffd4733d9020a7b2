#include "core/view.h"
#include "kernel/mem.h"
#include "unit.h"

static struct view *view;
static struct findings findings;

static void
setup (void)
{
  view = view_new ();
  findings = (struct findings){ 0 };
}

static void
teardown (void)
{
  findings_clear (&findings);
  view_free (view);
}

/* Returns TEXT with single quotes replaced by double quotes.  */
static char *
with_double_quotes (const char *text)
{
  char *json = mem_strdup (text);
  for (char *p = json; *p != '\0'; p++)
    if (*p == '\'')
      *p = '"';
  return json;
}

static bool
apply (const char *team, const char *text)
{
  char *json = with_double_quotes (text);
  bool ok = view_apply (view, team, json, strlen (json), &findings);
  free (json);
  return ok;
}

static bool
check (const char *team, const char *text)
{
  char *json = with_double_quotes (text);
  bool ok = view_validate (view, team, json, strlen (json), &findings);
  free (json);
  return ok;
}

static bool
found (const char *path, const char *text)
{
  for (size_t i = 0; i < findings.count; i++)
    if (strcmp (findings.items[i].path, path) == 0
        && strstr (findings.items[i].text, text) != NULL)
      return true;
  return false;
}

#define INSTANCE(name, port)                                                  \
  "'" name "': {'address': '127.0.0.1', 'port': " port ", 'domain': 'p'}"

static const char valid_subtree[]
    = "{'services': {'depot-ledger': {'kinds': {"
      "'count': {'freshness': 'max_age', 'max_age_ms': 2000, 'write': false,"
      " 'repeatable': true, 'cost_ms': 200}, 'release': {}},"
      " 'databases': {'ledger-2': {'slots': 5, 'connections': 70,"
      " 'instances': {" INSTANCE (
          "b",
          "2") "}}, 'ledger-1': {'slots': 5,"
               " 'connections': 70, 'leaving': true, 'instances': {" INSTANCE (
                   "c", "5") "," INSTANCE ("a", "4") "}}}}}}";

UNIT_TEST (test_apply_indexes_the_subtree_in_name_order)
{
  ck_assert (apply ("dagohoy", valid_subtree));
  struct view_database *database = view_first_database (view);
  ck_assert_str_eq (database->name, "dagohoy/depot-ledger/ledger-1");
  ck_assert (database->leaving);
  ck_assert_int_eq (database->connect_cost_ms, 10);
  ck_assert_uint_eq (database->instance_count, 2);
  ck_assert_str_eq (database->instances[0].name,
                    "dagohoy/depot-ledger/ledger-1/a");
  ck_assert_uint_eq (database->instances[0].port, 4);
  ck_assert_ptr_eq (database->service,
                    view_service (view, "dagohoy/depot-ledger"));
  ck_assert_str_eq (((struct view_database *)database->hh.next)->name,
                    "dagohoy/depot-ledger/ledger-2");
  ck_assert_ptr_null (view_database (view, "dagohoy/depot-ledger/ledger-3"));
}

/* Guards against UNASKED: the names of instances lacked the last character of
   a long database name, so that statements ran at another database's.  */
UNIT_TEST (test_instances_of_databases_with_long_names_differ)
{
  char name[NAME_BYTES] = "";
  memset (name, 'n', sizeof name - 2);
  char *text = mem_printf (
      "{'services': {'%sn': {'databases': {'%sa': {'slots': 5,"
      " 'connections': 70, 'instances': {" INSTANCE (
          "i", "2") "}}, '%sb': {'slots': 5, 'connections': 70,"
                    " 'instances': {" INSTANCE ("i", "3") "}}}}}}",
      name, name, name);
  char *team = mem_printf ("%sn", name);
  ck_assert (apply (team, text));
  struct view_database *first = view_first_database (view);
  struct view_database *second = first->hh.next;
  ck_assert_str_ne (first->instances[0].name, second->instances[0].name);
  ck_assert_int_eq (
      strncmp (first->instances[0].name, first->name, strlen (first->name)),
      0);
  free (text);
  free (team);
}

UNIT_TEST (test_undeclared_kind_gets_the_strictest_settings)
{
  ck_assert (apply ("dagohoy", valid_subtree));
  const struct view_service *service = view_first_service (view);
  const struct view_kind *count = view_kind (service, "count");
  ck_assert_int_eq (count->max_age_ms, 2000);
  ck_assert (!count->write && count->repeatable);
  const char *const names[] = { "release", "no-such-kind", NULL };
  for (size_t i = 0; i < 3; i++)
    {
      const struct view_kind *kind = view_kind (service, names[i]);
      ck_assert_int_eq (kind->freshness, FRESHNESS_STRONG);
      ck_assert_int_eq (kind->ack, ACK_MAJORITY);
      ck_assert (kind->write && !kind->repeatable);
    }
}

UNIT_TEST (test_all_findings_are_reported_with_their_paths)
{
  ck_assert (!check (
      "dagohoy",
      "{'extra': 1, 'operators': {'Ann': {'secret_hash': 'x'}},"
      " 'services': {'s': {'weight': 0, 'kinds': {"
      "'k': {'deadline_ms': 0, 'ack': 'all', 'priority': 1.5},"
      "'m': {'freshness': 'max_age'}, 'c': {'cost_ms': 9000}, 'n': []},"
      "'databases': {'d': {'slots': 5, 'connections': 8, 'instances': {}},"
      "'e': {'slots': 1, 'connections': 2, 'instances': {" INSTANCE (
          "a", "1") "," INSTANCE ("b", "1") ", 'c': {'address': 'db1',"
                                            " 'port': 65536}}}}}}}"));
  ck_assert (found ("extra", "unknown"));
  ck_assert (found ("operators/Ann", "name must"));
  ck_assert (found ("operators/Ann/secret_hash", "32 hexadecimal"));
  ck_assert (found ("services/s/weight", "from 1 to 1000"));
  ck_assert (found ("services/s/kinds/k/deadline_ms", "1 to 600000"));
  ck_assert (found ("services/s/kinds/k/ack", "one of majority, primary"));
  ck_assert (found ("services/s/kinds/k/priority", "an integer from 0 to 9"));
  ck_assert (found ("services/s/kinds/m/freshness", "must be strong"));
  ck_assert (found ("services/s/kinds/m/max_age_ms", "must be given"));
  ck_assert (found ("services/s/kinds/c/cost_ms", "above deadline_ms"));
  ck_assert (found ("services/s/kinds/n", "must be an object"));
  ck_assert (found ("services/s/databases/d/slots", "half of connections"));
  ck_assert (found ("services/s/databases/d/instances", "1 to 3 members"));
  ck_assert (
      found ("services/s/databases/e/instances/b/address", "that of dagohoy"));
  ck_assert (
      found ("services/s/databases/e/instances/c/address", "IPv4 or IPv6"));
  ck_assert (found ("services/s/databases/e/instances/c/port", "65535"));
  ck_assert (found ("services/s/databases/e/instances/c/domain", "missing"));
  ck_assert_uint_eq (findings.count, 17);
}

UNIT_TEST (test_invalid_subtree_leaves_the_view_unchanged)
{
  ck_assert (apply ("dagohoy", valid_subtree));
  uint64_t generation = view_generation (view);
  ck_assert (!apply ("dagohoy", "{'services': {'other': []}}"));
  ck_assert (!apply ("dagohoy", "{'services': {}, 'services': {}}"));
  ck_assert (!apply ("dagohoy", "{"));
  ck_assert (!apply ("Bad team", "{}"));
  ck_assert_uint_eq (view_generation (view), generation);
  ck_assert_ptr_nonnull (view_service (view, "dagohoy/depot-ledger"));
  /* The subtree is rejected also when the list of findings is full.  */
  while (findings.count < FINDINGS_LIMIT)
    findings_add (&findings, "x", "y");
  ck_assert (!apply ("dagohoy", "{'services': 1}"));
}

/* During a rolling upgrade, hosts of an older version must still apply a team
   that has a new setting.  */
UNIT_TEST (test_unknown_settings_are_ignored_once_accepted)
{
  const char *json = "{'new': 1, 'services': {'s': {'newer': {}, 'kinds':"
                     " {'k': {'newest': []}}}}}";
  ck_assert (apply ("dagohoy", json));
  ck_assert_uint_eq (findings.count, 0);
  ck_assert_ptr_nonnull (view_service (view, "dagohoy/s"));
  ck_assert (!check ("dagohoy", json));
  ck_assert_uint_eq (findings.count, 3);
}

UNIT_TEST (test_addresses_of_other_teams_are_findings)
{
  ck_assert (apply ("ardhi", valid_subtree));
  ck_assert (check ("ardhi", valid_subtree));
  ck_assert (!check ("dagohoy", valid_subtree));
  ck_assert (found ("services/depot-ledger/databases/ledger-1/instances/a"
                    "/address",
                    "127.0.0.1 port 4 is that of ardhi/depot-ledger"));
  ck_assert_uint_eq (findings.count, 3);
  ck_assert_ptr_null (view_service (view, "dagohoy/depot-ledger"));
}

UNIT_TEST (test_teams_are_independent)
{
  ck_assert (apply ("ardhi", valid_subtree));
  ck_assert (apply ("dagohoy", valid_subtree));
  ck_assert (apply ("ardhi", "{}"));
  ck_assert_ptr_null (view_service (view, "ardhi/depot-ledger"));
  ck_assert_uint_eq (HASH_COUNT (view_first_database (view)), 2);
  view_remove (view, "dagohoy");
  ck_assert_ptr_null (view_first_database (view));
}

UNIT_TEST (test_secret_is_verified_against_its_hash)
{
  const uint8_t salt[VIEW_SALT_BYTES] = { 1, 2, 3 };
  char hash[VIEW_SECRET_HASH_BYTES];
  view_secret_hash ("s3cret", salt, hash);
  struct view_caller caller = { .name = "captain", .secret_hash = hash };
  ck_assert (view_caller_verify (&caller, "s3cret"));
  ck_assert (!view_caller_verify (&caller, "s3cre"));
  ck_assert (!view_caller_verify (&caller, ""));
  ck_assert (!view_caller_verify (&caller, NULL));
  ck_assert (!view_caller_verify (NULL, "s3cret"));
  char *json = mem_printf ("{'operators': {'ann': {'secret_hash': '%s'}},"
                           " 'services': {'s': {'callers': {'captain':"
                           " {'secret_hash': '%s'}}}}}",
                           hash, hash);
  ck_assert (apply ("dagohoy", json));
  free (json);
  ck_assert (view_caller_verify (
      view_caller (view_service (view, "dagohoy/s"), "captain"), "s3cret"));
  ck_assert (
      view_caller_verify (view_operator (view, "dagohoy", "ann"), "s3cret"));
  ck_assert_ptr_null (view_operator (view, "ardhi", "ann"));
}

/* A truncated subtree, or one with one byte changed, is either accepted or
   rejected with a finding.  */
UNIT_TEST (test_damaged_subtrees_are_accepted_or_rejected)
{
  size_t length = strlen (valid_subtree);
  for (size_t i = 0; i < length; i++)
    for (int change = 0; change < 4; change++)
      {
        char *json = with_double_quotes (valid_subtree);
        const char bytes[] = { '{', '\xff', '9', '"' };
        json[i] = bytes[change];
        size_t size = change == 0 ? i : length;
        bool ok = view_apply (view, "dagohoy", json, size, &findings);
        ck_assert (ok == (findings.count == 0));
        findings_clear (&findings);
        free (json);
      }
}

UNIT_MAIN ("view", .setup = setup, .teardown = teardown)
