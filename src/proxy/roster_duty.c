/* The promotion duty: acquisition, verification and release.  */

#include "proxy/roster_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/text.h"

/* Returns whether most failure domains, and not only this host, can't reach
   the store.  */
static bool
is_store_outage (const struct roster *roster)
{
  struct roster_report_count counts
      = roster_count_reports (roster, SUSPICIONS_STORE, SUSPICIONS_STORE);
  return roster->store_refuses
         && 2 * counts.domains_reporting > counts.domains;
}

uint64_t
roster_token_of (const struct roster *roster, const struct roster_key *duty)
{
  return duty->created == roster->raised_index
                 && duty->revision < roster->raised_token
             ? roster->raised_token
             : duty->revision;
}

bool
roster_duty_kept (const struct roster *roster, uint64_t *token)
{
  const struct roster_key *key = roster_find_key (roster, DUTY_KEY);
  if (key == NULL || roster->leaving || strcmp (key->value, roster->self) != 0
      || key->created == roster->resigned_index)
    return false;
  *token = roster_token_of (roster, key);
  return true;
}

bool
roster_holds_duty (const struct roster *roster, uint64_t *token)
{
  if (!roster_duty_kept (roster, token))
    return false;
  if (lease_valid (roster->duty_lease))
    return true;
  return roster_now (roster) - lease_expires_ms (roster->duty_lease)
             < ROSTER_OUTAGE_GRACE_MS
         && is_store_outage (roster);
}

/* Returns whether this host can't reach a primary that other failure domains
   reach.  */
static bool
reports_alone (const struct roster *roster)
{
  const struct roster_report_state *report;
  for (report = roster->reports; report != NULL; report = report->hh.next)
    {
      char instance[NAME_BYTES];
      if (sscanf (report->wanted, "%63s", instance) != 1)
        continue;
      struct roster_report_count counts
          = roster_count_reports (roster, report->group, instance);
      if (2 * counts.domains_reporting <= counts.domains)
        return true;
    }
  return false;
}

/* Returns for how long this host leaves the duty to hosts that can do it
   better: those with a wider link in a large fleet, as the holder sends
   messages to all hosts, and those that reach all primaries.  */
static clk_ms
courtesy_ms (const struct roster *roster)
{
  size_t count, wider = 0;
  const struct other_host *const *others = hosts_list (roster->hosts, &count);
  clk_ms span_ms = 0;
  if (permits_fenced (roster->permits))
    return 0;
  for (size_t i = 0; i < count; i++)
    wider += others[i]->capacity > roster->capacity;
  if (wider >= ROSTER_WIDE_HOSTS)
    span_ms += ROSTER_COURTESY_MS;
  return span_ms + (reports_alone (roster) ? ROSTER_COURTESY_MS : 0);
}

void
roster_claim_within (struct roster *roster, clk_ms spread_ms)
{
  struct kernel *kernel = roster->base.kernel;
  if (roster->claim_timer.slot != 0)
    return;
  clk_ms due_ms
      = kernel_now (kernel)
        + (clk_ms)rng_below (kernel_rng (kernel), (uint64_t)spread_ms)
        + (roster->removed_duty ? 0 : courtesy_ms (roster));
  if (due_ms < roster->resign_until_ms)
    due_ms = roster->resign_until_ms;
  kernel_timer_set (kernel, &roster->claim_timer, due_ms);
}

void
roster_claim_soon (struct roster *roster)
{
  size_t others;
  hosts_list (roster->hosts, &others);
  clk_ms spread_ms = ROSTER_CLAIM_JITTER_MS;
  if (others > ROSTER_CLAIM_JITTER_HOSTS)
    spread_ms = spread_ms * (clk_ms)others / ROSTER_CLAIM_JITTER_HOSTS;
  roster_claim_within (roster, spread_ms);
}

static void
on_claim_reply (void *arg, const struct platform_reply *reply)
{
  struct roster *roster = arg;
  roster_note_reply (roster, reply);
  if (reply->status == PLATFORM_OK)
    mirror_expect (roster->mirror, reply->index);
  roster->claiming = false;
  if (reply->status != PLATFORM_CONFLICT)
    mirror_set_immediate (roster->mirror, true);
  log_event (kernel_log (roster->base.kernel), LOG_INFO, "duty_claim",
             LOG_S ("result", reply->status == PLATFORM_OK ? "won"
                              : reply->status == PLATFORM_CONFLICT
                                  ? "lost"
                                  : "unknown"));
  if (reply->status == PLATFORM_NOT_FOUND)
    lease_lost (roster->duty_lease);
  else if (reply->status == PLATFORM_CONFLICT)
    lease_release (roster->duty_lease);
  /* After a conflict the mirror reports when the other holder is gone.  */
  if (reply->status != PLATFORM_OK && reply->status != PLATFORM_CONFLICT
      && roster_find_key (roster, DUTY_KEY) == NULL)
    roster_claim_soon (roster);
}

void
roster_duty_lease_gained (void *arg)
{
  struct roster *roster = arg;
  if (roster_find_key (roster, DUTY_KEY) != NULL || roster->claiming)
    return;
  roster->claiming = true;
  roster_write_key (roster, "duty", roster->duty_lease, DUTY_KEY, roster->self,
                    0, on_claim_reply, roster);
}

/* Reads the changes first if this host delays that: when many hosts start, one
   of them has mostly claimed the duty by now.  Returns whether it waits.  */
static bool
checks_first (struct roster *roster)
{
  struct kernel *kernel = roster->base.kernel;
  if (roster->claim_checks || !mirror_check_now (roster->mirror))
    {
      roster->claim_checks = false;
      return false;
    }
  roster->claim_checks = true;
  kernel_timer_set (kernel, &roster->claim_timer,
                    kernel_now (kernel) + ROSTER_CLAIM_CHECK_MS);
  return true;
}

void
roster_on_claim_timer (void *arg)
{
  struct roster *roster = arg;
  if (roster->leaving || roster->claiming || !mirror_complete (roster->mirror)
      || roster_find_key (roster, DUTY_KEY) != NULL)
    {
      roster->claim_checks = false;
      return;
    }
  if (!mirror_store_reachable (roster->mirror))
    {
      roster_claim_soon (roster);
      return;
    }
  if (checks_first (roster))
    return;
  if (lease_valid (roster->duty_lease))
    roster_duty_lease_gained (roster);
  else
    lease_acquire (roster->duty_lease);
}

void
roster_resign_duty (struct roster *roster, const char *why)
{
  const struct roster_key *key = roster_find_key (roster, DUTY_KEY);
  if (key == NULL || strcmp (key->value, roster->self) != 0)
    return;
  log_event (kernel_log (roster->base.kernel), LOG_NOTICE, "duty_given_up",
             LOG_S ("why", why),
             LOG_U ("token", roster_token_of (roster, key)));
  /* The lease may still be valid, and its release may fail.  */
  roster->resigned_index = key->created;
  roster->resign_until_ms = roster_now (roster) + ROSTER_RESIGN_BACKOFF_MS;
  lease_release (roster->duty_lease);
}

bool
roster_duty_leased (const struct roster *roster)
{
  return lease_valid (roster->duty_lease);
}

struct verification *
roster_begin_verification (struct roster *roster, roster_verify_done done,
                           void *arg)
{
  struct verification *check = mem_zalloc (sizeof *check);
  check->roster = roster;
  check->done = done;
  check->arg = arg;
  DL_APPEND (roster->verifications, check);
  return check;
}

void
roster_end_verification (struct verification *check, bool held)
{
  roster_verify_done done = check->done;
  void *arg = check->arg;
  DL_DELETE (check->roster->verifications, check);
  free (check);
  done (arg, held);
}

static void
on_raised (void *arg, const struct platform_reply *reply)
{
  struct verification *check = arg;
  struct roster *roster = check->roster;
  uint64_t token;
  roster_note_reply (roster, reply);
  if (reply->status == PLATFORM_OK)
    {
      mirror_expect (roster->mirror, reply->index);
      roster->raised_index = check->created;
      roster->raised_token = reply->index;
      log_event (kernel_log (roster->base.kernel), LOG_NOTICE, "token_raised",
                 LOG_U ("token", reply->index));
      metrics_increment (kernel_metrics (roster->base.kernel),
                         "tokens_raised_total");
    }
  roster_end_verification (check, reply->status == PLATFORM_OK
                                      && roster_holds_duty (roster, &token));
}

static void
refuse (void *arg)
{
  roster_end_verification (arg, false);
}

void
roster_raise_token (struct roster *roster, roster_verify_done done, void *arg)
{
  struct verification *check = roster_begin_verification (roster, done, arg);
  const struct roster_key *duty = roster_find_key (roster, DUTY_KEY);
  if (duty == NULL || !lease_valid (roster->duty_lease))
    {
      kernel_defer (roster->base.kernel, refuse, check);
      return;
    }
  check->created = duty->created;
  roster_write_key (roster, "duty", roster->duty_lease, DUTY_KEY, roster->self,
                    roster_token_of (roster, duty), on_raised, check);
}
