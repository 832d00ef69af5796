/* A token of the place in the log alone, which is given out twice. */
#define REWIND
#define BROKEN_ERA
#include "duty.inc"
