/* Messages between hosts.  Compiled by rpcgen; the output is committed.

   Two versions run side by side during a rolling replacement of hosts.  A
   host refuses calls of a procedure or message kind that it does not know, in
   an authentic reply, so the caller knows that they were not processed.  The
   structs of existing kinds must not change: new fields go into new kinds or
   procedures.  */

const PEER_NAME_LIMIT = 256;
const PEER_TEXT_LIMIT = 1048576;
const PEER_RESULT_LIMIT = 16777216;
const PEER_PARAM_LIMIT = 256;
const PEER_BATCH_LIMIT = 16384;

typedef string peer_name<PEER_NAME_LIMIT>;

struct peer_param {
  bool is_null;
  string text<PEER_TEXT_LIMIT>;
};

/* The sender of a message.  Every message starts with it.  It is trusted,
   since records are authenticated with the secret shared by the hosts; see
   rpc_message.h.  */
struct peer_identity {
  peer_name host;
  peer_name domain;
  unsigned hyper incarnation;
};

enum peer_action {
  PEER_STATEMENT = 0,
  PEER_BEGIN = 1,
  PEER_IN_TRANSACTION = 2,
  PEER_COMMIT = 3,
  PEER_ROLLBACK = 4,
  PEER_LOOKUP = 5
};

/* A request forwarded to the gateway of an instance.  */
struct peer_execute {
  peer_name database;
  peer_name instance;
  peer_name kind;
  peer_name request_id;
  peer_action action;
  unsigned hyper transaction;
  unsigned hyper min_term;
  unsigned hyper min_lsn;
  hyper deadline_ms;
  hyper max_age_ms;
  bool read_only;
  string statement<PEER_TEXT_LIMIT>;
  peer_param params<PEER_PARAM_LIMIT>;
};

/* State of an instance as its gateway last observed it.  */
struct peer_instance_state {
  peer_name instance;
  unsigned hyper term;
  bool primary;
  bool reachable;
  unsigned hyper replayed_lsn;
  hyper lag_ms;
  unsigned int queued;
};

/* Reply to peer_execute.  */
struct peer_executed {
  int outcome;
  int reason;
  unsigned hyper term;
  unsigned hyper lsn;
  unsigned hyper transaction;
  hyper retry_after_ms;
  bool on_primary;
  peer_instance_state states<PEER_BATCH_LIMIT>;
  peer_name sqlstate;
  string message<PEER_TEXT_LIMIT>;
  opaque payload<PEER_RESULT_LIMIT>;
};

/* Sent by an entry host to a gateway with open transactions of it, and without
   transactions to probe a gateway.  If leaving is set, the sender is shutting
   down.  The gateway rolls back transactions whose entry host sends nothing
   for too long.  The reply has those of the transactions that are still open,
   and the states of the gateway's instances.  */
struct peer_heartbeat {
  unsigned hyper revision;
  bool leaving;
  unsigned hyper transactions<PEER_BATCH_LIMIT>;
  peer_instance_state instances<PEER_BATCH_LIMIT>;
};

/* Whether the sender suspects PRIMARY, the primary of TERM, of having failed;
   the request asks the receiver for the same.  */
struct peer_suspicion {
  peer_name database;
  unsigned hyper term;
  peer_name primary;
  bool suspected;
};

/* Requests from a relay the changes after the given revisions.  The reply is
   delayed up to wait_ms while there are none.  */
struct peer_pull {
  unsigned hyper config_revision;
  unsigned hyper terms_index;
  unsigned hyper hosts_index;
  hyper wait_ms;
};

struct peer_entry {
  peer_name key;
  unsigned hyper revision;
  bool erased;
  opaque value<PEER_TEXT_LIMIT>;
};

struct peer_host {
  peer_name name;
  peer_name address;
  unsigned int port;
  peer_name domain;
  unsigned hyper incarnation;
  bool leaving;
  bool removed;
};

/* Reply to peer_pull: the changes after its revisions.  If config_full or
   hosts_full is set, that list is complete and replaces the receiver's.  */
struct peer_update {
  unsigned hyper config_revision;
  unsigned hyper terms_index;
  unsigned hyper hosts_index;
  hyper view_age_ms;
  bool config_full;
  bool hosts_full;
  peer_entry config<PEER_BATCH_LIMIT>;
  peer_entry terms<PEER_BATCH_LIMIT>;
  peer_host hosts<PEER_BATCH_LIMIT>;
};

/* Number of hosts by configuration revision, as counted by a relay.  The
   request has no entries.  */
struct peer_census_entry {
  unsigned hyper revision;
  unsigned int hosts;
};

struct peer_census {
  peer_census_entry revisions<PEER_BATCH_LIMIT>;
};

const PEER_VALUES_LIMIT = 64;

/* A value of a caller's session.  */
struct peer_value {
  string name<PEER_TEXT_LIMIT>;
  string text<PEER_TEXT_LIMIT>;
};

/* A statement of a caller's session, forwarded to a host with connections to
   the instances of its group, with all state of the session that it depends
   on.  */
struct peer_forward {
  unsigned hyper number; /* of the statement or transaction; chosen by the
                            sender */
  bool in_transaction;
  bool begins;    /* first statement of the transaction */
  bool read_only; /* likewise */
  bool may_wait;  /* the receiver may let it wait for a primary */
  peer_name database;
  peer_name group;
  unsigned int route_kind;
  unsigned int priority;
  hyper timeout_ms; /* time left of it */
  hyper target_ms;  /* likewise */
  hyper max_staleness_ms;
  hyper session_age_ms;
  hyper transaction_age_ms;
  unsigned hyper own_term;
  unsigned hyper own_lsn;
  peer_value values<PEER_VALUES_LIMIT>;
  unsigned int kind;
  unsigned int prepared_kind;
  string id<PEER_TEXT_LIMIT>;
  string text<PEER_TEXT_LIMIT>;
  string name<PEER_TEXT_LIMIT>;
  string shape<PEER_TEXT_LIMIT>;
  string rest<PEER_TEXT_LIMIT>;
};

/* Reply to peer_forward: the outcome of the statement.  */
struct peer_forwarded {
  unsigned int code;
  bool overloaded; /* refused, since too many statements wait for the group's
                      instances */
  string reason<PEER_TEXT_LIMIT>;
  opaque answer<PEER_RESULT_LIMIT>;
  peer_name instance;
  unsigned hyper own_term;
  unsigned hyper own_lsn;
};

/* Requests from a relay the changes of the store after REVISION.  The reply is
   delayed up to wait_ms while there are none.  */
struct peer_follow {
  unsigned hyper revision;
  hyper wait_ms;
};

struct peer_item {
  peer_name key;
  unsigned hyper revision;
  unsigned hyper created;
  bool removed;
  opaque value<PEER_TEXT_LIMIT>;
};

/* Reply to peer_follow: all changes up to REVISION.  If all is set, the items
   are the whole content of the store, and keys that are not listed have been
   deleted.  */
struct peer_followed {
  unsigned hyper revision;
  bool all;
  bool reached; /* the relay reaches the store */
  peer_item items<PEER_BATCH_LIMIT>;
};

/* The only instance of a group that may be used as its primary, since change
   NUMBER; none while the group is closed.  */
struct peer_permit_group {
  peer_name group;
  peer_name instance;
  unsigned hyper number;
  bool closed;
};

/* Sent by the holder of the promotion duty: the receiver may use primaries for
   a fixed time from STAMP, which is the time on its own clock that it sent
   with its last reply.  PROCESS, of that reply too, tells whether the receiver
   has been restarted since; 0: no reply yet.  GROUPS is the table of the
   holder, or empty if the receiver has it.  */
struct peer_permit {
  unsigned hyper token; /* fencing token of the holder */
  unsigned hyper process;
  hyper stamp;
  unsigned hyper table_version;
  bool has_groups;
  peer_permit_group groups<PEER_BATCH_LIMIT>;
};

/* Reply to peer_permit.  */
struct peer_permitted {
  unsigned hyper token; /* the highest that the receiver has seen */
  unsigned hyper process;
  hyper stamp;
  unsigned hyper table_version; /* that it obeys; 0: none of TOKEN */
  /* If the receiver held the duty before: its token then, and the time until
     all permissions that it had not renewed itself have ended.  */
  unsigned hyper held_token;
  hyper inherited_ms;
};

/* peer_forward for a caller of WORKSPACE, on whose connections the statement
   runs.  */
struct peer_forward_as {
  peer_name workspace;
  peer_forward forward;
};

/* Requests operations of WORKSPACE's rate limit from the owner of one of the
   parts that the limit is divided into.  RETURNED operations of the sender's
   last grant of that part were not used.  */
struct peer_allowance {
  peer_name workspace;
  unsigned int part;
  unsigned int wanted;
  unsigned int returned;
};

/* Reply to peer_allowance.  GRANTED operations may start within valid_ms of
   sending the request.  If there are none, more are not available before
   retry_after_ms.  */
struct peer_allowed {
  bool owner; /* the receiver owns that part now */
  unsigned int granted;
  hyper valid_ms;
  hyper retry_after_ms;
};

/* Sent by a host that has become the owner of a part of WORKSPACE's rate limit
   by joining, to the host that would own the part without it.  The receiver
   stops granting operations of that part.  If it has joined lately too, it
   sends the same to the next host before it answers; HOPS counts those.  */
struct peer_takeover {
  peer_name workspace;
  unsigned int part;
  unsigned int hops;
};

/* Reply to peer_takeover.  No other host that the receiver knows of grants
   operations of that part after WAIT_MS.  If the reply is not FINAL, the
   receiver will know more soon.  */
struct peer_yielded {
  hyper wait_ms;
  bool final;
};

/* Reply to a peer_follow of the kind PEER_KIND_FOLLOW_DATED.  The contents of
   the relay were confirmed AGE_MS before it sent this reply; negative: never.
   It held the request for HELD_MS.  */
struct peer_followed_dated {
  peer_followed followed;
  hyper age_ms;
  hyper held_ms;
};

enum peer_kind {
  PEER_KIND_NONE = 0,
  PEER_KIND_EXECUTE = 1,
  PEER_KIND_EXECUTED = 2,
  PEER_KIND_HEARTBEAT = 3,
  PEER_KIND_SUSPICION = 4,
  PEER_KIND_PULL = 5,
  PEER_KIND_UPDATE = 6,
  PEER_KIND_REFUSED = 7, /* reply: not handled, since the sender is not a
                            known member or the receiver lacks the kind */
  PEER_KIND_CENSUS = 8,
  PEER_KIND_FORWARD = 9,
  PEER_KIND_FORWARDED = 10,
  PEER_KIND_FOLLOW = 11,
  PEER_KIND_FOLLOWED = 12,
  PEER_KIND_PERMIT = 13,
  PEER_KIND_PERMITTED = 14,
  PEER_KIND_FORWARD_AS = 15, /* answered by PEER_KIND_FORWARDED */
  PEER_KIND_ALLOWANCE = 16,
  PEER_KIND_ALLOWED = 17,
  PEER_KIND_FOLLOW_DATED = 18,
  PEER_KIND_FOLLOWED_DATED = 19,
  PEER_KIND_TAKEOVER = 20,
  PEER_KIND_YIELDED = 21
};

union peer_body switch (peer_kind kind) {
case PEER_KIND_EXECUTE:
  peer_execute execute;
case PEER_KIND_EXECUTED:
  peer_executed executed;
case PEER_KIND_HEARTBEAT:
  peer_heartbeat heartbeat;
case PEER_KIND_SUSPICION:
  peer_suspicion suspicion;
case PEER_KIND_PULL:
  peer_pull pull;
case PEER_KIND_UPDATE:
  peer_update update;
case PEER_KIND_CENSUS:
  peer_census census;
case PEER_KIND_FORWARD:
  peer_forward forward;
case PEER_KIND_FORWARDED:
  peer_forwarded forwarded;
case PEER_KIND_FOLLOW:
  peer_follow follow;
case PEER_KIND_FOLLOWED:
  peer_followed followed;
case PEER_KIND_PERMIT:
  peer_permit permit;
case PEER_KIND_PERMITTED:
  peer_permitted permitted;
case PEER_KIND_FORWARD_AS:
  peer_forward_as forward_as;
case PEER_KIND_ALLOWANCE:
  peer_allowance allowance;
case PEER_KIND_ALLOWED:
  peer_allowed allowed;
case PEER_KIND_FOLLOW_DATED:
  peer_follow follow_dated;
case PEER_KIND_FOLLOWED_DATED:
  peer_followed_dated followed_dated;
case PEER_KIND_TAKEOVER:
  peer_takeover takeover;
case PEER_KIND_YIELDED:
  peer_yielded yielded;
case PEER_KIND_REFUSED:
  void;
case PEER_KIND_NONE:
  void;
};

struct peer_message {
  peer_identity from;
  peer_body body;
};

program SAVORYWAY_PEER {
  version SAVORYWAY_PEER_V1 {
    peer_message PEER_CALL(peer_message) = 1;
  } = 1;
} = 0x20534157;
