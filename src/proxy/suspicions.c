#include "proxy/suspicions.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "kernel/mem.h"
#include "kernel/text.h"
#include "proxy/hosts.h"

/* What this host reports.  */
struct own_report
{
  char group[NAME_BYTES];
  char instance[NAME_BYTES]; /* empty: nothing */
  bool taken_back;           /* still to be told */
  UT_hash_handle hh;
};

/* What another host reported last of a group.  */
struct voice
{
  char host[NAME_BYTES];
  char zone[NAME_BYTES];
  char group[NAME_BYTES];
  char instance[NAME_BYTES];
  clk_ms heard_ms;
  struct voice *prev;
  struct voice *next;
};

struct suspicions
{
  struct module base;
  struct hosts *hosts;
  char holder[NAME_BYTES]; /* of the duty; empty: none */
  struct own_report *reports;
  struct voice *voices;
  struct ktimer tell;
};

static void
tell_host (struct suspicions *suspicions, const struct own_report *report,
           const struct peer_address *to)
{
  peer_body body = { .kind = PEER_KIND_SUSPICION };
  body.peer_body_u.suspicion
      = (peer_suspicion){ .database = (char *)report->group,
                          .primary = (char *)report->instance,
                          .suspected = report->instance[0] != '\0' };
  /* Told again soon, whatever comes of it.  */
  hosts_call (suspicions->hosts, to, &body, WITNESS_CALL_MS, NULL, NULL);
}

static void
tell_hosts (struct suspicions *suspicions, const struct own_report *report)
{
  size_t count;
  const struct other_host *others = hosts_list (suspicions->hosts, &count);
  for (size_t i = 0; i < count; i++)
    if (i < WITNESS_FANOUT
        || strcmp (others[i].address.name, suspicions->holder) == 0)
      tell_host (suspicions, report, &others[i].address);
}

static void
drop_stale (struct suspicions *suspicions)
{
  clk_ms now_ms = kernel_now (suspicions->base.kernel);
  struct voice *voice, *next;
  DL_FOREACH_SAFE (suspicions->voices, voice, next)
  {
    if (now_ms - voice->heard_ms <= WITNESS_FRESH_MS)
      continue;
    DL_DELETE (suspicions->voices, voice);
    free (voice);
  }
}

static void
on_tell (void *arg)
{
  struct suspicions *suspicions = arg;
  struct kernel *kernel = suspicions->base.kernel;
  struct own_report *report;
  bool again = false;
  drop_stale (suspicions);
  for (report = suspicions->reports; report != NULL; report = report->hh.next)
    {
      if (report->instance[0] == '\0' && !report->taken_back)
        continue;
      again |= report->instance[0] != '\0';
      report->taken_back = false;
      tell_hosts (suspicions, report);
    }
  if (again)
    kernel_timer_set (kernel, &suspicions->tell,
                      kernel_now (kernel) + WITNESS_TELL_MS);
}

void
witness_report (struct suspicions *suspicions, const char *group,
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
  report->taken_back = instance == NULL;
  kernel_timer_set (kernel, &suspicions->tell, kernel_now (kernel));
}

static struct voice *
find_voice (const struct suspicions *suspicions, const char *host,
            const char *group)
{
  struct voice *voice;
  DL_FOREACH (suspicions->voices, voice)
  {
    if (strcmp (voice->host, host) == 0 && strcmp (voice->group, group) == 0)
      return voice;
  }
  return NULL;
}

static void
hear (struct suspicions *suspicions, const peer_message *message)
{
  const peer_suspicion *report = &message->body.peer_body_u.suspicion;
  drop_stale (suspicions);
  struct voice *voice
      = find_voice (suspicions, message->from.host, report->database);
  if (voice == NULL)
    {
      voice = mem_zalloc (sizeof *voice);
      if (!text_copy (voice->host, NAME_BYTES, message->from.host)
          || !text_copy (voice->zone, NAME_BYTES, message->from.domain)
          || !text_copy (voice->group, NAME_BYTES, report->database))
        {
          free (voice);
          return;
        }
      DL_APPEND (suspicions->voices, voice);
    }
  if (text_copy (voice->instance, NAME_BYTES, report->primary))
    voice->heard_ms = kernel_now (suspicions->base.kernel);
}

static void
on_suspicion (void *arg, uint64_t call, const peer_message *message)
{
  struct suspicions *suspicions = arg;
  hear (suspicions, message);
  hosts_reply (suspicions->hosts, call,
               &(peer_body){ .kind = PEER_KIND_NONE });
}

void
witness_set_holder (struct suspicions *suspicions, const char *host)
{
  if (host == NULL || !text_copy (suspicions->holder, NAME_BYTES, host))
    suspicions->holder[0] = '\0';
}

void
witness_each (struct suspicions *suspicions, const char *group,
              const char *instance,
              void (*fn) (void *arg, const char *host, const char *zone),
              void *arg)
{
  clk_ms now_ms = kernel_now (suspicions->base.kernel);
  const struct voice *voice;
  DL_FOREACH (suspicions->voices, voice)
  {
    if (now_ms - voice->heard_ms <= WITNESS_FRESH_MS
        && strcmp (voice->group, group) == 0
        && strcmp (voice->instance, instance) == 0)
      fn (arg, voice->host, voice->zone);
  }
}

bool
witness_hears (const struct suspicions *suspicions, const char *group,
               const char *instance, const char *host)
{
  const struct voice *voice = find_voice (suspicions, host, group);
  return voice != NULL
         && kernel_now (suspicions->base.kernel) - voice->heard_ms
                <= WITNESS_FRESH_MS
         && strcmp (voice->instance, instance) == 0;
}

bool
witness_hears_any (const struct suspicions *suspicions)
{
  clk_ms now_ms = kernel_now (suspicions->base.kernel);
  const struct voice *voice;
  DL_FOREACH (suspicions->voices, voice)
  {
    if (now_ms - voice->heard_ms <= WITNESS_FRESH_MS)
      return true;
  }
  return false;
}

static void
witness_free (struct module *module)
{
  struct suspicions *suspicions = (struct suspicions *)module;
  struct own_report *report, *next_report;
  kernel_timer_cancel (module->kernel, &suspicions->tell);
  HASH_ITER (hh, suspicions->reports, report, next_report)
  {
    HASH_DEL (suspicions->reports, report);
    free (report);
  }
  while (suspicions->voices != NULL)
    {
      struct voice *voice = suspicions->voices;
      DL_DELETE (suspicions->voices, voice);
      free (voice);
    }
  free (suspicions);
}

static void
witness_start (struct module *module)
{
  struct suspicions *suspicions = (struct suspicions *)module;
  suspicions->hosts = (struct hosts *)kernel_find (module->kernel, "hosts");
  hosts_handle (suspicions->hosts, PEER_KIND_SUSPICION, on_suspicion,
                suspicions);
}

static const struct module_ops witness_ops
    = { .start = witness_start, .free = witness_free };

struct suspicions *
suspicions_new (void)
{
  struct suspicions *suspicions = mem_zalloc (sizeof *suspicions);
  suspicions->base.ops = &witness_ops;
  suspicions->base.name = "witness";
  suspicions->tell = (struct ktimer){ .fire = on_tell, .arg = suspicions };
  return suspicions;
}

struct module *
suspicions_module (struct suspicions *suspicions)
{
  return &suspicions->base;
}
