/* group_impl - what the files of the groups module share.  */

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
  clk_ms behind_ms; /* when it last refused a position */
  clk_ms gone_ms;   /* when its entry was found gone; CLK_NEVER */
};

struct group
{
  struct groups *groups;
  struct group_settings settings;
  struct samples samples;
  size_t count;
  struct member_instance *instances[GROUP_INSTANCES];
  struct backend *leader;
  /* What is known of the log of the instance that leads.  */
  struct backend *covering; /* whose log covers all from COVERS on */
  struct position covers;
  struct backend *asked; /* for its state */
  struct inquiry *inquiry;
  clk_ms leaderless_ms;
  clk_ms used_ms;
  bool served;    /* callers' statements run on this host's connections */
  bool connected; /* this host has connections */
  struct group_subscriber *waiters;
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
  struct group *table;
  bool counted; /* the other hosts are known */
  bool watch;
  bool cut_off;
  struct ktimer tick;
};

static inline clk_ms
group_now (const struct group *group)
{
  return kernel_now (group->groups->base.kernel);
}

void group_set_leader (struct group *group, struct backend *leader,
                       const char *why);
/* Wakes who waits for a change.  */
void group_wake (struct group *group);

/* group_proof.c: forgets what is known of BACKEND.  */
void group_forget_proof (struct group *group, const struct backend *backend);

/* group_domains.c: finds out whether this host is cut off.  */
void groups_check_domains (struct groups *groups);

#endif
