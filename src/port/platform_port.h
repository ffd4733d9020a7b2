/* platform_port - interface to the platform's key-value service.

   Each call gets exactly one reply, unless it is cancelled.  The reply is
   never delivered from within the call.  Calls are counted by their purpose.

   The service stores entries with compare-and-swap on their modification
   index, offers watches on keys and on the list of hosts, and leases that
   delete their keys when they end.

   The service may be restored from an older copy, and then gives its revisions
   out again.  An index orders all its states nevertheless: it consists of the
   era, which rises with each restoration, and the revision.  A watch or a
   write with an index of an earlier era may be answered as if the revision
   were one of the present era; the reply tells the era.  */

#ifndef SAVORYWAY_PORT_PLATFORM_PORT_H
#define SAVORYWAY_PORT_PLATFORM_PORT_H

#include <stddef.h>

#include "core/types.h"
#include "kernel/clock.h"

/* A response that is being received when the time of its call is over is
   awaited while parts of it arrive within this time of each other, and no
   longer than the limit.  */
#define PLATFORM_STALL_MS 1000
#define PLATFORM_TRANSFER_LIMIT_MS 30000

#define PLATFORM_VALUE_LIMIT_BYTES ((size_t)1024 * 1024)

enum platform_call_kind
{
  PLATFORM_GET,   /* one key; with wait_ms, blocks until index > wait_index */
  PLATFORM_LIST,  /* all keys below a prefix; blocks likewise */
  PLATFORM_WRITE, /* one atomic transaction of compare-and-swap writes */
  PLATFORM_HOSTS, /* the list of hosts; blocks likewise */
  PLATFORM_LEASE, /* creates a lease that lasts ttl_ms */
  PLATFORM_RENEW, /* extends a lease */
  PLATFORM_RELEASE, /* ends a lease */
  PLATFORM_WATCH    /* changes below a prefix after wait_index */
};

/* Bits of an index that contain the revision.  */
#define PLATFORM_REVISION_BITS 40

static inline uint64_t
platform_index_of (uint64_t era, uint64_t revision)
{
  return era << PLATFORM_REVISION_BITS | revision;
}

static inline uint64_t
platform_index_era (uint64_t index)
{
  return index >> PLATFORM_REVISION_BITS;
}

static inline uint64_t
platform_index_revision (uint64_t index)
{
  return index & ((UINT64_C (1) << PLATFORM_REVISION_BITS) - 1);
}

struct platform_write
{
  const char *key;
  const char *value;
  size_t value_bytes;
  uint64_t expect_index; /* 0: the key must not exist */
  const char *lease;     /* deletes the key when it ends; NULL for none */
  bool erase;            /* deletes the key */
  bool check;            /* only compares the index; writes nothing */
};

struct platform_call
{
  enum platform_call_kind kind;
  const char *purpose; /* label of the metrics; NULL: "other" */
  const char *key;     /* key or prefix */
  const char *after;   /* PLATFORM_LIST: continues after this key */
  uint64_t wait_index; /* a blocking call returns once the index is above */
  clk_ms wait_ms;      /* limit of blocking; 0 returns at once */
  clk_ms timeout_ms;   /* until the response arrives, besides wait_ms */
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
  PLATFORM_UNAVAILABLE, /* the call had no effect */
  PLATFORM_LOST,        /* no response; may have taken effect */
  PLATFORM_REJECTED,    /* malformed or too large; no effect */
  PLATFORM_COMPACTED    /* PLATFORM_WATCH: history no longer available */
};

struct platform_item
{
  char *key;
  char *value; /* NUL-terminated besides value_bytes */
  size_t value_bytes;
  uint64_t index;   /* of its last modification */
  uint64_t created; /* index of its creation; 0 if not reported */
  bool removed;     /* PLATFORM_WATCH: the key was deleted; no value */
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
  uint64_t era; /* also of replies without an index; 0 if not reported */
  const struct platform_item *items; /* valid during the call */
  size_t item_count;
  const struct platform_host *hosts;
  size_t host_count;
  const char *lease;
  bool more;             /* PLATFORM_LIST: further items follow the last one */
  size_t received_bytes; /* of the response, whole or not; 0 if not known */
  clk_ms transfer_ms;    /* from the first part of the response to the last */
};

typedef void (*platform_done) (void *arg, const struct platform_reply *reply);

struct platform_port;

struct platform_port_ops
{
  /* Starts CALL; its strings are copied.  Returns an id for cancel.  */
  uint64_t (*call) (struct platform_port *port,
                    const struct platform_call *call, platform_done done,
                    void *arg);
  /* Cancels a call without a reply; it may still take effect.  */
  void (*cancel) (struct platform_port *port, uint64_t id);
  /* Returns the number of bytes of the response to a call received so far.
     NULL if the port can't tell.  */
  size_t (*received) (struct platform_port *port, uint64_t id);
};

struct platform_port
{
  const struct platform_port_ops *ops;
};

#endif
