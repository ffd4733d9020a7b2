/* entry_call - state of one request until it is answered.

   Private to the entry module; shared by the entry*.c files.  */

#ifndef SAVORYWAY_CORE_ENTRY_CALL_H
#define SAVORYWAY_CORE_ENTRY_CALL_H

#include "core/entry.h"
#include "core/gateway.h"
#include "core/peers.h"
#include "core/retry_budget.h"
#include "core/router.h"
#include "core/session.h"
#include "core/view.h"

/* A held call is routed again after 0.5 to 1.5 times this delay.  Also the
   retry-after hint of a refusal because of max_requests.  */
#define ENTRY_HOLD_RETRY_MS 200

/* Held calls on this host.  */
#define ENTRY_HELD_LIMIT 4096

/* Time past the deadline for which an unknown outcome is still looked up.  */
#define ENTRY_RESOLVE_GRACE_MS 15000

/* Deadline of one look-up or tombstone write.  */
#define ENTRY_RESOLVE_TIMEOUT_MS 1000

/* A peer call to a gateway times out this long after the deadline that the
   gateway is given, so that the gateway's own answer arrives first.  */
#define ENTRY_REPLY_MARGIN_MS 250

/* Retries of a request under POLICY_PLAIN.  */
#define ENTRY_PLAIN_RETRIES 3

/* Attempts of a refused read before further ones need the retry budget.  */
#define ENTRY_READ_ATTEMPTS 6

/* Above max_requests / ENTRY_FAIR_SHARE_DIVISOR requests in flight, each
   service is limited to its weighted share of max_requests.  */
#define ENTRY_FAIR_SHARE_DIVISOR 2

/* Transactions this host sends heartbeats for.  */
#define ENTRY_TX_LIMIT 1024

/* Interval and timeout of heartbeats.  */
#define ENTRY_HEARTBEAT_MS 1000

/* A read is hedged after ENTRY_HEDGE_DELAY_RATIO times the typical latency of
   its kind, but not before ENTRY_HEDGE_MIN_DELAY_MS.  Kinds with a typical
   latency above ENTRY_HEDGE_MAX_TYPICAL_MS are not hedged.  */
#define ENTRY_HEDGE_MIN_DELAY_MS 40
#define ENTRY_HEDGE_DELAY_RATIO 4
#define ENTRY_HEDGE_MAX_TYPICAL_MS 50

/* "CALLER:REQUEST_ID", with its NUL.  */
#define LEDGER_KEY_BYTES (NAME_BYTES + 1 + REQUEST_ID_BYTES)

enum call_phase
{
  CALL_NEW,       /* about to be routed, at once or by the timer */
  CALL_HELD,      /* waits for an active term or the retry timer */
  CALL_SENT,      /* waits for the answer of a gateway */
  CALL_RESOLVING, /* waits for the answer to a look-up */
  CALL_FINISHED
};

enum send_purpose
{
  SEND_REQUEST,
  SEND_TOMBSTONE, /* ledger row that prevents the request from running */
  SEND_LOOKUP     /* reads the ledger row of the request */
};

/* A message in flight to a gateway.  */
struct entry_attempt
{
  struct entry_call *call;
  uint64_t id; /* returned by peers_call; 0 if none is in flight */
  clk_ms sent_ms;
  char instance[PATH_BYTES];
};

/* An open transaction for which this host sends heartbeats.  */
struct entry_tx
{
  uint64_t id;
  char host[NAME_BYTES]; /* its gateway */
  bool announced;        /* has been sent in a heartbeat */
  struct entry_tx *prev;
  struct entry_tx *next;
};

/* Requests of one service in flight on this host.  */
struct entry_load
{
  char service[2 * NAME_BYTES + 1];
  uint32_t weight;
  uint32_t count;
  struct retry_budget budget;
  UT_hash_handle hh;
};

struct entry_call
{
  struct entry *entry;
  entry_done done;
  void *arg;
  enum entry_action action;
  bool explain_only; /* for an operator, who has no caller's secret */
  struct view_kind kind;
  struct entry_load *load;
  char service[2 * NAME_BYTES + 1];
  char caller[NAME_BYTES];
  char database[PATH_BYTES];
  char request_id[REQUEST_ID_BYTES + 1];
  char *statement;
  size_t param_count;
  peer_param *params;
  struct session session;
  bool session_loaded;      /* the request's token has been decoded */
  struct position position; /* of the session in the database */
  clk_ms started_ms;
  clk_ms deadline_ms;
  enum call_phase phase;
  struct ktimer timer;
  struct entry_attempt first;
  struct entry_attempt hedge; /* same read, sent to a second instance */
  enum send_purpose purpose;
  uint64_t sent_term;
  size_t host_index; /* in the result of gateway_hosts */
  char instance[PATH_BYTES];
  char host[NAME_BYTES];
  uint32_t attempts;
  uint32_t retries;
  size_t tried_count;
  char tried[ROUTER_AVOID_LIMIT][PATH_BYTES];
  uint64_t uncertain_term; /* highest term in which it may have run or may
                              still run; 0 if none */
  bool retry;              /* an earlier request with this id may have run */
  bool maybe_ran;          /* an earlier attempt or request may have run, and
                              no ledger row shows the outcome; a refusal is
                              then answered with OUTCOME_UNKNOWN */
  enum reason reason;      /* of the latest refusal */
  bool busy;               /* latest refusal of a read: no slot in time */
  clk_ms retry_after_ms;
  uint64_t tx_id; /* open transaction; 0 if none */
  uint64_t tx_term;
  struct entry_call *prev;
  struct entry_call *next;
};

struct entry
{
  struct module base;
  uint8_t token_key[TOKEN_KEY_BYTES];
  uint32_t max_requests;
  struct peers *peers;
  struct members *members;
  struct terms *terms;
  struct view *view;
  struct router *router;
  struct gateway *gateway;
  struct entry_call *calls;
  size_t call_count;
  size_t held_count;
  struct entry_load *loads;
  struct entry_tx *transactions;
  size_t tx_count;
  bool draining;
  struct ktimer heartbeat_timer;
};

/* Parts of an answer that depend on how the call ended.  */
struct call_answer
{
  enum outcome outcome;
  enum reason reason;
  const char *payload;
  size_t payload_bytes;
  const char *sqlstate;
  const char *message;
  const char *transaction;
};

static inline bool
call_is_read (const struct entry_call *call)
{
  return call->action == ENTRY_STATEMENT && !call->kind.write;
}

static inline clk_ms
call_now (const struct entry_call *call)
{
  return kernel_now (call->entry->base.kernel);
}

/* Returns whether the outcome of the request is stored in the ledger.  */
static inline bool
call_uses_ledger (const struct entry_call *call)
{
  if (call->action == ENTRY_STATEMENT)
    return call->kind.write && !call->kind.repeatable;
  return call->action == ENTRY_COMMIT || call->action == ENTRY_LOOKUP;
}

/* entry_submit.c */

/* Fills CALL from REQUEST and checks it.  Returns REASON_NONE or the reason
   for the refusal.  */
enum reason call_check (struct entry_call *call,
                        const struct entry_request *request);

/* entry_route.c */

/* Sends, holds or answers CALL, depending on its state.  */
void call_route (struct entry_call *call);
/* Routes CALL again when a term becomes active, or after a delay.  Answers it
   with REASON_OVERLOAD at ENTRY_HELD_LIMIT.  */
void call_hold (struct entry_call *call, enum reason reason);
/* Routes CALL again after a random backoff, or answers it with REASON if the
   retry budget is used up.  Under POLICY_PLAIN there is a fixed number of
   retries and no delay.  */
void call_retry (struct entry_call *call, enum reason reason);
/* Selects an instance that was not tried yet; false if there is none.  */
bool call_pick_instance (struct entry_call *call,
                         struct router_rating *choice);
void call_mark_tried (struct entry_call *call, const char *instance);

/* entry_send.c */

/* Sends CALL to a gateway of INSTANCE, to run under TERM.  */
void call_send (struct entry_call *call, const struct view_instance *instance,
                uint64_t term, enum send_purpose purpose);
/* Sends a read that is late to a second instance as well.  */
void call_send_hedge (struct entry_call *call);
/* Sends CALL to TO, the gateway of its transaction.  */
void call_send_tx (struct entry_call *call, const struct peer_address *to);
/* Passes the instance states in EXECUTED to the router.  */
void call_observe_states (struct entry_call *call,
                          const peer_executed *executed);
/* Finishes CALL with the answer of a gateway.  */
void call_finish_executed (struct entry_call *call,
                           const peer_executed *executed);

/* entry_resolve.c */

/* Continues after an attempt that certainly did not run.  */
void call_refused (struct entry_call *call, const peer_executed *executed);
/* Continues after an attempt that may have run.  */
void call_outcome_unknown (struct entry_call *call, enum reason reason);
/* Determines whether a call of unknown outcome has run.  */
void call_resolve (struct entry_call *call);
/* Continues with the answer to a look-up or tombstone write.  */
void call_resolved (struct entry_call *call, const peer_executed *executed);

/* entry_tx.c */

/* Reads the transaction HANDLE into CALL; false if it is not valid for the
   service and caller.  */
bool call_decode_handle (struct entry_call *call, const char *handle);
/* Sends CALL to the gateway of its transaction.  */
void call_route_tx (struct entry_call *call);
/* Answers ENTRY_BEGIN with the handle of the new transaction.  */
void call_tx_begun (struct entry_call *call, const peer_executed *executed);
/* Stops the heartbeats of the call's transaction, unless CALL is an
   ENTRY_EXECUTE, after which it stays open.  */
void call_tx_ended (struct entry_call *call);
void entry_tx_start (struct entry *entry);
void entry_tx_stop (struct entry *entry);

/* entry.c */

/* Answers CALL and frees it.  */
void call_finish (struct entry_call *call, const struct call_answer *answer);
/* The same without a result.  OUTCOME_NOT_RUN becomes OUTCOME_UNKNOWN if an
   earlier attempt may have run.  */
void call_fail (struct entry_call *call, enum outcome outcome,
                enum reason reason);
void call_set_timer (struct entry_call *call, clk_ms due_ms);

#endif
