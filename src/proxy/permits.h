/* permits - which primaries may be used, and until when.

   Where the platform checks the fencing token of an order to promote, and
   ends the old primary's lead at that moment, an instance that accepts a plain
   BEGIN is the only primary.  Where it does not (fenced is false), an old
   primary goes on taking writes from the hosts that reach it.  There a host
   uses a primary only under a permission that ends by itself.

   The holder of the promotion duty renews the permission of every host by
   messages.  A permission counts from the time at which the host sent its last
   reply, by the host's clock, so a message that was held up does not extend
   it.  With it goes a table: for each group whose primary has changed, the
   only instance that may be used as primary, and whether the group is closed.

   Before an unreachable primary is replaced, the holder closes the group, and
   waits until each host has confirmed the table or its permission has ended;
   then no host uses the old primary.  The group is opened for the new one once
   that has been seen to lead.

   A new holder does not know whose permissions earlier holders have renewed.
   It waits until all of those have ended.  During an outage of the store the
   holder goes on as long as two thirds of the hosts answer it: a host that
   knows a newer holder refuses.

   Module name: "permits".  */

#ifndef SAVORYWAY_PROXY_PERMITS_H
#define SAVORYWAY_PROXY_PERMITS_H

#include <stdbool.h>

#include "kernel/kernel.h"

/* Duration of a permission, the same on all hosts.  Longer than it takes to
   replace a dead holder of the duty, so that primaries stay in use
   meanwhile.  */
#define PERMITS_SPAN_MS 2800

/* Interval of renewals, longer with each host.  */
#define PERMITS_RENEW_MS 400
#define PERMITS_RENEW_PER_HOST_MS 2
#define PERMITS_RENEW_LIMIT_MS 1000

/* A statement is not sent to a primary this shortly before the permission
   ends, and the holder waits this much longer.  */
#define PERMITS_MARGIN_MS 100

/* During an outage of the store the holder counts hosts that have answered a
   message of this age.  */
#define PERMITS_VOUCH_MS 1200

/* A holder that fewer than half of the hosts have answered for this long
   leaves the duty to a host that reaches more.  */
#define PERMITS_MINORITY_MS 2000

/* Hosts without a registration get renewals until they have not answered for
   this long: the store may have lost it.  */
#define PERMITS_FORGET_MS 10000

/* A host whose permission has not been renewed for this long looks for another
   holder of the duty.  */
#define PERMITS_SEEK_MS 1100

/* Interval of the messages to a host that has not replied yet.  */
#define PERMITS_GREET_MS 150

#define PERMITS_CALL_TIMEOUT_MS 700
/* Interval of the checks on the holder, and on other hosts.  */
#define PERMITS_TICK_MS 50
#define PERMITS_IDLE_TICK_MS 200

/* Why a primary may not be used.  */
enum permits_lack
{
  PERMITS_NOTHING, /* it may */
  PERMITS_NONE,    /* no permission yet */
  PERMITS_ENDED,   /* the permission has ended */
  PERMITS_CLOSED,  /* the group is closed */
  PERMITS_REPLACED /* another instance is the primary */
};

struct permits;

/* FENCED tells whether the platform fences old primaries; then every use is
   allowed, and no messages are sent.  */
struct permits *permits_new (bool fenced);
struct module *permits_module (struct permits *permits);

bool permits_fenced (const struct permits *permits);

/* Returns what lacks now to use INSTANCE as the primary of GROUP.  */
enum permits_lack permits_lack (const struct permits *permits,
                                const char *group, const char *instance);
const char *permits_lack_name (enum permits_lack lack);

/* Returns whether no primary of GROUP that replaces INSTANCE was in use at
   AT_MS.  */
bool permits_covered (const struct permits *permits, const char *group,
                      const char *instance, clk_ms at_ms);

/* Returns the instance of GROUP that is or becomes its only primary; NULL if
   its primary has not changed yet.  */
const char *permits_primary (const struct permits *permits, const char *group);

/* Returns when the permission ends or ended; CLK_LONG_AGO if there was
   none.  */
clk_ms permits_end_ms (const struct permits *permits);

/* The functions below are for the holder of the duty.  */

/* Closes GROUP on all hosts.  */
void permits_close (struct permits *permits, const char *group);
bool permits_closed (const struct permits *permits, const char *group);

/* Tells that change NUMBER of the primary of GROUP, to INSTANCE, has been
   recorded.  */
void permits_expect (struct permits *permits, const char *group,
                     const char *instance, uint64_t number);
/* Returns the number of the last change of the primary of GROUP.  */
uint64_t permits_number (const struct permits *permits, const char *group);

/* Lets all hosts use INSTANCE as the primary of GROUP.  */
void permits_open (struct permits *permits, const char *group,
                   const char *instance);

/* Returns whether no host uses a primary of GROUP, which is closed.  */
bool permits_recalled (const struct permits *permits, const char *group);

/* Tells that HOST, or none if it is NULL, holds the duty in the store, with
   TOKEN.  */
void permits_note_duty (struct permits *permits, const char *host,
                        uint64_t token);

#endif
