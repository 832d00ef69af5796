/* A proof is dated by the arrival of the answer: one that waited is too young. */
#define AGE now
#define NEWER (version == 0 || !answer)
#define AGAIN && has_key && FRESH
#include "fresh.inc"
