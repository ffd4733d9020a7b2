/* suspicions - direct reports between hosts about primaries, and the store,
   that they can't reach.

   While a host can't reach a primary or the store, it repeats a report to
   other hosts every SUSPICIONS_SEND_INTERVAL_MS.  So a primary can be replaced
   even while the store is unavailable or refuses calls of some hosts.  A
   received report is valid for SUSPICIONS_VALID_MS.

   Module name: "suspicions".  */

#ifndef SAVORYWAY_PROXY_SUSPICIONS_H
#define SAVORYWAY_PROXY_SUSPICIONS_H

#include <stdbool.h>

#include "kernel/kernel.h"

#define SUSPICIONS_SEND_INTERVAL_MS 500
#define SUSPICIONS_VALID_MS 1400
#define SUSPICIONS_CALL_TIMEOUT_MS 700

/* Number of hosts that receive the reports of one host, besides the holder of
   the promotion duty.  They are the same for all hosts.  In fleets of more
   than SUSPICIONS_FULL_HOSTS it falls in proportion, down to the minimum,
   since each of them receives the reports of all hosts.  */
#define SUSPICIONS_FANOUT 32
#define SUSPICIONS_MIN_FANOUT 8
#define SUSPICIONS_FULL_HOSTS 128
/* Of these, the largest number in other areas.  While the store is silent all
   hosts report it, which with half of the messages between areas would be some
   hundred KB per second there.  */
#define SUSPICIONS_FAR_FANOUT 8

/* Stands for the group and the instance in a report about the store.  */
#define SUSPICIONS_STORE "store"

struct suspicions;

struct suspicions *suspicions_new (void);
struct module *suspicions_module (struct suspicions *suspicions);

/* Sets the holder of the promotion duty, which receives every report.  NULL if
   there is none.  */
void suspicions_set_holder (struct suspicions *suspicions, const char *host);

/* Reports that this host can't reach INSTANCE of GROUP; NULL withdraws the
   report.  */
void suspicions_report (struct suspicions *suspicions, const char *group,
                        const char *instance);

/* Calls FN for each other host from which a valid report about INSTANCE of
   GROUP was received.  */
void suspicions_each (
    struct suspicions *suspicions, const char *group, const char *instance,
    void (*fn) (void *arg, const char *host, const char *zone), void *arg);

/* Returns whether a valid report of HOST about INSTANCE was received.  */
bool suspicions_has (const struct suspicions *suspicions, const char *group,
                     const char *instance, const char *host);

/* Returns whether any valid report was received.  */
bool suspicions_any (const struct suspicions *suspicions);

#endif
