/* mirror - follows all keys below a prefix of the platform's store.

   Reads them page by page, then watches for changes.  Where the store has
   forgotten the history, it reads all again; keys that are missing then
   count as removed.  While the store does not answer it keeps trying.  */

#ifndef SAVORYWAY_PROXY_MIRROR_H
#define SAVORYWAY_PROXY_MIRROR_H

#include "kernel/kernel.h"
#include "port/platform_port.h"

/* Of one watch; keep-alive probes notice a dead connection earlier.  */
#define MIRROR_WAIT_MS 30000
#define MIRROR_TIMEOUT_MS 1200
#define MIRROR_RETRY_FIRST_MS 60
/* Refused calls have their price: of a host's mirrors one asks often, and the
   others are woken when it is answered.  */
#define MIRROR_RETRY_LAST_MS 350
#define MIRROR_RETRY_WOKEN_MS 2500

struct mirror_events
{
  void (*item) (void *arg, const struct platform_item *item);
  void (*removed) (void *arg, const char *key, uint64_t revision);
  void (*begin_list) (void *arg);
  void (*end_list) (void *arg, uint64_t revision);
  /* The store answers, or no longer does.  */
  void (*reach) (void *arg, bool reached);
  void *arg;
};

struct mirror;

struct mirror_options
{
  struct kernel *kernel;
  struct platform_port *port;
  const char *prefix;
  clk_ms settle_ms; /* from a change to the next watch, so that changes that
                       come together cost one call */
  clk_ms retry_ms;  /* longest wait while the store does not answer */
};

struct mirror *mirror_new (const struct mirror_options *options,
                           const struct mirror_events *events);
void mirror_free (struct mirror *mirror);

void mirror_start (struct mirror *mirror);

/* Tries again at once, if the store did not answer.  */
void mirror_wake (struct mirror *mirror);

/* Whether a full listing has been taken in.  */
bool mirror_complete (const struct mirror *mirror);

/* Whether the last call was answered.  */
bool mirror_reached (const struct mirror *mirror);

#endif
