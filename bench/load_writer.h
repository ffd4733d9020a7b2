/* load_writer - client that writes to a database, one write at a time.

   Connects, like a gateway, to the primary that the term record of one host
   names.  A write counts as acknowledged once the primary reports that a
   replica of its term has received it.  */

#ifndef SAVORYWAY_BENCH_LOAD_WRITER_H
#define SAVORYWAY_BENCH_LOAD_WRITER_H

#include "sim_control.h"

/* The writer stops after this number of writes.  */
#define LOAD_WRITER_MAX_WRITES 20000

struct load_writer;

/* Starts a writer that reads the term record of host HOST.  A CONTROL may have
   only one writer at a time.  */
struct load_writer *load_writer_new (struct sim_control *control, size_t host);
void load_writer_free (struct load_writer *writer);

/* Reads the term record of host HOST from now on.  */
void load_writer_set_host (struct load_writer *writer, size_t host);

/* Returns the number of acknowledged writes.  */
size_t load_writer_acknowledged (const struct load_writer *writer);

/* Returns the longest time between two acknowledgements since the last reset,
   including the time since the last one.  */
clk_ms load_writer_gap_ms (const struct load_writer *writer);
void load_writer_reset_gap (struct load_writer *writer);

/* Returns the number of acknowledged writes that INSTANCE lacks.  */
size_t load_writer_lost (const struct load_writer *writer,
                         struct sim_instance *instance);

#endif
