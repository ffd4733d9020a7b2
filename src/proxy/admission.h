/* admission - whether a statement that was refused for want of a slot waits.

   Counts the statements that wait for the slots of a group here, and how many
   run while some wait.  Their quotient is what one more has to expect; one
   that would miss its target is refused at once, so that those that wait are
   served in time.  At a burst a queue without this bound makes every
   statement late, also long after the burst.  */

#ifndef SAVORYWAY_PROXY_ADMISSION_H
#define SAVORYWAY_PROXY_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"

/* Statements that ran are counted over such spans.  */
#define ADMISSION_SPAN_MS 200

/* So many may wait in any case, and so many while no rate is known.  */
#define ADMISSION_QUEUE_MIN 3
#define ADMISSION_QUEUE_DEFAULT 32

/* Zero-initialised: nothing waits, and no rate is known.  */
struct admission
{
  clk_ms span_begin_ms;
  uint32_t ran;       /* in this span */
  bool busy;          /* some waited when it began */
  double rate_per_ms; /* rate while some wait; 0: not known */
  uint32_t waiting;
};

/* A statement ran.  */
void admission_note_ran (struct admission *admission, clk_ms now_ms);

/* Whether a statement that may wait for LEFT_MS waits; if so it counts until
   admission_leave.  */
bool admission_enter (struct admission *admission, clk_ms now_ms,
                      clk_ms left_ms);
void admission_leave (struct admission *admission);

#endif
