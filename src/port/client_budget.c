#include "port/client_budget_impl.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <utlist.h>

#include "kernel/mem.h"

/* Part of the machine's memory for connections.  The rest is for the program
   and its contents of the store, copies of a message while it is handled, and
   what the allocator can't return.  */
#define MEMORY_PART 3
#define MEMORY_MAX_BYTES ((size_t)1024 * 1024 * 1024)
#define MEMORY_MIN_BYTES ((size_t)4 * 1024 * 1024)

/* Descriptors kept for files.  */
#define FILE_DESCRIPTORS 200

/* Blocks from this size are mapped, and thus returned to the system when they
   are freed.  glibc would raise its threshold with the first such block.  */
#define MAPPED_BYTES (128 * 1024)

#define SWEEP_MS 250

/* A message or answer makes progress if at least this much of it has moved
   since the last check that saw progress.  */
#define PROGRESS_BYTES 4096

/* A connection is closed in favour of a new one only if it has made no
   progress for this long.  */
#define REPLACE_MS 2000

/* Only connections that hold more are closed for want of memory: closing
   others gains little.  */
#define EVICT_MIN_BYTES ((size_t)12 * 1024)

/* Waiting for a room is limited to this multiple of the time without
   progress.  */
#define ROOM_WAIT_FACTOR 3

/* Free memory is returned to the system after a decrease by this much.  */
#define TRIM_BYTES ((size_t)256 * 1024)
#define TRIM_INTERVAL_MS 1000

#define LOG_INTERVAL_MS 1000

static const char *const reasons[REASONS] = {
  [REASON_STARTUP] = "no first request",
  [REASON_MESSAGE] = "unfinished message",
  [REASON_UNREAD] = "unread answer",
  [REASON_NO_ROOM] = "no room",
  [REASON_SLOW] = "slow with a room",
  [REASON_MEMORY] = "memory",
  [REASON_REPLACED] = "replaced",
  [REASON_REFUSED] = "too many",
};

static const char *const interfaces[CLIENT_INTERFACES]
    = { [CLIENT_CALLERS] = "callers",
        [CLIENT_HOSTS] = "hosts",
        [CLIENT_OPERATORS] = "operators",
        [CLIENT_INSTANCES] = "instances" };

/* Size of the objects of a connection; measured with idle sessions.  */
static const size_t base_bytes[CLIENT_INTERFACES]
    = { [CLIENT_CALLERS] = 6144,
        [CLIENT_HOSTS] = 3072,
        [CLIENT_OPERATORS] = 6144,
        [CLIENT_INSTANCES] = 8192 };

/* Percentages of the descriptors that are not for files.  The others are for
   instances, the store, and calls to other hosts.  */
static const size_t descriptor_percent[CLIENT_INTERFACES]
    = { [CLIENT_CALLERS] = 45, [CLIENT_HOSTS] = 20, [CLIENT_OPERATORS] = 5 };

/* Parts of the memory for connections, as divisors.  */
static const size_t pool_part[ROOM_POOLS] = { [ROOMS_MESSAGES] = 4,
                                              [ROOMS_ANSWERS] = 4,
                                              [ROOMS_CALLS] = 8,
                                              [ROOMS_RUNNING] = 4,
                                              [ROOMS_STRANGERS] = 16 };

static size_t
bytes_of (const struct client *client)
{
  return base_bytes[client->interface] + client->buffered_bytes
         + client->held_bytes;
}

/* Adjusts the sum by a change from BEFORE to AFTER.  */
static void
change_bytes (struct client_budget *budget, size_t before, size_t after)
{
  budget->bytes = budget->bytes - before + after;
  if (budget->bytes > budget->peak_bytes)
    budget->peak_bytes = budget->bytes;
  if (budget->bytes > budget->limit_bytes
      && budget->bytes > budget->swept_bytes + budget->limit_bytes / 64)
    event_active (budget->sweep, EV_TIMEOUT, 0);
}

static void
count (struct client_budget *budget, enum client_interface interface,
       enum reason reason)
{
  char name[128];
  budget->unlogged[interface][reason]++;
  if (budget->options.metrics == NULL)
    return;
  snprintf (name, sizeof name,
            "clients_closed_total{interface=\"%s\",why=\"%s\"}",
            interfaces[interface], reasons[reason]);
  metrics_increment (budget->options.metrics, name);
}

void
client_close (struct client *client, enum reason reason)
{
  count (client->budget, client->interface, reason);
  client->ops->close (client);
}

/* Clients.  */

static void
on_buffer (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *arg)
{
  struct client *client = arg;
  size_t before = bytes_of (client);
  client->buffered_bytes
      = client->buffered_bytes + info->n_added - info->n_deleted;
  client->moved_bytes
      += buffer == client->buffers[0] ? info->n_added : info->n_deleted;
  change_bytes (client->budget, before, bytes_of (client));
}

void
client_observe (struct client *client, struct bufferevent *bev)
{
  if (client->budget == NULL)
    return;
  client->buffers[0] = bufferevent_get_input (bev);
  client->buffers[1] = bufferevent_get_output (bev);
  for (size_t i = 0; i < 2; i++)
    client->observers[i]
        = evbuffer_add_cb (client->buffers[i], on_buffer, client);
}

static bool
may_be_closed (const struct client *client)
{
  return client->interface != CLIENT_INSTANCES && client->state != CLIENT_IDLE
         && client->state != CLIENT_SERVED;
}

/* Returns the client of INTERFACE that a new one may replace: the one without
   progress for the longest time.  */
static struct client *
find_replaceable (const struct client_budget *budget,
                  enum client_interface interface)
{
  struct client *client, *found = NULL;
  /* HTTP clients expect that idle connections are closed.  */
  bool operators = interface == CLIENT_OPERATORS;
  DL_FOREACH (budget->clients, client)
  {
    if (client->interface != interface || !(may_be_closed (client) || (operators && client->state == CLIENT_IDLE)))
      continue;
    if (found == NULL || client->progress_ms < found->progress_ms)
      found = client;
  }
  if (found == NULL || operators)
    return found;
  return client_budget_now (budget) - found->progress_ms >= REPLACE_MS ? found
                                                                       : NULL;
}

/* Returns the client that has held most for the longest time without progress,
   or NULL.  */
static struct client *
find_worst (const struct client_budget *budget)
{
  struct client *client, *worst = NULL;
  double worst_score = 0;
  DL_FOREACH (budget->clients, client)
  {
    if (!may_be_closed (client) || bytes_of (client) < EVICT_MIN_BYTES)
      continue;
    double score = (double)bytes_of (client)
                   * (double)(client_budget_now (budget) - client->progress_ms
                              + SWEEP_MS);
    if (score > worst_score)
      {
        worst = client;
        worst_score = score;
      }
  }
  return worst;
}

/* Closes clients until the sum is below LIMIT_BYTES or there is none to
   close.  */
static void
make_room (struct client_budget *budget, size_t limit_bytes)
{
  while (budget->bytes > limit_bytes)
    {
      struct client *worst = find_worst (budget);
      if (worst == NULL)
        break;
      client_close (worst, REASON_MEMORY);
    }
}

bool
client_add (struct client_budget *budget, struct client *client,
            enum client_interface interface, const struct client_ops *ops)
{
  memset (client, 0, sizeof *client);
  if (budget == NULL)
    return true;
  if (budget->count[interface] >= budget->count_limit[interface])
    {
      struct client *replaced = find_replaceable (budget, interface);
      if (replaced == NULL)
        {
          count (budget, interface, REASON_REFUSED);
          return false;
        }
      client_close (replaced, REASON_REPLACED);
    }
  client->budget = budget;
  client->interface = interface;
  client->ops = ops;
  client->progress_ms = client_budget_now (budget);
  budget->count[interface]++;
  DL_APPEND (budget->clients, client);
  change_bytes (budget, 0, bytes_of (client));
  return true;
}

void
client_remove (struct client *client)
{
  struct client_budget *budget = client->budget;
  if (budget == NULL)
    return;
  for (size_t i = 0; i < 2; i++)
    if (client->observers[i] != NULL)
      evbuffer_remove_cb_entry (client->buffers[i], client->observers[i]);
  change_bytes (budget, bytes_of (client), 0);
  budget->count[client->interface]--;
  DL_DELETE (budget->clients, client);
  client->budget = NULL;
}

void
client_note_progress (struct client *client)
{
  if (client->budget == NULL)
    return;
  client->progress_ms = client_budget_now (client->budget);
  client->mark_bytes = client->moved_bytes;
}

void
client_set_state (struct client *client, enum client_state state)
{
  if (client->state == state)
    return;
  client->state = state;
  client_note_progress (client);
}

void
client_hold (struct client *client, size_t bytes)
{
  if (client->budget == NULL)
    return;
  size_t before = bytes_of (client);
  client->held_bytes = bytes;
  change_bytes (client->budget, before, bytes_of (client));
}

/* Periodic checks.  */

static void
on_grant (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  client_rooms_give (arg);
}

/* Returns whether CLIENT has made no progress for too long, and sets REASON to
   why it is to be closed.  */
static bool
is_stalled (const struct client *client, clk_ms now, enum reason *reason)
{
  static const enum reason by_state[] = { [CLIENT_NEW] = REASON_STARTUP,
                                          [CLIENT_SENDING] = REASON_MESSAGE,
                                          [CLIENT_WAITING] = REASON_NO_ROOM,
                                          [CLIENT_READING] = REASON_UNREAD };
  clk_ms limit_ms = client->budget->options.stall_ms;
  if (!may_be_closed (client))
    return false;
  if (client->state == CLIENT_WAITING)
    limit_ms *= ROOM_WAIT_FACTOR;
  *reason = by_state[client->state];
  return now - client->progress_ms >= limit_ms;
}

static void
close_stalled (struct client_budget *budget)
{
  struct client *client, *next;
  clk_ms now = client_budget_now (budget);
  enum reason reason;
  DL_FOREACH_SAFE (budget->clients, client, next)
  {
    if ((client->state == CLIENT_SENDING || client->state == CLIENT_READING)
        && client->moved_bytes - client->mark_bytes >= PROGRESS_BYTES)
      client_note_progress (client);
    if (is_stalled (client, now, &reason))
      client_close (client, reason);
  }
}

static void
log_closed (struct client_budget *budget)
{
  clk_ms now = client_budget_now (budget);
  if (budget->options.log == NULL || now - budget->logged_ms < LOG_INTERVAL_MS)
    return;
  for (size_t i = 0; i < CLIENT_INTERFACES; i++)
    for (size_t j = 0; j < REASONS; j++)
      {
        uint64_t closed = budget->unlogged[i][j];
        if (closed == 0)
          continue;
        budget->unlogged[i][j] = 0;
        budget->logged_ms = now;
        log_event (budget->options.log, LOG_WARNING, "clients_closed",
                   LOG_S ("interface", interfaces[i]),
                   LOG_S ("why", reasons[j]), LOG_U ("count", closed),
                   LOG_U ("open", budget->count[i]),
                   LOG_U ("bytes", budget->bytes),
                   LOG_U ("limit", budget->limit_bytes));
      }
}

static void
show_gauges (struct client_budget *budget)
{
  char name[64];
  struct metrics *metrics = budget->options.metrics;
  if (metrics == NULL)
    return;
  *metrics_value (metrics, "client_bytes") = (int64_t)budget->bytes;
  *metrics_value (metrics, "client_bytes_limit")
      = (int64_t)budget->limit_bytes;
  for (size_t i = 0; i < CLIENT_INTERFACES; i++)
    {
      snprintf (name, sizeof name, "client_connections{interface=\"%s\"}",
                interfaces[i]);
      *metrics_value (metrics, name) = (int64_t)budget->count[i];
    }
}

static void
trim (struct client_budget *budget)
{
  clk_ms now = client_budget_now (budget);
  if (budget->bytes + TRIM_BYTES > budget->peak_bytes
      || now - budget->trimmed_ms < TRIM_INTERVAL_MS)
    return;
  malloc_trim (0);
  budget->trimmed_ms = now;
  budget->peak_bytes = budget->bytes;
}

static void
on_sweep (evutil_socket_t fd, short what, void *arg)
{
  struct client_budget *budget = arg;
  (void)fd;
  (void)what;
  close_stalled (budget);
  if (budget->bytes > budget->limit_bytes)
    make_room (budget, budget->limit_bytes / 8 * 7);
  budget->swept_bytes = budget->bytes;
  client_rooms_end_tenure (budget);
  client_rooms_give (budget);
  log_closed (budget);
  show_gauges (budget);
  trim (budget);
}

/* Reads the number in the file at PATH; SIZE_MAX if there is none.  */
static size_t
read_number (const char *path)
{
  unsigned long long number;
  size_t result = SIZE_MAX;
  FILE *file = fopen (path, "r");
  if (file == NULL)
    return result;
  if (fscanf (file, "%llu", &number) == 1)
    result = (size_t)number;
  fclose (file);
  return result;
}

static size_t
find_machine_bytes (void)
{
  size_t pages = (size_t)sysconf (_SC_PHYS_PAGES);
  size_t bytes = pages * (size_t)sysconf (_SC_PAGESIZE);
  const size_t limits[]
      = { read_number ("/sys/fs/cgroup/memory.max"),
          read_number ("/sys/fs/cgroup/memory/memory.limit_in_bytes") };
  for (size_t i = 0; i < 2; i++)
    if (limits[i] < bytes)
      bytes = limits[i];
  return bytes;
}

static size_t
find_descriptors (void)
{
  struct rlimit limit;
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > 1 << 20)
    return 1 << 20;
  return (size_t)limit.rlim_cur;
}

static void
set_limits (struct client_budget *budget)
{
  struct client_budget_options *options = &budget->options;
  if (options->machine_bytes == 0)
    options->machine_bytes = find_machine_bytes ();
  if (options->descriptors == 0)
    options->descriptors = find_descriptors ();
  budget->limit_bytes = options->machine_bytes / MEMORY_PART;
  if (budget->limit_bytes > MEMORY_MAX_BYTES)
    budget->limit_bytes = MEMORY_MAX_BYTES;
  if (budget->limit_bytes < MEMORY_MIN_BYTES)
    budget->limit_bytes = MEMORY_MIN_BYTES;
  for (size_t i = 0; i < ROOM_POOLS; i++)
    budget->pools[i].limit_bytes = budget->limit_bytes / pool_part[i];
  size_t files = options->descriptors / 4;
  if (files > FILE_DESCRIPTORS)
    files = FILE_DESCRIPTORS;
  for (size_t i = 0; i < CLIENT_INTERFACES; i++)
    budget->count_limit[i]
        = (options->descriptors - files) * descriptor_percent[i] / 100;
  /* Limited by the shares of the hosts in each instance.  */
  budget->count_limit[CLIENT_INSTANCES] = SIZE_MAX;
}

struct client_budget *
client_budget_new (const struct client_budget_options *options)
{
  static const struct timeval interval = { .tv_usec = SWEEP_MS * 1000L };
  struct client_budget *budget = mem_zalloc (sizeof *budget);
  budget->options = *options;
  set_limits (budget);
  budget->sweep = event_new (options->base, -1, EV_PERSIST, on_sweep, budget);
  budget->grant = event_new (options->base, -1, 0, on_grant, budget);
  event_add (budget->sweep, &interval);
  mallopt (M_MMAP_THRESHOLD, MAPPED_BYTES);
  mallopt (M_TRIM_THRESHOLD, MAPPED_BYTES);
  return budget;
}

void
client_budget_free (struct client_budget *budget)
{
  if (budget == NULL)
    return;
  event_free (budget->sweep);
  event_free (budget->grant);
  free (budget);
}

void
client_budget_set_metrics (struct client_budget *budget,
                           struct metrics *metrics)
{
  if (budget != NULL)
    budget->options.metrics = metrics;
}

size_t
client_budget_limit_bytes (const struct client_budget *budget)
{
  return budget->limit_bytes;
}

size_t
client_budget_bytes (const struct client_budget *budget)
{
  return budget->bytes;
}
