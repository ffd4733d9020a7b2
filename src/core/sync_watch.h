/* sync_watch - watches configuration, terms and hosts in the platform.

   Runs three loops of blocking reads: the head of the configuration, the term
   records and the list of hosts.  A relay uses short waits, so that the age of
   its view stays low; a host that can reach no relay waits longer.  After a
   failed call a loop backs off exponentially with jitter.  */

#ifndef SAVORYWAY_CORE_SYNC_WATCH_H
#define SAVORYWAY_CORE_SYNC_WATCH_H

#include "core/sync_state.h"
#include "port/platform_port.h"

enum sync_mode
{
  SYNC_OFF,      /* no calls to the platform */
  SYNC_DISCOVER, /* only the list of hosts, to find hosts to pull from */
  SYNC_DIRECT,   /* all loops, for this host alone */
  SYNC_RELAY     /* all loops, for this host and those that pull from it */
};

struct sync_watch;

/* Returns a watch in mode SYNC_OFF.  It applies reads to STATE, and calls
   CHANGED (ARG) after each successful one.  */
struct sync_watch *sync_watch_new (struct platform_port *port,
                                   struct sync_state *state,
                                   void (*changed) (void *), void *arg);
void sync_watch_free (struct sync_watch *watch);

/* Starts and stops loops as MODE requires.  */
void sync_watch_set_mode (struct sync_watch *watch, enum sync_mode mode);
enum sync_mode sync_watch_mode (const struct sync_watch *watch);

/* Returns for how long reads of the term records have failed; 0 if the last
   one succeeded.  */
clk_ms sync_watch_failing_ms (const struct sync_watch *watch);

#endif
