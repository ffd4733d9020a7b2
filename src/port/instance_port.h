/* instance_port - connections to instances that speak statements.

   Statements may be sent while earlier ones are unanswered; answers come in
   the order of sending.  The port never calls an event from within one of
   its own operations.  */

#ifndef SAVORYWAY_PORT_INSTANCE_PORT_H
#define SAVORYWAY_PORT_INSTANCE_PORT_H

#include "proxy/statement.h"

struct instance_target
{
  const char *address; /* an IP number */
  uint16_t port;
  const char *group; /* checked by the instance */
  const char *id;    /* likewise */
};

struct instance_link;

/* After closed the link no longer exists.  */
struct instance_events
{
  void (*opened) (void *arg, const struct answer *hello);
  void (*answer) (void *arg, const struct answer *answer);
  /* CODE is what the instance gave as reason, or CODE_LOST.  */
  void (*closed) (void *arg, enum code code);
};

struct instance_port;

struct instance_port_ops
{
  struct instance_link *(*open) (struct instance_port *port,
                                 const struct instance_target *target,
                                 const struct instance_events *events,
                                 void *arg);
  /* AFTER, if not NULL, is the position that the log must hold.  */
  void (*send) (struct instance_port *port, struct instance_link *link,
                const struct statement *statement,
                const struct position *after);
  /* Closes at once; no event follows.  */
  void (*close) (struct instance_port *port, struct instance_link *link);
};

struct instance_port
{
  const struct instance_port_ops *ops;
};

#endif
