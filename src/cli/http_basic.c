#include "cli/http_basic.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "kernel/mem.h"

/* Buffer size for the decoded NAME:SECRET, with its NUL.  */
#define DECODED_BYTES 512

bool
http_basic_parse (struct http_basic *basic, const char *header)
{
  static const char scheme[] = "Basic ";
  unsigned char plain[DECODED_BYTES];
  size_t length = 0;
  *basic = (struct http_basic){ 0 };
  if (header == NULL || strncasecmp (header, scheme, sizeof scheme - 1) != 0)
    return false;
  header += sizeof scheme - 1;
  if (sodium_base642bin (plain, sizeof plain - 1, header, strlen (header),
                         NULL, &length, NULL, sodium_base64_VARIANT_ORIGINAL)
      != 0)
    return false;
  plain[length] = '\0';
  char *colon = strchr ((char *)plain, ':');
  bool valid = colon != NULL && strlen ((char *)plain) == length;
  if (valid)
    {
      basic->name = mem_copy (plain, (size_t)(colon - (char *)plain));
      basic->secret = mem_strdup (colon + 1);
    }
  sodium_memzero (plain, sizeof plain);
  return valid;
}

void
http_basic_clear (struct http_basic *basic)
{
  if (basic->secret != NULL)
    sodium_memzero (basic->secret, strlen (basic->secret));
  free (basic->name);
  free (basic->secret);
  *basic = (struct http_basic){ 0 };
}
