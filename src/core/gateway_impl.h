/* gateway_impl - types and functions shared by the files of the gateway.  */

#ifndef SAVORYWAY_CORE_GATEWAY_IMPL_H
#define SAVORYWAY_CORE_GATEWAY_IMPL_H

#include <uthash.h>

#include "core/acks.h"
#include "core/conn_pool.h"
#include "core/cost.h"
#include "core/gateway.h"
#include "core/peers.h"
#include "core/queue.h"
#include "core/terms.h"

#define GW_TICK_INTERVAL_MS 500
#define GW_SWEEP_INTERVAL_MS 10 /* checks of deadlines while jobs exist */
#define GW_QUEUE_LIMIT 1024
#define GW_ACK_POLL_INTERVAL_MS 2 /* status queries while answers wait */
#define GW_STATUS_INTERVAL_MS 500
#define GW_STATUS_TIMEOUT_MS 1000

/* Time after its deadline at which a running job is aborted.  */
#define GW_RUN_GRACE_MS 20

/* Writes that need the confirmation of a replica are refused once the primary
   has had unconfirmed log for this time and no replica has confirmed any of
   it.  */
#define GW_ACK_STALL_LIMIT_MS 2000

/* Consecutive connection failures after which an instance without an open
   connection counts as down.  */
#define GW_DOWN_FAILURE_COUNT 2

/* Time without requests after which an instance counts as unused.  It is
   removed then if it is not placed on this host.  */
#define GW_UNUSED_TIMEOUT_MS 60000

#define GW_PURGE_INTERVAL_MS 600000
#define GW_RESULT_LIMIT_BYTES PEER_RESULT_LIMIT

/* Open transactions of one instance.  */
#define GW_TX_LIMIT 64

/* A transaction is rolled back after the first time without a statement, or
   after the second without a statement or heartbeat from its entry host.  */
#define GW_TX_IDLE_TIMEOUT_MS 30000
#define GW_TX_HEARTBEAT_TIMEOUT_MS 3000

/* Priority of barrier writes and of statements in open transactions.  */
#define GW_URGENT_PRIORITY 9

/* Returns the object of TYPE whose MEMBER is at POINTER.  */
#define gw_container(pointer, type, member)                                   \
  ((type *)(void *)((char *)(pointer)-offsetof (type, member)))

/* Place of this host among the gateway hosts of an instance.  */
enum gw_role
{
  GW_NONE,
  GW_FIRST,
  GW_SECOND
};

enum gw_state
{
  GW_NEW,
  GW_WAITING, /* until the replica has replayed the session's position */
  GW_QUEUED,
  GW_RUNNING,
  GW_ACKING, /* answer delayed until the write is confirmed */
  GW_BARRIER /* answer delayed until a barrier write is confirmed */
};

struct gw_instance;
struct gw_tx;

/* One request on one instance, from its arrival to its answer.  */
struct gw_job
{
  struct queue_item item; /* must be first: queue_pop returns it */
  struct ack_wait wait;
  struct pool_user user;
  struct gw_instance *instance;
  enum gw_state state;
  uint64_t call;
  peer_action action;
  bool read_only;
  enum ack_rule ack;
  char *request_id; /* NULL if none */
  char *statement;
  size_t param_count;
  char **params;
  struct position required; /* see GATEWAY_STRONG_READ */
  clk_ms max_age_ms;
  clk_ms started_ms;
  struct cost_kind *cost;
  struct pool_conn *conn;
  struct gw_tx *tx;
  char *payload; /* of a delayed answer */
  size_t payload_bytes;
  bool tombstone;               /* the stored answer is empty */
  bool waited;                  /* has waited for replay; done only once */
  bool barrier;                 /* has become a barrier write */
  bool absent;                  /* the look-up found no ledger row */
  bool barrier_pending;         /* is a barrier write without a result yet */
  struct gw_job **barrier_list; /* that contains it; NULL if none */
  struct gw_job *barrier_prev;
  struct gw_job *barrier_next;
  char from[NAME_BYTES]; /* entry host */
  struct gw_job *prev;
  struct gw_job *next;
};

/* An open interactive transaction.  */
struct gw_tx
{
  struct pool_user user;
  uint64_t id;
  struct gw_instance *instance;
  struct pool_conn *conn; /* NULL after it was lost */
  char entry_host[NAME_BYTES];
  uint64_t term;
  clk_ms last_contact_ms; /* last message from the entry host */
  clk_ms last_used_ms;
  struct gw_job *job; /* queued or running; NULL if idle */
  bool resetting;     /* being rolled back to reuse the connection */
  UT_hash_handle hh;
};

/* An instance that this host acts for, or acted for until recently.  */
struct gw_instance
{
  struct gateway *gateway;
  char name[PATH_BYTES];
  char database[PATH_BYTES];
  char service[2 * NAME_BYTES + 1];
  uint32_t weight;
  uint32_t slots; /* jobs that this host may run at a time */
  uint32_t instance_count;
  bool leaving;                /* being removed: new requests are refused,
                                  except look-ups */
  uint64_t members_generation; /* for which role and limits were computed */
  uint64_t view_generation;
  enum gw_role role;
  clk_ms last_used_ms;
  struct conn_pool *pool;
  struct queue *queue;
  struct cost_table costs;
  struct acks acks;
  struct gw_job *jobs;
  size_t job_count;
  uint32_t running;
  uint32_t running_long;
  uint32_t tx_count;
  struct db_report report;
  clk_ms report_ms; /* time of receipt; 0 if there is none */
  struct pool_user status_user;
  struct pool_conn *status_conn;
  bool polling; /* a status query is in flight */
  clk_ms polled_ms;
  clk_ms purged_ms;
  clk_ms window_start_ms;       /* start of the overload window */
  clk_ms min_wait_ms;           /* shortest queueing time in this window */
  uint32_t short_arrivals;      /* short requests in this window */
  uint32_t overload_refusals;   /* of these, refused as overload */
  uint32_t low_refusal_windows; /* consecutive, with few refusals */
  bool overloaded;
  bool barrier_in_flight;            /* a barrier write has not ended */
  struct gw_job *barrier_reads;      /* reads that it covers */
  struct gw_job *next_barrier_reads; /* reads for the next barrier */
  struct position barrier_position;  /* of the last one; term 0: failed */
  enum reason barrier_reason;        /* why the last one failed */
  bool dispatching;                  /* gw_dispatch is active */
  bool conn_exhausted;               /* none is idle for the next job */
  struct ktimer status_timer;
  struct ktimer sweep_timer;
  UT_hash_handle hh;
};

struct gateway
{
  struct module base;
  struct db_port *db;
  enum policy policy;
  struct peers *peers;
  struct members *members;
  struct terms *terms;
  struct view *view;
  clk_ms (*view_age) (void *arg);
  void *view_age_arg;
  clk_ms ledger_retention_ms;
  struct gw_instance *instances;
  struct gw_tx *transactions;
  size_t job_count;
  uint64_t members_generation;
  uint64_t view_generation;
  clk_ms first_host_probed_ms;
  struct ktimer tick;
};

static inline clk_ms
gw_now (const struct gateway *gateway)
{
  return kernel_now (gateway->base.kernel);
}

/* gateway.c: instances.  gw_instance_get adds a missing instance if it is
   placed on this host, and returns NULL if a missing one is not.  */
struct gw_instance *gw_instance_get (struct gateway *gateway,
                                     const struct view_database *database,
                                     const struct view_instance *at);

/* gateway_admit.c: admission control.  gw_record_wait takes the time that a
   job spent in the queue.  */
bool gw_admit (struct gw_job *job);
void gw_record_wait (struct gw_instance *instance, clk_ms wait_ms);
bool gw_may_run_long (const struct gw_instance *instance);

/* gateway_execute.c: checks of new requests.  */
void gw_on_execute (void *arg, uint64_t call, const peer_message *message);
void gw_enqueue (struct gw_job *job);
void gw_wait_replay (struct gw_job *job);
bool gw_is_down (const struct gw_instance *instance);

/* gateway_run.c: execution and deadlines.  */
void gw_dispatch (struct gw_instance *instance);
void gw_sweep_start (struct gw_instance *instance);
void gw_run (struct gw_job *job, struct pool_conn *conn);

/* gateway_result.c: results of jobs.  */
extern const struct pool_user_ops gw_job_user_ops;
void gw_copy_payload (struct gw_job *job, const struct db_result *result);
void gw_answer_deferred (struct gw_job *job);

/* gateway_barrier.c: reads that wait for a barrier write.  */
void gw_barrier_wait (struct gw_job *job, const struct db_result *result);
void gw_barrier_done (struct gw_job *job, bool confirmed, enum reason reason);
void gw_barrier_remove (struct gw_job *job);

/* gateway_answer.c: answers.  gw_answer, gw_refuse and gw_answer_result free
   the job.  */
void gw_answer (struct gw_job *job, enum outcome outcome, enum reason reason);
void gw_refuse (struct gw_job *job, enum reason reason, clk_ms retry_after_ms);
void gw_answer_result (struct gw_job *job, enum outcome outcome,
                       enum reason reason, const struct db_result *result);
void gw_job_free (struct gw_job *job);
void gw_fill_state (const struct gw_instance *instance,
                    peer_instance_state *state);

/* gateway_status.c: status queries and the age of the view.  */
void gw_record_report (struct gw_instance *instance,
                       const struct db_report *report);
void gw_status_start (struct gw_instance *instance);
void gw_status_poll_soon (struct gw_instance *instance);
void gw_status_stop (struct gw_instance *instance);
clk_ms gw_view_age (const struct gateway *gateway);
bool gw_view_is_recent (const struct gateway *gateway);

/* gateway_tx.c: interactive transactions.  */
void gw_tx_begin (struct gw_job *job);
void gw_tx_submit (struct gw_job *job, uint64_t id);
void gw_tx_opened (struct gw_job *job, struct pool_conn *conn);
void gw_tx_end (struct gw_tx *tx, bool lost);
void gw_tx_sweep (struct gateway *gateway);
uint32_t gw_tx_count (const struct gw_instance *instance);
void gw_on_heartbeat (void *arg, uint64_t call, const peer_message *message);

#endif
