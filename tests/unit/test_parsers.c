/* Parsers of external input must accept or reject damaged input without a
   crash, a leak or a read beyond it.  */

#include <sodium.h>

#include "kernel/mem.h"
#include "kernel/rng.h"
#include "sim_parsers.h"
#include "unit.h"

#define MUTATIONS 4000
#define INSERT_ROOM_BYTES 64 /* for the bytes that mutate inserts */

/* Changes, removes or inserts 1 to 4 of the SIZE bytes at BYTES, never the
   first, which selects the parser.  Returns the new size.  */
static size_t
mutate (struct rng *rng, uint8_t *bytes, size_t size)
{
  for (uint64_t left = 1 + rng_below (rng, 4); left > 0 && size > 1; left--)
    {
      size_t at = 1 + rng_below (rng, size - 1);
      uint64_t change = rng_below (rng, 3);
      if (change == 0)
        bytes[at] = (uint8_t)rng_u64 (rng);
      else if (change == 1)
        memmove (bytes + at, bytes + at + 1, --size - at);
      else
        {
          memmove (bytes + at + 1, bytes + at, size++ - at);
          bytes[at] = (uint8_t)rng_u64 (rng);
        }
    }
  return size;
}

UNIT_LOOP (test_damaged_input_is_accepted_or_rejected, 0, PARSER_COUNT)
{
  struct rng rng;
  size_t size;
  size_t rejected = 0;
  char *example = sim_parser_example ((size_t)_i, &size);
  uint8_t *bytes = mem_zalloc (size + INSERT_ROOM_BYTES);
  rng_init (&rng, (uint64_t)_i + 1);
  bytes[0] = (uint8_t)_i;
  memcpy (bytes + 1, example, size);
  ck_assert (sim_parse (bytes, size + 1));
  for (int i = 0; i < MUTATIONS; i++)
    {
      bytes[0] = (uint8_t)_i;
      memcpy (bytes + 1, example, size);
      rejected += !sim_parse (bytes, mutate (&rng, bytes, size + 1));
    }
  ck_assert_uint_gt (rejected, MUTATIONS / 10);
  free (bytes);
  free (example);
}

UNIT_MAIN ("parsers", .init = sodium_init)
