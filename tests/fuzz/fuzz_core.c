/* fuzz_core - runs simulated hosts under schedules of requests and faults.

   A schedule is a sequence of bytes, taken from a file or drawn from a seed;
   sim_run.h describes how it is run and checked.  Built with -DFUZZ_ENGINE
   this is a libFuzzer target, otherwise a program:

     fuzz_core --seeds FIRST-LAST [--length BYTES] [--mutant NAME]
     fuzz_core FILE...              runs the schedule in each file

   --mutant enables a deliberate fault of that name (see kernel/mutant.h).
   The program then stops at the first violation and exits with 0 if there
   was one; without --mutant it exits with 0 if there was none.  SIM_VERBOSE=1
   in the environment prints the schedule.  */

#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include <sodium.h>

#include "kernel/mem.h"
#include "kernel/mutant.h"
#include "sim_run.h"

/* Seed of the simulated delays for a schedule that comes from a file.  */
#define FILE_SEED 1
#define DEFAULT_LENGTH_BYTES 240
#define FILE_LIMIT_BYTES 4096

#ifdef FUZZ_ENGINE
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (sodium_init () < 0 || run_bytes (FILE_SEED, data, size) > 0)
    abort ();
  return 0;
}
#else
struct arguments
{
  uint64_t first;
  uint64_t last;
  size_t length;
  const char *mutant;
  size_t violations;
};

static const struct argp_option options[] = {
  { "seeds", 's', "FIRST-LAST", 0, "Run all seeds from FIRST to LAST", 0 },
  { "length", 'l', "BYTES", 0, "Length of each schedule", 0 },
  { "mutant", 'm', "NAME", 0, "Enable this fault and expect a violation", 0 },
  { 0 }
};

static size_t
run_file (const char *path)
{
  uint8_t bytes[FILE_LIMIT_BYTES];
  FILE *file = fopen (path, "rb");
  if (file == NULL)
    {
      perror (path);
      exit (2);
    }
  size_t length = fread (bytes, 1, sizeof bytes, file);
  fclose (file);
  return run_bytes (FILE_SEED, bytes, length);
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  struct arguments *arguments = state->input;
  unsigned long long first, last;
  switch (key)
    {
    case 's':
      if (sscanf (text, "%llu-%llu", &first, &last) != 2 || last < first)
        argp_error (state, "--seeds: '%s' is not FIRST-LAST", text);
      arguments->first = first;
      arguments->last = last;
      return 0;
    case 'l':
      arguments->length = strtoul (text, NULL, 10);
      return 0;
    case 'm':
      arguments->mutant = text;
      return 0;
    case ARGP_KEY_ARG:
      arguments->violations += run_file (text);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp
    = { .options = options, .parser = parse_option, .args_doc = "[FILE...]" };

/* Runs the seeds until one shows a violation.  Returns the exit status: 0 if
   there was a violation, 1 if not.  */
static int
check_mutant (const struct arguments *arguments)
{
  for (uint64_t seed = arguments->first; seed <= arguments->last; seed++)
    if (run_seed (seed, arguments->length) > 0)
      {
        printf ("mutant=%s caught seed=%" PRIu64 " schedules=%" PRIu64 "\n",
                arguments->mutant, seed, seed - arguments->first + 1);
        return 0;
      }
  printf ("mutant=%s missed schedules=%" PRIu64 "\n", arguments->mutant,
          arguments->last - arguments->first + 1);
  return 1;
}

int
main (int argc, char **argv)
{
  struct arguments arguments = { .length = DEFAULT_LENGTH_BYTES };
  if (sodium_init () < 0)
    return 2;
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
#ifdef MUTANTS
  mutant_active = arguments.mutant;
  if (arguments.mutant != NULL)
    return check_mutant (&arguments);
#else
  (void)check_mutant;
#endif
  size_t failed = arguments.violations > 0;
  uint64_t count = 0;
  if (arguments.last > 0)
    for (uint64_t seed = arguments.first; seed <= arguments.last; seed++)
      {
        count++;
        if (run_seed (seed, arguments.length) > 0)
          {
            failed++;
            printf ("failed seed=%llu\n", (unsigned long long)seed);
          }
      }
  if (arguments.last > 0)
    printf ("schedules=%llu failed=%zu\n", (unsigned long long)count, failed);
  return failed > 0;
}
#endif
