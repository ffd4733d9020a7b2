/* sync - keeps configuration, term records and list of hosts up to date.

   A few hosts of each failure domain are relays, which watch the platform;
   all others pull from them along a tree.  A host that starts asks the
   platform for the list of hosts, and its seeds while the platform is down.
   A host that reaches no other goes to the platform itself.  What is known
   never goes back: a lower revision or index is ignored, whoever sends it.

   Module name: "sync".  */

#ifndef SAVORYWAY_CORE_SYNC_H
#define SAVORYWAY_CORE_SYNC_H

#include "core/view.h"
#include "kernel/kernel.h"
#include "port/peer_port.h"
#include "port/platform_port.h"

struct sync;

/* SEEDS are copied; their incarnations may be 0.  */
struct sync *sync_new (struct platform_port *platform, struct view *view,
                       size_t seed_count, const struct peer_address *seeds);
struct module *sync_module (struct sync *sync);

/* Revision of the configuration in force on this host; 0 if none.  */
uint64_t sync_revision (const struct sync *sync);

/* Bound on the age of the term records: they were surely current that long
   ago, counted from when the read of the platform was sent.  CLK_NEVER if
   they have not been read yet.  */
clk_ms sync_view_age_ms (const struct sync *sync);

/* Whether configuration, term records and hosts have been taken in.  */
bool sync_ready (const struct sync *sync);

/* Whether this host is one that watches the platform for others.  */
bool sync_is_relay (const struct sync *sync);

/* How many hosts have a revision in force.  */
struct sync_revision_hosts
{
  uint64_t revision;
  uint32_t hosts;
};

/* Counts the hosts by revision, asking along the tree, and calls DONE with
   the result, once, within a few seconds.  SHARES are sorted by falling
   revision; hosts of the list that nobody heard from count as revision 0.  */
typedef void (*sync_count_done) (void *arg,
                                 const struct sync_revision_hosts *shares,
                                 size_t count);
void sync_count_revisions (struct sync *sync, sync_count_done done, void *arg);

/* Sends the term record of DATABASE, as this host knows it, to all relays
   at once, without waiting for their next look at the platform.  */
void sync_publish_term (struct sync *sync, const char *database);

/* Tells all relays that this host is leaving.  */
void sync_publish_leaving (struct sync *sync);

#endif
