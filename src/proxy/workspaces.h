/* workspaces - tells on behalf of which workspace a caller acts.

   A caller is identified by its key.  A key that was withdrawn must not be
   used after a time limit, also on a host that can't reach the store.  So a
   host refuses callers with keys once changes of its configuration may be
   older than that limit without having reached it: the age of its contents
   counts from the time before which all changes are known (see
   mirror_confirmed_ms).

   Without workspaces in the configuration every caller is accepted, and acts
   for none.

   Module name: "workspaces".  */

#ifndef SAVORYWAY_PROXY_WORKSPACES_H
#define SAVORYWAY_PROXY_WORKSPACES_H

#include "proxy/catalog.h"

struct workspaces_options
{
  /* Time after which no request with a withdrawn key may run; 0: no limit.  */
  clk_ms revoke_ms;
};

enum workspaces_verdict
{
  WORKSPACES_KNOWN,   /* the caller acts for a workspace */
  WORKSPACES_NONE,    /* no workspace, and none is needed */
  WORKSPACES_UNKNOWN, /* no workspace holds the key */
  WORKSPACES_OUTDATED /* the key may have been withdrawn */
};

struct workspaces;

struct workspaces *workspaces_new (const struct workspaces_options *options);
struct module *workspaces_module (struct workspaces *workspaces);

/* Identifies a caller with KEY, which may be NULL, that uses ROUTE now.  Sets
   WORKSPACE to its workspace, or to NULL.  The result is valid until the
   configuration changes.  */
enum workspaces_verdict
workspaces_identify (struct workspaces *workspaces, const struct route *route,
                     const struct key_hash *key,
                     const struct workspace **workspace);

/* Returns the age that the contents must stay below while nothing is
   disturbed; 0: no limit.  The rest of revoke_ms is left for the replacement
   of a source that was lost.  */
clk_ms workspaces_age_limit_ms (const struct workspaces_options *options);

/* Returns the age of the contents that a verdict rests on; -1: never
   confirmed.  */
clk_ms workspaces_age_ms (const struct workspaces *workspaces);

#endif
