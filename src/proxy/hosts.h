/* hosts - list of the other hosts, and messages to and from them.

   The roster adds and removes hosts, so that a change costs no more in a large
   fleet than in a small one.  Each module registers a handler for the kinds of
   messages that it receives.

   Module name: "hosts".  */

#ifndef SAVORYWAY_PROXY_HOSTS_H
#define SAVORYWAY_PROXY_HOSTS_H

#include "kernel/kernel.h"
#include "port/peer_port.h"

/* Maximum number of registered handlers.  */
#define HOSTS_HANDLERS 12
#define HOSTS_SUBSCRIBERS 4

struct other_host
{
  struct peer_address address;
  char zone[NAME_BYTES];
  uint32_t capacity; /* of its network link, in Mbit/s; 0 if not known */
};

struct hosts_options
{
  const char *host;
  const char *zone; /* failure domain of this host */
};

struct hosts;

struct hosts *hosts_new (const struct hosts_options *options);
struct module *hosts_module (struct hosts *hosts);

const char *hosts_own_name (const struct hosts *hosts);
const char *hosts_own_zone (const struct hosts *hosts);

/* Sets the port that sends and receives messages.  */
void hosts_set_port (struct hosts *hosts, struct peer_port *port);

/* Returns whether a port is set, so that messages can be sent.  */
bool hosts_ready (const struct hosts *hosts);

/* Callbacks for changes of the list.  */
struct hosts_events
{
  void (*added) (void *arg, const struct other_host *host);
  /* HOST is freed afterwards.  */
  void (*removed) (void *arg, const struct other_host *host);
  void *arg;
};

/* Adds a subscriber, of at most HOSTS_SUBSCRIBERS.  To be called when modules
   start, before the first host is added.  */
void hosts_subscribe (struct hosts *hosts, const struct hosts_events *events);

/* Adds a copy of HOST, or replaces the host of the same name by it.  Does
   nothing if they are equal.  */
void hosts_add (struct hosts *hosts, const struct other_host *host);
/* Removes the host NAME, if it is listed.  */
void hosts_remove (struct hosts *hosts, const char *name);

/* Returns the host NAME, or NULL if it is not listed.  */
const struct other_host *hosts_find (const struct hosts *hosts,
                                     const char *name);

/* Returns the other hosts, in no particular order.  The array is valid until
   the list changes, and each host until it is removed.  */
const struct other_host *const *hosts_list (const struct hosts *hosts,
                                            size_t *count);

/* Returns the version of the list, which increases with each change.  */
uint64_t hosts_version (const struct hosts *hosts);

/* Registers HANDLER for messages of KIND; it answers with hosts_reply.  */
void hosts_handle (struct hosts *hosts, peer_kind kind, peer_handler handler,
                   void *arg);

/* Sends a copy of BODY to TO.  Returns an id for hosts_cancel.  Without a port
   returns 0 and never calls DONE.  DONE may be NULL.  */
uint64_t hosts_call (struct hosts *hosts, const struct peer_address *to,
                     const peer_body *body, clk_ms timeout_ms, peer_done done,
                     void *arg);
/* Returns the number of bytes of the reply to a call received so far, as far
   as is known; DONE may ask too.  */
size_t hosts_received (const struct hosts *hosts, uint64_t id);
/* Cancels a call; its DONE is not called.  */
void hosts_cancel (struct hosts *hosts, uint64_t id);

/* Sends BODY as the reply to CALL.  */
void hosts_reply (struct hosts *hosts, uint64_t call, const peer_body *body);

#endif
