/* fuzz_parsers - libFuzzer target for the parsers of external input.  */

#include <sodium.h>

#include "sim_parsers.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (sodium_init () < 0)
    return -1;
  sim_parse (data, size);
  return 0;
}
