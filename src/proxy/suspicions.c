#include "proxy/suspicions.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

#include "kernel/mem.h"
#include "kernel/text.h"
#include "proxy/distance.h"
#include "proxy/hosts.h"

/* A report of this host.  */
struct own_report
{
  char group[NAME_BYTES];
  char instance[NAME_BYTES]; /* empty: no report */
  bool withdrawn;            /* the withdrawal has not been sent */
  UT_hash_handle hh;
};

/* The latest report of another host about a group.  */
struct received_report
{
  struct reported_group *group;
  char host[NAME_BYTES];
  char zone[NAME_BYTES];
  char instance[NAME_BYTES];
  clk_ms received_ms;
  struct received_report *prev; /* of all, in the order of receiving */
  struct received_report *next;
  UT_hash_handle hh; /* in its group, by host */
};

/* A group about which hosts have reported.  While a store or a group can't be
   reached, every host does, so its reports are found without a search among
   those of other groups.  */
struct reported_group
{
  char name[NAME_BYTES];
  struct received_report *reports;
  UT_hash_handle hh;
};

struct suspicions
{
  struct module base;
  struct hosts *hosts;
  struct distance *distance;
  char holder[NAME_BYTES]; /* of the promotion duty; empty: none */
  uint64_t hosts_version;  /* RECEIVERS are valid for it */
  size_t receiver_count;
  const struct other_host *receivers[SUSPICIONS_FANOUT];
  struct own_report *reports;
  struct reported_group *groups;
  struct received_report *received; /* oldest first */
  struct ktimer send_timer;
};

static void
send_report (struct suspicions *suspicions, const struct own_report *report,
             const struct peer_address *to)
{
  peer_body body = { .kind = PEER_KIND_SUSPICION };
  body.peer_body_u.suspicion
      = (peer_suspicion){ .database = (char *)report->group,
                          .primary = (char *)report->instance,
                          .suspected = report->instance[0] != '\0' };
  /* The reply is ignored: the report is repeated.  */
  hosts_call (suspicions->hosts, to, &body, SUSPICIONS_CALL_TIMEOUT_MS, NULL,
              NULL);
}

static uint64_t
receiver_score (const struct other_host *host)
{
  return XXH64 (host->address.name, strlen (host->address.name), 0);
}

/* Inserts HOST in the order of scores, and drops the last of more than
   FANOUT.  */
static void
insert_receiver (struct suspicions *suspicions, const struct other_host *host,
                 size_t fanout)
{
  uint64_t score = receiver_score (host);
  size_t at = suspicions->receiver_count;
  while (at > 0 && receiver_score (suspicions->receivers[at - 1]) < score)
    at--;
  if (at == fanout)
    return;
  if (suspicions->receiver_count < fanout)
    suspicions->receiver_count++;
  for (size_t i = suspicions->receiver_count - 1; i > at; i--)
    suspicions->receivers[i] = suspicions->receivers[i - 1];
  suspicions->receivers[at] = host;
}

/* Determines the hosts that receive reports.  */
static void
update_receivers (struct suspicions *suspicions)
{
  size_t count, fanout = SUSPICIONS_FANOUT;
  const struct other_host *const *others
      = hosts_list (suspicions->hosts, &count);
  if (suspicions->hosts_version == hosts_version (suspicions->hosts))
    return;
  suspicions->hosts_version = hosts_version (suspicions->hosts);
  if (count > SUSPICIONS_FULL_HOSTS)
    fanout = (size_t)SUSPICIONS_FANOUT * SUSPICIONS_FULL_HOSTS / count;
  if (fanout < SUSPICIONS_MIN_FANOUT)
    fanout = SUSPICIONS_MIN_FANOUT;
  suspicions->receiver_count = 0;
  for (size_t i = 0; i < count; i++)
    insert_receiver (suspicions, others[i], fanout);
}

static void
send_report_to_hosts (struct suspicions *suspicions,
                      const struct own_report *report)
{
  const struct other_host *holder
      = hosts_find (suspicions->hosts, suspicions->holder);
  size_t far = 0;
  update_receivers (suspicions);
  for (size_t i = 0; i < suspicions->receiver_count; i++)
    {
      const struct other_host *host = suspicions->receivers[i];
      bool is_far
          = distance_to (suspicions->distance, host->zone) == DISTANCE_FAR;
      far += is_far;
      if (is_far && far > SUSPICIONS_FAR_FANOUT && host != holder)
        continue;
      if (host == holder)
        holder = NULL;
      send_report (suspicions, report, &host->address);
    }
  if (holder != NULL)
    send_report (suspicions, report, &holder->address);
}

static void
drop_report (struct suspicions *suspicions, struct received_report *entry)
{
  DL_DELETE (suspicions->received, entry);
  HASH_DEL (entry->group->reports, entry);
  free (entry);
}

static void
remove_stale (struct suspicions *suspicions)
{
  clk_ms now_ms = kernel_now (suspicions->base.kernel);
  while (suspicions->received != NULL
         && now_ms - suspicions->received->received_ms > SUSPICIONS_VALID_MS)
    drop_report (suspicions, suspicions->received);
}

static void
on_send_timer (void *arg)
{
  struct suspicions *suspicions = arg;
  struct kernel *kernel = suspicions->base.kernel;
  struct own_report *report;
  bool again = false;
  remove_stale (suspicions);
  for (report = suspicions->reports; report != NULL; report = report->hh.next)
    {
      if (report->instance[0] == '\0' && !report->withdrawn)
        continue;
      again |= report->instance[0] != '\0';
      report->withdrawn = false;
      send_report_to_hosts (suspicions, report);
    }
  if (again)
    kernel_timer_set (kernel, &suspicions->send_timer,
                      kernel_now (kernel) + SUSPICIONS_SEND_INTERVAL_MS);
}

void
suspicions_report (struct suspicions *suspicions, const char *group,
                   const char *instance)
{
  struct kernel *kernel = suspicions->base.kernel;
  struct own_report *report;
  HASH_FIND_STR (suspicions->reports, group, report);
  if (report == NULL && instance == NULL)
    return;
  if (report == NULL)
    {
      report = mem_zalloc (sizeof *report);
      text_copy (report->group, sizeof report->group, group);
      HASH_ADD_STR (suspicions->reports, group, report);
    }
  const char *wanted = instance != NULL ? instance : "";
  if (strcmp (report->instance, wanted) == 0
      || !text_copy (report->instance, sizeof report->instance, wanted))
    return;
  report->withdrawn = instance == NULL;
  kernel_timer_set (kernel, &suspicions->send_timer, kernel_now (kernel));
}

static struct reported_group *
find_group (const struct suspicions *suspicions, const char *name)
{
  struct reported_group *group;
  HASH_FIND_STR (suspicions->groups, name, group);
  return group;
}

static struct received_report *
find_received (const struct reported_group *group, const char *host)
{
  struct received_report *entry;
  HASH_FIND_STR (group->reports, host, entry);
  return entry;
}

/* Returns the report of the sender of MESSAGE about GROUP, which is added if
   there is none; NULL if a name is too long.  */
static struct received_report *
ensure_received (struct suspicions *suspicions, const char *name,
                 const peer_message *message)
{
  struct reported_group *group = find_group (suspicions, name);
  struct received_report *entry
      = group != NULL ? find_received (group, message->from.host) : NULL;
  if (entry != NULL)
    return entry;
  if (strlen (name) >= NAME_BYTES || strlen (message->from.host) >= NAME_BYTES
      || strlen (message->from.domain) >= NAME_BYTES)
    return NULL;
  if (group == NULL)
    {
      group = mem_zalloc (sizeof *group);
      text_copy (group->name, NAME_BYTES, name);
      HASH_ADD_STR (suspicions->groups, name, group);
    }
  entry = mem_zalloc (sizeof *entry);
  entry->group = group;
  text_copy (entry->host, NAME_BYTES, message->from.host);
  text_copy (entry->zone, NAME_BYTES, message->from.domain);
  HASH_ADD_STR (group->reports, host, entry);
  DL_APPEND (suspicions->received, entry);
  return entry;
}

static void
record_report (struct suspicions *suspicions, const peer_message *message)
{
  const peer_suspicion *report = &message->body.peer_body_u.suspicion;
  remove_stale (suspicions);
  struct received_report *entry
      = ensure_received (suspicions, report->database, message);
  if (entry == NULL
      || !text_copy (entry->instance, NAME_BYTES, report->primary))
    return;
  entry->received_ms = kernel_now (suspicions->base.kernel);
  DL_DELETE (suspicions->received, entry);
  DL_APPEND (suspicions->received, entry);
}

static void
on_suspicion (void *arg, uint64_t call, const peer_message *message)
{
  struct suspicions *suspicions = arg;
  record_report (suspicions, message);
  hosts_reply (suspicions->hosts, call,
               &(peer_body){ .kind = PEER_KIND_NONE });
}

void
suspicions_set_holder (struct suspicions *suspicions, const char *host)
{
  if (host == NULL || !text_copy (suspicions->holder, NAME_BYTES, host))
    suspicions->holder[0] = '\0';
}

static bool
is_valid (const struct suspicions *suspicions,
          const struct received_report *entry)
{
  return kernel_now (suspicions->base.kernel) - entry->received_ms
         <= SUSPICIONS_VALID_MS;
}

void
suspicions_each (struct suspicions *suspicions, const char *group,
                 const char *instance,
                 void (*fn) (void *arg, const char *host, const char *zone),
                 void *arg)
{
  const struct reported_group *reported = find_group (suspicions, group);
  const struct received_report *entry
      = reported != NULL ? reported->reports : NULL;
  for (; entry != NULL; entry = entry->hh.next)
    if (is_valid (suspicions, entry)
        && strcmp (entry->instance, instance) == 0)
      fn (arg, entry->host, entry->zone);
}

bool
suspicions_has (const struct suspicions *suspicions, const char *group,
                const char *instance, const char *host)
{
  const struct reported_group *reported = find_group (suspicions, group);
  const struct received_report *entry
      = reported != NULL ? find_received (reported, host) : NULL;
  return entry != NULL && is_valid (suspicions, entry)
         && strcmp (entry->instance, instance) == 0;
}

bool
suspicions_any (const struct suspicions *suspicions)
{
  return suspicions->received != NULL
         && is_valid (suspicions, suspicions->received->prev);
}

static void
suspicions_free (struct module *module)
{
  struct suspicions *suspicions = (struct suspicions *)module;
  struct own_report *report, *next_report;
  struct reported_group *group, *next_group;
  kernel_timer_cancel (module->kernel, &suspicions->send_timer);
  HASH_ITER (hh, suspicions->reports, report, next_report)
  {
    HASH_DEL (suspicions->reports, report);
    free (report);
  }
  while (suspicions->received != NULL)
    drop_report (suspicions, suspicions->received);
  HASH_ITER (hh, suspicions->groups, group, next_group)
  {
    HASH_DEL (suspicions->groups, group);
    free (group);
  }
  free (suspicions);
}

static void
suspicions_start (struct module *module)
{
  struct suspicions *suspicions = (struct suspicions *)module;
  suspicions->hosts = (struct hosts *)kernel_find (module->kernel, "hosts");
  suspicions->distance
      = (struct distance *)kernel_find (module->kernel, "distance");
  hosts_handle (suspicions->hosts, PEER_KIND_SUSPICION, on_suspicion,
                suspicions);
}

static const struct module_ops suspicions_ops
    = { .start = suspicions_start, .free = suspicions_free };

struct suspicions *
suspicions_new (void)
{
  struct suspicions *suspicions = mem_zalloc (sizeof *suspicions);
  suspicions->base.ops = &suspicions_ops;
  suspicions->base.name = "suspicions";
  suspicions->send_timer
      = (struct ktimer){ .fire = on_send_timer, .arg = suspicions };
  return suspicions;
}

struct module *
suspicions_module (struct suspicions *suspicions)
{
  return &suspicions->base;
}
