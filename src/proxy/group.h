/* group - the replica groups: which instance leads, which serves a read.

   An instance is proven to lead at a moment by accepting a plain BEGIN or a
   write; its position then covers all commits acknowledged before.  The
   platform's entry of an instance is a hint only.

   Module name: "groups".  */

#ifndef SAVORYWAY_PROXY_GROUP_H
#define SAVORYWAY_PROXY_GROUP_H

#include "kernel/kernel.h"
#include "proxy/admission.h"
#include "proxy/backend.h"
#include "proxy/catalog.h"
#include "proxy/samples.h"

/* Between looks at the instances; the shorter one while no primary is
   known.  */
#define GROUP_TICK_MS 100
#define GROUP_SEARCH_MS 40

/* The newest sample of a group in use is never older than this.  */
#define GROUP_SAMPLE_MS 600

/* How long a primary may be silent until it is asked, by the host that
   watches over it, and by all while one of them reports it.  */
#define GROUP_WATCH_MS 200

/* How long any instance may be silent until it is asked.  */
#define GROUP_IDLE_MS 3000

/* A group without a read for this long is not sampled.  */
#define GROUP_IN_USE_MS 5000

/* An instance that just refused a position is not asked again for it.  */
#define GROUP_BEHIND_MS 40

/* What a read on the primary costs above one on a replica: writes have only
   the primary.  */
#define GROUP_PRIMARY_COST_MS 12.0
/* Round trip to another failure domain.  */
#define GROUP_DOMAIN_COST_MS 5.0
/* A refusal for a position that is not there yet.  */
#define GROUP_BEHIND_COST_MS 5.0
/* A new connection, or the wait for one.  */
#define GROUP_CONNECT_COST_MS 15.0
/* A share of statements refused for want of a slot.  */
#define GROUP_REFUSAL_COST_MS 60.0

/* While an instance is silent, others are asked that were not heard from for
   this long: a cut shows by all of a failure domain.  */
#define GROUP_DOUBT_MS 250

/* An instance whose entry is gone gets no work after this: the platform
   counts work that reaches it later than its drain time.  */
#define GROUP_GONE_MS 2000

/* Connections of an instance that one host counts on at the most.  */
#define GROUP_SHARE_LIMIT 8
/* The same while the hosts are not counted yet.  */
#define GROUP_SHARE_FIRST 2

#define GROUP_INSTANCES 16
#define GROUP_DOMAINS 32

struct groups;
struct group;

/* Someone who waits for a change of a group: a sample, a primary.  */
struct group_subscriber
{
  /* Calls nothing of this module: it arms a timer.  */
  void (*wake) (struct group_subscriber *waiter);
  struct group *group; /* NULL while not waiting */
  struct group_subscriber *prev;
  struct group_subscriber *next;
};

struct groups_options
{
  struct instance_port *port;
  status_parse parse_status;
  const char *zone; /* failure domain of this host */
};

struct groups *groups_new (const struct groups_options *options);
struct module *groups_module (struct groups *groups);

struct group *groups_find (struct groups *groups, const char *name);
void groups_each (struct groups *groups,
                  void (*fn) (void *arg, struct group *group), void *arg);

/* The hosts that share the connections of the instances are known.  */
void groups_set_hosts_known (struct groups *groups);

/* Whether statements for the group NAME run on this host's connections; true
   for one that is not known.  */
bool groups_serves (struct groups *groups, const char *name);

/* Whether every group that a route names has an instance that answers.  */
bool groups_ready (struct groups *groups);

/* Whether this host is cut off: it reaches no instance in most of the other
   failure domains, of which there are two or more.  Then hosts elsewhere
   serve its callers better.  */
bool groups_cut_off (const struct groups *groups);

/* Sets whether this host watches over the primaries.  */
void groups_set_monitoring (struct groups *groups, bool watch);

/* Whether this host has connections to the group's instances: to serve it,
   or to watch over its primary.  */
bool group_connected (const struct group *group);

const char *group_name (const struct group *group);
const struct group_settings *group_settings (const struct group *group);
const struct samples *group_samples (const struct group *group);

/* The instance believed to lead, or NULL.  */
struct backend *group_leader (struct group *group);
/* Since when no instance was known to lead; CLK_NEVER if one is.  */
clk_ms group_leaderless_since_ms (const struct group *group);

size_t group_instances (struct group *group,
                        struct backend *out[GROUP_INSTANCES]);

/* Who waits for slots: of the primary, or of any instance.  */
struct admission *group_admission (struct group *group, bool primary);

void group_subscribe (struct group *group, struct group_subscriber *waiter);
void group_unsubscribe (struct group_subscriber *waiter);

/* Asks the primary for a new sample.  */
void group_request_sample (struct group *group);

/* Notes that BACKEND led when asked at ASKED_MS, with its position.  */
void group_confirm_leader (struct group *group, struct backend *backend,
                           struct position position, clk_ms asked_ms);
/* Whether a read on BACKEND, which leads, sees all commits that were
   acknowledged before, as its log has reached POSITION.  */
bool group_leader_caught_up (const struct group *group,
                             const struct backend *backend,
                             struct position position);

/* Notes that BACKEND refused as it does not lead.  */
void group_reject_leader (struct group *group, struct backend *backend);
/* Another host reports that it can't reach the primary: asks it soon.  */
void group_doubt_leader (struct group *group);

/* Notes that BACKEND's log lacked a position.  */
void group_mark_behind (struct group *group, struct backend *backend);

/* An instance as a choice for a read.  */
struct read_candidate
{
  struct backend *backend;
  double cost_ms;      /* expected time, with what it costs others */
  const char *why_not; /* it can't serve the read; NULL if it can */
};

/* Lists the instances as choices for a read that must see FLOOR; returns
   their number.  */
size_t group_read_candidates (const struct group *group, struct position floor,
                              struct read_candidate out[GROUP_INSTANCES]);

/* Chooses the instance for a read that must see FLOOR, but none of TRIED;
   NULL if there is none.  */
struct backend *group_pick (struct group *group, struct position floor,
                            const char tried[][NAME_BYTES],
                            size_t tried_count);

#endif
