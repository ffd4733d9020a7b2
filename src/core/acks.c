#include "core/acks.h"

#include <string.h>
#include <utlist.h>

void
acks_init (struct acks *acks, clk_ms now_ms)
{
  memset (acks, 0, sizeof *acks);
  acks->progress_ms = now_ms;
}

bool
acks_add (struct acks *acks, struct ack_wait *wait)
{
  if (acks->count >= ACKS_LIMIT)
    return false;
  DL_APPEND (acks->waits, wait);
  acks->count++;
  return true;
}

void
acks_remove (struct acks *acks, struct ack_wait *wait)
{
  DL_DELETE (acks->waits, wait);
  acks->count--;
}

bool
acks_reached (const struct ack_wait *wait, const struct db_report *report)
{
  if (wait->kind == ACK_REPLAYED)
    return report->replayed_lsn >= wait->position.lsn;
  return report->primary && report->term == wait->position.term
         && report->confirmed_lsn >= wait->position.lsn;
}

static bool
has_moved (const struct ack_wait *wait, const struct db_report *report)
{
  if (wait->kind == ACK_REPLAYED)
    return false;
  if (report->term == wait->position.term)
    return !report->primary;
  return report->term > wait->position.term;
}

static void
end (struct acks *acks, struct ack_wait *wait, enum ack_result result)
{
  acks_remove (acks, wait);
  wait->done (wait, result);
}

static void
note_progress (struct acks *acks, const struct db_report *report,
               clk_ms now_ms)
{
  bool advanced = report->confirmed_lsn > acks->confirmed_lsn;
  bool all_confirmed = report->confirmed_lsn >= report->received_lsn;
  if (report->term != acks->term || advanced || all_confirmed
      || !report->primary)
    acks->progress_ms = now_ms;
  acks->term = report->term;
  acks->confirmed_lsn = report->confirmed_lsn;
}

void
acks_observe (struct acks *acks, const struct db_report *report, clk_ms now_ms)
{
  struct ack_wait *wait, *next;
  if (report->term == 0)
    return;
  note_progress (acks, report, now_ms);
  DL_FOREACH_SAFE (acks->waits, wait, next)
  {
    if (acks_reached (wait, report))
      end (acks, wait, ACK_REACHED);
    else if (has_moved (wait, report))
      end (acks, wait, ACK_TERM_CHANGED);
  }
}

void
acks_expire (struct acks *acks, clk_ms now_ms)
{
  struct ack_wait *wait, *next;
  DL_FOREACH_SAFE (acks->waits, wait, next)
  {
    if (now_ms >= wait->deadline_ms)
      end (acks, wait, ACK_TIMEOUT);
  }
}

clk_ms
acks_stalled_ms (const struct acks *acks, clk_ms now_ms)
{
  return now_ms - acks->progress_ms;
}
