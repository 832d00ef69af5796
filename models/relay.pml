#define DATE (asked - age)
#define SAME (mark == b_version)
#include "relay.inc"
