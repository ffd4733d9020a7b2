#include <stdio.h>
#include <string.h>

#include "core/monitor.h"
#include "kernel/mutant.h"

/* Interval between queries of the consulted hosts while the primary is
   suspected, and the timeout of one.  */
#define QUERY_INTERVAL_MS 250
#define QUERY_TIMEOUT_MS 400

/* Older answers are ignored.  */
#define ANSWER_MAX_AGE_MS 1500

#define KEY_BYTES ((size_t)PATH_BYTES + sizeof "failover/")

static clk_ms
now (const struct monitor *monitor)
{
  return kernel_now (monitor->env->kernel);
}

static struct consulted_host *
find_consulted (struct monitor *monitor, const char *host)
{
  for (size_t i = 0; i < MONITOR_CONSULTED_HOSTS; i++)
    if (strcmp (monitor->consulted_hosts[i].host.name, host) == 0)
      return &monitor->consulted_hosts[i];
  return NULL;
}

static void
clear_consulted (struct consulted_host *queried)
{
  if (queried->call != 0)
    peers_cancel (queried->monitor->env->peers, queried->call);
  memset (queried, 0, sizeof *queried);
}

void
monitor_clear_consulted (struct monitor *monitor)
{
  for (size_t i = 0; i < MONITOR_CONSULTED_HOSTS; i++)
    if (monitor->consulted_hosts[i].monitor != NULL)
      clear_consulted (&monitor->consulted_hosts[i]);
}

static void
set_consulted (struct monitor *monitor, size_t i, const struct member *member)
{
  struct consulted_host *queried = &monitor->consulted_hosts[i];
  if (strcmp (queried->host.name, member->address.name) == 0
      && queried->host.incarnation == member->address.incarnation)
    return;
  if (queried->monitor != NULL)
    clear_consulted (queried);
  queried->monitor = monitor;
  queried->host = member->address;
  memcpy (queried->domain, member->domain, NAME_BYTES);
}

/* Chooses a host in the primary's failure domain.  If it does not answer
   either, the whole domain is taken to be unreachable.  */
static void
choose_domain_host (struct monitor *monitor, const struct term_record *record)
{
  const struct member *host;
  size_t primary = monitor_find_instance (monitor, record->primary);
  struct consulted_host *queried
      = &monitor->consulted_hosts[MONITOR_CONFIRMING_HOSTS];
  if (primary == monitor->instance_count
      || members_place (monitor->env->members, monitor->database,
                        monitor->instances[primary].domain, &host, 1)
             == 0)
    {
      if (queried->monitor != NULL)
        clear_consulted (queried);
      return;
    }
  set_consulted (monitor, MONITOR_CONFIRMING_HOSTS, host);
}

static void
choose_hosts (struct monitor *monitor, const struct term_record *record)
{
  const struct member *hosts[MONITOR_CONFIRMING_HOSTS];
  uint64_t generation = members_generation (monitor->env->members);
  if (generation == monitor->members_generation
      && monitor->consulted_hosts[0].monitor != NULL)
    return;
  monitor->members_generation = generation;
  char key[KEY_BYTES];
  snprintf (key, sizeof key, "failover/%s", monitor->database);
  size_t count = members_place_spread (monitor->env->members, key, hosts,
                                       MONITOR_CONFIRMING_HOSTS);
  for (size_t i = 0; i < MONITOR_CONFIRMING_HOSTS; i++)
    {
      if (i < count)
        set_consulted (monitor, i, hosts[i]);
      else if (monitor->consulted_hosts[i].monitor != NULL)
        clear_consulted (&monitor->consulted_hosts[i]);
    }
  choose_domain_host (monitor, record);
}

static void
store_answer (struct consulted_host *queried, const peer_suspicion *suspicion)
{
  queried->term = suspicion->term;
  queried->suspected = suspicion->suspected;
  queried->failed = false;
  queried->answer_ms = now (queried->monitor);
}

static void
query_done (void *arg, enum peer_status status, const peer_message *reply)
{
  struct consulted_host *queried = arg;
  queried->call = 0;
  if (status == PEER_OK && reply->body.kind == PEER_KIND_SUSPICION)
    {
      store_answer (queried, &reply->body.peer_body_u.suspicion);
    }
  else
    {
      queried->failed = true;
      queried->suspected = false;
      queried->answer_ms = now (queried->monitor);
    }
  monitor_wake (queried->monitor);
}

static void
query_host (struct monitor *monitor, struct consulted_host *queried,
            const struct term_record *record)
{
  const struct member *self = members_self (monitor->env->members);
  if (queried->monitor == NULL || queried->call != 0
      || strcmp (queried->host.name, self->address.name) == 0)
    return;
  const peer_body body
      = { .kind = PEER_KIND_SUSPICION,
          .peer_body_u.suspicion = { .database = monitor->database,
                                     .term = record->term,
                                     .primary = (char *)record->primary,
                                     .suspected = monitor->suspected } };
  queried->call = peers_call (monitor->env->peers, &queried->host, &body,
                              QUERY_TIMEOUT_MS, query_done, queried);
}

/* Queries only while the primary is suspected, so that healthy databases
   cause no messages.  */
void
monitor_query_hosts (struct monitor *monitor)
{
  const struct term_record *record = monitor_record (monitor);
  if (!monitor->suspected || record == NULL
      || now (monitor) < monitor->query_due_ms)
    return;
  monitor->query_due_ms = now (monitor) + QUERY_INTERVAL_MS;
  choose_hosts (monitor, record);
  for (size_t i = 0; i < MONITOR_CONSULTED_HOSTS; i++)
    query_host (monitor, &monitor->consulted_hosts[i], record);
}

void
monitor_receive (struct monitor *monitor, const peer_message *message)
{
  struct consulted_host *queried
      = find_consulted (monitor, message->from.host);
  if (queried == NULL
      || queried->host.incarnation != message->from.incarnation)
    return;
  store_answer (queried, &message->body.peer_body_u.suspicion);
  monitor_wake (monitor);
}

static bool
is_fresh (const struct monitor *monitor, const struct consulted_host *queried)
{
  const struct term_record *record = monitor_record (monitor);
  return queried->monitor != NULL && record != NULL && queried->answer_ms != 0
         && now (monitor) - queried->answer_ms < ANSWER_MAX_AGE_MS
         && (queried->failed || queried->term == record->term);
}

bool
monitor_is_confirmed (const struct monitor *monitor)
{
  const struct member *self = members_self (monitor->env->members);
  size_t hosts = 1, others = 0;
  bool two_domains = false, other_domain = false;
  for (size_t i = 0; i < MONITOR_CONFIRMING_HOSTS; i++)
    {
      const struct consulted_host *queried = &monitor->consulted_hosts[i];
      if (queried->monitor == NULL
          || strcmp (queried->host.name, self->address.name) == 0)
        continue;
      bool same_domain = strcmp (queried->domain, self->domain) == 0;
      others++;
      other_domain = other_domain || !same_domain;
      if (!queried->suspected || !is_fresh (monitor, queried))
        continue;
      hosts++;
      two_domains = two_domains || !same_domain;
    }
  if (MUTANT (confirm_alone))
    return true;
  if (other_domain)
    return two_domains;
  return hosts >= 2 || others == 0;
}

bool
monitor_domain_is_down (const struct monitor *monitor, bool *known)
{
  const struct consulted_host *queried
      = &monitor->consulted_hosts[MONITOR_CONFIRMING_HOSTS];
  const struct member *self = members_self (monitor->env->members);
  *known = true;
  if (queried->monitor == NULL
      || strcmp (queried->host.name, self->address.name) == 0)
    return false;
  *known = is_fresh (monitor, queried);
  return *known && queried->failed;
}
