#include "kernel/mem.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *
require (void *ptr)
{
  if (ptr == NULL)
    {
      fputs ("<2>event=out_of_memory\n", stderr);
      abort ();
    }
  return ptr;
}

void *
mem_zalloc (size_t size)
{
  return require (calloc (1, size ? size : 1));
}

void *
mem_resize (void *ptr, size_t size)
{
  return require (realloc (ptr, size ? size : 1));
}

char *
mem_copy (const void *data, size_t size)
{
  char *copy = require (malloc (size + 1));
  if (size > 0)
    memcpy (copy, data, size);
  copy[size] = '\0';
  return copy;
}

char *
mem_strdup (const char *text)
{
  return text == NULL ? NULL : mem_copy (text, strlen (text));
}

char *
mem_printf (const char *format, ...)
{
  char *text = NULL;
  va_list args;
  va_start (args, format);
  int length = vasprintf (&text, format, args);
  va_end (args);
  return require (length < 0 ? NULL : text);
}
