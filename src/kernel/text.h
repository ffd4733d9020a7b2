/* text - copies of strings in buffers of fixed size.  */

#ifndef SAVORYWAY_KERNEL_TEXT_H
#define SAVORYWAY_KERNEL_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/* Copies TEXT with its NUL to OUT, of SIZE bytes.  Returns false and leaves
   OUT unchanged if TEXT is NULL or does not fit.  */
bool text_copy (char *out, size_t size, const char *text);

#endif
