/* view_read - reads JSON objects into structures, driven by tables of fields.

   A reader tracks the path of the current object, which each finding
   reports.  Reading continues after an error, so that one pass reports all
   errors.  Private to view*.c, but for view_name_valid and
   NAME_REQUIREMENT.  */

#ifndef SAVORYWAY_CORE_VIEW_READ_H
#define SAVORYWAY_CORE_VIEW_READ_H

#include <jansson.h>

#include "core/view.h"

#define READER_PATH_BYTES 640

struct reader
{
  struct findings *findings;
  char path[READER_PATH_BYTES];
  size_t length;
  size_t faults; /* including those beyond FINDINGS_LIMIT */
  bool strict;   /* unknown settings are errors */
};

enum field_kind
{
  FIELD_BOOL,
  FIELD_U16,
  FIELD_U32,
  FIELD_MS,     /* clk_ms */
  FIELD_CHOICE, /* enum; choices lists the names of its values */
  FIELD_TEXT,   /* char array of max bytes, validated by check */
  FIELD_STRING, /* allocated copy, validated by check */
  FIELD_OBJECT  /* read by the calling function */
};

struct field
{
  const char *name;
  enum field_kind kind;
  bool required;
  size_t offset;
  int64_t min;
  int64_t max;
  int64_t initial; /* default if the member is absent */
  const char *const *choices;
  bool (*check) (const char *text);
  const char *requirement; /* message if check fails */
};

/* Appends NAME to the path.  Returns the previous length of the path, for
   reader_leave.  Names are truncated and non-printable characters replaced,
   as NAME may be any key of the input.  */
size_t reader_enter (struct reader *reader, const char *name);
void reader_leave (struct reader *reader, size_t mark);

/* Adds a finding for FIELD of the current object, or for the object itself if
   FIELD is NULL.  */
void reader_fault (struct reader *reader, const char *field,
                   const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

struct schema
{
  const struct field *fields;
  size_t count;
};

/* Reads the members of OBJECT into the structure OUT according to SCHEMA.
   Members outside SCHEMA are findings if the reader is strict.  Returns false
   if OBJECT is not a JSON object.  */
bool reader_fields (struct reader *reader, json_t *object,
                    const struct schema *schema, void *out);

/* Enters member NAME of OBJECT, a map of names to objects with MIN to MAX
   members, and sets *MARK for reader_leave.  Returns NULL, without entering,
   if the member is not an object, which is a finding, or if it is absent,
   which is a finding unless MIN is 0.  A wrong number of members is a finding
   only.  */
json_t *reader_enter_map (struct reader *reader, json_t *object,
                          const char *name, size_t min, size_t max,
                          size_t *mark);

/* Copies NAME, the key of a map's member, to OUT.  An invalid name is a
   finding at the current path, and OUT is not set.  */
void reader_name (struct reader *reader, const char *name,
                  char out[NAME_BYTES]);

/* Returns whether TEXT is a valid name: 1 to 63 characters of a-z, 0-9, '_'
   and '-'.  */
bool view_name_valid (const char *text);

#define NAME_REQUIREMENT "must be 1 to 63 characters of a-z, 0-9, '_' and '-'"

#endif
