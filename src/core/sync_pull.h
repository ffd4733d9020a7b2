/* sync_pull - keeps this host's state up to date from another host, its parent
   in the tree.

   Sends one pull at a time, a long poll that the parent answers when its
   state has changed.  If a parent fails or its view is stale, pulls from the
   next parent that the tree gives.  */

#ifndef SAVORYWAY_CORE_SYNC_PULL_H
#define SAVORYWAY_CORE_SYNC_PULL_H

#include "core/peers.h"
#include "core/sync_state.h"
#include "core/sync_tree.h"

struct sync_pull;

/* Calls CHANGED (ARG) after each answer and when all parents have failed.  */
struct sync_pull *sync_pull_new (struct sync_state *state,
                                 struct sync_tree *tree, struct peers *peers,
                                 void (*changed) (void *), void *arg);
void sync_pull_free (struct sync_pull *pull);

void sync_pull_set_running (struct sync_pull *pull, bool running);

/* Returns for how long pulls have failed; 0 if the last one succeeded or
   while not running.  */
clk_ms sync_pull_failing_ms (const struct sync_pull *pull);

/* Returns whether all parents have failed repeatedly since the last
   answer.  */
bool sync_pull_exhausted (const struct sync_pull *pull);

#endif
