/* The nodes share the whole part among those that they know of. */
#define SHARE (FIXED / KNOWN)
#define YOUNG WINDOW
#include "retry-budget.inc"
