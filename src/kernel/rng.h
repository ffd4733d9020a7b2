/* rng - random numbers from a ChaCha20 stream (libsodium).

   The same seed always gives the same sequence, so that simulated runs are
   reproducible.  Not for cryptographic keys: use randombytes_buf.  */

#ifndef SAVORYWAY_KERNEL_RNG_H
#define SAVORYWAY_KERNEL_RNG_H

#include <stddef.h>
#include <stdint.h>

#define RNG_KEY_BYTES 32
#define RNG_BLOCK_BYTES 512

struct rng
{
  uint8_t key[RNG_KEY_BYTES];
  uint8_t block[RNG_BLOCK_BYTES];
  uint64_t block_number; /* of the next block */
  size_t used;           /* bytes of the current block */
};

/* Seeds RNG with SEED.  */
void rng_init (struct rng *rng, uint64_t seed);

/* Seeds RNG from the operating system.  */
void rng_init_system (struct rng *rng);

/* Returns 64 uniform random bits.  */
uint64_t rng_u64 (struct rng *rng);

/* Returns a uniform number in [0, BOUND); 0 for a BOUND of 0.  */
uint64_t rng_below (struct rng *rng, uint64_t bound);

/* Returns a uniform number in [0, 1).  */
double rng_unit (struct rng *rng);

#endif
