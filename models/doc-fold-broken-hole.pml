/* A checkpoint is believed although records after it are gone. */
#define BROKEN_HOLE
#include "doc-fold.inc"
