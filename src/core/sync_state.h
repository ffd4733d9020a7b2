/* sync_state - the replicated state of a host, and its exchange with others.

   Comprises the configuration, the list of hosts, the leaving marks and the
   index up to which the term records are known.  Builds updates for other
   hosts from it and applies theirs to it.  */

#ifndef SAVORYWAY_CORE_SYNC_STATE_H
#define SAVORYWAY_CORE_SYNC_STATE_H

#include "core/sync_hosts.h"
#include "core/sync_store.h"
#include "core/terms.h"
#include "port/peer.h"

/* Maximum number of leaving marks kept; the oldest is overwritten.  */
#define SYNC_MARKS_MAX 256

/* A leaving mark: a host has announced that it is leaving.  It reaches other
   hosts before the platform's list shows the same.  */
struct sync_leaving_mark
{
  char host[NAME_BYTES];
  uint64_t incarnation;
  uint64_t seq; /* 0: unused */
};

struct sync_state
{
  struct kernel *kernel;
  struct members *members;
  struct terms *terms;
  struct sync_store store;
  struct sync_hosts hosts;
  bool terms_known;
  uint64_t terms_index; /* all records up to this index are known */
  clk_ms terms_ms;      /* the records were certainly current at this time */
  uint64_t seq;         /* incremented for each new record or mark */
  size_t mark_next;     /* slot of the next mark */
  struct sync_leaving_mark marks[SYNC_MARKS_MAX];
};

void sync_state_init (struct sync_state *state, struct kernel *kernel,
                      struct view *view, struct members *members,
                      struct terms *terms);
void sync_state_clear (struct sync_state *state);

/* Returns whether configuration, hosts and terms have been received at least
   once.  */
bool sync_state_ready (const struct sync_state *state);

/* Records that all term records up to INDEX are known, as of AT_MS.  Neither
   value decreases.  */
void sync_state_set_terms_index (struct sync_state *state, uint64_t index,
                                 clk_ms at_ms);

/* Records that HOST of this incarnation has announced that it is leaving.
   Ignored if no such host is a member.  */
void sync_state_mark_leaving (struct sync_state *state, const char *host,
                              uint64_t incarnation);

/* Fills UPDATE with all state newer than that of PULL and the marks with a seq
   above MARK_SEQ.  STATE owns its strings; its arrays are freed by
   sync_update_clear.  */
void sync_update_build (struct sync_state *state, const peer_pull *pull,
                        uint64_t mark_seq, peer_update *update);
void sync_update_clear (peer_update *update);

/* Applies UPDATE, the answer of host SOURCE to a pull sent at SENT_MS.  */
void sync_update_apply (struct sync_state *state, const peer_update *update,
                        clk_ms sent_ms, const char *source);

/* Applies the term records and marks that a host pushed unrequested.  */
void sync_update_apply_push (struct sync_state *state,
                             const peer_update *update);

#endif
