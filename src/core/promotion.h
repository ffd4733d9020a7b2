/* promotion - one attempt of a coordinator to give a database a primary.

   The steps, each safe to repeat and to be taken over by another host:

     CLAIM     compare-and-swap of the record: {term T+1, sealing}
     FENCE     ordered switch-over only: the old primary stops writing
     CATCH_UP  ordered switch-over only: the target receives what is left
     SEAL      instances take no more log of terms below T+1, and then
               report their positions
     CHOOSE    compare-and-swap: {chosen, primary, start of T+1}
     PROMOTE   the chosen instance becomes primary of T+1
     ACTIVATE  compare-and-swap: {active}; where a kind is acknowledged by
               the primary alone and the old one was not sealed, only once
               TERM_VIEW_MAX_AGE_MS have passed since CLAIM

   A write is acknowledged once the primary and one replica of its term have
   it.  Of N instances N - 1 are sealed before the choice, so that every such
   pair has a sealed member, and the furthest of them has every acknowledged
   write.  The platform's compare-and-swap decides between coordinators; the
   attempt id resolves an answer that was lost.  */

#ifndef SAVORYWAY_CORE_PROMOTION_H
#define SAVORYWAY_CORE_PROMOTION_H

#include "core/terms.h"
#include "port/db_port.h"
#include "port/platform_port.h"

#define GUARD_INSTANCES 5

enum promotion_phase
{
  PROMOTION_NONE,
  PROMOTION_BOOTSTRAP,
  PROMOTION_HOLD,
  PROMOTION_CLAIM,
  PROMOTION_FENCE,
  PROMOTION_CATCH_UP,
  PROMOTION_SEAL,
  PROMOTION_CHOOSE,
  PROMOTION_PROMOTE,
  PROMOTION_ACTIVATE
};

/* OK is false if the order was not carried out; MESSAGE says why.  */
typedef void (*promotion_done) (void *arg, bool ok, const char *message);

struct guard;

/* State of the attempt of one database; all zero is idle.  */
struct promotion
{
  enum promotion_phase phase;
  clk_ms phase_ms;   /* when the phase began */
  clk_ms started_ms; /* when the attempt began */
  bool ordered;
  char target[PATH_BYTES]; /* wanted primary; empty for any */
  promotion_done done;     /* NULL unless ordered */
  void *arg;

  /* The record: what it is at the index, and what it shall become.  */
  uint64_t index;
  struct term_record next;
  uint64_t call;   /* of the platform, 0 if none runs */
  bool read_back;  /* the outcome of the write is not known */
  clk_ms retry_ms; /* not before */
  bool platform_down;

  bool sealed[GUARD_INSTANCES];
  bool running[GUARD_INSTANCES]; /* a job of this attempt */
  clk_ms again_ms[GUARD_INSTANCES];
  struct db_report reports[GUARD_INSTANCES];
  uint64_t fence_lsn;
  bool fenced;
  clk_ms active_after_ms;
};

/* Begins an attempt at TERM on the record that is known.  */
void promotion_start (struct guard *guard, uint64_t term);

/* Begins an ordered switch-over to TARGET, or to any other instance if
   NULL.  Returns NULL, or why it can't be done, without calling DONE.  */
const char *promotion_order (struct guard *guard, const char *target,
                             promotion_done done, void *arg);

/* Goes on with the chosen record of another coordinator.  */
void promotion_resume (struct guard *guard);

/* Creates the first record, with PRIMARY of TERM as found.  */
void promotion_bootstrap (struct guard *guard, uint64_t term,
                          const char *primary);

/* Sets or lifts the ban on automatic promotions.  Returns NULL, or why it
   can't be done, without calling DONE.  */
const char *promotion_set_hold (struct guard *guard, bool hold,
                                promotion_done done, void *arg);

/* Does what is due.  */
void promotion_step (struct guard *guard);

/* Writes the next record, and sees to the answer; in promotion_record.c.
   promotion_written is called once the platform has it.  */
void promotion_write (struct guard *guard);
void promotion_written (struct guard *guard);

void promotion_enter (struct guard *guard, enum promotion_phase phase);

/* The phases that work on the instances; in promotion_jobs.c.  */
void promotion_fence (struct guard *guard);
void promotion_catch_up (struct guard *guard);
void promotion_seal (struct guard *guard);
void promotion_promote (struct guard *guard);

/* Ends the attempt; platform calls under way may still take effect.  */
void promotion_stop (struct guard *guard, const char *why);

const char *promotion_phase_name (enum promotion_phase phase);

#endif
