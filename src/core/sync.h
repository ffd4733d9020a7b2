/* sync - replicates the configuration, the term records and the list of hosts
   from the platform to all hosts.

   SYNC_RELAYS hosts of each failure domain are relays, which watch the
   platform; all other hosts pull from them along a tree.  A starting host
   reads the list of hosts from the platform, or pulls from its seeds while
   the platform is unavailable.  A host that can reach no other host reads
   the platform itself.  State never regresses: a lower revision or index is
   ignored, whichever host sends it.

   Module name: "sync".  */

#ifndef SAVORYWAY_CORE_SYNC_H
#define SAVORYWAY_CORE_SYNC_H

#include "core/view.h"
#include "kernel/kernel.h"
#include "port/peer_port.h"
#include "port/platform_port.h"

struct sync;

/* Copies SEEDS, whose incarnations may be 0 for unknown.  */
struct sync *sync_new (struct platform_port *platform, struct view *view,
                       size_t seed_count, const struct peer_address *seeds);
struct module *sync_module (struct sync *sync);

/* Returns the revision of the configuration in force on this host; 0 if
   none.  */
uint64_t sync_revision (const struct sync *sync);

/* Returns an upper bound on the staleness of the term records: the time since
   the platform read that returned them was sent.  CLK_NEVER if they have not
   been read yet.  */
clk_ms sync_view_age_ms (const struct sync *sync);

/* Returns whether configuration, term records and list of hosts have been
   received at least once.  */
bool sync_ready (const struct sync *sync);

/* Returns whether this host watches the platform on behalf of others.  */
bool sync_is_relay (const struct sync *sync);

/* The number of hosts on which a revision is in force.  */
struct sync_revision_hosts
{
  uint64_t revision;
  uint32_t hosts;
};

/* Counts the hosts by revision with queries along the tree, and calls DONE
   with the result, once, within a few seconds.  REVISIONS are sorted by
   descending revision.  Listed hosts whose revision no host has reported
   count as revision 0.  */
typedef void (*sync_count_done) (void *arg,
                                 const struct sync_revision_hosts *revisions,
                                 size_t count);
void sync_count_revisions (struct sync *sync, sync_count_done done, void *arg);

/* Pushes this host's term record of DATABASE to all relays, which would
   otherwise read it from the platform only later.  */
void sync_publish_term (struct sync *sync, const char *database);

/* Notifies all relays that this host is leaving.  */
void sync_publish_leaving (struct sync *sync);

#endif
