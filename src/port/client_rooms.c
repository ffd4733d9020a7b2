/* Rooms of the client budget: reservations for long messages.  */

#include "port/client_budget_impl.h"

#include <utlist.h>

/* Time in which a message that has a room must have arrived, while others
   wait for one: 1 MiB at 3 Mbit/s.  */
#define ROOM_TENURE_MS 3000

static bool
fits (const struct client_budget *budget, const struct client_room *room)
{
  const struct room_pool *pool = &budget->pools[room->pool];
  if (pool->holders == NULL)
    return true;
  return pool->used_bytes + room->bytes <= pool->limit_bytes
         && budget->bytes + room->bytes <= budget->limit_bytes;
}

static void
give (struct client_room *room)
{
  struct room_pool *pool = &room->budget->pools[room->pool];
  room->held = true;
  room->since_ms = client_budget_now (room->budget);
  pool->used_bytes += room->bytes;
  DL_APPEND (pool->holders, room);
}

bool
client_room_try (struct client_room *room, struct client_budget *budget,
                 enum client_room_pool pool, size_t bytes)
{
  if (budget == NULL)
    return true;
  *room
      = (struct client_room){ .budget = budget, .pool = pool, .bytes = bytes };
  if (!fits (budget, room))
    return false;
  give (room);
  return true;
}

bool
client_room_take (struct client_room *room, struct client *client,
                  enum client_room_pool pool, size_t bytes,
                  void (*granted) (struct client_room *room))
{
  struct client_budget *budget = client->budget;
  if (budget == NULL || room->held)
    {
      room->held = true;
      return true;
    }
  if (room->waits)
    return false;
  *room = (struct client_room){ .budget = budget,
                                .client = client,
                                .pool = pool,
                                .bytes = bytes,
                                .since_ms = client_budget_now (budget),
                                .granted = granted };
  if (budget->pools[pool].waiters == NULL && fits (budget, room))
    {
      give (room);
      return true;
    }
  room->waits = true;
  DL_APPEND (budget->pools[pool].waiters, room);
  return false;
}

void
client_room_release (struct client_room *room)
{
  struct client_budget *budget = room->budget;
  struct room_pool *pool = budget != NULL ? &budget->pools[room->pool] : NULL;
  if (pool != NULL && room->waits)
    DL_DELETE (pool->waiters, room);
  else if (pool != NULL && room->held)
    {
      DL_DELETE (pool->holders, room);
      pool->used_bytes -= room->bytes;
      event_active (budget->grant, EV_TIMEOUT, 0);
    }
  *room = (struct client_room){ 0 };
}

static void
give_rooms_of (struct client_budget *budget, struct room_pool *pool)
{
  struct client_room *room, *next;
  DL_FOREACH_SAFE (pool->waiters, room, next)
  {
    if (!fits (budget, room))
      return;
    DL_DELETE (pool->waiters, room);
    room->waits = false;
    give (room);
    room->granted (room);
  }
}

void
client_rooms_give (struct client_budget *budget)
{
  for (size_t i = 0; i < ROOM_POOLS; i++)
    give_rooms_of (budget, &budget->pools[i]);
}

/* Closes the client that has held a room of POOL for the longest time, if its
   message has not arrived in time for those that wait.  */
static void
end_tenure (struct client_budget *budget, struct room_pool *pool)
{
  struct client_room *room;
  if (pool->waiters == NULL)
    return;
  DL_FOREACH (pool->holders, room)
  {
    if (client_budget_now (budget) - room->since_ms < ROOM_TENURE_MS)
      return;
    if (room->client == NULL || room->client->ops->close == NULL
        || (room->client->state != CLIENT_SENDING
            && room->client->state != CLIENT_NEW))
      continue;
    client_close (room->client, REASON_SLOW);
    return;
  }
}

void
client_rooms_end_tenure (struct client_budget *budget)
{
  for (size_t i = 0; i < ROOM_POOLS; i++)
    end_tenure (budget, &budget->pools[i]);
}
