#include "proxy/hosts.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"
#include "kernel/text.h"

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
  size_t count;
  struct other_host *others;
  uint64_t version;
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
hosts_set (struct hosts *hosts, const struct other_host *others, size_t count)
{
  hosts->version++;
  hosts->count = count;
  free (hosts->others);
  hosts->others = NULL;
  if (count == 0)
    return;
  hosts->others = mem_zalloc (count * sizeof *others);
  memcpy (hosts->others, others, count * sizeof *others);
}

const struct other_host *
hosts_list (const struct hosts *hosts, size_t *count)
{
  *count = hosts->count;
  return hosts->others;
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
  free (hosts->others);
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
