#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "cli/command.h"

/* Longest line on standard input, with its newline and final NUL.  */
#define SECRET_LIMIT_BYTES 512

static error_t
parse_no_option (int key, char *arg, struct argp_state *state)
{
  (void)key;
  (void)arg;
  (void)state;
  return ARGP_ERR_UNKNOWN;
}

int
cmd_hash_main (int argc, char **argv)
{
  static const struct argp argp
      = { .parser = parse_no_option,
          .doc = "Read a secret from standard input and print its secret_hash "
                 "for the configuration." };
  char secret[SECRET_LIMIT_BYTES];
  char hash[VIEW_SECRET_HASH_BYTES];
  uint8_t salt[VIEW_SALT_BYTES];
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  if (fgets (secret, sizeof secret, stdin) == NULL)
    {
      fputs ("savoryway: no secret on standard input\n", stderr);
      return EXIT_WRONG_SETTINGS;
    }
  secret[strcspn (secret, "\r\n")] = '\0';
  randombytes_buf (salt, sizeof salt);
  view_secret_hash (secret, salt, hash);
  sodium_memzero (secret, sizeof secret);
  puts (hash);
  return EXIT_OK;
}
