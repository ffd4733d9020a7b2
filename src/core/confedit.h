/* confedit - applies operators' changes to the stored configuration.

   A change reads the team's subtree and the head (see confhead), verifies
   the operator's credentials, edits and validates the subtree, and writes
   subtree and head in one atomic write, each by compare-and-swap.  If only
   the head has changed meanwhile, because of a change to another team, the
   change is retried.  If the subtree has changed, the change ends as a
   conflict and reports the difference.  If the answer to the write is lost,
   the change id in the head shows whether the write took effect, so a change
   is idempotent under its id.

   Module name: "confedit".  */

#ifndef SAVORYWAY_CORE_CONFEDIT_H
#define SAVORYWAY_CORE_CONFEDIT_H

#include <jansson.h>

#include "core/view.h"
#include "kernel/kernel.h"
#include "port/platform_port.h"

#define CHANGE_ID_BYTES 33

enum confedit_action
{
  CONFEDIT_SET,   /* stores json at path */
  CONFEDIT_DELETE /* removes the value at path; the whole team if "" */
};

enum confedit_status
{
  CONFEDIT_DONE,        /* applied, or there was nothing to change */
  CONFEDIT_INVALID,     /* rejected by validation; see findings */
  CONFEDIT_CONFLICT,    /* the team changed meanwhile; see difference */
  CONFEDIT_FORBIDDEN,   /* credentials do not allow the change */
  CONFEDIT_UNAVAILABLE, /* not applied; may be retried */
  CONFEDIT_UNKNOWN      /* may have been applied; retry with the same id */
};

/* A request to change one team.  path, json, secret and change_id may be
   NULL.  All strings are copied.  */
struct confedit_request
{
  enum confedit_action action;
  const char *team;
  const char *path; /* below the team; NULL or "" for its whole subtree */
  const char *json; /* for CONFEDIT_SET */
  size_t json_bytes;
  bool checks_index;     /* the team's index must equal expect_index */
  uint64_t expect_index; /* from confedit_read; 0: the team must not exist */
  const char *who;       /* name of the operator */
  const char *secret;    /* the operator's or the administrator's secret */
  int64_t when_s;        /* seconds since 1970 UTC, for the history */
  const char *change_id; /* a repeated id reports the first change, if it is
                            in the history; NULL: generated */
  bool dry_run;          /* validate and compare, but do not write */
};

/* Result of a change.  Valid only during the callback.  */
struct confedit_result
{
  enum confedit_status status;
  const char *change_id;
  uint64_t revision; /* of the configuration with this change; 0 if nothing was
                        written */
  uint64_t index;    /* modification index of the team's subtree */
  const char *message;
  const struct findings *findings;
  const json_t *difference; /* see conftree_difference.  CONFEDIT_DONE:
                               effect of this change; CONFEDIT_CONFLICT: the
                               conflicting change, or, if expect_index does
                               not match, the effect this change would have;
                               else NULL */
};

typedef void (*confedit_done) (void *arg,
                               const struct confedit_result *result);

/* STATUS is PLATFORM_OK, PLATFORM_NOT_FOUND or, also for a value that is not
   JSON, PLATFORM_UNAVAILABLE.  JSON is NULL unless PLATFORM_OK, and valid only
   during the callback.  */
typedef void (*confedit_read_done) (void *arg, enum platform_status status,
                                    uint64_t index, json_t *json);

struct confedit;

struct confedit *confedit_new (struct platform_port *platform,
                               struct view *view);
struct module *confedit_module (struct confedit *confedit);

/* Sets the hash (see view_secret_hash) of the administrator's secret, which
   allows creating teams and changing any team.  NULL: there is no
   administrator.  */
void confedit_set_admin (struct confedit *confedit, const char *secret_hash);

/* Starts a change.  DONE is called exactly once, never from within this call;
   not at all if CONFEDIT is freed before.  */
void confedit_submit (struct confedit *confedit,
                      const struct confedit_request *request,
                      confedit_done done, void *arg);

/* Reads the subtree of TEAM, or the head with the history if TEAM is NULL,
   from the platform.  DONE is called as for confedit_submit.  */
void confedit_read (struct confedit *confedit, const char *team,
                    confedit_read_done done, void *arg);

/* Returns the name of STATUS in answers, logs and metrics.  */
const char *confedit_status_name (enum confedit_status status);

#endif
