/* Takes any refusal for a renewal of its own without an answer. */
#define BROKEN_OWN
#include "duty.inc"
