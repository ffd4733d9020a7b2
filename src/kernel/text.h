/* text - copies of strings in buffers of fixed size, and checks of words.  */

#ifndef SAVORYWAY_KERNEL_TEXT_H
#define SAVORYWAY_KERNEL_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/* Copies TEXT with its NUL to OUT, of SIZE bytes.  Returns false and leaves
   OUT unchanged if TEXT is NULL or does not fit.  */
bool text_copy (char *out, size_t size, const char *text);

/* Returns whether TEXT, which may be NULL, is a word: it is not empty and has
   no blanks or control characters.  */
bool text_is_word (const char *text);

#endif
