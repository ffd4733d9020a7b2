#include <stdlib.h>
#include <string.h>

#include "core/guard.h"
#include "kernel/mem.h"
#include "kernel/mutant.h"

#define CALL_TIMEOUT_MS 1000
#define RETRY_MIN_MS 100
#define RETRY_SPREAD_MS 400

static void
platform_failed (struct guard *guard)
{
  struct promotion *p = &guard->promotion;
  struct kernel *kernel = guard->env->kernel;
  clk_ms spread_ms = (clk_ms)rng_below (kernel_rng (kernel), RETRY_SPREAD_MS);
  if (!p->platform_down)
    log_event (kernel_log (kernel), LOG_WARNING, "promotion_waits",
               LOG_S ("database", guard->database),
               LOG_S ("why", "platform unavailable"),
               LOG_S ("phase", promotion_phase_name (p->phase)));
  p->platform_down = true;
  p->retry_ms = kernel_now (kernel) + RETRY_MIN_MS + spread_ms;
}

static bool
same_state (const struct term_record *a, const struct term_record *b)
{
  return a->term == b->term && a->state == b->state && a->hold == b->hold
         && strcmp (a->attempt, b->attempt) == 0
         && strcmp (a->primary, b->primary) == 0;
}

static void
record_accepted (struct guard *guard, uint64_t index)
{
  struct promotion *p = &guard->promotion;
  struct guard_env *env = guard->env;
  p->index = index;
  p->read_back = false;
  p->platform_down = false;
  terms_set (env->terms, guard->database, index, &p->next);
  sync_publish_term (env->sync, guard->database);
  promotion_written (guard);
}

/* Compares what the platform has with what was to be written.  */
static void
resolve (struct guard *guard, const struct platform_item *item)
{
  struct promotion *p = &guard->promotion;
  struct term_record record;
  if (!term_record_parse (item->value, item->value_bytes, &record))
    {
      promotion_stop (guard, "malformed record");
      return;
    }
  bool ours = strcmp (record.attempt, p->next.attempt) == 0
              && record.term == p->next.term;
  if (same_state (&record, &p->next) || MUTANT (ignore_attempt_id))
    record_accepted (guard, item->index);
  else if (ours || item->index == p->index)
    {
      p->index = item->index;
      p->read_back = false;
    }
  else
    {
      terms_set (guard->env->terms, guard->database, item->index, &record);
      promotion_stop (guard, "superseded");
    }
}

static void
read_done (void *arg, const struct platform_reply *reply)
{
  struct guard *guard = arg;
  struct promotion *p = &guard->promotion;
  p->call = 0;
  if (reply->status == PLATFORM_OK && reply->item_count == 1)
    resolve (guard, &reply->items[0]);
  else if (reply->status == PLATFORM_NOT_FOUND && p->index == 0)
    p->read_back = false;
  else if (reply->status == PLATFORM_NOT_FOUND)
    promotion_stop (guard, "record is gone");
  else
    platform_failed (guard);
  guard_wake (guard);
}

static void
write_done (void *arg, const struct platform_reply *reply)
{
  struct guard *guard = arg;
  struct promotion *p = &guard->promotion;
  p->call = 0;
  switch (reply->status)
    {
    case PLATFORM_OK:
      if (reply->index > p->index)
        record_accepted (guard, reply->index);
      else
        p->read_back = true;
      break;
    case PLATFORM_CONFLICT:
    case PLATFORM_LOST:
      p->read_back = true;
      break;
    case PLATFORM_NOT_FOUND:
    case PLATFORM_UNAVAILABLE:
      platform_failed (guard);
      break;
    case PLATFORM_REJECTED:
    case PLATFORM_COMPACTED:
      promotion_stop (guard, "rejected by the platform");
      break;
    }
  guard_wake (guard);
}

static void
read_record (struct guard *guard, const char *key)
{
  struct platform_port *platform = guard->env->platform;
  const struct platform_call call = { .kind = PLATFORM_GET,
                                      .purpose = "read_term",
                                      .key = key,
                                      .timeout_ms = CALL_TIMEOUT_MS };
  guard->promotion.call
      = platform->ops->call (platform, &call, read_done, guard);
}

static void
write_record (struct guard *guard, const char *key)
{
  struct promotion *p = &guard->promotion;
  struct platform_port *platform = guard->env->platform;
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
  p->call = platform->ops->call (platform, &call, write_done, guard);
  free (json);
}

void
promotion_write (struct guard *guard)
{
  struct promotion *p = &guard->promotion;
  if (p->call != 0 || kernel_now (guard->env->kernel) < p->retry_ms)
    return;
  char *key = mem_printf (TERMS_PREFIX "%s", guard->database);
  if (p->read_back)
    read_record (guard, key);
  else
    write_record (guard, key);
  free (key);
}
