/* Tests of the platform's codecs: statements and answers on the wire, calls
   of the store, entries of operators and instances.  */

#include <event2/buffer.h>

#include "kernel/mem.h"
#include "kernel/rng.h"
#include "platform/catalog_loader.h"
#include "platform/store_codec.h"
#include "platform/wire.h"
#include "unit.h"

#define MUTATIONS 20000

static struct wire_request request;
static char line[512];
static char text[512];

static void
parse (const char *message)
{
  snprintf (line, sizeof line, "%s", message);
  wire_parse_request (&request, line, strlen (line), text);
}

/* Removes and returns the content of BUFFER.  */
static char *
drain_buffer (struct evbuffer *buffer)
{
  size_t length = evbuffer_get_length (buffer);
  char *out = mem_zalloc (length + 1);
  evbuffer_remove (buffer, out, length);
  return out;
}

UNIT_PLAIN (test_parses_kinds_of_statements)
{
  static const struct
  {
    const char *message;
    enum stmt_kind kind;
  } rows[] = {
    { "QUERY 1 BEGIN", STMT_BEGIN },
    { "QUERY 1 BEGIN READ", STMT_BEGIN_READ },
    { "QUERY 1 BEGIN WRITE", STMT_UNKNOWN },
    { "QUERY 1 COMMIT", STMT_COMMIT },
    { "QUERY 1 COMMIT now", STMT_UNKNOWN },
    { "QUERY 1 ROLLBACK", STMT_ROLLBACK },
    { "QUERY 1 READ 1a4", STMT_READ },
    { "QUERY 1 READ", STMT_UNKNOWN },
    { "QUERY 1 WRITE 1a4 data", STMT_WRITE },
    { "QUERY 1 SET lang sw", STMT_SET },
    { "QUERY 1 SET lang", STMT_UNKNOWN },
    { "QUERY 1 PREPARE s1 READ q2c", STMT_PREPARE_READ },
    { "QUERY 1 PREPARE s1 WRITE q2c", STMT_PREPARE_WRITE },
    { "QUERY 1 PREPARE s1 BOTH q2c", STMT_UNKNOWN },
    { "QUERY 1 EXECUTE s1 1a4 xk", STMT_EXECUTE },
    { "QUERY 1 DEALLOCATE s1", STMT_DEALLOCATE },
    { "QUERY 1 AFTER 3.1 READ a", STMT_UNKNOWN },
    { "QUERY 1 STATUS", STMT_UNKNOWN },
    { "QUERY 1 RESET", STMT_UNKNOWN },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      parse (rows[i].message);
      ck_assert_int_eq (request.kind, WIRE_QUERY);
      ck_assert_msg (request.statement.kind == rows[i].kind, "%s",
                     rows[i].message);
    }
}

UNIT_PLAIN (test_statement_text_is_forwarded_unchanged)
{
  parse ("QUERY 5c0e WRITE 1a4  two blanks and  a tail ");
  ck_assert_str_eq (request.statement.id, "5c0e");
  ck_assert_str_eq (request.statement.text,
                    "WRITE 1a4  two blanks and  a tail ");
  struct evbuffer *out = evbuffer_new ();
  wire_put_statement (out, &request.statement, NULL);
  char *sent = drain_buffer (out);
  ck_assert_str_eq (sent, "QUERY 5c0e WRITE 1a4  two blanks and  a tail \r\n");
  free (sent);
  wire_put_statement (out, &request.statement, &(struct position){ 3, 1207 });
  sent = drain_buffer (out);
  ck_assert_str_eq (sent, "QUERY 5c0e AFTER 3.1207 WRITE 1a4  two blanks and  "
                          "a tail \r\n");
  free (sent);
  evbuffer_free (out);
}

/* Guards against UNASKED: what an instance gets is the text of the caller, or
   the caller gets an error.  */
UNIT_PLAIN (test_odd_texts_are_forwarded_unchanged_or_refused)
{
  static const char *const taken[] = { "QUERY 1 READ AFTER 3.1 READ a",
                                       "QUERY 1 READ  a",
                                       "QUERY 1 READ a ",
                                       "QUERY 1 READ \ta",
                                       "QUERY 1 READ ",
                                       "QUERY 1 READ QUERY 2 COMMIT",
                                       "QUERY 1 READ a\x01\x7f\xff",
                                       "QUERY 1 WRITE a AFTER 1.1",
                                       "QUERY 1 WRITE a  b  ",
                                       "QUERY 1 WRITE a READ b",
                                       "QUERY \xc3\xa4 READ a",
                                       "QUERY -1 READ a",
                                       "QUERY AFTER READ a",
                                       "QUERY QUERY WRITE WRITE",
                                       "QUERY 1 COMMIT",
                                       "QUERY 1 EXECUTE s1 x  y ",
                                       "QUERY 1 EXECUTE s1 ",
                                       "QUERY 1 EXECUTE READ WRITE a",
                                       "QUERY 1 SET a  b ",
                                       "QUERY 1 PREPARE READ WRITE READ  q " };
  static const char *const unknown[] = { "QUERY 1 AFTER 3.1 READ a",
                                         "QUERY 1 AFTER READ a",
                                         "QUERY 1  READ a",
                                         "QUERY 1 READ",
                                         "QUERY 1 READ\ta",
                                         "QUERY 1 read a",
                                         "QUERY 1 BEGIN READ x",
                                         "QUERY 1 BEGIN  READ",
                                         "QUERY 1 BEGIN READ ",
                                         "QUERY 1 BEGIN ",
                                         "QUERY 1 COMMIT ",
                                         "QUERY 1 ROLLBACK TO a",
                                         "QUERY 1 EXECUTE  s1 x",
                                         "QUERY 1 EXECUTE s1",
                                         "QUERY 1 EXECUTE s\t1 x",
                                         "QUERY 1 SET a\tb c",
                                         "QUERY 1 SET  a b",
                                         "QUERY 1 SET a",
                                         "QUERY 1 PREPARE s1 READ ",
                                         "QUERY 1 PREPARE s1  READ q",
                                         "QUERY 1 PREPARE s\x01 READ q",
                                         "QUERY 1 PREPARE s1 q",
                                         "QUERY 1 DEALLOCATE",
                                         "QUERY 1 DEALLOCATE a b",
                                         "QUERY 1 DEALLOCATE a ",
                                         "QUERY 1 DEALLOCATE  a",
                                         "QUERY 1 " };
  static const char *const malformed[]
      = { "QUERY  READ a",    "QUERY \t READ a", "QUERY 1\x7f READ a",
          "QUERY 1\t READ a", "QUERY 1",         "QUERY",
          " QUERY 1 READ a",  "QUERY\t1 READ a", "query 1 READ a",
          "STARTUP",          "STARTUP  db" };
  struct evbuffer *out = evbuffer_new ();
  for (size_t i = 0; i < sizeof taken / sizeof taken[0]; i++)
    {
      parse (taken[i]);
      ck_assert_msg (wire_check_statement (&request.statement), "%s",
                     taken[i]);
      ck_assert (wire_put_statement (out, &request.statement, NULL));
      char *sent = drain_buffer (out);
      ck_assert_msg (strncmp (sent, taken[i], strlen (taken[i])) == 0
                         && strcmp (sent + strlen (taken[i]), "\r\n") == 0,
                     "%s", sent);
      free (sent);
    }
  evbuffer_free (out);
  for (size_t i = 0; i < sizeof unknown / sizeof unknown[0]; i++)
    {
      parse (unknown[i]);
      ck_assert_msg (request.kind == WIRE_QUERY
                         && request.statement.kind == STMT_UNKNOWN
                         && !wire_check_statement (&request.statement),
                     "%s", unknown[i]);
    }
  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    {
      parse (malformed[i]);
      ck_assert_msg (request.kind == WIRE_MALFORMED, "%s", malformed[i]);
    }
}

UNIT_PLAIN (test_only_words_are_sent_when_a_connection_is_opened)
{
  struct evbuffer *out = evbuffer_new ();
  ck_assert (!wire_put_startup (out, "s\r\nQUERY f0", "ws-1", "i-1"));
  ck_assert (!wire_put_startup (out, "s", "ws 1", "i-1"));
  ck_assert (!wire_put_startup (out, "s", "", "i-1"));
  ck_assert (!wire_put_startup (out, "s", "ws-1", NULL));
  ck_assert_uint_eq (evbuffer_get_length (out), 0);
  ck_assert (wire_put_startup (out, "s", "ws-1", "i-1"));
  evbuffer_free (out);
}

UNIT_PLAIN (test_the_key_is_the_rest_of_the_message)
{
  parse ("STARTUP db key more");
  ck_assert_str_eq (request.database, "db");
  ck_assert_str_eq (request.key, "key more");
  parse ("STARTUP db ");
  ck_assert_ptr_null (request.key);
}

UNIT_PLAIN (test_rejects_injected_messages_and_reserved_ids)
{
  parse ("QUERY 1 READ a\nQUERY 2 WRITE a 1");
  ck_assert_int_eq (request.kind, WIRE_MALFORMED);
  parse ("QUERY 1 READ a\rQUERY 2 WRITE a 1");
  ck_assert_int_eq (request.kind, WIRE_MALFORMED);
  /* "-" is reserved for statements of the proxy itself.  */
  parse ("QUERY - STEPDOWN 9");
  ck_assert_int_eq (request.kind, WIRE_MALFORMED);
  parse ("QUERY -");
  ck_assert_int_eq (request.kind, WIRE_MALFORMED);
  parse ("");
  ck_assert_int_eq (request.kind, WIRE_MALFORMED);
}

/* Guards against UNASKED: a name with blanks was printed as several fields of
   EXECUTE.  */
UNIT_PLAIN (test_a_statement_with_other_fields_on_the_wire_is_not_printed)
{
  static const struct statement unsound[] = {
    { .kind = STMT_EXECUTE, .name = "r_q2c READ ojozh", .rest = "ae" },
    { .kind = STMT_EXECUTE, .name = "", .rest = "ae" },
    { .kind = STMT_EXECUTE, .name = "s1\n", .rest = "ae" },
    { .kind = STMT_EXECUTE, .name = "s1", .rest = "ae\r\nQUERY f0 COMMIT" },
    { .kind = STMT_PREPARE_READ, .name = "r_q2c READ", .rest = "q2c READ" },
    { .kind = STMT_PREPARE_WRITE, .name = "s1", .rest = "q2c\nQUERY" },
    { .kind = STMT_SET, .name = "a b", .rest = "c" },
    { .kind = STMT_SET, .name = "a", .rest = "c\rQUERY" },
    { .kind = STMT_READ, .id = "5c0e WRITE", .text = "READ a" },
    { .kind = STMT_READ, .id = "", .text = "READ a" },
    { .kind = STMT_READ, .id = "5c0e", .text = "READ a\nWRITE b" },
    { .kind = STMT_COMMIT, .id = "5c\r\n0e", .text = "COMMIT" },
  };
  struct evbuffer *out = evbuffer_new ();
  for (size_t i = 0; i < sizeof unsound / sizeof unsound[0]; i++)
    {
      wire_put_statement (out, &unsound[i], NULL);
      ck_assert_msg (evbuffer_get_length (out) == 0, "case %zu: %s", i,
                     evbuffer_pullup (out, -1));
    }
  evbuffer_free (out);
}

/* Guards against UNASKED: a statement with a zero byte was cut there and
   run.  */
UNIT_PLAIN (test_a_message_with_a_zero_byte_is_malformed)
{
  static const struct
  {
    const char *message;
    size_t length;
  } cases[] = {
#define CASE(text) { text, sizeof text - 1 }
    CASE ("QUERY q1 WRITE 17 40bags\0for-the-north-gate"),
    CASE ("QUERY q1 WRITE 17 40bags\0"),
    CASE ("QUERY q1 READ 17\0 18"),
    CASE ("QUERY q1 COMMIT\0"),
    CASE ("QUERY q1\0 COMMIT"),
    CASE ("QUERY q1 SET zone a\0b"),
    CASE ("QUERY q1 PREPARE s1 WRITE shape\0rest"),
    CASE ("QUERY q1 EXECUTE s1 17 a\0b"),
    CASE ("STARTUP ledger\0 key"),
    CASE ("STARTUP ledger key\0more"),
    CASE ("TERMINATE\0"),
    CASE ("\0TERMINATE"),
#undef CASE
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      memcpy (line, cases[i].message, cases[i].length + 1);
      wire_parse_request (&request, line, cases[i].length, text);
      ck_assert_msg (request.kind == WIRE_MALFORMED, "case %zu", i);
    }
}

UNIT_PLAIN (test_parses_replies_of_instances)
{
  struct answer answer = { 0 };
  char ready[] = "READY E 3.1209";
  ck_assert_int_eq (wire_parse_reply (&answer, ready), WIRE_READY);
  ck_assert_int_eq (answer.state, TX_FAILED);
  ck_assert (answer.has_position);
  ck_assert_uint_eq (answer.position.lsn, 1209);
  char none[] = "READY I -";
  ck_assert_int_eq (wire_parse_reply (&answer, none), WIRE_READY);
  ck_assert (!answer.has_position);
  char error[] = "ERROR READONLY i-7f3a91c2";
  ck_assert_int_eq (wire_parse_reply (&answer, error), WIRE_ERROR);
  ck_assert_int_eq (answer.code, CODE_READONLY);
  ck_assert_str_eq (answer.text, "i-7f3a91c2");
  char unknown_code[] = "ERROR NEWCODE what";
  ck_assert_int_eq (wire_parse_reply (&answer, unknown_code), WIRE_ERROR);
  ck_assert_int_eq (answer.code, CODE_FAILED);
  char unknown_state[] = "READY X 1.2";
  ck_assert_int_eq (wire_parse_reply (&answer, unknown_state), WIRE_UNKNOWN);
}

UNIT_PLAIN (test_parses_instance_status)
{
  struct instance_status status;
  struct answer answer
      = { .body = "ROW replica 3 3.1209 0 12 2 17\r\nCOMPLETE -\r\n" };
  ck_assert (wire_parse_status (&status, &answer));
  ck_assert (!status.is_primary);
  ck_assert_uint_eq (status.received.lsn, 1209);
  answer.body = "ROW replica x\r\n";
  ck_assert (!wire_parse_status (&status, &answer));
  answer.body = NULL;
  ck_assert (!wire_parse_status (&status, &answer));
}

UNIT_PLAIN (test_prints_answers_to_callers)
{
  struct evbuffer *out = evbuffer_new ();
  struct answer answer
      = { .code = CODE_BUSY, .text = "later", .state = TX_FAILED };
  wire_put_answer (out, &answer);
  answer.text = "of another host\r\nCOMPLETE 7.1";
  wire_put_answer (out, &answer);
  answer = (struct answer){ .code = CODE_OK };
  wire_put_answer (out, &answer);
  char *sent = drain_buffer (out);
  ck_assert_str_eq (sent, "ERROR BUSY later\r\nREADY E -\r\n"
                          "ERROR BUSY -\r\nREADY E -\r\n"
                          "COMPLETE -\r\nREADY I -\r\n");
  free (sent);
  evbuffer_free (out);
}

static struct kv_response
store_response (enum platform_call_kind kind, int code, const char *body)
{
  struct kv_response response;
  store_codec.parse (&response, kind, code, NULL, body, strlen (body));
  return response;
}

UNIT_PLAIN (test_watch_returns_changes_and_removals)
{
  struct kv_response response = store_response (
      PLATFORM_WATCH, 200,
      "{\"events\":[{\"key\":\"my/leader\",\"value\":\"bm9kZS0x\","
      "\"revision\":412,\"created\":400,\"lease\":7},"
      "{\"key\":5},{\"key\":\"my/old\",\"revision\":413,\"removed\":true}],"
      "\"as_of\":413}");
  ck_assert_int_eq (response.reply.status, PLATFORM_OK);
  ck_assert_uint_eq (response.reply.item_count, 2);
  ck_assert_str_eq (response.items[0].value, "node-1");
  ck_assert_uint_eq (response.items[0].created, 400);
  ck_assert (response.items[1].removed);
  kv_response_clear (&response);
  response = store_response (PLATFORM_WATCH, 410, "{}");
  ck_assert_int_eq (response.reply.status, PLATFORM_COMPACTED);
}

UNIT_PLAIN (test_distinguishes_lost_and_refused_store_calls)
{
  ck_assert_int_eq (store_response (PLATFORM_WRITE, 503, "").reply.status,
                    PLATFORM_UNAVAILABLE);
  ck_assert_int_eq (store_response (PLATFORM_WRITE, 500, "").reply.status,
                    PLATFORM_LOST);
  ck_assert_int_eq (store_response (PLATFORM_WRITE, 200, "cut").reply.status,
                    PLATFORM_LOST);
  ck_assert_int_eq (store_response (PLATFORM_WRITE, 412, "{}").reply.status,
                    PLATFORM_CONFLICT);
  ck_assert_int_eq (store_response (PLATFORM_RENEW, 404, "").reply.status,
                    PLATFORM_NOT_FOUND);
  ck_assert_int_eq (store_response (PLATFORM_LIST, 200, "[]").reply.status,
                    PLATFORM_UNAVAILABLE);
  ck_assert_int_eq (store_response (PLATFORM_LIST, 429, "").reply.status,
                    PLATFORM_UNAVAILABLE);
}

UNIT_PLAIN (test_every_reply_has_the_era_of_the_store)
{
  static const struct
  {
    enum platform_call_kind kind;
    int code;
    const char *body;
  } rows[] = {
    { PLATFORM_LIST, 200, "{\"items\":[],\"as_of\":5}" },
    { PLATFORM_LIST, 200, "cut" },
    { PLATFORM_WATCH, 410, "{}" },
    { PLATFORM_RENEW, 404, "" },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct kv_response response;
      store_codec.parse (&response, rows[i].kind, rows[i].code, "3",
                         rows[i].body, strlen (rows[i].body));
      ck_assert_uint_eq (response.reply.era, 3);
      kv_response_clear (&response);
    }
  ck_assert_uint_eq (store_response (PLATFORM_RENEW, 404, "").reply.era, 0);
}

/* A restored store gives its revisions out again.  */
UNIT_PLAIN (test_an_index_is_higher_in_a_later_era)
{
  static const char body[]
      = "{\"items\":[{\"key\":\"a\",\"value\":\"\",\"revision\":7,"
        "\"created\":4}],\"as_of\":9}";
  uint64_t before = 0;
  for (int era = 1; era < 4; era++)
    {
      struct kv_response response;
      char header[8];
      snprintf (header, sizeof header, "%d", era);
      store_codec.parse (&response, PLATFORM_LIST, 200, header, body,
                         strlen (body));
      ck_assert_uint_gt (response.items[0].created, before);
      ck_assert_uint_gt (response.items[0].index, response.items[0].created);
      ck_assert_uint_gt (response.reply.index, response.items[0].index);
      ck_assert_uint_eq (platform_index_revision (response.reply.index), 9);
      before = response.reply.index;
      kv_response_clear (&response);
    }
  struct platform_call call
      = { .kind = PLATFORM_WATCH, .key = "", .wait_index = before };
  struct kv_request built;
  ck_assert (store_codec.build (&built, &call));
  ck_assert_ptr_nonnull (strstr (built.uri, "&after=9&"));
  kv_request_clear (&built);
}

UNIT_PLAIN (test_write_contains_expected_revisions)
{
  struct platform_write write = {
    .key = "my/leader", .value = "node-1", .value_bytes = 6, .lease = "77120"
  };
  struct platform_call call
      = { .kind = PLATFORM_WRITE, .writes = &write, .write_count = 1 };
  struct kv_request built;
  ck_assert (store_codec.build (&built, &call));
  ck_assert_str_eq (
      built.body,
      "{\"expected\":[{\"key\":\"my/leader\",\"revision\":0}],"
      "\"set_keys\":[{\"key\":\"my/leader\",\"value\":\"bm9kZS0x\","
      "\"lease\":77120}],\"remove\":[]}");
  kv_request_clear (&built);
  write.erase = true;
  write.expect_index = 9;
  ck_assert (store_codec.build (&built, &call));
  ck_assert_str_eq (built.body,
                    "{\"expected\":[{\"key\":\"my/leader\",\"revision\":9}],"
                    "\"set_keys\":[],\"remove\":[\"my/leader\"]}");
  kv_request_clear (&built);
}

static bool
parse_entry (struct instance_entry *entry, const char *key, const char *value)
{
  struct platform_item item = { .key = (char *)key,
                                .value = (char *)value,
                                .value_bytes = strlen (value),
                                .index = 7 };
  return catalog_loader_parse_instance (entry, &item);
}

UNIT_PLAIN (test_unusable_instance_entries_are_rejected)
{
  struct instance_entry entry;
  ck_assert (parse_entry (
      &entry, "servers/i-1",
      "{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\","
      "\"version\":\"v1\",\"capacity\":5,\"cold_remaining_ms\":0,"
      "\"state\":\"draining\","
      "\"db_role\":\"primary\",\"sequence\":4,\"born\":1}"));
  ck_assert_str_eq (entry.address, "10.128.0.9");
  ck_assert_uint_eq (entry.port, 8080);
  ck_assert (entry.draining && entry.is_primary);
  static const char *const unusable[] = {
    "",
    "[]",
    "{}",
    "\xff\xfe",
    "{\"service\":5,\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
    "\"state\":\"ready\",\"db_role\":\"replica\"}",
    "{\"service\":\"s\",\"address\":\"host:1\",\"zone\":\"z\","
    "\"state\":\"ready\",\"db_role\":\"replica\"}",
    "{\"service\":\"s\",\"address\":\"10.0.0.1:99999\",\"zone\":\"z\","
    "\"state\":\"ready\",\"db_role\":\"replica\"}",
    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
    "\"state\":\"resting\",\"db_role\":\"replica\"}",
    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
    "\"state\":\"ready\",\"db_role\":\"king\"}",
  };
  for (size_t i = 0; i < sizeof unusable / sizeof unusable[0]; i++)
    ck_assert_msg (!parse_entry (&entry, "servers/i-1", unusable[i]), "%s",
                   unusable[i]);
}

/* Guards against RECOVER: entries with a field that was missing or of another
   type took the places of instances.  */
UNIT_PLAIN (test_entries_with_an_odd_field_name_no_instance)
{
  static const char *const fields[] = { "\"service\":\"s\"",
                                        "\"address\":\"10.0.0.1:80\"",
                                        "\"zone\":\"z\"",
                                        "\"version\":\"v1\"",
                                        "\"capacity\":5",
                                        "\"state\":\"ready\"",
                                        "\"cold_remaining_ms\":12",
                                        "\"db_role\":\"replica\"",
                                        "\"sequence\":4" };
  static const struct
  {
    size_t field;
    const char *text;
  } odd[] = {
    { 0, "\"service\":[\"s\"]" },
    { 1, "\"address\":\"10.0.0.1:80x\"" },
    { 1, "\"address\":\"10.0.0.1:0\"" },
    { 1, "\"address\":\"10.0.0.1:65536\"" },
    { 1, "\"address\":\"10.0.0.1: 80\"" },
    { 1, "\"address\":\"10.0.0.1:-1\"" },
    { 2, "\"zone\":7" },
    { 3, "\"version\":1" },
    { 4, "\"capacity\":\"many\"" },
    { 4, "\"capacity\":-1" },
    { 4, "\"capacity\":1e300" },
    { 4, "\"capacity\":4294967296" },
    { 4, "\"capacity\":1.5" },
    { 4, "\"capacity\":null" },
    { 5, "\"state\":true" },
    { 6, "\"cold_remaining_ms\":\"0\"" },
    { 6, "\"cold_remaining_ms\":-5" },
    { 7, "\"db_role\":{}" },
    { 8, "\"sequence\":\"4\"" },
    { 8, "\"sequence\":1e99" },
    { 8, "\"sequence\":4,\"born\":\"now\"" },
    { 8, "\"sequence\":4,\"born\":0.5" },
  };
  const size_t count = sizeof fields / sizeof fields[0];
  const size_t odd_count = sizeof odd / sizeof odd[0];
  struct instance_entry entry;
  /* First the sound entry, then one without each field, then the odd ones.  */
  for (size_t i = 0; i < 1 + count + odd_count; i++)
    {
      char value[512] = "{";
      size_t used = 1;
      for (size_t j = 0; j < count; j++)
        {
          bool replaced = i > count && odd[i - count - 1].field == j;
          if (i > 0 && i <= count && i - 1 == j)
            continue;
          used += (size_t)snprintf (
              value + used, sizeof value - used, "%s%s", used > 1 ? "," : "",
              replaced ? odd[i - count - 1].text : fields[j]);
        }
      snprintf (value + used, sizeof value - used, "}");
      ck_assert_msg (parse_entry (&entry, "servers/i-1", value) == (i == 0),
                     "%s", value);
    }
}

/* Names from the store that would split a message, as JSON strings.  */
static const char *const split_names[] = { "s w\\r\\nQUERY f0 WRITE 7 forged",
                                           "s w",
                                           " s",
                                           "s\\r",
                                           "s\\n",
                                           "s\\t",
                                           "s\\u007f",
                                           "" };

/* Guards against UNASKED: the service's name of a foreign entry put a
   statement on the connection to an instance.  */
UNIT_PLAIN (test_entries_whose_names_would_split_a_message_are_rejected)
{
  static const char *const format
      = "{\"service\":\"%s\",\"address\":\"10.0.0.1:1\",\"zone\":\"%s\","
        "\"version\":\"v1\",\"capacity\":5,\"cold_remaining_ms\":0,"
        "\"sequence\":1,\"state\":\"ready\",\"db_role\":\"replica\"}";
  static const char *const keys[]
      = { "servers/", "servers/i 1", "servers/i-1\r\nQUERY f0 WRITE 7 forged",
          "servers/i-1\n" };
  struct instance_entry entry;
  char *good = mem_printf (format, "s", "z");
  ck_assert (parse_entry (&entry, "servers/i-1", good));
  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    ck_assert_msg (!parse_entry (&entry, keys[i], good), "%s", keys[i]);
  free (good);
  for (size_t i = 0; i < sizeof split_names / sizeof split_names[0]; i++)
    {
      char *value = mem_printf (format, split_names[i], "z");
      ck_assert_msg (!parse_entry (&entry, "servers/i-1", value), "%s", value);
      free (value);
    }
}

/* Guards against UNASKED: as for entries, with the operators' names.  */
UNIT_PLAIN (test_groups_whose_names_would_split_a_message_are_left_out)
{
  for (size_t i = 0; i < sizeof split_names / sizeof split_names[0]; i++)
    {
      struct catalog_config out;
      char *value = mem_printf (
          "{\"version\":7,\"routes\":[{\"host\":\"db\",\"kind\":\"primary\","
          "\"service\":\"%s\"}],\"services\":[{\"name\":\"%s\"},"
          "{\"name\":\"good\"}]}",
          split_names[i], split_names[i]);
      struct platform_item item = { .key = "op/config",
                                    .value = value,
                                    .value_bytes = strlen (value) };
      ck_assert (catalog_loader_parse_config (&out, &item));
      ck_assert_uint_eq (out.route_count, 0);
      ck_assert_uint_eq (out.group_count, 1);
      ck_assert_str_eq (out.groups[0].name, "good");
      catalog_config_clear (&out);
      free (value);
    }
}

static const char *const config
    = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"db\",\"kind\":"
      "\"read_your_writes\",\"timeout_ms\":1000,\"priority\":2,\"service\":"
      "\"s\",\"max_staleness_ms\":2500},{\"host\":5}],\"services\":[{\"name\":"
      "\"s\",\"max_conns\":72,\"sync_replicas\":0}],\"limits\":{"
      "\"tx_idle_ms\":3000}}";

UNIT_PLAIN (test_parses_configuration)
{
  struct catalog_config out;
  struct platform_item item = { .key = "op/config",
                                .value = (char *)config,
                                .value_bytes = strlen (config) };
  ck_assert (catalog_loader_parse_config (&out, &item));
  ck_assert_uint_eq (out.version, 7);
  ck_assert_uint_eq (out.route_count, 1);
  ck_assert_int_eq (out.routes[0].kind, ROUTE_SESSION);
  ck_assert_uint_eq (out.groups[0].connections, 72);
  ck_assert_int_eq (out.tx_idle_ms, 3000);
  catalog_config_clear (&out);
}

/* Copies SEED to OUT, of SIZE bytes, with up to 3 random bytes changed and in
   one of 4 cases truncated.  Returns the new length.  */
static size_t
mutate (struct rng *rng, const char *seed, char *out, size_t size)
{
  size_t length = strlen (seed);
  if (length >= size)
    length = size - 1;
  memcpy (out, seed, length);
  out[length] = '\0';
  for (uint64_t n = rng_below (rng, 4); n > 0 && length > 0; n--)
    out[rng_below (rng, length)] = (char)(1 + rng_below (rng, 255));
  if (rng_below (rng, 4) == 0 && length > 0)
    {
      length = rng_below (rng, length);
      out[length] = '\0';
    }
  return length;
}

/* Checks that MESSAGE of a caller, as it was parsed, is sent unchanged.  */
static void
check_unchanged (const char *message)
{
  struct evbuffer *out = evbuffer_new ();
  ck_assert (wire_check_statement (&request.statement));
  ck_assert (wire_put_statement (out, &request.statement, NULL));
  char *sent = drain_buffer (out), *expected = mem_printf ("%s\r\n", message);
  ck_assert_str_eq (sent, expected);
  free (expected);
  free (sent);
  evbuffer_free (out);
}

UNIT_PLAIN (test_mutated_input_does_not_crash_the_parsers)
{
  static const char *const messages[] = { "STARTUP lepu270 u3f1",
                                          "QUERY 5c0e PREPARE s1 WRITE q2c",
                                          "QUERY 5c0e EXECUTE s1 1a4 xkqpwnzd",
                                          "QUERY 5c0e SET a b",
                                          "ROW qhzk",
                                          "COMPLETE 7.1f3",
                                          "READY T 3.1209",
                                          "ERROR READONLY i-7f3a91c2" };
  static const char *const bodies[]
      = { "{\"items\":[{\"key\":\"a\",\"value\":\"bm9kZS0x\",\"revision\":4,"
          "\"created\":3,\"lease\":0}],\"has_more\":true,\"as_of\":530}",
          "{\"events\":[{\"key\":\"a\",\"revision\":4,\"removed\":true}],"
          "\"as_of\":530}",
          "{\"lease\":77120,\"ttl_ms\":3000}", "{\"revision\":412}" };
  struct rng rng;
  char out[1024], copy[1024];
  rng_init (&rng, 11);
  for (int i = 0; i < MUTATIONS; i++)
    {
      struct answer answer = { 0 };
      struct kv_response response;
      struct catalog_config parsed;
      struct instance_entry entry;
      size_t length = mutate (&rng, messages[i % 8], out, sizeof out);
      memcpy (copy, out, length + 1);
      wire_parse_request (&request, copy, length, text);
      if (request.kind == WIRE_QUERY && request.statement.kind != STMT_UNKNOWN)
        check_unchanged (out);
      wire_parse_reply (&answer, out);
      length = mutate (&rng, bodies[i % 4], out, sizeof out);
      enum platform_call_kind kind
          = (enum platform_call_kind)rng_below (&rng, PLATFORM_WATCH + 1);
      store_codec.parse (&response, kind, 200, NULL, out, length);
      kv_response_clear (&response);
      length = mutate (&rng, config, out, sizeof out);
      struct platform_item item
          = { .key = "servers/i-1", .value = out, .value_bytes = length };
      if (catalog_loader_parse_config (&parsed, &item))
        catalog_config_clear (&parsed);
      catalog_loader_parse_instance (&entry, &item);
    }
}

UNIT_MAIN ("wire", .plain_timeout_s = 60)
