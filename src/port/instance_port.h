/* instance_port - interface for connections to instances that accept
   statements.

   Statements are pipelined: they may be sent while earlier ones are
   unanswered, and answers arrive in the order of sending.  The port never
   invokes an event callback from within one of its own operations.  */

#ifndef SAVORYWAY_PORT_INSTANCE_PORT_H
#define SAVORYWAY_PORT_INSTANCE_PORT_H

#include "proxy/statement.h"

struct instance_target
{
  const char *address; /* an IP address */
  uint16_t port;
  const char *group; /* the instance verifies its group */
  const char *id;    /* and its id */
  const char *user;  /* name to connect as; "" or NULL: that of the host */
};

struct instance_link;

/* Event callbacks of one link.  The link no longer exists after closed.  */
struct instance_events
{
  void (*opened) (void *arg, const struct answer *hello);
  /* The first part of an answer has been received.  */
  void (*began) (void *arg);
  void (*answer) (void *arg, const struct answer *answer);
  /* CODE is the reason given by the instance, or CODE_LOST.  */
  void (*closed) (void *arg, enum code code);
};

struct instance_port;

struct instance_port_ops
{
  struct instance_link *(*open) (struct instance_port *port,
                                 const struct instance_target *target,
                                 const struct instance_events *events,
                                 void *arg);
  /* AFTER, if not NULL, is a position that the instance's log must contain
     for STATEMENT to run.  */
  void (*send) (struct instance_port *port, struct instance_link *link,
                const struct statement *statement,
                const struct position *after);
  /* Closes LINK at once, without further events.  */
  void (*close) (struct instance_port *port, struct instance_link *link);
};

struct instance_port
{
  const struct instance_port_ops *ops;
};

#endif
