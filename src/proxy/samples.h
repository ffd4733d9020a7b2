/* samples - what position a read must see.

   A sample is a position that a proven primary reported, and the time at
   which it was asked: the position covers every commit acknowledged before
   then.  A read that may be S ms old and arrived at A can use any sample
   asked at A - S or later; the oldest of them leaves replicas the most time
   to catch up.  */

#ifndef SAVORYWAY_PROXY_SAMPLES_H
#define SAVORYWAY_PROXY_SAMPLES_H

#include <stdbool.h>
#include <stddef.h>

#include "core/types.h"
#include "kernel/clock.h"

/* 64 samples, one each 100 ms, cover the staleness of all usual routes.  */
#define SAMPLES_KEPT 64
#define SAMPLES_STEP_MS 100

struct sample
{
  struct position position;
  clk_ms asked_ms;
};

struct samples
{
  size_t count;
  size_t last; /* index of the newest */
  struct sample items[SAMPLES_KEPT];
};

/* Adds what a proven primary reported on a question sent at ASKED_MS.  */
void samples_add (struct samples *samples, struct position position,
                  clk_ms asked_ms);

/* Sets POSITION to the oldest sample asked at NOT_BEFORE_MS or later;
   returns false if there is none.  */
bool samples_floor (const struct samples *samples, clk_ms not_before_ms,
                    struct position *position);

/* When the newest sample was asked for; CLK_LONG_AGO if there is none.  */
clk_ms samples_newest_ms (const struct samples *samples);

/* The newest sample's position; zero if there is none.  */
struct position samples_newest (const struct samples *samples);

#endif
