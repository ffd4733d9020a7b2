/* client_budget - memory and descriptors of the process's connections.

   Every server adds its connections to one budget, which counts their buffers
   and what is held for them.  Near the limit the budget closes those that hold
   the most and have made no progress for the longest.  Connections of an
   interface are limited so that descriptors are left for files, instances, the
   store and other hosts.  A connection whose remote end does not go on with
   what is awaited from it is closed after a time limit.

   A message or answer above a few KiB is read only with a room, a reservation
   of memory.  Rooms are given in the order in which they were requested, so
   the memory of large messages is bounded and those that have a room can be
   completed.

   Functions that take a client or room do nothing if it belongs to no budget
   (client_add with NULL); rooms are then always given.  */

#ifndef SAVORYWAY_PORT_CLIENT_BUDGET_H
#define SAVORYWAY_PORT_CLIENT_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/bufferevent.h>
#include <event2/event.h>

#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

enum client_interface
{
  CLIENT_CALLERS,
  CLIENT_HOSTS,
  CLIENT_OPERATORS, /* and the check of readiness */
  CLIENT_INSTANCES, /* opened by this process; counted, but never closed */
  CLIENT_INTERFACES
};

/* What is awaited.  The time limits apply to CLIENT_NEW, CLIENT_SENDING and
   CLIENT_READING; CLIENT_WAITING has a longer one.  */
enum client_state
{
  CLIENT_NEW,     /* its first request */
  CLIENT_IDLE,    /* nothing: between requests */
  CLIENT_SENDING, /* the rest of a message */
  CLIENT_WAITING, /* a room */
  CLIENT_SERVED,  /* an answer of this process */
  CLIENT_READING  /* that it reads an answer */
};

struct client_budget;
struct client;

struct client_ops
{
  /* Closes the connection and removes CLIENT.  Called from the event loop or
     from client_add of another client.  */
  void (*close) (struct client *client);
};

/* A connection; embedded in the object of its server.  */
struct client
{
  struct client_budget *budget; /* NULL: not counted */
  const struct client_ops *ops;
  enum client_interface interface;
  enum client_state state;
  size_t buffered_bytes;
  size_t held_bytes;
  uint64_t moved_bytes; /* received and sent so far */
  uint64_t mark_bytes;  /* moved_bytes at PROGRESS_MS */
  clk_ms progress_ms;
  struct evbuffer *buffers[2]; /* input and output, observed */
  struct evbuffer_cb_entry *observers[2];
  struct client *prev;
  struct client *next;
};

struct client_budget_options
{
  struct event_base *base;
  struct clk *clk;
  struct log *log;         /* may be NULL */
  struct metrics *metrics; /* may be NULL */
  size_t machine_bytes;    /* memory of the machine; 0: found out */
  size_t descriptors;      /* limit of the process; 0: found out */
  clk_ms stall_ms;         /* longest time without progress */
};

/* Also sets the allocator up to return large blocks to the system.  */
struct client_budget *
client_budget_new (const struct client_budget_options *options);
/* All clients and rooms must have been removed.  */
void client_budget_free (struct client_budget *budget);
void client_budget_set_metrics (struct client_budget *budget,
                                struct metrics *metrics);

/* Memory for connections, a part of that of the machine.  */
size_t client_budget_limit_bytes (const struct client_budget *budget);
size_t client_budget_bytes (const struct client_budget *budget);

/* Adds a connection in state CLIENT_NEW.  Returns false if the interface has
   as many as it may have and none of them can be closed in its place; CLIENT
   must then not be used.  BUDGET may be NULL.  */
bool client_add (struct client_budget *budget, struct client *client,
                 enum client_interface interface,
                 const struct client_ops *ops);
/* Counts the buffers of BEV, which must exist until client_remove.  */
void client_observe (struct client *client, struct bufferevent *bev);
void client_remove (struct client *client);

void client_set_state (struct client *client, enum client_state state);
/* The remote end has completed something, such as a message.  */
void client_note_progress (struct client *client);
/* Sets the bytes that are held for CLIENT apart from its buffers.  */
void client_hold (struct client *client, size_t bytes);

/* Groups of rooms that don't compete with each other.  */
enum client_room_pool
{
  ROOMS_MESSAGES,  /* of callers */
  ROOMS_ANSWERS,   /* of instances */
  ROOMS_CALLS,     /* of hosts, while they are read */
  ROOMS_RUNNING,   /* of hosts, while they are processed */
  ROOMS_STRANGERS, /* before the first authentic call */
  ROOM_POOLS
};

struct client_room
{
  struct client_budget *budget;
  struct client *client; /* NULL: may be held for any time */
  enum client_room_pool pool;
  size_t bytes;
  bool held;
  bool waits;
  clk_ms since_ms;
  void (*granted) (struct client_room *room);
  struct client_room *prev;
  struct client_room *next;
};

/* Takes a room of BYTES for CLIENT, which has been added to a budget.  Returns
   false if ROOM has to wait; GRANTED is called from the event loop when it has
   been given.  A room is always given if it is the only one of its pool.  */
bool client_room_take (struct client_room *room, struct client *client,
                       enum client_room_pool pool, size_t bytes,
                       void (*granted) (struct client_room *room));
/* The same without waiting, for no client in particular.  */
bool client_room_try (struct client_room *room, struct client_budget *budget,
                      enum client_room_pool pool, size_t bytes);
/* Gives ROOM back, or withdraws its request.  */
void client_room_release (struct client_room *room);

#endif
