#include <stdlib.h>
#include <string.h>

#include "core/monitor.h"
#include "kernel/mem.h"
#include "kernel/mutant.h"

/* Timeout of one platform call.  */
#define CALL_TIMEOUT_MS 1000

/* Backoff after a failed call: a minimum plus a random spread (jitter).  */
#define RETRY_MIN_MS 100
#define RETRY_SPREAD_MS 400

static void
platform_failed (struct monitor *monitor)
{
  struct promotion *p = &monitor->promotion;
  struct kernel *kernel = monitor->env->kernel;
  clk_ms spread_ms = (clk_ms)rng_below (kernel_rng (kernel), RETRY_SPREAD_MS);
  if (!p->platform_down)
    log_event (kernel_log (kernel), LOG_WARNING, "promotion_waits",
               LOG_S ("database", monitor->database),
               LOG_S ("why", "platform unavailable"),
               LOG_S ("phase", promotion_phase_name (p->phase)));
  p->platform_down = true;
  p->retry_ms = kernel_now (kernel) + RETRY_MIN_MS + spread_ms;
}

static bool
is_same_record (const struct term_record *a, const struct term_record *b)
{
  return a->term == b->term && a->state == b->state && a->hold == b->hold
         && strcmp (a->attempt, b->attempt) == 0
         && strcmp (a->primary, b->primary) == 0;
}

static void
record_accepted (struct monitor *monitor, uint64_t index)
{
  struct promotion *p = &monitor->promotion;
  struct monitor_env *env = monitor->env;
  p->index = index;
  p->read_back = false;
  p->platform_down = false;
  terms_set (env->terms, monitor->database, index, &p->next);
  sync_publish_term (env->sync, monitor->database);
  promotion_record_written (monitor);
}

/* Determines from the record ITEM, as read back, whether the last write
   succeeded, can be repeated, or lost against another attempt.  */
static void
resolve (struct monitor *monitor, const struct platform_item *item)
{
  struct promotion *p = &monitor->promotion;
  struct term_record record;
  if (!term_record_parse (item->value, item->value_bytes, &record))
    {
      promotion_stop (monitor, "malformed record");
      return;
    }
  bool is_own_attempt = strcmp (record.attempt, p->next.attempt) == 0
                        && record.term == p->next.term;
  if (is_same_record (&record, &p->next) || MUTANT (ignore_attempt_id))
    record_accepted (monitor, item->index);
  else if (is_own_attempt || item->index == p->index)
    {
      p->index = item->index;
      p->read_back = false;
    }
  else
    {
      terms_set (monitor->env->terms, monitor->database, item->index, &record);
      promotion_stop (monitor, "superseded");
    }
}

static void
read_done (void *arg, const struct platform_reply *reply)
{
  struct monitor *monitor = arg;
  struct promotion *p = &monitor->promotion;
  p->call = 0;
  if (reply->status == PLATFORM_OK && reply->item_count == 1)
    resolve (monitor, &reply->items[0]);
  else if (reply->status == PLATFORM_NOT_FOUND && p->index == 0)
    p->read_back = false;
  else if (reply->status == PLATFORM_NOT_FOUND)
    promotion_stop (monitor, "record is gone");
  else
    platform_failed (monitor);
  monitor_wake (monitor);
}

static void
write_done (void *arg, const struct platform_reply *reply)
{
  struct monitor *monitor = arg;
  struct promotion *p = &monitor->promotion;
  p->call = 0;
  switch (reply->status)
    {
    case PLATFORM_OK:
      if (reply->index > p->index)
        record_accepted (monitor, reply->index);
      else
        p->read_back = true;
      break;
    case PLATFORM_CONFLICT:
    case PLATFORM_LOST:
      p->read_back = true;
      break;
    case PLATFORM_NOT_FOUND:
    case PLATFORM_UNAVAILABLE:
      platform_failed (monitor);
      break;
    case PLATFORM_REJECTED:
    case PLATFORM_COMPACTED:
      promotion_stop (monitor, "rejected by the platform");
      break;
    }
  monitor_wake (monitor);
}

static void
read_record (struct monitor *monitor, const char *key)
{
  struct platform_port *platform = monitor->env->platform;
  const struct platform_call call = { .kind = PLATFORM_GET,
                                      .purpose = "read_term",
                                      .key = key,
                                      .timeout_ms = CALL_TIMEOUT_MS };
  monitor->promotion.call
      = platform->ops->call (platform, &call, read_done, monitor);
}

static void
write_record (struct monitor *monitor, const char *key)
{
  struct promotion *p = &monitor->promotion;
  struct platform_port *platform = monitor->env->platform;
  char *json = term_record_print (&p->next);
  const struct platform_write write = { .key = key,
                                        .value = json,
                                        .value_bytes = strlen (json),
                                        .expect_index = p->index };
  const struct platform_call call = { .kind = PLATFORM_WRITE,
                                      .purpose = "write_term",
                                      .timeout_ms = CALL_TIMEOUT_MS,
                                      .writes = &write,
                                      .write_count = 1 };
  p->call = platform->ops->call (platform, &call, write_done, monitor);
  free (json);
}

void
promotion_write_record (struct monitor *monitor)
{
  struct promotion *p = &monitor->promotion;
  if (p->call != 0 || kernel_now (monitor->env->kernel) < p->retry_ms)
    return;
  char *key = mem_printf (TERMS_PREFIX "%s", monitor->database);
  if (p->read_back)
    read_record (monitor, key);
  else
    write_record (monitor, key);
  free (key);
}
