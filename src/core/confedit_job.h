/* confedit_job - a change or read in flight.  Private to confedit*.c.  */

#ifndef SAVORYWAY_CORE_CONFEDIT_JOB_H
#define SAVORYWAY_CORE_CONFEDIT_JOB_H

#include "core/confedit_change.h"
#include "core/confhead.h"

/* Timeout of one read of the platform.  */
#define READ_TIMEOUT_MS 1000

struct confedit
{
  struct module base;
  struct platform_port *platform;
  struct view *view;
  char *admin_hash; /* secret_hash of the administrator; may be NULL */
  struct confedit_job *jobs;
  size_t job_count;
};

/* A change runs in rounds.  Each round reads the team, then the head, and
   writes both if the team is unchanged since the first round, that is, the
   first one whose reads succeeded.  */
struct confedit_job
{
  struct confedit *confedit;
  struct confedit_job *prev;
  struct confedit_job *next;
  struct confedit_request request;
  confedit_done done;
  confedit_read_done read_done;
  void *arg;
  enum platform_status reject_status; /* of a read that is not sent */
  char *team_key;
  char change_id[CHANGE_ID_BYTES];
  uint64_t call; /* platform call in flight; 0 for none */
  struct ktimer timer;
  uint32_t rounds; /* retries so far */

  bool edited;         /* base, proposed and base_revision are set */
  struct subtree base; /* the team as read in the first round */
  struct subtree proposed;
  uint64_t base_revision; /* of the configuration, in the first round */

  struct subtree team; /* as read in the current round */
  json_t *head;
  uint64_t head_index;

  /* Set while a write whose answer was lost may still take effect.  Its
     compare-and-swap fails once the head's index is no longer
     unresolved_head_index.  */
  bool write_unresolved;
  uint64_t unresolved_head_index;

  struct findings findings;
};

/* Starts a round of the change ARG, a struct confedit_job.  */
void confedit_job_start_round (void *arg);

/* Ends a change: reports STATUS with MESSAGE and frees JOB.  */
void confedit_job_fail (struct confedit_job *job, enum confedit_status status,
                        const char *message);

/* Reads KEY from the platform; DONE is called with JOB.  */
void confedit_job_read (struct confedit_job *job, const char *key,
                        platform_done done);

/* Frees JOB without calling its callback; cancels its call and timer.  */
void confedit_job_free (struct confedit_job *job);

#endif
