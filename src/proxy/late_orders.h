/* late_orders - orders to promote that got no answer, and may be carried out
   after later ones.

   Where the platform checks fencing tokens, an order is outstanding until the
   platform has received one with a higher token; elsewhere, until a time that
   the caller states.  There is one entry for each instance, for all orders
   that name it.  */

#ifndef SAVORYWAY_PROXY_LATE_ORDERS_H
#define SAVORYWAY_PROXY_LATE_ORDERS_H

#include <stdbool.h>

#include "core/types.h"
#include "kernel/clock.h"
#include "proxy/roster.h"

struct late_order
{
  char id[NAME_BYTES]; /* of the instance */
  clk_ms until_ms;     /* in the past: unused entry */
  uint64_t first_token;
  uint64_t last_token;
};

/* To be initialised with zeros.  */
struct late_orders
{
  struct late_order items[ROSTER_FLOATING];
};

/* Adds an order for ID that was sent with TOKEN.  If there is no room, it
   takes the place of the entry that ends first, and of these the oldest.  */
void late_orders_add (struct late_orders *orders, const char *id,
                      uint64_t token, clk_ms now_ms, clk_ms until_ms);

bool late_orders_has (const struct late_orders *orders, const char *id,
                      clk_ms now_ms);

/* Returns an entry of another instance than ID, or NULL.  */
const struct late_order *late_orders_other (const struct late_orders *orders,
                                            const char *id, clk_ms now_ms);

/* Returns whether an order for another instance than ID was sent with
   TOKEN.  */
bool late_orders_share_token (const struct late_orders *orders, const char *id,
                              uint64_t token, clk_ms now_ms);

/* Removes what the platform refuses now that it has received TOKEN.  */
void late_orders_fence (struct late_orders *orders, uint64_t token);

/* The same, now that ID leads by one of its orders, if it has an entry.  */
void late_orders_note_primary (struct late_orders *orders, const char *id,
                               clk_ms now_ms);

#endif
