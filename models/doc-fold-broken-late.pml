/* A checkpoint that an edit has overtaken is believed. */
#define BROKEN_LATE
#include "doc-fold.inc"
