/* sim_log - the logs of the instances of a simulated group.

   A store owns the entries of all instances of a group and indexes them by
   key and by request id.  A log is one instance's sequence of entries; logs
   share their entries up to the position where they diverge.  */

#ifndef SAVORYWAY_FUZZ_SIM_LOG_H
#define SAVORYWAY_FUZZ_SIM_LOG_H

#include <stddef.h>
#include <uthash.h>

#include "core/types.h"
#include "kernel/clock.h"

/* One put.  */
struct sim_pair
{
  char *key;
  char *value;
  struct sim_entry *entry;
  struct sim_pair *older; /* previous put of the key, in any log */
};

/* One committed transaction.  */
struct sim_entry
{
  uint64_t lsn;
  uint64_t term;
  clk_ms at_ms;
  char *request_id;
  char *payload;
  size_t pair_count;
  struct sim_pair *pairs;
  struct sim_entry *older;    /* previous entry with the request id */
  struct sim_entry *all_next; /* list of all entries of the store */
};

/* Puts of one key, or entries of one request id.  */
struct sim_index
{
  char *key;
  struct sim_pair *newest_pair;
  struct sim_entry *newest_entry;
  UT_hash_handle hh;
};

/* Entries of all logs of one group.  */
struct sim_store
{
  struct sim_index *keys;
  struct sim_index *requests;
  struct sim_entry *all;
};

/* The log of one instance; the entry at index i has LSN i + 1.  */
struct sim_log
{
  struct sim_entry **entries;
  size_t count;
  size_t size;
};

/* Adds a copy of ENTRY and returns it.  Takes ownership of request_id, payload
   and pairs.  */
struct sim_entry *sim_store_add (struct sim_store *store,
                                 const struct sim_entry *entry);
void sim_store_free (struct sim_store *store);

void sim_log_append (struct sim_log *log, struct sim_entry *entry);
/* Returns the length of the common prefix of both logs.  */
size_t sim_log_common_prefix (const struct sim_log *a,
                              const struct sim_log *b);

/* Return the latest value of KEY, or the latest entry with REQUEST_ID, in the
   first COUNT entries of LOG; NULL if there is none.  */
const char *sim_log_get (const struct sim_store *store,
                         const struct sim_log *log, size_t count,
                         const char *key);
const struct sim_entry *sim_log_request (const struct sim_store *store,
                                         const struct sim_log *log,
                                         size_t count, const char *request_id);
/* Return the number of puts of KEY, or of entries with REQUEST_ID, in LOG.  */
uint32_t sim_log_count_puts (const struct sim_store *store,
                             const struct sim_log *log, const char *key);
uint32_t sim_log_count_requests (const struct sim_store *store,
                                 const struct sim_log *log,
                                 const char *request_id);

#endif
