#include "kernel/text.h"

#include <string.h>

bool
text_copy (char *out, size_t size, const char *text)
{
  size_t length = text == NULL ? size : strnlen (text, size);
  if (length == size)
    return false;
  memcpy (out, text, length + 1);
  return true;
}

bool
text_is_word (const char *text)
{
  if (text == NULL)
    return false;
  for (const char *at = text; *at != '\0'; at++)
    if ((unsigned char)*at <= ' ' || *at == '\x7f')
      return false;
  return *text != '\0';
}
