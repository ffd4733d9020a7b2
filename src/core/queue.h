/* queue - bounded queue of requests waiting for a slot of one instance.

   Flows (one for each service) share the slots by weighted fair queueing.
   Within a flow, items are ordered by priority and waiting time: one priority
   level counts as QUEUE_PRIORITY_STEP_MS of waiting, so low priorities are
   not starved.  Long requests are stored separately; the caller of queue_pop
   decides whether it may return one.  */

#ifndef SAVORYWAY_CORE_QUEUE_H
#define SAVORYWAY_CORE_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/clock.h"

#define QUEUE_PRIORITY_STEP_MS 100

/* Items of further flows are added to the first flow.  */
#define QUEUE_FLOW_LIMIT 64

struct queue_flow;

/* Embed this in the queued object.  Set the first six members before calling
   queue_push; the others belong to the queue.  */
struct queue_item
{
  uint32_t weight; /* of its flow, at least 1 */
  uint32_t priority;
  bool is_long;
  clk_ms enqueued_ms;
  clk_ms deadline_ms;
  int64_t cost_us;
  struct queue_flow *flow;
  struct queue_item *prev;
  struct queue_item *next;
};

struct queue;

/* Creates a queue for at most LIMIT items.  */
struct queue *queue_new (size_t limit);

/* Frees the queue, but not the items in it.  */
void queue_free (struct queue *queue);

/* Adds ITEM to the flow named FLOW.  Returns false if the queue is full.  */
bool queue_push (struct queue *queue, const char *flow,
                 struct queue_item *item);

/* Removes and returns the next item; NULL if there is none.  Long items are
   considered only if ALLOW_LONG is set.  */
struct queue_item *queue_pop (struct queue *queue, bool allow_long);

void queue_remove (struct queue *queue, struct queue_item *item);

size_t queue_count (const struct queue *queue);

/* Returns the total cost of the short items that would be served before a
   short item of FLOW with PRIORITY enqueued at NOW_MS.  */
int64_t queue_cost_ahead_us (const struct queue *queue, const char *flow,
                             uint32_t priority, clk_ms now_ms);

/* Returns the total cost of the long items.  */
int64_t queue_long_cost_us (const struct queue *queue);

/* Calls FN for each item.  FN may remove that item from the queue.  */
void queue_each (struct queue *queue,
                 void (*fn) (void *arg, struct queue_item *item), void *arg);

#endif
