/* mirror_age - tells how old the contents of a mirror may be.

   The contents are confirmed as of a time: they contain every change that the
   store acknowledged before it.  That time must never be too late, so it is
   counted from the sending of a request.  When a reply is read says nothing:
   the host may have stood still with the reply in its socket.

   A store that was restored from an older copy lacks changes until operators
   and instances have written them again.  Until then its replies confirm
   nothing.  What was confirmed before stays so for this host, since
   subscribers do not go back to an earlier state of what they order; it does
   not hold for a copy of the store's present contents.

   Times are those of the host's monotonic clock.  */

#ifndef SAVORYWAY_PROXY_MIRROR_AGE_H
#define SAVORYWAY_PROXY_MIRROR_AGE_H

#include <stdbool.h>

#include "kernel/clock.h"

/* Spans measured by another machine's clock are shortened by this part, since
   the rates of two clocks may differ by some hundred ppm.  */
#define MIRROR_AGE_DRIFT_DIVISOR 1000
/* Longest age that a relay may report; beyond it a reply confirms nothing.  */
#define MIRROR_AGE_LIMIT_MS 86400000

struct mirror_age
{
  clk_ms confirmed_ms; /* CLK_LONG_AGO: never */
  clk_ms settled_ms;   /* replies of the store as of an earlier time confirm
                          nothing */
  bool in_era;         /* confirmed in the present era of the store */
};

void mirror_age_init (struct mirror_age *age);

/* Notes that the store was restored before NOW_MS, or may have been, and that
   what it has lost is written again within REWRITTEN_MS.  */
void mirror_age_restored (struct mirror_age *age, clk_ms now_ms,
                          clk_ms rewritten_ms);

/* Notes a reply of the store to a call sent at SENT_MS, which the store held
   for HELD_MS before it evaluated it.  */
void mirror_age_confirm (struct mirror_age *age, clk_ms sent_ms,
                         clk_ms held_ms);

/* Notes a reply of a relay to a call sent at SENT_MS and read at NOW_MS, which
   the relay held for HELD_MS.  Its contents were confirmed RELAY_AGE_MS before
   it replied; negative: never.  */
void mirror_age_confirm_relayed (struct mirror_age *age, clk_ms sent_ms,
                                 clk_ms now_ms, clk_ms held_ms,
                                 clk_ms relay_age_ms);

#endif
