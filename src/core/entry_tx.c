#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/entry_call.h"
#include "kernel/mem.h"

#define HANDLE_BYTES (NAME_BYTES + PATH_BYTES + 64)
#define HANDLE_TEXT_BYTES 1024

static struct signed_token_context
handle_context (const struct entry_call *call)
{
  return (struct signed_token_context){ .key = call->entry->token_key,
                                        .purpose = "transaction",
                                        .service = call->service,
                                        .caller = call->caller };
}

static bool
print_handle (const struct entry_call *call, uint64_t id, char *out,
              size_t out_bytes)
{
  const struct signed_token_context context = handle_context (call);
  char text[HANDLE_BYTES];
  snprintf (text, sizeof text, "%s %s %" PRIu64 " %" PRIu64, call->host,
            call->instance, id, call->sent_term);
  return signed_token_encode (&context, (const uint8_t *)text, strlen (text),
                              out, out_bytes);
}

bool
call_open_handle (struct entry_call *call, const char *handle)
{
  const struct signed_token_context context = handle_context (call);
  uint8_t text[SIGNED_TOKEN_DATA_BYTES + 1];
  size_t bytes = 0;
  if (handle == NULL || !signed_token_decode (&context, handle, text, &bytes))
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
drop_tx (struct entry *entry, struct entry_tx *tx)
{
  DL_DELETE (entry->transactions, tx);
  entry->tx_count--;
  free (tx);
}

/* Sends heartbeats for transaction ID at HOST from now on; a caller may
   continue a transaction through another host than it began at.  */
static void
keep_tx (struct entry_call *call, uint64_t id)
{
  struct entry *entry = call->entry;
  if (find_tx (entry, id) != NULL)
    return;
  if (entry->tx_count >= ENTRY_TX_LIMIT)
    {
      metrics_increment (kernel_metrics (entry->base.kernel),
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
  keep_tx (call, call->tx_id);
  call_send_tx (call, &host->address);
}

void
call_begun (struct entry_call *call, const peer_executed *executed)
{
  char handle[HANDLE_TEXT_BYTES];
  struct call_answer answer
      = { .outcome = OUTCOME_DONE, .transaction = handle };
  if (!print_handle (call, executed->transaction, handle, sizeof handle))
    {
      call_fail (call, OUTCOME_NOT_RUN, REASON_OVERLOAD);
      return;
    }
  keep_tx (call, executed->transaction);
  call_finish (call, &answer);
}

/* Ends the heartbeats once the transaction is over.  */
void
call_tx_over (struct entry_call *call)
{
  struct entry_tx *tx = find_tx (call->entry, call->tx_id);
  if (tx != NULL && call->action != ENTRY_EXECUTE)
    drop_tx (call->entry, tx);
}

/* The gateway's answer lists what is still open there.  */
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
      drop_tx (entry, tx);
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

/* Whether an earlier transaction of the list has the same gateway.  */
static bool
is_repeated (const struct entry *entry, const struct entry_tx *of)
{
  const struct entry_tx *tx;
  DL_FOREACH (entry->transactions, tx)
  {
    if (tx == of)
      return false;
    if (strcmp (tx->host, of->host) == 0)
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
    if (!is_repeated (entry, tx))
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
    drop_tx (entry, entry->transactions);
}
