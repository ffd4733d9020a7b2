#include "proxy/roster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "kernel/mem.h"
#include "kernel/text.h"
#include "proxy/group.h"
#include "proxy/mirror.h"

#define PREFIX "savoryway/"
#define HOSTS_PREFIX PREFIX "hosts/"
#define DUTY_KEY PREFIX "duty"
#define REPORTS_PREFIX PREFIX "reports/"
#define KEY_BYTES 200
#define LEASE_ID_BYTES 32

/* A key of the store as it was last seen.  */
struct roster_key
{
  char name[KEY_BYTES];
  char value[2 * NAME_BYTES];
  uint64_t revision;
  uint64_t created;
  bool listed;
  UT_hash_handle hh;
};

/* What this host wants to stand in the store.  */
struct roster_report_state
{
  char group[NAME_BYTES];
  char wanted[NAME_BYTES];  /* empty: no report */
  char written[NAME_BYTES]; /* of the last write that may have worked */
  uint64_t call;
  struct roster *roster;
  UT_hash_handle hh;
};

struct verification
{
  struct roster *roster;
  roster_verified done;
  void *arg;
};

struct roster
{
  struct module base;
  struct platform_port *store;
  char host[NAME_BYTES];
  char zone[NAME_BYTES];
  char self[2 * NAME_BYTES]; /* "HOST INCARNATION" */
  struct groups *groups;
  struct mirror *mirror;
  struct roster_key *keys;
  size_t host_count;
  char lease[LEASE_ID_BYTES]; /* empty: none */
  clk_ms lease_until_ms;
  clk_ms lease_asked_ms;
  bool lease_call;
  bool register_call;
  bool duty_call;
  clk_ms yield_until_ms;
  bool leaving;
  struct ktimer renew;
  struct ktimer claim;
  struct roster_report_state *reports;
};

static void ask_lease (struct roster *roster);

static clk_ms
now_ms (const struct roster *roster)
{
  return kernel_now (roster->base.kernel);
}

static struct roster_key *
find_key (const struct roster *roster, const char *name)
{
  struct roster_key *key;
  HASH_FIND_STR (roster->keys, name, key);
  return key;
}

static bool
lease_valid (const struct roster *roster)
{
  return roster->lease[0] != '\0'
         && now_ms (roster) < roster->lease_until_ms;
}

static void
write_key (struct roster *roster, const char *key, const char *value,
           uint64_t expected, platform_done done, void *arg)
{
  struct platform_write write = { .key = key,
                                  .value = value != NULL ? value : "",
                                  .value_bytes
                                  = value != NULL ? strlen (value) : 0,
                                  .expect_index = expected,
                                  .lease = roster->lease,
                                  .erase = value == NULL };
  struct platform_call call = { .kind = PLATFORM_WRITE,
                                .purpose = "roster",
                                .timeout_ms = ROSTER_CALL_TIMEOUT_MS,
                                .writes = &write,
                                .write_count = 1 };
  roster->store->ops->call (roster->store, &call, done, arg);
}

/* Registration.  */

static void
registered (void *arg, const struct platform_reply *reply)
{
  struct roster *roster = arg;
  roster->register_call = false;
  if (reply->status == PLATFORM_NOT_FOUND)
    roster->lease[0] = '\0';
}

static void
own_host_key (const struct roster *roster, char out[KEY_BYTES])
{
  snprintf (out, KEY_BYTES, HOSTS_PREFIX "%s", roster->host);
}

/* Writes the registration if it does not stand under the present lease.  */
static void
ensure_registered (struct roster *roster)
{
  char name[KEY_BYTES], value[2 * NAME_BYTES];
  if (!lease_valid (roster) || roster->register_call || roster->leaving
      || !mirror_complete (roster->mirror))
    return;
  own_host_key (roster, name);
  snprintf (value, sizeof value, "%s %s", roster->zone, roster->lease);
  const struct roster_key *key = find_key (roster, name);
  if (key != NULL && strcmp (key->value, value) == 0)
    return;
  roster->register_call = true;
  write_key (roster, name, value, key != NULL ? key->revision : 0, registered,
             roster);
}

/* Reports.  */

static void send_report (struct roster_report_state *state);

static void
report_written (void *arg, const struct platform_reply *reply)
{
  struct roster_report_state *state = arg;
  state->call = 0;
  if (reply->status == PLATFORM_NOT_FOUND)
    state->roster->lease[0] = '\0';
}

static void
report_key (const struct roster_report_state *state, char out[KEY_BYTES])
{
  snprintf (out, KEY_BYTES, REPORTS_PREFIX "%s/%s", state->group,
            state->roster->host);
}

/* Brings the store to what is wanted, if it differs as last seen.  */
static void
send_report (struct roster_report_state *state)
{
  struct roster *roster = state->roster;
  char name[KEY_BYTES];
  report_key (state, name);
  const struct roster_key *key = find_key (roster, name);
  const char *stands = key != NULL ? key->value : "";
  if (state->call != 0 || !lease_valid (roster)
      || !mirror_reached (roster->mirror)
      || strcmp (stands, state->wanted) == 0)
    return;
  state->call = 1;
  write_key (roster, name, state->wanted[0] != '\0' ? state->wanted : NULL,
             key != NULL ? key->revision : 0, report_written, state);
}

void
roster_report (struct roster *roster, const char *group, const char *instance)
{
  struct roster_report_state *state;
  HASH_FIND_STR (roster->reports, group, state);
  if (state == NULL)
    {
      if (instance == NULL)
        return;
      state = mem_zalloc (sizeof *state);
      state->roster = roster;
      text_copy (state->group, sizeof state->group, group);
      HASH_ADD_STR (roster->reports, group, state);
    }
  if (!text_copy (state->wanted, sizeof state->wanted,
                  instance != NULL ? instance : ""))
    return;
  send_report (state);
}

size_t
roster_reports (const struct roster *roster, const char *group,
                const char *instance)
{
  char prefix[KEY_BYTES];
  int length = snprintf (prefix, sizeof prefix, REPORTS_PREFIX "%s/", group);
  const struct roster_key *key;
  size_t count = 0;
  for (key = roster->keys; key != NULL; key = key->hh.next)
    count += strncmp (key->name, prefix, (size_t)length) == 0
             && strcmp (key->value, instance) == 0;
  return count;
}

/* Duty.  */

bool
roster_holds (const struct roster *roster, uint64_t *token)
{
  const struct roster_key *key = find_key (roster, DUTY_KEY);
  if (key == NULL || !lease_valid (roster) || roster->leaving
      || strcmp (key->value, roster->self) != 0)
    return false;
  *token = key->created;
  return true;
}

static void
claim_soon (struct roster *roster)
{
  struct kernel *kernel = roster->base.kernel;
  if (roster->claim.slot != 0)
    return;
  clk_ms due_ms
      = kernel_now (kernel)
        + (clk_ms)rng_below (kernel_rng (kernel), ROSTER_SPREAD_MS);
  if (due_ms < roster->yield_until_ms)
    due_ms = roster->yield_until_ms;
  kernel_timer_set (kernel, &roster->claim, due_ms);
}

static void
claimed (void *arg, const struct platform_reply *reply)
{
  struct roster *roster = arg;
  roster->duty_call = false;
  log_event (kernel_log (roster->base.kernel), LOG_INFO, "duty_claim",
             LOG_S ("result", reply->status == PLATFORM_OK ? "won"
                              : reply->status == PLATFORM_CONFLICT
                                  ? "lost"
                                  : "unknown"));
  if (reply->status == PLATFORM_NOT_FOUND)
    roster->lease[0] = '\0';
  if (reply->status != PLATFORM_OK && find_key (roster, DUTY_KEY) == NULL)
    claim_soon (roster);
}

static void
on_claim (void *arg)
{
  struct roster *roster = arg;
  if (roster->leaving || roster->duty_call
      || !mirror_complete (roster->mirror)
      || find_key (roster, DUTY_KEY) != NULL)
    return;
  if (!lease_valid (roster) || !mirror_reached (roster->mirror))
    {
      claim_soon (roster);
      return;
    }
  roster->duty_call = true;
  write_key (roster, DUTY_KEY, roster->self, 0, claimed, roster);
}

static void
ignore_reply (void *arg, const struct platform_reply *reply)
{
  (void)arg;
  (void)reply; /* the mirror tells what came of it */
}

void
roster_yield (struct roster *roster, const char *why)
{
  const struct roster_key *key = find_key (roster, DUTY_KEY);
  if (key == NULL || strcmp (key->value, roster->self) != 0)
    return;
  log_event (kernel_log (roster->base.kernel), LOG_NOTICE, "duty_given_up",
             LOG_S ("why", why), LOG_U ("token", key->created));
  roster->yield_until_ms = now_ms (roster) + ROSTER_YIELD_MS;
  write_key (roster, DUTY_KEY, NULL, key->revision, ignore_reply, NULL);
}

static void
verified (void *arg, const struct platform_reply *reply)
{
  struct verification *check = arg;
  struct roster *roster = check->roster;
  roster_verified done = check->done;
  void *done_arg = check->arg;
  uint64_t token;
  bool held = roster_holds (roster, &token);
  free (check);
  if (reply->status == PLATFORM_OK && reply->item_count == 1)
    held = held && strcmp (reply->items[0].value, roster->self) == 0
           && reply->items[0].created == token;
  else if (reply->status == PLATFORM_NOT_FOUND)
    held = false;
  done (done_arg, held);
}

void
roster_verify (struct roster *roster, roster_verified done, void *arg)
{
  struct verification *check = mem_zalloc (sizeof *check);
  struct platform_call call = { .kind = PLATFORM_GET,
                                .purpose = "duty_verify",
                                .key = DUTY_KEY,
                                .timeout_ms = ROSTER_CALL_TIMEOUT_MS };
  *check = (struct verification){ roster, done, arg };
  roster->store->ops->call (roster->store, &call, verified, check);
}

/* Lease.  */

static void
arm_renew (struct roster *roster, clk_ms span_ms)
{
  kernel_timer_set (roster->base.kernel, &roster->renew,
                    now_ms (roster) + span_ms);
}

static void
lease_asked (void *arg, const struct platform_reply *reply)
{
  struct roster *roster = arg;
  bool renewed = roster->lease[0] != '\0';
  roster->lease_call = false;
  if (reply->status == PLATFORM_OK)
    {
      if (reply->lease != NULL)
        text_copy (roster->lease, sizeof roster->lease, reply->lease);
      roster->lease_until_ms = roster->lease_asked_ms + ROSTER_LEASE_MS;
      ensure_registered (roster);
      arm_renew (roster, ROSTER_RENEW_MS);
      return;
    }
  if (reply->status == PLATFORM_NOT_FOUND)
    {
      log_event (kernel_log (roster->base.kernel), LOG_WARNING, "lease_ended",
                 LOG_S ("lease", roster->lease));
      roster->lease[0] = '\0';
      arm_renew (roster, 0);
      return;
    }
  arm_renew (roster, renewed ? ROSTER_RENEW_MS / 3 : ROSTER_RENEW_MS / 2);
}

static void
ask_lease (struct roster *roster)
{
  bool renew = roster->lease[0] != '\0';
  struct platform_call call
      = { .kind = renew ? PLATFORM_RENEW : PLATFORM_LEASE,
          .purpose = renew ? "renew" : "lease",
          .timeout_ms = ROSTER_CALL_TIMEOUT_MS,
          .ttl_ms = ROSTER_LEASE_MS,
          .lease = roster->lease };
  if (roster->lease_call || roster->leaving)
    return;
  roster->lease_call = true;
  /* The lease runs from the arrival of the call, later than this.  */
  roster->lease_asked_ms = now_ms (roster);
  roster->store->ops->call (roster->store, &call, lease_asked, roster);
}

static void
on_renew (void *arg)
{
  struct roster *roster = arg;
  struct roster_report_state *state, *next;
  ask_lease (roster);
  ensure_registered (roster);
  HASH_ITER (hh, roster->reports, state, next)
  send_report (state);
}

void
roster_leave (struct roster *roster)
{
  struct platform_call call = { .kind = PLATFORM_RELEASE,
                                .purpose = "release",
                                .timeout_ms = ROSTER_CALL_TIMEOUT_MS,
                                .lease = roster->lease };
  if (roster->leaving)
    return;
  roster->leaving = true;
  if (roster->lease[0] != '\0')
    roster->store->ops->call (roster->store, &call, ignore_reply, NULL);
}

/* The mirror of the store.  */

static void
duty_changed (struct roster *roster)
{
  const struct roster_key *key = find_key (roster, DUTY_KEY);
  bool mine = key != NULL && strcmp (key->value, roster->self) == 0;
  log_event (kernel_log (roster->base.kernel), LOG_NOTICE, "duty",
             LOG_S ("holder", key != NULL ? key->value : NULL),
             LOG_U ("token", key != NULL ? key->created : 0),
             LOG_U ("mine", mine));
  groups_set_watch (roster->groups, mine);
  if (key == NULL)
    claim_soon (roster);
}

static bool
is_host_key (const struct roster_key *key)
{
  return strncmp (key->name, HOSTS_PREFIX, strlen (HOSTS_PREFIX)) == 0;
}

static void
hosts_changed (struct roster *roster)
{
  groups_set_hosts (roster->groups, roster->host_count);
}

static void
drop_key (struct roster *roster, struct roster_key *key)
{
  bool host = is_host_key (key);
  bool duty = strcmp (key->name, DUTY_KEY) == 0;
  HASH_DEL (roster->keys, key);
  free (key);
  if (host)
    {
      roster->host_count--;
      hosts_changed (roster);
      ensure_registered (roster);
    }
  if (duty)
    duty_changed (roster);
}

static void
on_item (void *arg, const struct platform_item *item)
{
  struct roster *roster = arg;
  struct roster_key *key = find_key (roster, item->key);
  bool is_new = key == NULL;
  if (strlen (item->key) >= KEY_BYTES
      || item->value_bytes >= sizeof key->value)
    return;
  if (is_new)
    {
      key = mem_zalloc (sizeof *key);
      text_copy (key->name, sizeof key->name, item->key);
      HASH_ADD_STR (roster->keys, name, key);
    }
  key->listed = true;
  bool changed = is_new || key->revision != item->index;
  key->revision = item->index;
  key->created = item->created;
  snprintf (key->value, sizeof key->value, "%s", item->value);
  if (!changed)
    return;
  if (is_new && is_host_key (key))
    {
      roster->host_count++;
      hosts_changed (roster);
    }
  if (strcmp (key->name, DUTY_KEY) == 0)
    duty_changed (roster);
}

static void
on_removed (void *arg, const char *name, uint64_t revision)
{
  struct roster *roster = arg;
  struct roster_key *key = find_key (roster, name);
  if (key != NULL && key->revision <= revision)
    drop_key (roster, key);
}

static void
on_begin_list (void *arg)
{
  struct roster *roster = arg;
  struct roster_key *key;
  for (key = roster->keys; key != NULL; key = key->hh.next)
    key->listed = false;
}

static void
on_end_list (void *arg, uint64_t revision)
{
  struct roster *roster = arg;
  struct roster_key *key, *next;
  HASH_ITER (hh, roster->keys, key, next)
  {
    if (!key->listed && key->revision <= revision)
      drop_key (roster, key);
  }
  if (find_key (roster, DUTY_KEY) == NULL)
    claim_soon (roster);
  ensure_registered (roster);
}

static void
on_reach (void *arg, bool reached)
{
  struct roster *roster = arg;
  if (reached && find_key (roster, DUTY_KEY) == NULL)
    claim_soon (roster);
}

size_t
roster_hosts (const struct roster *roster)
{
  return roster->host_count > 0 ? roster->host_count : 1;
}

static void
roster_start (struct module *module)
{
  struct roster *roster = (struct roster *)module;
  struct mirror_events events = { .item = on_item,
                                  .removed = on_removed,
                                  .begin_list = on_begin_list,
                                  .end_list = on_end_list,
                                  .reach = on_reach,
                                  .arg = roster };
  snprintf (roster->self, sizeof roster->self, "%s %llu", roster->host,
            (unsigned long long)rng_u64 (kernel_rng (module->kernel)));
  roster->groups = (struct groups *)kernel_find (module->kernel, "groups");
  roster->mirror
      = mirror_new (module->kernel, roster->store, PREFIX, &events);
  roster->renew = (struct ktimer){ .fire = on_renew, .arg = roster };
  roster->claim = (struct ktimer){ .fire = on_claim, .arg = roster };
  mirror_start (roster->mirror);
  ask_lease (roster);
}

static void
roster_free (struct module *module)
{
  struct roster *roster = (struct roster *)module;
  struct roster_key *key, *next;
  struct roster_report_state *state, *following;
  mirror_free (roster->mirror);
  HASH_ITER (hh, roster->keys, key, next)
  {
    HASH_DEL (roster->keys, key);
    free (key);
  }
  HASH_ITER (hh, roster->reports, state, following)
  {
    HASH_DEL (roster->reports, state);
    free (state);
  }
  free (roster);
}

static const struct module_ops roster_ops
    = { .start = roster_start, .free = roster_free };

struct roster *
roster_new (const struct roster_options *options)
{
  struct roster *roster = mem_zalloc (sizeof *roster);
  roster->base.ops = &roster_ops;
  roster->base.name = "roster";
  roster->store = options->store;
  text_copy (roster->host, sizeof roster->host, options->host);
  text_copy (roster->zone, sizeof roster->zone, options->zone);
  return roster;
}

struct module *
roster_module (struct roster *roster)
{
  return &roster->base;
}
