/* soak_caller - a caller's session at a host.

   It sends one statement at a time: single ones, and transactions, some of
   which it leaves in the middle.  It keeps its connection until the host
   closes it, and opens another one then.  */

#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include <poll.h>

#include "kernel/rng.h"
#include "proxy/values.h"
#include "tests/soak/soak_member.h"
#include "tests/soak/soak_oracle.h"

#define CALLER_NAMES 6
#define CALLER_INPUT_BYTES 65536

enum caller_phase
{
  CALLER_CLOSED,
  CALLER_GREETED, /* STARTUP was sent */
  CALLER_IDLE,
  CALLER_ASKED /* a statement was sent */
};

/* What all callers of a soak share.  */
struct soak_callers
{
  struct rng *rng;
  struct soak_oracle *oracle;
  double begin_ms;
  double pause_ms;   /* limit of the pauses between statements */
  bool plain_shapes; /* shapes are single short words */
  bool ends;         /* send nothing more */
  uint64_t next_tx;
};

struct soak_caller
{
  struct soak_callers *shared;
  const struct member *member;
  enum caller_phase phase;
  int fd; /* -1: none */
  char input[CALLER_INPUT_BYTES];
  size_t used;
  char state;         /* as the host said: I, T or E */
  double due_ms;      /* when it acts next */
  double deadline_ms; /* of the answer */
  struct sent *sent;  /* the statement that is not answered */
  char name[32];      /* that it sets, prepares or deallocates */
  char rest[512];     /* value or shape */
  struct values values;
  char *shapes[CALLER_NAMES]; /* prepared; with the kind; NULL: none */
  uint64_t tx;                /* 0: none */
  bool plain;                 /* the transaction */
  bool failed;                /* a statement of it had an error */
  unsigned left;              /* statements until its end */
  double wrote_ms;            /* last success of a write */
  unsigned answers;
};

void soak_caller_init (struct soak_caller *caller, struct soak_callers *shared,
                       const struct member *member);

/* Acts if it is due.  */
void soak_caller_act (struct soak_caller *caller, double now_ms);

/* Handles that its connection is readable or has ended.  */
void soak_caller_receive (struct soak_caller *caller, double now_ms);

/* Closes its connection.  */
void soak_caller_close (struct soak_caller *caller, double now_ms);

/* Return whether a statement of it is not answered.  */
bool soak_caller_waits (const struct soak_caller *caller);

#endif
