/* client_budget_impl - internal types and functions of the client budget.  */

#ifndef SAVORYWAY_PORT_CLIENT_BUDGET_IMPL_H
#define SAVORYWAY_PORT_CLIENT_BUDGET_IMPL_H

#include "port/client_budget.h"

/* Why a connection is closed.  */
enum reason
{
  REASON_STARTUP,
  REASON_MESSAGE,
  REASON_UNREAD,
  REASON_NO_ROOM,
  REASON_SLOW,
  REASON_MEMORY,
  REASON_REPLACED,
  REASON_REFUSED,
  REASONS
};

struct room_pool
{
  size_t limit_bytes;
  size_t used_bytes;
  struct client_room *holders; /* longest held first */
  struct client_room *waiters; /* likewise */
};

struct client_budget
{
  struct client_budget_options options;
  struct event *sweep;
  struct event *grant;
  size_t limit_bytes;
  size_t bytes;
  size_t peak_bytes; /* since the last trim */
  size_t swept_bytes;
  clk_ms trimmed_ms;
  clk_ms logged_ms;
  struct client *clients; /* in order of arrival */
  size_t count[CLIENT_INTERFACES];
  size_t count_limit[CLIENT_INTERFACES];
  struct room_pool pools[ROOM_POOLS];
  uint64_t unlogged[CLIENT_INTERFACES][REASONS];
};

static inline clk_ms
client_budget_now (const struct client_budget *budget)
{
  return clk_now (budget->options.clk);
}

/* Closes CLIENT, and counts it.  */
void client_close (struct client *client, enum reason reason);

/* Gives rooms to those that wait, as far as there are.  */
void client_rooms_give (struct client_budget *budget);
/* Closes the client that has held a room of each pool for the longest time, if
   its message has not arrived in time for those that wait.  */
void client_rooms_end_tenure (struct client_budget *budget);

#endif
