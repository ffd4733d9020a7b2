/* world - stand-ins for one case: the platform's store and its call to
   promote, one database with three instances, consumers, and the hosts as
   child processes.  All run on loopback addresses.  */

#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <event2/event.h>

#define HOSTS 3
#define INSTANCES 3
#define SERVICE "books"

extern struct event_base *base;

/* Returns the time since the start of the case.  */
double now_ms (void);
/* Writes a line to the record of the case.  */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Runs FN once, AFTER_MS from now.  */
void run_after (double after_ms, void (*fn) (void *arg), void *arg);
double random_unit (void);
/* Returns a free port of the loopback address.  */
uint16_t free_port (void);

/* store.c */
uint16_t store_open (void);
void store_put (const char *key, const char *text);
void store_remove (const char *key);

/* instances.c */
struct world_settings
{
  unsigned sync_replicas;
  double receive_ms[INSTANCES]; /* until a commit reaches a replica */
};

void instances_open (const struct world_settings *settings);
uint16_t instances_promote_port (void);
int instances_leader (void); /* -1: none */
const char *instances_id (int i);
void instances_crash (int i);
void instances_back (int i);
void instances_announce_leaving (int i);
/* While it is down, the call to promote is answered with 503.  */
void instances_set_call_down (bool down);
/* The next order to promote gets no answer, and is carried out LATE_MS after
   its arrival.  */
void instances_delay_next_order (double late_ms);
/* Returns the instance of that order, or -1.  */
int instances_late_order (void);
/* Instance I receives nothing from now on; -1: all receive.  */
void instances_set_deaf (int i);
/* Returns how many acknowledged commits promoted instances lacked.  */
unsigned instances_lost_commits (void);
/* Returns the text with which an instance ran the statement ID, and its
   length; NULL if none did.  */
const char *instances_ran (const char *id, size_t *length);
void instances_describe (void);

/* consumers.c */
struct consumer_counts
{
  unsigned sent;
  unsigned served;
};

/* Starts the sessions of all hosts.  */
void consumers_start (unsigned sessions_per_host, double pause_ms,
                      double write_share);
void consumers_stop (void);
/* Counts the operations that began between FROM_MS and TO_MS.  */
struct consumer_counts consumers_count (double from_ms, double to_ms);
/* Sends one statement of LENGTH bytes in a session of its own.  */
void consumers_send_raw (int host, const char *id, const char *text,
                         size_t length);

/* hosts.c */
void hosts_start (const char *program, const char *directory);
void hosts_start_one (int host);
void hosts_signal_all (int number);
void hosts_end (void);
uint16_t hosts_caller_port (int host);
bool hosts_ready (void);
pid_t hosts_pid (int host);

#endif
