#include "core/view.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "kernel/mem.h"

#define FINDING_TEXT_BYTES 256

static void
append (struct findings *findings, const char *path, const char *text)
{
  size_t count = findings->count + 1;
  findings->items
      = mem_resize (findings->items, count * sizeof *findings->items);
  findings->items[findings->count].path = mem_strdup (path);
  findings->items[findings->count].text = mem_strdup (text);
  findings->count = count;
}

void
findings_add (struct findings *findings, const char *path, const char *format,
              ...)
{
  if (findings->count >= FINDINGS_LIMIT)
    return;
  if (findings->count == FINDINGS_LIMIT - 1)
    {
      append (findings, "", "there are more findings, not listed");
      return;
    }
  char text[FINDING_TEXT_BYTES];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  /* The text may quote arbitrary input, and truncation may split a multi-byte
     character.  */
  for (char *c = text; *c != '\0'; c++)
    if (*c < ' ' || *c > '~')
      *c = '?';
  append (findings, path, text);
}

void
findings_clear (struct findings *findings)
{
  for (size_t i = 0; i < findings->count; i++)
    {
      free (findings->items[i].path);
      free (findings->items[i].text);
    }
  free (findings->items);
  *findings = (struct findings){ 0 };
}
