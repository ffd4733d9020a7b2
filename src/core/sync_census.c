#include "core/sync_census.h"

#include <stdlib.h>
#include <utlist.h>

#include "kernel/mem.h"

/* Time for the answers of relays; each level below has half of it.  */
#define ROOT_TIMEOUT_MS 2000

/* One count under way: for a caller (done) or for another host (call).  */
struct count
{
  struct sync_census *census;
  struct count *prev;
  struct count *next;
  uint64_t call;
  sync_count_done done;
  void *arg;
  size_t outstanding;
  size_t share_count;
  struct sync_revision_hosts *shares;
};

/* A question to one host; falls back to REVISION if it stays unanswered.  */
struct question
{
  struct count *count;
  uint64_t id;
  uint64_t revision;
  bool known; /* whether it has pulled from this host */
  struct question *prev;
  struct question *next;
};

struct sync_census
{
  struct sync_state *state;
  struct sync_tree *tree;
  struct sync_serve *serve;
  struct peers *peers;
  struct count *counts;
  struct question *questions;
};

static void
add_share (struct count *count, uint64_t revision, uint32_t hosts)
{
  for (size_t i = 0; i < count->share_count; i++)
    if (count->shares[i].revision == revision)
      {
        count->shares[i].hosts += hosts;
        return;
      }
  if (hosts == 0 || count->share_count == PEER_BATCH_LIMIT)
    return;
  count->shares = mem_resize (count->shares, (count->share_count + 1)
                                                 * sizeof *count->shares);
  count->shares[count->share_count++]
      = (struct sync_revision_hosts){ .revision = revision, .hosts = hosts };
}

static struct count *
count_new (struct sync_census *census)
{
  struct count *count = mem_zalloc (sizeof *count);
  count->census = census;
  count->outstanding = 1; /* until all questions are sent */
  DL_APPEND (census->counts, count);
  return count;
}

static void
count_free (struct count *count)
{
  DL_DELETE (count->census->counts, count);
  free (count->shares);
  free (count);
}

static int
by_falling_revision (const void *a, const void *b)
{
  uint64_t x = ((const struct sync_revision_hosts *)a)->revision;
  uint64_t y = ((const struct sync_revision_hosts *)b)->revision;
  return x < y ? 1 : x > y ? -1 : 0;
}

static void
send_answer (struct count *count)
{
  peer_body body = { .kind = PEER_KIND_CENSUS };
  peer_census *census = &body.peer_body_u.census;
  census->revisions.revisions_val
      = mem_zalloc (count->share_count * sizeof (peer_census_entry));
  census->revisions.revisions_len = (u_int)count->share_count;
  for (size_t i = 0; i < count->share_count; i++)
    census->revisions.revisions_val[i]
        = (peer_census_entry){ .revision = count->shares[i].revision,
                               .hosts = count->shares[i].hosts };
  peers_reply (count->census->peers, count->call, &body);
  free (census->revisions.revisions_val);
}

static void
call_done (struct count *count)
{
  uint32_t counted = 0;
  size_t members = members_count (count->census->state->members);
  for (size_t i = 0; i < count->share_count; i++)
    counted += count->shares[i].hosts;
  if (counted < members)
    add_share (count, 0, (uint32_t)(members - counted));
  if (count->share_count > 1)
    qsort (count->shares, count->share_count, sizeof *count->shares,
           by_falling_revision);
  count->done (count->arg, count->shares, count->share_count);
}

static void
release (struct count *count)
{
  if (--count->outstanding > 0)
    return;
  if (count->done != NULL)
    call_done (count);
  else
    send_answer (count);
  count_free (count);
}

static void
question_done (void *arg, enum peer_status status, const peer_message *reply)
{
  struct question *question = arg;
  struct count *count = question->count;
  DL_DELETE (count->census->questions, question);
  if (status == PEER_OK && reply->body.kind == PEER_KIND_CENSUS)
    {
      const peer_census *census = &reply->body.peer_body_u.census;
      for (u_int i = 0; i < census->revisions.revisions_len; i++)
        add_share (count, census->revisions.revisions_val[i].revision,
                   census->revisions.revisions_val[i].hosts);
    }
  else if (question->known)
    add_share (count, question->revision, 1);
  free (question);
  release (count);
}

static void
ask (struct count *count, const struct member *host, clk_ms timeout_ms,
     bool known, uint64_t revision)
{
  struct sync_census *census = count->census;
  struct question *question = mem_zalloc (sizeof *question);
  peer_body body = { .kind = PEER_KIND_CENSUS };
  question->count = count;
  question->known = known;
  question->revision = revision;
  count->outstanding++;
  DL_APPEND (census->questions, question);
  question->id = peers_call (census->peers, &host->address, &body, timeout_ms,
                             question_done, question);
}

/* A level's time is half of that of the level above.  */
static clk_ms
level_timeout_ms (const struct sync_tree *tree)
{
  clk_ms timeout_ms = ROOT_TIMEOUT_MS / 2;
  size_t rank = tree->rank;
  while (rank >= SYNC_RELAYS && timeout_ms > 1)
    {
      rank = (rank - SYNC_RELAYS) / SYNC_FANOUT;
      timeout_ms /= 2;
    }
  return timeout_ms;
}

static void
ask_child (void *arg, const char *host, uint64_t revision)
{
  struct count *count = arg;
  struct sync_census *census = count->census;
  const struct member *member = members_find (census->state->members, host);
  if (member == NULL || sync_tree_is_relay (census->tree, host))
    return;
  ask (count, member, level_timeout_ms (census->tree), true, revision);
}

static void
count_subtree (struct count *count)
{
  struct sync_census *census = count->census;
  add_share (count, census->state->store.revision, 1);
  sync_serve_each (census->serve, ask_child, count);
}

/* While a count is under way, hosts that pull from one another in a circle
   would ask each other without end.  */
static void
handle_census (void *arg, uint64_t call, const peer_message *message)
{
  struct sync_census *census = arg;
  (void)message;
  bool nested = false;
  for (struct count *c = census->counts; c != NULL; c = c->next)
    nested = nested || c->done == NULL;
  struct count *count = count_new (census);
  count->call = call;
  if (nested)
    add_share (count, census->state->store.revision, 1);
  else
    count_subtree (count);
  release (count);
}

static void
ask_relay (void *arg, const struct member *relay)
{
  ask (arg, relay, ROOT_TIMEOUT_MS, false, 0);
}

void
sync_census_start (struct sync_census *census, sync_count_done done, void *arg)
{
  struct count *count = count_new (census);
  count->done = done;
  count->arg = arg;
  sync_tree_refresh (census->tree);
  if (census->tree->relay)
    count_subtree (count);
  sync_tree_each_relay (census->tree, ask_relay, count);
  release (count);
}

struct sync_census *
sync_census_new (struct sync_state *state, struct sync_tree *tree,
                 struct sync_serve *serve, struct peers *peers)
{
  struct sync_census *census = mem_zalloc (sizeof *census);
  census->state = state;
  census->tree = tree;
  census->serve = serve;
  census->peers = peers;
  peers_register_handler (peers, PEER_KIND_CENSUS, handle_census, census);
  return census;
}

void
sync_census_free (struct sync_census *census)
{
  if (census == NULL)
    return;
  struct question *question, *next_question;
  DL_FOREACH_SAFE (census->questions, question, next_question)
  {
    peers_cancel (census->peers, question->id);
    free (question);
  }
  struct count *count, *next;
  DL_FOREACH_SAFE (census->counts, count, next) { count_free (count); }
  free (census);
}
