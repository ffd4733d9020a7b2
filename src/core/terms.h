/* terms - local copies of the term records of all databases.

   The term record of a database names its primary, the term (a number that
   rises with each change of primary) and the log positions where this term
   and earlier ones begin.  The platform's copy is authoritative.  Hosts
   receive it through relays or from the coordinator that wrote it.  A record
   with a lower platform index or term never replaces a newer one.

   Module name: "terms".  */

#ifndef SAVORYWAY_CORE_TERMS_H
#define SAVORYWAY_CORE_TERMS_H

#include <stddef.h>

#include "core/types.h"
#include "kernel/kernel.h"

/* Number of term starts that a record keeps; older ones are dropped.  */
#define TERM_HISTORY 8
/* Attempt id: 32 hexadecimal digits and the terminating null byte.  */
#define ATTEMPT_BYTES 33
/* Prefix of the platform keys of the records; the database name follows.  */
#define TERMS_PREFIX "savoryway/terms/"

enum term_state
{
  TERM_ACTIVE,  /* the primary accepts writes */
  TERM_SEALING, /* a coordinator is fencing the instances */
  TERM_CHOSEN   /* the primary is chosen and may be promoted already */
};

/* Log position where a term begins.  Log of lower terms beyond it is
   discarded.  A term missing between two listed ones was abandoned, and all
   of its log is discarded.  */
struct term_start
{
  uint64_t term;
  uint64_t lsn;
};

struct term_record
{
  uint64_t term;
  enum term_state state;
  char primary[PATH_BYTES];    /* global instance name; in TERM_SEALING that of
                                  the primary to be replaced */
  char attempt[ATTEMPT_BYTES]; /* random id of the attempt that wrote it */
  char coordinator[NAME_BYTES]; /* host that made the attempt */
  bool hold; /* an operator has forbidden automatic promotions */
  size_t start_count;
  struct term_start starts[TERM_HISTORY]; /* ascending terms */
};

struct terms;

struct terms *terms_new (void);
struct module *terms_module (struct terms *terms);

/* Returns the record of DATABASE, or NULL if none is known yet.  */
const struct term_record *terms_get (struct terms *terms,
                                     const char *database);

/* Returns the platform index of that record, or 0 if none is known.  */
uint64_t terms_index (struct terms *terms, const char *database);

/* Stores a record received from the platform or a peer, and calls the
   subscribers.  Ignored unless INDEX is above the known one; a record of a
   lower term is ignored too and logged as an error.  */
void terms_set (struct terms *terms, const char *database, uint64_t index,
                const struct term_record *record);

/* Subscribes FN to changes of all records.  */
void terms_subscribe (struct terms *terms,
                      void (*fn) (void *arg, const char *database,
                                  const struct term_record *record),
                      void *arg);

/* Calls FN for each record whose index is above INDEX, in ascending order of
   the index.  */
void terms_each_since (struct terms *terms, uint64_t index,
                       void (*fn) (void *arg, const char *database,
                                   uint64_t index,
                                   const struct term_record *record),
                       void *arg);

/* Calls FN for each known record, in ascending order of the index.  */
void terms_each (struct terms *terms,
                 void (*fn) (void *arg, const char *database, uint64_t index,
                             const struct term_record *record),
                 void *arg);

/* Returns the name of STATE in the JSON form, or "invalid".  */
const char *term_state_name (enum term_state state);

/* Returns RECORD in the JSON form that the platform stores; the caller frees
   it.  */
char *term_record_print (const struct term_record *record);

/* Parses the JSON form.  Returns false if it is malformed.  */
bool term_record_parse (const char *json, size_t length,
                        struct term_record *record);

/* Returns whether log at POSITION is part of RECORD's history, that is, was
   not discarded by a later term.  */
bool term_record_contains (const struct term_record *record,
                           struct position position);

#endif
