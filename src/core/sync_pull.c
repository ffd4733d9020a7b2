#include "core/sync_pull.h"

#include <stdlib.h>

#include "kernel/mem.h"

/* Time for which the first parent may hold a pull.  */
#define WAIT_MS 1000

/* Added to the wait of a pull to give its timeout.  */
#define TIMEOUT_MARGIN_MS 500

/* Delay of the next pull after a successful one.  */
#define MIN_INTERVAL_MS 10

/* Wait of pulls from a parent other than the first, and the time after which
   the first one is tried again.  Both are short, so that this host soon
   returns to the first parent or soon suspects it.  */
#define FALLBACK_WAIT_MS 300
#define FALLBACK_SPAN_MS 500

/* While the view is older than STALE_MS, another parent, whose view may be
   more recent, is tried every STALE_RETRY_MS.  */
#define STALE_MS 4000
#define STALE_RETRY_MS 3000

/* Range of the backoff after all parents have failed.  */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 3000

/* Consecutive rounds in which all parents fail, after which the host reads the
   platform itself.  */
#define FAILED_ROUNDS_MAX 3

struct sync_pull
{
  struct sync_state *state;
  struct sync_tree *tree;
  struct peers *peers;
  void (*changed) (void *);
  void *arg;
  bool running;
  bool exhausted;
  bool parent_answered; /* since it was chosen */
  size_t parent;        /* index into the tree's parents */
  clk_ms parent_since_ms;
  clk_ms stale_retry_ms;
  size_t alternative;      /* last one tried because of a stale view */
  clk_ms failing_since_ms; /* CLK_NEVER if the last pull succeeded */
  uint32_t failed_rounds;  /* consecutive, all parents failed */
  uint64_t call;
  clk_ms sent_ms;
  struct ktimer timer;
};

static void
schedule (struct sync_pull *pull, clk_ms delay_ms)
{
  if (pull->running)
    kernel_timer_set (pull->state->kernel, &pull->timer,
                      kernel_now (pull->state->kernel) + delay_ms);
}

static void
choose_parent (struct sync_pull *pull, size_t parent)
{
  pull->parent = parent;
  pull->parent_since_ms = kernel_now (pull->state->kernel);
  pull->parent_answered = false;
}

/* Schedules the next round with exponential backoff and full jitter.  */
static void
round_failed (struct sync_pull *pull)
{
  uint32_t shift = pull->failed_rounds < 5 ? pull->failed_rounds : 5;
  clk_ms span_ms = RETRY_MIN_MS << shift;
  if (span_ms > RETRY_MAX_MS)
    span_ms = RETRY_MAX_MS;
  pull->failed_rounds++;
  pull->exhausted = pull->failed_rounds >= FAILED_ROUNDS_MAX;
  choose_parent (pull, 0);
  schedule (pull, 1
                      + (clk_ms)rng_below (kernel_rng (pull->state->kernel),
                                           (uint64_t)span_ms));
  pull->changed (pull->arg);
}

static void
pull_failed (struct sync_pull *pull)
{
  if (pull->failing_since_ms == CLK_NEVER)
    pull->failing_since_ms = pull->sent_ms;
  choose_parent (pull, pull->parent + 1);
  if (pull->parent >= pull->tree->parent_count)
    round_failed (pull);
  else
    schedule (pull, 0);
}

/* Switches to the next of the other parents, in rotation.  */
static void
try_alternative (struct sync_pull *pull, clk_ms now_ms)
{
  pull->stale_retry_ms = now_ms + STALE_RETRY_MS;
  pull->alternative++;
  if (pull->tree->parent_count > 1)
    choose_parent (pull,
                   1 + pull->alternative % (pull->tree->parent_count - 1));
}

static void
pull_succeeded (struct sync_pull *pull)
{
  clk_ms now_ms = kernel_now (pull->state->kernel);
  pull->failing_since_ms = CLK_NEVER;
  pull->exhausted = false;
  pull->failed_rounds = 0;
  pull->parent_answered = true;
  bool stale = pull->state->terms_ms < now_ms - STALE_MS;
  if (stale && now_ms >= pull->stale_retry_ms)
    try_alternative (pull, now_ms);
  else if (pull->parent > 0
           && now_ms - pull->parent_since_ms > FALLBACK_SPAN_MS)
    choose_parent (pull, 0);
  if (pull->parent >= pull->tree->parent_count)
    choose_parent (pull, 0);
  schedule (pull, MIN_INTERVAL_MS);
  pull->changed (pull->arg);
}

static void
pull_done (void *arg, enum peer_status status, const peer_message *reply)
{
  struct sync_pull *pull = arg;
  pull->call = 0;
  if (status != PEER_OK || reply->body.kind != PEER_KIND_UPDATE)
    {
      pull_failed (pull);
      return;
    }
  sync_update_apply (pull->state, &reply->body.peer_body_u.update,
                     pull->sent_ms, reply->from.host);
  pull_succeeded (pull);
}

static void
pull_fire (void *arg)
{
  struct sync_pull *pull = arg;
  struct sync_state *state = pull->state;
  if (!pull->running || pull->call != 0)
    return;
  if (sync_tree_refresh (pull->tree))
    choose_parent (pull, 0);
  if (pull->parent >= pull->tree->parent_count)
    {
      round_failed (pull);
      return;
    }
  /* The first pull from a parent does not wait, so that a parent that does
     not answer is detected soon.  */
  clk_ms wait_ms = pull->parent == 0 ? WAIT_MS : FALLBACK_WAIT_MS;
  if (!pull->parent_answered || !sync_state_ready (state))
    wait_ms = 0;
  peer_body body = {
    .kind = PEER_KIND_PULL,
    .peer_body_u.pull = { .config_revision = state->store.revision,
                          .terms_index = state->terms_index,
                          .hosts_index = state->hosts.index,
                          .wait_ms = wait_ms },
  };
  pull->sent_ms = kernel_now (state->kernel);
  pull->call
      = peers_call (pull->peers, &pull->tree->parents[pull->parent], &body,
                    wait_ms + TIMEOUT_MARGIN_MS, pull_done, pull);
}

struct sync_pull *
sync_pull_new (struct sync_state *state, struct sync_tree *tree,
               struct peers *peers, void (*changed) (void *), void *arg)
{
  struct sync_pull *pull = mem_zalloc (sizeof *pull);
  pull->state = state;
  pull->tree = tree;
  pull->peers = peers;
  pull->changed = changed;
  pull->arg = arg;
  pull->failing_since_ms = CLK_NEVER;
  pull->timer.fire = pull_fire;
  pull->timer.arg = pull;
  return pull;
}

void
sync_pull_free (struct sync_pull *pull)
{
  if (pull == NULL)
    return;
  sync_pull_set_running (pull, false);
  free (pull);
}

void
sync_pull_set_running (struct sync_pull *pull, bool running)
{
  if (pull->running == running)
    return;
  pull->running = running;
  if (running)
    {
      schedule (pull, 0);
      return;
    }
  kernel_timer_cancel (pull->state->kernel, &pull->timer);
  if (pull->call != 0)
    peers_cancel (pull->peers, pull->call);
  pull->call = 0;
  choose_parent (pull, 0);
  pull->failed_rounds = 0;
  pull->exhausted = false;
  pull->failing_since_ms = CLK_NEVER;
}

clk_ms
sync_pull_failing_ms (const struct sync_pull *pull)
{
  if (pull->failing_since_ms == CLK_NEVER)
    return 0;
  return kernel_now (pull->state->kernel) - pull->failing_since_ms;
}

bool
sync_pull_exhausted (const struct sync_pull *pull)
{
  return pull->exhausted;
}
