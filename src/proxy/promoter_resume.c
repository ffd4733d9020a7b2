/* Replicas that stay paused after a change was given up.  */

#include "proxy/promoter_impl.h"

#include <string.h>

static void
on_resumed (void *arg, const struct status_row *rows, size_t count)
{
  struct change *change = arg;
  bool all = change_count_answers (rows, count) == count;
  change->query = NULL;
  change->paused &= !all;
  change->resume_ms
      = change_now (change)
        + (all ? PROMOTER_RESUME_CHECK_MS : PROMOTER_RESUME_RETRY_MS);
  change_set_stage (change, CHANGE_NONE);
}

/* Sends STATEMENT to COUNT replicas.  */
static void
query_replicas (struct change *change, struct backend *const *replicas,
                size_t count, enum change_stage stage,
                enum stmt_kind statement, status_query_done done)
{
  struct promoter *promoter = change->promoter;
  change_set_stage (change, stage);
  change->query = status_query_new (
      promoter->base.kernel, promoter->options.parse_status, count, replicas,
      statement, 0, PROMOTER_QUERY_TIMEOUT_MS, done, change);
}

/* Lets COUNT replicas receive again.  A replica that resumes after a later
   holder has paused it could acknowledge commits that the instance promoted by
   that one lacks, so the lease must be valid.  */
static void
resume (struct change *change, struct backend *const *replicas, size_t count)
{
  if (!roster_duty_leased (change->promoter->roster))
    return;
  change_log (change, "replicas_resumed", backend_entry (replicas[0])->id);
  query_replicas (change, replicas, count, CHANGE_RESUMING, STMT_RESUME,
                  on_resumed);
}

static void
on_pauses_checked (void *arg, const struct status_row *rows, size_t count)
{
  struct change *change = arg;
  struct group *group = change_group (change);
  struct backend *leader = group != NULL ? group_leader (group) : NULL;
  struct backend *paused[GROUP_INSTANCES];
  size_t used = 0;
  bool all = true;
  change->query = NULL;
  change_set_stage (change, CHANGE_NONE);
  for (size_t i = 0; group != NULL && i < count; i++)
    {
      struct backend *backend = change_find_instance (group, rows[i].id);
      const struct instance_status *status = &rows[i].status;
      all &= rows[i].answered && !rows[i].busy;
      if (rows[i].answered && !status->is_primary && backend != NULL
          && status->held_term > status->term)
        paused[used++] = backend;
    }
  change->resume_ms
      = change_now (change)
        + (all ? PROMOTER_RESUME_CHECK_MS : PROMOTER_RESUME_RETRY_MS);
  if (used == 0 || leader == NULL || !backend_usable (leader))
    return;
  change->resume_ms = change_now (change) + PROMOTER_RESUME_RETRY_MS;
  /* An order of the holder that paused them may be outstanding.  */
  if (permits_fenced (change->promoter->permits) && !change->fenced)
    change_fence_late (change, leader);
  else
    resume (change, paused, used);
}

void
change_consider_resume (struct change *change, struct group *group,
                        struct backend *leader)
{
  struct backend *replicas[GROUP_INSTANCES];
  size_t count = 0, instances = group_instances (group, replicas);
  if (group_settings (group)->sync_replicas == 0
      || !group_leader_proven (group)
      || change_late_other (change, backend_entry (leader)->id) != NULL
      || change_now (change) < change->resume_ms)
    return;
  for (size_t i = 0; i < instances; i++)
    if (replicas[i] != leader)
      replicas[count++] = replicas[i];
  if (count == 0)
    return;
  if (change->paused)
    resume (change, replicas, count);
  else
    query_replicas (change, replicas, count, CHANGE_CHECKING, STMT_STATUS,
                    on_pauses_checked);
}
