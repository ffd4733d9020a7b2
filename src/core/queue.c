#include "core/queue.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "kernel/mem.h"

#define FLOW_NAME_BYTES 160
#define SHORT 0
#define LONG 1
#define CLASSES 2

struct queue_flow
{
  char name[FLOW_NAME_BYTES];
  uint32_t weight;
  int64_t served_us; /* virtual time: cost served, divided by weight */
  struct queue_item *items[CLASSES];
  struct queue_flow *next;
};

struct queue
{
  size_t limit;
  size_t count;
  size_t flow_count;
  int64_t now_us; /* virtual time of the flow served last */
  int64_t cost_us[CLASSES];
  struct queue_flow *flows;
};

struct queue *
queue_new (size_t limit)
{
  struct queue *queue = mem_zalloc (sizeof *queue);
  queue->limit = limit;
  return queue;
}

void
queue_free (struct queue *queue)
{
  if (queue == NULL)
    return;
  while (queue->flows != NULL)
    {
      struct queue_flow *flow = queue->flows;
      queue->flows = flow->next;
      free (flow);
    }
  free (queue);
}

static struct queue_flow *
find_flow (const struct queue *queue, const char *name)
{
  struct queue_flow *flow;
  LL_FOREACH (queue->flows, flow)
  {
    if (strcmp (flow->name, name) == 0)
      return flow;
  }
  return NULL;
}

static struct queue_flow *
get_flow (struct queue *queue, const char *name)
{
  struct queue_flow *flow = find_flow (queue, name);
  if (flow != NULL)
    return flow;
  if (queue->flow_count == QUEUE_FLOW_LIMIT)
    return queue->flows;
  flow = mem_zalloc (sizeof *flow);
  strncpy (flow->name, name, sizeof flow->name - 1);
  LL_APPEND (queue->flows, flow);
  queue->flow_count++;
  return flow;
}

/* Returns the rank of an item within its flow.  Items of one flow are served
   in ascending order of rank.  */
static clk_ms
rank (clk_ms enqueued_ms, uint32_t priority)
{
  return enqueued_ms - (clk_ms)priority * QUEUE_PRIORITY_STEP_MS;
}

static clk_ms
item_rank (const struct queue_item *item)
{
  return rank (item->enqueued_ms, item->priority);
}

static void
insert (struct queue_item **list, struct queue_item *item)
{
  struct queue_item *at = *list ? (*list)->prev : NULL;
  while (at != NULL && item_rank (at) > item_rank (item))
    at = at == *list ? NULL : at->prev;
  if (at == NULL)
    DL_PREPEND (*list, item);
  else
    DL_APPEND_ELEM (*list, at, item);
}

bool
queue_push (struct queue *queue, const char *name, struct queue_item *item)
{
  if (queue->count >= queue->limit)
    return false;
  struct queue_flow *flow = get_flow (queue, name);
  bool idle = flow->items[SHORT] == NULL && flow->items[LONG] == NULL;
  if (idle && flow->served_us < queue->now_us)
    flow->served_us = queue->now_us;
  flow->weight = item->weight > 0 ? item->weight : 1;
  item->flow = flow;
  insert (&flow->items[item->is_long], item);
  queue->cost_us[item->is_long] += item->cost_us;
  queue->count++;
  return true;
}

void
queue_remove (struct queue *queue, struct queue_item *item)
{
  DL_DELETE (item->flow->items[item->is_long], item);
  queue->cost_us[item->is_long] -= item->cost_us;
  queue->count--;
}

static struct queue_item *
flow_head (const struct queue_flow *flow, bool allow_long)
{
  struct queue_item *a = flow->items[SHORT];
  struct queue_item *b = allow_long ? flow->items[LONG] : NULL;
  if (a == NULL || b == NULL)
    return a != NULL ? a : b;
  return item_rank (b) < item_rank (a) ? b : a;
}

struct queue_item *
queue_pop (struct queue *queue, bool allow_long)
{
  struct queue_flow *flow, *best = NULL;
  LL_FOREACH (queue->flows, flow)
  {
    if (flow_head (flow, allow_long) == NULL)
      continue;
    if (best == NULL || flow->served_us < best->served_us)
      best = flow;
  }
  if (best == NULL)
    return NULL;
  struct queue_item *item = flow_head (best, allow_long);
  queue_remove (queue, item);
  queue->now_us = best->served_us;
  best->served_us += item->cost_us / best->weight;
  return item;
}

size_t
queue_count (const struct queue *queue)
{
  return queue->count;
}

int64_t
queue_cost_ahead_us (const struct queue *queue, const char *name,
                     uint32_t priority, clk_ms now_ms)
{
  const struct queue_flow *own = find_flow (queue, name);
  const struct queue_flow *flow;
  const struct queue_item *item;
  int64_t own_us = 0;
  int64_t other_us = 0;
  LL_FOREACH (queue->flows, flow)
  {
    DL_FOREACH (flow->items[SHORT], item)
    {
      if (flow != own)
        other_us += item->cost_us;
      else if (item_rank (item) <= rank (now_ms, priority))
        own_us += item->cost_us;
    }
  }
  /* With fair queueing, other flows are served before the item only to the
     same extent as its own flow.  */
  int64_t fair_us = own_us > 0 ? own_us : 0;
  return own_us + (other_us < fair_us ? other_us : fair_us);
}

int64_t
queue_long_cost_us (const struct queue *queue)
{
  return queue->cost_us[LONG];
}

void
queue_each (struct queue *queue,
            void (*fn) (void *arg, struct queue_item *item), void *arg)
{
  struct queue_flow *flow;
  struct queue_item *item, *next;
  LL_FOREACH (queue->flows, flow)
  {
    for (size_t class = 0; class < CLASSES; class ++)
      DL_FOREACH_SAFE (flow->items[class], item, next) { fn (arg, item); }
  }
}
