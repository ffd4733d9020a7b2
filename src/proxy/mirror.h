/* mirror - follows the contents of the platform's store.

   Lists all keys page by page, then watches for changes with one call at a
   time, sent to the store or to the relay that this host follows.  If the
   store has compacted the history since the last known revision, the mirror
   lists all keys again; keys that are missing then count as removed.  Failed
   calls are retried without end.

   An open connection does not show that the store still serves a watch, so
   each watch waits for a limited time only: an answer without events confirms
   the contents, and a watch without an answer is replaced.

   If the store was restored from an older copy, which its era tells, the
   mirror also lists all keys again.  What was applied before may be newer than
   what the copy contains: subscribers must order the contents themselves where
   that matters.

   The revisions of this module are indices of platform_port.h: they order all
   states of the store.

   A host that starts lists a few keys first, which tell it the relays of its
   failure domain, and receives the others from one of these if it can: the
   listings of many hosts could fill the links to the store.

   Subscribers receive the items whose key begins with their prefix.

   Module name: "mirror".  */

#ifndef SAVORYWAY_PROXY_MIRROR_H
#define SAVORYWAY_PROXY_MIRROR_H

#include "kernel/kernel.h"
#include "port/platform_port.h"

/* The contents are confirmed after at most this part of the time within which
   a configuration must take effect, so that the rest is left to replace a
   watch that was lost.  */
#define MIRROR_WAIT_DIVISOR 2
/* Longest wait that the store allows.  */
#define MIRROR_WAIT_LIMIT_MS 30000
/* Added to the wait of a watch for its timeout.  */
#define MIRROR_WATCH_MARGIN_MS 500
#define MIRROR_CALL_TIMEOUT_MS 1200
/* Added to the wait for the age up to which the contents count as current: the
   timeout of a lost watch, and time for the answer to the next one.  */
#define MIRROR_CURRENT_MARGIN_MS 800
/* Limits of the exponential backoff.  Refused calls have a cost too, so the
   upper limit can't be much shorter.  */
#define MIRROR_RETRY_FIRST_MS 60
#define MIRROR_RETRY_LAST_MS 350

/* Until the first listing is complete no caller can be served, so its calls
   are repeated sooner: one without an answer after this time, as a slow store
   answers after 240 ms, and a refused one after at most the other time.  Each
   is lengthened at random, by up to the jitter.  */
#define MIRROR_START_TIMEOUT_MS 300
#define MIRROR_START_RETRY_MS 200
#define MIRROR_START_JITTER_MS 60
/* After this many calls without an answer, 1.5 s, the timeout grows by half
   with each further one, up to MIRROR_CALL_TIMEOUT_MS.  */
#define MIRROR_START_QUICK_CALLS 5

/* Hosts that start together, as when a fleet is installed, have registered
   within about this time.  */
#define MIRROR_REGISTER_MS 150
/* A host that starts waits for a relay that starts too for at most this
   time, then it lists the store itself.  */
#define MIRROR_START_FOLLOW_MS 3000
/* How long such a relay holds a call, and how long a relay may take to begin a
   reply: all hosts of its failure domain may ask it at once.  */
#define MIRROR_START_HOLD_MS 200
#define MIRROR_START_REPLY_MS 700

/* Delay between a listing or a change and the next watch, so that changes in
   quick succession cost one call.  It is well below the time within which a
   configuration must take effect.  */
#define MIRROR_WATCH_DELAY_MS 1500
/* Shorter for a relay, since other hosts depend on it; a failure domain has
   few relays.  */
#define MIRROR_RELAY_WATCH_DELAY_MS 400
/* Upper limit while this host waits for a change.  */
#define MIRROR_EAGER_WATCH_DELAY_MS 200

/* Within this time of a change a pending watch has delivered it.  */
#define MIRROR_DELIVERY_MS 500
/* Within this time of a restoration of the store, what it has lost is written
   again.  */
#define MIRROR_REWRITTEN_MS 2500
/* Added to the wait of a call to a relay for its timeout.  */
#define MIRROR_FOLLOW_MARGIN_MS 300

/* Time within which the watch must deliver a write of this host.  */
#define MIRROR_OWN_WRITE_WAIT_MS 2000

/* Time within which a pending watch must deliver the changes that another
   host has seen.  */
#define MIRROR_PEER_REVISION_WAIT_MS 400

#define MIRROR_SUBSCRIBERS 8

/* With a limit on the age of the contents: what remains of it for the way to
   the store and back, and for a busy host.  Measured round trips are 8 ms, and
   hosts with 0.1 of a core are late by some 100 ms.  */
#define MIRROR_AGE_MARGIN_MS 200
/* Shortest interval of confirmations, whatever the limit is.  */
#define MIRROR_CONFIRM_MIN_MS 100
/* How long the relay that refused a dated call is sent calls of the earlier
   kind, which confirm nothing.  */
#define MIRROR_UNDATED_MS 30000

/* The first era of a store, in which it was never restored.  */
#define MIRROR_FIRST_ERA 1

/* Callbacks of a subscriber; all may be NULL.  ITEM and REMOVED are either
   both set or both NULL.  */
struct mirror_events
{
  const char *prefix;
  /* One subscriber has this: its keys are listed first when a host starts.
     Called after that.  Returns false if hosts that started with this one may
     be missing: then the keys are listed once more.  */
  bool (*listed_first) (void *arg);
  void (*item) (void *arg, const struct platform_item *item);
  void (*removed) (void *arg, const char *key, uint64_t revision);
  /* Called before and after a full listing.  */
  void (*begin_list) (void *arg);
  void (*end_list) (void *arg, uint64_t revision);
  /* Called when the items of one reply have been applied, but not between the
     pages of a listing.  */
  void (*applied) (void *arg);
  /* Called when the store becomes reachable or unreachable.  */
  void (*reachable_changed) (void *arg, bool reachable);
  void *arg;
};

struct mirror;

/* APPLY_MS is the time within which a configuration must take effect.  AGE_MS
   is the age (see mirror_confirmed_ms) that the contents stay below while
   nothing is disturbed; 0: no limit.  */
struct mirror *mirror_new (struct platform_port *port, clk_ms apply_ms,
                           clk_ms age_ms);
struct module *mirror_module (struct mirror *mirror);

/* Adds a subscriber, of at most MIRROR_SUBSCRIBERS.  Copies EVENTS, but not
   the text of its prefix.  To be called when modules start.  */
void mirror_subscribe (struct mirror *mirror,
                       const struct mirror_events *events);

/* Sets whether this host needs changes without delay.  It then watches the
   store itself instead of following a relay.  */
void mirror_set_immediate (struct mirror *mirror, bool immediate);

/* Sets whether this host waits for a change, and asks for changes sooner.  */
void mirror_set_eager (struct mirror *mirror, bool eager);

/* Notes a write of this host at REVISION.  A watch that does not deliver it
   within MIRROR_OWN_WRITE_WAIT_MS is considered lost, and is restarted.  */
void mirror_expect (struct mirror *mirror, uint64_t revision);

/* Returns the store revision up to which changes have been applied.  */
uint64_t mirror_revision (const struct mirror *mirror);

/* What a host knows of its own contents, for logs and reports.  */
struct mirror_state
{
  uint64_t revision;      /* of the store, without its era */
  int64_t heard_ms_ago;   /* since the contents were last confirmed; -1: never
                           */
  const char *heard_from; /* "store" or the name of a relay; "" if never */
};

struct mirror_state mirror_state (const struct mirror *mirror);

/* Returns the time before which every change that the store acknowledged is in
   the contents of this host; CLK_LONG_AGO if that was never so.  Never too
   late (see mirror_age.h).  */
clk_ms mirror_confirmed_ms (const struct mirror *mirror);

/* The same for the present contents of the store, which after a restoration
   may lack changes that the subscribers of this host still know.  */
clk_ms mirror_confirmed_in_era_ms (const struct mirror *mirror);

/* For the callbacks item and removed: returns the time after which the change
   was made, as far as this host can tell; CLK_LONG_AGO for the first listing.
 */
clk_ms mirror_changed_after_ms (const struct mirror *mirror);

/* Notes the ERA of a reply to a call of another module.  */
void mirror_note_era (struct mirror *mirror, uint64_t era);

/* Notes that another host has seen the store at REVISION.  A watch that does
   not reach it within MIRROR_PEER_REVISION_WAIT_MS is restarted.  */
void mirror_set_peer_revision (struct mirror *mirror, uint64_t revision);

/* Returns whether a call to a relay is in flight.  */
bool mirror_follows_relay (const struct mirror *mirror);

/* Returns whether that relay is HOST.  */
bool mirror_follows (const struct mirror *mirror, const char *host);

/* Asks for changes now if the next call is delayed, and returns whether it
   was. Subscribers are told when the changes have been applied.  */
bool mirror_check_now (struct mirror *mirror);

/* Replaces the watch, which may have been lost, by one that does not wait,
   unless its response is arriving.  If it fails too, the store counts as
   unreachable.  */
void mirror_restart_watch (struct mirror *mirror);

/* Lists all keys again; if called by a subscriber, once the present reply has
   been delivered.  */
void mirror_restart_list (struct mirror *mirror);

/* Returns the time at which a response of the store, or a part of one, was
   last seen to have arrived at the mirror.  */
clk_ms mirror_store_heard_ms (struct mirror *mirror);

/* Returns whether a full listing has been applied.  */
bool mirror_complete (const struct mirror *mirror);

/* Returns whether the contents have been confirmed so recently that a change
   would be in force in time.  */
bool mirror_current (const struct mirror *mirror);

/* Returns whether the store, or the relay in its place, answers.  */
bool mirror_store_reachable (const struct mirror *mirror);

#endif
