#include "pg_standin.h"

#include <arpa/inet.h>
#include <string.h>
#include <time.h>

#include "kernel/mem.h"

/* Delay from a commit until the replicas receive it.  */
#define STREAM_DELAY_MS 1

clk_ms
group_now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (clk_ms)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
timer_start (struct event *event, clk_ms delay_ms)
{
  struct timeval tv
      = { .tv_sec = delay_ms / 1000, .tv_usec = delay_ms % 1000 * 1000 };
  evtimer_add (event, &tv);
}

uint64_t
instance_lsn (const struct instance *instance, size_t count)
{
  return count == 0 ? 0 : instance->log[count - 1]->lsn;
}

const struct row *
rows_find (struct row *rows, const char *key)
{
  struct row *row = NULL;
  HASH_FIND_STR (rows, key, row);
  return row;
}

static void
rows_remove (struct row **rows, struct row *row)
{
  HASH_DEL (*rows, row);
  free (row->key);
  free (row->value);
  free (row);
}

void
rows_clear (struct row **rows)
{
  while (*rows != NULL)
    rows_remove (rows, *rows);
}

struct row *
rows_set (struct row **rows, const char *key, const char *value)
{
  struct row *old = NULL;
  struct row *row = mem_zalloc (sizeof *row);
  HASH_FIND_STR (*rows, key, old);
  row->key = mem_strdup (key);
  row->value = mem_strdup (value);
  if (old != NULL)
    rows_remove (rows, old);
  HASH_ADD_KEYPTR (hh, *rows, row->key, strlen (row->key), row);
  return row;
}

static void
replay_to (struct instance *instance, size_t count)
{
  while (instance->replayed < count)
    {
      const struct record *record = instance->log[instance->replayed++];
      const struct row *change = record->changes;
      for (; change != NULL; change = change->hh.next)
        {
          struct row *row
              = rows_set (&instance->rows, change->key, change->value);
          row->committed_at_ms = record->committed_at_ms;
          if (row->value == NULL)
            rows_remove (&instance->rows, row);
        }
    }
}

/* Truncates the log to COUNT records.  Rows can't be undone, so they are
   rebuilt from the start of the log.  */
static void
truncate_log (struct instance *instance, size_t count)
{
  instance->received = count;
  if (instance->replayed <= count)
    return;
  rows_clear (&instance->rows);
  instance->replayed = 0;
  replay_to (instance, count);
}

static void
append_record (struct instance *instance, struct record *record)
{
  size_t count = instance->received + 1;
  instance->log = mem_resize (instance->log, count * sizeof *instance->log);
  instance->log[count - 1] = record;
  instance->received = count;
}

static bool
reachable (const struct instance *instance)
{
  return !instance->down && !instance->frozen && !instance->isolated;
}

/* Returns the instance at PORT, NULL if INSTANCE can't reach it.  */
static struct instance *
reachable_instance_at (const struct instance *instance, uint16_t port)
{
  struct instance *all = instance->group->instances;
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (all[i].port == port && &all[i] != instance && reachable (&all[i])
        && reachable (instance))
      return &all[i];
  return NULL;
}

/* Returns the instance that INSTANCE can replicate from at present: reachable,
   and with a log that extends its own.  Returns NULL if there is none.  */
static struct instance *
upstream (const struct instance *instance)
{
  struct instance *source
      = reachable_instance_at (instance, instance->active.primary_port);
  size_t count = instance->received;
  if (instance->primary || source == NULL || source->received < count
      || (count > 0 && source->log[count - 1] != instance->log[count - 1]))
    return NULL;
  return source;
}

bool
instance_receiving (const struct instance *instance)
{
  return upstream (instance) != NULL;
}

clk_ms
instance_lag_ms (const struct instance *instance)
{
  if (instance->primary)
    return 0;
  if (instance->replayed < instance->received)
    return group_now_ms ()
           - instance->log[instance->replayed]->committed_at_ms;
  return instance_receiving (instance)
             ? 0
             : group_now_ms () - instance->last_connected_ms;
}

/* Records the time for each instance whose replication is up.  To be called
   before any change that may interrupt it.  */
static void
update_last_connected (struct group *group)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (instance_receiving (&group->instances[i]))
      group->instances[i].last_connected_ms = group_now_ms ();
}

static void
start_all_timers (struct group *group)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    timer_start (group->instances[i].timer, STREAM_DELAY_MS);
}

/* Receives log from upstream, acknowledges it, and replays the records that
   are older than the lag of the group.  */
static void
on_timer (evutil_socket_t fd, short events, void *arg)
{
  (void)fd;
  (void)events;
  struct instance *instance = arg;
  struct instance *source = upstream (instance);
  size_t received = instance->received;
  if (instance->down || instance->frozen)
    return;
  while (source != NULL && instance->received < source->received)
    append_record (instance, source->log[instance->received]);
  uint64_t lsn = instance_lsn (instance, instance->received);
  if (source != NULL && lsn > source->confirmed_lsn
      && instance->active.confirming_term == source->active.log_term)
    source->confirmed_lsn = lsn;
  clk_ms replay_until_ms = group_now_ms () - instance->group->lag_ms;
  while (instance->replayed < instance->received
         && instance->log[instance->replayed]->committed_at_ms
                <= replay_until_ms)
    replay_to (instance, instance->replayed + 1);
  if (received < instance->received)
    start_all_timers (instance->group);
  else if (instance->replayed < instance->received)
    timer_start (instance->timer,
                 instance->log[instance->replayed]->committed_at_ms
                     - replay_until_ms);
}

void
instance_commit (struct instance *instance, struct row *changes)
{
  struct group *group = instance->group;
  struct record *record = mem_zalloc (sizeof *record);
  group->rng = group->rng * 6364136223846793005U + 1442695040888963407U;
  record->lsn
      = instance_lsn (instance, instance->received) + 1 + (group->rng >> 60);
  record->committed_at_ms = group_now_ms ();
  record->changes = changes;
  record->next = group->records;
  group->records = record;
  append_record (instance, record);
  replay_to (instance, instance->received);
  instance->commits++;
  start_all_timers (group);
}

void
instance_reload (struct instance *instance)
{
  update_last_connected (instance->group);
  instance->active = instance->staged;
  instance->reload_count++;
  timer_start (instance->timer, STREAM_DELAY_MS);
}

void
instance_promote (struct instance *instance)
{
  replay_to (instance, instance->received);
  instance->primary = true;
  instance->confirmed_lsn = 0;
}

bool
instance_rejoin (struct instance *instance, uint64_t term, uint16_t port)
{
  struct instance *source = reachable_instance_at (instance, port);
  size_t count = 0;
  if (source == NULL || source->active.log_term < term)
    return false;
  while (count < instance->received && count < source->received
         && instance->log[count] == source->log[count])
    count++;
  truncate_log (instance, count);
  instance->primary = false;
  instance->staged.read_only = false;
  instance->staged.log_term = source->active.log_term;
  instance->staged.confirming_term = source->active.log_term;
  instance->staged.primary_port = port;
  instance_reload (instance);
  return true;
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int length, void *arg)
{
  (void)listener;
  (void)address;
  (void)length;
  session_accept (arg, fd);
}

static bool
instance_listen (struct instance *instance)
{
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons (instance->port),
                             .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  instance->listener
      = evconnlistener_new_bind (instance->group->base, on_accept, instance,
                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                 1024, (struct sockaddr *)&sin, sizeof sin);
  if (instance->listener == NULL)
    return false;
  socklen_t length = sizeof sin;
  getsockname (evconnlistener_get_fd (instance->listener),
               (struct sockaddr *)&sin, &length);
  instance->port = ntohs (sin.sin_port);
  return true;
}

bool
group_start (struct group *group)
{
  group->rng = 1;
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      struct instance *instance = &group->instances[i];
      instance->group = group;
      instance->name[0] = 'a' + (char)i;
      instance->primary = i == 0;
      instance->timer = evtimer_new (group->base, on_timer, instance);
      if (!instance_listen (instance))
        return false;
      instance->staged.log_term = FIRST_TERM;
      instance->staged.confirming_term = FIRST_TERM;
      if (i > 0)
        instance->staged.primary_port = group->instances[0].port;
      instance->active = instance->staged;
    }
  return true;
}

static void
instance_free (struct instance *instance)
{
  sessions_close (instance);
  if (instance->listener != NULL)
    evconnlistener_free (instance->listener);
  truncate_log (instance, 0);
  free (instance->log);
  event_free (instance->timer);
}

void
group_stop (struct group *group)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    instance_free (&group->instances[i]);
  while (group->records != NULL)
    {
      struct record *record = group->records;
      group->records = record->next;
      rows_clear (&record->changes);
      free (record);
    }
}

static void
instance_die (struct instance *instance)
{
  instance->down = true;
  evconnlistener_free (instance->listener);
  instance->listener = NULL;
  sessions_close (instance);
}

static void
instance_heal (struct instance *instance)
{
  instance->isolated = false;
  instance->frozen = false;
  instance->drop_answer = false;
  if (instance->listener != NULL)
    evconnlistener_enable (instance->listener);
  sessions_resume (instance);
}

bool
instance_fault (struct instance *instance, const char *kind, int64_t value)
{
  update_last_connected (instance->group);
  if (strcmp (kind, "isolate") == 0)
    instance->isolated = true;
  else if (strcmp (kind, "freeze") == 0)
    instance->frozen = true;
  else if (strcmp (kind, "die") == 0 && !instance->down)
    instance_die (instance);
  else if (strcmp (kind, "restart") == 0 && instance->down)
    instance->down = !instance_listen (instance);
  else if (strcmp (kind, "cost") == 0)
    instance->cost_ms = value;
  else if (strcmp (kind, "drop_answer") == 0)
    instance->drop_answer = true;
  else if (strcmp (kind, "heal") == 0)
    instance_heal (instance);
  else
    return false;
  if (instance->frozen && instance->listener != NULL)
    evconnlistener_disable (instance->listener);
  start_all_timers (instance->group);
  return true;
}

char *
group_state (struct group *group)
{
  char *text = mem_strdup ("{\"instances\": [");
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      const struct instance *instance = &group->instances[i];
      char *start = text;
      text = mem_printf (
          "%s{\"name\": \"%s\", \"commits\": %llu, \"statements\": %llu, "
          "\"slots_busy\": %u}%s",
          start, instance->name, (unsigned long long)instance->commits,
          (unsigned long long)instance->statements, instance->slots_in_use,
          i + 1 < INSTANCES ? ", " : "]}");
      free (start);
    }
  return text;
}
