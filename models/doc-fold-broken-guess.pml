/* An edit is judged without knowing what its base was. */
#define BROKEN_GUESS
#include "doc-fold.inc"
