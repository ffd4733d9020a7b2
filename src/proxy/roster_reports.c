/* Reports of hosts that can't reach a primary or the store.  */

#include "proxy/roster_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/text.h"

static void send_report (struct roster_report_state *state);

static void
on_report_written (void *arg, const struct platform_reply *reply)
{
  struct roster_report_state *state = arg;
  roster_note_reply (state->roster, reply);
  if (reply->status == PLATFORM_OK)
    mirror_expect (state->roster->mirror, reply->index);
  state->call = 0;
  state->next_write_ms
      = roster_now (state->roster) + ROSTER_REPORT_INTERVAL_MS;
  if (reply->status == PLATFORM_NOT_FOUND)
    lease_lost (state->roster->host_lease);
}

static void
report_key (const struct roster_report_state *state, char out[KEY_BYTES])
{
  snprintf (out, KEY_BYTES, REPORTS_PREFIX "%s/%s", state->group,
            state->roster->host);
}

/* Writes or removes the report if the last known state of the store differs
   from the wanted one.  */
static void
send_report (struct roster_report_state *state)
{
  struct roster *roster = state->roster;
  char name[KEY_BYTES];
  report_key (state, name);
  const struct roster_key *key = roster_find_key (roster, name);
  const char *stored = key != NULL ? key->value : "";
  if (state->call != 0 || !lease_valid (roster->host_lease)
      || !mirror_store_reachable (roster->mirror)
      || roster_now (roster) < state->next_write_ms
      || strcmp (state->group, SUSPICIONS_STORE) == 0
      || strcmp (stored, state->wanted) == 0)
    return;
  state->call = 1;
  roster_write_key (roster, "report", roster->host_lease, name,
                    state->wanted[0] != '\0' ? state->wanted : NULL,
                    key != NULL ? key->revision : 0, on_report_written, state);
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

/* Returns whether this host tells other hosts about GROUP directly.  In a
   large fleet only some do so for the store, which all hosts use.  */
static bool
is_witness (const struct roster *roster, const char *group)
{
  return strcmp (group, SUSPICIONS_STORE) != 0
         || placement_find (roster->placement, group)->served_here;
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
  if (is_witness (roster, group) || instance == NULL)
    suspicions_report (roster->suspicions, group, instance);
  send_report (state);
}

/* Copies the group of the report KEY to GROUP and returns the host; NULL if
   the key is malformed.  Only the names of groups may contain a slash.  */
static const char *
split_report_key (const char *key, char group[NAME_BYTES])
{
  const char *start = key + strlen (REPORTS_PREFIX);
  const char *slash = strrchr (start, '/');
  if (slash == NULL || (size_t)(slash - start) >= NAME_BYTES)
    return NULL;
  snprintf (group, NAME_BYTES, "%.*s", (int)(slash - start), start);
  return slash + 1;
}

/* The report may be that of an earlier process of this host.  Once tracked, it
   is removed if it is not wanted.  */
void
roster_track_report (struct roster *roster, const char *name)
{
  char group[NAME_BYTES];
  const char *host = split_report_key (name, group);
  if (host != NULL && strcmp (host, roster->host) == 0)
    ensure_report (roster, group);
}

static struct report_group *
find_report_group (const struct roster *roster, const char *name)
{
  struct report_group *group;
  HASH_FIND_STR (roster->report_groups, name, group);
  return group;
}

void
roster_add_report (struct roster *roster, struct roster_key *key)
{
  char name[NAME_BYTES];
  if (split_report_key (key->name, name) == NULL)
    return;
  struct report_group *group = find_report_group (roster, name);
  if (group == NULL)
    {
      group = mem_zalloc (sizeof *group);
      text_copy (group->name, sizeof group->name, name);
      HASH_ADD_STR (roster->report_groups, name, group);
    }
  DL_APPEND (group->reports, key);
}

void
roster_drop_report (struct roster *roster, struct roster_key *key)
{
  char name[NAME_BYTES];
  if (split_report_key (key->name, name) == NULL)
    return;
  struct report_group *group = find_report_group (roster, name);
  DL_DELETE (group->reports, key);
  if (group->reports != NULL)
    return;
  HASH_DEL (roster->report_groups, group);
  free (group);
}

/* Returns whether REPORT, "INSTANCE DOMAIN", is about INSTANCE.  */
static bool
report_names (const char *report, const char *instance)
{
  size_t length = strlen (instance);
  return strncmp (report, instance, length) == 0 && report[length] == ' ';
}

/* Returns whether REPORT, "INSTANCE DOMAIN", is about INSTANCE and comes from
   a host of DOMAIN.  */
static bool
report_matches (const char *report, const char *instance, const char *domain)
{
  return report_names (report, instance)
         && strcmp (report + strlen (instance) + 1, domain) == 0;
}

/* Returns whether this host reports INSTANCE and that report is not in the
   store.  */
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
  return suspicions_has (roster->suspicions, group, instance, host);
}

/* A failure domain: its number of hosts with connections to a group, and of
   hosts that report an instance.  */
struct report_domain
{
  const char *name;
  size_t hosts;
  size_t reporting;
};

struct report_domains
{
  const struct roster *roster;
  const char *group;
  const char *instance;
  size_t count;
  struct report_domain items[ROSTER_MAX_DOMAINS];
};

/* Returns the domain ZONE, which is added if there is room.  */
static struct report_domain *
ensure_report_domain (struct report_domains *domains, const char *zone)
{
  size_t i = 0;
  while (i < domains->count && strcmp (domains->items[i].name, zone) != 0)
    i++;
  if (i == ROSTER_MAX_DOMAINS)
    return NULL;
  if (i == domains->count)
    domains->items[domains->count++] = (struct report_domain){ .name = zone };
  return &domains->items[i];
}

static void
add_domain_hosts (struct report_domains *domains, const char *zone,
                  size_t hosts)
{
  struct report_domain *domain = ensure_report_domain (domains, zone);
  if (domain != NULL)
    domain->hosts += hosts;
}

static void
add_report (struct report_domains *domains, const char *zone)
{
  struct report_domain *domain = ensure_report_domain (domains, zone);
  if (domain != NULL)
    domain->reporting++;
}

static bool
is_in_store (const struct report_domains *domains, const char *host)
{
  char name[KEY_BYTES];
  snprintf (name, sizeof name, REPORTS_PREFIX "%s/%s", domains->group, host);
  const struct roster_key *key = roster_find_key (domains->roster, name);
  return key != NULL && report_names (key->value, domains->instance);
}

/* Counts the direct report of HOST unless it is also in the store.  */
static void
add_direct_report (void *arg, const char *host, const char *zone)
{
  struct report_domains *domains = arg;
  if (!is_in_store (domains, host))
    add_report (domains, zone);
}

/* Counts the reports in the store and by direct messages.  */
static void
count_reports (struct report_domains *domains)
{
  const struct roster *roster = domains->roster;
  const struct report_group *group
      = find_report_group (roster, domains->group);
  const struct roster_key *key = group != NULL ? group->reports : NULL;
  for (; key != NULL; key = key->next)
    if (report_names (key->value, domains->instance))
      add_report (domains, key->value + strlen (domains->instance) + 1);
  suspicions_each (roster->suspicions, domains->group, domains->instance,
                   add_direct_report, domains);
}

/* Lists the failure domains and counts their hosts that have connections to
   GROUP.  This host counts even before its registration is complete.  */
static void
list_domains (const struct roster *roster, const char *group,
              struct report_domains *domains)
{
  const struct placed_group *placed
      = placement_find (roster->placement, group);
  add_domain_hosts (domains, roster->zone, placed->served_here);
  for (size_t i = 0; i < placed->count; i++)
    add_domain_hosts (domains, placed->hosts[i]->zone, 1);
}

/* Returns whether any report exists.  In normal operation none does, and
   nothing needs to be counted.  */
static bool
has_reports (const struct roster *roster)
{
  const struct roster_report_state *state;
  for (state = roster->reports; state != NULL; state = state->hh.next)
    if (state->wanted[0] != '\0')
      return true;
  return roster->report_groups != NULL || suspicions_any (roster->suspicions);
}

struct roster_report_count
roster_count_reports (const struct roster *roster, const char *group,
                      const char *instance)
{
  struct report_domains domains
      = { .roster = roster, .group = group, .instance = instance };
  struct roster_report_count counts = { 0 };
  if (!has_reports (roster))
    return counts;
  list_domains (roster, group, &domains);
  count_reports (&domains);
  for (size_t i = 0; i < domains.count; i++)
    {
      const struct report_domain *domain = &domains.items[i];
      size_t reports = domain->reporting;
      if (strcmp (domain->name, roster->zone) == 0)
        reports += reports_itself (roster, group, instance);
      /* Includes the holder of the duty, which may not serve GROUP.  */
      counts.hosts_reporting += reports;
      if (domain->hosts == 0)
        continue;
      counts.hosts += domain->hosts;
      counts.domains++;
      counts.domains_reporting += 3 * reports >= 2 * domain->hosts;
    }
  return counts;
}
