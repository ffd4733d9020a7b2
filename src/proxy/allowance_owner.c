/* Owners of parts: when a host may grant, and how many operations.  */

#include "proxy/allowance_impl.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"
#include "kernel/text.h"

/* Time after which a host that waits for the answer to a takeover is asked
   again.  */
#define UNPROVEN_MS 25
/* Limit on the time between two requests of a host while there are more hosts
   that ask than operations.  */
#define SPREAD_LIMIT_MS 1000
#define SPAN_MS 1000
/* Records of hosts kept before those of hosts that asked long ago are
   dropped.  */
#define SPARE_GRANTEES 16

void
bucket_init (struct part *part)
{
  part->bucket = (struct bucket){ .registered_ms = CLK_NEVER,
                                  .blocked_ms = CLK_LONG_AGO,
                                  .voided_ms = CLK_LONG_AGO,
                                  .yielded_ms = CLK_LONG_AGO };
}

static void
free_grantee (struct bucket *bucket, struct grantee *grantee)
{
  HASH_DEL (bucket->grantees, grantee);
  free (grantee);
}

void
bucket_clear (struct part *part)
{
  struct bucket *bucket = &part->bucket;
  struct grantee *grantee, *next;
  if (bucket->call != 0)
    hosts_cancel (part->pool->allowances->hosts, bucket->call);
  HASH_ITER (hh, bucket->grantees, grantee, next)
  free_grantee (bucket, grantee);
}

static clk_ms
now_of (const struct part *part)
{
  return allowances_now (part->pool->allowances);
}

/* Fills the bucket up to now, and applies the present limit from now on.  What
   was granted before stays granted.  */
static void
fill (struct part *part)
{
  struct bucket *bucket = &part->bucket;
  clk_ms now_ms = now_of (part);
  if (now_ms > bucket->filled_ms)
    {
      bucket->level
          += (double)(now_ms - bucket->filled_ms) * bucket->limit.per_ms;
      bucket->filled_ms = now_ms;
    }
  bucket->level = fmin (bucket->level, bucket->limit.depth);
  bucket->limit = part->pool->limit;
  bucket->level = fmin (bucket->level, bucket->limit.depth);
}

static void
put_back (struct part *part, uint32_t count)
{
  struct bucket *bucket = &part->bucket;
  fill (part);
  bucket->level = fmin (bucket->level + count, bucket->limit.depth);
}

void
bucket_put_back (struct part *part, clk_ms granted_ms)
{
  if (part->bucket.started
      && now_of (part) - granted_ms <= part->pool->limit.return_ms)
    put_back (part, 1);
}

bool
bucket_is_idle (struct part *part)
{
  if (part->bucket.yielded_ms != CLK_LONG_AGO || part->bucket.call != 0)
    return false;
  if (!part->bucket.started)
    return true;
  fill (part);
  return part->bucket.level >= part->bucket.limit.depth;
}

void
bucket_host_added (struct part *part, const char *host, uint64_t score)
{
  struct bucket *bucket = &part->bucket;
  if (part_outranks (part, host, score) && !MUTANT (owner_never_stops))
    bucket->started = false;
  /* From now on its removal is seen.  */
  if (strcmp (bucket->yielded_to, host) == 0)
    bucket->yielded_ms = CLK_LONG_AGO;
}

void
bucket_host_removed (struct part *part, const char *host, uint64_t score,
                     clk_ms removed_ms)
{
  struct bucket *bucket = &part->bucket;
  if (part_outranks (part, host, score))
    {
      clk_ms blocked_ms = removed_ms + ALLOWANCE_TAKEOVER_MS;
      if (blocked_ms > bucket->blocked_ms)
        bucket->blocked_ms = blocked_ms;
    }
  else
    bucket->voided_ms = removed_ms;
}

/* Notes a registration that is not the one known before: meanwhile another
   host may have become owner.  */
static void
note_registration (struct part *part, clk_ms registered_ms)
{
  struct bucket *bucket = &part->bucket;
  if (bucket->registered_ms == registered_ms)
    return;
  if (bucket->call != 0)
    hosts_cancel (part->pool->allowances->hosts, bucket->call);
  bucket->call = 0;
  bucket->next_takeover_ms = CLK_LONG_AGO;
  bucket->registered_ms = registered_ms;
  bucket->start_ms = registered_ms + ALLOWANCE_TAKEOVER_MS;
  bucket->proven = false;
  bucket->started = false;
}

static void
on_yielded (void *arg, enum peer_status status, const peer_message *reply)
{
  struct part *part = arg;
  struct bucket *bucket = &part->bucket;
  clk_ms now_ms = now_of (part);
  bucket->call = 0;
  bucket->next_takeover_ms = now_ms + ALLOWANCE_TAKEOVER_RETRY_MS;
  if (status != PEER_OK || reply->body.kind != PEER_KIND_YIELDED)
    return;
  const peer_yielded *yielded = &reply->body.peer_body_u.yielded;
  if (!yielded->final)
    {
      bucket->next_takeover_ms = now_ms + UNPROVEN_MS;
      return;
    }
  bucket->proven = true;
  if (yielded->wait_ms >= 0 && now_ms + yielded->wait_ms < bucket->start_ms)
    bucket->start_ms = now_ms + yielded->wait_ms;
}

/* Returns the other host that comes next after this one; NULL if there is
   none.  For the owner it is the top of the others.  */
static const struct other_host *
next_after (struct part *part)
{
  size_t count;
  const struct other_host *next = part_top (part);
  uint64_t best = 0;
  if (next == NULL
      || !part_outranks (part, next->address.name, part->top_score))
    return next;
  const struct other_host *const *others
      = hosts_list (part->pool->allowances->hosts, &count);
  next = NULL;
  for (size_t i = 0; i < count; i++)
    {
      const char *name = others[i]->address.name;
      uint64_t score = part_score (part, name);
      if (part_outranks (part, name, score) || (next != NULL && score < best))
        continue;
      next = others[i];
      best = score;
    }
  return next;
}

/* Asks the host that comes after this one for PART, and would own it without
   this one, to stop, if it is not known yet that it has.  */
static void
prove (struct part *part, unsigned hops)
{
  struct bucket *bucket = &part->bucket;
  clk_ms now_ms = now_of (part);
  peer_body body = { .kind = PEER_KIND_TAKEOVER };
  if (bucket->proven)
    return;
  if (now_ms >= bucket->start_ms || bucket->voided_ms >= bucket->registered_ms)
    {
      bucket->proven = true;
      return;
    }
  if (bucket->call != 0 || now_ms < bucket->next_takeover_ms)
    return;
  const struct other_host *next = next_after (part);
  if (next == NULL)
    {
      bucket->proven = true;
      bucket->start_ms = bucket->registered_ms;
      return;
    }
  body.peer_body_u.takeover = (peer_takeover){ .workspace = part->pool->name,
                                               .part = part->index,
                                               .hops = hops };
  bucket->call
      = hosts_call (part->pool->allowances->hosts, &next->address, &body,
                    ALLOWANCE_CALL_TIMEOUT_MS, on_yielded, part);
}

/* Returns whether this host has yielded PART to a host that its list does not
   contain yet.  */
static bool
has_yielded (struct part *part, const struct allowance_view *view)
{
  struct bucket *bucket = &part->bucket;
  if (bucket->yielded_ms == CLK_LONG_AGO)
    return false;
  if (view->confirmed_ms <= bucket->yielded_ms)
    return true;
  /* It has left again since.  */
  bucket->yielded_ms = CLK_LONG_AGO;
  bucket->blocked_ms = now_of (part) + ALLOWANCE_TAKEOVER_MS;
  bucket->started = false;
  return false;
}

static clk_ms
start_of (const struct bucket *bucket)
{
  return bucket->start_ms > bucket->blocked_ms ? bucket->start_ms
                                               : bucket->blocked_ms;
}

/* Returns whether this host may grant operations of PART now.  If not, sets
   RETRY_MS.  */
static bool
may_grant (struct part *part, clk_ms *retry_ms)
{
  struct bucket *bucket = &part->bucket;
  struct allowance_view view = allowances_view (part->pool->allowances);
  clk_ms now_ms = now_of (part);
  if (bucket->started && MUTANT (owner_never_stops))
    return true;
  *retry_ms = ALLOWANCE_DENIED_MS;
  if (now_ms - view.confirmed_ms > ALLOWANCE_CONFIRMED_MS
      || !part_is_own (part, &view) || has_yielded (part, &view))
    return false;
  note_registration (part, view.registered_ms);
  prove (part, 0);
  clk_ms start_ms = start_of (bucket);
  if (now_ms < start_ms)
    {
      *retry_ms = bucket->proven ? start_ms - now_ms : UNPROVEN_MS;
      return false;
    }
  if (!bucket->started)
    {
      bucket->started = true;
      bucket->level = 0;
      bucket->filled_ms = start_ms;
      bucket->limit = part->pool->limit;
    }
  return true;
}

static struct grantee *
ensure_grantee (struct bucket *bucket, const char *host)
{
  struct grantee *grantee, *next;
  HASH_FIND_STR (bucket->grantees, host, grantee);
  if (grantee != NULL)
    return grantee;
  if (HASH_COUNT (bucket->grantees) > bucket->kept + SPARE_GRANTEES)
    {
      HASH_ITER (hh, bucket->grantees, grantee, next)
      {
        if (grantee->span + 1 < bucket->span)
          free_grantee (bucket, grantee);
      }
      bucket->kept = (size_t)2 * HASH_COUNT (bucket->grantees);
    }
  grantee = mem_zalloc (sizeof *grantee);
  grantee->granted_ms = CLK_LONG_AGO;
  text_copy (grantee->host, sizeof grantee->host, host);
  HASH_ADD_STR (bucket->grantees, host, grantee);
  return grantee;
}

/* Notes a request of HOST, and begins a new second if it is due.  */
static struct grantee *
note_request (struct part *part, const char *host)
{
  struct bucket *bucket = &part->bucket;
  uint64_t span = (uint64_t)(now_of (part) / SPAN_MS) + 1;
  if (span != bucket->span)
    {
      bucket->short_last = span == bucket->span + 1 ? bucket->short_now : 0;
      bucket->short_now = 0;
      bucket->span = span;
    }
  struct grantee *grantee = ensure_grantee (bucket, host);
  grantee->span = span;
  return grantee;
}

/* Counts a host that got fewer operations than it wanted.  */
static void
note_short (struct bucket *bucket, struct grantee *grantee)
{
  bucket->short_now += grantee->short_span != bucket->span;
  grantee->short_span = bucket->span;
}

/* Returns after what time a host that got fewer operations than it wanted may
   ask again.  Not before there is one; with a high rate not before there are
   some, and later the more hosts ask, so that the exchanges stay few; but soon
   enough that the bucket never gets full.  */
static clk_ms
retry_of (const struct bucket *bucket)
{
  const struct allowance_limit *limit = &bucket->limit;
  double one_ms = 1 / limit->per_ms;
  double base_ms = ceil (fmax (0, 1 - bucket->level) * one_ms);
  double hosts = fmax (1, fmax (bucket->short_now, bucket->short_last));
  double pause_ms = (double)limit->valid_ms;
  if (one_ms < pause_ms)
    {
      pause_ms = fmin (fmax (pause_ms, 2 * hosts * one_ms), SPREAD_LIMIT_MS);
      pause_ms
          = fmin (pause_ms, limit->depth * one_ms * fmax (0.5, hosts / 8));
      base_ms = fmax (base_ms, floor (pause_ms));
    }
  return (clk_ms)fmax (base_ms, 1);
}

uint32_t
bucket_grant (struct part *part, const char *host, uint32_t wanted,
              clk_ms *retry_ms, bool *denied)
{
  struct bucket *bucket = &part->bucket;
  *denied = !may_grant (part, retry_ms);
  if (*denied)
    return 0;
  fill (part);
  struct grantee *grantee = note_request (part, host);
  uint32_t granted = (uint32_t)fmin (wanted, floor (bucket->level));
  bucket->level -= granted;
  grantee->granted = granted;
  grantee->granted_ms = now_of (part);
  *retry_ms = 0;
  if (granted < wanted)
    {
      note_short (bucket, grantee);
      *retry_ms = retry_of (bucket);
    }
  return granted;
}

/* Takes back operations of the last grant to HOST.  */
static void
take_back (struct part *part, const char *host, uint32_t returned)
{
  struct grantee *grantee;
  HASH_FIND_STR (part->bucket.grantees, host, grantee);
  if (grantee == NULL || returned == 0 || returned > grantee->granted
      || !part->bucket.started
      || now_of (part) - grantee->granted_ms > part->pool->limit.return_ms)
    return;
  grantee->granted -= returned;
  put_back (part, returned);
}

static struct part *
find_part (struct allowances *allowances, const char *workspace, unsigned part)
{
  struct pool *pool = part < ALLOWANCE_PARTS
                          ? allowances_pool (allowances, workspace)
                          : NULL;
  return pool != NULL ? &pool->parts[part] : NULL;
}

static void
on_allowance (void *arg, uint64_t call, const peer_message *message)
{
  struct allowances *allowances = arg;
  const peer_allowance *asked = &message->body.peer_body_u.allowance;
  struct part *part = find_part (allowances, asked->workspace, asked->part);
  peer_body body = { .kind = PEER_KIND_ALLOWED };
  peer_allowed *allowed = &body.peer_body_u.allowed;
  clk_ms retry_ms = ALLOWANCE_DENIED_MS;
  bool denied = true;
  if (part != NULL)
    {
      take_back (part, message->from.host, asked->returned);
      allowed->granted = bucket_grant (part, message->from.host, asked->wanted,
                                       &retry_ms, &denied);
      allowed->valid_ms = part->pool->limit.valid_ms;
    }
  allowed->owner = !denied;
  allowed->retry_after_ms = retry_ms;
  hosts_reply (allowances->hosts, call, &body);
}

/* Returns whether no host comes between HOST and this one.  With HOPS, HOST is
   not the owner itself, and hosts before it are no concern.  */
static bool
is_next_after (struct part *part, const char *host, unsigned hops)
{
  uint64_t its_score = part_score (part, host);
  size_t count;
  const struct other_host *top = part_top (part);
  if (top == NULL || !part_outranks (part, top->address.name, part->top_score))
    return true;
  const struct other_host *const *others
      = hosts_list (part->pool->allowances->hosts, &count);
  for (size_t i = 0; i < count; i++)
    {
      const char *name = others[i]->address.name;
      uint64_t score = part_score (part, name);
      if (strcmp (name, host) != 0 && part_outranks (part, name, score)
          && (hops == 0 || score < its_score))
        return false;
    }
  return true;
}

/* Yields PART to HOST, which has joined.  Returns the reply.  */
static peer_yielded
yield_to (struct part *part, const char *host, unsigned hops)
{
  struct bucket *bucket = &part->bucket;
  struct allowance_view view = allowances_view (part->pool->allowances);
  clk_ms now_ms = now_of (part);
  if (now_ms - view.confirmed_ms > ALLOWANCE_CONFIRMED_MS)
    return (peer_yielded){ .wait_ms = ALLOWANCE_TAKEOVER_MS, .final = false };
  bool other
      = has_yielded (part, &view) && strcmp (bucket->yielded_to, host) != 0;
  if (other || !part_outranks (part, host, part_score (part, host))
      || !is_next_after (part, host, hops))
    return (peer_yielded){ .wait_ms = ALLOWANCE_TAKEOVER_MS, .final = true };
  if (hosts_find (part->pool->allowances->hosts, host) == NULL)
    bucket->yielded_ms = now_ms;
  text_copy (bucket->yielded_to, sizeof bucket->yielded_to, host);
  if (!MUTANT (owner_never_stops))
    bucket->started = false;
  clk_ms wait_ms = bucket->blocked_ms - now_ms;
  if (view.registered_ms != CLK_NEVER && hops == 0)
    {
      note_registration (part, view.registered_ms);
      prove (part, hops + 1);
      if (!bucket->proven)
        return (peer_yielded){ .wait_ms = ALLOWANCE_TAKEOVER_MS,
                               .final = false };
      wait_ms = start_of (bucket) - now_ms;
    }
  return (peer_yielded){ .wait_ms = wait_ms > 0 ? wait_ms : 0, .final = true };
}

static void
on_takeover (void *arg, uint64_t call, const peer_message *message)
{
  struct allowances *allowances = arg;
  const peer_takeover *asked = &message->body.peer_body_u.takeover;
  struct part *part = find_part (allowances, asked->workspace, asked->part);
  peer_body body = { .kind = PEER_KIND_YIELDED };
  body.peer_body_u.yielded
      = part != NULL ? yield_to (part, message->from.host, asked->hops)
                     : (peer_yielded){ .wait_ms = ALLOWANCE_TAKEOVER_MS,
                                       .final = false };
  hosts_reply (allowances->hosts, call, &body);
}

void
allowances_handle_requests (struct allowances *allowances)
{
  hosts_handle (allowances->hosts, PEER_KIND_ALLOWANCE, on_allowance,
                allowances);
  hosts_handle (allowances->hosts, PEER_KIND_TAKEOVER, on_takeover,
                allowances);
}
