/* A node that starts takes at once what its predecessor has taken already. */
#define SHARE (FIXED / (2 * KNOWN))
#define YOUNG 0
#include "retry-budget.inc"
