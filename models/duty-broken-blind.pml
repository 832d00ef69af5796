/* Appends without the condition. */
#define BROKEN_BLIND
#include "duty.inc"
