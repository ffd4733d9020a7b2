/* forward_path - the path of a forwarded statement: from this host to another
   one, and from there to an instance.  */

#ifndef SAVORYWAY_PROXY_FORWARD_PATH_H
#define SAVORYWAY_PROXY_FORWARD_PATH_H

#include "proxy/forwarder.h"
#include "proxy/group.h"

struct forward_path
{
  double time_ms;  /* of its round trips */
  double price_ms; /* of what crosses between failure domains and areas */
};

double forward_path_cost (const struct forward_path *path);

/* Returns the path of the statement of QUERY through HOST to the nearest
   instance that can run it; only to HOST if none is known.  */
struct forward_path forward_path_through (struct distance *distance,
                                          struct groups *groups,
                                          const struct forwarder_query *query,
                                          const struct other_host *host);

#endif
