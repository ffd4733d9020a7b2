#include "proxy/values.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "kernel/mem.h"

const struct values_id values_id_none = { { 0 } };
const struct values_id values_id_unknown = { { 1 } };

bool
values_id_equal (const struct values_id *a, const struct values_id *b)
{
  return memcmp (a->bytes, b->bytes, sizeof a->bytes) == 0;
}

static void
identify_value (struct value *value)
{
  crypto_generichash_state state;
  crypto_generichash_init (&state, NULL, 0, sizeof value->id.bytes);
  crypto_generichash_update (&state, (const uint8_t *)value->name,
                             strlen (value->name) + 1);
  crypto_generichash_update (&state, (const uint8_t *)value->text,
                             strlen (value->text));
  crypto_generichash_final (&state, value->id.bytes, sizeof value->id.bytes);
}

static void
identify_values (struct values *values)
{
  crypto_generichash_state state;
  crypto_generichash_init (&state, NULL, 0, sizeof values->id.bytes);
  for (size_t i = 0; i < values->count; i++)
    crypto_generichash_update (&state, values->items[i].id.bytes,
                               sizeof values->items[i].id.bytes);
  crypto_generichash_final (&state, values->id.bytes, sizeof values->id.bytes);
}

static size_t
find_index (const struct values *values, const char *name, bool *found)
{
  *found = false;
  for (size_t i = 0; i < values->count; i++)
    {
      int order = strcmp (values->items[i].name, name);
      *found = order == 0;
      if (order >= 0)
        return i;
    }
  return values->count;
}

bool
values_has (const struct values *values, const char *name, const char *text)
{
  bool found;
  size_t place = find_index (values, name, &found);
  return found && strcmp (values->items[place].text, text) == 0;
}

static size_t
item_bytes (const char *name, const char *text)
{
  return VALUES_ITEM_BYTES + strlen (name) + strlen (text);
}

size_t
values_bytes_with (const struct values *values, const char *name,
                   const char *text)
{
  bool found;
  size_t place = find_index (values, name, &found);
  size_t replaced = found ? item_bytes (name, values->items[place].text) : 0;
  return values->bytes - replaced + item_bytes (name, text);
}

bool
values_set (struct values *values, const char *name, const char *text)
{
  bool found;
  size_t place = find_index (values, name, &found);
  size_t bytes = values_bytes_with (values, name, text);
  if (!found)
    {
      if (values->count == VALUES_LIMIT)
        return false;
      values->items = mem_resize (values->items,
                                  (values->count + 1) * sizeof *values->items);
      memmove (&values->items[place + 1], &values->items[place],
               (values->count - place) * sizeof *values->items);
      values->items[place] = (struct value){ .name = mem_strdup (name) };
      values->count++;
    }
  free (values->items[place].text);
  values->items[place].text = mem_strdup (text);
  values->bytes = bytes;
  identify_value (&values->items[place]);
  identify_values (values);
  return true;
}

void
values_clear (struct values *values)
{
  for (size_t i = 0; i < values->count; i++)
    {
      free (values->items[i].name);
      free (values->items[i].text);
    }
  free (values->items);
  *values = (struct values){ 0 };
}
