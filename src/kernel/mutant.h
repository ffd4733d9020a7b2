/* mutant - deliberate faults for mutation testing: they prove that the tests
   detect them.

   In a build with -DMUTANTS a test selects one fault by name, and
   MUTANT (name) is then true.  In every other build MUTANT (name) is the
   constant 0.  "make mutants" runs the list in tests/fuzz/mutants.txt.  */

#ifndef SAVORYWAY_KERNEL_MUTANT_H
#define SAVORYWAY_KERNEL_MUTANT_H

#ifdef MUTANTS
#include <string.h>

/* Name of the selected fault; NULL for none.  */
extern const char *mutant_active;

#define MUTANT(name) (mutant_active && strcmp (mutant_active, #name) == 0)
#else
#define MUTANT(name) 0
#endif

#endif
