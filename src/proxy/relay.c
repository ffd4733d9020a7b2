#include "proxy/relay.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"
#include "kernel/text.h"
#include "proxy/mirror.h"

/* A key of the store, present or removed.  */
struct relay_item
{
  char *key;
  char *value;
  size_t value_bytes;
  uint64_t revision;
  uint64_t created;
  bool removed;
  bool listed; /* seen in the current full listing */
  UT_hash_handle hh;
};

/* A call of another host that waits for changes after REVISION.  */
struct follow_call
{
  struct relay *relay;
  uint64_t call;
  uint64_t revision;
  bool dated;
  clk_ms since_ms;
  struct ktimer timeout;
  struct follow_call *prev;
  struct follow_call *next;
};

/* A relay that did not answer or did not reach the store.  */
struct failed_relay
{
  char host[NAME_BYTES];
  clk_ms until_ms;
};

struct relay
{
  struct module base;
  struct hosts *hosts;
  struct mirror *mirror;
  uint32_t capacity;
  bool store_refuses;
  struct ktimer refused_timer;
  bool detached; /* the last reply told that the store is not reached */
  bool active;   /* this host is a relay */
  bool keeps;    /* it keeps the contents */
  clk_ms started_ms;
  struct ktimer decide_timer;
  bool listing;             /* kept from the start of the present listing on */
  bool complete;            /* the contents of a full listing are kept */
  bool knows_removals;      /* before the present listing */
  uint64_t purged_revision; /* removals up to it may not be known */
  size_t removed_count;
  struct relay_item *items;
  struct follow_call *follow_calls;
  size_t watcher_count;
  const struct other_host **watchers;
  bool follows; /* this host follows a relay of its domain, one of SOURCES */
  size_t source_count;
  const struct other_host *sources[RELAY_HOSTS];
  size_t next_failed;
  struct failed_relay failed[RELAY_HOSTS];
};

/* Returns whether a host of a failure domain has priority over another one as
   a relay: by capacity, then by a hash of the name.  */
static bool
ranks_before (uint32_t capacity, const char *name, uint32_t other_capacity,
              const char *other_name)
{
  if (capacity != other_capacity)
    return capacity > other_capacity;
  uint64_t own = XXH64 (name, strlen (name), 0);
  uint64_t other = XXH64 (other_name, strlen (other_name), 0);
  return own != other ? own > other : strcmp (name, other_name) < 0;
}

/* The relays of a failure domain among the other hosts, in order of rank.  */
struct relays
{
  const char *zone;
  size_t domain_hosts;
  size_t count;
  const struct other_host *hosts[RELAY_HOSTS];
};

static void
insert_relay (struct relays *relays, const struct other_host *host)
{
  size_t at = relays->count;
  relays->domain_hosts++;
  while (at > 0
         && ranks_before (host->capacity, host->address.name,
                          relays->hosts[at - 1]->capacity,
                          relays->hosts[at - 1]->address.name))
    at--;
  if (at == RELAY_HOSTS)
    return;
  if (relays->count < RELAY_HOSTS)
    relays->count++;
  for (size_t i = relays->count - 1; i > at; i--)
    relays->hosts[i] = relays->hosts[i - 1];
  relays->hosts[at] = host;
}

/* Lists the failure domains, this host's own first; returns their number.  */
static size_t
find_relays (const struct relay *relay, struct relays all[RELAY_MAX_DOMAINS])
{
  size_t count, domains = 1;
  const struct other_host *const *others = hosts_list (relay->hosts, &count);
  all[0] = (struct relays){ .zone = hosts_own_zone (relay->hosts),
                            .domain_hosts = 1 };
  for (size_t i = 0; i < count; i++)
    {
      size_t d = 0;
      while (d < domains && strcmp (all[d].zone, others[i]->zone) != 0)
        d++;
      if (d == RELAY_MAX_DOMAINS)
        continue;
      if (d == domains)
        all[domains++] = (struct relays){ .zone = others[i]->zone };
      insert_relay (&all[d], others[i]);
    }
  return domains;
}

/* Returns the number of hosts of its failure domain, OWN, that come before
   this one as relays, at most RELAY_HOSTS.  */
static size_t
own_rank (const struct relay *relay, const struct relays *own)
{
  size_t before = 0;
  for (size_t i = 0; i < own->count; i++)
    before
        += ranks_before (own->hosts[i]->capacity, own->hosts[i]->address.name,
                         relay->capacity, hosts_own_name (relay->hosts));
  return before;
}

/* Lists the other hosts that follow the store itself: in a failure domain with
   relays only the first of them.  RANK is that of this host in the first
   domain.  */
static void
list_watchers (struct relay *relay, const struct relays *all, size_t domains,
               size_t rank)
{
  size_t count;
  const struct other_host *const *others = hosts_list (relay->hosts, &count);
  free (relay->watchers);
  relay->watchers = mem_zalloc ((count + 1) * sizeof *relay->watchers);
  relay->watcher_count = 0;
  for (size_t i = 0; i < count; i++)
    for (size_t d = 0; d < domains; d++)
      {
        const struct other_host *first
            = d == 0 && rank == 0 ? NULL : all[d].hosts[0];
        if (strcmp (all[d].zone, others[i]->zone) == 0
            && (all[d].domain_hosts < RELAY_MIN_DOMAIN_HOSTS
                || others[i] == first))
          relay->watchers[relay->watcher_count++] = others[i];
      }
}

const struct other_host *const *
relay_watchers (const struct relay *relay, size_t *count)
{
  *count = relay->watcher_count;
  return relay->watchers;
}

static bool
has_failed (const struct relay *relay, const char *name)
{
  clk_ms now_ms = kernel_now (relay->base.kernel);
  for (size_t i = 0; i < RELAY_HOSTS; i++)
    if (now_ms < relay->failed[i].until_ms
        && strcmp (relay->failed[i].host, name) == 0)
      return true;
  return false;
}

const struct other_host *
relay_source (const struct relay *relay)
{
  if (!relay->follows || !hosts_ready (relay->hosts))
    return NULL;
  for (size_t i = 0; i < relay->source_count; i++)
    if (!has_failed (relay, relay->sources[i]->address.name))
      return relay->sources[i];
  return NULL;
}

clk_ms
relay_retry_ms (const struct relay *relay)
{
  clk_ms now_ms = kernel_now (relay->base.kernel), retry_ms = CLK_NEVER;
  for (size_t s = 0; relay->follows && s < relay->source_count; s++)
    for (size_t i = 0; i < RELAY_HOSTS; i++)
      {
        const struct failed_relay *failed = &relay->failed[i];
        if (failed->until_ms > now_ms && failed->until_ms < retry_ms
            && strcmp (failed->host, relay->sources[s]->address.name) == 0)
          retry_ms = failed->until_ms;
      }
  return retry_ms;
}

bool
relay_serves (const struct relay *relay)
{
  return relay->active;
}

void
relay_failed (struct relay *relay, const struct relay_failure *failure)
{
  struct kernel *kernel = relay->base.kernel;
  struct failed_relay *failed = &relay->failed[relay->next_failed];
  relay->next_failed = (relay->next_failed + 1) % RELAY_HOSTS;
  text_copy (failed->host, sizeof failed->host, failure->host);
  failed->until_ms
      = kernel_now (kernel)
        + (failure->answered ? RELAY_DETACHED_MS : RELAY_FAILED_MS);
  log_event (kernel_log (kernel), LOG_INFO, "relay_failed",
             LOG_S ("host", failure->host), LOG_S ("why", failure->reason),
             LOG_I ("spent_ms", failure->spent_ms),
             LOG_U ("received_bytes", failure->received_bytes),
             LOG_U ("revision", platform_index_revision (failure->revision)),
             LOG_U ("relay_revision",
                    platform_index_revision (failure->relay_revision)));
}

static void
free_item (struct relay *relay, struct relay_item *item)
{
  HASH_DEL (relay->items, item);
  relay->removed_count -= item->removed;
  free (item->key);
  free (item->value);
  free (item);
}

static void
clear_items (struct relay *relay)
{
  struct relay_item *item, *next;
  HASH_ITER (hh, relay->items, item, next) { free_item (relay, item); }
  relay->listing = false;
  relay->complete = false;
}

/* Drops all removed keys.  Hosts that missed one receive the whole contents,
   which is rare since hosts keep up.  */
static void
purge_removed (struct relay *relay)
{
  struct relay_item *item, *next;
  HASH_ITER (hh, relay->items, item, next)
  {
    if (!item->removed)
      continue;
    if (item->revision > relay->purged_revision)
      relay->purged_revision = item->revision;
    free_item (relay, item);
  }
}

static struct relay_item *
ensure_item (struct relay *relay, const char *key)
{
  struct relay_item *item;
  HASH_FIND_STR (relay->items, key, item);
  if (item != NULL)
    return item;
  item = mem_zalloc (sizeof *item);
  item->key = mem_strdup (key);
  HASH_ADD_KEYPTR (hh, relay->items, item->key, strlen (key), item);
  return item;
}

static void
remove_item (struct relay *relay, struct relay_item *item, uint64_t revision)
{
  free (item->value);
  item->value = NULL;
  item->value_bytes = 0;
  item->revision = revision;
  relay->removed_count += !item->removed;
  item->removed = true;
  if (relay->removed_count > RELAY_MAX_REMOVED)
    purge_removed (relay);
}

static void
on_item (void *arg, const struct platform_item *got)
{
  struct relay *relay = arg;
  if (!relay->keeps)
    return;
  struct relay_item *item = ensure_item (relay, got->key);
  item->listed = true;
  if (got->index < item->revision)
    return;
  relay->removed_count -= item->removed;
  item->removed = false;
  free (item->value);
  item->value = mem_zalloc (got->value_bytes + 1);
  memcpy (item->value, got->value, got->value_bytes);
  item->value_bytes = got->value_bytes;
  item->revision = got->index;
  item->created = got->created;
}

static void
on_removed (void *arg, const char *key, uint64_t revision)
{
  struct relay *relay = arg;
  if (!relay->keeps)
    return;
  struct relay_item *item = ensure_item (relay, key);
  if (revision >= item->revision)
    remove_item (relay, item, revision);
}

static void
on_begin_list (void *arg)
{
  struct relay *relay = arg;
  struct relay_item *item;
  relay->knows_removals = relay->complete;
  relay->complete = false;
  relay->listing = relay->keeps;
  for (item = relay->items; item != NULL; item = item->hh.next)
    item->listed = false;
}

static void
on_end_list (void *arg, uint64_t revision)
{
  struct relay *relay = arg;
  struct relay_item *item, *next;
  /* A host that became a relay within a listing has a part of it only.  */
  if (!relay->keeps || !relay->listing)
    return;
  HASH_ITER (hh, relay->items, item, next)
  {
    if (!item->listed && !item->removed && item->revision <= revision)
      remove_item (relay, item, revision);
  }
  if (!relay->knows_removals)
    relay->purged_revision = revision;
  relay->complete = true;
}

static size_t
count_newer (const struct relay *relay, uint64_t revision, bool all)
{
  const struct relay_item *item;
  size_t count = 0;
  for (item = relay->items; item != NULL; item = item->hh.next)
    count += all ? !item->removed : item->revision > revision;
  return count;
}

static void
fill_items (const struct relay *relay, uint64_t revision, bool all,
            peer_item *out)
{
  const struct relay_item *item;
  for (item = relay->items; item != NULL; item = item->hh.next)
    {
      if (all ? item->removed : item->revision <= revision)
        continue;
      *out++ = (peer_item){ .key = item->key,
                            .revision = item->revision,
                            .created = item->created,
                            .removed = item->removed,
                            .value = { .value_len = (u_int)item->value_bytes,
                                       .value_val = item->value } };
    }
}

/* Returns whether the store refuses the calls of this host, and has not been
   heard lately either.  What follows another relay depends on that one.  */
static bool
is_refused (const struct relay *relay)
{
  return relay->store_refuses && !mirror_follows_relay (relay->mirror)
         && kernel_now (relay->base.kernel)
                >= mirror_store_heard_ms (relay->mirror) + RELAY_SILENT_MS;
}

/* Returns why this host does not reach the store; NULL if it does.  */
static const char *
detached_reason (const struct relay *relay)
{
  if (!mirror_store_reachable (relay->mirror))
    return "store unreachable";
  if (!mirror_current (relay->mirror))
    return "contents not confirmed";
  return is_refused (relay) ? "store refuses calls" : NULL;
}

static bool
reaches_store (const struct relay *relay)
{
  return detached_reason (relay) == NULL;
}

/* Logs that the followers are told that the store is not reached, or is
   again.  */
static void
note_detached (struct relay *relay)
{
  const char *reason = detached_reason (relay);
  struct mirror_state state = mirror_state (relay->mirror);
  struct log *log = kernel_log (relay->base.kernel);
  size_t waiting;
  const struct follow_call *call;
  if (relay->detached == (reason != NULL))
    return;
  relay->detached = reason != NULL;
  DL_COUNT (relay->follow_calls, call, waiting);
  log_event (log, reason != NULL ? LOG_WARNING : LOG_NOTICE,
             reason != NULL ? "relay_detached" : "relay_attached",
             LOG_S ("why", reason != NULL ? reason : ""),
             LOG_U ("revision", state.revision),
             LOG_I ("heard_ms_ago", state.heard_ms_ago),
             LOG_S ("heard_from", state.heard_from),
             LOG_U ("waiting", waiting));
}

/* Returns the age of the contents at NOW_MS; negative if it is not known.  */
static clk_ms
contents_age_ms (const struct relay *relay, clk_ms now_ms)
{
  clk_ms confirmed_ms = mirror_confirmed_in_era_ms (relay->mirror);
  if (MUTANT (younger_relay_age))
    return 0;
  return confirmed_ms != CLK_LONG_AGO ? now_ms - confirmed_ms : -1;
}

static void
reply_follow (struct relay *relay, const struct follow_call *follow_call)
{
  note_detached (relay);
  uint64_t revision = follow_call->revision;
  bool all = revision < relay->purged_revision
             || platform_index_era (revision)
                    < platform_index_era (mirror_revision (relay->mirror));
  size_t count = count_newer (relay, revision, all);
  peer_item *items = mem_zalloc ((count + 1) * sizeof *items);
  peer_body body = { .kind = PEER_KIND_FOLLOWED };
  fill_items (relay, revision, all, items);
  peer_followed followed = {
    .revision = mirror_revision (relay->mirror),
    .all = all,
    .reached = reaches_store (relay),
    .items = { .items_len = (u_int)count, .items_val = items },
  };
  body.peer_body_u.followed = followed;
  if (follow_call->dated)
    {
      /* One reading of the clock: the follower uses the difference.  */
      clk_ms now_ms = kernel_now (relay->base.kernel);
      body.kind = PEER_KIND_FOLLOWED_DATED;
      body.peer_body_u.followed_dated
          = (peer_followed_dated){ .followed = followed,
                                   .age_ms = contents_age_ms (relay, now_ms),
                                   .held_ms = now_ms - follow_call->since_ms };
    }
  hosts_reply (relay->hosts, follow_call->call, &body);
  free (items);
}

static void
end_follow_call (struct follow_call *follow_call)
{
  struct relay *relay = follow_call->relay;
  kernel_timer_cancel (relay->base.kernel, &follow_call->timeout);
  DL_DELETE (relay->follow_calls, follow_call);
  if (relay->complete)
    reply_follow (relay, follow_call);
  else
    hosts_reply (relay->hosts, follow_call->call,
                 &(peer_body){ .kind = PEER_KIND_REFUSED });
  free (follow_call);
}

static void
on_timeout (void *arg)
{
  end_follow_call (arg);
}

static void
on_applied (void *arg)
{
  struct relay *relay = arg;
  struct follow_call *follow_call, *next;
  if (!relay->complete)
    {
      /* It became a relay after the contents had been listed.  */
      if (relay->active)
        mirror_restart_list (relay->mirror);
      return;
    }
  DL_FOREACH_SAFE (relay->follow_calls, follow_call, next)
  {
    if (follow_call->revision < mirror_revision (relay->mirror))
      end_follow_call (follow_call);
  }
}

static void
on_reachable_changed (void *arg, bool reachable)
{
  struct relay *relay = arg;
  /* The reply reports to waiting hosts that the store is unreachable.  */
  while (!reachable && relay->follow_calls != NULL)
    end_follow_call (relay->follow_calls);
}

/* Ends the waiting calls if the store refuses this host, else asks the store
   again until it accepts calls.  */
static void
check_refused (void *arg)
{
  struct relay *relay = arg;
  struct kernel *kernel = relay->base.kernel;
  clk_ms now_ms = kernel_now (kernel);
  if (is_refused (relay))
    {
      on_reachable_changed (relay, false);
      return;
    }
  if (!relay->store_refuses || !relay->active)
    return;
  if (!mirror_check_now (relay->mirror))
    mirror_restart_watch (relay->mirror);
  clk_ms due_ms = mirror_store_heard_ms (relay->mirror) + RELAY_SILENT_MS;
  kernel_timer_set (kernel, &relay->refused_timer,
                    due_ms > now_ms ? due_ms : now_ms + RELAY_SILENT_MS);
}

void
relay_store_refuses (struct relay *relay, bool refuses)
{
  relay->store_refuses = refuses;
  kernel_timer_cancel (relay->base.kernel, &relay->refused_timer);
  check_refused (relay);
}

static void
on_follow (void *arg, uint64_t call, const peer_message *message)
{
  struct relay *relay = arg;
  struct kernel *kernel = relay->base.kernel;
  bool dated = message->body.kind == PEER_KIND_FOLLOW_DATED;
  const peer_follow *follow = dated ? &message->body.peer_body_u.follow_dated
                                    : &message->body.peer_body_u.follow;
  /* Hosts that start together wait for the contents.  */
  bool starting = follow->revision == 0 && !relay->complete;
  if (!relay->active || (!relay->complete && !starting)
      || follow->wait_ms > RELAY_WAIT_MS
      || mirror_follows (relay->mirror, message->from.host))
    {
      hosts_reply (relay->hosts, call,
                   &(peer_body){ .kind = PEER_KIND_REFUSED });
      return;
    }
  struct follow_call arrived = { .relay = relay,
                                 .call = call,
                                 .revision = follow->revision,
                                 .dated = dated,
                                 .since_ms = kernel_now (kernel) };
  if (!starting
      && (follow->revision < mirror_revision (relay->mirror)
          || !reaches_store (relay)))
    {
      reply_follow (relay, &arrived);
      return;
    }
  struct follow_call *follow_call = mem_zalloc (sizeof *follow_call);
  *follow_call = arrived;
  follow_call->timeout
      = (struct ktimer){ .fire = on_timeout, .arg = follow_call };
  DL_APPEND (relay->follow_calls, follow_call);
  kernel_timer_set (kernel, &follow_call->timeout,
                    arrived.since_ms + follow->wait_ms);
}

void
relay_set_capacity (struct relay *relay, uint32_t capacity)
{
  relay->capacity = capacity;
}

/* Drops the contents unless this host is a relay, or has just started: then it
   may become one without listing the store again.  */
static void
drop_contents (struct relay *relay)
{
  struct kernel *kernel = relay->base.kernel;
  clk_ms decided_ms = relay->started_ms + RELAY_UNDECIDED_MS;
  if (relay->active || !relay->keeps)
    return;
  if (kernel_now (kernel) < decided_ms)
    {
      kernel_timer_set (kernel, &relay->decide_timer, decided_ms);
      return;
    }
  relay->keeps = false;
  clear_items (relay);
}

static void
on_decide_timer (void *arg)
{
  drop_contents (arg);
}

void
relay_hosts_changed (struct relay *relay)
{
  struct relays all[RELAY_MAX_DOMAINS];
  size_t domains = find_relays (relay, all);
  size_t rank = own_rank (relay, &all[0]);
  bool large = all[0].domain_hosts >= RELAY_MIN_DOMAIN_HOSTS;
  bool serves = large && rank < RELAY_HOSTS;
  list_watchers (relay, all, domains, rank);
  relay->follows = large && rank > 0;
  relay->source_count = serves ? rank : all[0].count;
  memcpy (relay->sources, all[0].hosts, sizeof relay->sources);
  if (serves == relay->active)
    return;
  relay->active = serves;
  log_event (kernel_log (relay->base.kernel), LOG_NOTICE, "relay",
             LOG_U ("serves", relay->active), LOG_U ("rank", rank),
             LOG_U ("domain_hosts", all[0].domain_hosts));
  relay->keeps |= serves;
  drop_contents (relay);
  while (!serves && relay->follow_calls != NULL)
    end_follow_call (relay->follow_calls);
}

static void
relay_start (struct module *module)
{
  struct relay *relay = (struct relay *)module;
  struct mirror_events events = { .prefix = "",
                                  .item = on_item,
                                  .removed = on_removed,
                                  .begin_list = on_begin_list,
                                  .end_list = on_end_list,
                                  .applied = on_applied,
                                  .reachable_changed = on_reachable_changed,
                                  .arg = relay };
  relay->hosts = (struct hosts *)kernel_find (module->kernel, "hosts");
  relay->mirror = (struct mirror *)kernel_find (module->kernel, "mirror");
  mirror_subscribe (relay->mirror, &events);
  relay->keeps = true;
  relay->started_ms = kernel_now (module->kernel);
  relay->decide_timer
      = (struct ktimer){ .fire = on_decide_timer, .arg = relay };
  relay->refused_timer
      = (struct ktimer){ .fire = check_refused, .arg = relay };
  drop_contents (relay);
  hosts_handle (relay->hosts, PEER_KIND_FOLLOW, on_follow, relay);
  hosts_handle (relay->hosts, PEER_KIND_FOLLOW_DATED, on_follow, relay);
}

static void
relay_free (struct module *module)
{
  struct relay *relay = (struct relay *)module;
  relay->complete = false;
  kernel_timer_cancel (module->kernel, &relay->decide_timer);
  kernel_timer_cancel (module->kernel, &relay->refused_timer);
  while (relay->follow_calls != NULL)
    end_follow_call (relay->follow_calls);
  clear_items (relay);
  free (relay->watchers);
  free (relay);
}

static const struct module_ops relay_ops
    = { .start = relay_start, .free = relay_free };

struct relay *
relay_new (void)
{
  struct relay *relay = mem_zalloc (sizeof *relay);
  relay->base.ops = &relay_ops;
  relay->base.name = "relay";
  return relay;
}

struct module *
relay_module (struct relay *relay)
{
  return &relay->base;
}
