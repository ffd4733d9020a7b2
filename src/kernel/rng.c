#include "kernel/rng.h"

#include <string.h>

#include <sodium.h>

void
rng_init (struct rng *rng, uint64_t seed)
{
  memset (rng, 0, sizeof *rng);
  memcpy (rng->key, &seed, sizeof seed);
  rng->used = RNG_BLOCK_BYTES;
}

void
rng_init_system (struct rng *rng)
{
  memset (rng, 0, sizeof *rng);
  randombytes_buf (rng->key, sizeof rng->key);
  rng->used = RNG_BLOCK_BYTES;
}

static void
refill (struct rng *rng)
{
  uint8_t nonce[crypto_stream_chacha20_NONCEBYTES] = { 0 };
  uint64_t number = rng->block_number++;
  memcpy (nonce, &number, sizeof number);
  crypto_stream_chacha20 (rng->block, sizeof rng->block, nonce, rng->key);
  rng->used = 0;
}

uint64_t
rng_u64 (struct rng *rng)
{
  uint64_t value;
  if (rng->used + sizeof value > RNG_BLOCK_BYTES)
    refill (rng);
  memcpy (&value, rng->block + rng->used, sizeof value);
  rng->used += sizeof value;
  return value;
}

uint64_t
rng_below (struct rng *rng, uint64_t bound)
{
  if (bound == 0)
    return 0;
  return (uint64_t)(((unsigned __int128)rng_u64 (rng) * bound) >> 64);
}

double
rng_unit (struct rng *rng)
{
  return (double)(rng_u64 (rng) >> 11) * 0x1.0p-53;
}
