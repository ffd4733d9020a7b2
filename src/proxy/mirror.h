/* mirror - follows the platform's store.

   Reads all keys page by page, then watches for changes with one call at a
   time, at the store or at the relay that this host follows.  Where the store
   has forgotten the history, it reads all again; keys that are missing then
   count as removed.  While the store does not answer it keeps trying.
   Subscribers get the keys below their prefix.

   Module name: "mirror".  */

#ifndef SAVORYWAY_PROXY_MIRROR_H
#define SAVORYWAY_PROXY_MIRROR_H

#include "kernel/kernel.h"
#include "port/platform_port.h"

/* Of one watch; keep-alive probes notice a dead connection earlier.  */
#define MIRROR_WAIT_MS 30000
#define MIRROR_TIMEOUT_MS 1200
#define MIRROR_RETRY_FIRST_MS 60
/* Refused calls have their price.  */
#define MIRROR_RETRY_LAST_MS 350

/* After a listing or a change the next watch begins so much later, so that
   changes that come together cost one call; well under the time in which a
   configuration must be in force.  */
#define MIRROR_SETTLE_MS 1500
/* The same for a relay, of which a domain has few: others wait for it.  */
#define MIRROR_RELAY_SETTLE_MS 400

/* Of a question to a relay, beyond the time that it waits.  */
#define MIRROR_FOLLOW_TIMEOUT_MS 300

#define MIRROR_EXPECT_MS 2000

/* For a watch that waits to tell what another host has seen.  */
#define MIRROR_HEARD_MS 400

#define MIRROR_SUBSCRIBERS 8

/* ITEM and REMOVED may both be NULL.  */
struct mirror_events
{
  const char *prefix;
  void (*item) (void *arg, const struct platform_item *item);
  void (*removed) (void *arg, const char *key, uint64_t revision);
  /* Around a full listing.  May be NULL.  */
  void (*begin_list) (void *arg);
  void (*end_list) (void *arg, uint64_t revision);
  /* After what one answer brought; not between the pages of a listing.  May
     be NULL.  */
  void (*taken) (void *arg);
  /* The store answers, or no longer does.  May be NULL.  */
  void (*reach) (void *arg, bool reached);
  void *arg;
};

struct mirror;

struct mirror *mirror_new (struct platform_port *port);
struct module *mirror_module (struct mirror *mirror);

/* EVENTS outlive the mirror's start.  */
void mirror_subscribe (struct mirror *mirror,
                       const struct mirror_events *events);

/* Sets whether changes are wanted without delay.  */
void mirror_set_prompt (struct mirror *mirror, bool prompt);

/* This host wrote what the store has at REVISION: a watch that does not tell
   of it within MIRROR_EXPECT_MS has gone silent, and is begun again.  */
void mirror_expect (struct mirror *mirror, uint64_t revision);

/* What the store had up to here has been taken in.  */
uint64_t mirror_revision (const struct mirror *mirror);

/* Another host has seen the store at REVISION: if this host's watch does not
   tell of it within MIRROR_HEARD_MS it is begun again.  */
void mirror_heard (struct mirror *mirror, uint64_t revision);

/* Whether this host follows a relay just now.  */
bool mirror_follows (const struct mirror *mirror);

/* Begins the watch anew: the store refused other calls meanwhile, and may have
   lost it.  */
void mirror_watch_again (struct mirror *mirror);

/* Reads all keys again.  */
void mirror_list_again (struct mirror *mirror);

/* Whether a full listing has been taken in.  */
bool mirror_complete (const struct mirror *mirror);

/* Whether the last call was answered.  */
bool mirror_store_reachable (const struct mirror *mirror);

#endif
