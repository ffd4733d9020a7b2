/* forwarded_sessions - sessions that run statements forwarded by other hosts.

   The statements run on this host's connections.  A statement outside of a
   transaction has a session of its own, which ends when the statement is
   answered or the sending host cancels it.  A transaction keeps its session
   from its first statement to its last, under a number chosen by the sending
   host.  If that host stops sending, the session ends after an idle timeout
   that is longer than the one that the sending host applies itself.

   A statement is checked as strictly as one of a caller of this host, since
   the sending host may be of another version.

   Module name: "forwarded_sessions".  */

#ifndef SAVORYWAY_PROXY_FORWARDED_SESSIONS_H
#define SAVORYWAY_PROXY_FORWARDED_SESSIONS_H

#include "kernel/kernel.h"
#include "proxy/statement.h"

/* Added to the configured idle timeout of transactions, which the sending host
   enforces.  */
#define FORWARDED_IDLE_MARGIN_MS 1000

/* Idle timeout where the configuration sets none.  */
#define FORWARDED_IDLE_DEFAULT_MS 60000

struct forwarded_sessions;

/* CHECK decides which statements are accepted; the others are refused.  */
struct forwarded_sessions *forwarded_sessions_new (statement_check check);
struct module *forwarded_sessions_module (struct forwarded_sessions *sessions);

/* Returns the number of running statements and open transactions.  */
size_t forwarded_sessions_count (const struct forwarded_sessions *sessions);

/* Refuses all new statements and transactions from now on, as this host is
   shutting down.  */
void forwarded_sessions_stop_accepting (struct forwarded_sessions *sessions);

#endif
