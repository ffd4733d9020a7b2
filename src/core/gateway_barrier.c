#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "core/gateway_impl.h"
#include "kernel/mem.h"

/* A barrier is a write that is submitted after a read.  If a replica of the
   same term confirms it, the primary had not been replaced when it served the
   read.  One barrier at a time is in flight and covers all reads that were
   waiting when it was submitted.  */

void
gw_barrier_remove (struct gw_job *job)
{
  if (job->barrier_list == NULL)
    return;
  DL_DELETE2 (*job->barrier_list, job, barrier_prev, barrier_next);
  job->barrier_list = NULL;
}

/* Turns JOB into a barrier write that covers JOB itself and all waiting
   reads.  */
static void
start_barrier (struct gw_job *job)
{
  struct gw_instance *instance = job->instance;
  struct rng *rng = kernel_rng (instance->gateway->base.kernel);
  struct gw_job *waiting;
  instance->barrier_reads = instance->next_barrier_reads;
  instance->next_barrier_reads = NULL;
  DL_FOREACH2 (instance->barrier_reads, waiting, barrier_next)
  {
    waiting->barrier_list = &instance->barrier_reads;
  }
  instance->barrier_in_flight = true;
  job->barrier_pending = true;
  job->barrier = true;
  job->read_only = false;
  job->ack = ACK_MAJORITY;
  job->item.priority = GW_URGENT_PRIORITY;
  job->statement[0] = '\0';
  free (job->request_id);
  job->request_id
      = mem_printf ("barrier:%016llx", (unsigned long long)rng_u64 (rng));
  gw_enqueue (job);
}

/* Saves RESULT and answers JOB once a barrier write is confirmed.  */
void
gw_barrier_wait (struct gw_job *job, const struct db_result *result)
{
  struct gw_instance *instance = job->instance;
  gw_copy_payload (job, result);
  job->required.term = result->report.term;
  if (!instance->barrier_in_flight)
    {
      start_barrier (job);
      return;
    }
  job->state = GW_BARRIER;
  DL_APPEND2 (instance->next_barrier_reads, job, barrier_prev, barrier_next);
  job->barrier_list = &instance->next_barrier_reads;
}

static void
answer_barrier_read (struct gw_instance *instance, struct gw_job *job)
{
  bool same_term = job->required.term == instance->barrier_position.term;
  gw_barrier_remove (job);
  job->wait.position = instance->barrier_position;
  if (instance->barrier_position.term == 0)
    gw_answer (job, OUTCOME_UNKNOWN, instance->barrier_reason);
  else if (same_term)
    gw_answer_deferred (job);
  else
    gw_answer (job, OUTCOME_UNKNOWN, REASON_STALE_TERM);
}

static void
finish_barrier (void *arg)
{
  struct gw_instance *instance = arg;
  while (instance->barrier_reads != NULL)
    answer_barrier_read (instance, instance->barrier_reads);
  instance->barrier_in_flight = false;
  struct gw_job *next = instance->next_barrier_reads;
  if (next == NULL)
    return;
  gw_barrier_remove (next);
  start_barrier (next);
}

/* Answers the reads covered by the barrier JOB.  This is deferred because the
   caller may be iterating over the jobs of the instance.  */
void
gw_barrier_done (struct gw_job *job, bool confirmed, enum reason reason)
{
  struct gw_instance *instance = job->instance;
  static const struct position none = { 0 };
  job->barrier_pending = false;
  instance->barrier_position = confirmed ? job->wait.position : none;
  instance->barrier_reason = reason;
  if (instance->barrier_reads == NULL && instance->next_barrier_reads == NULL)
    instance->barrier_in_flight = false;
  else
    kernel_defer (instance->gateway->base.kernel, finish_barrier, instance);
}
