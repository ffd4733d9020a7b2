/* group - replica groups: finds the primary and chooses instances for reads.

   A group consists of one primary and its replicas.  An instance is confirmed
   as the primary at the time at which it accepts a write or a plain BEGIN,
   that is, one that is not read-only; its log position then includes all
   commits acknowledged before.  Where the platform fences no old primaries,
   that holds only while this host has the permission to use it (see
   permits.h).  The role in the platform's entry of an
   instance is only a hint.

   This module probes the instances, collects log positions of the primary
   (see samples.h), which bound the staleness of reads, and estimates the cost
   of a read on each instance.  It also detects whether this host is cut off
   from the other failure domains.

   Module name: "groups".  */

#ifndef SAVORYWAY_PROXY_GROUP_H
#define SAVORYWAY_PROXY_GROUP_H

#include "kernel/kernel.h"
#include "proxy/admission.h"
#include "proxy/backend.h"
#include "proxy/catalog.h"
#include "proxy/distance.h"
#include "proxy/permits.h"
#include "proxy/samples.h"

/* Interval of the checks of all instances; the shorter one applies while a
   group has no known primary.  */
#define GROUP_TICK_MS 100
#define GROUP_SEARCH_TICK_MS 40

/* Time since the last confirmation at which the primary of a group in use is
   probed.  Less often, each sample and each read on the primary would need a
   STATUS, which takes a slot of the instance.  */
#define GROUP_LEAD_PROBE_MS 60

/* Time without an answer after which all hosts probe the primary while one
   reports it as unreachable.  */
#define GROUP_MONITOR_MS 200

/* Time without an answer after which any instance is probed.  */
#define GROUP_IDLE_PROBE_MS 3000

/* A group that has not been used for this long is not sampled.  */
#define GROUP_IN_USE_MS 5000

/* An instance that refused a position gets no read that requires it for this
   long.  */
#define GROUP_BEHIND_MS 40

/* Terms of the estimated cost of a read, in milliseconds.  */
/* Surcharge for the primary, which alone can execute writes.  */
#define GROUP_PRIMARY_COST_MS 12.0
/* Refusal by an instance whose log does not contain the position yet.  */
#define GROUP_BEHIND_COST_MS 5.0
/* Opening a connection, or waiting for a free one.  */
#define GROUP_CONNECT_COST_MS 15.0
/* Multiplied by the share of statements refused for lack of a free slot.  */
#define GROUP_REFUSAL_COST_MS 60.0

/* While an instance is unreachable, instances that have not answered for this
   long are probed, since a network partition affects whole failure
   domains.  */
#define GROUP_DOMAIN_PROBE_MS 250

/* A primary whose entry was removed gets no work after this: the platform
   counts work that an instance receives after its drain time.  */
#define GROUP_REMOVED_PRIMARY_MS 2000

/* New work for an instance that leaves ends this long before its drain time
   does: the work is on its way for some time, and the announcement may have
   been read late.  */
#define GROUP_DRAIN_MARGIN_MS 1000

/* Statements wait for a primary while the permission to use it lacks for less
   than this, as when the holder of the promotion duty is replaced.  */
#define GROUP_LAPSE_MS 500

/* Largest number of connections to one instance that a host may open.  */
#define GROUP_SHARE_LIMIT 8

/* Places of a group.  If it has more entries, those that have not answered
   give their places to the others, by turns.  */
#define GROUP_INSTANCES 16
#define GROUP_TRIAL_MS 1000
#define GROUP_DOMAINS 32

struct groups;
struct group;

/* Subscriber to the next change of a group, such as a new sample or a new
   primary.  Embedded by its users.  */
struct group_subscriber
{
  /* Called once per subscription.  Must not call this module: it sets a timer
     instead.  */
  void (*wake) (struct group_subscriber *subscriber);
  struct group *group; /* NULL while not subscribed */
  struct group_subscriber *prev;
  struct group_subscriber *next;
};

struct groups_options
{
  struct instance_port *port;
  status_parse parse_status;
  const char *zone; /* failure domain of this host */
  clk_ms drain_ms;  /* for which an instance takes new work after it has
                       announced that it leaves */
};

struct groups *groups_new (const struct groups_options *options);
struct module *groups_module (struct groups *groups);

/* Returns the group NAME, or NULL if it is not known.  */
struct group *groups_find (struct groups *groups, const char *name);
void groups_each (struct groups *groups,
                  void (*fn) (void *arg, struct group *group), void *arg);

/* Called when the list of the hosts that share the connections of the
   instances was read or has changed.  No connection is opened before: after a
   start of all hosts at once they would exceed the limits of the
   instances.  */
void groups_hosts_changed (struct groups *groups);

/* Returns whether statements for the group NAME run on connections of this
   host; true for an unknown group.  */
bool groups_serves (struct groups *groups, const char *name);

/* Returns whether every group that a route names has an open connection to an
   instance or is served by other hosts; false without a configuration.  */
bool groups_ready (struct groups *groups);

/* Returns whether this host is cut off: there are two or more other failure
   domains, and in most of them it reaches no instance.  Hosts in other
   domains then serve its callers better.  */
bool groups_cut_off (const struct groups *groups);

/* Sets whether this host monitors the primaries of all groups.  */
void groups_set_monitoring (struct groups *groups, bool monitor);

/* Returns whether this host has connections to the group's instances, either
   to serve the group or to monitor its primary.  */
bool group_connected (const struct group *group);

const char *group_name (const struct group *group);
const struct group_settings *group_settings (const struct group *group);
const struct samples *group_samples (const struct group *group);

/* Returns the instance believed to be the primary, or NULL.  */
struct backend *group_leader (struct group *group);
/* Returns the time since which no primary is known; CLK_NEVER if one is.  */
clk_ms group_leaderless_since_ms (const struct group *group);

/* Marks the group as in use, so that its primary is sampled.  */
void group_note_use (struct group *group);

/* Lists the instances; returns their number.  */
size_t group_instances (struct group *group,
                        struct backend *out[GROUP_INSTANCES]);

/* Returns the admission queue for slots of the primary, or for slots of any
   instance.  */
struct admission *group_admission (struct group *group, bool primary);

/* Returns whether new work may be sent to BACKEND: a statement outside a
   transaction, or the first of one.  An instance that has announced that it
   leaves takes none after its drain time.  */
bool group_takes_work (const struct group *group,
                       const struct backend *backend);

/* Notifies the subscribers of all groups.  */
void groups_notify_all (struct groups *groups);
/* Takes over what the permits module knows of the primaries.  */
void groups_permits_changed (struct groups *groups);

/* Returns whether the instance returned by group_leader has accepted a plain
   BEGIN since it was found.  */
bool group_leader_proven (const struct group *group);

/* Returns what lacks now to use BACKEND as the primary of GROUP.  */
enum permits_lack group_lack (const struct group *group,
                              const struct backend *backend);
/* Returns whether a commit of BACKEND that was answered now ran while no later
   primary was in use.  */
bool group_commit_covered (const struct group *group,
                           const struct backend *backend);
/* Returns whether this host's permission to use primaries ended more than
   GROUP_LAPSE_MS ago.  */
bool groups_lapsed (const struct groups *groups);

/* Subscribes SUBSCRIBER to the next change; does nothing if it is subscribed.
 */
void group_subscribe (struct group *group,
                      struct group_subscriber *subscriber);
void group_unsubscribe (struct group_subscriber *subscriber);

/* Probes the primary to get a new sample, and marks the group as in use.  */
void group_request_sample (struct group *group);

/* Records that BACKEND was the primary when it answered, with POSITION, a
   statement sent at SENT_MS.  Returns whether a read on it sees all commits
   that were acknowledged before SENT_MS; otherwise that is not known.  */
bool group_confirm_leader (struct group *group, struct backend *backend,
                           struct position position, clk_ms sent_ms);
/* Queries whether BACKEND, which led at ACCEPTED_MS or later, has applied its
   log.  Subscribers are notified of the answer.  */
void group_query_log (struct group *group, struct backend *backend,
                      clk_ms accepted_ms);
/* Records STATUS, which BACKEND answered, with POSITION, within a transaction
   that it had accepted as the primary.  STATUS was sent at SENT_MS, and the
   BEGIN at BEGUN_MS.  Returns whether a read in that transaction sees all
   commits that were acknowledged before BEGUN_MS.  */
bool group_confirm_log (struct group *group, struct backend *backend,
                        const struct instance_status *status,
                        struct position position, clk_ms sent_ms,
                        clk_ms begun_ms);
/* Returns whether BACKEND has been confirmed as the primary so recently that
   the answer to a BEGIN, without STATUS, will most likely tell whether it has
   applied its log.  */
bool group_lead_is_recent (const struct group *group,
                           const struct backend *backend);
/* Parses the answer to STMT_STATUS.  */
bool group_parse_status (const struct group *group,
                         struct instance_status *status,
                         const struct answer *answer);

/* Records that BACKEND refused a statement because it is not the primary.  */
void group_reject_leader (struct group *group, struct backend *backend);
/* Probes the primary, unless it answered recently.  Called when another host
   reports that it can't reach it.  */
void group_check_leader (struct group *group);

/* Records that BACKEND's log did not contain a required position.  */
void group_mark_behind (struct group *group, struct backend *backend);

/* An instance considered for a read.  */
struct read_candidate
{
  struct backend *backend;
  double cost_ms;  /* expected time, with the cost to other statements */
  double price_ms; /* part of it: of the bytes that go to another area */
  enum distance_level level;
  const char *why_not; /* why it can't serve the read; NULL if it can */
};

/* Lists the instances with their costs for a read for WORKSPACE, NULL for any,
   that must see the position FLOOR; returns their number.  */
size_t group_read_candidates (const struct group *group, struct position floor,
                              const char *workspace,
                              struct read_candidate out[GROUP_INSTANCES]);

/* Returns how the reads of GROUP are divided between the areas.  */
const struct distance_split *group_read_split (const struct group *group);

/* Returns the instance for a read for WORKSPACE that must see the position
   FLOOR, except those in TRIED; NULL if none can serve it.  */
struct backend *group_pick (struct group *group, struct position floor,
                            const char *workspace,
                            const char tried[][NAME_BYTES],
                            size_t tried_count);

#endif
