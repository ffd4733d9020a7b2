/* The duty to promote: its lease, its token and who has it.  */

#include "proxy/roster_impl.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/text.h"

/* Whether the store is away for most failure domains, and not only for this
   host.  */
static bool
store_is_away (const struct roster *roster)
{
  struct roster_report_count view
      = roster_count_reports (roster, WITNESS_STORE, WITNESS_STORE);
  return roster->store_refuses && 2 * view.domains_reporting > view.domains;
}

bool
roster_holds_duty (const struct roster *roster, uint64_t *token)
{
  const struct roster_key *key = roster_find_key (roster, DUTY_KEY);
  if (key == NULL || roster->leaving || strcmp (key->value, roster->self) != 0
      || key->created == roster->fenced_token)
    return false;
  *token = key->created;
  if (lease_valid (roster->duty_lease))
    return true;
  return roster_now (roster) - lease_until_ms (roster->duty_lease)
             < ROSTER_OUTAGE_MS
         && store_is_away (roster);
}

void
roster_claim_within (struct roster *roster, clk_ms spread_ms)
{
  struct kernel *kernel = roster->base.kernel;
  if (roster->claim.slot != 0)
    return;
  clk_ms due_ms
      = kernel_now (kernel)
        + (clk_ms)rng_below (kernel_rng (kernel), (uint64_t)spread_ms);
  if (due_ms < roster->yield_until_ms)
    due_ms = roster->yield_until_ms;
  kernel_timer_set (kernel, &roster->claim, due_ms);
}

void
roster_claim_soon (struct roster *roster)
{
  size_t others;
  hosts_list (roster->hosts, &others);
  clk_ms spread_ms = ROSTER_SPREAD_MS;
  if (others > ROSTER_SPREAD_HOSTS)
    spread_ms = spread_ms * (clk_ms)others / ROSTER_SPREAD_HOSTS;
  roster_claim_within (roster, spread_ms);
}

static void
claimed (void *arg, const struct platform_reply *reply)
{
  struct roster *roster = arg;
  roster_note_store (roster, reply->status);
  if (reply->status == PLATFORM_OK)
    mirror_expect (roster->mirror, reply->index);
  roster->duty_call = false;
  if (reply->status != PLATFORM_CONFLICT)
    mirror_set_prompt (roster->mirror, true);
  log_event (kernel_log (roster->base.kernel), LOG_INFO, "duty_claim",
             LOG_S ("result", reply->status == PLATFORM_OK ? "won"
                              : reply->status == PLATFORM_CONFLICT
                                  ? "lost"
                                  : "unknown"));
  if (reply->status == PLATFORM_NOT_FOUND)
    lease_lost (roster->duty_lease);
  else if (reply->status == PLATFORM_CONFLICT)
    lease_end (roster->duty_lease);
  /* After a conflict the mirror tells when the other holder is gone.  */
  if (reply->status != PLATFORM_OK && reply->status != PLATFORM_CONFLICT
      && roster_find_key (roster, DUTY_KEY) == NULL)
    roster_claim_soon (roster);
}

void
roster_duty_lease_gained (void *arg)
{
  struct roster *roster = arg;
  if (roster_find_key (roster, DUTY_KEY) != NULL || roster->duty_call)
    return;
  roster->duty_call = true;
  roster_write_key (roster, roster->duty_lease, DUTY_KEY, roster->self, 0,
                    claimed, roster);
}

void
roster_on_claim (void *arg)
{
  struct roster *roster = arg;
  if (roster->leaving || roster->duty_call || !mirror_complete (roster->mirror)
      || roster_find_key (roster, DUTY_KEY) != NULL)
    return;
  if (!mirror_store_reachable (roster->mirror))
    {
      roster_claim_soon (roster);
      return;
    }
  if (lease_valid (roster->duty_lease))
    roster_duty_lease_gained (roster);
  else
    lease_begin (roster->duty_lease);
}

void
roster_resign_duty (struct roster *roster, const char *why)
{
  const struct roster_key *key = roster_find_key (roster, DUTY_KEY);
  if (key == NULL || strcmp (key->value, roster->self) != 0)
    return;
  log_event (kernel_log (roster->base.kernel), LOG_NOTICE, "duty_given_up",
             LOG_S ("why", why), LOG_U ("token", key->created));
  /* Its lease may stand, or be out of reach.  */
  roster->fenced_token = key->created;
  roster->yield_until_ms = roster_now (roster) + ROSTER_YIELD_MS;
  lease_end (roster->duty_lease);
}

static void
end_verification (struct verification *check, bool held)
{
  roster_verified done = check->done;
  void *arg = check->arg;
  DL_DELETE (check->roster->verifications, check);
  free (check);
  done (arg, held);
}

static void
verified (void *arg, const struct platform_reply *reply)
{
  struct verification *check = arg;
  struct roster *roster = check->roster;
  uint64_t token;
  bool held = roster_holds_duty (roster, &token);
  if (reply->status == PLATFORM_OK && reply->item_count == 1)
    held = held && strcmp (reply->items[0].value, roster->self) == 0
           && reply->items[0].created == token;
  else if (reply->status == PLATFORM_NOT_FOUND)
    held = false;
  end_verification (check, held);
}

/* The store is away: what this host knows decides.  */
static void
verify_alone (void *arg)
{
  struct verification *check = arg;
  uint64_t token;
  end_verification (check, roster_holds_duty (check->roster, &token));
}

void
roster_verify_duty (struct roster *roster, roster_verified done, void *arg)
{
  struct verification *check = mem_zalloc (sizeof *check);
  struct platform_call call = { .kind = PLATFORM_GET,
                                .purpose = "duty_verify",
                                .key = DUTY_KEY,
                                .timeout_ms = ROSTER_CALL_TIMEOUT_MS };
  check->roster = roster;
  check->done = done;
  check->arg = arg;
  DL_APPEND (roster->verifications, check);
  if (roster->store_refuses)
    {
      kernel_defer (roster->base.kernel, verify_alone, check);
      return;
    }
  roster->store->ops->call (roster->store, &call, verified, check);
}
