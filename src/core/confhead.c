#include "core/confhead.h"

#include <string.h>

static bool
entry_valid (json_t *entry)
{
  json_int_t revision;
  const char *team, *change_id;
  return json_unpack (entry, "{s:I, s:s, s:s}", "revision", &revision, "team",
                      &team, "change_id", &change_id)
             == 0
         && revision > 0;
}

static bool
head_valid (json_t *head)
{
  json_int_t revision;
  json_t *changes, *entry;
  size_t i;
  if (json_unpack (head, "{s:I, s:o}", "revision", &revision, "changes",
                   &changes)
          != 0
      || revision < 0 || !json_is_array (changes))
    return false;
  json_array_foreach (changes, i, entry)
  {
    if (!entry_valid (entry))
      return false;
  }
  return true;
}

json_t *
confhead_parse (const char *value, size_t length)
{
  if (value == NULL)
    return json_pack ("{s:i, s:[]}", "revision", 0, "changes");
  json_t *head = json_loadb (value, length, 0, NULL);
  if (head != NULL && head_valid (head))
    return head;
  json_decref (head);
  return NULL;
}

uint64_t
confhead_revision (const json_t *head)
{
  return (uint64_t)json_integer_value (json_object_get (head, "revision"));
}

static uint64_t
entry_revision (const json_t *entry)
{
  return (uint64_t)json_integer_value (json_object_get (entry, "revision"));
}

bool
confhead_find (const json_t *head, const char *change_id, uint64_t *revision)
{
  size_t i;
  json_t *entry;
  json_array_foreach (json_object_get (head, "changes"), i, entry)
  {
    const char *id = json_string_value (json_object_get (entry, "change_id"));
    if (strcmp (id, change_id) == 0)
      {
        *revision = entry_revision (entry);
        return true;
      }
  }
  return false;
}

bool
confhead_covers (const json_t *head, uint64_t revision)
{
  size_t i;
  json_t *entry;
  uint64_t oldest = confhead_revision (head) + 1;
  json_array_foreach (json_object_get (head, "changes"), i, entry)
  {
    if (entry_revision (entry) < oldest)
      oldest = entry_revision (entry);
  }
  return oldest <= revision + 1;
}

char *
confhead_print_with (const json_t *head, const struct confhead_change *change)
{
  uint64_t revision = confhead_revision (head) + 1;
  json_t *changes = json_copy (json_object_get (head, "changes"));
  json_array_append_new (
      changes,
      json_pack ("{s:I, s:s, s:s, s:s, s:s, s:I}", "revision",
                 (json_int_t)revision, "team", change->team, "change_id",
                 change->change_id, "who", change->who, "path", change->path,
                 "when_s", (json_int_t)change->when_s));
  while (json_array_size (changes) > CONFHEAD_CHANGES)
    json_array_remove (changes, 0);
  json_t *next = json_pack ("{s:I, s:o}", "revision", (json_int_t)revision,
                            "changes", changes);
  char *text = json_dumps (next, JSON_COMPACT);
  json_decref (next);
  return text;
}
