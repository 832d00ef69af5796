/* An append is believed whose place was learned before the log went back. */
#define REWIND
#define BROKEN_BLIND_ERA
#include "duty.inc"
