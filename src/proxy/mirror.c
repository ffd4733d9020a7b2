#include "proxy/mirror.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

struct mirror
{
  struct kernel *kernel;
  struct platform_port *port;
  char *prefix;
  clk_ms settle_ms;
  clk_ms retry_ms;
  struct mirror_events events;
  bool listing;
  char *after;       /* last key of the page before; NULL for the first */
  uint64_t revision; /* taken in up to here */
  bool complete;
  bool reached;
  uint32_t failures;
  uint64_t call;
  struct ktimer retry;
};

static void next_call (struct mirror *mirror);

static void
set_reached (struct mirror *mirror, bool reached)
{
  if (mirror->reached == reached)
    return;
  mirror->reached = reached;
  log_event (kernel_log (mirror->kernel), reached ? LOG_NOTICE : LOG_WARNING,
             reached ? "store_regained" : "store_lost",
             LOG_U ("revision", mirror->revision));
  mirror->events.reach (mirror->events.arg, reached);
}

static void
retry_later (struct mirror *mirror)
{
  clk_ms wait_ms = MIRROR_RETRY_FIRST_MS;
  for (uint32_t i = 0; i < mirror->failures && wait_ms < mirror->retry_ms; i++)
    wait_ms *= 2;
  if (wait_ms > mirror->retry_ms)
    wait_ms = mirror->retry_ms;
  mirror->failures++;
  wait_ms
      += (clk_ms)rng_below (kernel_rng (mirror->kernel), (uint64_t)wait_ms);
  kernel_timer_set (mirror->kernel, &mirror->retry,
                    kernel_now (mirror->kernel) + wait_ms);
}

static void
start_list (struct mirror *mirror)
{
  mirror->listing = true;
  free (mirror->after);
  mirror->after = NULL;
}

static void
take_items (struct mirror *mirror, const struct platform_reply *reply)
{
  for (size_t i = 0; i < reply->item_count; i++)
    {
      const struct platform_item *item = &reply->items[i];
      if (item->removed)
        mirror->events.removed (mirror->events.arg, item->key, item->index);
      else
        mirror->events.item (mirror->events.arg, item);
    }
}

static void
take_page (struct mirror *mirror, const struct platform_reply *reply)
{
  if (mirror->after == NULL)
    {
      /* Pages are no snapshot: changes since the first are watched for.  */
      mirror->revision = reply->index;
      mirror->events.begin_list (mirror->events.arg);
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
  mirror->events.end_list (mirror->events.arg, mirror->revision);
}

static void
on_reply (void *arg, const struct platform_reply *reply)
{
  struct mirror *mirror = arg;
  mirror->call = 0;
  if (reply->status == PLATFORM_COMPACTED)
    {
      log_event (kernel_log (mirror->kernel), LOG_NOTICE, "store_compacted",
                 LOG_U ("revision", mirror->revision));
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
  if (mirror->listing)
    take_page (mirror, reply);
  else
    {
      take_items (mirror, reply);
      if (reply->index > mirror->revision)
        mirror->revision = reply->index;
      if (mirror->settle_ms > 0 && reply->item_count > 0)
        {
          kernel_timer_set (mirror->kernel, &mirror->retry,
                            kernel_now (mirror->kernel) + mirror->settle_ms);
          return;
        }
    }
  next_call (mirror);
}

static void
next_call (struct mirror *mirror)
{
  struct platform_call call
      = { .kind = mirror->listing ? PLATFORM_LIST : PLATFORM_WATCH,
          .purpose = mirror->listing ? "list" : "watch",
          .key = mirror->prefix,
          .after = mirror->after,
          .wait_index = mirror->revision,
          .wait_ms = mirror->listing ? 0 : MIRROR_WAIT_MS,
          .timeout_ms = MIRROR_TIMEOUT_MS };
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

struct mirror *
mirror_new (const struct mirror_options *options,
            const struct mirror_events *events)
{
  struct mirror *mirror = mem_zalloc (sizeof *mirror);
  mirror->kernel = options->kernel;
  mirror->port = options->port;
  mirror->prefix = mem_strdup (options->prefix);
  mirror->settle_ms = options->settle_ms;
  mirror->retry_ms = options->retry_ms;
  mirror->events = *events;
  mirror->retry.fire = on_retry;
  mirror->retry.arg = mirror;
  start_list (mirror);
  return mirror;
}

void
mirror_start (struct mirror *mirror)
{
  next_call (mirror);
}

void
mirror_wake (struct mirror *mirror)
{
  if (mirror->failures > 0 && mirror->retry.slot != 0)
    kernel_timer_set (mirror->kernel, &mirror->retry,
                      kernel_now (mirror->kernel));
}

void
mirror_free (struct mirror *mirror)
{
  if (mirror == NULL)
    return;
  if (mirror->call != 0)
    mirror->port->ops->cancel (mirror->port, mirror->call);
  kernel_timer_cancel (mirror->kernel, &mirror->retry);
  free (mirror->after);
  free (mirror->prefix);
  free (mirror);
}

bool
mirror_complete (const struct mirror *mirror)
{
  return mirror->complete;
}

bool
mirror_reached (const struct mirror *mirror)
{
  return mirror->reached;
}
