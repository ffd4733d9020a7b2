/* Confirmation of the primary, and of the position at which its log contains
   all acknowledged commits.

   A promoted instance accepts statements before it has applied all log
   records that it had received as a replica.  Accepting a plain BEGIN
   confirms that no other instance is the primary, but a read may still miss
   acknowledged commits.  The instance has caught up once its log has reached
   the position that it had received; from then on each position that it
   reports is a sample.

   Its log ends in an earlier term until its first commit, so that a position
   does not tell in which term it leads.  STATUS does.

   That holds as long as the instance leads without interruption.  Neither the
   answer to BEGIN nor a position tells whether it was replaced and promoted
   again meanwhile, as this host may have stood still, been cut off or sent
   nothing.  But that takes at least the time of a promotion, so only answers
   at shorter intervals continue what is known.  */

#include "proxy/group_impl.h"

#include "kernel/mutant.h"

/* Timeout of a query for the state of a new primary.  Without an answer the
   next confirmation of the primary starts another query.  */
#define QUERY_TIMEOUT_MS 60

/* An instance that accepted two statements as the primary within this time has
   not been replaced in between: a promotion takes effect some hundred
   milliseconds after its order.  */
#define LEAD_INTERVAL_MS 200

/* Time allowed for the answer to the next statement.  */
#define ANSWER_MARGIN_MS 50

void
group_forget_log (struct group *group, const struct backend *backend)
{
  if (group->caught_up == backend)
    group->caught_up = NULL;
  if (group->queried != backend || group->query == NULL)
    return;
  status_query_free (group->query);
  group->query = NULL;
  group->queried = NULL;
}

static void
log_caught_up (const struct group *group)
{
  log_event (kernel_log (group->groups->base.kernel), LOG_INFO, "primary_log",
             LOG_S ("group", group->settings.name),
             LOG_S ("instance", backend_entry (group->caught_up)->id),
             LOG_U ("from_term", group->caught_up_at.term),
             LOG_U ("from", group->caught_up_at.lsn));
}

/* Records that BACKEND led in TERM at LED_MS or later and that its log
   contains all acknowledged commits FROM that position on.  */
static void
set_caught_up (struct group *group, struct backend *backend, uint64_t term,
               struct position from, clk_ms led_ms)
{
  bool is_new = group->caught_up != backend;
  group->caught_up = backend;
  group->caught_up_at = from;
  group->caught_up_term = term;
  group->led_ms = led_ms;
  if (is_new)
    log_caught_up (group);
}

/* Adds a sample.  BACKEND, the primary, was asked for it at SENT_MS.  */
static void
add_sample (struct group *group, const struct backend *backend,
            struct position position, clk_ms sent_ms)
{
  if (!permits_covered (group->groups->permits, group->settings.name,
                        backend_entry (backend)->id, sent_ms))
    return;
  samples_add (&group->samples, group->caught_up_term, position, sent_ms);
  group_notify (group);
}

/* Records that BACKEND accepted a statement as the primary.  Returns false if
   it is known to have been replaced.  */
static bool
accept_leader (struct group *group, struct backend *backend)
{
  if (!group_may_lead (group, backend))
    {
      group_reject_leader (group, backend);
      return false;
    }
  group_set_leader (group, backend, "proven");
  group->proven = true;
  return true;
}

bool
group_confirm_log (struct group *group, struct backend *backend,
                   const struct instance_status *status,
                   struct position position, clk_ms sent_ms, clk_ms begun_ms)
{
  if (MUTANT (trust_new_primary))
    return true;
  uint64_t newest = samples_term (&group->samples);
  bool replaced = group->leader != backend && group->proven;
  if (!status->is_primary || status->term < newest
      || (replaced && status->term == newest)
      || !accept_leader (group, backend))
    return false;
  set_caught_up (group, backend, status->term, status->received, sent_ms);
  if (position_compare (position, status->received) < 0)
    return false;
  add_sample (group, backend, position, begun_ms);
  return true;
}

static void
on_state (void *arg, const struct status_row *rows, size_t count)
{
  struct group *group = arg;
  struct backend *backend = group->queried;
  group->query = NULL;
  group->queried = NULL;
  if (count == 1 && rows[0].answered)
    group_confirm_log (group, backend, &rows[0].status, rows[0].applied,
                       group->queried_ms, group->query_accepted_ms);
  group_notify (group);
}

void
group_query_log (struct group *group, struct backend *backend,
                 clk_ms accepted_ms)
{
  struct groups *groups = group->groups;
  if (group->query != NULL || !group_may_lead (group, backend))
    return;
  group->queried = backend;
  group->queried_ms = group_now (group);
  group->query_accepted_ms = accepted_ms;
  group->query = status_query_new (
      groups->base.kernel, groups->options.parse_status, 1, &backend,
      STMT_STATUS, 0, QUERY_TIMEOUT_MS, on_state, group);
}

/* Returns whether BACKEND, which accepted a statement sent at SENT_MS, is
   known to have led without interruption since its log was found complete.  */
static bool
continue_lead (struct group *group, const struct backend *backend,
               clk_ms sent_ms)
{
  if (group->caught_up != backend)
    return false;
  if (group_now (group) - group->led_ms > LEAD_INTERVAL_MS
      && !MUTANT (trust_earlier_lead))
    return false;
  if (group->led_ms < sent_ms)
    group->led_ms = sent_ms;
  return true;
}

void
group_keep_lead (struct group *group)
{
  if (group_now (group) - group->led_ms >= GROUP_LEAD_PROBE_MS)
    backend_probe (group->leader);
}

bool
group_lead_is_recent (const struct group *group, const struct backend *backend)
{
  return group->caught_up == backend
         && group_now (group) - group->led_ms
                <= LEAD_INTERVAL_MS - ANSWER_MARGIN_MS;
}

void
group_reject_leader (struct group *group, struct backend *backend)
{
  group_forget_log (group, backend);
  if (group->leader == backend)
    group_set_leader (group, NULL, "refused");
}

bool
group_confirm_leader (struct group *group, struct backend *backend,
                      struct position position, clk_ms sent_ms)
{
  bool continues = continue_lead (group, backend, sent_ms);
  /* A delayed answer from an earlier term must not replace the primary of a
     newer one.  */
  if (!continues && position.term < samples_term (&group->samples))
    return false;
  if (!accept_leader (group, backend))
    return false;
  if (MUTANT (trust_new_primary))
    {
      add_sample (group, backend, position, sent_ms);
      return true;
    }
  if (!continues || position_compare (position, group->caught_up_at) < 0)
    return false;
  add_sample (group, backend, position, sent_ms);
  return true;
}
