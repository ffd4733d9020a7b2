/* What proves that an instance leads, and that its log has all commits.

   A promoted instance leads before it has applied all that it had received:
   that it accepts a plain BEGIN proves that no other leads, but a read may
   still miss acknowledged commits.  Its log covers them once it has reached
   the position that it had received; from then on each position that it
   reports is a sample.  */

#include "proxy/group_impl.h"

#include "kernel/mutant.h"

/* Until an instance that did not tell its state is asked again.  */
#define ASK_LIMIT_MS 60

/* A term that follows one seen so recently is the next one: its positions
   were all applied by the instance that leads in it.  */
#define NEXT_TERM_MS 3000

void
group_forget_proof (struct group *group, const struct backend *backend)
{
  if (group->covering == backend)
    group->covering = NULL;
  if (group->asked != backend || group->inquiry == NULL)
    return;
  inquiry_free (group->inquiry);
  group->inquiry = NULL;
  group->asked = NULL;
}

static void
set_covering (struct group *group, struct backend *backend,
              struct position covers)
{
  group->covering = backend;
  group->covers = covers;
  log_event (kernel_log (group->groups->base.kernel), LOG_INFO, "primary_log",
             LOG_S ("group", group->settings.name),
             LOG_S ("instance", backend_entry (backend)->id),
             LOG_U ("from_term", covers.term), LOG_U ("from", covers.lsn));
}

static void
on_state (void *arg, const struct inquiry_row *rows, size_t count)
{
  struct group *group = arg;
  struct backend *backend = group->asked;
  group->inquiry = NULL;
  group->asked = NULL;
  if (count == 1 && rows[0].answered && rows[0].status.is_primary
      && group->leader == backend)
    set_covering (group, backend, rows[0].status.received);
  group_wake (group);
}

/* Asks BACKEND which position it had received.  */
static void
ask_state (struct group *group, struct backend *backend)
{
  struct groups *groups = group->groups;
  if (group->inquiry != NULL)
    return;
  group->asked = backend;
  group->inquiry
      = inquiry_new (groups->base.kernel, groups->options.parse_status, 1,
                     &backend, STMT_STATUS, 0, ASK_LIMIT_MS, on_state, group);
}

/* Finds out from which position on the log of BACKEND, which leads, covers
   all commits.  */
static void
find_cover (struct group *group, struct backend *backend,
            struct position position)
{
  struct position newest = samples_newest (&group->samples);
  bool next_term = newest.term > 0 && position.term > newest.term
                   && group_now (group) - samples_newest_ms (&group->samples)
                          < NEXT_TERM_MS;
  if (group->covering == backend)
    return;
  if (next_term)
    set_covering (group, backend, position);
  else
    ask_state (group, backend);
}

bool
group_leader_caught_up (const struct group *group,
                        const struct backend *backend,
                        struct position position)
{
  if (MUTANT (trust_new_primary))
    return true;
  return group->covering == backend
         && position_compare (position, group->covers) >= 0;
}

void
group_confirm_leader (struct group *group, struct backend *backend,
                      struct position position, clk_ms asked_ms)
{
  /* A late proof of an earlier term does not replace a newer one.  */
  if (position.term < samples_newest (&group->samples).term)
    return;
  group_set_leader (group, backend, "proven");
  find_cover (group, backend, position);
  if (!group_leader_caught_up (group, backend, position))
    return;
  samples_add (&group->samples, position, asked_ms);
  group_wake (group);
}

void
group_reject_leader (struct group *group, struct backend *backend)
{
  group_forget_proof (group, backend);
  if (group->leader == backend)
    group_set_leader (group, NULL, "refused");
}
