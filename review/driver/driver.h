/* driver - stand-ins of the platform, the instances and the consumers, in one
   process, and the control of the hosts, which are separate processes.

   A case is a function that calls these in order.  Everything that was sent,
   answered and run goes to the record, a text file, with the time in
   milliseconds since the start.  */

#ifndef REVIEW_DRIVER_H
#define REVIEW_DRIVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <event2/event.h>

#define NAME 64
#define LINE 512
#define MAX_INSTANCES 4
#define MAX_HOSTS 8
#define SERVICE "ledger-db"
#define DATABASE "ledger"

enum verdict
{
  VERDICT_HELD = 0,
  VERDICT_BROKEN = 1,
  VERDICT_UNABLE = 2
};

/* main.c */

extern struct event_base *events;

long now_ms (void);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Ends the program, and all hosts, with VERDICT_UNABLE.  */
void unable (const char *why) __attribute__ ((noreturn));
/* Runs the event loop for SPAN_MS.  */
void run_for (long span_ms);
/* Runs it until DONE returns true, or for LIMIT_MS; returns whether it did. */
bool run_until (bool (*done) (void *arg), void *arg, long limit_ms);
/* Calls FN once after SPAN_MS.  */
void after (long span_ms, void (*fn) (void *arg), void *arg);
/* Returns a number from 0 to LIMIT - 1.  */
long chance (long limit);
/* Returns whether the disruption is to be made.  */
bool trouble (void);

/* store.c: the platform's store, and its call that promotes an instance.  */

uint16_t store_start (void);
uint16_t promote_start (void);
void store_put (const char *key, const char *text);
/* Copies the value of KEY to OUT; returns false if there is none.  */
bool store_get (const char *key, char *out, size_t size);
/* Writes a configuration with one route, to SERVICE, as the operator does.  */
void store_put_config (const char *database, const char *kind,
                       const char *service, int sync_replicas);

/* instance.c: the service and its instances.  */

struct instance;

struct commit
{
  uint64_t term;
  char id[NAME];    /* of the write, or of the COMMIT */
  char write[LINE]; /* text of the last write */
  long acked_ms;    /* when the instance acknowledged it; -1: not yet */
};

struct service_options
{
  const char *name;
  int sync_replicas;
  /* Until a replica receives a commit: the one or the other for some 100 ms
     each, as chance has it.  */
  long receive_min_ms;
  long receive_max_ms;
  long apply_ms;    /* from then until its reads see it */
  long work_min_ms; /* of a read, write or commit */
  long work_max_ms;
  long promote_ms; /* from the call until the instance leads */
};

void service_new (const struct service_options *options);
/* Replicas apply what they receive from now on after SPAN_MS.  */
void service_set_apply_ms (long span_ms);
struct instance *instance_new (const char *id, const char *zone, bool primary);
const char *instance_id (const struct instance *instance);
uint16_t instance_port (const struct instance *instance);
struct instance *service_primary (void);
/* Cuts INSTANCE off from HOST, without a reset: nothing that one sends reaches
   the other.  As the cut ends, the connections are gone.  */
void instance_cut (struct instance *instance, const char *host, bool cut);
/* A crash closes all connections; the instance returns with its log.  */
void instance_crash (struct instance *instance);
void instance_return (struct instance *instance);
/* Number of commits that INSTANCE has received and not applied.  */
size_t instance_unapplied (const struct instance *instance);
/* Returns 200 or 409; the instance leads after a while.  */
int service_promote (const char *service, const char *id);
/* Calls FN for each commit that a promotion took back.  */
void service_each_lost (void (*fn) (void *arg, const struct commit *commit),
                        void *arg);
/* Number of statements that ran though no consumer sent that text under that
   id.  */
size_t service_unasked (void);

/* client.c: a session of a consumer.  */

struct client
{
  char name[NAME];
  struct bufferevent *bev;
  bool started;  /* READY after STARTUP */
  bool closed;   /* by the host */
  bool waiting;  /* for the answer to QUERY */
  char id[NAME]; /* of the last QUERY */
  char reply[LINE];
  char state;
  long sent_ms;
  long ended_ms; /* of the answer or of the close */
  void (*changed) (struct client *client);
  void *arg;
};

struct client *client_open (const char *name, uint16_t port,
                            const char *database);
void client_free (struct client *client);
/* Sends a statement under a new id.  */
void client_send (struct client *client, const char *text);
/* Sends it and waits; returns the answer before READY, "" without one.  */
const char *client_query (struct client *client, const char *text);
bool client_is_ok (const struct client *client);
/* Returns whether a consumer has sent TEXT under ID.  */
bool client_sent (const char *id, const char *text);

/* host.c: processes of "savoryway serve".  */

struct host
{
  char name[NAME];
  char zone[NAME];
  pid_t pid; /* 0: not running */
  uint16_t callers;
  uint16_t ready;
  uint16_t metrics;
  uint16_t peers;
};

struct host *host_new (const char *name, const char *zone, uint16_t store,
                       uint16_t promote);
void host_start (struct host *host);
void host_signal (struct host *host, int number);
/* Kills the process and waits for its end.  */
void host_kill (struct host *host);
/* Asks GET /readyz as the platform does; waits for at most 500 ms.  */
bool host_is_ready (struct host *host);
bool host_wait_ready (struct host *host, long limit_ms);
/* Returns whether the process has ended; EXIT_CODE is then its exit code, or
   -1 after a signal.  */
bool host_has_ended (struct host *host, int *exit_code);
void hosts_end (void);

/* world.c */

/* Starts the platform, SERVICE with three instances, and COUNT hosts, in a
   zone each or all in one, and waits until they are ready.  */
void world_start (const struct service_options *options, struct host *hosts[],
                  size_t count, bool one_zone);
/* Returns the host that holds the promotion duty, or NULL.  */
struct host *world_duty_holder (struct host *const hosts[], size_t count);

/* Of each case: its folder's case.c.  */
enum verdict run_case (void);

#endif
