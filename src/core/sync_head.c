#include "core/sync_head.h"

#include <jansson.h>
#include <string.h>

/* Adds TEAM unless present.  Returns false if it does not fit.  */
static bool
add_team (struct sync_head *head, const char *team)
{
  for (size_t i = 0; i < head->team_count; i++)
    if (strcmp (head->teams[i], team) == 0)
      return true;
  size_t length = strlen (team);
  if (head->team_count == SYNC_HEAD_TEAMS_MAX || length >= NAME_BYTES)
    return false;
  memcpy (head->teams[head->team_count++], team, length + 1);
  return true;
}

static bool
parse_changes (const json_t *changes, uint64_t since, struct sync_head *head)
{
  size_t i;
  json_t *change;
  uint64_t oldest = head->revision + 1;
  bool complete = true;
  json_array_foreach (changes, i, change)
  {
    json_int_t revision;
    const char *team;
    if (json_unpack (change, "{s:I, s:s}", "revision", &revision, "team",
                     &team)
            != 0
        || revision <= 0)
      return false;
    if ((uint64_t)revision < oldest)
      oldest = (uint64_t)revision;
    if ((uint64_t)revision > since)
      complete = add_team (head, team) && complete;
  }
  head->complete = complete && oldest <= since + 1;
  return true;
}

bool
sync_head_parse (const char *json, size_t length, uint64_t since,
                 struct sync_head *head)
{
  json_t *root = json_loadb (json, length, 0, NULL);
  json_t *changes = NULL;
  json_int_t revision = 0;
  memset (head, 0, sizeof *head);
  bool ok = root != NULL
            && json_unpack (root, "{s:I, s:o}", "revision", &revision,
                            "changes", &changes)
                   == 0
            && revision >= 0 && json_is_array (changes);
  if (ok)
    {
      head->revision = (uint64_t)revision;
      ok = parse_changes (changes, since, head);
    }
  json_decref (root);
  return ok;
}
