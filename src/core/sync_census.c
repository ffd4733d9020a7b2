#include "core/sync_census.h"

#include <stdlib.h>
#include <utlist.h>

#include "kernel/mem.h"

/* Timeout of a query to a relay.  Halves with each level of the tree below, so
   that a late child does not time out its parent.  */
#define RELAY_TIMEOUT_MS 2000

/* A count in progress, for a local requester (done) or a query of another
   host (call).  */
struct count
{
  struct sync_census *census;
  struct count *prev;
  struct count *next;
  uint64_t call;
  sync_count_done done;
  void *arg;
  size_t outstanding; /* queries in flight, plus 1 while they are sent */
  size_t entry_count;
  struct sync_revision_hosts *entries;
};

/* A query to one host.  If it fails and the host is a child, the host counts
   with the revision of its last pull.  */
struct query
{
  struct count *count;
  uint64_t id;
  uint64_t revision;
  bool has_revision; /* true if the host has pulled from this one */
  struct query *prev;
  struct query *next;
};

struct sync_census
{
  struct sync_state *state;
  struct sync_tree *tree;
  struct sync_serve *serve;
  struct peers *peers;
  struct count *counts;
  struct query *queries;
};

static void
add_hosts (struct count *count, uint64_t revision, uint32_t hosts)
{
  for (size_t i = 0; i < count->entry_count; i++)
    if (count->entries[i].revision == revision)
      {
        count->entries[i].hosts += hosts;
        return;
      }
  if (hosts == 0 || count->entry_count == PEER_BATCH_LIMIT)
    return;
  count->entries = mem_resize (count->entries, (count->entry_count + 1)
                                                   * sizeof *count->entries);
  count->entries[count->entry_count++]
      = (struct sync_revision_hosts){ .revision = revision, .hosts = hosts };
}

static struct count *
count_new (struct sync_census *census)
{
  struct count *count = mem_zalloc (sizeof *count);
  count->census = census;
  count->outstanding = 1; /* until all queries have been sent */
  DL_APPEND (census->counts, count);
  return count;
}

static void
count_free (struct count *count)
{
  DL_DELETE (count->census->counts, count);
  free (count->entries);
  free (count);
}

static int
by_revision_descending (const void *a, const void *b)
{
  uint64_t x = ((const struct sync_revision_hosts *)a)->revision;
  uint64_t y = ((const struct sync_revision_hosts *)b)->revision;
  return x < y ? 1 : x > y ? -1 : 0;
}

static void
send_reply (struct count *count)
{
  peer_body body = { .kind = PEER_KIND_CENSUS };
  peer_census *census = &body.peer_body_u.census;
  census->revisions.revisions_val
      = mem_zalloc (count->entry_count * sizeof (peer_census_entry));
  census->revisions.revisions_len = (u_int)count->entry_count;
  for (size_t i = 0; i < count->entry_count; i++)
    census->revisions.revisions_val[i]
        = (peer_census_entry){ .revision = count->entries[i].revision,
                               .hosts = count->entries[i].hosts };
  peers_reply (count->census->peers, count->call, &body);
  free (census->revisions.revisions_val);
}

static void
report_count (struct count *count)
{
  uint32_t counted = 0;
  size_t members = members_count (count->census->state->members);
  for (size_t i = 0; i < count->entry_count; i++)
    counted += count->entries[i].hosts;
  if (counted < members)
    add_hosts (count, 0, (uint32_t)(members - counted));
  if (count->entry_count > 1)
    qsort (count->entries, count->entry_count, sizeof *count->entries,
           by_revision_descending);
  count->done (count->arg, count->entries, count->entry_count);
}

static void
count_release (struct count *count)
{
  if (--count->outstanding > 0)
    return;
  if (count->done != NULL)
    report_count (count);
  else
    send_reply (count);
  count_free (count);
}

static void
query_done (void *arg, enum peer_status status, const peer_message *reply)
{
  struct query *query = arg;
  struct count *count = query->count;
  DL_DELETE (count->census->queries, query);
  if (status == PEER_OK && reply->body.kind == PEER_KIND_CENSUS)
    {
      const peer_census *census = &reply->body.peer_body_u.census;
      for (u_int i = 0; i < census->revisions.revisions_len; i++)
        add_hosts (count, census->revisions.revisions_val[i].revision,
                   census->revisions.revisions_val[i].hosts);
    }
  else if (query->has_revision)
    add_hosts (count, query->revision, 1);
  free (query);
  count_release (count);
}

static void
send_query (struct count *count, const struct member *host, clk_ms timeout_ms,
            bool has_revision, uint64_t revision)
{
  struct sync_census *census = count->census;
  struct query *query = mem_zalloc (sizeof *query);
  peer_body body = { .kind = PEER_KIND_CENSUS };
  query->count = count;
  query->has_revision = has_revision;
  query->revision = revision;
  count->outstanding++;
  DL_APPEND (census->queries, query);
  query->id = peers_call (census->peers, &host->address, &body, timeout_ms,
                          query_done, query);
}

/* Returns the timeout of queries to children: half that of the level
   above.  */
static clk_ms
level_timeout_ms (const struct sync_tree *tree)
{
  clk_ms timeout_ms = RELAY_TIMEOUT_MS / 2;
  size_t rank = tree->rank;
  while (rank >= SYNC_RELAYS && timeout_ms > 1)
    {
      rank = (rank - SYNC_RELAYS) / SYNC_FANOUT;
      timeout_ms /= 2;
    }
  return timeout_ms;
}

static void
query_child (void *arg, const char *host, uint64_t revision)
{
  struct count *count = arg;
  struct sync_census *census = count->census;
  const struct member *member = members_find (census->state->members, host);
  if (member == NULL || sync_tree_is_relay (census->tree, host))
    return;
  send_query (count, member, level_timeout_ms (census->tree), true, revision);
}

static void
count_subtree (struct count *count)
{
  struct sync_census *census = count->census;
  add_hosts (count, census->state->store.revision, 1);
  sync_serve_each (census->serve, query_child, count);
}

/* While a count for another host is in progress, reports only this host: hosts
   that pull from each other in a cycle would otherwise query each other
   endlessly.  */
static void
handle_query (void *arg, uint64_t call, const peer_message *message)
{
  struct sync_census *census = arg;
  (void)message;
  bool nested = false;
  for (struct count *c = census->counts; c != NULL; c = c->next)
    nested = nested || c->done == NULL;
  struct count *count = count_new (census);
  count->call = call;
  if (nested)
    add_hosts (count, census->state->store.revision, 1);
  else
    count_subtree (count);
  count_release (count);
}

static void
query_relay (void *arg, const struct member *relay)
{
  send_query (arg, relay, RELAY_TIMEOUT_MS, false, 0);
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
  sync_tree_each_relay (census->tree, query_relay, count);
  count_release (count);
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
  peers_register_handler (peers, PEER_KIND_CENSUS, handle_query, census);
  return census;
}

void
sync_census_free (struct sync_census *census)
{
  if (census == NULL)
    return;
  struct query *query, *next_query;
  DL_FOREACH_SAFE (census->queries, query, next_query)
  {
    peers_cancel (census->peers, query->id);
    free (query);
  }
  struct count *count, *next;
  DL_FOREACH_SAFE (census->counts, count, next) { count_free (count); }
  free (census);
}
