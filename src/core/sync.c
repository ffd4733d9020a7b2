#include "core/sync.h"

#include <stdlib.h>
#include <string.h>

#include "core/peers.h"
#include "core/sync_census.h"
#include "core/sync_pull.h"
#include "core/sync_serve.h"
#include "core/sync_watch.h"
#include "kernel/mem.h"

#define TICK_MS 250

/* A host that starts spreads its first call to the platform over this span,
   and asks its seeds after it.  */
#define START_JITTER_MS 100
#define SEEDS_AFTER_MS 300

/* A relay that can't read the platform for so long pulls from others.  */
#define PLATFORM_FAILING_MS 1000
#define PULL_FAILING_MS 2500
#define PUSH_TIMEOUT_MS 1000

struct sync
{
  struct module base;
  struct platform_port *platform;
  struct view *view;
  struct peers *peers;
  struct sync_state state;
  struct sync_tree tree;
  struct peer_address *seeds;
  struct sync_watch *watch;
  struct sync_pull *pull;
  struct sync_serve *serve;
  struct sync_census *census;
  struct ktimer tick;
  clk_ms started_ms;
  clk_ms direct_after_ms;
  bool news_pending;
  bool leaving_sent;
};

static const char *const mode_names[] = {
  [SYNC_OFF] = "pull",
  [SYNC_START] = "start",
  [SYNC_DIRECT] = "direct",
  [SYNC_RELAY] = "relay",
};

static void
serve_news (void *arg)
{
  struct sync *sync = arg;
  sync->news_pending = false;
  sync_serve_news (sync->serve);
}

static void
news (struct sync *sync)
{
  if (sync->news_pending)
    return;
  sync->news_pending = true;
  kernel_defer (sync->base.kernel, serve_news, sync);
}

static enum sync_mode
choose_mode (struct sync *sync)
{
  clk_ms now_ms = kernel_now (sync->base.kernel);
  if (now_ms < sync->direct_after_ms)
    return SYNC_OFF;
  if (!sync->state.hosts.known)
    return SYNC_START;
  if (sync->tree.relay)
    return SYNC_RELAY;
  bool cut_off = sync_pull_exhausted (sync->pull)
                 || sync_pull_failing_ms (sync->pull) > PULL_FAILING_MS;
  return cut_off ? SYNC_DIRECT : SYNC_OFF;
}

static bool
wants_pull (struct sync *sync, enum sync_mode mode)
{
  clk_ms now_ms = kernel_now (sync->base.kernel);
  if (!sync->state.hosts.known)
    return now_ms >= sync->started_ms + SEEDS_AFTER_MS && sync->seeds != NULL;
  return mode != SYNC_RELAY
         || sync_watch_failing_ms (sync->watch) > PLATFORM_FAILING_MS;
}

/* Chooses between watching the platform and pulling from a host.  */
static void
choose_role (struct sync *sync)
{
  sync_tree_refresh (&sync->tree);
  enum sync_mode before = sync_watch_mode (sync->watch);
  enum sync_mode mode = choose_mode (sync);
  sync_watch_set_mode (sync->watch, mode);
  sync_pull_set_running (sync->pull, wants_pull (sync, mode));
  if (mode == before)
    return;
  log_event (kernel_log (sync->base.kernel), LOG_INFO, "sync_role",
             LOG_S ("role", mode_names[mode]),
             LOG_S ("was", mode_names[before]),
             LOG_U ("rank", sync->tree.rank),
             LOG_U ("hosts", members_count (sync->state.members)),
             LOG_I ("pull_failing_ms", sync_pull_failing_ms (sync->pull)));
}

static void
state_changed (void *arg)
{
  struct sync *sync = arg;
  choose_role (sync);
  news (sync);
}

static void
tick (void *arg)
{
  struct sync *sync = arg;
  struct kernel *kernel = sync->base.kernel;
  choose_role (sync);
  if (members_self (sync->state.members)->leaving && !sync->leaving_sent)
    sync_publish_leaving (sync);
  kernel_timer_set (kernel, &sync->tick, kernel_now (kernel) + TICK_MS);
}

static void
term_changed (void *arg, const char *database,
              const struct term_record *record)
{
  (void)database;
  (void)record;
  news (arg);
}

static void
handle_push (void *arg, uint64_t call, const peer_message *message)
{
  struct sync *sync = arg;
  peer_body body = { .kind = PEER_KIND_NONE };
  sync_update_apply_push (&sync->state, &message->body.peer_body_u.update);
  news (sync);
  peers_reply (sync->peers, call, &body);
}

static void
sync_start (struct module *module)
{
  struct sync *sync = (struct sync *)module;
  struct kernel *kernel = module->kernel;
  struct members *members = (struct members *)kernel_find (kernel, "members");
  struct terms *terms = (struct terms *)kernel_find (kernel, "terms");
  clk_ms now_ms = kernel_now (kernel);
  sync->peers = (struct peers *)kernel_find (kernel, "peers");
  sync_state_init (&sync->state, kernel, sync->view, members, terms);
  sync->tree.members = members;
  sync->tree.seeds = sync->seeds;
  sync->watch
      = sync_watch_new (sync->platform, &sync->state, state_changed, sync);
  sync->pull = sync_pull_new (&sync->state, &sync->tree, sync->peers,
                              state_changed, sync);
  sync->serve = sync_serve_new (&sync->state, sync->peers);
  sync->census
      = sync_census_new (&sync->state, &sync->tree, sync->serve, sync->peers);
  peers_register_handler (sync->peers, PEER_KIND_UPDATE, handle_push, sync);
  terms_subscribe (terms, term_changed, sync);
  sync->started_ms = now_ms;
  sync->direct_after_ms
      = now_ms + (clk_ms)rng_below (kernel_rng (kernel), START_JITTER_MS);
  sync->tick.fire = tick;
  sync->tick.arg = sync;
  kernel_timer_set (kernel, &sync->tick, sync->direct_after_ms);
}

static void
sync_free (struct module *module)
{
  struct sync *sync = (struct sync *)module;
  if (sync->watch != NULL)
    {
      kernel_timer_cancel (module->kernel, &sync->tick);
      sync_census_free (sync->census);
      sync_pull_free (sync->pull);
      sync_serve_free (sync->serve);
      sync_watch_free (sync->watch);
      sync_state_clear (&sync->state);
    }
  free (sync->seeds);
  free (sync);
}

static const struct module_ops sync_ops
    = { .start = sync_start, .free = sync_free };

struct sync *
sync_new (struct platform_port *platform, struct view *view, size_t seed_count,
          const struct peer_address *seeds)
{
  struct sync *sync = mem_zalloc (sizeof *sync);
  sync->base.ops = &sync_ops;
  sync->base.name = "sync";
  sync->platform = platform;
  sync->view = view;
  if (seed_count > 0)
    {
      sync->seeds = mem_zalloc (seed_count * sizeof *seeds);
      memcpy (sync->seeds, seeds, seed_count * sizeof *seeds);
    }
  sync->tree.seed_count = seed_count;
  return sync;
}

struct module *
sync_module (struct sync *sync)
{
  return &sync->base;
}

uint64_t
sync_revision (const struct sync *sync)
{
  return sync->state.store.revision;
}

clk_ms
sync_view_age_ms (const struct sync *sync)
{
  if (sync->state.terms_ms == INT64_MIN)
    return CLK_NEVER;
  return kernel_now (sync->base.kernel) - sync->state.terms_ms;
}

bool
sync_ready (const struct sync *sync)
{
  return sync_state_ready (&sync->state);
}

bool
sync_is_relay (const struct sync *sync)
{
  return sync_watch_mode (sync->watch) == SYNC_RELAY;
}

void
sync_count_revisions (struct sync *sync, sync_count_done done, void *arg)
{
  sync_census_start (sync->census, done, arg);
}

struct push
{
  struct sync *sync;
  peer_body body;
};

static void
push_done (void *arg, enum peer_status status, const peer_message *reply)
{
  (void)arg;
  (void)status;
  (void)reply;
}

static void
push_to (void *arg, const struct member *relay)
{
  struct push *push = arg;
  peers_call (push->sync->peers, &relay->address, &push->body, PUSH_TIMEOUT_MS,
              push_done, NULL);
}

static void
push_update (struct sync *sync, const peer_update *update)
{
  struct push push = { .sync = sync,
                       .body = { .kind = PEER_KIND_UPDATE,
                                 .peer_body_u.update = *update } };
  sync_tree_each_relay (&sync->tree, push_to, &push);
}

void
sync_publish_term (struct sync *sync, const char *database)
{
  const struct term_record *record = terms_get (sync->state.terms, database);
  if (record == NULL)
    return;
  char *json = term_record_print (record);
  peer_entry entry = {
    .key = (char *)database,
    .revision = terms_index (sync->state.terms, database),
    .value = { .value_len = (u_int)strlen (json), .value_val = json },
  };
  const peer_update update
      = { .terms = { .terms_len = 1, .terms_val = &entry } };
  push_update (sync, &update);
  free (json);
}

void
sync_publish_leaving (struct sync *sync)
{
  const struct member *self = members_self (sync->state.members);
  char empty[] = "";
  struct member copy = *self;
  peer_host mark = { .name = copy.address.name,
                     .address = empty,
                     .domain = empty,
                     .incarnation = self->address.incarnation,
                     .leaving = true };
  const peer_update update
      = { .hosts = { .hosts_len = 1, .hosts_val = &mark } };
  sync->leaving_sent = true;
  sync_state_leaving (&sync->state, self->address.name,
                      self->address.incarnation);
  push_update (sync, &update);
}
