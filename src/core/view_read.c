#include "core/view_read.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "kernel/mem.h"

#define FAULT_TEXT_BYTES 200

bool
view_name_valid (const char *text)
{
  size_t length = strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789_-");
  return length > 0 && length < NAME_BYTES && text[length] == '\0';
}

/* A key of the input may have any bytes and any length.  The path must stay
   short and printable, since findings report it.  */
size_t
reader_enter (struct reader *reader, const char *name)
{
  size_t mark = reader->length;
  size_t length = mark;
  if (length > 0 && length < READER_PATH_BYTES - 1)
    reader->path[length++] = '/';
  for (size_t i = 0;
       name[i] != '\0' && i < NAME_BYTES && length < READER_PATH_BYTES - 1;
       i++)
    {
      bool printable = name[i] > ' ' && name[i] <= '~';
      reader->path[length++] = printable ? name[i] : '?';
    }
  reader->path[length] = '\0';
  reader->length = length;
  return mark;
}

void
reader_leave (struct reader *reader, size_t mark)
{
  reader->length = mark;
  reader->path[mark] = '\0';
}

void
reader_fault (struct reader *reader, const char *field, const char *format,
              ...)
{
  char text[FAULT_TEXT_BYTES];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  size_t mark = reader->length;
  if (field != NULL)
    reader_enter (reader, field);
  reader->faults++;
  findings_add (reader->findings, reader->path, "%s", text);
  reader_leave (reader, mark);
}

static void
store_number (const struct field *field, void *target, int64_t value)
{
  switch (field->kind)
    {
    case FIELD_BOOL:
      *(bool *)target = value != 0;
      break;
    case FIELD_U16:
      *(uint16_t *)target = (uint16_t)value;
      break;
    case FIELD_U32:
      *(uint32_t *)target = (uint32_t)value;
      break;
    case FIELD_MS:
      *(clk_ms *)target = value;
      break;
    case FIELD_CHOICE:
      *(unsigned *)target = (unsigned)value;
      break;
    default:
      break;
    }
}

static void
read_choice (struct reader *reader, const struct field *field, json_t *value,
             void *target)
{
  char names[FAULT_TEXT_BYTES / 2] = "";
  const char *text = json_string_value (value);
  for (int64_t i = 0; field->choices[i] != NULL; i++)
    {
      if (text != NULL && strcmp (text, field->choices[i]) == 0)
        {
          store_number (field, target, i);
          return;
        }
      size_t used = strlen (names);
      snprintf (names + used, sizeof names - used, "%s%s", i ? ", " : "",
                field->choices[i]);
    }
  reader_fault (reader, field->name, "must be one of %s", names);
}

static void
read_text (struct reader *reader, const struct field *field, json_t *value,
           void *target)
{
  const char *text = json_string_value (value);
  if (text == NULL || !field->check (text))
    {
      reader_fault (reader, field->name, "%s", field->requirement);
      return;
    }
  if (field->kind == FIELD_STRING)
    *(char **)target = mem_strdup (text);
  else
    snprintf (target, (size_t)field->max, "%s", text);
}

static void
read_field (struct reader *reader, const struct field *field, json_t *value,
            void *target)
{
  switch (field->kind)
    {
    case FIELD_OBJECT:
      break;
    case FIELD_BOOL:
      if (json_is_boolean (value))
        store_number (field, target, json_is_true (value));
      else
        reader_fault (reader, field->name, "must be true or false");
      break;
    case FIELD_CHOICE:
      read_choice (reader, field, value, target);
      break;
    case FIELD_TEXT:
    case FIELD_STRING:
      read_text (reader, field, value, target);
      break;
    default:
      if (json_is_integer (value) && json_integer_value (value) >= field->min
          && json_integer_value (value) <= field->max)
        store_number (field, target, json_integer_value (value));
      else
        reader_fault (reader, field->name,
                      "must be an integer from %lld to %lld",
                      (long long)field->min, (long long)field->max);
      break;
    }
}

static void
report_unknown (struct reader *reader, json_t *object,
                const struct schema *schema)
{
  const char *key;
  json_t *value;
  json_object_foreach (object, key, value)
  {
    size_t i = 0;
    while (i < schema->count && strcmp (schema->fields[i].name, key) != 0)
      i++;
    if (i == schema->count)
      reader_fault (reader, key, "unknown setting");
  }
}

bool
reader_fields (struct reader *reader, json_t *object,
               const struct schema *schema, void *out)
{
  if (!json_is_object (object))
    {
      reader_fault (reader, NULL, "must be an object");
      return false;
    }
  for (size_t i = 0; i < schema->count; i++)
    {
      const struct field *field = &schema->fields[i];
      void *target = (char *)out + field->offset;
      json_t *value = json_object_get (object, field->name);
      if (value != NULL)
        read_field (reader, field, value, target);
      else if (field->required)
        reader_fault (reader, field->name, "missing");
      else
        store_number (field, target, field->initial);
    }
  if (reader->strict)
    report_unknown (reader, object, schema);
  return true;
}

json_t *
reader_enter_map (struct reader *reader, json_t *object, const char *name,
                  size_t min, size_t max, size_t *mark)
{
  json_t *map = json_object_get (object, name);
  if (map == NULL && min == 0)
    return NULL;
  if (!json_is_object (map))
    {
      reader_fault (reader, name, "must be an object");
      return NULL;
    }
  if (json_object_size (map) < min || json_object_size (map) > max)
    reader_fault (reader, name, "must have %zu to %zu members", min, max);
  *mark = reader_enter (reader, name);
  return map;
}

void
reader_name (struct reader *reader, const char *name, char out[NAME_BYTES])
{
  if (view_name_valid (name))
    memcpy (out, name, strlen (name) + 1);
  else
    reader_fault (reader, NULL, "name " NAME_REQUIREMENT);
}
