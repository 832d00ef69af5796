/* A challenger does not wait for the end of the term. */
#define BROKEN_MARGIN
#include "lease.inc"
