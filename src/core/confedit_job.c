#include "core/confedit_job.h"

#include <stdlib.h>
#include <string.h>

#include "core/conftree.h"
#include "kernel/mem.h"
#include "kernel/mutant.h"

/* Limit on the rounds of one change.  */
#define ROUNDS_LIMIT 12
#define WRITE_TIMEOUT_MS 2000

/* Exponential backoff with full jitter between rounds.  */
#define BACKOFF_BASE_MS 20
#define BACKOFF_MAX_MS 1000

void
confedit_job_free (struct confedit_job *job)
{
  struct confedit *self = job->confedit;
  if (job->call != 0)
    self->platform->ops->cancel (self->platform, job->call);
  kernel_timer_cancel (self->base.kernel, &job->timer);
  if (job->prev != NULL)
    job->prev->next = job->next;
  else
    self->jobs = job->next;
  if (job->next != NULL)
    job->next->prev = job->prev;
  self->job_count--;
  subtree_clear (&job->base);
  subtree_clear (&job->proposed);
  subtree_clear (&job->team);
  json_decref (job->head);
  findings_clear (&job->findings);
  free (job->team_key);
  free ((char *)job->request.team);
  free ((char *)job->request.path);
  free ((char *)job->request.json);
  free ((char *)job->request.who);
  free ((char *)job->request.secret);
  free (job);
}

static void
log_result (struct confedit_job *job, const struct confedit_result *result)
{
  struct kernel *kernel = job->confedit->base.kernel;
  char *name = mem_printf ("config_changes_total{status=\"%s\"}",
                           confedit_status_name (result->status));
  metrics_increment (kernel_metrics (kernel), name);
  free (name);
  log_event (
      kernel_log (kernel), LOG_INFO, "config_change",
      LOG_S ("team", job->request.team), LOG_S ("path", job->request.path),
      LOG_S ("who", job->request.who), LOG_S ("change_id", job->change_id),
      LOG_S ("status", confedit_status_name (result->status)),
      LOG_S ("message", result->message), LOG_U ("revision", result->revision),
      LOG_U ("rounds", job->rounds + 1),
      LOG_U ("dry_run", job->request.dry_run));
}

static void
finish (struct confedit_job *job, struct confedit_result *result)
{
  json_t *difference = (json_t *)result->difference;
  result->change_id = job->change_id;
  result->findings = &job->findings;
  log_result (job, result);
  job->done (job->arg, result);
  json_decref (difference);
  confedit_job_free (job);
}

void
confedit_job_fail (struct confedit_job *job, enum confedit_status status,
                   const char *message)
{
  finish (job,
          &(struct confedit_result){ .status = status, .message = message });
}

/* Ends a change that failed for reasons other than its content.  Its
   outcome is unknown while a write is unresolved.  */
static void
abort_change (struct confedit_job *job, const char *message)
{
  if (job->write_unresolved)
    confedit_job_fail (job, CONFEDIT_UNKNOWN, message);
  else
    confedit_job_fail (job, CONFEDIT_UNAVAILABLE, message);
}

static void
retry (struct confedit_job *job, const char *why, const char *message)
{
  struct kernel *kernel = job->confedit->base.kernel;
  if (++job->rounds >= ROUNDS_LIMIT)
    {
      abort_change (job, message);
      return;
    }
  char *name = mem_printf ("config_retries_total{why=\"%s\"}", why);
  metrics_increment (kernel_metrics (kernel), name);
  free (name);
  uint64_t limit_ms = (uint64_t)BACKOFF_BASE_MS << job->rounds;
  if (limit_ms > BACKOFF_MAX_MS)
    limit_ms = BACKOFF_MAX_MS;
  clk_ms delay_ms = 1 + (clk_ms)rng_below (kernel_rng (kernel), limit_ms);
  kernel_timer_set (kernel, &job->timer, kernel_now (kernel) + delay_ms);
}

static void
succeed (struct confedit_job *job, uint64_t revision, uint64_t index)
{
  json_t *difference = NULL;
  if (job->edited)
    difference = conftree_difference (job->base.tree, job->proposed.tree);
  finish (job, &(struct confedit_result){ .status = CONFEDIT_DONE,
                                          .revision = revision,
                                          .index = index,
                                          .difference = difference });
}

static void
conflict (struct confedit_job *job, const json_t *from, const json_t *to,
          const char *message)
{
  finish (job, &(struct confedit_result){ .status = CONFEDIT_CONFLICT,
                                          .index = job->team.index,
                                          .message = message,
                                          .difference
                                          = conftree_difference (from, to) });
}

static void
on_written (void *arg, const struct platform_reply *reply)
{
  struct confedit_job *job = arg;
  job->call = 0;
  switch (reply->status)
    {
    case PLATFORM_OK:
      succeed (job, confhead_revision (job->head) + 1, reply->index);
      break;
    case PLATFORM_LOST:
      job->write_unresolved = true;
      job->unresolved_head_index = job->head_index;
      retry (job, "lost", "the platform did not answer");
      break;
    case PLATFORM_REJECTED:
      abort_change (job, "the platform rejected the write");
      break;
    case PLATFORM_CONFLICT:
      if (MUTANT (accept_conflict))
        {
          succeed (job, confhead_revision (job->head) + 1, reply->index);
          break;
        }
      retry (job, "conflict", "too many changes at the same time");
      break;
    default:
      retry (job, "unavailable", "the platform did not answer");
      break;
    }
}

static void
write_change (struct confedit_job *job)
{
  struct platform_port *platform = job->confedit->platform;
  const struct confhead_change change = {
    .team = job->request.team,
    .change_id = job->change_id,
    .who = job->request.who,
    .path = job->request.path,
    .when_s = job->request.when_s,
  };
  char *head = confhead_print_with (job->head, &change);
  const struct platform_write writes[] = {
    { .key = job->team_key,
      .value = job->proposed.value ? job->proposed.value : "",
      .value_bytes = job->proposed.bytes,
      .expect_index = job->base.index,
      .erase = job->proposed.tree == NULL },
    { .key = SYNC_HEAD_KEY,
      .value = head,
      .value_bytes = strlen (head),
      .expect_index = job->head_index },
  };
  const struct platform_call call = {
    .kind = PLATFORM_WRITE,
    .purpose = "config_change",
    .timeout_ms = WRITE_TIMEOUT_MS,
    .writes = writes,
    .write_count = sizeof writes / sizeof writes[0],
  };
  job->call = platform->ops->call (platform, &call, on_written, job);
  free (head);
}

/* Authorizes and edits, in the first round.  Returns false if the job has
   ended.  */
static bool
prepare_write (struct confedit_job *job)
{
  const struct confedit_request *request = &job->request;
  if (!confedit_allowed (job->confedit->admin_hash, request->team, &job->team,
                         request->who, request->secret))
    {
      confedit_job_fail (job, CONFEDIT_FORBIDDEN,
                         "this operator may not change this team");
      return false;
    }
  bool valid = confedit_edit (&job->proposed, request, &job->team,
                              job->confedit->view, &job->findings);
  if (request->checks_index && request->expect_index != job->team.index)
    {
      conflict (
          job, job->team.tree, job->proposed.tree,
          "the team was changed since it was read; the difference is that "
          "of this change to it");
      return false;
    }
  if (!valid)
    {
      confedit_job_fail (job, CONFEDIT_INVALID, "see the findings");
      return false;
    }
  job->edited = true;
  job->base = job->team;
  job->team = (struct subtree){ 0 };
  job->base_revision = confhead_revision (job->head);
  if (request->dry_run
      || (job->base.tree != NULL && job->proposed.tree != NULL
          && json_equal (job->base.tree, job->proposed.tree)))
    {
      succeed (job, 0, job->base.index);
      return false;
    }
  return true;
}

/* Compares the team as read in this round with the one that the change is
   based on.  Returns false if the job has ended.  */
static bool
check_base (struct confedit_job *job)
{
  bool changed = job->team.index != job->base.index;
  if (job->write_unresolved && changed
      && !confhead_covers (job->head, job->base_revision))
    {
      confedit_job_fail (job, CONFEDIT_UNKNOWN,
                         "the history has no trace of that time");
      return false;
    }
  if (job->head_index != job->unresolved_head_index)
    job->write_unresolved = false;
  if (!changed)
    return true;
  conflict (job, job->base.tree, job->team.tree,
            "someone else changed the team at the same time");
  return false;
}

static void
continue_round (struct confedit_job *job)
{
  uint64_t revision;
  if (confhead_find (job->head, job->change_id, &revision))
    {
      succeed (job, revision, job->team.index);
      return;
    }
  if (job->edited ? check_base (job) : prepare_write (job))
    write_change (job);
}

static void
on_head_read (void *arg, const struct platform_reply *reply)
{
  struct confedit_job *job = arg;
  job->call = 0;
  if (reply->status != PLATFORM_OK && reply->status != PLATFORM_NOT_FOUND)
    {
      retry (job, "unavailable", "the platform did not answer");
      return;
    }
  const struct platform_item *item
      = reply->status == PLATFORM_OK ? &reply->items[0] : NULL;
  json_decref (job->head);
  job->head = confhead_parse (item ? item->value : NULL,
                              item ? item->value_bytes : 0);
  job->head_index = item ? item->index : 0;
  if (job->head == NULL)
    abort_change (job, SYNC_HEAD_KEY " is malformed");
  else
    continue_round (job);
}

void
confedit_job_read (struct confedit_job *job, const char *key,
                   platform_done done)
{
  struct platform_port *platform = job->confedit->platform;
  const struct platform_call call = { .kind = PLATFORM_GET,
                                      .purpose = "config_change",
                                      .key = key,
                                      .timeout_ms = READ_TIMEOUT_MS };
  job->call = platform->ops->call (platform, &call, done, job);
}

/* The team is read before the head, so that the head shows the change id if a
   write of this job took effect between the two reads.  */
static void
on_team_read (void *arg, const struct platform_reply *reply)
{
  struct confedit_job *job = arg;
  job->call = 0;
  subtree_clear (&job->team);
  if (reply->status != PLATFORM_OK && reply->status != PLATFORM_NOT_FOUND)
    {
      retry (job, "unavailable", "the platform did not answer");
      return;
    }
  if (reply->status == PLATFORM_OK)
    {
      const struct platform_item *item = &reply->items[0];
      job->team.value = mem_copy (item->value, item->value_bytes);
      job->team.bytes = item->value_bytes;
      job->team.index = item->index;
      job->team.tree = json_loadb (item->value, item->value_bytes, 0, NULL);
    }
  confedit_job_read (job, SYNC_HEAD_KEY, on_head_read);
}

void
confedit_job_start_round (void *arg)
{
  struct confedit_job *job = arg;
  confedit_job_read (job, job->team_key, on_team_read);
}
