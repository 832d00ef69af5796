/* Counts its lease from the answer. */
#define BROKEN_ANSWER
#include "duty.inc"
