/* Confirmation of the primary, and of the position at which its log contains
   all acknowledged commits.

   A promoted instance accepts statements before it has applied all log
   records that it had received as a replica.  Accepting a plain BEGIN
   confirms that no other instance is the primary, but a read may still miss
   acknowledged commits.  The instance has caught up once its log has reached
   the position that it had received; from then on each position that it
   reports is a sample.  */

#include "proxy/group_impl.h"

#include "kernel/mutant.h"

/* Timeout of a query for the state of a new primary.  Without an answer the
   next confirmation of the primary starts another query.  */
#define QUERY_TIMEOUT_MS 60

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
set_caught_up (struct group *group, struct backend *backend,
               struct position from)
{
  group->caught_up = backend;
  group->caught_up_at = from;
  log_event (kernel_log (group->groups->base.kernel), LOG_INFO, "primary_log",
             LOG_S ("group", group->settings.name),
             LOG_S ("instance", backend_entry (backend)->id),
             LOG_U ("from_term", from.term), LOG_U ("from", from.lsn));
}

static void
on_state (void *arg, const struct status_row *rows, size_t count)
{
  struct group *group = arg;
  struct backend *backend = group->queried;
  group->query = NULL;
  group->queried = NULL;
  if (count == 1 && rows[0].answered && rows[0].status.is_primary
      && group->leader == backend)
    set_caught_up (group, backend, rows[0].status.received);
  group_notify (group);
}

/* Queries the position up to which BACKEND has received the log.  */
static void
query_state (struct group *group, struct backend *backend)
{
  struct groups *groups = group->groups;
  if (group->query != NULL)
    return;
  group->queried = backend;
  group->query = status_query_new (
      groups->base.kernel, groups->options.parse_status, 1, &backend,
      STMT_STATUS, 0, QUERY_TIMEOUT_MS, on_state, group);
}

/* Determines the position at which the log of BACKEND, the primary, contains
   all acknowledged commits.  A term above that of the newest sample does not
   tell: there may have been another change of primary since, whose term
   BACKEND has not reached in its log yet.  */
static void
find_caught_up (struct group *group, struct backend *backend)
{
  if (group->caught_up != backend)
    query_state (group, backend);
}

bool
group_leader_caught_up (const struct group *group,
                        const struct backend *backend,
                        struct position position)
{
  if (MUTANT (trust_new_primary))
    return true;
  return group->caught_up == backend
         && position_compare (position, group->caught_up_at) >= 0;
}

void
group_reject_leader (struct group *group, struct backend *backend)
{
  group_forget_log (group, backend);
  if (group->leader == backend)
    group_set_leader (group, NULL, "refused");
}

void
group_confirm_leader (struct group *group, struct backend *backend,
                      struct position position, clk_ms sent_ms)
{
  const struct permits *permits = group->groups->permits;
  /* A delayed answer from an earlier term must not replace the primary of a
     newer one.  */
  if (position.term < samples_newest (&group->samples).term)
    return;
  if (!group_may_lead (group, backend))
    {
      group_reject_leader (group, backend);
      return;
    }
  group_set_leader (group, backend, "proven");
  group->proven = true;
  find_caught_up (group, backend);
  if (!group_leader_caught_up (group, backend, position)
      || !permits_covered (permits, group->settings.name,
                           backend_entry (backend)->id, sent_ms))
    return;
  samples_add (&group->samples, position, sent_ms);
  group_notify (group);
}
