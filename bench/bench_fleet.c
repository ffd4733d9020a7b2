/* bench_fleet - cost of sharing state among the hosts of a fleet.

   Usage: bench_fleet [HOSTS...]

   Simulates, in one process and virtual time, fleets of HOSTS hosts that share
   configuration, term records and the list of hosts.  Prints messages, bytes,
   processor time and platform calls.  Each host has the modules view, members,
   peers, terms and sync.  A peer message takes PEER_DELAY_MS; its size is that
   of its XDR encoding and of the headers around it.  */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/peers.h"
#include "core/peers_copy.h"
#include "core/sync.h"
#include "core/sync_head.h"
#include "core/terms.h"
#include "core/view_module.h"
#include "kernel/mem.h"

#define DOMAINS 6
#define PEER_DELAY_MS 2
#define PLATFORM_DELAY_MS 3
#define MAX_KEYS 512

/* Size of what is sent around the XDR encoding: the ONC RPC header with its
   authenticator, the TCP and IP headers, and a separate TCP acknowledgement,
   since the reply does not follow at once.  */
#define CALL_HEADER_BYTES (76 + 52 + 52)
#define REPLY_HEADER_BYTES (60 + 52 + 52)
#define PLATFORM_HEADER_BYTES 600 /* of a call and its reply */

struct fleet;

struct host
{
  struct fleet *fleet;
  struct kernel *kernel;
  struct rng rng;
  struct view *view;
  struct terms *terms;
  struct sync *sync;
  struct peer_port peer;
  struct platform_port platform;
  peer_handler handler;
  void *handler_arg;
  uint64_t messages;
  uint64_t bytes;
  uint64_t platform_calls;
  clk_ms reached_ms; /* first time at the awaited revision; -1 if not yet */
  bool alive;
};

struct key
{
  char name[NAME_BYTES];
  char *value;
  uint64_t index;
};

struct fleet
{
  struct clk_virtual clk;
  struct rng rng;
  struct log *log;
  struct kernel *world;
  size_t count;
  struct host *hosts;
  struct platform_host *host_list;
  uint64_t host_list_index;
  uint64_t index;
  uint64_t terms_index;
  size_t key_count;
  struct key keys[MAX_KEYS];
  struct pending_call *platform_reads;
  bool outage;
  uint64_t next_id;
  uint64_t calls_this_s; /* to the platform, since second_start_ms */
  uint64_t calls_peak_s;
  clk_ms second_start_ms;
};

static struct fleet fleet;

/* A peer call or a platform read in flight.  */
struct pending_call
{
  struct host *host; /* receiver of a peer call; reader of the platform */
  struct host *from; /* sender of a peer call */
  uint64_t id;
  peer_message *message;
  enum peer_status status;
  peer_done done;
  platform_done platform_done;
  void *arg;
  enum platform_call_kind kind;
  char *key;
  uint64_t wait_index;
  clk_ms wait_until_ms;
  bool cancelled;
  bool waiting; /* platform read waits for a change */
  struct ktimer timer;
  struct ktimer timeout;
  struct pending_call *next;
};

static struct pending_call *calls; /* peer calls in flight */

static struct host *
host_of_port (struct peer_port *port)
{
  return (struct host *)((char *)port - offsetof (struct host, peer));
}

static void
set_timer_after (struct ktimer *timer, clk_ms delay_ms, void (*fire) (void *),
                 void *arg)
{
  timer->fire = fire;
  timer->arg = arg;
  kernel_timer_set (fleet.world, timer, fleet.clk.now_ms + delay_ms);
}

static void
count_message (struct host *a, struct host *b, const peer_message *message,
               size_t header)
{
  size_t bytes
      = xdr_sizeof ((xdrproc_t)xdr_peer_message, (void *)message) + header;
  a->messages++;
  b->messages++;
  a->bytes += bytes;
  b->bytes += bytes;
}

static void
unlink_call (struct pending_call *call)
{
  struct pending_call **p = &calls;
  while (*p != call)
    p = &(*p)->next;
  *p = call->next;
}

static void
end_call (struct pending_call *call)
{
  unlink_call (call);
  kernel_timer_cancel (fleet.world, &call->timer);
  kernel_timer_cancel (fleet.world, &call->timeout);
  peers_message_free (call->message);
  free (call);
}

static void
finish_call (struct pending_call *call, enum peer_status status)
{
  peer_message *message = call->message;
  call->message = NULL;
  peer_done done = call->done;
  void *arg = call->arg;
  bool deliver = !call->cancelled && call->from->alive;
  end_call (call);
  if (deliver)
    done (arg, status, status == PEER_OK ? message : NULL);
  peers_message_free (message);
}

static void
deliver_reply (void *arg)
{
  finish_call (arg, PEER_OK);
}

static void
time_out_call (void *arg)
{
  finish_call (arg, PEER_TIMEOUT);
}

static void
deliver_call (void *arg)
{
  struct pending_call *call = arg;
  if (!call->host->alive || call->host->handler == NULL)
    return;
  peer_message *message = call->message;
  call->message = NULL;
  call->host->handler (call->host->handler_arg, call->id, message);
  peers_message_free (message);
}

static uint64_t
peer_call (struct peer_port *port, const struct peer_address *to,
           const peer_message *message, clk_ms timeout_ms, peer_done done,
           void *arg)
{
  struct pending_call *call = mem_zalloc (sizeof *call);
  call->from = host_of_port (port);
  call->host = &fleet.hosts[to->port - 1];
  call->id = ++fleet.next_id;
  call->message = peers_message_copy (message);
  call->done = done;
  call->arg = arg;
  call->next = calls;
  calls = call;
  count_message (call->from, call->host, message, CALL_HEADER_BYTES);
  set_timer_after (&call->timer, PEER_DELAY_MS, deliver_call, call);
  set_timer_after (&call->timeout, timeout_ms, time_out_call, call);
  return call->id;
}

static struct pending_call *
find_call (uint64_t id)
{
  struct pending_call *call = calls;
  while (call != NULL && call->id != id)
    call = call->next;
  return call;
}

static void
peer_cancel (struct peer_port *port, uint64_t id)
{
  struct pending_call *call = find_call (id);
  (void)port;
  if (call != NULL)
    call->cancelled = true;
}

static void
peer_reply (struct peer_port *port, uint64_t id, const peer_message *message)
{
  struct pending_call *call = find_call (id);
  if (call == NULL)
    return;
  count_message (host_of_port (port), call->from, message, REPLY_HEADER_BYTES);
  call->message = peers_message_copy (message);
  set_timer_after (&call->timer, PEER_DELAY_MS, deliver_reply, call);
}

static void
peer_set_handler (struct peer_port *port, peer_handler handler, void *arg)
{
  host_of_port (port)->handler = handler;
  host_of_port (port)->handler_arg = arg;
}

static const struct peer_port_ops peer_ops
    = { .call = peer_call,
        .cancel = peer_cancel,
        .reply = peer_reply,
        .set_handler = peer_set_handler };

/* The platform serves reads only: the benchmark sets the keys directly.  */

static void
count_platform_call (struct host *host, size_t bytes)
{
  if (fleet.clk.now_ms - fleet.second_start_ms >= 1000)
    {
      fleet.second_start_ms = fleet.clk.now_ms;
      fleet.calls_this_s = 0;
    }
  if (++fleet.calls_this_s > fleet.calls_peak_s)
    fleet.calls_peak_s = fleet.calls_this_s;
  host->platform_calls++;
  host->bytes += bytes + PLATFORM_HEADER_BYTES;
}

static uint64_t
platform_index (const struct pending_call *call)
{
  if (call->kind == PLATFORM_HOSTS)
    return fleet.host_list_index;
  if (call->kind == PLATFORM_LIST
      && strncmp (call->key, TERMS_PREFIX, strlen (TERMS_PREFIX)) == 0)
    return fleet.terms_index;
  return fleet.index;
}

static size_t
select_items (const struct pending_call *call, struct platform_item *items)
{
  size_t count = 0;
  for (size_t i = 0; i < fleet.key_count; i++)
    {
      const struct key *key = &fleet.keys[i];
      bool match
          = call->kind == PLATFORM_GET
                ? strcmp (key->name, call->key) == 0
                : strncmp (key->name, call->key, strlen (call->key)) == 0;
      if (match)
        items[count++]
            = (struct platform_item){ .key = (char *)key->name,
                                      .value = key->value,
                                      .value_bytes = strlen (key->value),
                                      .index = key->index };
    }
  return count;
}

static void
answer_platform_call (void *arg)
{
  struct pending_call *call = arg;
  static struct platform_item items[MAX_KEYS];
  struct platform_reply reply = { .index = platform_index (call) };
  size_t bytes = 0;
  if (fleet.outage)
    reply.status = PLATFORM_UNAVAILABLE;
  else if (platform_index (call) <= call->wait_index
           && fleet.clk.now_ms < call->wait_until_ms)
    {
      call->waiting = true;
      set_timer_after (&call->timer, call->wait_until_ms - fleet.clk.now_ms,
                       answer_platform_call, call);
      return;
    }
  else if (call->kind == PLATFORM_HOSTS)
    {
      reply.hosts = fleet.host_list;
      reply.host_count = fleet.count;
      bytes = reply.index > call->wait_index ? fleet.count * 200 : 0;
    }
  else
    {
      reply.items = items;
      reply.item_count = select_items (call, items);
      for (size_t i = 0; i < reply.item_count; i++)
        bytes += items[i].value_bytes;
      reply.status = reply.item_count > 0 || call->kind == PLATFORM_LIST
                         ? PLATFORM_OK
                         : PLATFORM_NOT_FOUND;
    }
  count_platform_call (call->host, bytes);
  struct pending_call **p = &fleet.platform_reads;
  while (*p != call)
    p = &(*p)->next;
  *p = call->next;
  if (!call->cancelled && call->host->alive)
    call->platform_done (call->arg, &reply);
  free (call->key);
  free (call);
}

static uint64_t
platform_call (struct platform_port *port, const struct platform_call *from,
               platform_done done, void *arg)
{
  struct pending_call *call = mem_zalloc (sizeof *call);
  call->host
      = (struct host *)((char *)port - offsetof (struct host, platform));
  call->id = ++fleet.next_id;
  call->kind = from->kind;
  call->key = mem_strdup (from->key != NULL ? from->key : "");
  call->wait_index = from->wait_index;
  call->wait_until_ms = fleet.clk.now_ms + from->wait_ms;
  call->platform_done = done;
  call->arg = arg;
  call->next = fleet.platform_reads;
  fleet.platform_reads = call;
  set_timer_after (&call->timer, PLATFORM_DELAY_MS, answer_platform_call,
                   call);
  return call->id;
}

static void
platform_cancel (struct platform_port *port, uint64_t id)
{
  (void)port;
  for (struct pending_call *c = fleet.platform_reads; c != NULL; c = c->next)
    if (c->id == id)
      c->cancelled = true;
}

static const struct platform_port_ops platform_ops
    = { .call = platform_call, .cancel = platform_cancel };

static void
set_key (const char *name, const char *value)
{
  size_t i = 0;
  while (i < fleet.key_count && strcmp (fleet.keys[i].name, name) != 0)
    i++;
  if (i == fleet.key_count)
    fleet.key_count++;
  struct key *key = &fleet.keys[i];
  snprintf (key->name, sizeof key->name, "%s", name);
  free (key->value);
  key->value = mem_strdup (value);
  key->index = ++fleet.index;
  if (strncmp (name, TERMS_PREFIX, strlen (TERMS_PREFIX)) == 0)
    fleet.terms_index = fleet.index;
  for (struct pending_call *c = fleet.platform_reads; c != NULL; c = c->next)
    if (c->waiting)
      set_timer_after (&c->timer, 0, answer_platform_call, c);
}

static void
configure (uint64_t revision)
{
  char head[160];
  snprintf (head, sizeof head,
            "{\"revision\":%llu,\"changes\":[{\"revision\":%llu,"
            "\"team\":\"t\"}]}",
            (unsigned long long)revision, (unsigned long long)revision);
  set_key (SYNC_CONFIG_PREFIX "t", "{}");
  set_key (SYNC_HEAD_KEY, head);
}

static void
start_host (size_t i)
{
  struct host *host = &fleet.hosts[i];
  const struct platform_host *entry = &fleet.host_list[i];
  struct member self = { .address.port = entry->port,
                         .address.incarnation = entry->incarnation };
  memcpy (self.address.name, entry->name, NAME_BYTES);
  memcpy (self.address.address, entry->address, ADDRESS_BYTES);
  memcpy (self.domain, entry->domain, NAME_BYTES);
  rng_init (&host->rng, i + 1);
  host->fleet = &fleet;
  host->alive = true;
  host->reached_ms = -1;
  host->peer.ops = &peer_ops;
  host->platform.ops = &platform_ops;
  host->kernel = kernel_new (&fleet.clk.base, &host->rng, fleet.log);
  host->view = view_new ();
  host->terms = terms_new ();
  host->sync = sync_new (&host->platform, host->view, 0, NULL);
  kernel_register (host->kernel, view_module_new (host->view));
  kernel_register (host->kernel, members_module (members_new (&self)));
  kernel_register (host->kernel, peers_module (peers_new (&host->peer)));
  kernel_register (host->kernel, terms_module (host->terms));
  kernel_register (host->kernel, sync_module (host->sync));
  kernel_start (host->kernel);
}

static void
discard_line (void *arg, int priority, const char *line)
{
  (void)arg;
  (void)priority;
  (void)line;
}

static void
fleet_init (size_t count)
{
  memset (&fleet, 0, sizeof fleet);
  clk_virtual_init (&fleet.clk, 10000);
  rng_init (&fleet.rng, 1);
  fleet.log = log_new (&fleet.clk.base, LOG_EMERG, 0, discard_line, NULL);
  fleet.world = kernel_new (&fleet.clk.base, &fleet.rng, fleet.log);
  fleet.count = count;
  fleet.hosts = mem_zalloc (count * sizeof *fleet.hosts);
  fleet.host_list = mem_zalloc (count * sizeof *fleet.host_list);
  fleet.host_list_index = 1;
  set_key (TERMS_PREFIX "t/s/d",
           "{\"term\":1,\"state\":\"active\",\"primary\":\"t/s/d/a\","
           "\"attempt\":\"\",\"coordinator\":\"\",\"starts\":[]}");
  for (size_t i = 0; i < count; i++)
    {
      struct platform_host *host = &fleet.host_list[i];
      snprintf (host->name, NAME_BYTES, "entry-%05zu", i);
      snprintf (host->address, ADDRESS_BYTES, "10.0.%zu.%zu", i >> 8, i & 255);
      snprintf (host->domain, NAME_BYTES, "domain-%zu", i % DOMAINS);
      host->port = (uint16_t)(i + 1);
      host->incarnation = i + 1;
    }
  configure (1);
}

static void
fleet_clear (void)
{
  for (size_t i = 0; i < fleet.count; i++)
    kernel_free (fleet.hosts[i].kernel);
  while (calls != NULL)
    end_call (calls);
  while (fleet.platform_reads != NULL)
    {
      struct pending_call *next = fleet.platform_reads->next;
      kernel_timer_cancel (fleet.world, &fleet.platform_reads->timer);
      free (fleet.platform_reads->key);
      free (fleet.platform_reads);
      fleet.platform_reads = next;
    }
  for (size_t i = 0; i < fleet.key_count; i++)
    free (fleet.keys[i].value);
  kernel_free (fleet.world);
  log_free (fleet.log);
  free (fleet.hosts);
  free (fleet.host_list);
}

/* Advances the time by SPAN_MS.  Records when each host first has
   REVISION.  */
static void
run (clk_ms span_ms, uint64_t revision)
{
  clk_ms end_ms = fleet.clk.now_ms + span_ms;
  while (fleet.clk.now_ms < end_ms)
    {
      fleet.clk.now_ms++;
      kernel_run_due (fleet.world);
      for (size_t i = 0; i < fleet.count; i++)
        {
          struct host *host = &fleet.hosts[i];
          if (!host->alive)
            continue;
          if (kernel_next_due (host->kernel) <= fleet.clk.now_ms)
            kernel_run_due (host->kernel);
          bool reached = sync_ready (host->sync)
                         && sync_revision (host->sync) >= revision;
          if (host->reached_ms < 0 && reached)
            host->reached_ms = fleet.clk.now_ms;
        }
    }
}

static int
compare_spans (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;
  return x < y ? -1 : x > y ? 1 : 0;
}

/* Prints how long after FROM_MS the hosts reached the awaited revision.  */
static void
print_reached (const char *label, clk_ms from_ms)
{
  int64_t *spans = mem_zalloc (fleet.count * sizeof *spans);
  size_t count = 0, missing = 0;
  for (size_t i = 0; i < fleet.count; i++)
    {
      if (!fleet.hosts[i].alive)
        continue;
      if (fleet.hosts[i].reached_ms < 0)
        missing++;
      else
        spans[count++] = fleet.hosts[i].reached_ms - from_ms;
    }
  qsort (spans, count, sizeof *spans, compare_spans);
  if (count > 0)
    printf ("  %-34s p50 %5lld ms  p99 %5lld ms  max %5lld ms  missing %zu\n",
            label, (long long)spans[count / 2],
            (long long)spans[count * 99 / 100], (long long)spans[count - 1],
            missing);
  free (spans);
}

static void
clear_reached (void)
{
  for (size_t i = 0; i < fleet.count; i++)
    fleet.hosts[i].reached_ms = -1;
}

static void
reset_counts (void)
{
  for (size_t i = 0; i < fleet.count; i++)
    {
      struct host *host = &fleet.hosts[i];
      host->messages = host->bytes = host->platform_calls = 0;
    }
  fleet.calls_peak_s = fleet.calls_this_s = 0;
}

struct traffic
{
  size_t count;
  uint64_t messages, bytes, bytes_max, platform_calls;
};

static void
add_traffic (struct traffic *t, const struct host *host)
{
  t->count++;
  t->messages += host->messages;
  t->bytes += host->bytes;
  t->platform_calls += host->platform_calls;
  if (host->bytes > t->bytes_max)
    t->bytes_max = host->bytes;
}

static void
print_traffic (const char *role, const struct traffic *t, double span_s)
{
  double n = t->count > 0 ? (double)t->count : 1;
  printf ("  %-8s %4zu hosts: messages/s %5.2f  bytes/s mean %6.0f max %6.0f "
          " platform calls/s %5.2f\n",
          role, t->count, (double)t->messages / n / span_s,
          (double)t->bytes / n / span_s, (double)t->bytes_max / span_s,
          (double)t->platform_calls / n / span_s);
}

static double
cpu_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static void
measure_steady (void)
{
  const double span_s = 20;
  struct traffic relays = { 0 }, others = { 0 };
  clk_ms age_max_ms = 0;
  uint64_t calls_total = 0;
  reset_counts ();
  double start_ms = cpu_ms ();
  for (int step = 0; step < (int)span_s * 10; step++)
    {
      run (100, 0);
      for (size_t i = 0; i < fleet.count; i++)
        if (sync_view_age_ms (fleet.hosts[i].sync) > age_max_ms)
          age_max_ms = sync_view_age_ms (fleet.hosts[i].sync);
    }
  double spent_ms = cpu_ms () - start_ms;
  for (size_t i = 0; i < fleet.count; i++)
    {
      add_traffic (sync_is_relay (fleet.hosts[i].sync) ? &relays : &others,
                   &fleet.hosts[i]);
      calls_total += fleet.hosts[i].platform_calls;
    }
  print_traffic ("relays", &relays, span_s);
  print_traffic ("others", &others, span_s);
  printf ("  platform calls/s of all %.1f, age of view max %lld ms, "
          "processor %.4f %% of a core a host\n",
          (double)calls_total / span_s, (long long)age_max_ms,
          spent_ms / 10 / span_s / (double)fleet.count);
}

static void
measure_relay_loss (void)
{
  size_t lost = 0;
  for (size_t i = 0; i < fleet.count && lost < 2; i++)
    if (sync_is_relay (fleet.hosts[i].sync)
        && strcmp (fleet.host_list[i].domain, "domain-0") == 0)
      {
        fleet.hosts[i].alive = false;
        lost++;
      }
  run (2000, 0);
  clear_reached ();
  clk_ms from_ms = fleet.clk.now_ms;
  configure (3);
  run (5000, 3);
  print_reached ("change 2 s after both relays died", from_ms);
}

static void
measure_recovery (void)
{
  fleet.outage = true;
  run (60000, 0);
  fleet.outage = false;
  reset_counts ();
  clear_reached ();
  clk_ms from_ms = fleet.clk.now_ms;
  configure (4);
  run (10000, 4);
  print_reached ("change at the end of an outage", from_ms);
  printf ("  platform calls at recovery: peak %llu in a second\n",
          (unsigned long long)fleet.calls_peak_s);
}

static void
measure (size_t count)
{
  struct mallinfo2 before = mallinfo2 ();
  fleet_init (count);
  printf ("%zu hosts in %d domains\n", count, DOMAINS);
  clk_ms from_ms = fleet.clk.now_ms;
  for (size_t i = 0; i < count; i++)
    start_host (i);
  run (15000, 1);
  print_reached ("all start at once: ready", from_ms);
  printf ("  platform calls at start: peak %llu in a second\n",
          (unsigned long long)fleet.calls_peak_s);
  struct mallinfo2 now = mallinfo2 ();
  printf ("  heap %.1f KB a host\n",
          (double)(now.uordblks + now.hblkhd - before.uordblks - before.hblkhd)
              / 1024 / (double)count);
  measure_steady ();
  clear_reached ();
  from_ms = fleet.clk.now_ms;
  configure (2);
  run (5000, 2);
  print_reached ("change of configuration in force", from_ms);
  measure_relay_loss ();
  measure_recovery ();
  fleet_clear ();
}

int
main (int argc, char **argv)
{
  static const size_t sizes[] = { 17, 68, 272, 816 };
  for (int i = 1; i < argc; i++)
    measure (strtoul (argv[i], NULL, 10));
  for (size_t i = 0; argc < 2 && i < sizeof sizes / sizeof sizes[0]; i++)
    measure (sizes[i]);
  return 0;
}
