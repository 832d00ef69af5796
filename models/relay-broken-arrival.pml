/* A proof is dated by the arrival of the answer: one that waited is too young. */
#define DATE (now - age)
#define SAME (mark == b_version)
#include "relay.inc"
