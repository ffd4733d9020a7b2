/* platform_store - keys, sessions and hosts of the platform stand-in.

   Behaves as the documentation of Consul's HTTP API says: a single index
   increases with every change, each key has the index of its last change, and
   the end of a session deletes the keys that it locked.  Times are in ms of
   the monotonic clock.  */

#ifndef SAVORYWAY_TESTS_PLATFORM_STORE_H
#define SAVORYWAY_TESTS_PLATFORM_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Size limit of a value after decoding.  */
#define STORE_VALUE_LIMIT_BYTES 1048576

struct store;

struct store *store_new (void);
void store_free (struct store *store);

/* Appends the entry of KEY, or with RECURSE all entries whose keys start with
   it, to ARRAY unless that is NULL.  Returns the index of the last change
   among them, deletions included.  */
uint64_t store_read (struct store *store, const char *key, bool recurse,
                     json_t *array);

enum store_status
{
  STORE_OK,
  STORE_CONFLICT, /* the condition of an operation is not met */
  STORE_MALFORMED,
  STORE_TOO_LARGE
};

/* Runs the operations of a transaction, all or none.  *ANSWER gets the body of
   the response, NULL for none; the caller releases it.  */
enum store_status store_txn (struct store *store, json_t *operations,
                             json_t **answer);

/* Creates a session that expires after TTL_MS unless it is renewed, and
   returns its id.  */
const char *store_session_create (struct store *store, int64_t ttl_ms,
                                  int64_t now_ms);
/* Both return false if there is no session ID.  */
bool store_session_renew (struct store *store, const char *id, int64_t now_ms);
bool store_session_destroy (struct store *store, const char *id);

/* Adds or replaces a host, or removes it if SERVICE is NULL.  The host list
   shows the change from VISIBLE_MS on.  */
void store_set_host (struct store *store, const char *id, json_t *service,
                     int64_t visible_ms);
/* Appends the listed hosts to ARRAY unless that is NULL.  Returns the index of
   the last change of the list.  */
uint64_t store_hosts (struct store *store, json_t *array);

/* Ends the expired sessions and applies the due changes of the host list.  */
void store_tick (struct store *store, int64_t now_ms);

/* Returns the index of the last change.  */
uint64_t store_index (const struct store *store);

#endif
