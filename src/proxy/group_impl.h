/* group_impl - declarations shared by the files of the groups module.  */

#ifndef SAVORYWAY_PROXY_GROUP_IMPL_H
#define SAVORYWAY_PROXY_GROUP_IMPL_H

#include <uthash.h>

#include "proxy/group.h"
#include "proxy/placement.h"
#include "proxy/status_query.h"

struct member_instance
{
  struct group *group;
  struct backend *backend;
  clk_ms behind_ms;  /* time of its last refusal of a position */
  clk_ms removed_ms; /* time of the removal of its entry, or CLK_NEVER */
};

struct group
{
  struct groups *groups;
  struct group_settings settings;
  struct samples samples;
  size_t count;
  struct member_instance *instances[GROUP_INSTANCES];
  bool crowded;                /* entries wait for a place */
  char last_tried[NAME_BYTES]; /* id of the entry that got one last */
  clk_ms next_try_ms;
  struct backend *leader;
  bool proven; /* LEADER has accepted a plain BEGIN since it was found */
  /* Once the log of CAUGHT_UP, the primary, has reached CAUGHT_UP_AT, it
     contains all acknowledged commits.  It has led without interruption up to
     LED_MS.  */
  struct backend *caught_up;
  struct position caught_up_at;
  uint64_t caught_up_term; /* in which it leads */
  clk_ms led_ms;
  struct backend *queried;  /* the instance that QUERY was sent to */
  clk_ms queried_ms;        /* time of the query */
  clk_ms query_accepted_ms; /* it led then or later, before the query */
  struct status_query *query;
  clk_ms leaderless_ms;        /* since when no primary is known */
  clk_ms used_ms;              /* time of the last read */
  struct distance_split split; /* of reads between areas */
  clk_ms target_ms;            /* the shortest of its routes for reads */
  bool served;                 /* statements run on connections of this host */
  bool connected;              /* this host has connections */
  struct group_subscriber *subscribers;
  struct admission for_primary;
  struct admission for_any;
  UT_hash_handle hh;
};

struct groups
{
  struct module base;
  struct groups_options options;
  char zone[NAME_BYTES];
  struct catalog *catalog;
  struct placement *placement;
  struct permits *permits;
  struct distance *distance;
  struct group *table;
  bool hosts_known; /* the number of hosts is known */
  bool monitor;     /* this host monitors all primaries */
  bool cut_off;
  struct ktimer tick;
};

static inline clk_ms
group_now (const struct group *group)
{
  return kernel_now (group->groups->base.kernel);
}

/* Sets the primary, or NULL; WHY goes to the log.  */
void group_set_leader (struct group *group, struct backend *leader,
                       const char *why);
/* Returns whether BACKEND is not known to have been replaced as the
   primary.  */
bool group_may_lead (const struct group *group, const struct backend *backend);
/* Notifies all subscribers of a change.  */
void group_notify (struct group *group);

/* group_confirm.c: discards what is known about the log of BACKEND.  */
void group_forget_log (struct group *group, const struct backend *backend);
/* Probes the primary, unless it was confirmed recently, so that its lead is
   known to be uninterrupted.  */
void group_keep_lead (struct group *group);

/* group_domains.c: updates whether this host is cut off.  */
void groups_check_domains (struct groups *groups);

#endif
