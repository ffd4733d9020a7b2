/* roster_impl - what the files of the roster share.  */

#ifndef SAVORYWAY_PROXY_ROSTER_IMPL_H
#define SAVORYWAY_PROXY_ROSTER_IMPL_H

#include <uthash.h>

#include "proxy/group.h"
#include "proxy/hosts.h"
#include "proxy/lease.h"
#include "proxy/mirror.h"
#include "proxy/placement.h"
#include "proxy/relay.h"
#include "proxy/roster.h"
#include "proxy/suspicions.h"

#define PREFIX "savoryway/"

#define HOSTS_PREFIX PREFIX "hosts/"

#define DUTY_KEY PREFIX "duty"

#define REPORTS_PREFIX PREFIX "reports/"

#define SECRET_KEY PREFIX "secret"

#define KEY_BYTES 200

/* A key of the store as it was last seen.  */
struct roster_key
{
  char name[KEY_BYTES];
  char value[3 * NAME_BYTES];
  uint64_t revision;
  uint64_t created;
  bool listed;
  UT_hash_handle hh;
};

/* What this host wants to stand in the store.  */
struct roster_report_state
{
  char group[NAME_BYTES];
  char wanted[2 * NAME_BYTES]; /* empty: no report */
  uint64_t call;
  clk_ms again_ms; /* earliest next write */
  struct roster *roster;
  UT_hash_handle hh;
};

struct verification
{
  struct roster *roster;
  roster_verified done;
  void *arg;
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
  bool store_refuses; /* the last call was refused or not answered */
  struct suspicions *suspicions;
  struct hosts *hosts;
  struct placement *placement;
  struct groups *groups;
  struct mirror *mirror;
  struct relay *relay;
  struct roster_key *keys;
  size_t report_keys; /* of them, reports */
  struct lease *host_lease;
  struct lease *duty_lease;
  bool duty_call;
  clk_ms yield_until_ms;
  uint64_t fenced_token; /* of a duty that was given up */
  bool leaving;
  uint64_t registered; /* revision of this process's registration */
  uint64_t replaced;   /* revision that it tried to replace */
  bool registering;
  size_t settled; /* most other hosts of late */
  struct ktimer claim;
  struct ktimer shrink;
  struct roster_report_state *reports;
  struct verification *verifications;
};

/* roster.c */
clk_ms roster_now (const struct roster *roster);
struct roster_key *roster_find_key (const struct roster *roster,
                                    const char *name);
/* Writes VALUE under LEASE, or removes the key if it is NULL, provided that
   the key is at revision EXPECTED.  */
void roster_write_key (struct roster *roster, const struct lease *lease,
                       const char *key, const char *value, uint64_t expected,
                       platform_done done, void *arg);
/* Notes how the store met a call.  */
void roster_note_store (struct roster *roster, enum platform_status status);

/* roster_count_reports.c */
/* Takes note of a report of this host, by the name of its key.  */
void roster_adopt_report (struct roster *roster, const char *name);

/* roster_duty.c */
void roster_claim_within (struct roster *roster, clk_ms spread_ms);
void roster_claim_soon (struct roster *roster);
void roster_on_claim (void *arg);
void roster_duty_lease_gained (void *arg);

#endif
