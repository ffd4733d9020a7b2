/* values - the named values of a session, kept sorted by name.  */

#ifndef SAVORYWAY_PROXY_VALUES_H
#define SAVORYWAY_PROXY_VALUES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define VALUES_LIMIT 64

struct value
{
  char *name;
  char *text;
};

struct values
{
  size_t count;
  struct value *items;
  uint64_t hash; /* 0 if there are none */
};

/* Sets NAME; returns false if there are VALUES_LIMIT others.  */
bool values_set (struct values *values, const char *name, const char *text);
void values_clear (struct values *values);

#endif
