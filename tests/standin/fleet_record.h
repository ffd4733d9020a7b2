/* fleet_record - record of what the instances of the stand-in ran.

   It keeps the newest RUNS_KEPT runs, with the beginning of long texts.  A
   test reads it in parts, and compares it with what callers sent and got.  */

#ifndef FLEET_RECORD_H
#define FLEET_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include "proxy/values.h"

/* A statement that an instance ran, or refused with CODE.  */
struct fleet_run
{
  const char *instance;
  const char *host; /* that sent it */
  uint64_t link;
  uint64_t tx; /* of the instance; 0: none */
  const char *id;
  const char *text;  /* of an EXECUTE: its arguments */
  const char *shape; /* of an EXECUTE: kind and shape; else "" */
  const struct values *values;
  const char *code;      /* "" if it ran */
  const char *signature; /* "" if there is none */
  const char *rows;      /* as sent */
  bool commits;          /* writes of it are committed by it */
};

void fleet_record_add (const struct fleet_run *run);

/* Returns the oldest runs whose number is above AFTER, as JSON:

     {"runs": [{"n": NUMBER, ...}, ...], "last": NUMBER OF THE NEWEST RUN}

   The numbers are consecutive.  The caller frees it.  */
char *fleet_record_json (uint64_t after);

/* Sets OUT to the text of VALUES that the record contains.  */
void fleet_record_print_values (const struct values *values, char *out,
                                size_t size);

#endif
