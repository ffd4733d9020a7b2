#include "platform_store.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "kernel/mem.h"

#define SESSION_ID_BYTES 37

struct entry
{
  char *key;
  char *value; /* base64, as received */
  char session[SESSION_ID_BYTES];
  uint64_t create_index;
  uint64_t modify_index;
  bool deleted; /* kept, since its index counts in reads */
  UT_hash_handle hh;
};

struct session
{
  char id[SESSION_ID_BYTES];
  int64_t ttl_ms;
  int64_t expires_at_ms;
  UT_hash_handle hh;
};

/* A change of the host list that reads don't show yet.  */
struct pending_host
{
  char *id;
  json_t *service; /* NULL removes the host */
  int64_t visible_ms;
  struct pending_host *next;
};

struct store
{
  struct entry *entries;
  struct session *sessions;
  json_t *hosts;
  struct pending_host *pending;
  uint64_t hosts_index;
  uint64_t index;
  uint64_t next_session;
  bool sorted; /* entries are in the order of their keys */
};

struct store *
store_new (void)
{
  struct store *store = mem_zalloc (sizeof *store);
  store->hosts = json_object ();
  store->index = 1;
  store->hosts_index = 1;
  return store;
}

void
store_free (struct store *store)
{
  struct entry *entry, *next_entry;
  HASH_ITER (hh, store->entries, entry, next_entry)
  {
    HASH_DEL (store->entries, entry);
    free (entry->key);
    free (entry->value);
    free (entry);
  }
  struct session *session, *next_session;
  HASH_ITER (hh, store->sessions, session, next_session)
  {
    HASH_DEL (store->sessions, session);
    free (session);
  }
  while (store->pending != NULL)
    {
      struct pending_host *pending = store->pending;
      store->pending = pending->next;
      free (pending->id);
      json_decref (pending->service);
      free (pending);
    }
  json_decref (store->hosts);
  free (store);
}

uint64_t
store_index (const struct store *store)
{
  return store->index;
}

static json_t *
entry_json (const struct entry *entry, bool with_value)
{
  json_t *json
      = json_pack ("{s:s, s:I, s:I, s:i, s:i}", "Key", entry->key,
                   "CreateIndex", (json_int_t)entry->create_index,
                   "ModifyIndex", (json_int_t)entry->modify_index, "LockIndex",
                   entry->session[0] != '\0', "Flags", 0);
  bool empty = !with_value || entry->value[0] == '\0';
  json_object_set_new (json, "Value",
                       empty ? json_null () : json_string (entry->value));
  if (entry->session[0] != '\0')
    json_object_set_new (json, "Session", json_string (entry->session));
  return json;
}

static int
compare_keys (struct entry *a, struct entry *b)
{
  return strcmp (a->key, b->key);
}

uint64_t
store_read (struct store *store, const char *key, bool recurse, json_t *array)
{
  size_t length = strlen (key);
  uint64_t index = 1;
  if (recurse && !store->sorted)
    HASH_SORT (store->entries, compare_keys);
  store->sorted = store->sorted || recurse;
  struct entry *entry = store->entries;
  if (!recurse)
    HASH_FIND_STR (store->entries, key, entry);
  for (; entry != NULL; entry = recurse ? entry->hh.next : NULL)
    {
      if (recurse && strncmp (entry->key, key, length) != 0)
        continue;
      if (entry->modify_index > index)
        index = entry->modify_index;
      if (!entry->deleted && array != NULL)
        json_array_append_new (array, entry_json (entry, true));
    }
  return index;
}

/* Returns the entry of KEY; NULL if there is none or it is deleted.  */
static struct entry *
find_entry (struct store *store, const char *key)
{
  struct entry *entry = NULL;
  HASH_FIND_STR (store->entries, key, entry);
  return entry != NULL && !entry->deleted ? entry : NULL;
}

static void
delete_entry (struct store *store, struct entry *entry)
{
  entry->deleted = true;
  entry->session[0] = '\0';
  entry->modify_index = store->index;
}

static struct entry *
put_entry (struct store *store, const char *key, const char *value)
{
  struct entry *entry = NULL;
  HASH_FIND_STR (store->entries, key, entry);
  if (entry == NULL)
    {
      entry = mem_zalloc (sizeof *entry);
      entry->key = mem_strdup (key);
      entry->deleted = true;
      HASH_ADD_KEYPTR (hh, store->entries, entry->key, strlen (key), entry);
      store->sorted = false;
    }
  if (entry->deleted)
    entry->create_index = store->index;
  free (entry->value);
  entry->value = mem_strdup (value);
  entry->deleted = false;
  entry->modify_index = store->index;
  return entry;
}

/* An operation of a transaction.  */
struct operation
{
  const char *verb;
  const char *key;
  const char *value;
  const char *session;
  uint64_t index;
};

static enum store_status
parse_operation (json_t *json, struct operation *out)
{
  json_int_t index = 0;
  *out = (struct operation){ .value = "", .session = "" };
  if (json_unpack (json, "{s:{s:s, s:s, s?s, s?s, s?I}}", "KV", "Verb",
                   &out->verb, "Key", &out->key, "Value", &out->value,
                   "Session", &out->session, "Index", &index)
      != 0)
    return STORE_MALFORMED;
  out->index = (uint64_t)index;
  size_t length = strlen (out->value);
  if (length / 4 * 3 > STORE_VALUE_LIMIT_BYTES + 2)
    return STORE_TOO_LARGE;
  uint8_t *bytes = mem_zalloc (length + 1);
  size_t size = 0;
  int rc = sodium_base642bin (bytes, length + 1, out->value, length, NULL,
                              &size, NULL, sodium_base64_VARIANT_ORIGINAL);
  free (bytes);
  if (rc != 0)
    return STORE_MALFORMED;
  return size > STORE_VALUE_LIMIT_BYTES ? STORE_TOO_LARGE : STORE_OK;
}

static bool
session_exists (struct store *store, const char *id)
{
  struct session *session = NULL;
  HASH_FIND_STR (store->sessions, id, session);
  return session != NULL;
}

static enum store_status
check_operation (struct store *store, const struct operation *operation)
{
  struct entry *entry = find_entry (store, operation->key);
  bool satisfied;
  if (strcmp (operation->verb, "cas") == 0)
    satisfied = entry == NULL ? operation->index == 0
                              : entry->modify_index == operation->index;
  else if (strcmp (operation->verb, "check-index") == 0)
    satisfied = entry != NULL && entry->modify_index == operation->index;
  else if (strcmp (operation->verb, "check-not-exists") == 0)
    satisfied = entry == NULL;
  else if (strcmp (operation->verb, "lock") == 0)
    satisfied = session_exists (store, operation->session)
                && (entry == NULL || entry->session[0] == '\0'
                    || strcmp (entry->session, operation->session) == 0);
  else if (strcmp (operation->verb, "delete") == 0)
    satisfied = true;
  else
    return STORE_MALFORMED;
  return satisfied ? STORE_OK : STORE_CONFLICT;
}

static void
run_operation (struct store *store, const struct operation *operation,
               json_t *results)
{
  struct entry *entry = find_entry (store, operation->key);
  if (strncmp (operation->verb, "delete", strlen ("delete")) == 0)
    {
      if (entry != NULL)
        delete_entry (store, entry);
      return;
    }
  if (strncmp (operation->verb, "check", strlen ("check")) != 0)
    entry = put_entry (store, operation->key, operation->value);
  if (strcmp (operation->verb, "lock") == 0)
    snprintf (entry->session, sizeof entry->session, "%s", operation->session);
  if (entry != NULL)
    json_array_append_new (
        results, json_pack ("{s:o}", "KV", entry_json (entry, false)));
}

/* Checks all operations.  On a failure, *ANSWER gets the index of the first
   one that is invalid or whose condition is not met.  */
static enum store_status
check_operations (struct store *store, json_t *operations, json_t **answer)
{
  for (size_t i = 0; i < json_array_size (operations); i++)
    {
      struct operation operation;
      enum store_status status
          = parse_operation (json_array_get (operations, i), &operation);
      if (status == STORE_OK)
        status = check_operation (store, &operation);
      if (status == STORE_OK)
        continue;
      *answer
          = json_pack ("{s:n, s:[{s:i, s:s}]}", "Results", "Errors", "OpIndex",
                       (int)i, "What", "operation does not hold");
      return status;
    }
  return STORE_OK;
}

enum store_status
store_txn (struct store *store, json_t *operations, json_t **answer)
{
  *answer = NULL;
  if (!json_is_array (operations) || json_array_size (operations) == 0)
    return STORE_MALFORMED;
  enum store_status status = check_operations (store, operations, answer);
  if (status != STORE_OK)
    return status;
  store->index++;
  json_t *results = json_array ();
  for (size_t i = 0; i < json_array_size (operations); i++)
    {
      struct operation operation;
      parse_operation (json_array_get (operations, i), &operation);
      run_operation (store, &operation, results);
    }
  *answer = json_pack ("{s:o, s:n}", "Results", results, "Errors");
  return STORE_OK;
}

const char *
store_session_create (struct store *store, int64_t ttl_ms, int64_t now_ms)
{
  struct session *session = mem_zalloc (sizeof *session);
  snprintf (session->id, sizeof session->id, "00000000-0000-0000-0000-%012llu",
            (unsigned long long)(++store->next_session % 1000000000000));
  session->ttl_ms = ttl_ms;
  session->expires_at_ms = now_ms + ttl_ms;
  HASH_ADD_STR (store->sessions, id, session);
  return session->id;
}

bool
store_session_renew (struct store *store, const char *id, int64_t now_ms)
{
  struct session *session = NULL;
  HASH_FIND_STR (store->sessions, id, session);
  if (session == NULL)
    return false;
  session->expires_at_ms = now_ms + session->ttl_ms;
  return true;
}

bool
store_session_destroy (struct store *store, const char *id)
{
  struct session *session = NULL;
  HASH_FIND_STR (store->sessions, id, session);
  if (session == NULL)
    return false;
  store->index++;
  for (struct entry *e = store->entries; e != NULL; e = e->hh.next)
    if (!e->deleted && strcmp (e->session, session->id) == 0)
      delete_entry (store, e);
  HASH_DEL (store->sessions, session);
  free (session);
  return true;
}

void
store_set_host (struct store *store, const char *id, json_t *service,
                int64_t visible_ms)
{
  struct pending_host *pending = mem_zalloc (sizeof *pending);
  struct pending_host **tail = &store->pending;
  pending->id = mem_strdup (id);
  pending->service = json_incref (service);
  pending->visible_ms = visible_ms;
  while (*tail != NULL)
    tail = &(*tail)->next;
  *tail = pending;
}

uint64_t
store_hosts (struct store *store, json_t *array)
{
  const char *id;
  json_t *service;
  if (array != NULL)
    json_object_foreach (store->hosts, id, service)
        json_array_append_new (array, json_pack ("{s:O}", "Service", service));
  return store->hosts_index;
}

static void
publish_host (struct store *store, struct pending_host *pending)
{
  store->hosts_index = ++store->index;
  if (pending->service == NULL)
    json_object_del (store->hosts, pending->id);
  else
    {
      json_object_set_new (pending->service, "CreateIndex",
                           json_integer ((json_int_t)store->index));
      json_object_set (store->hosts, pending->id, pending->service);
    }
}

void
store_tick (struct store *store, int64_t now_ms)
{
  struct session *session, *next;
  HASH_ITER (hh, store->sessions, session, next)
  if (session->expires_at_ms <= now_ms)
    store_session_destroy (store, session->id);
  while (store->pending != NULL && store->pending->visible_ms <= now_ms)
    {
      struct pending_host *pending = store->pending;
      store->pending = pending->next;
      publish_host (store, pending);
      free (pending->id);
      json_decref (pending->service);
      free (pending);
    }
}
