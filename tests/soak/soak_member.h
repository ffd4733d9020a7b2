/* soak_member - a host that runs as a process, for soak programs.  */

#ifndef SOAK_MEMBER_H
#define SOAK_MEMBER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "tests/standin/standin_spawn.h"

#define MEMBERS_MAX 64

struct member
{
  char name[16];
  char *log_path;
  long log_start; /* of the process in the log */
  unsigned host_port;
  uint16_t callers; /* port; 0: not known yet */
  pid_t pid;        /* 0: not running */
  bool frozen;
  bool leaving;
  double start_ms;     /* when it is started, if it does not run */
  double thaw_ms;      /* if it is frozen */
  double disturbed_ms; /* last time of a disturbance */
};

/* Initialises the member with INDEX, which logs to PREFIX-NAME.log.  */
void member_init (struct member *member, size_t index, const char *prefix);

/* Starts the process.  Its port for callers is known later.  */
void member_start (struct member *member, const struct standin *platform);

/* Reads the port for callers from the log.  Returns whether it is known.  */
bool member_find_port (struct member *member);

/* Return whether the process runs, and is neither frozen nor leaving.  */
bool member_is_up (const struct member *member);

void member_kill (struct member *member);
void member_stop (struct member *member);
void member_freeze (struct member *member, double span_ms);
void member_thaw (struct member *member);

/* Notes the end of the process, which is started again SPAN_MS later.  */
void member_note_end (struct member *member, double span_ms);

/* Kills the process if it runs, and removes its log unless KEEP_LOG.  */
void member_free (struct member *member, bool keep_log);

#endif
