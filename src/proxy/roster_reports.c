/* Reports of primaries, and of the store, that hosts can't reach.  */

#include "proxy/roster_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/text.h"

static void send_report (struct roster_report_state *state);

static void
report_written (void *arg, const struct platform_reply *reply)
{
  struct roster_report_state *state = arg;
  roster_note_store (state->roster, reply->status);
  if (reply->status == PLATFORM_OK)
    mirror_expect (state->roster->mirror, reply->index);
  state->call = 0;
  state->again_ms = roster_now (state->roster) + ROSTER_REPORT_MS;
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
  const struct roster_key *key = roster_find_key (roster, name);
  const char *stands = key != NULL ? key->value : "";
  if (state->call != 0 || !lease_valid (roster->host_lease)
      || !mirror_store_reachable (roster->mirror)
      || roster_now (roster) < state->again_ms
      || strcmp (state->group, WITNESS_STORE) == 0
      || strcmp (stands, state->wanted) == 0)
    return;
  state->call = 1;
  roster_write_key (roster, roster->host_lease, name,
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
  witness_report (roster->suspicions, group, instance);
  send_report (state);
}

/* Takes note of a report of this host, which may be that of an earlier
   process: what is not wanted is then removed.  */
void
roster_adopt_report (struct roster *roster, const char *name)
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

/* Whether REPORT, "INSTANCE DOMAIN", is about INSTANCE.  */
static bool
report_names (const char *report, const char *instance)
{
  size_t length = strlen (instance);
  return strncmp (report, instance, length) == 0 && report[length] == ' ';
}

/* Whether REPORT, "INSTANCE DOMAIN", is about INSTANCE, by a host of
   DOMAIN.  */
static bool
report_matches (const char *report, const char *instance, const char *domain)
{
  return report_names (report, instance)
         && strcmp (report + strlen (instance) + 1, domain) == 0;
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
  const struct roster_key *key = roster_find_key (counted->roster, name);
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
  witness_each (roster->suspicions, group, instance, count_voice, &counted);
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
  return roster_find_key (roster, own) == NULL;
}

bool
roster_host_reports (const struct roster *roster, const char *group,
                     const char *instance, const char *host)
{
  char name[KEY_BYTES];
  snprintf (name, sizeof name, REPORTS_PREFIX "%s/%s", group, host);
  const struct roster_key *key = roster_find_key (roster, name);
  if (key != NULL && report_names (key->value, instance))
    return true;
  return witness_hears (roster->suspicions, group, instance, host);
}

/* A failure domain, and its hosts with connections to a group.  */
struct report_domain
{
  const char *name;
  size_t hosts;
};

struct report_domains
{
  size_t count;
  struct report_domain items[ROSTER_DOMAINS];
};

static void
count_hosts_of (struct report_domains *domains, const char *zone, size_t hosts)
{
  size_t i = 0;
  while (i < domains->count && strcmp (domains->items[i].name, zone) != 0)
    i++;
  if (i == ROSTER_DOMAINS)
    return;
  if (i == domains->count)
    domains->items[domains->count++] = (struct report_domain){ .name = zone };
  domains->items[i].hosts += hosts;
}

/* Lists the failure domains, and counts the hosts that have connections to
   GROUP; this host counts while its registration is on its way.  */
static void
list_domains (const struct roster *roster, const char *group,
              struct report_domains *domains)
{
  const struct placed_group *placed
      = placement_find (roster->placement, group);
  size_t count;
  const struct other_host *others = hosts_list (roster->hosts, &count);
  count_hosts_of (domains, roster->zone, placed->served_here);
  for (size_t i = 0; i < placed->count; i++)
    count_hosts_of (domains, placed->hosts[i]->zone, 1);
  for (size_t i = 0; i < count; i++)
    count_hosts_of (domains, others[i].zone, 0);
}

/* Whether there is any report at all, so that most of the time none need be
   counted.  */
static bool
has_reports (const struct roster *roster)
{
  const struct roster_report_state *state;
  for (state = roster->reports; state != NULL; state = state->hh.next)
    if (state->wanted[0] != '\0')
      return true;
  return roster->report_keys > 0 || witness_hears_any (roster->suspicions);
}

struct roster_report_count
roster_count_reports (const struct roster *roster, const char *group,
                      const char *instance)
{
  struct report_domains domains = { 0 };
  struct roster_report_count view = { 0 };
  if (!has_reports (roster))
    return view;
  list_domains (roster, group, &domains);
  for (size_t i = 0; i < domains.count; i++)
    {
      const struct report_domain *domain = &domains.items[i];
      size_t reports = count_reports (roster, group, instance, domain->name);
      if (strcmp (domain->name, roster->zone) == 0)
        reports += reports_itself (roster, group, instance);
      /* Also those of the holder of the duty, which may not serve GROUP.  */
      view.hosts_reporting += reports;
      if (domain->hosts == 0)
        continue;
      view.hosts += domain->hosts;
      view.domains++;
      view.domains_reporting += 3 * reports >= 2 * domain->hosts;
    }
  return view;
}
