/* roster - the hosts of the system, the duty of one of them, and what hosts
   report of primaries; all kept in the platform's store.

   A host's registration and reports stand under a lease of its own; the duty
   to promote, which one host has, under a shorter one.  The fencing token of
   the duty is the revision at which its key was created: it rises with each
   holder.

     savoryway/hosts/HOST                 "DOMAIN ADDRESS PORT CAPACITY"
     savoryway/secret                     of the messages between hosts
     savoryway/duty                       "HOST INCARNATION"
     savoryway/reports/GROUP/HOST         "INSTANCE DOMAIN": HOST, of the
                                          failure domain, can't reach it

   Module name: "roster".  */

#ifndef SAVORYWAY_PROXY_ROSTER_H
#define SAVORYWAY_PROXY_ROSTER_H

#include "kernel/kernel.h"
#include "port/platform_port.h"

/* A holder of the duty that died is replaced after this.  */
#define ROSTER_DUTY_LEASE_MS 1500
#define ROSTER_DUTY_RENEW_MS 450

/* A host that died no longer counts after this.  */
#define ROSTER_HOST_LEASE_MS 6000
#define ROSTER_HOST_RENEW_MS 2000
/* The same for a relay, which has to notice soon that the store refuses it. */
#define ROSTER_RELAY_RENEW_MS 500

/* A list of hosts that lost more than a quarter in this time is taken over
   after it.  */
#define ROSTER_SHRINK_MS 4000

#define ROSTER_CALL_TIMEOUT_MS 700

/* Between two writes of a report.  */
#define ROSTER_REPORT_MS 400

#define ROSTER_SECRET_BYTES 32

/* For this long after its lease ran out a holder goes on while most failure
   domains can't reach the store: nobody else can take the duty then, and the
   platform refuses an older token once a newer one was used.  */
#define ROSTER_OUTAGE_MS 15000

#define ROSTER_DOMAINS 32

/* Spread of the attempts to take the duty, so that one host wins before most
   others ask; the longer one when all start together.  */
#define ROSTER_SPREAD_MS 200
/* Per host above this number the spread grows in proportion.  */
#define ROSTER_SPREAD_HOSTS 16
#define ROSTER_START_SPREAD_MS 2500

/* A host that gave the duty up does not take it for this long.  */
#define ROSTER_YIELD_MS 4000

struct roster_options
{
  struct platform_port *store;
  const char *host;
  const char *zone;
  const char *address; /* at which other hosts reach this one */
  uint16_t port;
  uint32_t capacity; /* of this host's link, in Mbit/s; 0: not known */
  /* Called once the secret between hosts is known.  */
  void (*secret_known) (void *arg, const uint8_t *secret);
  void *arg;
};

struct roster;

struct roster *roster_new (const struct roster_options *options);
struct module *roster_module (struct roster *roster);

/* Whether this host holds the duty, under a lease that has not run out or in
   an outage of the store; sets TOKEN.  */
bool roster_holds_duty (const struct roster *roster, uint64_t *token);

/* Asks the store whether this host still holds the duty.  HELD is false if
   another one does; a store that does not answer leaves it to the lease.  */
typedef void (*roster_verified) (void *arg, bool held);
void roster_verify_duty (struct roster *roster, roster_verified done,
                         void *arg);

/* Gives the duty up.  */
void roster_resign_duty (struct roster *roster, const char *why);

/* Reports that this host can't reach INSTANCE, the primary of GROUP; NULL
   takes the report back.  */
void roster_report (struct roster *roster, const char *group,
                    const char *instance);

/* Who can't reach an instance, of the hosts that have connections to its
   group.  A failure domain counts as reporting if two thirds of its hosts do:
   while the others reach the instance, statements are forwarded to them.  */
struct roster_report_count
{
  size_t hosts;
  size_t hosts_reporting;
  size_t domains;
  size_t domains_reporting;
};

/* Reported in place of an instance: this host knows of no primary.  */
#define ROSTER_NO_PRIMARY "-"

/* Counts the hosts that report INSTANCE, this one included; all 0 if nothing
   is reported at all.  */
struct roster_report_count roster_count_reports (const struct roster *roster,
                                                 const char *group,
                                                 const char *instance);

/* Whether HOST reports INSTANCE.  */
bool roster_host_reports (const struct roster *roster, const char *group,
                          const char *instance, const char *host);

/* Ends the lease and all that stands under it.  */
void roster_leave (struct roster *roster);

#endif
