/* acks - what waits for positions of an instance.

   A committed write waits until the primary reports that a replica of its
   term has received the write; a read waits until a replica has replayed
   what its session has seen.  The owner feeds reports of the instance in and
   polls for them while something waits.  */

#ifndef SAVORYWAY_CORE_ACKS_H
#define SAVORYWAY_CORE_ACKS_H

#include "kernel/clock.h"
#include "port/db_port.h"

#define ACKS_LIMIT 4096

enum ack_kind
{
  ACK_CONFIRMED, /* position received by a replica of the same term */
  ACK_REPLAYED   /* position visible to reads */
};

enum ack_result
{
  ACK_REACHED,
  ACK_TERM_CHANGED, /* the instance is no longer primary of that term */
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
  uint64_t term; /* of the latest report */
  uint64_t confirmed_lsn;
  clk_ms progress_ms; /* when a replica was last seen to keep up */
};

void acks_init (struct acks *acks, clk_ms now_ms);

/* Adds WAIT, which the caller keeps until done; false if there are too
   many.  */
bool acks_add (struct acks *acks, struct ack_wait *wait);
void acks_remove (struct acks *acks, struct ack_wait *wait);

/* Whether REPORT shows WAIT as reached.  */
bool acks_reached (const struct ack_wait *wait,
                   const struct db_report *report);

/* Takes in a report of the instance and ends the waits that it decides.  */
void acks_observe (struct acks *acks, const struct db_report *report,
                   clk_ms now_ms);

/* Ends the waits whose deadline has passed.  */
void acks_expire (struct acks *acks, clk_ms now_ms);

/* How long the primary has had log that no replica confirms; 0 if all is
   confirmed.  */
clk_ms acks_stalled_ms (const struct acks *acks, clk_ms now_ms);

#endif
