/* pg - implementation of db_port for PostgreSQL, on non-blocking libpq
   connections and one event loop.

   Most jobs take one round trip, through libpq's pipeline mode: the check of
   term or position, the statement and the status query are sent together.  A
   DB_WRITE takes two, since the answer of the statement is stored in the
   ledger row before COMMIT.  A write that fails before COMMIT was sent
   therefore had no effect.

   A database group must meet the requirements of share/savoryway.sql and of
   the section "Database groups" of docs/OPERATIONS.md.  */

#ifndef SAVORYWAY_PORT_PG_H
#define SAVORYWAY_PORT_PG_H

#include <event2/event.h>

#include "port/db_port.h"

/* Strings are not copied and must stay valid until pg_port_free.  NULL selects
   libpq's default.  */
struct pg_options
{
  const char *user;
  const char *password;
  const char *dbname;
  const char *sslmode;          /* NULL: "disable" */
  const char *replication_user; /* for a replica's stream; NULL: user */
  clk_ms connect_timeout_ms;    /* 0: 5000 */
  clk_ms role_timeout_ms;       /* limit of DB_SEAL, DB_PROMOTE, DB_FOLLOW
                                   and DB_FENCE, which wait for the change of
                                   role to take effect; 0: 5000 */
};

/* Creates a port on the event loop BASE, which must outlive it.  */
struct db_port *pg_port_new (struct event_base *base,
                             const struct pg_options *options);

/* Closes all connections without events and frees PORT.  */
void pg_port_free (struct db_port *port);

#endif
