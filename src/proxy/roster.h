/* roster - registers the hosts in the platform's store, elects the host that
   may promote replicas, and shares reports of unreachable primaries.

   Each host keeps its registration and its reports under a lease of its own,
   so that they expire when the host dies.  One host at a time holds the
   promotion duty, a key under a shorter lease.  The fencing token of the duty
   is the index at which its key was written last, so it rises with each
   holder, also when the store was restored from an older copy.  The holder
   raises it by writing the key again.  A conditional write
   that refers to an earlier era may succeed by accident; it does no harm,
   since a host replaces only its own keys, and creates the others.

   Keys in the store, with the form of their values:

     savoryway/hosts/HOST                 "DOMAIN ADDRESS PORT CAPACITY"
     savoryway/secret                     secret shared by the hosts for
                                          their messages, in hexadecimal
     savoryway/duty                       "HOST INCARNATION" of the holder
     savoryway/primaries/GROUP            "NUMBER FLOOR CANDIDATE
   [INSTANCE...]": the change of primary ordered last, see roster_record
     savoryway/reports/GROUP/HOST         "INSTANCE DOMAIN": HOST, of failure
                                          domain DOMAIN, can't reach INSTANCE

   Module name: "roster".  */

#ifndef SAVORYWAY_PROXY_ROSTER_H
#define SAVORYWAY_PROXY_ROSTER_H

#include "kernel/kernel.h"
#include "port/platform_port.h"

/* Lease of the promotion duty: bounds the time until a dead holder is
   replaced.  */
#define ROSTER_DUTY_LEASE_MS 1500
#define ROSTER_DUTY_RENEW_MS 450

/* Lease of a host: bounds the time until a dead host is removed.  */
#define ROSTER_HOST_LEASE_MS 6000
#define ROSTER_HOST_RENEW_MS 2000
/* Shorter for a relay, which must detect early that the store refuses its
   calls.  */
#define ROSTER_RELAY_RENEW_MS 500

/* Delay before a list that lost more than a quarter of the hosts is applied:
   registrations that end together mostly come from an outage of the store,
   and the hosts register again.  */
#define ROSTER_SHRINK_DELAY_MS 4000

#define ROSTER_CALL_TIMEOUT_MS 700

/* Minimum time between two writes of the same report.  */
#define ROSTER_REPORT_INTERVAL_MS 400

#define ROSTER_SECRET_BYTES 32

/* How long a holder keeps the duty after its lease has expired, while most
   failure domains can't reach the store.  No other host can acquire the duty
   then, and the platform refuses an older token once a newer one was used.  */
#define ROSTER_OUTAGE_GRACE_MS 15000

#define ROSTER_MAX_DOMAINS 32

/* Jitter of attempts to acquire the duty, so that one host wins before most
   others try.  */
#define ROSTER_CLAIM_JITTER_MS 200
/* With more other hosts than this the jitter grows in proportion.  */
#define ROSTER_CLAIM_JITTER_HOSTS 16
/* Jitter after a full listing, since all hosts may have started together.
   Shorter where hosts can't use a primary without a holder.  */
#define ROSTER_START_JITTER_MS 2500
#define ROSTER_URGENT_JITTER_MS 500

/* Longest wait for the changes that a host reads before it claims the duty. */
#define ROSTER_CLAIM_CHECK_MS 300

/* Delay of a host that others should come before, and the number of hosts with
   wider links that count as enough.  */
#define ROSTER_COURTESY_MS 400
#define ROSTER_WIDE_HOSTS 8

/* How long a host that resigned the duty does not try to acquire it.  */
#define ROSTER_RESIGN_BACKOFF_MS 4000

struct roster_options
{
  struct platform_port *store;
  const char *host;
  const char *zone;
  const char *address; /* at which other hosts connect to this one */
  uint16_t port;
  uint32_t capacity; /* of this host's link, in Mbit/s; 0: unknown */
  /* Called once, when the secret of ROSTER_SECRET_BYTES has been read.  */
  void (*secret_known) (void *arg, const uint8_t *secret);
  void *arg;
};

struct roster;

struct roster *roster_new (const struct roster_options *options);
struct module *roster_module (struct roster *roster);

/* Returns whether this host holds the promotion duty, either under a valid
   lease or within ROSTER_OUTAGE_GRACE_MS during an outage of the store.  Sets
   TOKEN to the fencing token if so.  */
bool roster_holds_duty (const struct roster *roster, uint64_t *token);

/* Returns whether this host is the holder of the duty as far as it knows,
   possibly without a valid lease.  Sets TOKEN likewise.  */
bool roster_duty_kept (const struct roster *roster, uint64_t *token);

/* Returns whether the lease of the duty is valid, so that no other host can
   hold it.  */
bool roster_duty_leased (const struct roster *roster);

/* Receives whether this host still holds the duty.  */
typedef void (*roster_verify_done) (void *arg, bool held);

/* Maximum number of instances with an order that may still take effect.  */
#define ROSTER_FLOATING 3

/* An order to promote, recorded before it is sent, so that later holders of
   the duty know of it.  NUMBER rises with each order of a group.  FLOATING are
   instances with an order that may still take effect: others whose promotion
   was ordered before without an answer and, where the platform fences, the
   candidate until it leads.  There FLOOR is kept when it leads.  */
struct roster_record
{
  char group[NAME_BYTES];
  uint64_t number;
  uint64_t floor; /* lowest possible term of the new primary; 0: it leads */
  char candidate[NAME_BYTES];
  size_t floating_count;
  char floating[ROSTER_FLOATING][NAME_BYTES];
};

/* Writes RECORD, provided that this host still holds the duty, and passes to
   DONE whether it was written and the lease of the duty is valid.  Where the
   platform fences, it refuses an order of an earlier holder; if the store does
   not answer there, HELD is what roster_holds_duty returns.  */
void roster_record_order (struct roster *roster,
                          const struct roster_record *record,
                          roster_verify_done done, void *arg);

/* Raises the fencing token of the duty that this host holds.  Once the
   platform has received an order with the new token, it refuses orders with an
   earlier one that it has not carried out yet.  HELD is false if the token was
   not raised.  */
void roster_raise_token (struct roster *roster, roster_verify_done done,
                         void *arg);

/* Calls FN for each record in the store.  */
void roster_each_record (struct roster *roster,
                         void (*fn) (void *arg,
                                     const struct roster_record *record),
                         void *arg);

/* Reads the record of GROUP.  Returns false if there is none.  */
bool roster_find_record (const struct roster *roster, const char *group,
                         struct roster_record *record);

/* Returns the time at which the store confirmed this host's registration, if
   other hosts that read the store now find it and this host's contents include
   it; else CLK_NEVER.  */
clk_ms roster_registered_ms (const struct roster *roster);

/* Returns the time before which every registration that the store acknowledged
   is in the list of hosts; CLK_LONG_AGO if that was never so.  Removals may be
   missing for longer (see ROSTER_SHRINK_DELAY_MS): they take no part of a
   limit from a host that owns it.  */
clk_ms roster_hosts_confirmed_ms (const struct roster *roster);

/* Sets whether this host waits for another holder of the duty, and should
   notice soon that there is none.  */
void roster_seek_holder (struct roster *roster, bool seek);

/* Releases the duty, if this host holds it; WHY is logged.  */
void roster_resign_duty (struct roster *roster, const char *why);

/* Reports that this host can't reach INSTANCE, the primary of GROUP; NULL
   withdraws the report.  */
void roster_report (struct roster *roster, const char *group,
                    const char *instance);

/* Numbers of hosts that have connections to a group, and of those that report
   an instance as unreachable.  A failure domain counts as reporting if two
   thirds of its hosts report: with fewer, statements are forwarded to the
   hosts that reach the instance.  HOSTS_REPORTING may include hosts without
   connections to the group.  */
struct roster_report_count
{
  size_t hosts;
  size_t hosts_reporting;
  size_t domains;
  size_t domains_reporting;
};

/* Takes the place of an instance in the report of a host that has found no
   primary.  */
#define ROSTER_NO_PRIMARY "-"

/* Counts the hosts that report INSTANCE, including this one.  All counts are 0
   if there are no reports about any instance.  */
struct roster_report_count roster_count_reports (const struct roster *roster,
                                                 const char *group,
                                                 const char *instance);

/* Returns whether HOST reports INSTANCE of GROUP.  */
bool roster_host_reports (const struct roster *roster, const char *group,
                          const char *instance, const char *host);

/* Releases the leases, which removes the keys of this host from the store.  */
void roster_leave (struct roster *roster);

#endif
