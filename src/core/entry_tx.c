#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/entry_call.h"
#include "kernel/mem.h"

/* A transaction handle before and after seal_write.  */
#define HANDLE_BYTES (NAME_BYTES + PATH_BYTES + 64)
#define HANDLE_TEXT_BYTES 1024

static struct seal_context
handle_context (const struct entry_call *call)
{
  return (struct seal_context){ .key = call->entry->token_key,
                                .purpose = "transaction",
                                .service = call->service,
                                .caller = call->caller };
}

static bool
encode_handle (const struct entry_call *call, uint64_t id, char *out,
               size_t out_bytes)
{
  const struct seal_context context = handle_context (call);
  char text[HANDLE_BYTES];
  snprintf (text, sizeof text, "%s %s %" PRIu64 " %" PRIu64, call->host,
            call->instance, id, call->sent_term);
  return seal_write (&context, (const uint8_t *)text, strlen (text), out,
                     out_bytes);
}

bool
call_decode_handle (struct entry_call *call, const char *handle)
{
  const struct seal_context context = handle_context (call);
  uint8_t text[SEAL_DATA_BYTES + 1];
  size_t bytes = 0;
  if (handle == NULL || !seal_read (&context, handle, text, &bytes))
    return false;
  text[bytes] = '\0';
  if (sscanf ((const char *)text, "%63s %255s %" SCNu64 " %" SCNu64,
              call->host, call->instance, &call->tx_id, &call->tx_term)
      != 4)
    return false;
  memcpy (call->database, call->instance, sizeof call->database);
  char *last = strrchr (call->database, '/');
  if (last == NULL)
    return false;
  *last = '\0';
  return true;
}

static struct entry_tx *
find_tx (const struct entry *entry, uint64_t id)
{
  struct entry_tx *tx;
  DL_FOREACH (entry->transactions, tx)
  {
    if (tx->id == id)
      return tx;
  }
  return NULL;
}

static void
untrack_tx (struct entry *entry, struct entry_tx *tx)
{
  DL_DELETE (entry->transactions, tx);
  entry->tx_count--;
  free (tx);
}

/* Adds transaction ID of the call's gateway to the heartbeats.  A caller may
   continue a transaction at another host than the one that began it.  */
static void
track_tx (struct entry_call *call, uint64_t id)
{
  struct entry *entry = call->entry;
  if (find_tx (entry, id) != NULL)
    return;
  if (entry->tx_count >= ENTRY_TX_LIMIT)
    {
      metrics_count (kernel_metrics (entry->base.kernel),
                     "entry_transactions_limit_total");
      return;
    }
  struct entry_tx *tx = mem_zalloc (sizeof *tx);
  tx->id = id;
  memcpy (tx->host, call->host, sizeof tx->host);
  DL_APPEND (entry->transactions, tx);
  entry->tx_count++;
}

void
call_route_tx (struct entry_call *call)
{
  const struct member *host = members_find (call->entry->members, call->host);
  if (host == NULL)
    {
      call_fail (call, OUTCOME_NOT_RUN, REASON_BAD_TRANSACTION);
      return;
    }
  track_tx (call, call->tx_id);
  call_send_tx (call, &host->address);
}

void
call_tx_begun (struct entry_call *call, const peer_executed *executed)
{
  char handle[HANDLE_TEXT_BYTES];
  struct call_answer answer
      = { .outcome = OUTCOME_DONE, .transaction = handle };
  if (!encode_handle (call, executed->transaction, handle, sizeof handle))
    {
      call_fail (call, OUTCOME_NOT_RUN, REASON_OVERLOAD);
      return;
    }
  track_tx (call, executed->transaction);
  call_finish (call, &answer);
}

void
call_tx_ended (struct entry_call *call)
{
  struct entry_tx *tx = find_tx (call->entry, call->tx_id);
  if (tx != NULL && call->action != ENTRY_EXECUTE)
    untrack_tx (call->entry, tx);
}

/* Removes the transactions that the gateway no longer lists as open.  One
   that was not sent in a heartbeat yet may be newer than the reply.  */
static void
on_heartbeat (void *arg, enum peer_status status, const peer_message *reply)
{
  struct entry *entry = arg;
  struct entry_tx *tx, *next;
  if (status != PEER_OK || reply->body.kind != PEER_KIND_HEARTBEAT)
    return;
  const peer_heartbeat *answer = &reply->body.peer_body_u.heartbeat;
  DL_FOREACH_SAFE (entry->transactions, tx, next)
  {
    bool open = strcmp (tx->host, reply->from.host) != 0;
    for (u_int i = 0; i < answer->transactions.transactions_len; i++)
      open = open || answer->transactions.transactions_val[i] == tx->id;
    if (!open && tx->announced)
      untrack_tx (entry, tx);
  }
}

static void
send_heartbeat (struct entry *entry, const char *host)
{
  const struct member *member = members_find (entry->members, host);
  u_quad_t *ids = mem_zalloc (entry->tx_count * sizeof *ids);
  peer_body body = { .kind = PEER_KIND_HEARTBEAT };
  peer_heartbeat *heartbeat = &body.peer_body_u.heartbeat;
  struct entry_tx *tx;
  heartbeat->transactions.transactions_val = ids;
  DL_FOREACH (entry->transactions, tx)
  {
    if (strcmp (tx->host, host) != 0)
      continue;
    tx->announced = true;
    ids[heartbeat->transactions.transactions_len++] = tx->id;
  }
  if (member != NULL)
    peers_call (entry->peers, &member->address, &body, ENTRY_HEARTBEAT_MS,
                on_heartbeat, entry);
  free (ids);
}

/* Returns whether a transaction before TARGET in the list has the same
   gateway.  */
static bool
is_host_repeated (const struct entry *entry, const struct entry_tx *target)
{
  const struct entry_tx *tx;
  DL_FOREACH (entry->transactions, tx)
  {
    if (tx == target)
      return false;
    if (strcmp (tx->host, target->host) == 0)
      return true;
  }
  return false;
}

static void
on_heartbeat_timer (void *arg)
{
  struct entry *entry = arg;
  struct entry_tx *tx;
  DL_FOREACH (entry->transactions, tx)
  {
    if (!is_host_repeated (entry, tx))
      send_heartbeat (entry, tx->host);
  }
  kernel_timer_set (entry->base.kernel, &entry->heartbeat_timer,
                    kernel_now (entry->base.kernel) + ENTRY_HEARTBEAT_MS);
}

void
entry_tx_start (struct entry *entry)
{
  entry->heartbeat_timer.fire = on_heartbeat_timer;
  entry->heartbeat_timer.arg = entry;
  kernel_timer_set (entry->base.kernel, &entry->heartbeat_timer,
                    kernel_now (entry->base.kernel) + ENTRY_HEARTBEAT_MS);
}

void
entry_tx_stop (struct entry *entry)
{
  kernel_timer_cancel (entry->base.kernel, &entry->heartbeat_timer);
  while (entry->transactions != NULL)
    untrack_tx (entry, entry->transactions);
}
