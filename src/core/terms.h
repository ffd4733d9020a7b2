/* terms - the term record of each database: who is primary, since when.

   The platform's record decides; hosts learn it through relays, from the
   coordinator that wrote it, or from an instance that reports a higher
   term.  A record with a lower index or term never replaces a higher one.

   Module name: "terms".  */

#ifndef SAVORYWAY_CORE_TERMS_H
#define SAVORYWAY_CORE_TERMS_H

#include <stddef.h>

#include "core/types.h"
#include "kernel/kernel.h"

#define TERM_HISTORY 8
#define ATTEMPT_BYTES 33
#define TERMS_PREFIX "savoryway/terms/"

enum term_state
{
  TERM_ACTIVE,  /* primary serves */
  TERM_SEALING, /* a coordinator seals the instances of lower terms */
  TERM_CHOSEN   /* primary is chosen, promotion may have begun */
};

/* Where a term's history begins; work of lower terms beyond it is lost.  A
   term between two that are listed was given up: none of its work is
   left.  */
struct term_start
{
  uint64_t term;
  uint64_t lsn;
};

struct term_record
{
  uint64_t term;
  enum term_state state;
  char primary[PATH_BYTES]; /* global instance name; in TERM_SEALING
                                     that of the replaced primary */
  char attempt[ATTEMPT_BYTES];
  char coordinator[NAME_BYTES];
  bool hold; /* operators forbid promotions that nobody ordered */
  size_t start_count;
  struct term_start starts[TERM_HISTORY]; /* ascending terms */
};

struct terms;

struct terms *terms_new (void);
struct module *terms_module (struct terms *terms);

/* Returns the record of DATABASE, or NULL if none is known yet.  */
const struct term_record *terms_get (struct terms *terms,
                                     const char *database);
/* Platform index of that record; 0 if none.  */
uint64_t terms_index (struct terms *terms, const char *database);

/* Takes a record read from the platform or a peer.  Ignored if not newer.  */
void terms_set (struct terms *terms, const char *database, uint64_t index,
                const struct term_record *record);

/* Calls FN whenever a record has changed.  */
void terms_subscribe (struct terms *terms,
                      void (*fn) (void *arg, const char *database,
                                  const struct term_record *record),
                      void *arg);

/* Calls FN for each record of an index above INDEX, by rising index.  */
void terms_each_since (struct terms *terms, uint64_t index,
                       void (*fn) (void *arg, const char *database,
                                   uint64_t index,
                                   const struct term_record *record),
                       void *arg);

/* Calls FN for each record known.  */
void terms_each (struct terms *terms,
                 void (*fn) (void *arg, const char *database, uint64_t index,
                             const struct term_record *record),
                 void *arg);

/* JSON form, as kept in the platform; print's string is freed by the
   caller.  parse returns false on a malformed value.  */
const char *term_state_name (enum term_state state);
char *term_record_print (const struct term_record *record);
bool term_record_parse (const char *json, size_t length,
                        struct term_record *record);

/* Whether work at POSITION is part of RECORD's history.  */
bool term_record_contains (const struct term_record *record,
                           struct position position);

#endif
