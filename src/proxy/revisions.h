/* revisions - exchanges the latest known store revision between the hosts that
   follow the store.

   The store may lose a watch.  A watch may also begin just when the store
   compacts its history, and then wait without end.  A host detects both by the
   revisions of other hosts.  For REVISIONS_SEND_PERIOD_MS after a change each
   host sends its revision every REVISIONS_SEND_INTERVAL_MS to REVISIONS_FANOUT
   hosts chosen at random; without changes nothing is sent.  Of the messages to
   hosts of another area one in REVISIONS_FAR_DIVISOR is sent.

   Module name: "revisions".  */

#ifndef SAVORYWAY_PROXY_REVISIONS_H
#define SAVORYWAY_PROXY_REVISIONS_H

#include "kernel/kernel.h"

#define REVISIONS_SEND_INTERVAL_MS 400
#define REVISIONS_SEND_PERIOD_MS 2400
#define REVISIONS_FANOUT 2
/* With two areas of 6 hosts that follow the store, some 12 messages after a
   change still cross, of 72.  */
#define REVISIONS_FAR_DIVISOR 6
#define REVISIONS_CALL_TIMEOUT_MS 1000

struct module *revisions_new (void);

#endif
