/* promoter_impl - declarations shared by the files of the promoter.  */

#ifndef SAVORYWAY_PROXY_PROMOTER_IMPL_H
#define SAVORYWAY_PROXY_PROMOTER_IMPL_H

#include <uthash.h>

#include "proxy/group.h"
#include "proxy/late_orders.h"
#include "proxy/permits.h"
#include "proxy/promoter.h"
#include "proxy/roster.h"
#include "proxy/status_query.h"

enum change_stage
{
  CHANGE_NONE,
  CHANGE_RECALLING,     /* until no host uses the old primary any more */
  CHANGE_COMPARING,     /* hand-over: checks whether a replica keeps up */
  CHANGE_STEPPING_DOWN, /* hand-over: the old primary steps down */
  CHANGE_QUERYING,      /* queries the positions of the other instances */
  CHANGE_VERIFYING,     /* verifies that this host still holds the duty, and
                           records the order */
  CHANGE_ORDERED,       /* waits for the platform's answer to the order */
  CHANGE_AWAITED,       /* order not refused; waits for the new primary */
  CHANGE_CHECKING,      /* looks for replicas that are still paused */
  CHANGE_RESUMING       /* lets them receive again */
};

/* State of the change of one group's primary; one for each group.  */
struct change
{
  struct promoter *promoter;
  char group[NAME_BYTES];
  enum change_stage stage;
  const char *why;
  char old[NAME_BYTES];    /* empty if the old primary is not known */
  char chosen[NAME_BYTES]; /* the instance to be promoted */
  bool hand_over;
  struct position reached; /* newest sample before a hand-over */
  struct position final;   /* position at which the old primary stopped */
  clk_ms started_ms;       /* start of the change */
  clk_ms stage_ms;         /* start of the stage */
  clk_ms next_ms;          /* earliest start of the next change */
  /* First attempt since a primary was last reachable, or CLK_NEVER.  */
  clk_ms first_attempt_ms;
  /* For the holder of the duty but not for most failure domains, or
     CLK_NEVER.  */
  clk_ms unreachable_since_ms;
  clk_ms partly_cut_since_ms; /* for two thirds of the hosts, or CLK_NEVER */
  uint64_t token;
  bool ordered;         /* recorded, and the new primary not seen yet */
  uint64_t led_term;    /* of the last new primary; a lower bound */
  uint64_t newest_term; /* that an instance has reported; a lower bound */
  uint64_t pause_term;  /* of the last PAUSE */
  unsigned pauses;      /* sent since the start of the change */
  bool paused;          /* replicas may be paused by this holder */
  bool fenced;          /* the platform has accepted an order of this holder */
  clk_ms resume_ms;     /* earliest time of the next check for paused ones */
  bool confirmed;       /* CHOSEN leads, and not by an earlier order */
  uint64_t floor;       /* lowest possible term of the new primary */
  clk_ms accepted_ms;   /* when the order was accepted, or CLK_NEVER */
  uint64_t number;      /* of the last order */
  uint64_t read_token;  /* of this holder, when it read the record */
  struct late_orders late;
  unsigned verifying; /* calls of the roster in flight */
  bool unanswered;    /* the last order */
  bool repeated;      /* it named an instance that may lead already */
  clk_ms settle_ms;   /* earliest time of the next write of the record */
  clk_ms closed_ms;   /* when the group was found closed, or CLK_NEVER */
  struct status_query *query;
  UT_hash_handle hh;
};

struct promoter
{
  struct module base;
  struct promoter_options options;
  struct groups *groups;
  struct roster *roster;
  struct permits *permits;
  struct change *changes;
  struct ktimer tick;
};

/* promoter_change.c: from the start of a change to the choice of the new
   primary.  */
clk_ms change_now (const struct change *change);
struct group *change_group (const struct change *change);
void change_set_stage (struct change *change, enum change_stage stage);
void change_log (const struct change *change, const char *event,
                 const char *what);
/* Ends the change; the next one begins after WAIT_MS at the earliest.  */
void change_abort (struct change *change, const char *what, clk_ms wait_ms);
/* Begins a change.  OLD, the present primary, may be NULL.  */
void change_start (struct change *change, struct backend *old, bool hand_over,
                   const char *why);
/* Continues once no host uses the old primary any more.  */
void change_continue_recall (struct change *change, struct group *group);
size_t change_count_answers (const struct status_row *rows, size_t count);
struct backend *change_find_instance (struct group *group, const char *id);

/* promoter_order.c: orders to promote, their records, and their effect.  */
/* Returns an order for another instance than ID that may still take effect, or
   NULL.  */
const struct late_order *change_late_other (const struct change *change,
                                            const char *id);
/* Orders the promotion of ID.  */
void change_order (struct change *change, const char *id);
/* Orders LEADER, the primary: that changes nothing, but the platform then
   refuses the orders that may still be carried out.  */
void change_fence_late (struct change *change, struct backend *leader);
/* Takes over what earlier holders of the duty have ordered, when this host has
   acquired it with TOKEN.  */
void change_read_record (struct change *change, uint64_t token);
/* Returns whether the primary is known that the last order has led to.  */
bool change_has_new_primary (struct change *change, struct group *group);
/* Lets the hosts use the primary again, if only one instance can be it now.
   Returns whether they may.  */
bool change_try_to_open (struct change *change, struct group *group);
/* Where the platform fences, writes that LEADER leads, in which term, and that
   no order is outstanding, if the record says otherwise.  A later holder then
   knows which instances have missed that term.  */
void change_settle_record (struct change *change, struct backend *leader);

/* promoter_resume.c */
/* Called while a primary can be used and no order for another one is
   outstanding.  Lets replicas receive again that were paused for a change
   which was given up.  */
void change_consider_resume (struct change *change, struct group *group,
                             struct backend *leader);

#endif
