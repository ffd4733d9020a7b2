#include "sim_log.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

static struct sim_index *
index_find (struct sim_index *table, const char *key)
{
  struct sim_index *found = NULL;
  HASH_FIND_STR (table, key, found);
  return found;
}

static struct sim_index *
index_find_or_add (struct sim_index **table, const char *key)
{
  struct sim_index *found = index_find (*table, key);
  if (found != NULL)
    return found;
  found = mem_zalloc (sizeof *found);
  found->key = mem_strdup (key);
  HASH_ADD_KEYPTR (hh, *table, found->key, strlen (found->key), found);
  return found;
}

struct sim_entry *
sim_store_add (struct sim_store *store, const struct sim_entry *entry)
{
  struct sim_entry *added = mem_zalloc (sizeof *added);
  *added = *entry;
  added->all_next = store->all;
  store->all = added;
  for (size_t i = 0; i < added->pair_count; i++)
    {
      struct sim_pair *pair = &added->pairs[i];
      struct sim_index *index = index_find_or_add (&store->keys, pair->key);
      pair->entry = added;
      pair->older = index->newest_pair;
      index->newest_pair = pair;
    }
  if (added->request_id == NULL)
    return added;
  struct sim_index *index
      = index_find_or_add (&store->requests, added->request_id);
  added->older = index->newest_entry;
  index->newest_entry = added;
  return added;
}

static void
index_free (struct sim_index **table)
{
  struct sim_index *index, *next;
  HASH_ITER (hh, *table, index, next)
  {
    HASH_DEL (*table, index);
    free (index->key);
    free (index);
  }
}

void
sim_store_free (struct sim_store *store)
{
  index_free (&store->keys);
  index_free (&store->requests);
  while (store->all != NULL)
    {
      struct sim_entry *entry = store->all;
      store->all = entry->all_next;
      for (size_t i = 0; i < entry->pair_count; i++)
        {
          free (entry->pairs[i].key);
          free (entry->pairs[i].value);
        }
      free (entry->pairs);
      free (entry->request_id);
      free (entry->payload);
      free (entry);
    }
}

void
sim_log_append (struct sim_log *log, struct sim_entry *entry)
{
  if (log->count == log->size)
    {
      log->size = log->size ? 2 * log->size : 64;
      log->entries
          = mem_resize (log->entries, log->size * sizeof (struct sim_entry *));
    }
  log->entries[log->count++] = entry;
}

size_t
sim_log_common_prefix (const struct sim_log *a, const struct sim_log *b)
{
  size_t count = a->count < b->count ? a->count : b->count;
  while (count > 0 && a->entries[count - 1] != b->entries[count - 1])
    count--;
  return count;
}

static bool
log_contains (const struct sim_log *log, size_t count,
              const struct sim_entry *entry)
{
  return entry->lsn <= count && log->entries[entry->lsn - 1] == entry;
}

const char *
sim_log_get (const struct sim_store *store, const struct sim_log *log,
             size_t count, const char *key)
{
  struct sim_index *index = index_find (store->keys, key);
  if (index == NULL)
    return NULL;
  for (struct sim_pair *p = index->newest_pair; p != NULL; p = p->older)
    if (log_contains (log, count, p->entry))
      return p->value;
  return NULL;
}

const struct sim_entry *
sim_log_request (const struct sim_store *store, const struct sim_log *log,
                 size_t count, const char *request_id)
{
  struct sim_index *index = index_find (store->requests, request_id);
  if (index == NULL)
    return NULL;
  for (struct sim_entry *e = index->newest_entry; e != NULL; e = e->older)
    if (log_contains (log, count, e))
      return e;
  return NULL;
}

uint32_t
sim_log_count_puts (const struct sim_store *store, const struct sim_log *log,
                    const char *key)
{
  uint32_t count = 0;
  struct sim_index *index = index_find (store->keys, key);
  if (index == NULL)
    return 0;
  for (struct sim_pair *p = index->newest_pair; p != NULL; p = p->older)
    count += log_contains (log, log->count, p->entry);
  return count;
}

uint32_t
sim_log_count_requests (const struct sim_store *store,
                        const struct sim_log *log, const char *request_id)
{
  uint32_t count = 0;
  struct sim_index *index = index_find (store->requests, request_id);
  if (index == NULL)
    return 0;
  for (struct sim_entry *e = index->newest_entry; e != NULL; e = e->older)
    count += log_contains (log, log->count, e);
  return count;
}
