/* view_team - parsed subtree of one team.  Private to view*.c.  */

#ifndef SAVORYWAY_CORE_VIEW_TEAM_H
#define SAVORYWAY_CORE_VIEW_TEAM_H

#include "core/view.h"

struct view_team
{
  char name[NAME_BYTES];
  size_t operator_count;
  struct view_caller *operators; /* sorted by name */
  size_t service_count;
  struct view_service *services; /* sorted by name */
  UT_hash_handle hh;
};

/* Parses JSON, LENGTH bytes, as the subtree of the team NAME.  Returns NULL
   if it is invalid, with all errors added to FINDINGS.  Unknown settings are
   errors if STRICT.  The result is freed with view_team_free.  */
struct view_team *view_team_parse (const char *name, const char *json,
                                   size_t length, bool strict,
                                   struct findings *findings);
void view_team_free (struct view_team *team);

#define VIEW_PATH_BYTES 320

/* Writes the path of INSTANCE's address, relative to its team's subtree, to
   OUT.  */
void view_instance_path (const struct view_instance *instance,
                         char out[VIEW_PATH_BYTES]);

#endif
