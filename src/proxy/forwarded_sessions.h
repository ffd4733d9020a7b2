/* forwarded_sessions - statements of other hosts' sessions, run on this host's
   connections.

   A statement outside of a transaction stays until it is answered, or its
   sender gives it up.  A transaction stays from its first statement to its
   last, under the number that the sender chose; one whose sender falls silent
   is ended once it has been idle for longer than the sender would leave it so.

   Module name: "forwarded_sessions".  */

#ifndef SAVORYWAY_PROXY_GUESTS_H
#define SAVORYWAY_PROXY_GUESTS_H

#include "kernel/kernel.h"

/* Beyond the idle timeout of transactions, which their own host enforces.  */
#define FORWARDED_IDLE_MARGIN_MS 1000

/* The same where the configuration sets no timeout.  */
#define FORWARDED_IDLE_DEFAULT_MS 60000

struct forwarded_sessions;

struct forwarded_sessions *forwarded_sessions_new (void);
struct module *forwarded_sessions_module (struct forwarded_sessions *sessions);

/* Statements that run and transactions that are open.  */
size_t forwarded_sessions_count (const struct forwarded_sessions *sessions);

/* From now on this host takes no new statement or transaction: it leaves.  */
void forwarded_sessions_stop_accepting (struct forwarded_sessions *sessions);

#endif
