#include "core/sync_serve.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "kernel/mem.h"

/* Maximum number of hosts served; pulls of further ones are refused.  */
#define CHILDREN_MAX 4096

/* Longest time for which a pull is held, whatever wait it requests.  */
#define WAIT_MAX_MS 10000

/* Minimum interval between two answers with changes to one host.  */
#define CHANGES_INTERVAL_MS 100

/* A held pull is also answered once the view was refreshed by this much since
   the last answer, so that the waits of the levels of the tree do not add up
   to a stale view.  With more than LARGE_HOSTS hosts the interval is longer,
   to save traffic.  */
#define REFRESH_MS 400
#define REFRESH_LARGE_MS 900
#define LARGE_HOSTS 64

/* Time since its last pull after which a host is no longer a child.  */
#define CHILD_EXPIRY_MS 4000

/* Interval at which expired children are removed.  */
#define SWEEP_INTERVAL_MS 2000

struct child
{
  struct sync_serve *serve;
  char host[NAME_BYTES];
  uint64_t incarnation;
  uint64_t answered_seq; /* seq of the state at the last answer */
  uint64_t answered_terms_index;
  clk_ms answered_terms_ms;
  clk_ms changes_sent_ms; /* of the last answer with changes */
  clk_ms arrived_ms;      /* of the last pull */
  uint64_t call;          /* held pull; 0 if none */
  peer_pull pull;
  clk_ms wait_until_ms;
  struct ktimer timer;
  UT_hash_handle hh;
};

struct sync_serve
{
  struct sync_state *state;
  struct peers *peers;
  struct child *children;
  struct ktimer sweep;
};

static bool
has_changes (const struct child *child)
{
  const struct sync_state *state = child->serve->state;
  return state->store.revision > child->pull.config_revision
         || state->hosts.change_index > child->pull.hosts_index
         || state->seq > child->answered_seq
         /* The last answer was lost.  */
         || child->pull.terms_index < child->answered_terms_index
         || (child->pull.terms_index == 0 && state->terms_index > 0);
}

static bool
needs_refresh (const struct child *child)
{
  const struct sync_state *state = child->serve->state;
  bool large = members_count (state->members) > LARGE_HOSTS;
  return state->terms_ms
         >= child->answered_terms_ms + (large ? REFRESH_LARGE_MS : REFRESH_MS);
}

static void
answer_pull (struct child *child)
{
  struct sync_state *state = child->serve->state;
  peer_body body = { .kind = PEER_KIND_UPDATE };
  peer_update *update = &body.peer_body_u.update;
  clk_ms now_ms = kernel_now (state->kernel);
  uint64_t call = child->call;
  sync_update_build (state, &child->pull, child->answered_seq, update);
  /* The receiver counts the age from the time at which it sent the pull, so
     the time for which the pull was held is not part of it.  */
  update->view_age_ms -= now_ms - child->arrived_ms;
  if (has_changes (child))
    child->changes_sent_ms = now_ms;
  child->answered_seq = state->seq;
  child->answered_terms_index = update->terms_index;
  child->answered_terms_ms = state->terms_ms;
  child->call = 0;
  kernel_timer_cancel (state->kernel, &child->timer);
  peers_reply (child->serve->peers, call, &body);
  sync_update_clear (update);
}

/* Answers the held pull of CHILD if due, or else sets its timer.  */
static void
answer_or_wait (struct child *child)
{
  struct kernel *kernel = child->serve->state->kernel;
  clk_ms now_ms = kernel_now (kernel);
  clk_ms due_ms = child->wait_until_ms;
  if (child->call == 0)
    return;
  if (has_changes (child)
      && child->changes_sent_ms + CHANGES_INTERVAL_MS < due_ms)
    due_ms = child->changes_sent_ms + CHANGES_INTERVAL_MS;
  if (due_ms <= now_ms || needs_refresh (child))
    answer_pull (child);
  else
    kernel_timer_set (kernel, &child->timer, due_ms);
}

static void
child_fire (void *arg)
{
  answer_or_wait (arg);
}

static struct child *
child_get (struct sync_serve *serve, const peer_identity *from)
{
  struct child *child = NULL;
  size_t length = strlen (from->host);
  if (length == 0 || length >= NAME_BYTES)
    return NULL;
  HASH_FIND (hh, serve->children, from->host, length, child);
  if (child == NULL)
    {
      if (HASH_COUNT (serve->children) >= CHILDREN_MAX)
        return NULL;
      child = mem_zalloc (sizeof *child);
      child->serve = serve;
      memcpy (child->host, from->host, length);
      child->changes_sent_ms = INT64_MIN / 2;
      child->answered_terms_ms = INT64_MIN / 2;
      child->timer.fire = child_fire;
      child->timer.arg = child;
      HASH_ADD (hh, serve->children, host, length, child);
    }
  if (child->incarnation != from->incarnation)
    child->answered_seq = child->answered_terms_index = 0;
  child->incarnation = from->incarnation;
  return child;
}

static void
child_free (struct child *child)
{
  HASH_DEL (child->serve->children, child);
  kernel_timer_cancel (child->serve->state->kernel, &child->timer);
  free (child);
}

static void
refuse (struct sync_serve *serve, uint64_t call)
{
  peer_body body = { .kind = PEER_KIND_REFUSED };
  peers_reply (serve->peers, call, &body);
}

static void
handle_pull (void *arg, uint64_t call, const peer_message *message)
{
  struct sync_serve *serve = arg;
  struct sync_state *state = serve->state;
  struct child *child = child_get (serve, &message->from);
  if (child == NULL || !sync_state_ready (state))
    {
      refuse (serve, call);
      return;
    }
  if (child->call != 0)
    answer_pull (child);
  clk_ms wait_ms = message->body.peer_body_u.pull.wait_ms;
  if (wait_ms > WAIT_MAX_MS)
    wait_ms = WAIT_MAX_MS;
  child->call = call;
  child->pull = message->body.peer_body_u.pull;
  child->arrived_ms = kernel_now (state->kernel);
  child->wait_until_ms = child->arrived_ms + wait_ms;
  /* A starting host has no state: it is sent everything, without a wait for
     the next change.  */
  if (child->pull.hosts_index == 0)
    child->answered_seq = child->answered_terms_index = 0;
  answer_or_wait (child);
}

void
sync_serve_changed (struct sync_serve *serve)
{
  struct child *child, *next;
  HASH_ITER (hh, serve->children, child, next) { answer_or_wait (child); }
}

static void
sweep (void *arg)
{
  struct sync_serve *serve = arg;
  struct kernel *kernel = serve->state->kernel;
  clk_ms now_ms = kernel_now (kernel);
  struct child *child, *next;
  HASH_ITER (hh, serve->children, child, next)
  {
    if (child->call == 0 && now_ms - child->arrived_ms > CHILD_EXPIRY_MS)
      child_free (child);
  }
  kernel_timer_set (kernel, &serve->sweep, now_ms + SWEEP_INTERVAL_MS);
}

struct sync_serve *
sync_serve_new (struct sync_state *state, struct peers *peers)
{
  struct sync_serve *serve = mem_zalloc (sizeof *serve);
  serve->state = state;
  serve->peers = peers;
  serve->sweep.fire = sweep;
  serve->sweep.arg = serve;
  peers_register_handler (peers, PEER_KIND_PULL, handle_pull, serve);
  kernel_timer_set (state->kernel, &serve->sweep,
                    kernel_now (state->kernel) + SWEEP_INTERVAL_MS);
  return serve;
}

void
sync_serve_free (struct sync_serve *serve)
{
  if (serve == NULL)
    return;
  struct child *child, *next;
  HASH_ITER (hh, serve->children, child, next) { child_free (child); }
  kernel_timer_cancel (serve->state->kernel, &serve->sweep);
  free (serve);
}

size_t
sync_serve_children (const struct sync_serve *serve)
{
  return HASH_COUNT (serve->children);
}

void
sync_serve_each (struct sync_serve *serve,
                 void (*fn) (void *arg, const char *host, uint64_t revision),
                 void *arg)
{
  for (struct child *c = serve->children; c != NULL; c = c->hh.next)
    fn (arg, c->host, c->pull.config_revision);
}
