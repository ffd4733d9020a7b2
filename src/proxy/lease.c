#include "proxy/lease.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "kernel/text.h"

#define LEASE_ID_BYTES 32

struct lease
{
  struct kernel *kernel;
  struct platform_port *store;
  const char *purpose;
  clk_ms ttl_ms;
  clk_ms renew_ms;
  void (*gained) (void *arg);
  void (*answered) (void *arg, const struct platform_reply *reply);
  void *arg;
  uint64_t era; /* of the store, when it created the lease */
  char id[LEASE_ID_BYTES];
  clk_ms expires_ms;
  clk_ms sent_ms;
  bool wanted;
  bool unanswered; /* the last call failed */
  bool hurries;    /* the call in flight is repeated at once if it fails */
  uint64_t call;
  struct ktimer timer;
};

static void
set_timer (struct lease *lease, clk_ms delay_ms)
{
  if (lease->wanted)
    kernel_timer_set (lease->kernel, &lease->timer,
                      kernel_now (lease->kernel) + delay_ms);
}

/* A short lease must be retried sooner than LEASE_RETRY_MS.  */
static void
retry_later (struct lease *lease)
{
  clk_ms wait_ms = lease->renew_ms / 2;
  if (lease->hurries)
    wait_ms = 0;
  lease->hurries = false;
  set_timer (lease, wait_ms < LEASE_RETRY_MS ? wait_ms : LEASE_RETRY_MS);
}

static void
on_reply (void *arg, const struct platform_reply *reply)
{
  struct lease *lease = arg;
  lease->call = 0;
  lease->answered (lease->arg, reply);
  lease->unanswered
      = reply->status != PLATFORM_OK && reply->status != PLATFORM_NOT_FOUND;
  bool is_new = reply->lease != NULL;
  if (reply->status == PLATFORM_NOT_FOUND
      || (reply->status == PLATFORM_OK && !is_new && reply->era > lease->era))
    {
      lease_lost (lease);
      return;
    }
  if (reply->status != PLATFORM_OK)
    {
      retry_later (lease);
      return;
    }
  if (is_new && !text_copy (lease->id, sizeof lease->id, reply->lease))
    {
      retry_later (lease);
      return;
    }
  lease->hurries = false;
  lease->era = reply->era;
  lease->expires_ms = lease->sent_ms + lease->ttl_ms;
  set_timer (lease, lease->renew_ms);
  if (is_new && lease->wanted)
    lease->gained (lease->arg);
}

static void
send_call (struct lease *lease)
{
  bool renew = lease->id[0] != '\0';
  struct platform_call call
      = { .kind = renew ? PLATFORM_RENEW : PLATFORM_LEASE,
          .purpose = lease->purpose,
          .timeout_ms = LEASE_CALL_TIMEOUT_MS,
          .ttl_ms = lease->ttl_ms,
          .lease = lease->id };
  if (lease->call != 0 || !lease->wanted)
    return;
  lease->sent_ms = kernel_now (lease->kernel);
  lease->call = lease->store->ops->call (lease->store, &call, on_reply, lease);
}

static void
on_timer (void *arg)
{
  send_call (arg);
}

struct lease *
lease_new (struct kernel *kernel, struct platform_port *store,
           const char *purpose, clk_ms ttl_ms, clk_ms renew_ms,
           void (*gained) (void *arg),
           void (*answered) (void *arg, const struct platform_reply *reply),
           void *arg)
{
  struct lease *lease = mem_zalloc (sizeof *lease);
  lease->kernel = kernel;
  lease->store = store;
  lease->purpose = purpose;
  lease->ttl_ms = ttl_ms;
  lease->renew_ms = renew_ms;
  lease->gained = gained;
  lease->answered = answered;
  lease->arg = arg;
  lease->timer = (struct ktimer){ .fire = on_timer, .arg = lease };
  return lease;
}

void
lease_set_renew (struct lease *lease, clk_ms renew_ms)
{
  lease->renew_ms = renew_ms;
}

void
lease_acquire (struct lease *lease)
{
  if (lease->wanted)
    return;
  lease->wanted = true;
  send_call (lease);
}

static void
ignore_reply (void *arg, const struct platform_reply *reply)
{
  (void)arg;
  (void)reply; /* after a failure the lease expires by itself */
}

static void
reset (struct lease *lease)
{
  if (lease->call != 0)
    lease->store->ops->cancel (lease->store, lease->call);
  lease->call = 0;
  lease->wanted = false;
  lease->id[0] = '\0';
  kernel_timer_cancel (lease->kernel, &lease->timer);
}

void
lease_release (struct lease *lease)
{
  struct platform_call call = { .kind = PLATFORM_RELEASE,
                                .purpose = lease->purpose,
                                .timeout_ms = LEASE_CALL_TIMEOUT_MS,
                                .lease = lease->id };
  if (lease->id[0] != '\0')
    lease->store->ops->call (lease->store, &call, ignore_reply, NULL);
  reset (lease);
}

void
lease_free (struct lease *lease)
{
  if (lease == NULL)
    return;
  reset (lease);
  free (lease);
}

void
lease_retry_now (struct lease *lease)
{
  clk_ms spent_ms = kernel_now (lease->kernel) - lease->sent_ms;
  if (lease->call == 0)
    {
      if (lease->unanswered)
        set_timer (lease, 0);
      return;
    }
  lease->hurries = true;
  if (spent_ms < LEASE_LOST_MS)
    return;
  lease->store->ops->cancel (lease->store, lease->call);
  lease->call = 0;
  lease->hurries = false;
  send_call (lease);
}

bool
lease_wanted (const struct lease *lease)
{
  return lease->wanted;
}

bool
lease_valid (const struct lease *lease)
{
  return lease->id[0] != '\0'
         && kernel_now (lease->kernel) < lease->expires_ms;
}

clk_ms
lease_expires_ms (const struct lease *lease)
{
  return lease->expires_ms;
}

const char *
lease_id (const struct lease *lease)
{
  return lease->id;
}

void
lease_lost (struct lease *lease)
{
  if (lease->id[0] == '\0')
    return;
  log_event (kernel_log (lease->kernel), LOG_WARNING, "lease_ended",
             LOG_S ("lease", lease->id), LOG_S ("purpose", lease->purpose));
  lease->id[0] = '\0';
  set_timer (lease, 0);
}
