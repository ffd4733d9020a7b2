/* promote_port - interface to the platform's operation that promotes an
   instance to primary.

   Each call gets exactly one result, which is never delivered from within the
   call.  */

#ifndef SAVORYWAY_PORT_PROMOTE_PORT_H
#define SAVORYWAY_PORT_PROMOTE_PORT_H

#include <stdint.h>

enum promote_result
{
  PROMOTE_ACCEPTED,
  PROMOTE_REFUSED,  /* fencing token outdated, or instance not running */
  PROMOTE_NOT_DONE, /* no effect */
  PROMOTE_UNKNOWN   /* no response; may still be executed seconds later */
};

typedef void (*promote_done) (void *arg, enum promote_result result);

struct promote_port;

struct promote_port_ops
{
  /* Promotes INSTANCE of GROUP.  TOKEN is the fencing token, HOLDER the name
     of the lease's holder.  */
  void (*promote) (struct promote_port *port, const char *group,
                   const char *instance, const char *holder, uint64_t token,
                   promote_done done, void *arg);
};

struct promote_port
{
  const struct promote_port_ops *ops;
};

#endif
