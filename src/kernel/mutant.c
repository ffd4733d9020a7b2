#include "kernel/mutant.h"

#ifdef MUTANTS
const char *mutant_active;
#endif
