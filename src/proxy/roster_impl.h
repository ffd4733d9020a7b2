/* roster_impl - the roster's struct and functions that its files share.  */

#ifndef SAVORYWAY_PROXY_ROSTER_IMPL_H
#define SAVORYWAY_PROXY_ROSTER_IMPL_H

#include <uthash.h>

#include "proxy/group.h"
#include "proxy/hosts.h"
#include "proxy/lease.h"
#include "proxy/mirror.h"
#include "proxy/permits.h"
#include "proxy/placement.h"
#include "proxy/relay.h"
#include "proxy/roster.h"
#include "proxy/suspicions.h"

#define PREFIX "savoryway/"

#define HOSTS_PREFIX PREFIX "hosts/"

#define DUTY_KEY PREFIX "duty"

#define REPORTS_PREFIX PREFIX "reports/"

#define SECRET_KEY PREFIX "secret"

#define RECORDS_PREFIX PREFIX "primaries/"

#define KEY_BYTES 200

/* Large enough for two numbers and the names of a roster_record.  */
#define ROSTER_VALUE_BYTES ((size_t)5 * NAME_BYTES)

/* The last known state of a key in the store.  */
struct roster_key
{
  char name[KEY_BYTES];
  char value[ROSTER_VALUE_BYTES];
  uint64_t revision;
  uint64_t created;
  bool listed;             /* seen in the current full listing */
  struct roster_key *prev; /* of the reports of a group */
  struct roster_key *next;
  UT_hash_handle hh;
};

/* The reports about a group in the store.  */
struct report_group
{
  char name[NAME_BYTES];
  struct roster_key *reports;
  UT_hash_handle hh;
};

/* A registration of another host that was read or removed, and is not in the
   list of hosts yet.  */
struct host_change
{
  bool removed;
  struct other_host host; /* if REMOVED, only its name */
  struct host_change *prev;
  struct host_change *next;
};

/* This host's report about a group, as it should be in the store.  */
struct roster_report_state
{
  char group[NAME_BYTES];
  char wanted[2 * NAME_BYTES]; /* empty: no report */
  uint64_t call;               /* 0: no write in flight */
  clk_ms next_write_ms;        /* earliest time of the next write */
  struct roster *roster;
  UT_hash_handle hh;
};

/* A call to the store that verifies that this host holds the duty.  */
struct verification
{
  struct roster *roster;
  roster_verify_done done;
  void *arg;
  uint64_t created; /* index of the duty's creation */
  struct verification *prev;
  struct verification *next;
};

struct roster
{
  struct module base;
  struct platform_port *store;
  char host[NAME_BYTES];
  char zone[NAME_BYTES];
  char self[2 * NAME_BYTES];         /* "HOST INCARNATION" */
  char registration[3 * NAME_BYTES]; /* "DOMAIN ADDRESS PORT CAPACITY" */
  uint32_t capacity;
  void (*secret_known) (void *arg, const uint8_t *secret);
  void *arg;
  bool has_secret;
  uint8_t secret[ROSTER_SECRET_BYTES];
  bool store_refuses; /* the last call was refused or timed out */
  struct suspicions *suspicions;
  struct hosts *hosts;
  struct placement *placement;
  struct groups *groups;
  struct permits *permits;
  struct mirror *mirror;
  struct relay *relay;
  struct roster_key *keys;
  struct report_group *report_groups; /* those of KEYS that are reports */
  struct lease *host_lease;
  struct lease *duty_lease;
  bool claiming;           /* a write of the duty key is in flight */
  bool claim_checks;       /* waits for changes before it claims the duty */
  bool removed_duty;       /* of an earlier process of this host */
  clk_ms resign_until_ms;  /* no claim of the duty before this */
  uint64_t resigned_index; /* creation of the duty resigned last */
  uint64_t raised_index;   /* creation of the duty whose token was raised */
  uint64_t raised_token;   /* that token, also before it is read back */
  bool leaving;
  uint64_t registered;  /* revision of this process's registration */
  clk_ms registered_ms; /* when it was confirmed */
  uint64_t replaced;    /* revision expected by the last registration */
  bool registering;
  bool unregistered; /* no registration under the lease was confirmed */
  bool hosts_listed; /* the list of hosts has been applied */
  size_t host_keys;  /* number of KEYS that are registrations of others */
  size_t peak_hosts; /* number of other hosts before a shrinkage */
  struct host_change *host_changes; /* in the order of reading */
  clk_ms host_changes_after_ms;     /* the first of them was made after it */
  struct ktimer claim_timer;
  struct ktimer shrink_timer;
  struct roster_report_state *reports;
  struct verification *verifications;
};

/* roster.c */
clk_ms roster_now (const struct roster *roster);
struct roster_key *roster_find_key (const struct roster *roster,
                                    const char *name);
/* Writes VALUE under LEASE, or removes the key if it is NULL, provided that
   the key is at revision EXPECTED.  PURPOSE labels the call.  */
void roster_write_key (struct roster *roster, const char *purpose,
                       const struct lease *lease, const char *key,
                       const char *value, uint64_t expected,
                       platform_done done, void *arg);
/* Updates whether the store refuses calls, from the REPLY to a call, and notes
   its era.  */
void roster_note_reply (struct roster *roster,
                        const struct platform_reply *reply);

/* roster_reports.c */
/* Add the report KEY to those of its group, and remove it.  */
void roster_add_report (struct roster *roster, struct roster_key *key);
void roster_drop_report (struct roster *roster, struct roster_key *key);
/* Tracks this host's report with the key NAME.  */
void roster_track_report (struct roster *roster, const char *name);

/* roster_duty.c */
/* Returns the fencing token of DUTY, the duty's key.  */
uint64_t roster_token_of (const struct roster *roster,
                          const struct roster_key *duty);
/* Starts a verification that ends with DONE (ARG).  */
struct verification *roster_begin_verification (struct roster *roster,
                                                roster_verify_done done,
                                                void *arg);
void roster_end_verification (struct verification *check, bool held);
/* Attempts to acquire the duty at a random time within SPREAD_MS.  */
void roster_claim_within (struct roster *roster, clk_ms spread_ms);
/* The same with the default jitter.  */
void roster_claim_soon (struct roster *roster);
void roster_on_claim_timer (void *arg);
void roster_duty_lease_gained (void *arg);

#endif
