/* platform_port - the platform's key-value service, as the core sees it.

   Every call is answered by exactly one reply, unless cancelled, and never
   from within the call.  Each names its purpose, by which calls are
   counted.  */

#ifndef SAVORYWAY_PORT_PLATFORM_PORT_H
#define SAVORYWAY_PORT_PLATFORM_PORT_H

#include <stddef.h>

#include "core/types.h"
#include "kernel/clock.h"

#define PLATFORM_VALUE_LIMIT_BYTES ((size_t)1024 * 1024)

enum platform_call_kind
{
  PLATFORM_GET,     /* one key; waits for index > wait_index if wait_ms */
  PLATFORM_LIST,    /* all keys below a prefix, likewise */
  PLATFORM_WRITE,   /* all writes or none, each compare-and-swap */
  PLATFORM_HOSTS,   /* the list of hosts; waits likewise */
  PLATFORM_LEASE,   /* creates a lease of ttl_ms */
  PLATFORM_RENEW,   /* extends lease */
  PLATFORM_RELEASE, /* ends lease */
  PLATFORM_WATCH    /* changes below a prefix after wait_index */
};

struct platform_write
{
  const char *key;
  const char *value;
  size_t value_bytes;
  uint64_t expect_index; /* 0: the key must not exist */
  const char *lease;     /* key goes when the lease ends; NULL for none */
  bool erase;
};

struct platform_call
{
  enum platform_call_kind kind;
  const char *purpose;
  const char *key;     /* key or prefix */
  const char *after;   /* PLATFORM_LIST: continues after this key */
  uint64_t wait_index; /* return once the index is above this */
  clk_ms wait_ms;      /* at most this long; 0 returns at once */
  clk_ms timeout_ms;   /* for an answer, beyond wait_ms */
  const struct platform_write *writes;
  size_t write_count;
  const char *lease;
  clk_ms ttl_ms;
};

enum platform_status
{
  PLATFORM_OK,
  PLATFORM_CONFLICT,    /* a comparison failed; nothing was written */
  PLATFORM_NOT_FOUND,   /* no such key or lease */
  PLATFORM_UNAVAILABLE, /* certainly without effect */
  PLATFORM_LOST,        /* may have taken effect */
  PLATFORM_REJECTED,    /* malformed or too large; without effect */
  PLATFORM_COMPACTED    /* PLATFORM_WATCH: that history is forgotten */
};

struct platform_item
{
  char *key;
  char *value; /* NUL-terminated besides value_bytes */
  size_t value_bytes;
  uint64_t index;   /* of its last modification */
  uint64_t created; /* index of its creation; 0 if not told */
  bool removed;     /* PLATFORM_WATCH: the key is gone, without value */
};

struct platform_host
{
  char name[NAME_BYTES];
  char address[ADDRESS_BYTES];
  uint16_t port; /* of host-to-host RPC */
  char domain[NAME_BYTES];
  uint64_t incarnation;
  bool leaving;
};

struct platform_reply
{
  enum platform_status status;
  uint64_t index;
  const struct platform_item *items; /* valid during the call */
  size_t item_count;
  const struct platform_host *hosts;
  size_t host_count;
  const char *lease;
  bool more; /* PLATFORM_LIST: further items follow the last one */
};

typedef void (*platform_done) (void *arg, const struct platform_reply *reply);

struct platform_port;

struct platform_port_ops
{
  /* Starts CALL, copying its strings; returns an id for cancel.  */
  uint64_t (*call) (struct platform_port *port,
                    const struct platform_call *call, platform_done done,
                    void *arg);
  /* Drops the reply; the call may still take effect.  */
  void (*cancel) (struct platform_port *port, uint64_t id);
};

struct platform_port
{
  const struct platform_port_ops *ops;
};

#endif
