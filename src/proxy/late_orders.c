#include "proxy/late_orders.h"

#include <string.h>

#include "kernel/mutant.h"
#include "kernel/text.h"

static const struct late_order *
find (const struct late_orders *orders, const char *id, clk_ms now_ms)
{
  for (size_t i = 0; i < ROSTER_FLOATING; i++)
    if (orders->items[i].until_ms > now_ms
        && strcmp (orders->items[i].id, id) == 0)
      return &orders->items[i];
  return NULL;
}

/* Returns the entry whose place a new one takes.  */
static struct late_order *
least_needed (struct late_orders *orders)
{
  struct late_order *least = &orders->items[0];
  for (size_t i = 1; i < ROSTER_FLOATING; i++)
    {
      struct late_order *order = &orders->items[i];
      if (order->until_ms < least->until_ms
          || (order->until_ms == least->until_ms
              && order->last_token < least->last_token))
        least = order;
    }
  return least;
}

void
late_orders_add (struct late_orders *orders, const char *id, uint64_t token,
                 clk_ms now_ms, clk_ms until_ms)
{
  struct late_order *order = (struct late_order *)find (orders, id, now_ms);
  if (order == NULL)
    {
      order = least_needed (orders);
      *order = (struct late_order){ .first_token = token };
      text_copy (order->id, sizeof order->id, id);
    }
  if (token < order->first_token)
    order->first_token = token;
  if (token > order->last_token)
    order->last_token = token;
  order->until_ms = until_ms;
}

bool
late_orders_has (const struct late_orders *orders, const char *id,
                 clk_ms now_ms)
{
  return find (orders, id, now_ms) != NULL;
}

const struct late_order *
late_orders_other (const struct late_orders *orders, const char *id,
                   clk_ms now_ms)
{
  for (size_t i = 0; i < ROSTER_FLOATING; i++)
    {
      const struct late_order *order = &orders->items[i];
      if (order->until_ms > now_ms && strcmp (order->id, id) != 0
          && !MUTANT (forget_late_promote))
        return order;
    }
  return NULL;
}

bool
late_orders_share_token (const struct late_orders *orders, const char *id,
                         uint64_t token, clk_ms now_ms)
{
  for (size_t i = 0; i < ROSTER_FLOATING; i++)
    if (orders->items[i].until_ms > now_ms
        && orders->items[i].last_token == token
        && strcmp (orders->items[i].id, id) != 0 && !MUTANT (keep_token))
      return true;
  return false;
}

void
late_orders_fence (struct late_orders *orders, uint64_t token)
{
  for (size_t i = 0; i < ROSTER_FLOATING; i++)
    {
      struct late_order *order = &orders->items[i];
      if (order->last_token < token)
        *order = (struct late_order){ 0 };
      else if (order->first_token < token)
        order->first_token = token;
    }
}

void
late_orders_note_primary (struct late_orders *orders, const char *id,
                          clk_ms now_ms)
{
  const struct late_order *own = find (orders, id, now_ms);
  if (own != NULL)
    late_orders_fence (orders, own->first_token);
}
