/* The log comes back from an older copy of itself. */
#define REWIND
#include "duty.inc"
