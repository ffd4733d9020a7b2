/* placement - which hosts have connections to which groups.

   Where the instances' connections suffice, every host has some to every
   group.  Where they don't, each host has them to WIDTH groups, those that
   its name and theirs rank first; the others' statements go through such a
   host.  A host that comes or goes changes nothing for the others, as long as
   the width stays.

   Module name: "placement".  */

#ifndef SAVORYWAY_PROXY_PLACEMENT_H
#define SAVORYWAY_PROXY_PLACEMENT_H

#include "kernel/kernel.h"
#include "proxy/hosts.h"

/* Connections to an instance that are worth having, where every host has
   some.  */
#define PLACEMENT_DIRECT_CONNECTIONS 3

/* Connections to an instance that a host has at least, where only some
   have.  */
#define PLACEMENT_CONNECTIONS 5

/* Hosts with connections to a group.  */
struct placed_group
{
  bool served_here;
  size_t count; /* without this host */
  const struct other_host **hosts;
};

struct placement;

struct placement *placement_new (void);
struct module *placement_module (struct placement *placement);

/* Never NULL.  Valid until the hosts or the configuration change.  */
const struct placed_group *placement_find (struct placement *placement,
                                           const char *group);

/* How many of GROUPS groups a host has connections to, if an instance has
   CONNECTIONS and there are HOSTS hosts.  */
size_t placement_width (size_t connections, size_t hosts, size_t groups);

/* How many of COUNT groups HOST ranks before GROUP.  */
size_t placement_rank (const char *host, const char *group,
                       const char *const *groups, size_t count);

#endif
