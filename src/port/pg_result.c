#include "port/pg_result.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

/* Object identifiers of PostgreSQL's built-in types.  */
enum
{
  TYPE_BOOL = 16,
  TYPE_INT8 = 20,
  TYPE_INT2 = 21,
  TYPE_INT4 = 23,
  TYPE_OID = 26,
  TYPE_FLOAT4 = 700,
  TYPE_FLOAT8 = 701,
  TYPE_NUMERIC = 1700
};

#define INITIAL_CAPACITY_BYTES 256

static void
reserve (struct pg_result *result, size_t bytes)
{
  size_t need = result->length + bytes + 1;
  if (need <= result->capacity)
    return;
  size_t capacity
      = result->capacity == 0 ? INITIAL_CAPACITY_BYTES : result->capacity;
  while (capacity < need)
    capacity *= 2;
  result->text = mem_resize (result->text, capacity);
  result->capacity = capacity;
}

static void
put (struct pg_result *result, const char *data, size_t bytes)
{
  reserve (result, bytes);
  memcpy (result->text + result->length, data, bytes);
  result->length += bytes;
  result->text[result->length] = 0;
}

static void
put_text (struct pg_result *result, const char *text)
{
  put (result, text, strlen (text));
}

static void
put_escaped (struct pg_result *result, const char *text, size_t bytes)
{
  size_t plain = 0;
  put (result, "\"", 1);
  for (size_t i = 0; i < bytes; i++)
    {
      unsigned char c = (unsigned char)text[i];
      char escape[8];
      if (c >= 0x20 && c != '"' && c != '\\')
        continue;
      put (result, text + plain, i - plain);
      plain = i + 1;
      if (c == '"' || c == '\\')
        snprintf (escape, sizeof escape, "\\%c", c);
      else
        snprintf (escape, sizeof escape, "\\u%04x", c);
      put_text (result, escape);
    }
  put (result, text + plain, bytes - plain);
  put (result, "\"", 1);
}

static size_t
digits (const char *text)
{
  return strspn (text, "0123456789");
}

/* Returns whether TEXT is a number in JSON's grammar; "NaN" and "007" are
   not.  */
static bool
is_json_number (const char *text)
{
  text += *text == '-';
  size_t count = digits (text);
  if (count == 0 || (count > 1 && *text == '0'))
    return false;
  text += count;
  if (*text == '.')
    {
      count = digits (++text);
      if (count == 0)
        return false;
      text += count;
    }
  if (*text == 'e' || *text == 'E')
    {
      text++;
      text += *text == '+' || *text == '-';
      count = digits (text);
      if (count == 0)
        return false;
      text += count;
    }
  return *text == 0;
}

static bool
is_numeric (Oid type)
{
  switch (type)
    {
    case TYPE_INT8:
    case TYPE_INT2:
    case TYPE_INT4:
    case TYPE_OID:
    case TYPE_FLOAT4:
    case TYPE_FLOAT8:
    case TYPE_NUMERIC:
      return true;
    default:
      return false;
    }
}

static void
put_value (struct pg_result *result, const PGresult *res, int row, int column)
{
  if (PQgetisnull (res, row, column))
    {
      put_text (result, "null");
      return;
    }
  const char *text = PQgetvalue (res, row, column);
  Oid type = PQftype (res, column);
  if (type == TYPE_BOOL)
    put_text (result, *text == 't' ? "true" : "false");
  else if (is_numeric (type) && is_json_number (text))
    put_text (result, text);
  else
    put_escaped (result, text, (size_t)PQgetlength (res, row, column));
}

static size_t
row_bytes (const PGresult *res, int row)
{
  size_t bytes = 0;
  for (int column = 0; column < PQnfields (res); column++)
    bytes += (size_t)PQgetlength (res, row, column);
  return bytes;
}

static void
put_row (struct pg_result *result, const PGresult *res, int row)
{
  if (result->too_large)
    {
      result->dropped_bytes += row_bytes (res, row);
      return;
    }
  put_text (result, result->rows++ > 0 ? ",[" : "[");
  for (int column = 0; column < PQnfields (res); column++)
    {
      if (column > 0)
        put_text (result, ",");
      put_value (result, res, row, column);
    }
  put_text (result, "]");
  result->too_large
      = result->limit_bytes > 0 && result->length > result->limit_bytes;
}

static void
start (struct pg_result *result, const PGresult *res)
{
  result->started = true;
  put_text (result, "{\"columns\":[");
  for (int column = 0; column < PQnfields (res); column++)
    {
      if (column > 0)
        put_text (result, ",");
      const char *name = PQfname (res, column);
      put_escaped (result, name, strlen (name));
    }
  put_text (result, "],\"rows\":[");
}

static void
end (struct pg_result *result, const PGresult *res)
{
  const char *affected = PQcmdTuples ((PGresult *)res);
  put_text (result, "],\"affected\":");
  put_text (result, is_json_number (affected) ? affected : "0");
  put_text (result, "}");
  result->too_large
      = result->limit_bytes > 0 && result->length > result->limit_bytes;
}

void
pg_result_reset (struct pg_result *result, size_t limit_bytes)
{
  result->length = 0;
  result->rows = 0;
  result->dropped_bytes = 0;
  result->started = false;
  result->too_large = false;
  result->limit_bytes = limit_bytes;
}

void
pg_result_add (struct pg_result *result, const PGresult *res)
{
  if (!result->started)
    start (result, res);
  for (int row = 0; row < PQntuples (res); row++)
    put_row (result, res, row);
  if (PQresultStatus (res) != PGRES_SINGLE_TUPLE && !result->too_large)
    end (result, res);
}

void
pg_result_free (struct pg_result *result)
{
  free (result->text);
  *result = (struct pg_result){ 0 };
}
