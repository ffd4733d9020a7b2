/* view - parsed configuration of all teams, indexed for look-ups.

   A view is the local copy of the configuration that this host applies.
   Each team's part of the tree is one JSON value in the platform's
   key-value store:

     {"operators": {"NAME": {"secret_hash": "..."}},
      "services": {"depot-ledger": {
         "callers": {"captain": {"secret_hash": "..."}},
         "weight": 1,
         "kinds": {"release": {"freshness": "strong", "repeatable": false,
             "write": true, "ack": "majority", "deadline_ms": 2000,
             "cost_ms": 5, "priority": 1, "max_age_ms": 0}},
         "databases": {"ledger-1": {"slots": 5, "connections": 70,
             "connect_cost_ms": 10, "leaving": false, "instances": {
               "a": {"address": "127.0.0.1", "port": 5433,
                     "domain": "pampanga", "leaving": false}}}}}}}

   The view names a database by its global name "TEAM/SERVICE/DATABASE" and
   an instance by "TEAM/SERVICE/DATABASE/INSTANCE".  The view owns all its
   objects; pointers to them are valid until the next view_apply or
   view_remove.  */

#ifndef SAVORYWAY_CORE_VIEW_H
#define SAVORYWAY_CORE_VIEW_H

#include <stddef.h>
#include <uthash.h>

#include "core/types.h"
#include "kernel/clock.h"

struct view_service;

struct view_instance
{
  char name[PATH_BYTES]; /* global name */
  char address[ADDRESS_BYTES];
  uint16_t port;
  char domain[NAME_BYTES]; /* failure domain */
  bool leaving;            /* being taken out of service */
};

struct view_database
{
  char name[PATH_BYTES]; /* global name */
  struct view_service *service;
  uint32_t slots;         /* concurrent statements per instance */
  uint32_t connections;   /* connection limit of each instance */
  clk_ms connect_cost_ms; /* expected time to open a connection */
  bool leaving;           /* being taken out of service */
  size_t instance_count;
  struct view_instance *instances; /* sorted by name */
  UT_hash_handle hh;
};

/* Settings of one kind of request.  */
struct view_kind
{
  char name[NAME_BYTES];
  enum freshness freshness;
  clk_ms max_age_ms; /* staleness limit with FRESHNESS_MAX_AGE, else 0 */
  bool repeatable;   /* idempotent: may be sent again after a failure */
  bool write;        /* may modify data, so runs on the primary */
  enum ack_rule ack;
  clk_ms deadline_ms; /* used if the caller gives none */
  clk_ms cost_ms;     /* estimate until the cost is measured */
  uint32_t priority;  /* 0 (lowest) to 9 (highest) */
};

/* A caller of a service, or an operator of a team, with its credentials.  */
struct view_caller
{
  char name[NAME_BYTES];
  char *secret_hash;
};

struct view_service
{
  char name[2 * NAME_BYTES + 1]; /* "TEAM/SERVICE" */
  char team[NAME_BYTES];
  uint32_t weight; /* relative share of a contended queue */
  size_t kind_count;
  struct view_kind *kinds;
  size_t caller_count;
  struct view_caller *callers;
  size_t database_count;
  struct view_database **databases;
  UT_hash_handle hh;
};

/* A validation error in a configuration and its path in the tree.  */
struct finding
{
  char *path;
  char *text;
};

struct findings
{
  struct finding *items;
  size_t count;
};

/* Limit on the findings of one list.  The last one then reports that there
   are more.  */
#define FINDINGS_LIMIT 1000

/* Appends a finding.  Non-printable characters in its text become '?'.  */
void findings_add (struct findings *findings, const char *path,
                   const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
void findings_clear (struct findings *findings);

struct view;

struct view *view_new (void);
void view_free (struct view *view);

/* Parses JSON, the subtree of TEAM with LENGTH bytes, and replaces TEAM's
   previous subtree.  If JSON is invalid, adds all errors to FINDINGS, leaves
   the view unchanged and returns false.  Unknown settings are ignored,
   because a host of a newer version may have accepted them during a rolling
   upgrade.  */
bool view_apply (struct view *view, const char *team, const char *json,
                 size_t length, struct findings *findings);
void view_remove (struct view *view, const char *team);

/* Returns whether JSON is acceptable as a new subtree of TEAM: it is valid
   for view_apply, has no unknown settings, and none of its instances has the
   address and port of another team's instance.  Adds all errors to FINDINGS.
   The view is not modified.  */
bool view_validate (struct view *view, const char *team, const char *json,
                    size_t length, struct findings *findings);

/* These return the object with the global name NAME, or NULL.  */
struct view_service *view_service (struct view *view, const char *name);
struct view_database *view_database (struct view *view, const char *name);
struct view_instance *view_instance (struct view_database *database,
                                     const char *name);

/* Returns the settings of KIND in SERVICE.  An undeclared kind, or NULL, gets
   the strictest settings.  */
const struct view_kind *view_kind (const struct view_service *service,
                                   const char *kind);

/* Returns the caller NAME of SERVICE, or NULL.  */
const struct view_caller *view_caller (const struct view_service *service,
                                       const char *name);

/* Returns the operator NAME of TEAM, or NULL.  */
const struct view_caller *view_operator (struct view *view, const char *team,
                                         const char *name);

/* A secret_hash is "SALT:HASH" in lower-case hexadecimal: a salt of
   VIEW_SALT_BYTES, which is the key of the hash, and a BLAKE2b hash of 32
   bytes.  Secrets are generated with at least 128 bits of randomness, so a
   fast keyed hash is safe to store and cheap to verify on each request.  */
#define VIEW_SALT_BYTES 16
#define VIEW_SALT_DIGITS 32
#define VIEW_HASH_DIGITS 64
#define VIEW_SECRET_HASH_BYTES (VIEW_SALT_DIGITS + 1 + VIEW_HASH_DIGITS + 1)

/* Writes the secret_hash of SECRET to OUT.  */
void view_secret_hash (const char *secret, const uint8_t salt[VIEW_SALT_BYTES],
                       char out[VIEW_SECRET_HASH_BYTES]);

/* Returns whether TEXT is a well-formed secret_hash.  */
bool view_secret_hash_valid (const char *text);

/* Returns whether SECRET is the secret of CALLER; false if either is NULL.
   The hashes are compared in constant time.  */
bool view_caller_verify (const struct view_caller *caller, const char *secret);

/* Return the first database or service in name order, or NULL; hh.next is the
   next one.  */
struct view_database *view_first_database (struct view *view);
struct view_service *view_first_service (struct view *view);

/* Returns a counter that increases with each successful view_apply and each
   view_remove, to invalidate caches.  */
uint64_t view_generation (const struct view *view);

#endif
