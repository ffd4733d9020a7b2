/* inquiry - asks several instances for their state at once.

   Sends STMT_STATUS, or an order that returns the same row, and ends when
   all have answered or the time is up.  An instance without a free slot
   answers with its position only.  */

#ifndef SAVORYWAY_PROXY_INQUIRY_H
#define SAVORYWAY_PROXY_INQUIRY_H

#include "proxy/group.h"

struct inquiry_row
{
  char id[NAME_BYTES];
  bool answered;
  struct instance_status status;
};

struct inquiry;

typedef void (*inquiry_done) (void *arg, const struct inquiry_row *rows,
                              size_t count);

/* Asks COUNT instances; DONE follows once, never from within the call.  */
struct inquiry *inquiry_new (struct kernel *kernel, status_parse parse,
                             size_t count, struct backend *const *backends,
                             enum stmt_kind kind, uint64_t term,
                             clk_ms limit_ms, inquiry_done done, void *arg);

/* Ends it without DONE.  */
void inquiry_free (struct inquiry *inquiry);

#endif
