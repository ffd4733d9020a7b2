/* placement - assigns the groups to hosts, which open connections to them.

   If the instances allow enough connections, every host has connections to
   every group.  Otherwise each host has connections to WIDTH groups, chosen by
   rendezvous hashing of the names of host and group; other hosts forward
   statements for a group to one of its hosts.  While the width stays the same,
   adding or removing a host does not change the assignment of the others.

   Module name: "placement".  */

#ifndef SAVORYWAY_PROXY_PLACEMENT_H
#define SAVORYWAY_PROXY_PLACEMENT_H

#include "kernel/kernel.h"
#include "proxy/hosts.h"

/* Connections to an instance that each host must get for every host to serve
   every group.  */
#define PLACEMENT_DIRECT_CONNECTIONS 3

/* Connections to an instance planned for each host of a group if only some
   hosts serve it.  */
#define PLACEMENT_CONNECTIONS 5

/* The hosts that serve a group.  */
struct placed_group
{
  bool served_here;
  size_t count; /* of HOSTS, which excludes this host */
  const struct other_host **hosts;
};

struct placement;

struct placement *placement_new (void);
struct module *placement_module (struct placement *placement);

/* Returns the hosts of GROUP, never NULL.  The result is valid until the list
   of hosts or the configuration changes.  */
const struct placed_group *placement_find (struct placement *placement,
                                           const char *group);

/* Returns how many of GROUPS groups a host has connections to, if an instance
   allows CONNECTIONS and there are HOSTS hosts.  */
size_t placement_width (size_t connections, size_t hosts, size_t groups);

/* Returns how many of the COUNT groups have a higher weight for HOST than
   GROUP.  */
size_t placement_rank (const char *host, const char *group,
                       const char *const *groups, size_t count);

#endif
