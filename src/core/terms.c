#include "core/terms.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"
#include "kernel/text.h"

struct term_entry
{
  char database[PATH_BYTES];
  uint64_t index;
  struct term_record record;
  struct term_entry *prev; /* in the list by rising index */
  struct term_entry *next;
  UT_hash_handle hh;
};

struct term_watch
{
  void (*fn) (void *arg, const char *database,
              const struct term_record *record);
  void *arg;
  struct term_watch *next;
};

struct terms
{
  struct module base;
  struct term_entry *by_database;
  struct term_entry *by_index;
  struct term_watch *watches;
};

static const char *const state_names[] = {
  [TERM_ACTIVE] = "active",
  [TERM_SEALING] = "sealing",
  [TERM_CHOSEN] = "chosen",
};

#define STATE_COUNT (sizeof state_names / sizeof state_names[0])

static void
terms_free (struct module *module)
{
  struct terms *terms = (struct terms *)module;
  struct term_entry *entry, *next;
  HASH_ITER (hh, terms->by_database, entry, next)
  {
    HASH_DEL (terms->by_database, entry);
    free (entry);
  }
  struct term_watch *watch, *next_watch;
  LL_FOREACH_SAFE (terms->watches, watch, next_watch) { free (watch); }
  free (terms);
}

static const struct module_ops terms_ops = { .free = terms_free };

struct terms *
terms_new (void)
{
  struct terms *terms = mem_zalloc (sizeof *terms);
  terms->base.ops = &terms_ops;
  terms->base.name = "terms";
  return terms;
}

struct module *
terms_module (struct terms *terms)
{
  return &terms->base;
}

static struct term_entry *
entry_find (struct terms *terms, const char *database)
{
  struct term_entry *entry = NULL;
  HASH_FIND_STR (terms->by_database, database, entry);
  return entry;
}

const struct term_record *
terms_get (struct terms *terms, const char *database)
{
  struct term_entry *entry = entry_find (terms, database);
  return entry == NULL ? NULL : &entry->record;
}

uint64_t
terms_index (struct terms *terms, const char *database)
{
  struct term_entry *entry = entry_find (terms, database);
  return entry == NULL ? 0 : entry->index;
}

static struct term_entry *
entry_add (struct terms *terms, const char *database)
{
  struct term_entry *entry = mem_zalloc (sizeof *entry);
  memcpy (entry->database, database, strlen (database));
  HASH_ADD_STR (terms->by_database, database, entry);
  return entry;
}

/* Puts ENTRY into its place in the list by rising index.  */
static void
insert_by_index (struct terms *terms, struct term_entry *entry)
{
  struct term_entry *tail = terms->by_index ? terms->by_index->prev : NULL;
  while (tail != NULL && tail->index > entry->index)
    tail = tail == terms->by_index ? NULL : tail->prev;
  if (tail == NULL)
    DL_PREPEND (terms->by_index, entry);
  else
    DL_APPEND_ELEM (terms->by_index, tail, entry);
}

void
terms_set (struct terms *terms, const char *database, uint64_t index,
           const struct term_record *record)
{
  struct log *log = kernel_log (terms->base.kernel);
  struct term_entry *entry = entry_find (terms, database);
  if (strlen (database) >= sizeof entry->database)
    return;
  if (entry != NULL && index <= entry->index && !MUTANT (accept_older_term))
    return;
  if (entry != NULL && record->term < entry->record.term
      && !MUTANT (accept_older_term))
    {
      log_event (log, LOG_ERR, "term_lower", LOG_S ("database", database),
                 LOG_U ("index", index), LOG_U ("term", record->term),
                 LOG_U ("known_term", entry->record.term));
      return;
    }
  if (entry == NULL)
    entry = entry_add (terms, database);
  else
    DL_DELETE (terms->by_index, entry);
  entry->index = index;
  entry->record = *record;
  insert_by_index (terms, entry);
  log_event (log, LOG_INFO, "term", LOG_S ("database", database),
             LOG_U ("index", index), LOG_U ("term", record->term),
             LOG_S ("state", state_names[record->state]),
             LOG_S ("primary", record->primary),
             LOG_S ("coordinator", record->coordinator));
  for (struct term_watch *w = terms->watches; w != NULL; w = w->next)
    w->fn (w->arg, database, &entry->record);
}

void
terms_subscribe (struct terms *terms,
                 void (*fn) (void *arg, const char *database,
                             const struct term_record *record),
                 void *arg)
{
  struct term_watch *watch = mem_zalloc (sizeof *watch);
  watch->fn = fn;
  watch->arg = arg;
  LL_APPEND (terms->watches, watch);
}

void
terms_each_since (struct terms *terms, uint64_t index,
                  void (*fn) (void *arg, const char *database, uint64_t index,
                              const struct term_record *record),
                  void *arg)
{
  struct term_entry *first = NULL;
  struct term_entry *entry = terms->by_index ? terms->by_index->prev : NULL;
  while (entry != NULL && entry->index > index)
    {
      first = entry;
      entry = entry == terms->by_index ? NULL : entry->prev;
    }
  for (entry = first; entry != NULL; entry = entry->next)
    fn (arg, entry->database, entry->index, &entry->record);
}

void
terms_each (struct terms *terms,
            void (*fn) (void *arg, const char *database, uint64_t index,
                        const struct term_record *record),
            void *arg)
{
  terms_each_since (terms, 0, fn, arg);
}

const char *
term_state_name (enum term_state state)
{
  return (size_t)state < STATE_COUNT ? state_names[state] : "invalid";
}

char *
term_record_print (const struct term_record *record)
{
  json_t *starts = json_array ();
  for (size_t i = 0; i < record->start_count; i++)
    json_array_append_new (
        starts,
        json_pack ("{s:I, s:I}", "term", (json_int_t)record->starts[i].term,
                   "lsn", (json_int_t)record->starts[i].lsn));
  json_t *root = json_pack (
      "{s:I, s:s, s:s, s:s, s:s, s:o}", "term", (json_int_t)record->term,
      "state", state_names[record->state], "primary", record->primary,
      "attempt", record->attempt, "coordinator", record->coordinator, "starts",
      starts);
  if (record->hold)
    json_object_set_new (root, "hold", json_true ());
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static bool
parse_state (const char *name, enum term_state *state)
{
  for (size_t i = 0; i < STATE_COUNT; i++)
    if (strcmp (name, state_names[i]) == 0)
      {
        *state = (enum term_state)i;
        return true;
      }
  return false;
}

static bool
parse_starts (const json_t *starts, struct term_record *record)
{
  if (!json_is_array (starts) || json_array_size (starts) > TERM_HISTORY)
    return false;
  record->start_count = json_array_size (starts);
  for (size_t i = 0; i < record->start_count; i++)
    {
      json_int_t term, lsn;
      if (json_unpack (json_array_get (starts, i), "{s:I, s:I}", "term", &term,
                       "lsn", &lsn)
              != 0
          || term < 0 || lsn < 0)
        return false;
      record->starts[i].term = (uint64_t)term;
      record->starts[i].lsn = (uint64_t)lsn;
      if (i > 0 && record->starts[i].term <= record->starts[i - 1].term)
        return false;
    }
  return true;
}

bool
term_record_parse (const char *json, size_t length, struct term_record *record)
{
  json_t *root = json_loadb (json, length, 0, NULL);
  json_t *starts = NULL;
  json_int_t term = 0;
  const char *state, *primary, *attempt, *coordinator;
  memset (record, 0, sizeof *record);
  bool ok = root != NULL
            && json_unpack (root, "{s:I, s:s, s:s, s:s, s:s, s:o}", "term",
                            &term, "state", &state, "primary", &primary,
                            "attempt", &attempt, "coordinator", &coordinator,
                            "starts", &starts)
                   == 0
            && term > 0 && parse_state (state, &record->state)
            && text_copy (record->primary, sizeof record->primary, primary)
            && text_copy (record->attempt, sizeof record->attempt, attempt)
            && text_copy (record->coordinator, sizeof record->coordinator,
                          coordinator)
            && parse_starts (starts, record);
  record->term = (uint64_t)term;
  record->hold = json_is_true (json_object_get (root, "hold"));
  json_decref (root);
  return ok;
}

bool
term_record_contains (const struct term_record *record,
                      struct position position)
{
  if (position.term > record->term)
    return false;
  /* The first later term bounds what is left of the position's own; a term
     that the history skips was given up.  */
  for (size_t i = 0; i < record->start_count; i++)
    {
      if (record->starts[i].term <= position.term)
        continue;
      if (i > 0 && record->starts[i - 1].term != position.term)
        return false;
      return position.lsn <= record->starts[i].lsn;
    }
  return record->start_count == 0 || position.term == record->term
         || record->starts[record->start_count - 1].term == position.term;
}
