#include "fleet_record.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

#include "kernel/mem.h"

#define RUNS_KEPT 16384
#define RUNS_PART 4096 /* of one answer */
#define TEXT_KEPT_BYTES 1024
#define ROWS_KEPT_BYTES 80

static struct
{
  json_t *runs[RUNS_KEPT]; /* a ring; run N is at N % RUNS_KEPT */
  uint64_t last;
} record;

void
fleet_record_print_values (const struct values *values, char *out, size_t size)
{
  size_t used = 0;
  out[0] = '\0';
  for (size_t i = 0; i < values->count && used < size; i++)
    used += (size_t)snprintf (out + used, size - used, "%s=%s;",
                              values->items[i].name, values->items[i].text);
}

static json_t *
string_json (const char *text, size_t limit)
{
  json_t *string = json_stringn (text, strnlen (text, limit));
  return string != NULL ? string : json_string ("(not UTF-8)");
}

void
fleet_record_add (const struct fleet_run *run)
{
  char values[TEXT_KEPT_BYTES], hash[20];
  json_t **place = &record.runs[++record.last % RUNS_KEPT];
  fleet_record_print_values (run->values, values, sizeof values);
  snprintf (hash, sizeof hash, "%016" PRIx64,
            (uint64_t)XXH64 (run->rows, strlen (run->rows), 0));
  json_decref (*place);
  *place = json_pack (
      "{s:I, s:s, s:s, s:I, s:I, s:s, s:o, s:o, s:o, s:s, s:s, s:o, s:s, s:b}",
      "n", (json_int_t)record.last, "instance", run->instance, "host",
      run->host, "link", (json_int_t)run->link, "tx", (json_int_t)run->tx,
      "id", run->id, "text", string_json (run->text, TEXT_KEPT_BYTES), "shape",
      string_json (run->shape, TEXT_KEPT_BYTES), "values",
      string_json (values, TEXT_KEPT_BYTES), "code", run->code, "signature",
      run->signature, "rows", string_json (run->rows, ROWS_KEPT_BYTES),
      "rows_hash", hash, "commits", run->commits);
}

char *
fleet_record_json (uint64_t after)
{
  json_t *runs = json_array ();
  uint64_t first = after + 1;
  if (record.last >= RUNS_KEPT && first <= record.last - RUNS_KEPT)
    first = record.last - RUNS_KEPT + 1;
  for (uint64_t n = first; n <= record.last && n < first + RUNS_PART; n++)
    json_array_append (runs, record.runs[n % RUNS_KEPT]);
  json_t *answer = json_pack ("{s:o, s:I}", "runs", runs, "last",
                              (json_int_t)record.last);
  char *text = json_dumps (answer, JSON_COMPACT);
  json_decref (answer);
  return text;
}
