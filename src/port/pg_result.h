/* pg_result - the result of a statement as JSON:

     {"columns":["k","v"],"rows":[["a",1],["b",null]],"affected":2}

   Columns of numeric and boolean types become JSON numbers and booleans if
   JSON's grammar allows the text, all other values become strings.
   "affected" is the row count of the command tag, or 0 if it has none.  */

#ifndef SAVORYWAY_PORT_PG_RESULT_H
#define SAVORYWAY_PORT_PG_RESULT_H

#include <libpq-fe.h>
#include <stdbool.h>
#include <stddef.h>

struct pg_result
{
  char *text;
  size_t length, capacity;
  size_t limit_bytes; /* 0 for none */
  size_t rows;
  size_t dropped_bytes; /* row data beyond the limit, not added */
  bool started, too_large;
};

/* Empties RESULT and sets the limit for the next statement; keeps the
   allocated memory.  */
void pg_result_reset (struct pg_result *result, size_t limit_bytes);

/* Adds the rows of RES.  The last result of the statement completes the JSON
   object, unless it is too large.  */
void pg_result_add (struct pg_result *result, const PGresult *res);

void pg_result_free (struct pg_result *result);

#endif
