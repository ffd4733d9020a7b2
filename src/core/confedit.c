#include "core/confedit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/confedit_job.h"
#include "core/view_read.h"
#include "kernel/mem.h"

/* Limit on the changes and reads in flight.  */
#define JOBS_LIMIT 64

const char *
confedit_status_name (enum confedit_status status)
{
  static const char *const names[] = {
    [CONFEDIT_DONE] = "done",           [CONFEDIT_INVALID] = "invalid",
    [CONFEDIT_CONFLICT] = "conflict",   [CONFEDIT_FORBIDDEN] = "forbidden",
    [CONFEDIT_UNAVAILABLE] = "not_run", [CONFEDIT_UNKNOWN] = "unknown",
  };
  return names[status];
}

static struct confedit_job *
new_job (struct confedit *self, void *arg)
{
  struct confedit_job *job = mem_zalloc (sizeof *job);
  job->confedit = self;
  job->arg = arg;
  job->next = self->jobs;
  if (job->next != NULL)
    job->next->prev = job;
  self->jobs = job;
  self->job_count++;
  return job;
}

static void
reject (void *arg)
{
  struct confedit_job *job = arg;
  if (job->findings.count > 0)
    confedit_job_fail (job, CONFEDIT_INVALID, "see the findings");
  else
    confedit_job_fail (job, CONFEDIT_UNAVAILABLE,
                       "too many changes at a time");
}

static void
copy_request (struct confedit_job *job, const struct confedit_request *request)
{
  job->request = *request;
  job->request.team = mem_strdup (request->team ? request->team : "");
  job->request.path = mem_strdup (request->path ? request->path : "");
  job->request.json
      = request->json ? mem_copy (request->json, request->json_bytes) : NULL;
  job->request.who = mem_strdup (request->who ? request->who : "");
  job->request.secret = mem_strdup (request->secret);
  struct rng *rng = kernel_rng (job->confedit->base.kernel);
  if (request->change_id != NULL)
    snprintf (job->change_id, sizeof job->change_id, "%s", request->change_id);
  else
    snprintf (job->change_id, sizeof job->change_id, "%016llx%016llx",
              (unsigned long long)rng_u64 (rng),
              (unsigned long long)rng_u64 (rng));
}

static void
check_request (struct confedit_job *job,
               const struct confedit_request *request)
{
  const char *id = request->change_id;
  if (!view_name_valid (job->request.team))
    findings_add (&job->findings, "", "name of the team " NAME_REQUIREMENT);
  if (!view_name_valid (job->request.who))
    findings_add (&job->findings, "",
                  "name of the operator " NAME_REQUIREMENT);
  if (id != NULL && (!view_name_valid (id) || strlen (id) >= CHANGE_ID_BYTES))
    findings_add (&job->findings, "",
                  "change id must be 1 to 32 characters of a-z, 0-9, '_' "
                  "and '-'");
}

void
confedit_submit (struct confedit *confedit,
                 const struct confedit_request *request, confedit_done done,
                 void *arg)
{
  struct kernel *kernel = confedit->base.kernel;
  struct confedit_job *job = new_job (confedit, arg);
  job->done = done;
  copy_request (job, request);
  check_request (job, request);
  job->team_key = mem_printf ("%s%s", SYNC_CONFIG_PREFIX, job->request.team);
  job->timer.arg = job;
  job->timer.fire = confedit_job_start_round;
  if (job->findings.count > 0 || confedit->job_count > JOBS_LIMIT)
    {
      job->timer.fire = reject;
      kernel_timer_set (kernel, &job->timer, kernel_now (kernel));
    }
  else
    confedit_job_start_round (job);
}

static void
on_read (void *arg, const struct platform_reply *reply)
{
  struct confedit_job *job = arg;
  bool found = reply->status == PLATFORM_OK;
  job->call = 0;
  if (found)
    job->team.tree = json_loadb (reply->items[0].value,
                                 reply->items[0].value_bytes, 0, NULL);
  enum platform_status status = PLATFORM_UNAVAILABLE;
  if (found && job->team.tree != NULL)
    status = PLATFORM_OK;
  else if (reply->status == PLATFORM_NOT_FOUND)
    status = PLATFORM_NOT_FOUND;
  job->read_done (job->arg, status, found ? reply->items[0].index : 0,
                  job->team.tree);
  confedit_job_free (job);
}

static void
reject_read (void *arg)
{
  struct confedit_job *job = arg;
  job->read_done (job->arg, job->reject_status, 0, NULL);
  confedit_job_free (job);
}

void
confedit_read (struct confedit *confedit, const char *team,
               confedit_read_done done, void *arg)
{
  struct kernel *kernel = confedit->base.kernel;
  struct confedit_job *job = new_job (confedit, arg);
  job->read_done = done;
  bool valid = team == NULL || view_name_valid (team);
  if (!valid || confedit->job_count > JOBS_LIMIT)
    {
      job->reject_status = valid ? PLATFORM_UNAVAILABLE : PLATFORM_NOT_FOUND;
      job->timer = (struct ktimer){ .fire = reject_read, .arg = job };
      kernel_timer_set (kernel, &job->timer, kernel_now (kernel));
      return;
    }
  job->team_key = team ? mem_printf ("%s%s", SYNC_CONFIG_PREFIX, team)
                       : mem_strdup (SYNC_HEAD_KEY);
  confedit_job_read (job, job->team_key, on_read);
}

void
confedit_set_admin (struct confedit *confedit, const char *secret_hash)
{
  free (confedit->admin_hash);
  confedit->admin_hash = mem_strdup (secret_hash);
}

static void
confedit_free (struct module *module)
{
  struct confedit *self = (struct confedit *)module;
  while (self->jobs != NULL)
    confedit_job_free (self->jobs);
  free (self->admin_hash);
  free (self);
}

static const struct module_ops confedit_ops = { .free = confedit_free };

struct confedit *
confedit_new (struct platform_port *platform, struct view *view)
{
  struct confedit *self = mem_zalloc (sizeof *self);
  self->base.ops = &confedit_ops;
  self->base.name = "confedit";
  self->platform = platform;
  self->view = view;
  return self;
}

struct module *
confedit_module (struct confedit *confedit)
{
  return &confedit->base;
}
