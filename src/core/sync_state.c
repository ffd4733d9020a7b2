#include "core/sync_state.h"

#include <string.h>

static void
term_changed (void *arg, const char *database,
              const struct term_record *record)
{
  struct sync_state *state = arg;
  (void)database;
  (void)record;
  state->seq++;
}

void
sync_state_init (struct sync_state *state, struct kernel *kernel,
                 struct view *view, struct members *members,
                 struct terms *terms)
{
  memset (state, 0, sizeof *state);
  state->kernel = kernel;
  state->members = members;
  state->terms = terms;
  state->store.kernel = kernel;
  state->store.view = view;
  state->hosts.members = members;
  state->terms_ms = INT64_MIN;
  terms_subscribe (terms, term_changed, state);
}

void
sync_state_clear (struct sync_state *state)
{
  sync_store_clear (&state->store);
  sync_hosts_clear (&state->hosts);
}

bool
sync_state_ready (const struct sync_state *state)
{
  return state->store.known && state->hosts.known && state->terms_known;
}

void
sync_state_set_terms_index (struct sync_state *state, uint64_t index,
                            clk_ms at_ms)
{
  state->terms_known = true;
  if (index > state->terms_index)
    state->terms_index = index;
  if (at_ms > state->terms_ms)
    state->terms_ms = at_ms;
}

void
sync_state_leaving (struct sync_state *state, const char *host,
                    uint64_t incarnation)
{
  const struct member *member = members_find (state->members, host);
  if (member == NULL || member->address.incarnation != incarnation)
    return;
  for (size_t i = 0; i < SYNC_MARKS_MAX; i++)
    if (state->marks[i].incarnation == incarnation
        && strcmp (state->marks[i].host, host) == 0)
      return;
  members_mark_leaving (state->members, host, incarnation);
  struct sync_mark *mark = &state->marks[state->mark_next];
  state->mark_next = (state->mark_next + 1) % SYNC_MARKS_MAX;
  memcpy (mark->host, member->address.name, NAME_BYTES);
  mark->incarnation = incarnation;
  mark->seq = ++state->seq;
}
