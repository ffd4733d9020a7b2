#include "sim_platform.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

/* A call in flight.  */
struct sim_platform_call
{
  struct sim_platform_call *prev;
  struct sim_platform_call *next;
  struct sim_platform_port *port;
  uint64_t id;
  enum platform_call_kind kind;
  char *key;
  uint64_t wait_index;
  clk_ms wait_until_ms; /* on the world's clock */
  clk_ms timeout_ms;
  size_t write_count;
  struct platform_write *writes;
  platform_done done;
  void *arg;
  bool executed;
  bool cancelled;
  bool late; /* delayed write, see SIM_FAULT_LATE */
};

enum step
{
  STEP_EXECUTE,
  STEP_WAIT_EXPIRED,
  STEP_ANSWER
};

/* A scheduled step of a call.  The call is looked up by host and id, since it
   may be gone by then.  */
struct call_event
{
  struct sim_event base;
  struct sim_platform *platform;
  size_t host;
  uint64_t id;
  enum step step;
  struct platform_reply reply;
};

static void
call_free (struct sim_platform *platform, struct sim_platform_call *call)
{
  if (call->prev != NULL)
    call->prev->next = call->next;
  else
    platform->calls = call->next;
  if (call->next != NULL)
    call->next->prev = call->prev;
  for (size_t i = 0; i < call->write_count; i++)
    {
      free ((char *)call->writes[i].key);
      free ((char *)call->writes[i].value);
    }
  free (call->writes);
  free (call->key);
  free (call);
}

static struct sim_platform_call *
find_call (struct sim_platform *platform, size_t host, uint64_t id)
{
  for (struct sim_platform_call *c = platform->calls; c != NULL; c = c->next)
    if (c->port->host->index == host && c->id == id)
      return c;
  return NULL;
}

static void
event_drop (struct sim_event *event)
{
  struct call_event *e = (struct call_event *)event;
  for (size_t i = 0; i < e->reply.item_count; i++)
    {
      free (e->reply.items[i].key);
      free (e->reply.items[i].value);
    }
  free ((void *)e->reply.items);
  free ((void *)e->reply.hosts);
  free (e);
}

static struct sim_key *
find_key (const struct sim_platform *platform, const char *key)
{
  for (size_t i = 0; i < platform->key_count; i++)
    if (strcmp (platform->keys[i].key, key) == 0)
      return (struct sim_key *)&platform->keys[i];
  return NULL;
}

static void
erase_key (struct sim_platform *platform, struct sim_key *key)
{
  size_t i = (size_t)(key - platform->keys);
  free (key->key);
  free (key->value);
  platform->key_count--;
  memmove (key, key + 1, (platform->key_count - i) * sizeof *key);
}

static struct sim_key *
insert_key (struct sim_platform *platform, const char *name)
{
  size_t i = 0;
  if (platform->key_count == SIM_KEYS)
    abort ();
  while (i < platform->key_count && strcmp (platform->keys[i].key, name) < 0)
    i++;
  struct sim_key *key = &platform->keys[i];
  memmove (key + 1, key, (platform->key_count - i) * sizeof *key);
  platform->key_count++;
  *key = (struct sim_key){ .key = mem_strdup (name) };
  return key;
}

static void
store_value (struct sim_platform *platform, const char *name,
             const char *value, size_t bytes)
{
  struct sim_key *key = find_key (platform, name);
  if (key == NULL)
    key = insert_key (platform, name);
  free (key->value);
  key->value = mem_copy (value, bytes);
  key->value_bytes = bytes;
  key->index = platform->index;
}

static enum platform_status
apply_writes (struct sim_platform *platform,
              const struct sim_platform_call *call)
{
  for (size_t i = 0; i < call->write_count; i++)
    {
      const struct platform_write *w = &call->writes[i];
      struct sim_key *key = find_key (platform, w->key);
      if (w->value_bytes > PLATFORM_VALUE_LIMIT_BYTES)
        return PLATFORM_REJECTED;
      if ((key == NULL ? 0 : key->index) != w->expect_index)
        return PLATFORM_CONFLICT;
    }
  platform->index++;
  for (size_t i = 0; i < call->write_count; i++)
    {
      const struct platform_write *w = &call->writes[i];
      struct sim_key *key = find_key (platform, w->key);
      if (!w->erase)
        store_value (platform, w->key, w->value, w->value_bytes);
      else if (key != NULL)
        erase_key (platform, key);
    }
  return PLATFORM_OK;
}

static bool
matches_key (const struct sim_platform_call *call, const char *key)
{
  if (call->kind == PLATFORM_GET)
    return strcmp (call->key, key) == 0;
  return strncmp (call->key, key, strlen (call->key)) == 0;
}

static uint64_t
current_index (const struct sim_platform *platform,
               const struct sim_platform_call *call)
{
  return call->kind == PLATFORM_HOSTS ? platform->hosts_index
                                      : platform->index;
}

static void
fill_items (const struct sim_platform *platform,
            const struct sim_platform_call *call, struct platform_reply *reply)
{
  struct platform_item *items
      = mem_zalloc ((platform->key_count + 1) * sizeof *items);
  for (size_t i = 0; i < platform->key_count; i++)
    {
      const struct sim_key *key = &platform->keys[i];
      if (matches_key (call, key->key))
        items[reply->item_count++]
            = (struct platform_item){ .key = mem_strdup (key->key),
                                      .value = mem_copy (key->value,
                                                         key->value_bytes),
                                      .value_bytes = key->value_bytes,
                                      .index = key->index };
    }
  reply->items = items;
  reply->status = reply->item_count > 0 || call->kind == PLATFORM_LIST
                      ? PLATFORM_OK
                      : PLATFORM_NOT_FOUND;
}

static void
fill_hosts (const struct sim_platform *platform, struct platform_reply *reply)
{
  size_t bytes = (platform->host_count + 1) * sizeof *platform->hosts;
  struct platform_host *hosts = mem_zalloc (bytes);
  memcpy (hosts, platform->hosts,
          platform->host_count * sizeof *platform->hosts);
  reply->hosts = hosts;
  reply->host_count = platform->host_count;
  reply->status = PLATFORM_OK;
}

static void event_run (struct sim_event *event);

static bool
is_read (const struct sim_platform_call *call)
{
  return call->kind <= PLATFORM_LIST || call->kind == PLATFORM_HOSTS;
}

static struct call_event *
event_new (struct sim_platform *platform, const struct sim_platform_call *call,
           enum step step)
{
  struct call_event *e = mem_zalloc (sizeof *e);
  e->base.run = event_run;
  e->base.drop = event_drop;
  e->platform = platform;
  e->host = call->port->host->index;
  e->id = call->id;
  e->step = step;
  return e;
}

static void
answer (struct sim_platform *platform, struct sim_platform_call *call,
        enum platform_status status, bool with_data)
{
  struct call_event *e = event_new (platform, call, STEP_ANSWER);
  e->reply.status = status;
  e->reply.index = current_index (platform, call);
  if (with_data && call->kind == PLATFORM_HOSTS)
    fill_hosts (platform, &e->reply);
  else if (with_data)
    fill_items (platform, call, &e->reply);
  call->executed = true;
  clk_ms delay_ms = sim_delay (platform->sim, 0, platform->delay_max_ms);
  if (platform->stalled)
    {
      /* The answer arrives after the caller's timeout.  */
      delay_ms = call->timeout_ms;
      e->reply.status = is_read (call) ? PLATFORM_UNAVAILABLE : PLATFORM_LOST;
    }
  sim_schedule (platform->sim, call->port->host, delay_ms, &e->base);
}

static void
link_call (struct sim_platform *platform, struct sim_platform_call *call)
{
  call->next = platform->calls;
  if (call->next != NULL)
    call->next->prev = call;
  platform->calls = call;
}

/* Moves the writes of CALL to a new call that executes late_ms later.  */
static void
defer_writes (struct sim_platform *platform, struct sim_platform_call *call)
{
  struct sim_platform_call *late = mem_zalloc (sizeof *late);
  late->port = call->port;
  late->id = ++call->port->next_id;
  late->kind = call->kind;
  late->write_count = call->write_count;
  late->writes = call->writes;
  late->cancelled = true;
  late->late = true;
  call->write_count = 0;
  call->writes = NULL;
  link_call (platform, late);
  sim_schedule (platform->sim, NULL, platform->late_ms,
                &event_new (platform, late, STEP_EXECUTE)->base);
}

static void
execute_write (struct sim_platform *platform, struct sim_platform_call *call,
               enum sim_fault fault)
{
  enum platform_status status = PLATFORM_NOT_FOUND;
  bool is_write = call->kind == PLATFORM_WRITE;
  bool lose_answer
      = is_write && (fault != SIM_FAULT_NONE || platform->lose_next_answer);
  platform->writes++;
  if (is_write && fault == SIM_FAULT_LATE)
    defer_writes (platform, call);
  else if (is_write && fault != SIM_FAULT_LOST_BEFORE)
    status = apply_writes (platform, call);
  if (is_write)
    platform->lose_next_answer = false;
  answer (platform, call, lose_answer ? PLATFORM_LOST : status, false);
}

static void
execute (struct sim_platform *platform, struct sim_platform_call *call)
{
  enum sim_fault fault = SIM_FAULT_NONE;
  if (call->executed)
    return;
  bool down = platform->outage || platform->cut[call->port->host->index];
  if (!down && !call->late && platform->fault != NULL)
    fault = platform->fault (call->kind == PLATFORM_WRITE);
  if ((down && !call->late) || fault == SIM_FAULT_REFUSED)
    {
      answer (platform, call, PLATFORM_UNAVAILABLE, false);
      return;
    }
  if (is_read (call))
    {
      if (current_index (platform, call) <= call->wait_index
          && platform->sim->clk.now_ms < call->wait_until_ms)
        return;
      platform->reads++;
      answer (platform, call, PLATFORM_OK, true);
      return;
    }
  execute_write (platform, call, fault);
}

/* Answers the blocking reads for which something has changed.  */
static void
run_blocked_reads (struct sim_platform *platform)
{
  for (struct sim_platform_call *c = platform->calls; c != NULL; c = c->next)
    if (is_read (c) && c->wait_until_ms > 0)
      execute (platform, c);
}

static void
event_run (struct sim_event *event)
{
  struct call_event *e = (struct call_event *)event;
  struct sim_platform *platform = e->platform;
  struct sim_platform_call *call = find_call (platform, e->host, e->id);
  if (call == NULL)
    return;
  if (e->step == STEP_EXECUTE || e->step == STEP_WAIT_EXPIRED)
    {
      uint64_t before = platform->index;
      execute (platform, call);
      if (platform->index != before)
        run_blocked_reads (platform);
      return;
    }
  platform_done done = call->done;
  void *arg = call->arg;
  bool cancelled = call->cancelled;
  call_free (platform, call);
  if (!cancelled)
    done (arg, &e->reply);
}

static void
copy_writes (struct sim_platform_call *call, const struct platform_call *from)
{
  call->write_count = from->write_count;
  call->writes = mem_zalloc ((from->write_count + 1) * sizeof *call->writes);
  for (size_t i = 0; i < from->write_count; i++)
    {
      call->writes[i] = from->writes[i];
      call->writes[i].key = mem_strdup (from->writes[i].key);
      call->writes[i].value
          = mem_copy (from->writes[i].value, from->writes[i].value_bytes);
    }
}

static uint64_t
port_call (struct platform_port *base, const struct platform_call *from,
           platform_done done, void *arg)
{
  struct sim_platform_port *port = (struct sim_platform_port *)base;
  struct sim_platform *platform = port->platform;
  struct sim *sim = platform->sim;
  struct sim_platform_call *call = mem_zalloc (sizeof *call);
  call->port = port;
  call->id = ++port->next_id;
  call->kind = from->kind;
  call->key = mem_strdup (from->key != NULL ? from->key : "");
  call->wait_index = from->wait_index;
  call->timeout_ms = from->timeout_ms;
  call->done = done;
  call->arg = arg;
  copy_writes (call, from);
  link_call (platform, call);
  sim_schedule (sim, NULL, sim_delay (sim, 1, 1 + platform->delay_max_ms),
                &event_new (platform, call, STEP_EXECUTE)->base);
  if (from->wait_ms > 0)
    {
      call->wait_until_ms = sim->clk.now_ms + from->wait_ms;
      sim_schedule (sim, NULL, from->wait_ms,
                    &event_new (platform, call, STEP_WAIT_EXPIRED)->base);
    }
  return call->id;
}

static void
port_cancel (struct platform_port *base, uint64_t id)
{
  struct sim_platform_port *port = (struct sim_platform_port *)base;
  struct sim_platform_call *call
      = find_call (port->platform, port->host->index, id);
  if (call != NULL)
    call->cancelled = true;
}

static const struct platform_port_ops port_ops
    = { .call = port_call, .cancel = port_cancel };

void
sim_platform_init (struct sim_platform *platform, struct sim *sim)
{
  memset (platform, 0, sizeof *platform);
  platform->sim = sim;
  platform->index = 1;
  platform->delay_max_ms = 3;
  for (size_t i = 0; i < SIM_HOSTS; i++)
    platform->ports[i] = (struct sim_platform_port){ .base.ops = &port_ops,
                                                     .platform = platform,
                                                     .host = &sim->hosts[i] };
}

void
sim_platform_clear (struct sim_platform *platform)
{
  while (platform->calls != NULL)
    call_free (platform, platform->calls);
  while (platform->key_count > 0)
    erase_key (platform, &platform->keys[platform->key_count - 1]);
}

void
sim_platform_set (struct sim_platform *platform, const char *key,
                  const char *value)
{
  platform->index++;
  store_value (platform, key, value, strlen (value));
  run_blocked_reads (platform);
}

const char *
sim_platform_get (const struct sim_platform *platform, const char *key)
{
  const struct sim_key *found = find_key (platform, key);
  return found != NULL ? found->value : NULL;
}

void
sim_platform_set_hosts (struct sim_platform *platform,
                        const struct platform_host *hosts, size_t count)
{
  memcpy (platform->hosts, hosts, count * sizeof *hosts);
  platform->host_count = count;
  platform->hosts_index++;
  run_blocked_reads (platform);
}

void
sim_platform_kill (struct sim_platform *platform, size_t index)
{
  for (struct sim_platform_call *c = platform->calls; c != NULL; c = c->next)
    if (c->port->host->index == index)
      c->cancelled = true;
}
