#include "core/sync_watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/sync_head.h"
#include "kernel/mem.h"

#define CALL_TIMEOUT_MS 1500
#define RETRY_MIN_MS 200
#define RETRY_RELAY_MAX_MS 1000
#define RETRY_DIRECT_MAX_MS 10000

/* In a large fleet, relays have others to serve and read less often.  */
#define LARGE_HOSTS 64
#define LARGE_TERMS_WAIT_MS 700

/* Items of a list that make the pause after it longer by 1 ms.  */
#define ITEMS_PER_PAUSE_MS 8

/* Allowance of calls of one host.  */
#define TOKENS_MAX 16
#define TOKEN_MS 125

enum loop_kind
{
  LOOP_HEAD,
  LOOP_TERMS,
  LOOP_HOSTS,
  LOOP_COUNT
};

struct loop_rule
{
  enum platform_call_kind call;
  const char *key;
  const char *purpose;
  clk_ms wait_ms[SYNC_RELAY + 1];
  clk_ms pause_ms; /* between a call's start and the next one's */
};

static const struct loop_rule rules[LOOP_COUNT] = {
  [LOOP_HEAD]
  = { .call = PLATFORM_GET,
      .key = SYNC_HEAD_KEY,
      .purpose = "watch_head",
      .wait_ms
      = { [SYNC_START] = 1000, [SYNC_DIRECT] = 10000, [SYNC_RELAY] = 5000 },
      .pause_ms = 50 },
  [LOOP_TERMS]
  = { .call = PLATFORM_LIST,
      .key = TERMS_PREFIX,
      .purpose = "watch_terms",
      .wait_ms
      = { [SYNC_START] = 1000, [SYNC_DIRECT] = 10000, [SYNC_RELAY] = 400 },
      .pause_ms = 250 },
  [LOOP_HOSTS]
  = { .call = PLATFORM_HOSTS,
      .key = NULL,
      .purpose = "watch_hosts",
      .wait_ms
      = { [SYNC_START] = 1000, [SYNC_DIRECT] = 10000, [SYNC_RELAY] = 5000 },
      .pause_ms = 500 },
};

struct watch_loop
{
  struct sync_watch *watch;
  enum loop_kind kind;
  uint64_t index;
  uint64_t call; /* 0 if none runs */
  clk_ms sent_ms;
  clk_ms failing_since_ms; /* CLK_NEVER while it works */
  uint32_t failures;
  size_t item_count; /* of the last answer */
  struct ktimer timer;
};

/* A read of one team, or of all if team is empty.  */
struct team_read
{
  struct sync_watch *watch;
  char team[NAME_BYTES];
  uint64_t call;
};

/* The reads that take the configuration to a new revision.  */
struct round
{
  bool running;
  bool failed;
  bool full;
  uint64_t revision;
  size_t read_count;
  size_t outstanding;
  struct team_read reads[SYNC_READS_MAX];
};

struct sync_watch
{
  struct kernel *kernel;
  struct platform_port *port;
  struct sync_state *state;
  void (*news) (void *);
  void *arg;
  enum sync_mode mode;
  struct watch_loop loops[LOOP_COUNT];
  struct round round;
  int64_t tokens;
  clk_ms tokens_ms;
};

static void loop_start (struct watch_loop *loop);

static bool
take_token (struct sync_watch *watch)
{
  clk_ms now_ms = kernel_now (watch->kernel);
  int64_t earned = (now_ms - watch->tokens_ms) / TOKEN_MS;
  watch->tokens += earned;
  watch->tokens_ms += earned * TOKEN_MS;
  if (watch->tokens > TOKENS_MAX)
    watch->tokens = TOKENS_MAX;
  if (watch->tokens <= 0)
    return false;
  watch->tokens--;
  return true;
}

static bool
is_wanted (const struct watch_loop *loop)
{
  enum sync_mode mode = loop->watch->mode;
  return mode > SYNC_START || (mode == SYNC_START && loop->kind == LOOP_HOSTS);
}

static void
loop_schedule (struct watch_loop *loop, clk_ms due_ms)
{
  if (is_wanted (loop))
    kernel_timer_set (loop->watch->kernel, &loop->timer, due_ms);
}

static void
loop_failed (struct watch_loop *loop)
{
  struct sync_watch *watch = loop->watch;
  clk_ms now_ms = kernel_now (watch->kernel);
  clk_ms max_ms
      = watch->mode == SYNC_RELAY ? RETRY_RELAY_MAX_MS : RETRY_DIRECT_MAX_MS;
  clk_ms span_ms = RETRY_MIN_MS << (loop->failures < 6 ? loop->failures : 6);
  if (loop->failures++ == 0)
    loop->failing_since_ms = now_ms;
  if (span_ms > max_ms)
    span_ms = max_ms;
  loop_schedule (loop, now_ms + 1
                           + (clk_ms)rng_below (kernel_rng (watch->kernel),
                                                (uint64_t)span_ms));
}

/* A long list is read less often: while many records change, coordinators
   push them, and the list only catches up.  */
static clk_ms
pause_of (const struct watch_loop *loop)
{
  clk_ms pause_ms = rules[loop->kind].pause_ms;
  clk_ms long_ms = (clk_ms)(loop->item_count / ITEMS_PER_PAUSE_MS);
  return long_ms > pause_ms ? long_ms : pause_ms;
}

static void
loop_succeeded (struct watch_loop *loop)
{
  struct sync_watch *watch = loop->watch;
  clk_ms due_ms = loop->sent_ms + pause_of (loop);
  clk_ms now_ms = kernel_now (watch->kernel);
  loop->failures = 0;
  loop->failing_since_ms = CLK_NEVER;
  loop_schedule (loop, due_ms > now_ms ? due_ms : now_ms);
  watch->news (watch->arg);
}

static void
take_terms (struct sync_watch *watch, const struct platform_reply *reply)
{
  size_t prefix = strlen (TERMS_PREFIX);
  for (size_t i = 0; i < reply->item_count; i++)
    {
      const struct platform_item *item = &reply->items[i];
      struct term_record record;
      if (strncmp (item->key, TERMS_PREFIX, prefix) != 0)
        continue;
      if (term_record_parse (item->value, item->value_bytes, &record))
        terms_set (watch->state->terms, item->key + prefix, item->index,
                   &record);
      else
        log_event (kernel_log (watch->kernel), LOG_ERR, "term_malformed",
                   LOG_S ("key", item->key), LOG_U ("index", item->index));
    }
  sync_state_set_terms_index (watch->state, reply->index,
                              watch->loops[LOOP_TERMS].sent_ms);
}

static void
round_finish (struct sync_watch *watch)
{
  struct round *round = &watch->round;
  struct watch_loop *loop = &watch->loops[LOOP_HEAD];
  round->running = false;
  if (round->failed)
    {
      loop->index = 0;
      loop_failed (loop);
      return;
    }
  sync_store_commit (&watch->state->store, round->revision, "platform");
  loop_succeeded (loop);
}

static void
take_all_teams (struct sync_watch *watch, const struct platform_reply *reply)
{
  size_t prefix = strlen (SYNC_CONFIG_PREFIX);
  uint64_t revision = watch->round.revision;
  sync_store_begin_full (&watch->state->store);
  for (size_t i = 0; i < reply->item_count; i++)
    {
      const struct platform_item *item = &reply->items[i];
      if (strncmp (item->key, SYNC_CONFIG_PREFIX, prefix) == 0)
        sync_store_put (&watch->state->store, item->key + prefix, item->index,
                        revision, item->value, item->value_bytes);
    }
  sync_store_end_full (&watch->state->store, revision);
}

static void
take_team (struct sync_watch *watch, const char *team,
           const struct platform_reply *reply)
{
  uint64_t revision = watch->round.revision;
  if (reply->status == PLATFORM_NOT_FOUND || reply->item_count == 0)
    sync_store_erase (&watch->state->store, team, revision);
  else
    sync_store_put (&watch->state->store, team, reply->items[0].index,
                    revision, reply->items[0].value,
                    reply->items[0].value_bytes);
}

static void
team_read_done (void *arg, const struct platform_reply *reply)
{
  struct team_read *read = arg;
  struct sync_watch *watch = read->watch;
  struct round *round = &watch->round;
  bool ok
      = reply->status == PLATFORM_OK || reply->status == PLATFORM_NOT_FOUND;
  read->call = 0;
  if (!ok)
    round->failed = true;
  else if (round->full)
    take_all_teams (watch, reply);
  else
    take_team (watch, read->team, reply);
  if (--round->outstanding == 0)
    round_finish (watch);
}

static void
round_read (struct sync_watch *watch, const char *team)
{
  struct round *round = &watch->round;
  struct team_read *read = &round->reads[round->read_count++];
  char *key = mem_printf (SYNC_CONFIG_PREFIX "%s", team);
  const struct platform_call call
      = { .kind = round->full ? PLATFORM_LIST : PLATFORM_GET,
          .purpose = "read_config",
          .key = key,
          .timeout_ms = CALL_TIMEOUT_MS };
  read->watch = watch;
  snprintf (read->team, sizeof read->team, "%s", team);
  round->outstanding++;
  read->call
      = watch->port->ops->call (watch->port, &call, team_read_done, read);
  free (key);
}

/* Starts the reads that HEAD asks for; false if nothing is new.  */
static bool
round_start (struct sync_watch *watch, const struct sync_head *head)
{
  struct sync_store *store = &watch->state->store;
  struct round *round = &watch->round;
  if (store->known && head->revision <= store->revision)
    return false;
  memset (round, 0, sizeof *round);
  round->running = true;
  round->revision = head->revision;
  round->full = !store->known || !head->complete;
  if (round->full)
    {
      round_read (watch, "");
      return true;
    }
  for (size_t i = 0; i < head->team_count; i++)
    round_read (watch, head->teams[i]);
  return true;
}

/* Returns whether reads have been started, after which the loop goes on.  */
static bool
take_head (struct sync_watch *watch, const struct platform_reply *reply)
{
  struct sync_head head = { 0 };
  struct log *log = kernel_log (watch->kernel);
  if (reply->item_count > 0
      && !sync_head_parse (reply->items[0].value, reply->items[0].value_bytes,
                           watch->state->store.revision, &head))
    {
      log_event (log, LOG_ERR, "config_head_malformed",
                 LOG_U ("index", reply->items[0].index));
      return false;
    }
  if (watch->state->store.known
      && head.revision < watch->state->store.revision)
    log_event (log, LOG_ERR, "config_head_lower",
               LOG_U ("revision", head.revision),
               LOG_U ("in_force", watch->state->store.revision));
  return round_start (watch, &head);
}

static void
loop_done (void *arg, const struct platform_reply *reply)
{
  struct watch_loop *loop = arg;
  struct sync_watch *watch = loop->watch;
  loop->call = 0;
  if (reply->status != PLATFORM_OK && reply->status != PLATFORM_NOT_FOUND)
    {
      loop_failed (loop);
      return;
    }
  /* An index that went back belongs to a restored platform.  */
  loop->item_count = reply->item_count;
  loop->index = reply->index < loop->index ? 0 : reply->index;
  if (loop->kind == LOOP_TERMS)
    take_terms (watch, reply);
  else if (loop->kind == LOOP_HOSTS)
    sync_hosts_set (&watch->state->hosts, reply->index, reply->hosts,
                    reply->host_count);
  else if (take_head (watch, reply))
    return;
  loop_succeeded (loop);
}

static clk_ms
wait_of (const struct watch_loop *loop)
{
  const struct sync_watch *watch = loop->watch;
  bool large = members_count (watch->state->members) > LARGE_HOSTS;
  /* The first read returns at once, so that its age is known.  */
  if (loop->index == 0)
    return 0;
  if (large && loop->kind == LOOP_TERMS && watch->mode == SYNC_RELAY)
    return LARGE_TERMS_WAIT_MS;
  return rules[loop->kind].wait_ms[watch->mode];
}

static void
loop_start (struct watch_loop *loop)
{
  struct sync_watch *watch = loop->watch;
  const struct loop_rule *rule = &rules[loop->kind];
  if (!is_wanted (loop) || loop->call != 0
      || (loop->kind == LOOP_HEAD && watch->round.running))
    return;
  if (!take_token (watch))
    {
      loop_schedule (loop, kernel_now (watch->kernel) + TOKEN_MS);
      return;
    }
  const struct platform_call call = {
    .kind = rule->call,
    .purpose = rule->purpose,
    .key = rule->key,
    .wait_index = loop->index,
    .wait_ms = wait_of (loop),
    .timeout_ms = CALL_TIMEOUT_MS,
  };
  loop->sent_ms = kernel_now (watch->kernel);
  loop->call = watch->port->ops->call (watch->port, &call, loop_done, loop);
}

static void
loop_fire (void *arg)
{
  loop_start (arg);
}

struct sync_watch *
sync_watch_new (struct platform_port *port, struct sync_state *state,
                void (*news) (void *), void *arg)
{
  struct sync_watch *watch = mem_zalloc (sizeof *watch);
  struct kernel *kernel = state->kernel;
  watch->kernel = kernel;
  watch->port = port;
  watch->state = state;
  watch->news = news;
  watch->arg = arg;
  watch->tokens = TOKENS_MAX;
  watch->tokens_ms = kernel_now (kernel);
  for (size_t i = 0; i < LOOP_COUNT; i++)
    watch->loops[i] = (struct watch_loop){
      .watch = watch,
      .kind = (enum loop_kind)i,
      .failing_since_ms = CLK_NEVER,
      .timer = { .fire = loop_fire, .arg = &watch->loops[i] },
    };
  return watch;
}

static void
loop_stop (struct watch_loop *loop)
{
  struct sync_watch *watch = loop->watch;
  kernel_timer_cancel (watch->kernel, &loop->timer);
  if (loop->call != 0)
    watch->port->ops->cancel (watch->port, loop->call);
  loop->call = 0;
  loop->failures = 0;
  loop->failing_since_ms = CLK_NEVER;
}

static void
round_stop (struct sync_watch *watch)
{
  struct round *round = &watch->round;
  for (size_t i = 0; i < round->read_count; i++)
    if (round->reads[i].call != 0)
      watch->port->ops->cancel (watch->port, round->reads[i].call);
  round->running = false;
  round->read_count = 0;
  watch->loops[LOOP_HEAD].index = 0;
}

void
sync_watch_free (struct sync_watch *watch)
{
  if (watch == NULL)
    return;
  sync_watch_set_mode (watch, SYNC_OFF);
  free (watch);
}

void
sync_watch_set_mode (struct sync_watch *watch, enum sync_mode mode)
{
  if (mode == watch->mode)
    return;
  watch->mode = mode;
  for (size_t i = 0; i < LOOP_COUNT; i++)
    {
      struct watch_loop *loop = &watch->loops[i];
      if (!is_wanted (loop))
        loop_stop (loop);
      else if (loop->call == 0 && loop->timer.slot == 0)
        loop_schedule (loop, kernel_now (watch->kernel));
    }
  if (mode <= SYNC_START && watch->round.running)
    round_stop (watch);
}

enum sync_mode
sync_watch_mode (const struct sync_watch *watch)
{
  return watch->mode;
}

clk_ms
sync_watch_failing_ms (const struct sync_watch *watch)
{
  clk_ms since_ms = watch->loops[LOOP_TERMS].failing_since_ms;
  return since_ms == CLK_NEVER ? 0 : kernel_now (watch->kernel) - since_ms;
}
