/* placement - assigns the groups to hosts, which open connections to them.

   If the instances allow enough connections, every host has connections to
   every group.  Otherwise a group has as many hosts as its instances' limit
   gives PLACEMENT_CONNECTIONS each, however many hosts there are; other hosts
   forward statements for the group to one of them.  They are taken by turns
   from the failure domains.  Within a domain all groups take theirs from the
   hosts of the widest links, half as many again as a group needs, and each
   group from these by rendezvous hashing of the names of host and group.  So a
   host forwards to few others, and one that comes or goes changes the
   assignment of at most one other in each group.

   Where the configuration has workspaces, a connection serves only one of
   them.  Each workspace then uses some of the hosts of a group, in proportion
   to its rate limit and at least one, so that few connections serve many
   statements; the other hosts of the group take over by rank.

   The hosts of a domain are kept in order: a host that comes or goes costs a
   search in it, and a choice for each group among those that it may take.

   Module name: "placement".  */

#ifndef SAVORYWAY_PROXY_PLACEMENT_H
#define SAVORYWAY_PROXY_PLACEMENT_H

#include "kernel/kernel.h"
#include "proxy/hosts.h"

/* Connections to an instance that each host must get for every host to serve
   every group.  */
#define PLACEMENT_DIRECT_CONNECTIONS 3

/* Largest number of hosts of a group whose connections are not known, and of
   those that report about the store.  */
#define PLACEMENT_DEFAULT_HOSTS 32

/* Connections to an instance planned for each host of a group if only some
   hosts serve it.  */
#define PLACEMENT_CONNECTIONS 5

/* The same where connections belong to workspaces: more, since a host serves
   several of them, and keeps a connection open for each that is in use.  */
#define PLACEMENT_WORKSPACE_CONNECTIONS 8

/* Part of a group's hosts that a workspace without a rate limit uses, as a
   divisor.  */
#define PLACEMENT_UNLIMITED_DIVISOR 4

/* The hosts that serve a group.  */
struct placed_group
{
  bool served_here;
  size_t count; /* of HOSTS, which excludes this host */
  const struct other_host **hosts;
};

/* The hosts of a group in the order in which a workspace uses them.  The first
   WIDTH of them, this one included, are preferred.  */
struct placed_workspace
{
  size_t width;
  size_t rank_here; /* of this host; SIZE_MAX: it does not serve the group */
  size_t count;     /* of HOSTS, which excludes this host */
  const struct other_host **hosts;
};

struct placement;

struct placement *placement_new (void);
struct module *placement_module (struct placement *placement);

/* Sets the capacity of this host, in Mbit/s as in struct other_host.  */
void placement_set_capacity (struct placement *placement, uint32_t capacity);

/* Returns the hosts of GROUP, never NULL.  The result is valid until the list
   of hosts or the configuration changes.  */
const struct placed_group *placement_find (struct placement *placement,
                                           const char *group);

/* Returns the hosts of GROUP in the order for WORKSPACE, never NULL.  The
   result is valid as long as that of placement_find.  */
const struct placed_workspace *
placement_find_workspace (struct placement *placement, const char *group,
                          const char *workspace);

/* Returns whether the host at INDEX of PLACED is one of those that the
   workspace prefers.  */
bool placed_workspace_prefers (const struct placed_workspace *placed,
                               size_t index);

/* Returns how many of HOSTS hosts have connections to a group whose instances
   allow CONNECTIONS each, and which belong to workspaces if WORKSPACES.  */
size_t placement_width (size_t connections, size_t hosts, bool workspaces);

/* Returns the number of scores computed, compared and picked so far.  */
uint64_t placement_work (const struct placement *placement);

#endif
