/* values - session values: names with texts, set by SET and sorted by name.

   An id stands for the whole set, so that a connection with equal values can
   be reused without a set-up.  It is a cryptographic hash, since callers
   choose the texts: two sets with the same id would let one run with the
   values of another.  */

#ifndef SAVORYWAY_PROXY_VALUES_H
#define SAVORYWAY_PROXY_VALUES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Maximum number of values of a session.  */
#define VALUES_LIMIT 64

/* Bytes of a value apart from its strings, with those of the allocator.  */
#define VALUES_ITEM_BYTES 96

struct values_id
{
  uint8_t bytes[32];
};

/* Of no values, and of values that are not known.  */
extern const struct values_id values_id_none;
extern const struct values_id values_id_unknown;

bool values_id_equal (const struct values_id *a, const struct values_id *b);

struct value
{
  char *name;
  char *text;
  struct values_id id; /* of this value alone */
};

struct values
{
  size_t count;
  struct value *items;
  struct values_id id;
  size_t bytes; /* of all items */
};

/* Returns what values->bytes would be with NAME set to TEXT.  */
size_t values_bytes_with (const struct values *values, const char *name,
                          const char *text);

/* Returns whether NAME is set to TEXT.  */
bool values_has (const struct values *values, const char *name,
                 const char *text);

/* Sets NAME to TEXT.  Returns false if there are VALUES_LIMIT other names.  */
bool values_set (struct values *values, const char *name, const char *text);
void values_clear (struct values *values);

#endif
