#include "proxy/permits.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"
#include "kernel/text.h"
#include "proxy/group.h"
#include "proxy/hosts.h"
#include "proxy/roster.h"

/* A row of the table.  */
struct permit_group
{
  char name[NAME_BYTES];
  char instance[NAME_BYTES]; /* the only primary; empty: any */
  uint64_t number;           /* of the change to it */
  bool closed;
  uint64_t version; /* of the table that closed it; for the holder */
  uint64_t waited;  /* the version whose wait was logged */
  UT_hash_handle hh;
};

/* What the holder knows about another host.  */
struct grantee
{
  struct permits *permits;
  struct peer_address address;
  bool listed;      /* registered */
  uint64_t process; /* of its last reply; 0: none */
  clk_ms stamp;     /* likewise, by its clock */
  uint64_t obeys;   /* version of the table; 0: none of this holder */
  uint64_t told;    /* the version sent last */
  clk_ms replied_ms;
  clk_ms vouched_ms; /* when the message was sent that it answered last */
  clk_ms sent_ms;
  clk_ms until_ms; /* its permission ends before that */
  uint64_t call;
  UT_hash_handle hh;
};

struct permits
{
  struct module base;
  bool fenced;
  struct hosts *hosts;
  struct roster *roster;
  struct groups *groups;
  struct permit_group *table;
  uint64_t process; /* distinguishes this process from earlier ones */
  uint64_t token;   /* the highest that is known */
  uint64_t obeys;   /* version of the table of TOKEN; 0: none */
  clk_ms end_ms;
  clk_ms extended_ms; /* when it was renewed last */
  bool lapsed;        /* the end was logged */
  /* Of the holder.  */
  uint64_t held; /* its token; 0: another host holds the duty */
  uint64_t version;
  clk_ms taken_ms;
  bool has_majority;    /* most hosts have answered */
  uint64_t noted;       /* the highest token read from the store */
  uint64_t previous;    /* the token noted before; 0: none */
  uint64_t held_before; /* the token that this host held last */
  clk_ms inherited_ms;  /* all permissions that this host has not renewed
                           itself, in its present or last tenure, have ended
                           then */
  uint64_t hosts_version;
  struct grantee *grantees;
  struct ktimer tick;
};

static clk_ms
now_ms (const struct permits *permits)
{
  return kernel_now (permits->base.kernel);
}

static struct permit_group *
find_group (const struct permits *permits, const char *name)
{
  struct permit_group *group;
  HASH_FIND_STR (permits->table, name, group);
  return group;
}

static struct permit_group *
ensure_group (struct permits *permits, const char *name)
{
  struct permit_group *group = find_group (permits, name);
  if (group != NULL)
    return group;
  group = mem_zalloc (sizeof *group);
  if (!text_copy (group->name, sizeof group->name, name))
    {
      free (group);
      return NULL;
    }
  HASH_ADD_STR (permits->table, name, group);
  return group;
}

bool
permits_fenced (const struct permits *permits)
{
  return permits->fenced;
}

const char *
permits_primary (const struct permits *permits, const char *group)
{
  const struct permit_group *found = find_group (permits, group);
  return found != NULL && found->instance[0] != '\0' ? found->instance : NULL;
}

uint64_t
permits_number (const struct permits *permits, const char *group)
{
  const struct permit_group *found = find_group (permits, group);
  return found != NULL ? found->number : 0;
}

/* Returns whether another instance than INSTANCE is or becomes the primary. */
static bool
is_replaced (const struct permit_group *group, const char *instance)
{
  return group->instance[0] != '\0' && strcmp (group->instance, instance) != 0;
}

bool
permits_closed (const struct permits *permits, const char *group)
{
  const struct permit_group *found = find_group (permits, group);
  return found != NULL && found->closed;
}

clk_ms
permits_end_ms (const struct permits *permits)
{
  return permits->end_ms;
}

enum permits_lack
permits_lack (const struct permits *permits, const char *group,
              const char *instance)
{
  const struct permit_group *found;
  if (permits->fenced || MUTANT (ignore_permissions))
    return PERMITS_NOTHING;
  found = find_group (permits, group);
  if (found != NULL && found->closed)
    return PERMITS_CLOSED;
  if (found != NULL && is_replaced (found, instance))
    return PERMITS_REPLACED;
  if (permits->end_ms == CLK_LONG_AGO)
    return PERMITS_NONE;
  if (now_ms (permits) >= permits->end_ms - PERMITS_MARGIN_MS
      && !MUTANT (endless_permission))
    return PERMITS_ENDED;
  return PERMITS_NOTHING;
}

const char *
permits_lack_name (enum permits_lack lack)
{
  static const char *const names[]
      = { [PERMITS_NOTHING] = "nothing",
          [PERMITS_NONE] = "no permission yet",
          [PERMITS_ENDED] = "the permission has ended",
          [PERMITS_CLOSED] = "the primary is being replaced",
          [PERMITS_REPLACED] = "the primary was replaced" };
  return names[lack];
}

bool
permits_covered (const struct permits *permits, const char *group,
                 const char *instance, clk_ms at_ms)
{
  const struct permit_group *found;
  if (permits->fenced || MUTANT (ignore_permissions))
    return true;
  found = find_group (permits, group);
  if (found != NULL && (found->closed || is_replaced (found, instance)))
    return false;
  return at_ms < permits->end_ms || MUTANT (endless_permission);
}

/* Extends the permission of this host.  */
static void
extend (struct permits *permits, clk_ms end_ms)
{
  permits->extended_ms = now_ms (permits);
  if (end_ms <= permits->end_ms)
    return;
  if (permits->lapsed || permits->end_ms == CLK_LONG_AGO)
    {
      log_event (kernel_log (permits->base.kernel), LOG_NOTICE,
                 "permission_gained", LOG_U ("token", permits->token),
                 LOG_I ("lacked_ms", permits->lapsed
                                         ? now_ms (permits) - permits->end_ms
                                         : -1));
      permits->end_ms = end_ms;
      permits->lapsed = false;
      groups_notify_all (permits->groups);
    }
  permits->end_ms = end_ms;
}

/* Notes a higher token: the table that it comes with replaces the present
   one.  */
static void
note_token (struct permits *permits, uint64_t token)
{
  if (token <= permits->token)
    return;
  permits->token = token;
  permits->obeys = 0;
}

static void
apply_table (struct permits *permits, const peer_permit *permit)
{
  struct permit_group *group;
  for (group = permits->table; group != NULL; group = group->hh.next)
    group->closed = false;
  for (u_int i = 0; i < permit->groups.groups_len; i++)
    {
      const peer_permit_group *row = &permit->groups.groups_val[i];
      group = ensure_group (permits, row->group);
      if (group == NULL)
        continue;
      group->closed = row->closed;
      group->number = row->number;
      if (!text_copy (group->instance, NAME_BYTES, row->instance))
        group->closed = true;
    }
  permits->obeys = permit->table_version;
  groups_permits_changed (permits->groups);
}

static void
obey (struct permits *permits, const peer_permit *permit)
{
  note_token (permits, permit->token);
  if (permit->has_groups && permit->table_version > permits->obeys)
    apply_table (permits, permit);
  if (permit->process == permits->process && permit->table_version != 0
      && permit->table_version == permits->obeys
      && permit->stamp <= now_ms (permits))
    extend (permits, permit->stamp + PERMITS_SPAN_MS);
}

/* Returns the time until all permissions that this host has not renewed itself
   have ended.  */
static clk_ms
left_ms (const struct permits *permits)
{
  clk_ms span_ms = permits->inherited_ms - now_ms (permits);
  return span_ms > 0 ? span_ms : 0;
}

static void
on_permit (void *arg, uint64_t call, const peer_message *message)
{
  struct permits *permits = arg;
  const peer_permit *permit = &message->body.peer_body_u.permit;
  peer_body body = { .kind = PEER_KIND_PERMITTED };
  if (!permits->fenced && permit->token != permits->held
      && permit->token >= permits->token)
    obey (permits, permit);
  body.peer_body_u.permitted
      = (peer_permitted){ .token = permits->token,
                          .process = permits->process,
                          .stamp = now_ms (permits),
                          .table_version = permits->obeys,
                          .held_token = permits->held_before,
                          .inherited_ms = left_ms (permits) };
  hosts_reply (permits->hosts, call, &body);
}

/* The holder of the duty.  */

static clk_ms
renew_ms (const struct permits *permits)
{
  clk_ms span_ms
      = PERMITS_RENEW_MS
        + PERMITS_RENEW_PER_HOST_MS * (clk_ms)HASH_COUNT (permits->grantees);
  return span_ms < PERMITS_RENEW_LIMIT_MS ? span_ms : PERMITS_RENEW_LIMIT_MS;
}

/* Counts the registered hosts, and sets ANSWERED to the number of those that
   have answered a message that was sent at SINCE_MS or later.  */
static size_t
count_answers (const struct permits *permits, clk_ms since_ms,
               size_t *answered)
{
  const struct grantee *grantee;
  size_t listed = 0;
  *answered = 0;
  for (grantee = permits->grantees; grantee != NULL;
       grantee = grantee->hh.next)
    {
      listed += grantee->listed;
      *answered += grantee->listed && grantee->vouched_ms >= since_ms;
    }
  return listed;
}

/* Returns whether two thirds of the registered hosts have answered a message
   that was sent at SINCE_MS or later.  */
static bool
most_answer (const struct permits *permits, clk_ms since_ms)
{
  size_t answered, listed = count_answers (permits, since_ms, &answered);
  return 3 * answered >= 2 * listed;
}

/* Returns whether this host may renew permissions: no other host can hold the
   duty, or one that does can't have replaced a primary yet.  */
static bool
may_renew (const struct permits *permits)
{
  uint64_t token;
  if (permits->held == 0 || !roster_holds_duty (permits->roster, &token)
      || token != permits->held || permits->token > permits->held)
    return false;
  return roster_duty_leased (permits->roster)
         || most_answer (permits, now_ms (permits) - PERMITS_VOUCH_MS);
}

/* Learns from the answer of the holder before when all earlier permissions
   have ended.  It renews none from now on.  */
static void
learn_inherited (struct permits *permits, const peer_permitted *permitted)
{
  clk_ms end_ms = PERMITS_SPAN_MS;
  if (permitted->held_token == 0 || permitted->held_token != permits->previous)
    return;
  if (permitted->inherited_ms > end_ms)
    end_ms = permitted->inherited_ms;
  end_ms += now_ms (permits) + PERMITS_MARGIN_MS;
  if (end_ms < permits->inherited_ms)
    permits->inherited_ms = end_ms;
}

static void send_permit (struct grantee *grantee);

static void
on_permitted (void *arg, enum peer_status status, const peer_message *reply)
{
  struct grantee *grantee = arg;
  struct permits *permits = grantee->permits;
  grantee->call = 0;
  if (status != PEER_OK || reply->body.kind != PEER_KIND_PERMITTED)
    return;
  const peer_permitted *permitted = &reply->body.peer_body_u.permitted;
  if (permitted->token > permits->held)
    {
      note_token (permits, permitted->token);
      roster_resign_duty (permits->roster, "a host knows a newer holder");
      return;
    }
  bool first = permitted->process != grantee->process;
  grantee->process = permitted->process;
  grantee->stamp = permitted->stamp;
  grantee->replied_ms = now_ms (permits);
  grantee->vouched_ms = grantee->sent_ms;
  grantee->obeys = permitted->table_version;
  learn_inherited (permits, permitted);
  if (first || grantee->told != permits->version)
    send_permit (grantee);
}

static void
fill_table (const struct permits *permits, peer_permit *permit,
            peer_permit_group *rows)
{
  struct permit_group *group;
  permit->has_groups = true;
  permit->groups.groups_val = rows;
  for (group = permits->table; group != NULL; group = group->hh.next)
    rows[permit->groups.groups_len++] = (peer_permit_group){
      .group = group->name,
      .instance = group->instance,
      .number = group->number,
      .closed = group->closed,
    };
}

/* Sends the table to a host, and renews its permission.  Without a valid lease
   it is only asked to answer, until it is known that the store is down.  */
static void
send_permit (struct grantee *grantee)
{
  struct permits *permits = grantee->permits;
  peer_body body = { .kind = PEER_KIND_PERMIT };
  peer_permit *permit = &body.peer_body_u.permit;
  if (permits->held == 0 || !hosts_ready (permits->hosts))
    return;
  peer_permit_group *rows
      = mem_zalloc ((HASH_COUNT (permits->table) + 1) * sizeof *rows);
  *permit = (peer_permit){ .token = permits->held,
                           .table_version = permits->version };
  if (grantee->obeys != permits->version)
    fill_table (permits, permit, rows);
  grantee->told = permits->version;
  if (grantee->process != 0 && may_renew (permits))
    {
      permit->process = grantee->process;
      permit->stamp = grantee->stamp;
      /* Its permission counts from its last reply, which it sent before that
         was received here.  */
      clk_ms until_ms
          = grantee->replied_ms + PERMITS_SPAN_MS + PERMITS_MARGIN_MS;
      if (until_ms > grantee->until_ms)
        grantee->until_ms = until_ms;
    }
  hosts_cancel (permits->hosts, grantee->call);
  grantee->sent_ms = now_ms (permits);
  grantee->call = hosts_call (permits->hosts, &grantee->address, &body,
                              PERMITS_CALL_TIMEOUT_MS, on_permitted, grantee);
  free (rows);
}

static void
send_all (struct permits *permits)
{
  struct grantee *grantee;
  for (grantee = permits->grantees; grantee != NULL;
       grantee = grantee->hh.next)
    send_permit (grantee);
}

static struct grantee *
ensure_grantee (struct permits *permits, const struct other_host *host)
{
  struct grantee *grantee;
  HASH_FIND_STR (permits->grantees, host->address.name, grantee);
  if (grantee == NULL)
    {
      grantee = mem_zalloc (sizeof *grantee);
      grantee->permits = permits;
      grantee->replied_ms = grantee->vouched_ms = CLK_LONG_AGO;
      grantee->sent_ms = grantee->until_ms = CLK_LONG_AGO;
      memcpy (grantee->address.name, host->address.name, NAME_BYTES);
      HASH_ADD_STR (permits->grantees, address.name, grantee);
    }
  grantee->address = host->address;
  return grantee;
}

static void
free_grantee (struct permits *permits, struct grantee *grantee)
{
  hosts_cancel (permits->hosts, grantee->call);
  HASH_DEL (permits->grantees, grantee);
  free (grantee);
}

/* Takes over the list of hosts.  Those that are no longer registered stay
   while they answer, and until their permission has ended.  */
static void
update_grantees (struct permits *permits)
{
  size_t count;
  const struct other_host *const *others = hosts_list (permits->hosts, &count);
  struct grantee *grantee, *next;
  if (permits->hosts_version != hosts_version (permits->hosts))
    {
      permits->hosts_version = hosts_version (permits->hosts);
      for (grantee = permits->grantees; grantee != NULL;
           grantee = grantee->hh.next)
        grantee->listed = false;
      for (size_t i = 0; i < count; i++)
        ensure_grantee (permits, others[i])->listed = true;
    }
  HASH_ITER (hh, permits->grantees, grantee, next)
  {
    if (!grantee->listed && grantee->until_ms < now_ms (permits)
        && now_ms (permits) - grantee->replied_ms >= PERMITS_FORGET_MS)
      free_grantee (permits, grantee);
  }
}

/* Closes the group of a change of primary that an earlier holder has recorded.
   It is complete if the holder has opened the group since.  */
static void
inherit_record (void *arg, const struct roster_record *record)
{
  struct permits *permits = arg;
  struct permit_group *group = ensure_group (permits, record->group);
  if (group == NULL || (group->number >= record->number && !group->closed))
    return;
  group->closed = record->floor != 0;
  group->number = record->number;
  memcpy (group->instance, record->candidate, NAME_BYTES);
}

/* Sets when all permissions that earlier holders have renewed have ended.  */
static void
inherit (struct permits *permits)
{
  clk_ms own_ms = now_ms (permits) + PERMITS_SPAN_MS + PERMITS_MARGIN_MS;
  if (permits->held_before == 0 || permits->held_before != permits->previous)
    permits->inherited_ms
        = now_ms (permits) + ROSTER_OUTAGE_GRACE_MS + PERMITS_SPAN_MS;
  else if (own_ms > permits->inherited_ms)
    permits->inherited_ms = own_ms;
}

/* Returns whether this host holds the duty.  Prepares for it if that is
   new.  */
static bool
check_duty (struct permits *permits)
{
  uint64_t token;
  struct permit_group *group;
  struct grantee *grantee;
  if (!roster_duty_kept (permits->roster, &token) || token < permits->token)
    {
      permits->held = 0;
      return false;
    }
  if (permits->held == token)
    return true;
  /* The same duty again, after a while without a valid lease: no other host
     has held it meanwhile.  */
  if (permits->held_before == token)
    {
      permits->held = token;
      return true;
    }
  note_token (permits, token);
  permits->held = token;
  permits->version = 1;
  permits->taken_ms = now_ms (permits);
  permits->has_majority = false;
  inherit (permits);
  permits->held_before = token;
  roster_each_record (permits->roster, inherit_record, permits);
  for (group = permits->table; group != NULL; group = group->hh.next)
    group->version = group->closed ? 1 : 0;
  for (grantee = permits->grantees; grantee != NULL;
       grantee = grantee->hh.next)
    {
      grantee->obeys = 0;
      grantee->vouched_ms = CLK_LONG_AGO;
    }
  return true;
}

/* Limits the time until all earlier permissions have ended: an earlier holder
   renews none once most hosts know of this one.  */
static void
check_majority (struct permits *permits)
{
  clk_ms end_ms = now_ms (permits) + PERMITS_VOUCH_MS + PERMITS_SPAN_MS
                  + PERMITS_MARGIN_MS;
  if (permits->has_majority || !most_answer (permits, permits->taken_ms))
    return;
  permits->has_majority = true;
  if (end_ms < permits->inherited_ms)
    permits->inherited_ms = end_ms;
}

static void
renew_due (struct permits *permits)
{
  clk_ms span_ms = renew_ms (permits);
  struct grantee *grantee;
  for (grantee = permits->grantees; grantee != NULL;
       grantee = grantee->hh.next)
    if (grantee->call == 0
        && now_ms (permits) - grantee->sent_ms
               >= (grantee->process != 0 ? span_ms : PERMITS_GREET_MS))
      send_permit (grantee);
}

/* Leaves the duty to another host if this one reaches too few.  */
static void
check_reach (struct permits *permits)
{
  clk_ms since_ms = now_ms (permits) - PERMITS_MINORITY_MS;
  size_t answered, listed = count_answers (permits, since_ms, &answered);
  if (permits->taken_ms < since_ms && 2 * answered < listed
      && roster_duty_leased (permits->roster))
    roster_resign_duty (permits->roster, "most hosts do not answer");
}

static void
log_lapse (struct permits *permits)
{
  if (permits->lapsed || permits->end_ms == CLK_LONG_AGO
      || now_ms (permits) < permits->end_ms)
    return;
  permits->lapsed = true;
  metrics_increment (kernel_metrics (permits->base.kernel),
                     "permissions_ended_total");
  log_event (kernel_log (permits->base.kernel), LOG_WARNING,
             "permission_ended", LOG_U ("token", permits->token));
}

static void
on_tick (void *arg)
{
  struct permits *permits = arg;
  if (check_duty (permits))
    {
      update_grantees (permits);
      check_majority (permits);
      if (may_renew (permits))
        extend (permits, now_ms (permits) + PERMITS_SPAN_MS);
      renew_due (permits);
      check_reach (permits);
    }
  log_lapse (permits);
  roster_seek_holder (permits->roster, now_ms (permits) - permits->extended_ms
                                           >= PERMITS_SEEK_MS);
  kernel_timer_set (
      permits->base.kernel, &permits->tick,
      now_ms (permits)
          + (permits->held != 0 ? PERMITS_TICK_MS : PERMITS_IDLE_TICK_MS));
}

void
permits_note_duty (struct permits *permits, const char *host, uint64_t token)
{
  if (permits->fenced)
    return;
  if (host != NULL && token > permits->noted)
    {
      permits->previous = permits->noted;
      permits->noted = token;
    }
  note_token (permits, token);
  kernel_timer_set (permits->base.kernel, &permits->tick, now_ms (permits));
}

/* Sends the table after a change of GROUP.  */
static void
publish (struct permits *permits, const struct permit_group *group)
{
  log_event (kernel_log (permits->base.kernel), LOG_NOTICE,
             group->closed ? "group_closed" : "group_opened",
             LOG_S ("group", group->name), LOG_S ("primary", group->instance),
             LOG_U ("number", group->number), LOG_U ("token", permits->held));
  groups_permits_changed (permits->groups);
  send_all (permits);
}

void
permits_close (struct permits *permits, const char *name)
{
  struct permit_group *group;
  if (permits->fenced || !check_duty (permits))
    return;
  group = ensure_group (permits, name);
  if (group == NULL || group->closed)
    return;
  group->closed = true;
  group->version = ++permits->version;
  publish (permits, group);
}

void
permits_expect (struct permits *permits, const char *name,
                const char *instance, uint64_t number)
{
  struct permit_group *group;
  if (permits->fenced || !check_duty (permits))
    return;
  group = ensure_group (permits, name);
  if (group == NULL || !text_copy (group->instance, NAME_BYTES, instance))
    return;
  group->number = number;
  permits->version++;
  groups_permits_changed (permits->groups);
}

void
permits_open (struct permits *permits, const char *name, const char *instance)
{
  struct permit_group *group;
  if (permits->fenced || !check_duty (permits))
    return;
  group = ensure_group (permits, name);
  if (group == NULL || !text_copy (group->instance, NAME_BYTES, instance))
    return;
  group->closed = false;
  permits->version++;
  publish (permits, group);
}

/* Returns the host with the longest permission to use the old primary of
   GROUP, or NULL.  */
static const struct grantee *
last_user (const struct permits *permits, const struct permit_group *group)
{
  const struct grantee *grantee, *last = NULL;
  for (grantee = permits->grantees; grantee != NULL;
       grantee = grantee->hh.next)
    if (grantee->until_ms > now_ms (permits) && grantee->obeys < group->version
        && (last == NULL || grantee->until_ms > last->until_ms))
      last = grantee;
  return last;
}

static void
log_wait (const struct permits *permits, struct permit_group *group,
          const struct grantee *last)
{
  if (group->waited == group->version)
    return;
  group->waited = group->version;
  log_event (
      kernel_log (permits->base.kernel), LOG_NOTICE, "recall_waits",
      LOG_S ("group", group->name), LOG_I ("inherited_ms", left_ms (permits)),
      LOG_S ("host", last != NULL ? last->address.name : NULL),
      LOG_I ("host_ms", last != NULL ? last->until_ms - now_ms (permits) : 0));
}

bool
permits_recalled (const struct permits *permits, const char *group)
{
  struct permit_group *found;
  if (permits->fenced || MUTANT (skip_recall))
    return true;
  found = find_group (permits, group);
  if (found == NULL || !found->closed || permits->held == 0)
    return false;
  const struct grantee *last = last_user (permits, found);
  if (last == NULL && left_ms (permits) == 0)
    return true;
  log_wait (permits, found, last);
  return false;
}

static void
permits_start (struct module *module)
{
  struct permits *permits = (struct permits *)module;
  permits->hosts = (struct hosts *)kernel_find (module->kernel, "hosts");
  permits->roster = (struct roster *)kernel_find (module->kernel, "roster");
  permits->groups = (struct groups *)kernel_find (module->kernel, "groups");
  if (!permits->fenced)
    permits->process = rng_u64 (kernel_rng (module->kernel)) | 1;
  permits->tick = (struct ktimer){ .fire = on_tick, .arg = permits };
  hosts_handle (permits->hosts, PEER_KIND_PERMIT, on_permit, permits);
  if (!permits->fenced)
    kernel_timer_set (module->kernel, &permits->tick, now_ms (permits));
}

static void
permits_free (struct module *module)
{
  struct permits *permits = (struct permits *)module;
  struct permit_group *group, *next_group;
  struct grantee *grantee, *next;
  kernel_timer_cancel (module->kernel, &permits->tick);
  HASH_ITER (hh, permits->grantees, grantee, next)
  {
    HASH_DEL (permits->grantees, grantee);
    free (grantee);
  }
  HASH_ITER (hh, permits->table, group, next_group)
  {
    HASH_DEL (permits->table, group);
    free (group);
  }
  free (permits);
}

static const struct module_ops permits_ops
    = { .start = permits_start, .free = permits_free };

struct permits *
permits_new (bool fenced)
{
  struct permits *permits = mem_zalloc (sizeof *permits);
  permits->base.ops = &permits_ops;
  permits->base.name = "permits";
  permits->fenced = fenced;
  permits->end_ms = permits->extended_ms = CLK_LONG_AGO;
  return permits;
}

struct module *
permits_module (struct permits *permits)
{
  return &permits->base;
}
