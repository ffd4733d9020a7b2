/* conftree - edits a JSON tree at a path, and compares trees.

   A path is the member names from the root, joined with '/'; the empty path
   is the root.  A path has at most 16 names.  */

#ifndef SAVORYWAY_CORE_CONFTREE_H
#define SAVORYWAY_CORE_CONFTREE_H

#include <jansson.h>

#include "core/view.h"

/* Limit on the differences of one list.  One more item then reports that
   there are more.  */
#define CONFTREE_DIFFERENCES 200

/* Returns a copy of ROOT with VALUE at PATH.  Missing objects along the path
   are created.  Returns NULL, with a finding, if PATH is malformed or passes
   through a value that is not an object.  */
json_t *conftree_set (const json_t *root, const char *path, json_t *value,
                      struct findings *findings);

/* Returns a copy of ROOT without the member at PATH.  Returns NULL, with a
   finding, if there is none.  */
json_t *conftree_delete (const json_t *root, const char *path,
                         struct findings *findings);

/* Returns the value at PATH as a borrowed reference, or NULL.  */
json_t *conftree_get (json_t *root, const char *path);

/* Returns an array of {"path", "from", "to"} in name order, with the old and
   the new value.  "from" is absent for an added member, "to" for a removed
   one.  */
json_t *conftree_difference (const json_t *from, const json_t *to);

#endif
