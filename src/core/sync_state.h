/* sync_state - what this host knows of the system, and its exchange.

   Holds configuration, list of hosts, leaving marks and how far the term
   records are known, and turns them into updates for other hosts and back.  */

#ifndef SAVORYWAY_CORE_SYNC_STATE_H
#define SAVORYWAY_CORE_SYNC_STATE_H

#include "core/sync_hosts.h"
#include "core/sync_store.h"
#include "core/terms.h"
#include "port/peer.h"

#define SYNC_MARKS_MAX 256

/* A host that said of itself that it leaves.  */
struct sync_mark
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
  uint64_t terms_index; /* all records up to it are known */
  clk_ms terms_ms;      /* the records were surely current at this time */
  uint64_t seq;         /* rises with each new record or mark */
  size_t mark_next;
  struct sync_mark marks[SYNC_MARKS_MAX];
};

void sync_state_init (struct sync_state *state, struct kernel *kernel,
                      struct view *view, struct members *members,
                      struct terms *terms);
void sync_state_clear (struct sync_state *state);

/* Whether configuration, hosts and terms have been taken in once.  */
bool sync_state_ready (const struct sync_state *state);

/* Says that all term records up to INDEX are known, as of AT_MS.  */
void sync_state_set_terms_index (struct sync_state *state, uint64_t index,
                                 clk_ms at_ms);

/* Takes in that the host of this incarnation says it is leaving.  */
void sync_state_leaving (struct sync_state *state, const char *host,
                         uint64_t incarnation);

/* Fills UPDATE with what is newer than PULL, and marks above MARK_SEQ; its
   strings belong to STATE, its arrays are freed by sync_update_clear.  */
void sync_update_build (struct sync_state *state, const peer_pull *pull,
                        uint64_t mark_seq, peer_update *update);
void sync_update_clear (peer_update *update);

/* Takes in UPDATE, the answer to a pull sent at SENT_MS by host SOURCE.  */
void sync_update_apply (struct sync_state *state, const peer_update *update,
                        clk_ms sent_ms, const char *source);

/* Takes in the term records and marks that a host sent on its own.  */
void sync_update_apply_push (struct sync_state *state,
                             const peer_update *update);

#endif
