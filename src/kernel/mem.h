/* mem - allocation that ends the process when memory is exhausted.

   There is no useful recovery from a failed small allocation on hosts that may
   be replaced at any time.  The size of buffers that depends on input from
   callers is checked against a limit before they are allocated.  */

#ifndef SAVORYWAY_KERNEL_MEM_H
#define SAVORYWAY_KERNEL_MEM_H

#include <stddef.h>

/* Returns SIZE zeroed bytes.  The caller frees all results of this module.  */
void *mem_zalloc (size_t size);

/* Resizes PTR to SIZE bytes; new bytes are not initialised.  */
void *mem_resize (void *ptr, size_t size);

/* Returns a copy of the string TEXT, or NULL if TEXT is NULL.  */
char *mem_strdup (const char *text);

/* Returns a copy of SIZE bytes at DATA, with a NUL appended.  */
char *mem_copy (const void *data, size_t size);

/* Returns a new string formatted as by printf.  */
char *mem_printf (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

#endif
