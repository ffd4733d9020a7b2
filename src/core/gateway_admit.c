#include <utlist.h>

#include "core/gateway_impl.h"

#define US_PER_MS 1000
#define OVERLOAD_WINDOW_MS 100

/* The limit on the expected wait rises by 1 / OVERLOAD_PRIORITY_DIVISOR for
   each priority level.  */
#define OVERLOAD_PRIORITY_DIVISOR 3

/* Overload ends after this number of consecutive windows in which at most
   1 / OVERLOAD_EXIT_REFUSAL_DIVISOR of the short requests were refused.  */
#define OVERLOAD_EXIT_REFUSAL_DIVISOR 4
#define OVERLOAD_EXIT_WINDOWS 5

/* An estimate that exceeds the deadline is lowered by
   1 / COST_DECAY_DIVISOR.  */
#define COST_DECAY_DIVISOR 4

/* Returns the number of slots that long jobs may use.  */
static uint32_t
long_limit (const struct gw_instance *instance)
{
  return (instance->slots + 1) / 2;
}

/* Returns the expected remaining execution time of the running jobs.  */
static int64_t
running_us (const struct gw_instance *instance, bool is_long)
{
  clk_ms now_ms = gw_now (instance->gateway);
  const struct gw_job *job;
  int64_t sum_us = 0;
  uint32_t left = instance->running;
  DL_FOREACH (instance->jobs, job)
  {
    if (left == 0)
      break;
    if (job->state != GW_RUNNING)
      continue;
    left--;
    if (job->item.is_long != is_long)
      continue;
    int64_t elapsed_us = (now_ms - job->started_ms) * US_PER_MS;
    if (job->item.cost_us > elapsed_us)
      sum_us += job->item.cost_us - elapsed_us;
  }
  return sum_us;
}

/* Returns the expected time until JOB gets a slot.  */
static int64_t
expected_wait_us (const struct gw_job *job)
{
  const struct gw_instance *instance = job->instance;
  clk_ms now_ms = gw_now (instance->gateway);
  if (job->item.is_long)
    return (queue_long_cost_us (instance->queue) + running_us (instance, true))
           / long_limit (instance);
  int64_t ahead_us = queue_cost_ahead_us (instance->queue, instance->service,
                                          job->item.priority, now_ms);
  if (instance->running < instance->slots && ahead_us == 0)
    return 0;
  uint32_t slots = 1;
  if (instance->slots > instance->running_long)
    slots = instance->slots - instance->running_long;
  return (ahead_us + running_us (instance, false)) / slots;
}

/* Returns whether the load exceeds the capacity of the slots.  Overload begins
   when even the shortest queueing time of a window is long: the queue is then
   a standing queue that only adds delay.  It ends after
   OVERLOAD_EXIT_WINDOWS consecutive windows with few refusals.  */
static bool
detect_overload (struct gw_instance *instance)
{
  if (instance->overloaded)
    {
      bool few_refused
          = instance->overload_refusals
            <= instance->short_arrivals / OVERLOAD_EXIT_REFUSAL_DIVISOR;
      instance->low_refusal_windows
          = few_refused ? instance->low_refusal_windows + 1 : 0;
      return instance->low_refusal_windows < OVERLOAD_EXIT_WINDOWS;
    }
  instance->low_refusal_windows = 0;
  int64_t target_us = instance->costs.short_mean_us / 2;
  return instance->min_wait_ms != CLK_NEVER
         && instance->min_wait_ms * US_PER_MS > target_us;
}

void
gw_record_wait (struct gw_instance *instance, clk_ms wait_ms)
{
  clk_ms now_ms = gw_now (instance->gateway);
  if (wait_ms < instance->min_wait_ms)
    instance->min_wait_ms = wait_ms;
  if (now_ms - instance->window_start_ms < OVERLOAD_WINDOW_MS)
    return;
  bool was = instance->overloaded;
  instance->overloaded = detect_overload (instance);
  instance->window_start_ms = now_ms;
  instance->min_wait_ms = CLK_NEVER;
  instance->short_arrivals = 0;
  instance->overload_refusals = 0;
  if (was != instance->overloaded)
    log_event (kernel_log (instance->gateway->base.kernel), LOG_NOTICE,
               "overload", LOG_S ("instance", instance->name),
               LOG_I ("overloaded", instance->overloaded),
               LOG_U ("queued", queue_count (instance->queue)),
               LOG_I ("short_mean_us", instance->costs.short_mean_us));
}

/* Returns whether JOB may be queued; refuses it otherwise.  */
bool
gw_admit (struct gw_job *job)
{
  struct gw_instance *instance = job->instance;
  struct gateway *gateway = instance->gateway;
  int64_t wait_us = expected_wait_us (job);
  int64_t left_us = (job->item.deadline_ms - gw_now (gateway)) * US_PER_MS;
  clk_ms retry_ms = wait_us / US_PER_MS + 1;
  /* An idle instance accepts such a job; otherwise a cost estimate that
     rose while the instance was stalled would never be corrected.  */
  bool idle = instance->running == 0 && queue_count (instance->queue) == 0;
  if (wait_us + job->item.cost_us > left_us && (!idle || left_us <= 0))
    {
      /* Lower an estimate that alone exceeds the deadline.  Otherwise no job
         of this kind would run again and the estimate could not fall.  */
      if (job->item.cost_us > left_us)
        job->cost->mean_us -= job->cost->mean_us / COST_DECAY_DIVISOR;
      gw_refuse (job, REASON_DEADLINE, retry_ms);
      return false;
    }
  if (job->item.is_long)
    return true;
  instance->short_arrivals++;
  if (!instance->overloaded)
    return true;
  int64_t limit_us = instance->costs.short_mean_us * 3 / 2;
  limit_us += limit_us * job->item.priority / OVERLOAD_PRIORITY_DIVISOR;
  if (wait_us <= limit_us)
    return true;
  instance->overload_refusals++;
  gw_refuse (job, REASON_OVERLOAD, retry_ms);
  return false;
}

bool
gw_may_run_long (const struct gw_instance *instance)
{
  if (instance->gateway->policy == POLICY_PLAIN)
    return true;
  return instance->running_long < long_limit (instance);
}
