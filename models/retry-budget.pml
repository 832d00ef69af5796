#define SHARE (FIXED / (2 * KNOWN))
#define YOUNG WINDOW
#include "retry-budget.inc"
