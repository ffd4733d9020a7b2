#include "core/members.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"

/* A host is suspected after this number of consecutive failed calls, or if
   calls have failed for this time without an answer in between.  */
#define SUSPICION_FAILURES 3
#define SUSPICION_FAILING_MS 1000

/* Duration of a suspicion.  It doubles with each further suspicion without an
   answer in between (exponential backoff).  */
#define SUSPICION_MIN_MS 2000
#define SUSPICION_MAX_MS 32000

struct entry_list
{
  struct host_entry **items;
  size_t count;
};

struct host_entry
{
  struct member member;
  uint64_t hash;
  struct members *owner;
  struct host_domain *domain;
  uint64_t list_seen; /* list_number of the latest list that has the host */
  uint32_t failures;
  clk_ms failing_since_ms;
  clk_ms suspicion_ms;
  struct ktimer suspicion_timer;
  bool listed_leaving; /* in the platform's list */
  bool marked_leaving; /* announced by the host itself */
  UT_hash_handle hh;
};

struct host_domain
{
  char name[NAME_BYTES];
  uint32_t number;
  struct entry_list entries;
  UT_hash_handle hh;
};

struct members
{
  struct module base;
  struct host_entry *self;
  struct host_entry *by_name;
  struct entry_list all; /* sorted by name */
  struct host_domain *domains;
  uint64_t index;
  uint64_t list_number; /* counts the lists that were applied */
  uint64_t generation;
  uint64_t changes[MEMBERS_CHANGES]; /* ring buffer by generation:
                                        hash of the changed host */
};

static void
copy_name (char *out, const char *name)
{
  size_t length = strnlen (name, NAME_BYTES - 1);
  memcpy (out, name, length);
  out[length] = '\0';
}

static void
record_change (struct host_entry *entry)
{
  struct members *members = entry->owner;
  members->changes[members->generation % MEMBERS_CHANGES] = entry->hash;
  members->generation++;
}

static void
suspicion_expired (void *arg)
{
  struct host_entry *entry = arg;
  entry->member.suspected = false;
  /* One more failure renews the suspicion.  */
  entry->failures = SUSPICION_FAILURES - 1;
  entry->failing_since_ms = kernel_now (entry->owner->base.kernel);
  record_change (entry);
  log_event (kernel_log (entry->owner->base.kernel), LOG_INFO, "host_retry",
             LOG_S ("host", entry->member.address.name));
}

static struct host_entry *
entry_add (struct members *members, const char *name)
{
  struct host_entry *entry = mem_zalloc (sizeof *entry);
  copy_name (entry->member.address.name, name);
  entry->hash = XXH3_64bits (entry->member.address.name,
                             strlen (entry->member.address.name));
  entry->owner = members;
  entry->suspicion_timer.fire = suspicion_expired;
  entry->suspicion_timer.arg = entry;
  HASH_ADD_STR (members->by_name, member.address.name, entry);
  return entry;
}

static void
entry_free (struct members *members, struct host_entry *entry)
{
  record_change (entry);
  HASH_DEL (members->by_name, entry);
  if (members->base.kernel != NULL)
    kernel_timer_cancel (members->base.kernel, &entry->suspicion_timer);
  free (entry);
}

static struct host_entry *
entry_find (struct members *members, const char *name)
{
  struct host_entry *entry = NULL;
  HASH_FIND_STR (members->by_name, name, entry);
  return entry;
}

static void
list_push (struct entry_list *list, struct host_entry *entry)
{
  /* Grows by doubling whenever the count is a power of two.  */
  if ((list->count & (list->count - 1)) == 0)
    {
      size_t size = list->count ? 2 * list->count : 1;
      list->items = mem_resize (list->items, size * sizeof *list->items);
    }
  list->items[list->count++] = entry;
}

static struct host_domain *
domain_get (struct members *members, const char *name)
{
  struct host_domain *domain = NULL;
  HASH_FIND_STR (members->domains, name, domain);
  if (domain != NULL)
    return domain;
  domain = mem_zalloc (sizeof *domain);
  copy_name (domain->name, name);
  domain->number = HASH_COUNT (members->domains);
  HASH_ADD_STR (members->domains, name, domain);
  return domain;
}

static int
by_name (struct host_entry *a, struct host_entry *b)
{
  return strcmp (a->member.address.name, b->member.address.name);
}

/* Rebuilds the list of all hosts and those of each domain, sorted by name.  */
static void
rebuild_lists (struct members *members)
{
  members->all.count = 0;
  for (struct host_domain *d = members->domains; d != NULL; d = d->hh.next)
    d->entries.count = 0;
  HASH_SORT (members->by_name, by_name);
  for (struct host_entry *e = members->by_name; e != NULL; e = e->hh.next)
    {
      e->domain = domain_get (members, e->member.domain);
      list_push (&members->all, e);
      list_push (&e->domain->entries, e);
    }
}

static void
members_free (struct module *module)
{
  struct members *members = (struct members *)module;
  struct host_entry *entry, *next;
  HASH_ITER (hh, members->by_name, entry, next)
  {
    entry_free (members, entry);
  }
  struct host_domain *domain, *next_domain;
  HASH_ITER (hh, members->domains, domain, next_domain)
  {
    HASH_DEL (members->domains, domain);
    free (domain->entries.items);
    free (domain);
  }
  free (members->all.items);
  free (members);
}

static const struct module_ops members_ops = { .free = members_free };

struct members *
members_new (const struct member *self)
{
  struct members *members = mem_zalloc (sizeof *members);
  members->base.ops = &members_ops;
  members->base.name = "members";
  members->self = entry_add (members, self->address.name);
  members->self->member = *self;
  rebuild_lists (members);
  return members;
}

struct module *
members_module (struct members *members)
{
  return &members->base;
}

const struct member *
members_self (const struct members *members)
{
  return &members->self->member;
}

const struct member *
members_find (struct members *members, const char *name)
{
  struct host_entry *entry = entry_find (members, name);
  return entry == NULL ? NULL : &entry->member;
}

/* Resets what is known about a host that restarted, that is, has a new
   incarnation.  */
static void
reset_evidence (struct host_entry *entry)
{
  kernel_timer_cancel (entry->owner->base.kernel, &entry->suspicion_timer);
  entry->member.suspected = false;
  entry->marked_leaving = false;
  entry->failures = 0;
  entry->suspicion_ms = 0;
}

static void
set_leaving (struct host_entry *entry, bool listed)
{
  entry->listed_leaving = listed;
  bool leaving = listed || entry->marked_leaving;
  if (leaving != entry->member.leaving)
    record_change (entry);
  entry->member.leaving = leaving;
}

static bool
is_unchanged (const struct member *member, const struct platform_host *host)
{
  return member->address.incarnation == host->incarnation
         && member->address.port == host->port
         && strcmp (member->address.address, host->address) == 0
         && strcmp (member->domain, host->domain) == 0;
}

static void
update_entry (struct members *members, const struct platform_host *host)
{
  struct host_entry *entry = entry_find (members, host->name);
  if (entry == members->self)
    {
      if (host->incarnation == entry->member.address.incarnation)
        set_leaving (entry, host->leaving);
      return;
    }
  if (entry == NULL)
    entry = entry_add (members, host->name);
  else if (entry->member.address.incarnation != host->incarnation)
    reset_evidence (entry);
  struct member *member = &entry->member;
  if (!is_unchanged (member, host))
    record_change (entry);
  memcpy (member->address.address, host->address, ADDRESS_BYTES);
  member->address.port = host->port;
  member->address.incarnation = host->incarnation;
  memcpy (member->domain, host->domain, NAME_BYTES);
  set_leaving (entry, host->leaving);
  entry->list_seen = members->list_number;
}

void
members_set_list (struct members *members, uint64_t index,
                  const struct platform_host *hosts, size_t count)
{
  if (index < members->index)
    return;
  size_t before = HASH_COUNT (members->by_name);
  members->index = index;
  members->list_number++;
  for (size_t i = 0; i < count; i++)
    update_entry (members, &hosts[i]);

  size_t removed = 0;
  struct host_entry *entry, *next;
  HASH_ITER (hh, members->by_name, entry, next)
  {
    if (entry == members->self || entry->list_seen == members->list_number)
      continue;
    entry_free (members, entry);
    removed++;
  }
  rebuild_lists (members);
  log_event (kernel_log (members->base.kernel), LOG_INFO, "hosts",
             LOG_U ("index", index), LOG_U ("count", members->all.count),
             LOG_U ("added", members->all.count + removed - before),
             LOG_U ("removed", removed));
}

uint64_t
members_index (const struct members *members)
{
  return members->index;
}

size_t
members_count (const struct members *members)
{
  return members->all.count;
}

uint64_t
members_generation (const struct members *members)
{
  return members->generation;
}

uint64_t
members_hash (const struct member *member)
{
  return ((const struct host_entry *)member)->hash;
}

bool
members_changes_since (const struct members *members, uint64_t generation,
                       uint64_t out[MEMBERS_CHANGES], size_t *count)
{
  *count = 0;
  if (members->generation - generation > MEMBERS_CHANGES)
    return false;
  for (uint64_t g = generation; g < members->generation; g++)
    out[(*count)++] = members->changes[g % MEMBERS_CHANGES];
  return true;
}

void
members_each (struct members *members,
              void (*fn) (void *arg, const struct member *member), void *arg)
{
  for (size_t i = 0; i < members->all.count; i++)
    fn (arg, &members->all.items[i]->member);
}

void
members_each_domain (struct members *members,
                     void (*fn) (void *arg, const char *domain), void *arg)
{
  for (struct host_domain *d = members->domains; d != NULL; d = d->hh.next)
    if (d->entries.count > 0)
      fn (arg, d->name);
}

void
members_record_answer (struct members *members, const char *name)
{
  struct host_entry *entry = entry_find (members, name);
  if (entry == NULL || entry->failures == 0)
    return;
  entry->failures = 0;
  entry->suspicion_ms = 0;
  if (!entry->member.suspected)
    return;
  kernel_timer_cancel (members->base.kernel, &entry->suspicion_timer);
  entry->member.suspected = false;
  record_change (entry);
  log_event (kernel_log (members->base.kernel), LOG_INFO, "host_recovered",
             LOG_S ("host", name));
}

static void
suspect (struct members *members, struct host_entry *entry, clk_ms now_ms)
{
  entry->suspicion_ms
      = entry->suspicion_ms == 0 ? SUSPICION_MIN_MS : 2 * entry->suspicion_ms;
  if (entry->suspicion_ms > SUSPICION_MAX_MS)
    entry->suspicion_ms = SUSPICION_MAX_MS;
  entry->member.suspected = true;
  record_change (entry);
  kernel_timer_set (members->base.kernel, &entry->suspicion_timer,
                    now_ms + entry->suspicion_ms);
  log_event (kernel_log (members->base.kernel), LOG_WARNING, "host_suspected",
             LOG_S ("host", entry->member.address.name),
             LOG_U ("failures", entry->failures),
             LOG_I ("failing_ms", now_ms - entry->failing_since_ms),
             LOG_I ("lapse_ms", entry->suspicion_ms));
}

void
members_record_failure (struct members *members, const char *name)
{
  struct host_entry *entry = entry_find (members, name);
  if (entry == NULL || entry == members->self || entry->member.suspected)
    return;
  clk_ms now_ms = kernel_now (members->base.kernel);
  if (entry->failures++ == 0)
    entry->failing_since_ms = now_ms;
  if (entry->failures >= SUSPICION_FAILURES
      || now_ms - entry->failing_since_ms >= SUSPICION_FAILING_MS)
    suspect (members, entry, now_ms);
}

void
members_mark_leaving (struct members *members, const char *name,
                      uint64_t incarnation)
{
  struct host_entry *entry = entry_find (members, name);
  if (entry == NULL || entry->member.address.incarnation != incarnation
      || entry->marked_leaving)
    return;
  entry->marked_leaving = true;
  entry->member.leaving = true;
  record_change (entry);
  log_event (kernel_log (members->base.kernel), LOG_INFO, "host_leaving",
             LOG_S ("host", name), LOG_U ("incarnation", incarnation));
}

/* A host and its rank for a key: usable hosts first, then by score.  */
struct candidate
{
  struct host_entry *entry;
  uint64_t score;
  bool usable;
};

/* Mixes the hashes of key and host into a score (finaliser of
   SplitMix64).  */
static uint64_t
rendezvous_score (uint64_t key_hash, uint64_t host_hash)
{
  uint64_t x = key_hash ^ host_hash;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

static bool
is_better (const struct candidate *a, const struct candidate *b)
{
  if (a->usable != b->usable)
    return a->usable;
  if (a->score != b->score)
    return a->score > b->score;
  return by_name (a->entry, b->entry) < 0;
}

/* Inserts CANDIDATE into BEST, a sorted array of COUNT entries, of which only
   the LIMIT best are kept.  Returns the new count.  */
static size_t
insert_best (struct candidate *best, size_t count, size_t limit,
             const struct candidate *candidate)
{
  size_t i = count;
  if (count == limit)
    {
      if (limit == 0 || !is_better (candidate, &best[count - 1]))
        return count;
      i--;
    }
  for (; i > 0 && is_better (candidate, &best[i - 1]); i--)
    best[i] = best[i - 1];
  best[i] = *candidate;
  return count < limit ? count + 1 : count;
}

static size_t
best_of (const struct entry_list *list, uint64_t key_hash,
         struct candidate *best, size_t limit)
{
  size_t found = 0;
  for (size_t i = 0; i < list->count; i++)
    {
      struct host_entry *entry = list->items[i];
      struct candidate candidate = {
        .entry = entry,
        .score = rendezvous_score (key_hash, entry->hash),
        .usable = MUTANT (place_on_leaving)
                  || (!entry->member.leaving && !entry->member.suspected),
      };
      found = insert_best (best, found, limit, &candidate);
    }
  return found;
}

size_t
members_place (struct members *members, const char *key, const char *domain,
               const struct member **out, size_t count)
{
  const struct entry_list *list = &members->all;
  if (domain != NULL)
    {
      struct host_domain *d = NULL;
      HASH_FIND_STR (members->domains, domain, d);
      if (d == NULL)
        return 0;
      list = &d->entries;
    }
  if (count > list->count)
    count = list->count;
  if (count == 0)
    return 0;
  struct candidate *best = mem_resize (NULL, count * sizeof *best);
  size_t found = best_of (list, XXH3_64bits (key, strlen (key)), best, count);
  for (size_t i = 0; i < found; i++)
    out[i] = &best[i].entry->member;
  free (best);
  return found;
}

size_t
members_place_spread (struct members *members, const char *key,
                      const struct member **out, size_t count)
{
  uint64_t key_hash = XXH3_64bits (key, strlen (key));
  size_t domain_count = HASH_COUNT (members->domains);
  size_t pool_size = domain_count * count;
  struct candidate *pool = mem_resize (NULL, pool_size * sizeof *pool);
  struct candidate *best = mem_resize (NULL, domain_count * sizeof *best);
  size_t *taken = mem_zalloc (domain_count * sizeof *taken);
  size_t *filled = mem_zalloc (domain_count * sizeof *filled);
  for (struct host_domain *d = members->domains; d != NULL; d = d->hh.next)
    filled[d->number]
        = best_of (&d->entries, key_hash, pool + d->number * count, count);

  /* Each round takes the next best host of every domain.  */
  size_t written = 0;
  bool progress = true;
  while (written < count && progress)
    {
      progress = false;
      size_t found = 0;
      for (size_t d = 0; d < domain_count; d++)
        if (taken[d] < filled[d])
          found = insert_best (best, found, domain_count,
                               &pool[d * count + taken[d]++]);
      for (size_t i = 0; i < found && written < count; i++, progress = true)
        out[written++] = &best[i].entry->member;
    }
  free (pool);
  free (best);
  free (taken);
  free (filled);
  return written;
}
