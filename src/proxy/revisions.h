/* revisions - hosts that follow the store tell each other how much of it they
   have seen.

   A watch may be lost by the store, or begin in a moment in which the store
   forgets its history, and then wait without end; other hosts' watches tell.
   For REVISIONS_SEND_PERIOD_MS after something new each host tells a few
   others, drawn anew each time; in calm times none.

   Module name: "revisions".  */

#ifndef SAVORYWAY_PROXY_REVISIONS_H
#define SAVORYWAY_PROXY_REVISIONS_H

#include "kernel/kernel.h"

#define REVISIONS_SEND_INTERVAL_MS 400
#define REVISIONS_SEND_PERIOD_MS 2400
#define REVISIONS_FANOUT 2
#define REVISIONS_CALL_TIMEOUT_MS 1000

struct module *revisions_new (void);

#endif
