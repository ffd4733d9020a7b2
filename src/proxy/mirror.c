#include "proxy/mirror.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"
#include "kernel/text.h"
#include "proxy/mirror_age.h"
#include "proxy/relay.h"

/* Name of the store as a source of the contents.  */
#define STORE_SOURCE "store"

/* A relay holds the calls of a host for at most this part of the limit of the
   age, so that most of it is left for the relay's own contents.  */
#define MIRROR_FOLLOW_DIVISOR 4

/* What a host that starts calls for.  */
enum start_stage
{
  START_HOSTS, /* the keys that are listed first */
  START_RELAY, /* the whole contents, from a relay */
  START_STORE  /* the same, from the store */
};

struct mirror
{
  struct module base;
  struct platform_port *port;
  clk_ms confirm_ms; /* the contents are confirmed after this time */
  clk_ms age_ms;     /* limit of their age; 0: none */
  struct mirror_age age;
  struct hosts *hosts;
  struct relay *relay;
  char source[NAME_BYTES]; /* relay of the call in flight; empty: the store */
  char heard_from[NAME_BYTES]; /* source of the last confirmation */
  size_t subscriber_count;
  struct mirror_events subscribers[MIRROR_SUBSCRIBERS];
  bool immediate; /* watch without delay, and not at a relay */
  bool eager;     /* watch with a short delay */
  bool listing;
  char *after;       /* last key of the previous page; NULL: first page */
  uint64_t revision; /* changes up to here are applied */
  uint64_t era;      /* the latest known one of the store */
  clk_ms sent_ms;    /* of the call in flight */
  clk_ms wait_ms;    /* that the store holds it without events */
  bool checks;       /* the next watch does not wait */
  bool dated;        /* it asks a relay for the age of its contents */
  char undated[NAME_BYTES]; /* relay that can't tell it */
  clk_ms undated_until_ms;
  clk_ms current_ms;   /* the contents were current then */
  clk_ms listed_ms;    /* time of the first page of the listing */
  clk_ms list_sent_ms; /* when that page was requested */
  clk_ms changed_after_ms;
  clk_ms restored_ms;   /* time at which a restoration was noticed */
  clk_ms lost_after_ms; /* what it has lost was written after that */
  bool applying;        /* a reply is being delivered to the subscribers */
  bool relist;          /* a subscriber asked for a listing meanwhile */
  bool complete;
  enum start_stage stage; /* until then */
  bool listed_twice;      /* in START_HOSTS, or not to be listed again */
  clk_ms follow_until_ms; /* end of START_RELAY */
  bool store_reachable;
  clk_ms store_heard_ms;
  size_t heard_bytes; /* of the response to the call in flight, at that time */
  uint32_t failures;
  uint64_t call;
  struct ktimer next_call_timer;
  uint64_t expected; /* of the latest write by this host */
  struct ktimer expect_timer;
  uint64_t peer_revision; /* latest seen by another host */
  struct ktimer peer_timer;
  size_t seen_bytes; /* of the response to the watch, at the last check */
};

static void next_call (struct mirror *mirror);

bool
mirror_follows_relay (const struct mirror *mirror)
{
  return mirror->source[0] != '\0';
}

bool
mirror_follows (const struct mirror *mirror, const char *host)
{
  return mirror_follows_relay (mirror) && strcmp (mirror->source, host) == 0;
}

/* Returns whether a watch call to the store is in flight.  */
static bool
is_watching (const struct mirror *mirror)
{
  return mirror->call != 0 && !mirror->listing
         && !mirror_follows_relay (mirror);
}

static void
set_store_reachable (struct mirror *mirror, bool reachable)
{
  if (mirror->store_reachable == reachable)
    return;
  mirror->store_reachable = reachable;
  log_event (kernel_log (mirror->base.kernel),
             reachable ? LOG_NOTICE : LOG_WARNING,
             reachable ? "store_regained" : "store_lost",
             LOG_U ("revision", platform_index_revision (mirror->revision)));
  for (size_t i = 0; i < mirror->subscriber_count; i++)
    if (mirror->subscribers[i].reachable_changed != NULL)
      mirror->subscribers[i].reachable_changed (mirror->subscribers[i].arg,
                                                reachable);
}

/* Notes that the store is in ERA, at INDEX (0: not known).  Returns whether it
   was restored since the last known era.  */
static bool
note_era (struct mirror *mirror, uint64_t era, uint64_t index)
{
  clk_ms now_ms = kernel_now (mirror->base.kernel);
  if (era <= mirror->era)
    return false;
  mirror->era = era;
  /* A host that starts can't know when the store was restored.  */
  if (era > MIRROR_FIRST_ERA)
    mirror_age_restored (&mirror->age, now_ms, MIRROR_REWRITTEN_MS);
  if (!mirror->complete)
    return true;
  if (now_ms - mirror->restored_ms >= MIRROR_REWRITTEN_MS)
    mirror->lost_after_ms = mirror->current_ms;
  mirror->restored_ms = now_ms;
  log_event (kernel_log (mirror->base.kernel), LOG_WARNING, "store_restored",
             LOG_U ("era", era),
             LOG_U ("before", platform_index_era (mirror->revision)),
             LOG_U ("revision", platform_index_revision (mirror->revision)),
             LOG_U ("as_of", platform_index_revision (index)));
  return true;
}

/* Sets the time after which the changes of a reply were made to SINCE_MS, or
   to an earlier one if they may have been written again after a
   restoration.  */
static void
date_changes (struct mirror *mirror, clk_ms since_ms)
{
  clk_ms now_ms = kernel_now (mirror->base.kernel);
  bool again = now_ms - mirror->restored_ms < MIRROR_REWRITTEN_MS;
  mirror->changed_after_ms = since_ms;
  if (again && mirror->lost_after_ms < since_ms)
    mirror->changed_after_ms = mirror->lost_after_ms;
}

/* Returns the age up to which contents count as current.  */
static clk_ms
current_limit_ms (const struct mirror *mirror)
{
  return mirror->confirm_ms + MIRROR_CURRENT_MARGIN_MS;
}

static void
note_confirmed (struct mirror *mirror, clk_ms at_ms, const char *source)
{
  mirror->current_ms = at_ms;
  text_copy (mirror->heard_from, sizeof mirror->heard_from, source);
}

/* The same for a reply of the store that began to arrive at BEGUN_MS.  */
static void
date_store_changes (struct mirror *mirror, clk_ms begun_ms)
{
  bool pending
      = !mirror->listing && begun_ms - mirror->sent_ms >= MIRROR_DELIVERY_MS;
  date_changes (mirror,
                pending ? begun_ms - MIRROR_DELIVERY_MS : mirror->current_ms);
  if (!mirror->listing)
    note_confirmed (mirror, begun_ms, STORE_SOURCE);
}

/* The same for a reply of a relay.  If it is DATED the contents were confirmed
   as mirror_age tells, and changes were made after that.  */
static void
date_relay_changes (struct mirror *mirror, bool reachable, bool dated)
{
  clk_ms since_ms = mirror->current_ms;
  if (dated)
    since_ms = mirror->age.confirmed_ms;
  else if (since_ms != CLK_LONG_AGO)
    since_ms -= current_limit_ms (mirror);
  date_changes (mirror, since_ms);
  if (reachable)
    note_confirmed (mirror, kernel_now (mirror->base.kernel), mirror->source);
}

/* Returns a random time below LIMIT_MS.  */
static clk_ms
jitter_ms (struct mirror *mirror, clk_ms limit_ms)
{
  return (clk_ms)rng_below (kernel_rng (mirror->base.kernel),
                            (uint64_t)limit_ms);
}

/* Returns the timeout of a call to list the store.  */
static clk_ms
list_timeout_ms (struct mirror *mirror)
{
  clk_ms timeout_ms = MIRROR_START_TIMEOUT_MS;
  if (mirror->complete)
    return MIRROR_CALL_TIMEOUT_MS;
  for (uint32_t i = MIRROR_START_QUICK_CALLS;
       i <= mirror->failures && timeout_ms < MIRROR_CALL_TIMEOUT_MS; i++)
    timeout_ms += timeout_ms / 2;
  if (timeout_ms > MIRROR_CALL_TIMEOUT_MS)
    timeout_ms = MIRROR_CALL_TIMEOUT_MS;
  return timeout_ms + jitter_ms (mirror, MIRROR_START_JITTER_MS);
}

/* Returns how long to wait before a failed call is repeated.  */
static clk_ms
retry_wait_ms (struct mirror *mirror)
{
  clk_ms last_ms
      = mirror->complete ? MIRROR_RETRY_LAST_MS : MIRROR_START_RETRY_MS;
  clk_ms wait_ms = MIRROR_RETRY_FIRST_MS;
  for (uint32_t i = 0; i < mirror->failures && wait_ms < last_ms; i++)
    wait_ms *= 2;
  if (wait_ms > last_ms)
    wait_ms = last_ms;
  if (mirror->complete)
    return wait_ms + jitter_ms (mirror, wait_ms);
  /* The time without an answer counts.  */
  wait_ms -= kernel_now (mirror->base.kernel) - mirror->sent_ms;
  return (wait_ms > 0 ? wait_ms : 0)
         + jitter_ms (mirror, MIRROR_START_JITTER_MS);
}

static void
retry_later (struct mirror *mirror)
{
  clk_ms wait_ms = retry_wait_ms (mirror);
  mirror->failures++;
  kernel_timer_set (mirror->base.kernel, &mirror->next_call_timer,
                    kernel_now (mirror->base.kernel) + wait_ms);
}

static void
start_list (struct mirror *mirror)
{
  mirror->listing = true;
  free (mirror->after);
  mirror->after = NULL;
}

static void
apply_item (struct mirror *mirror, const struct platform_item *item)
{
  for (size_t i = 0; i < mirror->subscriber_count; i++)
    {
      const struct mirror_events *events = &mirror->subscribers[i];
      if (events->item == NULL
          || strncmp (item->key, events->prefix, strlen (events->prefix)) != 0)
        continue;
      if (item->removed)
        events->removed (events->arg, item->key, item->index);
      else
        events->item (events->arg, item);
    }
}

static void
apply_items (struct mirror *mirror, const struct platform_reply *reply)
{
  for (size_t i = 0; i < reply->item_count; i++)
    apply_item (mirror, &reply->items[i]);
}

static void
begin_list (struct mirror *mirror)
{
  for (size_t i = 0; i < mirror->subscriber_count; i++)
    if (mirror->subscribers[i].begin_list != NULL)
      mirror->subscribers[i].begin_list (mirror->subscribers[i].arg);
}

static void
end_list (struct mirror *mirror)
{
  for (size_t i = 0; i < mirror->subscriber_count; i++)
    if (mirror->subscribers[i].end_list != NULL)
      mirror->subscribers[i].end_list (mirror->subscribers[i].arg,
                                       mirror->revision);
}

static void
notify_applied (struct mirror *mirror)
{
  for (size_t i = 0; i < mirror->subscriber_count; i++)
    if (mirror->subscribers[i].applied != NULL)
      mirror->subscribers[i].applied (mirror->subscribers[i].arg);
}

/* Notes that a listing continues after the last item of REPLY.  Returns false
   if it is the last page.  */
static bool
continue_list (struct mirror *mirror, const struct platform_reply *reply)
{
  free (mirror->after);
  mirror->after = NULL;
  if (!reply->more || reply->item_count == 0)
    return false;
  mirror->after = mem_strdup (reply->items[reply->item_count - 1].key);
  return true;
}

static void
apply_page (struct mirror *mirror, const struct platform_reply *reply,
            clk_ms begun_ms)
{
  if (mirror->after == NULL)
    {
      /* Pages are no snapshot: the watch starts from the first page.  */
      mirror->revision = reply->index;
      mirror->listed_ms = begun_ms;
      mirror->list_sent_ms = mirror->sent_ms;
      begin_list (mirror);
    }
  apply_items (mirror, reply);
  if (continue_list (mirror, reply))
    return;
  mirror->listing = false;
  mirror->complete = true;
  note_confirmed (mirror, mirror->listed_ms, STORE_SOURCE);
  end_list (mirror);
  mirror_age_confirm (&mirror->age, mirror->list_sent_ms, 0);
}

static const struct mirror_events *
first_subscriber (const struct mirror *mirror)
{
  for (size_t i = 0; i < mirror->subscriber_count; i++)
    if (mirror->subscribers[i].listed_first != NULL)
      return &mirror->subscribers[i];
  return NULL;
}

/* Returns whether the call in flight or the next one, if it is to the store,
   lists the first keys of a host that starts.  */
static bool
lists_first (const struct mirror *mirror)
{
  return !mirror->complete && mirror->stage == START_HOSTS
         && first_subscriber (mirror) != NULL;
}

/* Ends the list of the first keys, or lets it be repeated.  */
static void
end_first (struct mirror *mirror, bool settled)
{
  clk_ms now_ms = kernel_now (mirror->base.kernel);
  if (!settled && !mirror->listed_twice)
    {
      mirror->listed_twice = true;
      kernel_timer_set (mirror->base.kernel, &mirror->next_call_timer,
                        now_ms + MIRROR_REGISTER_MS);
      return;
    }
  mirror->stage = START_RELAY;
  mirror->follow_until_ms = now_ms + MIRROR_START_FOLLOW_MS;
  next_call (mirror);
}

/* Applies a page of the list of the first keys.  */
static void
apply_first (struct mirror *mirror, const struct platform_reply *reply)
{
  const struct mirror_events *first = first_subscriber (mirror);
  mirror->applying = true;
  mirror->changed_after_ms = CLK_LONG_AGO;
  apply_items (mirror, reply);
  bool more = continue_list (mirror, reply);
  bool settled = !more && first->listed_first (first->arg);
  mirror->applying = false;
  if (more)
    next_call (mirror);
  else
    end_first (mirror, settled);
}

/* Ends the delivery of a reply.  Returns whether a subscriber asked for a new
   listing meanwhile, which comes next then.  */
static bool
end_applying (struct mirror *mirror)
{
  bool relist = mirror->relist;
  mirror->applying = false;
  mirror->relist = false;
  if (relist)
    start_list (mirror);
  return relist;
}

/* Applies the reply to a watch.  If it has no events the store held the call
   for the time that it was asked to, unless the reply came earlier.  */
static void
apply_watch (struct mirror *mirror, const struct platform_reply *reply,
             clk_ms begun_ms)
{
  clk_ms spent_ms = begun_ms - mirror->sent_ms;
  bool held = reply->item_count == 0 && spent_ms >= mirror->wait_ms;
  bool confirms = reply->index >= mirror->revision;
  apply_items (mirror, reply);
  if (reply->index > mirror->revision)
    mirror->revision = reply->index;
  if (confirms)
    mirror_age_confirm (&mirror->age, mirror->sent_ms,
                        held ? mirror->wait_ms : 0);
}

/* Returns how long a relay holds the calls of this host.  */
static clk_ms
follow_wait_ms (const struct mirror *mirror)
{
  clk_ms limit_ms = mirror->age_ms / MIRROR_FOLLOW_DIVISOR;
  return mirror->age_ms > 0 && limit_ms < RELAY_WAIT_MS ? limit_ms
                                                        : RELAY_WAIT_MS;
}

/* Returns when the contents must be confirmed again.  */
static clk_ms
confirm_due_ms (const struct mirror *mirror)
{
  bool serves = relay_serves (mirror->relay);
  clk_ms due_ms = mirror->current_ms + mirror->confirm_ms;
  clk_ms span_ms = mirror->confirm_ms;
  if (mirror->age_ms == 0 && !serves)
    return due_ms;
  if (mirror->age_ms > 0)
    span_ms = mirror->age_ms - MIRROR_AGE_MARGIN_MS
              - (serves ? follow_wait_ms (mirror) : 0);
  if (span_ms < MIRROR_CONFIRM_MIN_MS)
    span_ms = MIRROR_CONFIRM_MIN_MS;
  /* Another relay goes by the age of what it receives, and a response with
     events confirms only the time at which its watch was sent.  */
  if (serves && span_ms > mirror->confirm_ms)
    span_ms = mirror->confirm_ms;
  clk_ms limit_ms = mirror->age.confirmed_ms + span_ms;
  /* No call confirms anything before then.  */
  if (limit_ms < mirror->age.settled_ms)
    limit_ms = mirror->age.settled_ms;
  return limit_ms < due_ms ? limit_ms : due_ms;
}

/* Returns the delay between a change and the next watch.  */
static clk_ms
watch_delay_ms (const struct mirror *mirror)
{
  clk_ms delay_ms = relay_serves (mirror->relay) ? MIRROR_RELAY_WATCH_DELAY_MS
                                                 : MIRROR_WATCH_DELAY_MS;
  if (mirror->eager)
    delay_ms = MIRROR_EAGER_WATCH_DELAY_MS;
  if (mirror->age_ms == 0 && !relay_serves (mirror->relay))
    return delay_ms;
  clk_ms left_ms = confirm_due_ms (mirror) - kernel_now (mirror->base.kernel);
  if (left_ms < 0)
    left_ms = 0;
  return left_ms < delay_ms ? left_ms : delay_ms;
}

/* Notes that the call in flight failed with REPLY.  Only the first failure of
   a series is logged.  */
static void
note_failure (struct mirror *mirror, const struct platform_reply *reply)
{
  struct kernel *kernel = mirror->base.kernel;
  struct mirror_state state = mirror_state (mirror);
  if (mirror->failures > 0)
    return;
  metrics_increment (kernel_metrics (kernel), "store_reads_failed_total");
  log_event (kernel_log (kernel), LOG_NOTICE, "store_read_failed",
             LOG_S ("call", mirror->listing ? "list" : "watch"),
             LOG_U ("status", reply->status),
             LOG_U ("received_bytes", reply->received_bytes),
             LOG_I ("spent_ms", kernel_now (kernel) - mirror->sent_ms),
             LOG_U ("revision", state.revision),
             LOG_I ("heard_ms_ago", state.heard_ms_ago),
             LOG_S ("heard_from", state.heard_from));
}

/* Returns whether the call in flight continues what was received before.  */
static bool
continues (const struct mirror *mirror)
{
  return !mirror->listing || mirror->after != NULL;
}

static void
on_reply (void *arg, const struct platform_reply *reply)
{
  struct mirror *mirror = arg;
  mirror->call = 0;
  if (note_era (mirror, reply->era, reply->index) && continues (mirror)
      && !MUTANT (watch_across_eras))
    {
      start_list (mirror);
      next_call (mirror);
      return;
    }
  if (reply->status == PLATFORM_COMPACTED)
    {
      log_event (
          kernel_log (mirror->base.kernel), LOG_NOTICE, "store_compacted",
          LOG_U ("revision", platform_index_revision (mirror->revision)));
      start_list (mirror);
      next_call (mirror);
      return;
    }
  /* A reply of an earlier era was delayed.  */
  if (reply->status != PLATFORM_OK || reply->era < mirror->era)
    {
      note_failure (mirror, reply);
      if (mirror->failures > 0)
        set_store_reachable (mirror, false);
      if (mirror->listing)
        start_list (mirror);
      mirror->stage = START_HOSTS;
      mirror->listed_twice = true; /* it is late enough */
      retry_later (mirror);
      return;
    }
  mirror->failures = 0;
  mirror->store_heard_ms = kernel_now (mirror->base.kernel);
  set_store_reachable (mirror, true);
  if (lists_first (mirror))
    {
      apply_first (mirror, reply);
      return;
    }
  mirror->applying = true;
  clk_ms begun_ms = kernel_now (mirror->base.kernel) - reply->transfer_ms;
  date_store_changes (mirror, begun_ms);
  bool has_changes = reply->item_count > 0;
  if (mirror->listing)
    {
      apply_page (mirror, reply, begun_ms);
      has_changes = !mirror->listing;
    }
  else
    apply_watch (mirror, reply, begun_ms);
  if (!mirror->listing)
    notify_applied (mirror);
  if (!end_applying (mirror) && has_changes && !mirror->immediate)
    kernel_timer_set (mirror->base.kernel, &mirror->next_call_timer,
                      kernel_now (mirror->base.kernel)
                          + watch_delay_ms (mirror));
  else
    next_call (mirror);
}

static void
apply_relay_reply (struct mirror *mirror, const peer_followed *reply,
                   bool dated)
{
  note_era (mirror, platform_index_era (reply->revision), reply->revision);
  date_relay_changes (mirror, reply->reached, dated);
  if (reply->all)
    begin_list (mirror);
  for (u_int i = 0; i < reply->items.items_len; i++)
    {
      const peer_item *got = &reply->items.items_val[i];
      struct platform_item item = { .key = got->key,
                                    .value_bytes = got->value.value_len,
                                    .index = got->revision,
                                    .created = got->created,
                                    .removed = got->removed };
      /* Subscribers expect NUL-terminated values.  */
      item.value = mem_zalloc (item.value_bytes + 1);
      if (item.value_bytes > 0)
        memcpy (item.value, got->value.value_val, item.value_bytes);
      apply_item (mirror, &item);
      free (item.value);
    }
  if (reply->revision > mirror->revision)
    mirror->revision = reply->revision;
  if (reply->all)
    end_list (mirror);
}

/* Returns the contents of a reply of a relay; NULL if it has none.  */
static const peer_followed *
followed_of (enum peer_status status, const peer_message *reply)
{
  if (status != PEER_OK)
    return NULL;
  if (reply->body.kind == PEER_KIND_FOLLOWED)
    return &reply->body.peer_body_u.followed;
  return reply->body.kind == PEER_KIND_FOLLOWED_DATED
             ? &reply->body.peer_body_u.followed_dated.followed
             : NULL;
}

/* Notes that the call in flight, ID, to a relay failed with STATUS, or with a
   reply of the contents FOLLOWED, which may be NULL.  */
static void
note_relay_failure (struct mirror *mirror, uint64_t id,
                    enum peer_status status, const peer_followed *followed)
{
  static const char *const reasons[] = { [PEER_OK] = "refused",
                                         [PEER_UNREACHABLE] = "unreachable",
                                         [PEER_LOST] = "connection lost",
                                         [PEER_TIMEOUT] = "timeout" };
  struct relay_failure failure
      = { .host = mirror->source,
          .reason = reasons[status],
          .spent_ms = kernel_now (mirror->base.kernel) - mirror->sent_ms,
          .received_bytes = hosts_received (mirror->hosts, id),
          .answered = followed != NULL,
          .revision = mirror->revision };
  if (followed != NULL)
    {
      failure.relay_revision = followed->revision;
      failure.reason = "not all of the contents";
      if (platform_index_era (followed->revision) < mirror->era)
        failure.reason = "earlier era";
      else if (!followed->reached)
        failure.reason = "store not reached";
    }
  relay_failed (mirror->relay, &failure);
}

/* Returns whether a dated call without contents is to be repeated as an
   undated one: a relay of an earlier version refuses it, and a call that its
   decoder rejects ends as not processed.  Both come soon, unlike the end of a
   call to a host that is cut off.  */
static bool
refuses_dated (const struct mirror *mirror, enum peer_status status)
{
  clk_ms spent_ms = kernel_now (mirror->base.kernel) - mirror->sent_ms;
  return mirror->dated && (status == PEER_OK || status == PEER_UNREACHABLE)
         && spent_ms < MIRROR_FOLLOW_MARGIN_MS;
}

static void
date_followed (struct mirror *mirror, const peer_message *reply)
{
  if (reply->body.kind != PEER_KIND_FOLLOWED_DATED)
    return;
  const peer_followed_dated *dated = &reply->body.peer_body_u.followed_dated;
  mirror_age_confirm_relayed (&mirror->age, mirror->sent_ms,
                              kernel_now (mirror->base.kernel), dated->held_ms,
                              dated->age_ms);
  /* A relay that follows another one must not count as current for longer
     than that.  */
  if (dated->followed.reached && dated->age_ms >= 0)
    mirror->current_ms = mirror->age.confirmed_ms;
}

/* Applies the first contents that a host receives, FOLLOWED, from a relay.  */
static void
apply_first_contents (struct mirror *mirror, const peer_message *reply,
                      const peer_followed *followed)
{
  mirror->applying = true;
  mirror->listing = false;
  apply_relay_reply (mirror, followed,
                     reply->body.kind == PEER_KIND_FOLLOWED_DATED);
  mirror->complete = true;
  date_followed (mirror, reply);
  notify_applied (mirror);
  end_applying (mirror);
}

/* Handles the reply of a relay to a host that starts.  A relay that starts too
   holds the call until it has the contents, or refuses it in the end.  */
static void
on_start_reply (void *arg, enum peer_status status, const peer_message *reply)
{
  struct mirror *mirror = arg;
  const peer_followed *followed = followed_of (status, reply);
  clk_ms now_ms = kernel_now (mirror->base.kernel);
  bool held
      = status == PEER_OK && now_ms - mirror->sent_ms >= MIRROR_START_HOLD_MS;
  bool usable = followed != NULL && followed->all && followed->reached
                && platform_index_era (followed->revision) >= mirror->era;
  uint64_t id = mirror->call;
  mirror->call = 0;
  if (usable)
    apply_first_contents (mirror, reply, followed);
  else if (!held)
    note_relay_failure (mirror, id, status, followed);
  mirror->source[0] = '\0';
  next_call (mirror);
}

static void
on_relay_reply (void *arg, enum peer_status status, const peer_message *reply)
{
  struct mirror *mirror = arg;
  const peer_followed *followed = followed_of (status, reply);
  /* A relay of an earlier version of the program does not know the era.  */
  bool current = followed != NULL
                 && platform_index_era (followed->revision) >= mirror->era;
  bool reachable = current && followed->reached;
  uint64_t id = mirror->call;
  mirror->call = 0;
  mirror->applying = true;
  if (current)
    {
      apply_relay_reply (mirror, followed,
                         reply->body.kind == PEER_KIND_FOLLOWED_DATED);
      date_followed (mirror, reply);
      notify_applied (mirror);
    }
  if (reachable)
    set_store_reachable (mirror, true);
  else if (followed == NULL && refuses_dated (mirror, status))
    {
      text_copy (mirror->undated, sizeof mirror->undated, mirror->source);
      mirror->undated_until_ms
          = kernel_now (mirror->base.kernel) + MIRROR_UNDATED_MS;
    }
  else
    {
      /* It refuses other calls too, so the kind was not the reason.  */
      if (!mirror->dated)
        mirror->undated[0] = '\0';
      note_relay_failure (mirror, id, status, followed);
    }
  mirror->source[0] = '\0';
  end_applying (mirror);
  next_call (mirror);
}

/* Returns whether the contents are older than they may become, so that a relay
   that does not confirm them is not enough.  A relay that follows another one
   has a limit too: relays with different lists might follow each other.  */
static bool
is_too_old (const struct mirror *mirror)
{
  const struct mirror_age *age = &mirror->age;
  clk_ms since_ms = age->confirmed_ms > age->settled_ms ? age->confirmed_ms
                                                        : age->settled_ms;
  clk_ms limit_ms = mirror->age_ms;
  if (limit_ms == 0 && relay_serves (mirror->relay))
    limit_ms = 2 * mirror->confirm_ms + MIRROR_CURRENT_MARGIN_MS;
  return limit_ms > 0
         && kernel_now (mirror->base.kernel) - since_ms > limit_ms;
}

static bool
is_undated (const struct mirror *mirror, const char *relay)
{
  return strcmp (mirror->undated, relay) == 0
         && kernel_now (mirror->base.kernel) < mirror->undated_until_ms;
}

/* Queries the relay that this host follows, if there is one, for changes.
   After failures the store itself is queried.  */
static bool
follow_relay (struct mirror *mirror)
{
  const struct other_host *host = mirror->listing || mirror->immediate
                                          || mirror->failures > 0
                                          || is_too_old (mirror)
                                      ? NULL
                                      : relay_source (mirror->relay);
  clk_ms wait_ms = follow_wait_ms (mirror);
  if (host == NULL)
    return false;
  mirror->dated = !is_undated (mirror, host->address.name);
  /* A relay must be able to tell the age of its contents.  */
  if (!mirror->dated && relay_serves (mirror->relay))
    return false;
  peer_follow follow = { .revision = mirror->revision, .wait_ms = wait_ms };
  peer_body body = { .kind = PEER_KIND_FOLLOW };
  body.peer_body_u.follow = follow;
  if (mirror->dated)
    {
      body.kind = PEER_KIND_FOLLOW_DATED;
      body.peer_body_u.follow_dated = follow;
    }
  text_copy (mirror->source, sizeof mirror->source, host->address.name);
  mirror->call
      = hosts_call (mirror->hosts, &host->address, &body,
                    wait_ms + MIRROR_FOLLOW_MARGIN_MS, on_relay_reply, mirror);
  return true;
}

/* Asks a relay for the whole contents.  Returns false if this host has to list
   the store instead.  */
static bool
start_from_relay (struct mirror *mirror)
{
  clk_ms now_ms = kernel_now (mirror->base.kernel);
  const struct other_host *host = relay_source (mirror->relay);
  peer_body body = { .kind = PEER_KIND_FOLLOW_DATED };
  if (mirror->complete || mirror->stage != START_RELAY)
    return false;
  if (host == NULL || now_ms >= mirror->follow_until_ms)
    {
      mirror->stage = START_STORE;
      return false;
    }
  body.peer_body_u.follow_dated
      = (peer_follow){ .wait_ms = MIRROR_START_HOLD_MS };
  text_copy (mirror->source, sizeof mirror->source, host->address.name);
  mirror->call = hosts_call (mirror->hosts, &host->address, &body,
                             MIRROR_START_HOLD_MS + MIRROR_START_REPLY_MS,
                             on_start_reply, mirror);
  return true;
}

/* Returns how long the next watch may wait: until the contents must be
   confirmed again, or a relay that failed may be asked again.  After a failure
   a short watch shows early whether the store answers.  */
static clk_ms
watch_wait_ms (const struct mirror *mirror)
{
  clk_ms now_ms = kernel_now (mirror->base.kernel);
  clk_ms due_ms = confirm_due_ms (mirror);
  clk_ms retry_ms = relay_retry_ms (mirror->relay);
  if (!mirror->immediate && retry_ms < due_ms)
    due_ms = retry_ms;
  return mirror->failures > 0 || mirror->checks || due_ms <= now_ms
             ? 1
             : due_ms - now_ms;
}

static void
next_call (struct mirror *mirror)
{
  struct platform_call call
      = { .kind = mirror->listing ? PLATFORM_LIST : PLATFORM_WATCH,
          .purpose = mirror->listing ? "list" : "watch",
          .key = "",
          .after = mirror->after,
          .wait_index = mirror->revision,
          .timeout_ms = MIRROR_CALL_TIMEOUT_MS };
  mirror->sent_ms = kernel_now (mirror->base.kernel);
  if (start_from_relay (mirror) || follow_relay (mirror))
    return;
  if (lists_first (mirror))
    {
      call.purpose = "list_first";
      call.key = first_subscriber (mirror)->prefix;
    }
  if (mirror->listing)
    call.timeout_ms = list_timeout_ms (mirror);
  else
    call.wait_ms = watch_wait_ms (mirror);
  mirror->checks = false;
  mirror->wait_ms = call.wait_ms;
  mirror->seen_bytes = 0;
  mirror->heard_bytes = 0;
  if (!mirror->listing && mirror->failures == 0)
    call.timeout_ms = MIRROR_WATCH_MARGIN_MS;
  mirror->call
      = mirror->port->ops->call (mirror->port, &call, on_reply, mirror);
}

static void
on_next_call_timer (void *arg)
{
  next_call (arg);
}

/* Cancels the call in flight.  */
static void
cancel_call (struct mirror *mirror)
{
  if (mirror->call == 0)
    return;
  if (mirror_follows_relay (mirror))
    hosts_cancel (mirror->hosts, mirror->call);
  else
    mirror->port->ops->cancel (mirror->port, mirror->call);
  mirror->call = 0;
  mirror->source[0] = '\0';
}

void
mirror_restart_list (struct mirror *mirror)
{
  if (mirror->applying)
    {
      mirror->relist = true;
      return;
    }
  cancel_call (mirror);
  start_list (mirror);
  kernel_timer_set (mirror->base.kernel, &mirror->next_call_timer,
                    kernel_now (mirror->base.kernel));
}

void
mirror_note_era (struct mirror *mirror, uint64_t era)
{
  /* A relay tells of the restoration itself.  */
  if (!mirror->complete || mirror->listing || mirror_follows_relay (mirror))
    return;
  if (note_era (mirror, era, 0))
    mirror_restart_list (mirror);
}

bool
mirror_check_now (struct mirror *mirror)
{
  struct kernel *kernel = mirror->base.kernel;
  if (mirror->call != 0 || mirror->applying || mirror->listing
      || mirror->failures > 0)
    return false;
  mirror->checks = true;
  kernel_timer_set (kernel, &mirror->next_call_timer, kernel_now (kernel));
  return true;
}

/* Returns the number of bytes of the store's response to the call in flight
   received so far.  */
static size_t
received_bytes (const struct mirror *mirror)
{
  const struct platform_port_ops *ops = mirror->port->ops;
  if (mirror->call == 0 || mirror_follows_relay (mirror)
      || ops->received == NULL)
    return 0;
  return ops->received (mirror->port, mirror->call);
}

clk_ms
mirror_store_heard_ms (struct mirror *mirror)
{
  size_t bytes = received_bytes (mirror);
  if (bytes > mirror->heard_bytes)
    {
      mirror->heard_bytes = bytes;
      mirror->store_heard_ms = kernel_now (mirror->base.kernel);
    }
  return mirror->store_heard_ms;
}

static void
replace_watch (struct mirror *mirror)
{
  if (!is_watching (mirror))
    return;
  cancel_call (mirror);
  mirror->failures++;
  next_call (mirror);
}

void
mirror_restart_watch (struct mirror *mirror)
{
  if (received_bytes (mirror) == 0)
    replace_watch (mirror);
}

/* Fires TIMER, the check of an overdue watch, again later if a part of the
   response has arrived since the last check.  Returns whether it has.  A watch
   that is replaced has to receive all of it again.  */
static bool
await_response (struct mirror *mirror, struct ktimer *timer)
{
  struct kernel *kernel = mirror->base.kernel;
  size_t bytes = received_bytes (mirror);
  if (bytes == 0 || bytes == mirror->seen_bytes)
    return false;
  mirror->seen_bytes = bytes;
  kernel_timer_set (kernel, timer, kernel_now (kernel) + PLATFORM_STALL_MS);
  return true;
}

static void
on_expect_timer (void *arg)
{
  struct mirror *mirror = arg;
  if (mirror->revision >= mirror->expected || !is_watching (mirror)
      || await_response (mirror, &mirror->expect_timer))
    return;
  log_event (kernel_log (mirror->base.kernel), LOG_WARNING, "watch_silent",
             LOG_U ("revision", platform_index_revision (mirror->revision)),
             LOG_U ("expected", platform_index_revision (mirror->expected)),
             LOG_U ("received_bytes", received_bytes (mirror)));
  replace_watch (mirror);
}

void
mirror_expect (struct mirror *mirror, uint64_t revision)
{
  struct kernel *kernel = mirror->base.kernel;
  if (revision <= mirror->expected)
    return;
  mirror->expected = revision;
  kernel_timer_set (kernel, &mirror->expect_timer,
                    kernel_now (kernel) + MIRROR_OWN_WRITE_WAIT_MS);
}

static void
on_peer_timer (void *arg)
{
  struct mirror *mirror = arg;
  if (mirror->revision >= mirror->peer_revision || !is_watching (mirror)
      || await_response (mirror, &mirror->peer_timer))
    return;
  log_event (kernel_log (mirror->base.kernel), LOG_WARNING, "watch_behind",
             LOG_U ("revision", platform_index_revision (mirror->revision)),
             LOG_U ("heard", platform_index_revision (mirror->peer_revision)),
             LOG_U ("received_bytes", received_bytes (mirror)));
  replace_watch (mirror);
}

void
mirror_set_peer_revision (struct mirror *mirror, uint64_t revision)
{
  struct kernel *kernel = mirror->base.kernel;
  if (revision > mirror->peer_revision)
    mirror->peer_revision = revision;
  /* In the delay before a watch no call is in flight; the next watch delivers
     the changes.  */
  if (mirror->peer_revision > mirror->revision && mirror->call != 0
      && mirror->peer_timer.slot == 0)
    kernel_timer_set (kernel, &mirror->peer_timer,
                      kernel_now (kernel) + MIRROR_PEER_REVISION_WAIT_MS);
}

static void
mirror_start (struct module *module)
{
  struct mirror *mirror = (struct mirror *)module;
  mirror->hosts = (struct hosts *)kernel_find (module->kernel, "hosts");
  mirror->relay = (struct relay *)kernel_find (module->kernel, "relay");
  start_list (mirror);
  next_call (mirror);
}

static void
mirror_free (struct module *module)
{
  struct mirror *mirror = (struct mirror *)module;
  cancel_call (mirror);
  kernel_timer_cancel (module->kernel, &mirror->next_call_timer);
  kernel_timer_cancel (module->kernel, &mirror->expect_timer);
  kernel_timer_cancel (module->kernel, &mirror->peer_timer);
  free (mirror->after);
  free (mirror);
}

static const struct module_ops mirror_ops
    = { .start = mirror_start, .free = mirror_free };

struct mirror *
mirror_new (struct platform_port *port, clk_ms apply_ms, clk_ms age_ms)
{
  struct mirror *mirror = mem_zalloc (sizeof *mirror);
  mirror->confirm_ms = apply_ms / MIRROR_WAIT_DIVISOR;
  if (mirror->confirm_ms > MIRROR_WAIT_LIMIT_MS)
    mirror->confirm_ms = MIRROR_WAIT_LIMIT_MS;
  mirror->base.ops = &mirror_ops;
  mirror->base.name = "mirror";
  mirror->port = port;
  mirror->age_ms = age_ms;
  mirror_age_init (&mirror->age);
  mirror->current_ms = CLK_LONG_AGO;
  mirror->restored_ms = CLK_LONG_AGO;
  mirror->store_heard_ms = CLK_LONG_AGO;
  mirror->next_call_timer.fire = on_next_call_timer;
  mirror->next_call_timer.arg = mirror;
  mirror->expect_timer
      = (struct ktimer){ .fire = on_expect_timer, .arg = mirror };
  mirror->peer_timer = (struct ktimer){ .fire = on_peer_timer, .arg = mirror };
  return mirror;
}

struct module *
mirror_module (struct mirror *mirror)
{
  return &mirror->base;
}

void
mirror_subscribe (struct mirror *mirror, const struct mirror_events *events)
{
  if (mirror->subscriber_count == MIRROR_SUBSCRIBERS)
    abort (); /* the number of modules is fixed */
  mirror->subscribers[mirror->subscriber_count++] = *events;
}

void
mirror_set_immediate (struct mirror *mirror, bool immediate)
{
  struct kernel *kernel = mirror->base.kernel;
  mirror->immediate = immediate;
  if (mirror->applying)
    return; /* the next call follows the reply */
  if (immediate && mirror_follows_relay (mirror))
    {
      cancel_call (mirror);
      next_call (mirror);
    }
  if (immediate && mirror->failures == 0 && mirror->next_call_timer.slot != 0)
    kernel_timer_set (kernel, &mirror->next_call_timer, kernel_now (kernel));
}

void
mirror_set_eager (struct mirror *mirror, bool eager)
{
  struct kernel *kernel = mirror->base.kernel;
  clk_ms due_ms = kernel_now (kernel) + MIRROR_EAGER_WATCH_DELAY_MS;
  bool waits = mirror->next_call_timer.slot != 0 && mirror->failures == 0;
  if (eager && !mirror->eager && waits)
    kernel_timer_set (kernel, &mirror->next_call_timer, due_ms);
  mirror->eager = eager;
}

struct mirror_state
mirror_state (const struct mirror *mirror)
{
  clk_ms now_ms = kernel_now (mirror->base.kernel);
  bool never = mirror->current_ms == CLK_LONG_AGO;
  return (struct mirror_state){
    .revision = platform_index_revision (mirror->revision),
    .heard_ms_ago = never ? -1 : now_ms - mirror->current_ms,
    .heard_from = mirror->heard_from,
  };
}

clk_ms
mirror_confirmed_ms (const struct mirror *mirror)
{
  return mirror->age.confirmed_ms;
}

clk_ms
mirror_confirmed_in_era_ms (const struct mirror *mirror)
{
  return mirror->age.in_era ? mirror->age.confirmed_ms : CLK_LONG_AGO;
}

uint64_t
mirror_revision (const struct mirror *mirror)
{
  return mirror->revision;
}

clk_ms
mirror_changed_after_ms (const struct mirror *mirror)
{
  return mirror->changed_after_ms;
}

bool
mirror_complete (const struct mirror *mirror)
{
  return mirror->complete;
}

bool
mirror_current (const struct mirror *mirror)
{
  clk_ms age_ms = kernel_now (mirror->base.kernel) - mirror->current_ms;
  return mirror->complete && age_ms <= current_limit_ms (mirror);
}

bool
mirror_store_reachable (const struct mirror *mirror)
{
  return mirror->store_reachable;
}
