#include "core/confedit_change.h"

#include <stdlib.h>
#include <string.h>

#include "core/conftree.h"
#include "kernel/mem.h"

void
subtree_clear (struct subtree *subtree)
{
  json_decref (subtree->tree);
  free (subtree->value);
  *subtree = (struct subtree){ 0 };
}

/* A subtree that does not pass the schema can be mended by the
   administrator only.  */
static bool
operator_allowed (const char *team, const struct subtree *current,
                  const char *who, const char *secret)
{
  if (current->value == NULL || who == NULL)
    return false;
  struct findings findings = { 0 };
  struct view *scratch = view_new ();
  bool allowed
      = view_apply (scratch, team, current->value, current->bytes, &findings)
        && view_caller_verify (view_operator (scratch, team, who), secret);
  view_free (scratch);
  findings_clear (&findings);
  return allowed;
}

bool
confedit_allowed (const char *admin_hash, const char *team,
                  const struct subtree *current, const char *who,
                  const char *secret)
{
  const struct view_caller admin = { .secret_hash = (char *)admin_hash };
  if (admin_hash != NULL && view_caller_verify (&admin, secret))
    return true;
  return operator_allowed (team, current, who, secret);
}

static bool
check (const struct subtree *proposed, const char *team, struct view *view,
       struct findings *findings)
{
  if (proposed->bytes > (size_t)(PLATFORM_VALUE_LIMIT_BYTES))
    {
      findings_add (findings, "",
                    "the subtree has %zu bytes and the platform takes %zu; "
                    "split it into two teams",
                    proposed->bytes, (size_t)(PLATFORM_VALUE_LIMIT_BYTES));
      return false;
    }
  return view_validate (view, team, proposed->value, proposed->bytes,
                        findings);
}

static json_t *
parse_value (const struct confedit_request *request, struct findings *findings)
{
  json_error_t error;
  json_t *value
      = json_loadb (request->json ? request->json : "", request->json_bytes,
                    JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, &error);
  if (value == NULL)
    findings_add (findings, request->path,
                  "not valid JSON at line %d, column %d: %s", error.line,
                  error.column, error.text);
  return value;
}

static json_t *
edit_tree (const struct confedit_request *request, json_t *tree,
           struct findings *findings)
{
  if (request->action == CONFEDIT_DELETE)
    return conftree_delete (tree, request->path, findings);
  json_t *value = parse_value (request, findings);
  json_t *edited = NULL;
  if (value != NULL)
    edited = conftree_set (tree, request->path, value, findings);
  json_decref (value);
  return edited;
}

bool
confedit_edit (struct subtree *proposed,
               const struct confedit_request *request,
               const struct subtree *current, struct view *view,
               struct findings *findings)
{
  *proposed = (struct subtree){ 0 };
  if (request->action == CONFEDIT_DELETE && request->path[0] == '\0')
    {
      if (current->tree == NULL)
        findings_add (findings, "", "no such team");
      return current->tree != NULL;
    }
  json_t *base = current->tree ? json_incref (current->tree) : json_object ();
  proposed->tree = edit_tree (request, base, findings);
  json_decref (base);
  if (proposed->tree == NULL)
    return false;
  proposed->value = json_dumps (proposed->tree, JSON_COMPACT | JSON_SORT_KEYS
                                                    | JSON_ENCODE_ANY);
  if (proposed->value != NULL)
    proposed->bytes = strlen (proposed->value);
  if (proposed->value != NULL
      && check (proposed, request->team, view, findings))
    return true;
  subtree_clear (proposed);
  return false;
}
