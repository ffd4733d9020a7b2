/* Orders to promote: their tokens, their records, and their effect.  */

#include "proxy/promoter_impl.h"

#include <string.h>

#include "kernel/text.h"

const struct late_order *
change_late_other (const struct change *change, const char *id)
{
  return late_orders_other (&change->late, id, change_now (change));
}

/* Notes that the order for ID with TOKEN may take effect late.  */
static void
change_add_late (struct change *change, const char *id, uint64_t token)
{
  clk_ms until_ms = permits_fenced (change->promoter->permits)
                        ? CLK_NEVER
                        : change_now (change) + PROMOTER_LATE_MS;
  late_orders_add (&change->late, id, token, change_now (change), until_ms);
}

static void
on_promoted (void *arg, enum promote_result result)
{
  struct change *change = arg;
  struct promoter *promoter = change->promoter;
  static const char *const names[] = { [PROMOTE_ACCEPTED] = "accepted",
                                       [PROMOTE_REFUSED] = "refused",
                                       [PROMOTE_NOT_DONE] = "not_done",
                                       [PROMOTE_UNKNOWN] = "unknown" };
  change_log (change, "promotion_answer", names[result]);
  change->unanswered = result == PROMOTE_UNKNOWN;
  change->fenced |= result == PROMOTE_ACCEPTED;
  if (result == PROMOTE_UNKNOWN)
    {
      change_add_late (change, change->chosen, change->token);
      metrics_increment (kernel_metrics (promoter->base.kernel),
                         "promotions_unanswered_total");
    }
  else if (result == PROMOTE_ACCEPTED && permits_fenced (promoter->permits))
    late_orders_fence (&change->late, change->token);
  if (change->stage != CHANGE_ORDERED)
    return;
  switch (result)
    {
    case PROMOTE_ACCEPTED:
      change->accepted_ms = change_now (change);
      change_set_stage (change, CHANGE_AWAITED);
      break;
    case PROMOTE_UNKNOWN:
      change_set_stage (change, CHANGE_AWAITED);
      break;
    case PROMOTE_REFUSED:
      /* The token is outdated, or the instance is gone.  */
      change_abort (change, "refused", PROMOTER_RETRY_MS);
      roster_resign_duty (promoter->roster, "refused by the platform");
      break;
    default:
      change_abort (change, "not done", PROMOTER_RETRY_MS);
    }
}

static void
on_verified (void *arg, bool held)
{
  struct change *change = arg;
  struct promoter *promoter = change->promoter;
  uint64_t token;
  /* The reply to a call of an earlier change tells nothing of this one.  */
  if (--change->verifying > 0 || change->stage != CHANGE_VERIFYING)
    return;
  if (!held || !roster_holds_duty (promoter->roster, &token))
    {
      change_abort (change, "duty lost", 0);
      return;
    }
  change->token = token;
  permits_expect (promoter->permits, change->group, change->chosen,
                  change->number);
  change_set_stage (change, CHANGE_ORDERED);
  change_log (change, "promotion_ordered", change->chosen);
  metrics_increment (kernel_metrics (promoter->base.kernel),
                     "promotions_ordered_total");
  promoter->options.port->ops->promote (promoter->options.port, change->group,
                                        change->chosen, promoter->options.host,
                                        token, on_promoted, change);
}

static void
add_to_record (struct roster_record *record, const char *id)
{
  if (record->floating_count < ROSTER_FLOATING)
    text_copy (record->floating[record->floating_count++], NAME_BYTES, id);
}

static void
record_order (struct change *change)
{
  struct roster_record record
      = { .number = change->number, .floor = change->floor };
  text_copy (record.group, sizeof record.group, change->group);
  text_copy (record.candidate, sizeof record.candidate, change->chosen);
  if (permits_fenced (change->promoter->permits))
    add_to_record (&record, change->chosen);
  for (size_t i = 0; i < ROSTER_FLOATING; i++)
    if (change->late.items[i].until_ms > change_now (change)
        && strcmp (change->late.items[i].id, change->chosen) != 0)
      add_to_record (&record, change->late.items[i].id);
  change->verifying++;
  roster_record_order (change->promoter->roster, &record, on_verified, change);
}

static void
on_token_raised (void *arg, bool held)
{
  struct change *change = arg;
  uint64_t token;
  if (--change->verifying > 0 || change->stage != CHANGE_VERIFYING)
    return;
  if (!held || !roster_holds_duty (change->promoter->roster, &token))
    {
      change_abort (change, "the fencing token was not raised",
                    PROMOTER_RETRY_MS);
      return;
    }
  change->read_token = token;
  record_order (change);
}

/* Returns whether the token has to rise before an order, so that the order
   fences those that may still be carried out, except for the instance SPARED.
   While the store is away it can't rise; where replicas are asynchronous that
   holds up no order.  */
static bool
needs_higher_token (const struct change *change, const char *spared)
{
  struct roster *roster = change->promoter->roster;
  const struct group *group = change_group (change);
  uint64_t token;
  return permits_fenced (change->promoter->permits)
         && roster_holds_duty (roster, &token)
         && late_orders_share_token (&change->late, spared, token,
                                     change_now (change))
         && (roster_duty_leased (roster)
             || (group != NULL && group_settings (group)->sync_replicas > 0));
}

/* Orders the promotion of ID, with a higher token than those of all orders
   that may still be carried out, except for the instance SPARED.  */
static void
order_with_fence (struct change *change, const char *id, const char *spared)
{
  struct promoter *promoter = change->promoter;
  text_copy (change->chosen, sizeof change->chosen, id);
  change_set_stage (change, CHANGE_VERIFYING);
  change->repeated = late_orders_has (&change->late, id, change_now (change))
                     || strcmp (spared, id) != 0;
  change->number++;
  change->accepted_ms = CLK_NEVER;
  if (!permits_fenced (promoter->permits))
    {
      change->ordered = true;
      change->confirmed = false;
    }
  if (!needs_higher_token (change, spared))
    {
      record_order (change);
      return;
    }
  change->verifying++;
  roster_raise_token (promoter->roster, on_token_raised, change);
}

void
change_order (struct change *change, const char *id)
{
  order_with_fence (change, id, id);
}

/* Returns the newest term in which LEADER, which is proven, is known to lead:
   its log ends in an earlier one until its first commit.  */
static uint64_t
lead_term (const struct change *change, const struct backend *leader)
{
  uint64_t logged = backend_position (leader).term;
  uint64_t known = samples_term (group_samples (change_group (change)));
  return known > logged ? known : logged;
}

void
change_fence_late (struct change *change, struct backend *leader)
{
  change->why = "an order without an answer may take effect";
  change->hand_over = false;
  change->started_ms = change_now (change);
  change->old[0] = '\0';
  change->floor = lead_term (change, leader);
  order_with_fence (change, backend_entry (leader)->id, "");
}

static void
on_confirmed (void *arg, const struct status_row *rows, size_t count)
{
  struct change *change = arg;
  change->query = NULL;
  if (count != 1 || !rows[0].answered || !rows[0].status.is_primary
      || strcmp (rows[0].id, change->chosen) != 0)
    return;
  /* An order for the present primary changes nothing.  */
  bool changes_nothing
      = change->accepted_ms != CLK_NEVER
        && change_now (change) - change->accepted_ms >= PROMOTER_EFFECT_MS;
  change->confirmed |= rows[0].status.term >= change->floor || changes_nothing;
}

/* Queries whether the primary that was ordered leads by that order: it may
   have led before, and go on though it was replaced.  */
static void
confirm (struct change *change, struct backend *leader)
{
  struct promoter *promoter = change->promoter;
  if (change->query != NULL)
    return;
  change->query = status_query_new (
      promoter->base.kernel, promoter->options.parse_status, 1, &leader,
      STMT_STATUS, 0, PROMOTER_QUERY_TIMEOUT_MS, on_confirmed, change);
}

bool
change_has_new_primary (struct change *change, struct group *group)
{
  struct backend *leader = group_leader (group);
  if (leader == NULL
      || strcmp (backend_entry (leader)->id, change->chosen) != 0)
    return false;
  if (permits_fenced (change->promoter->permits))
    return true;
  if (!backend_usable (leader) || !group_leader_proven (group))
    return false;
  change->confirmed |= backend_position (leader).term >= change->floor;
  if (!change->confirmed)
    confirm (change, leader);
  return change->confirmed;
}

static void
ignore_result (void *arg, bool held)
{
  (void)arg; /* a later holder of the duty checks again */
  (void)held;
}

/* Records that the order has taken effect and no other can any more.  */
static void
record_done (struct change *change)
{
  struct roster_record record = { .number = change->number };
  text_copy (record.group, sizeof record.group, change->group);
  text_copy (record.candidate, sizeof record.candidate, change->chosen);
  roster_record_order (change->promoter->roster, &record, ignore_result,
                       change);
}

bool
change_try_to_open (struct change *change, struct group *group)
{
  struct permits *permits = change->promoter->permits;
  struct backend *leader = group_leader (group);
  if (leader == NULL || !backend_usable (leader)
      || !group_leader_proven (group)
      || (change->ordered && !change_has_new_primary (change, group))
      || change_late_other (change, backend_entry (leader)->id) != NULL)
    return false;
  permits_open (permits, change->group, backend_entry (leader)->id);
  if (change->ordered)
    record_done (change);
  change->ordered = false;
  return true;
}

/* Takes over what earlier holders of the duty have ordered, where the platform
   fences.  What this host ordered before one of them is fenced.  */
static void
change_inherit_orders (struct change *change)
{
  struct roster_record record;
  change->paused = change->fenced = false;
  change->resume_ms = change_now (change);
  if (!roster_find_record (change->promoter->roster, change->group, &record))
    return;
  if (record.number != change->number)
    change->late = (struct late_orders){ 0 };
  change->number = record.number;
  if (record.floating_count == 0 && change->led_term < record.floor)
    change->led_term = record.floor;
  for (size_t i = 0; i < record.floating_count; i++)
    change_add_late (change, record.floating[i], 0);
}

void
change_read_record (struct change *change, uint64_t token)
{
  struct roster_record record;
  struct promoter *promoter = change->promoter;
  if (change->read_token == token)
    return;
  change->read_token = token;
  if (permits_fenced (promoter->permits))
    {
      change_inherit_orders (change);
      return;
    }
  change->ordered = change->confirmed = false;
  change->accepted_ms = CLK_NEVER;
  change->number = permits_number (promoter->permits, change->group);
  if (!roster_find_record (promoter->roster, change->group, &record))
    return;
  change->ordered = permits_closed (promoter->permits, change->group)
                    && change->number == record.number;
  if (change->number < record.number)
    change->number = record.number;
  if (!change->ordered)
    return;
  change->floor = record.floor;
  text_copy (change->chosen, sizeof change->chosen, record.candidate);
  change_add_late (change, record.candidate, 0);
  for (size_t i = 0; i < record.floating_count; i++)
    change_add_late (change, record.floating[i], 0);
}

void
change_settle_record (struct change *change, struct backend *leader)
{
  struct roster_record record;
  struct roster *roster = change->promoter->roster;
  const char *id = backend_entry (leader)->id;
  uint64_t term = lead_term (change, leader);
  bool found = roster_find_record (roster, change->group, &record);
  bool same = found && strcmp (record.candidate, id) == 0;
  if (change_now (change) < change->settle_ms
      || (!found && change->led_term == 0)
      || (same && record.floating_count == 0 && record.floor >= term))
    return;
  if (!same || record.floor < term)
    record.floor = term;
  record.number = change->number;
  text_copy (record.group, sizeof record.group, change->group);
  text_copy (record.candidate, sizeof record.candidate, id);
  record.floating_count = 0;
  change->settle_ms = change_now (change) + PROMOTER_SETTLE_MS;
  roster_record_order (roster, &record, ignore_result, change);
}
