/* soak_oracle - checks the answers that callers got, and what instances ran,
   against what callers sent.

   The rules, by their names in messages:

     MIXED    a success of a read, write or COMMIT has the signature and the
              rows of a run of that very statement
     UNASKED  an instance runs what a caller sent, with its shape, and commits
              what a caller committed
     PINNED   a transaction runs in one of an instance, and nothing else in it;
              values and prepared names are those of the caller
     TWICE    a write is committed once at most
     REFUSED  a write is not committed if its caller was promised that
     LOST     what a caller was told to be committed is  */

#ifndef SOAK_ORACLE_H
#define SOAK_ORACLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>
#include <uthash.h>

#define SENT_ID_BYTES 32
#define SIGNATURE_BYTES 200
#define ROWS_KEPT_BYTES 80

enum sent_kind
{
  SENT_READ,
  SENT_WRITE,
  SENT_COMMIT,
  SENT_OTHER
};

/* A statement that a caller sent, and its answer.  */
struct sent
{
  char id[SENT_ID_BYTES];
  enum sent_kind kind;
  char *text;   /* of an EXECUTE: its arguments */
  char *shape;  /* of an EXECUTE: kind and shape; else "" */
  char *values; /* that are in force */
  uint64_t tx;  /* of the caller; 0: none */
  const char *host;
  double sent_ms;
  bool answered;
  char code[16]; /* "": success */
  char signature[SIGNATURE_BYTES];
  char rows[ROWS_KEPT_BYTES]; /* beginning */
  uint64_t rows_hash;
  unsigned commits;
  struct run *runs;
  UT_hash_handle hh;
};

struct soak_oracle;

struct soak_oracle *soak_oracle_new (uint64_t seed);
void soak_oracle_free (struct soak_oracle *oracle);

/* Adds a copy of SENT, which gets an id.  */
struct sent *soak_oracle_send (struct soak_oracle *oracle,
                               const struct sent *sent);

/* Number of the newest run that was added.  */
uint64_t soak_oracle_last_run (const struct soak_oracle *oracle);
/* Adds RUNS of the record of the stand-in.  */
void soak_oracle_add_runs (struct soak_oracle *oracle, const json_t *runs);

/* Reports that RULE was broken.  */
void soak_oracle_report (struct soak_oracle *oracle, const char *rule,
                         const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Checks everything.  Returns the number of reports so far.  */
unsigned soak_oracle_check (struct soak_oracle *oracle);

/* Number of successes that were compared with a run.  */
unsigned soak_oracle_checked (const struct soak_oracle *oracle);

#endif
