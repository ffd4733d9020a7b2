/* sync_head - the head of the configuration: its revision and latest changes.

   The platform stores it as JSON under one key, SYNC_HEAD_KEY, so that a
   watch of this key reports which teams' configurations to read again.  */

#ifndef SAVORYWAY_CORE_SYNC_HEAD_H
#define SAVORYWAY_CORE_SYNC_HEAD_H

#include <stddef.h>

#include "core/types.h"

#define SYNC_HEAD_KEY "savoryway/head"
#define SYNC_CONFIG_PREFIX "savoryway/config/"

/* Maximum number of teams that are read individually; if more have changed,
   the whole configuration is read in one call.  */
#define SYNC_HEAD_TEAMS_MAX 8

struct sync_head
{
  uint64_t revision;
  /* True if teams lists every team changed after the revision SINCE.  */
  bool complete;
  size_t team_count;
  char teams[SYNC_HEAD_TEAMS_MAX][NAME_BYTES];
};

/* Parses the value of SYNC_HEAD_KEY and collects into HEAD the teams changed
   after revision SINCE.  Returns false on a malformed value.  */
bool sync_head_parse (const char *json, size_t length, uint64_t since,
                      struct sync_head *head);

#endif
