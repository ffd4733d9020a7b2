/* status_query - queries the state of several instances in parallel.

   Sends STMT_STATUS, or an order that returns the same row such as
   STMT_STEPDOWN, to each instance.  Ends when all have answered or after the
   timeout.  The answer to STMT_STATUS of an instance without a free slot holds
   only its position.  */

#ifndef SAVORYWAY_PROXY_STATUS_QUERY_H
#define SAVORYWAY_PROXY_STATUS_QUERY_H

#include "proxy/group.h"

/* The answer of one instance.  */
struct status_row
{
  char id[NAME_BYTES];
  bool answered;
  bool busy;                     /* ANSWERED, but with its position only */
  struct instance_status status; /* valid if ANSWERED */
  struct position applied;       /* likewise; zero if not reported */
};

struct status_query;

typedef void (*status_query_done) (void *arg, const struct status_row *rows,
                                   size_t count);

/* Starts a query of COUNT instances.  Calls DONE once, never from within
   this call, and then frees the query.  TERM is sent with the statement.  */
struct status_query *status_query_new (struct kernel *kernel,
                                       status_parse parse, size_t count,
                                       struct backend *const *backends,
                                       enum stmt_kind kind, uint64_t term,
                                       clk_ms timeout_ms,
                                       status_query_done done, void *arg);

/* Cancels the query without calling DONE.  QUERY may be NULL.  */
void status_query_free (struct status_query *query);

#endif
