/* The fold of documents; see doc-fold.inc. */
#include "doc-fold.inc"
