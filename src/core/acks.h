/* acks - queue of requests that wait for a log position of an instance.

   A committed write waits until the primary reports that a replica of the
   same term has received it.  A read waits until a replica has replayed the
   position of its session.  The owner polls the instance while the queue is
   not empty, and passes each report to acks_observe.  */

#ifndef SAVORYWAY_CORE_ACKS_H
#define SAVORYWAY_CORE_ACKS_H

#include "kernel/clock.h"
#include "port/db_port.h"

/* Maximum number of requests that wait for one instance.  */
#define ACKS_LIMIT 4096

enum ack_kind
{
  ACK_CONFIRMED, /* a replica of the same term has received it */
  ACK_REPLAYED   /* it is visible to reads on the instance */
};

enum ack_result
{
  ACK_REACHED,
  ACK_TERM_CHANGED, /* the instance is not primary of that term any more */
  ACK_TIMEOUT
};

struct ack_wait
{
  enum ack_kind kind;
  struct position position;
  clk_ms deadline_ms;
  void (*done) (struct ack_wait *wait, enum ack_result result);
  struct ack_wait *prev;
  struct ack_wait *next;
};

struct acks
{
  struct ack_wait *waits;
  size_t count;
  uint64_t term; /* term in the latest report */
  uint64_t confirmed_lsn;
  /* Time of the last report in which confirmed_lsn advanced, all log was
     confirmed, the term changed, or the instance was not primary.  */
  clk_ms progress_ms;
};

void acks_init (struct acks *acks, clk_ms now_ms);

/* Adds WAIT, which the caller owns and which must exist until DONE is called
   or it is removed.  Returns false if ACKS_LIMIT is reached.  */
bool acks_add (struct acks *acks, struct ack_wait *wait);

/* Removes WAIT without calling DONE.  */
void acks_remove (struct acks *acks, struct ack_wait *wait);

/* Returns whether REPORT shows that the position of WAIT is reached.  */
bool acks_reached (const struct ack_wait *wait,
                   const struct db_report *report);

/* Processes a report of the instance: completes the waits whose position is
   reached, or can't be reached any more since the term has changed.  */
void acks_observe (struct acks *acks, const struct db_report *report,
                   clk_ms now_ms);

/* Completes the waits whose deadline has passed with ACK_TIMEOUT.  */
void acks_expire (struct acks *acks, clk_ms now_ms);

/* Returns for how long no replica has confirmed more of the primary's log
   although some is unconfirmed; 0 at a report that shows all as confirmed.  */
clk_ms acks_stalled_ms (const struct acks *acks, clk_ms now_ms);

#endif
