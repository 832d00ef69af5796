/* Waits less than a lease after it heard of the holder. */
#define BROKEN_WAIT
#include "duty.inc"
