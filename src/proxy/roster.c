#include "proxy/roster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <uthash.h>
#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/text.h"
#include "proxy/group.h"
#include "proxy/lease.h"
#include "proxy/mirror.h"
#include "proxy/witness.h"

#define PREFIX "savoryway/"
#define HOSTS_PREFIX PREFIX "hosts/"
#define DUTY_KEY PREFIX "duty"
#define REPORTS_PREFIX PREFIX "reports/"
#define SECRET_KEY PREFIX "secret"
#define KEY_BYTES 200

/* A key of the store as it was last seen.  */
struct roster_key
{
  char name[KEY_BYTES];
  char value[3 * NAME_BYTES];
  uint64_t revision;
  uint64_t created;
  bool listed;
  UT_hash_handle hh;
};

/* A failure domain, and its registered hosts.  */
struct roster_domain
{
  char name[NAME_BYTES];
  size_t hosts;
};

/* What this host wants to stand in the store.  */
struct roster_report_state
{
  char group[NAME_BYTES];
  char wanted[2 * NAME_BYTES]; /* empty: no report */
  uint64_t call;
  clk_ms again_ms; /* earliest next write */
  struct roster *roster;
  UT_hash_handle hh;
};

struct verification
{
  struct roster *roster;
  roster_verified done;
  void *arg;
  struct verification *prev;
  struct verification *next;
};

struct roster
{
  struct module base;
  struct platform_port *store;
  char host[NAME_BYTES];
  char zone[NAME_BYTES];
  char self[2 * NAME_BYTES];         /* "HOST INCARNATION" */
  char registration[3 * NAME_BYTES]; /* "DOMAIN ADDRESS PORT" */
  void (*secret_known) (void *arg, const uint8_t *secret);
  void *arg;
  bool has_secret;
  bool store_refuses; /* the last call was refused or not answered */
  struct witness *witness;
  struct groups *groups;
  struct mirror *mirror;
  struct roster_key *keys;
  size_t host_count;
  size_t domain_count;
  struct roster_domain domains[ROSTER_DOMAINS];
  struct lease *host_lease;
  struct lease *duty_lease;
  bool duty_call;
  clk_ms yield_until_ms;
  bool leaving;
  struct ktimer claim;
  struct roster_report_state *reports;
  struct verification *verifications;
};

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

static void
write_key (struct roster *roster, const struct lease *lease, const char *key,
           const char *value, uint64_t expected, platform_done done, void *arg)
{
  struct platform_write write
      = { .key = key,
          .value = value != NULL ? value : "",
          .value_bytes = value != NULL ? strlen (value) : 0,
          .expect_index = expected,
          .lease = lease != NULL ? lease_id (lease) : NULL,
          .erase = value == NULL };
  struct platform_call call = { .kind = PLATFORM_WRITE,
                                .purpose = "roster",
                                .timeout_ms = ROSTER_CALL_TIMEOUT_MS,
                                .writes = &write,
                                .write_count = 1 };
  roster->store->ops->call (roster->store, &call, done, arg);
}

/* Notes how the store met a call.  A watch that waits tells nothing of a
   store that refuses all else.  */
static void
note_store (struct roster *roster, enum platform_status status)
{
  bool refuses = status == PLATFORM_UNAVAILABLE || status == PLATFORM_LOST;
  if (refuses == roster->store_refuses)
    return;
  roster->store_refuses = refuses;
  log_event (kernel_log (roster->base.kernel),
             refuses ? LOG_WARNING : LOG_NOTICE,
             refuses ? "store_refuses" : "store_accepts",
             LOG_U ("reached", mirror_reached (roster->mirror)));
  roster_report (roster, WITNESS_STORE, refuses ? WITNESS_STORE : NULL);
}

/* Registration.  */

static void
own_host_key (const struct roster *roster, char out[KEY_BYTES])
{
  snprintf (out, KEY_BYTES, HOSTS_PREFIX "%s", roster->host);
}

static void
registered (void *arg, const struct platform_reply *reply)
{
  struct roster *roster = arg;
  note_store (roster, reply->status);
  if (reply->status == PLATFORM_OK)
    mirror_expect (roster->mirror, reply->index);
  if (reply->status == PLATFORM_NOT_FOUND)
    lease_lost (roster->host_lease);
}

static void
register_host (struct roster *roster)
{
  char name[KEY_BYTES];
  if (!lease_valid (roster->host_lease) || roster->leaving)
    return;
  own_host_key (roster, name);
  write_key (roster, roster->host_lease, name, roster->registration, 0,
             registered, roster);
}

static void
lease_answered (void *arg, enum platform_status status)
{
  note_store (arg, status);
}

static void
host_lease_gained (void *arg)
{
  register_host (arg);
}

static void
count_host (struct roster *roster, const char *zone)
{
  struct roster_domain *domain = roster->domains;
  size_t i = 0;
  while (i < roster->domain_count && strcmp (domain[i].name, zone) != 0)
    i++;
  if (i == ROSTER_DOMAINS || strlen (zone) >= NAME_BYTES)
    return;
  if (i == roster->domain_count)
    {
      roster->domain_count++;
      domain[i] = (struct roster_domain){ 0 };
      text_copy (domain[i].name, NAME_BYTES, zone);
    }
  domain[i].hosts++;
}

static bool
is_host_key (const char *name)
{
  return strncmp (name, HOSTS_PREFIX, strlen (HOSTS_PREFIX)) == 0;
}

/* Splits a registration, "DOMAIN ADDRESS PORT".  */
static bool
parse_registration (const struct roster_key *key, char zone[NAME_BYTES],
                    struct peer_address *address)
{
  unsigned port;
  *address = (struct peer_address){ 0 };
  if (!text_copy (address->name, NAME_BYTES, key->name + strlen (HOSTS_PREFIX))
      || sscanf (key->value, "%63s %63s %u", zone, address->address, &port)
             != 3
      || port > UINT16_MAX)
    return false;
  address->port = (uint16_t)port;
  return true;
}

/* Counts the registered hosts; this one counts while its registration is on
   its way.  */
static void
count_hosts (struct roster *roster)
{
  struct peer_address others[WITNESS_FANOUT], address;
  const struct roster_key *key;
  char zone[NAME_BYTES];
  size_t other_count = 0;
  roster->domain_count = 0;
  count_host (roster, roster->zone);
  roster->host_count = 1;
  for (key = roster->keys; key != NULL; key = key->hh.next)
    {
      if (!is_host_key (key->name) || !parse_registration (key, zone, &address)
          || strcmp (address.name, roster->host) == 0)
        continue;
      count_host (roster, zone);
      roster->host_count++;
      if (other_count < WITNESS_FANOUT)
        others[other_count++] = address;
    }
  witness_set_hosts (roster->witness, others, other_count);
  groups_set_hosts (roster->groups, roster->host_count);
}

/* Reports.  */

static void send_report (struct roster_report_state *state);

static void
report_written (void *arg, const struct platform_reply *reply)
{
  struct roster_report_state *state = arg;
  note_store (state->roster, reply->status);
  if (reply->status == PLATFORM_OK)
    mirror_expect (state->roster->mirror, reply->index);
  state->call = 0;
  state->again_ms = now_ms (state->roster) + ROSTER_REPORT_MS;
  if (reply->status == PLATFORM_NOT_FOUND)
    lease_lost (state->roster->host_lease);
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
  if (state->call != 0 || !lease_valid (roster->host_lease)
      || !mirror_reached (roster->mirror) || now_ms (roster) < state->again_ms
      || strcmp (state->group, WITNESS_STORE) == 0
      || strcmp (stands, state->wanted) == 0)
    return;
  state->call = 1;
  write_key (roster, roster->host_lease, name,
             state->wanted[0] != '\0' ? state->wanted : NULL,
             key != NULL ? key->revision : 0, report_written, state);
}

static struct roster_report_state *
ensure_report (struct roster *roster, const char *group)
{
  struct roster_report_state *state;
  HASH_FIND_STR (roster->reports, group, state);
  if (state != NULL)
    return state;
  state = mem_zalloc (sizeof *state);
  state->roster = roster;
  text_copy (state->group, sizeof state->group, group);
  HASH_ADD_STR (roster->reports, group, state);
  return state;
}

void
roster_report (struct roster *roster, const char *group, const char *instance)
{
  struct roster_report_state *state;
  HASH_FIND_STR (roster->reports, group, state);
  if (state == NULL && instance == NULL)
    return;
  state = ensure_report (roster, group);
  if (instance != NULL)
    snprintf (state->wanted, sizeof state->wanted, "%s %s", instance,
              roster->zone);
  else
    state->wanted[0] = '\0';
  witness_report (roster->witness, group, instance);
  send_report (state);
}

/* Takes note of a report of this host, which may be that of an earlier
   process: what is not wanted is then removed.  */
static void
adopt_report (struct roster *roster, const char *name)
{
  char group[NAME_BYTES];
  const char *start = name + strlen (REPORTS_PREFIX);
  const char *slash = strchr (start, '/');
  if (slash == NULL || strcmp (slash + 1, roster->host) != 0
      || (size_t)(slash - start) >= sizeof group)
    return;
  snprintf (group, sizeof group, "%.*s", (int)(slash - start), start);
  ensure_report (roster, group);
}

/* Whether REPORT, "INSTANCE DOMAIN", is about INSTANCE, by a host of
   DOMAIN.  */
static bool
report_matches (const char *report, const char *instance, const char *domain)
{
  size_t length = strlen (instance);
  return strncmp (report, instance, length) == 0 && report[length] == ' '
         && strcmp (report + length + 1, domain) == 0;
}

/* Hosts of a failure domain that report an instance, in the store or
   directly.  */
struct report_count
{
  const struct roster *roster;
  const char *group;
  const char *instance;
  const char *domain;
  size_t count;
};

static bool
reports_in_store (const struct report_count *counted, const char *host)
{
  char name[KEY_BYTES];
  snprintf (name, sizeof name, REPORTS_PREFIX "%s/%s", counted->group, host);
  const struct roster_key *key = find_key (counted->roster, name);
  return key != NULL
         && report_matches (key->value, counted->instance, counted->domain);
}

/* Counts HOST's direct report, unless the store has it too.  */
static void
count_voice (void *arg, const char *host, const char *zone)
{
  struct report_count *counted = arg;
  counted->count += strcmp (zone, counted->domain) == 0
                    && !reports_in_store (counted, host);
}

static size_t
count_reports (const struct roster *roster, const char *group,
               const char *instance, const char *domain)
{
  struct report_count counted = { roster, group, instance, domain, 0 };
  char prefix[KEY_BYTES];
  const struct roster_key *key;
  snprintf (prefix, sizeof prefix, REPORTS_PREFIX "%s/", group);
  for (key = roster->keys; key != NULL; key = key->hh.next)
    counted.count += strncmp (key->name, prefix, strlen (prefix)) == 0
                     && report_matches (key->value, instance, domain);
  witness_each (roster->witness, group, instance, count_voice, &counted);
  return counted.count;
}

/* Whether this host reports INSTANCE and the store does not have that.  */
static bool
reports_itself (const struct roster *roster, const char *group,
                const char *instance)
{
  struct roster_report_state *state;
  char own[KEY_BYTES];
  HASH_FIND_STR (roster->reports, group, state);
  if (state == NULL || !report_matches (state->wanted, instance, roster->zone))
    return false;
  report_key (state, own);
  return find_key (roster, own) == NULL;
}

struct roster_view
roster_reports (const struct roster *roster, const char *group,
                const char *instance)
{
  struct roster_view view = { .domains = roster->domain_count };
  for (size_t i = 0; i < roster->domain_count; i++)
    {
      const struct roster_domain *domain = &roster->domains[i];
      size_t reports = count_reports (roster, group, instance, domain->name);
      if (strcmp (domain->name, roster->zone) == 0)
        reports += reports_itself (roster, group, instance);
      view.hosts += domain->hosts;
      view.hosts_reporting += reports;
      view.domains_reporting += 2 * reports >= domain->hosts;
    }
  return view;
}

/* Duty.  */

/* Whether the store is away for most failure domains, and not only for this
   host.  */
static bool
store_is_away (const struct roster *roster)
{
  struct roster_view view
      = roster_reports (roster, WITNESS_STORE, WITNESS_STORE);
  return roster->store_refuses && 2 * view.domains_reporting > view.domains;
}

bool
roster_holds (const struct roster *roster, uint64_t *token)
{
  const struct roster_key *key = find_key (roster, DUTY_KEY);
  if (key == NULL || roster->leaving || strcmp (key->value, roster->self) != 0)
    return false;
  *token = key->created;
  if (lease_valid (roster->duty_lease))
    return true;
  return now_ms (roster) - lease_until_ms (roster->duty_lease)
             < ROSTER_OUTAGE_MS
         && store_is_away (roster);
}

static void
claim_within (struct roster *roster, clk_ms spread_ms)
{
  struct kernel *kernel = roster->base.kernel;
  if (roster->claim.slot != 0)
    return;
  clk_ms due_ms
      = kernel_now (kernel)
        + (clk_ms)rng_below (kernel_rng (kernel), (uint64_t)spread_ms);
  if (due_ms < roster->yield_until_ms)
    due_ms = roster->yield_until_ms;
  kernel_timer_set (kernel, &roster->claim, due_ms);
}

static void
claim_soon (struct roster *roster)
{
  claim_within (roster, ROSTER_SPREAD_MS);
}

static void
claimed (void *arg, const struct platform_reply *reply)
{
  struct roster *roster = arg;
  note_store (roster, reply->status);
  if (reply->status == PLATFORM_OK)
    mirror_expect (roster->mirror, reply->index);
  roster->duty_call = false;
  if (reply->status != PLATFORM_CONFLICT)
    mirror_set_prompt (roster->mirror, true);
  log_event (kernel_log (roster->base.kernel), LOG_INFO, "duty_claim",
             LOG_S ("result", reply->status == PLATFORM_OK ? "won"
                              : reply->status == PLATFORM_CONFLICT
                                  ? "lost"
                                  : "unknown"));
  if (reply->status == PLATFORM_NOT_FOUND)
    lease_lost (roster->duty_lease);
  else if (reply->status == PLATFORM_CONFLICT)
    lease_end (roster->duty_lease);
  /* After a conflict the mirror tells when the other holder is gone.  */
  if (reply->status != PLATFORM_OK && reply->status != PLATFORM_CONFLICT
      && find_key (roster, DUTY_KEY) == NULL)
    claim_soon (roster);
}

static void
duty_lease_gained (void *arg)
{
  struct roster *roster = arg;
  if (find_key (roster, DUTY_KEY) != NULL || roster->duty_call)
    return;
  roster->duty_call = true;
  write_key (roster, roster->duty_lease, DUTY_KEY, roster->self, 0, claimed,
             roster);
}

static void
on_claim (void *arg)
{
  struct roster *roster = arg;
  if (roster->leaving || roster->duty_call || !mirror_complete (roster->mirror)
      || find_key (roster, DUTY_KEY) != NULL)
    return;
  if (!mirror_reached (roster->mirror))
    {
      claim_soon (roster);
      return;
    }
  if (lease_valid (roster->duty_lease))
    duty_lease_gained (roster);
  else
    lease_begin (roster->duty_lease);
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
  lease_end (roster->duty_lease);
}

static void
end_verification (struct verification *check, bool held)
{
  roster_verified done = check->done;
  void *arg = check->arg;
  DL_DELETE (check->roster->verifications, check);
  free (check);
  done (arg, held);
}

static void
verified (void *arg, const struct platform_reply *reply)
{
  struct verification *check = arg;
  struct roster *roster = check->roster;
  uint64_t token;
  bool held = roster_holds (roster, &token);
  if (reply->status == PLATFORM_OK && reply->item_count == 1)
    held = held && strcmp (reply->items[0].value, roster->self) == 0
           && reply->items[0].created == token;
  else if (reply->status == PLATFORM_NOT_FOUND)
    held = false;
  end_verification (check, held);
}

/* The store is away: what this host knows decides.  */
static void
verify_alone (void *arg)
{
  struct verification *check = arg;
  uint64_t token;
  end_verification (check, roster_holds (check->roster, &token));
}

void
roster_verify (struct roster *roster, roster_verified done, void *arg)
{
  struct verification *check = mem_zalloc (sizeof *check);
  struct platform_call call = { .kind = PLATFORM_GET,
                                .purpose = "duty_verify",
                                .key = DUTY_KEY,
                                .timeout_ms = ROSTER_CALL_TIMEOUT_MS };
  check->roster = roster;
  check->done = done;
  check->arg = arg;
  DL_APPEND (roster->verifications, check);
  if (roster->store_refuses)
    {
      kernel_defer (roster->base.kernel, verify_alone, check);
      return;
    }
  roster->store->ops->call (roster->store, &call, verified, check);
}

void
roster_leave (struct roster *roster)
{
  if (roster->leaving)
    return;
  roster->leaving = true;
  kernel_timer_cancel (roster->base.kernel, &roster->claim);
  lease_end (roster->duty_lease);
  lease_end (roster->host_lease);
}

/* The mirror of the store.  */

static void
ignore_reply (void *arg, const struct platform_reply *reply)
{
  (void)arg;
  (void)reply; /* the mirror tells what came of it */
}

/* Takes the secret between hosts from the store.  */
static void
take_secret (struct roster *roster, const char *text)
{
  uint8_t secret[ROSTER_SECRET_BYTES];
  size_t length;
  if (roster->has_secret
      || sodium_hex2bin (secret, sizeof secret, text, strlen (text), NULL,
                         &length, NULL)
             != 0
      || length != sizeof secret)
    return;
  roster->has_secret = true;
  roster->secret_known (roster->arg, secret);
}

/* Draws the secret between hosts where there is none yet.  */
static void
ensure_secret (struct roster *roster)
{
  uint8_t secret[ROSTER_SECRET_BYTES];
  char text[2 * ROSTER_SECRET_BYTES + 1];
  if (find_key (roster, SECRET_KEY) != NULL)
    return;
  randombytes_buf (secret, sizeof secret);
  sodium_bin2hex (text, sizeof text, secret, sizeof secret);
  write_key (roster, NULL, SECRET_KEY, text, 0, ignore_reply, NULL);
}

static void
duty_changed (struct roster *roster)
{
  const struct roster_key *key = find_key (roster, DUTY_KEY);
  bool mine = key != NULL && strcmp (key->value, roster->self) == 0;
  if (mine)
    ensure_secret (roster);
  log_event (kernel_log (roster->base.kernel), LOG_NOTICE, "duty",
             LOG_S ("holder", key != NULL ? key->value : NULL),
             LOG_U ("token", key != NULL ? key->created : 0),
             LOG_U ("mine", mine));
  groups_set_watch (roster->groups, mine);
  mirror_set_prompt (roster->mirror, mine);
  if (key == NULL)
    claim_soon (roster);
  else if (!mine && lease_wanted (roster->duty_lease) && !roster->duty_call)
    lease_end (roster->duty_lease);
}

static void
drop_key (struct roster *roster, struct roster_key *key)
{
  bool duty = strcmp (key->name, DUTY_KEY) == 0;
  bool host = is_host_key (key->name);
  char own[KEY_BYTES];
  own_host_key (roster, own);
  bool own_gone = strcmp (key->name, own) == 0;
  HASH_DEL (roster->keys, key);
  free (key);
  if (host)
    count_hosts (roster);
  /* The registration of an earlier process stood in the way.  */
  if (own_gone)
    register_host (roster);
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
  if (is_new && is_host_key (key->name))
    count_hosts (roster);
  if (strncmp (key->name, REPORTS_PREFIX, strlen (REPORTS_PREFIX)) == 0)
    adopt_report (roster, key->name);
  if (strcmp (key->name, SECRET_KEY) == 0)
    take_secret (roster, key->value);
  if (!changed)
    return;
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
  else if (key == NULL && strcmp (name, DUTY_KEY) == 0)
    claim_soon (roster);
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
    claim_within (roster, ROSTER_START_SPREAD_MS);
}

static void
on_reach (void *arg, bool reached)
{
  struct roster *roster = arg;
  note_store (roster, reached ? PLATFORM_OK : PLATFORM_UNAVAILABLE);
  if (!reached)
    return;
  lease_wake (roster->host_lease);
  lease_wake (roster->duty_lease);
  if (find_key (roster, DUTY_KEY) == NULL)
    claim_soon (roster);
}

static void
roster_start (struct module *module)
{
  struct roster *roster = (struct roster *)module;
  struct mirror_events events = { .prefix = PREFIX,
                                  .item = on_item,
                                  .removed = on_removed,
                                  .begin_list = on_begin_list,
                                  .end_list = on_end_list,
                                  .reach = on_reach,
                                  .arg = roster };
  snprintf (roster->self, sizeof roster->self, "%s %llu", roster->host,
            (unsigned long long)rng_u64 (kernel_rng (module->kernel)));
  roster->groups = (struct groups *)kernel_find (module->kernel, "groups");
  roster->mirror = (struct mirror *)kernel_find (module->kernel, "mirror");
  roster->witness = (struct witness *)kernel_find (module->kernel, "witness");
  count_hosts (roster);
  mirror_subscribe (roster->mirror, &events);
  roster->host_lease = lease_new (module->kernel, roster->store, "host_lease",
                                  ROSTER_HOST_LEASE_MS, ROSTER_HOST_RENEW_MS,
                                  host_lease_gained, lease_answered, roster);
  roster->duty_lease = lease_new (module->kernel, roster->store, "duty_lease",
                                  ROSTER_DUTY_LEASE_MS, ROSTER_DUTY_RENEW_MS,
                                  duty_lease_gained, lease_answered, roster);
  roster->claim = (struct ktimer){ .fire = on_claim, .arg = roster };
  lease_begin (roster->host_lease);
}

static void
roster_free (struct module *module)
{
  struct roster *roster = (struct roster *)module;
  struct roster_key *key, *next;
  struct roster_report_state *state, *following;
  kernel_timer_cancel (module->kernel, &roster->claim);
  while (roster->verifications != NULL)
    {
      struct verification *check = roster->verifications;
      DL_DELETE (roster->verifications, check);
      free (check);
    }
  lease_free (roster->host_lease);
  lease_free (roster->duty_lease);
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
  snprintf (roster->registration, sizeof roster->registration, "%s %s %u",
            options->zone, options->address, options->port);
  roster->secret_known = options->secret_known;
  roster->arg = options->arg;
  return roster;
}

struct module *
roster_module (struct roster *roster)
{
  return &roster->base;
}
