#include "proxy/roster_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/text.h"

clk_ms
roster_now (const struct roster *roster)
{
  return kernel_now (roster->base.kernel);
}

struct roster_key *
roster_find_key (const struct roster *roster, const char *name)
{
  struct roster_key *key;
  HASH_FIND_STR (roster->keys, name, key);
  return key;
}

void
roster_write_key (struct roster *roster, const char *purpose,
                  const struct lease *lease, const char *key,
                  const char *value, uint64_t expected, platform_done done,
                  void *arg)
{
  struct platform_write write
      = { .key = key,
          .value = value != NULL ? value : "",
          .value_bytes = value != NULL ? strlen (value) : 0,
          .expect_index = expected,
          .lease = lease != NULL ? lease_id (lease) : NULL,
          .erase = value == NULL };
  struct platform_call call = { .kind = PLATFORM_WRITE,
                                .purpose = purpose,
                                .timeout_ms = ROSTER_CALL_TIMEOUT_MS,
                                .writes = &write,
                                .write_count = 1 };
  roster->store->ops->call (roster->store, &call, done, arg);
}

/* Called with the status of other calls too, not only by the mirror: a pending
   watch does not reveal that the store refuses them.  */
static void
set_store_status (struct roster *roster, enum platform_status status)
{
  bool refuses = status == PLATFORM_UNAVAILABLE || status == PLATFORM_LOST;
  if (refuses == roster->store_refuses)
    return;
  roster->store_refuses = refuses;
  log_event (kernel_log (roster->base.kernel),
             refuses ? LOG_WARNING : LOG_NOTICE,
             refuses ? "store_refuses" : "store_accepts",
             LOG_U ("reached", mirror_store_reachable (roster->mirror)));
  relay_store_refuses (roster->relay, refuses);
  if (!refuses)
    mirror_restart_watch (roster->mirror);
  roster_report (roster, SUSPICIONS_STORE, refuses ? SUSPICIONS_STORE : NULL);
}

void
roster_note_reply (struct roster *roster, const struct platform_reply *reply)
{
  set_store_status (roster, reply->status);
  mirror_note_era (roster->mirror, reply->era);
}

static void
own_host_key (const struct roster *roster, char out[KEY_BYTES])
{
  snprintf (out, KEY_BYTES, HOSTS_PREFIX "%s", roster->host);
}

static void register_host (struct roster *roster);

/* Returns the revision of the registration of this host's name, as far as it
   is known here; 0 if there is none.  */
static uint64_t
registered_revision (const struct roster *roster)
{
  char own[KEY_BYTES];
  own_host_key (roster, own);
  const struct roster_key *key = roster_find_key (roster, own);
  return key != NULL ? key->revision : 0;
}

static void
on_registered (void *arg, const struct platform_reply *reply)
{
  struct roster *roster = arg;
  roster->registering = false;
  roster_note_reply (roster, reply);
  if (reply->status == PLATFORM_OK)
    {
      roster->registered = reply->index;
      roster->registered_ms = roster_now (roster);
      roster->unregistered = false;
      mirror_expect (roster->mirror, reply->index);
    }
  if (reply->status == PLATFORM_NOT_FOUND)
    lease_lost (roster->host_lease);
  /* The registration may have been removed while the call was in flight.  */
  if (reply->status == PLATFORM_CONFLICT
      && registered_revision (roster) != roster->replaced)
    register_host (roster);
}

/* Registers this host.  The registration of an earlier process of this host is
   replaced: otherwise it would disappear with its lease, and the other hosts
   would drop this one.  */
static void
register_host (struct roster *roster)
{
  char name[KEY_BYTES];
  if (!lease_valid (roster->host_lease) || roster->leaving
      || roster->registering)
    return;
  own_host_key (roster, name);
  roster->registering = true;
  roster->unregistered = true;
  roster->replaced = registered_revision (roster);
  roster_write_key (roster, "registration", roster->host_lease, name,
                    roster->registration, roster->replaced, on_registered,
                    roster);
}

/* Registers this host again if the store has a registration other than the one
   that this process wrote or expected to replace.  */
static void
check_registration (struct roster *roster)
{
  uint64_t revision = registered_revision (roster);
  if (revision != 0 && revision != roster->registered
      && revision != roster->replaced)
    register_host (roster);
}

static void
lease_answered (void *arg, const struct platform_reply *reply)
{
  roster_note_reply (arg, reply);
}

static void
host_lease_gained (void *arg)
{
  register_host (arg);
}

/* A registration that failed is tried again after the next renewal: it may
   have met one that was removed before this host could read it.  */
static void
host_lease_answered (void *arg, const struct platform_reply *reply)
{
  struct roster *roster = arg;
  roster_note_reply (roster, reply);
  if (reply->status == PLATFORM_OK && roster->unregistered)
    register_host (roster);
}

static bool
is_host_key (const char *name)
{
  return strncmp (name, HOSTS_PREFIX, strlen (HOSTS_PREFIX)) == 0;
}

static bool
is_other_host_key (const struct roster *roster, const char *name)
{
  return is_host_key (name)
         && strcmp (name + strlen (HOSTS_PREFIX), roster->host) != 0;
}

static bool
is_report_key (const char *name)
{
  return strncmp (name, REPORTS_PREFIX, strlen (REPORTS_PREFIX)) == 0;
}

/* Parses a registration, "DOMAIN ADDRESS PORT CAPACITY".  */
static bool
parse_registration (const struct roster_key *key, struct other_host *host)
{
  struct peer_address *address = &host->address;
  unsigned port;
  *host = (struct other_host){ 0 };
  /* Hosts of an earlier version don't register a capacity.  */
  if (!text_copy (address->name, NAME_BYTES, key->name + strlen (HOSTS_PREFIX))
      || sscanf (key->value, "%63s %63s %u %" SCNu32, host->zone,
                 address->address, &port, &host->capacity)
             < 3
      || port > UINT16_MAX)
    return false;
  address->port = (uint16_t)port;
  return true;
}

/* Returns whether a list of COUNT other hosts must be applied only after
   ROSTER_SHRINK_DELAY_MS: many registrations that end together mostly come
   from an outage of the store, and the hosts register again.  */
static bool
is_sudden_shrink (struct roster *roster, size_t count)
{
  struct kernel *kernel = roster->base.kernel;
  if (count >= roster->peak_hosts)
    {
      kernel_timer_cancel (kernel, &roster->shrink_timer);
      roster->peak_hosts = count;
      return false;
    }
  if (roster->shrink_timer.slot == 0)
    kernel_timer_set (kernel, &roster->shrink_timer,
                      kernel_now (kernel) + ROSTER_SHRINK_DELAY_MS);
  return 4 * (count + 1) < 3 * (roster->peak_hosts + 1);
}

static void
drop_host_changes (struct roster *roster)
{
  while (roster->host_changes != NULL)
    {
      struct host_change *change = roster->host_changes;
      DL_DELETE (roster->host_changes, change);
      free (change);
    }
}

/* Applies the changes of registrations to the list of hosts, and informs the
   other modules.  Removals wait while too many hosts are gone at once.  */
static void
update_hosts (struct roster *roster)
{
  struct host_change *change, *next;
  bool withhold = is_sudden_shrink (roster, roster->host_keys);
  DL_FOREACH_SAFE (roster->host_changes, change, next)
  {
    if (change->removed && withhold)
      continue;
    if (change->removed)
      hosts_remove (roster->hosts, change->host.address.name);
    else
      hosts_add (roster->hosts, &change->host);
    DL_DELETE (roster->host_changes, change);
    free (change);
  }
  groups_hosts_changed (roster->groups);
  relay_hosts_changed (roster->relay);
  if (roster->host_lease != NULL)
    lease_set_renew (roster->host_lease, relay_serves (roster->relay)
                                             ? ROSTER_RELAY_RENEW_MS
                                             : ROSTER_HOST_RENEW_MS);
}

/* Drops withheld removals of the host NAME, which is registered again.  */
static void
drop_removals (struct roster *roster, const char *name)
{
  struct host_change *change, *next;
  DL_FOREACH_SAFE (roster->host_changes, change, next)
  {
    if (!change->removed || strcmp (change->host.address.name, name) != 0)
      continue;
    DL_DELETE (roster->host_changes, change);
    free (change);
  }
}

/* Records that the registration KEY of another host was read, or REMOVED.  The
   changes of one reply are applied together: in a large fleet hundreds of them
   arrive at once.  */
static void
note_host_change (struct roster *roster, const struct roster_key *key,
                  bool removed)
{
  struct host_change *change = mem_zalloc (sizeof *change);
  change->removed = !parse_registration (key, &change->host) || removed;
  if (strcmp (change->host.address.name, roster->host) == 0)
    {
      free (change);
      return;
    }
  if (!change->removed)
    drop_removals (roster, change->host.address.name);
  if (roster->host_changes == NULL)
    roster->host_changes_after_ms = mirror_changed_after_ms (roster->mirror);
  DL_APPEND (roster->host_changes, change);
}

static void
on_shrink_timer (void *arg)
{
  struct roster *roster = arg;
  roster->peak_hosts = 0;
  update_hosts (roster);
}

clk_ms
roster_registered_ms (const struct roster *roster)
{
  bool registered = roster->registered != 0 && !roster->unregistered
                    && !roster->leaving && lease_valid (roster->host_lease)
                    && registered_revision (roster) != 0;
  return registered ? roster->registered_ms : CLK_NEVER;
}

clk_ms
roster_hosts_confirmed_ms (const struct roster *roster)
{
  clk_ms confirmed_ms = mirror_confirmed_ms (roster->mirror);
  const struct host_change *change;
  DL_FOREACH (roster->host_changes, change)
  {
    if (!change->removed && roster->host_changes_after_ms < confirmed_ms)
      return roster->host_changes_after_ms;
  }
  return confirmed_ms;
}

void
roster_seek_holder (struct roster *roster, bool seek)
{
  mirror_set_eager (roster->mirror, seek);
}

void
roster_leave (struct roster *roster)
{
  if (roster->leaving)
    return;
  roster->leaving = true;
  kernel_timer_cancel (roster->base.kernel, &roster->claim_timer);
  lease_release (roster->duty_lease);
  lease_release (roster->host_lease);
}

static void
ignore_reply (void *arg, const struct platform_reply *reply)
{
  (void)arg;
  (void)reply; /* the mirror delivers the result */
}

/* Decodes the secret read from the store, unless it is already set.  */
static void
read_secret (struct roster *roster, const char *text)
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
  memcpy (roster->secret, secret, sizeof secret);
  roster->secret_known (roster->arg, secret);
}

/* Writes the secret if the store has none: the one that this host knows, or
   else a new one.  */
static void
ensure_secret (struct roster *roster)
{
  uint8_t fresh[ROSTER_SECRET_BYTES];
  char text[2 * ROSTER_SECRET_BYTES + 1];
  if (roster_find_key (roster, SECRET_KEY) != NULL)
    return;
  randombytes_buf (fresh, sizeof fresh);
  sodium_bin2hex (text, sizeof text,
                  roster->has_secret ? roster->secret : fresh, sizeof fresh);
  roster_write_key (roster, "secret", NULL, SECRET_KEY, text, 0, ignore_reply,
                    NULL);
}

/* Copies the host of the duty's value, "HOST INCARNATION", to NAME.  Returns
   NAME, or NULL if there is no holder.  */
static const char *
holder_name (const struct roster_key *key, char name[NAME_BYTES])
{
  if (key == NULL || sscanf (key->value, "%63s", name) != 1)
    return NULL;
  return name;
}

static void
on_old_duty_removed (void *arg, const struct platform_reply *reply)
{
  struct roster *roster = arg;
  roster_note_reply (roster, reply);
  if (reply->status != PLATFORM_OK)
    return;
  roster->removed_duty = true;
  mirror_expect (roster->mirror, reply->index);
  mirror_set_immediate (roster->mirror, true);
}

/* Removes the duty of an earlier process of this host, which has ended: other
   hosts would wait for its lease.  */
static void
remove_old_duty (struct roster *roster, const struct roster_key *key)
{
  if (roster->leaving)
    return;
  log_event (kernel_log (roster->base.kernel), LOG_NOTICE, "old_duty_removed",
             LOG_S ("holder", key->value), LOG_U ("token", key->revision));
  roster_write_key (roster, "duty", NULL, DUTY_KEY, NULL, key->revision,
                    on_old_duty_removed, roster);
}

static void
duty_changed (struct roster *roster)
{
  char holder[NAME_BYTES];
  const struct roster_key *key = roster_find_key (roster, DUTY_KEY);
  bool mine = key != NULL && strcmp (key->value, roster->self) == 0;
  if (!mine && holder_name (key, holder) != NULL
      && strcmp (holder, roster->host) == 0)
    remove_old_duty (roster, key);
  suspicions_set_holder (roster->suspicions, holder_name (key, holder));
  if (mine)
    ensure_secret (roster);
  log_event (kernel_log (roster->base.kernel), LOG_NOTICE, "duty",
             LOG_S ("holder", key != NULL ? key->value : NULL),
             LOG_U ("token", key != NULL ? key->revision : 0),
             LOG_U ("mine", mine));
  roster->removed_duty &= key == NULL;
  groups_set_monitoring (roster->groups, mine);
  mirror_set_immediate (roster->mirror, mine);
  permits_note_duty (roster->permits, holder_name (key, holder),
                     key != NULL ? key->revision : 0);
  if (key == NULL && roster->removed_duty)
    roster_claim_within (roster, 1);
  else if (key == NULL)
    roster_claim_soon (roster);
  else if (!mine && lease_wanted (roster->duty_lease) && !roster->claiming)
    lease_release (roster->duty_lease);
}

static void
drop_key (struct roster *roster, struct roster_key *key)
{
  bool duty = strcmp (key->name, DUTY_KEY) == 0;
  bool host = is_host_key (key->name);
  char own[KEY_BYTES];
  own_host_key (roster, own);
  bool was_own = strcmp (key->name, own) == 0;
  bool was_secret = strcmp (key->name, SECRET_KEY) == 0;
  if (is_report_key (key->name))
    roster_drop_report (roster, key);
  if (host && !was_own)
    {
      roster->host_keys--;
      note_host_change (roster, key, true);
    }
  HASH_DEL (roster->keys, key);
  free (key);
  /* The removed registration may be that of an earlier process.  */
  if (was_own)
    register_host (roster);
  /* Lost with a restoration of the store: the holder of the duty may be a host
     that does not know it.  */
  if (was_secret && roster->has_secret)
    ensure_secret (roster);
  if (duty)
    duty_changed (roster);
}

static void
on_item (void *arg, const struct platform_item *item)
{
  struct roster *roster = arg;
  struct roster_key *key = roster_find_key (roster, item->key);
  bool is_new = key == NULL;
  if (strlen (item->key) >= KEY_BYTES)
    return;
  if (is_new)
    {
      key = mem_zalloc (sizeof *key);
      text_copy (key->name, sizeof key->name, item->key);
      HASH_ADD_STR (roster->keys, name, key);
      if (is_report_key (key->name))
        roster_add_report (roster, key);
      roster->host_keys += is_other_host_key (roster, key->name);
    }
  key->listed = true;
  bool changed = is_new || key->revision != item->index;
  key->revision = item->index;
  key->created = item->created;
  /* A value that no host writes is kept as an empty one: its revision is
     needed to replace it.  */
  if (!text_copy (key->value, sizeof key->value, item->value))
    key->value[0] = '\0';
  if (changed && is_host_key (key->name))
    {
      note_host_change (roster, key, false);
      check_registration (roster);
    }
  if (is_report_key (key->name))
    roster_track_report (roster, key->name);
  if (strcmp (key->name, SECRET_KEY) == 0)
    read_secret (roster, key->value);
  if (!changed)
    return;
  if (strcmp (key->name, DUTY_KEY) == 0)
    duty_changed (roster);
}

static void
on_removed (void *arg, const char *name, uint64_t revision)
{
  struct roster *roster = arg;
  struct roster_key *key = roster_find_key (roster, name);
  if (key != NULL && key->revision <= revision)
    drop_key (roster, key);
  else if (key == NULL && strcmp (name, DUTY_KEY) == 0)
    roster_claim_soon (roster);
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
  if (roster_find_key (roster, DUTY_KEY) == NULL)
    roster_claim_within (roster, permits_fenced (roster->permits)
                                     ? ROSTER_START_JITTER_MS
                                     : ROSTER_URGENT_JITTER_MS);
}

/* Tells the relay whom to follow before everything else is read.  */
static bool
on_listed_first (void *arg)
{
  struct roster *roster = arg;
  update_hosts (roster);
  return registered_revision (roster) != 0;
}

static void
on_applied (void *arg)
{
  struct roster *roster = arg;
  if (roster->host_changes != NULL || !roster->hosts_listed)
    update_hosts (roster);
  roster->hosts_listed = true;
  if (roster->claim_checks)
    {
      kernel_timer_cancel (roster->base.kernel, &roster->claim_timer);
      roster_on_claim_timer (roster);
    }
}

static void
on_reachable_changed (void *arg, bool reachable)
{
  struct roster *roster = arg;
  set_store_status (roster, reachable ? PLATFORM_OK : PLATFORM_UNAVAILABLE);
  if (!reachable)
    return;
  lease_retry_now (roster->host_lease);
  lease_retry_now (roster->duty_lease);
  if (roster_find_key (roster, DUTY_KEY) == NULL)
    roster_claim_soon (roster);
}

static void
roster_start (struct module *module)
{
  struct roster *roster = (struct roster *)module;
  struct mirror_events events = { .prefix = PREFIX,
                                  .listed_first = on_listed_first,
                                  .item = on_item,
                                  .removed = on_removed,
                                  .begin_list = on_begin_list,
                                  .end_list = on_end_list,
                                  .applied = on_applied,
                                  .reachable_changed = on_reachable_changed,
                                  .arg = roster };
  snprintf (roster->self, sizeof roster->self, "%s %llu", roster->host,
            (unsigned long long)rng_u64 (kernel_rng (module->kernel)));
  roster->hosts = (struct hosts *)kernel_find (module->kernel, "hosts");
  roster->placement
      = (struct placement *)kernel_find (module->kernel, "placement");
  roster->groups = (struct groups *)kernel_find (module->kernel, "groups");
  roster->permits = (struct permits *)kernel_find (module->kernel, "permits");
  roster->mirror = (struct mirror *)kernel_find (module->kernel, "mirror");
  roster->relay = (struct relay *)kernel_find (module->kernel, "relay");
  relay_set_capacity (roster->relay, roster->capacity);
  placement_set_capacity (roster->placement, roster->capacity);
  roster->suspicions
      = (struct suspicions *)kernel_find (module->kernel, "suspicions");
  mirror_subscribe (roster->mirror, &events);
  roster->host_lease = lease_new (
      module->kernel, roster->store, "host_lease", ROSTER_HOST_LEASE_MS,
      ROSTER_HOST_RENEW_MS, host_lease_gained, host_lease_answered, roster);
  roster->duty_lease = lease_new (
      module->kernel, roster->store, "duty_lease", ROSTER_DUTY_LEASE_MS,
      ROSTER_DUTY_RENEW_MS, roster_duty_lease_gained, lease_answered, roster);
  roster->shrink_timer
      = (struct ktimer){ .fire = on_shrink_timer, .arg = roster };
  roster->claim_timer
      = (struct ktimer){ .fire = roster_on_claim_timer, .arg = roster };
  lease_acquire (roster->host_lease);
}

static void
roster_free (struct module *module)
{
  struct roster *roster = (struct roster *)module;
  struct roster_key *key, *next;
  struct roster_report_state *state, *following;
  kernel_timer_cancel (module->kernel, &roster->claim_timer);
  kernel_timer_cancel (module->kernel, &roster->shrink_timer);
  drop_host_changes (roster);
  while (roster->verifications != NULL)
    {
      struct verification *check = roster->verifications;
      DL_DELETE (roster->verifications, check);
      free (check);
    }
  lease_free (roster->host_lease);
  lease_free (roster->duty_lease);
  for (key = roster->keys; key != NULL; key = key->hh.next)
    if (is_report_key (key->name))
      roster_drop_report (roster, key);
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
  snprintf (roster->registration, sizeof roster->registration,
            "%s %s %u %" PRIu32, options->zone, options->address,
            options->port, options->capacity);
  roster->capacity = options->capacity;
  roster->secret_known = options->secret_known;
  roster->arg = options->arg;
  return roster;
}

struct module *
roster_module (struct roster *roster)
{
  return &roster->base;
}
