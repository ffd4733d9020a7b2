#include "load_mix.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

#define RAMP_STEP_MS 50

const char load_kinds[]
    = "{\"release\": {\"write\": true, \"repeatable\": false, \"ack\": "
      "\"majority\"},"
      "\"count\": {\"write\": false, \"repeatable\": true, \"freshness\": "
      "\"session\"},"
      "\"exact\": {\"write\": false, \"repeatable\": true, \"freshness\": "
      "\"strong\"},"
      "\"history\": {\"write\": false, \"repeatable\": true, \"freshness\": "
      "\"session\", \"deadline_ms\": 30000}}";

struct load_session
{
  struct load *load;
  size_t index;
  char token[TOKEN_LIMIT_BYTES];
  uint64_t written; /* last value submitted */
  uint64_t seen;    /* highest value acknowledged or read */
  bool writing;
  bool is_long;
  clk_ms started_ms;
  struct load_stats *stats;
  struct load_session *next_idle;
};

struct load
{
  struct rig *rig;
  struct load_options options;
  double rate_per_s;
  double carry;
  struct load_stats *stats;
  struct load_session *sessions[LOAD_SESSIONS];
  size_t session_count;
  struct load_session *idle;
  struct ktimer timer;
};

static void
record_latency (struct load_latencies *latencies, clk_ms spent_ms)
{
  clk_ms bucket = spent_ms < LOAD_BUCKETS ? spent_ms : LOAD_BUCKETS - 1;
  latencies->count++;
  latencies->buckets[bucket]++;
}

static uint64_t
payload_value (const struct entry_answer *answer)
{
  unsigned long long value = 0;
  char text[64] = "";
  snprintf (text, sizeof text, "%.*s", (int)answer->payload_bytes,
            answer->payload != NULL ? answer->payload : "");
  if (sscanf (text, "{\"value\": \"%llu\"}", &value) != 1)
    return 0;
  return value;
}

static void
record_done (struct load_session *s, const struct entry_answer *answer)
{
  struct load_stats *stats = s->stats;
  if (s->writing)
    {
      s->seen = s->written;
      record_latency (&stats->write_done,
                      rig_now (s->load->rig) - s->started_ms);
      return;
    }
  uint64_t value = payload_value (answer);
  stats->reads++;
  stats->replica_reads += strstr (answer->served_by, "/i0") == NULL;
  stats->stale += value < s->seen;
  if (value > s->seen)
    s->seen = value;
}

static void
on_answer (void *arg, const struct entry_answer *answer)
{
  struct load_session *s = arg;
  struct load_stats *stats = s->stats;
  clk_ms spent_ms = rig_now (s->load->rig) - s->started_ms;
  if (answer->outcome == OUTCOME_DONE)
    {
      record_done (s, answer);
      record_latency (s->is_long ? &stats->long_done : &stats->short_done,
                      spent_ms);
    }
  else if (answer->outcome == OUTCOME_NOT_RUN)
    record_latency (&stats->refused, spent_ms);
  else
    stats->unknown++;
  if (answer->token != NULL)
    memcpy (s->token, answer->token, strlen (answer->token) + 1);
  s->next_idle = s->load->idle;
  s->load->idle = s;
}

static struct load_session *
acquire_session (struct load *load)
{
  struct load_session *s = load->idle;
  if (s != NULL)
    {
      load->idle = s->next_idle;
      return s;
    }
  if (load->session_count == LOAD_SESSIONS)
    return NULL;
  s = mem_zalloc (sizeof *s);
  s->load = load;
  s->index = load->session_count;
  load->sessions[load->session_count++] = s;
  return s;
}

static clk_ms
draw_cost (struct load *load)
{
  const struct load_options *o = &load->options;
  uint64_t span = (uint64_t)(o->short_max_ms - o->short_min_ms + 1);
  return o->short_min_ms + (clk_ms)rng_below (rig_rng (load->rig), span);
}

static void
submit_one (struct load *load)
{
  const struct load_options *o = &load->options;
  struct rng *rng = rig_rng (load->rig);
  char statement[96];
  struct load_session *s = acquire_session (load);
  if (s == NULL)
    return;
  s->is_long = rng_below (rng, 1000) < o->long_permille;
  s->writing = !s->is_long && rng_below (rng, 1000) < o->write_permille;
  s->started_ms = rig_now (load->rig);
  s->stats = load->stats;
  clk_ms cost_ms = s->is_long ? o->long_ms : draw_cost (load);
  if (s->writing)
    snprintf (statement, sizeof statement, "put s%zu %llu %lld", s->index,
              (unsigned long long)++s->written, (long long)cost_ms);
  else
    snprintf (statement, sizeof statement, "get s%zu %lld", s->index,
              (long long)cost_ms);
  const struct entry_request request
      = { .action = ENTRY_STATEMENT,
          .service = RIG_SERVICE,
          .caller = RIG_CALLER,
          .secret = RIG_SECRET,
          .database = "d0",
          .kind = s->is_long   ? "history"
                  : s->writing ? "release"
                               : "count",
          .statement = statement,
          .token = s->token,
          .deadline_ms = s->is_long ? o->long_deadline_ms : o->deadline_ms };
  s->stats->submitted++;
  s->stats->long_submitted += s->is_long;
  size_t host = (size_t)rng_below (rng, rig_host_count (load->rig));
  entry_submit (rig_entry (load->rig, host), &request, on_answer, s);
}

/* Returns a random number of arrivals, Poisson distributed with MEAN (Knuth's
   algorithm).  */
static uint32_t
draw_arrivals (struct rng *rng, double mean)
{
  double limit = exp (-mean);
  double product = rng_unit (rng);
  uint32_t count = 0;
  while (product > limit)
    {
      product *= rng_unit (rng);
      count++;
    }
  return count;
}

static void
on_tick (void *arg)
{
  struct load *load = arg;
  uint32_t count
      = draw_arrivals (rig_rng (load->rig), load->rate_per_s / 1000.0);
  for (uint32_t i = 0; i < count; i++)
    submit_one (load);
  kernel_timer_set (rig_world_kernel (load->rig), &load->timer,
                    rig_now (load->rig) + 1);
}

struct load *
load_new (struct rig *rig, const struct load_options *options)
{
  struct load *load = mem_zalloc (sizeof *load);
  load->rig = rig;
  load->options = *options;
  load->timer.fire = on_tick;
  load->timer.arg = load;
  kernel_timer_set (rig_world_kernel (rig), &load->timer, rig_now (rig));
  return load;
}

void
load_free (struct load *load)
{
  kernel_timer_cancel (rig_world_kernel (load->rig), &load->timer);
  for (size_t i = 0; i < load->session_count; i++)
    free (load->sessions[i]);
  free (load);
}

void
load_set_rate (struct load *load, double rate_per_s)
{
  load->rate_per_s = rate_per_s;
}

void
load_set_stats (struct load *load, struct load_stats *stats)
{
  load->stats = stats;
}

void
load_ramp (struct load *load, double rate_per_s, clk_ms span_ms)
{
  double from = load->rate_per_s;
  clk_ms spent_ms = 0;
  while (spent_ms < span_ms)
    {
      rig_run (load->rig, RAMP_STEP_MS);
      spent_ms += RAMP_STEP_MS;
      load->rate_per_s
          = from + (rate_per_s - from) * (double)spent_ms / (double)span_ms;
    }
  load->rate_per_s = rate_per_s;
}

clk_ms
load_percentile (const struct load_latencies *latencies, uint32_t permille)
{
  uint64_t rank = (latencies->count * permille + 999) / 1000;
  uint64_t sum = 0;
  for (size_t i = 0; i < LOAD_BUCKETS; i++)
    {
      sum += latencies->buckets[i];
      if (sum >= rank && sum > 0)
        return (clk_ms)i;
    }
  return 0;
}
