#include "proxy/hosts.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "kernel/mem.h"
#include "kernel/text.h"

/* HOST comes first, so that a pointer to it is one to the entry.  */
struct host_entry
{
  struct other_host host;
  size_t index; /* in the list */
  UT_hash_handle hh;
};

struct handler
{
  peer_kind kind;
  peer_handler fn;
  void *arg;
};

struct hosts
{
  struct module base;
  struct peer_port *port;
  char host[NAME_BYTES];
  char zone[NAME_BYTES];
  struct host_entry *entries; /* by name */
  size_t count;
  size_t capacity;
  const struct other_host **list;
  uint64_t version;
  size_t subscriber_count;
  struct hosts_events subscribers[HOSTS_SUBSCRIBERS];
  size_t handler_count;
  struct handler handlers[HOSTS_HANDLERS];
};

const char *
hosts_own_name (const struct hosts *hosts)
{
  return hosts->host;
}

const char *
hosts_own_zone (const struct hosts *hosts)
{
  return hosts->zone;
}

static void
on_message (void *arg, uint64_t call, const peer_message *message)
{
  struct hosts *hosts = arg;
  for (size_t i = 0; i < hosts->handler_count; i++)
    if (hosts->handlers[i].kind == message->body.kind)
      {
        hosts->handlers[i].fn (hosts->handlers[i].arg, call, message);
        return;
      }
  hosts_reply (hosts, call, &(peer_body){ .kind = PEER_KIND_REFUSED });
}

void
hosts_set_port (struct hosts *hosts, struct peer_port *port)
{
  hosts->port = port;
  port->ops->set_handler (port, on_message, hosts);
}

bool
hosts_ready (const struct hosts *hosts)
{
  return hosts->port != NULL;
}

void
hosts_subscribe (struct hosts *hosts, const struct hosts_events *events)
{
  if (hosts->subscriber_count == HOSTS_SUBSCRIBERS)
    abort (); /* the number of modules is fixed */
  hosts->subscribers[hosts->subscriber_count++] = *events;
}

static struct host_entry *
find_entry (const struct hosts *hosts, const char *name)
{
  struct host_entry *entry;
  HASH_FIND_STR (hosts->entries, name, entry);
  return entry;
}

const struct other_host *
hosts_find (const struct hosts *hosts, const char *name)
{
  const struct host_entry *entry = find_entry (hosts, name);
  return entry != NULL ? &entry->host : NULL;
}

static void
drop_entry (struct hosts *hosts, struct host_entry *entry)
{
  struct host_entry *last
      = (struct host_entry *)(void *)hosts->list[hosts->count - 1];
  for (size_t i = 0; i < hosts->subscriber_count; i++)
    hosts->subscribers[i].removed (hosts->subscribers[i].arg, &entry->host);
  hosts->list[entry->index] = &last->host;
  last->index = entry->index;
  hosts->count--;
  HASH_DEL (hosts->entries, entry);
  free (entry);
}

void
hosts_remove (struct hosts *hosts, const char *name)
{
  struct host_entry *entry = find_entry (hosts, name);
  if (entry == NULL)
    return;
  hosts->version++;
  drop_entry (hosts, entry);
}

static bool
is_same (const struct other_host *a, const struct other_host *b)
{
  return strcmp (a->address.address, b->address.address) == 0
         && a->address.port == b->address.port
         && a->address.incarnation == b->address.incarnation
         && strcmp (a->zone, b->zone) == 0 && a->capacity == b->capacity;
}

void
hosts_add (struct hosts *hosts, const struct other_host *host)
{
  struct host_entry *entry = find_entry (hosts, host->address.name);
  if (entry != NULL && is_same (&entry->host, host))
    return;
  if (entry != NULL)
    drop_entry (hosts, entry);
  hosts->version++;
  if (hosts->count == hosts->capacity)
    {
      hosts->capacity = 2 * hosts->capacity + 16;
      hosts->list
          = mem_resize (hosts->list, hosts->capacity * sizeof *hosts->list);
    }
  entry = mem_zalloc (sizeof *entry);
  entry->host = *host;
  entry->index = hosts->count;
  hosts->list[hosts->count++] = &entry->host;
  HASH_ADD_STR (hosts->entries, host.address.name, entry);
  for (size_t i = 0; i < hosts->subscriber_count; i++)
    hosts->subscribers[i].added (hosts->subscribers[i].arg, &entry->host);
}

const struct other_host *const *
hosts_list (const struct hosts *hosts, size_t *count)
{
  *count = hosts->count;
  return hosts->list;
}

uint64_t
hosts_version (const struct hosts *hosts)
{
  return hosts->version;
}

void
hosts_handle (struct hosts *hosts, peer_kind kind, peer_handler handler,
              void *arg)
{
  if (hosts->handler_count == HOSTS_HANDLERS)
    abort (); /* programming error: all handlers are known at build time */
  hosts->handlers[hosts->handler_count++]
      = (struct handler){ kind, handler, arg };
}

static void
set_sender (const struct hosts *hosts, peer_message *message)
{
  message->from.host = (char *)hosts->host;
  message->from.domain = (char *)hosts->zone;
}

static void
ignore_reply (void *arg, enum peer_status status, const peer_message *reply)
{
  (void)arg;
  (void)status; /* the sender needs no result */
  (void)reply;
}

uint64_t
hosts_call (struct hosts *hosts, const struct peer_address *to,
            const peer_body *body, clk_ms timeout_ms, peer_done done,
            void *arg)
{
  peer_message message = { .body = *body };
  if (hosts->port == NULL)
    return 0;
  set_sender (hosts, &message);
  return hosts->port->ops->call (hosts->port, to, &message, timeout_ms,
                                 done != NULL ? done : ignore_reply, arg);
}

size_t
hosts_received (const struct hosts *hosts, uint64_t id)
{
  if (hosts->port == NULL || hosts->port->ops->received == NULL)
    return 0;
  return hosts->port->ops->received (hosts->port, id);
}

void
hosts_cancel (struct hosts *hosts, uint64_t id)
{
  if (hosts->port != NULL)
    hosts->port->ops->cancel (hosts->port, id);
}

void
hosts_reply (struct hosts *hosts, uint64_t call, const peer_body *body)
{
  peer_message message = { .body = *body };
  set_sender (hosts, &message);
  hosts->port->ops->reply (hosts->port, call, &message);
}

static void
hosts_free (struct module *module)
{
  struct hosts *hosts = (struct hosts *)module;
  struct host_entry *entry, *next;
  HASH_ITER (hh, hosts->entries, entry, next)
  {
    HASH_DEL (hosts->entries, entry);
    free (entry);
  }
  free (hosts->list);
  free (hosts);
}

static const struct module_ops hosts_ops = { .free = hosts_free };

struct hosts *
hosts_new (const struct hosts_options *options)
{
  struct hosts *hosts = mem_zalloc (sizeof *hosts);
  hosts->base.ops = &hosts_ops;
  hosts->base.name = "hosts";
  text_copy (hosts->host, sizeof hosts->host, options->host);
  text_copy (hosts->zone, sizeof hosts->zone, options->zone);
  return hosts;
}

struct module *
hosts_module (struct hosts *hosts)
{
  return &hosts->base;
}
