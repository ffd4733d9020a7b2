/* control - connection to an instance for health checks and role changes,
   separate from the connections that serve requests.

   The connection is opened for the first job, then kept open, and reopened
   with a backoff after a failure.  Jobs run one at a time, in the order of
   submission.  */

#ifndef SAVORYWAY_CORE_CONTROL_H
#define SAVORYWAY_CORE_CONTROL_H

#include "kernel/kernel.h"
#include "port/db_port.h"

struct control;

/* Callback with the result of a job.  RESULT is NULL if the instance was
   unreachable, or if the connection broke; the job may have taken effect
   then.  */
typedef void (*control_done) (void *arg, const struct db_result *result);

/* Latest health information about an instance.  */
struct control_state
{
  bool reported;      /* report is valid */
  clk_ms report_ms;   /* time at which report was received */
  clk_ms answered_ms; /* time of the last answer; initially of creation */
  uint32_t failures;  /* failed or lost connections since the last answer */
  bool busy;          /* a job is running or queued */
  struct db_report report;
};

struct control *control_new (struct kernel *kernel, struct db_port *port,
                             const struct db_target *target);

/* Closes the connection and discards all jobs without calling their
   callbacks.  */
void control_free (struct control *control);

const struct control_state *control_state (const struct control *control);

/* Queues a job of KIND with the parameters TERM and, for DB_FOLLOW, FOLLOW,
   which may be NULL.  Calls DONE once with the result, never from within this
   function and not after control_free.  DONE must not free CONTROL.  */
void control_submit (struct control *control, enum db_job_kind kind,
                     uint64_t term, const struct db_target *follow,
                     control_done done, void *arg);

/* Queues a DB_STATUS job unless another job is running or queued.  */
void control_probe (struct control *control, control_done done, void *arg);

#endif
