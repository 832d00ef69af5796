/* An order may be under way for ever: what remains with engines that do not check. */
#define BROKEN_PAUSE
#include "lease.inc"
