/* admission - decides whether a statement waits for a slot or is refused.

   Counts the statements of this host that wait for slots of a group, and
   measures the rate at which statements complete while some wait.  The number
   of those that wait divided by that rate is the expected waiting time.  A
   statement that would miss its target duration is refused at once, so that
   the others are served in time.  Without this bound a burst makes every
   statement late, even long after the burst.  */

#ifndef SAVORYWAY_PROXY_ADMISSION_H
#define SAVORYWAY_PROXY_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"

/* The rate is measured over spans of this length.  */
#define ADMISSION_SPAN_MS 200

/* Numbers of waiting statements below which another one is admitted: always,
   and while no rate is known.  */
#define ADMISSION_QUEUE_MIN 3
#define ADMISSION_QUEUE_DEFAULT 32

/* Valid when zero-initialised: nothing waits, and no rate is known.  */
struct admission
{
  clk_ms span_begin_ms;
  uint32_t ran;       /* completed in this span */
  bool busy;          /* some waited when the span began */
  double rate_per_ms; /* completions while some wait; 0: unknown */
  uint32_t waiting;
};

/* Counts a statement that completed.  */
void admission_note_ran (struct admission *admission, clk_ms now_ms);

/* Returns whether a statement that may wait for LEFT_MS is admitted.  It then
   counts as waiting until admission_leave.  */
bool admission_enter (struct admission *admission, clk_ms now_ms,
                      clk_ms left_ms);
void admission_leave (struct admission *admission);

#endif
