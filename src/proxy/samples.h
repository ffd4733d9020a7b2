/* samples - recent log positions of a primary, which bound the staleness of
   reads.

   A sample is a position that a confirmed primary reported, with the time at
   which the request was sent: the position includes every commit acknowledged
   before that time.  The log of a new primary ends in an earlier term until
   its first commit, so the term in which it leads is kept as well.  A read
   that arrived at time A and may return data S ms old can use any sample
   requested at A - S or later; the oldest of them leaves replicas the most
   time to catch up.  */

#ifndef SAVORYWAY_PROXY_SAMPLES_H
#define SAVORYWAY_PROXY_SAMPLES_H

#include <stdbool.h>
#include <stddef.h>

#include "core/types.h"
#include "kernel/clock.h"

/* 64 samples at intervals of 100 ms cover the staleness of all usual
   routes.  */
#define SAMPLES_KEPT 64
#define SAMPLES_STEP_MS 100

struct sample
{
  struct position position;
  uint64_t term;  /* in which the primary led */
  clk_ms sent_ms; /* time at which the request was sent */
};

struct samples
{
  size_t count;
  size_t last;                       /* index of the newest */
  struct sample items[SAMPLES_KEPT]; /* ring buffer */
};

/* Adds POSITION, which the primary of TERM reported in answer to a request
   sent at SENT_MS.  */
void samples_add (struct samples *samples, uint64_t term,
                  struct position position, clk_ms sent_ms);

/* Sets POSITION to that of the oldest sample requested at NOT_BEFORE_MS or
   later; returns false if there is none.  */
bool samples_floor (const struct samples *samples, clk_ms not_before_ms,
                    struct position *position);

/* Returns the time at which the newest sample was requested; CLK_LONG_AGO if
   there is none.  */
clk_ms samples_newest_ms (const struct samples *samples);

/* Returns the position of the newest sample; zero if there is none.  */
struct position samples_newest (const struct samples *samples);

/* Returns the newest term in which a primary is known to have led; 0 if there
   is no sample.  */
uint64_t samples_term (const struct samples *samples);

#endif
