/* An answer is taken for a proof whatever version it names. */
#define DATE (asked - age)
#define SAME true
#include "relay.inc"
