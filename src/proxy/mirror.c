#include "proxy/mirror.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "kernel/text.h"
#include "proxy/relay.h"

struct mirror
{
  struct module base;
  struct platform_port *port;
  struct hosts *hosts;
  struct relay *relay;
  char source[NAME_BYTES]; /* the relay that is asked; empty: the store */
  size_t subscriber_count;
  struct mirror_events subscribers[MIRROR_SUBSCRIBERS];
  bool prompt;
  bool listing;
  char *after;       /* last key of the page before; NULL for the first */
  uint64_t revision; /* taken in up to here */
  bool complete;
  bool reached;
  uint32_t failures;
  uint64_t call;
  struct ktimer retry;
  uint64_t expected;
  struct ktimer expect;
  uint64_t heard; /* by another host */
  struct ktimer hear;
};

static void next_call (struct mirror *mirror);

bool
mirror_follows (const struct mirror *mirror)
{
  return mirror->source[0] != '\0';
}

/* Whether a watch of the store is under way.  */
static bool
is_watching (const struct mirror *mirror)
{
  return mirror->call != 0 && !mirror->listing && !mirror_follows (mirror);
}

static void
set_reached (struct mirror *mirror, bool reached)
{
  if (mirror->reached == reached)
    return;
  mirror->reached = reached;
  log_event (kernel_log (mirror->base.kernel),
             reached ? LOG_NOTICE : LOG_WARNING,
             reached ? "store_regained" : "store_lost",
             LOG_U ("revision", mirror->revision));
  for (size_t i = 0; i < mirror->subscriber_count; i++)
    if (mirror->subscribers[i].reach != NULL)
      mirror->subscribers[i].reach (mirror->subscribers[i].arg, reached);
}

static void
retry_later (struct mirror *mirror)
{
  clk_ms wait_ms = MIRROR_RETRY_FIRST_MS;
  for (uint32_t i = 0; i < mirror->failures && wait_ms < MIRROR_RETRY_LAST_MS;
       i++)
    wait_ms *= 2;
  if (wait_ms > MIRROR_RETRY_LAST_MS)
    wait_ms = MIRROR_RETRY_LAST_MS;
  mirror->failures++;
  wait_ms += (clk_ms)rng_below (kernel_rng (mirror->base.kernel),
                                (uint64_t)wait_ms);
  kernel_timer_set (mirror->base.kernel, &mirror->retry,
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
take_item (struct mirror *mirror, const struct platform_item *item)
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
take_items (struct mirror *mirror, const struct platform_reply *reply)
{
  for (size_t i = 0; i < reply->item_count; i++)
    take_item (mirror, &reply->items[i]);
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
tell_taken (struct mirror *mirror)
{
  for (size_t i = 0; i < mirror->subscriber_count; i++)
    if (mirror->subscribers[i].taken != NULL)
      mirror->subscribers[i].taken (mirror->subscribers[i].arg);
}

static void
take_page (struct mirror *mirror, const struct platform_reply *reply)
{
  if (mirror->after == NULL)
    {
      /* Pages are no snapshot: changes since the first are watched for.  */
      mirror->revision = reply->index;
      begin_list (mirror);
    }
  take_items (mirror, reply);
  if (reply->more && reply->item_count > 0)
    {
      free (mirror->after);
      mirror->after = mem_strdup (reply->items[reply->item_count - 1].key);
      return;
    }
  mirror->listing = false;
  mirror->complete = true;
  end_list (mirror);
}

static clk_ms
settle_ms (const struct mirror *mirror)
{
  return relay_serves (mirror->relay) ? MIRROR_RELAY_SETTLE_MS
                                      : MIRROR_SETTLE_MS;
}

static void
on_reply (void *arg, const struct platform_reply *reply)
{
  struct mirror *mirror = arg;
  mirror->call = 0;
  if (reply->status == PLATFORM_COMPACTED)
    {
      log_event (kernel_log (mirror->base.kernel), LOG_NOTICE,
                 "store_compacted", LOG_U ("revision", mirror->revision));
      start_list (mirror);
      next_call (mirror);
      return;
    }
  if (reply->status != PLATFORM_OK)
    {
      if (mirror->failures > 0)
        set_reached (mirror, false);
      if (mirror->listing)
        start_list (mirror);
      retry_later (mirror);
      return;
    }
  mirror->failures = 0;
  set_reached (mirror, true);
  bool news = reply->item_count > 0;
  if (mirror->listing)
    {
      take_page (mirror, reply);
      news = !mirror->listing;
    }
  else
    {
      take_items (mirror, reply);
      if (reply->index > mirror->revision)
        mirror->revision = reply->index;
    }
  if (!mirror->listing)
    tell_taken (mirror);
  if (news && !mirror->prompt)
    kernel_timer_set (mirror->base.kernel, &mirror->retry,
                      kernel_now (mirror->base.kernel) + settle_ms (mirror));
  else
    next_call (mirror);
}

static void
take_followed (struct mirror *mirror, const peer_followed *reply)
{
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
      /* Values are NUL-terminated here.  */
      item.value = mem_zalloc (item.value_bytes + 1);
      memcpy (item.value, got->value.value_val, item.value_bytes);
      take_item (mirror, &item);
      free (item.value);
    }
  if (reply->revision > mirror->revision)
    mirror->revision = reply->revision;
  if (reply->all)
    end_list (mirror);
  tell_taken (mirror);
}

static void
on_followed (void *arg, enum peer_status status, const peer_message *reply)
{
  struct mirror *mirror = arg;
  bool answered = status == PEER_OK && reply->body.kind == PEER_KIND_FOLLOWED;
  bool reached = answered && reply->body.peer_body_u.followed.reached;
  mirror->call = 0;
  if (answered)
    take_followed (mirror, &reply->body.peer_body_u.followed);
  if (reached)
    set_reached (mirror, true);
  else
    relay_failed (mirror->relay, mirror->source);
  mirror->source[0] = '\0';
  next_call (mirror);
}

/* Asks the relay that this host follows, if there is one and the store was
   not found to be away.  */
static bool
follow_relay (struct mirror *mirror)
{
  const struct other_host *host
      = mirror->listing || mirror->prompt || mirror->failures > 0
            ? NULL
            : relay_source (mirror->relay);
  peer_body body = { .kind = PEER_KIND_FOLLOW };
  if (host == NULL)
    return false;
  body.peer_body_u.follow = (peer_follow){ .revision = mirror->revision,
                                           .wait_ms = RELAY_WAIT_MS };
  text_copy (mirror->source, sizeof mirror->source, host->address.name);
  mirror->call = hosts_call (mirror->hosts, &host->address, &body,
                             RELAY_WAIT_MS + MIRROR_FOLLOW_TIMEOUT_MS,
                             on_followed, mirror);
  return true;
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
          .wait_ms = mirror->listing ? 0 : MIRROR_WAIT_MS,
          .timeout_ms = MIRROR_TIMEOUT_MS };
  if (follow_relay (mirror))
    return;
  /* After a failure a short watch tells soon whether the store is back.  */
  if (!mirror->listing && mirror->failures > 0)
    call.wait_ms = 1;
  mirror->call
      = mirror->port->ops->call (mirror->port, &call, on_reply, mirror);
}

static void
on_retry (void *arg)
{
  next_call (arg);
}

/* Gives up the call that is under way.  */
static void
drop_call (struct mirror *mirror)
{
  if (mirror->call == 0)
    return;
  if (mirror_follows (mirror))
    hosts_cancel (mirror->hosts, mirror->call);
  else
    mirror->port->ops->cancel (mirror->port, mirror->call);
  mirror->call = 0;
  mirror->source[0] = '\0';
}

void
mirror_list_again (struct mirror *mirror)
{
  drop_call (mirror);
  start_list (mirror);
  kernel_timer_set (mirror->base.kernel, &mirror->retry,
                    kernel_now (mirror->base.kernel));
}

void
mirror_watch_again (struct mirror *mirror)
{
  if (!is_watching (mirror))
    return;
  drop_call (mirror);
  next_call (mirror);
}

static void
on_expect (void *arg)
{
  struct mirror *mirror = arg;
  if (mirror->revision >= mirror->expected || !is_watching (mirror))
    return;
  log_event (kernel_log (mirror->base.kernel), LOG_WARNING, "watch_silent",
             LOG_U ("revision", mirror->revision),
             LOG_U ("expected", mirror->expected));
  mirror_watch_again (mirror);
}

void
mirror_expect (struct mirror *mirror, uint64_t revision)
{
  struct kernel *kernel = mirror->base.kernel;
  if (revision <= mirror->expected)
    return;
  mirror->expected = revision;
  kernel_timer_set (kernel, &mirror->expect,
                    kernel_now (kernel) + MIRROR_EXPECT_MS);
}

static void
on_heard (void *arg)
{
  struct mirror *mirror = arg;
  if (mirror->revision >= mirror->heard || !is_watching (mirror))
    return;
  log_event (kernel_log (mirror->base.kernel), LOG_WARNING, "watch_behind",
             LOG_U ("revision", mirror->revision),
             LOG_U ("heard", mirror->heard));
  mirror_watch_again (mirror);
}

void
mirror_heard (struct mirror *mirror, uint64_t revision)
{
  struct kernel *kernel = mirror->base.kernel;
  if (revision > mirror->heard)
    mirror->heard = revision;
  /* While changes settle no watch waits; the next one brings them.  */
  if (mirror->heard > mirror->revision && mirror->call != 0
      && mirror->hear.slot == 0)
    kernel_timer_set (kernel, &mirror->hear,
                      kernel_now (kernel) + MIRROR_HEARD_MS);
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
  drop_call (mirror);
  kernel_timer_cancel (module->kernel, &mirror->retry);
  kernel_timer_cancel (module->kernel, &mirror->expect);
  kernel_timer_cancel (module->kernel, &mirror->hear);
  free (mirror->after);
  free (mirror);
}

static const struct module_ops mirror_ops
    = { .start = mirror_start, .free = mirror_free };

struct mirror *
mirror_new (struct platform_port *port)
{
  struct mirror *mirror = mem_zalloc (sizeof *mirror);
  mirror->base.ops = &mirror_ops;
  mirror->base.name = "mirror";
  mirror->port = port;
  mirror->retry.fire = on_retry;
  mirror->retry.arg = mirror;
  mirror->expect = (struct ktimer){ .fire = on_expect, .arg = mirror };
  mirror->hear = (struct ktimer){ .fire = on_heard, .arg = mirror };
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
mirror_set_prompt (struct mirror *mirror, bool prompt)
{
  struct kernel *kernel = mirror->base.kernel;
  mirror->prompt = prompt;
  if (prompt && mirror_follows (mirror))
    {
      drop_call (mirror);
      next_call (mirror);
    }
  if (prompt && mirror->failures == 0 && mirror->retry.slot != 0)
    kernel_timer_set (kernel, &mirror->retry, kernel_now (kernel));
}

uint64_t
mirror_revision (const struct mirror *mirror)
{
  return mirror->revision;
}

bool
mirror_complete (const struct mirror *mirror)
{
  return mirror->complete;
}

bool
mirror_store_reachable (const struct mirror *mirror)
{
  return mirror->reached;
}
