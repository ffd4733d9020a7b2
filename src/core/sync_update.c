#include <stdlib.h>
#include <string.h>

#include "core/sync_head.h"
#include "core/sync_state.h"
#include "kernel/mem.h"
#include "kernel/mutant.h"
#include "kernel/text.h"

/* Age given for a view whose age is not known.  */
#define AGE_UNKNOWN_MS (INT64_C (1) << 40)

static char empty[] = "";

static void
build_config (struct sync_state *state, const peer_pull *pull,
              peer_update *update)
{
  struct sync_store *store = &state->store;
  update->config_revision = store->revision;
  if (store->revision <= pull->config_revision)
    return;
  bool full
      = pull->config_revision == 0 || pull->config_revision < store->floor;
  update->config_full = full;
  update->config.config_val
      = mem_zalloc (HASH_COUNT (store->teams) * sizeof (peer_entry));
  for (struct sync_team *t = store->teams; t != NULL; t = t->hh.next)
    {
      if (full ? t->erased : t->revision <= pull->config_revision)
        continue;
      update->config.config_val[update->config.config_len++] = (peer_entry){
        .key = t->name,
        .revision = t->index,
        .erased = t->erased,
        .value = { .value_len = (u_int)t->json_bytes, .value_val = t->json },
      };
    }
}

static void
build_term (void *arg, const char *database, uint64_t index,
            const struct term_record *record)
{
  peer_update *update = arg;
  if (update->terms.terms_len == PEER_BATCH_LIMIT)
    return;
  char *json = term_record_print (record);
  update->terms.terms_val[update->terms.terms_len++] = (peer_entry){
    .key = (char *)database,
    .revision = index,
    .value = { .value_len = (u_int)strlen (json), .value_val = json },
  };
}

static void
count_term (void *arg, const char *database, uint64_t index,
            const struct term_record *record)
{
  (void)database;
  (void)index;
  (void)record;
  ++*(size_t *)arg;
}

static void
build_terms (struct sync_state *state, const peer_pull *pull,
             peer_update *update)
{
  size_t count = 0;
  terms_each_since (state->terms, pull->terms_index, count_term, &count);
  update->terms_index = state->terms_index;
  if (count == 0)
    return;
  update->terms.terms_val = mem_zalloc (count * sizeof (peer_entry));
  terms_each_since (state->terms, pull->terms_index, build_term, update);
  /* Records are sorted by index: a full batch covers up to its last.  */
  uint64_t last
      = update->terms.terms_val[update->terms.terms_len - 1].revision;
  if (update->terms.terms_len < count && last < update->terms_index)
    update->terms_index = last;
}

static peer_host
host_entry (struct sync_host *h)
{
  return (peer_host){
    .name = h->host.name,
    .address = h->host.address,
    .port = h->host.port,
    .domain = h->host.domain,
    .incarnation = h->host.incarnation,
    .leaving = h->host.leaving,
    .removed = h->removed,
  };
}

static void
build_hosts (struct sync_state *state, const peer_pull *pull,
             peer_update *update)
{
  struct sync_hosts *hosts = &state->hosts;
  size_t room = HASH_COUNT (hosts->by_name) + SYNC_MARKS_MAX;
  update->hosts_index = hosts->index;
  update->hosts.hosts_val = mem_zalloc (room * sizeof (peer_host));
  if (!hosts->known || hosts->change_index <= pull->hosts_index)
    return;
  bool full = pull->hosts_index == 0 || pull->hosts_index < hosts->floor;
  update->hosts_full = full;
  for (struct sync_host *h = hosts->by_change; h != NULL; h = h->next)
    {
      if (full ? h->removed : h->changed_index <= pull->hosts_index)
        continue;
      update->hosts.hosts_val[update->hosts.hosts_len++] = host_entry (h);
    }
}

/* Marks travel as entries without an address.  */
static void
build_marks (struct sync_state *state, uint64_t mark_seq, peer_update *update)
{
  for (size_t i = 0; i < SYNC_MARKS_MAX; i++)
    {
      struct sync_mark *mark = &state->marks[i];
      if (mark->seq <= mark_seq || mark->seq == 0)
        continue;
      update->hosts.hosts_val[update->hosts.hosts_len++]
          = (peer_host){ .name = mark->host,
                         .address = empty,
                         .domain = empty,
                         .incarnation = mark->incarnation,
                         .leaving = true };
    }
}

void
sync_update_build (struct sync_state *state, const peer_pull *pull,
                   uint64_t mark_seq, peer_update *update)
{
  memset (update, 0, sizeof *update);
  build_config (state, pull, update);
  build_terms (state, pull, update);
  build_hosts (state, pull, update);
  build_marks (state, mark_seq, update);
  update->view_age_ms = state->terms_ms == INT64_MIN
                            ? AGE_UNKNOWN_MS
                            : kernel_now (state->kernel) - state->terms_ms;
}

void
sync_update_clear (peer_update *update)
{
  for (u_int i = 0; i < update->terms.terms_len; i++)
    free (update->terms.terms_val[i].value.value_val);
  free (update->config.config_val);
  free (update->terms.terms_val);
  free (update->hosts.hosts_val);
}

static void
apply_config (struct sync_state *state, const peer_update *update,
              const char *source)
{
  struct sync_store *store = &state->store;
  uint64_t revision = update->config_revision;
  if (store->known && revision <= store->revision
      && !MUTANT (apply_lower_revision))
    return;
  if (update->config_full)
    sync_store_begin_full (store);
  for (u_int i = 0; i < update->config.config_len; i++)
    {
      const peer_entry *e = &update->config.config_val[i];
      if (e->erased)
        sync_store_erase (store, e->key, revision);
      else
        sync_store_put (store, e->key, e->revision, revision,
                        e->value.value_val, e->value.value_len);
    }
  if (update->config_full)
    sync_store_end_full (store, revision);
  sync_store_commit (store, revision, source);
}

static void
apply_terms (struct sync_state *state, const peer_update *update)
{
  for (u_int i = 0; i < update->terms.terms_len; i++)
    {
      const peer_entry *e = &update->terms.terms_val[i];
      struct term_record record;
      if (term_record_parse (e->value.value_val, e->value.value_len, &record))
        terms_set (state->terms, e->key, e->revision, &record);
      else
        log_event (kernel_log (state->kernel), LOG_ERR, "term_malformed",
                   LOG_S ("key", e->key), LOG_U ("index", e->revision));
    }
}

static bool
is_mark (const peer_host *host)
{
  return host->address[0] == '\0';
}

static void
apply_marks (struct sync_state *state, const peer_update *update)
{
  for (u_int i = 0; i < update->hosts.hosts_len; i++)
    {
      const peer_host *h = &update->hosts.hosts_val[i];
      if (is_mark (h) && h->leaving)
        sync_state_leaving (state, h->name, h->incarnation);
    }
}

static bool
copy_host (struct platform_host *out, const peer_host *host)
{
  memset (out, 0, sizeof *out);
  out->port = (uint16_t)host->port;
  out->incarnation = host->incarnation;
  out->leaving = host->leaving;
  return text_copy (out->name, sizeof out->name, host->name)
         && text_copy (out->address, sizeof out->address, host->address)
         && text_copy (out->domain, sizeof out->domain, host->domain);
}

static void
apply_hosts (struct sync_state *state, const peer_update *update)
{
  struct sync_hosts *hosts = &state->hosts;
  if (hosts->known && update->hosts_index <= hosts->index)
    return;
  if (!hosts->known && !update->hosts_full)
    return;
  size_t count = 0;
  struct platform_host *list
      = mem_zalloc (update->hosts.hosts_len * sizeof *list);
  for (u_int i = 0; i < update->hosts.hosts_len; i++)
    {
      const peer_host *h = &update->hosts.hosts_val[i];
      if (is_mark (h) || !copy_host (&list[count], h))
        continue;
      if (update->hosts_full)
        count++;
      else
        sync_hosts_change (hosts, update->hosts_index, &list[count],
                           h->removed);
    }
  if (update->hosts_full)
    sync_hosts_set (hosts, update->hosts_index, list, count);
  else
    sync_hosts_commit (hosts, update->hosts_index);
  free (list);
}

void
sync_update_apply (struct sync_state *state, const peer_update *update,
                   clk_ms sent_ms, const char *source)
{
  apply_config (state, update, source);
  apply_hosts (state, update);
  apply_terms (state, update);
  apply_marks (state, update);
  clk_ms at_ms = update->view_age_ms >= AGE_UNKNOWN_MS
                     ? INT64_MIN
                     : sent_ms - update->view_age_ms;
  sync_state_set_terms_index (state, update->terms_index, at_ms);
}

void
sync_update_apply_push (struct sync_state *state, const peer_update *update)
{
  apply_terms (state, update);
  apply_marks (state, update);
}
