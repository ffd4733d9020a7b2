/* promotion - one attempt of a coordinator to replace a database's primary.

   A planned switch-over is one that an operator requests, or that moves the
   primary off a leaving instance.  The other attempts are failovers.

   The phases, from term T to T+1.  Each is idempotent and can be taken over
   by another host:

     CLAIM     compare-and-swap of the term record: {term T+1, sealing}
     FENCE     planned switch-over only: the old primary stops writing
     CATCH_UP  planned switch-over only: the target receives the rest of the
               old primary's log
     SEAL      instances are fenced: they accept no more log of terms below
               T+1, and then report their positions
     CHOOSE    compare-and-swap: {chosen, primary, start of T+1}
     PROMOTE   the chosen instance becomes primary of T+1
     ACTIVATE  compare-and-swap: {active}.  If the primary alone acknowledges
               a kind of request or serves its strong reads, and the old one
               was not sealed, it waits until TERM_VIEW_MAX_AGE_MS, plus a
               margin for clock drift, have passed since CLAIM, or since
               another host continued the attempt

   A write is acknowledged once the primary and one replica of its term have
   received it.  Of N instances N - 1 are sealed before the choice, so at
   least one of every such pair is sealed, and the sealed instance with the
   most log has every acknowledged write.  The platform's compare-and-swap
   decides between concurrent coordinators.  If the reply to a write is lost,
   the record is read back and the attempt id shows whether it was written.

   BOOTSTRAP and HOLD are attempts of a single write: of a first record, and
   of the ban on automatic promotions.  */

#ifndef SAVORYWAY_CORE_PROMOTION_H
#define SAVORYWAY_CORE_PROMOTION_H

#include "core/terms.h"
#include "port/db_port.h"
#include "port/platform_port.h"

/* Instances of one database that are monitored; further ones are ignored.  */
#define MONITOR_MAX_INSTANCES 5

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

/* Called when an attempt ends.  MESSAGE is the reason if OK is false.  */
typedef void (*promotion_done) (void *arg, bool ok, const char *message);

struct monitor;

/* State of the attempt of one database; all zero is idle.  */
struct promotion
{
  enum promotion_phase phase;
  clk_ms phase_ms;   /* start of the phase */
  clk_ms started_ms; /* start of the attempt */
  bool planned;
  char target[PATH_BYTES]; /* requested primary; empty for any */
  promotion_done done;     /* NULL if nothing waits for the result */
  void *arg;

  /* The write of the term record: platform index that it expects, and new
     record.  */
  uint64_t index;
  struct term_record next;
  uint64_t call;   /* platform call in flight; 0 if none */
  bool read_back;  /* the outcome of the write is unknown: read first */
  clk_ms retry_ms; /* earliest time of the next call */
  bool platform_down;

  bool sealed[MONITOR_MAX_INSTANCES];
  bool job_running[MONITOR_MAX_INSTANCES]; /* a job of this attempt runs */
  clk_ms job_due_ms[MONITOR_MAX_INSTANCES];
  struct db_report reports[MONITOR_MAX_INSTANCES];
  uint64_t fence_lsn; /* end of the log of the fenced old primary */
  bool fenced;
  clk_ms activate_after_ms; /* earliest time of the write in ACTIVATE */
};

/* Starts an attempt at TERM, based on the record known to this host.  */
void promotion_start (struct monitor *monitor, uint64_t term);

/* Starts a planned switch-over to TARGET, or to any other instance if TARGET
   is NULL.  Returns NULL, or an error message without calling DONE.  DONE may
   be NULL.  */
const char *promotion_switch_over (struct monitor *monitor, const char *target,
                                   promotion_done done, void *arg);

/* Continues an attempt of another coordinator whose record is in state
   TERM_CHOSEN.  */
void promotion_resume (struct monitor *monitor);

/* Creates the first record: PRIMARY, which reports TERM, is active.  */
void promotion_bootstrap (struct monitor *monitor, uint64_t term,
                          const char *primary);

/* Sets or lifts the ban on automatic promotions.  Returns NULL, or an error
   message without calling DONE.  */
const char *promotion_set_hold (struct monitor *monitor, bool hold,
                                promotion_done done, void *arg);

/* Does the work of the current phase.  Stops the attempt if another one has
   changed the record.  */
void promotion_step (struct monitor *monitor);

/* Writes the next record with compare-and-swap, with retries and a read-back
   if the reply is lost; in promotion_record.c.  */
void promotion_write_record (struct monitor *monitor);

/* Enters the phase that follows a successful write of the record.  */
void promotion_record_written (struct monitor *monitor);

/* Logs the change of phase, and enters PHASE.  */
void promotion_enter (struct monitor *monitor, enum promotion_phase phase);

/* Phases that run jobs on the instances; in promotion_jobs.c.  */
void promotion_fence (struct monitor *monitor);
void promotion_catch_up (struct monitor *monitor);
void promotion_seal (struct monitor *monitor);
void promotion_promote (struct monitor *monitor);

/* Ends the attempt as failed.  A platform call in flight may still take
   effect.  */
void promotion_stop (struct monitor *monitor, const char *why);

const char *promotion_phase_name (enum promotion_phase phase);

#endif
