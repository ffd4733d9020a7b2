/* confedit_change - authorization of a change, and its effect on a team's
   subtree.  Private to confedit*.c.  */

#ifndef SAVORYWAY_CORE_CONFEDIT_CHANGE_H
#define SAVORYWAY_CORE_CONFEDIT_CHANGE_H

#include "core/confedit.h"

/* A team's subtree, as stored in the platform or as proposed.  */
struct subtree
{
  json_t *tree; /* NULL if the team does not exist or value is not JSON */
  char *value;  /* JSON text; NULL if the team does not exist */
  size_t bytes;
  uint64_t index; /* modification index; 0 if the team does not exist */
};

void subtree_clear (struct subtree *subtree);

/* Returns whether the operator WHO with SECRET may change TEAM, whose subtree
   is CURRENT.  ADMIN_HASH is the secret_hash of the administrator, who may
   change any team, or NULL.  */
bool confedit_allowed (const char *admin_hash, const char *team,
                       const struct subtree *current, const char *who,
                       const char *secret);

/* Sets PROPOSED to CURRENT with REQUEST applied, validated against the schema,
   the other teams in VIEW and the platform's limit on a value.  A NULL tree
   means that the team is to be removed.  Returns false, with FINDINGS, if the
   result is invalid.  */
bool confedit_edit (struct subtree *proposed,
                    const struct confedit_request *request,
                    const struct subtree *current, struct view *view,
                    struct findings *findings);

#endif
