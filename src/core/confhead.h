/* confhead - head of the configuration: its revision and the latest changes,
   stored as JSON under one key of the platform.

     {"revision": 2, "changes": [{"revision": 2, "team": "dagohoy",
         "change_id": "...", "who": "ann", "path": "services/s",
         "when_s": 1700000000}]}

   Each change adds one entry and increments the revision.  A listed change
   id therefore proves that the change was applied.  A missing one proves
   that it was not, provided that the entries cover all revisions since the
   change was submitted (see confhead_covers).  */

#ifndef SAVORYWAY_CORE_CONFHEAD_H
#define SAVORYWAY_CORE_CONFHEAD_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/sync_head.h"

/* Number of changes kept, the latest last.  */
#define CONFHEAD_CHANGES 64

/* An entry of the history.  */
struct confhead_change
{
  const char *team;
  const char *change_id;
  const char *who;  /* name of the operator */
  const char *path; /* changed path below the team; "" for the whole team */
  int64_t when_s;   /* seconds since 1970 UTC */
};

/* Parses VALUE, LENGTH bytes.  If VALUE is NULL, returns an empty head of
   revision 0.  Returns NULL if VALUE is malformed.  The caller releases the
   result with json_decref.  */
json_t *confhead_parse (const char *value, size_t length);

uint64_t confhead_revision (const json_t *head);

/* Returns whether CHANGE_ID is listed, and sets *REVISION to the revision of
   that change.  */
bool confhead_find (const json_t *head, const char *change_id,
                    uint64_t *revision);

/* Returns whether all changes after REVISION are listed.  */
bool confhead_covers (const json_t *head, uint64_t revision);

/* Returns the JSON text of HEAD with CHANGE appended and the oldest changes
   beyond CONFHEAD_CHANGES dropped; the caller frees it.  HEAD is not
   modified.  */
char *confhead_print_with (const json_t *head,
                           const struct confhead_change *change);

#endif
