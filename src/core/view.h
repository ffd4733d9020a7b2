/* view - the operators' configuration, parsed and indexed for look-ups.

   One platform value holds the subtree of one team:

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

   Names of databases are global: "TEAM/SERVICE/DATABASE", and those of
   instances "TEAM/SERVICE/DATABASE/INSTANCE".  The view owns all it points
   to; pointers into it are valid until the next view_apply or
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
  char domain[NAME_BYTES];
  bool leaving;
};

struct view_database
{
  char name[PATH_BYTES]; /* global name */
  struct view_service *service;
  uint32_t slots;       /* statements at a time on one instance */
  uint32_t connections; /* limit of one instance */
  clk_ms connect_cost_ms;
  bool leaving;
  size_t instance_count;
  struct view_instance *instances; /* sorted by name */
  UT_hash_handle hh;
};

/* What operators state about one kind of request.  */
struct view_kind
{
  char name[NAME_BYTES];
  enum freshness freshness;
  clk_ms max_age_ms;
  bool repeatable;
  bool write;
  enum ack_rule ack;
  clk_ms deadline_ms; /* default when the caller gives none */
  clk_ms cost_ms;     /* hint until the cost is learned */
  uint32_t priority;  /* 0 lowest to 9 highest */
};

struct view_caller
{
  char name[NAME_BYTES];
  char *secret_hash;
};

struct view_service
{
  char name[2 * NAME_BYTES + 1]; /* "TEAM/SERVICE" */
  char team[NAME_BYTES];
  uint32_t weight; /* share of a contended queue */
  size_t kind_count;
  struct view_kind *kinds;
  size_t caller_count;
  struct view_caller *callers;
  size_t database_count;
  struct view_database **databases;
  UT_hash_handle hh;
};

/* A fault found in a configuration, with its path in the tree.  */
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

/* Findings beyond this number are not kept; the last one says so.  */
#define FINDINGS_LIMIT 1000

void findings_add (struct findings *findings, const char *path,
                   const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
void findings_clear (struct findings *findings);

struct view;

struct view *view_new (void);
void view_free (struct view *view);

/* Parses JSON, the subtree of TEAM, and replaces what TEAM had.  On faults
   adds all of them to FINDINGS, leaves the view as it was and returns
   false.  Settings that are not known are passed over: during a rolling
   replacement a newer host may have accepted them.  JSON is not modified;
   LENGTH is in bytes.  */
bool view_apply (struct view *view, const char *team, const char *json,
                 size_t length, struct findings *findings);
void view_remove (struct view *view, const char *team);

/* Whether JSON may become the subtree of TEAM: view_apply takes it, all its
   settings are known, and no instance in it has the address of another
   team's.  Changes nothing; adds all faults to FINDINGS.  */
bool view_validate (struct view *view, const char *team, const char *json,
                    size_t length, struct findings *findings);

struct view_service *view_service (struct view *view, const char *name);
struct view_database *view_database (struct view *view, const char *name);
struct view_instance *view_instance (struct view_database *database,
                                     const char *name);

/* Returns what holds for KIND in SERVICE; a kind that is not declared gets
   the strictest rules.  */
const struct view_kind *view_kind (const struct view_service *service,
                                   const char *kind);

const struct view_caller *view_caller (const struct view_service *service,
                                       const char *name);

/* Returns the operator NAME of TEAM, or NULL.  */
const struct view_caller *view_operator (struct view *view, const char *team,
                                         const char *name);

/* Secrets are generated with at least 128 bits of randomness, so a keyed
   BLAKE2b hash is enough to keep them, and quick to check for each request.
   secret_hash is "SALT:HASH", both in lower-case hexadecimal: a salt of
   VIEW_SALT_BYTES, which is the key of the hash, and 32 bytes of hash.  */
#define VIEW_SALT_BYTES 16
#define VIEW_SALT_DIGITS 32
#define VIEW_HASH_DIGITS 64
#define VIEW_SECRET_HASH_BYTES (VIEW_SALT_DIGITS + 1 + VIEW_HASH_DIGITS + 1)

/* Writes the secret_hash of SECRET to OUT.  */
void view_secret_hash (const char *secret, const uint8_t salt[VIEW_SALT_BYTES],
                       char out[VIEW_SECRET_HASH_BYTES]);

/* Whether TEXT has the form of a secret_hash.  */
bool view_secret_hash_valid (const char *text);

/* Whether SECRET is that of CALLER, in time that does not depend on where
   they differ.  False if either is NULL.  */
bool view_caller_verify (const struct view_caller *caller, const char *secret);

/* First database and service in name order; continue with hh.next.  */
struct view_database *view_first_database (struct view *view);
struct view_service *view_first_service (struct view *view);

/* Rises by one with each view_apply and view_remove; for caches.  */
uint64_t view_generation (const struct view *view);

#endif
