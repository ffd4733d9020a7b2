/* pg - the db_port for PostgreSQL: libpq, non-blocking, on one event base.

   Each job takes one round trip where it can, by libpq's pipeline mode: the
   check of term or position, the statement and the status of the instance
   go out together.  A DB_WRITE takes two, since the answer of the statement
   is stored in the ledger row before COMMIT; so a write that fails before
   COMMIT was sent has certainly left no effect.

   The database group must provide what share/savoryway.sql and the section
   "Database groups" of docs/OPERATIONS.md say.  */

#ifndef SAVORYWAY_PORT_PG_H
#define SAVORYWAY_PORT_PG_H

#include <event2/event.h>

#include "port/db_port.h"

/* Strings are kept by reference until pg_port_free; NULL leaves libpq's
   default.  */
struct pg_options
{
  const char *user;
  const char *password;
  const char *dbname;
  const char *sslmode;          /* NULL: "disable" */
  const char *replication_user; /* of a replica's stream; NULL: user */
  clk_ms connect_timeout_ms;    /* 0: 5000 */
  clk_ms role_timeout_ms;       /* of DB_SEAL, DB_PROMOTE, DB_FOLLOW and
                                   DB_FENCE, that wait; 0: 5000 */
};

struct db_port *pg_port_new (struct event_base *base,
                             const struct pg_options *options);

/* Closes all connections without events.  */
void pg_port_free (struct db_port *port);

#endif
