#include "core/router_state.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

/* Lag above which a replica leaves the rotation.  */
#define ROTATION_MAX_LAG_MS 5000

/* Change of the share for each SHARE_STEP_MS, in 1/SHARE_FULL.  One update
   covers at most SHARE_STEP_MS.  */
#define SHARE_PER_S 200
#define SHARE_STEP_MS 1000

/* Share after an ejection, in 1/SHARE_FULL.  */
#define SHARE_AFTER_EJECTION 20

/* A replica is slow if its latency ratio is above SLOW_RATIO times that of the
   fastest one, and its latency higher by more than SLOW_MIN_DIFFERENCE_US.
   SLOW_SAMPLES are the samples needed for this decision.  */
#define SLOW_SAMPLES_AFTER_EJECTION 1
#define SLOW_RATIO 3
#define SLOW_SAMPLES 8
#define SLOW_MIN_DIFFERENCE_US 5000

/* Duration of an ejection, doubled with each repetition up to EJECT_MAX_SHIFT
   times.  */
#define EJECT_MS 5000
#define EJECT_MAX_SHIFT 3

struct router_state *
router_states_instance (struct router_states *states, const char *name,
                        clk_ms now_ms)
{
  struct router_state *state = NULL;
  HASH_FIND_STR (states->instances, name, state);
  if (state != NULL)
    return state;
  if (HASH_COUNT (states->instances) >= ROUTER_STATE_LIMIT)
    {
      struct router_state *oldest = states->instances;
      HASH_DEL (states->instances, oldest);
      free (oldest);
    }
  state = mem_zalloc (sizeof *state);
  strncpy (state->name, name, sizeof state->name - 1);
  state->share = SHARE_FULL;
  state->share_ms = now_ms;
  state->ratio = SHARE_FULL;
  HASH_ADD_STR (states->instances, name, state);
  return state;
}

struct router_database *
router_states_database (struct router_states *states, const char *name)
{
  struct router_database *database = NULL;
  HASH_FIND_STR (states->databases, name, database);
  if (database != NULL)
    return database;
  if (HASH_COUNT (states->databases) >= ROUTER_STATE_LIMIT)
    return states->databases;
  database = mem_zalloc (sizeof *database);
  strncpy (database->name, name, sizeof database->name - 1);
  cost_init (&database->latencies);
  HASH_ADD_STR (states->databases, name, database);
  return database;
}

void
router_states_clear (struct router_states *states)
{
  struct router_state *state, *next_state;
  HASH_ITER (hh, states->instances, state, next_state)
  {
    HASH_DEL (states->instances, state);
    free (state);
  }
  struct router_database *database, *next;
  HASH_ITER (hh, states->databases, database, next)
  {
    HASH_DEL (states->databases, database);
    cost_clear (&database->latencies);
    free (database);
  }
}

/* Returns the change of the share in SPAN_MS.  After an ejection the share
   starts low and doubles each second, so that only a few requests are sent
   until it is known whether the instance is still slow.  */
static uint32_t
share_step (const struct router_state *state, clk_ms span_ms)
{
  uint32_t per_s = SHARE_PER_S;
  if (state->ejections > 0 && state->share < SHARE_PER_S)
    per_s = state->share;
  return (uint32_t)(span_ms * per_s / SHARE_STEP_MS);
}

void
router_state_update_share (struct router_state *state, clk_ms now_ms)
{
  clk_ms span_ms = now_ms - state->share_ms;
  if (now_ms < state->ejected_until_ms)
    return;
  if (span_ms > SHARE_STEP_MS)
    span_ms = SHARE_STEP_MS;
  uint32_t step = share_step (state, span_ms);
  if (step == 0)
    return;
  state->share_ms = now_ms;
  bool lagging = !state->primary && state->lag_ms > ROTATION_MAX_LAG_MS;
  if (lagging)
    {
      state->share = state->share > step ? state->share - step : 0;
      return;
    }
  state->share += step;
  if (state->share < SHARE_FULL)
    return;
  state->share = SHARE_FULL;
  state->ejections = 0;
}

bool
router_state_is_slow (const struct router_state *state,
                      const struct router_state *best)
{
  uint32_t needed
      = state->ejections > 0 ? SLOW_SAMPLES_AFTER_EJECTION : SLOW_SAMPLES;
  if (state->samples < needed || best->samples < SLOW_SAMPLES)
    return false;
  return state->ratio > SLOW_RATIO * best->ratio
         && state->latency_us - best->latency_us > SLOW_MIN_DIFFERENCE_US;
}

void
router_state_eject (struct router_state *state, clk_ms now_ms)
{
  uint32_t shift = state->ejections < EJECT_MAX_SHIFT ? state->ejections
                                                      : EJECT_MAX_SHIFT;
  state->ejections++;
  state->ejected_until_ms = now_ms + ((clk_ms)EJECT_MS << shift);
  state->share = SHARE_AFTER_EJECTION;
  state->share_ms = state->ejected_until_ms;
  state->samples = 0;
  state->ratio = SHARE_FULL;
}
