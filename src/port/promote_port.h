/* promote_port - the platform's order that makes an instance the primary.

   Every call ends with exactly one reply, never from within the call.  */

#ifndef SAVORYWAY_PORT_PROMOTE_PORT_H
#define SAVORYWAY_PORT_PROMOTE_PORT_H

#include <stdint.h>

enum promote_result
{
  PROMOTE_ACCEPTED,
  PROMOTE_REFUSED, /* token outdated, or the instance does not run */
  PROMOTE_NOT_DONE,
  PROMOTE_UNKNOWN /* no answer: may be carried out seconds later */
};

typedef void (*promote_done) (void *arg, enum promote_result result);

struct promote_port;

struct promote_port_ops
{
  /* TOKEN is the fencing token, HOLDER the name of the lease's holder.  */
  void (*promote) (struct promote_port *port, const char *group,
                   const char *instance, const char *holder, uint64_t token,
                   promote_done done, void *arg);
};

struct promote_port
{
  const struct promote_port_ops *ops;
};

#endif
